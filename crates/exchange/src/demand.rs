//! Demand for each adapter, as seen by one node.
//!
//! Request counts decay exponentially, so that a change in popularity shows within a half-life.

use std::time::Duration;

use wire::{Adapter, Base, Time};

/// Time in which a count decays to half.
pub const HALF_LIFE: Duration = Duration::from_millis(DEMAND_HALF_LIFE_MS);

const DEMAND_HALF_LIFE_MS: u64 = 4_000;

/// Half-life in milliseconds of the prefill work of long and of all prompts.
const WORK_HALF_LIFE_MS: u64 = 30_000;

/// Fraction of the engines that is dedicated to long prompts while there are any.
const LONG_PROMPT_ENGINES: f64 = 0.12;

/// Share of all prefill work from which long prompts are spread over all engines: the few dedicated
/// ones would be overloaded.
const LONG_PROMPT_WORK_MAX: f64 = 0.35;

/// Decayed seconds of long prefills below which no engine is dedicated to them.
const LONG_PROMPT_WORK_MIN: f64 = 0.03;

/// Count below which an adapter may be removed.
const COUNT_MIN: f64 = 0.05;

/// Number of entries above which those below [`COUNT_MIN`] are removed.
const PRUNE_THRESHOLD: usize = 1024;

/// The model that a request addresses: an adapter of a base model, or the base model itself.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct Target {
    /// The base model.
    pub base: Base,
    /// The adapter; absent if the base model serves the request without one.
    pub adapter: Option<Adapter>,
}

impl Target {
    /// Returns the target for `base` without an adapter.
    pub fn base_only(base: &Base) -> Self {
        Self {
            base: base.clone(),
            adapter: None,
        }
    }
}

impl std::fmt::Display for Target {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match &self.adapter {
            Some(adapter) => write!(f, "{}/{adapter}", self.base),
            None => f.write_str(&self.base),
        }
    }
}

/// A count that decays to half within `HALF_LIFE_MS` milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecayingCount<const HALF_LIFE_MS: u64 = DEMAND_HALF_LIFE_MS> {
    value: f64,
    at: Time,
}

impl<const HALF_LIFE_MS: u64> DecayingCount<HALF_LIFE_MS> {
    /// Returns the count as of `now`.
    pub fn value(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.value * (-age * 1_000.0 / HALF_LIFE_MS as f64).exp2()
    }

    /// Adds `amount` at `now`.
    pub fn add(&mut self, now: Time, amount: f64) {
        self.value = self.value(now) + amount;
        self.at = now;
    }
}

/// Decaying request counts of all targets.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    counts: Vec<(Target, DecayingCount)>,
    total: DecayingCount,
    /// Prefill seconds of all prompts, and of the long ones.
    work: DecayingCount<WORK_HALF_LIFE_MS>,
    long_work: DecayingCount<WORK_HALF_LIFE_MS>,
}

impl Demand {
    /// Counts a request for `target`.
    pub fn add(&mut self, now: Time, target: &Target) {
        self.total.add(now, 1.0);
        match self.find(target) {
            Ok(index) => self.counts[index].1.add(now, 1.0),
            Err(index) => {
                let mut count = DecayingCount::default();
                count.add(now, 1.0);
                self.counts.insert(index, (target.clone(), count));
                if self.counts.len() > PRUNE_THRESHOLD {
                    self.counts
                        .retain(|(_, count)| count.value(now) > COUNT_MIN);
                }
            }
        }
    }

    /// Returns the fraction of all requests that ask for `target`, from 0 to 1. The standard
    /// deviation of the count is subtracted: one node out of many sees few requests, so that a
    /// single request is no evidence of demand.
    pub fn share(&self, now: Time, target: &Target) -> f64 {
        let total = self.total.value(now);
        let found = self.find(target).ok();
        let count = found.map_or(0.0, |index| self.counts[index].1.value(now));
        let significant = (count - count.sqrt()).max(0.0);
        if total > 0.0 {
            (significant / total).min(1.0)
        } else {
            0.0
        }
    }

    /// Records a prompt whose prefill takes `prefill`; a `long` one would delay other streams.
    pub fn record_prompt(&mut self, now: Time, prefill: Duration, long: bool) {
        self.work.add(now, prefill.as_secs_f64());
        if long {
            self.long_work.add(now, prefill.as_secs_f64());
        }
    }

    /// Returns the fraction of the engines that is dedicated to long prompts. It is zero if there
    /// were none recently, or so many that all engines have to share them.
    pub fn long_prompt_engines(&self, now: Time) -> f64 {
        let (long, all) = (self.long_work.value(now), self.work.value(now));
        if long < LONG_PROMPT_WORK_MIN || long > all * LONG_PROMPT_WORK_MAX {
            0.0
        } else {
            LONG_PROMPT_ENGINES
        }
    }

    fn find(&self, target: &Target) -> Result<usize, usize> {
        self.counts.binary_search_by(|(known, _)| known.cmp(target))
    }
}
