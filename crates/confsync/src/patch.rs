//! What changed in a part: a common head, a new middle, a common tail.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// The change from one content to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    /// Bytes kept at the start.
    pub head: u32,
    /// Bytes kept at the end.
    pub tail: u32,
    /// What stands between them.
    pub middle: Bytes,
}

impl Patch {
    /// Returns the change that makes `new` of `old`.
    pub fn between(old: &Bytes, new: &Bytes) -> Self {
        let head = common(old.iter(), new.iter());
        let (old_rest, new_rest) = (&old[head..], &new[head..]);
        let tail = common(old_rest.iter().rev(), new_rest.iter().rev());
        let middle = new.slice(head..new.len() - tail);
        Self {
            head: u32::try_from(head).unwrap_or(u32::MAX),
            tail: u32::try_from(tail).unwrap_or(u32::MAX),
            middle,
        }
    }

    /// Applies the change to `old`; `None` where it does not fit.
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

fn common<'a>(a: impl Iterator<Item = &'a u8>, b: impl Iterator<Item = &'a u8>) -> usize {
    a.zip(b).take_while(|(a, b)| a == b).count()
}
