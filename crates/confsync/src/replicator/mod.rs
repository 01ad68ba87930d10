//! The machine that spreads configuration.
//!
//! One node per availability zone, the first live one in rendezvous order, watches the platform;
//! so the platform's calls grow with the zones and the changes, not with the nodes. The others
//! hear of a revision by an offer or a heartbeat and ask the peer for what changed. A revision is
//! checked whole, and only a higher one than that in force is switched to.

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
use crate::message::{Message, Pick};
use crate::note::{Note, Reason};
use fetch::Fetch;
use store::{Set, Store, Verdict};

/// Peers that a new revision is offered to at once.
const OFFER_FANOUT: usize = 3;

/// A value of the platform.
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

/// What the machine is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The watch ended: with a value after the one asked for, or `None` where none came in time.
    Watched {
        /// The value.
        value: Option<Value>,
    },
    /// The watch failed.
    WatchFailed {
        /// Why.
        cause: String,
    },
    /// A read ended.
    ReadDone {
        /// The key.
        key: Arc<str>,
        /// The value.
        value: Value,
    },
    /// A read failed, or the key holds nothing.
    ReadFailed {
        /// The key.
        key: Arc<str>,
        /// Why.
        cause: String,
    },
    /// A message came from a peer.
    Receive {
        /// The sender, authenticated by the driver.
        from: Incarnation,
        /// The message.
        message: Message,
    },
    /// The view of the region changed.
    View(View),
    /// A peer's heartbeat told that it has seen a revision.
    Heard {
        /// The peer.
        from: Incarnation,
        /// The revision.
        revision: Revision,
    },
    /// A check asked for by [`Action::Check`] ended.
    Checked {
        /// The revision.
        revision: Revision,
        /// What is wrong with it, naming the lines, where something is.
        result: Result<(), String>,
    },
    /// Time passed.
    Tick,
}

/// What the machine wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Wait for a value of `key` with a platform revision above `after`; ends by
    /// [`Event::Watched`] or [`Event::WatchFailed`]. One call of the platform.
    Watch {
        /// The key.
        key: Arc<str>,
        /// The platform's revision.
        after: Revision,
    },
    /// Read `key`; ends by [`Event::ReadDone`] or [`Event::ReadFailed`]. One call of the platform.
    Read {
        /// The key.
        key: Arc<str>,
    },
    /// Send a message to a peer, best effort.
    Send {
        /// The addressee.
        to: Vm,
        /// The message.
        message: Message,
    },
    /// Check a whole revision, alike on every node; ends by [`Event::Checked`].
    Check {
        /// The revision.
        revision: Revision,
        /// Its parts in order.
        parts: Vec<PartContent>,
    },
    /// Put a whole checked revision in force at once.
    Adopt {
        /// The revision.
        revision: Revision,
        /// Its parts in order.
        parts: Vec<PartContent>,
    },
    /// The revision is not taken; what is in force stays.
    Refused {
        /// The revision, 0 where it could not be read.
        revision: Revision,
        /// Why.
        reason: Reason,
    },
    /// This node has seen the revision; heartbeats tell it from now on.
    Seen(Revision),
    /// Traffic may be taken.
    Ready,
    /// A decision to log.
    Note(Note),
}

/// How a manifest relates to what is known.
enum Standing {
    Newer,
    Fetching,
    Held,
    Conflict(Id),
    Older(Revision),
}

/// The machine of one node.
#[derive(Clone, Debug)]
pub struct Replicator {
    me: Vm,
    zone: Zone,
    key: Arc<str>,
    seed: u64,
    draws: u64,
    view: View,
    store: Store,
    fetch: Option<Fetch>,
    checking: Option<Set>,
    peers: peers::Peers,
    platform: platform::Platform,
    start: Option<start::Start>,
    refused: Vec<Id>,
    began: bool,
}

impl Replicator {
    /// Makes the machine of the process `me` in `zone`, whose manifest stands under `key`;
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
            draws: 0,
            view: View::default(),
            store: Store::default(),
            fetch: None,
            checking: None,
            peers: peers::Peers::default(),
            platform: platform::Platform::default(),
            start: Some(start::Start::default()),
            refused: Vec::new(),
            began: false,
        }
    }

    /// Returns the revision in force.
    pub fn force(&self) -> Option<Id> {
        self.store.force()
    }

    /// Returns the newest revision that this node has whole, refused or not.
    pub fn newest(&self) -> Option<Id> {
        self.store.newest()
    }

    /// Returns the number of platform calls asked for so far.
    pub fn calls(&self) -> u64 {
        self.platform.calls()
    }

    /// Tells whether this node watches the platform for its availability zone.
    pub fn watches(&self) -> bool {
        self.platform.watches()
    }

    fn take(&mut self, now: Time, event: Event, out: &mut impl Extend<Action>) {
        match event {
            Event::Watched { value } => self.watched(now, value, out),
            Event::WatchFailed { cause } => self.watch_failed(now, cause, out),
            Event::ReadDone { key, value } => self.read_done(now, key, value, out),
            Event::ReadFailed { key, cause } => self.read_failed(now, key, cause, out),
            Event::Receive { from, message } => self.receive(now, from.vm, message, out),
            Event::View(view) => self.see(view, out),
            Event::Heard { from, revision } => self.heard(now, from.vm, revision),
            Event::Checked { revision, result } => self.checked(revision, result, out),
            Event::Tick => {}
        }
    }

    fn settle(&mut self, now: Time, out: &mut impl Extend<Action>) {
        self.begin(now, out);
        self.pull(now, out);
        self.check(out);
        self.ask(now, out);
        self.arm(now, out);
        self.ready(now, out);
    }

    fn see(&mut self, view: View, out: &mut impl Extend<Action>) {
        self.view = view;
        self.peers.keep(&self.view);
        let watches = self.watcher(&self.zone) == Some(&self.me);
        if self.platform.elect(watches) {
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
            fetch.wake_idle(now);
        }
        self.peers.told(from, revision);
    }

    /// Returns the newest manifest known, whether its parts are here or not.
    fn floor(&self) -> Option<Id> {
        let fetched = self.fetch.as_ref().map(|fetch| fetch.id);
        let checking = self.checking.as_ref().map(|set| set.id);
        [self.store.newest(), fetched, checking].into_iter().max()?
    }

    fn floor_revision(&self) -> Revision {
        self.floor().map_or(0, |id| id.revision)
    }

    /// Takes a manifest in that the platform, or else the peer `from`, holds.
    fn consider(
        &mut self,
        now: Time,
        manifest: Manifest,
        from: Option<&Vm>,
        pick: Pick,
        out: &mut impl Extend<Action>,
    ) {
        let id = manifest.id();
        match self.standing(id, pick) {
            Standing::Newer => {
                let mut fetch = Fetch::new(now, manifest);
                fetch.fill(&self.store);
                self.fetch = Some(fetch);
                let from = from.cloned();
                out.extend([Action::Note(Note::Found { id, from })]);
            }
            Standing::Fetching | Standing::Held => {}
            Standing::Conflict(first) => self.conflict(first, id, out),
            Standing::Older(newest) => {
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
            fetch.held_by(now, from);
        }
    }

    fn standing(&self, id: Id, pick: Pick) -> Standing {
        let fetching = self.fetch.as_ref().map(|fetch| fetch.id);
        if fetching == Some(id) {
            return Standing::Fetching;
        }
        if self.store.set(id).is_some() || self.checking.as_ref().is_some_and(|s| s.id == id) {
            return Standing::Held;
        }
        let Some(floor) = self.floor() else {
            return Standing::Newer;
        };
        if id.revision > floor.revision || pick == Pick::Force && self.falls_back(id) {
            return Standing::Newer;
        }
        if id.revision == floor.revision {
            return Standing::Conflict(floor);
        }
        Standing::Older(floor.revision)
    }

    /// Tells whether a node with nothing in force, that had to refuse the newest, takes `id`,
    /// which is in force at a peer.
    fn falls_back(&self, id: Id) -> bool {
        let fetching = self.fetch.as_ref().map_or(0, |fetch| fetch.id.revision);
        self.needs_fallback() && self.checking.is_none() && id.revision > fetching
    }

    fn needs_fallback(&self) -> bool {
        self.store.force().is_none() && self.store.newest().is_some()
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

    /// Has a whole revision checked; one at a time.
    fn check(&mut self, out: &mut impl Extend<Action>) {
        if self.checking.is_some() {
            return;
        }
        let Some(fetch) = self.fetch.take_if(|fetch| fetch.whole()) else {
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
                set.verdict = Verdict::Good;
                let parts = set.parts();
                if self.store.put(set) {
                    out.extend([Action::Adopt { revision, parts }]);
                }
            }
            Err(text) => {
                set.verdict = Verdict::Bad;
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
        let peers = self.draw(self.others(), OFFER_FANOUT);
        out.extend(peers.into_iter().map(|to| Action::Send {
            to,
            message: Message::Offer(id),
        }));
    }

    /// Returns the live peers.
    fn others(&self) -> Vec<Vm> {
        let live = self.view.live().map(|peer| &peer.incarnation.vm);
        live.filter(|vm| **vm != self.me).cloned().collect()
    }

    /// Returns up to `count` of `vms`, others at each call.
    fn draw(&mut self, vms: Vec<Vm>, count: usize) -> Vec<Vm> {
        rank::top(self.number(), vms, count)
    }

    fn number(&mut self) -> u64 {
        self.draws += 1;
        rank::hash((self.seed ^ self.draws << 32 ^ self.draws).to_le_bytes())
    }

    /// Returns `base` doubled `times` times, at most `limit`, less up to a quarter.
    fn backoff(&mut self, base: Duration, times: u32, limit: Duration) -> Duration {
        let whole = (base * (1 << times.min(16))).min(limit);
        let percent = u32::try_from(self.number() % 25).unwrap_or(0);
        whole * (100 - percent) / 100
    }
}

impl Machine for Replicator {
    type Event = Event;
    type Action = Action;

    fn step(&mut self, now: Time, event: Event, out: &mut impl Extend<Action>) {
        self.take(now, event, out);
        self.settle(now, out);
    }

    fn wake(&self) -> Option<Time> {
        if !self.began {
            return Some(Time::ZERO);
        }
        let times = [
            self.fetch.as_ref().and_then(Fetch::wake),
            self.ask_wake(),
            self.platform.wake(),
            self.start_wake(),
        ];
        times.into_iter().flatten().min()
    }
}
