//! The rate-limited weight store that the engines of a site share.
//!
//! A load takes [`Store`]'s load time while no more than eight are in flight over all engines, and
//! proportionally longer beyond. Of the loads of one engine at a time only one runs at full
//! speed: they share it. Loads beyond the store's rate wait for their turn, and count as in flight
//! meanwhile.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};

use crate::lock;

/// Loads in flight at full speed.
pub const FULL_SPEED_LOADS: usize = 8;

/// Time between two looks at the number of loads in flight.
const TICK: Duration = Duration::from_millis(5);

/// Settings of a store.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Time of a load at full speed.
    pub load: Duration,
    /// Loads that may begin within a second, on average; 0 for no limit.
    pub rate: f64,
    /// Loads that may begin at once after a rest.
    pub burst: u32,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            load: Duration::from_millis(250),
            rate: 2.4,
            burst: 8,
        }
    }
}

#[derive(Debug)]
struct State {
    in_flight: usize,
    peak: usize,
    begun: u64,
    delayed: u64,
    /// Time at which the last of the allowed loads would have used up the whole burst.
    used_until: Instant,
}

/// Loads counted by a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Counts {
    /// Loads begun.
    pub begun: u64,
    /// Loads that had to wait for the store's rate.
    pub delayed: u64,
    /// Most loads in flight at a time.
    pub peak: usize,
}

/// A weight store; clones are the same store.
#[derive(Clone, Debug)]
pub struct Store {
    config: Config,
    state: Arc<Mutex<State>>,
}

impl Store {
    /// Makes a store.
    pub fn new(config: Config) -> Self {
        let state = State {
            in_flight: 0,
            peak: 0,
            begun: 0,
            delayed: 0,
            used_until: Instant::now(),
        };
        Self {
            config,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Returns what was counted so far.
    pub fn counts(&self) -> Counts {
        let state = lock(&self.state);
        Counts {
            begun: state.begun,
            delayed: state.delayed,
            peak: state.peak,
        }
    }

    /// Runs one load; `local` gives the number of loads of the same engine that run with it.
    pub async fn load(&self, local: impl Fn() -> usize) {
        let _flight = self.begin();
        sleep_until(self.turn()).await;
        let mut left = self.config.load.as_secs_f64();
        let mut last = Instant::now();
        while left > 0.0 {
            let speed = self.speed() / local().max(1) as f64;
            // The last part of the load is slept exactly.
            let rest = Duration::from_secs_f64(left / speed);
            sleep(rest.min(TICK)).await;
            let now = Instant::now();
            left -= (now - last).as_secs_f64() * speed;
            last = now;
        }
    }

    fn speed(&self) -> f64 {
        let in_flight = lock(&self.state).in_flight.max(FULL_SPEED_LOADS);
        FULL_SPEED_LOADS as f64 / in_flight as f64
    }

    fn begin(&self) -> Flight<'_> {
        let mut state = lock(&self.state);
        state.in_flight += 1;
        state.begun += 1;
        state.peak = state.peak.max(state.in_flight);
        Flight(self)
    }

    /// Takes the next turn that the rate allows (a token bucket in its virtual-time form).
    fn turn(&self) -> Instant {
        let now = Instant::now();
        if self.config.rate <= 0.0 {
            return now;
        }
        let gap = Duration::from_secs_f64(1.0 / self.config.rate);
        let rest = gap * self.config.burst.saturating_sub(1);
        let mut state = lock(&self.state);
        let used = state.used_until.max(now);
        state.used_until = used + gap;
        let turn = used.checked_sub(rest).unwrap_or(now).max(now);
        state.delayed += u64::from(turn > now);
        turn
    }
}

/// A load in flight.
struct Flight<'a>(&'a Store);

impl Drop for Flight<'_> {
    fn drop(&mut self) {
        lock(&self.0.state).in_flight -= 1;
    }
}
