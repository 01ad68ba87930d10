//! Follows the events of a stream, so that only whole events reach the caller and the stream can
//! go on elsewhere after the last of them.
//!
//! Only event boundaries and ids are read (WHATWG HTML, "Server-sent events"); the bytes pass
//! unchanged.

/// Largest event that is held back until it is whole, in bytes.
pub const EVENT_BYTES_MAX: usize = 1 << 20;

/// Reason why a stream cannot go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamError {
    /// An event has another id than the next one.
    OutOfSequence,
    /// An event exceeds [`EVENT_BYTES_MAX`].
    EventTooLarge,
}

/// The events of one stream, over all its runs.
#[derive(Clone, Debug, Default)]
pub struct Cursor {
    partial: Vec<u8>,
    /// What was searched of `partial` for the end of its event.
    search: Search,
    last: Option<u64>,
    events: u64,
}

impl Cursor {
    /// Begins after the event `last`, where the caller has it already.
    pub fn new(last: Option<u64>) -> Self {
        Self {
            partial: Vec::new(),
            search: Search::default(),
            last,
            events: 0,
        }
    }

    /// Returns the id of the last whole event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns how many whole events have passed.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Tells whether a part of an event is held back.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Drops the part of an event that a broken run left.
    pub fn restart(&mut self) {
        self.hold(&[]);
    }

    /// Takes bytes in and appends those that complete events to `out`.
    ///
    /// # Errors
    ///
    /// Returns a [`StreamError`] where an id is out of sequence; `out` then ends before that event.
    pub fn push(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<(), StreamError> {
        if self.partial.is_empty() {
            let rest = self.whole(bytes, out)?;
            self.hold(rest);
        } else {
            self.partial.extend_from_slice(bytes);
            if self.search.go_on(&self.partial).is_some() {
                let joined = std::mem::take(&mut self.partial);
                let rest = self.whole(&joined, out)?;
                self.hold(rest);
            }
        }
        if self.partial.len() > EVENT_BYTES_MAX {
            return Err(StreamError::EventTooLarge);
        }
        Ok(())
    }

    /// Holds a part of an event back.
    fn hold(&mut self, part: &[u8]) {
        self.partial.clear();
        self.partial.extend_from_slice(part);
        self.search = Search::default();
    }

    /// Passes whole events on and returns the rest.
    fn whole<'a>(&mut self, bytes: &'a [u8], out: &mut Vec<u8>) -> Result<&'a [u8], StreamError> {
        let mut rest = bytes;
        while let Some(end) = Search::default().go_on(rest) {
            let (event, tail) = rest.split_at(end);
            self.check(event)?;
            out.extend_from_slice(event);
            self.events += 1;
            rest = tail;
        }
        Ok(rest)
    }

    fn check(&mut self, event: &[u8]) -> Result<(), StreamError> {
        let Some(id) = event_id(event) else {
            return Ok(());
        };
        if self.last.is_some_and(|last| id != last + 1) {
            return Err(StreamError::OutOfSequence);
        }
        self.last = Some(id);
        Ok(())
    }
}

/// A search for the blank line that ends an event, which goes on where it stopped.
#[derive(Clone, Copy, Debug, Default)]
struct Search {
    /// Beginning of the present line.
    line: usize,
    /// Bytes searched.
    seen: usize,
}

impl Search {
    /// Goes on in `bytes`, which begin as those of earlier calls did. Returns the length of the first
    /// whole event with its blank line.
    fn go_on(&mut self, bytes: &[u8]) -> Option<usize> {
        for (offset, byte) in bytes[self.seen..].iter().enumerate() {
            if *byte != b'\n' {
                continue;
            }
            let index = self.seen + offset;
            let text = &bytes[self.line..index];
            if text.is_empty() || text == b"\r" {
                return Some(index + 1);
            }
            self.line = index + 1;
        }
        self.seen = bytes.len();
        None
    }
}

/// Returns the id of an event, where it has a numeric one.
fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let value = lines.rev().find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
