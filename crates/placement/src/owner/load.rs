//! Selection of the next model to load and of the instance to evict for it.

use std::time::Duration;

use wire::{Model, Time};

use super::slot::{Slot, SlotState};
use super::{ModelDemand, Owner, TicketStatus};
use crate::action::{Action, Note};
use crate::budget::LoadDemand;
use crate::event::UpstreamState;
use crate::fence::InstanceName;
use crate::planner::Effects;
use crate::settings::Settings;

/// Factor by which a prefetched model's request rate must exceed that of the model it replaces.
const PREFETCH_RATE_FACTOR: f32 = 2.0;

/// Minimum requests per second for a model to be prefetched.
const MIN_PREFETCH_RATE: f32 = 0.01;

/// Interval between searches for a model to prefetch.
const PREFETCH_SEARCH_INTERVAL: Duration = Duration::from_secs(1);

impl Owner {
    /// Returns whether a load or unload is in progress.
    pub(super) fn order_in_flight(&self) -> bool {
        let moving = |slot: &Slot| {
            matches!(
                slot.state,
                SlotState::Loading { .. } | SlotState::Evicting { .. }
            )
        };
        self.slots.iter().any(moving)
    }

    /// Returns whether a slot is empty or can be freed.
    pub(super) fn slot_available(&self, now: Time, settings: &Settings) -> bool {
        self.slots.len() < self.upstream.slots || self.victim(now, settings).is_some()
    }

    /// Returns the unused instance whose next use is expected last, with its expected request rate.
    pub(super) fn victim(&self, now: Time, settings: &Settings) -> Option<(usize, f32)> {
        let evictable = |(_, slot): &(usize, &Slot)| {
            let queued = slot.model.as_ref().is_some_and(|m| self.queue.contains(m));
            let wanted = queued && !slot.unload_pending;
            slot.model.is_some() && slot.evictable(settings) && !wanted
        };
        self.slots
            .iter()
            .enumerate()
            .filter(evictable)
            .map(|(index, slot)| (index, self.expected_rate(now, slot, settings)))
            .min_by(|(_, a), (_, b)| a.total_cmp(b))
    }

    /// Returns the expected requests per second on an instance, the inverse of the expected time to
    /// its next use. An instance that gets no more leases has a negative rate, so that it is
    /// evicted first.
    pub(super) fn expected_rate(&self, now: Time, slot: &Slot, settings: &Settings) -> f32 {
        if slot.unload_pending {
            return -1.0;
        }
        let demand = slot.model.as_ref().and_then(|model| self.demand.get(model));
        demand.map_or(0.0, |demand| demand.rate.long_term(now, settings.half_life))
    }

    /// Returns what to load next, or `None` if no load may start now.
    pub fn next_load(&self, now: Time, settings: &Settings) -> Option<LoadDemand> {
        // Slots that look empty may hold instances until the engine has reported.
        let unread = self.last_report.is_none() && now < self.owned_since + settings.report_lag;
        let blocked =
            self.upstream.state != UpstreamState::Live || self.has_ticket || self.order_in_flight();
        if unread || blocked || !self.slot_available(now, settings) {
            return None;
        }
        if let Some(entry) = self.queue.next(now, settings) {
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

    /// Selects the most popular model that is not loaded as the next prefetch, if its request rate
    /// is high enough.
    pub(super) fn choose_prefetch(&mut self, now: Time, settings: &Settings) {
        if now < self.last_prefetch_search + PREFETCH_SEARCH_INTERVAL {
            return;
        }
        self.last_prefetch_search = now;
        self.prefetch = None;
        if !self.queue.entries().is_empty() || self.order_in_flight() {
            return;
        }
        let required_rate = if self.slots.len() < self.upstream.slots {
            0.0
        } else if let Some((_, rate)) = self.victim(now, settings) {
            rate * PREFETCH_RATE_FACTOR
        } else {
            return;
        };
        let resident = |model: &Model| self.slots.iter().any(|s| s.model.as_ref() == Some(model));
        let backing_off = |model: &Model| self.backoffs.iter().any(|b| b.model == *model);
        let rate = |demand: &ModelDemand| demand.rate.long_term(now, settings.half_life);
        let best = self
            .demand
            .iter()
            .filter(|(model, _)| !resident(model) && !backing_off(model))
            .max_by(|(x, a), (y, b)| rate(a).total_cmp(&rate(b)).then_with(|| y.cmp(x)));
        if let Some((model, demand)) = best
            && rate(demand) >= required_rate.max(MIN_PREFETCH_RATE)
        {
            self.prefetch = Some((model.clone(), demand.path.clone()));
        }
    }

    /// Starts the load for which the store's budget issued a ticket. If no slot is empty, an
    /// instance is evicted first.
    pub fn start_load(&mut self, now: Time, settings: &Settings, fx: &mut Effects) -> TicketStatus {
        if self.order_in_flight() || self.nothing_to_load(now, settings) {
            self.has_ticket = false;
            return TicketStatus::Finished;
        }
        self.has_ticket = true;
        if self.slots.len() < self.upstream.slots {
            return self.order_load(now, settings, fx);
        }
        let Some((index, rate)) = self.victim(now, settings) else {
            self.has_ticket = false;
            return TicketStatus::Finished;
        };
        self.order_unload(now, index, rate, settings, fx);
        TicketStatus::Unchanged
    }

    pub(super) fn nothing_to_load(&self, now: Time, settings: &Settings) -> bool {
        self.queue.next(now, settings).is_none() && self.prefetch.is_none()
    }

    pub(super) fn order_unload(
        &mut self,
        now: Time,
        index: usize,
        rate: f32,
        settings: &Settings,
        fx: &mut Effects,
    ) {
        let fence = self.fences.advance_order();
        let deadline = now + settings.order * 2;
        let others = self.slots.iter().filter(|s| s.evictable(settings)).count();
        let slot = &mut self.slots[index];
        slot.leases.clear();
        slot.state = SlotState::Evicting {
            fence,
            write_by: now + settings.order,
            deadline,
        };
        if let Some(model) = slot.model.clone() {
            fx.note(Note::Evict {
                upstream: self.upstream.id.clone(),
                model,
                rate: f64::from(rate),
                alternatives: others.saturating_sub(1),
            });
        }
        self.last_write_by = Some(now + settings.order);
        fx.push(Action::Unload {
            upstream: self.upstream.id.clone(),
            instance: slot.instance.clone(),
            fence,
            deadline,
        });
    }

    pub(super) fn order_load(
        &mut self,
        now: Time,
        settings: &Settings,
        fx: &mut Effects,
    ) -> TicketStatus {
        let next = match self.queue.next(now, settings) {
            Some(entry) => Some((entry.model.clone(), entry.path.clone(), Some(entry.want()))),
            None => self.prefetch.take().map(|(m, p)| (m, p, None)),
        };
        let Some((model, path, want)) = next else {
            self.has_ticket = false;
            return TicketStatus::Finished;
        };
        let fence = self.fences.advance_order();
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
                write_by: now + settings.order,
                deadline,
            },
            leases: Vec::new(),
            idle_at: None,
            ready_at: now,
            unload_pending: false,
            head_start: None,
        });
        self.record_load_interval(now);
        let since = want.map_or(now, |want| want.since);
        fx.note(Note::Load {
            upstream: self.upstream.id.clone(),
            model: model.clone(),
            priority: want.and_then(|want| want.priority),
            waiting: want.map_or(0, |want| want.waiting),
            age: now.saturating_sub(since),
            alternatives: self.queue.entries().len().saturating_sub(1),
        });
        self.last_write_by = Some(now + settings.order);
        fx.push(Action::Load {
            upstream: self.upstream.id.clone(),
            instance: name.to_instance(),
            model,
            path,
            fence,
            deadline,
        });
        TicketStatus::Unchanged
    }

    /// Updates the average time between loads, if at least two models are queued.
    pub(super) fn record_load_interval(&mut self, now: Time) {
        let last = self.last_load.replace(now);
        if self.queue.entries().len() < 2 {
            return;
        }
        if let Some(gap) = last.map(|last| now.saturating_sub(last)) {
            self.load_interval = (self.load_interval * 7 + gap) / 8;
        }
    }
}
