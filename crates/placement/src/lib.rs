//! Placement of requests on upstreams, and of LoRA adapters in the upstreams' slots.
//!
//! Each node runs one [`Planner`], which has two roles. As a *holder* it places the requests that
//! its node accepted: it chooses an upstream, requests a lease from that upstream's owner and
//! grants the request on the leased instance. As an *owner* it is the only node that orders loads
//! and evictions on the upstreams that rendezvous hashing assigns to it, and the only one that
//! grants leases on them.
//!
//! - [`event`], [`action`] and [`message`] are the interface of the state machine.
//! - [`holder`] tracks requests, lease requests and leases; [`upstreams`] ranks upstreams for a
//!   model.
//! - [`owner`] tracks the slots of one upstream, its load queue and its takeover by a new owner.
//! - [`budget`] shares a weight store's rate between the nodes of a region.
//! - [`demand`] estimates popularity; [`fence`] names instances and numbers orders.
//! - [`planner`] connects these modules.

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
