//! Demand for each adapter, as seen by one node.
//!
//! Request counts decay exponentially, so that a change in popularity shows within a half-life.

use std::time::Duration;

use wire::{Adapter, Base, Time};

/// Time in which a count decays to half.
pub const HALF_LIFE: Duration = Duration::from_secs(4);

/// Time for which engines stay dedicated to long prompts after the last one.
const LONG_PROMPT_RETENTION: Duration = Duration::from_secs(60);

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

/// A count that decays exponentially.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecayingCount {
    value: f64,
    at: Time,
}

impl DecayingCount {
    /// Returns the count as of `now`.
    pub fn value(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.value * (-age / HALF_LIFE.as_secs_f64()).exp2()
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
    last_long_prompt: Option<Time>,
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

    /// Records a prompt whose prefill would delay other streams.
    pub fn record_long_prompt(&mut self, now: Time) {
        self.last_long_prompt = Some(now);
    }

    /// Returns whether there was a long prompt within `LONG_PROMPT_RETENTION`.
    pub fn has_recent_long_prompts(&self, now: Time) -> bool {
        self.last_long_prompt
            .is_some_and(|at| now < at + LONG_PROMPT_RETENTION)
    }

    fn find(&self, target: &Target) -> Result<usize, usize> {
        self.counts.binary_search_by(|(known, _)| known.cmp(target))
    }
}
