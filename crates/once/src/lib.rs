//! At-most-once execution of non-idempotent calls by claims from witnesses.
//!
//! The parts meet like this:
//!
//! - [`Participant`] is the state machine of one node, as executor and as witness.
//! - [`set`] holds the witness sets, a join-semilattice that needs no agreement.
//! - [`ledger`] is a witness's memory: claims, voids and first answers.
//! - [`key`] names a call by its caller, service and idempotency key, and reads tickets.
//! - [`message`] is what guards tell each other.
//!
//! The argument why no call runs twice is in `docs/design/at-most-once.md`.

pub mod key;
pub mod ledger;
pub mod message;
pub mod participant;
pub mod set;

pub use key::{Digest, Key};
pub use ledger::CallRecord;
pub use message::{Claim, Message};
pub use participant::{
    Action, CallState, Config, Event, Lookup, Note, Outcome, Participant, Reason,
};
pub use set::{Member, Set};
