//! Routing decisions for requests between callers and upstreams that guard their own runs.
//!
//! An engine refuses a request whose adapter it does not hold and guarantees that nothing ran. It
//! unloads an adapter only once the runs that use it have ended. Residency can therefore be soft
//! state on every node, and only load and unload orders need a single owner per engine. This crate
//! does no I/O, reads no clock and draws no random numbers.
//!
//! Modules:
//!
//! - [`route`] is the configuration in force, whatever platform or file it came from.
//! - [`tenant`] identifies tenants by their API keys.
//! - [`quota`] enforces tenants' quotas across all nodes.
//! - [`bulk_pace`] leaves callers' requests room on a node's link.
//! - [`announced_rate`] enforces the rates that upstreams announce across all nodes.
//! - [`fleet`] is this node's view of the upstreams: listings, residency, load and failures.
//! - [`selection`] selects the upstream for a request, or reports why none can serve it.
//! - [`search`] finds an engine for one request, or refuses it if none can serve it in time.
//! - [`demand`] tracks the request rate of each adapter.
//! - [`prompt`] names the parts of prompts that requests share.
//! - [`prefill_limit`] limits prefills on an engine so that its streams do not pause.
//! - [`prefill_estimate`] estimates prefill times from completed requests.
//! - [`owner`] claims engines, numbers orders, and decides on loads and evictions.
//! - [`retry_budget`] limits retries to this node's share of the global budget.
//! - [`population`] counts the nodes that share what all nodes together may do.
//! - [`permit`] bounds the requests of all nodes at brittle upstreams.
//! - [`platform_reader`] decides which nodes read the platform on behalf of all.
//! - [`history`] tracks the eras of the platform.
//! - [`config_transfer`] gives a configuration from node to node.
//! - [`outcome`] decides whether a failed attempt is retried and what its caller is told.
//! - [`proof`] holds the evidence that a request did not run.
//! - [`stream_origin`] knows which release of the upstreams began a stream.
//! - [`relay`] tracks the events of a stream, so that another engine can resume it.

pub mod announced_rate;
pub mod bulk_pace;
pub mod config_transfer;
pub mod demand;
pub mod fleet;
pub mod history;
pub mod outcome;
pub mod owner;
pub mod permit;
pub mod platform_reader;
pub mod population;
pub mod prefill_estimate;
pub mod prefill_limit;
pub mod prompt;
pub mod proof;
pub mod quota;
pub mod relay;
pub mod retry_budget;
pub mod route;
pub mod search;
pub mod selection;
pub mod stream_origin;
pub mod tenant;

pub use fleet::Fleet;
pub use owner::Owner;
pub use selection::Selection;
