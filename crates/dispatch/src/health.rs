//! Health of the upstreams of one pool, as one node sees it.
//!
//! - Outlier detection with growing ejection times and a bounded ejected share follows Envoy's.
//! - An ejected upstream comes back through one probe at a time (the half-open state of the
//!   circuit breaker pattern, Nygard, "Release It!", 2007).
//! - After a cold start the limit grows with time (Envoy's slow start).
//! - The concurrency limit adapts by additive increase and multiplicative decrease (Chiu and
//!   Jain, 1989), driven by latency against its long-term mean as in Netflix's concurrency-limits.

use std::time::Duration;

use wire::{Machine, Time, Upstream};

/// Weight of a new sample in the long-term mean latency, as a divisor.
const MEAN_DIVISOR: u32 = 64;

/// Limits of a [`Health`].
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Failures in a row that eject an upstream.
    pub failures: u32,
    /// First ejection's time; doubled each time in a row.
    pub eject: Duration,
    /// Longest ejection.
    pub eject_max: Duration,
    /// Largest share of the pool that may be ejected.
    pub share: f64,
    /// Time over which a started upstream's limit grows to its whole.
    pub slow_start: Duration,
    /// Concurrency limit at the beginning.
    pub limit: u32,
    /// Least limit.
    pub limit_min: u32,
    /// Largest limit.
    pub limit_max: u32,
    /// Multiple of the long-term latency from which an answer counts as a sign of overload.
    pub tolerance: f64,
    /// Factor of a decrease.
    pub decrease: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            failures: 3,
            eject: Duration::from_secs(1),
            eject_max: Duration::from_secs(30),
            share: 0.34,
            slow_start: Duration::from_secs(10),
            limit: 16,
            limit_min: 1,
            limit_max: 256,
            tolerance: 2.0,
            decrease: 0.9,
        }
    }
}

/// How an attempt ended for its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// An answer after that time.
    Answered(Duration),
    /// Refused for overload: a healthy sign, but a smaller limit.
    Overloaded,
    /// Broken, timed out or refused.
    Failed,
    /// Ended by the caller or this node; says nothing of the upstream.
    Neutral,
}

/// What a [`Health`] is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The pool's upstreams are these now.
    Pool(Vec<Upstream>),
    /// An attempt that [`Health::admit`] let through starts.
    Started(Upstream),
    /// An attempt ended.
    Ended(Upstream, AttemptResult),
    /// The upstream's process started anew: it is cold.
    Restarted(Upstream),
    /// The upstream wants no requests for that time.
    Paused(Upstream, Duration),
    /// The time of [`Machine::wake`] has come.
    Tick,
}

/// A change worth a log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// The upstream gets no requests for so long, then a probe.
    Ejected(Upstream, Duration),
    /// The upstream would be ejected, but too many are.
    Spared(Upstream),
    /// The upstream's next request is a probe.
    Probing(Upstream),
    /// The upstream is back.
    Restored(Upstream),
}

/// Whether an upstream may be given a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may.
    Allowed,
    /// It may, as the only one, to see whether it is back.
    Probe,
    /// Its limit is reached.
    Full,
    /// It is ejected, or wants a pause, for so long.
    Ejected(Duration),
    /// It does not belong to the pool.
    NotInPool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Closed,
    Open { until: Time },
    HalfOpen { probing: bool },
}

#[derive(Clone, Debug)]
struct Entry {
    upstream: Upstream,
    state: State,
    failures: u32,
    ejections: u32,
    running: u32,
    limit: f64,
    mean: Option<Duration>,
    reduced: Option<Time>,
    started: Option<Time>,
    /// When the pause ends that it wants.
    paused: Time,
}

/// The health of one pool's upstreams.
#[derive(Clone, Debug)]
pub struct Health {
    config: Config,
    entries: Vec<Entry>,
}

impl Health {
    /// Makes the health of an empty pool.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            entries: Vec::new(),
        }
    }

    /// Tells whether `upstream` may be given a request now.
    pub fn admit(&self, now: Time, upstream: &str) -> Admission {
        let Some(entry) = self.entry(upstream) else {
            return Admission::NotInPool;
        };
        match entry.state {
            _ if now < entry.paused => Admission::Ejected(entry.paused - now),
            State::Open { until } if now < until => Admission::Ejected(until - now),
            State::Open { .. } | State::HalfOpen { probing: false } => Admission::Probe,
            State::HalfOpen { probing: true } => Admission::Full,
            State::Closed if entry.running < self.allowed(now, entry) => Admission::Allowed,
            State::Closed => Admission::Full,
        }
    }

    /// Returns how many requests `upstream` may have at once now.
    pub fn limit(&self, now: Time, upstream: &str) -> u32 {
        self.entry(upstream).map_or(0, |entry| match entry.state {
            _ if now < entry.paused => 0,
            State::Closed => self.allowed(now, entry),
            State::Open { until } if now < until => 0,
            State::Open { .. } | State::HalfOpen { .. } => 1,
        })
    }

    /// Returns how many requests `upstream` has.
    pub fn running(&self, upstream: &str) -> u32 {
        self.entry(upstream).map_or(0, |entry| entry.running)
    }

    /// Returns how many upstreams are ejected or being probed.
    pub fn ejected(&self) -> usize {
        let ejected = |entry: &&Entry| entry.state != State::Closed;
        self.entries.iter().filter(ejected).count()
    }

    fn entry(&self, upstream: &str) -> Option<&Entry> {
        let index = self.find(upstream).ok()?;
        self.entries.get(index)
    }

    fn find(&self, upstream: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| (*entry.upstream).cmp(upstream))
    }

    fn allowed(&self, now: Time, entry: &Entry) -> u32 {
        let limit = entry.limit * self.warmth(now, entry);
        (limit as u32).max(self.config.limit_min)
    }

    /// Returns the part of its limit that a started upstream may use.
    fn warmth(&self, now: Time, entry: &Entry) -> f64 {
        let Some(started) = entry.started else {
            return 1.0;
        };
        let age = now.saturating_sub(started).as_secs_f64();
        let whole = self.config.slow_start.as_secs_f64();
        if age >= whole { 1.0 } else { age / whole }
    }

    fn set_pool(&mut self, now: Time, mut pool: Vec<Upstream>) {
        pool.sort_unstable();
        pool.dedup();
        let known = !self.entries.is_empty();
        self.entries
            .retain(|entry| pool.binary_search(&entry.upstream).is_ok());
        for upstream in pool {
            if let Err(index) = self.find(&upstream) {
                let limit = f64::from(self.config.limit);
                let entry = Entry {
                    upstream,
                    state: State::Closed,
                    failures: 0,
                    ejections: 0,
                    running: 0,
                    limit,
                    mean: None,
                    reduced: None,
                    started: known.then_some(now),
                    paused: Time::ZERO,
                };
                self.entries.insert(index, entry);
            }
        }
    }

    fn start(&mut self, now: Time, upstream: &str) {
        let Ok(index) = self.find(upstream) else {
            return;
        };
        let entry = &mut self.entries[index];
        entry.running += 1;
        entry.state = match entry.state {
            State::Open { until } if now >= until => State::HalfOpen { probing: true },
            State::HalfOpen { .. } => State::HalfOpen { probing: true },
            state => state,
        };
    }

    fn end(&mut self, now: Time, upstream: &str, verdict: AttemptResult, out: &mut Vec<Action>) {
        let Ok(index) = self.find(upstream) else {
            return;
        };
        let entry = &mut self.entries[index];
        entry.running = entry.running.saturating_sub(1);
        match verdict {
            AttemptResult::Answered(latency) => {
                adapt(&self.config, now, entry, latency);
                succeed(now, entry, out);
            }
            AttemptResult::Overloaded => {
                reduce(&self.config, now, entry);
                succeed(now, entry, out);
            }
            AttemptResult::Failed => self.fail(now, index, out),
            AttemptResult::Neutral => {
                if entry.state == (State::HalfOpen { probing: true }) {
                    entry.state = State::HalfOpen { probing: false };
                }
            }
        }
    }

    fn fail(&mut self, now: Time, index: usize, out: &mut Vec<Action>) {
        let most = (self.entries.len() as f64 * self.config.share) as usize;
        let ejected = self.ejected();
        let config = &self.config;
        let entry = &mut self.entries[index];
        reduce(config, now, entry);
        entry.failures += 1;
        match entry.state {
            State::Closed if entry.failures < config.failures => {}
            State::Closed if ejected >= most => {
                // Too few are left to tell a bad upstream from a bad network.
                entry.failures = 0;
                out.push(Action::Spared(entry.upstream.clone()));
            }
            State::Closed | State::HalfOpen { .. } => eject(config, now, entry, out),
            State::Open { .. } => {}
        }
    }

    fn restart(&mut self, now: Time, upstream: &str) {
        if let Ok(index) = self.find(upstream) {
            let entry = &mut self.entries[index];
            entry.started = Some(now);
            entry.mean = None;
            entry.limit = f64::from(self.config.limit);
        }
    }

    /// Keeps a pause, after which the upstream's limit grows as after a start.
    fn pause(&mut self, now: Time, upstream: &str, time: Duration) {
        if let Ok(index) = self.find(upstream) {
            let entry = &mut self.entries[index];
            entry.paused = entry.paused.max(now + time);
            entry.started = Some(entry.paused);
        }
    }

    fn probe_due(&mut self, now: Time, out: &mut Vec<Action>) {
        for entry in &mut self.entries {
            if matches!(entry.state, State::Open { until } if now >= until) {
                entry.state = State::HalfOpen { probing: false };
                out.push(Action::Probing(entry.upstream.clone()));
            }
        }
    }
}

fn succeed(now: Time, entry: &mut Entry, out: &mut Vec<Action>) {
    entry.failures = 0;
    if entry.state == (State::HalfOpen { probing: true }) {
        entry.state = State::Closed;
        entry.started = Some(now);
        entry.ejections = 0;
        out.push(Action::Restored(entry.upstream.clone()));
    }
}

fn eject(config: &Config, now: Time, entry: &mut Entry, out: &mut Vec<Action>) {
    let time = config.eject * (1_u32 << entry.ejections.min(16));
    let time = time.min(config.eject_max);
    entry.ejections += 1;
    entry.failures = 0;
    entry.state = State::Open { until: now + time };
    out.push(Action::Ejected(entry.upstream.clone(), time));
}

/// Grows the limit by one per limit's worth of answers in time, while it is in use.
fn adapt(config: &Config, now: Time, entry: &mut Entry, latency: Duration) {
    let mean = entry.mean.unwrap_or(latency);
    entry.mean = Some((mean * (MEAN_DIVISOR - 1) + latency) / MEAN_DIVISOR);
    if latency > mean.mul_f64(config.tolerance) {
        return reduce(config, now, entry);
    }
    let used = f64::from(entry.running + 1) * 2.0 >= entry.limit;
    if used {
        let grown = entry.limit + 1.0 / entry.limit;
        entry.limit = grown.min(f64::from(config.limit_max));
    }
}

/// Shrinks the limit, once per mean latency: the answers of one overload count as one sign.
fn reduce(config: &Config, now: Time, entry: &mut Entry) {
    let span = entry.mean.unwrap_or_default();
    if entry.reduced.is_some_and(|at| now < at + span) {
        return;
    }
    entry.reduced = Some(now);
    let limit = entry.limit * config.decrease;
    entry.limit = limit.max(f64::from(config.limit_min));
}

impl Machine for Health {
    type Event = Event;
    type Action = Action;

    fn step(&mut self, now: Time, event: Event, out: &mut impl Extend<Action>) {
        let mut actions = Vec::new();
        self.probe_due(now, &mut actions);
        match event {
            Event::Pool(pool) => self.set_pool(now, pool),
            Event::Started(upstream) => self.start(now, &upstream),
            Event::Ended(upstream, verdict) => self.end(now, &upstream, verdict, &mut actions),
            Event::Restarted(upstream) => self.restart(now, &upstream),
            Event::Paused(upstream, time) => self.pause(now, &upstream, time),
            Event::Tick => {}
        }
        out.extend(actions);
    }

    fn wake(&self) -> Option<Time> {
        let until = |entry: &Entry| match entry.state {
            State::Open { until } => Some(until),
            _ => None,
        };
        self.entries.iter().filter_map(until).min()
    }
}
