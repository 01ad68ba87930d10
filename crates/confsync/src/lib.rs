//! Replicates configuration revisions between the nodes of a region.
//!
//! Overview:
//!
//! - [`Manifest`] lists the parts of one revision. A revision is split because a platform value is
//!   limited to one megabyte. [`Digest`] identifies a part, [`Id`] a manifest.
//! - [`Replicator`] learns of revisions from the platform and from peers, fetches missing parts, has
//!   the whole revision validated, and only ever switches to a higher revision.
//! - [`message`] defines the messages between replicators; [`patch`] transfers only the changed range
//!   of a part.

pub mod manifest;
pub mod message;
pub mod note;
pub mod patch;
mod replicator;

pub use manifest::{Digest, Id, Manifest, Part};
pub use message::Message;
pub use note::{Note, Reason};
pub use replicator::{Action, Event, PartContent, Replicator, Value};
