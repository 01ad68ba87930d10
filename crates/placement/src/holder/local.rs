//! What a holder keeps of one model: its popularity, its leases and its asks.

use wire::{Fence, Incarnation, Lease, Priority, Time, Upstream};

use crate::demand::DecayingRate;
use crate::event::{Instance, WeightsPath};
use crate::message::RequestNumber;

/// A lease that this node holds.
#[derive(Clone, Debug, PartialEq)]
pub struct Held {
    /// The upstream.
    pub upstream: Upstream,
    /// The owner that granted it.
    pub owner: Incarnation,
    /// The lease.
    pub lease: Lease,
    /// The instance.
    pub instance: Instance,
    /// The instance's fencing number.
    pub fence: Fence,
    /// Time until which it allows requests to start.
    pub until: Time,
    /// Requests that run on it.
    pub in_use: u32,
    /// Requests started since the owner was last told.
    pub served: u32,
    /// Priority of the requests that start first, and the time until which only they start.
    pub head: Option<(Priority, Time)>,
}

impl Held {
    /// Tells whether a request of `priority` has to let more urgent ones go first.
    pub fn behind(&self, now: Time, priority: Priority) -> bool {
        self.head
            .is_some_and(|(first, until)| priority > first && now < until)
    }
}

/// An ask under way.
#[derive(Clone, Debug, PartialEq)]
pub struct Want {
    /// The upstream.
    pub upstream: Upstream,
    /// Every number sent, with its time.
    pub sent: Vec<(RequestNumber, Time)>,
    /// Time of the first send or of the owner's last answer.
    pub heard: Time,
    /// Requests that wait for it; none in a renewal.
    pub waiting: Vec<wire::Request>,
    /// Where the weights are, where the owner may load the model for it; absent in a renewal.
    pub path: Option<WeightsPath>,
    /// Time at which the waiting requests start under the lease that it was answered with.
    pub start: Option<Time>,
}

impl Want {
    /// Returns the time at which the ask `number` was sent.
    pub fn sent_at(&self, number: RequestNumber) -> Option<Time> {
        let found = self.sent.iter().find(|(sent, _)| *sent == number);
        found.map(|(_, at)| *at)
    }

    /// Returns the time of the last send.
    pub fn last(&self) -> Option<Time> {
        self.sent.last().map(|(_, at)| *at)
    }
}

/// One model as this node uses it.
#[derive(Clone, Debug, Default)]
pub struct Local {
    /// Requests that this node was given for it.
    pub rate: DecayingRate,
    /// Upstreams among which its demand is spread.
    pub homes: usize,
    /// Time of the last change of `homes`.
    pub stepped: Time,
    /// Asks under way.
    pub wants: Vec<Want>,
    /// Leases held, or ended with requests still running.
    pub leases: Vec<Held>,
}

impl Local {
    /// Returns the lease on `upstream` under which a request may start at `now`.
    pub fn lease(&self, now: Time, upstream: &str) -> Option<usize> {
        let usable = |held: &Held| *held.upstream == *upstream && held.until > now;
        self.leases.iter().position(usable)
    }

    /// Returns the ask under way at `upstream`.
    pub fn want(&self, upstream: &str) -> Option<usize> {
        let same = |want: &Want| *want.upstream == *upstream;
        self.wants.iter().position(same)
    }

    /// Drops leases that have ended and that nothing runs on.
    pub fn tidy(&mut self, now: Time) {
        self.leases
            .retain(|held| held.in_use > 0 || held.until > now);
        self.trim();
    }

    /// Gives the room of leases back where none is left, as with most models.
    pub fn trim(&mut self) {
        if self.leases.is_empty() {
            self.leases = Vec::new();
        }
    }
}
