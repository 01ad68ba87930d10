//! Features of requests whose upstreams survived.

use std::time::Duration;

use wire::Time;

use super::Feature;

/// When a request with each feature last began to be answered by an upstream that survived it.
#[derive(Clone, Debug)]
pub(super) struct Survivals {
    retention: Duration,
    capacity: usize,
    /// Sorted by feature.
    entries: Vec<(Feature, Time)>,
}

impl Survivals {
    pub const fn new(retention: Duration, capacity: usize) -> Self {
        Self {
            retention,
            capacity,
            entries: Vec::new(),
        }
    }

    fn find(&self, feature: Feature) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&feature, |(known, _)| *known)
    }

    /// Returns when the last such request with `feature` began to be answered.
    pub fn last(&self, feature: Feature) -> Option<Time> {
        self.find(feature).ok().map(|index| self.entries[index].1)
    }

    /// Records a request that began to be answered at `began`.
    pub fn record(&mut self, feature: Feature, began: Time) {
        match self.find(feature) {
            Ok(index) => {
                let last = &mut self.entries[index].1;
                *last = began.max(*last);
            }
            Err(index) => {
                self.entries.insert(index, (feature, began));
                self.evict();
            }
        }
    }

    /// Drops the older half once there are more entries than the capacity allows.
    fn evict(&mut self) {
        if self.entries.len() <= self.capacity {
            return;
        }
        let mut times: Vec<Time> = self.entries.iter().map(|(_, began)| *began).collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.entries.retain(|(_, began)| *began > median);
    }

    pub fn expire(&mut self, now: Time) {
        let retention = self.retention;
        self.entries.retain(|(_, began)| now < *began + retention);
    }
}
