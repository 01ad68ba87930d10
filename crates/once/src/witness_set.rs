//! Replicated witness sets: a join-semilattice of members and tombstones.

use serde::{Deserialize, Serialize};
use wire::{Incarnation, rank};

/// One term of a process as a witness.
///
/// A process that was removed while it was still running, or that abandoned its lineage, joins
/// again under the next term, initially without a vote.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The process.
    pub incarnation: Incarnation,
    /// Number of the term, starting at 0.
    pub term: u32,
}

impl Member {
    fn hash(&self) -> u64 {
        let mut bytes = Vec::with_capacity(self.incarnation.vm.len() + 12);
        self.write_to(&mut bytes);
        rank::hash(bytes)
    }

    fn write_to(&self, bytes: &mut Vec<u8>) {
        bytes.extend_from_slice(&self.incarnation.start.to_le_bytes());
        bytes.extend_from_slice(&self.term.to_le_bytes());
        bytes.extend_from_slice(self.incarnation.vm.as_bytes());
    }

    fn age_order(&self) -> (u64, &str, u32) {
        let incarnation = &self.incarnation;
        (incarnation.start, &incarnation.vm, self.term)
    }
}

/// A set of witnesses. Two sets of the same lineage have a least upper bound, see
/// [`WitnessSet::merge`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessSet {
    lineage: u64,
    size: u8,
    members: Vec<Member>,
    /// Hashes of the removed members, sorted.
    tombstones: Vec<u64>,
}

impl WitnessSet {
    /// Creates an empty set without a lineage, for at most `size` members.
    pub fn new(size: u8) -> Self {
        Self {
            lineage: 0,
            size,
            members: Vec::new(),
            tombstones: Vec::new(),
        }
    }

    /// Returns the lineage, or 0 if none has been founded.
    pub fn lineage(&self) -> u64 {
        self.lineage
    }

    /// Returns the maximum number of members.
    pub fn size(&self) -> u8 {
        self.size
    }

    /// Returns the number of votes in a quorum.
    pub fn quorum(&self) -> usize {
        usize::from(self.size) / 2 + 1
    }

    /// Returns the members, sorted.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the number of tombstones.
    pub fn tombstones(&self) -> usize {
        self.tombstones.len()
    }

    /// Returns whether the set has room for another member.
    pub fn has_room(&self) -> bool {
        self.members.len() < usize::from(self.size)
    }

    /// Returns whether `member` is in the set.
    pub fn contains(&self, member: &Member) -> bool {
        self.members.binary_search(member).is_ok()
    }

    /// Returns whether `member` was removed.
    pub fn is_removed(&self, member: &Member) -> bool {
        self.tombstones.binary_search(&member.hash()).is_ok()
    }

    /// Returns a hash over lineage, size, members and tombstones that identifies the set in messages.
    pub fn id(&self) -> u64 {
        let mut bytes = vec![self.size];
        bytes.extend_from_slice(&self.lineage.to_le_bytes());
        bytes.extend_from_slice(&(self.members.len() as u64).to_le_bytes());
        for member in &self.members {
            bytes.extend_from_slice(&(member.incarnation.vm.len() as u64).to_le_bytes());
            member.write_to(&mut bytes);
        }
        for tombstone in &self.tombstones {
            bytes.extend_from_slice(&tombstone.to_le_bytes());
        }
        rank::hash(bytes)
    }

    /// Adds `member`, unless it was removed before. Each process adds only its own terms.
    pub fn add(&mut self, member: Member) {
        if self.is_removed(&member) {
            return;
        }
        if let Err(index) = self.members.binary_search(&member) {
            self.members.insert(index, member);
        }
    }

    /// Removes `member` permanently.
    pub fn remove(&mut self, member: &Member) {
        let hash = member.hash();
        if let Err(index) = self.tombstones.binary_search(&hash) {
            self.tombstones.insert(index, hash);
        }
        if let Ok(index) = self.members.binary_search(member) {
            self.members.remove(index);
        }
    }

    /// Merges `other` into this set and removes the youngest members beyond the maximum size.
    /// Returns `false` and does nothing if the two differ in lineage or maximum size.
    pub fn merge(&mut self, other: &Self) -> bool {
        if self.lineage != other.lineage || self.size != other.size {
            return false;
        }
        self.tombstones.extend_from_slice(&other.tombstones);
        self.members.extend_from_slice(&other.members);
        self.normalize();
        true
    }

    /// Founds a lineage: returns this set with a lineage derived from its ID.
    pub fn found_lineage(&self) -> Self {
        Self {
            lineage: self.id().max(1),
            ..self.clone()
        }
    }

    /// Restores the invariants of a set: sorted without duplicates, no removed members, and at most
    /// `size` members. A set received from a peer may violate them.
    pub fn normalize(&mut self) {
        self.tombstones.sort_unstable();
        self.tombstones.dedup();
        self.members.sort_unstable();
        self.members.dedup();
        let tombstones = &self.tombstones;
        self.members
            .retain(|member| tombstones.binary_search(&member.hash()).is_err());
        while self.members.len() > usize::from(self.size) {
            self.remove_youngest();
        }
    }

    fn remove_youngest(&mut self) {
        let youngest = self
            .members
            .iter()
            .max_by(|a, b| a.age_order().cmp(&b.age_order()));
        if let Some(member) = youngest.cloned() {
            self.remove(&member);
        }
    }
}
