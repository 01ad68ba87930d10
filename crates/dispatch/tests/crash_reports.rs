//! Crash reports of requests that run isolated once they are suspected.

use std::time::Duration;

use dispatch::PoisonDetector;
use dispatch::culprit::Start;
use dispatch::poison::{
    Action, Config, CrashReport, Event, Fingerprint, FingerprintStatus, Message, ReportId,
};
use rstest::rstest;
use wire::view::{Peer, State};
use wire::{Incarnation, Machine, View};

/// The process that is reported, and the one that takes its place.
const PROCESS: Start = 100;
const NEXT_PROCESS: Start = 200;

const VMS: [&str; 5] = ["vm-0", "vm-1", "vm-2", "vm-3", "vm-4"];

const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
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

/// Many requests with one crash report each do not displace a conviction.
#[test]
fn flood_keeps_convictions() {
    let config = Config {
        max_reports: 64,
        ..Config::default()
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
    let mut poison = PoisonDetector::new(Config::default(), Incarnation::new("vm-0", 1));
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
    let mut poison = PoisonDetector::new(Config::default(), Incarnation::new("vm-0", 1));
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

/// Crash reports fit into the budget of messages: 4,096 bytes per second carry forty of them.
#[test]
fn crash_report_is_small() {
    let message = Message::CrashReport(report("vm-350-of-region-6", 1_000_000, u64::MAX));
    let bytes = wire::frame::encode(&message).expect("an encoded message");
    println!("a crash report takes {} bytes", bytes.len());
    assert!(bytes.len() * 40 <= 4_096, "{} bytes", bytes.len());
}

/// Guards against sound requests that stay refused because of crashes which were none: what a node reported of
/// an upstream is taken back everywhere once its process answers, and nothing else.
#[test]
fn refuted_crashes_are_cleared() {
    let mut poison = PoisonDetector::new(Config::default(), Incarnation::new("vm-0", 1));
    let view = View::new([peer("vm-0", 1), peer("vm-1", 1)]);
    poison.step(ms(0), Event::View(view), &mut Vec::new());
    let mut crash = |at: u64, request, fingerprint, upstream: &str| {
        let events = [
            Event::Dispatch {
                request,
                fingerprint,
                upstream: upstream.into(),
            },
            Event::ConnectionLost { request },
            Event::Crashed {
                upstream: upstream.into(),
            },
        ];
        for event in events {
            poison.step(ms(at), event, &mut Vec::new());
        }
    };
    crash(10, 1, 7, "engine-0");
    crash(100, 2, 8, "engine-0");
    crash(110, 3, 9, "engine-1");
    crash(300, 4, 6, "engine-0");
    receive(&mut poison, ms(120), report("vm-1", 0, 5));
    let doubted = Event::Doubted {
        upstream: "engine-0".into(),
        process: PROCESS,
        since: ms(100),
    };
    poison.step(ms(310), doubted, &mut Vec::new());
    let mut out = Vec::new();
    poison.step(ms(350), answer(PROCESS, 200), &mut out);
    let cleared = [7, 8, 9, 6, 5].map(|of| poison.status(of) == FingerprintStatus::Clear);
    assert_eq!(cleared, [false, true, false, false, false]);
    let told = out.iter().filter(|action| {
        matches!(action, Action::Send { to, message: Message::Clear { reports } }
            if **to == *"vm-1" && reports.len() == 1)
    });
    assert_eq!(told.count(), 1);
}

/// Returns the answer of a process of engine-0 to what was asked at `asked`.
fn answer(process: Start, asked: u64) -> Event {
    Event::Inspected {
        upstream: "engine-0".into(),
        process,
        asked: ms(asked),
    }
}

/// Another process of the upstream, and an answer to what was asked before, clear nothing.
#[rstest]
#[case::next_process(NEXT_PROCESS, 200)]
#[case::asked_before(PROCESS, 90)]
fn unrelated_answer_clears_nothing(#[case] process: Start, #[case] asked: u64) {
    let mut poison = reporter();
    poison.step(ms(300), answer(process, asked), &mut Vec::new());
    assert_eq!(poison.status(7), FingerprintStatus::Suspect);
}

/// Makes a node that has reported a crash of engine-0, and doubts it.
fn reporter() -> PoisonDetector {
    let mut poison = PoisonDetector::new(Config::default(), Incarnation::new("vm-0", 1));
    let view = View::new(VMS.map(|vm| peer(vm, 1)));
    let events = [
        Event::View(view),
        Event::Dispatch {
            request: 1,
            fingerprint: 7,
            upstream: "engine-0".into(),
        },
        Event::ConnectionLost { request: 1 },
        Event::Crashed {
            upstream: "engine-0".into(),
        },
        Event::Doubted {
            upstream: "engine-0".into(),
            process: PROCESS,
            since: ms(100),
        },
    ];
    for event in events {
        poison.step(ms(100), event, &mut Vec::new());
    }
    poison
}

/// Requests of the same crash that are found out about later are taken back as well.
#[test]
fn later_reports_of_one_crash_are_cleared() {
    let mut poison = reporter();
    let events = [
        Event::Dispatch {
            request: 2,
            fingerprint: 8,
            upstream: "engine-0".into(),
        },
        Event::ConnectionLost { request: 2 },
        Event::Crashed {
            upstream: "engine-0".into(),
        },
    ];
    for event in events {
        poison.step(ms(150), event, &mut Vec::new());
    }
    poison.step(ms(300), answer(PROCESS, 200), &mut Vec::new());
    assert_eq!(
        [7, 8].map(|of| poison.status(of)),
        [FingerprintStatus::Clear; 2]
    );
}

/// Guards against sound requests that stay refused because of crashes which were none, since the node that
/// reported them is gone: those that keep the reports ask then, and not before.
#[rstest]
#[case::known(true)]
#[case::told_at_its_start(false)]
fn others_ask_for_a_lost_reporter(#[case] known: bool) {
    let others = VMS[1..].iter().map(|vm| Incarnation::new(*vm, 1));
    let mut others: Vec<(String, PoisonDetector)> = others
        .map(|me| {
            (
                me.vm.to_string(),
                PoisonDetector::new(Config::default(), me),
            )
        })
        .collect();
    let mut poison = reporter();
    let mut out = Vec::new();
    if known {
        // All reports are sent again.
        poison.step(ms(300), Event::Tick, &mut out);
    } else {
        for start in [1, 2] {
            let view = VMS.map(|vm| peer(vm, if vm == "vm-0" { 1 } else { start }));
            poison.step(ms(300), Event::View(View::new(view)), &mut out);
        }
    }
    let all = View::new(VMS.map(|vm| peer(vm, 1)));
    let left = View::new(VMS[1..].iter().map(|vm| peer(vm, 1)));
    let mut asking = 0;
    for (name, other) in &mut others {
        other.step(ms(0), Event::View(all.clone()), &mut Vec::new());
        for action in &out {
            let Action::Send { to, message } = action else {
                continue;
            };
            if **to == **name {
                let from = Incarnation::new("vm-0", 1);
                let message = message.clone();
                other.step(ms(300), Event::Receive { from, message }, &mut Vec::new());
            }
        }
        assert_eq!(other.status(7), FingerprintStatus::Suspect, "{name}");
        assert!(!asks(other, 400), "{name} asks at once");
        other.step(ms(500), Event::View(left.clone()), &mut Vec::new());
        asking += usize::from(asks(other, 600));
        other.step(ms(700), answer(PROCESS, 650), &mut Vec::new());
        assert_eq!(other.status(7), FingerprintStatus::Clear, "{name}");
    }
    assert_eq!(asking, 3);
}

/// Returns whether a node asks engine-0 which process it is.
fn asks(poison: &mut PoisonDetector, now: u64) -> bool {
    let mut out = Vec::new();
    poison.step(ms(now), Event::Tick, &mut out);
    let is_question = |action: &Action| matches!(action, Action::Inspect { upstream } if **upstream == *"engine-0");
    out.iter().any(is_question)
}
