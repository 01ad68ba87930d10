//! Views converge again after node and network faults.

mod network;
#[path = "network/region.rs"]
mod region;

use std::time::Duration;

use network::{Fault, Node, vm};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use region::{Peer, Region, converged, members, region, start};
use roster::message::Gossip;
use roster::{Event, Message, Note};
use rstest::rstest;
use wire::Incarnation;
use wire::view::State;

const SETTLE: Duration = Duration::from_secs(30);
const DETECT: Duration = Duration::from_secs(15);

fn settles(net: &mut Region) -> Duration {
    net.run_till(SETTLE, converged).expect("views converge")
}

fn notes(net: &Region, kind: impl Fn(&Note) -> bool) -> usize {
    let notes = net.nodes().flat_map(|peer| &peer.notes);
    notes.filter(|(_, note)| kind(note)).count()
}

fn suspicions(net: &Region) -> usize {
    notes(net, |note| matches!(note, Note::Suspected(_)))
}

fn doubts(net: &Region) -> usize {
    notes(net, |note| matches!(note, Note::Unresponsive(_)))
}

#[rstest]
fn starts(#[values(1, 2, 7, 60)] count: usize, #[values(0, 20)] loss: u64) {
    let net = region(7, count, loss);
    assert!(net.nodes().all(|peer| peer.roster.fit()));
}

#[rstest]
fn dead_node(#[values(1, 2, 3)] seed: u64, #[values(7, 60)] count: usize) {
    let mut net = region(seed, count, 20);
    net.place(3, None);
    let gone = |net: &Region| net.nodes().all(|p| p.state(3) == Some(State::Suspect));
    assert!(net.run_till(DETECT, gone).is_some());
    start(&mut net, 3);
    settles(&mut net);
}

#[rstest]
fn half_cut_off(#[values(1, 2)] seed: u64, #[values(7, 20)] count: usize) {
    let mut net = region(seed, count, 20);
    let (a, b): (Vec<usize>, Vec<usize>) = (0..count).partition(|index| index % 2 == 0);
    net.split(&a, &b);
    net.run(Duration::from_secs(40));
    for (half, other) in [(&a, &b), (&b, &a)] {
        for &index in half {
            let peer = net.node(index).expect("it runs");
            assert!(half.iter().all(|i| peer.state(*i) == Some(State::Live)));
            assert!(other.iter().all(|i| peer.state(*i) == Some(State::Suspect)));
        }
    }
    net.heal();
    settles(&mut net);
}

/// A node that returns from a partition doubts all others; this must not make any of them suspect.
#[rstest]
fn lone_accuser(#[values(1, 2, 3)] seed: u64) {
    let mut net = region(seed, 20, 0);
    let others: Vec<usize> = (1..20).collect();
    net.split(&[0], &others);
    net.run(Duration::from_secs(30));
    let before = suspicions(&net);
    net.heal();
    settles(&mut net);
    net.run(Duration::from_secs(20));
    assert_eq!(suspicions(&net), before);
}

/// Indirect probes keep a node in the view of a peer that has no working direct link to it.
#[rstest]
fn one_way_cuts(#[values(1, 2)] seed: u64) {
    let mut net = region(seed, 7, 0);
    net.fault = Fault::default();
    net.run(Duration::from_secs(5));
    let before = (suspicions(&net), doubts(&net));
    net.cut(0, 1);
    net.cut(2, 3);
    net.cut(4, 0);
    net.run(Duration::from_secs(60));
    assert_eq!((suspicions(&net), doubts(&net)), before);
    assert!(converged(&net));
}

#[rstest]
fn all_restarted(#[values(1, 2)] seed: u64, #[values(7, 60)] count: usize) {
    let mut net = region(seed, count, 20);
    for index in 0..count {
        start(&mut net, index);
        net.run(Duration::from_secs(60) / u32::try_from(count).expect("a small region"));
    }
    settles(&mut net);
}

#[rstest]
fn earlier_clock(#[values(1, 2)] seed: u64) {
    let mut net = region(seed, 7, 20);
    net.run(Duration::from_secs(5));
    net.place(2, Some(Peer::new(2, 1_000)));
    let (members, revision) = (members(7), Some(1));
    net.with(2, |peer, now| {
        peer.step(now, Event::List { members, revision });
    });
    settles(&mut net);
    assert_eq!(
        net.node(0)
            .unwrap()
            .view
            .peer(&vm(2))
            .unwrap()
            .incarnation
            .start,
        1_000
    );
}

/// A paused node owns nothing based on its stale state until peers answer.
#[rstest]
fn woken_late(#[values(1, 2, 3)] seed: u64) {
    let mut net = region(seed, 7, 20);
    net.pause(1, Duration::from_secs(20));
    net.run(Duration::from_secs(19));
    let others = || [0, 2, 3, 4, 5, 6];
    let suspect = |i| net.node(i).unwrap().state(1) == Some(State::Suspect);
    assert!(others().into_iter().all(suspect));
    let woken = |net: &Region| {
        let notes = &net.node(1).unwrap().notes;
        notes
            .iter()
            .any(|(_, note)| matches!(note, Note::Paused { .. }))
    };
    net.run_till(Duration::from_secs(2), woken)
        .expect("the pause is detected");
    // Until it is fit, the resumed node must stay suspect in its own view.
    while !net.node(1).unwrap().roster.fit() {
        assert_eq!(net.node(1).unwrap().state(1), Some(State::Suspect));
        net.run(Duration::from_millis(1));
    }
    settles(&mut net);
}

/// Answers to requests sent before a pause do not make a node fit.
#[test]
fn old_answers() {
    let mut peer = Peer::new(0, 1);
    let (members, revision) = (members(3), Some(1));
    let table = |sequence| Message::Table {
        sequence,
        gossip: Gossip::default(),
    };
    let tell = |peer: &mut Peer, ms, sequence| {
        for index in 1..3 {
            let from = Incarnation::new(vm(index), 1);
            let message = table(sequence);
            peer.step(Duration::from_millis(ms), Event::Receive { from, message });
        }
    };
    peer.step(Duration::ZERO, Event::List { members, revision });
    let sequence = joins(&mut peer);
    tell(&mut peer, 5_000, sequence);
    assert!(!peer.roster.fit(), "requested before the pause");
    let sequence = joins(&mut peer);
    tell(&mut peer, 5_100, sequence);
    assert!(peer.roster.fit(), "requested after the pause");
}

/// Returns the sequence number of the node's latest join request.
fn joins(peer: &mut Peer) -> u32 {
    let messages = peer.frames().into_iter().map(|frame| frame.body);
    let sequences = messages.filter_map(|body| match wire::frame::decode(&body) {
        Ok(Message::Join { sequence }) => Some(sequence),
        _ => None,
    });
    sequences.last().expect("a join request was sent")
}

/// Of two processes on one VM, the older one becomes unfit when it resumes from a pause.
#[test]
fn superseded() {
    let mut net = region(5, 7, 0);
    let stale = net.node(1).unwrap().roster.clone();
    let me = net.node(1).unwrap().me.clone();
    let mut old = Peer::new(1, me.start);
    start(&mut net, 1);
    settles(&mut net);
    old.roster = stale;
    net.place(1, Some(old));
    net.run(Duration::from_secs(20));
    assert!(!net.node(1).unwrap().roster.fit());
    assert_ne!(
        net.node(0).unwrap().view.peer(&vm(1)).unwrap().incarnation,
        me
    );
}

#[test]
fn lagging_list() {
    let mut net = region(5, 7, 0);
    let list = |net: &mut Region, count, revision| {
        let members = members(count);
        net.with(0, |peer, now| {
            peer.step(now, Event::List { members, revision });
        });
    };
    list(&mut net, 5, Some(3));
    assert_eq!(net.node(0).unwrap().view.peers().len(), 5);
    list(&mut net, 7, Some(2));
    assert_eq!(
        net.node(0).unwrap().view.peers().len(),
        5,
        "an older list is ignored"
    );
    list(&mut net, 0, Some(4));
    assert_eq!(
        net.node(0).unwrap().view.peers().len(),
        5,
        "an empty list is ignored"
    );
    list(&mut net, 7, Some(5));
    settles(&mut net);
    let mut leaving = members(7);
    leaving[3].leaving = true;
    let event = Event::List {
        members: leaving,
        revision: None,
    };
    net.with(0, |peer, now| peer.step(now, event));
    assert_eq!(net.node(0).unwrap().state(3), Some(State::Leaving));
}

#[derive(Clone, Debug)]
enum FaultEvent {
    Kill(usize),
    Start(usize),
    Pause(usize, u64),
    Cut(usize, usize),
    Split(usize),
    Heal,
}

fn faults() -> impl Strategy<Value = Vec<(FaultEvent, u64)>> {
    let node = || 0..7_usize;
    let fault = prop_oneof![
        node().prop_map(FaultEvent::Kill),
        node().prop_map(FaultEvent::Start),
        (node(), 1..15_000_u64).prop_map(|(node, ms)| FaultEvent::Pause(node, ms)),
        (node(), node()).prop_map(|(from, to)| FaultEvent::Cut(from, to)),
        (1..7_usize).prop_map(FaultEvent::Split),
        Just(FaultEvent::Heal),
    ];
    proptest::collection::vec((fault, 0..8_000_u64), 1..12)
}

fn apply_fault(net: &mut Region, fault: FaultEvent) {
    match fault {
        FaultEvent::Kill(index) => net.place(index, None),
        FaultEvent::Start(index) => start(net, index),
        FaultEvent::Pause(index, ms) => net.pause(index, Duration::from_millis(ms)),
        FaultEvent::Cut(from, to) => net.cut(from, to),
        FaultEvent::Split(at) => {
            let (a, b): (Vec<usize>, Vec<usize>) = (0..7).partition(|index| *index < at);
            net.split(&a, &b);
        }
        FaultEvent::Heal => net.heal(),
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 60,
        rng_seed: RngSeed::Fixed(20_261),
        failure_persistence: None,
        ..Config::default()
    })]

    /// After any schedule of faults, all running nodes agree on the set of running nodes.
    #[test]
    fn any_schedule(seed in 0..1_000_u64, faults in faults()) {
        let mut net = region(seed, 7, 20);
        for (fault, ms) in faults {
            apply_fault(&mut net, fault);
            net.run(Duration::from_millis(ms));
        }
        net.heal();
        net.run(Duration::from_secs(15));
        prop_assert!(net.run_till(SETTLE, converged).is_some());
        prop_assert!(net.nodes().all(|peer| peer.roster.fit()));
    }
}

/// 95th percentile of the time from a request to its first token.
const FIRST_TOKEN: Duration = Duration::from_millis(720);

/// Peers know a restarted process in less time than a request takes to its first token.
#[rstest]
fn restart_known(#[values(7, 60)] count: usize) {
    let mut net = region(8, count, 0);
    net.fault = Fault::default();
    let mut times = Vec::new();
    for round in 0..20 {
        net.run(Duration::from_secs(8));
        start(&mut net, round % count);
        times.push(settles(&mut net));
    }
    times.sort();
    println!("{count} nodes: p50 {:?} longest {:?}", times[10], times[19]);
    assert!(times[19] < FIRST_TOKEN, "{times:?}");
}

/// A node without peers does not request an immediate wake-up in a busy loop.
#[test]
fn idle_alone() {
    let mut peer = Peer::new(0, 1);
    for step in 0..100 {
        let now = Duration::from_millis(10 * step);
        peer.step(now, Event::Tick);
        assert!(peer.wake() > Some(now));
    }
}
