//! What an ended attempt means for the caller.

use serde::{Deserialize, Serialize};

/// What may be done with a request again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// May be repeated.
    Idempotent,
    /// Must run at most once.
    Once,
    /// A model's stream: it may be repeated until its first byte has gone to the caller, and
    /// after that only be resumed where it stopped.
    Stream,
}

/// What a caller is told of its request; exactly one of the four.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The upstream's whole answer was passed on.
    Answered,
    /// No upstream has seen a byte of the request, and none will.
    NotRun,
    /// It may have run.
    Unknown,
    /// It has run or may be repeated without harm, and there is no whole answer.
    Failed,
}

impl Outcome {
    /// Returns the word used in answers, logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Failed => "failed",
        }
    }
}

/// How far an attempt had come when it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage {
    /// No connection was asked for.
    Queued,
    /// A connection was being made.
    Connecting,
    /// Connected, and no byte written.
    Connected,
    /// At least one byte was written, or may have been.
    Writing,
    /// The request was written whole.
    Written,
    /// The answer's header is there.
    Header,
    /// Part of the answer's body is there.
    Body,
    /// The answer is there in whole.
    Ended,
}

impl Stage {
    /// Every stage, in order.
    pub const ALL: [Self; 8] = [
        Self::Queued,
        Self::Connecting,
        Self::Connected,
        Self::Writing,
        Self::Written,
        Self::Header,
        Self::Body,
        Self::Ended,
    ];
}

/// Why an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Cause {
    /// The answer came in whole.
    Complete,
    /// The connection was refused, reset or closed, or what came over it is no answer.
    Broken,
    /// The deadline passed.
    Deadline,
    /// The caller went away.
    Cancel,
    /// This node's process had to end before the request did.
    Shutdown,
}

impl Cause {
    /// Every cause.
    pub const ALL: [Self; 5] = [
        Self::Complete,
        Self::Broken,
        Self::Deadline,
        Self::Cancel,
        Self::Shutdown,
    ];
}

/// Decides the outcome of an attempt that ended at `stage`.
///
/// What ends an attempt does not matter to the caller, only how far it had come: a process that
/// shuts down or runs into a deadline knows no more of the upstream than one whose connection
/// broke.
pub const fn decide(kind: Kind, stage: Stage) -> Outcome {
    match (stage, kind) {
        (Stage::Ended, _) => Outcome::Answered,
        (Stage::Queued | Stage::Connecting | Stage::Connected, _) => Outcome::NotRun,
        (_, Kind::Once) => Outcome::Unknown,
        (_, Kind::Idempotent | Kind::Stream) => Outcome::Failed,
    }
}
