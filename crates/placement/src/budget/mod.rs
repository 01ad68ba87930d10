//! One weight store's rate and loads in flight, shared between the nodes of a region.
//!
//! Every listed VM has an equal share of the rate and of the loads in flight. The VM that comes
//! first in rendezvous order of the store's name holds the budget: its peers lend it their shares
//! for a short time, and it hands out tickets, one per load, by priority. A lender leaves its
//! share unused for longer than the borrower may use it, both by their own monotonic clocks (the
//! borrower counts from its ask, the lender from its answer), so that the sum never exceeds the
//! store's limits, whichever messages are lost and whoever is paused. Without contact each node
//! uses just its own share.

mod issue;
mod share;

use std::time::Duration;

use wire::{Incarnation, Priority, Time, View, Vm};

use crate::event::Store;
use crate::message::{Message, RequestNumber, Ticket};
use crate::planner::Effects;
use crate::settings::Settings;

/// Time for which the count of listed VMs does not shrink, in multiples of the settling time.
const LISTED_HOLD: u32 = 6;

/// Time after the last want for which the holder goes on borrowing.
const BORROW_FOR: Duration = Duration::from_secs(10);

/// Permits from which on some are reserved for urgent loads.
const RESERVE_FROM: u32 = 4;

/// What an upstream's owner wants loaded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadDemand {
    /// Its priority; `None` for a prefetch.
    pub priority: Option<Priority>,
    /// Requests that wait.
    pub waiting: u32,
    /// Time at which the oldest began to wait.
    pub since: Time,
}

impl LoadDemand {
    /// Returns the order of wants; the smaller goes first.
    ///
    /// Routine wants that have aged count as normal ones; nothing ages into urgent.
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

/// A ticket that this node may use or uses for a load.
#[derive(Clone, Debug, PartialEq)]
struct Used {
    upstream: wire::Upstream,
    ticket: u64,
    issuer: Vm,
    until: Time,
}

/// A want of an upstream that this node owns.
#[derive(Clone, Debug)]
struct Mine {
    upstream: wire::Upstream,
    want: LoadDemand,
    sent: Vec<(RequestNumber, Time)>,
    changed: bool,
}

/// A want that a peer asked about.
#[derive(Clone, Debug)]
struct Theirs {
    from: Vm,
    upstream: wire::Upstream,
    want: LoadDemand,
    number: RequestNumber,
    at: Time,
}

/// A share lent to this node.
#[derive(Clone, Debug)]
struct Lent {
    by: Incarnation,
    permits: u32,
    until: Time,
}

/// A ticket that this node issued.
#[derive(Clone, Debug)]
struct Issued {
    ticket: u64,
    upstream: wire::Upstream,
    until: Time,
}

/// One store's budget as one node takes part in it.
#[derive(Clone, Debug)]
pub struct Budget {
    store: Store,
    me: Incarnation,
    born: Time,
    listed: usize,
    listed_at: Time,
    place: usize,
    holder: Option<Vm>,
    demanded: Option<Time>,
    credit: f64,
    counted: Time,
    lent_to: Option<Incarnation>,
    /// Who may still have loads in flight under this node's permits.
    permits_to: Option<Incarnation>,
    rate_free: Time,
    permits_free: Time,
    lent: Vec<Lent>,
    shares_asked: Vec<(RequestNumber, Time)>,
    issued: Vec<Issued>,
    asks: Vec<Theirs>,
    mine: Vec<Mine>,
    used: Vec<Used>,
    number: RequestNumber,
    tickets: u64,
}

impl Budget {
    /// Makes the budget of a process that started at `born`.
    pub fn new(store: Store, me: Incarnation, born: Time) -> Self {
        let tickets = wire::rank::weight(me.start, &me.vm);
        Self {
            store,
            me,
            born,
            listed: 0,
            listed_at: born,
            place: 0,
            holder: None,
            demanded: None,
            credit: 0.0,
            counted: born,
            lent_to: None,
            permits_to: None,
            rate_free: Time::ZERO,
            permits_free: Time::ZERO,
            lent: Vec::new(),
            shares_asked: Vec::new(),
            issued: Vec::new(),
            asks: Vec::new(),
            mine: Vec::new(),
            used: Vec::new(),
            number: 0,
            tickets,
        }
    }

    /// Returns the store's limits.
    pub const fn store(&self) -> &Store {
        &self.store
    }

    /// Returns the upstreams of this node that wait for a load.
    pub fn waiting_upstreams(&self) -> usize {
        self.mine.len()
    }

    /// Returns the loads that this node has allowed and that may still be in flight.
    pub fn issued_tickets(&self) -> usize {
        self.issued.len()
    }

    /// Takes new limits of the store.
    pub fn set_limits(&mut self, now: Time, store: Store, settings: &Settings) {
        self.count(now, settings);
        self.store = store;
    }

    /// Takes a new view. The count of listed VMs grows at once and shrinks late, since peers may
    /// not have heard of a change yet.
    pub fn set_view(&mut self, now: Time, view: &View, settings: &Settings) {
        self.count(now, settings);
        let listed = view.peers().len();
        if listed >= self.listed || now >= self.listed_at + settings.settle * LISTED_HOLD {
            self.listed = listed;
            self.listed_at = now;
        }
        let place = |peer: &wire::view::Peer| peer.incarnation.vm == self.me.vm;
        self.place = view.peers().iter().position(place).unwrap_or(usize::MAX);
        self.holder = view.owner(&self.store.id).cloned();
        if self.lent_to.as_ref().is_some_and(|to| !view.knows(to)) {
            self.lent_to = None;
            self.rate_free = self.rate_free.min(now);
        }
        if !self.is_holder() {
            self.asks.clear();
        }
    }

    /// Tells whether this node holds the budget, as it believes.
    pub fn is_holder(&self) -> bool {
        self.holder.as_ref() == Some(&self.me.vm)
    }

    /// Sets what the owner of `upstream` wants loaded next.
    pub fn set_demand(
        &mut self,
        upstream: &wire::Upstream,
        want: Option<LoadDemand>,
        fx: &mut Effects,
    ) {
        let index = self.mine.iter().position(|mine| mine.upstream == *upstream);
        match (index, want) {
            (Some(index), Some(want)) => {
                let mine = &mut self.mine[index];
                mine.changed |= mine.want.priority != want.priority;
                mine.want = want;
            }
            (None, Some(want)) => self.mine.push(Mine {
                upstream: upstream.clone(),
                want,
                sent: Vec::new(),
                changed: false,
            }),
            (Some(index), None) => {
                let mine = self.mine.swap_remove(index);
                if !mine.sent.is_empty() {
                    self.give_back(&mine.upstream, 0, fx);
                }
            }
            (None, None) => {}
        }
    }

    fn give_back(&self, upstream: &wire::Upstream, ticket: u64, fx: &mut Effects) {
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

    /// Notes that the load on `upstream` is over, or that its ticket was not needed.
    pub fn finish_load(&mut self, upstream: &wire::Upstream, fx: &mut Effects) {
        let Some(index) = self.used.iter().position(|used| used.upstream == *upstream) else {
            return;
        };
        let used = self.used.swap_remove(index);
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

    /// Forgets the wants and tickets of an upstream that this node no longer owns. A ticket whose
    /// load may still run stays counted by its issuer until its time is over.
    pub fn abandon(&mut self, upstream: &wire::Upstream, fx: &mut Effects) {
        self.set_demand(upstream, None, fx);
        self.used.retain(|used| used.upstream != *upstream);
    }

    /// Tells whether something is under way for which time matters.
    pub fn has_pending_work(&self) -> bool {
        !self.mine.is_empty() || !self.asks.is_empty() || !self.lent.is_empty()
    }

    /// Tells whether the ticket of `upstream` may still be used at `now`.
    pub fn has_valid_ticket(&self, now: Time, upstream: &str) -> bool {
        let used = self.used.iter().find(|used| *used.upstream == *upstream);
        used.is_some_and(|used| now < used.until)
    }

    /// Issues what may be issued, asks the holder for the rest, and appends each upstream of this
    /// node that may load now to `go`.
    pub fn poll(
        &mut self,
        now: Time,
        settings: &Settings,
        view: &View,
        go: &mut Vec<wire::Upstream>,
        fx: &mut Effects,
    ) {
        self.count(now, settings);
        self.expire(now, settings);
        if !self.mine.is_empty() || !self.asks.is_empty() {
            self.demanded = Some(now);
        }
        let wanted = self.demanded.is_some_and(|at| now < at + BORROW_FOR);
        if self.is_holder() && wanted {
            self.borrow(now, settings, view, fx);
        }
        while let Some(next) = self.next(now, settings) {
            self.issue(now, settings, next, go, fx);
        }
        if !self.is_holder() {
            self.ask(now, settings, fx);
        }
    }

    /// Takes a peer's ask for a ticket.
    pub fn receive_ticket_request(
        &mut self,
        now: Time,
        from: &Vm,
        upstream: wire::Upstream,
        number: RequestNumber,
        want: LoadDemand,
    ) {
        let found = self
            .asks
            .iter()
            .position(|ask| ask.from == *from && ask.upstream == upstream);
        if let Some(index) = found {
            if self.asks[index].number > number {
                return;
            }
            self.asks.swap_remove(index);
        }
        self.asks.push(Theirs {
            from: from.clone(),
            upstream,
            want,
            number,
            at: now,
        });
    }

    /// Takes a ticket back; zero withdraws the upstream's ask.
    pub fn receive_ticket_return(&mut self, from: &Vm, upstream: &str, ticket: u64) {
        if ticket == 0 {
            self.asks
                .retain(|ask| ask.from != *from || *ask.upstream != *upstream);
        }
        let same = |issued: &Issued| issued.ticket == ticket && *issued.upstream == *upstream;
        self.issued.retain(|issued| !same(issued));
    }

    /// Takes a ticket from the holder; returns whether the upstream may load now.
    pub fn receive_ticket(
        &mut self,
        now: Time,
        from: &Vm,
        leave: Ticket,
        settings: &Settings,
        fx: &mut Effects,
    ) -> bool {
        let Ticket {
            store,
            upstream,
            number,
            ticket,
        } = leave;
        if self.used.iter().any(|used| used.ticket == ticket) {
            return false;
        }
        let index = self.mine.iter().position(|mine| mine.upstream == upstream);
        let sent = index.and_then(|index| {
            let sent = &self.mine[index].sent;
            sent.iter().find(|(sent, _)| *sent == number).copied()
        });
        let until = sent.map(|(_, at)| at + use_time(settings));
        let (Some(index), Some(until)) = (index, until.filter(|until| *until > now)) else {
            let message = Message::TicketReturn {
                store,
                ticket,
                upstream,
            };
            fx.send(from, message);
            return false;
        };
        self.mine.swap_remove(index);
        self.used.push(Used {
            upstream,
            ticket,
            issuer: from.clone(),
            until,
        });
        true
    }
}

/// Time within which a ticket's load has to be ordered.
fn use_time(settings: &Settings) -> Duration {
    settings.resend * 2
}

/// Time after which a ticket's load is over at the latest.
fn ticket_life(settings: &Settings) -> Duration {
    use_time(settings) + settings.order + settings.load + settings.drift
}
