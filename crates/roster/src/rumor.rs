//! Status updates about nodes and the order in which one update supersedes another.
//!
//! Each process starts with a stamp equal to its start time. It increments the stamp to refute a
//! doubt, as a SWIM member increments its incarnation number (Das, Gupta and Motivala, 2002), and
//! to supersede an earlier process on its VM whose clock was ahead.

use serde::{Deserialize, Serialize};
use wire::{Incarnation, Vm};

/// Reported status of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Status {
    /// The node answers.
    Alive,
    /// A peer got no answer; the node becomes suspect unless it refutes within the suspicion time.
    Doubt,
    /// The node is shutting down; final for the incarnation.
    Leaving,
}

/// Status update about one node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumor {
    /// The process that the update is about.
    pub about: Incarnation,
    /// Offset of the node's stamp from its start time.
    pub stamp_offset: u64,
    /// The reported status.
    pub status: Status,
}

impl Rumor {
    /// Returns the VM that the update is about.
    pub fn vm(&self) -> &Vm {
        &self.about.vm
    }

    /// Returns the stamp; of two processes on a VM, the one with the higher stamp is current.
    pub fn stamp(&self) -> u64 {
        self.about.start.saturating_add(self.stamp_offset)
    }

    /// Returns whether this update supersedes `old`; both must be about the same VM.
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
