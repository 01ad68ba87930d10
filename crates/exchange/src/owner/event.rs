//! What an owner is told, and what it wants done.

use std::time::Duration;

use wire::{Fence, Upstream, Vm};

use super::message::Message;
use super::seat::{Answer, Order};
use crate::demand::Target;
use crate::fleet::{Holding, Presence};

/// What the owner is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// The nodes that live and take part, and whether this node may claim.
    View {
        /// Live nodes, this one included, sorted.
        live: Vec<Vm>,
        /// Whether this node is in touch with enough others to claim.
        may_claim: bool,
    },
    /// Nodes that leave and finish what they have.
    LeavingNodes(Vec<Vm>),
    /// A message came from a peer.
    Receive {
        /// The peer.
        from: Vm,
        /// The message.
        message: Message,
    },
    /// A request of this node needs `target` at `engine`.
    RequestLoad {
        /// The engine.
        engine: Upstream,
        /// What is needed.
        target: Target,
        /// Rank of the request; 0 goes first.
        rank: u8,
    },
    /// A request of this node needs `target` at `engine` no longer.
    CancelLoadRequest {
        /// The engine.
        engine: Upstream,
        /// What was needed.
        target: Target,
    },
    /// An order was answered.
    Answered {
        /// The engine.
        engine: Upstream,
        /// The fencing number of the order.
        fence: Fence,
        /// The order.
        order: Order,
        /// The answer.
        answer: Answer,
    },
    /// An engine's own report has been taken over into the fleet.
    ReportFetched {
        /// The engine.
        engine: Upstream,
        /// Whether it gave one.
        succeeded: bool,
    },
    /// This process was paused.
    Paused,
    /// This process leaves.
    Leave,
    /// The time of an [`Action::SetTimer`] has come.
    TimerExpired,
    /// Time passed.
    Tick {
        /// Seconds of the wall clock.
        wall_seconds: u64,
    },
}

/// What the owner wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to a peer, best effort.
    Send {
        /// The addressee.
        to: Vm,
        /// The message.
        message: Message,
    },
    /// Ask an engine for its report, after a pause.
    FetchReport {
        /// The engine.
        engine: Upstream,
        /// Pause before.
        delay: Duration,
    },
    /// Give an order to an engine.
    Order {
        /// The engine.
        engine: Upstream,
        /// Fencing number.
        fence: Fence,
        /// The order.
        order: Order,
    },
    /// Send [`Event::TimerExpired`] after that time.
    SetTimer(Duration),
    /// Decision residency in the fleet, and wake the requests that wait for it.
    Presence {
        /// The engine.
        engine: Upstream,
        /// What it is about.
        target: Target,
        /// What is known now.
        presence: Presence,
    },
    /// Decision what an engine holds, as its owner tells.
    Holdings {
        /// The engine.
        engine: Upstream,
        /// What it holds.
        holdings: Vec<Holding>,
    },
    /// Decision how long another adapter would take to be there.
    Backlog {
        /// The engine.
        engine: Upstream,
        /// The time.
        backlog: Duration,
    },
    /// A peer has let a request of this node in.
    Granted {
        /// Number of the question.
        ticket: u64,
        /// When it may be sent.
        grant: Grant,
    },
    /// A decision to log.
    Log(Decision),
}

/// What a request means for its engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Its model.
    pub target: Target,
    /// Time that the engine takes to read its prompt.
    pub prefill: Duration,
    /// Time that it is expected to run after that.
    pub decode: Duration,
    /// Its rank; 0 goes first.
    pub rank: u8,
}

/// When a request may be sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// What is known of its model; only where that is resident may the request be sent.
    pub presence: Presence,
    /// Time to wait.
    pub wait: Duration,
    /// Reading time that is ahead at the engine.
    pub prefill_backlog: Duration,
    /// Time until another adapter could be there.
    pub backlog: Duration,
    /// Requests that the engine has, this one included where it is let in.
    pub running: u32,
}

/// A decision worth a log line.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// This node orders at the engine from now on.
    Claimed(Upstream, Fence),
    /// This node no longer orders at the engine.
    Released(Upstream, &'static str),
    /// A target is evicted for another.
    Evicted(Upstream, Target, f64),
    /// This node is in touch with most nodes from now on, or no longer.
    QuorumChanged(bool),
    /// An order failed.
    OrderFailed(Upstream, Target, Answer),
}
