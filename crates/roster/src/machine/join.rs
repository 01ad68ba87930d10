//! How a node that starts, or that was paused, becomes fit to own.
//!
//! It asks a few peers for their tables. Only answers to questions asked since then count: what
//! waited in its inbox during a pause is as old as its own beliefs.
//!
//! A node whose platform list was never read, or names others but not this node, stays unfit: its
//! peers count it out, and would share with each other what it took for its own.

use std::time::Duration;

use wire::{Incarnation, Time, Vm};

use super::{Action, Fitness, Roster};
use crate::message::{Message, Sequence};
use crate::note::Note;

/// Peers that have to answer, or fewer where fewer are listed.
const ANSWERS: usize = 2;

/// Peers asked at a time.
const FANOUT: usize = 3;

/// Time between two questions.
const INTERVAL: Duration = Duration::from_millis(300);

/// Time without an answer after which a node goes on alone.
const ALONE_AFTER: Duration = Duration::from_secs(10);

/// The answers so far.
#[derive(Clone, Debug, Default)]
pub(super) struct Join {
    // Answers to older questions do not count.
    floor: Sequence,
    heard: Vec<Vm>,
}

impl Roster {
    /// Begins to ask.
    pub(super) fn start_join(&mut self, now: Time) {
        self.join = Join {
            floor: self.probes.number(),
            heard: Vec::new(),
        };
        self.fitness = Fitness::Joining {
            since: now,
            next: now,
        };
    }

    /// Forgets, after a pause of `gap`, what was outstanding before it.
    pub(super) fn resume(&mut self, now: Time, gap: Duration, out: &mut impl Extend<Action>) {
        self.probes.clear();
        self.table.restart_suspicion(now);
        self.next_probe = now;
        if self.fitness != Fitness::Superseded {
            self.start_join(now);
        }
        out.extend([Action::Note(Note::Paused { gap })]);
    }

    /// Asks again where that is due.
    pub(super) fn join(&mut self, now: Time, out: &mut impl Extend<Action>) {
        let Fitness::Joining { since, next } = self.fitness else {
            return;
        };
        if !self.may_join() {
            return;
        }
        if self.table.len() == 0 || now >= since + ALONE_AFTER {
            self.become_fit();
            return out.extend([Action::Note(Note::Alone)]);
        }
        if now < next {
            return;
        }
        let next = now + INTERVAL;
        self.fitness = Fitness::Joining { since, next };
        let sequence = self.probes.number();
        let peers: Vec<Vm> = self.table.members().map(|m| m.vm.clone()).collect();
        let peers = self.random.pick(peers, FANOUT);
        out.extend(peers.into_iter().map(|to| Action::Send {
            to,
            message: Message::Join { sequence },
        }));
    }

    /// Counts an answer.
    pub(super) fn joined(
        &mut self,
        from: &Incarnation,
        sequence: Sequence,
        out: &mut impl Extend<Action>,
    ) {
        let joining = matches!(self.fitness, Fitness::Joining { .. });
        if !joining || !self.may_join() || sequence <= self.join.floor {
            return;
        }
        if !self.join.heard.contains(&from.vm) {
            self.join.heard.push(from.vm.clone());
        }
        let heard = self.join.heard.len();
        if heard >= ANSWERS.min(self.table.len()) {
            self.become_fit();
            out.extend([Action::Note(Note::Fit { heard })]);
        }
    }

    fn may_join(&self) -> bool {
        self.listed && !self.missing
    }

    fn become_fit(&mut self) {
        self.fitness = Fitness::Fit;
        self.established = true;
    }

    /// Returns the time of the next question.
    pub(super) fn join_wake(&self) -> Option<Time> {
        match self.fitness {
            Fitness::Joining { next, .. } if self.may_join() => Some(next),
            _ => None,
        }
    }
}
