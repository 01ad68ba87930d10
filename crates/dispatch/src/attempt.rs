//! The state machine of one attempt at one upstream.
//!
//! Where the order matters, the driver reports a step of the connection before it takes it: the
//! first byte counts as written before the write is called. Each event carries the ID of its
//! attempt, so that late events of another attempt are dropped.

use wire::{Machine, Time};

use crate::outcome::{self, Cause, Kind, Outcome, Stage};

/// ID of an attempt, unique within the process.
pub type AttemptId = u64;

/// How the end of a response body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// By the number of bytes.
    ContentLength(u64),
    /// By the last chunk of the transfer coding.
    Chunked,
    /// By the last event of the stream. Without it the stream was cut off, even if the connection
    /// ended the body properly.
    EventStream,
}

/// A step of the connection, or a reason to end the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A connection was requested.
    Connect,
    /// The connection was established.
    Connected,
    /// The first byte of the request is about to be written.
    Write,
    /// The whole request was written.
    Written,
    /// The response head was received.
    Header(BodyFraming),
    /// This many bytes of the response body were received.
    Body(u64),
    /// The last event of the stream was received.
    LastEvent,
    /// The connection reported the end of the body.
    End,
    /// The connection failed.
    Broken,
    /// The caller disconnected.
    Cancel,
    /// The process is shutting down.
    Shutdown,
    /// Time passed.
    Tick,
}

/// A step reported for one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// The attempt that took the step.
    pub attempt: AttemptId,
    /// The step.
    pub step: Step,
}

/// The end of an attempt, reported once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Action {
    /// The attempt.
    pub attempt: AttemptId,
    /// What the end means for the caller if no other attempt follows.
    pub outcome: Outcome,
    /// The stage that the attempt had reached.
    pub stage: Stage,
    /// Why the attempt ended.
    pub cause: Cause,
    /// Bytes of the response body that were received.
    pub bytes: u64,
}

/// State of one attempt.
#[derive(Clone, Debug)]
pub struct Attempt {
    id: AttemptId,
    kind: Kind,
    deadline: Time,
    stage: Stage,
    framing: Option<BodyFraming>,
    last_event_received: bool,
    body_bytes: u64,
    ended: bool,
}

impl Attempt {
    /// Creates an attempt that is still queued.
    pub fn new(id: AttemptId, kind: Kind, deadline: Time) -> Self {
        Self {
            id,
            kind,
            deadline,
            stage: Stage::Queued,
            framing: None,
            last_event_received: false,
            body_bytes: 0,
            ended: false,
        }
    }

    /// Returns the stage that the attempt has reached.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Returns whether the attempt has ended.
    pub fn has_ended(&self) -> bool {
        self.ended
    }

    fn advance(&mut self, step: Step) -> Option<Cause> {
        let stage = match step {
            Step::Connect => Stage::Connecting,
            Step::Connected => Stage::Connected,
            Step::Write => Stage::Writing,
            Step::Written => Stage::Written,
            Step::Header(framing) => return self.header_received(framing),
            Step::Body(bytes) => return self.body_received(bytes),
            Step::LastEvent => return self.last_event_received(),
            Step::End => return Some(self.body_ended()),
            Step::Broken => return Some(Cause::Broken),
            Step::Cancel => return Some(Cause::Cancel),
            Step::Shutdown => return Some(Cause::Shutdown),
            Step::Tick => return None,
        };
        self.stage = self.stage.max(stage);
        None
    }

    fn header_received(&mut self, framing: BodyFraming) -> Option<Cause> {
        if self.framing.is_some() {
            return Some(Cause::Broken);
        }
        self.stage = self.stage.max(Stage::Header);
        self.framing = Some(framing);
        None
    }

    fn body_received(&mut self, bytes: u64) -> Option<Cause> {
        let Some(framing) = self.framing else {
            // Bytes before a response head do not belong to this response.
            return Some(Cause::Broken);
        };
        self.body_bytes = self.body_bytes.saturating_add(bytes);
        self.stage = self.stage.max(Stage::Body);
        match framing {
            BodyFraming::ContentLength(length) if self.body_bytes > length => Some(Cause::Broken),
            _ => None,
        }
    }

    fn last_event_received(&mut self) -> Option<Cause> {
        if self.framing.is_none() {
            return Some(Cause::Broken);
        }
        self.last_event_received = true;
        None
    }

    fn body_ended(&mut self) -> Cause {
        let complete = match self.framing {
            None => false,
            Some(BodyFraming::ContentLength(length)) => self.body_bytes == length,
            Some(BodyFraming::Chunked) => true,
            Some(BodyFraming::EventStream) => self.last_event_received,
        };
        if complete {
            self.stage = Stage::Ended;
            Cause::Complete
        } else {
            Cause::Broken
        }
    }
}

impl Machine for Attempt {
    type Event = Event;
    type Action = Action;

    fn step(&mut self, now: Time, event: Event, out: &mut impl Extend<Action>) {
        if self.ended || event.attempt != self.id {
            return;
        }
        let step_cause = self.advance(event.step);
        let deadline_cause = (now >= self.deadline).then_some(Cause::Deadline);
        let Some(cause) = step_cause.or(deadline_cause) else {
            return;
        };
        self.ended = true;
        out.extend([Action {
            attempt: self.id,
            outcome: outcome::decide(self.kind, self.stage),
            stage: self.stage,
            cause,
            bytes: self.body_bytes,
        }]);
    }

    fn wake(&self) -> Option<Time> {
        (!self.ended).then_some(self.deadline)
    }
}
