//! State that an owner keeps for one engine.

use std::time::Duration;

use wire::{Fence, Time, Upstream, Vm};

use super::order_count::OrderCount;
use super::pending_load::PendingLoad;
use super::replicas::Overflow;
use super::usage::UsageTable;
use crate::demand::Target;
use crate::fleet::Version;
use crate::prefill_limit::PrefillLimiter;

/// Number of targets whose weights an engine is assumed to keep cached after an eviction.
const CACHED_MAX: usize = 150;

/// Rank of a load that adds a replica before any request waits for it.
pub const REPLICA_RANK: u8 = u8::MAX;

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Load a target in this version, or the newest if none is given.
    Load(Target, Option<Version>),
    /// Ask whether an ordered load is complete. An engine that does not know the load starts it
    /// again.
    Confirm(Target, Option<Version>),
    /// Unload a target once no request uses it.
    Unload(Target),
}

impl Order {
    /// Returns the target of the order.
    pub fn target(&self) -> &Target {
        match self {
            Self::Load(target, _) | Self::Confirm(target, _) | Self::Unload(target) => target,
        }
    }

    /// Returns whether the order only asks about an earlier one.
    pub const fn is_confirm(&self) -> bool {
        matches!(self, Self::Confirm(..))
    }
}

impl std::fmt::Display for Order {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Load(target, Some(version)) => write!(f, "load {target}@{version}"),
            Self::Load(target, None) => write!(f, "load {target}"),
            Self::Confirm(target, _) => write!(f, "confirm {target}"),
            Self::Unload(target) => write!(f, "unload {target}"),
        }
    }
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The engine is carrying the order out.
    Accepted,
    /// The requested state already holds.
    Done,
    /// The engine is busy with another order.
    Busy,
    /// The engine has seen a higher fencing token.
    Fenced,
    /// The engine does not know the target or the order.
    Unfit,
    /// Another process answers at the engine's address.
    Misdirected,
    /// No answer arrived; the engine may have accepted the order.
    Unknown,
    /// The engine could not be reached.
    Unreached,
}

/// A request to load a target that is not resident.
#[derive(Clone, Debug)]
pub(super) struct LoadRequest {
    pub(super) target: Target,
    pub(super) rank: u8,
    pub(super) first_requested: Time,
    pub(super) last_requested: Time,
    /// Nodes with requests that wait for the load.
    pub(super) waiters: Vec<Vm>,
}

impl LoadRequest {
    /// Returns whether no request waits for the load yet.
    pub(super) const fn is_replica(&self) -> bool {
        self.rank == REPLICA_RANK
    }
}

/// A load or confirmation whose order had no answer, so that the engine may still carry it out.
#[derive(Clone, Debug)]
struct UnansweredLoad {
    target: Target,
    /// Until when the order may arrive.
    until: Time,
}

/// Whether orders may be sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OrderState {
    /// The owner waits for the engine's report.
    AwaitingReport,
    /// Orders may be sent from this time on.
    Ready(Time),
    /// An order is in flight.
    InFlight,
}

/// An engine that this node owns.
#[derive(Clone, Debug)]
pub(super) struct OwnedEngine {
    pub(super) engine: Upstream,
    pub(super) fence: Fence,
    pub(super) state: OrderState,
    /// Whether the engine has seen the fencing token of this claim.
    pub(super) fence_seen: bool,
    pub(super) load_requests: Vec<LoadRequest>,
    /// Adapters that may occupy a slot, sorted. Only the engine's own answers and reports remove
    /// one, because listings may be older than the latest orders.
    pub(super) occupied: Vec<Target>,
    /// Number of adapter slots of the engine.
    pub(super) slots: usize,
    unanswered_loads: Vec<UnansweredLoad>,
    /// When to compare `occupied` with the engine's report, after an order with an unknown outcome.
    pub(super) recheck_at: Option<Time>,
    /// Adapter loads in progress.
    pub(super) pending_loads: Vec<PendingLoad>,
    pub(super) usage: UsageTable,
    /// Requests that found the engine full, sorted by target.
    pub(super) overflows: Vec<Overflow>,
    cached: Vec<Target>,
    pub(super) born: Option<u64>,
    /// Whether it was claimed although an unknown node may give it orders.
    pub(super) is_guarded: bool,
    /// Its count of accepted orders, as far as this node's orders and its reports tell.
    pub(super) count: Option<OrderCount>,
    /// Since when the engine has no entry.
    pub(super) missing_since: Option<Time>,
    /// Prefill work given to the engine.
    pub(super) meter: PrefillLimiter,
}

impl OwnedEngine {
    pub(super) fn new(now: Time, engine: Upstream, fence: Fence) -> Self {
        Self {
            engine,
            fence,
            state: OrderState::Ready(now),
            fence_seen: false,
            load_requests: Vec::new(),
            occupied: Vec::new(),
            slots: usize::MAX,
            unanswered_loads: Vec::new(),
            recheck_at: None,
            pending_loads: Vec::new(),
            usage: UsageTable::default(),
            overflows: Vec::new(),
            cached: Vec::new(),
            born: None,
            is_guarded: false,
            count: None,
            missing_since: None,
            meter: PrefillLimiter::default(),
        }
    }

    /// Returns whether the engine is assumed to have the target's weights cached.
    pub(super) fn has_cached(&self, target: &Target) -> bool {
        self.cached.contains(target)
    }

    /// Records that the engine has just had the target's weights.
    pub(super) fn note_cached(&mut self, target: &Target) {
        self.cached.retain(|known| known != target);
        self.cached.push(target.clone());
        if self.cached.len() > CACHED_MAX {
            self.cached.remove(0);
        }
    }

    /// Adds a load request. Requests for the same target are merged.
    pub(super) fn add_load_request(&mut self, now: Time, target: Target, rank: u8, waiter: &Vm) {
        let request = match self
            .load_requests
            .iter_mut()
            .position(|request| request.target == target)
        {
            Some(index) => &mut self.load_requests[index],
            None => {
                self.load_requests.push(LoadRequest {
                    target,
                    rank,
                    first_requested: now,
                    last_requested: now,
                    waiters: Vec::new(),
                });
                let last = self.load_requests.len() - 1;
                &mut self.load_requests[last]
            }
        };
        request.rank = request.rank.min(rank);
        request.last_requested = now;
        if !request.waiters.contains(waiter) {
            request.waiters.push(waiter.clone());
        }
    }

    /// Removes `waiter` from the load request for `target`.
    pub(super) fn remove_load_request(&mut self, target: &Target, waiter: &Vm) {
        if let Some(request) = self
            .load_requests
            .iter_mut()
            .find(|request| request.target == *target)
        {
            request.waiters.retain(|known| known != waiter);
        }
        self.load_requests
            .retain(|request| !request.waiters.is_empty());
    }

    /// Returns the number of slots that are certainly free: an adapter whose load had no answer may
    /// still arrive, and a further load would then exceed what the engine holds.
    pub(super) fn free_slots(&self, now: Time) -> usize {
        let may_arrive = |load: &&UnansweredLoad| {
            now < load.until && self.occupied.binary_search(&load.target).is_err()
        };
        let held_back = self.unanswered_loads.iter().filter(may_arrive).count();
        self.slots.saturating_sub(self.occupied.len() + held_back)
    }

    /// Records that the order to load `target` had no answer and may arrive up to `until`.
    pub(super) fn note_unanswered_load(&mut self, now: Time, target: &Target, until: Time) {
        self.unanswered_loads
            .retain(|load| now < load.until && load.target != *target);
        self.unanswered_loads.push(UnansweredLoad {
            target: target.clone(),
            until,
        });
    }

    /// Returns the time until a slot is free for one more adapter, after `ahead` others were loaded.
    pub(super) fn slot_wait(&self, now: Time, ahead: usize) -> Duration {
        let free = self.free_slots(now);
        let Some(evictions) = (ahead + 1).checked_sub(free).filter(|n| *n > 0) else {
            return Duration::ZERO;
        };
        let ends = self
            .occupied
            .iter()
            .map(|target| self.usage.free_at(now, target));
        let mut ends: Vec<Time> = ends.collect();
        ends.sort_unstable();
        let last = ends.get(evictions - 1).or(ends.last());
        last.map_or(Duration::ZERO, |end| end.saturating_sub(now))
    }

    /// Records that an adapter may occupy a slot.
    pub(super) fn occupy(&mut self, target: &Target) {
        if target.adapter.is_some()
            && let Err(index) = self.occupied.binary_search(target)
        {
            self.occupied.insert(index, target.clone());
        }
    }

    /// Records that an adapter occupies no slot.
    pub(super) fn vacate(&mut self, target: &Target) {
        if let Ok(index) = self.occupied.binary_search(target) {
            self.occupied.remove(index);
        }
    }

    /// Records whether the engine has an entry. Returns since when it had none until now.
    pub(super) fn note_listed(&mut self, now: Time, is_listed: bool) -> Option<Time> {
        if !is_listed {
            return Some(*self.missing_since.get_or_insert(now));
        }
        let missing_since = self.missing_since.take();
        if missing_since.is_some() {
            // The entry tells less than was known before it lapsed.
            self.recheck_at = Some(now);
        }
        missing_since
    }

    /// Discards what a restarted engine process has lost. Its report will show what it holds.
    pub(super) fn reset_after_restart(&mut self, now: Time, born: Option<u64>) {
        if self.born.is_some() {
            self.count = None;
        }
        self.born = born;
        self.cached.clear();
        self.pending_loads.clear();
        self.recheck_at = Some(now);
    }
}
