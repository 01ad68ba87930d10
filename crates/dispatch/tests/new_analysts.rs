//! Nodes that have just become analysts, and may have missed the first reports of a crash.

use std::time::Duration;

use dispatch::CulpritDetector;
use dispatch::culprit::{Action, Config, CrashReport, Event, Feature, Message, ReportId, Status};
use rstest::rstest;
use wire::view::{Peer, State};
use wire::{Incarnation, Machine, Time, Upstream, View};

/// A feature of requests that crash upstreams, and one that sound requests have as well.
const CULPRIT: Feature = 7;
const COMMON: Feature = 20;

/// Time between two events of each node.
const STEP: Duration = Duration::from_millis(50);

const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn incarnation(number: usize) -> Incarnation {
    Incarnation::new(format!("vm-{number}").as_str(), 1)
}

fn engine(number: u64) -> Upstream {
    format!("engine-{number}").as_str().into()
}

/// Nodes that are all analysts, as long as there are three at most.
struct Fleet {
    nodes: Vec<CulpritDetector>,
    /// Messages that arrive with the next step.
    sent: Vec<(Incarnation, Message)>,
    now: Time,
}

impl Fleet {
    fn new(nodes: usize) -> Self {
        let node = |number| CulpritDetector::new(Config::default(), incarnation(number));
        Self {
            nodes: (0..nodes).map(node).collect(),
            sent: Vec::new(),
            now: Time::ZERO,
        }
    }

    fn step(&mut self, node: usize, event: Event) {
        let mut out = Vec::new();
        self.nodes[node].step(self.now, event, &mut out);
        let sent = out.into_iter().filter_map(|action| match action {
            Action::Send { message, .. } => Some((incarnation(node), message)),
            _ => None,
        });
        self.sent.extend(sent);
    }

    /// Has each node see all, itself in this state.
    fn see(&mut self, own: State) {
        for node in 0..self.nodes.len() {
            let view = View::new((0..self.nodes.len()).map(|number| Peer {
                incarnation: incarnation(number),
                zone: "a".into(),
                state: if number == node { own } else { State::Live },
            }));
            self.step(node, Event::View(view));
        }
    }

    /// Sends a request with a feature from a node to the upstream of its number.
    fn send(&mut self, node: usize, request: u64, feature: Feature) -> Upstream {
        let upstream = engine(request);
        let event = Event::Dispatch {
            request,
            features: vec![feature],
            upstream: upstream.clone(),
            process: None,
        };
        self.step(node, event);
        upstream
    }

    /// Lets an upstream crash under a request of a node.
    fn crash(&mut self, node: usize, request: u64, feature: Feature) {
        let upstream = self.send(node, request, feature);
        self.step(node, Event::ConnectionLost { request });
        self.step(node, Event::Crashed { upstream });
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for (from, message) in std::mem::take(&mut self.sent) {
                for node in 0..self.nodes.len() {
                    if incarnation(node) != from {
                        let (from, message) = (from.clone(), message.clone());
                        self.step(node, Event::Receive { from, message });
                    }
                }
            }
            (0..self.nodes.len()).for_each(|node| self.step(node, Event::Tick));
        }
    }

    fn convicting(&self, feature: Feature) -> usize {
        let convicts = |node: &&CulpritDetector| {
            node.status(self.now, &[feature]) == Status::Convicted(feature)
        };
        self.nodes.iter().filter(convicts).count()
    }
}

/// Guards against crashes that nobody counts, since all analysts are new at once: what crashes upstreams would go
/// on to crash others (BUDGET).
#[rstest]
#[case::one_started(1, false)]
#[case::one_paused(1, true)]
#[case::three_started(3, false)]
#[case::three_paused(3, true)]
fn crashes_outlast_learning(#[case] nodes: usize, #[case] paused: bool) {
    let mut fleet = Fleet::new(nodes);
    fleet.see(State::Live);
    if paused {
        fleet.run(ms(5_000));
        fleet.see(State::Suspect);
        fleet.see(State::Live);
    }
    for crash in 0..3 {
        fleet.run(ms(200));
        fleet.crash(crash as usize % nodes, crash, CULPRIT);
    }
    fleet.run(ms(3_000));
    assert_eq!(fleet.convicting(CULPRIT), nodes);
}

/// Guards against crashes that nobody counts, since all analysts stood still while connections broke: these are lost
/// shortly before each is an analyst again (BUDGET).
#[test]
fn crashes_during_pause_count() {
    let mut fleet = Fleet::new(3);
    fleet.see(State::Live);
    fleet.run(ms(5_000));
    fleet.see(State::Suspect);
    for request in 0..3 {
        fleet.send(0, request, CULPRIT);
        fleet.step(0, Event::ConnectionLost { request });
    }
    fleet.run(ms(300));
    fleet.see(State::Live);
    for request in 0..3 {
        let upstream = engine(request);
        fleet.step(0, Event::Crashed { upstream });
    }
    fleet.run(ms(3_000));
    assert_eq!(fleet.convicting(CULPRIT), 3);
}

/// Guards against a crash that a new analyst takes up although it has dropped some of its reports: a sound feature
/// would explain what is left.
#[rstest]
#[case::long_before(1_200)]
#[case::shortly_before(850)]
fn missed_crash_is_left_to_others(#[case] before: u64) {
    let mut fleet = Fleet::new(1);
    fleet.now = ms(2_000);
    fleet.see(State::Live);
    let crashed_at = ms(2_000 - before);
    let reports = [(8, ms(3_400), CULPRIT), (9, ms(3_600), COMMON)];
    for (reporter, arrives, feature) in reports {
        fleet.now = arrives;
        for number in 0..3 {
            let from = incarnation(reporter);
            let report = CrashReport {
                id: ReportId {
                    reporter: from.clone(),
                    number,
                },
                upstream: engine(number),
                age: arrives - crashed_at - ms(reporter as u64 * 50 - 400),
                charges: vec![(feature, 1)],
            };
            let message = Message::Crash(report);
            fleet.step(0, Event::Receive { from, message });
        }
    }
    fleet.run(ms(1_000));
    assert_eq!(fleet.convicting(COMMON), 0);
}

/// Guards against a sound feature that is convicted as soon as late reports come: nodes that have seen upstreams
/// survive it since have not been asked.
#[test]
fn late_reports_are_deliberated() {
    let mut fleet = Fleet::new(3);
    fleet.see(State::Live);
    fleet.run(ms(300));
    for crash in 0..3 {
        fleet.crash(0, crash, COMMON);
    }
    fleet.run(ms(300));
    fleet.send(1, 9, COMMON);
    fleet.step(1, Event::Finished { request: 9 });
    for _ in 0..80 {
        fleet.run(STEP);
        assert_eq!(fleet.convicting(COMMON), 0, "{:?}", fleet.now);
    }
}
