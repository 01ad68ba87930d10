//! Which model is loaded next, and which instance goes for it.

use std::time::Duration;

use wire::{Model, Time};

use super::slot::{Slot, SlotState};
use super::{Known, Owner, Ticket};
use crate::action::{Action, Note};
use crate::budget::LoadDemand;
use crate::event::UpstreamState;
use crate::fence::InstanceName;
use crate::planner::Effects;
use crate::settings::Settings;

/// Factor by which a prefetched model's rate must exceed that of the one that it displaces.
const PREFETCH_GAIN: f32 = 2.0;

/// Requests per second below which nothing is prefetched.
const PREFETCH_LEAST: f32 = 0.01;

/// Time between two searches for something to prefetch.
const LOOK_AHEAD: Duration = Duration::from_secs(1);

impl Owner {
    pub(super) fn loading(&self) -> bool {
        let moving = |slot: &Slot| {
            matches!(
                slot.state,
                SlotState::Loading { .. } | SlotState::Evicting { .. }
            )
        };
        self.slots.iter().any(moving)
    }

    pub(super) fn slot(&self, now: Time, settings: &Settings) -> bool {
        self.slots.len() < self.facts.slots || self.victim(now, settings).is_some()
    }

    /// Returns the instance whose next use is expected last, among those that nothing uses.
    pub(super) fn victim(&self, now: Time, settings: &Settings) -> Option<(usize, f32)> {
        let free = |(_, slot): &(usize, &Slot)| {
            let queued = slot.model.as_ref().is_some_and(|m| self.queue.contains(m));
            let wanted = queued && !slot.doomed;
            slot.model.is_some() && slot.free(settings) && !wanted
        };
        self.slots
            .iter()
            .enumerate()
            .filter(free)
            .map(|(index, slot)| (index, self.worth(now, slot, settings)))
            .min_by(|(_, a), (_, b)| a.total_cmp(b))
    }

    /// Returns the expected requests per second on an instance: the inverse of the time to its
    /// next use. One that gets no more leases is worth less than nothing.
    pub(super) fn worth(&self, now: Time, slot: &Slot, settings: &Settings) -> f32 {
        if slot.doomed {
            return -1.0;
        }
        let known = slot.model.as_ref().and_then(|model| self.known.get(model));
        known.map_or(0.0, |known| known.rate.long_term(now, settings.half_life))
    }

    /// Returns what should be loaded next, where a load may begin.
    pub fn next_load(&self, now: Time, settings: &Settings) -> Option<LoadDemand> {
        let quiet = self.facts.state != UpstreamState::Live || self.ticketed || self.loading();
        if quiet || !self.slot(now, settings) {
            return None;
        }
        if let Some(entry) = self.queue.best(now, settings) {
            return Some(entry.want());
        }
        if !self.queue.entries().is_empty() {
            return None;
        }
        self.prefetch.as_ref().map(|_| LoadDemand {
            priority: None,
            waiting: 0,
            since: now,
        })
    }

    /// Finds the most popular model that is not here, where it is worth a slot.
    pub(super) fn look_ahead(&mut self, now: Time, settings: &Settings) {
        if now < self.looked + LOOK_AHEAD {
            return;
        }
        self.looked = now;
        self.prefetch = None;
        if !self.queue.entries().is_empty() || self.loading() {
            return;
        }
        let displaced = if self.slots.len() < self.facts.slots {
            0.0
        } else if let Some((_, rate)) = self.victim(now, settings) {
            rate * PREFETCH_GAIN
        } else {
            return;
        };
        let here = |model: &Model| self.slots.iter().any(|s| s.model.as_ref() == Some(model));
        let paused = |model: &Model| self.pauses.iter().any(|p| p.model == *model);
        let rate = |known: &Known| known.rate.long_term(now, settings.half_life);
        let best = self
            .known
            .iter()
            .filter(|(model, _)| !here(model) && !paused(model))
            .max_by(|(x, a), (y, b)| rate(a).total_cmp(&rate(b)).then_with(|| y.cmp(x)));
        if let Some((model, known)) = best
            && rate(known) >= displaced.max(PREFETCH_LEAST)
        {
            self.prefetch = Some((model.clone(), known.path.clone()));
        }
    }

    /// Starts the load for which the store's budget gave a ticket; an instance goes first where no
    /// slot is free.
    pub fn start(&mut self, now: Time, settings: &Settings, fx: &mut Effects) -> Ticket {
        if self.loading() || self.want_none(now, settings) {
            self.ticketed = false;
            return Ticket::Finish;
        }
        self.ticketed = true;
        if self.slots.len() < self.facts.slots {
            return self.load(now, settings, fx);
        }
        let Some((index, rate)) = self.victim(now, settings) else {
            self.ticketed = false;
            return Ticket::Finish;
        };
        self.evict(now, index, rate, settings, fx);
        Ticket::Keep
    }

    pub(super) fn want_none(&self, now: Time, settings: &Settings) -> bool {
        self.queue.best(now, settings).is_none() && self.prefetch.is_none()
    }

    pub(super) fn evict(
        &mut self,
        now: Time,
        index: usize,
        rate: f32,
        settings: &Settings,
        fx: &mut Effects,
    ) {
        let fence = self.fences.advance();
        let deadline = now + settings.order * 2;
        let others = self.slots.iter().filter(|s| s.free(settings)).count();
        let slot = &mut self.slots[index];
        slot.leases.clear();
        slot.state = SlotState::Evicting {
            fence,
            write: now + settings.order,
            deadline,
        };
        if let Some(model) = slot.model.clone() {
            fx.note(Note::Evict {
                upstream: self.facts.id.clone(),
                model,
                rate: f64::from(rate),
                alternatives: others.saturating_sub(1),
            });
        }
        fx.push(Action::Unload {
            upstream: self.facts.id.clone(),
            instance: slot.instance.clone(),
            fence,
            deadline,
        });
    }

    pub(super) fn load(&mut self, now: Time, settings: &Settings, fx: &mut Effects) -> Ticket {
        let next = match self.queue.best(now, settings) {
            Some(entry) => Some((entry.model.clone(), entry.path.clone(), Some(entry.want()))),
            None => self.prefetch.take().map(|(m, p)| (m, p, None)),
        };
        let Some((model, path, want)) = next else {
            self.ticketed = false;
            return Ticket::Finish;
        };
        let fence = self.fences.advance();
        let name = InstanceName {
            model: model.clone(),
            loader: self.me.clone(),
            claim: self.claim,
            fence,
        };
        let deadline = now + settings.load;
        self.slots.push(Slot {
            model: Some(model.clone()),
            path: Some(path.clone()),
            instance: name.to_instance(),
            loader: Some(self.me.clone()),
            claim: self.claim,
            fence,
            state: SlotState::Loading {
                write: now + settings.order,
                deadline,
            },
            leases: Vec::new(),
            idle: None,
            ready: now,
            doomed: false,
            head_start: None,
        });
        self.measure(now);
        let since = want.map_or(now, |want| want.since);
        fx.note(Note::Load {
            upstream: self.facts.id.clone(),
            model: model.clone(),
            priority: want.and_then(|want| want.priority),
            waiting: want.map_or(0, |want| want.waiting),
            age: now.saturating_sub(since),
            alternatives: self.queue.entries().len().saturating_sub(1),
        });
        fx.push(Action::Load {
            upstream: self.facts.id.clone(),
            instance: name.to_instance(),
            model,
            path,
            fence,
            deadline,
        });
        Ticket::Keep
    }

    /// Measures the time between loads while there is a queue.
    pub(super) fn measure(&mut self, now: Time) {
        let last = self.loaded.replace(now);
        if self.queue.entries().len() < 2 {
            return;
        }
        if let Some(gap) = last.map(|last| now.saturating_sub(last)) {
            self.interval = (self.interval * 7 + gap) / 8;
        }
    }
}
