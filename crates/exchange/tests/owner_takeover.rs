//! Takeovers of engines between nodes that exchange messages: who orders, and when.

mod support;

use std::time::Duration;

use exchange::owner::{Action, Answer, Event, Message};
use rstest::rstest;
use support::{OwnerHarness, engine, ms};
use wire::{Time, Vm};

const TICK: Duration = ms(100);

/// Time within which two nodes must not take turns.
const LEASE: Duration = ms(3_000);

/// Time that an engine takes to answer an order.
const ANSWER: Duration = ms(20);

/// Nodes with the messages under way between them.
struct Network {
    nodes: Vec<OwnerHarness>,
    /// Pairs of nodes without contact, the lower index first.
    severed: Vec<(usize, usize)>,
    under_way: Vec<(Time, usize, Event)>,
    /// Orders as they were sent: time and node.
    orders: Vec<(Time, usize)>,
}

fn name(index: usize) -> Vm {
    format!("vm-{index}").into()
}

impl Network {
    fn new(count: usize) -> Self {
        let node = |index: usize| {
            let id = name(index);
            let mut node = OwnerHarness::alone(&id, index as u64 + 1, [engine("e1", &["a"])]);
            node.peers_grant = false;
            node
        };
        Self {
            nodes: (0..count).map(node).collect(),
            severed: Vec::new(),
            under_way: Vec::new(),
            orders: Vec::new(),
        }
    }

    fn now(&self) -> Time {
        self.nodes[0].now
    }

    fn handle(&mut self, node: usize, event: Event) {
        let now = self.now();
        for action in self.nodes[node].step(event) {
            match action {
                Action::Send { to, message } => {
                    let peer = (0..self.nodes.len()).find(|index| name(*index) == to);
                    let severed =
                        |peer: &usize| self.severed.contains(&(node.min(*peer), node.max(*peer)));
                    let from = name(node);
                    if let Some(peer) = peer.filter(|peer| !severed(peer)) {
                        self.under_way
                            .push((now + ms(2), peer, Event::Receive { from, message }));
                    }
                }
                Action::Order {
                    engine,
                    fence,
                    order,
                    ..
                } => {
                    self.orders.push((now, node));
                    let event = Event::Answered {
                        engine,
                        fence,
                        order,
                        answer: Answer::Done,
                    };
                    self.under_way.push((now + ANSWER, node, event));
                }
                Action::FetchReport { engine, delay } => {
                    let event = Event::ReportFetched {
                        engine,
                        succeeded: true,
                        orders: None,
                    };
                    self.under_way.push((now + delay, node, event));
                }
                _ => {}
            }
        }
    }

    fn show(&mut self, node: usize, live: &[usize]) {
        let known = (0..self.nodes.len()).map(name).collect();
        self.handle(node, Event::KnownNodes(known));
        let live = live.iter().map(|index| name(*index)).collect();
        let may_claim = true;
        self.handle(node, Event::View { live, may_claim });
    }

    /// Lets time pass, and each node ask for a load now and then.
    fn run(&mut self, span: Duration) {
        let end = self.now() + span;
        while self.now() < end {
            for node in &mut self.nodes {
                node.now += ms(1);
            }
            let now = self.now();
            while let Some(index) = self.under_way.iter().position(|(at, ..)| *at <= now) {
                let (_, node, event) = self.under_way.remove(index);
                self.handle(node, event);
            }
            if now.as_millis().is_multiple_of(TICK.as_millis()) {
                for node in 0..self.nodes.len() {
                    let wall_seconds = self.nodes[node].wall + now.as_secs();
                    self.handle(node, Event::Tick { wall_seconds });
                    let adapter = format!("b{}", now.as_millis() / 400);
                    let request = Event::RequestLoad {
                        engine: "e1".into(),
                        target: support::target(&adapter),
                        rank: 1,
                    };
                    self.handle(node, request);
                }
            }
        }
    }

    fn owner(&self) -> Option<usize> {
        let owns = |index: &usize| self.nodes[*index].owner.owned().count() > 0;
        (0..self.nodes.len()).find(owns)
    }

    /// Counts the orders that follow one of another node that follows one of the same node.
    fn turns(&self) -> usize {
        let is_turn = |index: &usize| {
            let (at, node) = self.orders[*index];
            let before = self.orders[..*index].iter().rev();
            let recent = before.take_while(|(then, _)| at < *then + LEASE);
            let senders: Vec<usize> = recent.map(|(_, sender)| *sender).collect();
            let other = senders.iter().position(|sender| *sender != node);
            other.is_some_and(|other| senders[other..].contains(&node))
        };
        (0..self.orders.len()).filter(is_turn).count()
    }
}

/// Guards against two owners by turns (ONE): two nodes that do not list each other claim an engine
/// in turn, each with a number above the one that a third node tells it.
#[rstest]
fn third_node_sets_off_no_turns() {
    let mut network = Network::new(3);
    network.severed = vec![(0, 1)];
    network.show(0, &[0, 2]);
    network.show(1, &[1, 2]);
    network.show(2, &[0, 1, 2]);
    network.run(ms(12_000));
    assert!(!network.orders.is_empty());
    assert_eq!(network.turns(), 0, "of {} orders", network.orders.len());
}

/// Guards against two owners by turns (ONE): a node that learns of a higher number gives its claim
/// up, and orders again with a higher one before the lease of whoever used it has passed.
#[rstest]
fn higher_number_keeps_a_node_back_for_the_lease() {
    let mut node = OwnerHarness::alone("vm-1", 1, [engine("e1", &[])]);
    node.claim_all();
    let (_, fence) = node.owner.owned().next().expect("node owns the engine");
    node.step(Event::Receive {
        from: "vm-2".into(),
        message: Message::HigherFences(vec![("e1".into(), fence + 1)]),
    });
    let later = node.advance(ms(2_900));
    let orders = later
        .iter()
        .filter(|action| matches!(action, Action::Order { .. }));
    assert_eq!(orders.count(), 0);
    node.advance(ms(1_500));
    let claimed = node.owner.owned().next().map(|(_, fence)| fence);
    assert!(
        claimed.is_some_and(|claimed| claimed > fence),
        "{claimed:?}"
    );
}

/// Guards against two owners by turns (ONE): a view without a live owner makes another node order,
/// while the owner is reached and goes on until it hears of that.
#[rstest]
fn view_without_a_live_owner_moves_no_engine(#[values(400, 1_000, 3_000)] doubt: u64) {
    let mut network = Network::new(3);
    for node in 0..3 {
        network.show(node, &[0, 1, 2]);
    }
    network.run(ms(6_000));
    let owner = network.owner().expect("the engine has an owner");
    let others: Vec<usize> = (0..3).filter(|node| *node != owner).collect();
    for node in &others {
        network.show(*node, &others);
    }
    network.run(ms(doubt));
    for node in &others {
        network.show(*node, &[0, 1, 2]);
    }
    network.run(ms(8_000));
    assert_eq!(network.turns(), 0, "of {} orders", network.orders.len());
    let all_same = network.orders.iter().all(|(_, node)| *node == owner);
    assert!(all_same, "another node has ordered");
}

/// Guards against two owners by turns (ONE): an owner without contact to the others, which take
/// its engine over, orders on there.
#[rstest]
fn owner_without_contact_stops_before_the_next_one_orders() {
    let mut network = Network::new(3);
    for node in 0..3 {
        network.show(node, &[0, 1, 2]);
    }
    network.run(ms(6_000));
    let owner = network.owner().expect("the engine has an owner");
    let others: Vec<usize> = (0..3).filter(|node| *node != owner).collect();
    network.severed = vec![(0, 1), (0, 2), (1, 2)];
    network
        .severed
        .retain(|(one, other)| *one == owner || *other == owner);
    network.run(ms(1_200));
    for node in &others {
        network.show(*node, &others);
    }
    network.run(ms(6_000));
    assert!(
        network.orders.iter().any(|(_, node)| *node != owner),
        "nobody takes the engine over"
    );
    network.severed.clear();
    for node in 0..3 {
        network.show(node, &[0, 1, 2]);
    }
    network.run(ms(8_000));
    assert_eq!(network.turns(), 0, "of {} orders", network.orders.len());
}
