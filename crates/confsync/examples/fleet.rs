//! Measures the control plane of a node (membership and configuration) with 42,000 adapters and
//! 10,000 changes a day. Prints one table row for `NODES LOSS_PERCENT [REGIONS]`.
//!
//! The nodes are distributed evenly over the regions, which have three availability zones each.

#[path = "../../roster/tests/network/mod.rs"]
mod network;
#[path = "../tests/site/mod.rs"]
mod site;

use std::time::Duration;

use bytes::Bytes;
use confsync::Replicator;
use network::{Fault, Network};
use site::{Shared, Site, all_in_force, start};

const ADAPTERS: usize = 42_000;
const PARTS: usize = 64;
const CHANGE_INTERVAL: Duration = Duration::from_millis(8_640);
const CHANGES: u64 = 60;
const STEP: Duration = Duration::from_millis(10);
const LIMIT: Duration = Duration::from_secs(120);

fn main() {
    let mut args = std::env::args().skip(1).map(|arg| arg.parse::<usize>());
    let mut number = |default| args.next().and_then(Result::ok).unwrap_or(default);
    let (nodes, loss, regions) = (number(7), number(0), number(1));
    row(nodes, loss as u64, regions);
}

fn row(nodes: usize, loss: u64, count: usize) {
    let service = Shared::default();
    let mut contents = rules();
    service.borrow_mut().publish(1, &contents);
    let before = resident_bytes();
    let mut regions: Vec<Site> = (0..count)
        .map(|index| region(index, share(nodes, count, index), loss, &service))
        .collect();
    let startup_time = until(&mut regions, |net| net.nodes().all(|p| p.ready.is_some()));
    let (bytes, cpu, calls) = (total_bytes(&regions), cpu(&regions), service.borrow().calls);
    let mut times = Vec::new();
    for revision in 2..2 + CHANGES {
        change(&mut contents, revision);
        service.borrow_mut().publish(revision, &contents);
        let time = until(&mut regions, all_in_force(revision));
        times.push(time.as_millis());
        let rest = CHANGE_INTERVAL.saturating_sub(time);
        regions.iter_mut().for_each(|net| net.run(rest));
    }
    times.sort_unstable();
    let time = CHANGE_INTERVAL.as_secs_f64() * CHANGES as f64;
    let rate = |total: f64| total / time;
    let sent = rate((total_bytes(&regions) - bytes) as f64) / nodes as f64;
    let cpu = rate((self::cpu(&regions) - cpu).as_secs_f64()) / nodes as f64 * 100.0;
    let calls = rate((service.borrow().calls - calls) as f64);
    let memory = resident_bytes().saturating_sub(before) as f64 / nodes as f64 / f64::from(1 << 20);
    let at = |percent: usize| times[(times.len() * percent / 100).min(times.len() - 1)];
    println!(
        "| {nodes} | {count} | {loss} | {sent:.0} | {cpu:.3} | {memory:.1} | {calls:.2} | {} | {} | {} | {:.1} |",
        at(50),
        at(99),
        at(100),
        startup_time.as_secs_f64(),
    );
}

fn share(nodes: usize, regions: usize, index: usize) -> usize {
    nodes / regions + usize::from(index < nodes % regions)
}

fn region(index: usize, nodes: usize, loss: u64, service: &Shared) -> Site {
    let mut net = Network::new(index as u64 + 21, nodes);
    net.fault = Fault {
        loss,
        doubled: 2,
        late: 2,
    };
    for node in 0..nodes {
        start::<Replicator>(&mut net, node, service);
    }
    net
}

/// Runs all regions until `done` holds in each. Returns the time taken.
fn until(regions: &mut [Site], done: impl Fn(&Site) -> bool) -> Duration {
    let mut time = Duration::ZERO;
    while !regions.iter().all(&done) {
        assert!(time < LIMIT, "not done after {LIMIT:?}");
        regions.iter_mut().for_each(|net| net.run(STEP));
        time += STEP;
    }
    time
}

/// Generates one line of about a hundred bytes per adapter.
fn rules() -> Vec<Bytes> {
    let lines = ADAPTERS / PARTS + 1;
    let line = |part: usize, n: usize| {
        format!(
            "adapter-{part:02}-{n:05} version-0000001 caller=desk trade=letters priority=normal # asked for by the front desk\n"
        )
    };
    let part = |part| (0..lines).map(|n| line(part, n)).collect::<String>().into();
    (0..PARTS).map(part).collect()
}

/// Changes the version in one line.
fn change(contents: &mut [Bytes], revision: u64) {
    let part = revision as usize * 7 % PARTS;
    let mut bytes = contents[part].to_vec();
    let line = revision as usize * 31 % (ADAPTERS / PARTS);
    let width = bytes
        .iter()
        .position(|byte| *byte == b'\n')
        .expect("a line")
        + 1;
    let version = format!("version-{revision:07}");
    let at = line * width + "adapter-00-00000 ".len();
    bytes[at..at + version.len()].copy_from_slice(version.as_bytes());
    contents[part] = bytes.into();
}

fn total_bytes(regions: &[Site]) -> u64 {
    regions.iter().map(|net| net.bytes).sum()
}

fn cpu(regions: &[Site]) -> Duration {
    regions.iter().map(|net| net.cpu).sum()
}

fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages.and_then(|pages| pages.parse().ok()).unwrap_or(0) * 4096
}
