//! Slots, leases, loads and evictions of adapters, and the choice of upstream.
//!
//! One [`Planner`] per node takes part in two roles. As a *holder* it places the requests that
//! its node accepted: it chooses an upstream, asks that upstream's owner for a lease and grants
//! the request on the leased instance. As an *owner* it alone orders loads and evictions on the
//! upstreams that rendezvous hashing assigns to it, and grants the leases on them.
//!
//! - [`event`], [`action`] and [`message`] are the machine's interface.
//! - [`holder`] keeps requests, asks and leases; [`upstreams`] orders upstreams for a model.
//! - [`owner`] keeps the slots of one upstream, its load queue and its takeover.
//! - [`budget`] shares a weight store's rate between the nodes of a region.
//! - [`demand`] estimates popularity; [`fence`] names instances and numbers orders.
//! - [`planner`] connects them.

pub mod action;
pub mod budget;
pub mod demand;
pub mod event;
pub mod fence;
pub mod holder;
pub mod message;
pub mod owner;
pub mod planner;
pub mod settings;
pub mod upstreams;

pub use action::Action;
pub use event::Event;
pub use message::Message;
pub use planner::Planner;
pub use settings::Settings;
