//! What a failed attempt means for its caller.
//!
//! A status that promises "not run" is given only where no upstream can have run the request;
//! otherwise the truth is not known, and the status says so.

use std::time::Duration;

use crate::proof::Proof;
use crate::route::Kind;

/// How far an attempt got before it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reach {
    /// It did not run and never will.
    NotRun(Proof),
    /// It may have run or may still run.
    Unknown,
}

impl Reach {
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
pub enum Next {
    /// Another upstream may get it.
    Again,
    /// The caller is refused with a promise that nothing ran, and may come back.
    Refuse,
    /// The caller is told that the outcome is not known.
    Unknown,
}

/// Where a request stands after an attempt failed.
#[derive(Clone, Copy, Debug)]
pub struct Standing {
    /// What may be repeated.
    pub kind: Kind,
    /// How far the failed attempt got.
    pub reach: Reach,
    /// The furthest that any attempt got, this one included.
    pub worst: Reach,
    /// Attempts that are left.
    pub left: u32,
    /// Time that is left.
    pub time: Duration,
    /// Least time in which another attempt can be of use.
    pub least: Duration,
}

impl Standing {
    /// Tells whether the request may be sent again, if the budget allows it.
    pub fn may_repeat(&self) -> bool {
        let safe = matches!(self.reach, Reach::NotRun(_)) || self.kind.repeatable();
        safe && self.left > 0 && self.time > self.least
    }

    /// Decides what follows, where the budget of repeats allows another attempt or not.
    pub fn next(&self, budget: bool) -> Next {
        if self.may_repeat() && budget {
            Next::Again
        } else {
            final_answer(self.worst)
        }
    }
}

/// Returns the final answer to a request whose attempts got as far as `worst`.
pub fn final_answer(worst: Reach) -> Next {
    match worst {
        Reach::NotRun(_) => Next::Refuse,
        Reach::Unknown => Next::Unknown,
    }
}
