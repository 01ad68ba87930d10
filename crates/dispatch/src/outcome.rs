//! What an ended attempt means for the caller.

use serde::{Deserialize, Serialize};

/// Whether a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// May be repeated.
    Idempotent,
    /// Must run at most once.
    Once,
    /// A model's stream. It may be repeated until its first byte has been sent to the caller;
    /// after that it may only be resumed where it stopped.
    Stream,
}

/// What a caller is told about its request: exactly one of these four.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The upstream's complete response was forwarded.
    Answered,
    /// No upstream has received a byte of the request, and none will.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request has run or may safely be repeated, and there is no complete response.
    Failed,
}

impl Outcome {
    /// Returns the name used in responses, logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Failed => "failed",
        }
    }
}

/// The stage that an attempt had reached when it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage {
    /// No connection was requested.
    Queued,
    /// A connection was being established.
    Connecting,
    /// Connected, with no byte written.
    Connected,
    /// At least one byte was written, or may have been.
    Writing,
    /// The whole request was written.
    Written,
    /// The response head was received.
    Header,
    /// Part of the response body was received.
    Body,
    /// The complete response was received.
    Ended,
}

impl Stage {
    /// All stages, in order.
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
    /// The complete response was received.
    Complete,
    /// The connection was refused, reset or closed, or the data received is not a valid response.
    Broken,
    /// The deadline passed.
    Deadline,
    /// The caller disconnected.
    Cancel,
    /// This node's process had to exit before the request ended.
    Shutdown,
}

impl Cause {
    /// All causes.
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
/// The outcome depends on the stage and not on the cause: a node that shuts down or reaches a
/// deadline knows no more about the upstream than one whose connection broke.
pub const fn decide(kind: Kind, stage: Stage) -> Outcome {
    match (stage, kind) {
        (Stage::Ended, _) => Outcome::Answered,
        (Stage::Queued | Stage::Connecting | Stage::Connected, _) => Outcome::NotRun,
        (_, Kind::Once) => Outcome::Unknown,
        (_, Kind::Idempotent | Kind::Stream) => Outcome::Failed,
    }
}
