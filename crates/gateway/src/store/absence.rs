//! Upstreams whose entries vanished while the platform was away.
//!
//! Entries lapse where upstreams cannot renew them. One that lapsed around an outage is back within
//! seconds of the platform's return if its upstream is alive; until then the upstream counts as
//! present.

use std::time::Duration;

use wire::{Time, Upstream};

/// Time after the platform's return in which entries come back.
const RETURN: Duration = Duration::from_millis(2_200);

/// Absences that are not believed yet.
#[derive(Debug, Default)]
pub(super) struct Absence {
    returned: Option<Time>,
    held: Vec<(Upstream, Time)>,
}

impl Absence {
    /// Notes that the platform answers again.
    pub(super) fn returned(&mut self, now: Time) {
        self.returned = Some(now);
    }

    /// Tells whether no absence is held back.
    pub(super) fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Notes that an entry is gone. Returns whether the absence is held back.
    pub(super) fn absent(&mut self, now: Time, id: &Upstream) -> bool {
        let Some(until) = self
            .returned
            .map(|at| at + RETURN)
            .filter(|until| now < *until)
        else {
            return false;
        };
        if self.held.iter().all(|(known, _)| known != id) {
            self.held.push((id.clone(), until));
        }
        true
    }

    /// Notes that an entry is there.
    pub(super) fn present(&mut self, id: &Upstream) {
        self.held.retain(|(known, _)| known != id);
    }

    /// Takes out the upstreams whose absence is believed now.
    pub(super) fn due(&mut self, now: Time) -> Vec<Upstream> {
        let due = |(_, until): &(Upstream, Time)| *until <= now;
        let gone = self.held.iter().filter(|held| due(held));
        let gone: Vec<Upstream> = gone.map(|(id, _)| id.clone()).collect();
        self.held.retain(|held| !due(held));
        gone
    }
}
