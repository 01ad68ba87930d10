//! The nodes from which the witnesses of engines are taken.
//!
//! Nodes find each other one by one, so at a start their views differ, and sets of witnesses that
//! differ may have majorities without a common member. Nodes therefore tell each other of the
//! witnesses that they know when they find that these differ.

use std::time::Duration;

use wire::machine::millis;
use wire::{Time, Upstream, Vm};

use super::lease::witnesses;
use super::{Action, Message, Owner};

/// Time for which a node still counts that discovery has forgotten, or that only a peer has told of.
const ABSENCE_TIME: Duration = Duration::from_secs(15);

/// A node that counts.
#[derive(Clone, Debug)]
struct Member {
    vm: Vm,
    /// When it was first heard of.
    since: Time,
}

/// The nodes that may be witnesses.
#[derive(Clone, Debug, Default)]
pub(super) struct Electorate {
    /// Nodes known to discovery, live or not, this one included; none before it has told any.
    discovered: Vec<Vm>,
    /// Nodes that discovery does not know, and until when they count.
    absent: Vec<(Vm, Time)>,
    /// Sorted by VM; empty before discovery has told any node.
    members: Vec<Member>,
}

impl Electorate {
    /// Returns the members, `None` before discovery has told any node.
    fn members(&self) -> Option<impl Iterator<Item = &Vm>> {
        let members = self.members.iter().map(|member| &member.vm);
        (!self.members.is_empty()).then_some(members)
    }

    /// Returns when the last one of `vms` was first heard of; `None` before discovery has told any node.
    fn known_since(&self, vms: &[Vm]) -> Option<Time> {
        let member = |vm: &Vm| {
            let found = self.members.binary_search_by(|member| member.vm.cmp(vm));
            found.ok().map(|index| self.members[index].since)
        };
        vms.iter().filter_map(member).max()
    }

    /// Counts `vm` until `until` at least, unless discovery knows it.
    fn add_absent(&mut self, vm: &Vm, until: Time) {
        if self.discovered.contains(vm) {
            return;
        }
        match self.absent.iter_mut().find(|(absent, _)| absent == vm) {
            Some((_, counted)) => *counted = until.max(*counted),
            None => self.absent.push((vm.clone(), until)),
        }
    }

    /// Returns for how long `vm` counts still if nobody hears of it any more.
    fn lifetime(&self, now: Time, vm: &Vm) -> Duration {
        let absent = self.absent.iter().find(|(absent, _)| absent == vm);
        absent.map_or(ABSENCE_TIME, |(_, until)| until.saturating_sub(now))
    }

    /// Returns whether a node is about to be forgotten that has not said that it leaves.
    fn forgets(&self, now: Time, leaving: &[Vm]) -> bool {
        let gone = self.absent.iter().filter(|(_, until)| *until <= now);
        let mut gone = gone.map(|(vm, _)| vm);
        gone.any(|vm| !self.discovered.contains(vm) && !leaving.contains(vm))
    }

    /// Recomputes the members. Returns whether they changed.
    fn update(&mut self, now: Time, leaving: &[Vm]) -> bool {
        if self.discovered.is_empty() {
            return false;
        }
        let discovered = &self.discovered;
        self.absent.retain(|(vm, until)| {
            now < *until && !discovered.contains(vm) && !leaving.contains(vm)
        });
        let absent = self.absent.iter().map(|(vm, _)| vm);
        let mut vms: Vec<&Vm> = discovered.iter().chain(absent).collect();
        vms.sort_unstable();
        vms.dedup();
        if vms.iter().copied().eq(self.members.iter().map(|m| &m.vm)) {
            return false;
        }
        let since = |vm: &Vm| {
            let found = self.members.binary_search_by(|member| member.vm.cmp(vm));
            found.map_or(now, |index| self.members[index].since)
        };
        self.members = vms
            .into_iter()
            .map(|vm| Member {
                vm: vm.clone(),
                since: since(vm),
            })
            .collect();
        true
    }
}

impl Owner {
    /// Returns the witnesses of `engine`, in rendezvous order, and when the last one of them was
    /// first heard of, `None` before discovery has told any node.
    pub(super) fn witnesses(&self, engine: &str) -> (Vec<Vm>, Option<Time>) {
        let assigned = match self.electorate.members() {
            Some(members) => witnesses(engine, members),
            None => witnesses(engine, &self.live),
        };
        let since = self.electorate.known_since(&assigned);
        (assigned, since)
    }

    /// Returns whether this node knows of no other one.
    pub(super) fn knows_nobody(&self) -> bool {
        let me = &self.config.me;
        match self.electorate.members() {
            Some(mut members) => members.all(|vm| vm == me),
            None => self.live.iter().all(|vm| vm == me),
        }
    }

    /// Takes in which nodes discovery knows. One that it has forgotten counts for [`ABSENCE_TIME`]
    /// more, unless it has left: it may live behind a partition, together with others.
    pub(super) fn update_known(&mut self, now: Time, known: Vec<Vm>) {
        for vm in std::mem::replace(&mut self.electorate.discovered, known) {
            if vm != self.config.me {
                self.electorate.add_absent(&vm, now + ABSENCE_TIME);
            }
        }
        self.update_electorate(now);
    }

    /// Recomputes the nodes that may be witnesses, and the witnesses of this node's engines if these change.
    pub(super) fn update_electorate(&mut self, now: Time) {
        if self.electorate.forgets(now, &self.leaving_peers) {
            self.note_forgotten(now);
        }
        if self.electorate.update(now, &self.leaving_peers) {
            self.reassign_witnesses();
        }
    }

    /// Returns a message with the witnesses of `engine`.
    pub(super) fn witnesses_message(&self, now: Time, engine: &Upstream) -> Message {
        let (assigned, _) = self.witnesses(engine);
        let lifetime = |vm: Vm| {
            let lifetime = millis(self.electorate.lifetime(now, &vm));
            (vm, lifetime)
        };
        Message::Witnesses {
            engine: engine.clone(),
            nodes: assigned.into_iter().map(lifetime).collect(),
        }
    }

    /// Takes in the witnesses that a peer knows, and replies if this node knows others.
    pub(super) fn handle_witnesses(
        &mut self,
        now: Time,
        from: &Vm,
        engine: &Upstream,
        nodes: Vec<(Vm, u32)>,
        out: &mut Vec<Action>,
    ) {
        for (vm, lifetime) in &nodes {
            let lifetime = Duration::from_millis((*lifetime).into()).min(ABSENCE_TIME);
            if *vm != self.config.me {
                self.electorate.add_absent(vm, now + lifetime);
            }
        }
        self.update_electorate(now);
        let (assigned, _) = self.witnesses(engine);
        if !assigned.iter().eq(nodes.iter().map(|(vm, _)| vm)) {
            out.push(Action::Send {
                to: from.clone(),
                message: self.witnesses_message(now, engine),
            });
        }
    }
}
