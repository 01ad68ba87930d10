//! Requests that crash the upstreams that run them, and that their callers send again and again.

mod outage;

use std::time::Duration;

use dispatch::CulpritDetector;
use dispatch::culprit::{Action, Config, CrashReport, Event, Feature, Message, ReportId, Status};
use dispatch::poison::fingerprint;
use outage::{CULPRIT, Outage, Plan, ms};
use rand::RngExt;
use rstest::rstest;
use wire::view::{Peer, State};
use wire::{Incarnation, Machine, View};

/// Time after the third crash after which arrivals at upstreams count as late.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Maximum number of late arrivals of one request.
const MAX_LATE_ARRIVALS: usize = 3;

/// Number of normal requests in a run.
const NORMAL_REQUESTS: u64 = 2_000;

/// Number of seeds per case.
const SEEDS: u64 = 3;

fn plan(seed: u64, nodes: usize, upstreams: usize) -> Plan {
    Plan {
        seed,
        nodes,
        upstreams,
        config: Config::default(),
        loss: 0.1,
        downtime: Duration::from_secs(10),
        naive: false,
    }
}

/// Simulates normal requests over 40 s, together with poison requests, crashes that no request
/// causes and restarts of nodes.
fn simulate(plan: Plan, poison: u64, unrelated_crashes: usize, restarts: usize) -> Outage {
    let nodes = plan.nodes;
    let mut outage = Outage::new(plan);
    for number in 0..NORMAL_REQUESTS {
        let at = ms(outage.rng.random_range(0..40_000));
        outage.send_resent_if_broken(at, number);
    }
    for number in 0..poison {
        let at = ms(outage.rng.random_range(2_000..10_000));
        outage.send_resent(at, &[CULPRIT + number]);
    }
    for _ in 0..unrelated_crashes {
        let at = ms(outage.rng.random_range(1_000..40_000));
        outage.crash_any_at(at);
    }
    for _ in 0..restarts {
        let at = ms(outage.rng.random_range(1_000..40_000));
        let node = outage.rng.random_range(0..nodes);
        outage.restart_at(at, node);
    }
    outage.run(Duration::from_secs(60));
    outage
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
        let outage = simulate(plan(seed, nodes, upstreams), 2, upstreams / 6, restarts);
        for (feature, crashes) in &outage.crashes {
            let Some(third) = crashes.get(2) else {
                continue;
            };
            let late =
                |(of, at): &&(Feature, Duration)| of == feature && *at > *third + SETTLE_TIME;
            let late = outage.arrivals.iter().filter(late).count();
            assert!(
                late <= MAX_LATE_ARRIVALS,
                "seed {seed}: {late} late arrivals of {feature}"
            );
        }
        let most = outage.crashes.values().map(Vec::len).max().unwrap_or(0);
        println!(
            "seed {seed}: at most {most} upstreams crashed by one request, {} messages",
            outage.messages
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
    let (mut refused, mut messages) = (0, 0);
    for seed in 0..SEEDS {
        let outage = simulate(plan(seed, nodes, upstreams), 0, unrelated_crashes, 0);
        refused += outage.fates.values().filter(|fate| fate.refused).count();
        messages += outage.messages;
    }
    let all = SEEDS * NORMAL_REQUESTS;
    println!(
        "{unrelated_crashes} crashes of {upstreams}: {refused} of {all} refused, {messages} messages"
    );
    let (numerator, denominator) = MAX_REFUSED_SHARE;
    assert!(
        refused as u64 * denominator <= all * numerator,
        "{refused} of {all} refused"
    );
}

fn peer(name: &str, start: u64) -> Peer {
    Peer {
        incarnation: Incarnation::new(name, start),
        zone: "a".into(),
        state: State::Live,
    }
}

fn detector() -> CulpritDetector {
    CulpritDetector::new(Config::default(), Incarnation::new("vm-0", 1))
}

fn report(reporter: &str, number: u64, features: &[Feature]) -> CrashReport {
    CrashReport {
        id: ReportId {
            reporter: Incarnation::new(reporter, 1),
            number,
        },
        upstream: format!("engine-{number}").into(),
        age: Duration::ZERO,
        charges: features.iter().map(|feature| (*feature, 1)).collect(),
    }
}

fn receive(detector: &mut CulpritDetector, now: Duration, report: CrashReport) -> Vec<Action> {
    let from = report.id.reporter.clone();
    let message = Message::Crash(report);
    step(detector, now, Event::Receive { from, message })
}

fn step(detector: &mut CulpritDetector, now: Duration, event: Event) -> Vec<Action> {
    let mut out = Vec::new();
    detector.step(now, event, &mut out);
    out
}

/// Convicts a feature by three crashes at 10 ms, and lets the deliberation pass.
fn convict(detector: &mut CulpritDetector, feature: Feature) -> Vec<Action> {
    for number in 0..3 {
        receive(detector, ms(10), report("vm-1", number, &[feature]));
    }
    step(detector, ms(500), Event::Tick)
}

fn dispatch(request: u64, features: &[Feature]) -> Event {
    Event::Dispatch {
        request,
        features: features.to_vec(),
        upstream: "engine-0".into(),
        process: None,
    }
}

/// A request that many callers send, and that finishes, is not convicted by crashes which happen
/// while it runs.
#[test]
fn finished_request_stays_clear() {
    let mut detector = detector();
    step(&mut detector, ms(0), dispatch(1, &[7]));
    step(&mut detector, ms(10), Event::Finished { request: 1 });
    for number in 0..3 {
        receive(&mut detector, ms(20), report("vm-1", number, &[7]));
        receive(&mut detector, ms(20), report("vm-1", 10 + number, &[8]));
    }
    step(&mut detector, ms(500), Event::Tick);
    assert!(!matches!(
        detector.status(ms(500), &[7]),
        Status::Convicted(_)
    ));
    assert_eq!(detector.status(ms(500), &[8]), Status::Convicted(8));
}

/// A request that finishes after the crashes that it ran beside is clear again.
#[test]
fn finished_request_clears_crashes() {
    let mut detector = detector();
    step(&mut detector, ms(0), dispatch(1, &[7]));
    for number in 0..3 {
        receive(&mut detector, ms(20), report("vm-1", number, &[7]));
    }
    step(&mut detector, ms(100), Event::Tick);
    step(&mut detector, ms(130), Event::Finished { request: 1 });
    step(&mut detector, ms(500), Event::Tick);
    step(&mut detector, ms(2_000), Event::Tick);
    assert_eq!(detector.status(ms(2_000), &[7]), Status::Clear);
}

/// Many requests with one crash each displace neither a conviction nor the crashes of a suspect.
#[test]
fn flood_keeps_convictions() {
    let config = Config {
        max_charges: 64,
        ..Config::default()
    };
    let mut detector = CulpritDetector::new(config, Incarnation::new("vm-0", 1));
    convict(&mut detector, 7);
    for number in 0..2 {
        receive(&mut detector, ms(600), report("vm-1", 10 + number, &[8]));
    }
    for number in 100..130 {
        receive(
            &mut detector,
            ms(number * 10),
            report("vm-1", number, &[number]),
        );
    }
    receive(&mut detector, ms(2_000), report("vm-1", 12, &[8]));
    for number in 200..1_000 {
        receive(
            &mut detector,
            ms(number * 10),
            report("vm-1", number, &[number]),
        );
    }
    step(&mut detector, ms(2_500), Event::Tick);
    assert_eq!(detector.status(ms(2_500), &[7]), Status::Convicted(7));
}

/// There is no crash report for a lost connection to an upstream that is still running, nor for a
/// request that was sent to an upstream after its crash, nor for one whose answer has been under way.
#[test]
fn only_requests_in_flight_are_reported() {
    let mut detector = detector();
    let upstream = || "engine-0".into();
    for request in 1..=2 {
        step(&mut detector, ms(0), dispatch(request, &[request]));
    }
    step(&mut detector, ms(0), dispatch(4, &[4]));
    let survived = Event::Survived {
        request: 4,
        began: ms(5),
    };
    step(&mut detector, ms(5), survived);
    step(&mut detector, ms(10), Event::ConnectionLost { request: 1 });
    step(
        &mut detector,
        ms(20),
        Event::StillRunning {
            upstream: upstream(),
        },
    );
    step(&mut detector, ms(30), Event::ConnectionLost { request: 2 });
    step(&mut detector, ms(40), dispatch(3, &[3]));
    let actions = step(
        &mut detector,
        ms(50),
        Event::Crashed {
            upstream: upstream(),
        },
    );
    let reported: Vec<_> = actions
        .into_iter()
        .filter_map(|action| match action {
            Action::Reported(report) => Some(report.charges),
            _ => None,
        })
        .collect();
    assert_eq!(reported, [vec![(2, 1)]]);
}

/// A restarted node receives the convictions.
#[test]
fn restarted_node_receives_reports() {
    let mut detector = detector();
    let view = |start| View::new([peer("vm-0", 1), peer("vm-1", 1), peer("vm-2", start)]);
    step(&mut detector, ms(0), Event::View(view(1)));
    for number in 0..3 {
        receive(&mut detector, ms(2_000), report("vm-1", number, &[7]));
    }
    step(&mut detector, ms(2_500), Event::Tick);
    let out = step(&mut detector, ms(2_600), Event::View(view(2)));
    let sent = out.iter().filter(|action| {
        matches!(action, Action::Send { to, message: Message::Verdict(verdict) }
            if **to == *"vm-2" && verdict.feature == 7 && verdict.convicted)
    });
    assert_eq!(sent.count(), 1);
}

/// An operator's lift holds until the feature crashes as many upstreams again.
#[test]
fn lifted_conviction_stays_lifted() {
    let mut detector = detector();
    convict(&mut detector, 7);
    assert_eq!(detector.status(ms(500), &[7]), Status::Convicted(7));
    step(&mut detector, ms(600), Event::Lift { feature: 7 });
    for number in 3..5 {
        receive(&mut detector, ms(700), report("vm-1", number, &[7]));
    }
    step(&mut detector, ms(1_500), Event::Tick);
    assert!(!matches!(
        detector.status(ms(1_500), &[7]),
        Status::Convicted(_)
    ));
    receive(&mut detector, ms(1_600), report("vm-1", 5, &[7]));
    step(&mut detector, ms(2_100), Event::Tick);
    assert_eq!(detector.status(ms(2_100), &[7]), Status::Convicted(7));
}

/// A crash that a convicted feature explains is attributed to no other.
#[test]
fn explained_crashes_convict_nobody() {
    let mut detector = detector();
    convict(&mut detector, 7);
    for number in 10..14 {
        receive(&mut detector, ms(600), report("vm-1", number, &[7, 8]));
    }
    step(&mut detector, ms(2_000), Event::Tick);
    assert!(!matches!(
        detector.status(ms(2_000), &[8]),
        Status::Convicted(_)
    ));
}

/// Guards against one crash that counts as several: requests that are sent to a dead upstream behind
/// a proxy are broken off as well, and reported again and again.
#[test]
fn dead_upstream_crashes_once() {
    let mut detector = detector();
    for number in 0..12 {
        let late = CrashReport {
            upstream: "engine-0".into(),
            ..report("vm-1", number, &[7])
        };
        receive(&mut detector, ms(number * 400), late);
    }
    step(&mut detector, ms(6_000), Event::Tick);
    assert_eq!(detector.status(ms(6_000), &[7]), Status::Clear);
}

/// Guards against sound requests being charged that were sent to an upstream after its crash.
#[test]
fn late_reports_charge_nobody() {
    let mut detector = detector();
    for number in 0..3 {
        let upstream = || format!("engine-{number}").into();
        let first = CrashReport {
            upstream: upstream(),
            ..report("vm-1", 10 + number, &[7])
        };
        let late = CrashReport {
            upstream: upstream(),
            ..report("vm-2", 20 + number, &[8])
        };
        receive(&mut detector, ms(number * 50), first);
        receive(&mut detector, ms(number * 50 + 800), late);
    }
    step(&mut detector, ms(2_000), Event::Tick);
    assert_eq!(detector.status(ms(2_000), &[7]), Status::Convicted(7));
    assert!(!matches!(
        detector.status(ms(2_000), &[8]),
        Status::Convicted(_)
    ));
}

/// Guards against a conviction that falls because a second culprit was in flight beside the first.
#[test]
fn second_culprit_keeps_the_first() {
    let mut detector = detector();
    for number in 0..3 {
        receive(&mut detector, ms(10), report("vm-1", number, &[7, 8]));
    }
    receive(&mut detector, ms(10), report("vm-1", 3, &[7]));
    step(&mut detector, ms(500), Event::Tick);
    for number in 10..13 {
        receive(&mut detector, ms(600), report("vm-1", number, &[8]));
    }
    step(&mut detector, ms(1_100), Event::Tick);
    assert_eq!(detector.status(ms(1_100), &[7]), Status::Convicted(7));
    assert_eq!(detector.status(ms(1_100), &[8]), Status::Convicted(8));
}

/// Guards against a sound part that many requests have being convicted before the culprits beside it,
/// each of which explains fewer of the crashes.
#[test]
fn popular_part_needs_more_crashes() {
    let mut detector = detector();
    for number in 0..4 {
        let culprit = 7 + number % 2;
        let several = CrashReport {
            charges: vec![(culprit, 1), (20, 5)],
            ..report("vm-1", number, &[])
        };
        receive(&mut detector, ms(10), several);
    }
    step(&mut detector, ms(500), Event::Tick);
    assert!(!matches!(
        detector.status(ms(500), &[20]),
        Status::Convicted(_)
    ));
    for number in 4..7 {
        receive(
            &mut detector,
            ms(600),
            report("vm-1", number, &[7 + number % 2]),
        );
    }
    step(&mut detector, ms(1_100), Event::Tick);
    assert_eq!(detector.status(ms(1_100), &[7]), Status::Convicted(7));
    assert_eq!(detector.status(ms(1_100), &[8]), Status::Convicted(8));
    assert!(!matches!(
        detector.status(ms(1_100), &[20]),
        Status::Convicted(_)
    ));
}

/// Guards against a second culprit being sent on and on because the first one explains its crashes.
#[test]
fn persistent_culprit_is_convicted() {
    let mut detector = detector();
    convict(&mut detector, 7);
    for number in 10..15 {
        receive(&mut detector, ms(600), report("vm-1", number, &[7, 8]));
    }
    step(&mut detector, ms(1_100), Event::Tick);
    assert_eq!(detector.status(ms(1_100), &[8]), Status::Convicted(8));
}

/// Guards against a request that many callers send being convicted just before the culprit, since it was
/// in flight in one more crash, which had another cause.
#[test]
fn popular_request_waits_for_culprit() {
    let mut detector = detector();
    let beside = |number: u64, charges: &[(Feature, u16)]| CrashReport {
        charges: charges.to_vec(),
        ..report("vm-1", number, &[])
    };
    receive(&mut detector, ms(10), beside(0, &[(20, 3)]));
    for number in 1..5 {
        receive(&mut detector, ms(10), beside(number, &[(7, 3), (20, 3)]));
    }
    step(&mut detector, ms(500), Event::Tick);
    assert!(!matches!(
        detector.status(ms(500), &[20]),
        Status::Convicted(_)
    ));
    receive(&mut detector, ms(600), beside(5, &[(7, 3), (20, 3)]));
    step(&mut detector, ms(1_100), Event::Tick);
    assert_eq!(detector.status(ms(1_100), &[7]), Status::Convicted(7));
    assert!(!matches!(
        detector.status(ms(1_100), &[20]),
        Status::Convicted(_)
    ));
}

/// Guards against sound parts being convicted by a node that has just become an analyst: it has missed
/// the first reports of a crash, and takes those of requests sent to a dead upstream for all of it.
#[test]
fn new_analyst_waits() {
    let mut detector = detector();
    let view = View::new([peer("vm-0", 1), peer("vm-1", 1)]);
    step(&mut detector, ms(0), Event::View(view));
    for number in 0..3 {
        receive(&mut detector, ms(100), report("vm-1", number, &[7]));
    }
    step(&mut detector, ms(600), Event::Tick);
    assert_eq!(detector.status(ms(600), &[7]), Status::Clear);
    for number in 3..6 {
        receive(&mut detector, ms(3_000), report("vm-1", number, &[7]));
    }
    step(&mut detector, ms(3_500), Event::Tick);
    assert_eq!(detector.status(ms(3_500), &[7]), Status::Convicted(7));
}

/// A node charges no request that it sends to an upstream after that has crashed.
#[test]
fn request_to_dead_upstream_is_not_charged() {
    let mut detector = detector();
    let upstream = || "engine-0".into();
    let mut reports = 0;
    for request in 1..=4 {
        let at = request * 300;
        step(&mut detector, ms(at), dispatch(request, &[request]));
        step(
            &mut detector,
            ms(at + 10),
            Event::ConnectionLost { request },
        );
        let actions = step(
            &mut detector,
            ms(at + 20),
            Event::Crashed {
                upstream: upstream(),
            },
        );
        reports += actions
            .iter()
            .filter(|a| matches!(a, Action::Reported(_)))
            .count();
    }
    assert_eq!(reports, 1);
}

/// Guards against a crash that is not reported, since requests that met the former process of the upstream
/// while it was down are taken for those in flight: what crashes upstreams would go on to crash others.
#[rstest]
#[case::answered(true)]
#[case::unanswered(false)]
fn former_crash_hides_no_new_one(#[case] answered: bool) {
    let mut detector = detector();
    let upstream = || "engine-0".into();
    let lost = |request| Event::ConnectionLost { request };
    let crashed = || Event::Crashed {
        upstream: upstream(),
    };
    let mut events = vec![
        (0, dispatch(1, &[1])),
        (10, lost(1)),
        (12, dispatch(2, &[2])),
        (15, lost(2)),
        (20, crashed()),
    ];
    if answered {
        events.push((900, dispatch(3, &[3])));
        events.push((910, Event::Finished { request: 3 }));
    }
    events.extend([
        (1_300, dispatch(4, &[4])),
        (1_310, lost(4)),
        (1_320, crashed()),
    ]);
    let actions = events
        .into_iter()
        .flat_map(|(at, event)| step(&mut detector, ms(at), event));
    let reported: Vec<_> = actions
        .filter_map(|action| match action {
            Action::Reported(report) => Some(report.charges),
            _ => None,
        })
        .collect();
    assert_eq!(reported, [vec![(1, 1)], vec![(4, 1)]]);
}

/// Guards against a crash that is not reported, since the upstream had started again a moment before under
/// the id that it had, and still counted as dead.
#[test]
fn restarted_upstream_crashes_anew() {
    let mut detector = detector();
    let upstream = || "engine-0".into();
    let mut reported = Vec::new();
    for (request, at) in [(1, 0), (2, 900), (3, 1_100)] {
        if request == 3 {
            let restarted = Event::Restarted {
                upstream: upstream(),
            };
            step(&mut detector, ms(1_000), restarted);
        }
        step(&mut detector, ms(at), dispatch(request, &[request]));
        let lost = Event::ConnectionLost { request };
        step(&mut detector, ms(at + 10), lost);
        let crashed = Event::Crashed {
            upstream: upstream(),
        };
        let actions = step(&mut detector, ms(at + 20), crashed);
        reported.extend(actions.into_iter().filter_map(|action| match action {
            Action::Reported(report) => Some(report.charges),
            _ => None,
        }));
    }
    assert_eq!(reported, [vec![(1, 1)], vec![(3, 1)]]);
}

/// Guards against several crashes of one upstream that count as one, since it starts again under its id
/// while requests to its former process are still reported.
#[test]
fn crashes_under_one_id_count_each() {
    let mut detector = detector();
    for number in 0..9 {
        let at = number * 400;
        if number > 0 && number % 3 == 0 {
            let upstream = "engine-0".into();
            step(&mut detector, ms(at - 100), Event::Restarted { upstream });
        }
        let crash = CrashReport {
            upstream: "engine-0".into(),
            ..report("vm-1", number, &[7])
        };
        receive(&mut detector, ms(at), crash);
    }
    step(&mut detector, ms(4_000), Event::Tick);
    assert_eq!(detector.status(ms(4_000), &[7]), Status::Convicted(7));
}

/// Guards against a decision without end: a conviction that is lifted at the time of a new decision on
/// the same feature stays lifted until the next one.
#[test]
fn lift_at_the_same_time_ends_the_decision() {
    // Otherwise a decision on reports that come after the lift is later than that.
    let config = Config {
        deliberation: Duration::ZERO,
        ..Config::default()
    };
    let mut detector = CulpritDetector::new(config, Incarnation::new("vm-0", 1));
    convict(&mut detector, 7);
    step(&mut detector, ms(600), Event::Lift { feature: 7 });
    for number in 20..25 {
        let old = CrashReport {
            age: ms(590),
            ..report("vm-1", number, &[7])
        };
        receive(&mut detector, ms(600), old);
    }
    step(&mut detector, ms(600), Event::Tick);
    assert!(!matches!(
        detector.status(ms(600), &[7]),
        Status::Convicted(_)
    ));
    step(&mut detector, ms(700), Event::Tick);
    assert_eq!(detector.status(ms(700), &[7]), Status::Convicted(7));
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
    let message = Message::Crash(report(
        "vm-350-of-region-6",
        1_000_000,
        &[u64::MAX, u64::MAX - 1],
    ));
    let bytes = wire::frame::encode(&message).expect("an encoded message");
    println!("a crash report takes {} bytes", bytes.len());
    assert!(bytes.len() * 40 <= 4_096, "{} bytes", bytes.len());
}

/// A report of the largest size fits into one datagram.
#[test]
fn largest_report_fits() {
    let mut detector = detector();
    for request in 0..500 {
        let features: Vec<Feature> = (0..64).map(|part| u64::MAX - request * 64 - part).collect();
        let features: Vec<Feature> = features.into_iter().rev().collect();
        step(&mut detector, ms(0), dispatch(request, &features));
    }
    let upstream = "engine-0".into();
    let actions = step(&mut detector, ms(10), Event::Crashed { upstream });
    let report = actions.iter().find_map(|action| match action {
        Action::Reported(report) => Some(report.clone()),
        _ => None,
    });
    let message = Message::Crash(report.expect("a report"));
    let bytes = wire::frame::encode(&message).expect("an encoded message");
    assert!(bytes.len() <= 60_000, "{} bytes", bytes.len());
}
