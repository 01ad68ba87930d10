//! Outstanding heartbeats: when to repeat one, when to ask others, when to give up.
//!
//! The schedule tolerates a fifth of the messages lost: a heartbeat is sent up to
//! [`DIRECT_TRIES`] times, and from the [`RELAY_FROM`]th try on peers are asked to try as well,
//! so that a cut between two nodes alone convicts neither.

use std::time::Duration;

use wire::{Incarnation, Time, Vm};

use crate::message::Sequence;

/// Time between two tries of one probe.
pub const TRY_INTERVAL: Duration = Duration::from_millis(200);

/// Heartbeats that a probe sends by itself.
pub const DIRECT_TRIES: u8 = 4;

/// The try from which peers are asked too; the first is 1.
pub const RELAY_FROM: u8 = 3;

/// Peers asked per try.
pub const RELAYS: usize = 3;

/// How long a relay remembers for whom it tries.
const RELAY_LIFETIME: Duration = Duration::from_secs(1);

/// Relays remembered at once.
const RELAY_MAX: usize = 64;

/// What a due probe does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Sends a heartbeat to the VM, and asks peers to do so where the flag is set.
    Try(Vm, Sequence, bool),
    /// Gives up.
    Fail(Vm),
}

#[derive(Clone, Debug)]
struct Probe {
    target: Vm,
    sequence: Sequence,
    tries: u8,
    due: Time,
}

#[derive(Clone, Debug)]
struct Relayed {
    sequence: Sequence,
    asker: Incarnation,
    asked: Sequence,
    until: Time,
}

/// The outstanding probes and relays of one node; a handful at any moment.
#[derive(Clone, Debug, Default)]
pub struct Probes {
    last: Sequence,
    probes: Vec<Probe>,
    relays: Vec<Relayed>,
}

impl Probes {
    /// Returns the next unused number.
    pub fn number(&mut self) -> Sequence {
        self.last = self.last.wrapping_add(1).max(1);
        self.last
    }

    /// Begins to probe `target`; its first heartbeat is due at once.
    pub fn begin(&mut self, now: Time, target: &Vm) {
        if self.probes.iter().any(|probe| probe.target == *target) {
            return;
        }
        let sequence = self.number();
        self.probes.push(Probe {
            target: target.clone(),
            sequence,
            tries: 0,
            due: now,
        });
    }

    /// Returns what one due probe does next.
    pub fn next(&mut self, now: Time) -> Option<Step> {
        let index = self.probes.iter().position(|probe| probe.due <= now)?;
        let probe = &mut self.probes[index];
        if probe.tries == DIRECT_TRIES {
            return Some(Step::Fail(self.probes.swap_remove(index).target));
        }
        probe.tries += 1;
        probe.due = now + TRY_INTERVAL;
        let relayed = probe.tries >= RELAY_FROM;
        Some(Step::Try(probe.target.clone(), probe.sequence, relayed))
    }

    /// Ends the probe that `sequence` belongs to. Returns whether there was one.
    pub fn answered(&mut self, sequence: Sequence) -> bool {
        let before = self.probes.len();
        self.probes.retain(|probe| probe.sequence != sequence);
        self.probes.len() != before
    }

    /// Remembers to report an answer to `asker`. Returns the number to send.
    pub fn relay(&mut self, now: Time, asker: Incarnation, asked: Sequence) -> Option<Sequence> {
        self.relays.retain(|relay| relay.until > now);
        if self.relays.len() >= RELAY_MAX {
            return None;
        }
        let sequence = self.number();
        self.relays.push(Relayed {
            sequence,
            asker,
            asked,
            until: now + RELAY_LIFETIME,
        });
        Some(sequence)
    }

    /// Returns whom to report the answer `sequence` to, and under which number.
    pub fn relayed(&mut self, sequence: Sequence) -> Option<(Incarnation, Sequence)> {
        let index = self.relays.iter().position(|r| r.sequence == sequence)?;
        let relay = self.relays.swap_remove(index);
        Some((relay.asker, relay.asked))
    }

    /// Forgets everything outstanding.
    pub fn clear(&mut self) {
        self.probes.clear();
        self.relays.clear();
    }

    /// Returns the time at which the next probe is due.
    pub fn wake(&self) -> Option<Time> {
        self.probes.iter().map(|probe| probe.due).min()
    }
}
