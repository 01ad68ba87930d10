//! Waiting requests of one pool and priority, in fair shares between callers.
//!
//! Shares are kept by start-time fair queueing (Goyal, Vin and Cheng, 1996): a request's start
//! tag is the later of the virtual time and its caller's last finish tag, requests go by start
//! tag, and the virtual time is the start tag of the last one that went. Every request costs one
//! and callers weigh the same, so tags are whole numbers.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use wire::{Caller, Request, Time};

/// A waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Ticket {
    pub request: Request,
    /// Start tag.
    pub tag: u64,
    /// Position among all arrivals, which decides ties.
    pub order: u64,
    pub arrived: Time,
}

/// The waiting requests of one caller.
#[derive(Debug, Default)]
struct Flow {
    queue: VecDeque<Ticket>,
    /// Finish tag of the last request that joined.
    finish: u64,
    /// Whether the caller is at its concurrency limit.
    parked: bool,
}

/// A waiting request in the order of turns.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Turn {
    pub ticket: Ticket,
    /// Whether the caller's concurrency limit holds it back.
    pub parked: bool,
}

#[derive(Debug, Default)]
pub(crate) struct Class {
    /// Flows of callers that have requests waiting, or running somewhere.
    flows: BTreeMap<Caller, Flow>,
    /// First tickets of the flows that may go, by tag and order.
    ready: BTreeSet<(u64, u64, Caller)>,
    /// Times of arrival of all that wait.
    arrivals: BTreeSet<(Time, u64)>,
    virtual_time: u64,
}

impl Class {
    /// Returns how many requests wait.
    pub(crate) fn len(&self) -> usize {
        self.arrivals.len()
    }

    /// Returns how many requests wait that no concurrency limit holds back.
    pub(crate) fn active(&self) -> usize {
        self.active_flows().map(|flow| flow.queue.len()).sum()
    }

    fn active_flows(&self) -> impl Iterator<Item = &Flow> {
        self.flows.values().filter(|flow| !flow.parked)
    }

    /// Returns when the longest waiting request arrived.
    pub(crate) fn oldest(&self) -> Option<Time> {
        self.arrivals.first().map(|(arrived, _)| *arrived)
    }

    /// Adds a request; `parked` tells that its caller may not run more now.
    pub(crate) fn push(
        &mut self,
        caller: &Caller,
        request: Request,
        order: u64,
        arrived: Time,
        parked: bool,
    ) {
        let tag = self.next_tag(caller);
        let flow = self.flows.entry(caller.clone()).or_default();
        flow.finish = tag + 1;
        flow.queue.push_back(Ticket {
            request,
            tag,
            order,
            arrived,
        });
        self.arrivals.insert((arrived, order));
        self.park(caller, parked);
    }

    /// Returns the start tag that the caller's next request would get.
    fn next_tag(&self, caller: &Caller) -> u64 {
        let finish = self.flows.get(caller).map_or(0, |flow| flow.finish);
        finish.max(self.virtual_time)
    }

    /// Tells whether a request may go.
    pub(crate) fn is_ready(&self) -> bool {
        !self.ready.is_empty()
    }

    /// Takes out the first request of the caller whose turn it is.
    pub(crate) fn pop(&mut self) -> Option<(Caller, Request)> {
        let (_, _, caller) = self.ready.pop_first()?;
        let flow = self.flows.get_mut(&caller)?;
        let first = flow.queue.pop_front()?;
        if let Some(next) = flow.queue.front() {
            self.ready.insert((next.tag, next.order, caller.clone()));
        }
        self.arrivals.remove(&(first.arrived, first.order));
        self.virtual_time = self.virtual_time.max(first.tag);
        Some((caller, first.request))
    }

    /// Takes a request out, wherever it stands. Those of its caller behind it move up to the
    /// tags before theirs, so that nothing is charged for it.
    pub(crate) fn remove(&mut self, caller: &Caller, request: Request) {
        let Some(flow) = self.flows.get_mut(caller) else {
            return;
        };
        let Some(index) = flow
            .queue
            .iter()
            .position(|ticket| ticket.request == request)
        else {
            return;
        };
        let head = flow.queue[0];
        let Some(gone) = flow.queue.remove(index) else {
            return;
        };
        let mut tag = gone.tag;
        for ticket in flow.queue.range_mut(index..) {
            std::mem::swap(&mut tag, &mut ticket.tag);
        }
        flow.finish = flow.queue.back().map_or(gone.tag, |last| last.tag + 1);
        self.arrivals.remove(&(gone.arrived, gone.order));
        self.ready.remove(&(head.tag, head.order, caller.clone()));
        let parked = flow.parked;
        self.park(caller, parked);
    }

    /// Drops the flow of a caller that has nothing waiting.
    pub(crate) fn forget(&mut self, caller: &Caller) {
        if self.own(caller) == 0 {
            self.flows.remove(caller);
        }
    }

    /// Lets a caller's requests go, or holds them back.
    pub(crate) fn park(&mut self, caller: &Caller, parked: bool) {
        let Some(flow) = self.flows.get_mut(caller) else {
            return;
        };
        flow.parked = parked;
        if let Some(head) = flow.queue.front() {
            let key = (head.tag, head.order, caller.clone());
            if parked {
                self.ready.remove(&key);
            } else {
                self.ready.insert(key);
            }
        }
    }

    /// Returns how many waiting requests go before the next one of `caller`.
    pub(crate) fn ahead(&self, caller: &Caller) -> usize {
        let tag = self.next_tag(caller);
        let before = |flow: &Flow| flow.queue.partition_point(|ticket| ticket.tag <= tag);
        self.active_flows().map(before).sum()
    }

    /// Returns how many requests of `caller` wait.
    pub(crate) fn own(&self, caller: &Caller) -> usize {
        self.flows.get(caller).map_or(0, |flow| flow.queue.len())
    }

    /// Returns how many requests of `caller` wait that arrived before the one numbered `order`.
    pub(crate) fn own_before(&self, caller: &Caller, order: u64) -> usize {
        let queue = self.flows.get(caller).map(|flow| &flow.queue);
        queue.map_or(0, |queue| {
            queue.partition_point(|ticket| ticket.order < order)
        })
    }

    /// Returns every waiting request in the order of its turn.
    pub(crate) fn turns<'a>(&'a self) -> Vec<Turn> {
        let of = |flow: &'a Flow| {
            let parked = flow.parked;
            let tickets = flow.queue.iter().copied();
            tickets.map(move |ticket| Turn { ticket, parked })
        };
        let mut turns: Vec<Turn> = self.flows.values().flat_map(of).collect();
        turns.sort_unstable_by_key(|turn| (turn.ticket.tag, turn.ticket.order));
        turns
    }

    /// Returns the request whose turn is last.
    pub(crate) fn last(&self) -> Option<Request> {
        let tickets = self.flows.values().filter_map(|flow| flow.queue.back());
        let last = tickets.max_by_key(|ticket| (ticket.tag, ticket.order));
        last.map(|ticket| ticket.request)
    }

    /// Returns how many callers are remembered.
    pub(crate) fn callers(&self) -> usize {
        self.flows.len()
    }
}
