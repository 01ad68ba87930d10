//! What guards tell each other; any of it may be lost, late, doubled or out of order.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wire::Incarnation;

use crate::key::{Digest, Key};
use crate::ledger::{CallRecord, Page};
use crate::set::{Member, Set};

/// An executor's attempt at a key. The number is never used again by that incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// The process that wants to run the call.
    pub executor: Incarnation,
    /// Number of the claim at that process.
    pub number: u64,
}

/// A witness's word on a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The claim is recorded and no other.
    Granted {
        /// Age of the key's latest void, if it has one.
        void: Option<Duration>,
    },
    /// Other claims are recorded.
    Held {
        /// The claims.
        claims: Vec<Claim>,
        /// Digest of the body that they were made for.
        body: Digest,
    },
    /// The call has ended.
    Ended {
        /// Its first answer.
        record: CallRecord,
        /// Digest of its body.
        body: Digest,
    },
    /// The key may have been run before the lineage was founded.
    Quarantined {
        /// Time until such keys are taken.
        left: Duration,
    },
    /// The key carries the ticket of another lineage, whose members may still vote for it.
    Foreign,
    /// The witness has not read the VM list within the fence.
    Fenced,
    /// The witness has not recovered yet.
    Fresh,
}

/// An executor's word on one of its claims.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Told {
    /// It is being made, runs, or is being withdrawn.
    Open,
    /// It was given up and will never run.
    Abandoned,
    /// It has ended.
    Ended(CallRecord),
    /// The executor no longer knows.
    Unknown,
}

/// A message from one guard to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The sender's set and standing, sent regularly.
    Hello {
        /// [`Set::id`] of the sender's set.
        set: u64,
        /// Lineage of that set.
        lineage: u64,
        /// The sender's term.
        member: Member,
        /// Whether the sender's memory counts.
        holder: bool,
    },
    /// The sender's set.
    Sync {
        /// The set.
        set: Set,
    },
    /// Asks for a vote.
    Ask {
        /// The set at which the vote counts.
        set: u64,
        /// The claim.
        claim: Claim,
        /// The call.
        key: Key,
        /// Digest of its body.
        body: Digest,
        /// Claims of the key that their executors have given up.
        over: Vec<Claim>,
    },
    /// Answers [`Message::Ask`].
    Vote {
        /// The set at which the vote counts.
        set: u64,
        /// The witness.
        voter: Member,
        /// The claim asked for.
        claim: Claim,
        /// The call.
        key: Key,
        /// The witness's word.
        verdict: Verdict,
    },
    /// Asks to record that a key has not been run and that its claim is given up.
    Void {
        /// The set at which the record counts.
        set: u64,
        /// The claim given up.
        claim: Claim,
        /// Number of the asking; an answer to an earlier one does not count.
        round: u32,
        /// The call.
        key: Key,
        /// Digest of its body.
        body: Digest,
    },
    /// Confirms [`Message::Void`].
    Voided {
        /// The set at which the record counts.
        set: u64,
        /// The witness.
        voter: Member,
        /// The claim given up.
        claim: Claim,
        /// Number of the asking.
        round: u32,
        /// The call.
        key: Key,
    },
    /// Tells that a claim was given up, so that its votes are free.
    Release {
        /// The claim.
        claim: Claim,
        /// The call.
        key: Key,
    },
    /// Hands a call's answer to a witness.
    Store {
        /// The claim that ran.
        claim: Claim,
        /// The call.
        key: Key,
        /// Digest of its body.
        body: Digest,
        /// The answer.
        record: CallRecord,
    },
    /// Confirms [`Message::Store`].
    Stored {
        /// The claim that ran.
        claim: Claim,
        /// The call.
        key: Key,
    },
    /// Asks an executor about one of its claims.
    Inquire {
        /// The claim asked about.
        claim: Claim,
        /// The call.
        key: Key,
        /// The claim that it stands in the way of.
        by: Claim,
    },
    /// Answers [`Message::Inquire`].
    Tell {
        /// The claim asked about.
        claim: Claim,
        /// The call.
        key: Key,
        /// The executor's word.
        told: Told,
    },
    /// Asks a holder for its records.
    Recover {
        /// The set that the answer must be given at.
        set: u64,
        /// Last key of the page before.
        after: Option<Key>,
    },
    /// Answers [`Message::Recover`].
    Page {
        /// The set that the answer was given at.
        set: u64,
        /// The holder.
        voter: Member,
        /// Last key of the page before.
        after: Option<Key>,
        /// Time until the holder takes keys that may be older than the lineage.
        quarantine: Duration,
        /// The records.
        page: Page,
    },
}
