//! What planners send each other: one-way, best effort, idempotent.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wire::{Fence, Lease, Model, Priority, Store, Upstream};

use crate::event::{Instance, WeightsPath};

/// Number of an ask, growing within the asking incarnation.
pub type RequestNumber = u64;

/// Why an owner denies a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Denial {
    /// The sender does not own the upstream.
    Moved,
    /// The adapter could not be loaded in time.
    Busy,
    /// The load failed and pauses here.
    Failed,
    /// The upstream takes nothing new.
    Leaving,
}

/// Request for a lease, or for its renewal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The upstream.
    pub upstream: Upstream,
    /// The model.
    pub model: Model,
    /// Where its weights are; absent in a renewal.
    pub path: Option<WeightsPath>,
    /// Number of the ask.
    pub number: RequestNumber,
    /// Highest priority among the requests that wait.
    pub priority: Priority,
    /// Requests that wait; zero in a renewal.
    pub waiting: u32,
    /// Requests granted by the holder since its last ask, for the popularity estimate.
    pub served: u32,
    /// Time that the oldest has waited.
    pub age: Duration,
    /// Time left to the latest deadline among those that wait.
    pub remaining: Duration,
}

/// What an upstream carries, as its owner last heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Sequences that run or wait.
    pub sequences: u32,
    /// Instances with requests.
    pub busy_instances: u32,
    /// Time since the engine's report.
    pub age: Duration,
}

/// A lease: its holder may start requests on the instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The upstream.
    pub upstream: Upstream,
    /// The model.
    pub model: Model,
    /// The ask that is answered; the holder counts the lease's time from its sending.
    pub number: RequestNumber,
    /// Number of the sender's ownership.
    pub claim: Fence,
    /// The lease.
    pub lease: Lease,
    /// Name under which the engine holds the model.
    pub instance: Instance,
    /// Fencing number of the instance's load.
    pub fence: Fence,
    /// What the upstream carries, for the holder's choice.
    pub engine_load: Option<EngineLoad>,
    /// Head start of more urgent requests under it.
    pub head_start: Option<HeadStart>,
}

/// A head start: for its time, only requests of a priority or above start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadStart {
    /// The priority.
    pub priority: Priority,
    /// What is left of its time.
    pub remaining: Duration,
}

/// A model's popularity, handed to a new owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Popularity {
    /// The model.
    pub model: Model,
    /// Where its weights are.
    pub path: WeightsPath,
    /// Requests per second.
    pub rate: f32,
}

/// What a peer yields and knows of an upstream, for its new owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimAck {
    /// The upstream.
    pub upstream: Upstream,
    /// Number of the claim that is answered. The sender takes grants of no lower one from now on,
    /// and gives neither orders nor grants for the upstream itself.
    pub claim: Fence,
    /// Instances that the sender, as the former owner, has ordered to be unloaded.
    pub unloading: Vec<Instance>,
    /// Most popular models there, as the former owner saw them.
    pub popularity: Vec<Popularity>,
}

/// Leave to start one load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ticket {
    /// The store.
    pub store: Store,
    /// The upstream that may load.
    pub upstream: Upstream,
    /// The ask that is answered; the ticket's time counts from its sending.
    pub number: RequestNumber,
    /// The ticket's own number.
    pub ticket: u64,
}

/// What planners send each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Holder to owner: a lease is wanted.
    LeaseRequest(LeaseRequest),
    /// Owner to holder: the lease.
    Grant(Grant),
    /// Owner to holder: the ask is in the load queue.
    Queued {
        /// The upstream.
        upstream: Upstream,
        /// The model.
        model: Model,
    },
    /// Owner to holder: no lease.
    Deny {
        /// The upstream.
        upstream: Upstream,
        /// The model.
        model: Model,
        /// The ask that is answered.
        number: RequestNumber,
        /// Why.
        denial: Denial,
        /// Time after which another ask makes sense.
        retry_after: Duration,
    },
    /// Holder to owner: nothing runs or waits on the model any more.
    Release {
        /// The upstream.
        upstream: Upstream,
        /// The model.
        model: Model,
        /// Highest number that the holder has used; grants to later asks stay.
        number: RequestNumber,
    },
    /// New owner to every peer: it supersedes claims with lower numbers.
    Claim {
        /// Upstreams with the number of each claim.
        claims: Vec<(Upstream, Fence)>,
    },
    /// Peer to new owner.
    ClaimAck(ClaimAck),
    /// Peer to an owner whose claim or grant is superseded.
    ClaimSuperseded {
        /// The upstream.
        upstream: Upstream,
        /// The number that supersedes it.
        claim: Fence,
    },
    /// Owner of an upstream to the holder of a store's budget: a load is wanted.
    TicketRequest {
        /// The store.
        store: Store,
        /// The upstream that is to load.
        upstream: Upstream,
        /// Number of the ask.
        number: RequestNumber,
        /// Priority of the load; `None` for a prefetch.
        priority: Option<Priority>,
        /// Requests that wait for it.
        waiting: u32,
        /// Time that the oldest has waited.
        age: Duration,
    },
    /// Holder of a budget to an owner: one load may start.
    Ticket(Ticket),
    /// Owner to the holder of a budget: the load is over or was not needed.
    TicketReturn {
        /// The store.
        store: Store,
        /// The ticket; zero withdraws the upstream's ask.
        ticket: u64,
        /// The upstream.
        upstream: Upstream,
    },
    /// Holder of a budget to a peer: lend me your share.
    ShareRequest {
        /// The store.
        store: Store,
        /// Number of the ask.
        number: RequestNumber,
    },
    /// Peer to the holder of a budget: the share is lent for the time set, from the ask's sending.
    Share {
        /// The store.
        store: Store,
        /// The ask that is answered.
        number: RequestNumber,
        /// Loads in flight that come with it.
        permits: u32,
    },
}
