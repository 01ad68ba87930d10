//! Heartbeats: sending, answering and timing out.

use std::time::Duration;

use wire::{Incarnation, Time, Vm};

use super::{Action, Fitness, PERIOD, Roster};
use crate::message::{Heartbeat, Message, Sequence};
use crate::note::Note;
use crate::probe::{self, Step};
use crate::rumor::{Rumor, Status};

/// Maximum number of rumors and of notices in one part of a full table.
pub(super) const TABLE_PART: usize = 32;

/// Minimum interval between full tables sent because of differing digests.
const SYNC_PERIOD: Duration = Duration::from_secs(5);

impl Roster {
    /// Starts a probe if one is due and advances all due probes.
    pub(super) fn probe(&mut self, now: Time, out: &mut impl Extend<Action>) {
        if now >= self.next_probe {
            let next = self.next_probe + PERIOD;
            self.next_probe = if next > now { next } else { now + PERIOD };
            if let Some(target) = self.next_target() {
                self.probes.begin(now, &target);
            }
        }
        while let Some(step) = self.probes.next(now) {
            match step {
                Step::Try(target, sequence, relayed) => {
                    self.attempt(now, target, sequence, relayed, out);
                }
                Step::Fail(target) => self.doubt(now, &target, out),
            }
        }
    }

    /// Returns the next VM to probe; reshuffles after each complete round.
    fn next_target(&mut self) -> Option<Vm> {
        if self.round.is_empty() {
            self.round = self.table.members().map(|m| m.vm.clone()).collect();
            self.random.shuffle(&mut self.round);
        }
        self.round.pop()
    }

    fn attempt(
        &mut self,
        now: Time,
        target: Vm,
        sequence: Sequence,
        relayed: bool,
        out: &mut impl Extend<Action>,
    ) {
        if relayed {
            let mut peers = self.table.reachable();
            peers.retain(|vm| *vm != target);
            let peers = self.random.pick(peers, probe::RELAYS);
            out.extend(peers.into_iter().map(|to| Action::Send {
                to,
                message: Message::Relay {
                    sequence,
                    target: target.clone(),
                },
            }));
        }
        let message = Message::Ping(self.heartbeat(now, sequence, &target));
        out.extend([Action::Send {
            to: target,
            message,
        }]);
    }

    fn heartbeat(&mut self, now: Time, sequence: Sequence, to: &Vm) -> Heartbeat {
        Heartbeat {
            sequence,
            stamp_offset: self.stamp_offset,
            leaving: self.leaving,
            digest: self.digest(),
            revision: self.revision,
            gossip: self.gossip(now, to),
        }
    }

    fn digest(&self) -> u32 {
        let whole = self.table.digest(&self.own()) ^ self.notices.digest();
        (whole ^ whole >> 32) as u32
    }

    /// Marks the process on `target`, which did not answer, as in doubt.
    fn doubt(&mut self, now: Time, target: &Vm, out: &mut impl Extend<Action>) {
        let Some(known) = self.table.rumor(target) else {
            return;
        };
        if known.status == Status::Alive {
            let doubt = Rumor {
                status: Status::Doubt,
                ..known.clone()
            };
            self.merge(now, doubt, out);
        }
    }

    /// Marks processes as suspect that did not refute a doubt in time.
    pub(super) fn suspect(&mut self, now: Time, out: &mut impl Extend<Action>) {
        let silent = self.table.suspect(now);
        out.extend(silent.into_iter().map(|p| Action::Note(Note::Suspected(p))));
    }

    /// Handles a message.
    pub(super) fn receive(
        &mut self,
        now: Time,
        from: Incarnation,
        message: Message,
        out: &mut impl Extend<Action>,
    ) {
        if from.vm == self.me.vm {
            return;
        }
        match message {
            Message::Ping(heartbeat) => self.ping(now, from, heartbeat, out),
            Message::Ack(heartbeat) => self.ack(now, from, heartbeat, out),
            Message::Relay { sequence, target } => self.relay(now, from, sequence, target, out),
            Message::Reached { sequence, rumor } => {
                self.probes.answered(sequence);
                self.merge(now, rumor, out);
            }
            Message::Join { sequence } => {
                self.merge(now, sender_without_stamp(&from), out);
                self.send_table(now, &from.vm, sequence, out);
            }
            Message::Table { sequence, gossip } => {
                self.hear(now, gossip, out);
                self.joined(&from, sequence, out);
            }
            Message::News(gossip) => self.hear(now, gossip, out),
        }
    }

    fn ping(
        &mut self,
        now: Time,
        from: Incarnation,
        heartbeat: Heartbeat,
        out: &mut impl Extend<Action>,
    ) {
        let (sequence, digest) = (heartbeat.sequence, heartbeat.digest);
        self.handle_heartbeat(now, &from, heartbeat, out);
        if digest != self.digest() {
            self.sync(now, &from.vm, out);
        }
        let message = Message::Ack(self.heartbeat(now, sequence, &from.vm));
        out.extend([Action::Send {
            to: from.vm,
            message,
        }]);
    }

    fn ack(
        &mut self,
        now: Time,
        from: Incarnation,
        heartbeat: Heartbeat,
        out: &mut impl Extend<Action>,
    ) {
        let sequence = heartbeat.sequence;
        let rumor = sender(&from, &heartbeat);
        self.handle_heartbeat(now, &from, heartbeat, out);
        self.probes.answered(sequence);
        if let Some((requester, sequence)) = self.probes.relayed(sequence) {
            let message = Message::Reached { sequence, rumor };
            out.extend([Action::Send {
                to: requester.vm,
                message,
            }]);
        }
    }

    fn relay(
        &mut self,
        now: Time,
        from: Incarnation,
        requester_sequence: Sequence,
        target: Vm,
        out: &mut impl Extend<Action>,
    ) {
        if target == self.me.vm || self.fitness == Fitness::Superseded {
            return;
        }
        if let Some(sequence) = self.probes.relay(now, from, requester_sequence) {
            self.attempt(now, target, sequence, false, out);
        }
    }

    fn handle_heartbeat(
        &mut self,
        now: Time,
        from: &Incarnation,
        heartbeat: Heartbeat,
        out: &mut impl Extend<Action>,
    ) {
        self.merge(now, sender(from, &heartbeat), out);
        self.hear(now, heartbeat.gossip, out);
        if self.table.heard(from, heartbeat.revision) {
            out.extend([Action::Heard {
                from: from.clone(),
                revision: heartbeat.revision,
            }]);
        }
    }

    /// Sends the full table to a peer whose digest differs although no updates are queued.
    fn sync(&mut self, now: Time, to: &Vm, out: &mut impl Extend<Action>) {
        if self.queue.is_empty() && now >= self.next_sync {
            self.next_sync = now + SYNC_PERIOD;
            self.send_table(now, to, 0, out);
        }
    }

    fn send_table(
        &mut self,
        now: Time,
        to: &Vm,
        sequence: Sequence,
        out: &mut impl Extend<Action>,
    ) {
        let parts = self.whole(now, TABLE_PART);
        out.extend(parts.into_iter().map(|gossip| Action::Send {
            to: to.clone(),
            message: Message::Table { sequence, gossip },
        }));
    }
}

/// Returns the minimal update about the sender of a message without a stamp.
fn sender_without_stamp(from: &Incarnation) -> Rumor {
    Rumor {
        about: from.clone(),
        stamp_offset: 0,
        status: Status::Alive,
    }
}

/// Returns the update about its sender that a heartbeat implies.
fn sender(from: &Incarnation, heartbeat: &Heartbeat) -> Rumor {
    let status = if heartbeat.leaving {
        Status::Leaving
    } else {
        Status::Alive
    };
    Rumor {
        about: from.clone(),
        stamp_offset: heartbeat.stamp_offset,
        status,
    }
}
