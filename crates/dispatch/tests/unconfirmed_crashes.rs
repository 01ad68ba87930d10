//! Crashes of upstreams that cannot be reached: the end of their processes shows in the listing.

use std::time::Duration;

use dispatch::CulpritDetector;
use dispatch::culprit::{Action, Config, CrashReport, Event, Feature, Message, ReportId, Status};
use rstest::rstest;
use wire::{Incarnation, Machine};

const CULPRIT: Feature = 7;
const SOUND: Feature = 8;

const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn upstream() -> wire::Upstream {
    "u".into()
}

struct Node(CulpritDetector);

impl Node {
    fn new() -> Self {
        let me = Incarnation::new("vm-0", 1);
        Self(CulpritDetector::new(Config::default(), me))
    }

    /// Takes an event in and returns the report that it leads to.
    fn step(&mut self, now: u64, event: Event) -> Option<CrashReport> {
        let mut out = Vec::new();
        self.0.step(ms(now), event, &mut out);
        out.into_iter().find_map(|action| match action {
            Action::Reported(report) => Some(report),
            _ => None,
        })
    }

    fn dispatch(&mut self, now: u64, request: u64, feature: Feature) {
        let event = Event::Dispatch {
            request,
            features: vec![feature],
            upstream: upstream(),
            process: None,
        };
        self.step(now, event);
    }

    /// A request of the culprit is broken off, 100 ms after it was sent.
    fn broken_off() -> Self {
        let mut node = Self::new();
        node.dispatch(0, 1, CULPRIT);
        node.step(100, Event::ConnectionLost { request: 1 });
        node
    }
}

fn unconfirmed() -> Event {
    Event::Unconfirmed {
        upstream: upstream(),
    }
}

fn gone() -> Event {
    Event::Gone {
        upstream: upstream(),
    }
}

fn restarted() -> Event {
    Event::Restarted {
        upstream: upstream(),
    }
}

fn crashed() -> Event {
    Event::Crashed {
        upstream: upstream(),
    }
}

fn still_running() -> Event {
    Event::StillRunning {
        upstream: upstream(),
    }
}

/// Guards against requests that crash upstreams unnoticed (BUDGET) while all nodes are cut off from them: a
/// refused connection proves nothing then.
#[rstest]
#[case::gone(gone())]
#[case::restarted(restarted())]
fn end_of_process_confirms_crash(#[case] event: Event, #[values(false, true)] examined: bool) {
    let mut node = Node::broken_off();
    if examined {
        assert_eq!(node.step(300, unconfirmed()), None);
    }
    let report = node.step(900, event).expect("a report");
    assert_eq!(report.charges, [(CULPRIT, 1)]);
    assert_eq!(report.age, ms(800));
    assert_eq!(node.step(950, crashed()), None, "it is reported twice");
}

/// Guards against a crash that is forgotten since the node stood still before it was found out (BUDGET), or that
/// counts as another one than the crash that the other nodes have reported. They report it within half a second.
#[rstest]
#[case::at_once(300, 0)]
#[case::after_pause(4_100, 3_500)]
fn paused_node_reports_crash(#[case] found_at: u64, #[case] age: u64) {
    let mut node = Node::broken_off();
    node.step(found_at, Event::Tick);
    let report = node.step(found_at, crashed()).expect("a report");
    assert_eq!(report.charges, [(CULPRIT, 1)]);
    assert_eq!(report.age, ms(age));
}

/// Guards against sound requests that are charged with an end which has nothing to do with them: of another
/// process, long after, or of an upstream that was found running.
#[rstest]
#[case::late(unconfirmed(), 3_200)]
#[case::late_unexamined(Event::Tick, 3_200)]
#[case::running(still_running(), 900)]
fn other_end_charges_nothing(#[case] found: Event, #[case] at: u64) {
    let mut node = Node::broken_off();
    node.step(300, found);
    node.step(at, Event::Tick);
    assert_eq!(node.step(at, gone()), None);
}

/// Guards against sound requests that are charged with a later crash: the upstream has answered since, or was
/// found running.
#[rstest]
#[case::answered(Event::Finished { request: 2 })]
#[case::running(still_running())]
fn upstream_that_ran_on_charges_nothing(#[case] event: Event) {
    let mut node = Node::broken_off();
    node.step(300, unconfirmed());
    node.dispatch(400, 2, SOUND);
    node.step(500, event);
    assert_eq!(node.step(900, gone()), None);
}

/// Requests that are still under way when an upstream is delisted may be answered.
#[test]
fn running_request_is_not_charged() {
    let mut node = Node::broken_off();
    node.dispatch(200, 2, SOUND);
    node.step(300, unconfirmed());
    let report = node.step(900, gone()).expect("a report");
    assert_eq!(report.charges, [(CULPRIT, 1)]);
}

/// Guards against a culprit that is not charged since a cut has broken another request off before.
#[test]
fn later_crash_is_charged() {
    let mut node = Node::new();
    node.dispatch(0, 1, SOUND);
    node.step(100, Event::ConnectionLost { request: 1 });
    node.step(300, unconfirmed());
    node.dispatch(500, 2, CULPRIT);
    node.step(600, Event::ConnectionLost { request: 2 });
    let report = node.step(900, crashed()).expect("a report");
    assert_eq!(report.charges, [(CULPRIT, 1)]);
}

/// Guards against a sound feature that is convicted as soon as its crashes are confirmed, which takes seconds: nodes
/// that have seen upstreams survive it since have not been asked.
#[test]
fn confirmed_crashes_are_deliberated() {
    let mut node = Node::new();
    let from = Incarnation::new("vm-1", 1);
    for number in 0..3 {
        let message = Message::Crash(CrashReport {
            id: ReportId {
                reporter: from.clone(),
                number,
            },
            upstream: format!("u{number}").as_str().into(),
            age: ms(2_000),
            charges: vec![(SOUND, 1)],
        });
        let from = from.clone();
        node.step(5_000, Event::Receive { from, message });
    }
    node.step(5_100, Event::Tick);
    assert!(!matches!(
        node.0.status(ms(5_100), &[SOUND]),
        Status::Convicted(_)
    ));
    let message = Message::Survived(vec![(SOUND, ms(1_000))]);
    node.step(5_300, Event::Receive { from, message });
    node.step(5_500, Event::Tick);
    assert!(!matches!(
        node.0.status(ms(5_500), &[SOUND]),
        Status::Convicted(_)
    ));
}
