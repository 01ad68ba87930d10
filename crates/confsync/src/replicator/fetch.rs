//! Fetches the missing parts of a newer revision.

use std::time::Duration;

use bytes::Bytes;
use wire::{Time, Vm, rank};

use super::store::{Set, Store, Verdict};
use super::{Action, Replicator};
use crate::manifest::{Digest, Id, Manifest};
use crate::message::{Message, Pick};
use crate::note::Note;

/// Maximum size of a piece, which is sent in one message.
pub(super) const PIECE_BYTES: usize = 32 << 10;

/// Number of parts fetched concurrently.
const WINDOW: usize = 8;

/// Time that a peer has to send a piece.
const PIECE_TIMEOUT: Duration = Duration::from_millis(400);

/// Requests for the delta before parts are fetched whole.
const CHANGE_ASKS: u32 = 3;

/// Time that a peer has to send the delta.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(200);

/// Time that the driver has to finish a read before another source is tried.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Every n-th attempt goes to the platform even if peers have the revision.
const PLATFORM_EVERY: u32 = 4;

/// Head start that each watcher of the region has over the next one in reading a part from the
/// platform, so that most of them get it from a peer instead.
const HEAD_START: Duration = Duration::from_millis(400);

/// Initial and maximum wait after a failed read.
const RETRY: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(5));

#[derive(Clone, Debug, PartialEq, Eq)]
enum Source {
    Unassigned,
    Peer(Vm),
    Platform,
}

/// The fetch of one part.
#[derive(Clone, Debug)]
struct PartFetch {
    index: usize,
    digest: Digest,
    received: Vec<u8>,
    source: Source,
    due: Time,
    tries: u32,
}

/// The fetch of one revision.
#[derive(Clone, Debug)]
pub(super) struct Fetch {
    pub(super) id: Id,
    manifest: Manifest,
    bodies: Vec<Option<Bytes>>,
    holders: Vec<Vm>,
    since: Time,
    pulls: Vec<PartFetch>,
    // Requests for the delta so far.
    asks: u32,
}

impl Fetch {
    pub(super) fn new(now: Time, manifest: Manifest) -> Self {
        let parts = manifest.parts.iter().enumerate();
        let pulls = parts.map(|(index, part)| PartFetch {
            index,
            digest: part.digest,
            received: Vec::new(),
            source: Source::Unassigned,
            due: now,
            tries: 0,
        });
        Self {
            id: manifest.id(),
            bodies: vec![None; manifest.parts.len()],
            holders: Vec::new(),
            since: now,
            pulls: pulls.collect(),
            asks: 0,
            manifest,
        }
    }

    /// Copies the parts that the store already has.
    pub(super) fn fill(&mut self, store: &Store) {
        let bodies = &mut self.bodies;
        self.pulls.retain(|pull| {
            let body = store.body(pull.digest, pull.index).cloned();
            bodies[pull.index] = body;
            bodies[pull.index].is_none()
        });
    }

    pub(super) fn held_by(&mut self, now: Time, vm: &Vm) {
        if !self.holders.contains(vm) {
            self.holders.push(vm.clone());
        }
        self.wake_idle(now);
    }

    /// Retries the parts without a source now.
    pub(super) fn wake_idle(&mut self, now: Time) {
        // A requested delta may still arrive.
        let due = if self.asks > 0 {
            now + CHANGE_TIMEOUT
        } else {
            now
        };
        let idle = self
            .pulls
            .iter_mut()
            .filter(|p| p.source == Source::Unassigned);
        idle.for_each(|pull| pull.due = pull.due.min(due));
    }

    pub(super) fn whole(&self) -> bool {
        self.pulls.is_empty()
    }

    pub(super) fn into_set(self) -> Set {
        Set {
            id: self.id,
            manifest: self.manifest,
            bodies: self.bodies.into_iter().flatten().collect(),
            verdict: Verdict::Pending,
        }
    }

    /// Returns a part that has been fetched already.
    pub(super) fn find(&self, digest: Digest) -> Option<&Bytes> {
        let mut parts = self.manifest.parts.iter();
        let index = parts.position(|part| part.digest == digest)?;
        self.bodies[index].as_ref()
    }

    /// Continues with whole parts after a delta that does not cover all of them.
    pub(super) fn delta_applied(&mut self, now: Time) {
        self.asks = CHANGE_ASKS;
        self.pulls.iter_mut().for_each(|pull| pull.due = now);
    }

    /// Stores a part's content. Returns whether it matches the manifest.
    pub(super) fn put(&mut self, index: usize, body: Bytes) -> bool {
        let Some(part) = self.manifest.parts.get(index) else {
            return false;
        };
        if Digest::of(&body) != part.digest || body.len() != part.bytes as usize {
            return false;
        }
        let digest = part.digest;
        for pull in self.pulls.iter().filter(|pull| pull.digest == digest) {
            self.bodies[pull.index] = Some(body.clone());
        }
        self.pulls.retain(|pull| pull.digest != digest);
        true
    }

    pub(super) fn wake(&self) -> Option<Time> {
        let first = self.pulls.iter().take(WINDOW);
        first.map(|pull| pull.due).min()
    }

    fn piece(&mut self, now: Time, from: &Vm, digest: Digest, offset: u32, bytes: &Bytes) -> bool {
        let Some(pull) = self.pulls.iter_mut().find(|pull| pull.digest == digest) else {
            return true;
        };
        if pull.source != Source::Peer(from.clone()) || pull.received.len() != offset as usize {
            return true;
        }
        let index = pull.index;
        let size = self.manifest.parts[index].bytes as usize;
        pull.received.extend_from_slice(bytes);
        pull.due = now;
        if pull.received.len() < size && !bytes.is_empty() {
            return true;
        }
        let whole = std::mem::take(&mut pull.received);
        pull.source = Source::Unassigned;
        self.put(index, whole.into())
    }
}

impl Replicator {
    /// Requests the parts that are due, up to [`WINDOW`] at a time.
    pub(super) fn pull(&mut self, now: Time, out: &mut impl Extend<Action>) {
        let Some(mut fetch) = self.fetch.take() else {
            return;
        };
        if fetch.wake().is_some_and(|due| due <= now) && !self.ask_change(now, &mut fetch, out) {
            for position in 0..fetch.pulls.len().min(WINDOW) {
                if fetch.pulls[position].due <= now {
                    self.pull_one(now, &mut fetch, position, out);
                }
            }
        }
        self.fetch = Some(fetch);
    }

    /// Requests the delta from a peer, which is smaller than whole parts. Returns whether a request
    /// was sent.
    fn ask_change(&mut self, now: Time, fetch: &mut Fetch, out: &mut impl Extend<Action>) -> bool {
        let idle = fetch
            .pulls
            .iter()
            .all(|pull| pull.source == Source::Unassigned);
        if fetch.asks >= CHANGE_ASKS || self.store.newest().is_none() || !idle {
            return false;
        }
        let holders = self.holders(fetch);
        let holder = self.sample(holders, 1);
        if holder.is_empty() {
            return false;
        }
        fetch.asks += 1;
        let due = now + CHANGE_TIMEOUT;
        fetch.pulls.iter_mut().for_each(|pull| pull.due = due);
        self.send_asks(holder, Pick::Newest, out);
        true
    }

    fn pull_one(
        &mut self,
        now: Time,
        fetch: &mut Fetch,
        position: usize,
        out: &mut impl Extend<Action>,
    ) {
        let platform_from = fetch.since + self.head_start(fetch.id);
        let holders = self.holders(fetch);
        let pull = &mut fetch.pulls[position];
        // A piece arrived; request the next one from the same peer.
        let goes_on = matches!(pull.source, Source::Peer(_)) && !pull.received.is_empty();
        let goes_on = goes_on && pull.tries == 0;
        if !goes_on {
            pull.source = self.choose(now, holders, platform_from, pull.tries);
        }
        match &pull.source {
            Source::Unassigned => pull.due = platform_from.max(now + HEAD_START),
            Source::Peer(to) => {
                pull.due = now + PIECE_TIMEOUT;
                out.extend([Action::Send {
                    to: to.clone(),
                    message: Message::Want {
                        digest: pull.digest,
                        offset: u32::try_from(pull.received.len()).unwrap_or(u32::MAX),
                    },
                }]);
            }
            Source::Platform => {
                pull.due = now + READ_TIMEOUT;
                let key = fetch.manifest.parts[pull.index].key.clone();
                self.platform.count();
                out.extend([Action::Read { key }]);
            }
        }
        fetch.pulls[position].tries += 1;
    }

    /// Returns the peers that should have the revision, including those already at a newer one.
    fn holders(&self, fetch: &Fetch) -> Vec<Vm> {
        let mut holders = fetch.holders.clone();
        let before = fetch.id.revision.saturating_sub(1);
        let told = self.peers.ahead(before).map(|(vm, _)| vm);
        holders.extend(told.cloned());
        holders.sort_unstable();
        holders.dedup();
        holders
    }

    fn choose(&mut self, now: Time, holders: Vec<Vm>, platform_from: Time, tries: u32) -> Source {
        let platform = holders.is_empty() || tries % PLATFORM_EVERY == PLATFORM_EVERY - 1;
        if platform && now >= platform_from {
            return Source::Platform;
        }
        let holder = self.sample(holders, 1).pop();
        holder.map_or(Source::Unassigned, Source::Peer)
    }

    /// Returns how long this node waits for the watchers ranked before it to read the parts of `id`.
    fn head_start(&self, id: Id) -> Duration {
        if self.live_peers().is_empty() {
            return Duration::ZERO;
        }
        let watchers = self.watchers();
        let count = watchers.len();
        let ranked = rank::top(id.fingerprint, watchers, count);
        let place = ranked.iter().position(|vm| **vm == self.me);
        HEAD_START * u32::try_from(place.unwrap_or(count)).unwrap_or(u32::MAX)
    }

    pub(super) fn piece(
        &mut self,
        now: Time,
        from: &Vm,
        digest: Digest,
        offset: u32,
        bytes: &Bytes,
    ) {
        let Some(fetch) = &mut self.fetch else {
            return;
        };
        let sound = fetch.piece(now, from, digest, offset, bytes);
        let more = fetch.pulls.iter_mut().find(|pull| pull.digest == digest);
        if let Some(pull) = more.filter(|pull| pull.due == now) {
            pull.tries = 0;
        }
        if !sound {
            fetch.holders.retain(|vm| vm != from);
        }
    }

    pub(super) fn lack(&mut self, now: Time, from: &Vm, digest: Digest) {
        self.peers.told(from.clone(), 0);
        let Some(fetch) = &mut self.fetch else {
            return;
        };
        fetch.holders.retain(|vm| vm != from);
        let source = Source::Peer(from.clone());
        for pull in &mut fetch.pulls {
            if pull.digest == digest && pull.source == source {
                pull.due = now;
                pull.received.clear();
                pull.source = Source::Unassigned;
            }
        }
    }

    /// Handles the platform's value for a part's key. Returns whether the part was missing and the
    /// value does not match it.
    pub(super) fn part_read(
        &mut self,
        now: Time,
        key: &str,
        body: &Bytes,
        out: &mut impl Extend<Action>,
    ) -> bool {
        let Some(fetch) = &mut self.fetch else {
            return false;
        };
        let parts = fetch.manifest.parts.iter().enumerate();
        let named = parts.filter(|(_, part)| *part.key == *key);
        let indexes: Vec<usize> = named.map(|(index, _)| index).collect();
        let missing = |index: &usize| fetch.bodies[*index].is_none();
        let open: Vec<usize> = indexes.into_iter().filter(missing).collect();
        let took = open.iter().any(|index| fetch.put(*index, body.clone()));
        if open.is_empty() || took {
            return false;
        }
        out.extend([Action::Note(Note::Mismatch {
            key: key.to_owned(),
        })]);
        self.part_failed(now, key);
        true
    }

    /// Schedules a retry of the part under `key`.
    pub(super) fn part_failed(&mut self, now: Time, key: &str) {
        let Some(mut fetch) = self.fetch.take() else {
            return;
        };
        for pull in &mut fetch.pulls {
            let named = *fetch.manifest.parts[pull.index].key == *key;
            if named && pull.source == Source::Platform {
                let wait = if fetch.holders.is_empty() {
                    self.backoff(RETRY.0, pull.tries, RETRY.1)
                } else {
                    Duration::ZERO
                };
                pull.source = Source::Unassigned;
                pull.due = now + wait;
            }
        }
        self.fetch = Some(fetch);
    }
}
