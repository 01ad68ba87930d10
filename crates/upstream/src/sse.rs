//! Server-sent events (WHATWG HTML, section 9.2), as far as completions use them: the data of each
//! event. Other fields and comments are passed over.

use std::collections::VecDeque;

/// Largest event in bytes.
pub const EVENT_BYTES_MAX: usize = 1 << 20;

/// Reason why bytes are not an event stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// An event exceeds [`EVENT_BYTES_MAX`].
    #[error("event exceeds {EVENT_BYTES_MAX} bytes; have the upstream send smaller ones")]
    Large,
    /// A line is not UTF-8.
    #[error("event is not UTF-8; check the upstream's release")]
    Encoding,
}

/// An incremental parser; bytes may be split anywhere.
#[derive(Debug, Default)]
pub struct Parser {
    line: Vec<u8>,
    data: Option<String>,
    after_cr: bool,
    events: VecDeque<String>,
}

impl Parser {
    /// Takes the next bytes of the stream in.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] where the stream cannot be parsed; it is to be given up then.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), Error> {
        for &byte in bytes {
            let lf_of_crlf = self.after_cr && byte == b'\n';
            self.after_cr = byte == b'\r';
            match byte {
                _ if lf_of_crlf => {}
                b'\r' | b'\n' => self.end_line()?,
                _ if self.line.len() == EVENT_BYTES_MAX => return Err(Error::Large),
                _ => self.line.push(byte),
            }
        }
        Ok(())
    }

    /// Returns the data of the next complete event.
    pub fn next_event(&mut self) -> Option<String> {
        self.events.pop_front()
    }

    fn end_line(&mut self) -> Result<(), Error> {
        if self.line.is_empty() {
            self.events.extend(self.data.take());
            return Ok(());
        }
        let line = std::str::from_utf8(&self.line).map_err(|_| Error::Encoding)?;
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        if field == "data" {
            let value = value.strip_prefix(' ').unwrap_or(value);
            append(&mut self.data, value)?;
        }
        self.line.clear();
        Ok(())
    }
}

fn append(data: &mut Option<String>, value: &str) -> Result<(), Error> {
    let Some(data) = data else {
        *data = Some(value.to_owned());
        return Ok(());
    };
    if data.len() + value.len() >= EVENT_BYTES_MAX {
        return Err(Error::Large);
    }
    data.push('\n');
    data.push_str(value);
    Ok(())
}
