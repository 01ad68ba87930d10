//! What a request does after a failed attempt.
//!
//! Retries are paid from two token buckets, the caller's and the upstream's pool's, which fill
//! with first attempts: the retry budget of Finagle and of the gRPC retry design (gRFC A6). Pauses are drawn
//! with full jitter (Brooker, "Exponential Backoff and Jitter", 2015). A request carries a mark of
//! the attempts it may still cost, so that two nodes don't multiply their retries.

use std::time::Duration;

use wire::rank;
use wire::{Model, Time};

use crate::outcome::{Cause, Kind, Outcome, Stage};

/// Thousandths of a token, the unit of budgets.
const TOKEN: u64 = 1_000;

/// Limits of retries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Most attempts for one request, the first included, on all nodes together.
    pub attempts: u8,
    /// Mean pause before the second attempt, doubled for each further one.
    pub pause: Duration,
    /// Longest pause.
    pub pause_max: Duration,
    /// Thousandths of a retry that a first attempt pays for.
    pub ratio: u64,
    /// Retries that a full budget allows.
    pub burst: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            attempts: 3,
            pause: Duration::from_millis(25),
            pause_max: Duration::from_secs(1),
            ratio: 100,
            burst: 10,
        }
    }
}

/// A token bucket of retries, one per caller and one per upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Budget {
    thousandths: u64,
    most: u64,
    ratio: u64,
}

impl Budget {
    /// Makes a full budget.
    pub fn new(config: &Config) -> Self {
        let most = config.burst * TOKEN;
        Self {
            thousandths: most,
            most,
            ratio: config.ratio,
        }
    }

    /// Pays a first attempt's share in.
    pub fn deposit(&mut self) {
        self.thousandths = (self.thousandths + self.ratio).min(self.most);
    }

    /// Tells whether a retry can be paid for.
    pub fn allows(&self) -> bool {
        self.thousandths >= TOKEN
    }

    /// Pays for a retry, if it can be paid for.
    pub fn withdraw(&mut self) -> bool {
        let allowed = self.allows();
        if allowed {
            self.thousandths -= TOKEN;
        }
        allowed
    }
}

/// What a node tells another one with a request that it passes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Mark {
    /// Attempts that the request may still cost.
    pub left: u8,
    /// Time until its deadline in milliseconds.
    pub deadline: u64,
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// What it means for the caller if no attempt follows.
    pub outcome: Outcome,
    /// How far it had come.
    pub stage: Stage,
    /// Why it ended.
    pub cause: Cause,
    /// The upstream's wish for a pause, if it named one.
    pub retry_after: Option<Duration>,
}

/// What a stream has passed on to its caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// The adapter and version that it runs on.
    pub model: Option<Model>,
    /// Number of tokens passed on.
    pub tokens: u64,
    /// Whether the upstreams can resume a stream at a token.
    pub resumable: bool,
}

/// Why a request gets no further attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// It may have run and must not run twice.
    Once,
    /// The attempts that it may cost are used up.
    Attempts,
    /// The caller's or the upstream's retry budget is empty.
    Budget,
    /// No attempt fits in before the deadline.
    Deadline,
    /// The caller went away, or the process ends.
    Over,
    /// The stream has begun and can't be resumed: it is cut.
    Cut,
}

/// What a request does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Starts another attempt at that time, at another upstream if there is one.
    Retry {
        /// When.
        at: Time,
    },
    /// Resumes the stream on exactly that adapter and version.
    Resume {
        /// When.
        at: Time,
        /// The adapter and version.
        model: Model,
        /// Tokens to skip, as the caller has them.
        tokens: u64,
    },
    /// Gives the caller its final answer at once.
    Stop {
        /// What is known of the request.
        outcome: Outcome,
        /// Why there is no further attempt.
        reason: StopReason,
        /// When the caller may send the request again; `None` where it must not.
        retry_after: Option<Duration>,
    },
}

/// The retries of one request.
#[derive(Clone, Debug)]
pub struct Retry {
    config: Config,
    kind: Kind,
    deadline: Time,
    left: u8,
    made: u32,
    seed: u64,
    hedged: bool,
}

impl Retry {
    /// Starts a request whose answer is due at `deadline`; `seed` draws its pauses.
    pub fn new(config: Config, kind: Kind, deadline: Time, seed: u64) -> Self {
        Self {
            left: config.attempts,
            config,
            kind,
            deadline,
            made: 0,
            seed,
            hedged: false,
        }
    }

    /// Takes a request over that another node passed on at `now`.
    pub fn resume(config: Config, kind: Kind, now: Time, mark: Mark, seed: u64) -> Self {
        let deadline = now + Duration::from_millis(mark.deadline);
        let mut retry = Self::new(config, kind, deadline, seed);
        retry.left = retry.left.min(mark.left);
        retry
    }

    /// Counts an attempt that starts now. Returns `false` where the request may have none.
    pub fn start_attempt(&mut self, now: Time) -> bool {
        let allowed = self.left > 0 && now < self.deadline;
        if allowed {
            self.left -= 1;
            self.made += 1;
        }
        allowed
    }

    /// Returns the number of attempts that were started here.
    pub const fn attempts_started(&self) -> u32 {
        self.made
    }

    /// Returns the mark for a request that is passed on to another node now, which takes the
    /// remaining attempts over.
    pub fn pass(&mut self, now: Time) -> Mark {
        let left = std::mem::take(&mut self.left);
        let time = self.deadline.saturating_sub(now).as_millis();
        Mark {
            left,
            deadline: u64::try_from(time).unwrap_or(u64::MAX),
        }
    }

    /// Decides what follows a failed attempt, and pays for it if another one does.
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
        if let Some(reason) = self.stop(at, failure, progress, caller, upstream) {
            return self.stopped(failure, reason, pause);
        }
        caller.withdraw();
        upstream.withdraw();
        match &progress.model {
            Some(model) if progress.tokens > 0 => Next::Resume {
                at,
                model: model.clone(),
                tokens: progress.tokens,
            },
            _ => Next::Retry { at },
        }
    }

    /// Tells whether a second attempt may run beside a slow first one, and pays for it. Only
    /// idempotent requests are hedged, once.
    pub fn hedge(&mut self, now: Time, caller: &mut Budget, upstream: &mut Budget) -> bool {
        let may = self.kind == Kind::Idempotent && !self.hedged && self.left > 0;
        let paid = caller.allows() && upstream.allows();
        if !may || !paid || now >= self.deadline {
            return false;
        }
        self.hedged = true;
        caller.withdraw() && upstream.withdraw()
    }

    fn stop(
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
        } else if self.left == 0 {
            Some(StopReason::Attempts)
        } else if !caller.allows() || !upstream.allows() {
            Some(StopReason::Budget)
        } else {
            None
        }
    }

    fn stopped(&self, failure: &Failure, reason: StopReason, pause: Duration) -> Next {
        let never = self.kind == Kind::Once && failure.outcome != Outcome::NotRun;
        let wait = pause.max(self.config.pause_max);
        Next::Stop {
            outcome: failure.outcome,
            reason,
            retry_after: (!never).then_some(wait),
        }
    }

    /// Draws the pause before the next attempt, between nothing and twice its mean.
    fn pause(&self) -> Duration {
        let doubled = 1_u32 << self.made.min(16);
        let most = (self.config.pause * doubled).min(self.config.pause_max);
        let mut bytes = self.seed.to_le_bytes().to_vec();
        bytes.extend_from_slice(&self.made.to_le_bytes());
        let draw = rank::hash(bytes) % 1_000;
        most.mul_f64(draw as f64 / 1_000.0)
    }
}
