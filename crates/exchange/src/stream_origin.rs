//! Releases that streams began at.
//!
//! What two releases of an upstream's software write does not fit together, so a stream may go on only
//! at the release that began it. A caller may take its stream up at any node. When a stream begins,
//! its node therefore tells the first node in the rendezvous order of the stream at once and the next
//! ones within a moment, in batches. A node that is asked for a stream that it does not know asks
//! them. In a small fleet these are all nodes, so that the last one that is left knows each stream.
//! While a pool has had a single release for longer than any stream lasts, nobody needs to be told.
//!
//! A release that nobody knows is unknown. It cannot be concluded from the upstreams that serve now:
//! those that began the stream may be gone. Where a pool has had one release for longer than any stream
//! lasts, that is the one; but only the time counts in which this node knew the listings as they were,
//! and only if all nodes that it asks answer. A node that was cut off or stood still has old listings.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wire::{Time, Vm, rank};

use crate::fleet::{Listing, Release};
use crate::route::PoolName;

/// Identifies a stream: a hash of the caller's attempt that brought its first event.
pub type StreamId = u64;

/// Number of nodes that are told of a stream, and asked for it.
pub const RECORDERS: usize = 6;

/// Time in which streams are collected before further nodes are told.
const BATCH_INTERVAL: Duration = Duration::from_millis(400);

/// Bytes per second for batches. In a large fleet each stream has other recorders, and batches save
/// little: the last ones of the order are left out then.
const BATCH_BYTES_PER_SECOND: f64 = 3_000.0;

/// Bytes of a datagram beside its records.
const DATAGRAM_BYTES: f64 = 64.0;

/// Bytes of a record.
const RECORD_BYTES: f64 = 15.0;

/// Longest life of a stream, with all tries of its caller to take it up.
pub const STREAM_AGE_MAX: Duration = Duration::from_secs(120);

/// Time without current listings from which releases may have come and gone unseen: several times that in
/// which a node that is in touch hears of them.
const OBSERVATION_GAP_MAX: Duration = Duration::from_secs(2);

/// Maximum number of records; the oldest ones yield.
const RECORDS_MAX: usize = 50_000;

/// Maximum number of records in one message, which one datagram carries.
pub const RECORDS_PER_MESSAGE: usize = 60;

/// A message between two nodes. Variants are encoded by position: new ones must be added at the end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Releases that streams of the sender began at.
    Began(Vec<(StreamId, Release)>),
    /// Asks which release a stream began at.
    Query {
        /// Identifies the question in its answer.
        ticket: u64,
        /// The stream.
        stream: StreamId,
    },
    /// The answer to [`Message::Query`].
    Answer {
        /// Identifies the question.
        ticket: u64,
        /// The release, if the sender knows it.
        release: Option<Release>,
    },
}

/// Returns the id of the stream whose first event the attempt brought.
pub fn stream_id(attempt: &str) -> StreamId {
    rank::hash(attempt)
}

#[derive(Clone, Copy, Debug)]
struct Record {
    stream: StreamId,
    release: Release,
    until: Time,
}

/// A pool whose listed upstreams are all of one release.
#[derive(Clone, Debug)]
struct UniformPool {
    pool: PoolName,
    release: Release,
    since: Time,
}

impl UniformPool {
    /// Returns whether every stream that may still go on has begun at its release.
    fn has_settled(&self, now: Time) -> bool {
        now >= self.since + STREAM_AGE_MAX
    }
}

/// The streams that this node knows of.
#[derive(Clone, Debug, Default)]
pub struct Origins {
    /// Sorted by stream.
    records: Vec<Record>,
    /// Streams of this node that nobody has been told of.
    untold: Vec<(StreamId, Release)>,
    /// Streams of this node that the first of the others have been told of, and since when.
    batch: Vec<(StreamId, Release)>,
    batch_since: Time,
    pools: Vec<UniformPool>,
    /// When the listings were known as they are last.
    observed_at: Time,
}

/// Answers of the nodes that are asked for a stream.
#[derive(Clone, Copy, Debug)]
pub struct Inquiry {
    unanswered: usize,
    release: Option<Release>,
}

/// What an inquiry has found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// A node knows the release.
    Known(Release),
    /// All nodes have answered, and none knows it.
    Unknown,
    /// Some nodes have not answered.
    Unanswered,
}

impl Inquiry {
    /// Begins an inquiry at so many nodes.
    pub const fn new(asked: usize) -> Self {
        Self {
            unanswered: asked,
            release: None,
        }
    }

    /// Records the answer of one node.
    pub fn answer(&mut self, release: Option<Release>) {
        self.unanswered = self.unanswered.saturating_sub(1);
        self.release = self.release.or(release);
    }

    /// Returns whether further answers change nothing.
    pub const fn is_over(&self) -> bool {
        self.release.is_some() || self.unanswered == 0
    }

    /// Returns what was found so far.
    pub const fn finding(&self) -> Finding {
        match self.release {
            Some(release) => Finding::Known(release),
            None if self.unanswered == 0 => Finding::Unknown,
            None => Finding::Unanswered,
        }
    }
}

impl Origins {
    /// Records the upstreams that are listed now. To be called only while the listings are known to be
    /// current.
    pub fn observe<'a>(&mut self, now: Time, listings: impl IntoIterator<Item = &'a Listing>) {
        if !self.is_current(now) {
            self.restart_conclusions(now);
        }
        self.observed_at = now;
        let mut seen: Vec<(&PoolName, Option<Release>)> = Vec::new();
        for listing in listings {
            match seen.iter_mut().find(|(pool, _)| **pool == listing.pool) {
                Some((_, release)) => {
                    *release = release.filter(|release| *release == listing.release);
                }
                None => seen.push((&listing.pool, Some(listing.release))),
            }
        }
        for (pool, release) in seen {
            self.set_release(now, pool, release);
        }
    }

    /// Sets the single release of a pool, `None` if it has several.
    fn set_release(&mut self, now: Time, pool: &PoolName, release: Option<Release>) {
        let index = self.pools.iter().position(|known| known.pool == *pool);
        let Some(release) = release else {
            index.map(|index| self.pools.swap_remove(index));
            return;
        };
        let uniform = UniformPool {
            pool: pool.clone(),
            release,
            since: now,
        };
        match index {
            Some(index) if self.pools[index].release == release => {}
            Some(index) => self.pools[index] = uniform,
            None => self.pools.push(uniform),
        }
    }

    /// Records that routes lead to other pools now, so that a stream may have begun at another one.
    pub fn routes_changed(&mut self, now: Time) {
        self.restart_conclusions(now);
    }

    fn restart_conclusions(&mut self, now: Time) {
        for pool in &mut self.pools {
            pool.since = now;
        }
    }

    fn is_current(&self, now: Time) -> bool {
        now <= self.observed_at + OBSERVATION_GAP_MAX
    }

    /// Returns the release that every stream of the pool began at, if there has been no other one for
    /// as long as a stream may last.
    pub fn only_release(&self, now: Time, pool: &str) -> Option<Release> {
        let known = self.pools.iter().find(|known| *known.pool == *pool)?;
        (self.is_current(now) && known.has_settled(now)).then_some(known.release)
    }

    /// Returns the release that a stream of the pool began at, after an inquiry at other nodes.
    pub fn conclude(&self, now: Time, pool: &str, finding: Finding) -> Option<Release> {
        match finding {
            Finding::Known(release) => Some(release),
            Finding::Unknown => self.only_release(now, pool),
            Finding::Unanswered => None,
        }
    }

    /// Records that a stream of this node has begun, or goes on. Others are told by
    /// [`Origins::take_untold`].
    pub fn began(&mut self, now: Time, stream: StreamId, release: Release) {
        self.insert(now, stream, release);
        let release = self.release(stream).unwrap_or(release);
        self.untold.push((stream, release));
    }

    /// Records what another node has told.
    pub fn told(&mut self, now: Time, streams: &[(StreamId, Release)]) {
        for (stream, release) in streams {
            self.insert(now, *stream, *release);
        }
    }

    /// Returns the release that a stream began at, if this node knows it.
    pub fn release(&self, stream: StreamId) -> Option<Release> {
        let found = self.position(stream).ok();
        found.map(|index| self.records[index].release)
    }

    /// Takes out the streams of this node that the first node of their order is to be told of. Those of
    /// the only release of a pool are kept back until it has another one.
    pub fn take_untold(&mut self, now: Time) -> Vec<(StreamId, Release)> {
        let pools = &self.pools;
        let is_only = |release: Release| {
            let mut pools = pools.iter();
            pools.any(|pool| pool.release == release && pool.has_settled(now))
        };
        let untold = self
            .untold
            .extract_if(.., |(_, release)| !is_only(*release));
        let untold: Vec<(StreamId, Release)> = untold.collect();
        if self.batch.is_empty() {
            self.batch_since = now;
        }
        self.batch.extend(&untold);
        untold
    }

    /// Takes out what further nodes are to be told once a batch is due. `order` returns the other nodes
    /// in the rendezvous order of a stream.
    pub fn take_batch(
        &mut self,
        now: Time,
        order: impl Fn(StreamId) -> Vec<Vm>,
    ) -> Vec<(Vm, Vec<(StreamId, Release)>)> {
        let waited = now.saturating_sub(self.batch_since);
        if waited < BATCH_INTERVAL {
            return Vec::new();
        }
        let streams = std::mem::take(&mut self.batch);
        let orders: Vec<Vec<Vm>> = streams.iter().map(|(stream, _)| order(*stream)).collect();
        let mut budget = BATCH_BYTES_PER_SECOND * BATCH_INTERVAL.as_secs_f64();
        let mut lists: Vec<(Vm, Vec<(StreamId, Release)>)> = Vec::new();
        for position in 1..RECORDERS {
            for (record, order) in streams.iter().zip(&orders) {
                let Some(vm) = order.get(position) else {
                    continue;
                };
                let known = lists.iter().position(|(known, _)| known == vm);
                budget -= RECORD_BYTES + known.map_or(DATAGRAM_BYTES, |_| 0.0);
                if budget < 0.0 {
                    return lists;
                }
                match known {
                    Some(index) => lists[index].1.push(*record),
                    None => lists.push((vm.clone(), vec![*record])),
                }
            }
        }
        lists
    }

    /// Forgets streams that have ended for certain.
    pub fn expire(&mut self, now: Time) {
        self.records.retain(|record| now < record.until);
        let records = &self.records;
        self.untold
            .retain(|(stream, _)| position(records, *stream).is_ok());
    }

    fn insert(&mut self, now: Time, stream: StreamId, release: Release) {
        let record = Record {
            stream,
            release,
            until: now + STREAM_AGE_MAX,
        };
        match self.position(stream) {
            // The first word counts: a stream has one beginning.
            Ok(index) => self.records[index].until = record.until,
            Err(index) => {
                self.records.insert(index, record);
                self.drop_surplus();
            }
        }
    }

    fn drop_surplus(&mut self) {
        if self.records.len() <= RECORDS_MAX {
            return;
        }
        let mut ends: Vec<Time> = self.records.iter().map(|record| record.until).collect();
        let (_, median, _) = ends.select_nth_unstable(RECORDS_MAX / 2);
        let median = *median;
        self.records.retain(|record| record.until > median);
    }

    fn position(&self, stream: StreamId) -> Result<usize, usize> {
        position(&self.records, stream)
    }
}

fn position(records: &[Record], stream: StreamId) -> Result<usize, usize> {
    records.binary_search_by_key(&stream, |record| record.stream)
}
