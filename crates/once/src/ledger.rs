//! The state that a witness keeps for each key.

use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use wire::Time;

use crate::key::{Digest, Key};
use crate::message::Claim;

/// Maximum number of entries in one page sent to a recovering witness.
pub const MAX_PAGE_ENTRIES: usize = 64;

/// Total size of call records after which a page takes no further entry, in bytes.
pub const MAX_PAGE_BYTES: usize = 64 * 1024;

/// How a call that was sent to its upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ending {
    /// The upstream sent a complete response.
    Answered,
    /// The upstream rejected the call or failed; the call is over.
    Failed,
    /// It is not known whether the call ran.
    Unknown,
}

/// The recorded result of a call, returned to its retries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRecord {
    /// How the call ended.
    pub ending: Ending,
    /// HTTP status of the response.
    pub status: u16,
    /// Media type of the response body.
    pub content_type: String,
    /// The response body; `None` if it exceeded the size limit.
    pub body: Option<Vec<u8>>,
}

impl CallRecord {
    pub(crate) fn byte_len(&self) -> usize {
        self.body.as_ref().map_or(0, Vec::len) + self.content_type.len()
    }
}

/// The state that a witness keeps for one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Digest of the request body.
    pub body: Digest,
    /// Claims whose calls may run, sorted. Holds more than one only after the witness recovered
    /// from peers that had voted for different claims.
    pub claims: Vec<Claim>,
    /// When a void of the key was last recorded.
    pub voided_at: Option<Time>,
    /// The first result recorded for the call.
    pub record: Option<CallRecord>,
    /// When the entry expires.
    pub expires: Time,
}

/// An entry in transit to another witness. Times are relative, since the clocks of two nodes are
/// not comparable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntrySnapshot {
    /// Key of the call.
    pub key: Key,
    /// Digest of the request body.
    pub body: Digest,
    /// Claims whose calls may run.
    pub claims: Vec<Claim>,
    /// Time since a void of the key was last recorded.
    pub void_age: Option<Duration>,
    /// The first result recorded for the call.
    pub record: Option<CallRecord>,
    /// Time until the entry expires.
    pub expires_in: Duration,
}

/// A range of entries in key order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The entries.
    pub entries: Vec<EntrySnapshot>,
    /// Whether this is the last page.
    pub last: bool,
}

/// The entries of one witness.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    entries: BTreeMap<Key, Entry>,
    expiries: VecDeque<(Time, Key)>,
}

impl Ledger {
    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the entry of `key`.
    pub fn get(&self, key: &Key) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Returns the entry of `key`, inserting one if needed. The entry does not expire before
    /// `expires`.
    pub fn entry(&mut self, key: Key, body: Digest, expires: Time) -> &mut Entry {
        let entry = self.entries.entry(key).or_insert_with(|| Entry {
            body,
            claims: Vec::new(),
            voided_at: None,
            record: None,
            expires: Time::ZERO,
        });
        if expires > entry.expires {
            entry.expires = expires;
            self.expiries.push_back((expires, key));
        }
        entry
    }

    /// Withdraws the vote for `claim`, which its executor has abandoned.
    pub fn release(&mut self, key: &Key, claim: &Claim) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.claims.retain(|held| held != claim);
        }
    }

    /// Removes the expired entries.
    pub fn expire(&mut self, now: Time) {
        while let Some((due, key)) = self.expiries.front().copied() {
            if due > now {
                return;
            }
            self.expiries.pop_front();
            if self
                .entries
                .get(&key)
                .is_some_and(|entry| entry.expires <= now)
            {
                self.entries.remove(&key);
            }
        }
    }

    /// Returns the earliest time at which an entry may expire.
    pub fn next_expiry(&self) -> Option<Time> {
        self.expiries.front().map(|(due, _)| *due)
    }

    /// Returns the first page of entries whose keys follow `after`.
    pub fn page(&self, now: Time, after: Option<Key>) -> Page {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut page = Page::default();
        let mut bytes = 0;
        for (key, entry) in self.entries.range((start, Bound::Unbounded)) {
            if page.entries.len() == MAX_PAGE_ENTRIES || bytes > MAX_PAGE_BYTES {
                return page;
            }
            bytes += entry.record.as_ref().map_or(0, CallRecord::byte_len);
            page.entries.push(snapshot(now, *key, entry));
        }
        page.last = true;
        page
    }

    /// Merges an entry of another witness. A claim that may run according to either of the two
    /// may run according to the result.
    pub fn merge(&mut self, now: Time, snapshot: EntrySnapshot) {
        let entry = self.entry(snapshot.key, snapshot.body, now + snapshot.expires_in);
        if entry.record.is_none() {
            entry.record = snapshot.record;
        }
        entry.claims.extend(snapshot.claims);
        entry.claims.sort_unstable();
        entry.claims.dedup();
        let voided_at = snapshot.void_age.map(|age| now.saturating_sub(age));
        entry.voided_at = entry.voided_at.max(voided_at);
    }
}

fn snapshot(now: Time, key: Key, entry: &Entry) -> EntrySnapshot {
    EntrySnapshot {
        key,
        body: entry.body,
        claims: entry.claims.clone(),
        void_age: entry.voided_at.map(|at| now.saturating_sub(at)),
        record: entry.record.clone(),
        expires_in: entry.expires.saturating_sub(now),
    }
}
