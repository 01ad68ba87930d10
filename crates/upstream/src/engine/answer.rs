//! Checks that a streamed answer is whole and belongs to its request.
//!
//! The check is pure: it takes the data of server-sent events and says what each one means.

use wire::Upstream;

use super::chunk::{Chunk, Finish};
use super::{Attempt, Instance};
use crate::error::Error;

/// Data of the event that ends a stream.
const DONE: &str = "[DONE]";

/// Name of the chunk object that opens a stream.
const OPENING: &str = "opening";

/// What OpenAI-compatible engines put before the request's id in a chunk's id.
const COMPLETION: &str = "cmpl-";

/// One event of a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The engine has taken the request.
    Open,
    /// One token.
    Token {
        /// Number of tokens before it.
        offset: u64,
        /// Its text.
        text: String,
    },
    /// The answer is whole.
    End {
        /// Number of tokens, those before the resumed offset included.
        tokens: u64,
        /// Why the engine stopped, for example `stop` or `length`.
        reason: String,
    },
}

/// What follows from one event's data.
#[derive(Debug)]
pub enum Next {
    /// To be passed on.
    Pass(Event),
    /// Of another attempt, or received before: to be dropped.
    Drop,
    /// The answer cannot become whole.
    Fail(Error),
}

/// The state of one answer's check.
#[derive(Clone, Debug)]
pub struct Check {
    upstream: Upstream,
    attempt: Attempt,
    instance: Instance,
    offset: u64,
    reason: Option<String>,
    numbering: Numbering,
    resumed: bool,
}

/// Whether the engine numbers its tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Numbering {
    /// Not known before the first token. A resumed answer is only sound with numbers, since an
    /// engine that does not know how to resume begins anew.
    Unknown,
    /// Each token has its number.
    Given,
    /// No token has one; their order on the connection is all there is.
    Absent,
}

impl Check {
    /// Begins the check of `attempt`'s answer by `instance` from `offset` on.
    pub fn new(upstream: Upstream, attempt: Attempt, instance: Instance, offset: u64) -> Self {
        Self {
            upstream,
            attempt,
            instance,
            offset,
            reason: None,
            numbering: Numbering::Unknown,
            resumed: offset > 0,
        }
    }

    /// Returns the engine that answers.
    pub fn upstream(&self) -> &Upstream {
        &self.upstream
    }

    /// Returns the number of tokens received, those before the resumed offset included.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Takes one event's data in.
    pub fn take(&mut self, data: &str) -> Next {
        if data == DONE {
            return self.done();
        }
        match serde_json::from_str(data) {
            Ok(chunk) => self.chunk(chunk),
            Err(error) => Next::Fail(self.malformed(error)),
        }
    }

    /// Returns the error for a stream that ends here.
    pub fn cut(&self, cause: impl ToString) -> Error {
        Error::Cut {
            upstream: self.upstream.clone(),
            offset: self.offset,
            cause: cause.to_string(),
        }
    }

    /// Returns the error for bytes that are no event stream.
    pub fn malformed(&self, cause: impl ToString) -> Error {
        Error::Malformed {
            upstream: self.upstream.clone(),
            cause: cause.to_string(),
        }
    }

    fn done(&mut self) -> Next {
        match self.reason.take() {
            Some(reason) => Next::Pass(Event::End {
                tokens: self.offset,
                reason,
            }),
            None => Next::Fail(self.cut("no finish reason before the last event")),
        }
    }

    fn chunk(&mut self, chunk: Chunk<'_>) -> Next {
        // An engine that names no attempt is not known to answer this one.
        if !chunk.id.as_deref().is_some_and(|id| self.owns(id)) {
            return Next::Drop;
        }
        if let Some(message) = chunk.error {
            return Next::Fail(self.failed(message.into_owned()));
        }
        if chunk.model.as_deref() != Some(&*self.instance) {
            let model = chunk.model.unwrap_or_default();
            return Next::Fail(self.malformed(format!("chunk is of model `{model}`")));
        }
        if chunk.object.as_deref() == Some(OPENING) {
            return Next::Pass(Event::Open);
        }
        match chunk.finish {
            // Engines may put the last token and the finish into one chunk.
            Finish::Reason(reason) if !chunk.text.is_empty() => {
                let next = self.token(chunk.offset, chunk.text.into_owned());
                self.reason = Some(reason.into_owned());
                next
            }
            Finish::Reason(reason) => self.finish(chunk.offset, reason.into_owned()),
            Finish::GoesOn => self.token(chunk.offset, chunk.text.into_owned()),
            Finish::NoChoice => Next::Drop,
        }
    }

    /// Tells whether a chunk's id is of this attempt: `ATTEMPT`, or `cmpl-ATTEMPT` as engines make
    /// it from `x-request-id`, with `-N` for the choice where they number them.
    fn owns(&self, id: &str) -> bool {
        if *id == *self.attempt {
            return true;
        }
        let named = id.strip_prefix(COMPLETION);
        match named.and_then(|named| named.strip_prefix(&*self.attempt)) {
            Some("") => true,
            Some(rest) => rest.strip_prefix('-').is_some_and(is_number),
            None => false,
        }
    }

    fn token(&mut self, offset: Option<u64>, text: String) -> Next {
        if self.reason.is_some() {
            return Next::Fail(self.malformed("token after the finish"));
        }
        match self.number(offset) {
            Err(error) => Next::Fail(error),
            Ok(offset) if offset == self.offset => {
                self.offset += 1;
                Next::Pass(Event::Token { offset, text })
            }
            Ok(offset) if offset < self.offset => Next::Drop,
            Ok(offset) => Next::Fail(self.cut(format!("token {offset} came next"))),
        }
    }

    /// Returns a token's number: the one it names, or the next one where the engine names none.
    ///
    /// A resumed answer needs numbers, since an engine that does not know how to resume begins
    /// anew, and its first token would be taken for the next one.
    fn number(&mut self, offset: Option<u64>) -> Result<u64, Error> {
        match (offset, self.numbering) {
            (Some(offset), Numbering::Unknown | Numbering::Given) => {
                self.numbering = Numbering::Given;
                Ok(offset)
            }
            (None, Numbering::Unknown) if self.resumed => {
                Err(self.cut("the engine numbers no tokens, so that its answer cannot be resumed"))
            }
            (None, Numbering::Unknown | Numbering::Absent) => {
                self.numbering = Numbering::Absent;
                Ok(self.offset)
            }
            (Some(_), Numbering::Absent) | (None, Numbering::Given) => {
                Err(self.malformed("only some chunks name an offset"))
            }
        }
    }

    fn finish(&mut self, offset: Option<u64>, reason: String) -> Next {
        if offset.is_some_and(|offset| offset != self.offset) {
            return Next::Fail(self.cut("tokens are missing before the finish"));
        }
        self.reason = Some(reason);
        Next::Drop
    }

    fn failed(&self, message: String) -> Error {
        Error::Failed {
            upstream: self.upstream.clone(),
            offset: self.offset,
            message,
        }
    }
}

fn is_number(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit())
}
