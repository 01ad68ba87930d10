//! How a node becomes fit to own upstreams after a start or a pause.
//!
//! It requests the tables of a few peers. Only answers to requests sent since the start or pause
//! count, because messages queued during a pause are as stale as the node's own state.
//!
//! A node stays unfit if it has never received the platform's list or is not on it: its peers
//! exclude it, and would distribute among themselves what it considers its own.

use std::time::Duration;

use wire::{Incarnation, Time, Vm};

use super::{Action, Fitness, Roster};
use crate::message::{Message, Sequence};
use crate::note::Note;

/// Number of peers that must answer, or all listed peers if there are fewer.
const ANSWERS: usize = 2;

/// Number of peers per round of requests.
const FANOUT: usize = 3;

/// Interval between rounds of requests.
const INTERVAL: Duration = Duration::from_millis(300);

/// Time without an answer after which a node continues alone.
const ALONE_AFTER: Duration = Duration::from_secs(10);

/// Answers received so far.
#[derive(Clone, Debug, Default)]
pub(super) struct Join {
    // Answers to requests up to this number do not count.
    floor: Sequence,
    heard: Vec<Vm>,
}

impl Roster {
    /// Starts requesting tables.
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

    /// Discards outstanding work after a pause of `gap`.
    pub(super) fn resume(&mut self, now: Time, gap: Duration, out: &mut impl Extend<Action>) {
        self.probes.clear();
        self.table.restart_suspicion(now);
        self.next_probe = now;
        if self.fitness != Fitness::Superseded {
            self.start_join(now);
        }
        out.extend([Action::Note(Note::Paused { gap })]);
    }

    /// Sends the next round of requests if it is due.
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

    /// Records an answer.
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

    /// Returns the time of the next round of requests.
    pub(super) fn join_wake(&self) -> Option<Time> {
        match self.fitness {
            Fitness::Joining { next, .. } if self.may_join() => Some(next),
            _ => None,
        }
    }
}
