//! Crashes, and the features that may explain them.

use wire::Time;
use wire::Upstream;

use super::grounds::Ground;
use super::message::{CrashReport, ReportId};
use super::survivals::Survivals;
use super::{Config, Feature, Start};

/// A crash and what was in flight.
#[derive(Clone, Debug)]
struct Crash {
    upstream: Upstream,
    at: Time,
    /// When the first report of it came.
    heard_at: Time,
    /// When it was reported last: requests may still be sent to an upstream that is down.
    reported_at: Time,
    /// When the upstream started again under the same id.
    restarted_at: Option<Time>,
    /// When its process, which has not crashed after all, was asked.
    refuted_at: Option<Time>,
    reports: Vec<ReportId>,
    /// The process that its requests were sent to, as far as the reports tell.
    process: Option<Start>,
    /// Features that may explain the crash, sorted, with the number of requests that have each.
    charges: Vec<(Feature, u32)>,
}

impl Crash {
    fn requests(&self, feature: Feature) -> Option<u32> {
        let found = self.charges.binary_search_by_key(&feature, |(of, _)| *of);
        found.ok().map(|index| self.charges[index].1)
    }

    fn charge(&mut self, feature: Feature, requests: u32) {
        match self.charges.binary_search_by_key(&feature, |(of, _)| *of) {
            Ok(index) => self.charges[index].1 += requests,
            Err(index) => self.charges.insert(index, (feature, requests)),
        }
    }
}

/// The crashes that may be attributed to a feature.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Standing {
    pub feature: Feature,
    pub crashes: u32,
    /// Requests with the feature that were in flight in those crashes.
    pub requests: u32,
    /// When the number of crashes that were heard of reached the threshold.
    pub reached_at: Time,
    /// The first of the crashes.
    pub first_at: Time,
    /// The last of the crashes.
    pub last_at: Time,
    /// Whether upstreams have lately survived requests with the feature.
    pub survived_before: bool,
}

/// The crashes that an analyst knows, the oldest first.
#[derive(Clone, Debug)]
pub(super) struct Ledger {
    config: Config,
    crashes: Vec<Crash>,
    survivals: Survivals,
}

impl Ledger {
    pub fn new(config: Config) -> Self {
        Self {
            survivals: Survivals::new(config.survival_retention, config.max_survivals),
            crashes: Vec::new(),
            config,
        }
    }

    /// Adds a report. Returns whether it was new.
    pub fn insert(&mut self, now: Time, report: CrashReport) -> bool {
        let is_known = |crash: &Crash| crash.reports.contains(&report.id);
        if self.crashes.iter().any(is_known) {
            return false;
        }
        let at = now.saturating_sub(report.age);
        let window = self.config.crash_window;
        let same = |crash: &&mut Crash| {
            let span = crash.at.saturating_sub(window)..=crash.reported_at + window;
            let ended = crash.restarted_at.into_iter().chain(crash.refuted_at).min();
            let former = ended.is_none_or(|ended| at < ended);
            crash.upstream == report.upstream && former && span.contains(&at)
        };
        let survivals = &self.survivals;
        let open = |feature: Feature| survivals.last(feature).is_none_or(|began| began <= at);
        let charges = report.charges.into_iter().filter(|(of, _)| open(*of));
        if let Some(crash) = self.crashes.iter_mut().find(same) {
            crash.reports.push(report.id);
            crash.reported_at = crash.reported_at.max(at);
            if crash.refuted_at.is_some() {
                return false;
            }
            if at > crash.at + self.config.report_spread {
                // These requests reached no running process.
                return true;
            }
            charges.for_each(|(feature, requests)| crash.charge(feature, requests.into()));
        } else {
            let index = self.crashes.partition_point(|crash| crash.at <= at);
            let mut charges: Vec<_> = charges.map(|(of, count)| (of, count.into())).collect();
            charges.sort_unstable();
            charges.dedup_by_key(|(of, _)| *of);
            let crash = Crash {
                upstream: report.upstream,
                at,
                heard_at: now,
                reported_at: at,
                restarted_at: None,
                refuted_at: None,
                reports: vec![report.id],
                process: None,
                charges,
            };
            self.crashes.insert(index, crash);
        }
        self.shrink();
        true
    }

    /// Records that `upstream` has started again: what is reported from now on is of another crash.
    pub fn restarted(&mut self, now: Time, upstream: &Upstream) {
        let of = |crash: &&mut Crash| crash.upstream == *upstream;
        for crash in self.crashes.iter_mut().filter(of) {
            crash.restarted_at.get_or_insert(now);
        }
    }

    /// Records which process the requests of a report were sent to. Returns its upstream unless the
    /// crash is refuted.
    pub fn identify(&mut self, report: &ReportId, process: Start) -> Option<&Upstream> {
        let of = |crash: &&mut Crash| crash.reports.contains(report);
        let crash = self.crashes.iter_mut().find(of)?;
        // An older process cannot answer once another one has taken its place, so that a crash of
        // which reports disagree is never refuted.
        let oldest = crash.process.map_or(process, |known| known.min(process));
        crash.process = Some(oldest);
        crash.refuted_at.is_none().then_some(&crash.upstream)
    }

    /// Refutes the crashes of a process that has answered what was asked after their last report.
    /// Returns their times and features, which no longer count.
    pub fn refute(
        &mut self,
        upstream: &Upstream,
        process: Start,
        asked: Time,
    ) -> Vec<(Time, Vec<Feature>)> {
        let of = |crash: &&mut Crash| {
            crash.upstream == *upstream
                && crash.process == Some(process)
                && crash.refuted_at.is_none()
                && crash.reported_at < asked
        };
        let mut refuted = Vec::new();
        for crash in self.crashes.iter_mut().filter(of) {
            crash.refuted_at = Some(asked);
            let charges = std::mem::take(&mut crash.charges).into_iter();
            refuted.push((crash.at, charges.map(|(feature, _)| feature).collect()));
        }
        refuted
    }

    /// Returns the known processes whose crashes until `until` a feature may explain.
    pub fn grounds(&self, feature: Feature, until: Time) -> Vec<Ground> {
        let crashes = self.crashes.iter().filter(|crash| crash.at <= until);
        let charged = crashes.filter(|crash| crash.requests(feature).is_some());
        let mut grounds: Vec<Ground> = Vec::new();
        for crash in charged {
            let Some(process) = crash.process else {
                continue;
            };
            let of =
                |known: &&mut Ground| known.process == process && known.upstream == crash.upstream;
            match grounds.iter_mut().find(of) {
                Some(known) => known.crashes += 1,
                None => grounds.push(Ground {
                    upstream: crash.upstream.clone(),
                    process,
                    crashes: 1,
                }),
            }
        }
        grounds
    }

    /// Returns the other features that may explain the crashes of a feature, and that fewer of the requests in them
    /// had, so that not all requests with the feature have them.
    pub fn companions(&self, feature: Feature) -> Vec<Feature> {
        let crashes = self.crashes.iter();
        let crashes = crashes.filter(|crash| crash.requests(feature).is_some());
        let mut charges: Vec<(Feature, u32)> = crashes
            .flat_map(|crash| crash.charges.iter().copied())
            .collect();
        charges.sort_unstable();
        let runs = charges.chunk_by(|(a, _), (b, _)| a == b);
        let totals = runs.map(|run| (run[0].0, run.iter().map(|(_, requests)| requests).sum()));
        let totals: Vec<(Feature, u32)> = totals.collect();
        let all = totals.iter().find(|(of, _)| *of == feature);
        let all = all.map_or(0, |(_, requests)| *requests);
        let rarer = totals.into_iter().filter(|(_, requests)| *requests < all);
        rarer.map(|(of, _)| of).collect()
    }

    /// Drops charges once there are too many: first those of features with a single crash, so that
    /// many requests with one crash each do not displace what crashes several upstreams.
    fn shrink(&mut self) {
        let charges = |crashes: &[Crash]| crashes.iter().map(|c| c.charges.len()).sum::<usize>();
        if charges(&self.crashes) <= self.config.max_charges {
            return;
        }
        let counts = self.counts(|_| true);
        let is_single = |feature: Feature| {
            let found = counts.binary_search_by_key(&feature, |(of, _)| *of);
            found.is_ok_and(|index| counts[index].1 < 2)
        };
        let half = self.crashes.len() / 2;
        for crash in &mut self.crashes[..half] {
            crash.charges.retain(|(of, _)| !is_single(*of));
        }
        while charges(&self.crashes) > self.config.max_charges && !self.crashes.is_empty() {
            self.crashes.remove(0);
        }
    }

    /// Returns the number of crashes of each feature, sorted by feature, among those that `counts`.
    fn counts(&self, counts: impl Fn(&Crash) -> bool) -> Vec<(Feature, u32)> {
        let crashes = self.crashes.iter().filter(|crash| counts(crash));
        let mut features: Vec<Feature> = crashes
            .flat_map(|crash| crash.charges.iter().map(|(feature, _)| *feature))
            .collect();
        features.sort_unstable();
        let runs = features.chunk_by(|a, b| a == b);
        runs.map(|run| (run[0], run.len() as u32)).collect()
    }

    /// Records that an upstream survived a request with `feature` that began to be answered at
    /// `began`: the feature explains no earlier crash.
    pub fn survived(&mut self, feature: Feature, began: Time) {
        self.survivals.record(feature, began);
        for crash in self.crashes.iter_mut().filter(|crash| crash.at < began) {
            crash.charges.retain(|(of, _)| *of != feature);
        }
    }

    /// Forgets what a feature was charged with.
    pub fn clear(&mut self, feature: Feature) {
        for crash in &mut self.crashes {
            crash.charges.retain(|(of, _)| *of != feature);
        }
    }

    /// Returns the standing of `feature`, counting only the crashes that no feature in `excused`
    /// explains.
    pub fn standing(&self, feature: Feature, excused: &[Feature]) -> Standing {
        let mut standing = Standing {
            feature,
            crashes: 0,
            requests: 0,
            reached_at: Time::MAX,
            first_at: Time::MAX,
            last_at: Time::ZERO,
            survived_before: self.survivals.last(feature).is_some(),
        };
        let mut heard_at = Vec::new();
        for crash in &self.crashes {
            let Some(requests) = crash.requests(feature) else {
                continue;
            };
            let explained = |of: &Feature| *of != feature && crash.requests(*of).is_some();
            if excused.iter().any(explained) {
                continue;
            }
            standing.crashes += 1;
            standing.requests += requests;
            standing.first_at = standing.first_at.min(crash.at);
            standing.last_at = crash.at;
            heard_at.push(crash.heard_at);
        }
        heard_at.sort_unstable();
        let reached = self.config.conviction_threshold.saturating_sub(1);
        standing.reached_at = heard_at.get(reached).copied().unwrap_or(Time::MAX);
        standing
    }

    /// Returns the standings of all features with `least` crashes or more that no feature in
    /// `excused` explains.
    pub fn standings(&self, least: usize, excused: &[Feature]) -> Vec<Standing> {
        let open = |crash: &Crash| excused.iter().all(|of| crash.requests(*of).is_none());
        let counts = self.counts(open).into_iter();
        let many = counts.filter(|(_, crashes)| *crashes as usize >= least);
        many.map(|(feature, _)| self.standing(feature, excused))
            .collect()
    }

    pub fn expire(&mut self, now: Time) {
        let retention = self.config.report_retention;
        self.crashes.retain(|crash| now < crash.at + retention);
        self.survivals.expire(now);
    }
}
