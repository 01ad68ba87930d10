//! Messages between replicators: one-way, best effort, unordered.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use wire::Revision;

use crate::manifest::{Digest, Id, Manifest, Part};
use crate::patch::Patch;

/// Which revision is requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Selector {
    /// The newest revision that the peer has completely, rejected or not.
    Newest,
    /// The revision in force at the peer.
    InForce,
}

/// A manifest, either complete or as a delta from one that the requester has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Form {
    /// The whole manifest.
    Whole(Manifest),
    /// A delta from a base manifest with the same number of parts.
    Delta {
        /// The base manifest.
        base: Id,
        /// The revision number.
        revision: Revision,
        /// The changed parts with their indexes.
        parts: Vec<(u32, Part)>,
    },
}

/// A message between two replicators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Announces that the sender has the complete revision.
    Offer(Id),
    /// Requests a revision.
    Request {
        /// The newest complete revision of the requester.
        have: Option<Id>,
        /// Which revision is requested.
        selector: Selector,
    },
    /// Reply if the requester already has the revision, or the sender has none.
    Same {
        /// The newest complete revision of the sender.
        newest: Option<Id>,
    },
    /// Reply that carries the requested revision.
    Update {
        /// The selector of the request that this answers.
        selector: Selector,
        /// The revision.
        id: Id,
        /// Its manifest.
        form: Form,
        /// Deltas of parts against the base of [`Form::Delta`], as many as fit in one message.
        patches: Vec<(u32, Patch)>,
    },
    /// Requests a piece of a part.
    RequestPiece {
        /// The part.
        digest: Digest,
        /// Byte offset of the piece within the part.
        offset: u32,
    },
    /// A piece of a part.
    Piece {
        /// The part.
        digest: Digest,
        /// Byte offset of the piece within the part.
        offset: u32,
        /// The content of the piece.
        bytes: Bytes,
    },
    /// The sender does not have the part.
    PartUnavailable {
        /// The part.
        digest: Digest,
    },
}
