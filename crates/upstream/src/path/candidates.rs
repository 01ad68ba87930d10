//! The peers that are asked to open a connection.

use std::net::SocketAddr;

use wire::{Time, Upstream, Vm, Zone, rank};

use super::{Paths, State};

/// Peers that are asked for one connection at most.
const CANDIDATES_MAX: usize = 8;

/// Peers that have failed and are asked again, where no other one is left, at most.
const RESORTS_MAX: usize = 2;

/// A live peer that opens connections for others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its VM.
    pub vm: Vm,
    /// Its availability zone.
    pub zone: Zone,
    /// Where it is asked for connections.
    pub address: SocketAddr,
}

impl AsRef<str> for Peer {
    fn as_ref(&self) -> &str {
        &self.vm
    }
}

impl Paths {
    /// Returns the peers to ask for a connection to `upstream`, in this order: the one that opened the
    /// last one, then those of this availability zone and of the others in turn, since a whole
    /// availability zone may be partitioned.
    pub fn candidates(&self, now: Time, upstream: &Upstream) -> Vec<Peer> {
        let state = self.find(upstream);
        let remembered = state
            .and_then(|state| state.relay.as_ref())
            .and_then(|vm| self.peer(vm));
        let fits = |peer: &&Peer| {
            let known = remembered.is_some_and(|known| known.vm == peer.vm);
            !known && !state.is_some_and(|state| state.avoids(now, &peer.vm))
        };
        let key = rank::hash(format!("{} {upstream}", self.me));
        let ranked = |near: bool| {
            let peers = self.peers.iter().filter(fits);
            let peers = peers.filter(move |peer| (peer.zone == self.zone) == near);
            rank::top(key, peers, CANDIDATES_MAX)
        };
        let (near, far) = (ranked(true), ranked(false));
        let longest = near.len().max(far.len());
        let in_turn = (0..longest).flat_map(|index| [near.get(index), far.get(index)]);
        let others = in_turn.flatten().copied();
        let all = remembered.into_iter().chain(others);
        all.take(CANDIDATES_MAX).cloned().collect()
    }

    /// Returns the peers to ask once all of [`Paths::candidates`] have failed, the one that failed first
    /// of all first: a peer that was late once may be the only one that reaches the upstream.
    pub fn last_resorts(&self, now: Time, upstream: &Upstream) -> Vec<Peer> {
        let avoided = self.find(upstream).map(|state| &state.avoided[..]);
        let avoided = avoided.unwrap_or_default().iter();
        let mut avoided: Vec<_> = avoided.filter(|known| now < known.until).collect();
        avoided.sort_by_key(|known| known.until);
        let live = avoided.into_iter().filter_map(|known| self.peer(&known.vm));
        live.take(RESORTS_MAX).cloned().collect()
    }
}

impl State {
    fn avoids(&self, now: Time, vm: &str) -> bool {
        let mut avoided = self.avoided.iter();
        avoided.any(|known| *known.vm == *vm && now < known.until)
    }
}
