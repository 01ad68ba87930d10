//! Decisions on requests that pass between callers and upstreams which guard their own runs.
//!
//! Engines of this kind refuse, with a promise that nothing ran, a request whose adapter they do
//! not hold, and an unload waits for the runs of its adapter. Residency is therefore soft state
//! that every node may know, and only orders need one owner for each engine. Nothing here does
//! I/O, reads a clock or draws at random.
//!
//! The parts meet like this:
//!
//! - [`route`] is the configuration in force, whatever platform or file it came from.
//! - [`fleet`] is what this node knows of the upstreams: listing, residency, load and failures.
//! - [`selection`] picks the upstream of a request and says when none can serve it in time.
//! - [`demand`] counts how much each adapter is asked for.
//! - [`prefill_limit`] lets prompts into an engine without making its streams pause.
//! - [`owner`] claims engines, numbers orders, and decides on loads and evictions.
//! - [`retry_budget`] bounds repeats by the share that one node has in the budget of all.
//! - [`platform_reader`] decides which nodes read the platform for all.
//! - [`outcome`] decides what a failed attempt means for its caller.
//! - [`proof`] holds the evidence that a request did not run.
//! - [`relay`] follows the events of a stream, so that it can go on at another engine.

pub mod demand;
pub mod fleet;
pub mod outcome;
pub mod owner;
pub mod platform_reader;
pub mod prefill_estimate;
pub mod prefill_limit;
pub mod proof;
pub mod quota;
pub mod relay;
pub mod retry_budget;
pub mod route;
pub mod selection;
pub mod tenant;

pub use fleet::Fleet;
pub use owner::Owner;
pub use selection::Selection;
