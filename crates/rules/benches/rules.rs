//! Measures parsing, matching and memory use with the rules of the largest fleet.

#![allow(missing_docs)]

mod support;

use std::hint::black_box;
use std::time::{Duration, Instant};

use criterion::{Criterion, criterion_group, criterion_main};
use rules::{RouteQuery, RuleSet};
use support::{CALLERS, Counting, rules};
use wire::Priority;

#[global_allocator]
static ALLOCATOR: Counting = Counting;

/// Number of adapters in the largest fleet.
const ADAPTERS: usize = 42_000;

/// Maximum time to parse and validate a revision.
const PARSE_MAX: Duration = Duration::from_secs(1);

fn parse(c: &mut Criterion) {
    let text = rules(ADAPTERS);
    let (before, calls) = (support::bytes(), support::calls());
    let start = Instant::now();
    let set = RuleSet::parse([("rules", &text)]).expect("rules are valid");
    let took = start.elapsed();
    let calls = support::calls() - calls;
    let held = support::bytes() - before;
    println!(
        "{ADAPTERS} adapters, {CALLERS} callers, {} KiB of text: parsed and checked in {took:?}, \
         {calls} allocations, {} KiB held, {} bytes for an adapter with its share of callers and routes",
        text.len() / 1024,
        held / 1024,
        held / ADAPTERS,
    );
    assert!(took < PARSE_MAX, "{took:?}");
    drop(set);
    let mut group = c.benchmark_group("parse");
    group.sample_size(10);
    group.bench_function(format!("{ADAPTERS} adapters"), |b| {
        b.iter(|| RuleSet::parse([("rules", black_box(&text))]));
    });
    group.finish();
}

fn matching(c: &mut Criterion) {
    for adapters in [3_000, ADAPTERS] {
        let set = RuleSet::parse([("rules", rules(adapters))]).expect("rules are valid");
        let callers: Vec<String> = (0..CALLERS).map(|n| format!("caller-{n}")).collect();
        let models: Vec<String> = (0..CALLERS)
            .map(|n| format!("adapter-{:05}", n * adapters / CALLERS))
            .collect();
        let at = "2026-02-10T00:00:00Z".parse().expect("a time");
        let mut next = 0;
        let mut bench = |name: &str, named: bool| {
            c.bench_function(&format!("route {name}, {adapters} adapters"), |b| {
                b.iter(|| {
                    next = (next + 7) % CALLERS;
                    let ask = RouteQuery {
                        caller: &callers[next],
                        trade: "desk",
                        priority: Priority::Normal,
                        model: named.then_some(&*models[next]),
                        at,
                    };
                    black_box(set.route(&ask)).is_ok()
                });
            });
        };
        bench("by rule", false);
        bench("by name", true);
    }
}

criterion_group!(benches, parse, matching);
criterion_main!(benches);
