//! Time without orders to an engine after the nodes that owned it, or all nodes, have died.

mod soak;
mod support;

use std::time::Duration;

use rstest::rstest;
use soak::{Fault, Simulation};
use support::ms;

/// Number of nodes of the simulation with faults.
const NODES: usize = 5;

/// When the nodes die.
const DEATH: Duration = ms(10_000);

/// Time for which dead nodes stay away.
const AWAY: Duration = ms(20_000);

/// Start of the simulated clock.
const START: Duration = ms(1_000);

const SEEDS: std::ops::Range<u64> = 1..41;

/// Time until all engines are given orders again, beyond the announced delay of a recovery.
const RECOVERY_MAX: Duration = ms(12_000);

/// Kills the first `count` nodes and returns, sorted, the times until the first order to each engine
/// that one of them owned, `None` last for those without any.
fn gaps(seed: u64, count: usize, away: Duration) -> Vec<Duration> {
    let mut simulation = Simulation::new(seed);
    simulation.run_for(DEATH);
    let mut orphans: Vec<usize> = (0..count)
        .flat_map(|node| simulation.owned_by(node))
        .collect();
    orphans.sort_unstable();
    for node in 0..count {
        simulation.schedule_fault(ms(1), Fault::Kill(node, away));
    }
    simulation.run_for(AWAY);
    let died = START + DEATH + ms(1);
    let first = simulation.first_orders(died + ms(4));
    let gap = |engine: usize| first[engine].map_or(AWAY, |at| at - died);
    orphans.into_iter().map(gap).collect()
}

fn all_gaps(count: usize, away: Duration) -> Vec<Duration> {
    let mut gaps: Vec<Duration> = SEEDS.flat_map(|seed| gaps(seed, count, away)).collect();
    gaps.sort_unstable();
    println!(
        "{count} of {NODES} nodes: {} engines, median {:?}, 90% {:?}, longest {:?}",
        gaps.len(),
        gaps[gaps.len() / 2],
        gaps[gaps.len() * 9 / 10],
        gaps[gaps.len() - 1]
    );
    gaps
}

/// The engines of a dead node get orders of another one once its leases have ended.
#[rstest]
fn engines_of_dead_nodes_get_orders(#[values(1, 2)] count: usize) {
    let gaps = all_gaps(count, AWAY);
    assert!(gaps[gaps.len() - 1] < RECOVERY_MAX / 2);
}

/// Where most nodes die, engines get orders once enough of them are back.
#[rstest]
fn restarted_nodes_give_orders(#[values(3, 4, 5)] count: usize) {
    let back = ms(1_500);
    let gaps = all_gaps(count, back);
    assert!(gaps[gaps.len() - 1] < back + RECOVERY_MAX / 2);
}

/// A fleet that starts gives orders once its witnesses are ready.
#[rstest]
fn starting_nodes_give_orders(#[values(7, 25)] nodes: usize) {
    let mut gaps = Vec::new();
    for seed in SEEDS {
        let mut simulation = Simulation::cold_start(seed, nodes, ms(1_000), ms(2_000));
        simulation.run_for(ms(10_000));
        let first = simulation.first_orders(START);
        gaps.extend(first.into_iter().map(|at| at.map_or(AWAY, |at| at - START)));
    }
    gaps.sort_unstable();
    println!(
        "{nodes} nodes start: median {:?}, longest {:?}",
        gaps[gaps.len() / 2],
        gaps[gaps.len() - 1]
    );
    assert!(gaps[gaps.len() - 1] < RECOVERY_MAX / 2);
}
