//! Verdicts that a node knows.

use std::time::Duration;

use wire::Time;

use super::Feature;
use super::message::Verdict;

/// A verdict with its times at this node.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub verdict: Verdict,
    pub at: Time,
    kept_until: Time,
}

/// Verdicts, sorted by feature.
#[derive(Clone, Debug)]
pub(super) struct Verdicts {
    retention: Duration,
    capacity: usize,
    entries: Vec<Entry>,
}

impl Verdicts {
    pub const fn new(retention: Duration, capacity: usize) -> Self {
        Self {
            retention,
            capacity,
            entries: Vec::new(),
        }
    }

    fn find(&self, feature: Feature) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&feature, |entry| entry.verdict.feature)
    }

    /// Returns the conviction of `feature`, if it is convicted.
    pub fn conviction(&self, feature: Feature) -> Option<&Entry> {
        let entry = &self.entries[self.find(feature).ok()?];
        entry.verdict.convicted.then_some(entry)
    }

    /// Returns the verdict on `feature` with its present age.
    pub fn get(&self, now: Time, feature: Feature) -> Option<Verdict> {
        let entry = &self.entries[self.find(feature).ok()?];
        Some(Verdict {
            age: now.saturating_sub(entry.at),
            ..entry.verdict
        })
    }

    pub fn convictions(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter().filter(|entry| entry.verdict.convicted)
    }

    /// Takes a verdict over unless a newer one is known. Returns whether that changes anything.
    pub fn update(&mut self, now: Time, verdict: Verdict) -> bool {
        let entry = Entry {
            at: now.saturating_sub(verdict.age),
            kept_until: now + self.retention,
            verdict,
        };
        match self.find(verdict.feature) {
            Ok(index) if entry.at <= self.entries[index].at => false,
            Ok(index) => {
                let known = std::mem::replace(&mut self.entries[index], entry);
                known.verdict.convicted != verdict.convicted
            }
            Err(index) => {
                self.entries.insert(index, entry);
                self.evict();
                verdict.convicted
            }
        }
    }

    /// Drops the entry that would expire first once there are too many.
    fn evict(&mut self) {
        if self.entries.len() <= self.capacity {
            return;
        }
        let entries = self.entries.iter().enumerate();
        if let Some((first, _)) = entries.min_by_key(|(_, entry)| entry.kept_until) {
            self.entries.remove(first);
        }
    }

    /// Extends the retention of a conviction because a request with its feature came again.
    pub fn touch(&mut self, now: Time, feature: Feature) {
        if let Ok(index) = self.find(feature) {
            self.entries[index].kept_until = now + self.retention;
        }
    }

    pub fn expire(&mut self, now: Time) {
        self.entries.retain(|entry| now < entry.kept_until);
    }
}
