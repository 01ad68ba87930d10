//! Poison requests in a region of seven nodes and nine upstreams that run full batches, with
//! isolation of suspects.

mod region;

use std::time::Duration;

use dispatch::PoisonDetector;
use dispatch::poison::{Action, Config, Event, Message};
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use rand::RngExt;
use region::{POISON, Plan, Region, Step, ms};
use rstest::rstest;
use wire::{Incarnation, Machine};

/// Maximum number of upstreams that one request may crash.
const MAX_CRASHED: usize = 2;

fn simulate(seed: u64, poison: u64, loss: f64, naive: bool) -> Region {
    let mut region = Region::new(Plan {
        seed,
        nodes: 7,
        upstreams: 9,
        config: Config::default(),
        loss,
        naive,
        resends: false,
    });
    let normal_requests = 2_000;
    for fingerprint in 0..normal_requests {
        let at = ms(region.rng.random_range(0..20_000));
        region.push(at, Step::Send(fingerprint));
    }
    for fingerprint in 0..poison {
        let at = ms(region.rng.random_range(2_000..18_000));
        region.push(at, Step::Send(POISON + fingerprint));
    }
    region.run(Duration::from_secs(240));
    region
}

#[rstest]
#[case::one(1, 0.0)]
#[case::three(3, 0.0)]
#[case::three_with_losses(3, 0.1)]
fn poison_refused(#[case] poison: u64, #[case] loss: f64) {
    let mut busy_responses = 0;
    for seed in 0..4 {
        let region = simulate(seed, poison, loss, false);
        let most = region.crashed_by.values().copied().max().unwrap_or(0);
        assert!(most <= MAX_CRASHED, "seed {seed}: {:?}", region.crashed_by);
        let refused_normal: Vec<_> = region.refused.iter().filter(|p| **p < POISON).collect();
        assert!(
            refused_normal.is_empty(),
            "seed {seed}: refused {refused_normal:?}"
        );
        assert_eq!(region.refused.len() as u64, poison, "seed {seed}");
        assert_eq!(region.answered.len(), 2_000, "seed {seed}");
        busy_responses += region.busy_responses;
    }
    println!("{poison} poison requests, loss {loss}: {busy_responses} busy responses");
}

/// Without detection, one poison request crashes more upstreams than allowed.
#[test]
fn naive_loses_more() {
    let region = simulate(0, 1, 0.0, true);
    let most = region.crashed_by.values().copied().max().unwrap_or(0);
    println!("without detection, one request crashed {most} upstreams");
    assert!(most > MAX_CRASHED);
}

/// Arbitrary bytes, and the messages that they decode to, cause no panic, and a node that receives
/// them decides about each request at most once.
#[test]
fn arbitrary_bytes() {
    let mut runner = TestRunner::new(proptest::test_runner::Config {
        cases: 20_000,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..Default::default()
    });
    let names: Vec<_> = (0..2)
        .map(|n| Incarnation::new(format!("vm-{n}"), 1))
        .collect();
    let decoded = std::cell::Cell::new(0);
    let check = |(kind, bytes): (u8, Vec<u8>)| {
        let bytes = [vec![kind], bytes].concat();
        let Ok(message) = wire::frame::decode::<Message>(&bytes) else {
            return Ok(());
        };
        decoded.set(decoded.get() + 1);
        let mut poison = PoisonDetector::new(Config::default(), names[0].clone());
        let mut out = Vec::new();
        for step in 0..3 {
            let event = Event::Dispatch {
                request: step,
                fingerprint: step,
                upstream: "engine-0".into(),
            };
            poison.step(ms(step), event, &mut out);
            let (from, message) = (names[1].clone(), message.clone());
            poison.step(ms(step), Event::Receive { from, message }, &mut out);
            poison.step(ms(500 * step), Event::Tick, &mut out);
        }
        let decision = |a: &&Action| {
            matches!(
                a,
                Action::Run { .. } | Action::Reroute { .. } | Action::Refuse { .. }
            )
        };
        prop_assert!(out.iter().filter(decision).count() <= 3);
        Ok(())
    };
    let bytes = proptest::collection::vec(0..40_u8, 0..24);
    runner
        .run(&(0..7_u8, bytes), check)
        .expect("the property holds");
    assert!(
        decoded.get() > 100,
        "only {} messages decoded",
        decoded.get()
    );
}
