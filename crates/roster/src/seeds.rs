//! Member discovery without a platform list, from seed addresses (possibly stale) and gossip.
//!
//! Each node keeps a record of every known VM, with the time since any node last heard from it,
//! and compares its records with those of a random peer once a [`PERIOD`] (anti-entropy, Demers et
//! al., 1987). Peers with the same records exchange a digest and the records that are about to
//! expire; only peers that differ exchange all, so that the cost does not grow with the fleet. A VM that no node has heard from for [`RECORD_LIFETIME`] is dropped. The result replaces
//! the platform's list in [`crate::Roster`], which does the failure detection.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use wire::machine::millis;
use wire::{Machine, Time, Vm, Zone, rank};

use crate::Member;
use crate::random::Random;

/// Interval between exchanges with a random peer.
pub const PERIOD: Duration = Duration::from_millis(1_000);

/// Interval between requests to the seeds while no peer is known.
pub const ISOLATED_PERIOD: Duration = Duration::from_millis(200);

/// Interval between requests to a seed while peers are known. They reconnect parts of a fleet that
/// were partitioned for longer than [`RECORD_LIFETIME`].
pub const SEED_PERIOD: Duration = Duration::from_secs(4);

/// Time after which the record of a VM that no node heard from is dropped.
pub const RECORD_LIFETIME: Duration = Duration::from_secs(15);

/// Age from which a node asks its peers whether they have heard from a VM since.
const REFRESH_AGE: Duration = Duration::from_secs(5);

/// Maximum number of records per message: about 1,200 bytes, which fit in one datagram.
const PART: usize = 16;

/// Description of one VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its id.
    pub vm: Vm,
    /// Its availability zone.
    pub zone: Zone,
    /// Address for peers.
    pub peers: SocketAddr,
    /// Address for callers.
    pub callers: SocketAddr,
}

/// A record with its age.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgedRecord {
    /// The record.
    pub record: Record,
    /// Milliseconds since any node heard from the VM.
    pub age: u32,
}

/// A message between two nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Sends the sender's records and requests the receiver's.
    Ask(Vec<AgedRecord>),
    /// Sends records without requesting any.
    Tell(Vec<AgedRecord>),
    /// Requests all records of the receiver if they differ from the sender's, or else those of
    /// `overdue` that the receiver has heard from more recently.
    Compare {
        /// Digest of the sender's records, ages aside.
        digest: u64,
        /// Records of VMs that the sender has not heard from for a while.
        overdue: Vec<AgedRecord>,
    },
}

/// Input of the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A message arrived.
    Receive {
        /// Where it came from.
        from: SocketAddr,
        /// The message.
        message: Message,
    },
    /// A message arrived from the VM itself.
    Alive(Vm),
    /// Replaces the seeds. New ones are asked at once: they may belong to nodes that no known one has met.
    Seeds(Vec<SocketAddr>),
    /// Time passed.
    Tick,
}

/// Output of the state machine, to be performed by the driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message, best effort.
    Send {
        /// The recipient.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// The current members, including this node.
    Members(Vec<Member>),
}

#[derive(Clone, Debug)]
struct Entry {
    record: Record,
    heard: Time,
}

impl Entry {
    fn aged(&self, now: Time) -> AgedRecord {
        AgedRecord {
            record: self.record.clone(),
            age: millis(now.saturating_sub(self.heard)),
        }
    }
}

/// Discovery state machine of one node.
#[derive(Clone, Debug)]
pub struct Seeds {
    me: Record,
    seeds: Vec<SocketAddr>,
    random: Random,
    entries: Vec<Entry>,
    next: Time,
    next_seed: Time,
    published: bool,
}

impl Seeds {
    /// Creates the state machine of the node described by `me`.
    pub fn new(me: Record, seeds: impl IntoIterator<Item = SocketAddr>, seed: u64) -> Self {
        let mut machine = Self {
            me,
            seeds: Vec::new(),
            random: Random::new(seed),
            entries: Vec::new(),
            next: Time::ZERO,
            next_seed: Time::ZERO,
            published: false,
        };
        machine.set_seeds(seeds);
        machine
    }

    /// Returns the record of `vm`.
    pub fn record(&self, vm: &str) -> Option<&Record> {
        if *self.me.vm == *vm {
            return Some(&self.me);
        }
        let index = self.find(vm).ok()?;
        Some(&self.entries[index].record)
    }

    /// Returns the number of other known VMs.
    pub fn known(&self) -> usize {
        self.entries.len()
    }

    /// Returns the records of all known VMs, this node's first.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        let others = self.entries.iter().map(|entry| &entry.record);
        std::iter::once(&self.me).chain(others)
    }

    /// Returns the number of seeds beside this node.
    pub fn seeds(&self) -> usize {
        self.seeds.len()
    }

    fn find(&self, vm: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| (*entry.record.vm).cmp(vm))
    }

    fn set_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddr>) {
        let others = seeds.into_iter().filter(|seed| *seed != self.me.peers);
        self.seeds = others.collect();
    }

    fn replace_seeds(&mut self, now: Time, seeds: Vec<SocketAddr>, out: &mut Vec<Action>) {
        let former = std::mem::take(&mut self.seeds);
        self.set_seeds(seeds);
        for to in self.seeds.iter().filter(|seed| !former.contains(seed)) {
            self.ask(now, *to, out);
        }
    }

    fn receive(&mut self, now: Time, from: SocketAddr, message: Message, out: &mut Vec<Action>) {
        let (records, answer) = match message {
            Message::Ask(records) => (records, true),
            Message::Tell(records) => (records, false),
            Message::Compare { digest, overdue } => {
                return self.compare(now, from, digest, overdue, out);
            }
        };
        let mut changed = false;
        for aged in records {
            changed |= self.merge(now, aged);
        }
        if answer {
            out.extend(self.parts(now).map(|part| Action::Send {
                to: from,
                message: Message::Tell(part),
            }));
        }
        if changed {
            self.publish_members(out);
        }
    }

    fn compare(
        &mut self,
        now: Time,
        from: SocketAddr,
        digest: u64,
        overdue: Vec<AgedRecord>,
        out: &mut Vec<Action>,
    ) {
        if digest != self.digest() {
            return self.ask(now, from, out);
        }
        let mut fresher = Vec::new();
        for aged in overdue {
            let known = self.find(&aged.record.vm).ok();
            let known = known.map(|index| self.entries[index].aged(now));
            match known {
                Some(known) if known.age < aged.age => fresher.push(known),
                _ => {
                    self.merge(now, aged);
                }
            }
        }
        if !fresher.is_empty() {
            out.push(Action::Send {
                to: from,
                message: Message::Tell(fresher),
            });
        }
    }

    /// Returns a digest of all records, this node's included and ages aside.
    fn digest(&self) -> u64 {
        let records = self.entries.iter().map(|entry| &entry.record);
        let hash = |record: &Record| {
            let Record {
                vm,
                zone,
                peers,
                callers,
            } = record;
            rank::hash(format!("{vm} {zone} {peers} {callers}"))
        };
        records
            .chain([&self.me])
            .map(hash)
            .fold(0, |digest, hash| digest ^ hash)
    }

    /// Compares records with a peer, or exchanges all if too many are about to expire.
    fn compare_with(&self, now: Time, to: SocketAddr, out: &mut Vec<Action>) {
        let is_overdue = |entry: &&Entry| now >= entry.heard + REFRESH_AGE;
        let overdue = self.entries.iter().filter(is_overdue);
        let overdue: Vec<AgedRecord> = overdue.map(|entry| entry.aged(now)).collect();
        if overdue.len() > PART {
            return self.ask(now, to, out);
        }
        let digest = self.digest();
        let message = Message::Compare { digest, overdue };
        out.push(Action::Send { to, message });
    }

    /// Merges a record. Returns whether the members changed.
    fn merge(&mut self, now: Time, aged: AgedRecord) -> bool {
        let age = Duration::from_millis(aged.age.into());
        if *aged.record.vm == *self.me.vm || age >= RECORD_LIFETIME {
            return false;
        }
        let at = now.saturating_sub(age);
        match self.find(&aged.record.vm) {
            Ok(index) => {
                let entry = &mut self.entries[index];
                if at <= entry.heard {
                    return false;
                }
                entry.heard = at;
                let moved = entry.record != aged.record;
                entry.record = aged.record;
                moved
            }
            Err(index) => {
                let entry = Entry {
                    record: aged.record,
                    heard: at,
                };
                self.entries.insert(index, entry);
                true
            }
        }
    }

    fn alive(&mut self, now: Time, vm: &str) {
        if let Ok(index) = self.find(vm) {
            self.entries[index].heard = now;
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        let before = self.entries.len();
        self.entries
            .retain(|entry| now < entry.heard + RECORD_LIFETIME);
        if self.entries.len() != before || !self.published {
            self.publish_members(out);
        }
        if now >= self.next_seed {
            self.ask_seeds(now, out);
        }
        if now >= self.next {
            self.next = now + PERIOD;
            let peers: Vec<SocketAddr> = self.entries.iter().map(|e| e.record.peers).collect();
            for to in self.random.pick(peers, 1) {
                self.compare_with(now, to, out);
            }
        }
    }

    fn ask_seeds(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.entries.is_empty() {
            self.next_seed = now + ISOLATED_PERIOD;
            for to in self.seeds.clone() {
                self.ask(now, to, out);
            }
            return;
        }
        self.next_seed = now + SEED_PERIOD;
        for to in self.random.pick(self.seeds.clone(), 1) {
            self.compare_with(now, to, out);
        }
    }

    fn ask(&self, now: Time, to: SocketAddr, out: &mut Vec<Action>) {
        out.extend(self.parts(now).enumerate().map(|(index, part)| {
            // Only the first part requests an answer; one is enough.
            let message = if index == 0 {
                Message::Ask(part)
            } else {
                Message::Tell(part)
            };
            Action::Send { to, message }
        }));
    }

    /// Returns all records in parts, this node's first.
    fn parts(&self, now: Time) -> impl Iterator<Item = Vec<AgedRecord>> + use<> {
        let own = AgedRecord {
            record: self.me.clone(),
            age: 0,
        };
        let others = self.entries.iter().map(|entry| entry.aged(now));
        let all: Vec<AgedRecord> = std::iter::once(own).chain(others).collect();
        let parts: Vec<Vec<AgedRecord>> = all.chunks(PART).map(<[AgedRecord]>::to_vec).collect();
        parts.into_iter()
    }

    fn publish_members(&mut self, out: &mut Vec<Action>) {
        self.published = true;
        let records = self.entries.iter().map(|entry| &entry.record);
        let members = records.chain([&self.me]).map(|record| Member {
            vm: record.vm.clone(),
            zone: record.zone.clone(),
            leaving: false,
        });
        out.push(Action::Members(members.collect()));
    }
}

impl Machine for Seeds {
    type Event = Event;
    type Action = Action;

    fn step(&mut self, now: Time, event: Event, out: &mut impl Extend<Action>) {
        let mut actions = Vec::new();
        match event {
            Event::Receive { from, message } => self.receive(now, from, message, &mut actions),
            Event::Alive(vm) => self.alive(now, &vm),
            Event::Seeds(seeds) => self.replace_seeds(now, seeds, &mut actions),
            Event::Tick => self.tick(now, &mut actions),
        }
        out.extend(actions);
    }

    fn wake(&self) -> Option<Time> {
        Some(self.next.min(self.next_seed))
    }
}
