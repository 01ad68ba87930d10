//! How many engines should hold an adapter, by what one node sees of its demand.

mod support;

use exchange::choice::home_count;
use exchange::demand::Demand;
use rstest::rstest;
use support::{ms, target};

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
    assert_eq!(home_count(ms(1_000), &demand, &target("a3"), ENGINES), 1);
}

#[rstest]
#[case::popular(16, 14, 30)]
#[case::some(4, 2, 10)]
fn popular_adapter_gets_homes(#[case] count: usize, #[case] least: usize, #[case] most: usize) {
    let demand = demand(&[("a", count), ("b", 40 - count)]);
    let homes = home_count(ms(1_000), &demand, &target("a"), ENGINES);
    assert!((least..=most).contains(&homes), "{homes} homes");
}
