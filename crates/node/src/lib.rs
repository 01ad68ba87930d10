//! The node: actors and servers that turn bytes into events and actions into bytes.
pub mod clock;
pub mod front;
pub mod journal;
pub mod metrics;
pub mod peer;
pub mod usage;
