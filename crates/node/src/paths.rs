//! Over which way upstreams are reached: directly, or through a node that reaches them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::info;
use upstream::path::{Control, Peer, Way};
use upstream::relay::server::Gate;
use wire::Upstream;

use crate::journal::DECISION;
use crate::shared::Shared;

/// Time between two looks at the ways.
const TICK: Duration = Duration::from_millis(50);

/// Direct connections that are tried in one turn.
const PROBES_MAX: usize = 8;

/// Takes over which nodes open connections for this one.
pub(crate) fn show_peers(shared: &Shared) {
    // All nodes use the same port.
    let Some(port) = shared.settings.listen.relay.map(|address| address.port()) else {
        return;
    };
    let (view, directory) = (shared.view.load(), shared.directory.load());
    let live = view.live().filter_map(|peer| {
        let entry = directory.entry(&peer.incarnation.vm)?;
        Some(Peer {
            vm: entry.vm.clone(),
            zone: entry.zone.clone(),
            address: SocketAddr::new(entry.peers.ip(), port),
        })
    });
    shared.router.set_peers(live);
}

/// Takes over which upstreams ought to take connections.
pub(crate) fn show_upstreams(shared: &Shared) {
    let directory = shared.directory.load();
    let staying = directory.runners().iter().filter(|runner| !runner.leaving);
    shared.router.set_controls(staying.map(|runner| Control {
        upstream: runner.id.clone(),
        address: runner.address,
    }));
}

/// Logs changes of ways, and tries direct ones where that is due.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        tick(&shared);
        tokio::time::sleep(TICK).await;
    }
}

fn tick(shared: &Shared) {
    for change in shared.router.take_changes() {
        let (way, peer) = match &change.way {
            Way::Direct => ("direct", ""),
            Way::Peer(peer) => ("peer", &**peer),
        };
        info!(target: DECISION, upstream:% = change.upstream, way, peer; "path");
    }
    let directory = shared.directory.load();
    for _ in 0..PROBES_MAX {
        let Some(upstream) = shared.router.due() else {
            return;
        };
        match directory.runner(&upstream) {
            Some(runner) => {
                let (router, address) = (shared.router.clone(), runner.address);
                tokio::spawn(async move { router.probe(&upstream, address).await });
            }
            None => shared.router.forget(&upstream),
        }
    }
}

/// Says what other nodes may have opened by this one.
#[derive(Clone)]
pub(crate) struct Admission(pub Arc<Shared>);

impl Gate for Admission {
    fn admits(&self, upstream: &Upstream, address: SocketAddr) -> bool {
        let directory = self.0.directory.load();
        let known = directory.runner(upstream);
        !self.0.leaving()
            && known.is_some_and(|runner| runner.address == address && !runner.leaving)
    }
}

impl Shared {
    /// Returns the number of connections of other nodes that are open.
    pub fn relaying(&self) -> u64 {
        let open = self.relayed.open.load(Ordering::Relaxed);
        u64::try_from(open).unwrap_or_default()
    }
}
