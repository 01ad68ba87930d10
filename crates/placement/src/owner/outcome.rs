//! Processing of the outcomes of load and unload orders.

use std::time::Duration;

use wire::{Fence, Time};

use super::queue::Entry;
use super::slot::SlotState;
use super::{Owner, TicketStatus};
use crate::event::{Failure, Instance};
use crate::message::LeaseRequest;
use crate::planner::Effects;
use crate::settings::Settings;

/// Head start of the most urgent requests after a load. Within a region, a grant and the request
/// under it arrive in less time than this.
const HEAD_START: Duration = Duration::from_millis(50);

impl Owner {
    /// Returns the failure to act on. If the engine has seen a higher fencing number than the
    /// order's, it rejected the order only because of the number, which counts as not sent.
    pub(super) fn effective_failure(&self, fence: Fence, failure: Failure) -> Failure {
        let seen = self.engine_fence.unwrap_or_default();
        let fenced_off = fence < seen && failure == Failure::Rejected;
        if fenced_off {
            Failure::NotSent
        } else {
            failure
        }
    }

    /// Returns whether the order with fencing number `fence` may be written at `now`.
    pub fn permit(&self, now: Time, fence: Fence) -> bool {
        self.slots.iter().any(|slot| match slot.state {
            SlotState::Loading { write_by, .. } => slot.fence == fence && now < write_by,
            SlotState::Evicting {
                fence: own,
                write_by,
                ..
            } => own == fence && now < write_by && slot.leases.is_empty(),
            _ => false,
        })
    }

    /// Returns the slot whose load order is in progress with this fencing number.
    pub(super) fn loading_slot(&self, instance: &str, fence: Fence) -> Option<usize> {
        self.slots.iter().position(|slot| {
            let loading = matches!(slot.state, SlotState::Loading { .. });
            loading && slot.fence == fence && *slot.instance == *instance
        })
    }

    /// Returns the slot whose unload order is in progress with this fencing number.
    pub(super) fn evicting_slot(&self, instance: &str, fence: Fence) -> Option<usize> {
        self.slots.iter().position(|slot| {
            let same_order = |own: Fence| own == fence && *slot.instance == *instance;
            matches!(slot.state, SlotState::Evicting { fence, .. } if same_order(fence))
        })
    }

    /// Handles the success of a load.
    pub fn loaded(
        &mut self,
        now: Time,
        instance: &Instance,
        fence: Fence,
        settings: &Settings,
        fx: &mut Effects,
    ) -> TicketStatus {
        let Some(index) = self.loading_slot(instance, fence) else {
            return TicketStatus::Unchanged;
        };
        self.has_ticket = false;
        self.slots[index].state = SlotState::Ready;
        self.slots[index].ready_at = now;
        self.grant_waiters(now, index, settings, fx);
        TicketStatus::Finished
    }

    /// Grants leases to all holders that wait for the model in a slot.
    ///
    /// The most urgent requests get a head start, whichever node they wait at: a grant to this node
    /// takes effect at once, while grants to other nodes take time to arrive.
    pub(super) fn grant_waiters(
        &mut self,
        now: Time,
        index: usize,
        settings: &Settings,
        fx: &mut Effects,
    ) {
        let Some(model) = self.slots[index].model.clone() else {
            return;
        };
        self.backoffs.retain(|backoff| backoff.model != model);
        let Some(Entry { mut waiters, .. }) = self.queue.remove(&model) else {
            return;
        };
        waiters.sort_by_key(|waiter| (waiter.priority, waiter.since));
        let highest = waiters.first().map(|waiter| waiter.priority);
        self.slots[index].head_start = highest.map(|priority| (priority, now + HEAD_START));
        for waiter in waiters {
            let request = LeaseRequest {
                upstream: self.upstream.id.clone(),
                model: model.clone(),
                path: None,
                number: waiter.number,
                priority: waiter.priority,
                waiting: waiter.waiting,
                served: 0,
                age: Duration::ZERO,
                remaining: Duration::ZERO,
            };
            self.grant(now, index, &waiter.holder, &request, settings, fx);
        }
    }

    /// Handles the failure of a load.
    pub fn load_failed(
        &mut self,
        now: Time,
        instance: &Instance,
        fence: Fence,
        failure: Failure,
        settings: &Settings,
        fx: &mut Effects,
    ) -> TicketStatus {
        let Some(index) = self.loading_slot(instance, fence) else {
            return TicketStatus::Unchanged;
        };
        let failure = self.effective_failure(fence, failure);
        self.has_ticket = false;
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
            self.back_off(now, &model, failure, settings, fx);
        }
        TicketStatus::Finished
    }

    /// Handles the success of an unload, and starts the load for which the slot was freed if its
    /// ticket is still valid.
    pub fn unloaded(
        &mut self,
        now: Time,
        instance: &Instance,
        fence: Fence,
        ticket_valid: bool,
        settings: &Settings,
        fx: &mut Effects,
    ) -> TicketStatus {
        let Some(index) = self.evicting_slot(instance, fence) else {
            return TicketStatus::Unchanged;
        };
        self.slots.swap_remove(index);
        self.last_unload = now;
        if !self.has_ticket {
            return TicketStatus::Unchanged;
        }
        if ticket_valid {
            return self.order_load(now, settings, fx);
        }
        self.has_ticket = false;
        TicketStatus::Finished
    }

    /// Handles the failure of an unload.
    pub fn unload_failed(
        &mut self,
        now: Time,
        instance: &Instance,
        fence: Fence,
        failure: Failure,
        settings: &Settings,
    ) -> TicketStatus {
        let Some(index) = self.evicting_slot(instance, fence) else {
            return TicketStatus::Unchanged;
        };
        let failure = self.effective_failure(fence, failure);
        self.has_ticket = false;
        self.slots[index].unload_pending |= failure != Failure::NotSent;
        self.slots[index].state = match failure {
            Failure::NotSent => SlotState::Ready,
            _ => SlotState::Unknown {
                after: now + settings.report_lag,
            },
        };
        TicketStatus::Finished
    }
}
