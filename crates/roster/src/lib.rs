//! Membership of a region without a coordinator, and what follows from it.
//!
//! The parts meet like this:
//!
//! - [`Roster`] turns the platform's lagging VM list and heartbeats between nodes into a
//!   [`wire::View`]. It also spreads which upstreams leave.
//! - [`message`] is what rosters tell each other; [`rumor`] is the news inside a message and the
//!   order in which one piece of news supersedes another.
//! - [`probe`] keeps the outstanding heartbeats, [`notice`] the leaving upstreams.
//! - [`seeds`] finds the members where the platform lists none.
//! - [`address`] answers callers which VMs to use, from a view alone.
//! - [`drain`] is the order of steps of a graceful shutdown.
//!
//! Ownership is [`wire::View::owner`]: rendezvous hashing over the live nodes of the view.

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
