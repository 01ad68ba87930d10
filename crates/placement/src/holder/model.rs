//! A holder's state of one model: its popularity, leases and pending lease requests.

use wire::{Fence, Incarnation, Lease, Priority, Time, Upstream};

use crate::demand::DecayingRate;
use crate::event::{Instance, WeightsPath};
use crate::message::RequestNumber;

/// A lease that this node holds.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldLease {
    /// The upstream.
    pub upstream: Upstream,
    /// The owner that granted the lease.
    pub owner: Incarnation,
    /// Identifier of the lease.
    pub lease: Lease,
    /// The leased instance.
    pub instance: Instance,
    /// The instance's fencing number.
    pub fence: Fence,
    /// Time until which requests may start under the lease.
    pub until: Time,
    /// Number of requests that run under the lease.
    pub in_use: u32,
    /// Requests started since the last report to the owner.
    pub served: u32,
    /// Lowest priority that may start during the head start, and the time at which the head start
    /// ends.
    pub head_start: Option<(Priority, Time)>,
}

impl HeldLease {
    /// Returns whether a request of `priority` must wait for the head start of more urgent ones.
    pub fn must_wait(&self, now: Time, priority: Priority) -> bool {
        self.head_start
            .is_some_and(|(first, until)| priority > first && now < until)
    }
}

/// A lease request to the owner of an upstream that has not been answered finally.
#[derive(Clone, Debug, PartialEq)]
pub struct PendingLease {
    /// The upstream.
    pub upstream: Upstream,
    /// Number and time of each message sent.
    pub sent: Vec<(RequestNumber, Time)>,
    /// Time at which the request was opened, or of the owner's last answer.
    pub last_heard: Time,
    /// Requests that wait for the lease; empty in a renewal.
    pub waiting: Vec<wire::Request>,
    /// Path of the weights if the owner may load the model; `None` in a renewal.
    pub path: Option<WeightsPath>,
    /// Time at which the waiting requests may start under the granted lease, after a head start.
    pub start_at: Option<Time>,
}

impl PendingLease {
    /// Returns the time at which the message `number` was sent.
    pub fn sent_at(&self, number: RequestNumber) -> Option<Time> {
        let found = self.sent.iter().find(|(sent, _)| *sent == number);
        found.map(|(_, at)| *at)
    }

    /// Returns the time of the last message sent.
    pub fn last_sent(&self) -> Option<Time> {
        self.sent.last().map(|(_, at)| *at)
    }
}

/// State of one model that this node uses.
#[derive(Clone, Debug, Default)]
pub struct ModelState {
    /// Rate of this node's requests for the model.
    pub rate: DecayingRate,
    /// Number of upstreams among which the demand is spread.
    pub homes: usize,
    /// Time of the last change to `homes`.
    pub homes_changed_at: Time,
    /// Pending lease requests.
    pub pending: Vec<PendingLease>,
    /// Leases that are held, or that have ended while requests still run.
    pub leases: Vec<HeldLease>,
    /// The upstream at which a request started last, and when.
    pub last_home: Option<(Upstream, Time)>,
}

impl ModelState {
    /// Returns the index of the lease on `upstream` under which a request may start at `now`.
    pub fn usable_lease(&self, now: Time, upstream: &str) -> Option<usize> {
        let usable = |held: &HeldLease| *held.upstream == *upstream && held.until > now;
        self.leases.iter().position(usable)
    }

    /// Returns the index of the pending lease request at `upstream`.
    pub fn pending_on(&self, upstream: &str) -> Option<usize> {
        let same = |pending: &PendingLease| *pending.upstream == *upstream;
        self.pending.iter().position(same)
    }

    /// Drops leases that have ended and under which nothing runs.
    pub fn drop_ended_leases(&mut self, now: Time) {
        self.leases
            .retain(|held| held.in_use > 0 || held.until > now);
        self.free_unused_memory();
    }

    /// Frees the memory of the lease list if it is empty, as for most models.
    pub fn free_unused_memory(&mut self) {
        if self.leases.is_empty() {
            self.leases = Vec::new();
        }
    }
}
