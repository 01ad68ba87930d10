//! Reads the platform: configuration values by key with a revision, and the list of VMs.
//!
//! The parts meet like this:
//!
//! - [`source`] is the narrow interface that the rest of the system reads through. Nothing is
//!   ever written: the trait has no call for it.
//! - [`member`] describes an entry of the VM list.
//! - [`http`] implements the interface over HTTP/1.1.

pub mod http;
pub mod member;
pub mod source;

pub use http::Http;
pub use member::{List, Member, Role, State};
pub use source::{Error, Source, Value};
