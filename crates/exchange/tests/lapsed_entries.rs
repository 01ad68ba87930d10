//! Engines whose entries lapse and come back while they go on.

mod soak;
mod support;

use std::time::Duration;

use exchange::owner::{Action, Decision};
use rstest::rstest;
use soak::{Fault, Simulation};
use support::{OwnerHarness, engine, ms};

const ENGINES: usize = 6;

/// Time for the first claims.
const START: Duration = ms(6_000);

/// Interval between two lapses, and the shortest and longest one.
const INTERVAL: Duration = ms(470);
const LAPSES_MS: (u64, u64) = (300, 2_400);

const LAPSES: u64 = 80;

/// Guards against two nodes that order in turn (ONE): an owner gave an engine up when its entry lapsed, others took
/// it over while it was listed for them, and the first one claimed it again once its entry was back.
#[rstest]
#[case::fenced(Simulation::new)]
#[case::unfenced(Simulation::unfenced)]
fn lapsed_entries_cause_no_turns(#[case] start: fn(u64) -> Simulation) {
    for seed in 1..41 {
        let mut simulation = start(seed);
        for lapse in 0..LAPSES {
            let at = START + INTERVAL * u32::try_from(lapse).unwrap();
            let (shortest, longest) = LAPSES_MS;
            let time = ms(shortest + (seed * 7_919 + lapse * 104_729) % (longest - shortest));
            let engine = usize::try_from(seed + lapse * 5).unwrap() % ENGINES;
            simulation.schedule_fault(at, Fault::Lapse(engine, time));
        }
        simulation.run_for(START + INTERVAL * 80 + ms(8_000));
        for engine in &simulation.engines {
            let turns = engine.arrival_turns();
            assert!(turns.is_empty(), "seed {seed}, {}: {turns:?}", engine.id);
            assert_eq!(engine.overfills, 0, "seed {seed}, {}", engine.id);
        }
        assert_eq!(simulation.owner_counts(), [1; ENGINES], "seed {seed}");
    }
}

fn released(actions: &[Action]) -> bool {
    let is_release = |action: &Action| matches!(action, Action::Log(Decision::Released(id, "gone")) if **id == *"e1");
    actions.iter().any(is_release)
}

/// Guards against claims by turns (ONE): an engine is claimed at the return of its entry by whoever sees it first.
#[rstest]
fn owner_outlasts_a_lapse() {
    let mut node = OwnerHarness::alone("vm-1", 1, [engine("e1", &["a"])]);
    node.claim_all();
    let before: Vec<_> = node.owner.owned().map(|(_, fence)| fence).collect();
    node.fleet.remove("e1");
    assert!(!released(&node.advance(ms(2_000))));
    let listing = engine("e1", &["a"]);
    node.fleet.apply_listing(node.now, listing);
    node.fleet.configure(&support::config(Vec::new()));
    node.advance(ms(500));
    let after: Vec<_> = node.owner.owned().map(|(_, fence)| fence).collect();
    assert_eq!((before.len(), &before), (1, &after));
}

#[rstest]
fn missing_engine_is_released_after_a_lease() {
    let mut node = OwnerHarness::alone("vm-1", 1, [engine("e1", &["a"])]);
    node.claim_all();
    node.fleet.remove("e1");
    assert!(released(&node.advance(ms(3_200))));
    assert_eq!(node.owner.owned().count(), 0);
}
