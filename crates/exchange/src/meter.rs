//! When an engine is given another prompt to read.
//!
//! An engine reads prompts between the steps of the streams that it runs. All of these streams
//! pause while prompts are read one after the other, so a pause for some steps is kept between
//! groups of prompts that together would make them late.

use std::time::Duration;

use wire::Time;

/// Reading between two events of a stream up to which the stream is on time: the pause that makes
/// it late, less the steps of an event and the way to the caller.
pub const GROUP_MAX: Duration = Duration::from_millis(170);

/// Time in which every stream of an engine brings an event while nothing is read: a handful of
/// steps.
const BREATH: Duration = Duration::from_millis(40);

/// Time that each prompt costs beside its reading: the step that it is read in.
const STEP: Duration = Duration::from_millis(7);

/// Rank of requests that wait for nobody.
const URGENT: u8 = 0;

/// The prompts that one engine was given.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Meter {
    /// When everything let in is read.
    done: Time,
    /// Reading since the streams last had a breath, as of `done`.
    group: Duration,
}

impl Meter {
    /// Returns the reading time that is ahead.
    pub fn level(&self, now: Time) -> Duration {
        self.done.saturating_sub(now)
    }

    /// Lets a prompt in that takes `reading`. Returns how long it has to wait.
    pub fn admit(&mut self, now: Time, reading: Duration, rank: u8) -> Duration {
        let reading = reading + STEP;
        if rank == URGENT {
            self.group = self.group_at(now) + reading;
            self.done = self.done.max(now) + reading;
            return Duration::ZERO;
        }
        let start = self.start(now, reading);
        self.group = self.group_at(start) + reading;
        self.done = start + reading;
        start - now
    }

    /// Returns the first time from `now` on at which `reading` fits the group.
    fn start(&self, now: Time, reading: Duration) -> Time {
        let earliest = now.max(self.done);
        let allowed = GROUP_MAX.saturating_sub(reading);
        if self.group <= allowed {
            return earliest;
        }
        // The group shrinks evenly over a breath.
        let part = 1.0 - allowed.as_secs_f64() / self.group.as_secs_f64();
        earliest.max(self.done + BREATH.mul_f64(part))
    }

    fn group_at(&self, time: Time) -> Duration {
        let rested = time.saturating_sub(self.done).as_secs_f64() / BREATH.as_secs_f64();
        self.group.mul_f64((1.0 - rested).max(0.0))
    }
}
