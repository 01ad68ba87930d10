//! News of a node and the order in which one piece supersedes another.
//!
//! Each process starts with a stamp equal to its start time. It raises the stamp to refute a
//! doubt, as a SWIM member raises its incarnation number (Das, Gupta and Motivala, 2002), and to
//! outrank an earlier process on its VM whose clock was ahead.

use serde::{Deserialize, Serialize};
use wire::{Incarnation, Vm};

/// What the news says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Status {
    /// It answers.
    Alive,
    /// Somebody got no answer; it is silent unless it refutes within the suspicion time.
    Doubt,
    /// It shuts down; final for the incarnation.
    Leaving,
}

/// News of one node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumor {
    /// Whom it is about.
    pub about: Incarnation,
    /// Stamp of the node above its start.
    pub stamp_offset: u64,
    /// What it says.
    pub status: Status,
}

impl Rumor {
    /// Returns the VM that the news is about.
    pub fn vm(&self) -> &Vm {
        &self.about.vm
    }

    /// Returns the stamp: of two processes on a VM the higher one is the present one.
    pub fn stamp(&self) -> u64 {
        self.about.start.saturating_add(self.stamp_offset)
    }

    /// Tells whether this news replaces `old`, both about the same VM.
    pub fn supersedes(&self, old: &Self) -> bool {
        if self.about.start != old.about.start {
            return self.stamp() > old.stamp();
        }
        match (self.status, old.status) {
            (Status::Leaving, Status::Leaving) => self.stamp_offset > old.stamp_offset,
            (Status::Leaving, _) => true,
            (_, Status::Leaving) => false,
            _ => (self.stamp_offset, self.status) > (old.stamp_offset, old.status),
        }
    }
}
