//! When the platform was last heard of.

use std::sync::{MutexGuard, PoisonError};
use std::time::Duration;

use log::info;
use node::journal::DECISION;
use wire::Time;

use super::Hub;
use crate::dialect::Dialect;

/// When the platform answered last, as far as this node knows.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Contact {
    /// When it answered this node.
    answered: Time,
    /// When it answered this node, or a reader that told of it.
    heard: Time,
    /// The same on the clock that does not count the time in which the process stands still.
    heard_running: Time,
}

impl Contact {
    /// Records an answer that is `age` old.
    fn record(&mut self, now: Time, running: Time, age: Duration) {
        self.heard = self.heard.max(now.saturating_sub(age));
        self.heard_running = self.heard_running.max(running.saturating_sub(age));
    }
}

impl<D: Dialect> Hub<D> {
    /// Notes that the platform is read from now on: silence before that is none of the platform's.
    pub fn begin_reading(&self) {
        let (now, running) = (self.clock.now(), self.running_time());
        self.contact().record(now, running, Duration::ZERO);
    }

    /// Notes that the platform has answered this node.
    pub fn heard_store(&self) {
        self.contact().answered = self.clock.now();
        self.record_store_answer(Duration::ZERO, "platform");
    }

    /// Notes that the platform answered this node or a reader `age` ago. Entries may have lapsed if it was
    /// away before.
    pub(super) fn record_store_answer(&self, age: Duration, source: &'static str) {
        let absence = self.store_absence().saturating_sub(age);
        let (now, running) = (self.clock.now(), self.running_time());
        self.contact().record(now, running, age);
        if absence >= self.exchange.lapse {
            let absence_ms = absence.as_millis() as u64;
            info!(target: DECISION, absence_ms, source; "platform-absence");
            self.desk().aftermath.returned(now);
        }
    }

    /// Returns the time since the platform answered this node last.
    pub fn store_age(&self) -> Duration {
        self.clock.now().saturating_sub(self.contact().answered)
    }

    /// Returns the time since the platform answered this node or a reader that told of it.
    pub fn store_silence(&self) -> Duration {
        self.clock.now().saturating_sub(self.contact().heard)
    }

    /// Returns for how long the platform may have been away: the time since it answered this node or a
    /// reader that told of it, without the time in which this process stood still.
    pub fn store_absence(&self) -> Duration {
        let running = self.running_time();
        running.saturating_sub(self.contact().heard_running)
    }

    fn contact(&self) -> MutexGuard<'_, Contact> {
        self.contact.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
