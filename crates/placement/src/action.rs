//! Output of the planner: actions for its driver, and decisions for the log.

use std::fmt;
use std::time::Duration;

use wire::{Fence, Lease, Model, Priority, Time, Vm};

use crate::event::{Failure, Instance, WeightsPath};
use crate::message::{Denial, Message};

/// Why a request was refused. A refused request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// No live upstream serves the pool and base model.
    NoUpstream,
    /// The deadline has passed, or would pass before the adapter could be loaded.
    Deadline,
    /// Every upstream that was tried denied a lease.
    Denied,
}

impl Reason {
    /// Returns the name used in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NoUpstream => "no-upstream",
            Self::Deadline => "adapter-deadline",
            Self::Denied => "denied",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoUpstream => "no live upstream serves this pool and base model",
            Self::Deadline => "the adapter cannot be loaded before the deadline",
            Self::Denied => "every upstream that was tried is busy or failing",
        })
    }
}

/// A decision, recorded in the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// An upstream was chosen for a request.
    Chosen {
        /// The request.
        request: wire::Request,
        /// The model.
        model: Model,
        /// The upstream.
        upstream: wire::Upstream,
        /// Position of the upstream in the model's ranking.
        rank: usize,
        /// Number of homes that the model has now.
        homes: usize,
        /// Whether this node already held a lease.
        leased: bool,
        /// Estimated number of sequences running or queued on the upstream.
        load: u32,
        /// Number of other upstreams that were considered.
        alternatives: usize,
    },
    /// A load was ordered.
    Load {
        /// The upstream.
        upstream: wire::Upstream,
        /// The model.
        model: Model,
        /// Highest priority among the waiting requests; `None` for a prefetch.
        priority: Option<Priority>,
        /// Number of requests that wait for the load.
        waiting: u32,
        /// Time that the oldest request has waited.
        age: Duration,
        /// Number of other models in the load queue.
        alternatives: usize,
    },
    /// An eviction was ordered.
    Evict {
        /// The upstream.
        upstream: wire::Upstream,
        /// The model.
        model: Model,
        /// Expected requests per second, the lowest among the evictable instances.
        rate: f64,
        /// Number of other instances that could have been evicted.
        alternatives: usize,
    },
    /// A load failed; the model is not loaded on this upstream until the backoff ends.
    Failed {
        /// The upstream.
        upstream: wire::Upstream,
        /// The model.
        model: Model,
        /// Why.
        failure: Failure,
        /// Time until the load may be tried again.
        pause: Duration,
    },
    /// An owner denied this node a lease.
    Denied {
        /// The upstream.
        upstream: wire::Upstream,
        /// The model.
        model: Model,
        /// Why.
        denial: Denial,
    },
    /// This node claimed an upstream.
    Claimed {
        /// The upstream.
        upstream: wire::Upstream,
        /// Number of the claim.
        fence: Fence,
    },
    /// Every peer has acknowledged the claim or has left the view: instances loaded by earlier
    /// owners may now be used and evicted.
    Adopted {
        /// The upstream.
        upstream: wire::Upstream,
        /// Number of adopted instances.
        instances: usize,
    },
    /// This node no longer owns an upstream.
    Yielded {
        /// The upstream.
        upstream: wire::Upstream,
        /// Number of the claim that supersedes this node's; 0 if ownership ended without one.
        fence: Fence,
    },
    /// Another node has given orders at an engine that this node owns.
    Overtaken {
        /// The upstream.
        upstream: wire::Upstream,
        /// Highest fencing number that the engine has seen.
        fence: Fence,
    },
    /// An engine restarted and lost every instance that was loaded before.
    Restarted {
        /// The upstream.
        upstream: wire::Upstream,
        /// Number of instances that were lost.
        instances: usize,
    },
    /// A model's number of homes changed.
    Homes {
        /// The model.
        model: Model,
        /// Homes before.
        before: usize,
        /// Homes now.
        after: usize,
    },
}

/// An action for the driver to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to a peer. Delivery is not guaranteed.
    Send {
        /// The receiver.
        to: Vm,
        /// The message.
        message: Message,
    },
    /// Run a request: stream it from the upstream, with `instance` as the model's name.
    Grant {
        /// The request.
        request: wire::Request,
        /// The upstream.
        upstream: wire::Upstream,
        /// Name under which the engine holds the model.
        instance: Instance,
        /// The model, as the request named it.
        model: Model,
        /// The lease that covers the request.
        lease: Lease,
        /// Fencing number of the instance.
        fence: Fence,
        /// Time by which the request must be written to the engine. After that the driver must not
        /// write it and reports [`crate::Event::InstanceMissing`] instead.
        until: Time,
    },
    /// Refuse a request, which has not run.
    Refuse {
        /// The request.
        request: wire::Request,
        /// Why.
        reason: Reason,
        /// Time after which a retry makes sense.
        retry_after: Duration,
    },
    /// Order a load, provided that [`crate::Planner::permit`] allows it.
    Load {
        /// The upstream.
        upstream: wire::Upstream,
        /// Name under which to load the model.
        instance: Instance,
        /// The model.
        model: Model,
        /// Path of the weights.
        path: WeightsPath,
        /// Fencing number of the order.
        fence: Fence,
        /// Time by which the order must be answered.
        deadline: Time,
    },
    /// Order an unload, provided that [`crate::Planner::permit`] allows it.
    Unload {
        /// The upstream.
        upstream: wire::Upstream,
        /// The instance to unload.
        instance: Instance,
        /// Fencing number of the order.
        fence: Fence,
        /// Time by which the order must be answered.
        deadline: Time,
    },
    /// Write a decision to the log.
    Note(Note),
}
