//! What attempts have taught this node: retry budgets of callers and upstreams, and the health of
//! each pool.
//!
//! The machines are small and are asked on the request path, so they stand behind locks of their
//! own rather than in the core's mailbox.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dispatch::health::{self, Admission, AttemptResult, Health};
use dispatch::retry::{self, Budget, Failure, Next, Progress, Retry};
use dispatch::silence::{Tracker, Wait};
use wire::{Caller, Machine, Time, Upstream};

use crate::journal::DECISION;

/// Callers whose retry budgets are kept; a full budget need not be.
const CALLERS_MAX: usize = 4096;

/// Budgets and health, shared by all requests.
#[derive(Debug, Default)]
pub struct Trials {
    config: retry::Config,
    callers: Mutex<Vec<(Caller, Budget)>>,
    upstreams: Mutex<Vec<(Upstream, Budget)>>,
    pools: Mutex<Vec<(String, Pool)>>,
}

#[derive(Debug)]
struct Pool {
    members: Vec<Upstream>,
    health: Health,
    silence: Tracker,
}

impl Trials {
    /// Returns the settings of retries.
    pub fn config(&self) -> retry::Config {
        self.config.clone()
    }

    /// Pays a first attempt's share into both budgets.
    pub fn deposit(&self, caller: &Caller, upstream: &Upstream) {
        let mut callers = lock(&self.callers);
        budget(&mut callers, caller, &self.config).deposit();
        forget_full(&mut callers, &self.config);
        budget(&mut lock(&self.upstreams), upstream, &self.config).deposit();
    }

    /// Decides what follows from a failed attempt on `upstream`.
    pub fn next(
        &self,
        now: Time,
        retry: &mut Retry,
        failure: &Failure,
        progress: &Progress,
        caller: &Caller,
        upstream: &Upstream,
    ) -> Next {
        let mut callers = lock(&self.callers);
        let mut upstreams = lock(&self.upstreams);
        let caller = budget(&mut callers, caller, &self.config);
        let upstream = budget(&mut upstreams, upstream, &self.config);
        retry.next(now, failure, progress, caller, upstream)
    }

    /// Tells the health of `pool` which upstreams it has.
    pub fn set_pool(&self, now: Time, pool: &str, members: Vec<Upstream>) {
        let mut pools = lock(&self.pools);
        let known = pools
            .iter_mut()
            .find(|(name, _)| name == pool)
            .map(|(_, known)| known);
        if known.as_ref().is_some_and(|known| known.members == members) {
            return;
        }
        let known = match known {
            Some(known) => known,
            None => {
                let health = Health::new(health::Config::default());
                pools.push((
                    pool.to_owned(),
                    Pool {
                        members: Vec::new(),
                        health,
                        silence: Tracker::default(),
                    },
                ));
                let last = pools.last_mut().expect("a pool was pushed");
                &mut last.1
            }
        };
        known.members.clone_from(&members);
        known.silence.retain(&members);
        step(known, now, health::Event::Pool(members));
    }

    /// Tells whether `upstream` of `pool` may be tried.
    pub fn admit(&self, now: Time, pool: &str, upstream: &str) -> Admission {
        let pools = lock(&self.pools);
        let known = pools.iter().find(|(name, _)| name == pool);
        known.map_or(Admission::Allowed, |(_, known)| {
            known.health.admit(now, upstream)
        })
    }

    /// Counts an attempt that starts.
    pub fn started(&self, now: Time, pool: &str, upstream: &Upstream) {
        self.step(now, pool, health::Event::Started(upstream.clone()));
        self.track(pool, |silence| silence.started(now, upstream));
    }

    /// Records that the answer to a request has begun `took` after it was sent.
    pub fn heard(&self, now: Time, pool: &str, upstream: &Upstream, took: Duration) {
        self.track(pool, |silence| silence.heard(now, upstream, took));
    }

    /// Returns the wait for the answer to a request that is sent now and useful until `until`.
    pub fn wait(&self, now: Time, pool: &str, until: Time) -> Option<Wait> {
        self.track(pool, |silence| silence.wait(now, until))
    }

    /// Returns whether a request of `caller` leaves the silent upstream `from` for `to`, and pays for that.
    pub fn leaves(
        &self,
        now: Time,
        retry: &mut Retry,
        wait: &Wait,
        caller: &Caller,
        (pool, from, to): (&str, &Upstream, &Upstream),
    ) -> bool {
        let leaves = self.track(pool, |silence| silence.leaves(now, wait, from, to));
        if leaves != Some(true) {
            return false;
        }
        let mut callers = lock(&self.callers);
        let mut upstreams = lock(&self.upstreams);
        let caller = budget(&mut callers, caller, &self.config);
        let upstream = budget(&mut upstreams, from, &self.config);
        let paid = retry.leave(now, caller, upstream);
        drop((callers, upstreams));
        if paid {
            self.track(pool, |silence| silence.left(now, from, to));
        }
        paid
    }

    /// Counts how an attempt ended.
    pub fn ended(&self, now: Time, pool: &str, upstream: &Upstream, verdict: AttemptResult) {
        self.step(now, pool, health::Event::Ended(upstream.clone(), verdict));
        self.track(pool, |silence| silence.ended(upstream));
    }

    /// Counts that an upstream's process started anew.
    pub fn restarted(&self, now: Time, pool: &str, upstream: &Upstream) {
        self.step(now, pool, health::Event::Restarted(upstream.clone()));
    }

    /// Takes over that an upstream wants no requests for `time`.
    pub fn paused(&self, now: Time, pool: &str, upstream: &Upstream, time: Duration) {
        log::info!(target: DECISION, upstream:%, pause_ms = time.as_millis() as u64; "pause");
        self.step(now, pool, health::Event::Paused(upstream.clone(), time));
    }

    fn track<T>(&self, pool: &str, step: impl FnOnce(&mut Tracker) -> T) -> Option<T> {
        let mut pools = lock(&self.pools);
        let known = pools.iter_mut().find(|(name, _)| name == pool);
        known.map(|(_, known)| step(&mut known.silence))
    }

    fn step(&self, now: Time, pool: &str, event: health::Event) {
        let mut pools = lock(&self.pools);
        if let Some((_, known)) = pools.iter_mut().find(|(name, _)| name == pool) {
            step(known, now, event);
        }
    }
}

fn step(pool: &mut Pool, now: Time, event: health::Event) {
    let mut actions = Vec::new();
    // Ejections that have ended are only seen when something happens, so time is told first.
    pool.health.step(now, health::Event::Tick, &mut actions);
    pool.health.step(now, event, &mut actions);
    for action in actions {
        log::info!(target: DECISION, action:?; "health");
    }
}

fn budget<'a, K: Clone + Ord>(
    list: &'a mut Vec<(K, Budget)>,
    key: &K,
    config: &retry::Config,
) -> &'a mut Budget {
    let index = match list.binary_search_by(|(known, _)| known.cmp(key)) {
        Ok(index) => index,
        Err(index) => {
            list.insert(index, (key.clone(), Budget::new(config)));
            index
        }
    };
    &mut list[index].1
}

/// Forgets full budgets where there are too many, since a new one is full as well.
fn forget_full(list: &mut Vec<(Caller, Budget)>, config: &retry::Config) {
    if list.len() > CALLERS_MAX {
        let full = Budget::new(config);
        list.retain(|(_, budget)| *budget != full);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
