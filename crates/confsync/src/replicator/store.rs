//! Complete revisions: the one in force and a few others, which serve as delta bases for peers.

use bytes::Bytes;

use super::PartContent;
use crate::manifest::{Digest, Id, Manifest};

/// Number of revisions kept besides the one in force.
const HISTORY: usize = 8;

/// Result of validation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    Pending,
    Valid,
    Invalid,
}

/// A complete revision.
#[derive(Clone, Debug)]
pub(super) struct Set {
    pub(super) id: Id,
    pub(super) manifest: Manifest,
    pub(super) bodies: Vec<Bytes>,
    pub(super) verdict: Verdict,
}

impl Set {
    pub(super) fn parts(&self) -> Vec<PartContent> {
        let parts = self.manifest.parts.iter().zip(&self.bodies);
        let body = |(part, bytes): (&crate::Part, &Bytes)| PartContent {
            key: part.key.clone(),
            bytes: bytes.clone(),
        };
        parts.map(body).collect()
    }
}

/// Complete revisions, sorted by id.
#[derive(Clone, Debug, Default)]
pub(super) struct Store {
    sets: Vec<Set>,
    in_force: Option<Id>,
}

impl Store {
    pub(super) fn in_force(&self) -> Option<Id> {
        self.in_force
    }

    pub(super) fn newest(&self) -> Option<Id> {
        self.sets.last().map(|set| set.id)
    }

    pub(super) fn set(&self, id: Id) -> Option<&Set> {
        let index = self.sets.binary_search_by_key(&id, |set| set.id).ok()?;
        self.sets.get(index)
    }

    /// Stores a validated set. Returns whether it is now in force, which requires that it is valid and
    /// has a higher number than the one in force.
    pub(super) fn put(&mut self, set: Set) -> bool {
        let id = set.id;
        let current = self.in_force.map_or(0, |id| id.revision);
        let adopted = set.verdict == Verdict::Valid && id.revision > current;
        match self.sets.binary_search_by_key(&id, |set| set.id) {
            Ok(index) => self.sets[index] = set,
            Err(index) => self.sets.insert(index, set),
        }
        if adopted {
            self.in_force = Some(id);
        }
        self.trim();
        adopted
    }

    fn trim(&mut self) {
        while self.sets.len() > HISTORY + 1 {
            let oldest = self
                .sets
                .iter()
                .position(|set| Some(set.id) != self.in_force);
            self.sets.remove(oldest.unwrap_or(0));
        }
    }

    /// Returns a part's content, looking first at `index` in each set.
    pub(super) fn body(&self, digest: Digest, index: usize) -> Option<&Bytes> {
        let at = |set: &Set| set.manifest.parts.get(index).map(|part| part.digest);
        let same = self.sets.iter().rev().find(|set| at(set) == Some(digest));
        match same {
            Some(set) => set.bodies.get(index),
            None => self.find(digest),
        }
    }

    /// Returns a part's content.
    pub(super) fn find(&self, digest: Digest) -> Option<&Bytes> {
        self.sets.iter().rev().find_map(|set| {
            let mut parts = set.manifest.parts.iter();
            let index = parts.position(|part| part.digest == digest)?;
            set.bodies.get(index)
        })
    }
}
