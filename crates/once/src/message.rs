//! Messages between participants. Any of them may be lost, delayed, duplicated or reordered.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wire::Incarnation;

use crate::key::{Digest, Key};
use crate::ledger::{CallRecord, Page};
use crate::witness_set::{Member, WitnessSet};

/// An executor's attempt to run the call of a key. An incarnation never reuses a number.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// The process that intends to run the call.
    pub executor: Incarnation,
    /// Sequence number of the claim within that process.
    pub number: u64,
}

/// A witness's decision on a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The witness recorded the claim, and holds no other claim of the key.
    Granted {
        /// Time since a void of the key was last recorded, if ever.
        void_age: Option<Duration>,
    },
    /// The witness holds other claims of the key, or a claim with another body.
    Held {
        /// The recorded claims.
        claims: Vec<Claim>,
        /// Digest of the request body that they were made for.
        body: Digest,
    },
    /// The call has ended.
    Ended {
        /// Its recorded result.
        record: CallRecord,
        /// Digest of its request body.
        body: Digest,
    },
    /// The key may have run before the lineage was founded.
    Quarantined {
        /// Time until keys without a ticket are accepted.
        remaining: Duration,
    },
    /// The key carries the ticket of another lineage, whose members may still vote for it.
    OtherLineage,
    /// The witness's last successful read of the VM list is too old, see
    /// [`Config::max_list_age`](crate::Config::max_list_age).
    Fenced,
    /// The witness has not yet recovered the entries of the other witnesses.
    NotRecovered,
}

/// An executor's report on one of its claims.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimStatus {
    /// The claim is collecting votes, running, or being voided.
    Open,
    /// The claim was abandoned and will never run.
    Abandoned,
    /// The call has ended.
    Ended(CallRecord),
    /// The executor has no record of the claim.
    Unknown,
}

/// A message from one participant to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Periodic announcement of the sender's witness set and role.
    Hello {
        /// [`WitnessSet::id`] of the sender's set.
        set_id: u64,
        /// Lineage of that set.
        lineage: u64,
        /// The sender, in its current term.
        member: Member,
        /// Whether the sender's votes count.
        voting: bool,
    },
    /// The sender's witness set.
    Sync {
        /// The set.
        set: WitnessSet,
    },
    /// Requests a vote for a claim.
    RequestVote {
        /// ID of the set in which the vote counts.
        set_id: u64,
        /// The claim.
        claim: Claim,
        /// Key of the call.
        key: Key,
        /// Digest of the request body.
        body: Digest,
        /// Claims of the key that their executors have abandoned.
        abandoned: Vec<Claim>,
    },
    /// Replies to [`Message::RequestVote`].
    Vote {
        /// ID of the set in which the vote counts.
        set_id: u64,
        /// The witness that replies.
        voter: Member,
        /// The requested claim.
        claim: Claim,
        /// Key of the call.
        key: Key,
        /// The witness's decision.
        verdict: Verdict,
    },
    /// Asks a witness to record that the call has not run and that its claim is abandoned.
    RecordVoid {
        /// ID of the set in which the void counts.
        set_id: u64,
        /// The abandoned claim.
        claim: Claim,
        /// Number of the request round; replies to an earlier round do not count.
        round: u32,
        /// Key of the call.
        key: Key,
        /// Digest of the request body.
        body: Digest,
    },
    /// Confirms [`Message::RecordVoid`].
    Voided {
        /// ID of the set in which the void counts.
        set_id: u64,
        /// The witness that replies.
        voter: Member,
        /// The abandoned claim.
        claim: Claim,
        /// Number of the request round.
        round: u32,
        /// Key of the call.
        key: Key,
    },
    /// Announces that a claim was abandoned, so that witnesses withdraw their votes for it.
    Release {
        /// The claim.
        claim: Claim,
        /// Key of the call.
        key: Key,
    },
    /// Sends a call's result to a witness.
    Store {
        /// The claim that ran.
        claim: Claim,
        /// Key of the call.
        key: Key,
        /// Digest of the request body.
        body: Digest,
        /// The result.
        record: CallRecord,
    },
    /// Confirms [`Message::Store`].
    Stored {
        /// The claim that ran.
        claim: Claim,
        /// Key of the call.
        key: Key,
    },
    /// Asks an executor for the status of one of its claims.
    QueryClaim {
        /// The queried claim.
        claim: Claim,
        /// Key of the call.
        key: Key,
        /// The claim that is blocked by the queried one.
        blocked: Claim,
    },
    /// Replies to [`Message::QueryClaim`].
    ReportClaim {
        /// The queried claim.
        claim: Claim,
        /// Key of the call.
        key: Key,
        /// Status of the claim.
        status: ClaimStatus,
    },
    /// Asks a voting member for a page of its ledger.
    FetchEntries {
        /// ID of the set in which the reply must be given.
        set_id: u64,
        /// Last key of the previous page.
        after: Option<Key>,
    },
    /// Replies to [`Message::FetchEntries`].
    Entries {
        /// ID of the set in which the reply was given.
        set_id: u64,
        /// The member that replies.
        voter: Member,
        /// Last key of the previous page.
        after: Option<Key>,
        /// Time until the member accepts keys that may be older than the lineage.
        quarantine: Duration,
        /// The entries.
        page: Page,
    },
}
