//! Measures how many calls end as `unknown` when VMs die or are replaced, and compares that with an
//! alternative design that stores the record of a key only on one home VM.
//!
//! Prints one line per case: calls, calls in flight on a VM that died, keys whose retry ended as
//! `unknown`, those of them that were not in flight, calls that were `unknown` before the retry,
//! violated guarantees, and keys that would be `unknown` with a home VM per key.

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use std::collections::BTreeSet;
use std::time::Duration;

use fleet::{Fleet, RELIABLE, Reply, ms};
use once::{Config, Outcome};
use wire::rank;

const SEEDS: u64 = 20;
/// Time between two calls, in milliseconds.
const CALL_INTERVAL: u64 = 5;

fn config() -> Config {
    Config {
        retry_window: Duration::from_secs(120),
        ..fleet::config()
    }
}

#[derive(Clone, Copy)]
enum Case {
    Die(usize),
    Replace { graceful: bool },
}

#[derive(Default)]
struct Totals {
    calls: usize,
    in_flight: usize,
    unknown: usize,
    unknown_at_once: usize,
    violations: usize,
    unknown_with_home: usize,
    unknown_others: usize,
}

/// Sends a new call at a fixed interval, each to a node that is running and ready.
fn send_calls(fleet: &mut Fleet, time: Duration, next: &mut usize, first: &mut Vec<usize>) {
    let end = fleet.now + time;
    while fleet.now < end {
        let mut up = fleet.running();
        up.retain(|node| fleet.participant(*node).ready(fleet.now));
        let node = up[*next % up.len()];
        first.push(fleet.call(node, *next, "a"));
        *next += 1;
        fleet.run(ms(CALL_INTERVAL));
    }
}

fn measure(case: Case, seed: u64, totals: &mut Totals) {
    let mut fleet = Fleet::new(seed, 7, config(), RELIABLE);
    fleet.service_time = (10_000, 50_000);
    let (mut next, mut calls) = (0, Vec::new());
    let mut lost: BTreeSet<usize> = BTreeSet::new();
    let mut dead = Vec::new();
    send_calls(&mut fleet, ms(2_000), &mut next, &mut calls);
    match case {
        Case::Die(count) => {
            for node in 0..count {
                kill_node(&mut fleet, node, &calls, &mut lost);
                dead.push(node);
            }
            send_calls(&mut fleet, ms(2_000), &mut next, &mut calls);
        }
        Case::Replace { graceful } => {
            for node in 0..7 {
                if graceful {
                    fleet.leave(node);
                    fleet.start_vm();
                    send_calls(&mut fleet, ms(1_000), &mut next, &mut calls);
                }
                kill_node(&mut fleet, node, &calls, &mut lost);
                fleet.delist(node);
                if !graceful {
                    fleet.start_vm();
                }
                dead.push(node);
                send_calls(&mut fleet, ms(3_000), &mut next, &mut calls);
            }
        }
    }
    fleet.run(ms(1_000));
    let direct = count_unknown(&fleet, &calls);
    let retried: Vec<usize> = (0..next)
        .map(|key| {
            let up = fleet.running();
            let call = fleet.call(up[key % up.len()], key, "a");
            fleet.run(ms(1));
            call
        })
        .collect();
    fleet.run(ms(6_000));
    let unknown = unknown_keys(&fleet, &retried);
    totals.calls += next;
    totals.in_flight += lost.len();
    totals.unknown += unknown.len();
    totals.unknown_others += unknown.iter().filter(|key| !lost.contains(key)).count();
    totals.unknown_at_once += direct;
    totals.violations += fleet.violations().len();
    // The alternative: a key's home is chosen by rendezvous hashing over the VMs, and its record is
    // lost with that VM.
    let home_of =
        |key: usize| rank::first(rank::hash(key.to_le_bytes()), (0..7).map(|n| n.to_string()));
    let gone =
        |key: &usize| home_of(*key).is_some_and(|home| dead.iter().any(|d| d.to_string() == home));
    let before = 2_000 / CALL_INTERVAL as usize;
    totals.unknown_with_home += (0..before).filter(gone).count();
}

/// Kills a node and adds the keys of the calls that it had accepted but not answered to `lost`.
fn kill_node(fleet: &mut Fleet, node: usize, calls: &[usize], lost: &mut BTreeSet<usize>) {
    let incarnation = fleet.participant(node).incarnation().clone();
    let open = |call: &&usize| {
        let call = &fleet.calls[**call];
        call.reply.is_none() && call.node == incarnation
    };
    lost.extend(calls.iter().filter(open).map(|call| fleet.calls[*call].key));
    fleet.kill(node);
}

fn unknown_keys(fleet: &Fleet, calls: &[usize]) -> BTreeSet<usize> {
    let unknown = |call: &&usize| {
        let told = fleet.reply(**call);
        matches!(told, Some(Reply::Refused(Outcome::Unknown, _)) | None)
    };
    calls
        .iter()
        .filter(unknown)
        .map(|call| fleet.calls[*call].key)
        .collect()
}

fn count_unknown(fleet: &Fleet, calls: &[usize]) -> usize {
    let unknown = |call: &&usize| {
        matches!(
            fleet.reply(**call),
            Some(Reply::Refused(Outcome::Unknown, _))
        )
    };
    calls.iter().filter(unknown).count()
}

fn main() {
    println!(
        "case                       calls in-flight unknown-on-retry of-others unknown-at-once broken home-per-key(of first {} per run)",
        2_000 / CALL_INTERVAL
    );
    let cases = [
        ("1 of 7 dies", Case::Die(1)),
        ("2 of 7 die", Case::Die(2)),
        ("3 of 7 die", Case::Die(3)),
        ("all replaced, killed", Case::Replace { graceful: false }),
        ("all replaced, graceful", Case::Replace { graceful: true }),
    ];
    for (name, case) in cases {
        let mut totals = Totals::default();
        for seed in 0..SEEDS {
            measure(case, seed, &mut totals);
        }
        println!(
            "{name:26} {:6} {:9} {:16} {:9} {:15} {:6} {:6}",
            totals.calls,
            totals.in_flight,
            totals.unknown,
            totals.unknown_others,
            totals.unknown_at_once,
            totals.violations,
            totals.unknown_with_home
        );
    }
}
