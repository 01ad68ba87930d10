//! A runner's entry is removed while the watches of the platform's store are cut.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::advice::ZONES;
use crate::clients::{Clients, Ended, Kind};
use crate::nodes::{Node, await_ready};
use crate::runner::{Arrival, Runner};
use crate::store::Store;
use crate::world::{at, note, now, until};

const DRAIN_MS: u64 = 2_000;

/// How much longer than that a runner goes on serving.
const LITTLE_LONGER_MS: u64 = 300;

/// When the entries are removed, after the nodes are ready.
const REMOVALS: [u64; 3] = [6_000, 14_000, 22_000];

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r1","host":"depot.example","prefix":"/loan/",
"kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":300,"priority":0,"service":"loan-desk",
"max_attempts":2,"sticky":false,"resumable":false}],"services":[{"name":"loan-desk","health_path":"/healthz",
"max_connections":100,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// Writes down what was sent, answered and run; times are milliseconds since the start.
fn record(ended: &[Ended], runners: &[Arc<Runner>]) {
    for ended in ended {
        note(&ended.line());
    }
    for runner in runners {
        let done = runner.done.lock().expect("unpoisoned").clone();
        for Arrival { at, attempt } in runner.arrivals.lock().expect("unpoisoned").iter() {
            let end = if done.contains(attempt) {
                "run to its end"
            } else {
                "not run to its end"
            };
            note(&format!("{}: {attempt} came at {at}, {end}", runner.id));
        }
    }
}

pub fn play(folder: &str, trouble: bool) -> Verdict {
    let (store, address) = Store::start(at(200, 0));
    let work = Duration::from_millis(60);
    let runners: Vec<_> = (0..5)
        .map(|index| {
            let (id, zone) = (format!("i-{index}"), ZONES[index % 3]);
            Runner::start(&id, "loan-desk", 100 + index as u8, zone, work)
        })
        .collect();
    for runner in &runners {
        store.put(&runner.key(), &runner.entry());
    }
    store.put("op/config", CONFIG);
    let mut nodes = Node::site(7, address, folder);
    if !await_ready(&nodes, 20_000) {
        note("the nodes are not ready in time");
        return Verdict::NotRun;
    }
    let fronts: Vec<_> = nodes.iter().map(Node::front).collect();
    let kind = Kind {
        host: "depot.example",
        path: "/loan/commit",
        deadline_ms: 3_000,
        pause: Duration::from_millis(40),
        further: |_| Vec::new(),
    };
    let clients = Clients::start(&fronts, 2, kind);
    let began = now();
    let mut removed = Vec::new();
    for (runner, after) in runners.iter().zip(REMOVALS) {
        until(began + after);
        if trouble {
            store.cut_watches();
        }
        thread::sleep(Duration::from_millis(20));
        // The removal is confirmed at this moment, with the store in order.
        store.remove(&runner.key());
        let confirmed = now();
        removed.push((runner, confirmed));
        until(confirmed + DRAIN_MS + LITTLE_LONGER_MS);
        runner.end();
    }
    until(began + 27_000);
    let ended = clients.end();
    let dead = nodes.iter_mut().any(Node::has_ended);
    drop(nodes);
    if dead {
        note("a node has ended by itself");
        return Verdict::NotRun;
    }
    let served = ended.iter().filter(|ended| ended.status == 200).count();
    note(&format!(
        "{} requests were sent, {served} served",
        ended.len()
    ));
    record(&ended, &runners);
    if served * 2 < ended.len() {
        return Verdict::NotRun;
    }
    let mut late = 0;
    for (runner, confirmed) in &removed {
        let arrivals = runner.arrivals.lock().expect("unpoisoned").clone();
        let after = arrivals.iter().filter(|arrival| arrival.at > *confirmed);
        let last = after
            .map(|arrival| arrival.at - confirmed)
            .max()
            .unwrap_or(0);
        note(&format!(
            "{}: the last request came {last} ms after the confirmation",
            runner.id
        ));
        let done = runner.done.lock().expect("unpoisoned").clone();
        for arrival in arrivals
            .iter()
            .filter(|arrival| arrival.at > confirmed + DRAIN_MS)
        {
            late += 1;
            let answer = ended.iter().find(|ended| ended.attempt == arrival.attempt);
            let status = answer.map_or(0, |ended| ended.status);
            let whole = if done.contains(&arrival.attempt) {
                "run to its end"
            } else {
                "cut by the end of the runner"
            };
            note(&format!(
                "{}: request {} reaches it {} ms after the confirmation; {whole}; its requester gets {status}",
                runner.id,
                arrival.attempt,
                arrival.at - confirmed
            ));
        }
    }
    note(&format!(
        "{late} requests reached a runner later than {DRAIN_MS} ms after the confirmation that it is gone"
    ));
    if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
