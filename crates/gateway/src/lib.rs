//! The shell around `exchange`: sockets, tasks and timers of a node on a platform that is met by
//! an adapter.
//!
//! - [`dialect`] is what an adapter translates.
//! - [`hub`] is the state that all tasks share, and carries out what the decisions want done.
//! - [`front`] passes callers' requests on.
//! - [`side`] answers whether the node takes traffic and which nodes to use, and shows metrics.
//! - [`store`] reads the platform.
//! - `call` sends the calls that a node makes by itself.
//! - [`control`] drives membership and ownership; [`datagram`] carries messages between nodes.
//! - [`run`] starts and stops all of it.

mod call;
pub mod control;
pub mod datagram;
pub mod dialect;
pub mod front;
pub mod hub;
pub mod metrics;
pub mod run;
pub mod side;
pub mod store;

pub use dialect::Dialect;
pub use run::Node;
