//! Permits for requests at brittle upstreams.
//!
//! A brittle upstream crashes if it has to turn too many requests away for want of room. What all nodes
//! together have under way there is therefore bounded before it is sent. The first live node in the
//! rendezvous order of an upstream's id issues permits; the others ask it for one before each request,
//! and return it afterwards. A node that gets no answer sends so little that it may all be turned away.
//!
//! - [`brittleness`] is what a node knows of one upstream.
//! - [`mod@issuer`] issues the permits of one upstream.
//! - [`issuers`] holds the issuers of a node.

pub mod brittleness;
pub mod issuer;
pub mod issuers;

use serde::{Deserialize, Serialize};
use wire::{Upstream, Vm, rank};

use crate::announced_rate::Rate;
pub use brittleness::Brittleness;
pub use issuer::Issuer;
pub use issuers::Issuers;

/// Refusals a second that an upstream survives.
pub type Tolerance = u32;

/// Number of a permit at the node that asks for it; later permits have higher ones.
pub type Ticket = u64;

/// Part of an upstream's tolerance that all nodes without an issuer may use up together.
const UNISSUED_PART: f64 = 0.5;

/// A request for a permit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The upstream.
    pub upstream: Upstream,
    /// Start of its process, as its listing gives it.
    pub born: Option<u64>,
    /// Number of the permit.
    pub ticket: Ticket,
    /// Requests that the upstream runs at a time.
    pub slots: u32,
    /// Refusals a second that it survives.
    pub tolerance: Tolerance,
    /// Rank of the request; 0 goes first.
    pub rank: u8,
    /// Milliseconds that it may wait.
    pub patience: u32,
    /// Milliseconds after which it is over, whatever happens.
    pub time: u32,
}

/// Reply to an [`Ask`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The request may be sent.
    Granted,
    /// It is queued; another reply follows.
    Queued,
    /// It cannot be sent in time. The node may ask again after so many milliseconds.
    Over(u32),
}

/// How a request that had a permit ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// It was not sent, or the upstream would not have run it at any time.
    Unsent,
    /// The upstream has answered it.
    Whole,
    /// The upstream turned it away.
    Refused,
    /// The upstream broke it off.
    Broken,
    /// It was given up, and the upstream may go on with it for a while.
    Dropped,
}

/// What a node has under way at an upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Its permits, with the milliseconds after which each is over; sorted.
    pub held: Vec<(Ticket, u32)>,
    /// Its questions without a permit so far; sorted.
    pub asked: Vec<Ticket>,
    /// Its last ticket.
    pub last: Ticket,
    /// Requests without a permit.
    pub others: u32,
}

/// A message between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a permit.
    Ask(Ask),
    /// The issuer's reply.
    Reply {
        /// Number of the permit.
        ticket: Ticket,
        /// The reply.
        reply: Reply,
    },
    /// Returns a permit.
    End {
        /// The upstream.
        upstream: Upstream,
        /// Number of the permit.
        ticket: Ticket,
        /// How the request ended.
        end: End,
    },
    /// The issuer asks what a node has under way.
    Query {
        /// The upstream.
        upstream: Upstream,
        /// Start of its process.
        born: Option<u64>,
        /// Refusals a second that it survives.
        tolerance: Tolerance,
    },
    /// The answer to a query.
    Report {
        /// The upstream.
        upstream: Upstream,
        /// Start of its process.
        born: Option<u64>,
        /// What the node has under way.
        report: Report,
    },
    /// Tells that an upstream has begun or ceased to be brittle, or survives another number of refusals.
    News {
        /// The upstream.
        upstream: Upstream,
        /// Start of its process.
        born: Option<u64>,
        /// Refusals a second that it survives; absent if it is not brittle any more.
        tolerance: Option<Tolerance>,
        /// Milliseconds since the request was sent whose answer says so.
        age: u32,
        /// Milliseconds until it may turn more requests away than before.
        notice: u32,
    },
    /// Asks a node that the sender sees from now on which upstreams are brittle whose permits it issues.
    Hello,
}

/// A message for a node, which may be the one that issues.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Action {
    /// The node.
    pub to: Vm,
    /// The message.
    pub message: Message,
}

/// Returns the node that issues the permits of an upstream.
pub fn issuer<'a>(upstream: &str, live: &'a [Vm]) -> Option<&'a Vm> {
    rank::first(rank::hash(upstream), live)
}

/// Returns the permits that a node may issue which sees that part of all nodes. Of an upstream with
/// few slots, a node that sees few others has none.
pub fn room(slots: u32, part: f64) -> u32 {
    let room = f64::from(slots) * part.clamp(0.0, 1.0);
    if part >= 0.5 {
        room.round() as u32
    } else {
        room as u32
    }
}

/// Returns the requests a second that one of so many nodes may send without a permit.
pub fn unissued_rate(tolerance: Tolerance, nodes: f64) -> Rate {
    f64::from(tolerance.max(1)) * UNISSUED_PART / nodes.max(1.0)
}
