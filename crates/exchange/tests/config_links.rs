//! What the transfer of a configuration does to the links of the nodes, in virtual time.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use exchange::bulk_pace::BulkPace;
use exchange::config_transfer::{Message, Step, Transfer};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use support::ms;
use wire::{Revision, Time, Vm};

/// Bytes per second that the link of a small machine carries.
const LINK: f64 = 10e6 / 8.0;

/// Time by which an event of a stream may be late at its caller; no message of a caller may wait
/// longer behind a node's own traffic.
const PASS: Duration = Duration::from_millis(120);

/// Time within which a configuration has to be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(2);

/// One-way delay between two nodes.
const CROSSING: Duration = Duration::from_millis(1);

/// Bytes of a datagram beside the part of a document.
const OVERHEAD: usize = 120;

/// Interval between two ticks of a node.
const TICK: Duration = Duration::from_millis(100);

/// Ticks between two announcements of a reader.
const PULSE_TICKS: u32 = 3;

/// Nodes that read the platform.
const READERS: usize = 4;

/// Time from the first announcement until a node has the configuration from the platform.
const PLATFORM: Duration = Duration::from_millis(900);

fn vm(number: usize) -> Vm {
    format!("vm-{number}").into()
}

fn number(vm: &Vm) -> usize {
    vm[3..].parse().expect("a number")
}

/// Returns a configuration of so many routes, with names as drawn by `seed`.
fn document(routes: usize, seed: u64) -> Vec<u8> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut text = String::from("{\"routes\":[");
    for _ in 0..routes {
        let name: u64 = rng.random();
        let prefix: u32 = rng.random();
        text += &format!(
            "{{\"name\":\"r-{name:x}\",\"host\":\"host{}.example\",\"prefix\":\"/{prefix:x}/\",\
             \"kind\":\"streaming\",\"timeout_ms\":12000,\"target_latency_ms\":800,\"gap_aim_ms\":300,\
             \"priority\":2,\"service\":\"letter-writers\",\"max_attempts\":2,\"resumable\":true,\
             \"sticky\":true,\"weights\":[{{\"service\":\"letter-writers\",\"weight\":1}}]}},",
            prefix % 40
        );
    }
    text.into_bytes()
}

/// What happens to a node.
enum Event {
    /// It reads this revision from the platform.
    Read(Revision),
    Tick,
    Receive(Vm, Message),
    /// A reader announces its revision.
    Announced(Vm, Revision),
    /// Its share of the link allows more bulk data.
    Pace,
}

struct Node {
    transfer: Transfer,
    revision: Revision,
    /// When its link has carried what it has sent.
    free_at: Time,
    ticks: u32,
    sent: usize,
    pace: BulkPace,
    /// Whether [`Event::Pace`] is due.
    paced: bool,
    /// When it learnt of a revision that it lacks.
    lacks_since: Option<Time>,
}

/// Nodes with links of their own, and the revisions that operators have published.
struct Fleet {
    now: Time,
    nodes: Vec<Node>,
    events: BTreeMap<(Time, u64), (usize, Event)>,
    next: u64,
    documents: Vec<Vec<u8>>,
    /// Whether nodes other than the readers reach the platform.
    platform: bool,
    /// Longest time that a message of a caller would have waited in a node's link.
    backlog: Duration,
    in_force: Vec<(Revision, usize, Time)>,
}

impl Fleet {
    fn new(nodes: usize, routes: usize, platform: bool) -> Self {
        let mut fleet = Self {
            now: ms(1_000),
            nodes: Vec::new(),
            events: BTreeMap::new(),
            next: 0,
            documents: (0..20).map(|seed| document(routes, seed)).collect(),
            platform,
            backlog: Duration::ZERO,
            in_force: Vec::new(),
        };
        for number in 0..nodes {
            fleet.nodes.push(Node {
                transfer: Transfer::default(),
                revision: 0,
                free_at: Time::ZERO,
                ticks: 0,
                sent: 0,
                pace: BulkPace::new(LINK * 8.0),
                paced: false,
                lacks_since: None,
            });
            let phase = TICK * (number as u32) / (nodes as u32);
            fleet.at(fleet.now + phase, number, Event::Tick);
        }
        fleet
    }

    fn at(&mut self, at: Time, node: usize, event: Event) {
        self.next += 1;
        self.events.insert((at, self.next), (node, event));
    }

    /// Publishes a revision, which the readers have read some time later.
    fn publish(&mut self, at: Time, revision: Revision) {
        for reader in 0..READERS {
            let read = at + Duration::from_millis(20 * reader as u64);
            self.at(read, reader, Event::Read(revision));
        }
    }

    fn run(&mut self, until: Time) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > until {
                break;
            }
            let ((at, _), (node, event)) = entry.remove_entry();
            self.now = at;
            self.step(node, event);
        }
    }

    fn step(&mut self, node: usize, event: Event) {
        match event {
            Event::Pace => {
                self.nodes[node].paced = false;
                self.send_parts(node);
            }
            Event::Read(revision) => self.adopt(node, revision),
            Event::Tick => self.tick(node),
            Event::Announced(from, revision) => {
                let reply = self.nodes[node]
                    .transfer
                    .announced(self.now, &from, revision);
                if revision > self.nodes[node].revision {
                    self.nodes[node].lacks_since.get_or_insert(self.now);
                }
                if let Some(message) = reply {
                    self.send(node, &from, message);
                }
            }
            Event::Receive(from, message) => {
                match self.nodes[node].transfer.receive(self.now, &from, message) {
                    Step::Reply(messages) => {
                        for message in messages {
                            self.send(node, &from, message);
                        }
                    }
                    Step::Adopt(document) => {
                        let found = self.documents.iter().position(|known| *known == document);
                        self.adopt(node, found.expect("a published document") as Revision);
                    }
                }
                if !self.nodes[node].paced {
                    self.send_parts(node);
                }
            }
        }
    }

    fn adopt(&mut self, node: usize, revision: Revision) {
        if self.nodes[node].revision >= revision {
            return;
        }
        let document = self.documents[revision as usize].clone();
        self.nodes[node].revision = revision;
        self.nodes[node].lacks_since = None;
        self.nodes[node].transfer.adopted(revision, document);
        self.in_force.push((revision, node, self.now));
        if node < READERS {
            self.announce(node);
        }
        let others = (0..self.nodes.len()).filter(|other| *other != node).map(vm);
        let (peers, offer) = self.nodes[node].transfer.offer_to(&vm(node), others);
        for peer in peers {
            self.send(node, &peer, offer.clone());
        }
    }

    /// Sends parts that peers wait for, as far as the node's share of its link allows.
    fn send_parts(&mut self, node: usize) {
        let now = self.now;
        loop {
            let wait = self.nodes[node].pace.wait(now);
            if !self.nodes[node].transfer.has_requests() {
                return;
            }
            if !wait.is_zero() {
                self.nodes[node].paced = true;
                return self.at(now + wait, node, Event::Pace);
            }
            let Some((to, part)) = self.nodes[node].transfer.take_part(now) else {
                return;
            };
            let before = self.nodes[node].sent;
            self.send(node, &to, part);
            let bytes = self.nodes[node].sent - before;
            self.nodes[node].pace.sent(now, bytes);
        }
    }

    fn announce(&mut self, node: usize) {
        let revision = self.nodes[node].revision;
        for other in (0..self.nodes.len()).filter(|other| *other != node) {
            let at = self.transmit(node, OVERHEAD);
            self.at(at, other, Event::Announced(vm(node), revision));
        }
    }

    fn tick(&mut self, node: usize) {
        let now = self.now;
        self.at(now + TICK, node, Event::Tick);
        if let Some((to, message)) = self.nodes[node].transfer.tick(now) {
            self.send(node, &to, message);
        }
        self.nodes[node].ticks += 1;
        if node < READERS
            && self.nodes[node].ticks.is_multiple_of(PULSE_TICKS)
            && self.nodes[node].revision > 0
        {
            self.announce(node);
        }
        let lacks = self.nodes[node].lacks_since;
        if self.platform && lacks.is_some_and(|since| now >= since + PLATFORM) {
            let newest = self.nodes[..READERS]
                .iter()
                .map(|reader| reader.revision)
                .max();
            self.adopt(node, newest.unwrap_or_default());
        }
    }

    fn send(&mut self, node: usize, to: &Vm, message: Message) {
        let bytes = match &message {
            Message::Part { bytes, .. } | Message::PackedPart { bytes, .. } => bytes.len(),
            _ => 0,
        };
        let at = self.transmit(node, bytes + OVERHEAD);
        self.at(at, number(to), Event::Receive(vm(node), message));
    }

    /// Puts bytes on a node's link. Returns when they arrive.
    fn transmit(&mut self, node: usize, bytes: usize) -> Time {
        let node = &mut self.nodes[node];
        let begins = node.free_at.max(self.now);
        node.free_at = begins + Duration::from_secs_f64(bytes as f64 / LINK);
        node.sent += bytes;
        self.backlog = self.backlog.max(node.free_at.saturating_sub(self.now));
        node.free_at + CROSSING
    }

    /// Returns the time until all nodes had the revision.
    fn time_to_force(&self, revision: Revision, published: Time) -> Option<Duration> {
        let has = |node: &usize| {
            let first = self
                .in_force
                .iter()
                .find(|(known, by, _)| *known >= revision && by == node);
            first.map(|(_, _, at)| at.saturating_sub(published))
        };
        let times: Option<Vec<Duration>> = (0..self.nodes.len()).map(|node| has(&node)).collect();
        times.and_then(|times| times.into_iter().max())
    }
}

/// Guards against a node that fills its own link with a configuration for its peers: requests and
/// cancellations behind it arrive seconds later, when their callers have left (GONE).
#[rstest]
#[case::small(73, 40)]
#[case::large(73, 1_440)]
#[case::huge(73, 5_000)]
#[case::large_fleet(350, 1_440)]
fn configuration_leaves_room_on_links(#[case] nodes: usize, #[case] routes: usize) {
    let mut fleet = Fleet::new(nodes, routes, true);
    fleet.publish(ms(2_000), 1);
    fleet.run(ms(6_000));
    let sent = fleet.nodes.iter().map(|node| node.sent).max();
    println!(
        "{nodes} nodes, {routes} routes: {sent:?} bytes, waits of {:?}",
        fleet.backlog
    );
    assert!(fleet.backlog <= PASS, "{:?}", fleet.backlog);
    let time = fleet
        .time_to_force(1, ms(2_000))
        .expect("in force everywhere");
    assert!(time <= IN_FORCE, "in force after {time:?}");
}

/// Guards against the same where revisions follow each other faster than they are passed on.
#[rstest]
#[case::large(73, 1_440)]
#[case::large_fleet(350, 1_440)]
fn storm_leaves_room_on_links(#[case] nodes: usize, #[case] routes: usize) {
    let mut fleet = Fleet::new(nodes, routes, true);
    for revision in 1..=8 {
        fleet.publish(ms(1_500 + 500 * revision), revision);
    }
    fleet.run(ms(9_000));
    println!(
        "{nodes} nodes, {routes} routes: waits of {:?}",
        fleet.backlog
    );
    assert!(fleet.backlog <= PASS, "{:?}", fleet.backlog);
    let time = fleet
        .time_to_force(8, ms(5_500))
        .expect("in force everywhere");
    assert!(time <= IN_FORCE, "in force after {time:?}");
}

/// Peers alone bring a large configuration in force in time, where the platform has turned all but
/// its readers away.
#[rstest]
fn peers_alone_are_in_time() {
    let mut fleet = Fleet::new(73, 1_440, false);
    fleet.publish(ms(2_000), 1);
    fleet.run(ms(8_000));
    let time = fleet
        .time_to_force(1, ms(2_000))
        .expect("in force everywhere");
    assert!(time <= IN_FORCE, "in force after {time:?}");
}
