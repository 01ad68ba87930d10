//! Reports of crashes that were none: links were reset, and the process runs on.

use std::time::Duration;

use dispatch::CulpritDetector;
use dispatch::culprit::{
    Action, Config, CrashReport, Event, Feature, Message, ReportId, Start, Status,
};
use rstest::rstest;
use wire::view::{Peer, State};
use wire::{Incarnation, Machine, Time, View};

/// The feature that all reports have.
const FEATURE: Feature = 7;

/// The process that is reported, and the one that takes its place.
const PROCESS: Start = 100;
const NEXT_PROCESS: Start = 200;

const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// An analyst that is alone.
struct Analyst(CulpritDetector);

impl Analyst {
    fn new() -> Self {
        let me = Incarnation::new("vm-0", 1);
        Self(CulpritDetector::new(Config::default(), me))
    }

    fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.0.step(now, event, &mut out);
        out
    }

    /// Takes another node's report of a crash of `engine-NUMBER`, and of its process.
    fn report(&mut self, now: Time, number: u64) {
        let from = Incarnation::new("vm-1", 1);
        let id = ReportId {
            reporter: from.clone(),
            number,
        };
        let crash = Message::Crash(CrashReport {
            id: id.clone(),
            upstream: engine(number),
            age: Duration::ZERO,
            charges: vec![(FEATURE, 1)],
        });
        for message in [crash, Message::CrashedProcess(id, PROCESS)] {
            let from = from.clone();
            self.step(now, Event::Receive { from, message });
        }
    }

    /// Takes crashes of so many engines, and decides.
    fn convict(&mut self, engines: u64) {
        (0..engines).for_each(|number| self.report(ms(10), number));
        self.step(ms(500), Event::Tick);
        assert!(self.is_convicted(ms(500)));
    }

    /// Takes the answer of `engine-NUMBER`.
    fn answer(&mut self, asked: Time, number: u64, process: Start) {
        let event = Event::Inspected {
            upstream: engine(number),
            process,
            asked,
        };
        self.step(asked + ms(5), event);
    }

    fn is_convicted(&self, now: Time) -> bool {
        self.0.status(now, &[FEATURE]) == Status::Convicted(FEATURE)
    }

    /// Returns the upstreams that it asks at a tick.
    fn asked(&mut self, now: Time) -> Vec<String> {
        let out = self.step(now, Event::Tick).into_iter();
        let asked = out.filter_map(|action| match action {
            Action::Inspect { upstream } => Some(upstream.to_string()),
            _ => None,
        });
        asked.collect()
    }
}

fn engine(number: u64) -> wire::Upstream {
    format!("engine-{number}").as_str().into()
}

/// Guards against sound requests that stay convicted of crashes which were none (RECOVER after links were
/// reset).
#[test]
fn answer_lifts_conviction() {
    let mut analyst = Analyst::new();
    analyst.convict(3);
    analyst.answer(ms(600), 0, PROCESS);
    assert_eq!(analyst.0.status(ms(700), &[FEATURE]), Status::Clear);
    analyst.step(ms(1_000), Event::Tick);
    assert!(!analyst.is_convicted(ms(1_000)));
}

/// An answer before the decision prevents the conviction.
#[test]
fn answer_prevents_conviction() {
    let mut analyst = Analyst::new();
    (0..3).for_each(|number| analyst.report(ms(10), number));
    analyst.answer(ms(100), 0, PROCESS);
    analyst.step(ms(1_000), Event::Tick);
    assert!(!analyst.is_convicted(ms(1_000)));
}

/// What leaves enough crashes lifts no conviction.
#[test]
fn other_crashes_suffice() {
    let mut analyst = Analyst::new();
    analyst.convict(4);
    analyst.answer(ms(600), 0, PROCESS);
    assert!(analyst.is_convicted(ms(700)));
    analyst.answer(ms(800), 1, PROCESS);
    assert!(!analyst.is_convicted(ms(900)));
}

/// The next process of an upstream says nothing about the former one, nor does an answer to what was asked
/// before the crash.
#[rstest]
#[case::next_process(600, NEXT_PROCESS)]
#[case::asked_before(5, PROCESS)]
fn unrelated_answer_refutes_nothing(#[case] asked: u64, #[case] process: Start) {
    let mut analyst = Analyst::new();
    analyst.convict(3);
    (0..3).for_each(|number| analyst.answer(ms(asked), number, process));
    analyst.step(ms(1_000), Event::Tick);
    assert!(analyst.is_convicted(ms(1_000)));
}

/// Reports that disagree on the process are never refuted.
#[test]
fn disputed_crash_stands() {
    let mut analyst = Analyst::new();
    analyst.convict(3);
    let reporter = Incarnation::new("vm-1", 1);
    for number in 0..3 {
        let id = ReportId {
            reporter: reporter.clone(),
            number,
        };
        let event = Event::Receive {
            from: reporter.clone(),
            message: Message::CrashedProcess(id, NEXT_PROCESS),
        };
        analyst.step(ms(520), event);
        analyst.answer(ms(600), number, NEXT_PROCESS);
    }
    assert!(analyst.is_convicted(ms(700)));
}

/// A report that is sent again, as all are, stays refuted; the crashes that follow count.
#[test]
fn later_crashes_count() {
    let mut analyst = Analyst::new();
    analyst.convict(3);
    (0..3).for_each(|number| analyst.answer(ms(600), number, PROCESS));
    (0..3).for_each(|number| analyst.report(ms(650), number));
    analyst.step(ms(1_500), Event::Tick);
    assert!(!analyst.is_convicted(ms(1_500)));
    (10..13).for_each(|number| analyst.report(ms(2_000), number));
    analyst.step(ms(2_500), Event::Tick);
    assert!(analyst.is_convicted(ms(2_500)));
}

/// Upstreams are asked until they answer or are replaced, and after the next report again.
#[test]
fn reported_upstreams_are_asked() {
    let mut analyst = Analyst::new();
    analyst.report(ms(10), 0);
    analyst.report(ms(10), 1);
    assert_eq!(analyst.asked(ms(20)), ["engine-0", "engine-1"]);
    assert!(analyst.asked(ms(30)).is_empty());
    assert_eq!(analyst.asked(ms(300)), ["engine-0", "engine-1"]);
    analyst.answer(ms(310), 0, PROCESS);
    let upstream = engine(1);
    analyst.step(ms(320), Event::Restarted { upstream });
    assert!(analyst.asked(ms(5_000)).is_empty());
    analyst.report(ms(5_010), 7);
    assert_eq!(analyst.asked(ms(5_020)), ["engine-7"]);
}

/// A node tells the process that was listed when it sent the requests, unless that changed between them.
#[rstest]
#[case::one_process([Some(PROCESS), Some(PROCESS)], Some(PROCESS))]
#[case::two_processes([Some(PROCESS), Some(NEXT_PROCESS)], None)]
#[case::unknown([None, None], None)]
fn reports_tell_process(#[case] listed: [Option<Start>; 2], #[case] told: Option<Start>) {
    let mut node = Analyst::new();
    let peer = |vm: &str| Peer {
        incarnation: Incarnation::new(vm, 1),
        zone: "z".into(),
        state: State::Live,
    };
    let view = View::new([peer("vm-0"), peer("vm-1")]);
    node.step(ms(0), Event::View(view));
    for (request, process) in (1..).zip(listed) {
        let event = Event::Dispatch {
            request,
            features: vec![FEATURE],
            upstream: engine(0),
            process,
        };
        node.step(ms(10), event);
    }
    for request in 1..=2 {
        node.step(ms(20), Event::ConnectionLost { request });
    }
    let upstream = engine(0);
    let out = node.step(ms(30), Event::Crashed { upstream });
    let processes = out.into_iter().filter_map(|action| match action {
        Action::Send {
            message: Message::CrashedProcess(_, process),
            ..
        } => Some(process),
        _ => None,
    });
    let processes: Vec<Start> = processes.collect();
    assert_eq!(processes, Vec::from_iter(told));
}
