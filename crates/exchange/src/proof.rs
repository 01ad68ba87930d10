//! Proof that an upstream did not run a request.
//!
//! A caller is told that its request did not run only through [`Execution::NotRun`], which holds a
//! [`Proof`]. Proofs can be created only in this module.
//!
//! [`Execution::NotRun`]: crate::outcome::Execution::NotRun

/// Proof that one try of a request did not run and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Proof(());

/// What an upstream's refusal says about one try of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Whether the upstream says that it did not run the request.
    pub states_not_run: bool,
    /// Whether the refusal carries the identifier of the attempt.
    pub names_attempt: bool,
    /// Whether an earlier try of the same attempt used this connection.
    pub connection_retried: bool,
}

impl Proof {
    /// Returns the proof for a request of which no byte was written.
    pub const fn unsent() -> Self {
        Self(())
    }

    /// Returns the proof that `refusal` gives, if any.
    ///
    /// A refusal is matched to a request by its position on the connection. Late answers to other
    /// requests may arrive there first, and so may copies of the refusal of an earlier try.
    pub fn refused(refusal: Refusal) -> Option<Self> {
        let proven = refusal.states_not_run && refusal.names_attempt && !refusal.connection_retried;
        proven.then_some(Self(()))
    }
}
