//! The state of a key as known to one node, for operators who look up the outcome of a call.

use serde::{Deserialize, Serialize};
use wire::Time;

use super::Participant;
use super::pending::Phase;
use crate::key::Key;
use crate::ledger::{Ending, Entry};

/// State of a call as known to one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fate", rename_all = "kebab-case")]
pub enum CallState {
    /// The node has no entry for the call.
    Nothing,
    /// This node is claiming the call and has not written any of it yet.
    Claiming,
    /// This node has started to write the call and waits for its response.
    Running,
    /// A process has claimed the call, and may run it or may have run it; its result is not
    /// recorded here.
    Claimed,
    /// No earlier claim may run the call any more. The key may be claimed again.
    Void,
    /// The call has ended.
    Ended {
        /// How it ended.
        ending: Ending,
        /// HTTP status of the response.
        status: u16,
    },
}

/// One node's reply to the lookup of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lookup {
    /// State of the call as known to this node.
    #[serde(flatten)]
    pub state: CallState,
    /// Whether the node is a witness whose reply counts towards a quorum.
    #[serde(rename = "holding")]
    pub voting: bool,
    /// Number of witnesses in a quorum.
    pub quorum: usize,
}

impl Participant {
    /// Returns the state of `key` at `now`, without changing it.
    pub fn lookup(&self, now: Time, key: &Key) -> Lookup {
        let entry = self.ledger.get(key).filter(|entry| entry.expires > now);
        Lookup {
            state: self.state(key, entry),
            voting: self.is_voting(),
            quorum: self.set.quorum(),
        }
    }

    fn state(&self, key: &Key, entry: Option<&Entry>) -> CallState {
        if let Some(record) = entry.and_then(|entry| entry.record.as_ref()) {
            return CallState::Ended {
                ending: record.ending,
                status: record.status,
            };
        }
        match self.pending.get(key).map(|call| call.phase) {
            Some(Phase::Sent(_)) => return CallState::Running,
            Some(Phase::Claiming | Phase::Granted(_)) => return CallState::Claiming,
            Some(Phase::Voiding(_)) | None => {}
        }
        match entry {
            Some(entry) if !entry.claims.is_empty() => CallState::Claimed,
            Some(entry) if entry.voided_at.is_some() => CallState::Void,
            _ => CallState::Nothing,
        }
    }
}
