//! The operator announces new versions of adapters, one after the other.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use crate::Verdict;
use crate::advice;
use crate::clients::Clients;
use crate::engine;
use crate::nodes::{Node, await_ready};
use crate::store::Store;
use crate::world::{at, note, now, until};

const VERSION_MS: u64 = 5_000;

/// Megabytes of an adapter: those of the site. They never fill a runner.
const ADAPTER_MB: u64 = 12;

/// Versions that are announced at most, and the pause between two.
const ANNOUNCED: u64 = 12;
const PAUSE_MS: u64 = 4_000;

pub fn play(folder: &str, trouble: bool) -> Verdict {
    let (store, address) = Store::start(at(200, 0));
    let newest: Arc<Mutex<BTreeMap<String, u64>>> = Arc::default();
    let engines = engine::site(&store, &newest, ADAPTER_MB);
    let mut nodes = Node::site(3, address, folder);
    if !await_ready(&nodes, 20_000) {
        return Verdict::NotRun;
    }
    let fronts: Vec<_> = nodes.iter().map(Node::front).collect();
    let clients = Clients::start(&fronts, 10, advice::requests());
    let began = now();
    let mut announced = Vec::new();
    for turn in 0..ANNOUNCED {
        until(began + 8_000 + turn * PAUSE_MS);
        // One crash is enough.
        if engines.iter().any(|engine| engine.is_overfull()) {
            break;
        }
        if trouble {
            let name = format!("a{}", turn % 4 + 1);
            let version = turn / 4 + 2;
            let mut known = newest.lock().expect("unpoisoned");
            known.insert(name.clone(), version);
            drop(known);
            let entry =
                format!("{{\"model\":\"m0\",\"adapter\":\"{name}\",\"version\":{version}}}");
            store.put(&format!("op/version/m0.{name}"), &entry);
            announced.push((name, version, now()));
        }
    }
    until(now() + PAUSE_MS);
    let ended = clients.end();
    let dead = nodes.iter_mut().any(Node::has_ended);
    drop(nodes);
    if dead || !engine::record(&ended, &engines) {
        return Verdict::NotRun;
    }
    let mut outdated = 0;
    for engine in &engines {
        for run in engine.runs.lock().expect("unpoisoned").iter() {
            let late = announced.iter().any(|(name, version, at)| {
                *name == run.adapter && *version > run.version && run.at > at + VERSION_MS
            });
            if late {
                outdated += 1;
                note(&format!("outdated: {}", run.line(&engine.id)));
            }
        }
    }
    let overfull = engines.iter().filter(|engine| engine.is_overfull()).count();
    note(&format!(
        "{outdated} runs began on an old version, {overfull} runners were ordered more than they hold"
    ));
    if outdated + overfull > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
