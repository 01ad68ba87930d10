//! Outstanding heartbeat probes: retries, indirect probes through peers, and failure.
//!
//! The schedule tolerates 20% message loss: a heartbeat is sent up to [`DIRECT_TRIES`] times, and
//! from attempt [`RELAY_FROM`] on, other peers are asked to probe the target as well, so that a
//! broken link between two nodes does not make either of them suspect.

use std::time::Duration;

use wire::{Incarnation, Time, Vm};

use crate::message::Sequence;

/// Time between two attempts of one probe.
pub const TRY_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of heartbeats sent directly per probe.
pub const DIRECT_TRIES: u8 = 4;

/// First attempt, counted from 1, at which peers are also asked to probe the target.
pub const RELAY_FROM: u8 = 3;

/// Number of peers asked per attempt.
pub const RELAYS: usize = 3;

/// How long a relayed probe is kept while waiting for the target's answer.
const RELAY_LIFETIME: Duration = Duration::from_secs(1);

/// Maximum number of relayed probes kept at once.
const RELAY_MAX: usize = 64;

/// Next step of a due probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send a heartbeat to the VM and, if the flag is set, ask peers to do the same.
    Try(Vm, Sequence, bool),
    /// Give up on the VM.
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
    requester: Incarnation,
    requester_sequence: Sequence,
    until: Time,
}

/// Outstanding probes and relayed probes of one node; only a few at any time.
#[derive(Clone, Debug, Default)]
pub struct Probes {
    last: Sequence,
    probes: Vec<Probe>,
    relays: Vec<Relayed>,
}

impl Probes {
    /// Returns the next sequence number.
    pub fn number(&mut self) -> Sequence {
        self.last = self.last.wrapping_add(1).max(1);
        self.last
    }

    /// Starts a probe of `target`; its first heartbeat is due immediately.
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

    /// Advances one due probe and returns its next step.
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

    /// Completes the probe with number `sequence`. Returns whether it existed.
    pub fn answered(&mut self, sequence: Sequence) -> bool {
        let before = self.probes.len();
        self.probes.retain(|probe| probe.sequence != sequence);
        self.probes.len() != before
    }

    /// Registers a probe on behalf of `requester`. Returns its sequence number, or `None` at the
    /// limit.
    pub fn relay(
        &mut self,
        now: Time,
        requester: Incarnation,
        requester_sequence: Sequence,
    ) -> Option<Sequence> {
        self.relays.retain(|relay| relay.until > now);
        if self.relays.len() >= RELAY_MAX {
            return None;
        }
        let sequence = self.number();
        self.relays.push(Relayed {
            sequence,
            requester,
            requester_sequence,
            until: now + RELAY_LIFETIME,
        });
        Some(sequence)
    }

    /// Removes the relayed probe `sequence`. Returns its requester and the requester's number.
    pub fn relayed(&mut self, sequence: Sequence) -> Option<(Incarnation, Sequence)> {
        let index = self.relays.iter().position(|r| r.sequence == sequence)?;
        let relay = self.relays.swap_remove(index);
        Some((relay.requester, relay.requester_sequence))
    }

    /// Drops all outstanding probes and relays.
    pub fn clear(&mut self) {
        self.probes.clear();
        self.relays.clear();
    }

    /// Returns the time at which the next probe is due.
    pub fn wake(&self) -> Option<Time> {
        self.probes.iter().map(|probe| probe.due).min()
    }
}
