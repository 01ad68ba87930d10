//! Transfer of a configuration between nodes.
//!
//! A node that has read a configuration gives it to its peers. They need no read of the platform for
//! it, and have it also if the platform has lost it meanwhile: a confirmed configuration is then in
//! force on all nodes or, if none has read it, on none.
//!
//! Messages are best effort. The receiving node asks for the parts that it lacks, and asks again, and
//! other nodes, if they do not arrive.
//!
//! Callers' requests go over the same link. A node therefore does not answer a request for parts at once
//! but takes parts out one by one with [`Transfer::take_part`], as fast as its share of the link allows,
//! and at most once for each peer. Documents are packed, and each node that has one gives it on.

use std::io::{Read, Write};
use std::time::Duration;

use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;

use serde::{Deserialize, Serialize};
use wire::{Revision, Time, Vm, rank};

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

/// Time after which a request for parts is forgotten that was not repeated.
const REQUEST_AGE_MAX: Duration = Duration::from_millis(150);

/// Peers whose requests for parts a node keeps. Others ask elsewhere.
const REQUESTS_MAX: usize = 4;

/// Peers that a node remembers as sources of a document.
const SOURCES_MAX: usize = 8;

/// Number of requests without a part after which another source is asked in the middle of a document.
const LOST_PARTS_MAX: u32 = 2;

/// Time without a part after which a transfer does not count as under way.
const ACTIVE: Duration = Duration::from_millis(150);

/// Number of peers that are told of a document by a node that has just got it.
const OFFERS: usize = 4;

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
    /// Asks for the parts of a packed document from an offset.
    RequestPacked {
        /// Its revision.
        revision: Revision,
        /// Number of packed bytes that the sender has.
        offset: u32,
    },
    /// A part of a packed document.
    PackedPart {
        /// Its revision.
        revision: Revision,
        /// Size of the whole packed document in bytes.
        size: u32,
        /// Number of packed bytes before this part.
        offset: u32,
        /// The part.
        bytes: Vec<u8>,
    },
}

/// Form of a document on its way. Nodes of earlier releases ask for plain ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Form {
    Plain,
    Packed,
}

/// Parts that a peer has asked for and not been sent.
#[derive(Clone, Debug)]
struct Wanted {
    peer: Vm,
    form: Form,
    offset: usize,
    end: usize,
    /// When the peer asked last.
    asked_at: Time,
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
    /// Peers that have the document; the first one is asked.
    sources: Vec<Vm>,
    revision: Revision,
    /// Packed bytes.
    bytes: Vec<u8>,
    /// Whether all parts have arrived.
    whole: bool,
    /// When the last part arrived, or the last request was sent.
    active_at: Time,
    repeats: u32,
}

/// The document in force, and the one that is being received.
#[derive(Clone, Debug, Default)]
pub struct Transfer {
    revision: Revision,
    document: Vec<u8>,
    /// The document as it is sent; empty until somebody asks for it.
    packed: Vec<u8>,
    receipt: Option<Receipt>,
    /// Sorted by when they were asked for first.
    wanted: Vec<Wanted>,
    answered: bool,
}

impl Transfer {
    /// Records the document that is in force now.
    pub fn adopted(&mut self, revision: Revision, document: impl Into<Vec<u8>>) {
        self.revision = revision;
        self.document = document.into();
        self.wanted.clear();
        let receipt = self.receipt.take_if(|receipt| receipt.revision <= revision);
        self.packed = receipt
            .filter(|receipt| receipt.revision == revision && receipt.whole)
            .map_or_else(Vec::new, |receipt| receipt.bytes);
    }

    /// Returns whether parts of a document arrive.
    pub fn is_active(&self, now: Time) -> bool {
        let receipt = self.receipt.as_ref();
        receipt.is_some_and(|receipt| !receipt.bytes.is_empty() && now < receipt.active_at + ACTIVE)
    }

    /// Returns the peers to tell of the document in force, which this node has just got.
    pub fn offer_to(&self, me: &Vm, peers: impl Iterator<Item = Vm>) -> (Vec<Vm>, Message) {
        let revision = self.revision;
        let seed = rank::hash(format!("{me}/{revision}"));
        (rank::top(seed, peers, OFFERS), Message::Offer { revision })
    }

    /// Returns whether a peer waits for parts.
    pub const fn has_requests(&self) -> bool {
        !self.wanted.is_empty()
    }

    /// Takes out the next part for a peer. Those that have most of the document go first, since they
    /// give it on.
    pub fn take_part(&mut self, now: Time) -> Option<(Vm, Message)> {
        self.wanted
            .retain(|wanted| now < wanted.asked_at + REQUEST_AGE_MAX);
        let furthest = self.wanted.iter().map(|wanted| wanted.offset).max()?;
        let index = self
            .wanted
            .iter()
            .position(|wanted| wanted.offset == furthest)?;
        let revision = self.revision;
        let wanted = &mut self.wanted[index];
        let document = match wanted.form {
            Form::Plain => &self.document,
            Form::Packed => &self.packed,
        };
        let (first, size) = (wanted.offset, length(document));
        let last = (first + PART_BYTES).min(wanted.end).min(document.len());
        let bytes = document.get(first..last).unwrap_or_default().to_vec();
        let offset = u32::try_from(first).unwrap_or(u32::MAX);
        let message = match wanted.form {
            Form::Plain => Message::Part {
                revision,
                size,
                offset,
                bytes,
            },
            Form::Packed => Message::PackedPart {
                revision,
                size,
                offset,
                bytes,
            },
        };
        wanted.offset = last.max(first);
        let peer = wanted.peer.clone();
        if wanted.offset >= wanted.end.min(document.len()) {
            self.wanted.remove(index);
        }
        Some((peer, message))
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
        if revision == self.revision {
            return None;
        }
        if let Some(receipt) = self
            .receipt
            .as_mut()
            .filter(|receipt| receipt.revision >= revision)
        {
            receipt.add_source(from, revision);
            return None;
        }
        self.receipt = Some(Receipt {
            sources: vec![from.clone()],
            revision,
            bytes: Vec::new(),
            whole: false,
            active_at: now,
            repeats: 0,
        });
        Some(Message::RequestPacked {
            revision,
            offset: 0,
        })
    }

    /// Asks a peer that has just got the document, in place of one that has sent nothing yet: it has
    /// fewer others to serve.
    fn switch_to(&mut self, now: Time, from: &Vm, revision: Revision) -> Option<Message> {
        let receipt = self.receipt.as_mut()?;
        if receipt.revision != revision || !receipt.bytes.is_empty() {
            return None;
        }
        receipt.sources.retain(|source| source != from);
        receipt.sources.insert(0, from.clone());
        receipt.sources.truncate(SOURCES_MAX);
        receipt.active_at = now;
        Some(receipt.request())
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
                let request = if revision > self.revision {
                    let request = self.announced(now, from, revision);
                    request.or_else(|| self.switch_to(now, from, revision))
                } else {
                    None
                };
                Step::Reply(request.into_iter().collect())
            }
            Message::Request { revision, offset } => {
                Step::Reply(self.parts_requested(now, from, Form::Plain, revision, offset))
            }
            Message::RequestPacked { revision, offset } => {
                Step::Reply(self.parts_requested(now, from, Form::Packed, revision, offset))
            }
            Message::PackedPart {
                revision,
                size,
                offset,
                bytes,
            } => self.part_received(now, from, revision, (size, offset), &bytes),
            // Nobody is asked for plain parts.
            Message::Part { .. } => Step::Reply(Vec::new()),
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
        if receipt.bytes.is_empty() || receipt.repeats > LOST_PARTS_MAX {
            receipt.next_source();
        }
        let source = receipt.sources.first()?.clone();
        Some((source, receipt.request()))
    }

    /// Records that a peer wants the parts of the document in force from `offset`. Returns an offer if it
    /// is another one.
    fn parts_requested(
        &mut self,
        now: Time,
        peer: &Vm,
        form: Form,
        revision: Revision,
        offset: u32,
    ) -> Vec<Message> {
        if revision != self.revision {
            let revision = self.revision;
            return vec![Message::Offer { revision }];
        }
        if form == Form::Packed && self.packed.is_empty() {
            self.packed = pack(&self.document);
        }
        let offset = offset as usize;
        let wanted = Wanted {
            peer: peer.clone(),
            form,
            offset,
            end: offset + PART_BYTES * PARTS_PER_REQUEST,
            asked_at: now,
        };
        let room = self.wanted.len() < REQUESTS_MAX;
        match self.wanted.iter_mut().find(|known| known.peer == *peer) {
            // What is on its way already is not sent again.
            Some(known) if known.form == form && (offset..known.end).contains(&known.offset) => {
                known.asked_at = now;
            }
            Some(known) => *known = wanted,
            None if room => self.wanted.push(wanted),
            None => {}
        }
        Vec::new()
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
            let same = receipt.sources.first() == Some(from) && receipt.revision == revision;
            same && !receipt.whole && offset == length(&receipt.bytes) && !bytes.is_empty()
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
            return match unpack(&receipt.bytes) {
                Some(document) => {
                    receipt.whole = true;
                    Step::Adopt(document)
                }
                None => {
                    self.receipt = None;
                    nothing
                }
            };
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
        Message::RequestPacked {
            revision: self.revision,
            offset: length(&self.bytes),
        }
    }

    /// Adds a peer that has `revision` at least.
    fn add_source(&mut self, vm: &Vm, revision: Revision) {
        let room = self.sources.len() < SOURCES_MAX;
        if room && revision == self.revision && !self.sources.contains(vm) {
            self.sources.push(vm.clone());
        }
    }

    /// Begins anew at the next source, whose packed form may differ.
    fn next_source(&mut self) {
        if self.sources.len() > 1 {
            self.sources.rotate_left(1);
            self.bytes.clear();
        }
    }
}

/// Returns the packed form of a document.
fn pack(document: &[u8]) -> Vec<u8> {
    let mut packer = ZlibEncoder::new(Vec::new(), Compression::fast());
    // A vector takes everything.
    let _ = packer.write_all(document);
    packer.finish().unwrap_or_default()
}

/// Returns the document of a packed form, unless it is none or larger than a document may be.
fn unpack(packed: &[u8]) -> Option<Vec<u8>> {
    let mut document = Vec::new();
    let limit = DOCUMENT_BYTES_MAX as u64 + 1;
    let read = ZlibDecoder::new(packed)
        .take(limit)
        .read_to_end(&mut document);
    read.ok()
        .filter(|length| *length <= DOCUMENT_BYTES_MAX)
        .map(|_| document)
}

fn length(bytes: &[u8]) -> u32 {
    u32::try_from(bytes.len()).unwrap_or(u32::MAX)
}
