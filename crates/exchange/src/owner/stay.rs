//! Requests of this node at engines, and how a new owner learns of them.
//!
//! An owner knows what is in use from the requests that it let in. One that has just taken an
//! engine over knows nothing, and an unload of an adapter in use would keep all other orders
//! waiting. So each node tells a new owner which of its requests the engine still has.

use std::time::Duration;

use wire::machine::millis;
use wire::{Time, Upstream};

use super::usage::Span;
use super::{Action, Message, Owner};
use crate::demand::Target;

/// Targets in one message: about 2,000 bytes, which one datagram carries.
const TARGETS_MAX: usize = 40;

/// A request of this node that an engine has.
#[derive(Clone, Debug)]
pub(super) struct Stay {
    engine: Upstream,
    target: Target,
    /// When it is over at the latest.
    until: Time,
}

impl Owner {
    /// Notes that a request of this node is sent to an engine, and is over at `until` at the
    /// latest.
    pub fn request_started(&mut self, engine: &Upstream, target: &Target, until: Time) {
        self.stays.push(Stay {
            engine: engine.clone(),
            target: target.clone(),
            until,
        });
    }

    /// Notes that a request of this node at an engine is over.
    pub fn request_ended(&mut self, engine: &str, target: &Target) {
        let same = |stay: &Stay| *stay.engine == *engine && stay.target == *target;
        if let Some(index) = self.stays.iter().position(same) {
            self.stays.swap_remove(index);
        }
    }

    /// Returns what this node's requests use at an engine, with the time that each may take.
    fn uses(&self, now: Time, engine: &str) -> Vec<(Target, u32)> {
        let here = self.stays.iter().filter(|stay| *stay.engine == *engine);
        let left = here.map(|stay| (stay.target.clone(), stay.until.saturating_sub(now)));
        left.filter(|(_, left)| !left.is_zero())
            .map(|(target, left)| (target, millis(left)))
            .take(TARGETS_MAX)
            .collect()
    }

    /// Tells an engine's new owner what this node's requests use there.
    pub(super) fn tell_uses(&self, now: Time, engine: &Upstream, out: &mut Vec<Action>) {
        let uses = self.uses(now, engine);
        let Some(holder) = self.holder(engine).filter(|_| !uses.is_empty()) else {
            return;
        };
        out.push(Action::Send {
            to: holder.clone(),
            message: Message::InUse {
                engine: engine.clone(),
                targets: uses,
            },
        });
    }

    /// Counts the requests that a node has at an engine of this one.
    pub(super) fn count_uses(&mut self, now: Time, engine: &str, uses: &[(Target, u32)]) {
        if let Some(seat) = self.seat_mut(engine) {
            for (target, left) in uses {
                let span = Span::until(now + Duration::from_millis((*left).into()));
                seat.uses.count(now, target, span);
            }
        }
    }

    /// Counts this node's own requests at an engine that it has just claimed.
    pub(super) fn count_own(&mut self, now: Time, engine: &str) {
        let uses = self.uses(now, engine);
        self.count_uses(now, engine, &uses);
    }
}
