//! Eras of the platform.
//!
//! The platform may be restored from a copy. What was written since the copy is gone then, and its
//! revisions are given out again. Each restore begins a new era. A revision is a position within its
//! era only: whatever was read up to a revision says nothing about the same revision of another era.

use std::time::Duration;

use wire::{Revision, Time};

/// Number of an era; a higher one is later.
pub type Era = u64;

/// The era of a platform that states none.
const ERA_UNSTATED: Era = 0;

/// Time from the beginning of an era in which a listing may show entries as the copy had them. After
/// that the platform has removed the entries of upstreams that no longer report to it.
const COPY_AGE_MAX: Duration = Duration::from_secs(5);

/// A position in the platform's history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// The era.
    pub era: Era,
    /// The revision within it.
    pub revision: Revision,
}

/// What an answer of the platform states about its era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatedEra {
    /// The answer belongs to this era.
    Known(Era),
    /// The answer states nothing.
    Absent,
    /// The answer states something that is not one number.
    Malformed,
}

/// The eras that this node knows of.
#[derive(Clone, Copy, Debug, Default)]
pub struct History {
    current: Option<Era>,
    /// When the current era replaced another one, if it did.
    replaced_at: Option<Time>,
}

impl History {
    /// Returns the latest era, if any is known.
    pub const fn current(&self) -> Option<Era> {
        self.current
    }

    /// Returns when the current era replaced another one, if it did.
    pub const fn replaced_at(&self) -> Option<Time> {
        self.replaced_at
    }

    /// Returns the era of an answer. Returns `None` if the answer must not be used, because it is from
    /// an era that has ended or does not tell its era. A platform that has never stated an era has
    /// only one.
    pub fn era_of(&self, stated: StatedEra) -> Option<Era> {
        let era = match stated {
            StatedEra::Known(era) => era,
            StatedEra::Absent => ERA_UNSTATED,
            StatedEra::Malformed => return None,
        };
        self.current
            .is_none_or(|current| era >= current)
            .then_some(era)
    }

    /// Records that `era` has begun: a whole listing of it was read, or a peer has read one. Returns
    /// whether it is later than the current one.
    pub fn begin(&mut self, now: Time, era: Era) -> bool {
        let is_later = self.current.is_none_or(|current| era > current);
        if is_later {
            self.replaced_at = self.current.map(|_| now).or(self.replaced_at);
            self.current = Some(era);
        }
        is_later
    }

    /// Returns whether a listing may show entries as the copy had them.
    pub fn may_be_copy(&self, now: Time) -> bool {
        self.copy_until().is_some_and(|until| now < until)
    }

    /// Returns until when a listing may show entries as the copy had them.
    pub fn copy_until(&self) -> Option<Time> {
        self.replaced_at.map(|at| at + COPY_AGE_MAX)
    }
}
