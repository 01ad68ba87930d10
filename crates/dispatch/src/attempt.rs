//! The state machine of one attempt at one upstream.
//!
//! The driver reports each step of the connection before it takes it where that matters: the
//! first byte counts as written before the write is called. Reports carry the attempt's number, so that late ones of
//! another attempt are dropped.

use wire::{Machine, Time};

use crate::outcome::{self, Cause, Kind, Outcome, Stage};

/// Number of an attempt, unique within the process.
pub type Number = u64;

/// How the end of an answer's body is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Length {
    /// By its number of bytes.
    Bytes(u64),
    /// By the transfer coding's last chunk.
    Chunked,
    /// By the stream's last event; without it the stream is cut, whatever the connection says.
    Events,
}

/// A step of the connection, or what ends the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A connection is asked for.
    Connect,
    /// The connection is there.
    Connected,
    /// The first byte is about to be written.
    Write,
    /// The request is written whole.
    Written,
    /// The answer's header came.
    Header(Length),
    /// So many bytes of the answer's body came.
    Body(u64),
    /// The stream's last event came.
    Last,
    /// The connection says that the body ends here.
    End,
    /// The connection failed.
    Broken,
    /// The caller went away.
    Cancel,
    /// The process ends.
    Shutdown,
    /// Time passed.
    Tick,
}

/// A step reported for one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// The attempt that it belongs to.
    pub attempt: Number,
    /// The step.
    pub step: Step,
}

/// The end of an attempt; given once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Action {
    /// The attempt.
    pub attempt: Number,
    /// What it means for the caller if no other attempt follows.
    pub outcome: Outcome,
    /// How far it had come.
    pub stage: Stage,
    /// Why it ended.
    pub cause: Cause,
    /// Bytes of the answer's body that came.
    pub bytes: u64,
}

/// One attempt.
#[derive(Clone, Debug)]
pub struct Attempt {
    number: Number,
    kind: Kind,
    deadline: Time,
    stage: Stage,
    length: Option<Length>,
    last: bool,
    bytes: u64,
    over: bool,
}

impl Attempt {
    /// Makes an attempt that is still queued.
    pub fn new(number: Number, kind: Kind, deadline: Time) -> Self {
        Self {
            number,
            kind,
            deadline,
            stage: Stage::Queued,
            length: None,
            last: false,
            bytes: 0,
            over: false,
        }
    }

    /// Returns how far the attempt has come.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Tells whether the attempt has ended.
    pub fn over(&self) -> bool {
        self.over
    }

    fn advance(&mut self, step: Step) -> Option<Cause> {
        let stage = match step {
            Step::Connect => Stage::Connecting,
            Step::Connected => Stage::Connected,
            Step::Write => Stage::Writing,
            Step::Written => Stage::Written,
            Step::Header(length) => return self.header(length),
            Step::Body(bytes) => return self.body(bytes),
            Step::Last => return self.last(),
            Step::End => return Some(self.end()),
            Step::Broken => return Some(Cause::Broken),
            Step::Cancel => return Some(Cause::Cancel),
            Step::Shutdown => return Some(Cause::Shutdown),
            Step::Tick => return None,
        };
        self.stage = self.stage.max(stage);
        None
    }

    fn header(&mut self, length: Length) -> Option<Cause> {
        if self.length.is_some() {
            return Some(Cause::Broken);
        }
        self.stage = self.stage.max(Stage::Header);
        self.length = Some(length);
        None
    }

    fn body(&mut self, bytes: u64) -> Option<Cause> {
        let Some(length) = self.length else {
            // Bytes ahead of a header are no part of this answer.
            return Some(Cause::Broken);
        };
        self.bytes = self.bytes.saturating_add(bytes);
        self.stage = self.stage.max(Stage::Body);
        match length {
            Length::Bytes(length) if self.bytes > length => Some(Cause::Broken),
            _ => None,
        }
    }

    fn last(&mut self) -> Option<Cause> {
        if self.length.is_none() {
            return Some(Cause::Broken);
        }
        self.last = true;
        None
    }

    fn end(&mut self) -> Cause {
        let whole = match self.length {
            None => false,
            Some(Length::Bytes(length)) => self.bytes == length,
            Some(Length::Chunked) => true,
            Some(Length::Events) => self.last,
        };
        if whole {
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
        if self.over || event.attempt != self.number {
            return;
        }
        let ended = self.advance(event.step);
        let late = (now >= self.deadline).then_some(Cause::Deadline);
        let Some(cause) = ended.or(late) else {
            return;
        };
        self.over = true;
        out.extend([Action {
            attempt: self.number,
            outcome: outcome::decide(self.kind, self.stage),
            stage: self.stage,
            cause,
            bytes: self.bytes,
        }]);
    }

    fn wake(&self) -> Option<Time> {
        (!self.over).then_some(self.deadline)
    }
}
