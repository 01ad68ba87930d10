//! What a planner wants done.

use std::fmt;
use std::time::Duration;

use wire::{Fence, Lease, Model, Priority, Time, Vm};

use crate::event::{Failure, Instance, WeightsPath};
use crate::message::{Denial, Message};

/// Why a request is refused; it did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// No live upstream serves the pool and base model.
    NoUpstream,
    /// Its time is up, or would be before an adapter could be loaded.
    Deadline,
    /// Every upstream that was tried denied it.
    Denied,
}

impl Reason {
    /// Returns the name that logs and metrics show.
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
            Self::Deadline => "the adapter cannot be had before the deadline",
            Self::Denied => "every upstream tried is busy or failing",
        })
    }
}

/// One decision, for the log.
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
        /// Its place in the model's order.
        rank: usize,
        /// Homes that the model has now.
        homes: usize,
        /// Whether a lease was at hand.
        leased: bool,
        /// Estimated sequences on it.
        load: u32,
        /// Other upstreams that were considered.
        alternatives: usize,
    },
    /// A load was ordered.
    Load {
        /// The upstream.
        upstream: wire::Upstream,
        /// The model.
        model: Model,
        /// Priority that put it first; `None` for a prefetch.
        priority: Option<Priority>,
        /// Requests that wait for it.
        waiting: u32,
        /// Time that the oldest has waited.
        age: Duration,
        /// Other models in the queue.
        alternatives: usize,
    },
    /// An eviction was ordered.
    Evict {
        /// The upstream.
        upstream: wire::Upstream,
        /// The model.
        model: Model,
        /// Expected requests per second that made it the least wanted.
        rate: f64,
        /// Other instances that might have gone.
        alternatives: usize,
    },
    /// A load failed and pauses on this upstream.
    Failed {
        /// The upstream.
        upstream: wire::Upstream,
        /// The model.
        model: Model,
        /// Why.
        failure: Failure,
        /// Time until it may be tried again.
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
    /// This node began to own an upstream.
    Claimed {
        /// The upstream.
        upstream: wire::Upstream,
        /// Number of the ownership.
        fence: Fence,
    },
    /// Every peer answered or is gone: instances of earlier owners may be used and evicted.
    Adopted {
        /// The upstream.
        upstream: wire::Upstream,
        /// Instances that were taken on.
        instances: usize,
    },
    /// This node no longer owns an upstream.
    Yielded {
        /// The upstream.
        upstream: wire::Upstream,
        /// Number of the ownership that supersedes it, where one was shown.
        fence: Fence,
    },
    /// An engine restarted and holds nothing that was loaded before.
    Restarted {
        /// The upstream.
        upstream: wire::Upstream,
        /// Instances that are void.
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

/// What a planner wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to a peer; it may be lost.
    Send {
        /// The addressee.
        to: Vm,
        /// The message.
        message: Message,
    },
    /// Run a request: stream with the upstream, with `instance` as the model's name.
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
        /// The instance's fencing number.
        fence: Fence,
        /// Time by which the request must be written to the engine; later than that it is reported
        /// as [`crate::Event::InstanceMissing`] instead.
        until: Time,
    },
    /// Refuse a request; it did not run.
    Refuse {
        /// The request.
        request: wire::Request,
        /// Why.
        reason: Reason,
        /// Time after which a retry makes sense.
        retry_after: Duration,
    },
    /// Order a load, after [`crate::Planner::permit`] allowed it.
    Load {
        /// The upstream.
        upstream: wire::Upstream,
        /// Name to load under.
        instance: Instance,
        /// The model.
        model: Model,
        /// Where its weights are.
        path: WeightsPath,
        /// The order's number.
        fence: Fence,
        /// Time by which the order must be answered.
        deadline: Time,
    },
    /// Order an unload, after [`crate::Planner::permit`] allowed it.
    Unload {
        /// The upstream.
        upstream: wire::Upstream,
        /// The instance to unload.
        instance: Instance,
        /// The order's number.
        fence: Fence,
        /// Time by which the order must be answered.
        deadline: Time,
    },
    /// Write a decision to the log.
    Note(Note),
}
