//! What replicators tell each other: one-way, best effort, in any order.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use wire::Revision;

use crate::manifest::{Digest, Id, Manifest, Part};
use crate::patch::Patch;

/// Which revision is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Pick {
    /// The newest one that the peer has whole, refused or not.
    Newest,
    /// The one in force at the peer.
    Force,
}

/// A manifest, whole or as the change from one that the asker has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Form {
    /// Whole.
    Whole(Manifest),
    /// The same number of parts as the base, some of them other ones.
    Change {
        /// The base.
        base: Id,
        /// The number.
        revision: Revision,
        /// The other parts with their indexes.
        parts: Vec<(u32, Part)>,
    },
}

/// A message between two replicators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The sender has the revision whole.
    Offer(Id),
    /// Asks for a revision.
    Ask {
        /// What the asker has whole.
        have: Option<Id>,
        /// What it asks for.
        pick: Pick,
    },
    /// The answer where the asker has what it asked for, or there is nothing.
    Same {
        /// The newest that the sender has whole.
        newest: Option<Id>,
    },
    /// The answer otherwise.
    Update {
        /// What was asked for.
        pick: Pick,
        /// Which revision it is.
        id: Id,
        /// Its manifest.
        form: Form,
        /// Changes of parts against [`Form::Change`]'s base, as far as they fit one message.
        patches: Vec<(u32, Patch)>,
    },
    /// Asks for a piece of a part.
    Want {
        /// The part.
        digest: Digest,
        /// Where the piece starts.
        offset: u32,
    },
    /// A piece of a part.
    Piece {
        /// The part.
        digest: Digest,
        /// Where the piece starts.
        offset: u32,
        /// The piece.
        bytes: Bytes,
    },
    /// The sender does not hold the part.
    Lack {
        /// The part.
        digest: Digest,
    },
}
