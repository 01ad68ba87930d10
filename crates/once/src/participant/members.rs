//! The witness set as one node knows it: joins, burials, recovery and founding.

use std::time::Duration;

use wire::{Incarnation, Time, View};

use super::{Action, Note, Participant};
use crate::key::Key;
use crate::ledger::Page;
use crate::message::Message;
use crate::set::{Member, Set};

/// Greetings after which a silent peer no longer counts as heard.
const BEATS_HEARD: u32 = 4;

/// The last greeting of a peer.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    member: Member,
    set: u64,
    lineage: u64,
    holder: bool,
    heard: Time,
}

/// A member that the view does not show.
#[derive(Clone, Debug)]
pub(super) struct Absent {
    member: Member,
    since: Time,
}

/// How far the records of one holder have been read.
#[derive(Clone, Debug)]
struct Reader {
    member: Member,
    after: Option<Key>,
    done: bool,
}

/// The reading of other holders' records at one set.
#[derive(Clone, Debug)]
pub(super) struct Recovery {
    readers: Vec<Reader>,
    quarantine: Duration,
    resend: Time,
}

impl Participant {
    pub(super) fn take_view(&mut self, now: Time, view: View, out: &mut Vec<Action>) {
        self.view = view;
        self.bury_absent(now, out);
        self.tick_members(now, out);
    }

    pub(super) fn receive_member(
        &mut self,
        now: Time,
        from: &Incarnation,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        match message {
            Message::Hello {
                set,
                lineage,
                member,
                holder,
            } if member.incarnation == *from => {
                self.hear(now, member, set, lineage, holder);
                let tells = self.set.lineage() != 0 || lineage == 0;
                if self.holder && !self.set.contains(&self.peer_term(from)) {
                    // Members greet only each other; the other nodes learn of them by asking.
                    let hello = self.hello();
                    self.send(&from.vm, hello, out);
                }
                if set != self.id && tells {
                    let set = self.set.clone();
                    self.send(&from.vm, Message::Sync { set }, out);
                }
            }
            Message::Sync { set } => self.take_set(now, from, set, out),
            Message::Page {
                set,
                voter,
                after,
                quarantine,
                page,
            } if set == self.id && voter.incarnation == *from => {
                self.take_page(now, &voter, after, quarantine, page, out);
            }
            _ => {}
        }
    }

    /// Returns the term that `incarnation` greeted with last.
    fn peer_term(&self, incarnation: &Incarnation) -> Member {
        let known = self
            .peers
            .iter()
            .find(|p| p.member.incarnation == *incarnation);
        known.map_or_else(
            || Member {
                incarnation: incarnation.clone(),
                round: 0,
            },
            |p| p.member.clone(),
        )
    }

    fn hello(&self) -> Message {
        Message::Hello {
            set: self.id,
            lineage: self.set.lineage(),
            member: self.me.clone(),
            holder: self.holder,
        }
    }

    fn hear(&mut self, now: Time, member: Member, set: u64, lineage: u64, holder: bool) {
        let peer = Peer {
            member,
            set,
            lineage,
            holder,
            heard: now,
        };
        let vm = &peer.member.incarnation.vm;
        match self
            .peers
            .binary_search_by(|p| p.member.incarnation.vm.cmp(vm))
        {
            Ok(index) => self.peers[index] = peer,
            Err(index) => self.peers.insert(index, peer),
        }
    }

    fn heard(&self, now: Time) -> impl Iterator<Item = &Peer> {
        let span = self.config.beat * BEATS_HEARD;
        self.peers
            .iter()
            .filter(move |peer| now <= peer.heard + span)
    }

    /// Counts the holders of this node's lineage that were heard of lately, itself included.
    pub(super) fn holders(&self, now: Time) -> usize {
        let lineage = self.set.lineage();
        let holds = |peer: &&Peer| {
            peer.holder && peer.lineage == lineage && self.set.contains(&peer.member)
        };
        self.heard(now).filter(holds).count() + usize::from(self.holder)
    }

    /// Takes another node's set in.
    fn take_set(&mut self, now: Time, from: &Incarnation, mut set: Set, out: &mut Vec<Action>) {
        set.tidy();
        let mine = self.set.lineage();
        if mine == 0 && set.lineage() != 0 {
            if set.size() == self.set.size() {
                self.enter(now, set, out);
            }
            return;
        }
        let theirs = set.id();
        let mut merged = self.set.clone();
        if !merged.merge(&set) {
            return;
        }
        self.adopt(now, merged, out);
        if self.id != theirs {
            let set = self.set.clone();
            self.send(&from.vm, Message::Sync { set }, out);
        }
    }

    /// Takes the set of a lineage in, having had none. A member that did not join by itself is
    /// one that founded.
    fn enter(&mut self, now: Time, set: Set, out: &mut Vec<Action>) {
        self.joined = false;
        let founder = set.contains(&self.me);
        if !founder && set.buried(&self.me) {
            self.me.round += 1;
        }
        self.supplied = now;
        self.since = now;
        self.adopt(now, set, out);
        if founder && self.set.contains(&self.me) {
            self.quarantine = now + self.config.quarantine;
            self.hold(out);
        }
        self.join(now, out);
    }

    fn hold(&mut self, out: &mut Vec<Action>) {
        self.holder = true;
        self.recovery = None;
        out.push(Action::Note(Note::VotingStarted {
            lineage: self.set.lineage(),
            records: self.ledger.len(),
        }));
    }

    /// Goes over to a set that is greater than the present one. From here on nothing is answered
    /// at the former one.
    fn adopt(&mut self, now: Time, set: Set, out: &mut Vec<Action>) {
        if set == self.set {
            return;
        }
        self.set = set;
        self.id = self.set.id();
        self.recovery = None;
        if self.set.buried(&self.me) {
            self.me.round += 1;
            self.joined = false;
            self.holder = false;
            self.since = now;
        }
        self.restart_runs(now, out);
        self.beat = now;
        self.join(now, out);
        self.recover(now, out);
    }

    /// Adds this node's term where there is room.
    fn join(&mut self, now: Time, out: &mut Vec<Action>) {
        let member = self.set.contains(&self.me);
        if self.leaving || member || !self.set.open() {
            return;
        }
        let mut set = self.set.clone();
        for round in 0..self.me.round {
            set.bury(&Member {
                round,
                ..self.me.clone()
            });
        }
        set.add(self.me.clone());
        self.joined = true;
        self.adopt(now, set, out);
        let set = self.set.clone();
        self.send_all(&Message::Sync { set }, out);
    }

    /// Reads the other members' records at the present set.
    fn recover(&mut self, now: Time, out: &mut Vec<Action>) {
        let wants = self.set.lineage() != 0 && self.joined && !self.holder;
        if !wants || !self.set.contains(&self.me) {
            return;
        }
        if self.recovery.is_none() {
            self.recovery = Some(self.new_recovery());
        }
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        recovery.resend = now + self.config.resend * 4;
        let open: Vec<Reader> = recovery
            .readers
            .iter()
            .filter(|r| !r.done)
            .cloned()
            .collect();
        for reader in open {
            self.send_recover(&reader, out);
        }
    }

    pub(super) fn recovery_due(&self) -> Option<Time> {
        self.recovery.as_ref().map(|recovery| recovery.resend)
    }

    fn new_recovery(&self) -> Recovery {
        let others = self.set.members().iter().filter(|m| **m != self.me);
        let reader = |member: &Member| Reader {
            member: member.clone(),
            after: None,
            done: false,
        };
        Recovery {
            readers: others.map(reader).collect(),
            quarantine: Duration::ZERO,
            resend: Time::ZERO,
        }
    }

    fn send_recover(&mut self, reader: &Reader, out: &mut Vec<Action>) {
        let message = Message::Recover {
            set: self.id,
            after: reader.after,
        };
        self.send(&reader.member.incarnation.vm, message, out);
    }

    fn take_page(
        &mut self,
        now: Time,
        voter: &Member,
        after: Option<Key>,
        quarantine: Duration,
        page: Page,
        out: &mut Vec<Action>,
    ) {
        let quorum = self.set.quorum();
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        let reads = |r: &&mut Reader| r.member == *voter && r.after == after && !r.done;
        let Some(reader) = recovery.readers.iter_mut().find(reads) else {
            return;
        };
        let last = page.copies.last().map(|copy| copy.key);
        if !page.last && (last.is_none() || last <= after) {
            return;
        }
        reader.after = last.or(after);
        reader.done = page.last;
        let reader = reader.clone();
        let quarantine = quarantine.min(self.config.full_quarantine());
        recovery.quarantine = recovery.quarantine.max(quarantine);
        let keep = self.config.keep();
        for mut copy in page.copies {
            copy.left = copy.left.min(keep);
            self.ledger.merge(now, copy);
        }
        let done = recovery.readers.iter().filter(|r| r.done).count();
        let quarantine = recovery.quarantine;
        if done >= quorum {
            self.quarantine = now + quarantine;
            self.hold(out);
            self.beat = now;
        } else if !reader.done {
            self.send_recover(&reader, out);
        }
    }

    /// Buries the members whose process is gone.
    fn bury_absent(&mut self, now: Time, out: &mut Vec<Action>) {
        if !self.view.knows(&self.me.incarnation) {
            return;
        }
        let mut gone = Vec::new();
        let mut absent = Vec::new();
        for member in self.set.members() {
            let incarnation = &member.incarnation;
            if self.view.knows(incarnation) {
                continue;
            }
            let shown = self.view.peer(&incarnation.vm);
            let superseded = shown.is_some_and(|p| p.incarnation.start > incarnation.start);
            let known = self.absent.iter().find(|a| a.member == *member);
            let since = known.map_or(now, |a| a.since);
            let silent = !self.heard(now).any(|p| p.member == *member);
            if superseded || silent && now >= since + self.config.grace {
                gone.push(member.clone());
            } else {
                absent.push(Absent {
                    member: member.clone(),
                    since,
                });
            }
        }
        self.absent = absent;
        self.bury(now, gone, out);
    }

    fn bury(&mut self, now: Time, gone: Vec<Member>, out: &mut Vec<Action>) {
        if gone.is_empty() {
            return;
        }
        let mut set = self.set.clone();
        for member in gone {
            set.bury(&member);
            out.push(Action::Note(Note::MemberRemoved { member }));
        }
        self.adopt(now, set, out);
    }

    pub(super) fn tick_members(&mut self, now: Time, out: &mut Vec<Action>) {
        self.bury_absent(now, out);
        self.leave(now, out);
        self.starve(now, out);
        self.found(now, out);
        self.join(now, out);
        if self.recovery.as_ref().is_some_and(|r| r.resend <= now) {
            self.recover(now, out);
        }
        if self.beat <= now {
            self.greet(now, out);
        }
    }

    /// Greets the members, and while it has no lineage or no seat everybody it knows of.
    fn greet(&mut self, now: Time, out: &mut Vec<Action>) {
        self.beat = now + self.config.beat;
        let message = self.hello();
        let mut vms = self.member_vms();
        if self.set.lineage() == 0 {
            vms.extend(self.view.peers().iter().map(|p| p.incarnation.vm.clone()));
            vms.sort_unstable();
            vms.dedup();
        }
        vms.retain(|vm| *vm != self.me.incarnation.vm);
        for vm in vms {
            self.send(&vm, message.clone(), out);
        }
    }

    /// Buries its own term once others can act without it and nothing is left to hand over.
    fn leave(&mut self, now: Time, out: &mut Vec<Action>) {
        let busy = !self.runs.is_empty() || !self.deliveries.is_empty();
        if !self.leaving || busy || !self.set.contains(&self.me) {
            return;
        }
        let others = self.holders(now) - usize::from(self.holder);
        if self.holder && others < self.set.quorum() {
            return;
        }
        let mut set = self.set.clone();
        set.bury(&self.me);
        self.adopt(now, set, out);
        let set = self.set.clone();
        self.send_all(&Message::Sync { set }, out);
    }

    /// Gives up a lineage that cannot act any more, though a quorum of nodes is in reach.
    fn starve(&mut self, now: Time, out: &mut Vec<Action>) {
        let lineage = self.set.lineage();
        let quorum = self.set.quorum();
        let reached = self.heard(now).count() + 1;
        if lineage == 0 || self.holders(now) >= quorum || reached < quorum {
            self.supplied = now;
            return;
        }
        if now < self.supplied + self.config.settle {
            return;
        }
        out.push(Action::Note(Note::LineageAbandoned { lineage }));
        self.me.round += 1;
        self.joined = false;
        self.holder = false;
        self.since = now;
        let mut set = Set::new(self.config.witness_count);
        set.add(self.me.clone());
        self.adopt(now, set, out);
    }

    /// Founds a lineage if this node is the first of a quorum that agrees on a set without one.
    fn found(&mut self, now: Time, out: &mut Vec<Action>) {
        let members = self.set.members();
        let first = members.first() == Some(&self.me);
        let settled = now >= self.since + self.config.settle;
        if self.set.lineage() != 0 || !first || !settled || self.leaving {
            return;
        }
        let led = self.heard(now).any(|peer| peer.holder);
        let agrees = |peer: &&Peer| peer.set == self.id && self.set.contains(&peer.member);
        let agreed = self.heard(now).filter(agrees).count() + 1;
        if led || agreed < self.set.quorum() {
            return;
        }
        let set = self.set.found();
        let lineage = set.lineage();
        out.push(Action::Note(Note::LineageFounded { lineage }));
        self.enter(now, set, out);
        let set = self.set.clone();
        self.send_all(&Message::Sync { set }, out);
    }
}
