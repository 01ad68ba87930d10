//! Tracking of the events of a stream.
//!
//! Only whole events are passed to the caller, so that another engine can resume the stream after
//! the last of them. Only event boundaries and ids are parsed (WHATWG HTML, "Server-sent events");
//! the bytes pass unchanged.

/// Maximum size in bytes of an event that is buffered until it is complete.
pub const EVENT_BYTES_MAX: usize = 1 << 20;

/// Why a stream cannot be continued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamError {
    /// The id of an event is not the successor of the last one.
    OutOfSequence,
    /// Bytes that are no event of this stream, such as the text of an error.
    Foreign,
    /// An event exceeds [`EVENT_BYTES_MAX`].
    EventTooLarge,
}

/// The position in one stream, across all runs that serve it.
#[derive(Clone, Debug, Default)]
pub struct Cursor {
    /// The beginning of an incomplete event.
    partial: Vec<u8>,
    /// The search for the end of the event in `partial`.
    search: Search,
    last: Option<u64>,
    /// Whether a run has been resumed after `last` and has sent no event yet.
    resumed: bool,
    events: u64,
}

impl Cursor {
    /// Creates a cursor that continues after the event `last`, if the caller already has it.
    pub fn new(last: Option<u64>) -> Self {
        Self {
            partial: Vec::new(),
            search: Search::default(),
            last,
            resumed: last.is_some(),
            events: 0,
        }
    }

    /// Returns the id of the last complete event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns the number of complete events that were passed on. Comments are none.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns a number that grows with each event: the id of the last one, or the number of events
    /// if they have no ids. Comments do not change it.
    pub fn progress(&self) -> u64 {
        self.last.unwrap_or(self.events)
    }

    /// Returns how many bytes of an incomplete event are buffered.
    pub fn buffered(&self) -> usize {
        self.partial.capacity()
    }

    /// Returns whether an incomplete event is buffered.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Discards the incomplete event of an interrupted run.
    pub fn restart(&mut self) {
        self.buffer(&[]);
        self.resumed = self.last.is_some();
    }

    /// Consumes `bytes` and appends all events that are now complete to `out`.
    ///
    /// # Errors
    ///
    /// Returns a [`StreamError`] if an event is out of sequence or too large. `out` then ends
    /// before that event.
    pub fn push(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<(), StreamError> {
        if self.partial.is_empty() {
            let rest = self.pass_complete(bytes, out)?;
            self.buffer(rest);
        } else {
            self.partial.extend_from_slice(bytes);
            if self.search.resume(&self.partial).is_some() {
                let joined = std::mem::take(&mut self.partial);
                let rest = self.pass_complete(&joined, out)?;
                self.buffer(rest);
            }
        }
        if self.partial.len() > EVENT_BYTES_MAX {
            return Err(StreamError::EventTooLarge);
        }
        Ok(())
    }

    /// Buffers an incomplete event.
    fn buffer(&mut self, part: &[u8]) {
        self.partial.clear();
        self.partial.extend_from_slice(part);
        self.search = Search::default();
    }

    /// Appends the complete events of `bytes` to `out` and returns the rest.
    fn pass_complete<'a>(
        &mut self,
        bytes: &'a [u8],
        out: &mut Vec<u8>,
    ) -> Result<&'a [u8], StreamError> {
        let mut rest = bytes;
        while let Some(end) = Search::default().resume(rest) {
            let (event, tail) = rest.split_at(end);
            self.check(event)?;
            out.extend_from_slice(event);
            self.events += u64::from(!is_comment(event));
            rest = tail;
        }
        Ok(rest)
    }

    /// Checks that the event has the next id. Events may lack ids if the stream has had none, or
    /// between events of the same run.
    fn check(&mut self, event: &[u8]) -> Result<(), StreamError> {
        let Some(id) = event_id(event) else {
            let belongs = self.last.is_none()
                || is_comment(event)
                || (!self.resumed && has_only_fields(event));
            return belongs.then_some(()).ok_or(StreamError::Foreign);
        };
        if self.last.is_some_and(|last| id != last + 1) {
            return Err(StreamError::OutOfSequence);
        }
        self.last = Some(id);
        self.resumed = false;
        Ok(())
    }
}

/// A resumable search for the blank line that ends an event.
#[derive(Clone, Copy, Debug, Default)]
struct Search {
    /// Start of the current line.
    line: usize,
    /// Number of bytes searched.
    searched: usize,
}

impl Search {
    /// Continues the search in `bytes`, which start with the bytes of earlier calls. Returns the
    /// length of the first complete event, including its blank line.
    fn resume(&mut self, bytes: &[u8]) -> Option<usize> {
        for (offset, byte) in bytes[self.searched..].iter().enumerate() {
            if *byte != b'\n' {
                continue;
            }
            let index = self.searched + offset;
            let text = &bytes[self.line..index];
            if text.is_empty() || text == b"\r" {
                return Some(index + 1);
            }
            self.line = index + 1;
        }
        self.searched = bytes.len();
        None
    }
}

/// Fields of events beside the id.
const FIELDS: [&[u8]; 3] = [b"data", b"event", b"retry"];

/// Returns the lines of an event that are not empty.
fn lines(event: &[u8]) -> impl Iterator<Item = &[u8]> {
    let lines = event.split(|byte| *byte == b'\n');
    let lines = lines.map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    lines.filter(|line| !line.is_empty())
}

/// Returns whether an event consists of comments alone.
fn is_comment(event: &[u8]) -> bool {
    lines(event).all(|line| line.starts_with(b":"))
}

/// Returns whether each line of an event is a field of one, or a comment.
fn has_only_fields(event: &[u8]) -> bool {
    lines(event).all(|line| {
        let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
        name.is_empty() || FIELDS.contains(&name)
    })
}

/// Returns the id of an event, if it has a numeric one.
fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let value = lines.rev().find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
