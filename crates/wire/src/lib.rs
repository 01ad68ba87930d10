//! Types that every other library of the workspace shares.
//!
//! The parts meet like this:
//!
//! - [`id`] names VMs, upstreams, adapters and callers.
//! - [`machine`] gives the one shape of every decision maker: a state machine without I/O, clock
//!   or randomness of its own.
//! - [`rank`] orders candidates by rendezvous hashing.
//! - [`view`] is what one node believes of the nodes in its region.
//! - [`frame`] carries one machine's message to another node, and [`seal`] authenticates it.

pub mod frame;
pub mod id;
pub mod machine;
pub mod rank;
pub mod seal;
pub mod view;

pub use frame::Frame;
pub use id::{
    Adapter, Base, Caller, Fence, Incarnation, Lease, Model, Priority, Region, Request, Revision,
    Store, Upstream, Version, Vm, Zone,
};
pub use machine::{Machine, Time};
pub use view::View;
