//! Contact with a majority of nodes, required for orders to engines that do not check fencing
//! tokens.
//!
//! Such an engine obeys a node that has lost its claim without knowing it. An owner therefore gives
//! orders there only while it hears from a majority, and a node that takes over waits until the
//! former owner must have noticed the loss. This is a lease without a lock server (Gray and
//! Cheriton, 1989).

use std::time::Duration;

use wire::{Time, Vm};

use super::ANNOUNCE_TTL;

/// Time for which the last announcement of a silent node is kept.
const SILENT_RETENTION: Duration = Duration::from_secs(60);

/// The last announcement of one node.
#[derive(Clone, Debug)]
struct Announcement {
    vm: Vm,
    at: Time,
    /// Whether the node claims engines.
    claims_engines: bool,
}

/// Tracks when this node last heard from each other node, and whether those are a majority.
#[derive(Clone, Debug, Default)]
pub(super) struct QuorumTracker {
    /// Sorted by VM.
    announcements: Vec<Announcement>,
    /// Since when this node has been in contact with a majority.
    quorum_since: Option<Time>,
}

impl QuorumTracker {
    /// Records an announcement of `vm`; `claims_engines` is whether it claims engines already.
    /// Returns the time of the previous announcement.
    pub(super) fn record_announcement(
        &mut self,
        now: Time,
        vm: &Vm,
        claims_engines: bool,
    ) -> Option<Time> {
        let announcement = Announcement {
            vm: vm.clone(),
            at: now,
            claims_engines,
        };
        match self.find(vm) {
            Ok(index) => Some(std::mem::replace(&mut self.announcements[index], announcement).at),
            Err(index) => {
                self.announcements.insert(index, announcement);
                None
            }
        }
    }

    /// Re-evaluates contact with the live nodes. `may_claim` is whether this node may claim engines
    /// at all. Returns whether this node is now in contact with a majority, if that has changed.
    pub(super) fn update(
        &mut self,
        now: Time,
        me: &Vm,
        live: &[Vm],
        may_claim: bool,
    ) -> Option<bool> {
        self.announcements
            .retain(|announcement| now < announcement.at + SILENT_RETENTION);
        let reached = |vm: &&Vm| {
            *vm == me
                || self
                    .last_announcement(vm)
                    .is_some_and(|at| now < at + ANNOUNCE_TTL)
        };
        let majority = live.iter().filter(reached).count() * 2 > live.len();
        let before = self.quorum_since.is_some();
        self.quorum_since = if may_claim && majority {
            self.quorum_since.or(Some(now))
        } else {
            None
        };
        (self.quorum_since.is_some() != before).then_some(!before)
    }

    /// Starts over after a pause of this process, during which no announcement was received.
    pub(super) fn reset(&mut self) {
        self.quorum_since = None;
    }

    /// Returns whether this node has been in contact with a majority for at least `time`.
    pub(super) fn held_for(&self, now: Time, time: Duration) -> bool {
        self.quorum_since.is_some_and(|since| now >= since + time)
    }

    /// Returns the time until [`Self::held_for`] holds for `time`, if contact is kept from now on.
    pub(super) fn time_until_held(&self, now: Time, time: Duration) -> Duration {
        let since = self.quorum_since.unwrap_or(now);
        (since + time).saturating_sub(now)
    }

    /// Returns whether every live node has announced its claims.
    pub(super) fn all_announced(&self, me: &Vm, live: &[Vm]) -> bool {
        live.iter().all(|vm| vm == me || self.find(vm).is_ok())
    }

    /// Returns the nodes of `live` that may claim engines. This node is always included: it asks
    /// only if it may claim itself.
    pub(super) fn claimers(&self, me: &Vm, live: &[Vm]) -> Vec<Vm> {
        let claims = |vm: &&Vm| {
            let found = self.find(vm).ok();
            *vm == me || found.is_some_and(|index| self.announcements[index].claims_engines)
        };
        live.iter().filter(claims).cloned().collect()
    }

    fn last_announcement(&self, vm: &Vm) -> Option<Time> {
        let index = self.find(vm).ok()?;
        Some(self.announcements[index].at)
    }

    fn find(&self, vm: &Vm) -> Result<usize, usize> {
        self.announcements
            .binary_search_by(|announcement| announcement.vm.cmp(vm))
    }
}
