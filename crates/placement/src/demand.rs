//! Estimates of model popularity from exponentially decayed request counts.
//!
//! Each estimate uses two half-lives: the short one follows a sudden increase within seconds, the
//! long one tells which models are worth a slot.

use std::time::Duration;

use wire::Time;

/// Half-life of the short-term estimate.
pub const SHORT_HALF_LIFE: Duration = Duration::from_secs(6);

/// Exponentially decayed request counts of one model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecayingRate {
    long: f32,
    short: f32,
    updated_at: Time,
}

impl DecayingRate {
    /// Creates an estimate from a rate in requests per second that another node handed over.
    pub fn from_rate(now: Time, rate: f32, half_life: Duration) -> Self {
        Self {
            long: rate * half_life.as_secs_f32() / std::f32::consts::LN_2,
            short: 0.0,
            updated_at: now,
        }
    }

    /// Records `requests` that arrived at `now`.
    pub fn record(&mut self, now: Time, requests: u32, half_life: Duration) {
        let elapsed = now.saturating_sub(self.updated_at);
        self.long = self.long * decay(elapsed, half_life) + requests as f32;
        self.short = self.short * decay(elapsed, SHORT_HALF_LIFE) + requests as f32;
        self.updated_at = now;
    }

    /// Returns the requests per second, estimated with the long half-life.
    pub fn long_term(&self, now: Time, half_life: Duration) -> f32 {
        per_second(self.long, now.saturating_sub(self.updated_at), half_life)
    }

    /// Returns the requests per second, estimated with the short half-life.
    pub fn short_term(&self, now: Time) -> f32 {
        per_second(
            self.short,
            now.saturating_sub(self.updated_at),
            SHORT_HALF_LIFE,
        )
    }

    /// Returns the time of the last recorded request.
    pub const fn last_update(&self) -> Time {
        self.updated_at
    }
}

fn per_second(count: f32, elapsed: Duration, half_life: Duration) -> f32 {
    count * decay(elapsed, half_life) * std::f32::consts::LN_2 / half_life.as_secs_f32()
}

fn decay(elapsed: Duration, half_life: Duration) -> f32 {
    (-elapsed.as_secs_f32() / half_life.as_secs_f32()).exp2()
}

/// Returns the next number of homes for `sequences` concurrent sequences when each home carries
/// `capacity` and there are `homes` now.
///
/// The number changes by at max_homes one, and hysteresis prevents oscillation: it decreases only when
/// the sequences are well below what one home less would carry.
pub fn adjust_homes(homes: usize, sequences: f64, capacity: f64, max_homes: usize) -> usize {
    let total_capacity = homes as f64 * capacity;
    if sequences > total_capacity && homes < max_homes {
        homes + 1
    } else if homes > 1 && sequences < (total_capacity - capacity) * 0.6 {
        homes - 1
    } else {
        homes
    }
}
