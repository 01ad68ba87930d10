//! Input of the planner: events, and the facts about upstreams, stores and requests in them.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use wire::{Base, Fence, Incarnation, Model, Priority, Time, View, Zone};

use crate::message::Message;

/// Name under which an engine holds a loaded adapter version.
pub type Instance = Arc<str>;

/// Path of an adapter version in its weight store.
pub type WeightsPath = Arc<str>;

/// Name of a pool of interchangeable upstreams.
pub type Pool = Arc<str>;

/// How an engine treats an order whose fencing number is lower than one it has already seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// It refuses the order and reports the highest number it has seen.
    RefusesOld,
    /// It ignores the number and executes the order.
    Ignores,
}

/// Whether an upstream may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamState {
    /// It accepts work.
    Live,
    /// It finishes its running work and accepts nothing new.
    Leaving,
    /// It does not answer.
    Down,
}

/// Description of an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Id of the upstream.
    pub id: wire::Upstream,
    /// Pool that it belongs to.
    pub pool: Pool,
    /// Base model that it runs.
    pub base: Base,
    /// Availability zone that it is in.
    pub zone: Zone,
    /// Weight store that it loads from.
    pub store: wire::Store,
    /// Number of adapters that it can hold at once.
    pub slots: usize,
    /// Number of sequences in its largest batch.
    pub max_batch: u32,
    /// How it treats old fencing numbers.
    pub fencing: Fencing,
    /// Whether it may be used.
    pub state: UpstreamState,
}

/// Limits of a weight store.
#[derive(Clone, Debug, PartialEq)]
pub struct Store {
    /// Name of the store.
    pub id: wire::Store,
    /// Loads that may start per second, summed over all nodes.
    pub rate: f64,
    /// Loads that may be in flight without slowing each other down, summed over all nodes.
    pub in_flight: u32,
    /// Duration of a load that is not slowed down by others.
    pub load: Duration,
}

/// A request to be placed.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Request number, unique within this incarnation of the node.
    pub id: wire::Request,
    /// Model that it runs on.
    pub model: Model,
    /// Base model of the adapter.
    pub base: Base,
    /// Pool that serves it.
    pub pool: Pool,
    /// Path of the adapter version's weights.
    pub path: WeightsPath,
    /// Priority of the request.
    pub priority: Priority,
    /// Time by which it must be granted or refused.
    pub deadline: Time,
    /// Hash of the prompt's prefix; `None` without prefix affinity.
    pub prefix: Option<u64>,
    /// Upstreams that it must not run on.
    pub avoid: Vec<wire::Upstream>,
}

/// Use of one instance, as reported by its engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceUse {
    /// The instance.
    pub instance: Instance,
    /// Number of requests queued or running on it.
    pub in_use: u32,
}

/// An engine's report of the instances that it holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceReport {
    /// The upstream.
    pub upstream: wire::Upstream,
    /// Identifies one start of the engine. When it changes, everything loaded before is gone.
    pub boot: u64,
    /// Every instance that the engine holds.
    pub instances: Vec<InstanceUse>,
    /// Upper bound of the time since the engine made the report.
    pub age: Duration,
}

/// Why an order did not succeed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Failure {
    /// The order was not written, because [`crate::Planner::permit`] denied it or there was no
    /// connection.
    NotSent,
    /// The engine replied that it did not execute the order.
    Rejected,
    /// The engine has no free slot.
    Full,
    /// It is unknown whether the engine executed the order.
    Unknown,
}

/// Demand that a calendar in the rules predicts.
#[derive(Clone, Debug, PartialEq)]
pub struct ExpectedDemand {
    /// Model that will be requested.
    pub model: Model,
    /// Base model of the adapter.
    pub base: Base,
    /// Pool that will serve it.
    pub pool: Pool,
    /// Path of its weights.
    pub path: WeightsPath,
    /// Time at which the demand begins.
    pub at: Time,
    /// Expected requests per second, summed over all nodes.
    pub weight: f64,
}

/// An input event of the planner.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The node's current view of its region.
    View(View),
    /// All upstreams of the region that have slots.
    Upstreams(Vec<Upstream>),
    /// All weight stores of the region.
    Stores(Vec<Store>),
    /// A request to be placed.
    Request(Request),
    /// A granted request has ended, with any outcome.
    Done {
        /// The request.
        request: wire::Request,
    },
    /// A request was abandoned. If it was granted, it has been cancelled at the engine.
    Cancel {
        /// The request.
        request: wire::Request,
    },
    /// A granted request has not run because the engine does not hold its instance. The planner
    /// places it again.
    InstanceMissing {
        /// The request.
        request: wire::Request,
    },
    /// A message arrived from a peer.
    Receive {
        /// The sender.
        from: Incarnation,
        /// The message.
        message: Message,
    },
    /// The engine has executed a load.
    Loaded {
        /// The upstream.
        upstream: wire::Upstream,
        /// The loaded instance.
        instance: Instance,
        /// Fencing number of the order.
        fence: Fence,
    },
    /// A load failed.
    LoadFailed {
        /// The upstream.
        upstream: wire::Upstream,
        /// The instance that was to be loaded.
        instance: Instance,
        /// Fencing number of the order.
        fence: Fence,
        /// Reason of the failure.
        failure: Failure,
    },
    /// The engine has executed an unload.
    Unloaded {
        /// The upstream.
        upstream: wire::Upstream,
        /// The unloaded instance.
        instance: Instance,
        /// Fencing number of the order.
        fence: Fence,
    },
    /// An unload failed.
    UnloadFailed {
        /// The upstream.
        upstream: wire::Upstream,
        /// The instance that was to be unloaded.
        instance: Instance,
        /// Fencing number of the order.
        fence: Fence,
        /// Reason of the failure.
        failure: Failure,
    },
    /// The engine has disclosed the highest fencing number it has seen, by refusing an order with a
    /// lower one or in a report. The failure of a refused order follows as an event of its own.
    FenceObserved {
        /// The upstream.
        upstream: wire::Upstream,
        /// Highest fencing number that the engine has seen.
        fence: Fence,
    },
    /// An engine reported its instances.
    InstanceReport(InstanceReport),
    /// An engine reported its load.
    Report {
        /// The upstream.
        upstream: wire::Upstream,
        /// Number of sequences in its batch.
        running: u32,
        /// Number of requests in its queue.
        waiting: u32,
        /// Time since the engine made the report.
        age: Duration,
    },
    /// An engine's prefix cache changed.
    CacheEvents {
        /// The upstream.
        upstream: wire::Upstream,
        /// Prefix hashes added to the cache.
        added: Vec<u64>,
        /// Prefix hashes removed from the cache.
        removed: Vec<u64>,
        /// Whether earlier events were lost.
        gap: bool,
    },
    /// A calendar in the rules predicts demand.
    ExpectedDemand(ExpectedDemand),
    /// The time returned by `wake` was reached.
    Tick,
}
