//! Replays a trace on virtual time with the planners and with the naive version, and prints the
//! measurements of both. Positional arguments: random seed, length of the trace in seconds, requests
//! per second, and `alone` to skip the naive version.

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use std::time::Duration;

use fleet::engine::STEP;
use fleet::faults::Fault;
use fleet::trace::{Shape, bound, calls};
use fleet::{Call, Fleet, Outcome, Setup, SimEvent};
use placement::Settings;
use wire::Priority;

/// Store rate and planner settings of a deployment.
struct Deployment {
    name: &'static str,
    rate: f64,
    settings: Settings,
}

fn deployments() -> [Deployment; 2] {
    let queensland = Settings {
        load_stalls: 0.2,
        gather: Duration::from_millis(1000),
        ..Settings::default()
    };
    let ghana = Settings {
        load_stalls: 0.8,
        ..Settings::default()
    };
    [
        Deployment {
            name: "queensland",
            rate: 2.4,
            settings: queensland,
        },
        Deployment {
            name: "ghana",
            rate: 2.8,
            settings: ghana,
        },
    ]
}

fn run(setup: Setup, calls: &[Call], faults: bool) -> Fleet {
    let mut fleet = Fleet::new(setup);
    // The trace starts after the fleet has settled.
    let start = Duration::from_secs(10);
    for call in calls {
        let mut call = call.clone();
        call.at += start;
        fleet.schedule(call.at, SimEvent::Call(call));
    }
    let length = calls.last().map_or(Duration::ZERO, |call| call.at);
    if faults {
        for (fraction, engine) in [(0.3, 2), (0.55, 7)] {
            let at = start + length.mul_f64(fraction);
            fleet.schedule(at, SimEvent::Fault(Fault::Restart(engine)));
        }
        if !fleet.setup.naive {
            let at = start + length.mul_f64(0.75);
            fleet.schedule(at, SimEvent::Fault(Fault::Kill(3)));
        }
    }
    fleet.run(start + length + Duration::from_secs(70));
    let ids: Vec<u64> = fleet.calls.keys().copied().collect();
    for id in ids {
        if fleet.calls[&id].1.is_none() {
            fleet.finish(id, Outcome::Refused);
        }
    }
    fleet
}

fn percentile(stalls: &mut [Duration], quantile: f64) -> f64 {
    stalls.sort_unstable();
    let at = (stalls.len() as f64 * quantile) as usize;
    stalls
        .get(at.min(stalls.len().saturating_sub(1)))
        .map_or(0.0, Duration::as_secs_f64)
}

fn print_results(name: &str, fleet: &Fleet, requests: usize, seconds: f64) {
    let stats = &fleet.stats;
    let mut all: Vec<Duration> = stats.stalls.values().flatten().copied().collect();
    let line = |name: &str, stalls: &mut [Duration]| {
        println!(
            "  {name:<8} stall p50 {:>6.3} s  p95 {:>6.3} s  p99 {:>6.3} s  of {}",
            percentile(stalls, 0.5),
            percentile(stalls, 0.95),
            percentile(stalls, 0.99),
            stalls.len()
        );
    };
    println!("{name}");
    line("all", &mut all);
    for priority in Priority::ALL {
        let mut stalls = stats.stalls.get(&priority).cloned().unwrap_or_default();
        line(priority.name(), &mut stalls);
    }
    let (steps, work) = fleet.engines.iter().fold((0, 0), |(steps, work), engine| {
        (steps + engine.steps, work + engine.sequences)
    });
    let efficiency = work as f64 / (steps * fleet.setup.batch as u64) as f64;
    let count = |outcome: Outcome| stats.outcomes.values().filter(|e| **e == outcome).count();
    println!(
        "  batch efficiency {efficiency:.3}  loads/s {:.2}  loads/request {:.3} (served {:.3})  prefetches {}  failed loads {}",
        stats.loads as f64 / seconds,
        stats.loads as f64 / requests as f64,
        stats.loads as f64 / count(Outcome::Served) as f64,
        stats.prefetches,
        stats.load_failures,
    );
    println!(
        "  served {}  refused {}  cut {}  missing {}  {:?}",
        count(Outcome::Served),
        count(Outcome::Refused),
        count(Outcome::Cut),
        stats.missing,
        stats.reasons,
    );
    println!(
        "  evictions {}  in use {}  inversions {} on one upstream, {} across  wrong model {}  most loads in flight {}",
        stats.evictions,
        stats.evictions_in_use,
        stats.inversions,
        stats.inversions_across,
        stats.wrong,
        fleet.weights.peak_loads_in_flight,
    );
    println!(
        "  control bytes/request {:.0}  bytes/s/node {:.0}  {:?}",
        stats.bytes as f64 / requests as f64,
        stats.bytes as f64 / seconds / fleet.setup.nodes as f64,
        stats.kinds,
    );
}

fn main() {
    let mut args = std::env::args().skip(1);
    let seed = args.next().and_then(|a| a.parse().ok()).unwrap_or(1);
    let seconds: u64 = args.next().and_then(|a| a.parse().ok()).unwrap_or(1200);
    let rate: f64 = args.next().and_then(|a| a.parse().ok()).unwrap_or(6.0);
    let skip_naive = args.next().is_some_and(|a| a == "alone");
    let length = Duration::from_secs(seconds);
    for deployment in deployments() {
        let shape = Shape {
            seed,
            nodes: 7,
            adapters: 3000,
            exponent: 1.1,
            rate,
            swing: 0.4,
            term: length / 6,
            length,
            steps: (40, 120),
            hotspot: Some((length / 2, 3.0)),
        };
        let calls = calls(&shape);
        let setup = Setup {
            rate: deployment.rate,
            seed,
            failing: 0.02,
            settings: deployment.settings,
            ..Setup::default()
        };
        let bound = bound(&calls, setup.engines, setup.slots, setup.batch, STEP);
        println!(
            "== {} seed {seed}: {} requests in {seconds} s; the trace permits a batch efficiency of {:.3}, and {:.3} loads a request with the future known",
            deployment.name,
            calls.len(),
            bound.efficiency,
            bound.loads
        );
        let naive = Setup {
            naive: true,
            ..setup.clone()
        };
        print_results(
            "planner",
            &run(setup, &calls, true),
            calls.len(),
            seconds as f64,
        );
        if skip_naive {
            continue;
        }
        print_results(
            "naive",
            &run(naive, &calls, true),
            calls.len(),
            seconds as f64,
        );
    }
}
