//! The nodes that share what all nodes together may do.
//!
//! A node that hears nothing of another one cannot tell whether that one has ended or is cut off and
//! goes on. Shares therefore go by the nodes that may be running, not by those that answer: a node
//! leaves the population when it has said so, or when a majority of the population is in touch with
//! this node and has not heard of it for a while. Of the parts of a partitioned fleet, at most one has
//! a majority, so that all parts together take less than one and a half times the whole, however long
//! the partition lasts.

use std::time::Duration;

use wire::{Time, Vm};

/// Time for which a node still counts that discovery has forgotten.
const ABSENCE_TIME: Duration = Duration::from_secs(15);

/// What is known of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Presence {
    /// Discovery knows it.
    Known,
    /// Discovery knows it, and it shuts down.
    Leaving,
    /// Discovery has forgotten it since this time.
    Absent(Time),
}

impl Presence {
    /// Returns whether a majority may take the member for gone.
    fn has_ended(self, now: Time) -> bool {
        matches!(self, Self::Absent(since) if now >= since + ABSENCE_TIME)
    }
}

/// The nodes that may be running, as one of them knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Population {
    /// Other nodes that the settings name.
    seeds: usize,
    /// Whether another node was ever known.
    met: bool,
    /// Sorted by VM, this node included.
    members: Vec<(Vm, Presence)>,
}

impl Population {
    /// Creates the population of a node that has just started and knows `seeds` other ones by its
    /// settings.
    pub const fn new(seeds: usize) -> Self {
        Self {
            seeds,
            met: false,
            members: Vec::new(),
        }
    }

    /// Replaces the number of other nodes that the settings name.
    pub const fn set_seeds(&mut self, seeds: usize) {
        self.seeds = seeds;
    }

    /// Takes in which nodes discovery knows, this one included, and which of them shut down, both sorted.
    pub fn update(&mut self, now: Time, discovered: &[Vm], leaving: &[Vm]) {
        let absent = |vm: &Vm| discovered.binary_search(vm).is_err();
        self.members
            .retain(|(vm, presence)| *presence != Presence::Leaving || !absent(vm));
        for (vm, presence) in &mut self.members {
            if *presence == Presence::Known && absent(vm) {
                *presence = Presence::Absent(now);
            }
        }
        for vm in discovered {
            let presence = match leaving.binary_search(vm) {
                Ok(_) => Presence::Leaving,
                Err(_) => Presence::Known,
            };
            match self.members.binary_search_by(|(known, _)| known.cmp(vm)) {
                Ok(index) => self.members[index].1 = presence,
                Err(index) => self.members.insert(index, (vm.clone(), presence)),
            }
        }
        self.met |= discovered.len() > 1;
        if discovered.len() * 2 > self.members.len() {
            self.members
                .retain(|(_, presence)| !presence.has_ended(now));
        }
    }

    /// Returns how many nodes may be running, this one included. A node that has met no other one
    /// counts those that its settings name.
    pub fn count(&self) -> usize {
        let unmet = if self.met { 0 } else { self.seeds };
        self.members.len().max(1) + unmet
    }

    /// Returns the fraction of the population that `live` nodes are; this one always lives.
    pub fn part(&self, live: usize) -> f64 {
        (live.max(1) as f64 / self.count() as f64).min(1.0)
    }
}
