//! A witness's memory of keys.

use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use wire::Time;

use crate::key::{Digest, Key};
use crate::message::Claim;

/// Most records in one page of a recovery.
pub const PAGE_RECORDS: usize = 64;

/// Bytes of answers after which a page is closed.
pub const PAGE_BYTES: usize = 64 * 1024;

/// How a call that was sent ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ending {
    /// The upstream answered in whole.
    Answered,
    /// The upstream refused or failed; the call is over.
    Failed,
    /// It is not known whether the call ran.
    Unknown,
}

/// The first answer of a call, kept for its retries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRecord {
    /// How the call ended.
    pub ending: Ending,
    /// HTTP status of the answer.
    pub status: u16,
    /// Media type of the answer's body.
    pub content_type: String,
    /// The answer's body; `None` where it was larger than the limit.
    pub body: Option<Vec<u8>>,
}

impl CallRecord {
    pub(crate) fn bytes(&self) -> usize {
        self.body.as_ref().map_or(0, Vec::len) + self.content_type.len()
    }
}

/// What a witness knows of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Digest of the body.
    pub body: Digest,
    /// Claims that may run, sorted; more than one only after a recovery from divided votes.
    pub claims: Vec<Claim>,
    /// When the key was last recorded void.
    pub void: Option<Time>,
    /// The first answer.
    pub record: Option<CallRecord>,
    /// When the entry is forgotten.
    pub expires: Time,
}

/// One key's entry on its way to another witness; times are ages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Copy {
    /// The call.
    pub key: Key,
    /// Digest of its body.
    pub body: Digest,
    /// Its claims.
    pub claims: Vec<Claim>,
    /// Age of its latest void.
    pub void: Option<Duration>,
    /// Its first answer.
    pub record: Option<CallRecord>,
    /// Time until it may be forgotten.
    pub left: Duration,
}

/// A run of entries in key order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The entries.
    pub copies: Vec<Copy>,
    /// Whether no entry follows.
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

    /// Tells whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the entry of `key`.
    pub fn get(&self, key: &Key) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Returns the entry of `key`, made where there is none, kept at least until `expires`.
    pub fn entry(&mut self, key: Key, body: Digest, expires: Time) -> &mut Entry {
        let entry = self.entries.entry(key).or_insert_with(|| Entry {
            body,
            claims: Vec::new(),
            void: None,
            record: None,
            expires: Time::ZERO,
        });
        if expires > entry.expires {
            entry.expires = expires;
            self.expiries.push_back((expires, key));
        }
        entry
    }

    /// Frees the votes for `claim`, which its executor has given up.
    pub fn release(&mut self, key: &Key, claim: &Claim) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.claims.retain(|held| held != claim);
        }
    }

    /// Forgets the entries that are due.
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

    /// Returns when the next entry may be due.
    pub fn due(&self) -> Option<Time> {
        self.expiries.front().map(|(due, _)| *due)
    }

    /// Returns the entries after `after`.
    pub fn page(&self, now: Time, after: Option<Key>) -> Page {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut page = Page::default();
        let mut bytes = 0;
        for (key, entry) in self.entries.range((start, Bound::Unbounded)) {
            if page.copies.len() == PAGE_RECORDS || bytes > PAGE_BYTES {
                return page;
            }
            bytes += entry.record.as_ref().map_or(0, CallRecord::bytes);
            page.copies.push(copy(now, *key, entry));
        }
        page.last = true;
        page
    }

    /// Takes another witness's entry in: every claim that may run there may run.
    pub fn merge(&mut self, now: Time, copy: Copy) {
        let entry = self.entry(copy.key, copy.body, now + copy.left);
        if entry.record.is_none() {
            entry.record = copy.record;
        }
        entry.claims.extend(copy.claims);
        entry.claims.sort_unstable();
        entry.claims.dedup();
        let void = copy.void.map(|age| now.saturating_sub(age));
        entry.void = entry.void.max(void);
    }
}

fn copy(now: Time, key: Key, entry: &Entry) -> Copy {
    Copy {
        key,
        body: entry.body,
        claims: entry.claims.clone(),
        void: entry.void.map(|at| now.saturating_sub(at)),
        record: entry.record.clone(),
        left: entry.expires.saturating_sub(now),
    }
}
