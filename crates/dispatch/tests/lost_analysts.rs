//! Convictions whose analysts are gone: the other nodes go on with what these have told.

use std::time::Duration;

use dispatch::CulpritDetector;
use dispatch::culprit::{
    Action, Config, CrashReport, Event, Feature, Message, ReportId, Start, Status,
};
use rstest::rstest;
use wire::view::{Peer, State};
use wire::{Incarnation, Machine, Time, Upstream, View};

/// The feature that all reports have.
const FEATURE: Feature = 7;

/// The process that is reported, and the one that takes its place.
const PROCESS: Start = 100;
const NEXT_PROCESS: Start = 200;

/// The analyst that convicts, one of any view that it is in, and others.
const NODES: [&str; 6] = ["vm-1", "vm-0", "vm-2", "vm-3", "vm-4", "vm-5"];

const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn incarnation(vm: &str) -> Incarnation {
    Incarnation::new(vm, 1)
}

fn view(nodes: &[&str]) -> View {
    View::new(nodes.iter().map(|vm| Peer {
        incarnation: incarnation(vm),
        zone: "z".into(),
        state: State::Live,
    }))
}

fn engine(number: u64) -> Upstream {
    format!("engine-{number}").as_str().into()
}

/// A node, with what it sends and asks.
struct Node {
    name: &'static str,
    detector: CulpritDetector,
    sent: Vec<(String, Message)>,
    asked: Vec<Upstream>,
}

impl Node {
    fn new(name: &'static str) -> Self {
        Self {
            name,
            detector: CulpritDetector::new(Config::default(), incarnation(name)),
            sent: Vec::new(),
            asked: Vec::new(),
        }
    }

    fn step(&mut self, now: Time, event: Event) {
        let mut out = Vec::new();
        self.detector.step(now, event, &mut out);
        for action in out {
            match action {
                Action::Send { to, message } => self.sent.push((to.to_string(), message)),
                Action::Inspect { upstream } => self.asked.push(upstream),
                _ => {}
            }
        }
    }

    fn sees(&mut self, now: Time, nodes: &[&str]) {
        self.step(now, Event::View(view(nodes)));
    }

    /// Takes reports of crashes of so many engines, the process of each, and decides.
    fn convict(&mut self, engines: u64) {
        for number in 0..engines {
            let from = incarnation("vm-9");
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
                self.step(ms(2_000), Event::Receive { from, message });
            }
        }
        self.step(ms(2_500), Event::Tick);
        assert!(self.convicts(ms(2_500)));
    }

    /// Lets what this node has sent to `other` arrive there.
    fn deliver(&mut self, now: Time, other: &mut Self) {
        for (to, message) in std::mem::take(&mut self.sent) {
            if to == other.name {
                let from = incarnation(self.name);
                other.step(now, Event::Receive { from, message });
            }
        }
    }

    fn answer(&mut self, asked: Time, number: u64, process: Start) {
        let event = Event::Inspected {
            upstream: engine(number),
            process,
            asked,
        };
        self.step(asked + ms(5), event);
    }

    fn convicts(&self, now: Time) -> bool {
        self.detector.status(now, &[FEATURE]) == Status::Convicted(FEATURE)
    }
}

/// When the other node learns of the conviction.
#[derive(Clone, Copy)]
enum Learns {
    /// When it is decided.
    AtOnce,
    /// When it starts.
    AtItsStart,
}

/// Makes an analyst that convicts by crashes of so many engines, and the nodes that take its place once it is gone.
/// These have no reports.
fn successors(learns: Learns, engines: u64) -> Vec<Node> {
    let (known, heirs) = match learns {
        Learns::AtOnce => (&NODES[..3], &NODES[1..3]),
        Learns::AtItsStart => (&NODES[..1], &NODES[1..]),
    };
    let mut analyst = Node::new(NODES[0]);
    let mut others: Vec<Node> = heirs.iter().map(|name| Node::new(name)).collect();
    analyst.sees(ms(0), known);
    others.iter_mut().for_each(|other| other.sees(ms(0), known));
    analyst.convict(engines);
    analyst.sees(ms(2_600), &NODES);
    let sent = std::mem::take(&mut analyst.sent);
    for other in &mut others {
        analyst.sent.clone_from(&sent);
        analyst.deliver(ms(2_600), other);
        assert!(other.convicts(ms(2_600)), "{} does not know", other.name);
        other.sees(ms(3_000), heirs);
    }
    others
}

/// Guards against sound requests that stay convicted of crashes which were none since the analysts that convicted
/// them are gone (RECOVER after links were reset and nodes killed).
#[rstest]
#[case::at_once(Learns::AtOnce)]
#[case::at_its_start(Learns::AtItsStart)]
fn successor_lifts_conviction(#[case] learns: Learns) {
    for mut node in successors(learns, 3) {
        node.answer(ms(3_100), 0, PROCESS);
        assert!(!node.convicts(ms(3_200)), "{} holds it", node.name);
    }
}

/// Guards against sound requests that are refused for the seconds in which it is not known yet that the analysts
/// are gone (RECOVER).
#[test]
fn next_in_line_lift_conviction() {
    let mut analyst = Node::new(NODES[0]);
    analyst.sees(ms(0), &NODES);
    analyst.convict(3);
    let sent = std::mem::take(&mut analyst.sent);
    for name in &NODES[1..] {
        let mut other = Node::new(name);
        other.sees(ms(0), &NODES);
        analyst.sent.clone_from(&sent);
        analyst.deliver(ms(2_600), &mut other);
        other.step(ms(2_650), Event::Tick);
        assert!(!other.asked.is_empty(), "{name} does not ask");
        other.answer(ms(3_100), 0, PROCESS);
        assert!(!other.convicts(ms(3_200)), "{name} holds it");
        let lifts = |(_, message): &(String, Message)| matches!(message, Message::Verdict(verdict) if !verdict.convicted);
        assert!(other.sent.iter().any(lifts), "{name} tells nobody");
    }
}

/// Whoever may become an analyst asks the processes that a conviction rests on.
#[rstest]
#[case::at_once(Learns::AtOnce)]
#[case::at_its_start(Learns::AtItsStart)]
fn successors_ask(#[case] learns: Learns) {
    let mut asked: Vec<Vec<Upstream>> = Vec::new();
    for mut node in successors(learns, 3) {
        node.step(ms(3_050), Event::Tick);
        node.asked.dedup();
        asked.push(node.asked);
    }
    let all: Vec<Upstream> = (0..3).map(engine).collect();
    let asks = asked.iter().filter(|asked| **asked == all).count();
    assert_eq!(asks, asked.len(), "{asked:?}");
}

/// What leaves enough crashes, and the next process of an upstream, lift no conviction.
#[test]
fn successor_keeps_true_conviction() {
    for mut node in successors(Learns::AtOnce, 5) {
        node.answer(ms(3_100), 0, PROCESS);
        node.answer(ms(3_200), 0, PROCESS);
        node.answer(ms(3_300), 1, NEXT_PROCESS);
        node.answer(ms(3_400), 2, NEXT_PROCESS);
        node.answer(ms(3_500), 3, PROCESS);
        assert!(node.convicts(ms(3_600)), "{} lifts it", node.name);
        node.answer(ms(3_700), 4, PROCESS);
        assert!(!node.convicts(ms(3_800)), "{} holds it", node.name);
    }
}

/// What is heard again after an answer does not count anew.
#[test]
fn told_again_counts_once() {
    let mut analyst = Node::new(NODES[0]);
    let mut other = Node::new(NODES[1]);
    analyst.sees(ms(0), &NODES[..2]);
    other.sees(ms(0), &NODES[..2]);
    analyst.sees(ms(1_900), &NODES[..2]);
    analyst.convict(4);
    let sent = analyst.sent.clone();
    analyst.deliver(ms(2_600), &mut other);
    other.answer(ms(2_700), 0, PROCESS);
    analyst.sent = sent;
    analyst.deliver(ms(2_800), &mut other);
    other.answer(ms(2_900), 0, PROCESS);
    assert!(other.convicts(ms(3_000)));
    other.answer(ms(3_100), 1, PROCESS);
    assert!(!other.convicts(ms(3_200)));
}
