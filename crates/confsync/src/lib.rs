//! Spread of configuration revisions between the nodes of a region.
//!
//! The parts meet like this:
//!
//! - [`Manifest`] names the parts that make up one revision, since no value of the platform may
//!   exceed a megabyte; [`Digest`] and [`Id`] tell contents apart.
//! - [`Replicator`] learns of revisions from the platform and from peers, fetches what it lacks,
//!   has it checked, and switches whole revisions only upwards.
//! - [`message`] is what replicators tell each other; [`patch`] carries one changed line of a part
//!   in place of the part.

pub mod manifest;
pub mod message;
pub mod note;
pub mod patch;
mod replicator;

pub use manifest::{Digest, Id, Manifest, Part};
pub use message::Message;
pub use note::{Note, Reason};
pub use replicator::{Action, Event, PartContent, Replicator, Value};
