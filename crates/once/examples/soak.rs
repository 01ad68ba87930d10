//! Runs random fault schedules for a range of seeds and prints each violated guarantee:
//! `cargo run --release -p hyssopscale-once --example soak -- 0 2000`.

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use std::time::Duration;

use fleet::{Fleet, Reply, UNRELIABLE};
use once::Config;

const TIME: Duration = Duration::from_secs(20);

fn config() -> Config {
    let mut config = Config {
        retry_window: Duration::from_secs(10),
        max_wait: Duration::from_secs(2),
        max_list_age: Duration::from_secs(5),
        resend_interval: fleet::ms(100),
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
    let (mut calls, mut answered, mut refused, mut violations) = (0, 0, [0; 3], 0);
    for seed in from..to {
        let mut fleet = Fleet::new(seed, 7, config(), UNRELIABLE);
        if seed.is_multiple_of(2) {
            fleet.use_current_ticket();
        } else {
            fleet.run(config().quarantine);
        }
        fleet.run_random_faults(TIME);
        calls += fleet.calls.len();
        for call in &fleet.calls {
            match &call.reply {
                Some((_, Reply::Record(_))) => answered += 1,
                Some((_, Reply::Refused(outcome, _))) => refused[*outcome as usize] += 1,
                None => {}
            }
        }
        for violation in fleet.violations() {
            violations += 1;
            println!("seed {seed}: {violation}");
        }
    }
    let [not_run, unknown, mismatch] = refused;
    println!(
        "{} schedules, {calls} calls: {answered} answered, {not_run} not-run, {unknown} unknown, {mismatch} mismatched; {violations} violations",
        to - from
    );
}
