//! Runs fault schedules for a range of seeds and prints each promise broken:
//! `cargo run --release -p hyssopscale-once --example soak -- 0 2000`.

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use std::time::Duration;

use fleet::{Fleet, ROUGH, Told};
use once::Config;

const TIME: Duration = Duration::from_secs(20);

fn config() -> Config {
    let mut config = Config {
        retry_window: Duration::from_secs(10),
        max_wait: Duration::from_secs(2),
        fence: Duration::from_secs(5),
        resend: fleet::ms(100),
        ..fleet::config()
    };
    config.quarantine = config.full_quarantine();
    config
}

fn main() {
    let numbers: Vec<u64> = std::env::args()
        .skip(1)
        .filter_map(|a| a.parse().ok())
        .collect();
    let (from, to) = match numbers[..] {
        [from, to] => (from, to),
        _ => (0, 100),
    };
    let (mut calls, mut answered, mut refused, mut broken) = (0, 0, [0; 3], 0);
    for seed in from..to {
        let mut fleet = Fleet::new(seed, 7, config(), ROUGH);
        if seed.is_multiple_of(2) {
            fleet.take_ticket();
        } else {
            fleet.run(config().quarantine);
        }
        fleet.torment(TIME);
        calls += fleet.calls.len();
        for call in &fleet.calls {
            match &call.told {
                Some((_, Told::Record(_))) => answered += 1,
                Some((_, Told::Refused(outcome, _))) => refused[*outcome as usize] += 1,
                None => {}
            }
        }
        for fault in fleet.broken() {
            broken += 1;
            println!("seed {seed}: {fault}");
        }
    }
    let [not_run, unknown, mismatch] = refused;
    println!(
        "{} schedules, {calls} calls: {answered} answered, {not_run} not-run, {unknown} unknown, {mismatch} mismatched; {broken} promises broken",
        to - from
    );
}
