//! Messages between planners. They are one-way, best-effort and idempotent.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wire::{Fence, Lease, Model, Priority, Store, Upstream};

use crate::event::{Instance, WeightsPath};

/// Number of a request message, increasing within the sending incarnation.
pub type RequestNumber = u64;

/// Why an owner denies a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Denial {
    /// The sender does not own the upstream. Nobody orders there before the time to retry after.
    Moved,
    /// The adapter could not be loaded in time.
    Busy,
    /// The load failed and is backing off on this upstream.
    Failed,
    /// The upstream accepts no new work.
    Leaving,
}

/// Request for a lease or for its renewal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The upstream.
    pub upstream: Upstream,
    /// The model.
    pub model: Model,
    /// Path of its weights; absent in a renewal.
    pub path: Option<WeightsPath>,
    /// Number of this lease request.
    pub number: RequestNumber,
    /// Highest priority among the waiting requests.
    pub priority: Priority,
    /// Number of waiting requests; zero in a renewal.
    pub waiting: u32,
    /// Number of requests that the holder granted since its last lease request, for the popularity
    /// estimate.
    pub served: u32,
    /// Time that the oldest request has waited.
    pub age: Duration,
    /// Time until the latest deadline among the waiting requests.
    pub remaining: Duration,
}

/// Load of an upstream, as last reported to its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Number of running and queued sequences.
    pub sequences: u32,
    /// Number of instances with requests.
    pub busy_instances: u32,
    /// Time since the engine's report.
    pub age: Duration,
}

/// A granted lease: its holder may start requests on the instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The upstream.
    pub upstream: Upstream,
    /// The model.
    pub model: Model,
    /// Number of the lease request that this answers. The holder counts the lease's duration from
    /// the time at which it sent that request.
    pub number: RequestNumber,
    /// Number of the claim under which the sender owns the upstream.
    pub claim: Fence,
    /// The lease.
    pub lease: Lease,
    /// Name under which the engine holds the model.
    pub instance: Instance,
    /// Fencing number of the instance's load.
    pub fence: Fence,
    /// Load of the upstream, which the holder uses to choose between upstreams.
    pub engine_load: Option<EngineLoad>,
    /// Head start of more urgent requests under this lease.
    pub head_start: Option<HeadStart>,
}

/// A head start: until it ends, only requests of at least its priority may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadStart {
    /// Lowest priority that may start.
    pub priority: Priority,
    /// Time until the head start ends.
    pub remaining: Duration,
}

/// Popularity of a model, handed over to a new owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Popularity {
    /// The model.
    pub model: Model,
    /// Path of its weights.
    pub path: WeightsPath,
    /// Expected requests per second.
    pub rate: f32,
}

/// Acknowledgement of a claim, with what the sender knows about the upstream as a former owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimAck {
    /// The upstream.
    pub upstream: Upstream,
    /// Number of the acknowledged claim. From now on the sender accepts no grant under a lower
    /// claim, and itself sends neither orders nor grants for the upstream.
    pub claim: Fence,
    /// Instances whose unload the sender ordered as the former owner.
    pub unloading: Vec<Instance>,
    /// The most popular models on the upstream, as estimated by the former owner.
    pub popularity: Vec<Popularity>,
}

/// Permission to start one load from a weight store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ticket {
    /// The store.
    pub store: Store,
    /// The upstream that may start the load.
    pub upstream: Upstream,
    /// Number of the ticket request that this answers. The receiver counts the ticket's duration
    /// from the time at which it sent that request.
    pub number: RequestNumber,
    /// Number of the ticket.
    pub ticket: u64,
}

/// A message between planners.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Holder to owner: requests a lease.
    LeaseRequest(LeaseRequest),
    /// Owner to holder: grants a lease.
    Grant(Grant),
    /// Owner to holder: the lease request is in the load queue.
    Queued {
        /// The upstream.
        upstream: Upstream,
        /// The model.
        model: Model,
    },
    /// Owner to holder: denies a lease.
    Deny {
        /// The upstream.
        upstream: Upstream,
        /// The model.
        model: Model,
        /// Number of the lease request that this answers.
        number: RequestNumber,
        /// Reason of the denial.
        denial: Denial,
        /// Time after which the holder may request the lease again.
        retry_after: Duration,
    },
    /// Holder to owner: no request of the holder runs on the model or waits for it any more.
    Release {
        /// The upstream.
        upstream: Upstream,
        /// The model.
        model: Model,
        /// Highest request number that the holder has used. Leases granted for later requests stay.
        number: RequestNumber,
    },
    /// New owner to every peer: claims upstreams, superseding claims with lower numbers.
    Claim {
        /// The claimed upstreams, each with the number of its claim.
        claims: Vec<(Upstream, Fence)>,
    },
    /// Peer to new owner: acknowledges a claim.
    ClaimAck(ClaimAck),
    /// Peer to an owner: a higher claim supersedes the owner's claim or grant.
    ClaimSuperseded {
        /// The upstream.
        upstream: Upstream,
        /// Number of the higher claim.
        claim: Fence,
    },
    /// Owner of an upstream to the holder of a store's budget: requests a ticket for a load.
    TicketRequest {
        /// The store.
        store: Store,
        /// The upstream that is to start the load.
        upstream: Upstream,
        /// Number of this ticket request.
        number: RequestNumber,
        /// Priority of the load; `None` for a prefetch.
        priority: Option<Priority>,
        /// Number of requests that wait for the load.
        waiting: u32,
        /// Time that the oldest request has waited.
        age: Duration,
    },
    /// Holder of a budget to an owner: permits one load.
    Ticket(Ticket),
    /// Owner to the holder of a budget: the load has ended or was not needed.
    TicketReturn {
        /// The store.
        store: Store,
        /// Number of the returned ticket; zero withdraws the upstream's ticket request.
        ticket: u64,
        /// The upstream.
        upstream: Upstream,
    },
    /// Holder of a budget to a peer: requests a loan of the peer's share.
    ShareRequest {
        /// The store.
        store: Store,
        /// Number of this share request.
        number: RequestNumber,
    },
    /// Peer to the holder of a budget: lends its share for the duration in the settings, counted
    /// from the time at which the share request was sent.
    Share {
        /// The store.
        store: Store,
        /// Number of the share request that this answers.
        number: RequestNumber,
        /// Number of loads in flight that the share permits.
        permits: u32,
    },
    /// Former owner to a new one: it held the higher claim itself, and orders nothing under it any more.
    ClaimGivenUp {
        /// The upstream.
        upstream: Upstream,
        /// Number of the higher claim.
        claim: Fence,
        /// Time in which it has ordered nothing; `None` if it has ordered nothing under this claim.
        quiet: Option<Duration>,
    },
}
