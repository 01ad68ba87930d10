//! What rosters tell each other: one-way, best effort, in any order.

use serde::{Deserialize, Serialize};
use wire::{Revision, Vm};

use crate::notice::Notice;
use crate::rumor::Rumor;

/// Number of a heartbeat or question, unique within the incarnation that asks.
pub type Sequence = u32;

/// News that rides on other messages.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// News of nodes.
    pub rumors: Vec<Rumor>,
    /// News of leaving upstreams.
    pub notices: Vec<Notice>,
}

impl Gossip {
    /// Tells whether there is no news.
    pub fn is_empty(&self) -> bool {
        self.rumors.is_empty() && self.notices.is_empty()
    }
}

/// What every heartbeat and its answer carry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// Number that the answer repeats.
    pub sequence: Sequence,
    /// Stamp of the sender above its start, see [`crate::rumor`].
    pub stamp_offset: u64,
    /// Whether the sender shuts down.
    pub leaving: bool,
    /// Digest of the sender's table; two equal tables have equal digests.
    pub digest: u32,
    /// Newest configuration revision that the sender has seen.
    pub revision: Revision,
    /// News that rides along.
    pub gossip: Gossip,
}

/// A message between two rosters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A heartbeat that asks for an [`Message::Ack`].
    Ping(Beat),
    /// The answer to a heartbeat.
    Ack(Beat),
    /// Asks the receiver to send a heartbeat to `target` on behalf of the sender.
    Relay {
        /// Number that [`Message::Reached`] repeats.
        sequence: Sequence,
        /// The VM to try.
        target: Vm,
    },
    /// The target of a [`Message::Relay`] answered.
    Reached {
        /// Number of the relay.
        sequence: Sequence,
        /// What the target says of itself.
        rumor: Rumor,
    },
    /// Asks for the receiver's whole table.
    Join {
        /// Number that [`Message::Table`] repeats.
        sequence: Sequence,
    },
    /// A part of the sender's table.
    Table {
        /// Number of the join, 0 where none asked.
        sequence: Sequence,
        /// The part.
        gossip: Gossip,
    },
    /// Urgent news, sent outside heartbeats.
    News(Gossip),
}
