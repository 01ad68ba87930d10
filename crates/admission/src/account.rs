//! A caller's limits and what it uses of them.

use std::time::Duration;

use wire::{Priority, Time};

/// Longest interval between two requests of a caller.
const INTERVAL_MAX: Duration = Duration::from_secs(24 * 60 * 60);

/// Limits of one caller on one node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Requests a second in the long run.
    pub rate: f64,
    /// Requests that may come at once after a pause.
    pub burst: u32,
    /// Requests in progress at once.
    pub concurrent: u32,
    /// Part of `concurrent` that only the caller's urgent requests may take.
    pub reserve: u32,
}

impl Limit {
    /// Makes a limit without a reserve.
    pub const fn new(rate: f64, burst: u32, concurrent: u32) -> Self {
        Self {
            rate,
            burst,
            concurrent,
            reserve: 0,
        }
    }

    /// Keeps `reserve` of the concurrent requests for urgent ones.
    #[must_use]
    pub const fn with_reserve(self, reserve: u32) -> Self {
        Self { reserve, ..self }
    }

    /// Returns the time between two requests at the limit's rate.
    fn interval(&self) -> Duration {
        let interval = Duration::try_from_secs_f64(1.0 / self.rate);
        interval.unwrap_or(INTERVAL_MAX).min(INTERVAL_MAX)
    }

    /// Returns how many requests of `priority` may run while the caller runs no others.
    fn concurrent(&self, priority: Priority) -> u32 {
        let kept = match priority {
            Priority::Urgent => 0,
            Priority::Normal | Priority::Routine => self.reserve,
        };
        self.concurrent.saturating_sub(kept).max(1)
    }
}

/// What a caller uses of its limits.
///
/// The rate is kept by the generic cell rate algorithm in its virtual-scheduling form (ITU-T
/// I.371), which is a token bucket that needs one instant of state.
#[derive(Clone, Debug, Default)]
pub(crate) struct Account {
    pub limit: Option<Limit>,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Time at which the bucket is full again.
    pub full: Time,
}

impl Account {
    /// Returns how long the bucket stays without a token; zero where it has one.
    pub(crate) fn shortage(&self, now: Time) -> Duration {
        let Some(limit) = self.limit else {
            return Duration::ZERO;
        };
        let tolerance = limit.interval() * limit.burst.saturating_sub(1);
        self.full.saturating_sub(tolerance).saturating_sub(now)
    }

    /// Takes a token.
    pub(crate) fn take(&mut self, now: Time) {
        if let Some(limit) = self.limit {
            self.full = self.full.max(now) + limit.interval();
        }
    }

    /// Tells whether a request of `priority` would exceed the concurrency limit.
    pub(crate) fn is_full(&self, priority: Priority) -> bool {
        let limit = self.limit.as_ref();
        limit.is_some_and(|limit| self.running >= limit.concurrent(priority))
    }

    /// Returns how many requests of `priority` may run at once.
    pub(crate) fn width(&self, priority: Priority) -> Option<u32> {
        self.limit.map(|limit| limit.concurrent(priority))
    }

    /// Tells whether nothing would be lost by forgetting the caller.
    pub(crate) fn is_idle(&self) -> bool {
        self.running == 0 && self.waiting == 0
    }
}
