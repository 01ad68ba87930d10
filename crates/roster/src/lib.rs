//! Coordinator-free membership of a region, and the components built on it.
//!
//! Modules:
//!
//! - [`Roster`] turns the platform's lagging VM list and heartbeats between nodes into a
//!   [`wire::View`]. It also propagates which upstreams are leaving.
//! - [`message`] defines the messages between rosters; [`rumor`] defines node updates and the order
//!   in which one update supersedes another.
//! - [`probe`] tracks outstanding heartbeats, [`notice`] tracks leaving upstreams.
//! - [`seeds`] discovers members when the platform provides no list.
//! - [`address`] selects the VMs that a caller should use, based only on a view.
//! - [`drain`] is the state machine for graceful shutdown.
//!
//! Ownership is determined by [`wire::View::owner`]: rendezvous hashing over the live nodes of the
//! view.

pub mod address;
pub mod drain;
mod machine;
pub mod message;
pub mod note;
pub mod notice;
pub mod probe;
pub mod random;
pub mod rumor;
pub mod seeds;

pub use machine::{Action, Event, Member, Roster};
pub use message::Message;
pub use note::Note;
pub use notice::Source;
