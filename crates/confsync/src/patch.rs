//! Delta between two contents of a part: common prefix, replaced middle, common suffix.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// The delta from one content to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    /// Length of the common prefix, in bytes.
    pub head: u32,
    /// Length of the common suffix, in bytes.
    pub tail: u32,
    /// The bytes between prefix and suffix in the new content.
    pub middle: Bytes,
}

impl Patch {
    /// Computes the delta from `old` to `new`.
    pub fn between(old: &Bytes, new: &Bytes) -> Self {
        let head = common_length(old.iter(), new.iter());
        let (old_rest, new_rest) = (&old[head..], &new[head..]);
        let tail = common_length(old_rest.iter().rev(), new_rest.iter().rev());
        let middle = new.slice(head..new.len() - tail);
        Self {
            head: u32::try_from(head).unwrap_or(u32::MAX),
            tail: u32::try_from(tail).unwrap_or(u32::MAX),
            middle,
        }
    }

    /// Applies the delta to `old`. Returns `None` if `old` is shorter than prefix and suffix.
    pub fn apply(&self, old: &Bytes) -> Option<Bytes> {
        let (head, tail) = (self.head as usize, self.tail as usize);
        let after = old.len().checked_sub(tail).filter(|after| *after >= head)?;
        let mut new = Vec::with_capacity(head + self.middle.len() + tail);
        new.extend_from_slice(&old[..head]);
        new.extend_from_slice(&self.middle);
        new.extend_from_slice(&old[after..]);
        Some(new.into())
    }
}

fn common_length<'a>(a: impl Iterator<Item = &'a u8>, b: impl Iterator<Item = &'a u8>) -> usize {
    a.zip(b).take_while(|(a, b)| a == b).count()
}
