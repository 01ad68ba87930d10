//! Adapters are so large that a runner's memory holds fewer of them than it has places.

use std::sync::Arc;

use crate::Verdict;
use crate::advice;
use crate::clients::Clients;
use crate::engine;
use crate::nodes::{Node, await_ready};
use crate::store::Store;
use crate::world::{at, note, now, until};

/// Megabytes of an adapter, and those of the site.
const LARGE_MB: u64 = 300;
const USUAL_MB: u64 = 12;

pub fn play(folder: &str, trouble: bool) -> Verdict {
    let adapter_mb = if trouble { LARGE_MB } else { USUAL_MB };
    let (store, address) = Store::start(at(200, 0));
    let engines = engine::site(&store, &Arc::default(), adapter_mb);
    let mut nodes = Node::site(3, address, folder);
    if !await_ready(&nodes, 20_000) {
        return Verdict::NotRun;
    }
    // All machines are in touch by then.
    until(now() + 5_000);
    let fronts: Vec<_> = nodes.iter().map(Node::front).collect();
    let clients = Clients::start(&fronts, 10, advice::requests());
    let began = now();
    let mut seconds = 0;
    // One crash is enough.
    while seconds < 30 && engines.iter().all(|engine| !engine.is_overfull()) {
        seconds += 1;
        until(began + seconds * 1_000);
    }
    let ended = clients.end();
    let dead = nodes.iter_mut().any(Node::has_ended);
    drop(nodes);
    let serves = engine::record(&ended, &engines);
    let overfull = engines.iter().filter(|engine| engine.is_overfull()).count();
    note(&format!(
        "{overfull} runners were ordered more than they hold"
    ));
    if overfull > 0 {
        Verdict::Broken
    } else if dead || !serves {
        Verdict::NotRun
    } else {
        Verdict::Held
    }
}
