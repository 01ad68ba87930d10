//! Charges against fingerprints, as one node knows them.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wire::{Incarnation, Time, Upstream};

use super::{Config, Fingerprint};

/// Name of a charge.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReportId {
    /// The node that saw the crash.
    pub reporter: Incarnation,
    /// Number of the charge at that node.
    pub number: u64,
}

/// One request that an upstream had when it crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Its name.
    pub id: ReportId,
    /// The request's fingerprint.
    pub fingerprint: Fingerprint,
    /// The upstream.
    pub upstream: Upstream,
    /// Whether the request ran there with a seat.
    pub seated: bool,
    /// Time since the crash.
    pub age: Duration,
}

#[derive(Clone, Debug)]
struct Entry {
    charge: CrashReport,
    at: Time,
    kept: Time,
    cleared: bool,
}

impl Entry {
    fn aged(&self, now: Time) -> CrashReport {
        CrashReport {
            age: now.saturating_sub(self.at),
            ..self.charge.clone()
        }
    }
}

/// The charges that a node knows, sorted by fingerprint.
#[derive(Clone, Debug)]
pub(super) struct Book {
    config: Config,
    entries: Vec<Entry>,
}

impl Book {
    pub fn new(config: Config) -> Self {
        Self {
            config,
            entries: Vec::new(),
        }
    }

    /// Takes a charge in, once. Returns whether it is news.
    pub fn charge(&mut self, now: Time, charge: CrashReport) -> bool {
        if self
            .of(charge.fingerprint)
            .any(|entry| entry.charge.id == charge.id)
        {
            return false;
        }
        if self.entries.len() >= self.config.charges {
            self.drop_oldest();
        }
        let entry = Entry {
            at: now.saturating_sub(charge.age),
            kept: now + self.config.keep,
            charge,
            cleared: false,
        };
        let fingerprint = entry.charge.fingerprint;
        let index = self
            .entries
            .partition_point(|e| e.charge.fingerprint <= fingerprint);
        self.entries.insert(index, entry);
        true
    }

    /// Drops the oldest charge; one of a fingerprint that has several goes last, so that many
    /// requests with one charge each cannot push a conviction out.
    fn drop_oldest(&mut self) {
        let fingerprint = |index: usize| {
            self.entries
                .get(index)
                .map(|entry| entry.charge.fingerprint)
        };
        let alone = |index: usize| {
            let before = index.checked_sub(1).and_then(fingerprint);
            before != fingerprint(index) && fingerprint(index + 1) != fingerprint(index)
        };
        let oldest = (0..self.entries.len()).min_by_key(|i| (!alone(*i), self.entries[*i].kept));
        if let Some(index) = oldest {
            self.entries.remove(index);
        }
    }

    fn of(&self, fingerprint: Fingerprint) -> impl Iterator<Item = &Entry> {
        let start = self
            .entries
            .partition_point(|e| e.charge.fingerprint < fingerprint);
        let rest = self.entries.iter().skip(start);
        rest.take_while(move |e| e.charge.fingerprint == fingerprint)
    }

    /// Counts the crashes that the fingerprint is held to have caused. One that ran beside a
    /// seated suspect is not held against it.
    pub fn count(&self, fingerprint: Fingerprint) -> usize {
        let held = self
            .of(fingerprint)
            .filter(|entry| !entry.cleared && !self.excused(entry));
        let mut crashes: Vec<&Entry> = held.collect();
        crashes.sort_by(|a, b| (&a.charge.upstream, a.at).cmp(&(&b.charge.upstream, b.at)));
        crashes.dedup_by(|b, a| self.same(a, b));
        crashes.len()
    }

    fn same(&self, a: &Entry, b: &Entry) -> bool {
        a.charge.upstream == b.charge.upstream && a.at.abs_diff(b.at) <= self.config.crash
    }

    fn excused(&self, entry: &Entry) -> bool {
        let blamed = |other: &Entry| other.charge.seated && self.same(entry, other);
        !entry.charge.seated && self.entries.iter().any(blamed)
    }

    /// Returns the names of the charges that are held against the fingerprint.
    pub fn open(&self, fingerprint: Fingerprint) -> Vec<ReportId> {
        let open = self.of(fingerprint).filter(|entry| !entry.cleared);
        open.map(|entry| entry.charge.id.clone()).collect()
    }

    /// Holds charges against nobody any more. They are remembered, since they may come again.
    pub fn clear(&mut self, now: Time, ids: &[ReportId]) {
        for entry in &mut self.entries {
            if ids.contains(&entry.charge.id) {
                entry.cleared = true;
                entry.kept = now + self.config.keep;
            }
        }
    }

    /// Keeps a fingerprint's charges for longer, since it was sent again.
    pub fn touch(&mut self, now: Time, fingerprint: Fingerprint) {
        let start = self
            .entries
            .partition_point(|e| e.charge.fingerprint < fingerprint);
        let kept = now + self.config.keep;
        let same = |e: &&mut Entry| e.charge.fingerprint == fingerprint;
        for entry in self.entries[start..].iter_mut().take_while(same) {
            entry.kept = kept;
        }
    }

    pub fn expire(&mut self, now: Time) {
        self.entries.retain(|entry| now < entry.kept);
    }

    pub fn due(&self) -> Option<Time> {
        self.entries.iter().map(|entry| entry.kept).min()
    }

    /// Returns the open charges with their present ages.
    pub fn all(&self, now: Time) -> impl Iterator<Item = CrashReport> {
        let open = self.entries.iter().filter(|entry| !entry.cleared);
        open.map(move |entry| entry.aged(now))
    }

    /// Returns the open charges against the fingerprint with their present ages.
    pub fn charges(
        &self,
        now: Time,
        fingerprint: Fingerprint,
    ) -> impl Iterator<Item = CrashReport> {
        let open = self.of(fingerprint).filter(|entry| !entry.cleared);
        open.map(move |entry| entry.aged(now))
    }
}
