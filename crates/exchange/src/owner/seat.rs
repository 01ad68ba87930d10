//! What an owner keeps for one engine.

use std::time::Duration;

use wire::{Fence, Time, Upstream, Vm};

use super::flight::Flight;
use crate::demand::{Count, Target};
use crate::fleet::Version;
use crate::meter::Meter;

/// Targets whose weights an engine is believed to keep at hand after an eviction.
const KNOWN_MAX: usize = 150;

/// Use counts kept before the smallest are dropped.
const USES_MAX: usize = 512;

/// Decayed count of uses below which a target is forgotten.
const USE_MIN: f64 = 0.1;

/// Times as long as expected that a request may run and still be told from one whose end was not
/// heard of.
const OVERRUN: u32 = 3;

/// Weight of one request in what the next ones are expected to take.
const SPEED_WEIGHT: f64 = 0.05;

/// Most by which requests are expected to take longer than their tokens tell.
const SPEED_MAX: f64 = 10.0;

/// How many times longer requests run than their tokens tell: engines differ in speed, and get slower
/// the more they run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Speed(f64);

impl Default for Speed {
    fn default() -> Self {
        Self(1.0)
    }
}

impl Speed {
    fn stretch(self, time: Duration) -> Duration {
        time.mul_f64(self.0)
    }

    /// Takes in that a request took `ratio` times as long as its tokens tell.
    pub(super) fn learn(&mut self, ratio: f64) {
        let ratio = ratio.clamp(1.0, SPEED_MAX);
        self.0 += (ratio - self.0) * SPEED_WEIGHT;
    }
}

/// Time that is added to that: an engine that reads long prompts meanwhile makes short runs many times
/// longer.
const OVERRUN_MIN: Duration = Duration::from_millis(2_000);

/// Time after which a request that should be over is expected to be.
const STILL_RUNNING: Duration = Duration::from_millis(100);

/// A request that was let in, should nobody say that it is over: that word may be lost.
#[derive(Clone, Copy, Debug)]
pub(super) struct Span {
    start: Time,
    /// How long it takes at an engine of the expected speed.
    time: Duration,
    /// When it is expected to be over.
    end: Time,
    /// When it is over at the latest.
    latest: Time,
}

impl Span {
    /// Returns the span of a request that begins at `start` and is expected to take `time`, at an
    /// engine of that speed.
    pub(super) fn expected(start: Time, time: Duration, speed: Speed) -> Self {
        let stretched = speed.stretch(time);
        Self {
            start,
            time,
            end: start + stretched,
            latest: start + stretched * OVERRUN + OVERRUN_MIN,
        }
    }

    /// Returns the span of a request of another time that is over at `end` at the latest.
    pub(super) const fn until(end: Time) -> Self {
        Self {
            start: Time::ZERO,
            time: Duration::ZERO,
            end,
            latest: end,
        }
    }

    /// Returns how many times as long as at the expected speed the request took.
    fn ratio(&self, now: Time) -> Option<f64> {
        let took = now.saturating_sub(self.start).as_secs_f64();
        (!self.time.is_zero()).then(|| took / self.time.as_secs_f64())
    }
}

/// How a target is used at one engine.
#[derive(Clone, Debug, Default)]
struct Use {
    count: Count,
    spans: Vec<Span>,
    /// Until when the requests that a load is for are awaited.
    awaited: Time,
}

impl Use {
    fn running(&self, now: Time) -> usize {
        self.spans.iter().filter(|span| now < span.end).count()
    }

    fn in_use(&self, now: Time) -> bool {
        now < self.awaited || self.spans.iter().any(|span| now < span.latest)
    }
}

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
    pub const fn confirms(&self) -> bool {
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
    pub(super) runner: Upstream,
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
    uses: Vec<(Target, Use)>,
    known: Vec<Target>,
    pub(super) born: Option<u64>,
    /// When the last load that was ordered is expected to be over.
    pub(super) loaded_at: Time,
    /// Prompts that the engine was given to read.
    pub(super) meter: Meter,
}

impl Seat {
    pub(super) fn new(now: Time, runner: Upstream, fence: Fence) -> Self {
        Self {
            runner,
            fence,
            stage: Stage::Open(now),
            raised: false,
            wants: Vec::new(),
            ledger: Vec::new(),
            room: usize::MAX,
            doubt: None,
            flights: Vec::new(),
            uses: Vec::new(),
            known: Vec::new(),
            born: None,
            loaded_at: Time::ZERO,
            meter: Meter::default(),
        }
    }

    /// Counts a request that uses `target` here.
    pub(super) fn count(&mut self, now: Time, target: &Target, span: Span) {
        let usage = self.usage(target);
        usage.awaited = Time::ZERO;
        usage.count.add(now, 1.0);
        usage.spans.retain(|span| now < span.latest);
        usage.spans.push(span);
        if self.uses.len() > USES_MAX {
            let kept = |usage: &Use| usage.in_use(now) || usage.count.value(now) > USE_MIN;
            self.uses.retain(|(_, usage)| kept(usage));
        }
    }

    /// Tells whether a request uses `target` at present or is about to, as far as is known.
    pub(super) fn in_use(&self, now: Time, target: &Target) -> bool {
        let found = self.find_use(target).ok();
        found.is_some_and(|index| self.uses[index].1.in_use(now))
    }

    /// Returns how many requests the engine has, as far as is known.
    pub(super) fn running(&self, now: Time) -> u32 {
        let running: usize = self.uses.iter().map(|(_, usage)| usage.running(now)).sum();
        u32::try_from(running).unwrap_or(u32::MAX)
    }

    /// Keeps `target` until the requests that it was loaded for have come, until `until` at the
    /// latest.
    pub(super) fn reserve(&mut self, target: &Target, until: Time) {
        self.usage(target).awaited = until;
    }

    fn usage(&mut self, target: &Target) -> &mut Use {
        let index = match self.find_use(target) {
            Ok(index) => index,
            Err(index) => {
                self.uses.insert(index, (target.clone(), Use::default()));
                index
            }
        };
        &mut self.uses[index].1
    }

    /// Notes that a request that used `target` is over. Returns how many times as long as its tokens
    /// tell it took, where that is known.
    pub(super) fn release(&mut self, now: Time, target: &Target) -> Option<f64> {
        let index = self.find_use(target).ok()?;
        let spans = &mut self.uses[index].1.spans;
        let first = (0..spans.len()).min_by_key(|span| spans[*span].end)?;
        let alone = spans.len() == 1;
        let over = spans.swap_remove(first);
        // Among several it is not known which one is over.
        over.ratio(now).filter(|_| alone)
    }

    fn find_use(&self, target: &Target) -> Result<usize, usize> {
        self.uses.binary_search_by(|(known, _)| known.cmp(target))
    }

    /// Returns the decayed count of requests that used `target` here.
    pub(super) fn use_of(&self, now: Time, target: &Target) -> f64 {
        let found = self.find_use(target).ok();
        found.map_or(0.0, |index| self.uses[index].1.count.value(now))
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
            .map(|target| self.unused_from(now, target));
        let mut ends: Vec<Time> = ends.collect();
        ends.sort_unstable();
        let last = ends.get(evictions - 1).or(ends.last());
        last.map_or(Duration::ZERO, |end| end.saturating_sub(now))
    }

    /// Returns when `target` is expected to be used no longer.
    fn unused_from(&self, now: Time, target: &Target) -> Time {
        let found = self.find_use(target).ok();
        let usage = found.map(|index| &self.uses[index].1);
        let Some(usage) = usage.filter(|usage| usage.in_use(now)) else {
            return now;
        };
        let ends = usage.spans.iter().map(|span| span.end);
        let last = ends.max().unwrap_or_default().max(usage.awaited);
        // What should be over by now may be so at any moment.
        last.max(now + STILL_RUNNING)
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
