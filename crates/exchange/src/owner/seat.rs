//! What an owner keeps for one engine.

use std::time::Duration;

use wire::{Fence, Time, Upstream, Vm};

use super::flight::Flight;
use super::usage::Uses;
use crate::demand::Target;
use crate::fleet::Version;
use crate::prefill_limit::PrefillLimiter;

/// Targets whose weights an engine is believed to keep at hand after an eviction.
const KNOWN_MAX: usize = 150;

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Load a target, in this version or else the newest.
    Load(Target, Option<Version>),
    /// Tell whether a load that was ordered is over; it begins anew where it is unknown.
    Confirm(Target, Option<Version>),
    /// Drop a target once no request uses it.
    Unload(Target),
}

impl Order {
    /// Returns what the order is about.
    pub fn target(&self) -> &Target {
        match self {
            Self::Load(target, _) | Self::Confirm(target, _) | Self::Unload(target) => target,
        }
    }

    /// Tells whether it asks for what was ordered before.
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

/// How an engine answered an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It is being carried out.
    Accepted,
    /// What it asks for holds already.
    Done,
    /// Another order is in progress.
    Busy,
    /// A higher fencing number was seen.
    Fenced,
    /// The engine knows no such target or order.
    Unfit,
    /// Another process answers at the address.
    Misdirected,
    /// No answer came; the order may have been accepted.
    Unknown,
    /// The engine could not be reached.
    Unreached,
}

/// A need for a target that is not there.
#[derive(Clone, Debug)]
pub(super) struct Want {
    pub(super) target: Target,
    pub(super) rank: u8,
    pub(super) since: Time,
    pub(super) askers: Vec<Vm>,
    pub(super) asked: u32,
}

/// Whether orders may be given at a seat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The engine's report is awaited.
    Inspecting,
    /// Orders may be given from then on.
    Open(Time),
    /// An order is under way.
    Flying,
}

/// One engine that this node orders at.
#[derive(Clone, Debug)]
pub(super) struct Seat {
    pub(super) engine: Upstream,
    pub(super) fence: Fence,
    pub(super) stage: Stage,
    /// Whether the engine has seen this claim's number.
    pub(super) raised: bool,
    pub(super) wants: Vec<Want>,
    /// Adapters that may take a place, sorted. Only the engine's own word takes one off: listings
    /// may be older than the orders given since.
    pub(super) ledger: Vec<Target>,
    /// Adapters that may take a place at a time.
    pub(super) room: usize,
    /// When the ledger has to be checked against the engine's report, since an order's outcome is
    /// not known.
    pub(super) doubt: Option<Time>,
    /// Loads of adapters that are under way.
    pub(super) flights: Vec<Flight>,
    pub(super) uses: Uses,
    known: Vec<Target>,
    pub(super) born: Option<u64>,
    /// When the last load that was ordered is expected to be over.
    pub(super) loaded_at: Time,
    /// Prompts that the engine was given to read.
    pub(super) meter: PrefillLimiter,
}

impl Seat {
    pub(super) fn new(now: Time, engine: Upstream, fence: Fence) -> Self {
        Self {
            engine,
            fence,
            stage: Stage::Open(now),
            raised: false,
            wants: Vec::new(),
            ledger: Vec::new(),
            room: usize::MAX,
            doubt: None,
            flights: Vec::new(),
            uses: Uses::default(),
            known: Vec::new(),
            born: None,
            loaded_at: Time::ZERO,
            meter: PrefillLimiter::default(),
        }
    }

    /// Tells whether the engine is believed to have the target's weights at hand.
    pub(super) fn knows(&self, target: &Target) -> bool {
        self.known.contains(target)
    }

    /// Notes that the engine had the target's weights just now.
    pub(super) fn remember(&mut self, target: &Target) {
        self.known.retain(|known| known != target);
        self.known.push(target.clone());
        if self.known.len() > KNOWN_MAX {
            self.known.remove(0);
        }
    }

    /// Notes a need; needs for one target join.
    pub(super) fn want(&mut self, now: Time, target: Target, rank: u8, asker: &Vm) {
        let want = match self.wants.iter_mut().position(|want| want.target == target) {
            Some(index) => &mut self.wants[index],
            None => {
                self.wants.push(Want {
                    target,
                    rank,
                    since: now,
                    askers: Vec::new(),
                    asked: 0,
                });
                let last = self.wants.len() - 1;
                &mut self.wants[last]
            }
        };
        want.rank = want.rank.min(rank);
        want.asked += 1;
        if !want.askers.contains(asker) {
            want.askers.push(asker.clone());
        }
    }

    /// Drops a need of `asker`.
    pub(super) fn unwant(&mut self, target: &Target, asker: &Vm) {
        if let Some(want) = self.wants.iter_mut().find(|want| want.target == *target) {
            want.askers.retain(|known| known != asker);
            want.asked = want.asked.saturating_sub(1);
        }
        self.wants.retain(|want| !want.askers.is_empty());
    }

    /// Returns the time until another adapter could be there, with `load` for each load ahead.
    pub(super) fn backlog(&self, now: Time, load: Duration) -> Duration {
        let ahead = u32::try_from(self.wants.len()).unwrap_or(u32::MAX);
        let loads = self.loaded_at.saturating_sub(now) + load * ahead.saturating_add(1);
        loads.max(self.vacancy(now) + load)
    }

    /// Returns the time until there is a place for one adapter more than those that are wanted.
    pub(super) fn vacancy(&self, now: Time) -> Duration {
        let free = self.room.saturating_sub(self.ledger.len());
        let Some(evictions) = (self.wants.len() + 1).checked_sub(free).filter(|n| *n > 0) else {
            return Duration::ZERO;
        };
        let ends = self
            .ledger
            .iter()
            .map(|target| self.uses.unused_from(now, target));
        let mut ends: Vec<Time> = ends.collect();
        ends.sort_unstable();
        let last = ends.get(evictions - 1).or(ends.last());
        last.map_or(Duration::ZERO, |end| end.saturating_sub(now))
    }

    /// Notes that an adapter may take a place.
    pub(super) fn enter(&mut self, target: &Target) {
        if target.adapter.is_some()
            && let Err(index) = self.ledger.binary_search(target)
        {
            self.ledger.insert(index, target.clone());
        }
    }

    /// Notes that an adapter takes no place.
    pub(super) fn leave(&mut self, target: &Target) {
        if let Ok(index) = self.ledger.binary_search(target) {
            self.ledger.remove(index);
        }
    }

    /// Begins anew with an engine whose process started anew. Its report tells what it holds.
    pub(super) fn restart(&mut self, now: Time, born: Option<u64>) {
        self.born = born;
        self.known.clear();
        self.flights.clear();
        self.doubt = Some(now);
    }
}
