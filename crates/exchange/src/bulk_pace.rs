//! Pace of bulk data between nodes.
//!
//! A node's link carries its callers' requests as well. What is put on the link faster than it carries it
//! delays everything behind it, cancellations included, so bulk data get a share of the link.

use std::time::Duration;

use wire::Time;

/// Share of the link for bulk data.
const SHARE: f64 = 0.5;

/// Maximum rate in bytes per second: more would take the processor from callers' requests.
const RATE_MAX: f64 = 2_500_000.0;

/// Time for which data may be sent at once, which saves wake-ups.
const BURST: Duration = Duration::from_millis(10);

/// When the next bulk data may be sent.
#[derive(Clone, Copy, Debug)]
pub struct BulkPace {
    /// Bytes per second.
    rate: f64,
    free_at: Time,
}

impl BulkPace {
    /// Creates the pace for a link of so many bits per second.
    pub fn new(link_bits_per_second: f64) -> Self {
        Self {
            rate: (link_bits_per_second / 8.0 * SHARE).clamp(1.0, RATE_MAX),
            free_at: Time::ZERO,
        }
    }

    /// Returns how long to wait before the next data.
    pub fn wait(&self, now: Time) -> Duration {
        let wait = self.free_at.saturating_sub(now);
        if wait < BURST { Duration::ZERO } else { wait }
    }

    /// Records that so many bytes were sent.
    pub fn sent(&mut self, now: Time, bytes: usize) {
        let time = Duration::from_secs_f64(bytes as f64 / self.rate);
        self.free_at = self.free_at.max(now) + time;
    }
}
