//! The node: actors and servers that turn bytes into events and actions into bytes.
//!
//! - [`core`] drives the decision makers of `logic` as one actor.
//! - [`peer`] carries frames between nodes.
//! - [`front`] answers callers and operators.
//! - [`directory`] knows where nodes and upstreams are.
//! - [`run`] starts and stops all of it; [`start`] is what other kinds of nodes do likewise; [`tune`] derives the machines' settings.
//! - `paths` follows over which way upstreams are reached, and says what peers may have opened.
//! - [`trials`] keeps what attempts taught: retry budgets and the health of upstreams.
//! - [`decision`] writes a log line for each decision; [`journal`], [`metrics`] and [`usage`] tell operators what happens.

pub mod clock;
pub mod core;
pub mod decision;
pub mod directory;
pub mod front;
pub mod journal;
pub mod metrics;
mod paths;
pub mod peer;
pub mod run;
pub mod shared;
pub mod start;
pub mod trials;
pub mod tune;
pub mod usage;

pub use run::{Addresses, Ending, Node};
pub use start::Error;
