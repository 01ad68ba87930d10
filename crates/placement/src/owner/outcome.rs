//! Outcomes of the owner's orders.

use std::time::Duration;

use wire::{Fence, Time};

use super::queue::Entry;
use super::slot::SlotState;
use super::{Owner, Ticket};
use crate::event::{Failure, Instance};
use crate::message::LeaseRequest;
use crate::planner::Effects;
use crate::settings::Settings;

/// Time by which the most urgent of those who waited for a load go first: a grant and the request
/// under it are on their way for less than that within a region.
const HEAD: Duration = Duration::from_millis(50);

impl Owner {
    /// An order below a number that the engine has shown was refused for its number alone.
    pub(super) fn refined(&self, fence: Fence, failure: Failure) -> Failure {
        let old = fence < self.refused && failure == Failure::Rejected;
        if old { Failure::NotSent } else { failure }
    }

    /// Tells whether the order with number `fence` may be written at `now`.
    pub fn permit(&self, now: Time, fence: Fence) -> bool {
        self.slots.iter().any(|slot| match slot.state {
            SlotState::Loading { write, .. } => slot.fence == fence && now < write,
            SlotState::Evicting {
                fence: own, write, ..
            } => own == fence && now < write && slot.leases.is_empty(),
            _ => false,
        })
    }

    pub(super) fn load_order(&self, instance: &str, fence: Fence) -> Option<usize> {
        self.slots.iter().position(|slot| {
            let loading = matches!(slot.state, SlotState::Loading { .. });
            loading && slot.fence == fence && *slot.instance == *instance
        })
    }

    pub(super) fn unload_order(&self, instance: &str, fence: Fence) -> Option<usize> {
        self.slots.iter().position(|slot| {
            let order = |own: Fence| own == fence && *slot.instance == *instance;
            matches!(slot.state, SlotState::Evicting { fence, .. } if order(fence))
        })
    }

    /// Takes the news that a load was carried out.
    pub fn loaded(
        &mut self,
        now: Time,
        instance: &Instance,
        fence: Fence,
        settings: &Settings,
        fx: &mut Effects,
    ) -> Ticket {
        let Some(index) = self.load_order(instance, fence) else {
            return Ticket::Keep;
        };
        self.ticketed = false;
        self.slots[index].state = SlotState::Ready;
        self.slots[index].ready = now;
        self.serve(now, index, settings, fx);
        Ticket::Finish
    }

    /// Grants leases to all who wait for the model in a slot. The most urgent go first, whichever
    /// node they wait at: grants to this node take no time, others do.
    pub(super) fn serve(&mut self, now: Time, index: usize, settings: &Settings, fx: &mut Effects) {
        let Some(model) = self.slots[index].model.clone() else {
            return;
        };
        self.pauses.retain(|pause| pause.model != model);
        let Some(Entry { mut waiters, .. }) = self.queue.take(&model) else {
            return;
        };
        waiters.sort_by_key(|waiter| (waiter.priority, waiter.since));
        let most = waiters.first().map(|waiter| waiter.priority);
        self.slots[index].head_start = most.map(|priority| (priority, now + HEAD));
        for waiter in waiters {
            let ask = LeaseRequest {
                upstream: self.facts.id.clone(),
                model: model.clone(),
                path: None,
                number: waiter.number,
                priority: waiter.priority,
                waiting: waiter.waiting,
                served: 0,
                age: Duration::ZERO,
                remaining: Duration::ZERO,
            };
            self.grant(now, index, &waiter.holder, &ask, settings, fx);
        }
    }

    /// Takes the news that a load failed.
    pub fn load_failed(
        &mut self,
        now: Time,
        instance: &Instance,
        fence: Fence,
        failure: Failure,
        settings: &Settings,
        fx: &mut Effects,
    ) -> Ticket {
        let Some(index) = self.load_order(instance, fence) else {
            return Ticket::Keep;
        };
        let failure = self.refined(fence, failure);
        self.ticketed = false;
        let model = self.slots[index].model.clone();
        if failure == Failure::Unknown {
            let after = now + settings.report_lag;
            self.slots[index].state = SlotState::Unknown { after };
        } else {
            self.slots.swap_remove(index);
        }
        if failure != Failure::NotSent
            && let Some(model) = model
        {
            self.fail(now, &model, failure, settings, fx);
        }
        Ticket::Finish
    }

    /// Takes the news that an unload was carried out; the load that it was for begins.
    pub fn unloaded(
        &mut self,
        now: Time,
        instance: &Instance,
        fence: Fence,
        valid: bool,
        settings: &Settings,
        fx: &mut Effects,
    ) -> Ticket {
        let Some(index) = self.unload_order(instance, fence) else {
            return Ticket::Keep;
        };
        self.slots.swap_remove(index);
        self.changed = now;
        if !self.ticketed {
            return Ticket::Keep;
        }
        if valid {
            return self.load(now, settings, fx);
        }
        self.ticketed = false;
        Ticket::Finish
    }

    /// Takes the news that an unload failed.
    pub fn unload_failed(
        &mut self,
        now: Time,
        instance: &Instance,
        fence: Fence,
        failure: Failure,
        settings: &Settings,
    ) -> Ticket {
        let Some(index) = self.unload_order(instance, fence) else {
            return Ticket::Keep;
        };
        let failure = self.refined(fence, failure);
        self.ticketed = false;
        self.slots[index].doomed |= failure != Failure::NotSent;
        self.slots[index].state = match failure {
            Failure::NotSent => SlotState::Ready,
            _ => SlotState::Unknown {
                after: now + settings.report_lag,
            },
        };
        Ticket::Finish
    }
}
