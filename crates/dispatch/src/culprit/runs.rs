//! Requests that this node has in flight.

use std::time::Duration;

use wire::{Request, Time, Upstream};

use super::{Feature, Start};

/// Time within which it must be known whether an upstream that broke a request off has crashed. Checks are over
/// long before, unless this node stands still meanwhile.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_secs(10);

/// Time within which the end of a process shows that requests which were broken off met a crash.
const CONFIRMATION_TIME: Duration = Duration::from_secs(3);

/// A request that was sent to an upstream.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub request: Request,
    /// Sorted.
    pub features: Vec<Feature>,
    pub upstream: Upstream,
    /// The process that was listed when it was sent.
    pub process: Option<Start>,
    started_at: Time,
    /// Whether the upstream has outlived the beginning of the answer.
    pub survived: bool,
    pub connection_lost_at: Option<Time>,
}

impl Run {
    /// Returns whether it still runs, or was broken off less than `time` ago.
    fn is_recent(&self, now: Time, time: Duration) -> bool {
        self.connection_lost_at.is_none_or(|at| now < at + time)
    }
}

/// An upstream that has crashed and may still be down.
#[derive(Clone, Debug)]
struct Dead {
    upstream: Upstream,
    since: Time,
    /// When it was found dead last.
    found_at: Time,
}

/// Requests in flight.
#[derive(Clone, Debug, Default)]
pub(super) struct Runs {
    /// Sorted by number.
    runs: Vec<Run>,
    dead: Vec<Dead>,
    /// Requests that were broken off by upstreams which may run or not.
    unconfirmed: Vec<Run>,
}

impl Runs {
    fn position(&self, request: Request) -> Option<usize> {
        let found = self.runs.binary_search_by_key(&request, |run| run.request);
        found.ok()
    }

    pub fn get_mut(&mut self, request: Request) -> Option<&mut Run> {
        let index = self.position(request)?;
        self.runs.get_mut(index)
    }

    pub fn start(
        &mut self,
        now: Time,
        request: Request,
        (upstream, process): (Upstream, Option<Start>),
        features: &[Feature],
    ) {
        let index = self.runs.partition_point(|run| run.request < request);
        let run = Run {
            request,
            features: features.to_vec(),
            upstream,
            process,
            started_at: now,
            survived: false,
            connection_lost_at: None,
        };
        self.runs.insert(index, run);
    }

    pub fn end(&mut self, request: Request) -> Option<Run> {
        let index = self.position(request)?;
        Some(self.runs.remove(index))
    }

    pub fn connection_lost(&mut self, now: Time, request: Request) {
        if let Some(run) = self.get_mut(request) {
            run.connection_lost_at = Some(now);
        }
    }

    /// Forgets the requests that `upstream`, which is still running, broke off.
    pub fn still_running(&mut self, upstream: &Upstream) {
        self.take_undecided(upstream);
    }

    /// Sets the requests aside that `upstream` broke off, which may run or not.
    pub fn set_aside(&mut self, upstream: &Upstream) {
        let lost = self.take_lost_at(upstream);
        self.unconfirmed.extend(lost);
    }

    /// Removes the requests that `upstream`, whose process has ended, broke off, and returns those that it
    /// broke off lately.
    pub fn take_broken_off(&mut self, now: Time, upstream: &Upstream) -> Vec<Run> {
        let mut broken_off = self.take_undecided(upstream);
        broken_off.retain(|run| run.is_recent(now, CONFIRMATION_TIME));
        broken_off
    }

    /// Removes the requests that `upstream` broke off and that were not charged.
    fn take_undecided(&mut self, upstream: &Upstream) -> Vec<Run> {
        let mut broken_off = self.take_lost_at(upstream);
        let of = |run: &mut Run| run.upstream == *upstream;
        broken_off.extend(self.unconfirmed.extract_if(.., of));
        broken_off
    }

    /// Removes the requests that `upstream` broke off and that nothing was found out about.
    fn take_lost_at(&mut self, upstream: &Upstream) -> Vec<Run> {
        let lost = |run: &mut Run| run.upstream == *upstream && run.connection_lost_at.is_some();
        self.runs.extract_if(.., lost).collect()
    }

    /// Removes the requests that were in flight at `upstream` when it was found dead, and returns
    /// those that were sent before its crash. A crash is over once `window` has passed without its
    /// upstream being found dead.
    pub fn take_crashed(&mut self, now: Time, upstream: &Upstream, window: Duration) -> Vec<Run> {
        self.forget_dead(|dead| now > dead.found_at + window);
        let mut ended = self.take_lost(upstream);
        match self.dead.iter_mut().find(|dead| dead.upstream == *upstream) {
            Some(dead) => {
                dead.found_at = now;
                let since = dead.since;
                ended.retain(|run| run.started_at < since);
            }
            None => self.dead.push(Dead {
                upstream: upstream.clone(),
                since: now,
                found_at: now,
            }),
        }
        ended
    }

    /// Records that an upstream has answered `run`, so that it is running.
    pub fn answered(&mut self, run: &Run) {
        self.dead.retain(|dead| dead.upstream != run.upstream);
        self.forget_lost(&run.upstream, run.started_at);
    }

    /// Records that `upstream` has started again.
    pub fn restarted(&mut self, upstream: &Upstream) {
        self.forget_dead(|dead| dead.upstream == *upstream);
    }

    /// Forgets the crashes that are `over`, and the requests that were broken off until their upstreams
    /// were found dead last.
    fn forget_dead(&mut self, over: impl Fn(&Dead) -> bool) {
        let over: Vec<Dead> = self.dead.extract_if(.., |dead| over(dead)).collect();
        for dead in over {
            self.forget_lost(&dead.upstream, dead.found_at);
        }
    }

    /// Forgets the requests that `upstream` broke off until `until`: they met a former process.
    fn forget_lost(&mut self, upstream: &Upstream, until: Time) {
        let lost = |run: &Run| run.connection_lost_at.is_some_and(|at| at <= until);
        for runs in [&mut self.runs, &mut self.unconfirmed] {
            runs.retain(|run| run.upstream != *upstream || !lost(run));
        }
    }

    /// Removes the requests that were in flight at `upstream` when the first connection was lost.
    /// Those that were sent after that reached no running process and stay.
    fn take_lost(&mut self, upstream: &Upstream) -> Vec<Run> {
        let at_upstream = |run: &&Run| run.upstream == *upstream;
        let first_lost = self
            .runs
            .iter()
            .filter(at_upstream)
            .filter_map(|run| run.connection_lost_at)
            .min();
        let before_crash = |run: &Run| first_lost.is_none_or(|lost| run.started_at <= lost);
        let affected = |run: &mut Run| run.upstream == *upstream && before_crash(run);
        self.runs.extract_if(.., affected).collect()
    }

    pub fn expire(&mut self, now: Time) {
        let runs = &mut self.runs;
        runs.retain(|run| run.is_recent(now, CRASH_CHECK_TIMEOUT));
        let unconfirmed = &mut self.unconfirmed;
        unconfirmed.retain(|run| run.is_recent(now, CONFIRMATION_TIME));
    }
}
