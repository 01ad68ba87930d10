//! How requests use the adapters of one engine, and how long they are expected to run.

use std::time::Duration;

use wire::Time;

use crate::demand::{DecayingCount, Target};

/// Number of tracked targets above which rarely used ones are dropped.
const TRACKED_MAX: usize = 512;

/// Decayed use count at or below which an idle target is dropped.
const COUNT_MIN: f64 = 0.1;

/// Multiple of its expected time for which a request counts as running, before its end is assumed
/// to have been lost.
const OVERRUN_FACTOR: u32 = 3;

/// Time added to that, since long prefills at the same engine can make short requests take many
/// times longer.
const OVERRUN_EXTRA: Duration = Duration::from_millis(2_000);

/// Time after which an overdue request is expected to end.
const OVERDUE_EXTENSION: Duration = Duration::from_millis(100);

/// Weight of one request in the estimated slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.05;

/// Weight of one request in the mean duration of a run.
const RUN_WEIGHT: f64 = 0.1;

/// Upper limit of the estimated slowdown.
const SLOWDOWN_MAX: f64 = 10.0;

/// Estimated factor by which requests take longer than their token counts suggest: engines differ
/// in speed and slow down with the number of running requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct RunSlowdown(f64);

impl Default for RunSlowdown {
    fn default() -> Self {
        Self(1.0)
    }
}

impl RunSlowdown {
    fn stretch(self, time: Duration) -> Duration {
        time.mul_f64(self.0)
    }

    /// Updates the estimate with a request that took `ratio` times as long as its tokens suggest.
    pub(super) fn learn(&mut self, ratio: f64) {
        let ratio = ratio.clamp(1.0, SLOWDOWN_MAX);
        self.0 += (ratio - self.0) * SLOWDOWN_WEIGHT;
    }
}

/// An admitted request with its expected end, which frees the adapter if the message that it has
/// ended is lost.
#[derive(Clone, Copy, Debug)]
pub(super) struct ExpectedRun {
    start: Time,
    /// Duration without any slowdown.
    nominal: Duration,
    /// Expected end.
    end: Time,
    /// Latest end.
    latest: Time,
}

impl ExpectedRun {
    /// Returns the run of a request that starts at `start` and takes `time` without slowdown.
    pub(super) fn expected(start: Time, time: Duration, slowdown: RunSlowdown) -> Self {
        let stretched = slowdown.stretch(time);
        Self {
            start,
            nominal: time,
            end: start + stretched,
            latest: start + stretched * OVERRUN_FACTOR + OVERRUN_EXTRA,
        }
    }

    /// Returns the run of a request of unknown start that ends at `end` at the latest.
    pub(super) const fn until(end: Time) -> Self {
        Self {
            start: Time::ZERO,
            nominal: Duration::ZERO,
            end,
            latest: end,
        }
    }

    /// Returns how many times longer than without slowdown the request took.
    fn ratio(&self, now: Time) -> Option<f64> {
        let took = now.saturating_sub(self.start).as_secs_f64();
        (!self.nominal.is_zero()).then(|| took / self.nominal.as_secs_f64())
    }
}

/// How one target is used.
#[derive(Clone, Debug, Default)]
struct AdapterUsage {
    count: DecayingCount,
    runs: Vec<ExpectedRun>,
    /// Until when the target is kept for the requests that it was loaded for.
    reserved_until: Time,
}

impl AdapterUsage {
    fn running(&self, now: Time) -> usize {
        self.runs.iter().filter(|run| now < run.end).count()
    }

    fn in_use(&self, now: Time) -> bool {
        now < self.reserved_until || self.runs.iter().any(|run| now < run.latest)
    }
}

/// Use of the targets of one engine.
#[derive(Clone, Debug, Default)]
pub(super) struct UsageTable {
    /// Sorted by target.
    targets: Vec<(Target, AdapterUsage)>,
    /// Mean duration of the requests that have ended.
    mean_run: Duration,
}

impl UsageTable {
    /// Records the start of a request that uses `target`.
    pub(super) fn record_start(&mut self, now: Time, target: &Target, run: ExpectedRun) {
        let usage = self.entry(target);
        usage.reserved_until = Time::ZERO;
        usage.count.add(now, 1.0);
        usage.runs.retain(|run| now < run.latest);
        usage.runs.push(run);
        if self.targets.len() > TRACKED_MAX {
            let kept =
                |usage: &AdapterUsage| usage.in_use(now) || usage.count.value(now) > COUNT_MIN;
            self.targets.retain(|(_, usage)| kept(usage));
        }
    }

    /// Returns whether a request is using `target` or is about to, as far as this node knows.
    pub(super) fn in_use(&self, now: Time, target: &Target) -> bool {
        let found = self.find(target).ok();
        found.is_some_and(|index| self.targets[index].1.in_use(now))
    }

    /// Returns how many requests are running at the engine, as far as this node knows.
    pub(super) fn running(&self, now: Time) -> u32 {
        let running: usize = self
            .targets
            .iter()
            .map(|(_, usage)| usage.running(now))
            .sum();
        u32::try_from(running).unwrap_or(u32::MAX)
    }

    /// Returns how many requests that use `target` are running, as far as this node knows.
    pub(super) fn running_of(&self, now: Time, target: &Target) -> usize {
        let found = self.find(target).ok();
        found.map_or(0, |index| self.targets[index].1.running(now))
    }

    /// Keeps `target` for the requests that it was loaded for, until the first arrives or `until`
    /// at the latest.
    pub(super) fn reserve(&mut self, target: &Target, until: Time) {
        self.entry(target).reserved_until = until;
    }

    fn entry(&mut self, target: &Target) -> &mut AdapterUsage {
        let index = match self.find(target) {
            Ok(index) => index,
            Err(index) => {
                self.targets
                    .insert(index, (target.clone(), AdapterUsage::default()));
                index
            }
        };
        &mut self.targets[index].1
    }

    /// Records the end of a request that used `target`. Returns how many times longer than without
    /// slowdown it took, if that is known.
    pub(super) fn record_end(&mut self, now: Time, target: &Target) -> Option<f64> {
        let index = self.find(target).ok()?;
        let runs = &mut self.targets[index].1.runs;
        let first = (0..runs.len()).min_by_key(|run| runs[*run].end)?;
        let alone = runs.len() == 1;
        let over = runs.swap_remove(first);
        if !over.start.is_zero() {
            let took = now.saturating_sub(over.start);
            self.mean_run = self.mean_run.mul_f64(1.0 - RUN_WEIGHT) + took.mul_f64(RUN_WEIGHT);
        }
        // With several running it is unknown which one has ended.
        over.ratio(now).filter(|_| alone)
    }

    fn find(&self, target: &Target) -> Result<usize, usize> {
        self.targets
            .binary_search_by(|(known, _)| known.cmp(target))
    }

    /// Returns the decayed count of requests that used `target`.
    pub(super) fn value(&self, now: Time, target: &Target) -> f64 {
        let found = self.find(target).ok();
        found.map_or(0.0, |index| self.targets[index].1.count.value(now))
    }

    /// Returns when `target` is expected to be idle.
    pub(super) fn free_at(&self, now: Time, target: &Target) -> Time {
        let found = self.find(target).ok();
        let usage = found.map(|index| &self.targets[index].1);
        let Some(usage) = usage.filter(|usage| usage.in_use(now)) else {
            return now;
        };
        let ends = usage.runs.iter().map(|run| run.end);
        // The requests that a target is kept for have yet to run.
        let kept_for = if now < usage.reserved_until {
            usage.reserved_until + self.mean_run
        } else {
            Time::ZERO
        };
        let last = ends.max().unwrap_or_default().max(kept_for);
        // An overdue request may end at any moment.
        last.max(now + OVERDUE_EXTENSION)
    }
}
