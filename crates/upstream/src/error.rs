//! Why a call to an upstream gave no whole answer, and how far it got.

use std::io;
use std::time::Duration;

use wire::{Fence, Upstream};

/// Whether the upstream may have run the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reach {
    /// No byte of the request was written, or the upstream stated that it did not run it.
    NotSent,
    /// At least one byte was written, so that the request may have run.
    MaybeSent,
}

/// The part of a call that a time limit covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Until the connection is open.
    Connect,
    /// Until the response head has come.
    Head,
    /// Between two parts of the response body.
    Body,
}

/// A failed call.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Every connection of the class is in use.
    #[error("{upstream} has all {limit} connections in use; raise the upstream's connection limit")]
    Full {
        /// The upstream.
        upstream: Upstream,
        /// Connections allowed to the class.
        limit: usize,
    },
    /// No connection came about.
    #[error("{upstream} refuses the connection ({cause}); check its address and health")]
    Connect {
        /// The upstream.
        upstream: Upstream,
        /// What the system said.
        cause: io::Error,
    },
    /// A time limit ran out.
    #[error("{upstream} exceeded {limit:?} ({phase:?}); check its load or raise the time limit")]
    Timeout {
        /// The upstream.
        upstream: Upstream,
        /// What took too long.
        phase: Phase,
        /// The time limit.
        limit: Duration,
        /// How far the request got.
        reach: Reach,
    },
    /// The connection broke before the response head was there.
    #[error("{upstream} broke the connection off ({cause}); check its health")]
    Broken {
        /// The upstream.
        upstream: Upstream,
        /// What the connection said.
        cause: String,
        /// How far the request got.
        reach: Reach,
    },
    /// The upstream answered with an error status.
    #[error("{upstream} answered {status}: {message}; see the upstream's log")]
    Refused {
        /// The upstream.
        upstream: Upstream,
        /// HTTP status code.
        status: u16,
        /// The beginning of the answer's body.
        message: String,
        /// Time for which the upstream wants no other request.
        pause: Option<Duration>,
    },
    /// The instance is not resident.
    #[error("{upstream} does not hold {instance}; load it and ask again")]
    Absent {
        /// The upstream.
        upstream: Upstream,
        /// The instance asked for.
        instance: String,
    },
    /// The upstream has seen a higher fencing number.
    #[error("{upstream} refuses fencing number {fence}; take ownership with a higher one")]
    Fenced {
        /// The upstream.
        upstream: Upstream,
        /// The number of the refused order.
        fence: Fence,
    },
    /// The upstream is leaving and did not run the request.
    #[error("{upstream} is leaving; send the request to another upstream")]
    Leaving {
        /// The upstream.
        upstream: Upstream,
    },
    /// The upstream reported a failure in the middle of its answer.
    #[error("{upstream} failed at offset {offset}: {message}; see the upstream's log")]
    Failed {
        /// The upstream.
        upstream: Upstream,
        /// Tokens received before.
        offset: u64,
        /// What the upstream said.
        message: String,
    },
    /// The answer ended before it was whole.
    #[error("{upstream} cut the answer at offset {offset} ({cause}); resume it at that offset")]
    Cut {
        /// The upstream.
        upstream: Upstream,
        /// Tokens (engines) or body bytes (services) received before.
        offset: u64,
        /// What was missing.
        cause: String,
    },
    /// The answer belongs to another attempt.
    #[error("{upstream} answered attempt {got} on the connection of {expected}; drop the answer")]
    Crossed {
        /// The upstream.
        upstream: Upstream,
        /// The attempt that was sent.
        expected: String,
        /// The attempt that the answer names.
        got: String,
    },
    /// The answer exceeds a size limit, or comes in too many small parts for it.
    #[error(
        "{upstream}'s answer exceeds {limit} bytes, or comes in too many small parts; raise the \
         upstream's body limit"
    )]
    Large {
        /// The upstream.
        upstream: Upstream,
        /// The limit in bytes.
        limit: usize,
    },
    /// The upstream's answers take all memory that they may.
    #[error(
        "answers of {upstream} take all memory that they may; check whether they end, or send fewer at once"
    )]
    NoMemory {
        /// The upstream.
        upstream: Upstream,
    },
    /// The answer is not of the expected form.
    #[error("{upstream}'s answer is malformed ({cause}); check its address and release")]
    Malformed {
        /// The upstream.
        upstream: Upstream,
        /// What is wrong with it.
        cause: String,
    },
    /// The caller no longer wanted the request sent once its connection was there.
    #[error("a request to {upstream} was withdrawn before it was sent; decide anew")]
    Withdrawn {
        /// The upstream.
        upstream: Upstream,
    },
    /// The request cannot be expressed in HTTP.
    #[error("request to {upstream} is invalid ({cause}); correct its path and headers")]
    Invalid {
        /// The upstream.
        upstream: Upstream,
        /// What is wrong with it.
        cause: String,
    },
}

impl Error {
    /// Tells whether the upstream may have run the request.
    pub fn reach(&self) -> Reach {
        match self {
            Self::Timeout { reach, .. } | Self::Broken { reach, .. } => *reach,
            Self::Full { .. }
            | Self::Connect { .. }
            | Self::Absent { .. }
            | Self::Fenced { .. }
            | Self::Leaving { .. }
            | Self::Withdrawn { .. }
            | Self::Invalid { .. } => Reach::NotSent,
            Self::Refused { .. }
            | Self::Failed { .. }
            | Self::Cut { .. }
            | Self::Crossed { .. }
            | Self::Large { .. }
            | Self::NoMemory { .. }
            | Self::Malformed { .. } => Reach::MaybeSent,
        }
    }
}
