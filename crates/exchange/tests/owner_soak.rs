//! What owners must hold under any faults together, in virtual time.
//!
//! `HYSSOPSCALE_SOAK_SEEDS=100..400 cargo test --release -p hyssopscale-exchange --test owner_soak`
//! plays other seeds.

mod soak;
mod support;

use std::time::Duration;

use rstest::rstest;
use soak::{Fault, World};
use support::ms;

/// Time that is played under faults.
const SPAN: Duration = ms(30_000);

/// Time after the last fault by which all is in order again.
const RECOVERY: Duration = ms(12_000);

fn seeds() -> std::ops::Range<u64> {
    let given = std::env::var("HYSSOPSCALE_SOAK_SEEDS").unwrap_or_default();
    let parsed = given.split_once("..").and_then(|(first, last)| {
        let first = first.parse().ok()?;
        Some(first..last.parse().ok()?)
    });
    parsed.unwrap_or(1..41)
}

#[rstest]
fn calm_fleet_serves() {
    let mut world = World::new(7);
    world.play(SPAN);
    assert_eq!(world.holders(), [1; 6]);
    let part = world.served as f64 / world.asked as f64;
    assert!(part > 0.8, "{} of {}", world.served, world.asked);
    for engine in &world.engines {
        assert_eq!(engine.overfilled, 0);
        assert!(engine.turns().is_empty(), "{:?}", engine.turns());
        let (used, idle) = engine.unloads;
        assert!(used * 20 <= idle, "{used} unloads in use, {idle} others");
    }
}

/// Engines are never overfilled, no two nodes use one number, and in the end each engine has one
/// owner and serves.
#[rstest]
fn faults_break_no_rule() {
    for seed in seeds() {
        let mut world = World::new(seed);
        world.trouble(14, SPAN);
        world.play(SPAN + RECOVERY);
        for engine in &world.engines {
            assert_eq!(engine.overfilled, 0, "seed {seed}, {}", engine.id);
            let shared = engine.shared_numbers();
            assert!(shared.is_empty(), "seed {seed}, {}: {shared:?}", engine.id);
        }
        assert_eq!(world.holders(), [1; 6], "seed {seed}");
        let (served, asked) = (world.served, world.asked);
        world.play(ms(6_000));
        let part = (world.served - served) as f64 / (world.asked - asked) as f64;
        assert!(part > 0.7, "seed {seed}: {part:.2} served after the faults");
    }
}

/// Deaths and clocks alone: whoever takes an engine over, no two nodes order there in turn.
#[rstest]
fn deaths_bring_no_turns() {
    for seed in seeds() {
        let mut world = World::new(seed);
        for (index, at) in [3_000_u64, 9_000, 9_500, 17_000].into_iter().enumerate() {
            let node = (seed as usize + index) % 5;
            world.fault(ms(at), Fault::Kill(node, ms(700 + 400 * index as u64)));
            world.fault(ms(at + 700), Fault::Clock((node + 1) % 5, -3_000));
        }
        world.play(SPAN);
        for engine in &world.engines {
            let turns = engine.turns();
            assert!(turns.is_empty(), "seed {seed}, {}: {turns:?}", engine.id);
        }
        assert_eq!(world.holders(), [1; 6], "seed {seed}");
    }
}

/// Engines that do not look at numbers: whoever restarts, or is cut off and does not know it, no
/// two nodes order there in turn, and no lower number follows a higher one.
#[rstest]
fn unchecked_orders_never_overlap() {
    for seed in seeds() {
        let mut world = World::unfenced(seed);
        for (index, at) in [9_000_u64, 14_000, 21_000, 30_000].into_iter().enumerate() {
            let node = (seed as usize + index) % 5;
            let time = ms(300 + (seed * 700 + at) % 9_000);
            let fault = if (seed as usize + index).is_multiple_of(2) {
                Fault::Cut(node, time)
            } else {
                Fault::Kill(node, time)
            };
            world.fault(ms(at), fault);
            world.fault(ms(at + 700), Fault::Clock((node + 1) % 5, -3_000));
        }
        world.play(SPAN + SPAN);
        for engine in &world.engines {
            let turns = engine.turns();
            assert!(turns.is_empty(), "seed {seed}, {}: {turns:?}", engine.id);
            let lowered = &engine.lowered;
            assert!(
                lowered.is_empty(),
                "seed {seed}, {}: {lowered:?}",
                engine.id
            );
        }
        assert_eq!(world.holders(), [1; 6], "seed {seed}");
        let part = world.served as f64 / world.asked as f64;
        assert!(part > 0.7, "seed {seed}: {part:.2} served");
    }
}
