//! What a failed attempt means for its caller.
//!
//! A status that promises "not run" is given only where no upstream can have run the request;
//! otherwise the truth is not known, and the status says so.

use std::time::Duration;

use crate::proof::Proof;
use crate::route::RouteKind;

/// How far an attempt got before it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Execution {
    /// It did not run and never will.
    NotRun(Proof),
    /// It may have run or may still run.
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

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Another upstream may get it.
    Retry,
    /// The caller is refused with a promise that nothing ran, and may come back.
    Refuse,
    /// The caller is told that the outcome is not known.
    Unknown,
}

/// Where a request stands after an attempt failed.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// What may be repeated.
    pub kind: RouteKind,
    /// How far the failed attempt got.
    pub execution: Execution,
    /// The furthest that any attempt got, this one included.
    pub worst: Execution,
    /// Attempts that are left.
    pub attempts_left: u32,
    /// Time that is left.
    pub time_left: Duration,
    /// Least time in which another attempt can be of use.
    pub min_time: Duration,
}

impl FailedAttempt {
    /// Tells whether the request may be sent again, if the budget allows it.
    pub fn may_retry(&self) -> bool {
        let safe = matches!(self.execution, Execution::NotRun(_)) || self.kind.repeatable();
        safe && self.attempts_left > 0 && self.time_left > self.min_time
    }

    /// Decides what follows, where the budget of repeats allows another attempt or not.
    pub fn decide(&self, budget: bool) -> RetryDecision {
        if self.may_retry() && budget {
            RetryDecision::Retry
        } else {
            final_answer(self.worst)
        }
    }
}

/// Returns the final answer to a request whose attempts got as far as `worst`.
pub fn final_answer(worst: Execution) -> RetryDecision {
    match worst {
        Execution::NotRun(_) => RetryDecision::Refuse,
        Execution::Unknown => RetryDecision::Unknown,
    }
}
