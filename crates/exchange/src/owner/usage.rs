//! How requests use the adapters of one engine, and how long they are expected to.

use std::time::Duration;

use wire::Time;

use crate::demand::{DecayingCount, Target};

/// Use counts kept before the smallest are dropped.
const USES_MAX: usize = 512;

/// Decayed count of uses below which a target is forgotten.
const USE_MIN: f64 = 0.1;

/// Times as long as expected that a request may run and still be told from one whose end was not
/// heard of.
const OVERRUN: u32 = 3;

/// Time that is added to that: an engine that reads long prompts meanwhile makes short runs many times
/// longer.
const OVERRUN_MIN: Duration = Duration::from_millis(2_000);

/// Time after which a request that should be over is expected to be.
const STILL_RUNNING: Duration = Duration::from_millis(100);

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
    count: DecayingCount,
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

/// The uses of one engine's adapters, sorted by adapter.
#[derive(Clone, Debug, Default)]
pub(super) struct Uses(Vec<(Target, Use)>);

impl Uses {
    /// Counts a request that uses `target` here.
    pub(super) fn count(&mut self, now: Time, target: &Target, span: Span) {
        let usage = self.entry(target);
        usage.awaited = Time::ZERO;
        usage.count.add(now, 1.0);
        usage.spans.retain(|span| now < span.latest);
        usage.spans.push(span);
        if self.0.len() > USES_MAX {
            let kept = |usage: &Use| usage.in_use(now) || usage.count.value(now) > USE_MIN;
            self.0.retain(|(_, usage)| kept(usage));
        }
    }

    /// Tells whether a request uses `target` at present or is about to, as far as is known.
    pub(super) fn in_use(&self, now: Time, target: &Target) -> bool {
        let found = self.find(target).ok();
        found.is_some_and(|index| self.0[index].1.in_use(now))
    }

    /// Returns how many requests the engine has, as far as is known.
    pub(super) fn running(&self, now: Time) -> u32 {
        let running: usize = self.0.iter().map(|(_, usage)| usage.running(now)).sum();
        u32::try_from(running).unwrap_or(u32::MAX)
    }

    /// Keeps `target` until the requests that it was loaded for have come, until `until` at the
    /// latest.
    pub(super) fn reserve(&mut self, target: &Target, until: Time) {
        self.entry(target).awaited = until;
    }

    fn entry(&mut self, target: &Target) -> &mut Use {
        let index = match self.find(target) {
            Ok(index) => index,
            Err(index) => {
                self.0.insert(index, (target.clone(), Use::default()));
                index
            }
        };
        &mut self.0[index].1
    }

    /// Notes that a request that used `target` is over. Returns how many times as long as its tokens
    /// tell it took, where that is known.
    pub(super) fn release(&mut self, now: Time, target: &Target) -> Option<f64> {
        let index = self.find(target).ok()?;
        let spans = &mut self.0[index].1.spans;
        let first = (0..spans.len()).min_by_key(|span| spans[*span].end)?;
        let alone = spans.len() == 1;
        let over = spans.swap_remove(first);
        // Among several it is not known which one is over.
        over.ratio(now).filter(|_| alone)
    }

    fn find(&self, target: &Target) -> Result<usize, usize> {
        self.0.binary_search_by(|(known, _)| known.cmp(target))
    }

    /// Returns the decayed count of requests that used `target` here.
    pub(super) fn value(&self, now: Time, target: &Target) -> f64 {
        let found = self.find(target).ok();
        found.map_or(0.0, |index| self.0[index].1.count.value(now))
    }

    /// Returns when `target` is expected to be used no longer.
    pub(super) fn unused_from(&self, now: Time, target: &Target) -> Time {
        let found = self.find(target).ok();
        let usage = found.map(|index| &self.0[index].1);
        let Some(usage) = usage.filter(|usage| usage.in_use(now)) else {
            return now;
        };
        let ends = usage.spans.iter().map(|span| span.end);
        let last = ends.max().unwrap_or_default().max(usage.awaited);
        // What should be over by now may be so at any moment.
        last.max(now + STILL_RUNNING)
    }
}
