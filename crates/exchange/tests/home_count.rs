//! How many engines should hold an adapter, by what one node sees of its demand.

mod support;

use exchange::Fleet;
use exchange::demand::{Demand, Target};
use exchange::route::Service;
use exchange::selection::{Requirements, additional_replica, missing_replica, replica_count};
use rstest::rstest;
use support::{engine, engine_service, fleet, ms, target};
use wire::{Time, Upstream};

/// Engines of the fleet.
const ENGINES: usize = 90;

fn demand(counts: &[(&str, usize)]) -> Demand {
    let mut demand = Demand::default();
    for (adapter, count) in counts {
        for _ in 0..*count {
            demand.add(ms(1_000), &target(adapter));
        }
    }
    demand
}

/// One node out of many sees about twenty requests in the time that counts, nearly all for
/// different adapters.
#[rstest]
fn single_request_asks_for_one_home() {
    let names: Vec<String> = (0..20).map(|index| format!("a{index}")).collect();
    let counts: Vec<(&str, usize)> = names.iter().map(|name| (name.as_str(), 1)).collect();
    let demand = demand(&counts);
    assert_eq!(replica_count(ms(1_000), &demand, &target("a3"), ENGINES), 1);
}

#[rstest]
#[case::popular(16, 14, 30)]
#[case::some(4, 2, 10)]
fn popular_adapter_gets_homes(#[case] count: usize, #[case] least: usize, #[case] most: usize) {
    let demand = demand(&[("a", count), ("b", 40 - count)]);
    let homes = replica_count(ms(1_000), &demand, &target("a"), ENGINES);
    assert!((least..=most).contains(&homes), "{homes} homes");
}

/// Returns a fleet of four engines of which the first in `a`'s order alone holds it, that one, and
/// the next one.
fn one_home(now: Time) -> (Fleet, Upstream, Upstream) {
    let ids = ["e1", "e2", "e3", "e4"];
    let bare = fleet(now, ids.map(|id| engine(id, &[])));
    let missing = |fleet: &Fleet| {
        let demand = demand(&[("a", 40)]);
        let service = engine_service();
        missing_replica(now, fleet, &demand, &need(&service, &target("a"))).expect("a home")
    };
    let first = missing(&bare);
    let held = |id: &'static str| engine(id, if *id == *first { &["a"] } else { &[] });
    let fleet = fleet(now, ids.map(held));
    let next = missing(&fleet);
    (fleet, first, next)
}

fn need<'a>(service: &'a Service, target: &'a Target) -> Requirements<'a> {
    Requirements {
        service,
        target: Some(target),
        tried: &[],
        seed: 1,
        prefill_time: ms(20),
    }
}

/// A wait that is long asks for the next home; a short one, a single request, or a next home that
/// is busier than that does not.
#[rstest]
#[case::long_wait(8, 400, 0, true)]
#[case::short_wait(8, 100, 0, false)]
#[case::single_request(1, 400, 0, false)]
#[case::busy_engine(8, 400, 900, false)]
fn wait_asks_for_next_home(
    #[case] count: usize,
    #[case] wait: u64,
    #[case] reading: u64,
    #[case] asks: bool,
) {
    let now = ms(1_000);
    let (mut fleet, first, next) = one_home(now);
    for id in ["e1", "e2", "e3", "e4"] {
        if *id != *first {
            fleet.set_prefill_backlog(now, id, ms(reading));
        }
    }
    let demand = demand(&[("a", count), ("b", 40)]);
    let (service, target) = (engine_service(), target("a"));
    let home = additional_replica(now, &fleet, &demand, &need(&service, &target), ms(wait));
    assert_eq!(home, asks.then_some(next));
}
