//! Over which way upstreams are reached: directly, or through a node that reaches them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use exchange::owner;
use log::info;
use node::journal::DECISION;
use upstream::path::{Change, Control, Peer, Way};
use upstream::relay::server::Gate;
use wire::Upstream;

use super::{Hub, Peers};
use crate::dialect::Dialect;

/// Direct connections that are tried in one turn.
const PROBES_MAX: usize = 8;

impl<D: Dialect> Hub<D> {
    /// Takes over which nodes open connections for this one.
    pub fn set_relays(&self, peers: &Peers) {
        // All nodes use the same port.
        let Some(port) = self.exchange.relay.map(|address| address.port()) else {
            return;
        };
        let live = peers.live.iter().filter_map(|vm| peers.record(vm));
        self.router.set_peers(live.map(|record| Peer {
            vm: record.vm.clone(),
            zone: record.zone.clone(),
            address: SocketAddr::new(record.peers.ip(), port),
        }));
    }

    /// Takes over which upstreams ought to take connections.
    pub fn set_controls(&self) {
        let desk = self.desk();
        let eligible = desk
            .fleet
            .upstreams()
            .iter()
            .filter(|known| known.is_eligible());
        self.router.set_controls(eligible.map(|known| Control {
            upstream: known.listing.id.clone(),
            address: known.listing.address,
        }));
    }

    /// Logs changes of ways, and tries a direct one where that is due.
    pub fn tick_paths(self: &Arc<Self>) {
        for change in self.router.take_changes() {
            let (way, peer) = match &change.way {
                Way::Direct => ("direct", ""),
                Way::Peer(peer) => ("peer", &**peer),
            };
            info!(target: DECISION, upstream:% = change.upstream, way, peer; "path");
            self.tell_owner(&change);
        }
        for _ in 0..PROBES_MAX {
            let Some(upstream) = self.router.due() else {
                return;
            };
            match self.address_of(&upstream) {
                Some(address) => {
                    let router = self.router.clone();
                    tokio::spawn(async move { router.probe(&upstream, address).await });
                }
                None => self.router.forget(&upstream),
            }
        }
    }

    /// Tells who orders at an engine whether orders reach it: they go through no peer.
    fn tell_owner(self: &Arc<Self>, change: &Change) {
        self.drive(owner::Event::Reach {
            engine: change.upstream.clone(),
            direct: change.way == Way::Direct,
        });
    }

    /// Returns how many connections of other nodes are open.
    pub fn relaying(&self) -> i64 {
        self.relayed.open.load(Ordering::Relaxed)
    }

    fn address_of(&self, upstream: &Upstream) -> Option<SocketAddr> {
        let desk = self.desk();
        let known = desk.fleet.upstream(upstream);
        known.map(|known| known.listing.address)
    }
}

/// Says what other nodes may have opened by this one.
pub struct Admission<D>(pub Arc<Hub<D>>);

impl<D> Clone for Admission<D> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<D: Dialect> Gate for Admission<D> {
    fn admits(&self, upstream: &Upstream, address: SocketAddr) -> bool {
        if self.0.leaving() {
            return false;
        }
        let desk = self.0.desk();
        let known = desk.fleet.upstream(upstream);
        known.is_some_and(|known| known.listing.address == address && known.is_eligible())
    }
}
