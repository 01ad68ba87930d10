//! What one node knows of a key, for operators who ask what became of a call.

use serde::{Deserialize, Serialize};
use wire::Time;

use super::Participant;
use super::pending::Phase;
use crate::key::Key;
use crate::ledger::{Ending, Entry};

/// What one node knows of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fate", rename_all = "kebab-case")]
pub enum CallState {
    /// Nothing is remembered.
    Nothing,
    /// The call is claimed at this node, and not a byte of it was written yet.
    Claiming,
    /// This node has begun to write the call and waits for its answer.
    Running,
    /// Some process may run it, or has run it without leaving its answer here.
    Claimed,
    /// No claim made before may run any more; the key may be claimed anew.
    Void,
    /// The call is over.
    Ended {
        /// How it ended.
        ending: Ending,
        /// HTTP status of the answer.
        status: u16,
    },
}

/// One node's answer about a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lookup {
    /// What is known.
    #[serde(flatten)]
    pub state: CallState,
    /// Whether the node is a witness whose word counts towards a quorum.
    #[serde(rename = "holding")]
    pub voting: bool,
    /// Witnesses that make a quorum.
    pub quorum: usize,
}

impl Participant {
    /// Returns what this node knows of `key` at `now`; changes nothing.
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
        match self.runs.get(key).map(|run| run.phase) {
            Some(Phase::Sent(_)) => return CallState::Running,
            Some(Phase::Claiming | Phase::Granted(_)) => return CallState::Claiming,
            Some(Phase::Voiding(_)) | None => {}
        }
        match entry {
            Some(entry) if !entry.claims.is_empty() => CallState::Claimed,
            Some(entry) if entry.void.is_some() => CallState::Void,
            _ => CallState::Nothing,
        }
    }
}
