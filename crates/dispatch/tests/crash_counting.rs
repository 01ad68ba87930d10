//! Poison requests at nodes that count crashes and do not isolate suspects.

mod region;

use std::time::Duration;

use dispatch::PoisonDetector;
use dispatch::poison::{
    Action, Config, CrashReport, Event, Fingerprint, FingerprintStatus, Message, ReportId,
    fingerprint,
};
use rand::RngExt;
use region::{POISON, Plan, Region, Step, ms};
use rstest::rstest;
use wire::view::{Peer, State};
use wire::{Incarnation, Machine, View};

/// Time after the third crash after which arrivals at upstreams count as late.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Maximum number of late arrivals of one fingerprint.
const MAX_LATE_ARRIVALS: usize = 3;

/// Number of normal requests in a run.
const NORMAL_REQUESTS: Fingerprint = 2_000;

/// Number of seeds per case.
const SEEDS: u64 = 3;

fn plan(seed: u64, nodes: usize, upstreams: usize) -> Plan {
    Plan {
        seed,
        nodes,
        upstreams,
        config: Config::without_isolation(),
        loss: 0.1,
        naive: false,
        resends: true,
    }
}

/// Simulates normal requests over 40 s, together with poison requests, crashes that no request
/// causes and restarts of nodes.
fn simulate(plan: Plan, poison: u64, unrelated_crashes: usize, restarts: usize) -> Region {
    let nodes = plan.nodes;
    let mut region = Region::new(plan);
    for fingerprint in 0..NORMAL_REQUESTS {
        let at = ms(region.rng.random_range(0..40_000));
        region.push(at, Step::Send(fingerprint));
    }
    for fingerprint in 0..poison {
        let at = ms(region.rng.random_range(2_000..10_000));
        region.push(at, Step::Send(POISON + fingerprint));
    }
    for _ in 0..unrelated_crashes {
        let at = ms(region.rng.random_range(1_000..40_000));
        region.push(at, Step::UnrelatedCrash);
    }
    for _ in 0..restarts {
        let at = ms(region.rng.random_range(1_000..40_000));
        let node = region.rng.random_range(0..nodes);
        region.push(at, Step::Restart(node));
    }
    region.run(Duration::from_secs(60));
    region
}

/// Guards against the incident of BUDGET: resends reached upstreams through nodes that had not seen
/// the crashes, or had forgotten them after a restart.
#[rstest]
#[case::small(7, 12, 0)]
#[case::small_restarted(7, 12, 6)]
#[case::large(58, 90, 0)]
#[case::large_restarted(58, 90, 20)]
fn resends_are_refused_everywhere(
    #[case] nodes: usize,
    #[case] upstreams: usize,
    #[case] restarts: usize,
) {
    for seed in 0..SEEDS {
        let region = simulate(plan(seed, nodes, upstreams), 2, upstreams / 6, restarts);
        for (fingerprint, third) in &region.third_crash {
            let late = |(of, at): &&(Fingerprint, Duration)| {
                of == fingerprint && *at > *third + SETTLE_TIME
            };
            let late = region.arrivals.iter().filter(late).count();
            assert!(
                late <= MAX_LATE_ARRIVALS,
                "seed {seed}: {late} late arrivals of {fingerprint}"
            );
        }
        let most = region.crashed_by.values().max().copied().unwrap_or(0);
        println!(
            "seed {seed}: at most {most} upstreams crashed by one request, {} messages",
            region.messages
        );
    }
}

/// Maximum share of normal requests that may be refused: one in five hundred.
const MAX_REFUSED_SHARE: (u64, u64) = (1, 500);

/// Requests that ran beside crashes with other causes are rarely refused. In the worst case, 15 in
/// 100 upstreams crash every 5 s.
#[rstest]
#[case::small_rare(7, 12, 4)]
#[case::small_worst(7, 12, 16)]
#[case::large_rare(58, 90, 30)]
#[case::large_worst(58, 90, 108)]
fn unrelated_crashes_rarely_convict(
    #[case] nodes: usize,
    #[case] upstreams: usize,
    #[case] unrelated_crashes: usize,
) {
    let (mut convicted, mut messages) = (0, 0);
    for seed in 0..SEEDS {
        let region = simulate(plan(seed, nodes, upstreams), 0, unrelated_crashes, 0);
        convicted += region.refused.len();
        messages += region.messages;
    }
    let all = SEEDS * NORMAL_REQUESTS;
    println!(
        "{unrelated_crashes} crashes of {upstreams}: {convicted} of {all} convicted, {messages} messages"
    );
    let (numerator, denominator) = MAX_REFUSED_SHARE;
    assert!(
        convicted as u64 * denominator <= all * numerator,
        "{convicted} of {all} convicted"
    );
}

fn peer(name: &str, start: u64) -> Peer {
    Peer {
        incarnation: Incarnation::new(name, start),
        zone: "a".into(),
        state: State::Live,
    }
}

fn report(reporter: &str, number: u64, fingerprint: Fingerprint) -> CrashReport {
    CrashReport {
        id: ReportId {
            reporter: Incarnation::new(reporter, 1),
            number,
        },
        fingerprint,
        upstream: format!("engine-{number}").into(),
        isolated: false,
        age: Duration::ZERO,
    }
}

fn receive(poison: &mut PoisonDetector, now: Duration, report: CrashReport) -> Vec<Action> {
    let mut out = Vec::new();
    let from = report.id.reporter.clone();
    let message = Message::CrashReport(report);
    poison.step(now, Event::Receive { from, message }, &mut out);
    out
}

/// A request that many callers send, and that finishes, is not convicted by crashes which happen
/// while it runs.
#[test]
fn finished_request_stays_clear() {
    let me = Incarnation::new("vm-0", 1);
    let mut poison = PoisonDetector::new(Config::without_isolation(), me);
    let upstream = "engine-0".into();
    let arrive = Event::Dispatch {
        request: 1,
        fingerprint: 7,
        upstream,
    };
    poison.step(ms(0), arrive, &mut Vec::new());
    poison.step(ms(10), Event::Finished { request: 1 }, &mut Vec::new());
    for number in 0..3 {
        receive(&mut poison, ms(20), report("vm-1", number, 7));
        receive(&mut poison, ms(20), report("vm-1", 10 + number, 8));
    }
    assert_eq!(poison.status(7), FingerprintStatus::Clear);
    assert_eq!(poison.status(8), FingerprintStatus::Convicted);
}

/// Many requests with one crash report each do not displace a conviction.
#[test]
fn flood_keeps_convictions() {
    let config = Config {
        max_reports: 64,
        ..Config::without_isolation()
    };
    let mut poison = PoisonDetector::new(config, Incarnation::new("vm-0", 1));
    for number in 0..3 {
        receive(&mut poison, ms(0), report("vm-1", number, 7));
    }
    for number in 100..1_000 {
        receive(&mut poison, ms(number), report("vm-1", number, number));
    }
    assert_eq!(poison.status(7), FingerprintStatus::Convicted);
}

/// There is no crash report for a lost connection to an upstream that is still running, nor for a
/// request that was sent to an upstream after its crash.
#[test]
fn only_requests_in_flight_are_reported() {
    let mut poison = PoisonDetector::new(Config::without_isolation(), Incarnation::new("vm-0", 1));
    let mut step = |at, event| {
        let mut out = Vec::new();
        poison.step(ms(at), event, &mut out);
        out.into_iter()
            .filter_map(|action| match action {
                Action::CrashReported { report, .. } => Some(report.fingerprint),
                _ => None,
            })
            .collect::<Vec<_>>()
    };
    let arrive = |request, fingerprint| Event::Dispatch {
        request,
        fingerprint,
        upstream: "engine-0".into(),
    };
    step(0, arrive(1, 1));
    step(0, arrive(2, 2));
    step(10, Event::ConnectionLost { request: 1 });
    step(
        20,
        Event::StillRunning {
            upstream: "engine-0".into(),
        },
    );
    step(30, Event::ConnectionLost { request: 2 });
    step(40, arrive(3, 3));
    let reported = step(
        50,
        Event::Crashed {
            upstream: "engine-0".into(),
        },
    );
    assert_eq!(reported, [2]);
}

/// A restarted node receives the crash reports of convicted requests.
#[test]
fn restarted_node_receives_reports() {
    let mut poison = PoisonDetector::new(Config::without_isolation(), Incarnation::new("vm-0", 1));
    let view = View::new([peer("vm-0", 1), peer("vm-1", 1), peer("vm-2", 1)]);
    poison.step(ms(0), Event::View(view), &mut Vec::new());
    for number in 0..3 {
        receive(&mut poison, ms(10), report("vm-1", number, 7));
    }
    let view = View::new([peer("vm-0", 1), peer("vm-1", 1), peer("vm-2", 2)]);
    let mut out = Vec::new();
    poison.step(ms(20), Event::View(view), &mut out);
    let sent = out.iter().filter(|action| {
        matches!(action, Action::Send { to, message: Message::CrashReport(_) } if **to == *"vm-2")
    });
    assert_eq!(sent.count(), 3);
}

/// Parts that concatenate to the same bytes have different fingerprints.
#[test]
fn fingerprint_separates_parts() {
    let parts = |parts: [&str; 2]| fingerprint(parts.map(str::as_bytes));
    assert_eq!(parts(["a", "bc"]), parts(["a", "bc"]));
    assert_ne!(parts(["a", "bc"]), parts(["ab", "c"]));
}

/// Crash reports fit into the budget of messages: 4,096 bytes per second carry forty of them.
#[test]
fn crash_report_is_small() {
    let message = Message::CrashReport(report("vm-350-of-region-6", 1_000_000, u64::MAX));
    let bytes = wire::frame::encode(&message).expect("an encoded message");
    println!("a crash report takes {} bytes", bytes.len());
    assert!(bytes.len() * 40 <= 4_096, "{} bytes", bytes.len());
}
