//! State machine that replicates configuration revisions.
//!
//! One node per availability zone, the first live one in rendezvous order, watches the platform,
//! so the number of platform calls grows with zones and changes, not with nodes. Other nodes learn
//! of a revision from an offer or a heartbeat and request a delta from that peer. A revision is
//! validated as a whole and put in force only if it is higher than the one in force.

mod fetch;
mod peers;
mod platform;
mod start;
mod store;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use wire::{Incarnation, Machine, Revision, Time, View, Vm, Zone, rank};

use crate::manifest::{Id, Manifest};
use crate::message::{Message, Selector};
use crate::note::{Note, Reason};
use fetch::Fetch;
use store::{Set, Store, Verdict};

/// Number of peers that a new revision is offered to.
const OFFER_FANOUT: usize = 3;

/// A value stored on the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    /// The platform's own revision of the key.
    pub revision: Revision,
    /// The content.
    pub body: Bytes,
}

/// A part with its content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartContent {
    /// The platform's key.
    pub key: Arc<str>,
    /// The content.
    pub bytes: Bytes,
}

/// Input of the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The watch ended with a newer value, or with `None` if it timed out.
    Watched {
        /// The value.
        value: Option<Value>,
    },
    /// The watch failed.
    WatchFailed {
        /// Why.
        cause: String,
    },
    /// A read succeeded.
    ReadDone {
        /// The key.
        key: Arc<str>,
        /// The value.
        value: Value,
    },
    /// A read failed, or the key does not exist.
    ReadFailed {
        /// The key.
        key: Arc<str>,
        /// Why.
        cause: String,
    },
    /// A message arrived from a peer.
    Receive {
        /// The sender, authenticated by the driver.
        from: Incarnation,
        /// The message.
        message: Message,
    },
    /// The view of the region changed.
    View(View),
    /// A peer's heartbeat reported the newest revision that it has seen.
    Heard {
        /// The peer.
        from: Incarnation,
        /// The revision.
        revision: Revision,
    },
    /// The check requested by [`Action::Check`] finished.
    Checked {
        /// The revision.
        revision: Revision,
        /// `Ok`, or an error text that names the lines.
        result: Result<(), String>,
    },
    /// Time passed.
    Tick,
}

/// Output of the state machine, to be carried out by the driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Wait for a value of `key` with a platform revision above `after`; ends with
    /// [`Event::Watched`] or [`Event::WatchFailed`]. One platform call.
    Watch {
        /// The key.
        key: Arc<str>,
        /// The platform's revision.
        after: Revision,
    },
    /// Read `key`; ends with [`Event::ReadDone`] or [`Event::ReadFailed`]. One platform call.
    Read {
        /// The key.
        key: Arc<str>,
    },
    /// Send a message to a peer, best effort.
    Send {
        /// The recipient.
        to: Vm,
        /// The message.
        message: Message,
    },
    /// Validate a complete revision, with the same result on every node; ends with [`Event::Checked`].
    Check {
        /// The revision.
        revision: Revision,
        /// Its parts in order.
        parts: Vec<PartContent>,
    },
    /// Put a complete, validated revision in force atomically.
    Adopt {
        /// The revision.
        revision: Revision,
        /// Its parts in order.
        parts: Vec<PartContent>,
    },
    /// The revision was rejected; the one in force stays.
    Refused {
        /// The revision, 0 where it could not be read.
        revision: Revision,
        /// Why.
        reason: Reason,
    },
    /// This node has seen the revision; heartbeats report it from now on.
    Seen(Revision),
    /// The node may take traffic.
    Ready,
    /// A decision to log.
    Note(Note),
}

/// How a manifest relates to the known revisions.
enum Relation {
    Newer,
    Fetching,
    Held,
    Conflict(Id),
    Older(Revision),
}

/// The replication state machine of one node.
#[derive(Clone, Debug)]
pub struct Replicator {
    me: Vm,
    zone: Zone,
    key: Arc<str>,
    seed: u64,
    random_draws: u64,
    view: View,
    store: Store,
    fetch: Option<Fetch>,
    checking: Option<Set>,
    peers: peers::Peers,
    platform: platform::Platform,
    start: Option<start::Start>,
    refused: Vec<Id>,
    started: bool,
}

impl Replicator {
    /// Creates the state machine of the process `me` in `zone`; the manifest is stored under `key`.
    /// `seed` should differ between nodes.
    pub fn new(
        me: Incarnation,
        zone: impl Into<Zone>,
        key: impl Into<Arc<str>>,
        seed: u64,
    ) -> Self {
        Self {
            me: me.vm,
            zone: zone.into(),
            key: key.into(),
            seed,
            random_draws: 0,
            view: View::default(),
            store: Store::default(),
            fetch: None,
            checking: None,
            peers: peers::Peers::default(),
            platform: platform::Platform::default(),
            start: Some(start::Start::default()),
            refused: Vec::new(),
            started: false,
        }
    }

    /// Returns the revision in force.
    pub fn in_force(&self) -> Option<Id> {
        self.store.in_force()
    }

    /// Returns the newest revision that this node has completely, rejected or not.
    pub fn newest(&self) -> Option<Id> {
        self.store.newest()
    }

    /// Returns the number of platform calls requested so far.
    pub fn calls(&self) -> u64 {
        self.platform.calls()
    }

    /// Returns whether this node watches the platform for its availability zone.
    pub fn watches(&self) -> bool {
        self.platform.watches()
    }

    fn handle(&mut self, now: Time, event: Event, out: &mut impl Extend<Action>) {
        match event {
            Event::Watched { value } => self.watched(now, value, out),
            Event::WatchFailed { cause } => self.watch_failed(now, cause, out),
            Event::ReadDone { key, value } => self.read_done(now, key, value, out),
            Event::ReadFailed { key, cause } => self.read_failed(now, key, cause, out),
            Event::Receive { from, message } => self.receive(now, from.vm, message, out),
            Event::View(view) => self.set_view(view, out),
            Event::Heard { from, revision } => self.heard(now, from.vm, revision),
            Event::Checked { revision, result } => self.checked(revision, result, out),
            Event::Tick => {}
        }
    }

    fn advance(&mut self, now: Time, out: &mut impl Extend<Action>) {
        self.advance_startup(now, out);
        self.fetch_parts(now, out);
        self.check(out);
        self.request_newest(now, out);
        self.call_platform(now, out);
        self.report_ready(now, out);
    }

    fn set_view(&mut self, view: View, out: &mut impl Extend<Action>) {
        self.view = view;
        self.peers.retain_in_view(&self.view);
        let watches = self.watcher(&self.zone) == Some(&self.me);
        if self.platform.set_watches(watches) {
            out.extend([Action::Note(Note::Watcher(watches))]);
        }
    }

    /// Returns the nodes that watch the platform in this view, one per availability zone.
    fn watchers(&self) -> Vec<&Vm> {
        let mut zones: Vec<&Zone> = self.view.live().map(|peer| &peer.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        zones
            .into_iter()
            .filter_map(|zone| self.watcher(zone))
            .collect()
    }

    fn watcher(&self, zone: &Zone) -> Option<&Vm> {
        let name = format!("{}/{zone}", self.key);
        let live = self.view.live().filter(|peer| peer.zone == *zone);
        rank::first(rank::hash(&name), live.map(|peer| &peer.incarnation.vm))
    }

    fn heard(&mut self, now: Time, from: Vm, revision: Revision) {
        if let Some(fetch) = self.fetch.as_mut().filter(|f| f.id.revision <= revision) {
            fetch.wake_unassigned(now);
        }
        self.peers.record(from, revision);
    }

    /// Returns the newest known manifest, even if its parts are not fetched yet.
    fn newest_known(&self) -> Option<Id> {
        let fetched = self.fetch.as_ref().map(|fetch| fetch.id);
        let checking = self.checking.as_ref().map(|set| set.id);
        [self.store.newest(), fetched, checking].into_iter().max()?
    }

    fn newest_known_revision(&self) -> Revision {
        self.newest_known().map_or(0, |id| id.revision)
    }

    /// Handles a manifest from the peer `from`, or from the platform if that is `None`.
    fn handle_manifest(
        &mut self,
        now: Time,
        manifest: Manifest,
        from: Option<&Vm>,
        selector: Selector,
        out: &mut impl Extend<Action>,
    ) {
        let id = manifest.id();
        match self.relation(id, selector) {
            Relation::Newer => {
                let mut fetch = Fetch::new(now, manifest);
                fetch.fill(&self.store);
                self.fetch = Some(fetch);
                let from = from.cloned();
                out.extend([Action::Note(Note::Found { id, from })]);
            }
            Relation::Fetching | Relation::Held => {}
            Relation::Conflict(first) => self.conflict(first, id, out),
            Relation::Older(newest) => {
                let (revision, from) = (id.revision, from.cloned());
                out.extend([Action::Note(Note::Stale {
                    revision,
                    newest,
                    from,
                })]);
            }
        }
        if let (Some(from), Some(fetch)) = (from, &mut self.fetch)
            && fetch.id == id
        {
            fetch.add_holder(now, from);
        }
    }

    fn relation(&self, id: Id, selector: Selector) -> Relation {
        let fetching = self.fetch.as_ref().map(|fetch| fetch.id);
        if fetching == Some(id) {
            return Relation::Fetching;
        }
        if self.store.set(id).is_some() || self.checking.as_ref().is_some_and(|s| s.id == id) {
            return Relation::Held;
        }
        let Some(floor) = self.newest_known() else {
            return Relation::Newer;
        };
        if id.revision > floor.revision || selector == Selector::InForce && self.is_fallback(id) {
            return Relation::Newer;
        }
        if id.revision == floor.revision {
            return Relation::Conflict(floor);
        }
        Relation::Older(floor.revision)
    }

    /// Returns whether to fetch `id`, which is in force at a peer, because this node rejected the
    /// newest revision and has none in force.
    fn is_fallback(&self, id: Id) -> bool {
        let fetching = self.fetch.as_ref().map_or(0, |fetch| fetch.id.revision);
        self.needs_fallback() && self.checking.is_none() && id.revision > fetching
    }

    fn needs_fallback(&self) -> bool {
        self.store.in_force().is_none() && self.store.newest().is_some()
    }

    fn conflict(&mut self, first: Id, second: Id, out: &mut impl Extend<Action>) {
        if self.refused.contains(&second) {
            return;
        }
        self.refused.push(second);
        let reason = Reason::Conflict { first, second };
        out.extend([Action::Refused {
            revision: second.revision,
            reason,
        }]);
    }

    /// Requests validation of a completely fetched revision, one at a time.
    fn check(&mut self, out: &mut impl Extend<Action>) {
        if self.checking.is_some() {
            return;
        }
        let Some(fetch) = self.fetch.take_if(|fetch| fetch.is_complete()) else {
            return;
        };
        let set = fetch.into_set();
        out.extend([Action::Check {
            revision: set.id.revision,
            parts: set.parts(),
        }]);
        self.checking = Some(set);
    }

    fn checked(
        &mut self,
        revision: Revision,
        result: Result<(), String>,
        out: &mut impl Extend<Action>,
    ) {
        let Some(mut set) = self.checking.take_if(|set| set.id.revision == revision) else {
            return;
        };
        let id = set.id;
        match result {
            Ok(()) => {
                set.verdict = Verdict::Valid;
                let parts = set.parts();
                if self.store.put(set) {
                    out.extend([Action::Adopt { revision, parts }]);
                }
            }
            Err(text) => {
                set.verdict = Verdict::Invalid;
                self.store.put(set);
                let reason = Reason::Check(text);
                out.extend([Action::Refused { revision, reason }]);
            }
        }
        let newest = self.store.newest().map_or(revision, |id| id.revision);
        out.extend([Action::Seen(newest)]);
        self.offer(id, out);
    }

    fn offer(&mut self, id: Id, out: &mut impl Extend<Action>) {
        let peers = self.sample(self.live_peers(), OFFER_FANOUT);
        out.extend(peers.into_iter().map(|to| Action::Send {
            to,
            message: Message::Offer(id),
        }));
    }

    /// Returns the live peers.
    fn live_peers(&self) -> Vec<Vm> {
        let live = self.view.live().map(|peer| &peer.incarnation.vm);
        live.filter(|vm| **vm != self.me).cloned().collect()
    }

    /// Returns a pseudo-random choice of up to `count` of `vms`.
    fn sample(&mut self, vms: Vec<Vm>, count: usize) -> Vec<Vm> {
        rank::top(self.next_random(), vms, count)
    }

    fn next_random(&mut self) -> u64 {
        self.random_draws += 1;
        rank::hash((self.seed ^ self.random_draws << 32 ^ self.random_draws).to_le_bytes())
    }

    /// Returns `base` doubled `times` times, capped at `limit`, minus up to 24 % jitter.
    fn backoff(&mut self, base: Duration, times: u32, limit: Duration) -> Duration {
        let delay = (base * (1 << times.min(16))).min(limit);
        let percent = u32::try_from(self.next_random() % 25).unwrap_or(0);
        delay * (100 - percent) / 100
    }
}

impl Machine for Replicator {
    type Event = Event;
    type Action = Action;

    fn step(&mut self, now: Time, event: Event, out: &mut impl Extend<Action>) {
        self.handle(now, event, out);
        self.advance(now, out);
    }

    fn wake(&self) -> Option<Time> {
        if !self.started {
            return Some(Time::ZERO);
        }
        let times = [
            self.fetch.as_ref().and_then(Fetch::wake),
            self.request_wake(),
            self.platform.wake(),
            self.start_wake(),
        ];
        times.into_iter().flatten().min()
    }
}
