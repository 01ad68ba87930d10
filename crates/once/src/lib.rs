//! At-most-once execution of non-idempotent calls.
//!
//! Before a node sends a call, it claims the call's key at a quorum of witnesses.
//!
//! - [`Participant`] is the state machine of one node, in both roles: executor and witness.
//! - [`witness_set`] holds the replicated set of witnesses, a join-semilattice that needs no
//!   consensus.
//! - [`ledger`] is the state that a witness keeps: claims, voids and call records.
//! - [`key`] identifies a call by caller, service and idempotency key, and parses tickets.
//! - [`message`] defines the messages between participants.
//!
//! `docs/design/at-most-once.md` explains why no call runs twice.

pub mod key;
pub mod ledger;
pub mod message;
pub mod participant;
pub mod witness_set;

pub use key::{Digest, Key};
pub use ledger::CallRecord;
pub use message::{Claim, Message};
pub use participant::{
    Action, CallState, Config, Event, Lookup, Note, Outcome, Participant, Reason,
};
pub use witness_set::{Member, WitnessSet};
