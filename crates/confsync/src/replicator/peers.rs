//! Requests revisions from peers and answers their requests.

use std::time::Duration;

use bytes::Bytes;
use wire::{Revision, Time, View, Vm};

use super::fetch::PIECE_BYTES;
use super::store::Set;
use super::{Action, Replicator};
use crate::manifest::{Digest, Id, Manifest, Part};
use crate::message::{Form, Message, Selector};
use crate::patch::Patch;

/// Maximum total size of patches in one update, in bytes.
const PATCH_BYTES: usize = 16 << 10;

/// Initial and maximum wait for an answer to a request.
const REQUEST_WAIT: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(2));

/// Requests after which the wait doubles. With fewer, a few lost messages would delay the fetch.
const REQUESTS_PER_DOUBLING: u32 = 6;

/// Newest revision reported by each peer, sorted by VM, and the state of requests for newer ones.
#[derive(Clone, Debug, Default)]
pub(super) struct Peers {
    reported: Vec<(Vm, Revision)>,
    next_request: Time,
    requests: u32,
    // The newest known revision at the last request; a higher one resets the backoff.
    known_at_request: Revision,
    // Set when a delta could not be applied; the next request is for a whole manifest.
    request_whole: bool,
}

impl Peers {
    pub(super) fn record(&mut self, vm: Vm, revision: Revision) {
        match self.reported.binary_search_by(|(known, _)| known.cmp(&vm)) {
            Ok(index) => self.reported[index].1 = revision,
            Err(index) => self.reported.insert(index, (vm, revision)),
        }
    }

    /// Removes peers that are no longer in the view.
    pub(super) fn retain_in_view(&mut self, view: &View) {
        self.reported.retain(|(vm, _)| view.peer(vm).is_some());
    }

    pub(super) fn newer_than(&self, floor: Revision) -> impl Iterator<Item = &(Vm, Revision)> {
        self.reported
            .iter()
            .filter(move |(_, reported)| *reported > floor)
    }
}

impl Replicator {
    /// Requests the newest revision from a peer that reported a newer one, if a request is due.
    pub(super) fn request_newest(&mut self, now: Time, out: &mut impl Extend<Action>) {
        let floor = self.newest_known_revision();
        if floor > self.peers.known_at_request {
            self.peers.known_at_request = floor;
            self.peers.requests = 0;
            self.peers.next_request = now;
            self.peers.request_whole = false;
        }
        let candidates: Vec<Vm> = self
            .peers
            .newer_than(floor)
            .map(|(vm, _)| vm.clone())
            .collect();
        if candidates.is_empty() || now < self.peers.next_request {
            return;
        }
        let wait = self.backoff(
            REQUEST_WAIT.0,
            self.peers.requests / REQUESTS_PER_DOUBLING,
            REQUEST_WAIT.1,
        );
        self.peers.requests += 1;
        self.peers.next_request = now + wait;
        let to = self.sample(candidates, 1);
        self.send_requests(to, Selector::Newest, out);
    }

    pub(super) fn send_requests(
        &self,
        to: Vec<Vm>,
        selector: Selector,
        out: &mut impl Extend<Action>,
    ) {
        let have = self.store.newest().filter(|_| !self.peers.request_whole);
        out.extend(to.into_iter().map(|to| Action::Send {
            to,
            message: Message::Request { have, selector },
        }));
    }

    pub(super) fn request_wake(&self) -> Option<Time> {
        let mut newer = self.peers.newer_than(self.newest_known_revision());
        newer.next().map(|_| self.peers.next_request)
    }

    /// Handles a message from a peer.
    pub(super) fn receive(
        &mut self,
        now: Time,
        from: Vm,
        message: Message,
        out: &mut impl Extend<Action>,
    ) {
        match message {
            Message::Offer(id) => self.handle_offer(now, from, id, out),
            Message::Request { have, selector } => self.answer_request(from, have, selector, out),
            Message::Same { newest } => {
                self.answered(&from, newest.is_some());
                match newest {
                    Some(id) => self.handle_offer(now, from, id, out),
                    None => self.peers.record(from, 0),
                }
            }
            Message::Update {
                selector,
                id,
                form,
                patches,
            } => {
                self.answered(&from, true);
                self.handle_update(now, &from, selector, (id, form), &patches, out);
            }
            Message::RequestPiece { digest, offset } => self.send_piece(from, digest, offset, out),
            Message::Piece {
                digest,
                offset,
                bytes,
            } => self.handle_piece(now, &from, digest, offset, &bytes),
            Message::PartUnavailable { digest } => self.handle_unavailable(now, &from, digest),
        }
    }

    fn handle_offer(&mut self, now: Time, from: Vm, id: Id, out: &mut impl Extend<Action>) {
        if let Some(floor) = self.newest_known()
            && floor.revision == id.revision
            && floor != id
        {
            self.conflict(floor, id, out);
        }
        if let Some(fetch) = &mut self.fetch
            && fetch.id == id
        {
            fetch.add_holder(now, &from);
        }
        self.peers.record(from, id.revision);
    }

    fn answer_request(
        &self,
        to: Vm,
        have: Option<Id>,
        selector: Selector,
        out: &mut impl Extend<Action>,
    ) {
        let newest = self.store.newest();
        let requested = match selector {
            Selector::Newest => newest,
            Selector::InForce => self.store.in_force(),
        };
        let set = requested.and_then(|id| self.store.set(id));
        let message = match set {
            Some(set) if Some(set.id) != have => {
                let base = have.and_then(|id| self.store.set(id));
                let (form, patches) = delta(base, set);
                Message::Update {
                    selector,
                    id: set.id,
                    form,
                    patches,
                }
            }
            _ => Message::Same { newest },
        };
        out.extend([Action::Send { to, message }]);
    }

    fn handle_update(
        &mut self,
        now: Time,
        from: &Vm,
        selector: Selector,
        (id, form): (Id, Form),
        patches: &[(u32, Patch)],
        out: &mut impl Extend<Action>,
    ) {
        if selector == Selector::Newest {
            self.peers.record(from.clone(), id.revision);
        }
        let base = match &form {
            Form::Whole(_) => None,
            Form::Delta { base, .. } => Some(*base),
        };
        let manifest = self
            .decode_manifest(form)
            .filter(|manifest| manifest.id() == id);
        let Some(manifest) = manifest else {
            self.peers.request_whole = true;
            return;
        };
        self.handle_manifest(now, manifest, Some(from), selector, out);
        if let Some(base) = base {
            self.apply_patches(now, id, base, patches);
        }
    }

    fn decode_manifest(&self, form: Form) -> Option<Manifest> {
        let manifest = match form {
            Form::Whole(manifest) => manifest,
            Form::Delta {
                base,
                revision,
                parts,
            } => {
                let mut manifest = self.store.set(base)?.manifest.clone();
                manifest.revision = revision;
                for (index, part) in parts {
                    *manifest.parts.get_mut(index as usize)? = part;
                }
                manifest
            }
        };
        manifest.checked().ok()
    }

    fn apply_patches(&mut self, now: Time, id: Id, base: Id, patches: &[(u32, Patch)]) {
        let (Some(fetch), Some(base)) = (&mut self.fetch, self.store.set(base)) else {
            return;
        };
        if fetch.id != id {
            return;
        }
        for (index, patch) in patches {
            let index = *index as usize;
            let old = base.bodies.get(index);
            if let Some(new) = old.and_then(|old| patch.apply(old)) {
                fetch.put(index, new);
            }
        }
        fetch.delta_applied(now);
    }

    fn send_piece(&self, to: Vm, digest: Digest, offset: u32, out: &mut impl Extend<Action>) {
        let fetched = self.fetch.as_ref().and_then(|fetch| fetch.find(digest));
        let checking = self.checking.as_ref().and_then(|set| {
            let mut parts = set.manifest.parts.iter();
            let index = parts.position(|part| part.digest == digest)?;
            set.bodies.get(index)
        });
        let body = self.store.find(digest).or(checking).or(fetched);
        let message = match body.and_then(|body| piece(body, offset)) {
            Some(bytes) => Message::Piece {
                digest,
                offset,
                bytes,
            },
            None => Message::PartUnavailable { digest },
        };
        out.extend([Action::Send { to, message }]);
    }
}

fn piece(body: &Bytes, offset: u32) -> Option<Bytes> {
    let start = offset as usize;
    let end = body.len().min(start + PIECE_BYTES);
    (start <= end).then(|| body.slice(start..end))
}

/// Encodes `set` as a delta from `base` if both have the same number of parts, otherwise whole.
fn delta(base: Option<&Set>, set: &Set) -> (Form, Vec<(u32, Patch)>) {
    let count = set.manifest.parts.len();
    let Some(base) = base.filter(|base| base.manifest.parts.len() == count) else {
        return (Form::Whole(set.manifest.clone()), Vec::new());
    };
    let mut parts: Vec<(u32, Part)> = Vec::new();
    let mut patches = Vec::new();
    let mut remaining = PATCH_BYTES;
    for (index, part) in (0..).zip(&set.manifest.parts) {
        let at = index as usize;
        let old = &base.manifest.parts[at];
        if old == part {
            continue;
        }
        parts.push((index, part.clone()));
        if old.digest == part.digest {
            continue;
        }
        let patch = Patch::between(&base.bodies[at], &set.bodies[at]);
        if patch.middle.len() <= remaining {
            remaining -= patch.middle.len();
            patches.push((index, patch));
        }
    }
    let form = Form::Delta {
        base: base.id,
        revision: set.id.revision,
        parts,
    };
    (form, patches)
}
