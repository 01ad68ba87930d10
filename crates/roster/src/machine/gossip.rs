//! Outgoing update queue and handling of incoming updates.

use std::time::Duration;

use wire::{Time, Upstream, Vm};

use super::table::{Merge, doublings};
use super::{Action, Fitness, Roster};
use crate::message::{Gossip, Message};
use crate::note::Note;
use crate::notice::Source;
use crate::rumor::{Rumor, Status};

/// Maximum number of rumors in one heartbeat.
const RUMOR_MAX: usize = 6;

/// Maximum number of notices in one heartbeat.
const NOTICE_MAX: usize = 4;

/// Number of times an update is sent, per doubling of the region.
const SENDS_PER_DOUBLING: u32 = 3;

/// Number of peers that urgent updates are sent to per round.
const NEWS_FANOUT: usize = 3;

/// Number of rounds in which an urgent update is sent.
const NEWS_ROUNDS: u8 = 4;

/// Interval between rounds of urgent updates.
const NEWS_INTERVAL: Duration = Duration::from_millis(200);

/// Subject of an update.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Key {
    Node(Vm),
    Upstream(Upstream),
}

#[derive(Clone, Debug)]
struct Item {
    key: Key,
    sends: u32,
    // Remaining rounds as an urgent update.
    rounds: u8,
}

/// Subjects whose updates are still to be sent; the update itself is looked up when it is sent.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    items: Vec<Item>,
    next_round: Time,
}

impl Queue {
    pub(super) fn rumor(&mut self, vm: &Vm) {
        self.push(Key::Node(vm.clone()), 0);
    }

    pub(super) fn urgent_rumor(&mut self, vm: &Vm) {
        self.push(Key::Node(vm.clone()), NEWS_ROUNDS);
    }

    pub(super) fn notice(&mut self, upstream: &Upstream) {
        self.push(Key::Upstream(upstream.clone()), 0);
    }

    pub(super) fn urgent_notice(&mut self, upstream: &Upstream) {
        self.push(Key::Upstream(upstream.clone()), NEWS_ROUNDS);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    fn push(&mut self, key: Key, rounds: u8) {
        if rounds > 0 {
            self.next_round = Time::ZERO;
        }
        self.items.retain(|item| item.key != key);
        self.items.push(Item {
            key,
            sends: 0,
            rounds,
        });
    }

    /// Returns the updates for one heartbeat, least often sent first, and counts the sends.
    fn take(&mut self, limit: u32) -> Vec<Key> {
        self.items.sort_by_key(|item| item.sends);
        let (mut rumors, mut notices) = (RUMOR_MAX, NOTICE_MAX);
        let mut keys = Vec::new();
        for item in &mut self.items {
            let room = match item.key {
                Key::Node(_) => &mut rumors,
                Key::Upstream(_) => &mut notices,
            };
            if *room > 0 {
                *room -= 1;
                item.sends += 1;
                keys.push(item.key.clone());
            }
        }
        self.items
            .retain(|item| item.sends < limit || item.rounds > 0);
        keys
    }

    /// Postpones urgent updates while no peer is reachable.
    fn defer(&mut self, now: Time) {
        self.next_round = now + NEWS_INTERVAL;
    }

    /// Returns the urgent updates of the round that is due.
    fn round(&mut self, now: Time) -> Vec<Key> {
        if self.wake().is_none_or(|due| due > now) {
            return Vec::new();
        }
        self.next_round = now + NEWS_INTERVAL;
        let urgent = self.items.iter_mut().filter(|item| item.rounds > 0);
        let keys = urgent.map(|item| {
            item.rounds -= 1;
            item.key.clone()
        });
        keys.take(RUMOR_MAX + NOTICE_MAX).collect()
    }

    /// Returns the time of the next round of urgent updates.
    pub(super) fn wake(&self) -> Option<Time> {
        let urgent = self.items.iter().any(|item| item.rounds > 0);
        urgent.then_some(self.next_round)
    }
}

impl Roster {
    /// Returns the updates to piggyback on a message to `to`.
    pub(super) fn gossip(&mut self, now: Time, to: &Vm) -> Gossip {
        let limit = SENDS_PER_DOUBLING * doublings(self.table.len()).max(1);
        let keys = self.queue.take(limit);
        let mut gossip = self.look_up(now, keys);
        // Every message to a node in doubt includes the doubt, so that the node can refute it.
        let doubt = self.table.rumor(to).filter(|r| r.status == Status::Doubt);
        let doubt = doubt.filter(|r| !gossip.rumors.contains(r)).cloned();
        gossip.rumors.extend(doubt);
        gossip
    }

    /// Returns the full table in parts.
    pub(super) fn whole(&self, now: Time, part: usize) -> Vec<Gossip> {
        let mut rumors: Vec<Rumor> = self.table.rumors().cloned().collect();
        rumors.push(self.own());
        let mut parts: Vec<Gossip> = rumors
            .chunks(part)
            .map(|rumors| Gossip {
                rumors: rumors.to_vec(),
                notices: Vec::new(),
            })
            .collect();
        for (index, notices) in self.notices.notices(now).chunks(part).enumerate() {
            if parts.len() == index {
                parts.push(Gossip::default());
            }
            parts[index].notices = notices.to_vec();
        }
        parts
    }

    fn look_up(&self, now: Time, keys: Vec<Key>) -> Gossip {
        let mut gossip = Gossip::default();
        for key in keys {
            match key {
                Key::Node(vm) if vm == self.me.vm => gossip.rumors.push(self.own()),
                Key::Node(vm) => gossip.rumors.extend(self.table.rumor(&vm).cloned()),
                Key::Upstream(upstream) => {
                    gossip.notices.extend(self.notices.notice(now, &upstream));
                }
            }
        }
        gossip
    }

    /// Sends urgent updates that are due.
    pub(super) fn send_news(&mut self, now: Time, out: &mut impl Extend<Action>) {
        let reachable = self.table.reachable();
        if reachable.is_empty() {
            return self.queue.defer(now);
        }
        let keys = self.queue.round(now);
        let gossip = self.look_up(now, keys);
        if gossip.is_empty() {
            return;
        }
        let targets = self.random.pick(reachable, NEWS_FANOUT);
        out.extend(targets.into_iter().map(|to| Action::Send {
            to,
            message: Message::News(gossip.clone()),
        }));
    }

    /// Merges a peer's updates.
    pub(super) fn hear(&mut self, now: Time, gossip: Gossip, out: &mut impl Extend<Action>) {
        for rumor in gossip.rumors {
            if *rumor.vm() == self.me.vm {
                self.defend(&rumor, out);
            } else {
                self.merge(now, rumor, out);
            }
        }
        for notice in gossip.notices {
            let (change, better) = self.notices.merge(now, &notice);
            if better {
                self.queue.notice(&notice.upstream);
            }
            self.spread_notice(change, notice.upstream, Source::Peer, out);
        }
    }

    /// Merges an update about another node.
    pub(super) fn merge(&mut self, now: Time, rumor: Rumor, out: &mut impl Extend<Action>) {
        let merge = self.table.merge(now, &rumor);
        let vm = rumor.vm().clone();
        let note = match merge {
            Merge::Known => return,
            // Send the newer update, since the peer has an outdated one.
            Merge::Older => return self.queue.rumor(&vm),
            Merge::Confirmed => None,
            Merge::Appeared => Some(Note::Appeared(rumor.about)),
            Merge::Replaced => Some(Note::Replaced(rumor.about)),
            Merge::Unresponsive => Some(Note::Unresponsive(rumor.about)),
            Merge::Refuted => Some(Note::Refuted(rumor.about)),
            Merge::Left => Some(Note::Left(rumor.about)),
        };
        match merge {
            // Peers drop messages of a new process until they know it.
            Merge::Left | Merge::Appeared | Merge::Replaced => self.queue.urgent_rumor(&vm),
            _ => self.queue.rumor(&vm),
        }
        out.extend(note.map(Action::Note));
    }

    /// Handles an update about this node's own VM.
    fn defend(&mut self, rumor: &Rumor, out: &mut impl Extend<Action>) {
        let own = self.own();
        if *rumor == own || !rumor.supersedes(&own) {
            return;
        }
        let foreign = rumor.about != self.me;
        if foreign && self.established {
            // Peers already knew this process, so the other one must have started later.
            self.fitness = Fitness::Superseded;
            return out.extend([Action::Note(Note::Superseded(rumor.about.clone()))]);
        }
        if self.fitness == Fitness::Superseded {
            return;
        }
        self.stamp_offset = (rumor.stamp() + 1).saturating_sub(self.me.start);
        self.queue.urgent_rumor(&self.me.vm);
        out.extend([Action::Note(Note::SuspicionRefuted {
            stamp_offset: self.stamp_offset,
        })]);
    }
}
