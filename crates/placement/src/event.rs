//! What a planner is told.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use wire::{Base, Fence, Incarnation, Model, Priority, Time, View, Zone};

use crate::message::Message;

/// Name under which an engine holds a loaded adapter version.
pub type Instance = Arc<str>;

/// Path of an adapter version in its weight store.
pub type WeightsPath = Arc<str>;

/// Name of a pool of upstreams that serve the same purpose.
pub type Pool = Arc<str>;

/// What an engine does with an order whose fencing number is older than one it has seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// It refuses the order and shows its number.
    RefusesOld,
    /// It ignores the number and carries the order out.
    Ignores,
}

/// Whether an upstream may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamState {
    /// It takes work.
    Live,
    /// It finishes what it has and takes nothing new.
    Leaving,
    /// It does not answer.
    Down,
}

/// Facts about one upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Its id.
    pub id: wire::Upstream,
    /// The pool it belongs to.
    pub pool: Pool,
    /// The base model it runs.
    pub base: Base,
    /// Its availability zone.
    pub zone: Zone,
    /// The weight store that it loads from.
    pub store: wire::Store,
    /// Adapters that it holds at once.
    pub slots: usize,
    /// Sequences in its largest batch.
    pub max_batch: u32,
    /// What it does with old fencing numbers.
    pub fencing: Fencing,
    /// Whether it may be used.
    pub state: UpstreamState,
}

/// Limits of a weight store.
#[derive(Clone, Debug, PartialEq)]
pub struct Store {
    /// Its name.
    pub id: wire::Store,
    /// Loads that may start per second, over all nodes.
    pub rate: f64,
    /// Loads that may be in flight at full speed, over all nodes.
    pub in_flight: u32,
    /// Time of a load at full speed.
    pub load: Duration,
}

/// A request to be placed.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its number, unique within this incarnation.
    pub id: wire::Request,
    /// What it runs on.
    pub model: Model,
    /// The base model of the adapter.
    pub base: Base,
    /// The pool that serves it.
    pub pool: Pool,
    /// Where the adapter version's weights are.
    pub path: WeightsPath,
    /// Its priority.
    pub priority: Priority,
    /// Time by which it must be granted or refused.
    pub deadline: Time,
    /// Hash of the prompt's prefix, where prefix affinity is wanted.
    pub prefix: Option<u64>,
    /// Upstreams that it must not run on again.
    pub avoid: Vec<wire::Upstream>,
}

/// An instance in an engine's own report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceUse {
    /// The instance.
    pub instance: Instance,
    /// Requests queued or running on it.
    pub in_use: u32,
}

/// An engine's own report of what it holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceReport {
    /// The upstream.
    pub upstream: wire::Upstream,
    /// Number of the engine's start; another one means that nothing loaded before is there.
    pub boot: u64,
    /// Every instance that it holds.
    pub instances: Vec<InstanceUse>,
    /// Time since the engine made the report, as an upper bound.
    pub age: Duration,
}

/// Why an order did not succeed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Failure {
    /// The order was not written, since [`crate::Planner::permit`] denied it or no connection was
    /// there.
    NotSent,
    /// The engine said that it did not carry the order out.
    Rejected,
    /// The engine has no free slot.
    Full,
    /// Nobody knows what became of the order.
    Unknown,
}

/// Demand that the calendar announces.
#[derive(Clone, Debug, PartialEq)]
pub struct ExpectedDemand {
    /// The model that will be asked for.
    pub model: Model,
    /// Its base model.
    pub base: Base,
    /// The pool that will serve it.
    pub pool: Pool,
    /// Where its weights are.
    pub path: WeightsPath,
    /// Time at which the demand begins.
    pub at: Time,
    /// Expected requests per second over all nodes.
    pub weight: f64,
}

/// What a planner is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The node's present view of its region.
    View(View),
    /// Every upstream with slots in the region.
    Upstreams(Vec<Upstream>),
    /// Every weight store of the region.
    Stores(Vec<Store>),
    /// A request to be placed.
    Request(Request),
    /// A granted request has ended, whatever its outcome.
    Done {
        /// The request.
        request: wire::Request,
    },
    /// A request is no longer wanted; a granted one has been cancelled at the engine.
    Cancel {
        /// The request.
        request: wire::Request,
    },
    /// The engine does not hold the instance of a granted request, which did not run; it is placed
    /// anew.
    InstanceMissing {
        /// The request.
        request: wire::Request,
    },
    /// A peer's message.
    Receive {
        /// The sender.
        from: Incarnation,
        /// What it sent.
        message: Message,
    },
    /// The engine has carried a load out.
    Loaded {
        /// The upstream.
        upstream: wire::Upstream,
        /// The instance that is loaded.
        instance: Instance,
        /// The order's number.
        fence: Fence,
    },
    /// A load failed.
    LoadFailed {
        /// The upstream.
        upstream: wire::Upstream,
        /// The instance that was to be loaded.
        instance: Instance,
        /// The order's number.
        fence: Fence,
        /// Why it failed.
        failure: Failure,
    },
    /// The engine has carried an unload out.
    Unloaded {
        /// The upstream.
        upstream: wire::Upstream,
        /// The instance that is gone.
        instance: Instance,
        /// The order's number.
        fence: Fence,
    },
    /// An unload failed.
    UnloadFailed {
        /// The upstream.
        upstream: wire::Upstream,
        /// The instance that was to go.
        instance: Instance,
        /// The order's number.
        fence: Fence,
        /// Why it failed.
        failure: Failure,
    },
    /// The engine has shown a number: it refused an order below it, or reports it. The failure of
    /// a refused order is told after this.
    FenceObserved {
        /// The upstream.
        upstream: wire::Upstream,
        /// The number that the engine has seen.
        fence: Fence,
    },
    /// An engine's report of its instances.
    InstanceReport(InstanceReport),
    /// An engine's report of its load.
    Report {
        /// The upstream.
        upstream: wire::Upstream,
        /// Sequences in its batch.
        running: u32,
        /// Requests in its queue.
        waiting: u32,
        /// Time since the report was made.
        age: Duration,
    },
    /// An engine's cache events.
    CacheEvents {
        /// The upstream.
        upstream: wire::Upstream,
        /// Prefix hashes that are cached now.
        added: Vec<u64>,
        /// Prefix hashes that are gone.
        removed: Vec<u64>,
        /// Whether events before these were lost.
        gap: bool,
    },
    /// Demand that the calendar announces.
    ExpectedDemand(ExpectedDemand),
    /// The time given by `wake` has come.
    Tick,
}
