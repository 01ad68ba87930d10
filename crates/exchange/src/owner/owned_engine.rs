//! State that an owner keeps for one engine.

use std::time::Duration;

use wire::{Fence, Time, Upstream, Vm};

use super::pending_load::PendingLoad;
use super::usage::UsageTable;
use crate::demand::Target;
use crate::fleet::Version;
use crate::prefill_limit::PrefillLimiter;

/// Number of targets whose weights an engine is assumed to keep cached after an eviction.
const CACHED_MAX: usize = 150;

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
    pub(super) waiters: Vec<Vm>,
    pub(super) count: u32,
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
    /// Number of slots that this owner may fill.
    pub(super) slots: usize,
    /// When to compare `occupied` with the engine's report, after an order with an unknown outcome.
    pub(super) recheck_at: Option<Time>,
    /// Adapter loads in progress.
    pub(super) pending_loads: Vec<PendingLoad>,
    pub(super) usage: UsageTable,
    cached: Vec<Target>,
    pub(super) born: Option<u64>,
    /// When the last ordered load is expected to be complete.
    pub(super) loads_end: Time,
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
            recheck_at: None,
            pending_loads: Vec::new(),
            usage: UsageTable::default(),
            cached: Vec::new(),
            born: None,
            loads_end: Time::ZERO,
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
                    waiters: Vec::new(),
                    count: 0,
                });
                let last = self.load_requests.len() - 1;
                &mut self.load_requests[last]
            }
        };
        request.rank = request.rank.min(rank);
        request.count += 1;
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
            request.count = request.count.saturating_sub(1);
        }
        self.load_requests
            .retain(|request| !request.waiters.is_empty());
    }

    /// Returns the time until one more adapter could be loaded, if each load takes `load`.
    pub(super) fn backlog(&self, now: Time, load: Duration) -> Duration {
        let ahead = u32::try_from(self.load_requests.len()).unwrap_or(u32::MAX);
        let loads = self.loads_end.saturating_sub(now) + load * ahead.saturating_add(1);
        loads.max(self.slot_wait(now) + load)
    }

    /// Returns the time until a slot is free for one more adapter than those already requested.
    pub(super) fn slot_wait(&self, now: Time) -> Duration {
        let free = self.slots.saturating_sub(self.occupied.len());
        let Some(evictions) = (self.load_requests.len() + 1)
            .checked_sub(free)
            .filter(|n| *n > 0)
        else {
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

    /// Discards what a restarted engine process has lost. Its report will show what it holds.
    pub(super) fn reset_after_restart(&mut self, now: Time, born: Option<u64>) {
        self.born = born;
        self.cached.clear();
        self.pending_loads.clear();
        self.recheck_at = Some(now);
    }
}
