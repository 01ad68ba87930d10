//! Fingerprints of requests that have finished lately.

use std::time::Duration;

use wire::Time;

use super::{Config, Fingerprint};

/// What a node has seen finish: a request that is sent by many callers is not held to have crashed
/// upstreams that crash at the same time for another reason.
#[derive(Clone, Debug)]
pub(super) struct Vouchers {
    keep: Duration,
    most: usize,
    /// Sorted by fingerprint.
    finished: Vec<(Fingerprint, Time)>,
}

impl Vouchers {
    pub fn new(config: &Config) -> Self {
        Self {
            keep: config.vouched,
            most: config.vouchers,
            finished: Vec::new(),
        }
    }

    fn find(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.finished
            .binary_search_by_key(&fingerprint, |(known, _)| *known)
    }

    /// Notes that a request has finished.
    pub fn add(&mut self, now: Time, fingerprint: Fingerprint) {
        if self.keep.is_zero() {
            return;
        }
        match self.find(fingerprint) {
            Ok(index) => self.finished[index].1 = now,
            Err(index) => {
                self.finished.insert(index, (fingerprint, now));
                self.shrink();
            }
        }
    }

    fn shrink(&mut self) {
        if self.finished.len() <= self.most {
            return;
        }
        let times = self.finished.iter().enumerate();
        if let Some((oldest, _)) = times.min_by_key(|(_, (_, at))| *at) {
            self.finished.remove(oldest);
        }
    }

    /// Tells whether a request with the fingerprint has finished lately.
    pub fn has(&self, fingerprint: Fingerprint) -> bool {
        self.find(fingerprint).is_ok()
    }

    pub fn expire(&mut self, now: Time) {
        let keep = self.keep;
        self.finished.retain(|(_, at)| now < *at + keep);
    }
}
