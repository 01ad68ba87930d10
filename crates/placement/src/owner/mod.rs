//! Slots, leases, loads and evictions of one upstream that this node owns.
//!
//! - [`slot`] decides when an instance may be evicted.
//! - [`queue`] orders the models that wait for a load.
//! - `load` selects the next model to load and the instance to evict for it.
//! - `outcome` processes the outcomes of orders.
//! - `takeover` adopts the instances of earlier owners.
//!
//! The owner evicts and grants leases on only those instances that it loaded or adopted. If two
//! nodes both believe that they own an upstream, they share its slots without touching each
//! other's instances.

mod load;
mod outcome;
pub mod queue;
pub mod slot;
mod takeover;

use std::collections::HashMap;
use std::time::Duration;

use wire::{Fence, Incarnation, Lease, Model, Time, Vm};

use crate::action::Note;
use crate::demand::DecayingRate;
use crate::event::{Failure, Instance, Upstream, UpstreamState, WeightsPath};
use crate::fence::FenceCounter;
use crate::message::{Denial, EngineLoad, Grant, LeaseRequest, Message};
use crate::planner::Effects;
use crate::settings::Settings;

use queue::Queue;
use slot::{Slot, SlotState};

/// Maximum backoff after repeated failures of a load, as a multiple of the initial backoff.
const MAX_BACKOFF_FACTOR: u32 = 64;

/// Maximum number of models whose popularity is handed over to the next owner.
const MAX_HANDED_OVER_MODELS: usize = 64;

/// A model whose load failed and is not tried again before `until`.
///
/// It is kept for another `delay` after that, so that a new failure doubles the delay.
#[derive(Clone, Debug)]
struct Backoff {
    model: Model,
    until: Time,
    delay: Duration,
}

/// A model's popularity on this upstream.
#[derive(Clone, Debug)]
struct ModelDemand {
    rate: DecayingRate,
    path: WeightsPath,
}

/// Whether the upstream still needs its ticket of the weight store after an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TicketStatus {
    /// The ticket, if there is one, is still needed.
    Unchanged,
    /// The load has ended or will not start.
    Finished,
}

/// State of one upstream at its owner.
#[derive(Clone, Debug)]
pub struct Owner {
    me: Incarnation,
    upstream: Upstream,
    claim: Fence,
    fences: FenceCounter,
    /// Highest fencing number that the engine has reported.
    engine_fence: Option<Fence>,
    owned_since: Time,
    boot: Option<u64>,
    /// Time at which the engine made its last instance report.
    last_report: Option<Time>,
    last_unload: Time,
    /// Peers that have acknowledged the current claim.
    acknowledged_by: Vec<Incarnation>,
    /// Instances whose unload a former owner ordered.
    inherited_unloads: Vec<Instance>,
    adopted: bool,
    slots: Vec<Slot>,
    queue: Queue,
    demand: HashMap<Model, ModelDemand>,
    backoffs: Vec<Backoff>,
    has_ticket: bool,
    prefetch: Option<(Model, WeightsPath)>,
    last_prefetch_search: Time,
    /// Number of sequences in the engine's last load report, and the time of that report.
    reported_load: Option<(u32, Time)>,
    busy_instances: u32,
    last_lease: Lease,
    /// Moving average of the time between loads while several models are queued.
    load_interval: Duration,
    last_load: Option<Time>,
    /// Time by which the last order had to be written.
    last_write_by: Option<Time>,
    /// When the ownership ended.
    retired_at: Option<Time>,
    /// The node that was last told that the claim is given up, and when.
    given_up: Option<(Vm, Time)>,
}

impl Owner {
    /// Creates the owner of an upstream whose slots are unknown. Its claim and orders get numbers
    /// above `highest_fence`, the highest number known to be in use.
    pub fn new(now: Time, me: Incarnation, upstream: Upstream, highest_fence: Fence) -> Self {
        let mut fences = FenceCounter::new(&me);
        fences.observe(highest_fence);
        let claim = fences.advance();
        Self {
            me,
            upstream,
            claim,
            fences,
            engine_fence: None,
            owned_since: now,
            boot: None,
            last_report: None,
            last_unload: now,
            acknowledged_by: Vec::new(),
            inherited_unloads: Vec::new(),
            adopted: false,
            slots: Vec::new(),
            queue: Queue::default(),
            demand: HashMap::new(),
            backoffs: Vec::new(),
            has_ticket: false,
            prefetch: None,
            last_prefetch_search: now,
            reported_load: None,
            busy_instances: 0,
            last_lease: 0,
            load_interval: Duration::ZERO,
            last_load: None,
            last_write_by: None,
            retired_at: None,
            given_up: None,
        }
    }

    /// Returns the description of the upstream.
    pub const fn upstream(&self) -> &Upstream {
        &self.upstream
    }

    /// Returns the number of the claim under which this node owns the upstream.
    pub const fn claim(&self) -> Fence {
        self.claim
    }

    /// Returns the highest fencing number that was issued or observed.
    pub const fn highest_fence(&self) -> Fence {
        self.fences.last()
    }

    /// Returns whether an engine that has seen `fence` was given an order by another node since it last
    /// disclosed a number.
    pub const fn is_overtaken(&self, fence: Fence) -> bool {
        self.engine_fence.is_some() && fence > self.fences.last()
    }

    /// Records a fencing number that the engine has seen, so that the next order exceeds it.
    pub fn observe_fence(&mut self, fence: Fence) {
        self.fences.observe(fence);
        self.engine_fence = self.engine_fence.max(Some(fence));
    }

    /// Makes a claim above `fence`, which every peer has to acknowledge again.
    ///
    /// The instances stay with this owner: another node adopts them only after this node has
    /// acknowledged that node's claim.
    pub fn claim_above(&mut self, fence: Fence) -> Fence {
        self.fences.observe(fence);
        self.claim = self.fences.advance();
        self.acknowledged_by.clear();
        self.adopted = false;
        self.claim
    }

    /// Records the engine's load, as reported at `made`, unless a newer report is known.
    pub fn record_load(&mut self, sequences: u32, made: Time) {
        if self.reported_load.is_none_or(|(_, last)| last <= made) {
            self.reported_load = Some((sequences, made));
        }
    }

    /// Returns the slots in use.
    pub fn slots(&self) -> &[Slot] {
        &self.slots
    }

    /// Returns the models that wait for a load.
    pub const fn queue(&self) -> &Queue {
        &self.queue
    }

    /// Returns the number of models whose popularity is tracked.
    pub fn tracked_models(&self) -> usize {
        self.demand.len()
    }

    /// Replaces the description of the upstream.
    pub fn update_upstream(&mut self, upstream: Upstream) {
        self.upstream = upstream;
    }

    /// Returns whether the owner has pending work with time limits.
    pub fn busy(&self) -> bool {
        let settled = |slot: &Slot| slot.state == SlotState::Ready;
        !self.queue.entries().is_empty() || self.has_ticket || !self.slots.iter().all(settled)
    }

    /// Handles a holder's lease request: grants it, queues it for a load or denies it.
    pub fn handle_lease_request(
        &mut self,
        now: Time,
        from: &Incarnation,
        request: LeaseRequest,
        settings: &Settings,
        fx: &mut Effects,
    ) {
        self.record_demand(now, &request, request.served, settings);
        if self.upstream.state != UpstreamState::Live {
            return deny(from, &request, Denial::Leaving, Duration::ZERO, fx);
        }
        if let Some(slot) = self.ready_slot(&request.model) {
            if request.waiting > 0 && self.slots[slot].leases.iter().all(|r| r.holder != *from) {
                self.record_demand(now, &request, request.waiting, settings);
            }
            return self.grant(now, slot, from, &request, settings, fx);
        }
        let Some(path) = request.path.clone() else {
            return deny(from, &request, Denial::Moved, Duration::ZERO, fx);
        };
        if let Some(backoff) = self.backoffs.iter().find(|b| b.model == request.model)
            && backoff.until > now
        {
            return deny(from, &request, Denial::Failed, backoff.until - now, fx);
        }
        let wait = self.estimated_wait(&request);
        if wait > request.remaining {
            self.queue.withdraw(&request.model, from, request.number);
            return deny(from, &request, Denial::Busy, wait - request.remaining, fx);
        }
        let added = self.queue.upsert(now, from, &request, path);
        self.record_demand(now, &request, added, settings);
        let queued = Message::Queued {
            upstream: self.upstream.id.clone(),
            model: request.model,
        };
        fx.send(&from.vm, queued);
    }

    /// Estimates how long a new queue entry would wait behind the entries ahead of it.
    fn estimated_wait(&self, request: &LeaseRequest) -> Duration {
        if self.queue.contains(&request.model) {
            return Duration::ZERO;
        }
        let ahead = self.queue.count_ahead(request.priority);
        self.load_interval * u32::try_from(ahead).unwrap_or(u32::MAX)
    }

    fn record_demand(
        &mut self,
        now: Time,
        request: &LeaseRequest,
        requests: u32,
        settings: &Settings,
    ) {
        if requests == 0 {
            return;
        }
        if let Some(demand) = self.demand.get_mut(&request.model) {
            demand.rate.record(now, requests, settings.half_life);
        } else if let Some(path) = &request.path {
            let mut rate = DecayingRate::default();
            rate.record(now, requests, settings.half_life);
            let path = path.clone();
            self.demand
                .insert(request.model.clone(), ModelDemand { rate, path });
        }
    }

    /// Returns whether leases on the model can be granted without a load.
    pub fn is_ready(&self, model: &Model) -> bool {
        self.ready_slot(model).is_some()
    }

    fn ready_slot(&self, model: &Model) -> Option<usize> {
        let usable = |slot: &Slot| {
            let named = slot.model.as_ref() == Some(model);
            named && slot.state == SlotState::Ready && !slot.unload_pending
        };
        self.slots.iter().position(usable)
    }

    fn grant(
        &mut self,
        now: Time,
        slot: usize,
        from: &Incarnation,
        request: &LeaseRequest,
        settings: &Settings,
        fx: &mut Effects,
    ) {
        let until = now + settings.lease;
        let slot = &mut self.slots[slot];
        let lease = slot.grant(from, until, request.number, &mut self.last_lease);
        let grant = Grant {
            upstream: self.upstream.id.clone(),
            model: request.model.clone(),
            number: request.number,
            claim: self.claim,
            lease,
            instance: slot.instance.clone(),
            fence: slot.fence,
            engine_load: self.reported_load.map(|(sequences, made)| EngineLoad {
                sequences,
                busy_instances: self.busy_instances,
                age: now.saturating_sub(made),
            }),
            head_start: slot.head_start(now),
        };
        fx.send(&from.vm, Message::Grant(grant));
    }

    /// Releases the holder's lease on the model and withdraws it from the load queue.
    pub fn release(&mut self, from: &Incarnation, model: &Model, number: u64) {
        self.queue.withdraw(model, from, number);
        for slot in &mut self.slots {
            if slot.model.as_ref() == Some(model) {
                slot.release(from, number);
            }
        }
    }

    /// Does what is due: expires waiters and orders, and denies waiters that cannot be served.
    pub fn tick(&mut self, now: Time, settings: &Settings, fx: &mut Effects) -> TicketStatus {
        self.queue.expire(now);
        self.backoffs
            .retain(|backoff| backoff.until + backoff.delay > now);
        let ticket = self.expire_orders(now, settings, fx);
        self.choose_prefetch(now, settings);
        let stuck = !self.order_in_flight() && !self.slot_available(now, settings);
        if stuck {
            self.deny_stalled_waiters(now, settings, fx);
        }
        ticket
    }

    /// Denies waiters that have waited too long while no slot can be freed, so that they try
    /// another upstream.
    fn deny_stalled_waiters(&mut self, now: Time, settings: &Settings, fx: &mut Effects) {
        let stalled: Vec<Model> = self
            .queue
            .entries()
            .iter()
            .filter(|entry| now >= entry.first_enqueued_at() + settings.gather + settings.silence)
            .map(|entry| entry.model.clone())
            .collect();
        for model in stalled {
            self.deny_waiters(&model, Denial::Busy, settings.silence, fx);
        }
    }

    fn deny_waiters(&mut self, model: &Model, denial: Denial, after: Duration, fx: &mut Effects) {
        let Some(entry) = self.queue.remove(model) else {
            return;
        };
        for waiter in &entry.waiters {
            let message = Message::Deny {
                upstream: self.upstream.id.clone(),
                model: model.clone(),
                number: waiter.number,
                denial,
                retry_after: after,
            };
            fx.send(&waiter.holder.vm, message);
        }
    }

    fn expire_orders(&mut self, now: Time, settings: &Settings, fx: &mut Effects) -> TicketStatus {
        let mut ticket = TicketStatus::Unchanged;
        let mut failed = Vec::new();
        for slot in &mut self.slots {
            match slot.state {
                SlotState::Loading { deadline, .. } if now >= deadline => {
                    slot.state = SlotState::Unknown {
                        after: now + settings.report_lag,
                    };
                    ticket = TicketStatus::Finished;
                    failed.extend(slot.model.clone());
                }
                SlotState::Evicting { deadline, .. } if now >= deadline => {
                    slot.state = SlotState::Unknown {
                        after: now + settings.report_lag,
                    };
                    slot.unload_pending = true;
                    ticket = TicketStatus::Finished;
                }
                _ => {}
            }
        }
        for model in failed {
            self.back_off(now, &model, Failure::Unknown, settings, fx);
        }
        if ticket == TicketStatus::Finished {
            self.has_ticket = false;
        }
        ticket
    }

    fn back_off(
        &mut self,
        now: Time,
        model: &Model,
        failure: Failure,
        settings: &Settings,
        fx: &mut Effects,
    ) {
        let index = self
            .backoffs
            .iter()
            .position(|backoff| backoff.model == *model);
        let previous = index.map(|index| self.backoffs.swap_remove(index).delay);
        let max = settings.backoff * MAX_BACKOFF_FACTOR;
        let delay = previous.map_or(settings.backoff, |delay| (delay * 2).min(max));
        self.backoffs.push(Backoff {
            model: model.clone(),
            until: now + delay,
            delay,
        });
        fx.note(Note::Failed {
            upstream: self.upstream.id.clone(),
            model: model.clone(),
            failure,
            pause: delay,
        });
        self.deny_waiters(model, Denial::Failed, delay, fx);
    }

    /// Denies all waiters, who are told that nothing is ordered for `wait`.
    pub fn deny_all(&mut self, wait: Duration, fx: &mut Effects) {
        let models: Vec<Model> = self
            .queue
            .entries()
            .iter()
            .map(|e| e.model.clone())
            .collect();
        for model in models {
            self.deny_waiters(&model, Denial::Moved, wait, fx);
        }
    }

    /// Ends the ownership and denies all waiters, who are told that the next owner orders nothing for
    /// `wait`. The slots are kept for the acknowledgement of the next owner's claim.
    pub fn retire(&mut self, now: Time, wait: Duration, fx: &mut Effects) {
        self.deny_all(wait, fx);
        self.has_ticket = false;
        self.retired_at = Some(now);
    }

    /// Gives the claim up for good, as `peer` is told. Returns the time in which nothing was ordered, or
    /// `None` if nothing was ordered at all.
    pub fn give_up(&mut self, now: Time, peer: &Vm) -> Option<Duration> {
        self.given_up = Some((peer.clone(), now));
        self.quiet(now)
    }

    /// Returns the time since an order may have been written, or `None` if nothing was ordered.
    pub fn quiet(&self, now: Time) -> Option<Duration> {
        let retired_at = self.retired_at.unwrap_or(now);
        let last = self.last_write_by?.min(retired_at);
        Some(now.saturating_sub(last))
    }

    /// Returns whether another node was told that the claim is given up.
    pub const fn is_given_up(&self) -> bool {
        self.given_up.is_some()
    }

    /// Returns whether `peer` is to be told that the claim is given up: at first, and every `interval`
    /// in case that messages are lost, until the ownership ended `limit` ago.
    pub fn must_announce(&self, now: Time, peer: &Vm, interval: Duration, limit: Duration) -> bool {
        match &self.given_up {
            Some((told, at)) if told == peer => {
                now >= *at + interval && now < self.retired_at.unwrap_or(now) + limit
            }
            _ => true,
        }
    }

    /// Raises a model's popularity to a predicted or handed-over rate, if that exceeds the
    /// estimate.
    pub fn raise_demand(
        &mut self,
        now: Time,
        model: &Model,
        path: &WeightsPath,
        rate: f32,
        s: &Settings,
    ) {
        let demand = self.demand.get(model);
        if demand.is_none_or(|demand| demand.rate.long_term(now, s.half_life) < rate) {
            let rate = DecayingRate::from_rate(now, rate, s.half_life);
            let path = path.clone();
            self.demand
                .insert(model.clone(), ModelDemand { rate, path });
        }
    }

    /// Removes models whose popularity has decayed to almost zero.
    pub fn forget_unpopular(&mut self, now: Time, settings: &Settings) {
        let forget = settings.half_life * 8;
        self.demand
            .retain(|_, demand| now.saturating_sub(demand.rate.last_update()) < forget);
    }
}

fn deny(
    from: &Incarnation,
    request: &LeaseRequest,
    denial: Denial,
    after: Duration,
    fx: &mut Effects,
) {
    let message = Message::Deny {
        upstream: request.upstream.clone(),
        model: request.model.clone(),
        number: request.number,
        denial,
        retry_after: after,
    };
    fx.send(&from.vm, message);
}
