//! Messages between rosters: one-way, best effort, unordered.

use serde::{Deserialize, Serialize};
use wire::{Revision, Vm};

use crate::notice::Notice;
use crate::rumor::Rumor;

/// Number of a heartbeat or request, unique within the sending incarnation.
pub type Sequence = u32;

/// Updates piggybacked on other messages.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// Updates about nodes.
    pub rumors: Vec<Rumor>,
    /// Updates about leaving upstreams.
    pub notices: Vec<Notice>,
}

impl Gossip {
    /// Returns whether there are no updates.
    pub fn is_empty(&self) -> bool {
        self.rumors.is_empty() && self.notices.is_empty()
    }
}

/// Payload of a heartbeat and of its answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Number echoed by the answer.
    pub sequence: Sequence,
    /// Offset of the sender's stamp from its start time, see [`crate::rumor`].
    pub stamp_offset: u64,
    /// Whether the sender is shutting down.
    pub leaving: bool,
    /// Digest of the sender's table; two equal tables have equal digests.
    pub digest: u32,
    /// Newest configuration revision that the sender has seen.
    pub revision: Revision,
    /// Piggybacked updates.
    pub gossip: Gossip,
}

/// A message between two rosters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A heartbeat, answered by [`Message::Ack`].
    Ping(Heartbeat),
    /// The answer to a heartbeat.
    Ack(Heartbeat),
    /// Asks the receiver to send a heartbeat to `target` on behalf of the sender.
    Relay {
        /// Number echoed by [`Message::Reached`].
        sequence: Sequence,
        /// The VM to probe.
        target: Vm,
    },
    /// The target of a [`Message::Relay`] answered.
    Reached {
        /// Number of the relay.
        sequence: Sequence,
        /// The target's update about itself.
        rumor: Rumor,
    },
    /// Requests the receiver's full membership table.
    Join {
        /// Number echoed by [`Message::Table`].
        sequence: Sequence,
    },
    /// A part of the sender's table.
    Table {
        /// Number of the join request, or 0 if unsolicited.
        sequence: Sequence,
        /// Updates in this part.
        gossip: Gossip,
    },
    /// Urgent updates, sent outside heartbeats.
    News(Gossip),
}
