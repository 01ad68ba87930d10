//! Member discovery from seeds, without a platform list.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use roster::seeds::{Action, Event, Message, RECORD_LIFETIME, Record, Seeds};
use rstest::rstest;
use wire::{Machine, Time};

const STEP: Duration = Duration::from_millis(100);

fn address(index: usize) -> SocketAddr {
    ([10, 0, 0, 1 + index as u8], 80).into()
}

fn record(index: usize) -> Record {
    Record {
        vm: format!("vm-{index}").into(),
        zone: "zone".into(),
        peers: address(index),
        callers: ([10, 0, 0, 1 + index as u8], 81).into(),
    }
}

/// Nodes that exchange messages without delay, with optional partitions.
struct Network {
    now: Time,
    nodes: BTreeMap<usize, Seeds>,
    cut: Vec<(usize, usize)>,
    down: Vec<usize>,
    members: BTreeMap<usize, usize>,
    /// Records sent so far.
    records: usize,
}

impl Network {
    fn new(count: usize, seeds: &[usize]) -> Self {
        let mut network = Self {
            now: Duration::ZERO,
            nodes: BTreeMap::new(),
            cut: Vec::new(),
            down: Vec::new(),
            members: BTreeMap::new(),
            records: 0,
        };
        for index in 0..count {
            network.start(index, seeds);
        }
        network
    }

    fn start(&mut self, index: usize, seeds: &[usize]) {
        let seeds: Vec<SocketAddr> = seeds.iter().map(|seed| address(*seed)).collect();
        self.nodes
            .insert(index, Seeds::new(record(index), seeds, index as u64));
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let cut = self.cut.contains(&(from, to)) || self.cut.contains(&(to, from));
        !cut && !self.down.contains(&from) && !self.down.contains(&to)
    }

    fn step(&mut self, index: usize, event: Event) {
        let Some(node) = self.nodes.get_mut(&index) else {
            return;
        };
        let mut actions = Vec::new();
        node.step(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Members(members) => {
                    self.members.insert(index, members.len());
                }
                Action::Send { to, message } => {
                    self.records += match &message {
                        Message::Ask(records) | Message::Tell(records) => records.len(),
                        Message::Compare { overdue, .. } => overdue.len(),
                    };
                    let target = (0..64).find(|other| address(*other) == to);
                    if let Some(target) = target.filter(|target| self.reaches(index, *target)) {
                        let from = address(index);
                        self.step(target, Event::Alive(record(index).vm));
                        self.step(target, Event::Receive { from, message });
                    }
                }
            }
        }
    }

    fn pass(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            let running: Vec<usize> = self.nodes.keys().copied().collect();
            for index in running {
                if !self.down.contains(&index) {
                    self.step(index, Event::Tick);
                }
            }
        }
    }

    fn all_know(&self, count: usize) -> bool {
        let running = self.nodes.keys().filter(|index| !self.down.contains(index));
        running
            .into_iter()
            .all(|index| self.members.get(index) == Some(&count))
    }
}

#[rstest]
#[case::seven(7)]
#[case::sixty(60)]
fn all_meet_by_a_seed(#[case] count: usize) {
    let mut network = Network::new(count, &[0, 1, 2]);
    network.pass(Duration::from_secs(8));
    assert!(network.all_know(count), "{:?}", network.members);
}

#[rstest]
fn dead_seeds_do_not_matter() {
    let mut network = Network::new(7, &[0, 1, 2]);
    network.pass(Duration::from_secs(2));
    network.down = vec![0, 1];
    network.start(7, &[0, 1, 2]);
    network.pass(Duration::from_secs(2));
    assert!(network.members[&7] >= 6, "{:?}", network.members);
}

#[rstest]
fn gone_vm_is_forgotten() {
    let mut network = Network::new(7, &[0, 1, 2]);
    network.pass(Duration::from_secs(3));
    network.down = vec![3];
    network.pass(RECORD_LIFETIME * 2);
    assert!(network.all_know(6), "{:?}", network.members);
}

/// Halves partitioned for longer than the record lifetime reconnect through the seeds.
#[rstest]
fn halves_meet_again() {
    let mut network = Network::new(6, &[0, 1, 2]);
    network.pass(Duration::from_secs(3));
    network.cut = (0..3).flat_map(|a| (3..6).map(move |b| (a, b))).collect();
    network.pass(RECORD_LIFETIME * 2);
    assert!(network.all_know(3), "{:?}", network.members);
    network.cut.clear();
    network.pass(Duration::from_secs(8));
    assert!(network.all_know(6), "{:?}", network.members);
}

/// Guards against two groups of nodes that never hear of each other although their settings come to name other seeds
/// (ONE): the seeds that they started under are gone.
#[rstest]
fn groups_meet_by_replaced_seeds() {
    let mut network = Network::new(6, &[0, 1, 2]);
    network.cut = (0..3).flat_map(|a| (3..6).map(move |b| (a, b))).collect();
    network.down = vec![6, 7];
    for index in 3..6 {
        network.start(index, &[3, 6]);
    }
    network.pass(RECORD_LIFETIME);
    assert!(network.all_know(3), "{:?}", network.members);
    network.cut.clear();
    let seeds = vec![address(7), address(1), address(4)];
    for index in 0..6 {
        network.step(index, Event::Seeds(seeds.clone()));
    }
    network.pass(Duration::from_secs(2));
    assert!(network.all_know(6), "{:?}", network.members);
}

#[rstest]
fn stale_record_is_not_news() {
    let mut network = Network::new(2, &[0]);
    network.pass(Duration::from_secs(1));
    let message = roster::seeds::Message::Tell(vec![roster::seeds::AgedRecord {
        record: record(9),
        age: u32::try_from(RECORD_LIFETIME.as_millis()).expect("seconds"),
    }]);
    let from = address(1);
    network.step(0, Event::Receive { from, message });
    assert!(network.all_know(2), "{:?}", network.members);
}

/// Nodes that hear from each other all the time, as their other messages see to, compare digests. A
/// VM that joins is known to all soon all the same.
#[rstest]
fn equal_records_are_not_exchanged() {
    const COUNT: usize = 60;
    let mut network = Network::new(COUNT, &[0, 1, 2]);
    network.pass(Duration::from_secs(8));
    assert!(network.all_know(COUNT), "{:?}", network.members);
    let steady = |network: &mut Network, seconds: u64| {
        for _ in 0..seconds {
            network.pass(Duration::from_secs(1));
            for index in 0..COUNT {
                for other in 0..COUNT {
                    network.step(index, Event::Alive(record(other).vm));
                }
            }
        }
    };
    steady(&mut network, 2);
    let before = network.records;
    steady(&mut network, 20);
    assert_eq!(network.records, before);
    network.start(COUNT, &[0, 1, 2]);
    steady(&mut network, 8);
    assert!(network.all_know(COUNT + 1), "{:?}", network.members);
}
