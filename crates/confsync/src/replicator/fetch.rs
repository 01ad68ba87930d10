//! Fetches the missing parts of a newer revision.

use std::time::Duration;

use bytes::Bytes;
use wire::{Time, Vm, rank};

use super::store::{Set, Store, Verdict};
use super::{Action, Replicator};
use crate::manifest::{Digest, Id, Manifest};
use crate::message::{Message, Selector};
use crate::note::Note;

/// Maximum size of a piece, which is sent in one message.
pub(super) const PIECE_BYTES: usize = 32 << 10;

/// Number of parts fetched concurrently.
const WINDOW: usize = 8;

/// Time that a peer has to send a piece.
const PIECE_TIMEOUT: Duration = Duration::from_millis(400);

/// Number of delta requests before whole parts are fetched.
const MAX_DELTA_REQUESTS: u32 = 3;

/// Time that a peer has to send a delta.
const DELTA_TIMEOUT: Duration = Duration::from_millis(200);

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
    started_at: Time,
    part_fetches: Vec<PartFetch>,
    // Number of delta requests sent so far.
    delta_requests: u32,
}

impl Fetch {
    pub(super) fn new(now: Time, manifest: Manifest) -> Self {
        let parts = manifest.parts.iter().enumerate();
        let part_fetches = parts.map(|(index, part)| PartFetch {
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
            started_at: now,
            part_fetches: part_fetches.collect(),
            delta_requests: 0,
            manifest,
        }
    }

    /// Copies the parts that the store already has.
    pub(super) fn fill(&mut self, store: &Store) {
        let bodies = &mut self.bodies;
        self.part_fetches.retain(|part_fetch| {
            let body = store.body(part_fetch.digest, part_fetch.index).cloned();
            bodies[part_fetch.index] = body;
            bodies[part_fetch.index].is_none()
        });
    }

    pub(super) fn add_holder(&mut self, now: Time, vm: &Vm) {
        if !self.holders.contains(vm) {
            self.holders.push(vm.clone());
        }
        self.wake_unassigned(now);
    }

    /// Retries the parts without a source now.
    pub(super) fn wake_unassigned(&mut self, now: Time) {
        // A requested delta may still arrive.
        let due = if self.delta_requests > 0 {
            now + DELTA_TIMEOUT
        } else {
            now
        };
        let unassigned = self
            .part_fetches
            .iter_mut()
            .filter(|p| p.source == Source::Unassigned);
        unassigned.for_each(|part_fetch| part_fetch.due = part_fetch.due.min(due));
    }

    pub(super) fn is_complete(&self) -> bool {
        self.part_fetches.is_empty()
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

    /// Continues with whole parts if the delta did not cover all of them.
    pub(super) fn delta_applied(&mut self, now: Time) {
        self.delta_requests = MAX_DELTA_REQUESTS;
        self.part_fetches
            .iter_mut()
            .for_each(|part_fetch| part_fetch.due = now);
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
        for part_fetch in self
            .part_fetches
            .iter()
            .filter(|part_fetch| part_fetch.digest == digest)
        {
            self.bodies[part_fetch.index] = Some(body.clone());
        }
        self.part_fetches
            .retain(|part_fetch| part_fetch.digest != digest);
        true
    }

    pub(super) fn wake(&self) -> Option<Time> {
        let first = self.part_fetches.iter().take(WINDOW);
        first.map(|part_fetch| part_fetch.due).min()
    }

    fn add_piece(
        &mut self,
        now: Time,
        from: &Vm,
        digest: Digest,
        offset: u32,
        bytes: &Bytes,
    ) -> bool {
        let Some(part_fetch) = self
            .part_fetches
            .iter_mut()
            .find(|part_fetch| part_fetch.digest == digest)
        else {
            return true;
        };
        if part_fetch.source != Source::Peer(from.clone())
            || part_fetch.received.len() != offset as usize
        {
            return true;
        }
        let index = part_fetch.index;
        let size = self.manifest.parts[index].bytes as usize;
        part_fetch.received.extend_from_slice(bytes);
        part_fetch.due = now;
        if part_fetch.received.len() < size && !bytes.is_empty() {
            return true;
        }
        let content = std::mem::take(&mut part_fetch.received);
        part_fetch.source = Source::Unassigned;
        self.put(index, content.into())
    }
}

impl Replicator {
    /// Requests the parts that are due, up to [`WINDOW`] at a time.
    pub(super) fn fetch_parts(&mut self, now: Time, out: &mut impl Extend<Action>) {
        let Some(mut fetch) = self.fetch.take() else {
            return;
        };
        if fetch.wake().is_some_and(|due| due <= now) && !self.request_delta(now, &mut fetch, out) {
            for position in 0..fetch.part_fetches.len().min(WINDOW) {
                if fetch.part_fetches[position].due <= now {
                    self.fetch_part(now, &mut fetch, position, out);
                }
            }
        }
        self.fetch = Some(fetch);
    }

    /// Requests a delta from a peer, because it is smaller than whole parts. Returns whether a
    /// request was sent.
    fn request_delta(
        &mut self,
        now: Time,
        fetch: &mut Fetch,
        out: &mut impl Extend<Action>,
    ) -> bool {
        let unassigned = fetch
            .part_fetches
            .iter()
            .all(|part_fetch| part_fetch.source == Source::Unassigned);
        if fetch.delta_requests >= MAX_DELTA_REQUESTS
            || self.store.newest().is_none()
            || !unassigned
        {
            return false;
        }
        let holders = self.holders(fetch);
        let holder = self.sample(holders, 1);
        if holder.is_empty() {
            return false;
        }
        fetch.delta_requests += 1;
        let due = now + DELTA_TIMEOUT;
        fetch
            .part_fetches
            .iter_mut()
            .for_each(|part_fetch| part_fetch.due = due);
        self.send_requests(holder, Selector::Newest, out);
        true
    }

    fn fetch_part(
        &mut self,
        now: Time,
        fetch: &mut Fetch,
        position: usize,
        out: &mut impl Extend<Action>,
    ) {
        let platform_from = fetch.started_at + self.head_start(fetch.id);
        let holders = self.holders(fetch);
        let part_fetch = &mut fetch.part_fetches[position];
        // A piece arrived; request the next one from the same peer.
        let continues =
            matches!(part_fetch.source, Source::Peer(_)) && !part_fetch.received.is_empty();
        let continues = continues && part_fetch.tries == 0;
        if !continues {
            part_fetch.source = self.choose(now, holders, platform_from, part_fetch.tries);
        }
        match &part_fetch.source {
            Source::Unassigned => part_fetch.due = platform_from.max(now + HEAD_START),
            Source::Peer(to) => {
                part_fetch.due = now + PIECE_TIMEOUT;
                out.extend([Action::Send {
                    to: to.clone(),
                    message: Message::RequestPiece {
                        digest: part_fetch.digest,
                        offset: u32::try_from(part_fetch.received.len()).unwrap_or(u32::MAX),
                    },
                }]);
            }
            Source::Platform => {
                part_fetch.due = now + READ_TIMEOUT;
                let key = fetch.manifest.parts[part_fetch.index].key.clone();
                self.platform.count();
                out.extend([Action::Read { key }]);
            }
        }
        fetch.part_fetches[position].tries += 1;
    }

    /// Returns the peers that should have the revision, including those already at a newer one.
    fn holders(&self, fetch: &Fetch) -> Vec<Vm> {
        let mut holders = fetch.holders.clone();
        let before = fetch.id.revision.saturating_sub(1);
        let reported = self.peers.newer_than(before).map(|(vm, _)| vm);
        holders.extend(reported.cloned());
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

    pub(super) fn handle_piece(
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
        let valid = fetch.add_piece(now, from, digest, offset, bytes);
        let more = fetch
            .part_fetches
            .iter_mut()
            .find(|part_fetch| part_fetch.digest == digest);
        if let Some(part_fetch) = more.filter(|part_fetch| part_fetch.due == now) {
            part_fetch.tries = 0;
        }
        if !valid {
            fetch.holders.retain(|vm| vm != from);
        }
    }

    pub(super) fn handle_unavailable(&mut self, now: Time, from: &Vm, digest: Digest) {
        self.peers.record(from.clone(), 0);
        let Some(fetch) = &mut self.fetch else {
            return;
        };
        fetch.holders.retain(|vm| vm != from);
        let source = Source::Peer(from.clone());
        for part_fetch in &mut fetch.part_fetches {
            if part_fetch.digest == digest && part_fetch.source == source {
                part_fetch.due = now;
                part_fetch.received.clear();
                part_fetch.source = Source::Unassigned;
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
        for part_fetch in &mut fetch.part_fetches {
            let named = *fetch.manifest.parts[part_fetch.index].key == *key;
            if named && part_fetch.source == Source::Platform {
                let wait = if fetch.holders.is_empty() {
                    self.backoff(RETRY.0, part_fetch.tries, RETRY.1)
                } else {
                    Duration::ZERO
                };
                part_fetch.source = Source::Unassigned;
                part_fetch.due = now + wait;
            }
        }
        self.fetch = Some(fetch);
    }
}
