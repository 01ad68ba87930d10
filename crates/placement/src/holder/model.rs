//! What a holder keeps of one model: its popularity, its leases and its asks.

use wire::{Fence, Incarnation, Lease, Priority, Time, Upstream};

use crate::demand::DecayingRate;
use crate::event::{Instance, WeightsPath};
use crate::message::RequestNumber;

/// A lease that this node holds.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldLease {
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
    pub head_start: Option<(Priority, Time)>,
}

impl HeldLease {
    /// Tells whether a request of `priority` has to let more urgent ones go first.
    pub fn must_wait(&self, now: Time, priority: Priority) -> bool {
        self.head_start
            .is_some_and(|(first, until)| priority > first && now < until)
    }
}

/// An ask under way.
#[derive(Clone, Debug, PartialEq)]
pub struct PendingLease {
    /// The upstream.
    pub upstream: Upstream,
    /// Every number sent, with its time.
    pub sent: Vec<(RequestNumber, Time)>,
    /// Time of the first send or of the owner's last answer.
    pub last_heard: Time,
    /// Requests that wait for it; none in a renewal.
    pub waiting: Vec<wire::Request>,
    /// Where the weights are, where the owner may load the model for it; absent in a renewal.
    pub path: Option<WeightsPath>,
    /// Time at which the waiting requests start under the lease that it was answered with.
    pub start_at: Option<Time>,
}

impl PendingLease {
    /// Returns the time at which the ask `number` was sent.
    pub fn sent_at(&self, number: RequestNumber) -> Option<Time> {
        let found = self.sent.iter().find(|(sent, _)| *sent == number);
        found.map(|(_, at)| *at)
    }

    /// Returns the time of the last send.
    pub fn last_sent(&self) -> Option<Time> {
        self.sent.last().map(|(_, at)| *at)
    }
}

/// One model as this node uses it.
#[derive(Clone, Debug, Default)]
pub struct ModelState {
    /// Requests that this node was given for it.
    pub rate: DecayingRate,
    /// Upstreams among which its demand is spread.
    pub homes: usize,
    /// Time of the last change of `homes`.
    pub homes_changed_at: Time,
    /// Asks under way.
    pub pending: Vec<PendingLease>,
    /// Leases held, or ended with requests still running.
    pub leases: Vec<HeldLease>,
}

impl ModelState {
    /// Returns the lease on `upstream` under which a request may start at `now`.
    pub fn usable_lease(&self, now: Time, upstream: &str) -> Option<usize> {
        let usable = |held: &HeldLease| *held.upstream == *upstream && held.until > now;
        self.leases.iter().position(usable)
    }

    /// Returns the ask under way at `upstream`.
    pub fn pending_on(&self, upstream: &str) -> Option<usize> {
        let same = |want: &PendingLease| *want.upstream == *upstream;
        self.pending.iter().position(same)
    }

    /// Drops leases that have ended and that nothing runs on.
    pub fn drop_ended_leases(&mut self, now: Time) {
        self.leases
            .retain(|held| held.in_use > 0 || held.until > now);
        self.free_unused_memory();
    }

    /// Gives the room of leases back where none is left, as with most models.
    pub fn free_unused_memory(&mut self) {
        if self.leases.is_empty() {
            self.leases = Vec::new();
        }
    }
}
