//! Orders as engines see them arrive, refused ones included: two nodes never take turns.
//!
//! To run other seeds:
//! `HYSSOPSCALE_SOAK_SEEDS=100..400 cargo test --release -p hyssopscale-exchange --test order_turns`

mod soak;
mod support;

use std::time::Duration;

use rstest::rstest;
use soak::{Fault, Simulation};
use support::ms;

/// Simulated time: faults occur up to 45 s, and every engine has an owner again 12 s later.
const FAULT_SPAN: Duration = ms(57_000);

/// Simulated time of a start.
const START_SPAN: Duration = ms(15_000);

fn seeds() -> std::ops::Range<u64> {
    let given = std::env::var("HYSSOPSCALE_SOAK_SEEDS").unwrap_or_default();
    let parsed = given.split_once("..").and_then(|(first, last)| {
        let first = first.parse().ok()?;
        Some(first..last.parse().ok()?)
    });
    parsed.unwrap_or(1..61)
}

/// Runs each seed, and expects no turns and one owner for each engine in the end.
fn expect_no_turns(span: Duration, simulate: impl Fn(u64) -> Simulation) {
    let (mut turns, mut broken, mut unowned) = (0, 0, Vec::new());
    for seed in seeds() {
        let mut simulation = simulate(seed);
        simulation.run_for(span);
        let arrived = simulation.engines.iter().map(|e| e.arrival_turns().len());
        let arrived: usize = arrived.sum();
        turns += arrived;
        broken += usize::from(arrived > 0);
        if simulation.owner_counts().iter().any(|count| *count != 1) {
            unowned.push(seed);
        }
    }
    let all = seeds().count();
    assert_eq!(turns, 0, "{turns} turns in {broken} of {all} seeds");
    assert!(unowned.is_empty(), "owners in the end, seeds {unowned:?}");
}

/// Guards against two owners by turns (ONE): a node that is cut off from the others, but not from
/// its engines, orders on while another one takes them over.
#[rstest]
fn cut_off_owner_takes_no_turns(#[values(400, 1_500, 4_000, 8_000)] time: u64) {
    expect_no_turns(FAULT_SPAN, |seed| {
        let mut simulation = Simulation::new(seed);
        for (index, at) in [8_000, 20_000, 32_000].into_iter().enumerate() {
            let node = (seed as usize + index) % 5;
            simulation.schedule_fault(ms(at), Fault::Cut(node, ms(time)));
        }
        simulation
    });
}

/// Guards against two owners by turns (ONE): two nodes without contact to each other are told of
/// each other's numbers by a third one.
#[rstest]
fn nodes_without_contact_take_no_turns() {
    expect_no_turns(FAULT_SPAN, |seed| {
        let mut simulation = Simulation::new(seed);
        for (index, at) in [1, 8_000, 20_000, 32_000].into_iter().enumerate() {
            let node = (seed as usize + index) % 5;
            let time = ms(1_000 + (seed * 700 + at) % 8_000);
            simulation.schedule_fault(ms(at), Fault::Unlink(node, (node + 1) % 5, time));
            simulation.schedule_fault(ms(at), Fault::Unlink(node, (node + 2) % 5, time));
        }
        simulation
    });
}

/// Guards against two owners by turns (ONE): a live owner that some nodes take for dead is
/// superseded and has an order under way.
#[rstest]
fn doubted_owner_takes_no_turns() {
    expect_no_turns(FAULT_SPAN, |seed| {
        let mut simulation = Simulation::new(seed);
        for index in 0..12 {
            let node = (seed as usize + index) % 5;
            let at = 6_000 + 3_000 * index as u64;
            let time = ms(300 + (seed * 731 + at) % 2_700);
            simulation.schedule_fault(ms(at), Fault::Doubt(node, time));
        }
        simulation
    });
}

/// Guards against two owners by turns (ONE): announcements that are lost, late or overtaken by
/// later ones, beside doubts and cuts.
#[rstest]
fn late_announcements_cause_no_turns() {
    expect_no_turns(FAULT_SPAN, |seed| {
        let mut simulation = Simulation::new(seed);
        for index in 0..6 {
            let node = (seed as usize + index) % 5;
            let at = 6_000 + 6_000 * index as u64;
            let time = ms(600 + (seed * 731 + at) % 3_000);
            simulation.schedule_fault(ms(at), Fault::Delay(ms(1_500), ms(3_000)));
            simulation.schedule_fault(ms(at + 500), Fault::Loss(0.2, ms(2_000)));
            simulation.schedule_fault(ms(at + 700), Fault::Doubt(node, time));
            simulation.schedule_fault(ms(at + 1_500), Fault::Cut((node + 1) % 5, time));
        }
        simulation
    });
}

/// Guards against two owners by turns (ONE): a fleet that starts, whose nodes list each other one
/// by one while the platform already answers them.
#[rstest]
fn cold_start_causes_no_turns(#[values(7, 25)] nodes: usize) {
    expect_no_turns(START_SPAN, |seed| {
        Simulation::cold_start(seed, nodes, ms(2_500), ms(7_000))
    });
}

/// Guards against two owners by turns (ONE): a fleet that starts, in which discovery takes as long as
/// views do. It has no bound: nodes ask one other node a second, and seeds may be down.
#[rstest]
fn slow_discovery_causes_no_turns(#[values(7, 25)] nodes: usize) {
    expect_no_turns(START_SPAN, |seed| {
        Simulation::cold_start(seed, nodes, ms(7_000), ms(7_000))
    });
}

/// Guards against two owners by turns (ONE): a fleet that starts with two of three seeds down and loses
/// one message of twenty finds itself by the real discovery.
#[rstest]
fn start_with_few_seeds_causes_no_turns(#[values(7, 15, 25)] nodes: usize) {
    expect_no_turns(START_SPAN, |seed| {
        Simulation::seeded_start(seed, nodes, 0.05)
    });
}

/// Guards against two owners by turns (ONE): a node is cut off from the others for longer than they keep
/// records of each other, takes itself for the only one, and goes on reaching engines and platform.
#[rstest]
fn forgotten_node_takes_no_turns(#[values(16_000, 20_000, 25_000)] time: u64) {
    expect_no_turns(FAULT_SPAN, |seed| {
        let mut simulation = Simulation::new(seed);
        simulation.informed = true;
        simulation.records_expire = true;
        simulation.schedule_fault(ms(8_000), Fault::Cut(seed as usize % 5, ms(time)));
        simulation
    });
}
