//! Decisions of a replicator, one log line each.

use std::fmt;

use wire::{Revision, Vm};

use crate::manifest::Id;

/// Why a revision is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The check of its contents failed; the text names the lines.
    Check(String),
    /// The manifest itself is malformed.
    Manifest(String),
    /// Another manifest with the same number came first.
    Conflict {
        /// The first one.
        first: Id,
        /// The one refused.
        second: Id,
    },
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Check(text) | Self::Manifest(text) => f.write_str(text),
            Self::Conflict { first, second } => write!(
                f,
                "manifest {second} has the number of {first}; publish it under a higher one"
            ),
        }
    }
}

/// A decision worth a log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    /// A newer revision was found and is fetched.
    Found {
        /// The revision.
        id: Id,
        /// The peer that has it, or `None` where the platform told.
        from: Option<Vm>,
    },
    /// An older revision was offered and dropped.
    Stale {
        /// What was offered.
        revision: Revision,
        /// The newest that this node has seen.
        newest: Revision,
        /// The peer that offered it, or `None` for the platform.
        from: Option<Vm>,
    },
    /// This node watches the platform for its availability zone from now on, or no longer.
    Watcher(bool),
    /// The platform did not answer.
    Unreachable(String),
    /// What the platform holds under a part's key is not that part.
    Mismatch {
        /// The key.
        key: String,
    },
    /// Traffic is taken although a newer revision is known, since it cannot be fetched.
    Behind {
        /// The newer revision.
        revision: Revision,
    },
}

impl fmt::Display for Note {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Found { id, from } => {
                write!(f, "configuration found: {id} from={}", source(from))
            }
            Self::Stale {
                revision,
                newest,
                from,
            } => write!(
                f,
                "older configuration dropped: {revision} newest={newest} from={}",
                source(from)
            ),
            Self::Watcher(true) => f.write_str("watches the platform for the availability zone"),
            Self::Watcher(false) => f.write_str("leaves the watch of the platform to a peer"),
            Self::Unreachable(cause) => write!(f, "platform gave no configuration: {cause}"),
            Self::Mismatch { key } => write!(
                f,
                "value of {key} is not the part that the manifest names; publish parts before it"
            ),
            Self::Behind { revision } => {
                write!(
                    f,
                    "ready although configuration {revision} cannot be fetched"
                )
            }
        }
    }
}

fn source(from: &Option<Vm>) -> &str {
    from.as_deref().unwrap_or("platform")
}
