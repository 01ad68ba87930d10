//! The first moments of an analyst.

use std::time::Duration;

use wire::{Time, Upstream};

use super::message::CrashReport;

/// Time for which a new analyst takes no reports: the others may not know yet that it is one.
const LEARNING_TIME: Duration = Duration::from_millis(1_500);

/// Time before it was one from which an analyst takes crashes up: their reports are sent for the last time when it
/// takes reports already.
const LOOKBACK: Duration = Duration::from_millis(800);

/// Which reports a new analyst leaves to the others. A crash of which it lacks some reports would be attributed to
/// what happens to be in the rest.
#[derive(Clone, Debug, Default)]
pub(super) struct Learning {
    /// When this node became an analyst.
    since: Time,
    until: Time,
    /// Crashes too long before that, with the time of a report that was left to the others, one for each upstream.
    missed: Vec<(Upstream, Time)>,
}

impl Learning {
    /// Starts anew, since this node has become an analyst.
    pub fn begin(&mut self, now: Time) {
        (self.since, self.until) = (now, now + LEARNING_TIME);
        self.missed.clear();
    }

    /// Returns whether a report is taken. Reports of one upstream within `window` are of one crash.
    pub fn admits(&mut self, now: Time, report: &CrashReport, window: Duration) -> bool {
        let at = now.saturating_sub(report.age);
        let known = |(upstream, _): &&mut (Upstream, Time)| *upstream == report.upstream;
        let missed = self.missed.iter_mut().find(known);
        if now >= self.until {
            return missed.is_none_or(|(_, missed_at)| at > *missed_at + window);
        }
        if at + LOOKBACK < self.since {
            match missed {
                Some((_, missed_at)) => *missed_at = at.max(*missed_at),
                None => self.missed.push((report.upstream.clone(), at)),
            }
        }
        false
    }
}
