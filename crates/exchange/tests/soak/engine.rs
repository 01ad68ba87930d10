//! A simulated engine that enforces the rules for orders and records violations.

use exchange::demand::Target;
use exchange::fleet::{Holding, Listing, Version};
use exchange::owner::{Answer, Order};
use wire::{Fence, Time, Upstream, Vm};

use super::super::support::{ADAPTER_SLOTS, ms};

/// Load time at full speed.
const LOAD_TIME: std::time::Duration = ms(250);

/// Time within which two nodes must not alternate in giving orders.
const LEASE: std::time::Duration = ms(3_000);

/// A simulated engine.
pub struct Engine {
    pub id: Upstream,
    pub slowdown: u32,
    /// Whether it refuses outdated fencing tokens.
    pub fenced: bool,
    born: u64,
    /// Number of orders accepted since the start.
    pub orders: u64,
    fence: Fence,
    base_loaded: bool,
    resident: Vec<Target>,
    loading: Vec<(Target, Time)>,
    /// Adapters of the running requests, one entry per request.
    running: Vec<Target>,
    /// Adapter to unload once its requests have ended; no other order is accepted until then.
    unloading: Option<Target>,
    /// Accepted orders: time, sender and fencing token.
    order_log: Vec<(Time, Vm, Fence)>,
    /// Orders that arrived, refused ones included.
    arrivals: Vec<(Time, Vm, Fence)>,
    /// Orders that were refused since another node had ordered.
    refusals: Vec<(Time, Vm)>,
    /// When it accepted a lower token after a higher one.
    pub fence_regressions: Vec<Time>,
    /// Loads accepted without a free slot; they would have crashed a real engine.
    pub overfills: usize,
    /// Number of unloads of adapters in use, and of idle ones.
    pub unloads: (usize, usize),
}

impl Engine {
    pub fn new(id: &str, fenced: bool) -> Self {
        Self {
            id: id.into(),
            slowdown: 1,
            fenced,
            born: 1,
            orders: 0,
            fence: 0,
            base_loaded: true,
            resident: Vec::new(),
            loading: Vec::new(),
            running: Vec::new(),
            unloading: None,
            order_log: Vec::new(),
            arrivals: Vec::new(),
            refusals: Vec::new(),
            fence_regressions: Vec::new(),
            overfills: 0,
            unloads: (0, 0),
        }
    }

    pub fn listing(&self) -> Listing {
        let names = self
            .resident
            .iter()
            .filter_map(|target| target.adapter.as_ref());
        let names: Vec<String> = names.map(ToString::to_string).collect();
        let mut listing = super::listing_of(&self.id, self.born, &names);
        if !self.base_loaded {
            listing.holdings.clear();
        }
        listing
    }

    pub fn crash(&mut self) {
        self.born += 1;
        self.orders = 0;
        self.fence = 0;
        self.base_loaded = false;
        self.resident.clear();
        self.loading.clear();
        self.running.clear();
        self.unloading = None;
    }

    fn complete_loads(&mut self, now: Time) {
        let (done, coming) = std::mem::take(&mut self.loading)
            .into_iter()
            .partition(|(_, end)| *end <= now);
        self.loading = coming;
        for (target, _) in done {
            if target.adapter.is_none() {
                self.base_loaded = true;
            } else {
                self.resident.push(target);
            }
        }
    }

    /// Starts a request if its adapter is resident and not being unloaded.
    pub fn start_request(&mut self, now: Time, target: &Target) -> bool {
        self.complete_loads(now);
        let available = self.base_loaded
            && self.resident.contains(target)
            && self.unloading.as_ref() != Some(target);
        if available {
            self.running.push(target.clone());
        }
        available
    }

    pub fn end_request(&mut self, target: &Target) {
        if let Some(index) = self.running.iter().position(|running| running == target) {
            self.running.swap_remove(index);
        }
        if let Some(unloading) = self
            .unloading
            .take_if(|unloading| !self.running.contains(unloading))
        {
            self.resident.retain(|held| *held != unloading);
        }
    }

    /// Records that an order has arrived, whatever the answer to it will be.
    pub fn record_arrival(&mut self, now: Time, from: &Vm, fence: Fence) {
        self.arrivals.push((now, from.clone(), fence));
    }

    /// Carries out an order, unless it accepted another number of orders than `expected` before.
    pub fn order(
        &mut self,
        now: Time,
        from: &Vm,
        fence: Fence,
        order: &Order,
        expected: Option<u64>,
    ) -> Answer {
        self.complete_loads(now);
        if fence < self.fence && self.fenced {
            self.refusals.push((now, from.clone()));
            return Answer::Fenced;
        }
        if expected.is_some_and(|expected| expected != self.orders) {
            self.refusals.push((now, from.clone()));
            return Answer::Busy;
        }
        if fence < self.fence {
            self.fence_regressions.push(now);
        }
        self.fence = self.fence.max(fence);
        self.order_log.push((now, from.clone(), fence));
        let target = order.target();
        let coming = self.loading.iter().any(|(coming, _)| coming == target);
        match order {
            Order::Load(..) | Order::Confirm(..) if target.adapter.is_none() => {
                if self.base_loaded {
                    return Answer::Done;
                }
                if !coming {
                    self.orders += 1;
                    self.loading.push((target.clone(), now + LOAD_TIME * 4));
                }
                Answer::Accepted
            }
            _ if !self.base_loaded => Answer::Unfit,
            Order::Load(..) | Order::Confirm(..) if self.resident.contains(target) => Answer::Done,
            Order::Load(..) | Order::Confirm(..) if coming => Answer::Accepted,
            _ if self.unloading.is_some() => Answer::Busy,
            Order::Load(..) | Order::Confirm(..) => {
                if self.resident.len() + self.loading.len() >= ADAPTER_SLOTS {
                    self.overfills += 1;
                }
                self.orders += 1;
                let end = now + LOAD_TIME * self.slowdown;
                self.loading.push((target.clone(), end));
                Answer::Accepted
            }
            Order::Unload(_) if self.running.contains(target) => {
                self.orders += 1;
                self.unloads.0 += 1;
                self.unloading = Some(target.clone());
                Answer::Accepted
            }
            Order::Unload(_) => {
                self.orders += 1;
                self.unloads.1 += 1;
                self.resident.retain(|held| held != target);
                Answer::Done
            }
        }
    }

    #[allow(clippy::type_complexity, reason = "the parts of a report")]
    pub fn report(&mut self, now: Time) -> (Vec<Holding>, Vec<(Target, Option<Version>, Time)>) {
        self.complete_loads(now);
        let coming = self.loading.iter();
        let coming = coming.map(|(target, _)| (target.clone(), None, now + LOAD_TIME));
        (self.listing().holdings, coming.collect())
    }

    /// Returns the fencing tokens that two nodes both used.
    pub fn shared_fences(&self) -> Vec<Fence> {
        let shared = |(_, vm, fence): &&(Time, Vm, Fence)| {
            self.order_log
                .iter()
                .any(|(_, other, used)| used == fence && other != vm)
        };
        self.order_log
            .iter()
            .filter(shared)
            .map(|entry| entry.2)
            .collect()
    }

    /// Returns when a node gave an order again after another node had, within the lease.
    pub fn alternations(&self) -> Vec<Time> {
        turns(&self.order_log)
    }

    /// Returns the number of orders that were refused since another node had ordered, and the times at which their
    /// senders ordered again within the lease.
    pub fn refusals(&self) -> (usize, Vec<Time>) {
        let again = |(refused, vm): &(Time, Vm)| {
            let later = self.arrivals.iter().filter(|(at, ..)| at > refused);
            let mut later = later.filter(|(_, sender, _)| sender == vm);
            let next = later.next().map(|(at, ..)| *at);
            next.filter(|at| *at < *refused + LEASE)
        };
        let again = self.refusals.iter().filter_map(again).collect();
        (self.refusals.len(), again)
    }

    /// Returns when the first order arrived from `after` on.
    pub fn first_arrival(&self, after: Time) -> Option<Time> {
        let arrived = self.arrivals.iter().find(|(at, ..)| *at >= after);
        arrived.map(|(at, ..)| *at)
    }

    /// Like [`Self::alternations`], for all orders that arrived, also those that were refused.
    pub fn arrival_turns(&self) -> Vec<Time> {
        turns(&self.arrivals)
    }
}

/// Returns when a sender in `log` follows another one that has followed it, within the lease.
fn turns(log: &[(Time, Vm, Fence)]) -> Vec<Time> {
    let mut turns = Vec::new();
    for (index, (at, vm, _)) in log.iter().enumerate() {
        let before = log[..index].iter().rev();
        let recent = before.take_while(|(then, _, _)| *at < *then + LEASE);
        let mut other_between = false;
        for (_, sender, _) in recent {
            if sender != vm {
                other_between = true;
            } else if other_between {
                turns.push(*at);
                break;
            }
        }
    }
    turns
}
