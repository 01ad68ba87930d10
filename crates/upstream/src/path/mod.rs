//! Whether this node reaches upstreams directly, or through a peer.
//!
//! What is noted here holds for this node alone: it says nothing about the upstream, and is shared with
//! nobody. Whether an upstream is gone or this node is partitioned from it is told apart by a peer that
//! opens a connection there.
//!
//! [`Paths`] does no I/O: `relay` opens the connections and passes on what came of them.

mod candidates;
mod controls;

use std::time::Duration;

use wire::{Time, Upstream, Vm, Zone};

pub use candidates::Peer;
pub use controls::Control;

/// Time for which a direct connection has to open before a peer is asked as well: a few round trips.
const HEAD_START: Duration = Duration::from_millis(100);

/// The same where direct connections to several upstreams fail.
const HEAD_START_SUSPECTED: Duration = Duration::from_millis(10);

/// Upstreams that have to be partitioned from this node before others are suspected to be as well.
const LOST_MIN: usize = 2;

/// Time between two attempts to open a direct connection that is partitioned.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time until the first one of these.
const FIRST_PROBE: Duration = Duration::from_millis(300);

/// Time between two such attempts to any upstream, until one succeeds.
const PROBE_PACE: Duration = Duration::from_millis(150);

/// Time for which no peer is asked again after none has reached an upstream.
const GONE_TIME: Duration = Duration::from_millis(300);

/// Time between two checks of a path, and the longest time between them while they find nothing.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
const CHECK_INTERVAL_MAX: Duration = Duration::from_secs(2);

/// Peers that have to fail to reach an upstream before it counts as gone, where not all were asked, and
/// that it has to refuse before it counts as refusing all.
const FAILURES_MIN: usize = 3;

/// Time for which a peer is not asked again for an upstream that it did not reach.
const AVOID_TIME: Duration = Duration::from_secs(2);

/// Time without a new connection after which the state of an upstream is forgotten.
const UNUSED_TIME: Duration = Duration::from_secs(10);

/// Over which way a connection goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Way {
    /// Directly to the upstream.
    Direct,
    /// Through this peer.
    Peer(Vm),
}

impl Way {
    /// Returns the name used in logs: the peer's, where there is one.
    pub fn name(&self) -> &str {
        match self {
            Self::Direct => "direct",
            Self::Peer(vm) => vm,
        }
    }
}

/// How to open the next connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Directly.
    Direct,
    /// Directly, and after the head start through a peer as well; the first one is used.
    Race {
        /// Time before a peer is asked.
        head_start: Duration,
    },
    /// Through a peer.
    Relay,
}

/// The way to an upstream has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The upstream.
    pub upstream: Upstream,
    /// The way from now on.
    pub way: Way,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    /// Direct connections open, as far as known.
    Reached,
    /// A peer reaches it and this node does not. The next direct attempt is due then.
    Lost { probe_at: Time },
    /// Neither this node nor a peer reached it; no peer is asked before then.
    Gone { until: Time },
}

/// A peer that is not asked for a while.
#[derive(Debug)]
struct Avoided {
    vm: Vm,
    until: Time,
    /// Whether the upstream refused its connection.
    refused: bool,
}

/// What is known of one upstream.
#[derive(Debug)]
struct State {
    upstream: Upstream,
    standing: Standing,
    /// Whether the last reported way is the direct one.
    direct: bool,
    /// When a direct connection opened last, or an answer came on one.
    reached_at: Option<Time>,
    /// When bytes came last, over any way.
    heard_at: Time,
    /// When a connection was asked for last.
    used_at: Time,
    /// The peer that reached it last.
    relay: Option<Vm>,
    /// Peers that did not reach it.
    avoided: Vec<Avoided>,
    next_check: Time,
    check_interval: Duration,
}

impl State {
    fn new(upstream: &Upstream, now: Time) -> Self {
        Self {
            upstream: upstream.clone(),
            standing: Standing::Reached,
            direct: true,
            reached_at: None,
            heard_at: now,
            used_at: now,
            relay: None,
            avoided: Vec::new(),
            next_check: now,
            check_interval: CHECK_INTERVAL,
        }
    }

    /// Takes in that a connection has opened, whatever was refused before.
    fn trust_no_refusal(&mut self) {
        self.avoided
            .iter_mut()
            .for_each(|known| known.refused = false);
    }

    const fn is_lost(&self) -> bool {
        matches!(self.standing, Standing::Lost { .. })
    }
}

/// The paths of one node to all upstreams.
#[derive(Debug)]
pub struct Paths {
    me: Vm,
    zone: Zone,
    /// Sorted by upstream.
    states: Vec<State>,
    /// Live peers, sorted by VM.
    peers: Vec<Peer>,
    /// All upstreams that ought to take connections.
    controls: Vec<Control>,
    /// Since when several upstreams are partitioned from this node.
    suspected_since: Option<Time>,
    next_probe: Time,
    healed: bool,
    changes: Vec<Change>,
}

impl Paths {
    /// Makes the paths of a node that knows no peer.
    pub fn new(me: impl Into<Vm>, zone: impl Into<Zone>) -> Self {
        Self {
            me: me.into(),
            zone: zone.into(),
            states: Vec::new(),
            peers: Vec::new(),
            controls: Vec::new(),
            suspected_since: None,
            next_probe: Time::ZERO,
            healed: false,
            changes: Vec::new(),
        }
    }

    /// Replaces the live peers.
    pub fn set_peers(&mut self, peers: impl IntoIterator<Item = Peer>) {
        self.peers = peers
            .into_iter()
            .filter(|peer| peer.vm != self.me)
            .collect();
        self.peers.sort_unstable_by(|a, b| a.vm.cmp(&b.vm));
    }

    /// Tells whether this node seems to be partitioned from several upstreams.
    pub const fn is_suspected(&self) -> bool {
        self.suspected_since.is_some()
    }

    /// Says how to open a connection to `upstream`.
    pub fn step(&mut self, now: Time, upstream: &Upstream) -> Step {
        let suspected = self.suspected_since;
        let alone = self.peers.is_empty();
        let state = self.state(now, upstream);
        state.used_at = now;
        match state.standing {
            _ if alone => Step::Direct,
            Standing::Lost { .. } => Step::Relay,
            Standing::Gone { until } if now < until => Step::Direct,
            Standing::Gone { .. } | Standing::Reached => Step::Race {
                head_start: if suspected > state.reached_at {
                    HEAD_START_SUSPECTED
                } else {
                    HEAD_START
                },
            },
        }
    }

    /// Takes in that a direct connection has opened, and stayed open where the way was lost.
    pub fn reached(&mut self, now: Time, upstream: &Upstream) {
        let state = self.state(now, upstream);
        let back = !state.direct;
        state.standing = Standing::Reached;
        state.direct = true;
        state.reached_at = Some(now);
        state.heard_at = now;
        state.trust_no_refusal();
        if back {
            state.relay = None;
            self.healed = true;
            self.change(now, upstream, Way::Direct);
        }
    }

    /// Takes in that a peer has opened a connection where none opened directly.
    pub fn relayed(&mut self, now: Time, upstream: &Upstream, peer: &Vm) {
        let state = self.state(now, upstream);
        state.heard_at = now;
        let known = state.is_lost() && state.relay.as_ref() == Some(peer);
        if !state.is_lost() {
            let probe_at = now + FIRST_PROBE;
            state.standing = Standing::Lost { probe_at };
        }
        state.direct = false;
        state.relay = Some(peer.clone());
        state.trust_no_refusal();
        if !known {
            self.healed = false;
            self.change(now, upstream, Way::Peer(peer.clone()));
        }
    }

    /// Takes in that a peer did not open a connection. `refused` tells whether the upstream refused it.
    pub fn relay_failed(&mut self, now: Time, upstream: &Upstream, peer: &Vm, refused: bool) {
        let state = self.state(now, upstream);
        let avoided = &mut state.avoided;
        avoided.retain(|known| known.vm != *peer && now < known.until);
        avoided.push(Avoided {
            vm: peer.clone(),
            until: now + AVOID_TIME,
            refused,
        });
        if state.relay.as_ref() == Some(peer) {
            state.relay = None;
        }
    }

    /// Tells whether the upstream refuses the connections of so many peers that it refuses all: some may
    /// be partitioned from it like this node.
    pub fn is_refused(&self, now: Time, upstream: &str) -> bool {
        let avoided = self.find(upstream).map(|state| &state.avoided[..]);
        let avoided = avoided.unwrap_or_default().iter();
        let refused = avoided.filter(|known| known.refused && now < known.until);
        refused.count() >= self.peers.len().min(FAILURES_MIN)
    }

    /// Takes in that neither this node nor a peer has reached the upstream.
    pub fn unreached(&mut self, now: Time, upstream: &Upstream) {
        let state = self.state(now, upstream);
        state.standing = Standing::Gone {
            until: now + GONE_TIME,
        };
        self.suspect(now);
    }

    /// Takes in that the time for a connection has run out before all peers were asked.
    pub fn timed_out(&mut self, now: Time, upstream: &Upstream) {
        let enough = self.peers.len().min(FAILURES_MIN);
        let state = self.state(now, upstream);
        let failed = state.avoided.iter().filter(|known| now < known.until);
        if failed.count() >= enough {
            self.unreached(now, upstream);
        }
    }

    /// Takes in that bytes came from the upstream over `way`.
    pub fn heard(&mut self, now: Time, upstream: &Upstream, way: &Way) {
        let state = self.state(now, upstream);
        state.heard_at = now;
        if *way == Way::Direct && !state.is_lost() {
            state.reached_at = Some(now);
        }
    }

    /// Tells whether a kept connection over `way`, whose last exchange ended at `used`, may carry
    /// another request.
    pub fn keeps(&self, upstream: &str, way: &Way, used: Option<Time>) -> bool {
        let state = self.find(upstream);
        match way {
            Way::Peer(peer) => {
                // Leaving peers are not among these.
                let live = self.peer(peer).is_some();
                live && state.is_some_and(|state| state.relay.as_ref() == Some(peer))
            }
            Way::Direct => state.is_none_or(|state| {
                let reached = state.reached_at.max(used) >= self.suspected_since;
                reached && !state.is_lost()
            }),
        }
    }

    /// Tells whether this node knows that it is partitioned from the upstream.
    pub fn is_lost(&self, upstream: &str) -> bool {
        self.find(upstream).is_some_and(State::is_lost)
    }

    /// Tells whether a direct connection has to stay open for a while before it counts as one: the direct
    /// way was lost, and what resets connections may take them first.
    pub fn is_doubted(&self, upstream: &str) -> bool {
        self.find(upstream).is_some_and(|state| !state.direct)
    }

    /// Tells whether to check the path to an upstream that has been silent since `since`, or that broke
    /// a request off then.
    pub fn may_check(&mut self, now: Time, upstream: &Upstream, since: Time) -> bool {
        let alone = self.peers.is_empty();
        let state = self.state(now, upstream);
        let due = !alone && now >= state.next_check && state.heard_at <= since;
        if due {
            if now >= state.next_check + CHECK_INTERVAL_MAX {
                state.check_interval = CHECK_INTERVAL;
            }
            state.next_check = now + state.check_interval;
            state.check_interval = (state.check_interval * 2).min(CHECK_INTERVAL_MAX);
        }
        due
    }

    /// Takes in that a check has found the path broken: the next one need not wait for long.
    pub fn check_failed(&mut self, now: Time, upstream: &Upstream) {
        self.state(now, upstream).check_interval = CHECK_INTERVAL;
    }

    /// Returns the upstream to which a direct connection is to be tried now, if any is due.
    pub fn probe(&mut self, now: Time) -> Option<Upstream> {
        self.drop_states(|state| now >= state.used_at.max(state.heard_at) + UNUSED_TIME);
        self.suspect(now);
        if now < self.next_probe {
            return None;
        }
        let due = |state: &&mut State| match state.standing {
            Standing::Lost { probe_at } => {
                probe_at <= now || (self.healed && probe_at <= now + PROBE_INTERVAL - FIRST_PROBE)
            }
            Standing::Reached | Standing::Gone { .. } => false,
        };
        let first = self.states.iter_mut().filter(due).min_by_key(|state| {
            let Standing::Lost { probe_at } = state.standing else {
                return Time::MAX;
            };
            probe_at
        })?;
        first.standing = Standing::Lost {
            probe_at: now + PROBE_INTERVAL,
        };
        let upstream = first.upstream.clone();
        if !self.healed {
            self.next_probe = now + PROBE_PACE;
        }
        Some(upstream)
    }

    /// Takes in that a direct connection that [`Paths::probe`] asked for did not open.
    pub fn probe_failed(&mut self) {
        self.healed = false;
    }

    /// Forgets an upstream that is gone, or whose address has changed.
    pub fn forget(&mut self, upstream: &str) {
        self.drop_states(|state| *state.upstream == *upstream);
    }

    /// Drops states. Without one, an upstream counts as reached directly.
    fn drop_states(&mut self, is_dropped: impl Fn(&State) -> bool) {
        let doubted = self.states.iter().filter(|state| !state.direct);
        let dropped = doubted.filter(|state| is_dropped(state));
        self.changes.extend(dropped.map(|state| Change {
            upstream: state.upstream.clone(),
            way: Way::Direct,
        }));
        self.states.retain(|state| !is_dropped(state));
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    fn change(&mut self, now: Time, upstream: &Upstream, way: Way) {
        let upstream = upstream.clone();
        self.changes.push(Change { upstream, way });
        self.suspect(now);
    }

    /// Suspects the paths to all upstreams while those to several are lost.
    fn suspect(&mut self, now: Time) {
        let lost = self.states.iter().filter(|state| state.is_lost()).count();
        if lost < LOST_MIN {
            self.suspected_since = None;
        } else if self.suspected_since.is_none() {
            self.suspected_since = Some(now);
        }
    }

    fn peer(&self, vm: &str) -> Option<&Peer> {
        let found = self.peers.binary_search_by(|peer| (*peer.vm).cmp(vm));
        found.ok().map(|index| &self.peers[index])
    }

    fn find(&self, upstream: &str) -> Option<&State> {
        let found = self.search(upstream);
        found.ok().map(|index| &self.states[index])
    }

    fn search(&self, upstream: &str) -> Result<usize, usize> {
        self.states
            .binary_search_by(|state| (*state.upstream).cmp(upstream))
    }

    fn state(&mut self, now: Time, upstream: &Upstream) -> &mut State {
        let index = match self.search(upstream) {
            Ok(index) => index,
            Err(index) => {
                self.states.insert(index, State::new(upstream, now));
                index
            }
        };
        &mut self.states[index]
    }
}
