//! How late the event loop runs.
//!
//! Without the processor, with a long computation or after a freeze, a process reads what has arrived
//! long after it came. A task that is due at fixed intervals shows by how much.

use std::sync::{MutexGuard, PoisonError};
use std::time::Duration;

use wire::Time;

use super::Hub;
use crate::dialect::Dialect;

/// Interval between two turns.
pub const TURN: Duration = Duration::from_millis(100);

/// Delay from which the process counts as behind.
const BEHIND: Duration = Duration::from_millis(100);

/// Delay from which the process counts as having stood still.
const STANDSTILL: Duration = Duration::from_millis(500);

/// When the event loop had its last turns.
#[derive(Debug, Default)]
pub(super) struct Turns {
    last: Time,
    /// Since when the process has been behind.
    behind_since: Option<Time>,
    /// Time in which the process has stood still so far.
    stood: Duration,
}

impl Turns {
    /// Records a turn at `now`. Returns by how much it was late.
    fn record(&mut self, now: Time) -> Duration {
        let late = self.late(now);
        self.behind_since = match self.behind_since {
            _ if late < BEHIND => None,
            Some(since) => Some(since),
            None => Some(self.last),
        };
        self.stood += standstill(late);
        self.last = now;
        late
    }

    /// Returns by how much the next turn is late by now.
    fn late(&self, now: Time) -> Duration {
        if self.last.is_zero() {
            return Duration::ZERO;
        }
        now.saturating_sub(self.last + TURN)
    }

    /// Returns `now` without the time in which the process stood still.
    fn running(&self, now: Time) -> Time {
        now.saturating_sub(self.stood + standstill(self.late(now)))
    }

    /// Returns when what is read now may have arrived at the earliest: until a turn is in time, it may
    /// have waited since the last one that was.
    fn earliest_arrival(&self, now: Time) -> Time {
        let behind = (self.late(now) >= BEHIND).then_some(self.last);
        self.behind_since.or(behind).unwrap_or(now)
    }
}

/// Returns the part of a delay in which the process stood still.
fn standstill(late: Duration) -> Duration {
    if late < STANDSTILL {
        Duration::ZERO
    } else {
        late
    }
}

impl<D: Dialect> Hub<D> {
    /// Records a turn of the event loop.
    pub fn record_turn(&self) {
        let late = self.turns().record(self.clock.now());
        self.metrics.loop_delay.observe(late.as_secs_f64());
    }

    /// Returns by how much the event loop is late.
    pub fn loop_delay(&self) -> Duration {
        self.turns().late(self.clock.now())
    }

    /// Returns when a request that is read now may have arrived at the earliest.
    pub fn earliest_arrival(&self) -> Time {
        self.turns().earliest_arrival(self.clock.now())
    }

    /// Returns the time on the clock that does not count the time in which the process stands still.
    pub(super) fn running_time(&self) -> Time {
        self.turns().running(self.clock.now())
    }

    fn turns(&self) -> MutexGuard<'_, Turns> {
        self.turns.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
