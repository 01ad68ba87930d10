//! Loads of adapters that are under way, and how long loads take at present.
//!
//! The store slows every load down while too many are under way over all engines, and no one says
//! how many that is. An owner therefore asks for a load once more when it should be over: the
//! answer tells whether it is, and later loads are expected to take as long.

use std::time::Duration;

use wire::{Time, Upstream, Vm};

use super::seat::Seat;
use super::{Action, Answer, Order, Owner};
use crate::demand::Target;
use crate::fleet::{Presence, Version};

/// Time before the expected end of a load at which the engine is asked: an order's round trip.
const AHEAD: Duration = Duration::from_millis(8);

/// Part of a load's expected time that is added, so that requests seldom come too early.
const MARGIN: f64 = 1.04;

/// Part of the time since its start after which a late load is asked for again.
const LATE_PART: f64 = 0.4;

/// Weight of a late load in what the next ones are expected to take.
const SLOWER: f64 = 0.5;

/// What remains of the expected time after a load that was over in time.
const FASTER: f64 = 0.95;

/// Most by which loads are expected to be slower than at full speed.
const PACE_MAX: f64 = 32.0;

/// Time after which a load that has not come counts as lost: requests have gone elsewhere.
const LOST: Duration = Duration::from_secs(10);

/// Time after the end of a load in which the requests that it is for come: a few crossings.
const COMING: Duration = Duration::from_millis(100);

/// A load under way.
#[derive(Clone, Debug)]
pub(super) struct Flight {
    target: Target,
    version: Option<Version>,
    since: Time,
    /// When the engine is asked whether it is over.
    due: Time,
    late: bool,
    /// Whether the engine was believed to have the weights at hand.
    reload: bool,
    /// Those who wait for it.
    askers: Vec<Vm>,
}

impl Flight {
    /// Tells whether its adapter is among the sorted `targets`.
    pub(super) fn is_in(&self, targets: &[Target]) -> bool {
        targets.binary_search(&self.target).is_ok()
    }
}

/// How many times longer than at full speed loads take.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pace(f64);

impl Default for Pace {
    fn default() -> Self {
        Self(1.0)
    }
}

impl Pace {
    /// Returns how long a load of `load` at full speed is expected to take.
    pub(super) fn expect(self, load: Duration) -> Duration {
        load.mul_f64(self.0 * MARGIN)
    }

    fn learn(&mut self, took: Duration, load: Duration, late: bool) {
        let seen = took.as_secs_f64() / load.as_secs_f64().max(f64::EPSILON);
        self.0 = if late {
            self.0 + (seen - self.0).max(0.0) * SLOWER
        } else {
            self.0 * FASTER
        };
        self.0 = self.0.clamp(1.0, PACE_MAX);
    }
}

impl Seat {
    /// Notes a load that the engine has accepted.
    pub(super) fn launch(
        &mut self,
        now: Time,
        target: &Target,
        version: Option<Version>,
        eta: Time,
        askers: Vec<Vm>,
        out: &mut Vec<Action>,
    ) {
        if target.adapter.is_none() {
            return;
        }
        let reload = self.knows(target);
        // What should be quick is only asked for where it was not.
        let due = if reload {
            eta + AHEAD
        } else {
            eta.saturating_sub(AHEAD)
        };
        out.push(Action::SetTimer(due.saturating_sub(now)));
        self.uses.reserve(target, eta + COMING);
        self.flights.retain(|flight| flight.target != *target);
        self.flights.push(Flight {
            target: target.clone(),
            version,
            since: now,
            due,
            late: false,
            reload,
            askers,
        });
    }

    /// Returns the question whether a load is over that should be.
    pub(super) fn confirm(&self, now: Time) -> Option<Order> {
        let due = self.flights.iter().find(|flight| flight.due <= now)?;
        Some(Order::Confirm(due.target.clone(), due.version))
    }

    /// Forgets the load of an adapter that was unloaded since: to ask whether it is over would load
    /// the adapter again.
    pub(super) fn abandon(&mut self, target: &Target) {
        self.flights.retain(|flight| flight.target != *target);
    }

    /// Notes one more who waits for a load under way.
    pub(super) fn join(&mut self, target: &Target, asker: &Vm) {
        let flight = self.flights.iter_mut().find(|f| f.target == *target);
        if let Some(flight) = flight.filter(|flight| !flight.askers.contains(asker)) {
            flight.askers.push(asker.clone());
        }
    }
}

impl Owner {
    /// Takes the answer to the question whether a load is over.
    pub(super) fn confirmed(
        &mut self,
        now: Time,
        engine: &Upstream,
        target: &Target,
        answer: Answer,
        out: &mut Vec<Action>,
    ) {
        let load = self.config.load_time;
        let expected = self.pace.expect(load);
        let Some(seat) = self.seat_mut(engine) else {
            return;
        };
        let Some(index) = seat.flights.iter().position(|f| f.target == *target) else {
            return;
        };
        let flight = &mut seat.flights[index];
        let took = now.saturating_sub(flight.since);
        let (presence, askers) = match answer {
            Answer::Done => {
                let flight = seat.flights.swap_remove(index);
                // Those who wait for a load in time come at the time that they were told.
                let askers = if flight.late {
                    flight.askers
                } else {
                    Vec::new()
                };
                if !flight.reload || flight.late {
                    self.pace.learn(took, load, flight.late);
                }
                (Presence::Held(flight.version), askers)
            }
            Answer::Accepted if took < LOST => {
                let first = flight.reload && !flight.late;
                let pause = took.mul_f64(LATE_PART).max(AHEAD);
                let due = if first {
                    (flight.since + expected).max(now + pause)
                } else {
                    now + pause
                };
                flight.late = true;
                flight.due = due;
                let eta = due + AHEAD;
                let told = (Presence::Coming(eta, flight.version), flight.askers.clone());
                seat.loaded_at = seat.loaded_at.max(eta);
                seat.uses.reserve(target, eta + COMING);
                out.push(Action::SetTimer(due - now));
                told
            }
            _ => {
                seat.flights.swap_remove(index);
                seat.doubt = Some(now);
                return;
            }
        };
        self.tell_askers(now, engine, target, presence, &askers, out);
    }
}
