//! How fast engines read prompts, which nobody states.
//!
//! The settings name a speed; engines of other models or on other accelerators differ from it
//! several times. What a prompt took that was read alone tells the ratio. Streams beside it make
//! that longer now and then and never shorter, so a low quantile counts, tracked by stochastic
//! approximation (Robbins and Monro, 1951).

use std::time::Duration;

/// Reading time from which a prompt tells the ratio; a shorter one tells the time around it.
pub const RATIO_SAMPLE_MIN: Duration = Duration::from_millis(60);

/// Quantile of the ratios that is taken.
const QUANTILE: f64 = 0.3;

/// Part of the ratio by which one prompt moves it.
const STEP: f64 = 0.05;

/// Least ratio.
const RATIO_MIN: f64 = 0.5;

/// Greatest ratio.
const RATIO_MAX: f64 = 5.0;

/// Most by which one prompt moves the time around the reading.
const AROUND_STEP: Duration = Duration::from_millis(3);

/// How long engines take to read prompts, learnt from those that were read alone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillEstimator {
    /// How many times longer than by the settings the reading takes.
    ratio: f64,
    /// Time from a request to its first event beside the reading: crossings, and the steps of the
    /// tokens that an event holds.
    around: Duration,
}

impl Default for PrefillEstimator {
    fn default() -> Self {
        Self {
            ratio: 1.0,
            around: Duration::ZERO,
        }
    }
}

impl PrefillEstimator {
    /// Returns the time that a prompt takes which would take `reading` by the settings.
    pub fn estimate(self, reading: Duration) -> Duration {
        reading.mul_f64(self.ratio)
    }

    /// Takes in that the first event of a request came after `took`, whose prompt would take
    /// `reading` by the settings and was the only one read at its engine.
    pub fn record_sample(&mut self, reading: Duration, took: Duration) {
        if reading < RATIO_SAMPLE_MIN {
            self.learn_around(took.saturating_sub(self.estimate(reading)));
        } else {
            let seen = took.saturating_sub(self.around);
            self.learn_ratio(seen.as_secs_f64() / reading.as_secs_f64());
        }
    }

    fn learn_ratio(&mut self, seen: f64) {
        let change = if seen > self.ratio {
            QUANTILE
        } else {
            QUANTILE - 1.0
        };
        self.ratio = (self.ratio * (1.0 + STEP * change)).clamp(RATIO_MIN, RATIO_MAX);
    }

    fn learn_around(&mut self, seen: Duration) {
        self.around = if seen > self.around {
            self.around + AROUND_STEP.mul_f64(QUANTILE)
        } else {
            self.around
                .saturating_sub(AROUND_STEP.mul_f64(1.0 - QUANTILE))
        };
    }
}
