//! The two clocks of a node, read in one place and handed to the machines as values.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use wire::Time;

/// Monotonic clock with its origin at the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts the clock at zero.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Time {
        self.origin.elapsed()
    }

    /// Returns the instant at which [`Clock::now`] gives `time`.
    pub fn instant(&self, time: Time) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.origin + time)
    }
}

/// Returns the wall clock in microseconds since the Unix epoch; zero where it stands before that.
pub fn wall_micros() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}
