//! Replicator decisions that are logged, one line each.

use std::fmt;

use wire::{Revision, Vm};

use crate::manifest::Id;

/// Why a revision was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Validation of its contents failed; the text names the lines.
    Check(String),
    /// The manifest is malformed.
    Manifest(String),
    /// A different manifest with the same revision number is already known.
    Conflict {
        /// The manifest known first.
        first: Id,
        /// The rejected manifest.
        second: Id,
    },
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Check(text) | Self::Manifest(text) => f.write_str(text),
            Self::Conflict { first, second } => write!(
                f,
                "manifest {second} reuses the revision number of {first}; publish it with a higher number"
            ),
        }
    }
}

/// A decision to log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    /// A newer revision was found and is being fetched.
    Found {
        /// The revision.
        id: Id,
        /// The peer that has it, or `None` for the platform.
        from: Option<Vm>,
    },
    /// An older revision was offered and ignored.
    Stale {
        /// The offered revision.
        revision: Revision,
        /// The newest revision that this node has seen.
        newest: Revision,
        /// The peer that offered it, or `None` for the platform.
        from: Option<Vm>,
    },
    /// This node started (`true`) or stopped (`false`) watching the platform for its availability
    /// zone.
    Watcher(bool),
    /// A call to the platform failed.
    Unreachable(String),
    /// The platform's value for a part's key does not match the manifest.
    Mismatch {
        /// The key.
        key: String,
    },
    /// The node becomes ready with an older revision because the newer one cannot be fetched.
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
                "ignored older configuration: {revision} newest={newest} from={}",
                source(from)
            ),
            Self::Watcher(true) => {
                f.write_str("started watching the platform for the availability zone")
            }
            Self::Watcher(false) => {
                f.write_str("stopped watching the platform; a peer has taken over")
            }
            Self::Unreachable(cause) => write!(
                f,
                "failed to read the configuration from the platform: {cause}"
            ),
            Self::Mismatch { key } => write!(
                f,
                "value of {key} does not match the manifest; publish parts before the manifest"
            ),
            Self::Behind { revision } => {
                write!(
                    f,
                    "ready with an older configuration: revision {revision} cannot be fetched"
                )
            }
        }
    }
}

fn source(from: &Option<Vm>) -> &str {
    from.as_deref().unwrap_or("platform")
}
