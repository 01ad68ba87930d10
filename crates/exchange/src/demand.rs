//! How much each adapter is asked for, as one node sees it.
//!
//! Counts decay exponentially with time, so that a shift of popularity shows within a half-life.

use std::time::Duration;

use wire::{Adapter, Base, Time};

/// Time in which a count loses half of its weight.
pub const HALF_LIFE: Duration = Duration::from_secs(4);

/// Time for which engines are set aside after a long prompt.
const LONG_MEMORY: Duration = Duration::from_secs(60);

/// Count below which an adapter is forgotten.
const FORGOTTEN: f64 = 0.05;

/// Entries above which forgotten ones are removed.
const SWEEP_FROM: usize = 1024;

/// An adapter of a base model, or the base model alone.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct Target {
    /// The base model.
    pub base: Base,
    /// The adapter; absent where the base model serves by itself.
    pub adapter: Option<Adapter>,
}

impl Target {
    /// Returns the base model alone.
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

/// A count that decays.
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

/// Decaying counts of requests.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    counts: Vec<(Target, DecayingCount)>,
    total: DecayingCount,
    long: Option<Time>,
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
                if self.counts.len() > SWEEP_FROM {
                    self.counts
                        .retain(|(_, count)| count.value(now) > FORGOTTEN);
                }
            }
        }
    }

    /// Returns the part of all requests that ask for `target`, from 0 to 1, less the deviation that
    /// chance brings: one node out of many sees few requests, and one of them shows nothing.
    pub fn share(&self, now: Time, target: &Target) -> f64 {
        let total = self.total.value(now);
        let found = self.find(target).ok();
        let count = found.map_or(0.0, |index| self.counts[index].1.value(now));
        let firm = (count - count.sqrt()).max(0.0);
        if total > 0.0 {
            (firm / total).min(1.0)
        } else {
            0.0
        }
    }

    /// Notes a prompt that is too long to be read beside streams.
    pub fn record_long_prompt(&mut self, now: Time) {
        self.long = Some(now);
    }

    /// Tells whether there were long prompts lately.
    pub fn has_recent_long_prompts(&self, now: Time) -> bool {
        self.long.is_some_and(|at| now < at + LONG_MEMORY)
    }

    fn find(&self, target: &Target) -> Result<usize, usize> {
        self.counts.binary_search_by(|(known, _)| known.cmp(target))
    }
}
