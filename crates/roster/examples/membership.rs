//! Measures the membership state machine: traffic, CPU time and memory per node, false suspicions,
//! and the time to detect a dead node and to propagate a leaving upstream. Prints one table row for
//! the arguments `NODES LOSS_PERCENT`.

#[path = "../tests/network/mod.rs"]
mod network;
#[path = "../tests/network/region.rs"]
mod region;

use std::time::Duration;

use region::{Region, region};
use roster::{Event, Note, Source};
use wire::view::State;

/// Time until no updates from the start are queued any more.
const WARM: Duration = Duration::from_secs(200);
const STEADY: Duration = Duration::from_secs(300);
const LIMIT: Duration = Duration::from_secs(60);
const TRIES: usize = 20;

fn main() {
    let mut args = std::env::args().skip(1).map(|arg| arg.parse::<usize>());
    let mut number = |default| args.next().and_then(Result::ok).unwrap_or(default);
    let (count, loss) = (number(7), number(0));
    row(count, loss as u64);
}

fn row(count: usize, loss: u64) {
    let before = resident_bytes();
    let mut net = region(11, count, loss);
    net.run(WARM);
    let (bytes, messages, cpu) = (net.bytes, net.messages, net.cpu);
    let seen = count_notes(&net);
    net.run(STEADY);
    let per_node = |total: f64| total / count as f64 / STEADY.as_secs_f64();
    let rate = per_node((net.bytes - bytes) as f64);
    let messages = per_node((net.messages - messages) as f64);
    let cpu = per_node((net.cpu - cpu).as_secs_f64()) * 100.0;
    let memory = resident_bytes().saturating_sub(before) as f64 / count as f64 / 1024.0;
    let hours = STEADY.as_secs_f64() / 3600.0;
    let (suspected, unresponsive) = count_notes(&net);
    let (suspected, unresponsive) = (
        (suspected - seen.0) as f64 / hours,
        (unresponsive - seen.1) as f64 / hours,
    );
    let mut leaving: Vec<Duration> = (0..TRIES).map(|n| spread_sign(&mut net, n)).collect();
    leaving.sort();
    let dead = detect(&mut net);
    println!(
        "| {count} | {loss} | {rate:.0} | {messages:.1} | {cpu:.3} | {memory:.0} | {suspected:.0} | {unresponsive:.0} | {:.1} | {} | {} |",
        dead.as_secs_f64(),
        leaving[TRIES / 2].as_millis(),
        leaving[TRIES - 1].as_millis(),
    );
}

/// Counts the `Suspected` and `Unresponsive` notes of all nodes; all are false, since every node is
/// running.
fn count_notes(net: &Region) -> (usize, usize) {
    let notes = || net.nodes().flat_map(|peer| &peer.notes);
    let suspected = notes().filter(|(_, note)| matches!(note, Note::Suspected(_)));
    let unresponsive = notes().filter(|(_, note)| matches!(note, Note::Unresponsive(_)));
    (suspected.count(), unresponsive.count())
}

/// Measures the time from an observation at one node until every node knows.
fn spread_sign(net: &mut Region, number: usize) -> Duration {
    let name = format!("runner-{number}");
    let upstream = name.as_str().into();
    let source = Source::Refusal;
    net.with(number % net.len(), |peer, now| {
        peer.step(now, Event::UpstreamLeaving { upstream, source });
    });
    let told = |net: &Region| net.nodes().all(|peer| peer.leaving.contains(&name));
    let time = net
        .run_till(LIMIT, told)
        .expect("every node learns of it in time");
    net.run(Duration::from_secs(5));
    time
}

/// Measures the time from the death of a node until every other node suspects it.
fn detect(net: &mut Region) -> Duration {
    net.place(0, None);
    let gone = |net: &Region| {
        net.nodes()
            .all(|peer| peer.state(0) == Some(State::Suspect))
    };
    net.run_till(LIMIT, gone).expect("the death is detected")
}

fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages.and_then(|pages| pages.parse().ok()).unwrap_or(0) * 4096
}
