//! State machine for graceful shutdown.
//!
//! The node is removed from address answers and hands over its ownership. It keeps serving until
//! cached address answers have expired and all in-flight requests have completed, then closes. It
//! aborts requests only after a second signal or the time limit, and reports that first.

use std::time::Duration;

use wire::{Machine, Time};

/// Phase of the shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Not shutting down.
    Serving,
    /// Callers may still have the address cached; new requests are served.
    AwaitingExpiry,
    /// Cached addresses have expired; in-flight requests or the hand-over are still pending.
    Finishing,
    /// Closed.
    Closed,
}

/// Why in-flight requests are aborted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The operator sent a second signal.
    Second,
    /// The shutdown time limit expired.
    Limit,
}

/// Input of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The first signal.
    Start,
    /// Any later signal.
    Second,
    /// Current number of in-flight requests, sent on every change.
    InFlight(usize),
    /// The hand-over is complete.
    HandedOver,
    /// Time passed.
    Tick,
}

/// Output of the state machine, to be performed by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Remove this node from all address answers, local and at peers.
    StopAddresses,
    /// Hand over ownership and records to peers.
    HandOver,
    /// Keep serving until the address TTL expires.
    WaitTtl {
        /// When the last cached address answer expires.
        until: Time,
    },
    /// Report to the operator what the following close aborts.
    Report {
        /// Cause of the abort.
        reason: Reason,
        /// Number of in-flight requests that are aborted.
        cut: usize,
        /// Whether the hand-over was complete.
        handed: bool,
    },
    /// Stop the process.
    Close,
}

/// Time limits of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Time to live of address answers.
    pub ttl: Duration,
    /// Time from the first signal after which in-flight requests are aborted.
    pub total: Duration,
    /// Time from the first signal after which shutdown no longer waits for the hand-over.
    pub hand_over: Duration,
}

/// Shutdown state machine of one node.
#[derive(Clone, Debug)]
pub struct Drain {
    limit: Limit,
    phase: Phase,
    started: Time,
    in_flight: usize,
    handed: bool,
}

impl Drain {
    /// Creates the state machine in [`Phase::Serving`].
    pub const fn new(limit: Limit) -> Self {
        Self {
            limit,
            phase: Phase::Serving,
            started: Time::ZERO,
            in_flight: 0,
            handed: false,
        }
    }

    /// Returns the current phase.
    pub const fn phase(&self) -> Phase {
        self.phase
    }

    fn start(&mut self, now: Time, out: &mut impl Extend<Action>) {
        self.phase = Phase::AwaitingExpiry;
        self.started = now;
        let until = self.ttl_deadline();
        out.extend([
            Action::StopAddresses,
            Action::HandOver,
            Action::WaitTtl { until },
        ]);
    }

    fn ttl_deadline(&self) -> Time {
        self.started + self.limit.ttl
    }

    fn total_deadline(&self) -> Time {
        self.started + self.limit.total
    }

    fn hand_over_deadline(&self) -> Time {
        self.started + self.limit.hand_over
    }

    fn advance(&mut self, now: Time, out: &mut impl Extend<Action>) {
        if self.phase == Phase::AwaitingExpiry && now >= self.ttl_deadline() {
            self.phase = Phase::Finishing;
        }
        let hand_over_settled = self.handed || now >= self.hand_over_deadline();
        if self.phase == Phase::Finishing && self.in_flight == 0 && hand_over_settled {
            self.close(out);
        } else if self.draining() && now >= self.total_deadline() {
            self.abort(Reason::Limit, out);
        }
    }

    const fn draining(&self) -> bool {
        matches!(self.phase, Phase::AwaitingExpiry | Phase::Finishing)
    }

    fn abort(&mut self, reason: Reason, out: &mut impl Extend<Action>) {
        let (cut, handed) = (self.in_flight, self.handed);
        out.extend([Action::Report {
            reason,
            cut,
            handed,
        }]);
        self.close(out);
    }

    fn close(&mut self, out: &mut impl Extend<Action>) {
        self.phase = Phase::Closed;
        out.extend([Action::Close]);
    }
}

impl Machine for Drain {
    type Event = Event;
    type Action = Action;

    fn step(&mut self, now: Time, event: Event, out: &mut impl Extend<Action>) {
        match event {
            Event::Start if self.phase == Phase::Serving => self.start(now, out),
            Event::Second if self.draining() => self.abort(Reason::Second, out),
            Event::InFlight(count) => self.in_flight = count,
            Event::HandedOver => self.handed = true,
            Event::Start | Event::Second | Event::Tick => {}
        }
        self.advance(now, out);
    }

    fn wake(&self) -> Option<Time> {
        match self.phase {
            Phase::Serving | Phase::Closed => None,
            Phase::AwaitingExpiry => Some(self.ttl_deadline().min(self.total_deadline())),
            Phase::Finishing if self.in_flight == 0 => {
                Some(self.hand_over_deadline().min(self.total_deadline()))
            }
            Phase::Finishing => Some(self.total_deadline()),
        }
    }
}
