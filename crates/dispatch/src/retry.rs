//! What a request does after a failed attempt.
//!
//! Retries are paid for from two token buckets, one of the caller and one of the upstream's pool.
//! First attempts fill them: this is the retry budget of Finagle and of the gRPC retry design
//! (gRFC A6). Pauses are drawn with full jitter (Brooker, "Exponential Backoff and Jitter", 2015).
//! A request that is forwarded to another node carries the number of attempts that it has left, so
//! that the two nodes don't multiply their retries.

use std::time::Duration;

use wire::rank;
use wire::{Model, Time};

use crate::outcome::{Cause, Kind, Outcome, Stage};

/// One token in thousandths, the unit of budgets.
const TOKEN: u64 = 1_000;

/// Limits of retries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Maximum number of attempts for one request on all nodes together, including the first.
    pub max_attempts: u8,
    /// Mean pause before the second attempt, doubled for each further one.
    pub base_pause: Duration,
    /// Maximum pause.
    pub max_pause: Duration,
    /// Thousandths of a token that each first attempt adds to a budget.
    pub deposit: u64,
    /// Retries that a full budget allows.
    pub burst: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            max_attempts: 3,
            base_pause: Duration::from_millis(25),
            max_pause: Duration::from_secs(1),
            deposit: 100,
            burst: 10,
        }
    }
}

/// A token bucket of retries, one per caller and one per upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Budget {
    thousandths: u64,
    capacity: u64,
    deposit: u64,
}

impl Budget {
    /// Creates a full budget.
    pub fn new(config: &Config) -> Self {
        let capacity = config.burst * TOKEN;
        Self {
            thousandths: capacity,
            capacity,
            deposit: config.deposit,
        }
    }

    /// Adds the share of a token that a first attempt earns.
    pub fn deposit(&mut self) {
        self.thousandths = (self.thousandths + self.deposit).min(self.capacity);
    }

    /// Returns whether the budget holds a token for a retry.
    pub fn has_token(&self) -> bool {
        self.thousandths >= TOKEN
    }

    /// Takes the token for a retry. Returns whether there was one.
    pub fn withdraw(&mut self) -> bool {
        let has_token = self.has_token();
        if has_token {
            self.thousandths -= TOKEN;
        }
        has_token
    }
}

/// Limits that a node sends along with a request that it forwards to another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ForwardedLimits {
    /// Attempts that the request may still use.
    #[serde(rename = "left")]
    pub attempts_left: u8,
    /// Time until its deadline in milliseconds.
    #[serde(rename = "deadline")]
    pub deadline_ms: u64,
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// What the failure means for the caller if no attempt follows.
    pub outcome: Outcome,
    /// The stage that the attempt had reached.
    pub stage: Stage,
    /// Why the attempt ended.
    pub cause: Cause,
    /// The pause that the upstream asked for, if any.
    pub retry_after: Option<Duration>,
}

/// How much of a stream has been sent to its caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// The adapter and version that the stream runs on.
    pub model: Option<Model>,
    /// Number of tokens sent to the caller.
    pub tokens: u64,
    /// Whether the upstreams can resume a stream at a given token.
    pub resumable: bool,
}

/// Why a request gets no further attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// The request may have run and must not run twice.
    Once,
    /// The request has used all its attempts.
    Attempts,
    /// The retry budget of the caller or the upstream is empty.
    Budget,
    /// There is no time for another attempt before the deadline.
    Deadline,
    /// The caller disconnected, or the process is shutting down.
    Over,
    /// The stream has begun and can't be resumed, so it is cut off.
    Cut,
}

/// What a request does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Starts another attempt, at another upstream if there is one.
    Retry {
        /// When the attempt starts.
        at: Time,
    },
    /// Resumes the stream on the same adapter and version.
    Resume {
        /// When the attempt starts.
        at: Time,
        /// The adapter and version.
        model: Model,
        /// Tokens to skip because the caller already has them.
        tokens: u64,
    },
    /// Sends the caller its final response immediately.
    Stop {
        /// The outcome of the request.
        outcome: Outcome,
        /// Why there is no further attempt.
        reason: StopReason,
        /// Time after which the caller may send the request again; `None` if it must not.
        retry_after: Option<Duration>,
    },
}

/// The retries of one request.
#[derive(Clone, Debug)]
pub struct Retry {
    config: Config,
    kind: Kind,
    deadline: Time,
    attempts_left: u8,
    attempts_started: u32,
    seed: u64,
    hedged: bool,
    /// Whether the next attempt is paid for already.
    prepaid: bool,
}

impl Retry {
    /// Creates the state of a request that must be answered by `deadline`. `seed` determines its
    /// random pauses.
    pub fn new(config: Config, kind: Kind, deadline: Time, seed: u64) -> Self {
        Self {
            attempts_left: config.max_attempts,
            config,
            kind,
            deadline,
            attempts_started: 0,
            seed,
            hedged: false,
            prepaid: false,
        }
    }

    /// Creates the state of a request that another node forwarded and that arrived at `now`.
    pub fn from_forwarded(
        config: Config,
        kind: Kind,
        now: Time,
        limits: ForwardedLimits,
        seed: u64,
    ) -> Self {
        let deadline = now + Duration::from_millis(limits.deadline_ms);
        let mut retry = Self::new(config, kind, deadline, seed);
        retry.attempts_left = retry.attempts_left.min(limits.attempts_left);
        retry
    }

    /// Counts an attempt that starts now. Returns `false` if the request may not have another.
    pub fn start_attempt(&mut self, now: Time) -> bool {
        let allowed = self.attempts_left > 0 && now < self.deadline;
        if allowed {
            self.attempts_left -= 1;
            self.attempts_started += 1;
        }
        allowed
    }

    /// Returns the number of attempts that were started on this node.
    pub const fn attempts_started(&self) -> u32 {
        self.attempts_started
    }

    /// Returns the limits to send along when the request is forwarded to another node now. The
    /// remaining attempts move to that node.
    pub fn forward(&mut self, now: Time) -> ForwardedLimits {
        let attempts_left = std::mem::take(&mut self.attempts_left);
        let time_left = self.deadline.saturating_sub(now).as_millis();
        ForwardedLimits {
            attempts_left,
            deadline_ms: u64::try_from(time_left).unwrap_or(u64::MAX),
        }
    }

    /// Decides what follows a failed attempt, and pays for the next attempt if there is one.
    pub fn next(
        &mut self,
        now: Time,
        failure: &Failure,
        progress: &Progress,
        caller: &mut Budget,
        upstream: &mut Budget,
    ) -> Next {
        let pause = self.pause().max(failure.retry_after.unwrap_or_default());
        let at = now + pause;
        if let Some(reason) = self.stop_reason(at, failure, progress, caller, upstream) {
            return self.stop(failure, reason, pause);
        }
        if !std::mem::take(&mut self.prepaid) {
            caller.withdraw();
            upstream.withdraw();
        }
        match &progress.model {
            Some(model) if progress.tokens > 0 => Next::Resume {
                at,
                model: model.clone(),
                tokens: progress.tokens,
            },
            _ => Next::Retry { at },
        }
    }

    /// Returns whether the request may leave an upstream that still works on it, and pays for the next
    /// attempt. Only requests that may be repeated leave.
    pub fn leave(&mut self, now: Time, caller: &mut Budget, upstream: &mut Budget) -> bool {
        let allowed = self.kind == Kind::Idempotent && self.attempts_left > 0;
        let affordable = caller.has_token() && upstream.has_token();
        if !allowed || !affordable || now >= self.deadline {
            return false;
        }
        self.prepaid = true;
        caller.withdraw() && upstream.withdraw()
    }

    /// Returns whether a second attempt may run in parallel with a slow first one, and pays for it.
    /// Only idempotent requests are hedged, and only once.
    pub fn hedge(&mut self, now: Time, caller: &mut Budget, upstream: &mut Budget) -> bool {
        let allowed = self.kind == Kind::Idempotent && !self.hedged && self.attempts_left > 0;
        let affordable = caller.has_token() && upstream.has_token();
        if !allowed || !affordable || now >= self.deadline {
            return false;
        }
        self.hedged = true;
        caller.withdraw() && upstream.withdraw()
    }

    fn stop_reason(
        &self,
        at: Time,
        failure: &Failure,
        progress: &Progress,
        caller: &Budget,
        upstream: &Budget,
    ) -> Option<StopReason> {
        let resumable = progress.resumable && progress.model.is_some();
        if matches!(failure.cause, Cause::Cancel | Cause::Shutdown) {
            Some(StopReason::Over)
        } else if self.kind == Kind::Once && failure.outcome != Outcome::NotRun {
            Some(StopReason::Once)
        } else if progress.tokens > 0 && !resumable {
            Some(StopReason::Cut)
        } else if failure.cause == Cause::Deadline || at >= self.deadline {
            Some(StopReason::Deadline)
        } else if self.attempts_left == 0 {
            Some(StopReason::Attempts)
        } else if !self.prepaid && (!caller.has_token() || !upstream.has_token()) {
            Some(StopReason::Budget)
        } else {
            None
        }
    }

    fn stop(&self, failure: &Failure, reason: StopReason, pause: Duration) -> Next {
        let must_not_repeat = self.kind == Kind::Once && failure.outcome != Outcome::NotRun;
        let retry_after = pause.max(self.config.max_pause);
        Next::Stop {
            outcome: failure.outcome,
            reason,
            retry_after: (!must_not_repeat).then_some(retry_after),
        }
    }

    /// Draws the pause before the next attempt, between zero and twice its mean.
    fn pause(&self) -> Duration {
        let factor = 1_u32 << self.attempts_started.min(16);
        let upper_bound = (self.config.base_pause * factor).min(self.config.max_pause);
        let mut bytes = self.seed.to_le_bytes().to_vec();
        bytes.extend_from_slice(&self.attempts_started.to_le_bytes());
        let draw = rank::hash(bytes) % 1_000;
        upper_bound.mul_f64(draw as f64 / 1_000.0)
    }
}
