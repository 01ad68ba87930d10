//! Slots, leases, loads and evictions of one upstream that this node owns.
//!
//! [`slot`] says when an instance may go, [`queue`] orders the models that wait, `load` picks what
//! is loaded and what goes for it, `outcome` takes the ends of orders, and `takeover` takes the
//! instances of earlier owners on. The owner evicts only what it loaded itself or has
//! adopted, and it grants leases on nothing else, so that two nodes that both believe to own an
//! upstream share its slots without touching each other's instances.

mod load;
mod outcome;
pub mod queue;
pub mod slot;
mod takeover;

use std::collections::HashMap;
use std::time::Duration;

use wire::{Fence, Incarnation, Lease, Model, Time};

use crate::action::Note;
use crate::demand::DecayingRate;
use crate::event::{Failure, Instance, Upstream, UpstreamState, WeightsPath};
use crate::fence::FenceCounter;
use crate::message::{Denial, EngineLoad, Grant, LeaseRequest, Message};
use crate::planner::Effects;
use crate::settings::Settings;

use queue::Queue;
use slot::{Slot, SlotState};

/// Longest pause after repeated failures of a load, in multiples of the first.
const BACKOFF_MOST: u32 = 64;

/// Most models whose popularity is handed over.
const POPULAR: usize = 64;

/// A model whose load failed.
#[derive(Clone, Debug)]
struct Pause {
    model: Model,
    until: Time,
    length: Duration,
}

/// A model's popularity on this upstream.
#[derive(Clone, Debug)]
struct Known {
    rate: DecayingRate,
    path: WeightsPath,
}

/// What an outcome of an order means for the store's ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ticket {
    /// The ticket is still in use, or none was.
    Keep,
    /// The load is over, or there will be none.
    Finish,
}

/// One upstream as its owner sees it.
#[derive(Clone, Debug)]
pub struct Owner {
    me: Incarnation,
    facts: Upstream,
    claim: Fence,
    fences: FenceCounter,
    refused: Fence,
    since: Time,
    boot: Option<u64>,
    reported: Option<Time>,
    changed: Time,
    answered: Vec<Incarnation>,
    doomed: Vec<Instance>,
    adopted: bool,
    slots: Vec<Slot>,
    queue: Queue,
    known: HashMap<Model, Known>,
    pauses: Vec<Pause>,
    ticketed: bool,
    prefetch: Option<(Model, WeightsPath)>,
    looked: Time,
    carried: Option<(u32, Time)>,
    used: u32,
    leases: Lease,
    interval: Duration,
    loaded: Option<Time>,
}

impl Owner {
    /// Makes the owner of an upstream of which nothing is known but that claims and orders up to
    /// `shown` exist.
    pub fn new(now: Time, me: Incarnation, facts: Upstream, shown: Fence) -> Self {
        let mut fences = FenceCounter::default();
        fences.observe(shown);
        let claim = fences.advance();
        Self {
            me,
            facts,
            claim,
            fences,
            refused: 0,
            since: now,
            boot: None,
            reported: None,
            changed: now,
            answered: Vec::new(),
            doomed: Vec::new(),
            adopted: false,
            slots: Vec::new(),
            queue: Queue::default(),
            known: HashMap::new(),
            pauses: Vec::new(),
            ticketed: false,
            prefetch: None,
            looked: now,
            carried: None,
            used: 0,
            leases: 0,
            interval: Duration::ZERO,
            loaded: None,
        }
    }

    /// Returns the upstream's facts.
    pub const fn upstream(&self) -> &Upstream {
        &self.facts
    }

    /// Returns the number of the ownership.
    pub const fn claim(&self) -> Fence {
        self.claim
    }

    /// Returns the highest number that was given or shown.
    pub const fn shown(&self) -> Fence {
        self.fences.last()
    }

    /// Takes note of a number that the engine has shown, so that the next order exceeds it.
    pub fn raise(&mut self, shown: Fence) {
        self.fences.observe(shown);
        self.refused = self.refused.max(shown);
    }

    /// Makes a claim above `shown`, which every peer has to answer anew. The instances stay this
    /// owner's: another one takes them on only with this node's answer to its claim.
    pub fn claim_above(&mut self, shown: Fence) -> Fence {
        self.fences.observe(shown);
        self.claim = self.fences.advance();
        self.answered.clear();
        self.adopted = false;
        self.claim
    }

    /// Takes the engine's report of its load, made at `made`.
    pub fn report(&mut self, sequences: u32, made: Time) {
        if self.carried.is_none_or(|(_, last)| last <= made) {
            self.carried = Some((sequences, made));
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

    /// Returns how many models' popularity is remembered.
    pub fn known(&self) -> usize {
        self.known.len()
    }

    /// Takes new facts.
    pub fn update(&mut self, facts: Upstream) {
        self.facts = facts;
    }

    /// Tells whether something is under way for which time matters.
    pub fn busy(&self) -> bool {
        let quiet = |slot: &Slot| slot.state == SlotState::Ready;
        !self.queue.entries().is_empty() || self.ticketed || !self.slots.iter().all(quiet)
    }

    /// Takes a holder's ask.
    pub fn ask(
        &mut self,
        now: Time,
        from: &Incarnation,
        ask: LeaseRequest,
        settings: &Settings,
        fx: &mut Effects,
    ) {
        self.count(now, &ask, ask.served, settings);
        if self.facts.state != UpstreamState::Live {
            return deny(from, &ask, Denial::Leaving, Duration::ZERO, fx);
        }
        if let Some(slot) = self.ready(&ask.model) {
            if ask.waiting > 0 && self.slots[slot].leases.iter().all(|r| r.holder != *from) {
                self.count(now, &ask, ask.waiting, settings);
            }
            return self.grant(now, slot, from, &ask, settings, fx);
        }
        let Some(path) = ask.path.clone() else {
            return deny(from, &ask, Denial::Moved, Duration::ZERO, fx);
        };
        if let Some(pause) = self.pauses.iter().find(|p| p.model == ask.model)
            && pause.until > now
        {
            return deny(from, &ask, Denial::Failed, pause.until - now, fx);
        }
        let wait = self.wait(&ask);
        if wait > ask.remaining {
            self.queue.withdraw(&ask.model, from, ask.number);
            return deny(from, &ask, Denial::Busy, wait - ask.remaining, fx);
        }
        let added = self.queue.push(now, from, &ask, path);
        self.count(now, &ask, added, settings);
        let queued = Message::Queued {
            upstream: self.facts.id.clone(),
            model: ask.model,
        };
        fx.send(&from.vm, queued);
    }

    /// Estimates how long a new entry would wait behind those ahead of it.
    fn wait(&self, ask: &LeaseRequest) -> Duration {
        if self.queue.contains(&ask.model) {
            return Duration::ZERO;
        }
        let ahead = self.queue.ahead(ask.priority);
        self.interval * u32::try_from(ahead).unwrap_or(u32::MAX)
    }

    fn count(&mut self, now: Time, ask: &LeaseRequest, requests: u32, settings: &Settings) {
        if requests == 0 {
            return;
        }
        if let Some(known) = self.known.get_mut(&ask.model) {
            known.rate.record(now, requests, settings.half_life);
        } else if let Some(path) = &ask.path {
            let mut rate = DecayingRate::default();
            rate.record(now, requests, settings.half_life);
            let path = path.clone();
            self.known.insert(ask.model.clone(), Known { rate, path });
        }
    }

    fn ready(&self, model: &Model) -> Option<usize> {
        let usable = |slot: &Slot| {
            let named = slot.model.as_ref() == Some(model);
            named && slot.state == SlotState::Ready && !slot.doomed
        };
        self.slots.iter().position(usable)
    }

    fn grant(
        &mut self,
        now: Time,
        slot: usize,
        from: &Incarnation,
        ask: &LeaseRequest,
        settings: &Settings,
        fx: &mut Effects,
    ) {
        let until = now + settings.lease;
        let slot = &mut self.slots[slot];
        let lease = slot.grant(from, until, ask.number, &mut self.leases);
        let grant = Grant {
            upstream: self.facts.id.clone(),
            model: ask.model.clone(),
            number: ask.number,
            claim: self.claim,
            lease,
            instance: slot.instance.clone(),
            fence: slot.fence,
            engine_load: self.carried.map(|(sequences, made)| EngineLoad {
                sequences,
                busy_instances: self.used,
                age: now.saturating_sub(made),
            }),
            head_start: slot.head_start(now),
        };
        fx.send(&from.vm, Message::Grant(grant));
    }

    /// Takes a holder's release: it neither waits for the model nor uses it.
    pub fn release(&mut self, from: &Incarnation, model: &Model, number: u64) {
        self.queue.withdraw(model, from, number);
        for slot in &mut self.slots {
            if slot.model.as_ref() == Some(model) {
                slot.release(from, number);
            }
        }
    }

    /// Does what is due: waiters and orders whose time is up, waiters that cannot be served.
    pub fn tick(&mut self, now: Time, settings: &Settings, fx: &mut Effects) -> Ticket {
        self.queue.expire(now);
        self.pauses.retain(|pause| pause.until + pause.length > now);
        let ticket = self.overdue(now, settings, fx);
        self.look_ahead(now, settings);
        let stuck = !self.loading() && !self.slot(now, settings);
        if stuck {
            self.turn_away(now, settings, fx);
        }
        ticket
    }

    /// Moves waiters on that have waited for long while no slot can be had.
    fn turn_away(&mut self, now: Time, settings: &Settings, fx: &mut Effects) {
        let late: Vec<Model> = self
            .queue
            .entries()
            .iter()
            .filter(|entry| now >= entry.asked() + settings.gather + settings.silence)
            .map(|entry| entry.model.clone())
            .collect();
        for model in late {
            self.dismiss(&model, Denial::Busy, settings.silence, fx);
        }
    }

    fn dismiss(&mut self, model: &Model, denial: Denial, after: Duration, fx: &mut Effects) {
        let Some(entry) = self.queue.take(model) else {
            return;
        };
        for waiter in &entry.waiters {
            let message = Message::Deny {
                upstream: self.facts.id.clone(),
                model: model.clone(),
                number: waiter.number,
                denial,
                retry_after: after,
            };
            fx.send(&waiter.holder.vm, message);
        }
    }

    fn overdue(&mut self, now: Time, settings: &Settings, fx: &mut Effects) -> Ticket {
        let mut ticket = Ticket::Keep;
        let mut failed = Vec::new();
        for slot in &mut self.slots {
            match slot.state {
                SlotState::Loading { deadline, .. } if now >= deadline => {
                    slot.state = SlotState::Unknown {
                        after: now + settings.report_lag,
                    };
                    ticket = Ticket::Finish;
                    failed.extend(slot.model.clone());
                }
                SlotState::Evicting { deadline, .. } if now >= deadline => {
                    slot.state = SlotState::Unknown {
                        after: now + settings.report_lag,
                    };
                    slot.doomed = true;
                    ticket = Ticket::Finish;
                }
                _ => {}
            }
        }
        for model in failed {
            self.fail(now, &model, Failure::Unknown, settings, fx);
        }
        if ticket == Ticket::Finish {
            self.ticketed = false;
        }
        ticket
    }

    fn fail(
        &mut self,
        now: Time,
        model: &Model,
        failure: Failure,
        settings: &Settings,
        fx: &mut Effects,
    ) {
        let index = self.pauses.iter().position(|pause| pause.model == *model);
        let before = index.map(|index| self.pauses.swap_remove(index).length);
        let most = settings.backoff * BACKOFF_MOST;
        let length = before.map_or(settings.backoff, |length| (length * 2).min(most));
        self.pauses.push(Pause {
            model: model.clone(),
            until: now + length,
            length,
        });
        fx.note(Note::Failed {
            upstream: self.facts.id.clone(),
            model: model.clone(),
            failure,
            pause: length,
        });
        self.dismiss(model, Denial::Failed, length, fx);
    }

    /// Ends the ownership: all who wait are sent on. The instances stay known, for the answer to
    /// the next owner's claim.
    pub fn retire(&mut self, fx: &mut Effects) {
        let models: Vec<Model> = self
            .queue
            .entries()
            .iter()
            .map(|e| e.model.clone())
            .collect();
        for model in models {
            self.dismiss(&model, Denial::Moved, Duration::ZERO, fx);
        }
        self.ticketed = false;
    }

    /// Takes a popularity that was announced or handed over, where it exceeds what is known.
    pub fn expect(
        &mut self,
        now: Time,
        model: &Model,
        path: &WeightsPath,
        rate: f32,
        s: &Settings,
    ) {
        let known = self.known.get(model);
        if known.is_none_or(|known| known.rate.long_term(now, s.half_life) < rate) {
            let rate = DecayingRate::from_rate(now, rate, s.half_life);
            let path = path.clone();
            self.known.insert(model.clone(), Known { rate, path });
        }
    }

    /// Forgets models whose popularity has decayed to nothing.
    pub fn sweep(&mut self, now: Time, settings: &Settings) {
        let forget = settings.half_life * 8;
        self.known
            .retain(|_, known| now.saturating_sub(known.rate.last_update()) < forget);
    }
}

fn deny(from: &Incarnation, ask: &LeaseRequest, denial: Denial, after: Duration, fx: &mut Effects) {
    let message = Message::Deny {
        upstream: ask.upstream.clone(),
        model: ask.model.clone(),
        number: ask.number,
        denial,
        retry_after: after,
    };
    fx.send(&from.vm, message);
}
