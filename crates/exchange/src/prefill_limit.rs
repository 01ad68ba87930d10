//! Admission of prompts to an engine.
//!
//! An engine runs the prefill of a prompt within the steps of the streams that it serves. A stream
//! emits an event every few steps, so it pauses for the duration of all prefills in these steps.
//! The limiter therefore bounds the prefill time within any [`EVENT_INTERVAL`] of step time, like a
//! sliding-window rate limit.

use std::collections::VecDeque;
use std::time::Duration;

use wire::Time;

/// Prefill time between two events of a stream up to which the stream is on time: the pause that
/// makes it late, less the steps of an event and the way to the caller.
pub const INTERVAL_PREFILL_MAX: Duration = Duration::from_millis(180);

/// Step time within which every stream of an engine emits an event: a handful of steps.
pub const EVENT_INTERVAL: Duration = Duration::from_millis(36);

/// Step time that passes with each prefill, which runs within one step.
pub const STEP_TIME: Duration = Duration::from_millis(5);

/// Number of priority classes: urgent requests, and all others together.
const CLASSES: usize = 2;

/// Limits the prefills of one engine.
///
/// Urgent prompts wait for urgent ones only, all others wait for all.
#[derive(Clone, Debug, Default)]
pub struct PrefillLimiter {
    /// For each priority class, the prompts that its prompts wait for.
    windows: [Window; CLASSES],
}

impl PrefillLimiter {
    /// Returns the prefill time that is ahead.
    pub fn backlog(&self, now: Time) -> Duration {
        let done = self.windows.iter().map(|window| window.done_at).max();
        done.unwrap_or_default().saturating_sub(now)
    }

    /// Admits a prompt whose prefill takes `prefill`. Returns how long it has to wait.
    pub fn admit(&mut self, now: Time, prefill: Duration, priority: u8) -> Duration {
        let class = usize::from(priority).min(CLASSES - 1);
        let wait = self.windows[class].admit(now, prefill);
        for window in &mut self.windows[class + 1..] {
            window.record(now + wait, prefill);
        }
        wait
    }
}

/// The prompts that share a limit.
#[derive(Clone, Debug, Default)]
struct Window {
    /// When all admitted prefills are done.
    done_at: Time,
    /// Step time that has passed at `done_at`.
    steps: Duration,
    /// The prompts of the last [`EVENT_INTERVAL`]: the step time at which the prefill of each
    /// starts, and its duration.
    recent: VecDeque<(Duration, Duration)>,
}

impl Window {
    /// Admits a prompt as soon as the limit allows it. Returns how long it has to wait.
    fn admit(&mut self, now: Time, prefill: Duration) -> Duration {
        let mut steps = self.advance(now);
        while self.recent_prefill() + prefill > INTERVAL_PREFILL_MAX {
            // All streams emit an event before the oldest prefill leaves the window.
            let Some((oldest, _)) = self.recent.pop_front() else {
                break;
            };
            steps = steps.max(oldest + EVENT_INTERVAL);
        }
        self.push(steps, prefill) - now
    }

    /// Records a prompt whose prefill starts at `now`, regardless of the limit.
    fn record(&mut self, now: Time, prefill: Duration) {
        let steps = self.advance(now);
        self.push(steps, prefill);
    }

    /// Drops prompts that have left the window at `now`. Returns the step time at which another
    /// prefill could start.
    fn advance(&mut self, now: Time) -> Duration {
        let steps = self.steps + now.saturating_sub(self.done_at);
        let expired = |(at, _): &(Duration, Duration)| *at + EVENT_INTERVAL <= steps;
        while self.recent.front().is_some_and(expired) {
            self.recent.pop_front();
        }
        steps
    }

    /// Appends a prompt whose prefill starts at the step time `steps`. Returns when that is.
    fn push(&mut self, steps: Duration, prefill: Duration) -> Time {
        let start = self.done_at + (steps - self.steps);
        self.recent.push_back((steps, prefill));
        self.done_at = start + prefill + STEP_TIME;
        self.steps = steps + STEP_TIME;
        start
    }

    /// Returns the sum of the prefills in the window.
    fn recent_prefill(&self) -> Duration {
        self.recent.iter().map(|(_, prefill)| *prefill).sum()
    }
}
