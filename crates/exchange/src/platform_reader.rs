//! Decides which nodes read the platform on behalf of all.
//!
//! Every read is load on the platform, so only a few nodes read it. They publish what all nodes
//! need: the listed upstreams, and that a new configuration exists. A node that receives no fresh
//! update reads the platform itself. Nodes do so one after the other in rendezvous order, so that a
//! single node replaces a lost reader.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wire::{Revision, Time, Upstream, Vm, rank};

use crate::demand::Target;
use crate::fleet::{Listing, Version};
use crate::history::Era;

/// Number of readers in normal operation; two of them may fail without a gap.
const READER_COUNT: usize = 3;

/// Number of nodes, in rendezvous order, that publish what they read. More would flood the others.
const PUBLISHER_COUNT: usize = 8;

/// Time without a fresh update after which the first of the other nodes becomes a reader.
const TAKEOVER_DELAY: Duration = Duration::from_millis(800);

/// Time to wait for another reader's update after one has reported that it lost the platform: one
/// update interval.
const FAILOVER_DELAY: Duration = Duration::from_millis(350);

/// Additional delay for each further node in rendezvous order, so that the update of the node
/// before it arrives first.
const TAKEOVER_STAGGER: Duration = Duration::from_millis(100);

/// Number of positions after which the delay no longer grows.
const STAGGERED_NODES: usize = 8;

/// Age up to which a reader's data is fresh.
pub const FRESH_AGE_MAX: Duration = Duration::from_millis(800);

/// Time for which this node's upstreams may differ from those of the readers: a few updates.
const DIVERGENCE_MAX: Duration = Duration::from_millis(1_000);

/// Additional delay before the next full listing if the difference remains.
const RELIST_PAUSE: Duration = Duration::from_millis(3_000);

/// Key of the rendezvous order of readers.
const READER_KEY: u64 = 0x7265_6164;

/// A change that all nodes need to know. Adapters are not included: the owner of an engine
/// announces them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlatformChange {
    /// An upstream is listed.
    Listed(Listing),
    /// An upstream was removed.
    Delisted(Upstream),
    /// A new version of an adapter is to be served from now on.
    Version(Target, Version),
}

/// An update that a reader publishes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReaderUpdate {
    /// Era of the platform that the reader follows.
    pub era: Era,
    /// Milliseconds since the platform last answered the reader.
    pub age: u32,
    /// Newest configuration revision that the reader knows.
    pub config: Revision,
    /// Digest of the reader's upstreams, see [`crate::Fleet::digest`].
    pub digest: u64,
    /// Changes that the reader found.
    pub changes: Vec<PlatformChange>,
}

/// Decides whether this node reads the platform.
#[derive(Clone, Debug, Default)]
pub struct ReaderRole {
    /// Position of this node in the rendezvous order.
    position: usize,
    /// When the last fresh update was received.
    last_fresh_at: Time,
    /// Since when this node's upstreams differ from those of the readers.
    diverged_since: Option<Time>,
}

impl ReaderRole {
    /// Applies a new list of live nodes.
    pub fn set_members(&mut self, me: &Vm, live: &[Vm]) {
        let order = rank::top(READER_KEY, live.iter().cloned(), live.len());
        let position = order.iter().position(|vm| vm == me);
        self.position = position.unwrap_or_default();
    }

    /// Records an update whose data is `age` old. A reader that has lost the platform reports so by
    /// a large age.
    pub fn update_received(&mut self, now: Time, age: Duration) {
        if age < FRESH_AGE_MAX {
            self.last_fresh_at = self.last_fresh_at.max(now);
        } else {
            let at_most = (now + FAILOVER_DELAY).saturating_sub(TAKEOVER_DELAY);
            self.last_fresh_at = self.last_fresh_at.min(at_most);
        }
    }

    /// Records whether this node's upstreams equal those of a reader.
    pub fn set_in_sync(&mut self, now: Time, in_sync: bool) {
        if in_sync {
            self.diverged_since = None;
        } else {
            self.diverged_since.get_or_insert(now);
        }
    }

    /// Returns whether this node has missed changes and should list everything itself. After it has
    /// returned `true`, it does so again only if the difference outlasts `RELIST_PAUSE` and
    /// `DIVERGENCE_MAX`.
    pub fn take_relist(&mut self, now: Time) -> bool {
        let due = self
            .diverged_since
            .is_some_and(|since| now >= since + DIVERGENCE_MAX);
        if due {
            self.diverged_since = Some(now + RELIST_PAUSE);
        }
        due
    }

    /// Returns whether this node reads the platform now.
    pub fn is_reader(&self, now: Time) -> bool {
        let position = self.position.saturating_sub(READER_COUNT);
        let stagger = TAKEOVER_STAGGER * position.min(STAGGERED_NODES) as u32;
        self.position < READER_COUNT || now >= self.last_fresh_at + TAKEOVER_DELAY + stagger
    }

    /// Returns whether this node publishes what it reads.
    pub const fn is_publisher(&self) -> bool {
        self.position < PUBLISHER_COUNT
    }
}
