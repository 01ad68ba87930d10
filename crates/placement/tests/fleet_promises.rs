//! Invariants of a small fleet under generated faults: pauses, VM failures, partitions, engine
//! restarts, and lost, delayed and duplicated messages.

mod fleet;

use std::time::Duration;

use fleet::faults::Fault;
use fleet::trace::{Shape, calls};
use fleet::{Fleet, Outcome, Setup, SimEvent};
use placement::Settings;
use placement::event::Fencing;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use wire::Time;

const NODES: usize = 4;
const ENGINES: usize = 3;
/// Start of the trace, after the fleet has settled.
const START: Duration = Duration::from_secs(8);
const LENGTH: Duration = Duration::from_secs(60);

fn fault() -> impl Strategy<Value = (u64, Fault)> {
    let pause = (0..NODES, 500..20_000_u64)
        .prop_map(|(node, ms)| Fault::Pause(node, Duration::from_millis(ms)));
    let split = prop::collection::vec(0..2_u32, NODES).prop_map(Fault::Partition);
    let fault = prop_oneof![
        3 => pause,
        2 => split,
        1 => Just(Fault::Partition(vec![0; NODES])),
        1 => (0..NODES).prop_map(Fault::Kill),
        1 => (0..ENGINES).prop_map(Fault::Restart),
    ];
    (8_000..60_000_u64, fault)
}

fn setups() -> impl Strategy<Value = Setup> {
    let shares = (0..3_u32, 0..3_u32, 0..3_u32);
    let kinds = (any::<bool>(), any::<bool>(), any::<u64>());
    (shares, kinds).prop_map(|((lost, late, failing), (refuses, gather, seed))| Setup {
        nodes: NODES,
        engines: ENGINES,
        slots: 3,
        batch: 8,
        rate: 2.4,
        fencing: if refuses {
            Fencing::RefusesOld
        } else {
            Fencing::Ignores
        },
        settings: Settings {
            gather: Duration::from_secs(u64::from(gather)),
            load_stalls: if gather { 0.2 } else { 0.8 },
            ..Settings::default()
        },
        seed,
        failing: f64::from(failing) * 0.05,
        hanging: f64::from(failing) * 0.03,
        lost: f64::from(lost) * 0.05,
        late: f64::from(late) * 0.1,
        naive: false,
    })
}

fn run(setup: &Setup, faults: &[(u64, Fault)]) -> Fleet {
    let shape = Shape {
        seed: setup.seed,
        nodes: NODES,
        adapters: 40,
        exponent: 0.9,
        rate: 2.5,
        swing: 0.2,
        term: LENGTH / 3,
        length: LENGTH,
        steps: (5, 90),
        hotspot: None,
    };
    let mut fleet = Fleet::new(setup.clone());
    for mut call in calls(&shape) {
        call.at += START;
        fleet.schedule(call.at, SimEvent::Call(call));
    }
    for (at, fault) in faults {
        fleet.schedule(Duration::from_millis(*at), SimEvent::Fault(fault.clone()));
    }
    fleet.run(START + LENGTH + Duration::from_secs(90));
    fleet
}

/// Returns a window in which the load starts exceed `rate` plus one start per listed VM, since each
/// VM may have saved one start from before the window.
fn find_rate_violation(starts: &[Time], rate: f64) -> Option<(Time, usize)> {
    for (first, from) in starts.iter().enumerate() {
        for (last, to) in starts.iter().enumerate().skip(first) {
            let allowed = rate * (*to - *from).as_secs_f64() + NODES as f64;
            if (last - first + 1) as f64 > allowed + 1.0 {
                return Some((*from, last - first + 1));
            }
        }
    }
    None
}

proptest! {
    #![proptest_config(Config {
        cases: 100,
        rng_seed: RngSeed::Fixed(0x0b5e_55ed),
        failure_persistence: None,
        max_shrink_iters: 200,
        ..Config::default()
    })]

    #[test]
    fn promises_hold(setup in setups(), faults in prop::collection::vec(fault(), 0..7)) {
        let fleet = run(&setup, &faults);
        let stats = &fleet.stats;
        prop_assert_eq!(stats.evictions_in_use, 0, "evicted an instance in use");
        prop_assert_eq!(stats.wrong, 0, "request served by the wrong model");
        prop_assert_eq!(stats.inversions, 0, "load ordered before an urgent one on the same upstream");
        prop_assert_eq!(find_rate_violation(&fleet.weights.starts, setup.rate), None);
        if setup.hanging == 0.0 {
            prop_assert!(fleet.weights.peak_loads_in_flight <= 8, "{} loads in flight", fleet.weights.peak_loads_in_flight);
        }
        for (id, (call, _)) in &fleet.calls {
            prop_assert!(stats.outcomes.contains_key(id), "call has no outcome: {call:?}");
        }
        if faults.is_empty() && setup.lost == 0.0 && setup.hanging == 0.0 {
            let served = stats.outcomes.values().filter(|e| **e == Outcome::Served).count();
            prop_assert!(served * 2 > fleet.calls.len(), "served only {served} of {} calls", fleet.calls.len());
            prop_assert_eq!(stats.inversions_across, 0, "load ordered before an urgent one on another upstream");
        }
    }
}

/// The naive version evicts instances in use under the same workload, which shows that the counter
/// can become nonzero.
#[test]
fn naive_evicts_in_use() {
    let setup = Setup {
        nodes: NODES,
        engines: ENGINES,
        slots: 3,
        naive: true,
        ..Setup::default()
    };
    let stats = run(&setup, &[]).stats;
    println!(
        "naive: {} evictions in use of {}",
        stats.evictions_in_use, stats.evictions
    );
    assert!(
        stats.evictions_in_use > 0,
        "none of {} evictions hit an instance in use",
        stats.evictions
    );
}
