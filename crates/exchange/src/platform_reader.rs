//! Who reads the platform for all.
//!
//! Each read counts for the platform, so a few nodes read and tell the others what matters to all:
//! which upstreams there are, and that a configuration is new. A node that hears nothing fresh
//! reads by itself, the first of the order first, so that a lost reader is replaced by one.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wire::{Revision, Time, Upstream, Vm, rank};

use crate::demand::Target;
use crate::fleet::{Listing, Version};

/// Nodes that read while all is well: two may be lost without a gap.
const READERS: usize = 3;

/// Nodes of the order that tell what they read; more would flood the others.
const TELLERS: usize = 8;

/// Time without fresh news after which the first of the other nodes reads by itself.
const PATIENCE: Duration = Duration::from_millis(800);

/// Time in which another reader is heard after one has said that it lost the platform: a pulse.
const OTHER: Duration = Duration::from_millis(350);

/// Time added for each further node of the order, so that the one before is heard first.
const STAGGER: Duration = Duration::from_millis(100);

/// Places of the order after which nodes wait no longer than the one before.
const STAGGER_MAX: usize = 8;

/// Age of a reader's knowledge up to which it is fresh.
pub const FRESH_AGE_MAX: Duration = Duration::from_millis(800);

/// Time for which this node's upstreams may differ from what readers tell: a few pulses.
const GAP: Duration = Duration::from_millis(1_000);

/// Pause before everything is listed again for a difference that remains.
const GAP_PAUSE: Duration = Duration::from_millis(3_000);

/// Key of the order of readers.
const KEY: u64 = 0x7265_6164;

/// A change that all nodes have to know. Adapters are left out: whoever orders at an engine tells
/// of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlatformChange {
    /// An upstream is listed.
    Listed(Listing),
    /// An upstream is gone.
    Delisted(Upstream),
    /// A new version of an adapter serves from now on.
    Version(Target, Version),
}

/// What a reader tells.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReaderUpdate {
    /// Milliseconds since the platform answered the reader.
    pub age: u32,
    /// Newest configuration that the reader knows.
    pub config: Revision,
    /// Digest of the upstreams that the reader knows, see [`crate::Fleet::digest`].
    pub digest: u64,
    /// What has changed.
    pub changes: Vec<PlatformChange>,
}

/// Decides whether this node reads the platform.
#[derive(Clone, Debug, Default)]
pub struct ReaderRole {
    place: usize,
    heard: Time,
    // Since when this node's upstreams differ from what readers tell.
    differs: Option<Time>,
}

impl ReaderRole {
    /// Takes over who lives.
    pub fn set_members(&mut self, me: &Vm, live: &[Vm]) {
        let order = rank::top(KEY, live.iter().cloned(), live.len());
        let place = order.iter().position(|vm| vm == me);
        self.place = place.unwrap_or_default();
    }

    /// Notes that a reader has told what it knew `age` ago. One that has lost the platform says so
    /// by a great age.
    pub fn update_received(&mut self, now: Time, age: Duration) {
        if age < FRESH_AGE_MAX {
            self.heard = self.heard.max(now);
        } else {
            let until = (now + OTHER).saturating_sub(PATIENCE);
            self.heard = self.heard.min(until);
        }
    }

    /// Notes whether this node knows what a reader knows.
    pub fn set_in_sync(&mut self, now: Time, same: bool) {
        if same {
            self.differs = None;
        } else {
            self.differs.get_or_insert(now);
        }
    }

    /// Tells whether this node has missed something and lists everything by itself, once.
    pub fn take_relist(&mut self, now: Time) -> bool {
        let due = self.differs.is_some_and(|since| now >= since + GAP);
        if due {
            self.differs = Some(now + GAP_PAUSE);
        }
        due
    }

    /// Tells whether this node reads now.
    pub fn is_reader(&self, now: Time) -> bool {
        let further = self.place.saturating_sub(READERS).min(STAGGER_MAX) as u32;
        self.place < READERS || now >= self.heard + PATIENCE + STAGGER * further
    }

    /// Tells whether this node tells what it reads.
    pub const fn is_publisher(&self) -> bool {
        self.place < TELLERS
    }
}
