//! How late the event loop runs.
//!
//! Without the processor, with a long computation or after a freeze, a process reads what has arrived
//! long after it came. A task that is due at fixed intervals shows by how much.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use wire::Time;

use super::Hub;
use crate::dialect::Dialect;

/// Interval between two turns.
pub const TURN: Duration = Duration::from_millis(100);

/// When the event loop had its last turn.
#[derive(Debug, Default)]
pub(super) struct Turns {
    last_micros: AtomicU64,
}

impl Turns {
    /// Records a turn at `now`. Returns by how much it was late.
    fn record(&self, now: Time) -> Duration {
        let last = self.last_micros.swap(micros(now), Ordering::Relaxed);
        late(now, last)
    }

    /// Returns by how much the next turn is late by now.
    fn overdue(&self, now: Time) -> Duration {
        late(now, self.last_micros.load(Ordering::Relaxed))
    }
}

fn late(now: Time, last_micros: u64) -> Duration {
    if last_micros == 0 {
        return Duration::ZERO;
    }
    now.saturating_sub(Duration::from_micros(last_micros) + TURN)
}

fn micros(time: Time) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

impl<D: Dialect> Hub<D> {
    /// Records a turn of the event loop.
    pub fn record_turn(&self) {
        let late = self.turns.record(self.clock.now());
        self.metrics.loop_delay.observe(late.as_secs_f64());
    }

    /// Returns by how much the event loop is late.
    pub fn loop_delay(&self) -> Duration {
        self.turns.overdue(self.clock.now())
    }
}
