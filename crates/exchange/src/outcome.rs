//! The outcome of a failed attempt for its caller.
//!
//! A caller is told that its request did not run only if no upstream can have run it. In all other
//! cases the outcome is unknown and reported as such.

use std::time::Duration;

use crate::proof::Proof;
use crate::route::RouteKind;

/// Whether an attempt may have run before it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Execution {
    /// The request did not run and never will.
    NotRun(Proof),
    /// The request may have run or may still run.
    Unknown,
}

impl Execution {
    /// Returns the name used in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotRun(_) => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// The request may be sent to another upstream.
    Retry,
    /// The request is refused with the guarantee that it did not run; the caller may retry it.
    Refuse,
    /// The caller is told that the outcome is unknown.
    Unknown,
}

/// The state of a request after a failed attempt.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// The kind of its route, which decides what may be retried.
    pub kind: RouteKind,
    /// Whether the failed attempt may have run.
    pub execution: Execution,
    /// Whether any attempt, this one included, may have run.
    pub worst: Execution,
    /// Remaining attempts.
    pub attempts_left: u32,
    /// Remaining time.
    pub time_left: Duration,
    /// Minimum time in which another attempt can succeed.
    pub min_time: Duration,
}

impl FailedAttempt {
    /// Returns whether the request may be retried, subject to the retry budget.
    pub fn may_retry(&self) -> bool {
        let safe = matches!(self.execution, Execution::NotRun(_)) || self.kind.repeatable();
        safe && self.attempts_left > 0 && self.time_left > self.min_time
    }

    /// Decides what to do, given whether the retry budget allows another attempt.
    pub fn decide(&self, within_budget: bool) -> RetryDecision {
        if self.may_retry() && within_budget {
            RetryDecision::Retry
        } else {
            final_answer(self.worst)
        }
    }
}

/// Returns the final answer to a request, given whether any of its attempts may have run.
pub fn final_answer(worst: Execution) -> RetryDecision {
    match worst {
        Execution::NotRun(_) => RetryDecision::Refuse,
        Execution::Unknown => RetryDecision::Unknown,
    }
}
