//! Requests that this node has running at engines, and how a new owner learns of them.
//!
//! An owner knows which adapters are in use from the requests that it admitted. After taking an
//! engine over it knows of none, and unloading an adapter in use would block all other orders. Each
//! node therefore tells a new owner which of its requests are still running at the engine.

use std::time::Duration;

use wire::machine::millis;
use wire::{Time, Upstream};

use super::usage::ExpectedRun;
use super::{Action, Message, Owner};
use crate::demand::Target;

/// Targets in one message: about 2,000 bytes, which fits one datagram.
const TARGETS_MAX: usize = 40;

/// A request of this node that is running at an engine.
#[derive(Clone, Debug)]
pub(super) struct LocalRequest {
    engine: Upstream,
    target: Target,
    /// When the request ends at the latest.
    ends_by: Time,
}

impl Owner {
    /// Records that a request of this node was sent to an engine and ends at `until` at the latest.
    pub fn request_started(&mut self, engine: &Upstream, target: &Target, until: Time) {
        self.local_requests.push(LocalRequest {
            engine: engine.clone(),
            target: target.clone(),
            ends_by: until,
        });
    }

    /// Records that a request of this node at an engine has ended.
    pub fn request_ended(&mut self, engine: &str, target: &Target) {
        let same = |request: &LocalRequest| *request.engine == *engine && request.target == *target;
        if let Some(index) = self.local_requests.iter().position(same) {
            self.local_requests.swap_remove(index);
        }
    }

    /// Returns the targets of this node's requests at an engine, with the milliseconds that each
    /// may still take.
    fn local_usage(&self, now: Time, engine: &str) -> Vec<(Target, u32)> {
        let here = self
            .local_requests
            .iter()
            .filter(|request| *request.engine == *engine);
        let left =
            here.map(|request| (request.target.clone(), request.ends_by.saturating_sub(now)));
        left.filter(|(_, left)| !left.is_zero())
            .map(|(target, left)| (target, millis(left)))
            .take(TARGETS_MAX)
            .collect()
    }

    /// Tells the new owner of an engine which targets this node's requests use there.
    pub(super) fn send_local_usage(&self, now: Time, engine: &Upstream, out: &mut Vec<Action>) {
        let targets = self.local_usage(now, engine);
        let Some(holder) = self.holder(engine).filter(|_| !targets.is_empty()) else {
            return;
        };
        out.push(Action::Send {
            to: holder.clone(),
            message: Message::InUse {
                engine: engine.clone(),
                targets,
            },
        });
    }

    /// Counts the requests that a node has running at an engine of this node.
    pub(super) fn record_usage(&mut self, now: Time, engine: &str, targets: &[(Target, u32)]) {
        if let Some(owned) = self.owned_engine_mut(engine) {
            for (target, left) in targets {
                let run = ExpectedRun::until(now + Duration::from_millis((*left).into()));
                owned.usage.record_start(now, target, run);
            }
        }
    }

    /// Counts this node's own requests at an engine that it has just claimed.
    pub(super) fn record_own_usage(&mut self, now: Time, engine: &str) {
        let targets = self.local_usage(now, engine);
        self.record_usage(now, engine, &targets);
    }
}
