//! Measures how many calls end `unknown` when VMs die or are replaced, beside a home per key.
//!
//! Prints one line per case: calls, calls in flight on a VM that died, `unknown` among calls and
//! retries, doubled runs, and `unknown` under way (a), one home incarnation for each key.

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use std::collections::BTreeSet;
use std::time::Duration;

use fleet::{CALM, Fleet, Told, ms};
use once::{Config, Outcome};
use wire::rank;

const SEEDS: u64 = 20;
const RATE: u64 = 5;

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
struct Sum {
    calls: usize,
    in_flight: usize,
    unknown: usize,
    unfinished: usize,
    doubled: usize,
    home: usize,
    other: usize,
}

/// Sends a new call every few milliseconds, each to any node that is up and ready.
fn load(fleet: &mut Fleet, time: Duration, next: &mut usize, first: &mut Vec<usize>) {
    let end = fleet.now + time;
    while fleet.now < end {
        let mut up = fleet.up();
        up.retain(|node| fleet.guard(*node).ready(fleet.now));
        let node = up[*next % up.len()];
        first.push(fleet.call(node, *next, "a"));
        *next += 1;
        fleet.run(ms(RATE));
    }
}

fn measure(case: Case, seed: u64, sum: &mut Sum) {
    let mut fleet = Fleet::new(seed, 7, config(), CALM);
    fleet.service = (10_000, 50_000);
    let (mut next, mut calls) = (0, Vec::new());
    let mut lost: BTreeSet<usize> = BTreeSet::new();
    let mut dead = Vec::new();
    load(&mut fleet, ms(2_000), &mut next, &mut calls);
    match case {
        Case::Die(count) => {
            for node in 0..count {
                stop(&mut fleet, node, &calls, &mut lost);
                dead.push(node);
            }
            load(&mut fleet, ms(2_000), &mut next, &mut calls);
        }
        Case::Replace { graceful } => {
            for node in 0..7 {
                if graceful {
                    fleet.leave(node);
                    fleet.boot();
                    load(&mut fleet, ms(1_000), &mut next, &mut calls);
                }
                stop(&mut fleet, node, &calls, &mut lost);
                fleet.delist(node);
                if !graceful {
                    fleet.boot();
                }
                dead.push(node);
                load(&mut fleet, ms(3_000), &mut next, &mut calls);
            }
        }
    }
    fleet.run(ms(1_000));
    let direct = count_unknown(&fleet, &calls);
    let retried: Vec<usize> = (0..next)
        .map(|key| {
            let up = fleet.up();
            let call = fleet.call(up[key % up.len()], key, "a");
            fleet.run(ms(1));
            call
        })
        .collect();
    fleet.run(ms(6_000));
    let unknown = keys(&fleet, &retried);
    sum.calls += next;
    sum.in_flight += lost.len();
    sum.unknown += unknown.len();
    sum.other += unknown.iter().filter(|key| !lost.contains(key)).count();
    sum.unfinished += direct;
    sum.doubled += fleet.broken().len();
    // Way (a): the key's home by rendezvous over the VMs at the call; its records go with it.
    let homes =
        |key: usize| rank::first(rank::hash(key.to_le_bytes()), (0..7).map(|n| n.to_string()));
    let gone =
        |key: &usize| homes(*key).is_some_and(|home| dead.iter().any(|d| d.to_string() == home));
    let before = 2_000 / RATE as usize;
    sum.home += (0..before).filter(gone).count();
}

/// Kills a node and notes the calls that it had accepted and not answered.
fn stop(fleet: &mut Fleet, node: usize, calls: &[usize], lost: &mut BTreeSet<usize>) {
    let incarnation = fleet.guard(node).incarnation().clone();
    let open = |call: &&usize| {
        let call = &fleet.calls[**call];
        call.told.is_none() && call.node == incarnation
    };
    lost.extend(calls.iter().filter(open).map(|call| fleet.calls[*call].key));
    fleet.kill(node);
}

fn keys(fleet: &Fleet, calls: &[usize]) -> BTreeSet<usize> {
    let unknown = |call: &&usize| {
        let told = fleet.told(**call);
        matches!(told, Some(Told::Refused(Outcome::Unknown, _)) | None)
    };
    calls
        .iter()
        .filter(unknown)
        .map(|call| fleet.calls[*call].key)
        .collect()
}

fn count_unknown(fleet: &Fleet, calls: &[usize]) -> usize {
    let unknown =
        |call: &&usize| matches!(fleet.told(**call), Some(Told::Refused(Outcome::Unknown, _)));
    calls.iter().filter(unknown).count()
}

fn main() {
    println!(
        "case                       calls in-flight unknown-on-retry of-others unknown-at-once broken way-a(of first {} per run)",
        2_000 / RATE
    );
    let cases = [
        ("1 of 7 dies", Case::Die(1)),
        ("2 of 7 die", Case::Die(2)),
        ("3 of 7 die", Case::Die(3)),
        ("all replaced, killed", Case::Replace { graceful: false }),
        ("all replaced, graceful", Case::Replace { graceful: true }),
    ];
    for (name, case) in cases {
        let mut sum = Sum::default();
        for seed in 0..SEEDS {
            measure(case, seed, &mut sum);
        }
        println!(
            "{name:26} {:6} {:9} {:16} {:9} {:15} {:6} {:6}",
            sum.calls, sum.in_flight, sum.unknown, sum.other, sum.unfinished, sum.doubled, sum.home
        );
    }
}
