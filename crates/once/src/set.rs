//! Witness sets: a join-semilattice of members and tombstones.

use serde::{Deserialize, Serialize};
use wire::{Incarnation, rank};

/// One incarnation's term as a witness.
///
/// A process that was buried while it ran on, or that gave up its lineage, comes back under the
/// next round and starts without a vote.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The process.
    pub incarnation: Incarnation,
    /// Number of its term, from 0.
    pub round: u32,
}

impl Member {
    fn hash(&self) -> u64 {
        let mut bytes = Vec::with_capacity(self.incarnation.vm.len() + 12);
        self.write(&mut bytes);
        rank::hash(bytes)
    }

    fn write(&self, bytes: &mut Vec<u8>) {
        bytes.extend_from_slice(&self.incarnation.start.to_le_bytes());
        bytes.extend_from_slice(&self.round.to_le_bytes());
        bytes.extend_from_slice(self.incarnation.vm.as_bytes());
    }

    fn age_order(&self) -> (u64, &str, u32) {
        let incarnation = &self.incarnation;
        (incarnation.start, &incarnation.vm, self.round)
    }
}

/// A witness set. Two sets of one lineage have a least upper bound, see [`Set::merge`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Set {
    lineage: u64,
    size: u8,
    members: Vec<Member>,
    buried: Vec<u64>,
}

impl Set {
    /// Makes an empty set without a lineage, for at most `size` members.
    pub fn new(size: u8) -> Self {
        Self {
            lineage: 0,
            size,
            members: Vec::new(),
            buried: Vec::new(),
        }
    }

    /// Returns the lineage; 0 before it was founded.
    pub fn lineage(&self) -> u64 {
        self.lineage
    }

    /// Returns the most members that the set may have.
    pub fn size(&self) -> u8 {
        self.size
    }

    /// Returns the number of votes that make a quorum.
    pub fn quorum(&self) -> usize {
        usize::from(self.size) / 2 + 1
    }

    /// Returns the members, sorted.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the number of tombstones.
    pub fn tombstones(&self) -> usize {
        self.buried.len()
    }

    /// Tells whether another member fits in.
    pub fn open(&self) -> bool {
        self.members.len() < usize::from(self.size)
    }

    /// Tells whether `member` belongs to the set now.
    pub fn contains(&self, member: &Member) -> bool {
        self.members.binary_search(member).is_ok()
    }

    /// Tells whether `member` was buried.
    pub fn buried(&self, member: &Member) -> bool {
        self.buried.binary_search(&member.hash()).is_ok()
    }

    /// Returns the number that stands for exactly this set in messages.
    pub fn id(&self) -> u64 {
        let mut bytes = vec![self.size];
        bytes.extend_from_slice(&self.lineage.to_le_bytes());
        bytes.extend_from_slice(&(self.members.len() as u64).to_le_bytes());
        for member in &self.members {
            bytes.extend_from_slice(&(member.incarnation.vm.len() as u64).to_le_bytes());
            member.write(&mut bytes);
        }
        for tombstone in &self.buried {
            bytes.extend_from_slice(&tombstone.to_le_bytes());
        }
        rank::hash(bytes)
    }

    /// Adds `member`, unless it was buried. Only the process itself adds its own terms.
    pub fn add(&mut self, member: Member) {
        if self.buried(&member) {
            return;
        }
        if let Err(index) = self.members.binary_search(&member) {
            self.members.insert(index, member);
        }
    }

    /// Buries `member` for good.
    pub fn bury(&mut self, member: &Member) {
        let hash = member.hash();
        if let Err(index) = self.buried.binary_search(&hash) {
            self.buried.insert(index, hash);
        }
        if let Ok(index) = self.members.binary_search(member) {
            self.members.remove(index);
        }
    }

    /// Takes in what `other` has, and buries the youngest members beyond the size. Returns
    /// `false` and does nothing where the two are of different lineages or sizes.
    pub fn merge(&mut self, other: &Self) -> bool {
        if self.lineage != other.lineage || self.size != other.size {
            return false;
        }
        self.buried.extend_from_slice(&other.buried);
        self.members.extend_from_slice(&other.members);
        self.tidy();
        true
    }

    /// Returns the set that a lineage founded at exactly this set begins with.
    pub fn found(&self) -> Self {
        Self {
            lineage: self.id().max(1),
            ..self.clone()
        }
    }

    /// Restores the order that lookups rely on, for a set that came from outside.
    pub fn tidy(&mut self) {
        self.buried.sort_unstable();
        self.buried.dedup();
        self.members.sort_unstable();
        self.members.dedup();
        let buried = &self.buried;
        self.members
            .retain(|member| buried.binary_search(&member.hash()).is_err());
        while self.members.len() > usize::from(self.size) {
            self.bury_youngest();
        }
    }

    fn bury_youngest(&mut self) {
        let youngest = self
            .members
            .iter()
            .max_by(|a, b| a.age_order().cmp(&b.age_order()));
        if let Some(member) = youngest.cloned() {
            self.bury(&member);
        }
    }
}
