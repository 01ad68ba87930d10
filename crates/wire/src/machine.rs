//! The shape of every decision maker.
//!
//! A machine holds state and nothing else: time, random seeds and messages come in as events, and
//! every order goes out as an action. The daemon, a test and a bench drive the same code, and one
//! thread can drive the machines of many nodes deterministically without an async runtime.

use std::time::Duration;

/// Monotonic time since an origin that the driver chooses once per process.
///
/// Values of different processes are not comparable and never cross the wire.
pub type Time = Duration;

/// Returns `time` in milliseconds, as messages carry it.
pub fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// A deterministic state machine.
pub trait Machine {
    /// What the machine is told.
    type Event;

    /// What the machine wants done.
    type Action;

    /// Takes one event in at `now` and appends the actions that follow to `out`.
    ///
    /// `now` never runs backwards between two calls. A driver that was paused passes the time
    /// after the pause, so that the machine checks its deadlines before it acts on the event.
    fn step(&mut self, now: Time, event: Self::Event, out: &mut impl Extend<Self::Action>);

    /// Returns the time at which the machine next wants its tick event, if any.
    ///
    /// The driver may tick earlier or later; a tick with nothing due does nothing.
    fn wake(&self) -> Option<Time>;
}
