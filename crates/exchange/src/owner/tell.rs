//! What an owner tells its peers and the requests of its own node.

use std::time::Duration;

use wire::machine::millis;
use wire::{Time, Upstream, Vm};

use super::{Action, Message, Owner, RelativePresence};
use crate::demand::Target;
use crate::fleet::{Fleet, Presence};

impl Owner {
    /// Passes a need of this node on to the engine's owner.
    pub(super) fn want(
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
                self.asked(now, fleet, &me, engine, target, rank, out);
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

    pub(super) fn tell(&self, message: &Message, out: &mut Vec<Action>) {
        let all = self.live.iter().chain(&self.parting);
        let others = all.filter(|vm| **vm != self.config.me);
        out.extend(others.map(|vm| Action::Send {
            to: vm.clone(),
            message: message.clone(),
        }));
    }

    /// Notes what is known of `target`, and tells the peers that asked for it.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn tell_askers(
        &self,
        now: Time,
        engine: &Upstream,
        target: &Target,
        presence: Presence,
        askers: &[Vm],
        out: &mut Vec<Action>,
    ) {
        out.push(Action::Presence {
            engine: engine.clone(),
            target: target.clone(),
            presence,
        });
        for asker in askers.iter().filter(|asker| **asker != self.config.me) {
            self.answer(now, asker, engine, target, presence, out);
        }
    }

    pub(super) fn answer(
        &self,
        now: Time,
        to: &Vm,
        engine: &Upstream,
        target: &Target,
        presence: Presence,
        out: &mut Vec<Action>,
    ) {
        let seat = self.seat(engine);
        let load = self.pace.expect(self.config.load_time);
        let backlog = seat.map_or(Duration::ZERO, |seat| seat.backlog(now, load));
        if *to == self.config.me {
            stock(engine, target, presence, backlog, out);
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

/// Notes what an owner tells of `target`.
pub(super) fn stock(
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

/// Takes over into the fleet what actions say of engines.
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
