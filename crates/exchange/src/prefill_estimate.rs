//! Estimation of prefill times.
//!
//! The settings state one prefill speed, but engines with other models or accelerators differ from
//! it several times over and do not report their own. The ratio is learnt from prompts whose
//! prefill ran alone. Concurrent streams sometimes lengthen such a sample and never shorten it, so
//! the estimate is a low quantile, tracked by stochastic approximation (Robbins and Monro, 1951).

use std::time::Duration;

/// Prefill time from which a sample updates the ratio; a shorter one updates the overhead.
pub const RATIO_SAMPLE_MIN: Duration = Duration::from_millis(60);

/// Quantile of the samples that is estimated.
const QUANTILE: f64 = 0.3;

/// Relative change of the ratio per sample.
const RATIO_STEP: f64 = 0.05;

/// Minimum ratio.
const RATIO_MIN: f64 = 0.5;

/// Maximum ratio.
const RATIO_MAX: f64 = 5.0;

/// Maximum change of the overhead per sample.
const OVERHEAD_STEP: Duration = Duration::from_millis(3);

/// Estimates prefill times from the samples of prompts whose prefill ran alone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillEstimator {
    /// Actual prefill time relative to the one that the settings give.
    ratio: f64,
    /// Time from a request to its first event in addition to the prefill: network latency, and the
    /// decoding steps for the tokens of an event.
    overhead: Duration,
}

impl Default for PrefillEstimator {
    fn default() -> Self {
        Self {
            ratio: 1.0,
            overhead: Duration::ZERO,
        }
    }
}

impl PrefillEstimator {
    /// Estimates a prefill that would take `nominal` according to the settings.
    pub fn estimate(self, nominal: Duration) -> Duration {
        nominal.mul_f64(self.ratio)
    }

    /// Records that the first event of a request came after `took`. Its prefill would take
    /// `nominal` according to the settings and ran alone on its engine.
    pub fn record_sample(&mut self, nominal: Duration, took: Duration) {
        if nominal < RATIO_SAMPLE_MIN {
            self.update_overhead(took.saturating_sub(self.estimate(nominal)));
        } else {
            let prefill = took.saturating_sub(self.overhead);
            self.update_ratio(prefill.as_secs_f64() / nominal.as_secs_f64());
        }
    }

    fn update_ratio(&mut self, sample: f64) {
        let change = if sample > self.ratio {
            QUANTILE
        } else {
            QUANTILE - 1.0
        };
        self.ratio = (self.ratio * (1.0 + RATIO_STEP * change)).clamp(RATIO_MIN, RATIO_MAX);
    }

    fn update_overhead(&mut self, sample: Duration) {
        self.overhead = if sample > self.overhead {
            self.overhead + OVERHEAD_STEP.mul_f64(QUANTILE)
        } else {
            self.overhead
                .saturating_sub(OVERHEAD_STEP.mul_f64(1.0 - QUANTILE))
        };
    }
}
