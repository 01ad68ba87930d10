//! Requests revisions from peers and answers their requests.

use std::time::Duration;

use bytes::Bytes;
use wire::{Revision, Time, View, Vm};

use super::fetch::PIECE_BYTES;
use super::store::Set;
use super::{Action, Replicator};
use crate::manifest::{Digest, Id, Manifest, Part};
use crate::message::{Form, Message, Pick};
use crate::patch::Patch;

/// Maximum total size of patches in one update, in bytes.
const PATCH_BYTES: usize = 16 << 10;

/// Initial and maximum wait for an answer.
const ASK: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(2));

/// Requests after which the wait doubles. With fewer, a few lost messages would delay the fetch.
const ASKS_PER_DOUBLING: u32 = 6;

/// Newest revisions reported by peers, sorted by VM.
#[derive(Clone, Debug, Default)]
pub(super) struct Peers {
    told: Vec<(Vm, Revision)>,
    next_ask: Time,
    asks: u32,
    // The newest known revision at the last request; a higher one resets the backoff.
    asked_at: Revision,
    // Whether the last delta could not be applied, so that whole manifests are requested.
    whole: bool,
}

impl Peers {
    pub(super) fn told(&mut self, vm: Vm, revision: Revision) {
        match self.told.binary_search_by(|(known, _)| known.cmp(&vm)) {
            Ok(index) => self.told[index].1 = revision,
            Err(index) => self.told.insert(index, (vm, revision)),
        }
    }

    /// Removes peers that are no longer in the view.
    pub(super) fn keep(&mut self, view: &View) {
        self.told.retain(|(vm, _)| view.peer(vm).is_some());
    }

    pub(super) fn ahead(&self, floor: Revision) -> impl Iterator<Item = &(Vm, Revision)> {
        self.told.iter().filter(move |(_, told)| *told > floor)
    }
}

impl Replicator {
    /// Requests the newest revision from a peer that is ahead, if a request is due.
    pub(super) fn ask(&mut self, now: Time, out: &mut impl Extend<Action>) {
        let floor = self.newest_known_revision();
        if floor > self.peers.asked_at {
            self.peers.asked_at = floor;
            self.peers.asks = 0;
            self.peers.next_ask = now;
            self.peers.whole = false;
        }
        let ahead: Vec<Vm> = self.peers.ahead(floor).map(|(vm, _)| vm.clone()).collect();
        if ahead.is_empty() || now < self.peers.next_ask {
            return;
        }
        let wait = self.backoff(ASK.0, self.peers.asks / ASKS_PER_DOUBLING, ASK.1);
        self.peers.asks += 1;
        self.peers.next_ask = now + wait;
        let to = self.sample(ahead, 1);
        self.send_asks(to, Pick::Newest, out);
    }

    pub(super) fn send_asks(&self, to: Vec<Vm>, pick: Pick, out: &mut impl Extend<Action>) {
        let have = self.store.newest().filter(|_| !self.peers.whole);
        out.extend(to.into_iter().map(|to| Action::Send {
            to,
            message: Message::Ask { have, pick },
        }));
    }

    pub(super) fn ask_wake(&self) -> Option<Time> {
        let mut ahead = self.peers.ahead(self.newest_known_revision());
        ahead.next().map(|_| self.peers.next_ask)
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
            Message::Offer(id) => self.offered(now, from, id, out),
            Message::Ask { have, pick } => self.answer(from, have, pick, out),
            Message::Same { newest } => {
                self.answered(&from, newest.is_some());
                match newest {
                    Some(id) => self.offered(now, from, id, out),
                    None => self.peers.told(from, 0),
                }
            }
            Message::Update {
                pick,
                id,
                form,
                patches,
            } => {
                self.answered(&from, true);
                self.update(now, &from, pick, (id, form), &patches, out);
            }
            Message::Want { digest, offset } => self.send_piece(from, digest, offset, out),
            Message::Piece {
                digest,
                offset,
                bytes,
            } => self.piece(now, &from, digest, offset, &bytes),
            Message::Lack { digest } => self.lack(now, &from, digest),
        }
    }

    fn offered(&mut self, now: Time, from: Vm, id: Id, out: &mut impl Extend<Action>) {
        if let Some(floor) = self.newest_known()
            && floor.revision == id.revision
            && floor != id
        {
            self.conflict(floor, id, out);
        }
        if let Some(fetch) = &mut self.fetch
            && fetch.id == id
        {
            fetch.held_by(now, &from);
        }
        self.peers.told(from, id.revision);
    }

    fn answer(&self, to: Vm, have: Option<Id>, pick: Pick, out: &mut impl Extend<Action>) {
        let newest = self.store.newest();
        let wanted = match pick {
            Pick::Newest => newest,
            Pick::Force => self.store.force(),
        };
        let set = wanted.and_then(|id| self.store.set(id));
        let message = match set {
            Some(set) if Some(set.id) != have => {
                let base = have.and_then(|id| self.store.set(id));
                let (form, patches) = change(base, set);
                Message::Update {
                    pick,
                    id: set.id,
                    form,
                    patches,
                }
            }
            _ => Message::Same { newest },
        };
        out.extend([Action::Send { to, message }]);
    }

    fn update(
        &mut self,
        now: Time,
        from: &Vm,
        pick: Pick,
        (id, form): (Id, Form),
        patches: &[(u32, Patch)],
        out: &mut impl Extend<Action>,
    ) {
        if pick == Pick::Newest {
            self.peers.told(from.clone(), id.revision);
        }
        let base = match &form {
            Form::Whole(_) => None,
            Form::Change { base, .. } => Some(*base),
        };
        let manifest = self.manifest(form).filter(|manifest| manifest.id() == id);
        let Some(manifest) = manifest else {
            self.peers.whole = true;
            return;
        };
        self.handle_manifest(now, manifest, Some(from), pick, out);
        if let Some(base) = base {
            self.apply(now, id, base, patches);
        }
    }

    fn manifest(&self, form: Form) -> Option<Manifest> {
        let manifest = match form {
            Form::Whole(manifest) => manifest,
            Form::Change {
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

    fn apply(&mut self, now: Time, id: Id, base: Id, patches: &[(u32, Patch)]) {
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
            None => Message::Lack { digest },
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
fn change(base: Option<&Set>, set: &Set) -> (Form, Vec<(u32, Patch)>) {
    let count = set.manifest.parts.len();
    let Some(base) = base.filter(|base| base.manifest.parts.len() == count) else {
        return (Form::Whole(set.manifest.clone()), Vec::new());
    };
    let mut parts: Vec<(u32, Part)> = Vec::new();
    let mut patches = Vec::new();
    let mut room = PATCH_BYTES;
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
        if patch.middle.len() <= room {
            room -= patch.middle.len();
            patches.push((index, patch));
        }
    }
    let form = Form::Change {
        base: base.id,
        revision: set.id.revision,
        parts,
    };
    (form, patches)
}
