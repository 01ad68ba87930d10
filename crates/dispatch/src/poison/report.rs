//! Crash reports about fingerprints, as known to one node.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wire::{Incarnation, Time, Upstream};

use super::{Config, Fingerprint};
use crate::inquiry::Start;

/// ID of a crash report.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReportId {
    /// The node that saw the crash.
    pub reporter: Incarnation,
    /// Sequence number of the report at that node.
    pub number: u64,
}

/// One request that an upstream had in flight when it crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The ID of the report.
    pub id: ReportId,
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The upstream that crashed.
    pub upstream: Upstream,
    /// Whether the request held the isolation permit of the upstream.
    pub isolated: bool,
    /// Time since the crash.
    pub age: Duration,
}

#[derive(Clone, Debug)]
struct Entry {
    report: CrashReport,
    crashed_at: Time,
    kept_until: Time,
    /// The process that was reported, as far as told.
    process: Option<Start>,
    /// Whether a request with the fingerprint finished after the crash, or it was none.
    cleared: bool,
}

impl Entry {
    fn with_current_age(&self, now: Time) -> CrashReport {
        CrashReport {
            age: now.saturating_sub(self.crashed_at),
            ..self.report.clone()
        }
    }
}

/// The crash reports that a node knows, sorted by fingerprint.
#[derive(Clone, Debug)]
pub(super) struct ReportStore {
    config: Config,
    entries: Vec<Entry>,
}

impl ReportStore {
    pub fn new(config: Config) -> Self {
        Self {
            config,
            entries: Vec::new(),
        }
    }

    /// Adds a report unless it is already known. Returns whether it was new.
    pub fn insert(&mut self, now: Time, report: CrashReport) -> bool {
        if self
            .entries_of(report.fingerprint)
            .any(|entry| entry.report.id == report.id)
        {
            return false;
        }
        if self.entries.len() >= self.config.max_reports {
            self.drop_oldest();
        }
        let entry = Entry {
            crashed_at: now.saturating_sub(report.age),
            kept_until: now + self.config.report_retention,
            report,
            process: None,
            cleared: false,
        };
        let fingerprint = entry.report.fingerprint;
        let index = self
            .entries
            .partition_point(|e| e.report.fingerprint <= fingerprint);
        self.entries.insert(index, entry);
        true
    }

    /// Drops the oldest report. Reports of fingerprints that have several are dropped last, so that
    /// many requests with one report each cannot displace a conviction.
    fn drop_oldest(&mut self) {
        let fingerprint = |index: usize| {
            self.entries
                .get(index)
                .map(|entry| entry.report.fingerprint)
        };
        let is_only = |index: usize| {
            let previous = index.checked_sub(1).and_then(fingerprint);
            previous != fingerprint(index) && fingerprint(index + 1) != fingerprint(index)
        };
        let oldest = (0..self.entries.len())
            .min_by_key(|index| (!is_only(*index), self.entries[*index].kept_until));
        if let Some(index) = oldest {
            self.entries.remove(index);
        }
    }

    fn entries_of(&self, fingerprint: Fingerprint) -> impl Iterator<Item = &Entry> {
        let start = self
            .entries
            .partition_point(|e| e.report.fingerprint < fingerprint);
        let rest = self.entries.iter().skip(start);
        rest.take_while(move |e| e.report.fingerprint == fingerprint)
    }

    /// Counts the crashes that are attributed to the fingerprint. A crash is not attributed to a
    /// request that ran beside an isolated suspect.
    pub fn crash_count(&self, fingerprint: Fingerprint) -> usize {
        let attributed = self
            .entries_of(fingerprint)
            .filter(|entry| !entry.cleared && !self.is_excused(entry));
        let mut crashes: Vec<&Entry> = attributed.collect();
        crashes.sort_by(|a, b| {
            (&a.report.upstream, a.crashed_at).cmp(&(&b.report.upstream, b.crashed_at))
        });
        crashes.dedup_by(|b, a| self.same_crash(a, b));
        crashes.len()
    }

    fn same_crash(&self, a: &Entry, b: &Entry) -> bool {
        a.report.upstream == b.report.upstream
            && a.crashed_at.abs_diff(b.crashed_at) <= self.config.crash_window
    }

    /// Returns whether an isolated suspect explains the crash of a request that was not isolated.
    fn is_excused(&self, entry: &Entry) -> bool {
        let explains = |other: &Entry| other.report.isolated && self.same_crash(entry, other);
        !entry.report.isolated && self.entries.iter().any(explains)
    }

    /// Returns the IDs of the fingerprint's reports that have not been cleared.
    pub fn open_ids(&self, fingerprint: Fingerprint) -> Vec<ReportId> {
        let open = self.entries_of(fingerprint).filter(|entry| !entry.cleared);
        open.map(|entry| entry.report.id.clone()).collect()
    }

    /// Returns the IDs of the reports by `reporter` of crashes of `upstream` since `since` that have not been
    /// cleared.
    pub fn open_since(
        &self,
        reporter: &Incarnation,
        upstream: &Upstream,
        since: Time,
    ) -> Vec<ReportId> {
        let found = self.entries.iter().filter(|entry| {
            !entry.cleared
                && entry.report.id.reporter == *reporter
                && entry.report.upstream == *upstream
                && entry.crashed_at >= since
        });
        found.map(|entry| entry.report.id.clone()).collect()
    }

    /// Records which process was reported. Returns the report if it is known and has not been cleared.
    pub fn identify(&mut self, id: &ReportId, process: Start) -> Option<&CrashReport> {
        let of = |entry: &&mut Entry| entry.report.id == *id && !entry.cleared;
        let entry = self.entries.iter_mut().find(of)?;
        entry.process = Some(process);
        Some(&entry.report)
    }

    /// Returns the process of a report, if it is known.
    pub fn process(&self, id: &ReportId) -> Option<Start> {
        let entry = self.entries.iter().find(|entry| entry.report.id == *id)?;
        entry.process
    }

    /// Returns the reports of known processes that have not been cleared.
    pub fn identified(&self) -> impl Iterator<Item = &CrashReport> {
        let open = self.entries.iter();
        let open = open.filter(|entry| !entry.cleared && entry.process.is_some());
        open.map(|entry| &entry.report)
    }

    /// Returns the IDs of the reports of crashes of a process before `asked` that have not been cleared.
    pub fn open_of(&self, upstream: &Upstream, process: Start, asked: Time) -> Vec<ReportId> {
        let found = self.entries.iter().filter(|entry| {
            !entry.cleared
                && entry.process == Some(process)
                && entry.report.upstream == *upstream
                && entry.crashed_at < asked
        });
        found.map(|entry| entry.report.id.clone()).collect()
    }

    /// Returns the fingerprints of reports, sorted, each once.
    pub fn fingerprints(&self, ids: &[ReportId]) -> Vec<Fingerprint> {
        let known = self.entries.iter();
        let known = known.filter(|entry| ids.contains(&entry.report.id));
        let mut fingerprints: Vec<Fingerprint> =
            known.map(|entry| entry.report.fingerprint).collect();
        fingerprints.dedup();
        fingerprints
    }

    /// Clears reports. They are kept, so that they stay cleared if they are received again.
    pub fn clear(&mut self, now: Time, ids: &[ReportId]) {
        for entry in &mut self.entries {
            if ids.contains(&entry.report.id) {
                entry.cleared = true;
                entry.kept_until = now + self.config.report_retention;
            }
        }
    }

    /// Extends the retention of a fingerprint's reports because a request with it was sent again.
    pub fn touch(&mut self, now: Time, fingerprint: Fingerprint) {
        let start = self
            .entries
            .partition_point(|e| e.report.fingerprint < fingerprint);
        let kept_until = now + self.config.report_retention;
        let same = |e: &&mut Entry| e.report.fingerprint == fingerprint;
        for entry in self.entries[start..].iter_mut().take_while(same) {
            entry.kept_until = kept_until;
        }
    }

    pub fn expire(&mut self, now: Time) {
        self.entries.retain(|entry| now < entry.kept_until);
    }

    pub fn next_expiry(&self) -> Option<Time> {
        self.entries.iter().map(|entry| entry.kept_until).min()
    }

    /// Returns all reports that have not been cleared, with their current ages.
    pub fn open_reports(&self, now: Time) -> impl Iterator<Item = CrashReport> {
        let open = self.entries.iter().filter(|entry| !entry.cleared);
        open.map(move |entry| entry.with_current_age(now))
    }

    /// Returns the fingerprint's reports that have not been cleared, with their current ages.
    pub fn open_reports_of(
        &self,
        now: Time,
        fingerprint: Fingerprint,
    ) -> impl Iterator<Item = CrashReport> {
        let open = self.entries_of(fingerprint).filter(|entry| !entry.cleared);
        open.map(move |entry| entry.with_current_age(now))
    }
}
