//! One message from a machine on one node to its peer on another.
//!
//! Delivery is best effort: a frame may be lost, late, doubled or out of order, and machines are
//! written for that. The binary form is postcard's; the visitor is written by hand, since a frame
//! is built and read for every message between nodes.

use std::fmt;

use serde::de::{self, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::id::Incarnation;

/// Number of fields in a frame's binary form.
const FIELDS: usize = 4;

/// A message with its sender and addressee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// The sender.
    pub from: Incarnation,
    /// The addressed VM; the receiver drops a frame that names another.
    pub to: crate::id::Vm,
    /// Number of the machine that the body is for; the node assigns them.
    pub channel: u8,
    /// The machine's own message, encoded.
    pub body: Vec<u8>,
}

/// Reason why bytes are not a frame.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The bytes do not decode.
    #[error("frame does not decode: {0}; run the same release on every VM")]
    Decode(postcard::Error),
    /// The message does not encode.
    #[error("message does not encode: {0}; report it with the message's kind")]
    Encode(postcard::Error),
}

/// Encodes a machine's message for [`Frame::body`].
///
/// # Errors
///
/// Returns [`Error::Encode`] where the type cannot be expressed in the binary form.
pub fn encode(message: &impl Serialize) -> Result<Vec<u8>, Error> {
    postcard::to_allocvec(message).map_err(Error::Encode)
}

/// Decodes what [`encode`] gave.
///
/// # Errors
///
/// Returns [`Error::Decode`] where the bytes are not a whole message of the type.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, Error> {
    let (message, rest) = postcard::take_from_bytes(bytes).map_err(Error::Decode)?;
    if rest.is_empty() {
        Ok(message)
    } else {
        Err(Error::Decode(postcard::Error::DeserializeBadEncoding))
    }
}

impl Serialize for Frame {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(FIELDS)?;
        tuple.serialize_element(&self.from)?;
        tuple.serialize_element(&self.to)?;
        tuple.serialize_element(&self.channel)?;
        tuple.serialize_element(&self.body)?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for Frame {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(FIELDS, FrameVisitor)
    }
}

struct FrameVisitor;

impl<'de> Visitor<'de> for FrameVisitor {
    type Value = Frame;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a sender, an addressee, a channel and a body")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Frame, A::Error> {
        let missing = |index| move || de::Error::invalid_length(index, &FrameVisitor);
        let from = seq.next_element()?.ok_or_else(missing(0))?;
        let to = seq.next_element()?.ok_or_else(missing(1))?;
        let channel = seq.next_element()?.ok_or_else(missing(2))?;
        let body = seq.next_element()?.ok_or_else(missing(3))?;
        Ok(Frame {
            from,
            to,
            channel,
            body,
        })
    }
}
