//! Heartbeats: sending, answering and timing out.

use std::time::Duration;

use wire::{Incarnation, Time, Vm};

use super::{Action, Fitness, PERIOD, Roster};
use crate::message::{Beat, Message, Sequence};
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
        let message = Message::Ping(self.beat(now, sequence, &target));
        out.extend([Action::Send {
            to: target,
            message,
        }]);
    }

    fn beat(&mut self, now: Time, sequence: Sequence, to: &Vm) -> Beat {
        Beat {
            sequence,
            stamp_offset: self.stamp_offset,
            leaving: self.leaving,
            digest: self.digest(),
            revision: self.revision,
            gossip: self.gossip(now, to),
        }
    }

    fn digest(&self) -> u32 {
        let whole = self.table.digest(&self.own()) ^ self.board.digest();
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
            Message::Ping(beat) => self.ping(now, from, beat, out),
            Message::Ack(beat) => self.ack(now, from, beat, out),
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

    fn ping(&mut self, now: Time, from: Incarnation, beat: Beat, out: &mut impl Extend<Action>) {
        let (sequence, digest) = (beat.sequence, beat.digest);
        self.handle_beat(now, &from, beat, out);
        if digest != self.digest() {
            self.sync(now, &from.vm, out);
        }
        let message = Message::Ack(self.beat(now, sequence, &from.vm));
        out.extend([Action::Send {
            to: from.vm,
            message,
        }]);
    }

    fn ack(&mut self, now: Time, from: Incarnation, beat: Beat, out: &mut impl Extend<Action>) {
        let sequence = beat.sequence;
        let rumor = sender(&from, &beat);
        self.handle_beat(now, &from, beat, out);
        self.probes.answered(sequence);
        if let Some((asker, sequence)) = self.probes.relayed(sequence) {
            let message = Message::Reached { sequence, rumor };
            out.extend([Action::Send {
                to: asker.vm,
                message,
            }]);
        }
    }

    fn relay(
        &mut self,
        now: Time,
        from: Incarnation,
        asked: Sequence,
        target: Vm,
        out: &mut impl Extend<Action>,
    ) {
        if target == self.me.vm || self.fitness == Fitness::Superseded {
            return;
        }
        if let Some(sequence) = self.probes.relay(now, from, asked) {
            self.attempt(now, target, sequence, false, out);
        }
    }

    fn handle_beat(
        &mut self,
        now: Time,
        from: &Incarnation,
        beat: Beat,
        out: &mut impl Extend<Action>,
    ) {
        self.merge(now, sender(from, &beat), out);
        self.hear(now, beat.gossip, out);
        if self.table.heard(from, beat.revision) {
            out.extend([Action::Heard {
                from: from.clone(),
                revision: beat.revision,
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
fn sender(from: &Incarnation, beat: &Beat) -> Rumor {
    let status = if beat.leaving {
        Status::Leaving
    } else {
        Status::Alive
    };
    Rumor {
        about: from.clone(),
        stamp_offset: beat.stamp_offset,
        status,
    }
}
