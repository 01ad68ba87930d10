//! What a node knows of the brittleness of one upstream.

use std::time::Duration;

use wire::Time;

use super::Tolerance;

/// Time from an upstream's first announcement in which it turns away no more requests than before.
const NOTICE: Duration = Duration::from_millis(2_500);

/// Longest wait that is returned to a caller.
const WAIT_MAX: Duration = Duration::from_secs(10);

/// What a node knows of the brittleness of one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Brittleness {
    tolerance: Option<Tolerance>,
    /// What other nodes were told.
    told: Option<Tolerance>,
    /// When it was announced last.
    announced_at: Time,
    /// Until when it turns away no more requests than before.
    notice_until: Time,
    /// When a permit may be asked for by an urgent request, and by any other.
    next_permit_at: [Time; 2],
}

impl Brittleness {
    /// Returns the refusals a second that it survives, if it is brittle.
    pub const fn tolerance(&self) -> Option<Tolerance> {
        self.tolerance
    }

    /// Returns the time in which it turns away no more requests than before.
    pub fn notice(&self, now: Time) -> Duration {
        self.notice_until.saturating_sub(now)
    }

    /// Returns the time until a request may ask for a permit, as callers are told it: another node may
    /// ask earlier.
    pub fn wait(&self, now: Time, urgent: bool) -> Duration {
        if self.tolerance.is_none() {
            return Duration::ZERO;
        }
        let wait = self.next_permit_at[usize::from(!urgent)].saturating_sub(now);
        wait.min(WAIT_MAX)
    }

    /// Records that a request gets no permit for `wait`. Urgent requests are queued before others, so
    /// they may still get one.
    pub fn exhausted(&mut self, now: Time, urgent: bool, wait: Duration) {
        self.next_permit_at[1] = now + wait;
        if urgent {
            self.next_permit_at[0] = now + wait;
        }
    }

    /// Records what an answer says to a request that was sent at `sent`. Answers overtake each other,
    /// so an announcement ends only with the answer to a request that was sent after it. Returns
    /// whether other nodes should be told.
    pub fn record(&mut self, now: Time, sent: Time, tolerance: Option<Tolerance>) -> bool {
        match tolerance {
            Some(tolerance) => {
                self.announced_at = now;
                self.tolerance = Some(tolerance);
            }
            None if sent > self.announced_at => {
                self.tolerance = None;
                self.notice_until = sent + NOTICE;
            }
            None => {}
        }
        let news = self.told != self.tolerance;
        self.told = self.tolerance;
        news
    }

    /// Records what another node was told, and the notice that the upstream has given to it.
    pub fn record_news(
        &mut self,
        now: Time,
        sent: Time,
        tolerance: Option<Tolerance>,
        notice: Duration,
    ) -> bool {
        let news = self.record(now, sent, tolerance);
        if self.tolerance.is_some() {
            let notice = notice.min(NOTICE);
            self.notice_until = self.notice_until.max(now + notice);
        }
        news
    }

    /// Returns what is assumed of another process of the same kind until it has answered.
    #[must_use]
    pub fn inherit(&self, now: Time) -> Self {
        Self {
            tolerance: self.tolerance,
            told: self.tolerance,
            announced_at: now,
            ..Self::default()
        }
    }
}
