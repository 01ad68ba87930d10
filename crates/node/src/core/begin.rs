//! The first seconds of a process: when it has met its peers, and calls that come before the
//! witnesses do.

use std::time::Duration;

use logic::Event;
use tokio::sync::mpsc;
use wire::{Machine, Time};

use super::{Ruling, State};

/// Time for which a call waits for a quorum of witnesses before it is begun without one.
const WITNESS_WAIT: Duration = Duration::from_secs(2);

/// Time from being fit until traffic is taken although no quorum of witnesses has greeted.
const GREETING_WAIT: Duration = Duration::from_secs(3);

/// Time from the start after which traffic is taken although no peer has answered.
const MEETING_WAIT: Duration = Duration::from_secs(15);

/// A call that came before its node could reach the witnesses.
pub(super) struct Early {
    event: once::Event,
    reply: mpsc::UnboundedSender<Ruling>,
    due: Time,
}

impl State {
    /// Begins a call, or keeps it while claims cannot be decided here.
    pub(super) fn take_begin(&mut self, event: once::Event, reply: mpsc::UnboundedSender<Ruling>) {
        let now = self.shared.clock.now();
        let due = match &event {
            once::Event::Begin { deadline, .. } => (now + WITNESS_WAIT).min(*deadline),
            _ => now,
        };
        if now < due && !self.logic.once().ready(now) {
            self.early.push(Early { event, reply, due });
        } else {
            self.begin(event, reply);
        }
    }

    /// Begins the calls that need not wait any longer, in the order in which they came.
    pub(super) fn begin_early(&mut self) {
        let now = self.shared.clock.now();
        let ready = self.logic.once().ready(now);
        let (begun, kept) = std::mem::take(&mut self.early)
            .into_iter()
            .partition(|early| ready || early.due <= now);
        self.early = kept;
        let begun: Vec<Early> = begun;
        for early in begun {
            self.begin(early.event, early.reply);
        }
    }

    fn begin(&mut self, event: once::Event, reply: mpsc::UnboundedSender<Ruling>) {
        if let once::Event::Begin { request, .. } = &event {
            self.calls.insert(*request, reply);
        }
        self.step(Event::Once(event));
    }

    /// Takes traffic once the peers know this process: until then they drop what it sends, and
    /// requests would wait for them here.
    pub(super) fn meet(&mut self) {
        if self.shared.met() {
            return;
        }
        let now = self.shared.clock.now();
        if self.logic.roster().fit() {
            self.fit_at.get_or_insert(now);
        }
        // A region that is too small for a quorum has none to wait for.
        let quorum = self.logic.once().witness_set().quorum();
        let few = self.shared.view.load().live().count() < quorum;
        let greeted = few || self.logic.once().ready(now);
        let met = |at| greeted || now >= at + GREETING_WAIT;
        if self.fit_at.is_some_and(met) || now >= MEETING_WAIT {
            self.shared.set_met();
        }
    }

    /// Returns when the core wants its next tick.
    pub(super) fn wake_time(&self) -> Option<Time> {
        let early = self.early.iter().map(|early| early.due);
        self.logic.wake().into_iter().chain(early).min()
    }
}
