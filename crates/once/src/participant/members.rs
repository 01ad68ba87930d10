//! The witness set as known to one node: joining, removing members, recovery and founding.

use std::time::Duration;

use wire::{Incarnation, Time, View};

use super::{Action, Note, Participant};
use crate::key::Key;
use crate::ledger::Page;
use crate::message::Message;
use crate::witness_set::{Member, WitnessSet};

/// Number of missed hellos after which a peer is no longer considered reachable.
const MAX_MISSED_HELLOS: u32 = 4;

/// The last hello of a peer.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    member: Member,
    set_id: u64,
    lineage: u64,
    voting: bool,
    heard_at: Time,
}

/// A member that is missing from the view.
#[derive(Clone, Debug)]
pub(super) struct Absent {
    member: Member,
    since: Time,
}

/// How far the entries of one member have been read.
#[derive(Clone, Debug)]
struct Source {
    member: Member,
    after: Option<Key>,
    done: bool,
}

/// Recovery of the other members' entries in one witness set.
#[derive(Clone, Debug)]
pub(super) struct Recovery {
    sources: Vec<Source>,
    quarantine: Duration,
    next_resend: Time,
}

impl Participant {
    pub(super) fn update_view(&mut self, now: Time, view: View, out: &mut Vec<Action>) {
        self.view = view;
        self.remove_absent(now, out);
        self.tick_members(now, out);
    }

    pub(super) fn receive_membership(
        &mut self,
        now: Time,
        from: &Incarnation,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        match message {
            Message::Hello {
                set_id,
                lineage,
                member,
                voting,
            } if member.incarnation == *from => {
                self.record_hello(now, member, set_id, lineage, voting);
                let may_sync = self.set.lineage() != 0 || lineage == 0;
                if self.voting && !self.set.contains(&self.known_member(from)) {
                    // Members send hellos only to each other. Other nodes get one as a reply.
                    let hello = self.hello();
                    self.send(&from.vm, hello, out);
                }
                if set_id != self.set_id && may_sync {
                    let set = self.set.clone();
                    self.send(&from.vm, Message::Sync { set }, out);
                }
            }
            Message::Sync { set } => self.receive_set(now, from, set, out),
            Message::Entries {
                set_id,
                voter,
                after,
                quarantine,
                page,
            } if set_id == self.set_id && voter.incarnation == *from => {
                self.receive_entries(now, &voter, after, quarantine, page, out);
            }
            _ => {}
        }
    }

    /// Returns `incarnation` in the term of its last hello.
    fn known_member(&self, incarnation: &Incarnation) -> Member {
        let known = self
            .peers
            .iter()
            .find(|p| p.member.incarnation == *incarnation);
        known.map_or_else(
            || Member {
                incarnation: incarnation.clone(),
                term: 0,
            },
            |p| p.member.clone(),
        )
    }

    fn hello(&self) -> Message {
        Message::Hello {
            set_id: self.set_id,
            lineage: self.set.lineage(),
            member: self.me.clone(),
            voting: self.voting,
        }
    }

    fn record_hello(&mut self, now: Time, member: Member, set_id: u64, lineage: u64, voting: bool) {
        let peer = Peer {
            member,
            set_id,
            lineage,
            voting,
            heard_at: now,
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

    fn recent_peers(&self, now: Time) -> impl Iterator<Item = &Peer> {
        let span = self.config.hello_interval * MAX_MISSED_HELLOS;
        self.peers
            .iter()
            .filter(move |peer| now <= peer.heard_at + span)
    }

    /// Returns the number of voting members of this node's lineage that were heard from recently,
    /// including this node.
    pub(super) fn voting_members(&self, now: Time) -> usize {
        let lineage = self.set.lineage();
        let votes = |peer: &&Peer| {
            peer.voting && peer.lineage == lineage && self.set.contains(&peer.member)
        };
        self.recent_peers(now).filter(votes).count() + usize::from(self.voting)
    }

    /// Merges the witness set of another node into this node's.
    fn receive_set(
        &mut self,
        now: Time,
        from: &Incarnation,
        mut set: WitnessSet,
        out: &mut Vec<Action>,
    ) {
        set.normalize();
        let own_lineage = self.set.lineage();
        if own_lineage == 0 && set.lineage() != 0 {
            if set.size() == self.set.size() {
                self.join_lineage(now, set, out);
            }
            return;
        }
        let received_id = set.id();
        let mut merged = self.set.clone();
        if !merged.merge(&set) {
            return;
        }
        self.replace_set(now, merged, out);
        if self.set_id != received_id {
            let set = self.set.clone();
            self.send(&from.vm, Message::Sync { set }, out);
        }
    }

    /// Enters a lineage, having had none. A node that is already a member of its set took part in
    /// founding it.
    fn join_lineage(&mut self, now: Time, set: WitnessSet, out: &mut Vec<Action>) {
        self.added_self = false;
        let founder = set.contains(&self.me);
        if !founder && set.is_removed(&self.me) {
            self.me.term += 1;
        }
        self.last_quorum = now;
        self.term_since = now;
        self.replace_set(now, set, out);
        if founder && self.set.contains(&self.me) {
            self.quarantine_until = now + self.config.quarantine;
            self.start_voting(out);
        }
        self.add_self(now, out);
    }

    fn start_voting(&mut self, out: &mut Vec<Action>) {
        self.voting = true;
        self.recovery = None;
        out.push(Action::Note(Note::VotingStarted {
            lineage: self.set.lineage(),
            records: self.ledger.len(),
        }));
    }

    /// Replaces the witness set with a greater one. From here on, requests made in the previous set
    /// are not answered.
    fn replace_set(&mut self, now: Time, set: WitnessSet, out: &mut Vec<Action>) {
        if set == self.set {
            return;
        }
        self.set = set;
        self.set_id = self.set.id();
        self.recovery = None;
        if self.set.is_removed(&self.me) {
            self.me.term += 1;
            self.added_self = false;
            self.voting = false;
            self.term_since = now;
        }
        self.restart_claims(now, out);
        self.next_hello = now;
        self.add_self(now, out);
        self.request_entries(now, out);
    }

    /// Adds this node to the witness set if there is room.
    fn add_self(&mut self, now: Time, out: &mut Vec<Action>) {
        let member = self.set.contains(&self.me);
        if self.leaving || member || !self.set.has_room() {
            return;
        }
        let mut set = self.set.clone();
        for term in 0..self.me.term {
            set.remove(&Member {
                term,
                ..self.me.clone()
            });
        }
        set.add(self.me.clone());
        self.added_self = true;
        self.replace_set(now, set, out);
        let set = self.set.clone();
        self.send_all(&Message::Sync { set }, out);
    }

    /// Requests the other members' entries in the current witness set.
    fn request_entries(&mut self, now: Time, out: &mut Vec<Action>) {
        let needs_recovery = self.set.lineage() != 0 && self.added_self && !self.voting;
        if !needs_recovery || !self.set.contains(&self.me) {
            return;
        }
        if self.recovery.is_none() {
            self.recovery = Some(self.new_recovery());
        }
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        recovery.next_resend = now + self.config.resend_interval * 4;
        let open: Vec<Source> = recovery
            .sources
            .iter()
            .filter(|r| !r.done)
            .cloned()
            .collect();
        for source in open {
            self.send_fetch(&source, out);
        }
    }

    pub(super) fn recovery_due(&self) -> Option<Time> {
        self.recovery.as_ref().map(|recovery| recovery.next_resend)
    }

    fn new_recovery(&self) -> Recovery {
        let others = self.set.members().iter().filter(|m| **m != self.me);
        let source = |member: &Member| Source {
            member: member.clone(),
            after: None,
            done: false,
        };
        Recovery {
            sources: others.map(source).collect(),
            quarantine: Duration::ZERO,
            next_resend: Time::ZERO,
        }
    }

    fn send_fetch(&mut self, source: &Source, out: &mut Vec<Action>) {
        let message = Message::FetchEntries {
            set_id: self.set_id,
            after: source.after,
        };
        self.send(&source.member.incarnation.vm, message, out);
    }

    fn receive_entries(
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
        let is_expected = |r: &&mut Source| r.member == *voter && r.after == after && !r.done;
        let Some(source) = recovery.sources.iter_mut().find(is_expected) else {
            return;
        };
        let last = page.entries.last().map(|entry| entry.key);
        if !page.last && (last.is_none() || last <= after) {
            return;
        }
        source.after = last.or(after);
        source.done = page.last;
        let source = source.clone();
        let quarantine = quarantine.min(self.config.full_quarantine());
        recovery.quarantine = recovery.quarantine.max(quarantine);
        let retention = self.config.retention();
        for mut entry in page.entries {
            entry.expires_in = entry.expires_in.min(retention);
            self.ledger.merge(now, entry);
        }
        let done = recovery.sources.iter().filter(|r| r.done).count();
        let quarantine = recovery.quarantine;
        if done >= quorum {
            self.quarantine_until = now + quarantine;
            self.start_voting(out);
            self.next_hello = now;
        } else if !source.done {
            self.send_fetch(&source, out);
        }
    }

    /// Removes the members whose process is gone.
    fn remove_absent(&mut self, now: Time, out: &mut Vec<Action>) {
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
            let silent = !self.recent_peers(now).any(|p| p.member == *member);
            if superseded || silent && now >= since + self.config.removal_delay {
                gone.push(member.clone());
            } else {
                absent.push(Absent {
                    member: member.clone(),
                    since,
                });
            }
        }
        self.absent = absent;
        self.remove_members(now, gone, out);
    }

    fn remove_members(&mut self, now: Time, gone: Vec<Member>, out: &mut Vec<Action>) {
        if gone.is_empty() {
            return;
        }
        let mut set = self.set.clone();
        for member in gone {
            set.remove(&member);
            out.push(Action::Note(Note::MemberRemoved { member }));
        }
        self.replace_set(now, set, out);
    }

    pub(super) fn tick_members(&mut self, now: Time, out: &mut Vec<Action>) {
        self.remove_absent(now, out);
        self.try_leave(now, out);
        self.abandon_lineage_without_quorum(now, out);
        self.try_found_lineage(now, out);
        self.add_self(now, out);
        if self.recovery.as_ref().is_some_and(|r| r.next_resend <= now) {
            self.request_entries(now, out);
        }
        if self.next_hello <= now {
            self.send_hellos(now, out);
        }
    }

    /// Sends a hello to every member and, while this node has no lineage, to every known peer.
    fn send_hellos(&mut self, now: Time, out: &mut Vec<Action>) {
        self.next_hello = now + self.config.hello_interval;
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

    /// Removes this node from the set once nothing is left to hand over and the others have a quorum
    /// without it.
    fn try_leave(&mut self, now: Time, out: &mut Vec<Action>) {
        let busy = !self.pending.is_empty() || !self.deliveries.is_empty();
        if !self.leaving || busy || !self.set.contains(&self.me) {
            return;
        }
        let others = self.voting_members(now) - usize::from(self.voting);
        if self.voting && others < self.set.quorum() {
            return;
        }
        let mut set = self.set.clone();
        set.remove(&self.me);
        self.replace_set(now, set, out);
        let set = self.set.clone();
        self.send_all(&Message::Sync { set }, out);
    }

    /// Abandons a lineage that has no quorum of voting members left although a quorum of nodes is
    /// reachable.
    fn abandon_lineage_without_quorum(&mut self, now: Time, out: &mut Vec<Action>) {
        let lineage = self.set.lineage();
        let quorum = self.set.quorum();
        let reachable = self.recent_peers(now).count() + 1;
        if lineage == 0 || self.voting_members(now) >= quorum || reachable < quorum {
            self.last_quorum = now;
            return;
        }
        if now < self.last_quorum + self.config.founding_delay {
            return;
        }
        out.push(Action::Note(Note::LineageAbandoned { lineage }));
        self.me.term += 1;
        self.added_self = false;
        self.voting = false;
        self.term_since = now;
        let mut set = WitnessSet::new(self.config.witness_count);
        set.add(self.me.clone());
        self.replace_set(now, set, out);
    }

    /// Founds a lineage if this node is the first member of a set without one and a quorum agrees
    /// on that set.
    fn try_found_lineage(&mut self, now: Time, out: &mut Vec<Action>) {
        let members = self.set.members();
        let first = members.first() == Some(&self.me);
        let settled = now >= self.term_since + self.config.founding_delay;
        if self.set.lineage() != 0 || !first || !settled || self.leaving {
            return;
        }
        let has_voter = self.recent_peers(now).any(|peer| peer.voting);
        let agrees = |peer: &&Peer| peer.set_id == self.set_id && self.set.contains(&peer.member);
        let agreed = self.recent_peers(now).filter(agrees).count() + 1;
        if has_voter || agreed < self.set.quorum() {
            return;
        }
        let set = self.set.found_lineage();
        let lineage = set.lineage();
        out.push(Action::Note(Note::LineageFounded { lineage }));
        self.join_lineage(now, set, out);
        let set = self.set.clone();
        self.send_all(&Message::Sync { set }, out);
    }
}
