//! A score of failures that decays.

use std::time::Duration;

use wire::Time;

/// Weight of one failure.
const FAILURE_WEIGHT: f64 = 0.4;

/// Weight of one success.
const SUCCESS_WEIGHT: f64 = 0.15;

/// Half-life of the score after a single failure. It doubles with each consecutive failure, so that a
/// dead upstream is tried less and less often.
const FAILURE_HALF_LIFE: Duration = Duration::from_millis(700);

/// Score below which an upstream counts as sound. Without a limit, an upstream that gets no requests
/// would cost more than idle ones for many half-lives.
const SCORE_MIN: f64 = 0.02;

/// Maximum number of times that [`FAILURE_HALF_LIFE`] doubles.
const HALF_LIFE_DOUBLINGS_MAX: u32 = 4;

/// A score from 0 to 1.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Score {
    /// The score as of `at`.
    value: f64,
    at: Time,
    consecutive_failures: u32,
}

impl Score {
    /// Returns the score at `now`.
    pub(super) fn value(&self, now: Time) -> f64 {
        let doublings = self.consecutive_failures.saturating_sub(1);
        let half_life = FAILURE_HALF_LIFE * (1 << doublings.min(HALF_LIFE_DOUBLINGS_MAX));
        let age = now.saturating_sub(self.at).as_secs_f64();
        let value = self.value * (-age / half_life.as_secs_f64()).exp2();
        if value < SCORE_MIN { 0.0 } else { value }
    }

    /// Counts a failure.
    pub(super) fn fail(&mut self, now: Time) {
        let value = self.value(now);
        self.consecutive_failures += 1;
        self.value = value + (1.0 - value) * FAILURE_WEIGHT;
        self.at = now;
    }

    /// Counts a success.
    pub(super) fn succeed(&mut self, now: Time) {
        let value = self.value(now);
        self.consecutive_failures = 0;
        self.value = value * (1.0 - SUCCESS_WEIGHT);
        self.at = now;
    }

    /// Raises the score to `least`, from which it decays from `from` on.
    pub(super) fn raise(&mut self, now: Time, least: f64, from: Time) {
        self.value = self.value(now).max(least);
        self.at = from;
    }
}
