//! Health of the upstreams of one pool, as seen by one node.
//!
//! - Outlier detection with growing ejection times and a bounded share of ejected upstreams, as in
//!   Envoy.
//! - An ejected upstream returns through one probe at a time (the half-open state of the circuit
//!   breaker pattern, Nygard, "Release It!", 2007).
//! - After a cold start the limit grows over time (Envoy's slow start).
//! - The concurrency limit adapts by additive increase and multiplicative decrease (Chiu and
//!   Jain, 1989), driven by latency relative to its long-term mean, as in Netflix's
//!   concurrency-limits.

use std::time::Duration;

use wire::{Machine, Time, Upstream};

/// Divisor that gives the weight of a new sample in the long-term mean latency.
const MEAN_DIVISOR: u32 = 64;

/// Limits of a [`Health`].
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Consecutive failures after which an upstream is ejected.
    pub consecutive_failures: u32,
    /// Duration of the first ejection, doubled for each consecutive one.
    pub base_ejection_time: Duration,
    /// Maximum duration of an ejection.
    pub max_ejection_time: Duration,
    /// Maximum share of the pool that may be ejected.
    pub max_ejected_share: f64,
    /// Time over which the limit of a started upstream grows to its full value.
    pub slow_start: Duration,
    /// Initial concurrency limit.
    pub initial_limit: u32,
    /// Minimum concurrency limit.
    pub min_limit: u32,
    /// Maximum concurrency limit.
    pub max_limit: u32,
    /// Multiple of the long-term mean latency above which a response is a sign of overload.
    pub latency_tolerance: f64,
    /// Factor by which the limit is decreased.
    pub decrease_factor: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            consecutive_failures: 3,
            base_ejection_time: Duration::from_secs(1),
            max_ejection_time: Duration::from_secs(30),
            max_ejected_share: 0.34,
            slow_start: Duration::from_secs(10),
            initial_limit: 16,
            min_limit: 1,
            max_limit: 256,
            latency_tolerance: 2.0,
            decrease_factor: 0.9,
        }
    }
}

/// What the end of an attempt says about its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The upstream responded after this time.
    Answered(Duration),
    /// The upstream refused the request because of overload. It is healthy, but its limit is
    /// decreased.
    Overloaded,
    /// The connection broke, the attempt timed out or the upstream refused it.
    Failed,
    /// The caller or this node ended the attempt, which says nothing about the upstream.
    Neutral,
}

/// Input of a [`Health`].
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The pool now consists of these upstreams.
    Pool(Vec<Upstream>),
    /// An attempt that [`Health::admit`] allowed starts.
    Started(Upstream),
    /// An attempt ended.
    Ended(Upstream, AttemptResult),
    /// The process of the upstream restarted, so it is cold.
    Restarted(Upstream),
    /// The upstream asked for no requests for this time.
    Paused(Upstream, Duration),
    /// The time of [`Machine::wake`] has come.
    Tick,
}

/// A change of an upstream's state, to be logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// The upstream gets no requests for this time, then a probe.
    Ejected(Upstream, Duration),
    /// The upstream is not ejected because too many others are.
    Spared(Upstream),
    /// The next request to the upstream is a probe.
    Probing(Upstream),
    /// The upstream succeeded in its probe and is back in use.
    Restored(Upstream),
}

/// Whether an upstream may be sent a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request is allowed.
    Allowed,
    /// The request is allowed as the only one, to probe whether the upstream has recovered.
    Probe,
    /// The upstream has reached its limit.
    Full,
    /// The upstream is ejected, or asked for a pause, for this time.
    Ejected(Duration),
    /// The upstream does not belong to the pool.
    NotInPool,
}

/// State of an upstream's circuit breaker.
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
    consecutive_failures: u32,
    consecutive_ejections: u32,
    in_flight: u32,
    limit: f64,
    mean_latency: Option<Duration>,
    last_decrease: Option<Time>,
    slow_start_from: Option<Time>,
    /// End of the pause that the upstream asked for.
    paused_until: Time,
}

/// Health of the upstreams of one pool.
#[derive(Clone, Debug)]
pub struct Health {
    config: Config,
    /// Sorted by upstream.
    entries: Vec<Entry>,
}

impl Health {
    /// Creates the state of an empty pool.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            entries: Vec::new(),
        }
    }

    /// Returns whether `upstream` may be sent a request now.
    pub fn admit(&self, now: Time, upstream: &str) -> Admission {
        let Some(entry) = self.entry(upstream) else {
            return Admission::NotInPool;
        };
        match entry.state {
            _ if now < entry.paused_until => Admission::Ejected(entry.paused_until - now),
            State::Open { until } if now < until => Admission::Ejected(until - now),
            State::Open { .. } | State::HalfOpen { probing: false } => Admission::Probe,
            State::HalfOpen { probing: true } => Admission::Full,
            State::Closed if entry.in_flight < self.current_limit(now, entry) => Admission::Allowed,
            State::Closed => Admission::Full,
        }
    }

    /// Returns how many concurrent requests `upstream` may have now.
    pub fn limit(&self, now: Time, upstream: &str) -> u32 {
        self.entry(upstream).map_or(0, |entry| match entry.state {
            _ if now < entry.paused_until => 0,
            State::Closed => self.current_limit(now, entry),
            State::Open { until } if now < until => 0,
            State::Open { .. } | State::HalfOpen { .. } => 1,
        })
    }

    /// Returns how many requests `upstream` has in flight.
    pub fn in_flight(&self, upstream: &str) -> u32 {
        self.entry(upstream).map_or(0, |entry| entry.in_flight)
    }

    /// Returns how many upstreams are ejected or being probed.
    pub fn ejected_count(&self) -> usize {
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

    fn current_limit(&self, now: Time, entry: &Entry) -> u32 {
        let limit = entry.limit * self.slow_start_factor(now, entry);
        (limit as u32).max(self.config.min_limit)
    }

    /// Returns the fraction of its limit that an upstream may use during its slow start.
    fn slow_start_factor(&self, now: Time, entry: &Entry) -> f64 {
        let Some(started) = entry.slow_start_from else {
            return 1.0;
        };
        let age = now.saturating_sub(started).as_secs_f64();
        let duration = self.config.slow_start.as_secs_f64();
        if age >= duration { 1.0 } else { age / duration }
    }

    /// Updates the members of the pool. An upstream that joins a pool which already has members
    /// begins with a slow start.
    fn set_pool(&mut self, now: Time, mut pool: Vec<Upstream>) {
        pool.sort_unstable();
        pool.dedup();
        let had_members = !self.entries.is_empty();
        self.entries
            .retain(|entry| pool.binary_search(&entry.upstream).is_ok());
        for upstream in pool {
            if let Err(index) = self.find(&upstream) {
                let limit = f64::from(self.config.initial_limit);
                let entry = Entry {
                    upstream,
                    state: State::Closed,
                    consecutive_failures: 0,
                    consecutive_ejections: 0,
                    in_flight: 0,
                    limit,
                    mean_latency: None,
                    last_decrease: None,
                    slow_start_from: had_members.then_some(now),
                    paused_until: Time::ZERO,
                };
                self.entries.insert(index, entry);
            }
        }
    }

    fn attempt_started(&mut self, now: Time, upstream: &str) {
        let Ok(index) = self.find(upstream) else {
            return;
        };
        let entry = &mut self.entries[index];
        entry.in_flight += 1;
        entry.state = match entry.state {
            State::Open { until } if now >= until => State::HalfOpen { probing: true },
            State::HalfOpen { .. } => State::HalfOpen { probing: true },
            state => state,
        };
    }

    fn attempt_ended(
        &mut self,
        now: Time,
        upstream: &str,
        result: AttemptResult,
        out: &mut Vec<Action>,
    ) {
        let Ok(index) = self.find(upstream) else {
            return;
        };
        let entry = &mut self.entries[index];
        entry.in_flight = entry.in_flight.saturating_sub(1);
        match result {
            AttemptResult::Answered(latency) => {
                adapt_limit(&self.config, now, entry, latency);
                record_success(now, entry, out);
            }
            AttemptResult::Overloaded => {
                decrease_limit(&self.config, now, entry);
                record_success(now, entry, out);
            }
            AttemptResult::Failed => self.record_failure(now, index, out),
            AttemptResult::Neutral => {
                if entry.state == (State::HalfOpen { probing: true }) {
                    entry.state = State::HalfOpen { probing: false };
                }
            }
        }
    }

    fn record_failure(&mut self, now: Time, index: usize, out: &mut Vec<Action>) {
        let max_ejected = (self.entries.len() as f64 * self.config.max_ejected_share) as usize;
        let ejected = self.ejected_count();
        let config = &self.config;
        let entry = &mut self.entries[index];
        decrease_limit(config, now, entry);
        entry.consecutive_failures += 1;
        match entry.state {
            State::Closed if entry.consecutive_failures < config.consecutive_failures => {}
            State::Closed if ejected >= max_ejected => {
                // Too few upstreams are left to tell a failed upstream from a failed network.
                entry.consecutive_failures = 0;
                out.push(Action::Spared(entry.upstream.clone()));
            }
            State::Closed | State::HalfOpen { .. } => eject(config, now, entry, out),
            State::Open { .. } => {}
        }
    }

    fn upstream_restarted(&mut self, now: Time, upstream: &str) {
        if let Ok(index) = self.find(upstream) {
            let entry = &mut self.entries[index];
            entry.slow_start_from = Some(now);
            entry.mean_latency = None;
            entry.limit = f64::from(self.config.initial_limit);
        }
    }

    /// Pauses an upstream. After the pause its limit grows as after a start.
    fn pause(&mut self, now: Time, upstream: &str, duration: Duration) {
        if let Ok(index) = self.find(upstream) {
            let entry = &mut self.entries[index];
            entry.paused_until = entry.paused_until.max(now + duration);
            entry.slow_start_from = Some(entry.paused_until);
        }
    }

    /// Moves upstreams whose ejection has ended to the half-open state.
    fn end_ejections(&mut self, now: Time, out: &mut Vec<Action>) {
        for entry in &mut self.entries {
            if matches!(entry.state, State::Open { until } if now >= until) {
                entry.state = State::HalfOpen { probing: false };
                out.push(Action::Probing(entry.upstream.clone()));
            }
        }
    }
}

fn record_success(now: Time, entry: &mut Entry, out: &mut Vec<Action>) {
    entry.consecutive_failures = 0;
    if entry.state == (State::HalfOpen { probing: true }) {
        entry.state = State::Closed;
        entry.slow_start_from = Some(now);
        entry.consecutive_ejections = 0;
        out.push(Action::Restored(entry.upstream.clone()));
    }
}

fn eject(config: &Config, now: Time, entry: &mut Entry, out: &mut Vec<Action>) {
    let duration = config.base_ejection_time * (1_u32 << entry.consecutive_ejections.min(16));
    let duration = duration.min(config.max_ejection_time);
    entry.consecutive_ejections += 1;
    entry.consecutive_failures = 0;
    entry.state = State::Open {
        until: now + duration,
    };
    out.push(Action::Ejected(entry.upstream.clone(), duration));
}

/// Adapts the limit to the latency of a response. If the response is not a sign of overload and at
/// least half of the limit is in use, the limit grows by one for every `limit` responses.
fn adapt_limit(config: &Config, now: Time, entry: &mut Entry, latency: Duration) {
    let mean = entry.mean_latency.unwrap_or(latency);
    entry.mean_latency = Some((mean * (MEAN_DIVISOR - 1) + latency) / MEAN_DIVISOR);
    if latency > mean.mul_f64(config.latency_tolerance) {
        return decrease_limit(config, now, entry);
    }
    let in_use = f64::from(entry.in_flight + 1) * 2.0 >= entry.limit;
    if in_use {
        let increased = entry.limit + 1.0 / entry.limit;
        entry.limit = increased.min(f64::from(config.max_limit));
    }
}

/// Decreases the limit at most once per mean latency, since the responses of one overload count as
/// one sign.
fn decrease_limit(config: &Config, now: Time, entry: &mut Entry) {
    let interval = entry.mean_latency.unwrap_or_default();
    if entry.last_decrease.is_some_and(|at| now < at + interval) {
        return;
    }
    entry.last_decrease = Some(now);
    let limit = entry.limit * config.decrease_factor;
    entry.limit = limit.max(f64::from(config.min_limit));
}

impl Machine for Health {
    type Event = Event;
    type Action = Action;

    fn step(&mut self, now: Time, event: Event, out: &mut impl Extend<Action>) {
        let mut actions = Vec::new();
        self.end_ejections(now, &mut actions);
        match event {
            Event::Pool(pool) => self.set_pool(now, pool),
            Event::Started(upstream) => self.attempt_started(now, &upstream),
            Event::Ended(upstream, result) => {
                self.attempt_ended(now, &upstream, result, &mut actions);
            }
            Event::Restarted(upstream) => self.upstream_restarted(now, &upstream),
            Event::Paused(upstream, duration) => self.pause(now, &upstream, duration),
            Event::Tick => {}
        }
        out.extend(actions);
    }

    fn wake(&self) -> Option<Time> {
        let ejection_end = |entry: &Entry| match entry.state {
            State::Open { until } => Some(until),
            _ => None,
        };
        self.entries.iter().filter_map(ejection_end).min()
    }
}
