//! When an engine is given another prompt to read.
//!
//! An engine reads prompts in the steps of the streams that it runs. A stream brings an event
//! every few steps, so it pauses for as long as the prompts take that are read in these steps. The
//! reading in any [`EVENT_INTERVAL`] of step time is therefore bounded, as in a sliding-window rate limit.

use std::collections::VecDeque;
use std::time::Duration;

use wire::Time;

/// Reading between two events of a stream up to which the stream is on time: the pause that makes
/// it late, less the steps of an event and the way to the caller.
pub const INTERVAL_PREFILL_MAX: Duration = Duration::from_millis(180);

/// Step time in which every stream of an engine brings an event: a handful of steps.
pub const EVENT_INTERVAL: Duration = Duration::from_millis(36);

/// Step time that passes with each prompt, which is read within a step.
pub const STEP_TIME: Duration = Duration::from_millis(5);

/// Ranks that are told apart: urgent requests, and all others together.
const RANKS: usize = 2;

/// The prompts that one engine was given.
///
/// Urgent prompts wait for urgent ones alone, all others for all.
#[derive(Clone, Debug, Default)]
pub struct PrefillLimiter {
    /// For each rank, the prompts that one of it waits for.
    ahead: [Window; RANKS],
}

impl PrefillLimiter {
    /// Returns the reading time that is ahead.
    pub fn backlog(&self, now: Time) -> Duration {
        let done = self.ahead.iter().map(|window| window.done).max();
        done.unwrap_or_default().saturating_sub(now)
    }

    /// Lets a prompt in that takes `reading`. Returns how long it has to wait.
    pub fn admit(&mut self, now: Time, reading: Duration, rank: u8) -> Duration {
        let rank = usize::from(rank).min(RANKS - 1);
        let wait = self.ahead[rank].admit(now, reading);
        for window in &mut self.ahead[rank + 1..] {
            window.note(now + wait, reading);
        }
        wait
    }
}

/// The prompts that count together.
#[derive(Clone, Debug, Default)]
struct Window {
    /// When everything let in is read.
    done: Time,
    /// Step time that has passed by then.
    steps: Duration,
    /// The prompts of the last breath: the step time at which each was read, and its reading.
    group: VecDeque<(Duration, Duration)>,
}

impl Window {
    /// Lets a prompt in as soon as the group allows it. Returns how long it has to wait.
    fn admit(&mut self, now: Time, reading: Duration) -> Duration {
        let mut steps = self.pass(now);
        while self.reading() + reading > INTERVAL_PREFILL_MAX {
            // The streams bring their events before the oldest prompt stops to count.
            let Some((oldest, _)) = self.group.pop_front() else {
                break;
            };
            steps = steps.max(oldest + EVENT_INTERVAL);
        }
        self.push(steps, reading) - now
    }

    /// Counts a prompt that goes at `now`, whatever the group.
    fn note(&mut self, now: Time, reading: Duration) {
        let steps = self.pass(now);
        self.push(steps, reading);
    }

    /// Returns the step time at which a prompt could be read from `now` on.
    fn pass(&mut self, now: Time) -> Duration {
        let steps = self.steps + now.saturating_sub(self.done);
        let over = |(at, _): &(Duration, Duration)| *at + EVENT_INTERVAL <= steps;
        while self.group.front().is_some_and(over) {
            self.group.pop_front();
        }
        steps
    }

    /// Appends a prompt that is read at the step time `steps`. Returns when that is.
    fn push(&mut self, steps: Duration, reading: Duration) -> Time {
        let start = self.done + (steps - self.steps);
        self.group.push_back((steps, reading));
        self.done = start + reading + STEP_TIME;
        self.steps = steps + STEP_TIME;
        start
    }

    fn reading(&self) -> Duration {
        self.group.iter().map(|(_, reading)| *reading).sum()
    }
}
