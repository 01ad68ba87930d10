//! Evidence that a request did not run.
//!
//! A caller is promised that its request did not run only by way of [`Execution::NotRun`], which holds
//! a [`Proof`]. Proofs are made here and nowhere else.
//!
//! [`Execution::NotRun`]: crate::outcome::Execution::NotRun

/// Evidence that one try of a request did not run and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Proof(());

/// What ties an upstream's refusal to one try of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Whether the upstream states that it did not run the request.
    pub states_not_run: bool,
    /// Whether the refusal names the attempt.
    pub names_attempt: bool,
    /// Whether its connection has carried an earlier try of the attempt.
    pub connection_retried: bool,
}

impl Proof {
    /// Returns the proof for a request of which no byte was written.
    pub const fn unsent() -> Self {
        Self(())
    }

    /// Returns the proof that `refusal` gives, if any. A refusal is matched to a request by its
    /// place on the connection, where late answers to others may come first, and copies of the
    /// refusal of an earlier try.
    pub fn refused(refusal: Refusal) -> Option<Self> {
        let proven = refusal.states_not_run && refusal.names_attempt && !refusal.connection_retried;
        proven.then_some(Self(()))
    }
}
