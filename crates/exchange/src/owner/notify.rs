//! Messages of an owner to its peers and to the requests of its own node.

use std::time::Duration;

use wire::machine::millis;
use wire::{Time, Upstream, Vm};

use super::{Action, Message, Owner, RelativePresence};
use crate::demand::Target;
use crate::fleet::{Fleet, Presence};

impl Owner {
    /// Passes a load request of this node to the owner of the engine.
    pub(super) fn forward_load_request(
        &mut self,
        now: Time,
        fleet: &Fleet,
        engine: Upstream,
        target: Target,
        rank: u8,
        out: &mut Vec<Action>,
    ) {
        let me = self.config.me.clone();
        match self.holder(&engine).cloned() {
            Some(holder) if holder == me => {
                self.handle_load_request(now, fleet, &me, engine, target, rank, out);
            }
            Some(holder) => out.push(Action::Send {
                to: holder,
                message: Message::RequestLoad {
                    engine,
                    target,
                    rank,
                },
            }),
            None => {}
        }
    }

    /// Sends a message to every other live or leaving node.
    pub(super) fn broadcast(&self, message: &Message, out: &mut Vec<Action>) {
        let all = self.live.iter().chain(&self.leaving_peers);
        let others = all.filter(|vm| **vm != self.config.me);
        out.extend(others.map(|vm| Action::Send {
            to: vm.clone(),
            message: message.clone(),
        }));
    }

    /// Publishes the residency of `target` on this node and sends it to the waiting peers.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn notify_waiters(
        &self,
        now: Time,
        engine: &Upstream,
        target: &Target,
        presence: Presence,
        waiters: &[Vm],
        out: &mut Vec<Action>,
    ) {
        out.push(Action::Presence {
            engine: engine.clone(),
            target: target.clone(),
            presence,
        });
        for waiter in waiters.iter().filter(|waiter| **waiter != self.config.me) {
            self.send_residency(now, waiter, engine, target, presence, out);
        }
    }

    /// Sends the residency of `target` to a peer, or publishes it on this node.
    pub(super) fn send_residency(
        &self,
        now: Time,
        to: &Vm,
        engine: &Upstream,
        target: &Target,
        presence: Presence,
        out: &mut Vec<Action>,
    ) {
        let owned = self.owned_engine(engine);
        let backlog = owned.map_or(Duration::ZERO, |owned| self.load_backlog(now, owned));
        self.send_expectation(now, to, engine, target, presence, backlog, out);
    }

    /// Sends the residency of `target` with the time until it, or one more adapter, could be
    /// loaded.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn send_expectation(
        &self,
        now: Time,
        to: &Vm,
        engine: &Upstream,
        target: &Target,
        presence: Presence,
        backlog: Duration,
        out: &mut Vec<Action>,
    ) {
        if *to == self.config.me {
            push_residency(engine, target, presence, backlog, out);
        } else {
            out.push(Action::Send {
                to: to.clone(),
                message: Message::Residency {
                    engine: engine.clone(),
                    target: target.clone(),
                    presence: RelativePresence::new(now, presence),
                    backlog: millis(backlog),
                },
            });
        }
    }
}

/// Appends the actions that record what an owner reports about `target`.
pub(super) fn push_residency(
    engine: &Upstream,
    target: &Target,
    presence: Presence,
    backlog: Duration,
    out: &mut Vec<Action>,
) {
    out.push(Action::Backlog {
        engine: engine.clone(),
        backlog,
    });
    out.push(Action::Presence {
        engine: engine.clone(),
        target: target.clone(),
        presence,
    });
}

/// Applies the residency, holdings and backlogs in `actions` to the fleet.
pub fn apply_to_fleet(now: Time, fleet: &mut Fleet, actions: &[Action]) {
    for action in actions {
        match action {
            Action::Presence {
                engine,
                target,
                presence,
            } => fleet.set_presence(now, engine, target, *presence),
            Action::Holdings { engine, holdings } => {
                fleet.apply_owner_holdings(now, engine, holdings.clone());
            }
            Action::Backlog { engine, backlog } => fleet.set_load_backlog(now, engine, *backlog),
            _ => {}
        }
    }
}
