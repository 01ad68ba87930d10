//! Outcomes of the owner's orders.

use std::time::Duration;

use wire::{Fence, Time};

use super::queue::Entry;
use super::seat::State;
use super::{Owner, Ticket};
use crate::event::{Failure, Instance};
use crate::message::Ask;
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
        self.seats.iter().any(|seat| match seat.state {
            State::Loading { write, .. } => seat.fence == fence && now < write,
            State::Evicting {
                fence: own, write, ..
            } => own == fence && now < write && seat.rights.is_empty(),
            _ => false,
        })
    }

    pub(super) fn load_order(&self, instance: &str, fence: Fence) -> Option<usize> {
        self.seats.iter().position(|seat| {
            let loading = matches!(seat.state, State::Loading { .. });
            loading && seat.fence == fence && *seat.instance == *instance
        })
    }

    pub(super) fn unload_order(&self, instance: &str, fence: Fence) -> Option<usize> {
        self.seats.iter().position(|seat| {
            let order = |own: Fence| own == fence && *seat.instance == *instance;
            matches!(seat.state, State::Evicting { fence, .. } if order(fence))
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
        self.seats[index].state = State::Ready;
        self.seats[index].ready = now;
        self.serve(now, index, settings, fx);
        Ticket::Finish
    }

    /// Grants leases to all who wait for the model in a slot. The most urgent go first, whichever
    /// node they wait at: grants to this node take no time, others do.
    pub(super) fn serve(&mut self, now: Time, index: usize, settings: &Settings, fx: &mut Effects) {
        let Some(model) = self.seats[index].model.clone() else {
            return;
        };
        self.pauses.retain(|pause| pause.model != model);
        let Some(Entry { mut waiters, .. }) = self.queue.take(&model) else {
            return;
        };
        waiters.sort_by_key(|waiter| (waiter.priority, waiter.since));
        let most = waiters.first().map(|waiter| waiter.priority);
        self.seats[index].head = most.map(|priority| (priority, now + HEAD));
        for waiter in waiters {
            let ask = Ask {
                upstream: self.facts.id.clone(),
                model: model.clone(),
                path: None,
                number: waiter.number,
                priority: waiter.priority,
                waiting: waiter.waiting,
                served: 0,
                age: Duration::ZERO,
                left: Duration::ZERO,
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
        let model = self.seats[index].model.clone();
        if failure == Failure::Unknown {
            let after = now + settings.report_lag;
            self.seats[index].state = State::Unknown { after };
        } else {
            self.seats.swap_remove(index);
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
        self.seats.swap_remove(index);
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
        self.seats[index].doomed |= failure != Failure::NotSent;
        self.seats[index].state = match failure {
            Failure::NotSent => State::Ready,
            _ => State::Unknown {
                after: now + settings.report_lag,
            },
        };
        Ticket::Finish
    }
}
