//! Number and choice of an adapter's replicas, given the demand seen by one node.

mod support;

use exchange::Fleet;
use exchange::demand::{Demand, Target};
use exchange::route::Service;
use exchange::selection::{Requirements, additional_replica, missing_replica, replica_count};
use rstest::rstest;
use support::{engine, engine_service, fleet, ms, target};
use wire::{Time, Upstream};

/// Number of engines in the fleet.
const ENGINES: usize = 90;

fn demand_of(counts: &[(&str, usize)]) -> Demand {
    let mut demand = Demand::default();
    for (adapter, count) in counts {
        for _ in 0..*count {
            demand.add(ms(1_000), &target(adapter));
        }
    }
    demand
}

/// One node out of many sees about twenty requests within a half-life, nearly all for different
/// adapters. A single request must not add a replica.
#[rstest]
fn single_request_needs_one_replica() {
    let names: Vec<String> = (0..20).map(|index| format!("a{index}")).collect();
    let counts: Vec<(&str, usize)> = names.iter().map(|name| (name.as_str(), 1)).collect();
    let demand = demand_of(&counts);
    assert_eq!(replica_count(ms(1_000), &demand, &target("a3"), ENGINES), 1);
}

#[rstest]
#[case::popular(16, 14, 30)]
#[case::some(4, 2, 10)]
fn popular_adapter_gets_replicas(#[case] count: usize, #[case] least: usize, #[case] most: usize) {
    let demand = demand_of(&[("a", count), ("b", 40 - count)]);
    let replicas = replica_count(ms(1_000), &demand, &target("a"), ENGINES);
    assert!((least..=most).contains(&replicas), "{replicas} replicas");
}

/// Returns a fleet of four engines in which only the first one in the rendezvous order of `a` holds
/// it, the id of that engine, and the id of the next one.
fn one_replica(now: Time) -> (Fleet, Upstream, Upstream) {
    let ids = ["e1", "e2", "e3", "e4"];
    let empty = fleet(now, ids.map(|id| engine(id, &[])));
    let missing = |fleet: &Fleet| {
        let demand = demand_of(&[("a", 40)]);
        let service = engine_service();
        missing_replica(now, fleet, &demand, &requirements(&service, &target("a")))
            .expect("a replica is missing")
    };
    let first = missing(&empty);
    let listing = |id: &'static str| engine(id, if *id == *first { &["a"] } else { &[] });
    let fleet = fleet(now, ids.map(listing));
    let next = missing(&fleet);
    (fleet, first, next)
}

fn requirements<'a>(service: &'a Service, target: &'a Target) -> Requirements<'a> {
    Requirements {
        service,
        target: Some(target),
        tried: &[],
        seed: 1,
        urgent: false,
        prefill_time: ms(20),
        release: None,
    }
}

/// A long wait adds a replica on the next engine in rendezvous order. A short wait, a single
/// request, or an engine with an even longer queue does not.
#[rstest]
#[case::long_wait(8, 400, 0, true)]
#[case::short_wait(8, 100, 0, false)]
#[case::single_request(1, 400, 0, false)]
#[case::busy_engine(8, 400, 900, false)]
fn long_wait_adds_a_replica(
    #[case] count: usize,
    #[case] wait: u64,
    #[case] prefill: u64,
    #[case] added: bool,
) {
    let now = ms(1_000);
    let (mut fleet, first, next) = one_replica(now);
    for id in ["e1", "e2", "e3", "e4"] {
        if *id != *first {
            fleet.set_prefill_backlog(now, id, ms(prefill));
        }
    }
    let demand = demand_of(&[("a", count), ("b", 40)]);
    let (service, target) = (engine_service(), target("a"));
    let replica = additional_replica(
        now,
        &fleet,
        &demand,
        &requirements(&service, &target),
        ms(wait),
    );
    assert_eq!(replica, added.then_some(next));
}
