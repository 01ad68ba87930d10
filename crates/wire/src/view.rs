//! One node's present belief about the nodes of its region.
//!
//! Views of different nodes differ at any moment; nothing safe may rest on their being equal.

use serde::{Deserialize, Serialize};

use crate::id::{Incarnation, Vm, Zone};
use crate::rank;

/// What a node believes of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// Listed by the platform and answering heartbeats.
    Live,
    /// Listed, but silent for longer than the suspicion time; it may only be paused or cut off.
    Suspect,
    /// Shutting down: it finishes what it has and owns nothing.
    Leaving,
}

/// One node of the region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// The process that was last heard of on that VM.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: Zone,
    /// What is believed of it.
    pub state: State,
}

/// The nodes of one region, this one included, sorted by VM id.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    peers: Vec<Peer>,
}

impl View {
    /// Makes a view of `peers`, which need not be sorted; of two entries for one VM the one with
    /// the later start stays.
    pub fn new(peers: impl IntoIterator<Item = Peer>) -> Self {
        let mut peers: Vec<Peer> = peers.into_iter().collect();
        peers.sort_by(|a, b| {
            let (a, b) = (&a.incarnation, &b.incarnation);
            a.vm.cmp(&b.vm).then_with(|| b.start.cmp(&a.start))
        });
        peers.dedup_by(|later, kept| later.incarnation.vm == kept.incarnation.vm);
        Self { peers }
    }

    /// Returns every peer, sorted by VM id.
    pub fn peers(&self) -> &[Peer] {
        &self.peers
    }

    /// Returns the peer on `vm`.
    pub fn peer(&self, vm: &str) -> Option<&Peer> {
        let index = self
            .peers
            .binary_search_by(|peer| (*peer.incarnation.vm).cmp(vm))
            .ok()?;
        self.peers.get(index)
    }

    /// Tells whether `incarnation` is the one last heard of on its VM.
    pub fn knows(&self, incarnation: &Incarnation) -> bool {
        self.peer(&incarnation.vm)
            .is_some_and(|peer| peer.incarnation == *incarnation)
    }

    /// Returns the peers in state [`State::Live`].
    pub fn live(&self) -> impl Iterator<Item = &Peer> {
        self.peers.iter().filter(|peer| peer.state == State::Live)
    }

    /// Returns the VM that owns the thing named `name`: the first live one in rendezvous order.
    pub fn owner(&self, name: &str) -> Option<&Vm> {
        let live = self.live().map(|peer| &peer.incarnation.vm);
        rank::first(rank::hash(name), live)
    }
}
