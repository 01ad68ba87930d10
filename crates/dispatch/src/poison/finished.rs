//! Fingerprints of requests that finished recently.

use std::time::Duration;

use wire::Time;

use super::{Config, Fingerprint};

/// Fingerprints of the requests that a node has seen finish.
///
/// A request that many callers send is in flight at many upstreams. Since it also finishes, crashes
/// that happen at the same time for other reasons are not attributed to it.
#[derive(Clone, Debug)]
pub(super) struct FinishedRequests {
    retention: Duration,
    capacity: usize,
    /// Sorted by fingerprint.
    entries: Vec<(Fingerprint, Time)>,
}

impl FinishedRequests {
    pub fn new(config: &Config) -> Self {
        Self {
            retention: config.finished_retention,
            capacity: config.max_finished,
            entries: Vec::new(),
        }
    }

    fn find(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&fingerprint, |(known, _)| *known)
    }

    /// Records that a request with the fingerprint has finished.
    pub fn add(&mut self, now: Time, fingerprint: Fingerprint) {
        if self.retention.is_zero() {
            return;
        }
        match self.find(fingerprint) {
            Ok(index) => self.entries[index].1 = now,
            Err(index) => {
                self.entries.insert(index, (fingerprint, now));
                self.evict_oldest();
            }
        }
    }

    /// Removes the oldest entry if there are more than the capacity allows.
    fn evict_oldest(&mut self) {
        if self.entries.len() <= self.capacity {
            return;
        }
        let entries = self.entries.iter().enumerate();
        if let Some((oldest, _)) = entries.min_by_key(|(_, (_, at))| *at) {
            self.entries.remove(oldest);
        }
    }

    /// Returns whether a request with the fingerprint finished recently.
    pub fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.find(fingerprint).is_ok()
    }

    pub fn expire(&mut self, now: Time) {
        let retention = self.retention;
        self.entries.retain(|(_, at)| now < *at + retention);
    }
}
