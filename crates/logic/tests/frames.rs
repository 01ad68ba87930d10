//! Frames between joined machines.

use std::time::Duration;

use logic::{Action, Channel, Config, Event, Node};
use proptest::prelude::*;
use proptest::test_runner::{Config as Cases, RngSeed};
use wire::{Frame, Incarnation, Machine, Time};

fn node(vm: &str) -> Node {
    Node::new(Config {
        me: Incarnation::new(vm, 1),
        zone: "zone".into(),
        manifest: "manifest".into(),
        seed: 1,
        placement: placement::settings::Settings::default(),
        once: once::participant::Config::default(),
        admission: admission::Config::default(),
        poison: dispatch::poison::Config::default(),
    })
}

fn list() -> Event {
    let member = |vm: &str| roster::Member {
        vm: vm.into(),
        zone: "zone".into(),
        leaving: false,
    };
    Event::List {
        members: vec![member("a"), member("b")],
        revision: Some(1),
    }
}

fn step(node: &mut Node, now: Time, event: Event) -> Vec<Frame> {
    let mut actions = Vec::new();
    node.step(now, event, &mut actions);
    let frame = |action| match action {
        Action::Frame(frame) => Some(frame),
        _ => None,
    };
    actions.into_iter().filter_map(frame).collect()
}

/// Runs two nodes for `span` and returns them with the last frames of the first.
fn pair(span: Duration) -> ([Node; 2], Vec<Frame>) {
    let mut nodes = [node("a"), node("b")];
    let mut now = Time::ZERO;
    let mut under_way: Vec<Frame> = nodes
        .iter_mut()
        .flat_map(|node| step(node, now, list()))
        .collect();
    let mut sent = Vec::new();
    while now < span {
        now += Duration::from_millis(20);
        for frame in std::mem::take(&mut under_way) {
            let index = usize::from(&*frame.to == "b");
            under_way.extend(step(&mut nodes[index], now, Event::Frame(frame)));
        }
        for node in &mut nodes {
            under_way.extend(step(node, now, Event::Tick));
        }
        sent.extend(
            under_way
                .iter()
                .filter(|frame| &*frame.from.vm == "a")
                .cloned(),
        );
    }
    (nodes, sent)
}

#[test]
fn both_fit() {
    let (nodes, _) = pair(Duration::from_secs(5));
    assert!(nodes.iter().all(|node| node.roster().fit()));
}

#[test]
fn other_addressee() {
    let (mut nodes, sent) = pair(Duration::from_secs(5));
    let now = Duration::from_secs(5);
    let answered = |node: &mut Node, frame: &Frame| {
        let frame = frame.clone();
        !step(node, now, Event::Frame(frame)).is_empty()
    };
    let asked = sent.iter().find(|frame| answered(&mut nodes[1], frame));
    let mut asked = asked
        .expect("some frame of five seconds is answered at once")
        .clone();
    asked.to = "c".into();
    assert!(!answered(&mut nodes[1], &asked));
}

proptest! {
    #![proptest_config(Cases {
        cases: 512,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..Cases::default()
    })]

    #[test]
    fn any_body(
        channel in 0..=Channel::ALL.len() as u8,
        body in proptest::collection::vec(any::<u8>(), 0..64),
    ) {
        let mut node = node("a");
        let frame = Frame { from: Incarnation::new("b", 1), to: "a".into(), channel, body };
        let mut actions = Vec::new();
        node.step(Time::ZERO, list(), &mut actions);
        node.step(Time::ZERO, Event::Frame(frame), &mut actions);
        let executes = |action: &Action| matches!(action, Action::Once(once::Action::Execute { .. }));
        prop_assert!(!actions.iter().any(executes));
    }
}
