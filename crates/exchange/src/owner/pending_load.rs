//! Adapter loads in progress, and how long loads take at present.
//!
//! The store slows every load down when too many run across all engines, and it does not report how
//! many that is. An owner therefore asks the engine again around the time a load should be
//! complete. The answer shows whether it is, and the measured time adjusts the estimate for later
//! loads.

use std::time::Duration;

use wire::{Time, Upstream, Vm};

use super::owned_engine::OwnedEngine;
use super::{Action, Answer, Order, Owner};
use crate::demand::Target;
use crate::fleet::{Presence, Version};

/// How long before the expected end of a load the engine is asked: the round trip of an order.
const CONFIRM_LEAD: Duration = Duration::from_millis(8);

/// Factor by which the expected time of a load is extended, so that requests seldom arrive too
/// early.
const LOAD_MARGIN: f64 = 1.04;

/// Fraction of the time since its start after which a late load is asked about again.
const LATE_RETRY_FRACTION: f64 = 0.4;

/// Weight of a late load in the estimate for later ones.
const LATE_WEIGHT: f64 = 0.5;

/// Factor applied to the estimate after a load that was complete in time.
const ON_TIME_DECAY: f64 = 0.95;

/// Upper limit of the estimated slowdown of loads.
const SLOWDOWN_MAX: f64 = 32.0;

/// Time after which an unfinished load counts as lost; its requests have gone elsewhere by then.
const LOAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after the end of a load in which the requests waiting for it arrive: a few network
/// crossings.
const ARRIVAL_WINDOW: Duration = Duration::from_millis(100);

/// A load in progress.
#[derive(Clone, Debug)]
pub(super) struct PendingLoad {
    target: Target,
    version: Option<Version>,
    started: Time,
    /// When to ask the engine whether the load is complete.
    confirm_at: Time,
    late: bool,
    /// Whether the engine was expected to have the weights cached.
    reload: bool,
    /// Nodes with requests waiting for the load.
    waiters: Vec<Vm>,
}

impl PendingLoad {
    /// Returns whether the target is among the sorted `targets`.
    pub(super) fn is_in(&self, targets: &[Target]) -> bool {
        targets.binary_search(&self.target).is_ok()
    }
}

/// Estimated factor by which loads take longer than at full speed.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadSlowdown(f64);

impl Default for LoadSlowdown {
    fn default() -> Self {
        Self(1.0)
    }
}

impl LoadSlowdown {
    /// Returns how long a load is expected to take that takes `load` at full speed.
    pub(super) fn expect(self, load: Duration) -> Duration {
        load.mul_f64(self.0 * LOAD_MARGIN)
    }

    fn learn(&mut self, took: Duration, load: Duration, late: bool) {
        let ratio = took.as_secs_f64() / load.as_secs_f64().max(f64::EPSILON);
        self.0 = if late {
            self.0 + (ratio - self.0).max(0.0) * LATE_WEIGHT
        } else {
            self.0 * ON_TIME_DECAY
        };
        self.0 = self.0.clamp(1.0, SLOWDOWN_MAX);
    }
}

impl OwnedEngine {
    /// Records a load that the engine has accepted.
    pub(super) fn load_started(
        &mut self,
        now: Time,
        target: &Target,
        version: Option<Version>,
        eta: Time,
        waiters: Vec<Vm>,
        out: &mut Vec<Action>,
    ) {
        if target.adapter.is_none() {
            return;
        }
        let reload = self.has_cached(target);
        // A quick reload is asked about only if it has not completed in time.
        let due = if reload {
            eta + CONFIRM_LEAD
        } else {
            eta.saturating_sub(CONFIRM_LEAD)
        };
        out.push(Action::SetTimer(due.saturating_sub(now)));
        self.usage.reserve(target, eta + ARRIVAL_WINDOW);
        self.pending_loads
            .retain(|pending| pending.target != *target);
        self.pending_loads.push(PendingLoad {
            target: target.clone(),
            version,
            started: now,
            confirm_at: due,
            late: false,
            reload,
            waiters,
        });
    }

    /// Returns the order that asks about a load that should be complete by now, if any.
    pub(super) fn due_confirmation(&self, now: Time) -> Option<Order> {
        let due = self
            .pending_loads
            .iter()
            .find(|pending| pending.confirm_at <= now)?;
        Some(Order::Confirm(due.target.clone(), due.version))
    }

    /// Forgets the load of an adapter that was unloaded since. Asking about it would load the
    /// adapter again.
    pub(super) fn forget_load(&mut self, target: &Target) {
        self.pending_loads
            .retain(|pending| pending.target != *target);
    }

    /// Adds a node that waits for a load in progress.
    pub(super) fn add_waiter(&mut self, target: &Target, waiter: &Vm) {
        let pending = self
            .pending_loads
            .iter_mut()
            .find(|pending| pending.target == *target);
        if let Some(pending) = pending.filter(|pending| !pending.waiters.contains(waiter)) {
            pending.waiters.push(waiter.clone());
        }
    }
}

impl Owner {
    /// Handles the answer to [`Order::Confirm`].
    pub(super) fn handle_confirmation(
        &mut self,
        now: Time,
        engine: &Upstream,
        target: &Target,
        answer: Answer,
        out: &mut Vec<Action>,
    ) {
        let load = self.config.load_time;
        let expected = self.load_slowdown.expect(load);
        let Some(owned) = self.owned_engine_mut(engine) else {
            return;
        };
        let Some(index) = owned
            .pending_loads
            .iter()
            .position(|pending| pending.target == *target)
        else {
            return;
        };
        let pending = &mut owned.pending_loads[index];
        let took = now.saturating_sub(pending.started);
        let (presence, waiters) = match answer {
            Answer::Done => {
                let pending = owned.pending_loads.swap_remove(index);
                // For a load that is complete in time, the waiters come at the time that they were
                // given.
                let waiters = if pending.late {
                    pending.waiters
                } else {
                    Vec::new()
                };
                if !pending.reload || pending.late {
                    self.load_slowdown.learn(took, load, pending.late);
                }
                (Presence::Held(pending.version), waiters)
            }
            Answer::Accepted if took < LOAD_TIMEOUT => {
                let first_retry = pending.reload && !pending.late;
                let pause = took.mul_f64(LATE_RETRY_FRACTION).max(CONFIRM_LEAD);
                let due = if first_retry {
                    (pending.started + expected).max(now + pause)
                } else {
                    now + pause
                };
                pending.late = true;
                pending.confirm_at = due;
                let eta = due + CONFIRM_LEAD;
                let update = (
                    Presence::Coming(eta, pending.version),
                    pending.waiters.clone(),
                );
                owned.usage.reserve(target, eta + ARRIVAL_WINDOW);
                out.push(Action::SetTimer(due - now));
                update
            }
            _ => {
                owned.pending_loads.swap_remove(index);
                owned.recheck_at = Some(now);
                return;
            }
        };
        self.notify_waiters(now, engine, target, presence, &waiters, out);
    }
}
