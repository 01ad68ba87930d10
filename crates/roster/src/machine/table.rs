//! Table of the region's other listed VMs and the latest update about the process on each.

use std::time::Duration;

use wire::view::{Peer, State};
use wire::{Incarnation, Revision, Time, Vm, rank};

use super::Member;
use crate::rumor::{Rumor, Status};

/// Base suspicion time.
const SUSPICION_BASE: Duration = Duration::from_millis(2000);

/// Suspicion time added per doubling of the region, for the doubt to reach the affected node and
/// its refutation to return.
const SUSPICION_STEP: Duration = Duration::from_millis(400);

/// Result of merging a rumor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Merge {
    /// The rumor is already known, or its VM is not listed.
    Known,
    /// The table has a newer rumor.
    Older,
    /// It is the first rumor about its VM.
    Appeared,
    /// Its process replaced another.
    Replaced,
    /// It reports that the process did not answer.
    Unresponsive,
    /// It refutes a doubt.
    Refuted,
    /// Its node is shutting down.
    Left,
    /// It is newer, with no change of status to log.
    Confirmed,
}

#[derive(Clone, Debug)]
struct Slot {
    member: Member,
    rumor: Option<Rumor>,
    // End of the suspicion time while the rumor is a doubt.
    deadline: Option<Time>,
    revision: Revision,
}

impl Slot {
    fn silent(&self) -> bool {
        let doubted = |rumor: &Rumor| rumor.status == Status::Doubt;
        self.rumor.as_ref().is_some_and(doubted) && self.deadline.is_none()
    }

    fn state(&self, rumor: &Rumor) -> State {
        match rumor.status {
            Status::Leaving => State::Leaving,
            _ if self.silent() => State::Suspect,
            _ if self.member.leaving => State::Leaving,
            _ => State::Live,
        }
    }

    fn peer(&self) -> Option<Peer> {
        let rumor = self.rumor.as_ref()?;
        Some(Peer {
            incarnation: rumor.about.clone(),
            zone: self.member.zone.clone(),
            state: self.state(rumor),
        })
    }
}

/// Membership table, sorted by VM.
#[derive(Clone, Debug, Default)]
pub(super) struct Table {
    slots: Vec<Slot>,
    dirty: bool,
}

impl Table {
    fn find(&self, vm: &str) -> Result<usize, usize> {
        self.slots
            .binary_search_by(|slot| (*slot.member.vm).cmp(vm))
    }

    fn slot(&self, vm: &str) -> Option<&Slot> {
        self.find(vm).ok().map(|index| &self.slots[index])
    }

    /// Applies a list. Returns the VMs that are no longer listed.
    pub(super) fn list(&mut self, members: impl IntoIterator<Item = Member>) -> Vec<Vm> {
        let mut members: Vec<Member> = members.into_iter().collect();
        members.sort_unstable();
        members.dedup_by(|later, kept| later.vm == kept.vm);
        let mut old = std::mem::take(&mut self.slots);
        for member in members {
            let known = old.iter().position(|slot| slot.member.vm == member.vm);
            let slot = match known.map(|index| old.swap_remove(index)) {
                Some(slot) => Slot { member, ..slot },
                None => Slot {
                    member,
                    rumor: None,
                    deadline: None,
                    revision: 0,
                },
            };
            self.slots.push(slot);
        }
        self.dirty = true;
        old.into_iter().map(|slot| slot.member.vm).collect()
    }

    /// Returns the listed VMs.
    pub(super) fn members(&self) -> impl Iterator<Item = &Member> {
        self.slots.iter().map(|slot| &slot.member)
    }

    /// Returns the number of listed VMs, excluding this one.
    pub(super) fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns the listed VMs that are not suspect.
    pub(super) fn reachable(&self) -> Vec<Vm> {
        let slots = self.slots.iter().filter(|slot| !slot.silent());
        slots.map(|slot| slot.member.vm.clone()).collect()
    }

    /// Returns the peers of the view.
    pub(super) fn peers(&self) -> impl Iterator<Item = Peer> {
        self.slots.iter().filter_map(Slot::peer)
    }

    /// Returns the latest rumor about `vm`.
    pub(super) fn rumor(&self, vm: &str) -> Option<&Rumor> {
        self.slot(vm)?.rumor.as_ref()
    }

    /// Returns all rumors.
    pub(super) fn rumors(&self) -> impl Iterator<Item = &Rumor> {
        self.slots.iter().filter_map(|slot| slot.rumor.as_ref())
    }

    /// Merges a rumor about a peer.
    pub(super) fn merge(&mut self, now: Time, rumor: &Rumor) -> Merge {
        let Ok(index) = self.find(rumor.vm()) else {
            return Merge::Known;
        };
        let until = now + self.suspicion();
        let slot = &mut self.slots[index];
        let merge = classify(slot.rumor.as_ref(), rumor);
        if matches!(merge, Merge::Known | Merge::Older) {
            return merge;
        }
        if merge == Merge::Replaced {
            slot.revision = 0;
        }
        let doubted = rumor.status == Status::Doubt;
        let running = slot.deadline.filter(|_| merge == Merge::Confirmed);
        let lapsed = slot.silent() && merge == Merge::Confirmed;
        slot.deadline = (doubted && !lapsed).then(|| running.unwrap_or(until));
        slot.rumor = Some(rumor.clone());
        self.dirty = true;
        merge
    }

    /// Records the configuration revision that `from` has seen. Returns whether it is higher than
    /// the one recorded before.
    pub(super) fn heard(&mut self, from: &Incarnation, revision: Revision) -> bool {
        let Ok(index) = self.find(&from.vm) else {
            return false;
        };
        let slot = &mut self.slots[index];
        let known = slot.rumor.as_ref().is_some_and(|r| r.about == *from);
        let higher = known && revision > slot.revision;
        if higher {
            slot.revision = revision;
        }
        higher
    }

    /// Ends expired suspicion times. Returns the processes that are now suspect.
    pub(super) fn suspect(&mut self, now: Time) -> Vec<Incarnation> {
        let mut silent = Vec::new();
        for slot in &mut self.slots {
            if slot.deadline.is_some_and(|deadline| deadline <= now) {
                slot.deadline = None;
                silent.extend(slot.rumor.as_ref().map(|rumor| rumor.about.clone()));
            }
        }
        self.dirty |= !silent.is_empty();
        silent
    }

    /// Restarts all running suspicion times, after a pause in which refutations were missed.
    pub(super) fn restart_suspicion(&mut self, now: Time) {
        let until = now + self.suspicion();
        for slot in &mut self.slots {
            if let Some(deadline) = &mut slot.deadline {
                *deadline = until;
            }
        }
    }

    /// Returns the earliest end of a suspicion time.
    pub(super) fn wake(&self) -> Option<Time> {
        self.slots.iter().filter_map(|slot| slot.deadline).min()
    }

    /// Returns whether the view may have changed since the last call.
    pub(super) fn take_dirty(&mut self) -> bool {
        std::mem::take(&mut self.dirty)
    }

    /// Returns a digest of all rumors, including `own`.
    pub(super) fn digest(&self, own: &Rumor) -> u64 {
        let hash = |rumor: &Rumor| {
            let key = rumor.about.start ^ rumor.stamp_offset << 8 ^ rumor.status as u64;
            rank::weight(key, rumor.vm())
        };
        let all = self.rumors().chain([own]);
        all.fold(0, |digest, rumor| digest ^ hash(rumor))
    }

    /// Returns the suspicion time for the region's size.
    fn suspicion(&self) -> Duration {
        SUSPICION_BASE + SUSPICION_STEP * doublings(self.len())
    }
}

fn classify(old: Option<&Rumor>, new: &Rumor) -> Merge {
    let Some(old) = old else {
        return match new.status {
            Status::Leaving => Merge::Left,
            Status::Doubt => Merge::Unresponsive,
            Status::Alive => Merge::Appeared,
        };
    };
    if old == new {
        return Merge::Known;
    }
    if !new.supersedes(old) {
        return Merge::Older;
    }
    match (old.status, new.status) {
        (Status::Leaving, Status::Leaving) if old.about == new.about => Merge::Confirmed,
        (_, Status::Leaving) => Merge::Left,
        _ if old.about != new.about => Merge::Replaced,
        (Status::Doubt, Status::Alive) => Merge::Refuted,
        (Status::Alive, Status::Doubt) => Merge::Unresponsive,
        _ => Merge::Confirmed,
    }
}

/// Returns how often a region of one node must double to hold `count` more nodes.
pub(super) fn doublings(count: usize) -> u32 {
    (count + 1).next_power_of_two().trailing_zeros()
}
