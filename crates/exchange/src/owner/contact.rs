//! Contact with the other nodes, on which orders rest where engines do not look at numbers.
//!
//! Such an engine obeys a node that has lost its claim without knowing it. A holder therefore
//! orders there only while it hears from most nodes, and whoever takes over waits until the former
//! holder must have noticed: a lease without a lock server (Gray and Cheriton, 1989).

use std::time::Duration;

use wire::{Time, Vm};

use super::HEARD;

/// Time for which a node that has gone silent is remembered.
const REMEMBERED: Duration = Duration::from_secs(60);

/// The last announcement of a node.
#[derive(Clone, Debug)]
struct Heard {
    vm: Vm,
    at: Time,
    /// Whether it claims engines.
    claims: bool,
}

/// When this node last heard from each other one.
#[derive(Clone, Debug, Default)]
pub(super) struct Contact {
    /// Sorted by node.
    heard: Vec<Heard>,
    /// Since when this node has been in touch with most nodes.
    since: Option<Time>,
}

impl Contact {
    /// Notes an announcement of `vm`, which may claim engines or not yet. Returns when the one
    /// before it came.
    pub(super) fn hear(&mut self, now: Time, vm: &Vm, claims: bool) -> Option<Time> {
        let heard = Heard {
            vm: vm.clone(),
            at: now,
            claims,
        };
        match self.find(vm) {
            Ok(index) => Some(std::mem::replace(&mut self.heard[index], heard).at),
            Err(index) => {
                self.heard.insert(index, heard);
                None
            }
        }
    }

    /// Takes the time and the live nodes in; `may_claim` tells whether this node may claim at all. Returns
    /// whether this node is in touch with most nodes from now on, where that has changed.
    pub(super) fn update(
        &mut self,
        now: Time,
        me: &Vm,
        live: &[Vm],
        may_claim: bool,
    ) -> Option<bool> {
        self.heard.retain(|heard| now < heard.at + REMEMBERED);
        let reached = |vm: &&Vm| *vm == me || self.last(vm).is_some_and(|at| now < at + HEARD);
        let most = live.iter().filter(reached).count() * 2 > live.len();
        let before = self.since.is_some();
        self.since = if may_claim && most {
            self.since.or(Some(now))
        } else {
            None
        };
        (self.since.is_some() != before).then_some(!before)
    }

    /// Begins anew after a pause, in which nothing was heard.
    pub(super) fn reset(&mut self) {
        self.since = None;
    }

    /// Tells whether this node has been in touch with most nodes for `time`.
    pub(super) fn lasts(&self, now: Time, time: Duration) -> bool {
        self.since.is_some_and(|since| now >= since + time)
    }

    /// Tells whether every live node has said what it claims.
    pub(super) fn complete(&self, me: &Vm, live: &[Vm]) -> bool {
        live.iter().all(|vm| vm == me || self.find(vm).is_ok())
    }

    /// Returns the nodes out of `live` that may claim engines; this one is asked only where it may.
    pub(super) fn claimers(&self, me: &Vm, live: &[Vm]) -> Vec<Vm> {
        let claims = |vm: &&Vm| {
            let found = self.find(vm).ok();
            *vm == me || found.is_some_and(|index| self.heard[index].claims)
        };
        live.iter().filter(claims).cloned().collect()
    }

    fn last(&self, vm: &Vm) -> Option<Time> {
        let index = self.find(vm).ok()?;
        Some(self.heard[index].at)
    }

    fn find(&self, vm: &Vm) -> Result<usize, usize> {
        self.heard.binary_search_by(|heard| heard.vm.cmp(vm))
    }
}
