//! An engine that holds its callers to the rules, and notes who breaks one.

use exchange::demand::Target;
use exchange::fleet::{Holding, Listing, Version};
use exchange::owner::{Answer, Order};
use wire::{Fence, Time, Upstream, Vm};

use super::super::support::{PLACES, ms};

/// Time of a load at full speed.
const LOAD: std::time::Duration = ms(250);

/// Time within which two nodes must not order in turn.
const LEASE: std::time::Duration = ms(3_000);

/// One engine.
pub struct Engine {
    pub id: Upstream,
    pub slow: u32,
    /// Whether it refuses old numbers.
    pub fenced: bool,
    born: u64,
    fence: Fence,
    based: bool,
    held: Vec<Target>,
    coming: Vec<(Target, Time)>,
    /// Adapters of the requests that run.
    running: Vec<Target>,
    /// Adapter that goes once its runs are over; no other order is taken until then.
    leaving: Option<Target>,
    /// Orders that were taken: when, by whom, under which number.
    log: Vec<(Time, Vm, Fence)>,
    /// When it took a lower number after a higher one.
    pub lowered: Vec<Time>,
    /// Orders that would have crashed it.
    pub overfilled: usize,
    /// Unloads of what was in use, and of what was not.
    pub unloads: (usize, usize),
}

impl Engine {
    pub fn new(id: &str, fenced: bool) -> Self {
        Self {
            id: id.into(),
            slow: 1,
            fenced,
            born: 1,
            fence: 0,
            based: true,
            held: Vec::new(),
            coming: Vec::new(),
            running: Vec::new(),
            leaving: None,
            log: Vec::new(),
            lowered: Vec::new(),
            overfilled: 0,
            unloads: (0, 0),
        }
    }

    pub fn listing(&self) -> Listing {
        let names = self
            .held
            .iter()
            .filter_map(|target| target.adapter.as_ref());
        let names: Vec<String> = names.map(ToString::to_string).collect();
        let mut listing = super::listed(&self.id, self.born, &names);
        if !self.based {
            listing.holdings.clear();
        }
        listing
    }

    pub fn crash(&mut self) {
        self.born += 1;
        self.fence = 0;
        self.based = false;
        self.held.clear();
        self.coming.clear();
        self.running.clear();
        self.leaving = None;
    }

    fn pass(&mut self, now: Time) {
        let (done, coming) = std::mem::take(&mut self.coming)
            .into_iter()
            .partition(|(_, end)| *end <= now);
        self.coming = coming;
        for (target, _) in done {
            if target.adapter.is_none() {
                self.based = true;
            } else {
                self.held.push(target);
            }
        }
    }

    /// Begins a request where its adapter is there.
    pub fn begin(&mut self, now: Time, target: &Target) -> bool {
        self.pass(now);
        let here =
            self.based && self.held.contains(target) && self.leaving.as_ref() != Some(target);
        if here {
            self.running.push(target.clone());
        }
        here
    }

    pub fn end(&mut self, target: &Target) {
        if let Some(index) = self.running.iter().position(|running| running == target) {
            self.running.swap_remove(index);
        }
        if let Some(leaving) = self
            .leaving
            .take_if(|leaving| !self.running.contains(leaving))
        {
            self.held.retain(|held| *held != leaving);
        }
    }

    pub fn order(&mut self, now: Time, from: &Vm, fence: Fence, order: &Order) -> Answer {
        self.pass(now);
        if fence < self.fence {
            if self.fenced {
                return Answer::Fenced;
            }
            self.lowered.push(now);
        }
        self.fence = self.fence.max(fence);
        self.log.push((now, from.clone(), fence));
        let target = order.target();
        let coming = self.coming.iter().any(|(coming, _)| coming == target);
        match order {
            Order::Load(..) | Order::Confirm(..) if target.adapter.is_none() => {
                if self.based {
                    return Answer::Done;
                }
                if !coming {
                    self.coming.push((target.clone(), now + LOAD * 4));
                }
                Answer::Accepted
            }
            _ if !self.based => Answer::Unfit,
            Order::Load(..) | Order::Confirm(..) if self.held.contains(target) => Answer::Done,
            Order::Load(..) | Order::Confirm(..) if coming => Answer::Accepted,
            _ if self.leaving.is_some() => Answer::Busy,
            Order::Load(..) | Order::Confirm(..) => {
                if self.held.len() + self.coming.len() >= PLACES {
                    self.overfilled += 1;
                }
                let end = now + LOAD * self.slow;
                self.coming.push((target.clone(), end));
                Answer::Accepted
            }
            Order::Unload(_) if self.running.contains(target) => {
                self.unloads.0 += 1;
                self.leaving = Some(target.clone());
                Answer::Accepted
            }
            Order::Unload(_) => {
                self.unloads.1 += 1;
                self.held.retain(|held| held != target);
                Answer::Done
            }
        }
    }

    #[allow(clippy::type_complexity, reason = "the report's own parts")]
    pub fn report(&mut self, now: Time) -> (Vec<Holding>, Vec<(Target, Option<Version>, Time)>) {
        self.pass(now);
        let coming = self.coming.iter();
        let coming = coming.map(|(target, _)| (target.clone(), None, now + LOAD));
        (self.listing().holdings, coming.collect())
    }

    /// Returns the numbers that two nodes used alike.
    pub fn shared_numbers(&self) -> Vec<Fence> {
        let shared = |(_, vm, fence): &&(Time, Vm, Fence)| {
            self.log
                .iter()
                .any(|(_, other, used)| used == fence && other != vm)
        };
        self.log
            .iter()
            .filter(shared)
            .map(|entry| entry.2)
            .collect()
    }

    /// Returns when a node ordered again after another one, within the lease.
    pub fn turns(&self) -> Vec<Time> {
        let mut turns = Vec::new();
        for (index, (at, vm, _)) in self.log.iter().enumerate() {
            let before = self.log[..index].iter().rev();
            let recent = before.take_while(|(then, _, _)| *at < *then + LEASE);
            let mut other = false;
            for (_, who, _) in recent {
                if who != vm {
                    other = true;
                } else if other {
                    turns.push(*at);
                    break;
                }
            }
        }
        turns
    }
}
