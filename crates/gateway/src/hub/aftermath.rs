//! Entries that are not believed yet, after the platform was away or was restored from a copy.
//!
//! Entries lapse where upstreams cannot renew them, and a copy lacks those that were added since. One
//! that is missing for such a reason is back within seconds of the platform's return if its upstream
//! is alive; until then the upstream counts as present. A copy also lists upstreams that are gone:
//! they stay away until the platform confirms them.

use std::time::Duration;

use exchange::fleet::Listing;
use wire::{Time, Upstream};

/// Time after the platform's return in which entries come back.
const RETURN: Duration = Duration::from_millis(2_200);

/// What an entry that is gone means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Absence {
    /// The upstream is gone.
    Believed,
    /// It counts as present until then.
    Held(Time),
    /// That is known, and held back already.
    Known,
}

/// What is held back.
#[derive(Debug, Default)]
pub struct Aftermath {
    returned: Option<Time>,
    absent: Vec<(Upstream, Time)>,
    outdated: Vec<(Listing, Time)>,
}

impl Aftermath {
    /// Notes that the platform answers again, or was restored.
    pub fn returned(&mut self, at: Time) {
        self.returned = self.returned.max(Some(at));
    }

    /// Returns when something is believed next.
    pub fn next(&self) -> Option<Time> {
        let absent = self.absent.iter().map(|(_, until)| *until);
        absent
            .chain(self.outdated.iter().map(|(_, until)| *until))
            .min()
    }

    /// Notes that an entry is gone. Returns whether that is believed.
    pub fn absent(&mut self, now: Time, id: &Upstream) -> Absence {
        self.outdated.retain(|(listing, _)| listing.id != *id);
        let Some(until) = self
            .returned
            .map(|at| at + RETURN)
            .filter(|until| now < *until)
        else {
            return Absence::Believed;
        };
        if self.absent.iter().any(|(known, _)| known == id) {
            return Absence::Known;
        }
        self.absent.push((id.clone(), until));
        Absence::Held(until)
    }

    /// Notes that an entry is there. Returns whether its absence was held back.
    pub fn present(&mut self, id: &Upstream) -> bool {
        self.outdated.retain(|(listing, _)| listing.id != *id);
        let held = self.absent.iter().position(|(known, _)| known == id);
        held.map(|index| self.absent.remove(index)).is_some()
    }

    /// Holds back the entry of a process that was gone before.
    pub fn hold(&mut self, listing: Listing, until: Time) {
        self.present(&listing.id);
        self.outdated.push((listing, until));
    }

    /// Drops the entries that are held back, since all are about to be listed anew.
    pub fn relisted(&mut self) {
        self.outdated.clear();
    }

    /// Takes out the upstreams whose absence is believed now.
    pub fn take_absent(&mut self, now: Time) -> Vec<Upstream> {
        let due = self.absent.extract_if(.., |(_, until)| *until <= now);
        due.map(|(id, _)| id).collect()
    }

    /// Takes out the entries that are believed now.
    pub fn take_outdated(&mut self, now: Time) -> Vec<Listing> {
        let due = self.outdated.extract_if(.., |(_, until)| *until <= now);
        due.map(|(listing, _)| listing).collect()
    }
}
