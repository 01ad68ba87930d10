//! Drivers to upstreams: model engines and plain services.
//!
//! The parts meet like this:
//!
//! - [`engine`] and [`service`] are the narrow interfaces, each with an HTTP driver.
//! - [`link`] opens, keeps and drives the connections to one upstream. It never retries, and it
//!   knows for each request whether a byte of it was written.
//! - [`path`] decides whether connections are opened directly or through a peer, and [`relay`] opens them.
//! - [`memory`] bounds the bodies that are held as a whole.
//! - [`sse`] parses event streams, and [`error`] tells how far a failed call got.
//! - [`header`] names the headers that the drivers send and read.

pub mod engine;
pub mod error;
pub mod header;
pub mod link;
pub mod memory;
pub mod path;
pub mod relay;
pub mod service;
pub mod sse;

pub use engine::Engine;
pub use error::{Error, Phase, Reach};
pub use link::{Class, Limits};
pub use service::Service;
