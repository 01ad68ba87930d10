//! Popularity from exponentially decayed counts.
//!
//! Each estimate keeps two half-lives: the short one follows a sudden favourite within seconds,
//! the long one remembers what is worth a slot.

use std::time::Duration;

use wire::Time;

/// Half-life of the short estimate.
pub const SHORT_HALF_LIFE: Duration = Duration::from_secs(6);

/// Decayed counts of one model's requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecayingRate {
    long: f32,
    short: f32,
    at: Time,
}

impl DecayingRate {
    /// Makes an estimate of `rate` requests per second, as handed over by another node.
    pub fn from_rate(now: Time, rate: f32, half_life: Duration) -> Self {
        Self {
            long: rate * half_life.as_secs_f32() / std::f32::consts::LN_2,
            short: 0.0,
            at: now,
        }
    }

    /// Counts `requests` at `now`.
    pub fn record(&mut self, now: Time, requests: u32, half_life: Duration) {
        let gone = now.saturating_sub(self.at);
        self.long = self.long * decay(gone, half_life) + requests as f32;
        self.short = self.short * decay(gone, SHORT_HALF_LIFE) + requests as f32;
        self.at = now;
    }

    /// Returns requests per second over the long half-life.
    pub fn long_term(&self, now: Time, half_life: Duration) -> f32 {
        per_second(self.long, now.saturating_sub(self.at), half_life)
    }

    /// Returns requests per second over the short half-life.
    pub fn short_term(&self, now: Time) -> f32 {
        per_second(self.short, now.saturating_sub(self.at), SHORT_HALF_LIFE)
    }

    /// Returns the time of the last count.
    pub const fn last_update(&self) -> Time {
        self.at
    }
}

fn per_second(level: f32, gone: Duration, half_life: Duration) -> f32 {
    level * decay(gone, half_life) * std::f32::consts::LN_2 / half_life.as_secs_f32()
}

fn decay(gone: Duration, half_life: Duration) -> f32 {
    (-gone.as_secs_f32() / half_life.as_secs_f32()).exp2()
}

/// Returns the homes that `sequences` at once need when each carries `capacity`, starting from
/// `homes` now. It moves one step at a time, and steps down only well below the step's edge.
pub fn adjust_homes(homes: usize, sequences: f64, capacity: f64, most: usize) -> usize {
    let carried = homes as f64 * capacity;
    if sequences > carried && homes < most {
        homes + 1
    } else if homes > 1 && sequences < (carried - capacity) * 0.6 {
        homes - 1
    } else {
        homes
    }
}
