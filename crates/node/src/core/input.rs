//! What the core is told and what it answers.

use std::sync::Arc;
use std::time::Duration;

use dispatch::poison::Fingerprint;
use logic::Event;
use tokio::sync::{mpsc, oneshot};
use wire::{Fence, Lease, Model, Request, Revision, Time, Upstream};

use super::Status;

/// Something for the core to take in.
#[derive(Debug)]
pub enum Input {
    /// An event for the machines.
    Logic(Event),
    /// The platform's list was read.
    List(platform::List),
    /// A request is to be placed.
    Place {
        /// The request.
        request: placement::event::Request,
        /// Where the answer goes.
        reply: oneshot::Sender<Placed>,
    },
    /// The engine does not hold the instance of a granted request, which did not run.
    Missing {
        /// The request.
        request: Request,
        /// Where the answer goes.
        reply: oneshot::Sender<Placed>,
    },
    /// A request wants to be admitted.
    Admit {
        /// The request.
        arrival: admission::Arrival,
        /// Where the answer goes.
        reply: oneshot::Sender<Admitted>,
    },
    /// Which upstream of a pool is a suspect request confined to, if it is one?
    Confine {
        /// Fingerprint of the request.
        print: Fingerprint,
        /// The pool's upstreams.
        pool: Vec<Upstream>,
        /// Where the answer goes.
        reply: oneshot::Sender<Option<Upstream>>,
    },
    /// May a request go to an upstream, for all that is known of earlier crashes?
    Vet {
        /// The request.
        request: Request,
        /// Its fingerprint.
        print: Fingerprint,
        /// The upstream.
        upstream: Upstream,
        /// Where the answer goes.
        reply: oneshot::Sender<Vetted>,
    },
    /// A call that may not be repeated begins.
    Begin {
        /// The machine's event.
        event: once::Event,
        /// Where the rulings go.
        reply: mpsc::UnboundedSender<Ruling>,
    },
    /// May the first byte of a call be written?
    PermitCall {
        /// The request.
        request: Request,
        /// Where the answer goes.
        reply: oneshot::Sender<bool>,
    },
    /// May an order to an engine be written?
    PermitOrder {
        /// The engine.
        upstream: Upstream,
        /// The order's number.
        fence: Fence,
        /// Where the answer goes.
        reply: oneshot::Sender<bool>,
    },
    /// Rules have been parsed.
    Parsed {
        /// Their revision.
        revision: Revision,
        /// The rules, or what is wrong with them.
        result: Result<Arc<rules::RuleSet>, String>,
    },
    /// An engine was polled.
    Reach {
        /// The engine.
        upstream: Upstream,
        /// Whether it answered.
        reached: bool,
    },
    /// What does the node know?
    Status(oneshot::Sender<Status>),
    /// What does the node know of a call that may not be repeated?
    Lookup {
        /// The call.
        key: once::Key,
        /// Where the answer goes.
        reply: oneshot::Sender<once::Lookup>,
    },
    /// Which upstreams would a request for an adapter version be tried on?
    Rank {
        /// The adapter version.
        model: Model,
        /// Its pool.
        pool: Arc<str>,
        /// Its base model.
        base: wire::Base,
        /// Where the answer goes: the upstreams in their order, and the number of homes.
        reply: oneshot::Sender<(Vec<Upstream>, usize)>,
    },
    /// Is nothing left to hand over?
    Idle(oneshot::Sender<bool>),
    /// A graceful shutdown starts.
    Leave,
}

/// Where a request may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The engine.
    pub upstream: Upstream,
    /// Name under which it holds the model.
    pub instance: Arc<str>,
    /// The model.
    pub model: Model,
    /// The lease that covers the request.
    pub lease: Lease,
    /// The instance's number.
    pub fence: Fence,
    /// Time by which the request must be written.
    pub until: Time,
}

/// Answer to a request for a place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Placed {
    /// It may run.
    Granted(Grant),
    /// It did not run and will not.
    Refused {
        /// Why.
        reason: placement::action::Reason,
        /// When a retry makes sense.
        retry_after: Duration,
    },
}

/// Answer to a request for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admitted {
    /// It may run.
    Yes,
    /// It did not run and will not.
    Refused {
        /// Why.
        reason: admission::Reason,
        /// When a retry makes sense.
        retry_after: Duration,
    },
}

/// Answer to whether a request may go to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Vetted {
    /// It may.
    Run,
    /// The upstream is kept for a suspect request now.
    Elsewhere,
    /// The request has crashed too many upstreams.
    Convicted {
        /// Upstreams that it has cost.
        crashes: usize,
    },
    /// It may later.
    Busy {
        /// When a retry makes sense.
        retry_after: Duration,
    },
}

/// What is decided about a call that may not be repeated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ruling {
    /// Send it now, after asking for the permit.
    Execute,
    /// Answer with the first answer.
    Answer(once::CallRecord),
    /// Refuse it.
    Refuse {
        /// What is known of the call.
        outcome: once::Outcome,
        /// Why.
        reason: once::Reason,
        /// When a retry makes sense.
        retry_after: Option<Duration>,
    },
}
