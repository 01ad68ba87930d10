//! Distributed rate limit and concurrency limit of one weight store.
//!
//! Every listed VM has an equal share of the store's load rate and of its permits for concurrent
//! loads. Rendezvous hashing of the store's name selects the VM that holds the budget. Its peers
//! lend it their shares for a short time, and it issues tickets, one per load, by priority.
//!
//! The sum over all nodes never exceeds the store's limits, whichever messages are lost and
//! whichever processes are paused: a lender leaves its share unused for longer than the borrower
//! may use it. Each side measures with its own monotonic clock, the borrower from sending its
//! request and the lender from sending its answer. A node without contact to its peers uses only
//! its own share.

mod share;
mod tickets;

use std::time::Duration;

use wire::{Incarnation, Priority, Time, View, Vm};

use crate::event::Store;
use crate::message::{Message, RequestNumber, Ticket};
use crate::planner::Effects;
use crate::settings::Settings;

/// Time for which the count of listed VMs does not shrink, as a multiple of [`Settings::settle`].
const VM_COUNT_HOLD_FACTOR: u32 = 6;

/// Time after the last demand for which the holder continues to borrow shares.
const BORROW_AFTER_DEMAND: Duration = Duration::from_secs(10);

/// Number of permits from which some of them are reserved for urgent loads.
const MIN_PERMITS_FOR_RESERVE: u32 = 4;

/// Demand for the next load on one upstream, as its owner sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadDemand {
    /// Priority of the load; `None` for a prefetch.
    pub priority: Option<Priority>,
    /// Number of requests that wait for the load.
    pub waiting: u32,
    /// Time at which the oldest of these requests began to wait.
    pub since: Time,
}

impl LoadDemand {
    /// Returns the sort key of the demand; smaller keys are served first.
    ///
    /// Routine demand is promoted to normal after [`Settings::ageing`]; nothing is promoted to urgent.
    pub fn sort_key(&self, now: Time, settings: &Settings) -> (u8, f64) {
        let age = now.saturating_sub(self.since);
        let class = match self.priority {
            Some(Priority::Urgent) => 0,
            Some(Priority::Normal) => 1,
            Some(Priority::Routine) if age >= settings.ageing => 1,
            Some(Priority::Routine) => 2,
            None => 3,
        };
        let stalls = settings.load_stalls;
        let score = stalls * age.as_secs_f64() + (1.0 - stalls) * f64::from(self.waiting);
        (class, -score)
    }
}

/// A ticket that this node uses or may use for a load.
#[derive(Clone, Debug, PartialEq)]
struct UsedTicket {
    upstream: wire::Upstream,
    ticket: u64,
    issuer: Vm,
    until: Time,
}

/// Demand of an upstream that this node owns.
#[derive(Clone, Debug)]
struct LocalDemand {
    upstream: wire::Upstream,
    demand: LoadDemand,
    sent: Vec<(RequestNumber, Time)>,
    priority_changed: bool,
}

/// Demand of an upstream that a peer owns.
#[derive(Clone, Debug)]
struct PeerDemand {
    from: Vm,
    upstream: wire::Upstream,
    demand: LoadDemand,
    number: RequestNumber,
    received_at: Time,
}

/// A peer's share that this node has borrowed.
#[derive(Clone, Debug)]
struct BorrowedShare {
    by: Incarnation,
    permits: u32,
    until: Time,
}

/// A ticket that this node has issued and whose load may still run.
#[derive(Clone, Debug)]
struct IssuedTicket {
    ticket: u64,
    upstream: wire::Upstream,
    until: Time,
}

/// One node's part in the budget of one store.
#[derive(Clone, Debug)]
pub struct Budget {
    store: Store,
    me: Incarnation,
    started_at: Time,
    listed_vms: usize,
    listed_vms_at: Time,
    position: usize,
    holder: Option<Vm>,
    last_demand_at: Option<Time>,
    credit: f64,
    credited_until: Time,
    lent_to: Option<Incarnation>,
    /// The borrower that may still have loads in flight under this node's permits.
    permits_lent_to: Option<Incarnation>,
    rate_lent_until: Time,
    permits_lent_until: Time,
    borrowed: Vec<BorrowedShare>,
    share_requests: Vec<(RequestNumber, Time)>,
    issued: Vec<IssuedTicket>,
    peer_demands: Vec<PeerDemand>,
    local_demands: Vec<LocalDemand>,
    used_tickets: Vec<UsedTicket>,
    last_request: RequestNumber,
    last_ticket: u64,
}

impl Budget {
    /// Creates the budget of a process that started at `started_at`.
    pub fn new(store: Store, me: Incarnation, started_at: Time) -> Self {
        let last_ticket = wire::rank::weight(me.start, &me.vm);
        Self {
            store,
            me,
            started_at,
            listed_vms: 0,
            listed_vms_at: started_at,
            position: 0,
            holder: None,
            last_demand_at: None,
            credit: 0.0,
            credited_until: started_at,
            lent_to: None,
            permits_lent_to: None,
            rate_lent_until: Time::ZERO,
            permits_lent_until: Time::ZERO,
            borrowed: Vec::new(),
            share_requests: Vec::new(),
            issued: Vec::new(),
            peer_demands: Vec::new(),
            local_demands: Vec::new(),
            used_tickets: Vec::new(),
            last_request: 0,
            last_ticket,
        }
    }

    /// Returns the store's limits.
    pub const fn store(&self) -> &Store {
        &self.store
    }

    /// Returns the number of upstreams of this node that wait for a load.
    pub fn waiting_upstreams(&self) -> usize {
        self.local_demands.len()
    }

    /// Returns the number of tickets issued by this node whose loads may still be in flight.
    pub fn issued_tickets(&self) -> usize {
        self.issued.len()
    }

    /// Applies new limits of the store.
    pub fn set_limits(&mut self, now: Time, store: Store, settings: &Settings) {
        self.accrue_credit(now, settings);
        self.store = store;
    }

    /// Applies a new view. The count of listed VMs grows immediately but shrinks only after a delay,
    /// because peers may not have received the change yet.
    pub fn set_view(&mut self, now: Time, view: &View, settings: &Settings) {
        self.accrue_credit(now, settings);
        let listed = view.peers().len();
        if listed >= self.listed_vms
            || now >= self.listed_vms_at + settings.settle * VM_COUNT_HOLD_FACTOR
        {
            self.listed_vms = listed;
            self.listed_vms_at = now;
        }
        let is_self = |peer: &wire::view::Peer| peer.incarnation.vm == self.me.vm;
        self.position = view.peers().iter().position(is_self).unwrap_or(usize::MAX);
        self.holder = view.owner(&self.store.id).cloned();
        if self.lent_to.as_ref().is_some_and(|to| !view.knows(to)) {
            self.lent_to = None;
            self.rate_lent_until = self.rate_lent_until.min(now);
        }
        if !self.is_holder() {
            self.peer_demands.clear();
        }
    }

    /// Returns whether this node holds the budget according to its own view.
    pub fn is_holder(&self) -> bool {
        self.holder.as_ref() == Some(&self.me.vm)
    }

    /// Sets or clears the demand for the next load on `upstream`, which this node owns.
    pub fn set_demand(
        &mut self,
        upstream: &wire::Upstream,
        demand: Option<LoadDemand>,
        fx: &mut Effects,
    ) {
        let index = self
            .local_demands
            .iter()
            .position(|local| local.upstream == *upstream);
        match (index, demand) {
            (Some(index), Some(demand)) => {
                let local = &mut self.local_demands[index];
                local.priority_changed |= local.demand.priority != demand.priority;
                local.demand = demand;
            }
            (None, Some(demand)) => self.local_demands.push(LocalDemand {
                upstream: upstream.clone(),
                demand,
                sent: Vec::new(),
                priority_changed: false,
            }),
            (Some(index), None) => {
                let local = self.local_demands.swap_remove(index);
                if !local.sent.is_empty() {
                    self.send_ticket_return(&local.upstream, 0, fx);
                }
            }
            (None, None) => {}
        }
    }

    fn send_ticket_return(&self, upstream: &wire::Upstream, ticket: u64, fx: &mut Effects) {
        let Some(holder) = self.holder.as_ref().filter(|holder| **holder != self.me.vm) else {
            return;
        };
        let message = Message::TicketReturn {
            store: self.store.id.clone(),
            ticket,
            upstream: upstream.clone(),
        };
        fx.send(holder, message);
    }

    /// Gives the ticket of `upstream` back: its load has ended, or the ticket was not needed.
    pub fn finish_load(&mut self, upstream: &wire::Upstream, fx: &mut Effects) {
        let Some(index) = self
            .used_tickets
            .iter()
            .position(|used| used.upstream == *upstream)
        else {
            return;
        };
        let used = self.used_tickets.swap_remove(index);
        if used.issuer == self.me.vm {
            self.issued.retain(|issued| issued.ticket != used.ticket);
        } else {
            let message = Message::TicketReturn {
                store: self.store.id.clone(),
                ticket: used.ticket,
                upstream: used.upstream,
            };
            fx.send(&used.issuer, message);
        }
    }

    /// Drops the demand and the tickets of an upstream that this node no longer owns. The issuer
    /// counts a ticket whose load may still run until the ticket expires.
    pub fn abandon(&mut self, upstream: &wire::Upstream, fx: &mut Effects) {
        self.set_demand(upstream, None, fx);
        self.used_tickets.retain(|used| used.upstream != *upstream);
    }

    /// Returns whether something is in progress that depends on the passage of time.
    pub fn has_pending_work(&self) -> bool {
        !self.local_demands.is_empty() || !self.peer_demands.is_empty() || !self.borrowed.is_empty()
    }

    /// Returns whether `upstream` has a ticket that may still be used at `now`.
    pub fn has_valid_ticket(&self, now: Time, upstream: &str) -> bool {
        let used = self
            .used_tickets
            .iter()
            .find(|used| *used.upstream == *upstream);
        used.is_some_and(|used| now < used.until)
    }

    /// Issues tickets within the shares that this node may use and requests the rest from the
    /// holder. Appends each upstream of this node that may start a load now to `ready`.
    pub fn poll(
        &mut self,
        now: Time,
        settings: &Settings,
        view: &View,
        ready: &mut Vec<wire::Upstream>,
        fx: &mut Effects,
    ) {
        self.accrue_credit(now, settings);
        self.expire(now, settings);
        if !self.local_demands.is_empty() || !self.peer_demands.is_empty() {
            self.last_demand_at = Some(now);
        }
        let recent_demand = self
            .last_demand_at
            .is_some_and(|at| now < at + BORROW_AFTER_DEMAND);
        if self.is_holder() && recent_demand {
            self.request_shares(now, settings, view, fx);
        }
        while let Some(next) = self.next_demand(now, settings) {
            self.issue_ticket(now, settings, next, ready, fx);
        }
        if !self.is_holder() {
            self.request_tickets(now, settings, fx);
        }
    }

    /// Handles a peer's request for a ticket.
    pub fn receive_ticket_request(
        &mut self,
        now: Time,
        from: &Vm,
        upstream: wire::Upstream,
        number: RequestNumber,
        demand: LoadDemand,
    ) {
        let known = self
            .peer_demands
            .iter()
            .position(|peer| peer.from == *from && peer.upstream == upstream);
        if let Some(index) = known {
            if self.peer_demands[index].number > number {
                return;
            }
            self.peer_demands.swap_remove(index);
        }
        self.peer_demands.push(PeerDemand {
            from: from.clone(),
            upstream,
            demand,
            number,
            received_at: now,
        });
    }

    /// Handles a returned ticket; number zero withdraws the upstream's request.
    pub fn receive_ticket_return(&mut self, from: &Vm, upstream: &str, ticket: u64) {
        if ticket == 0 {
            self.peer_demands
                .retain(|peer| peer.from != *from || *peer.upstream != *upstream);
        }
        let same = |issued: &IssuedTicket| issued.ticket == ticket && *issued.upstream == *upstream;
        self.issued.retain(|issued| !same(issued));
    }

    /// Handles a ticket from the holder; returns whether the upstream may start its load now.
    pub fn receive_ticket(
        &mut self,
        now: Time,
        from: &Vm,
        message: Ticket,
        settings: &Settings,
        fx: &mut Effects,
    ) -> bool {
        let Ticket {
            store,
            upstream,
            number,
            ticket,
        } = message;
        if self.used_tickets.iter().any(|used| used.ticket == ticket) {
            return false;
        }
        let index = self
            .local_demands
            .iter()
            .position(|local| local.upstream == upstream);
        let sent = index.and_then(|index| {
            let sent = &self.local_demands[index].sent;
            sent.iter().find(|(sent, _)| *sent == number).copied()
        });
        let until = sent.map(|(_, at)| at + ticket_use_time(settings));
        let (Some(index), Some(until)) = (index, until.filter(|until| *until > now)) else {
            let message = Message::TicketReturn {
                store,
                ticket,
                upstream,
            };
            fx.send(from, message);
            return false;
        };
        self.local_demands.swap_remove(index);
        self.used_tickets.push(UsedTicket {
            upstream,
            ticket,
            issuer: from.clone(),
            until,
        });
        true
    }
}

/// Time from the request of a ticket within which its load must be ordered.
fn ticket_use_time(settings: &Settings) -> Duration {
    settings.resend * 2
}

/// Time after the issue of a ticket by which its load has ended.
fn ticket_lifetime(settings: &Settings) -> Duration {
    ticket_use_time(settings) + settings.order + settings.load + settings.drift
}
