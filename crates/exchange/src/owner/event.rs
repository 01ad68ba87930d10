//! Events that an owner handles, and actions that it requests.

use std::time::Duration;

use wire::{Fence, Upstream, Vm};

use super::message::Message;
use super::owned_engine::{Answer, Order};
use crate::demand::Target;
use crate::fleet::{Holding, Presence};

/// An event for [`Owner::step`].
///
/// [`Owner::step`]: super::Owner::step
#[derive(Clone, Debug)]
pub enum Event {
    /// The membership view: the live nodes, and whether this node may claim engines.
    View {
        /// Live nodes, this one included, sorted.
        live: Vec<Vm>,
        /// Whether this node is in contact with enough others to claim engines.
        may_claim: bool,
    },
    /// The nodes known to discovery, live or not, this one included and leaving ones excluded.
    /// Witnesses are taken from them; before the first such event, from the live nodes.
    KnownNodes(Vec<Vm>),
    /// Nodes that are shutting down and finish their running requests.
    LeavingNodes(Vec<Vm>),
    /// Whether this node has found none of the nodes that its settings name, so that nodes that it does not
    /// know may give orders.
    Isolated(bool),
    /// A message arrived from a peer.
    Receive {
        /// The peer.
        from: Vm,
        /// The message.
        message: Message,
    },
    /// A request of this node needs `target` loaded at `engine`.
    RequestLoad {
        /// The engine.
        engine: Upstream,
        /// The target to load.
        target: Target,
        /// Rank of the request; 0 goes first.
        rank: u8,
    },
    /// A request of this node no longer needs `target` loaded at `engine`.
    CancelLoadRequest {
        /// The engine.
        engine: Upstream,
        /// The target that was requested.
        target: Target,
    },
    /// An engine answered an order, or failed to.
    Answered {
        /// The engine.
        engine: Upstream,
        /// The fencing token of the order.
        fence: Fence,
        /// The order.
        order: Order,
        /// The answer.
        answer: Answer,
    },
    /// A request for an engine's report has finished. The report, if any, has been applied to the
    /// fleet.
    ReportFetched {
        /// The engine.
        engine: Upstream,
        /// Whether the engine returned a valid report.
        succeeded: bool,
        /// Number of orders that the engine has accepted since its start, if it states that.
        orders: Option<u64>,
    },
    /// Whether this node connects to an engine directly. It gives up the engines that it does not.
    Reach {
        /// The engine.
        engine: Upstream,
        /// Whether connections reach it without another node.
        direct: bool,
    },
    /// This process was paused.
    Paused,
    /// This process is shutting down.
    Leave,
    /// A timer set by [`Action::SetTimer`] has expired.
    TimerExpired,
    /// Periodic tick.
    Tick {
        /// Wall clock in seconds since the Unix epoch.
        wall_seconds: u64,
    },
}

/// An action that the owner requests from its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to a peer, best effort.
    Send {
        /// The recipient.
        to: Vm,
        /// The message.
        message: Message,
    },
    /// Ask an engine for its report after a delay.
    FetchReport {
        /// The engine.
        engine: Upstream,
        /// Delay before the report is requested.
        delay: Duration,
    },
    /// Send an order to an engine.
    Order {
        /// The engine.
        engine: Upstream,
        /// Fencing token.
        fence: Fence,
        /// The order.
        order: Order,
        /// Number of orders that the engine has to have accepted before, if it matters.
        expected: Option<u64>,
    },
    /// Send [`Event::TimerExpired`] after this time.
    SetTimer(Duration),
    /// Record the residency of a target in the fleet, and wake the requests that wait for it.
    Presence {
        /// The engine.
        engine: Upstream,
        /// The model or adapter.
        target: Target,
        /// Its residency.
        presence: Presence,
    },
    /// Record in the fleet what an engine holds, as reported by its owner.
    Holdings {
        /// The engine.
        engine: Upstream,
        /// The resident models and adapters.
        holdings: Vec<Holding>,
    },
    /// Record in the fleet how long one more adapter would take to load.
    Backlog {
        /// The engine.
        engine: Upstream,
        /// Time until one more adapter could be loaded.
        backlog: Duration,
    },
    /// A peer has answered a request for admission.
    Granted {
        /// Ticket of the question.
        ticket: u64,
        /// Whether and when the request may be sent.
        grant: Grant,
    },
    /// Log a decision.
    Log(Decision),
}

/// What the owner needs to know of a request to admit it to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The target that the request uses.
    pub target: Target,
    /// Expected prefill time.
    pub prefill: Duration,
    /// Expected time from the end of prefill to the end of the request.
    pub decode: Duration,
    /// Rank of the request; 0 goes first.
    pub rank: u8,
}

/// Whether and when a request may be sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Residency of the target. The request may be sent only if the target is resident.
    pub presence: Presence,
    /// Time to wait before the request is sent.
    pub wait: Duration,
    /// Prefill work queued at the engine.
    pub prefill_backlog: Duration,
    /// Time until one more adapter could be loaded.
    pub backlog: Duration,
    /// Requests running at the engine, including this one if it was admitted.
    pub running: u32,
}

/// What a claim rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grounds {
    /// Witnesses of the engine.
    pub witnesses: usize,
    /// Those of them that have granted the lease, as far as this node has counted.
    pub granted: usize,
    /// Whether nodes that this one does not know may give orders there.
    pub contended: bool,
}

/// A decision that is logged.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// This node has claimed the engine with this fencing token, by these grounds.
    Claimed(Upstream, Fence, Grounds),
    /// This node has given the engine up, for this reason.
    Released(Upstream, &'static str),
    /// A target is being loaded for requests of this rank, or as a replica, at so many nodes.
    Loading(Upstream, Target, u8, usize),
    /// A target was evicted to make room for another; the number is its decayed use count.
    Evicted(Upstream, Target, f64),
    /// Whether this node is now in contact with a majority of nodes.
    QuorumChanged(bool),
    /// An order failed with this answer.
    OrderFailed(Upstream, Target, Answer),
}
