//! When an engine is given another prompt to read.
//!
//! An engine reads prompts in the steps of the streams that it runs. A stream brings an event
//! every few steps, so it pauses for as long as the prompts take that are read in these steps. The
//! reading in any [`BREATH`] of step time is therefore bounded, as in a sliding-window rate limit.

use std::collections::VecDeque;
use std::time::Duration;

use wire::Time;

/// Reading between two events of a stream up to which the stream is on time: the pause that makes
/// it late, less the steps of an event and the way to the caller.
pub const GROUP_MAX: Duration = Duration::from_millis(180);

/// Step time in which every stream of an engine brings an event: a handful of steps.
pub const BREATH: Duration = Duration::from_millis(36);

/// Step time that passes with each prompt, which is read within a step.
pub const STEP: Duration = Duration::from_millis(5);

/// Rank of requests that wait for nobody.
const URGENT: u8 = 0;

/// The prompts that one engine was given.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    /// When everything let in is read.
    done: Time,
    /// Step time that has passed by then.
    steps: Duration,
    /// The prompts of the last breath: the step time at which each was read, and its reading.
    group: VecDeque<(Duration, Duration)>,
}

impl Meter {
    /// Returns the reading time that is ahead.
    pub fn level(&self, now: Time) -> Duration {
        self.done.saturating_sub(now)
    }

    /// Lets a prompt in that takes `reading`. Returns how long it has to wait.
    pub fn admit(&mut self, now: Time, reading: Duration, rank: u8) -> Duration {
        let urgent = rank == URGENT;
        let earliest = now.max(self.done);
        let mut steps = self.steps + (earliest - self.done);
        self.forget(steps);
        while !urgent && self.reading() + reading > GROUP_MAX {
            // The streams bring their events before the oldest prompt stops to count.
            let Some((oldest, _)) = self.group.pop_front() else {
                break;
            };
            steps = steps.max(oldest + BREATH);
        }
        let start = self.done + (steps - self.steps);
        self.group.push_back((steps, reading));
        self.done = start + reading + STEP;
        self.steps = steps + STEP;
        if urgent { Duration::ZERO } else { start - now }
    }

    fn reading(&self) -> Duration {
        self.group.iter().map(|(_, reading)| *reading).sum()
    }

    fn forget(&mut self, steps: Duration) {
        let over = |(at, _): &(Duration, Duration)| *at + BREATH <= steps;
        while self.group.front().is_some_and(over) {
            self.group.pop_front();
        }
    }
}
