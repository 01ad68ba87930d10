//! Silence of upstreams that owe an answer, and when a request leaves one that is silent.
//!
//! A sound upstream may be silent for a while, and so may a whole pool. A request therefore waits for
//! as long as it can still be answered on time elsewhere, and for longer than the pool usually takes.
//! It leaves for an upstream that has been heard from meanwhile. Where there is none, one request of the
//! node finds out whether the others are silent as well.
//!
//! Usual times are a smoothed mean with its mean deviation, as those of round trips in RFC 6298.

mod tracker;

use std::time::Duration;

use wire::Time;

pub use tracker::Tracker;

/// Interval at which the silence of an upstream is looked at.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Shortest silence that means anything: TCP sends a lost segment again after no less than this.
pub const SILENCE_MIN: Duration = Duration::from_millis(200);

/// Divisor that gives the weight of a sample in the mean.
const MEAN_DIVISOR: u32 = 8;

/// Divisor that gives the weight of a sample in the deviation.
const DEVIATION_DIVISOR: u32 = 4;

/// Deviations above the mean that are usual.
const DEVIATIONS: u32 = 4;

/// Multiple of the usual time from which an upstream that is silent gets no new requests while others
/// take them.
const AVOID_FACTOR: u32 = 2;

/// The usual length of a wait.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usual {
    mean: Option<Duration>,
    deviation: Duration,
}

impl Usual {
    /// Records the length of a wait.
    pub fn record(&mut self, sample: Duration) {
        let Some(mean) = self.mean else {
            self.mean = Some(sample);
            self.deviation = sample / 2;
            return;
        };
        let difference = mean.abs_diff(sample);
        let deviation = self.deviation * (DEVIATION_DIVISOR - 1) + difference;
        self.deviation = deviation / DEVIATION_DIVISOR;
        self.mean = Some((mean * (MEAN_DIVISOR - 1) + sample) / MEAN_DIVISOR);
    }

    /// Returns the mean of the waits.
    pub fn mean(&self) -> Duration {
        self.mean.unwrap_or_default()
    }

    /// Returns the time that few waits exceed, [`SILENCE_MIN`] at least.
    pub fn bound(&self) -> Duration {
        let bound = self.mean() + self.deviation * DEVIATIONS;
        bound.max(SILENCE_MIN)
    }
}

/// What is known of the silence of one pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolSilence {
    /// Time to the first byte of an answer, without the prefill of its prompt.
    pub first: Usual,
    /// Time between two events of a stream.
    pub next: Usual,
    /// When any of its upstreams was heard from last.
    heard_at: Option<Time>,
    /// When a request left last for an upstream that had not been heard from.
    trial_at: Option<Time>,
}

impl PoolSilence {
    /// Records that an upstream of the pool was heard from.
    pub fn heard(&mut self, now: Time) {
        self.heard_at = Some(now);
    }

    /// Returns the silence above which an upstream gets no new requests while others take them.
    pub fn avoid_after(&self) -> Duration {
        self.first.bound().max(self.next.bound()) * AVOID_FACTOR
    }

    /// Returns whether a request may leave an upstream that has been silent since `silent_since` for
    /// another one that was heard from last at `heard_at`.
    pub fn may_leave(&self, silent_since: Time, heard_at: Option<Time>) -> bool {
        let is_sound = heard_at.is_some_and(|at| at > silent_since);
        is_sound || self.trial_at.is_none() || self.heard_at > self.trial_at
    }

    /// Records that a request leaves for an upstream that was heard from last at `heard_at`.
    pub fn left(&mut self, now: Time, silent_since: Time, heard_at: Option<Time>) {
        if heard_at.is_none_or(|at| at <= silent_since) {
            self.trial_at = Some(now);
        }
    }
}

/// The wait of a request for the next byte of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wait {
    /// When it began.
    pub since: Time,
    /// Until when the byte is on time.
    pub on_time: Time,
    /// Until when the caller waits for it.
    pub useful: Time,
    /// Mean of such waits.
    pub mean: Duration,
    /// Time that few such waits exceed.
    pub usual: Duration,
}

impl Wait {
    /// Returns the time after which the request leaves a silent upstream: as late as another one is
    /// likely to be on time, or halfway to the end where none is.
    pub fn limit(&self) -> Duration {
        let spare = self.on_time.saturating_sub(self.since);
        let spare = spare.saturating_sub(CHECK_INTERVAL);
        if spare >= self.usual + self.mean {
            return spare.saturating_sub(self.usual).max(self.usual);
        }
        let useful = self.useful.saturating_sub(self.since);
        (useful / 2).max(self.usual)
    }

    /// Returns whether the request should leave an upstream that has been silent for `silence`
    /// towards all requests.
    pub fn is_over(&self, now: Time, silence: Duration) -> bool {
        let limit = self.limit();
        now >= self.since + limit && silence >= self.usual.max(limit / 2)
    }
}
