//! Whether upstreams that were reported as crashed have crashed at all.
//!
//! A node that finds all connections to an upstream refused or reset reports a crash, and so do others
//! that are partitioned from it at the same time. A process that still answers under the start that it
//! had has not crashed.

use std::time::Duration;

use wire::{Time, Upstream};

/// Start of an upstream's process in milliseconds since the Unix epoch, or another number that only this process
/// tells. It tells processes under one id apart.
pub type Start = u64;

/// Time from a question to the next one, which doubles each time, up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// Time after the last report of its crash for which an upstream is asked.
pub(crate) const INQUIRY_TIME: Duration = Duration::from_secs(60);

/// An upstream that is asked until it answers or is replaced.
#[derive(Clone, Debug)]
struct Inquiry {
    upstream: Upstream,
    /// When it was last wanted.
    since: Time,
    next: Time,
    pause: Duration,
    until: Time,
}

/// The inquiries of a node.
#[derive(Clone, Debug, Default)]
pub(crate) struct Inquiries {
    open: Vec<Inquiry>,
}

impl Inquiries {
    /// Asks `upstream` from now on.
    pub fn open(&mut self, now: Time, upstream: &Upstream) {
        let until = now + INQUIRY_TIME;
        match self
            .open
            .iter_mut()
            .find(|known| known.upstream == *upstream)
        {
            Some(known) => (known.since, known.until) = (now, until),
            None => self.open.push(Inquiry {
                upstream: upstream.clone(),
                since: now,
                next: now,
                pause: FIRST_PAUSE,
                until,
            }),
        }
    }

    /// Asks an upstream no longer that has answered what was asked at `asked`, unless it was wanted since.
    pub fn answered(&mut self, upstream: &Upstream, asked: Time) {
        self.open
            .retain(|known| known.upstream != *upstream || asked < known.since);
    }

    /// Asks an upstream no longer that has been replaced.
    pub fn close(&mut self, upstream: &Upstream) {
        self.open.retain(|known| known.upstream != *upstream);
    }

    /// Returns the upstreams to ask now.
    pub fn take_due(&mut self, now: Time) -> Vec<Upstream> {
        self.open.retain(|known| now < known.until);
        let mut due = Vec::new();
        for known in self.open.iter_mut().filter(|known| now >= known.next) {
            known.next = now + known.pause;
            known.pause = (known.pause * 2).min(LONGEST_PAUSE);
            due.push(known.upstream.clone());
        }
        due
    }

    /// Returns when the next question is due.
    pub fn wake(&self) -> Option<Time> {
        self.open.iter().map(|known| known.next).min()
    }
}
