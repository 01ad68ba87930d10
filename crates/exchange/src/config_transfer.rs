//! Transfer of a configuration between nodes.
//!
//! A node that has read a configuration gives it to its peers. They need no read of the platform for
//! it, and have it also if the platform has lost it meanwhile: a confirmed configuration is then in
//! force on all nodes or, if none has read it, on none.
//!
//! Messages are best effort. The receiving node asks for the parts that it lacks, and asks again if
//! they do not arrive.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wire::{Revision, Time, Vm};

/// Bytes of a document in one message.
pub const PART_BYTES: usize = 1_200;

/// Number of parts sent for one request.
const PARTS_PER_REQUEST: usize = 32;

/// Largest document in bytes that is accepted from a peer.
pub const DOCUMENT_BYTES_MAX: usize = 4 << 20;

/// Time without a part after which the missing ones are requested again.
const REPEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Number of requests without a part after which a transfer is given up. The next announcement of a
/// peer begins another one.
const REPEATS_MAX: u32 = 5;

/// A message between two nodes. Variants are encoded by position: new ones must be added at the end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The sender has this revision, or 0, and asks for the receiver's.
    Query {
        /// Revision in force at the sender.
        revision: Revision,
    },
    /// The sender has this revision, or 0.
    Offer {
        /// Revision in force at the sender.
        revision: Revision,
    },
    /// Asks for the parts of a document from an offset.
    Request {
        /// Its revision.
        revision: Revision,
        /// Number of bytes that the sender has.
        offset: u32,
    },
    /// A part of a document.
    Part {
        /// Its revision.
        revision: Revision,
        /// Size of the whole document in bytes.
        size: u32,
        /// Number of bytes before this part.
        offset: u32,
        /// The part.
        bytes: Vec<u8>,
    },
}

/// What to do after a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send these messages back.
    Reply(Vec<Message>),
    /// Put this document in force.
    Adopt(Vec<u8>),
}

/// A document that is being received.
#[derive(Clone, Debug)]
struct Receipt {
    from: Vm,
    revision: Revision,
    bytes: Vec<u8>,
    /// When the last part arrived, or the last request was sent.
    active_at: Time,
    repeats: u32,
}

/// The document in force, and the one that is being received.
#[derive(Clone, Debug, Default)]
pub struct Transfer {
    revision: Revision,
    document: Vec<u8>,
    receipt: Option<Receipt>,
    answered: bool,
}

impl Transfer {
    /// Records the document that is in force now.
    pub fn adopted(&mut self, revision: Revision, document: impl Into<Vec<u8>>) {
        self.revision = revision;
        self.document = document.into();
        self.receipt.take_if(|receipt| receipt.revision <= revision);
    }

    /// Returns whether a peer has told its revision.
    pub const fn is_answered(&self) -> bool {
        self.answered
    }

    /// Records that `from` has `revision`. Returns the message that follows: a request for it if it is
    /// newer, or an offer of this node's if it is older.
    pub fn announced(&mut self, now: Time, from: &Vm, revision: Revision) -> Option<Message> {
        if revision < self.revision {
            let revision = self.revision;
            return Some(Message::Offer { revision });
        }
        let is_pending = self
            .receipt
            .as_ref()
            .is_some_and(|receipt| receipt.revision >= revision);
        if revision == self.revision || is_pending {
            return None;
        }
        self.receipt = Some(Receipt {
            from: from.clone(),
            revision,
            bytes: Vec::new(),
            active_at: now,
            repeats: 0,
        });
        Some(Message::Request {
            revision,
            offset: 0,
        })
    }

    /// Applies a message from `from`.
    pub fn receive(&mut self, now: Time, from: &Vm, message: Message) -> Step {
        match message {
            Message::Query { revision } => {
                let offer = Message::Offer {
                    revision: self.revision,
                };
                let request = self.announced(now, from, revision);
                let request = request.filter(|request| *request != offer);
                Step::Reply([Some(offer), request].into_iter().flatten().collect())
            }
            Message::Offer { revision } => {
                self.answered = true;
                let request = (revision > self.revision)
                    .then(|| self.announced(now, from, revision))
                    .flatten();
                Step::Reply(request.into_iter().collect())
            }
            Message::Request { revision, offset } => Step::Reply(self.parts(revision, offset)),
            Message::Part {
                revision,
                size,
                offset,
                bytes,
            } => self.part_received(now, from, revision, (size, offset), &bytes),
        }
    }

    /// Requests parts again that have not arrived. Returns whom to send the request to.
    pub fn tick(&mut self, now: Time) -> Option<(Vm, Message)> {
        let receipt = self.receipt.as_mut()?;
        if now < receipt.active_at + REPEAT_INTERVAL {
            return None;
        }
        if receipt.repeats >= REPEATS_MAX {
            self.receipt = None;
            return None;
        }
        receipt.repeats += 1;
        receipt.active_at = now;
        Some((receipt.from.clone(), receipt.request()))
    }

    /// Returns the parts of the document in force from `offset`, or an offer if it is another one.
    fn parts(&self, revision: Revision, offset: u32) -> Vec<Message> {
        if revision != self.revision {
            let revision = self.revision;
            return vec![Message::Offer { revision }];
        }
        let first = (offset as usize).min(self.document.len());
        let chunks = self.document[first..].chunks(PART_BYTES);
        let parts = chunks.take(PARTS_PER_REQUEST).enumerate();
        let part = |(index, bytes): (usize, &[u8])| Message::Part {
            revision,
            size: length(&self.document),
            offset: u32::try_from(first + index * PART_BYTES).unwrap_or(u32::MAX),
            bytes: bytes.to_vec(),
        };
        parts.map(part).collect()
    }

    fn part_received(
        &mut self,
        now: Time,
        from: &Vm,
        revision: Revision,
        (size, offset): (u32, u32),
        bytes: &[u8],
    ) -> Step {
        let nothing = Step::Reply(Vec::new());
        let expected = |receipt: &&mut Receipt| {
            let same = receipt.from == *from && receipt.revision == revision;
            same && offset == length(&receipt.bytes) && !bytes.is_empty()
        };
        let Some(receipt) = self.receipt.as_mut().filter(expected) else {
            return nothing;
        };
        if size as usize > DOCUMENT_BYTES_MAX {
            self.receipt = None;
            return nothing;
        }
        receipt.bytes.extend_from_slice(bytes);
        receipt.active_at = now;
        receipt.repeats = 0;
        let received = length(&receipt.bytes);
        if received >= size {
            let document = self.receipt.take().map(|receipt| receipt.bytes);
            return document.map_or(nothing, Step::Adopt);
        }
        let burst = (PART_BYTES * PARTS_PER_REQUEST) as u32;
        if received.is_multiple_of(burst) {
            return Step::Reply(vec![receipt.request()]);
        }
        nothing
    }
}

impl Receipt {
    /// Returns the request for the parts that have not arrived.
    fn request(&self) -> Message {
        Message::Request {
            revision: self.revision,
            offset: length(&self.bytes),
        }
    }
}

fn length(bytes: &[u8]) -> u32 {
    u32::try_from(bytes.len()).unwrap_or(u32::MAX)
}
