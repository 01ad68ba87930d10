//! The steps of a graceful shutdown.
//!
//! The node drops out of the address answers and hands over what it owns, goes on serving until
//! callers have forgotten its address and the requests in flight are done, and closes. It cuts a
//! request only after a second signal or the time limit, and reports that first.

use std::time::Duration;

use wire::{Machine, Time};

/// How far the shutdown is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Not shutting down.
    Serving,
    /// Callers may still hold the address; new requests are served.
    Forgetting,
    /// No caller holds the address; requests in flight, or the hand-over, remain.
    Finishing,
    /// Closed.
    Closed,
}

/// Why requests are cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The operator signalled again.
    Second,
    /// The time limit passed.
    Limit,
}

/// What the machine is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The first signal.
    Start,
    /// A further signal.
    Second,
    /// The requests in flight now, counted at each change.
    InFlight(usize),
    /// Everything owned was handed over.
    HandedOver,
    /// Time passed.
    Tick,
}

/// What the machine wants done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Leave this node out of every address answer, here and at peers.
    StopAddresses,
    /// Hand ownership and records over.
    HandOver,
    /// Go on serving until then.
    WaitTtl {
        /// When the last caller has forgotten the address.
        until: Time,
    },
    /// Tell the operator what the close that follows cuts.
    Report {
        /// Why.
        reason: Reason,
        /// Requests in flight that are cut.
        cut: usize,
        /// Whether the hand-over was done.
        handed: bool,
    },
    /// Stop the process.
    Close,
}

/// Limits of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Time to live of address answers.
    pub ttl: Duration,
    /// Time from the first signal after which requests are cut.
    pub total: Duration,
    /// Time from the first signal after which the hand-over is no longer waited for.
    pub hand_over: Duration,
}

/// The machine.
#[derive(Clone, Debug)]
pub struct Drain {
    limit: Limit,
    phase: Phase,
    started: Time,
    flying: usize,
    handed: bool,
}

impl Drain {
    /// Makes the machine of a node that serves.
    pub const fn new(limit: Limit) -> Self {
        Self {
            limit,
            phase: Phase::Serving,
            started: Time::ZERO,
            flying: 0,
            handed: false,
        }
    }

    /// Returns how far the shutdown is.
    pub const fn phase(&self) -> Phase {
        self.phase
    }

    fn start(&mut self, now: Time, out: &mut impl Extend<Action>) {
        self.phase = Phase::Forgetting;
        self.started = now;
        let until = self.forgotten();
        out.extend([
            Action::StopAddresses,
            Action::HandOver,
            Action::WaitTtl { until },
        ]);
    }

    fn forgotten(&self) -> Time {
        self.started + self.limit.ttl
    }

    fn ends(&self) -> Time {
        self.started + self.limit.total
    }

    fn hand_over_ends(&self) -> Time {
        self.started + self.limit.hand_over
    }

    fn advance(&mut self, now: Time, out: &mut impl Extend<Action>) {
        if self.phase == Phase::Forgetting && now >= self.forgotten() {
            self.phase = Phase::Finishing;
        }
        let handed = self.handed || now >= self.hand_over_ends();
        if self.phase == Phase::Finishing && self.flying == 0 && handed {
            self.close(out);
        } else if self.draining() && now >= self.ends() {
            self.cut(Reason::Limit, out);
        }
    }

    const fn draining(&self) -> bool {
        matches!(self.phase, Phase::Forgetting | Phase::Finishing)
    }

    fn cut(&mut self, reason: Reason, out: &mut impl Extend<Action>) {
        let (cut, handed) = (self.flying, self.handed);
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
            Event::Second if self.draining() => self.cut(Reason::Second, out),
            Event::InFlight(count) => self.flying = count,
            Event::HandedOver => self.handed = true,
            Event::Start | Event::Second | Event::Tick => {}
        }
        self.advance(now, out);
    }

    fn wake(&self) -> Option<Time> {
        match self.phase {
            Phase::Serving | Phase::Closed => None,
            Phase::Forgetting => Some(self.forgotten().min(self.ends())),
            Phase::Finishing if self.flying == 0 => Some(self.hand_over_ends().min(self.ends())),
            Phase::Finishing => Some(self.ends()),
        }
    }
}
