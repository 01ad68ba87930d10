//! How fast engines read prompts, which nobody states.
//!
//! The settings name a speed; engines of other models or on other accelerators differ from it
//! several times. What a prompt took that was read alone tells the ratio. Streams beside it make
//! that longer now and then and never shorter, so a low quantile counts, tracked by stochastic
//! approximation (Robbins and Monro, 1951).

use std::time::Duration;

/// Reading time from which a prompt tells anything: well above [`AROUND`].
pub const TELLING: Duration = Duration::from_millis(60);

/// Time from the request to its first event beside the reading: crossings, and the steps of the
/// tokens that an event holds.
const AROUND: Duration = Duration::from_millis(40);

/// Quantile of the ratios that is taken.
const QUANTILE: f64 = 0.3;

/// Part of the ratio by which one prompt moves it.
const STEP: f64 = 0.05;

/// Least ratio.
const RATIO_MIN: f64 = 0.5;

/// Greatest ratio.
const RATIO_MAX: f64 = 5.0;

/// How many times longer than by the settings engines take to read prompts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace(f64);

impl Default for Pace {
    fn default() -> Self {
        Self(1.0)
    }
}

impl Pace {
    /// Returns the time that a prompt takes which would take `reading` by the settings.
    pub fn expect(self, reading: Duration) -> Duration {
        reading.mul_f64(self.0)
    }

    /// Takes in that the first event of a request came after `took`, whose prompt would take
    /// `reading` by the settings and was the only one read at its engine.
    pub fn learn(&mut self, reading: Duration, took: Duration) {
        if reading < TELLING {
            return;
        }
        let seen = took.saturating_sub(AROUND).as_secs_f64() / reading.as_secs_f64();
        let change = if seen > self.0 {
            QUANTILE
        } else {
            QUANTILE - 1.0
        };
        self.0 = (self.0 * (1.0 + STEP * change)).clamp(RATIO_MIN, RATIO_MAX);
    }
}
