//! Limits of a store across all nodes under partitions, pauses and lost messages. Every node has
//! demand for loads all the time. In any window, load starts may exceed the rate by at most one saved
//! start per listed VM, and loads in flight must never exceed the store's limit.

use std::collections::VecDeque;
use std::time::Duration;

use placement::budget::{Budget, LoadDemand};
use placement::event::Store;
use placement::message::{Message, Ticket};
use placement::planner::Effects;
use placement::{Action, Settings};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use wire::view::{Peer, State};
use wire::{Incarnation, Priority, Time, View};

const NODES: usize = 5;
const RATE: f64 = 2.4;
const IN_FLIGHT: usize = 5;
const STEP: Duration = Duration::from_millis(50);

/// A fault, or none, that lasts for a number of steps.
#[derive(Clone, Debug)]
enum Phase {
    NoFault(u32),
    Pause(usize, u32),
    /// Splits the nodes into two groups by the bits of the mask.
    Partition(u8, u32),
    /// Drops the messages whose sequence number modulo 16 is a set bit of the mask.
    Drop(u16, u32),
}

fn phases() -> impl Strategy<Value = Phase> {
    let steps = 5..200_u32;
    prop_oneof![
        (100..300_u32).prop_map(Phase::NoFault),
        (0..NODES, steps.clone()).prop_map(|(n, s)| Phase::Pause(n, s)),
        (any::<u8>(), steps.clone()).prop_map(|(g, s)| Phase::Partition(g, s)),
        (any::<u16>(), steps).prop_map(|(m, s)| Phase::Drop(m, s)),
    ]
}

struct Node {
    budget: Budget,
    me: Incarnation,
    inbox: VecDeque<(usize, Message)>,
    heard: Vec<Time>,
    view: View,
}

struct Fleet {
    now: Time,
    nodes: Vec<Node>,
    settings: Settings,
    starts: Vec<Time>,
    /// Loads in flight: node, upstream and completion time.
    in_flight: Vec<(usize, wire::Upstream, Time)>,
    peak_in_flight: usize,
    load: Duration,
    sent: u32,
}

impl Fleet {
    fn new(load: Duration) -> Self {
        let store = Store {
            id: "s".into(),
            rate: RATE,
            in_flight: IN_FLIGHT as u32,
            load: Duration::from_millis(250),
        };
        let node = |index: usize| {
            let me = Incarnation::new(format!("n{index}"), 1);
            Node {
                budget: Budget::new(store.clone(), me.clone(), Time::ZERO),
                me,
                inbox: VecDeque::new(),
                heard: vec![Time::ZERO; NODES],
                view: View::default(),
            }
        };
        Self {
            now: Time::ZERO,
            nodes: (0..NODES).map(node).collect(),
            settings: Settings::default(),
            starts: Vec::new(),
            in_flight: Vec::new(),
            peak_in_flight: 0,
            load,
            sent: 0,
        }
    }

    fn step(&mut self, phase: &Phase) {
        self.now += STEP;
        for index in 0..NODES {
            if !matches!(phase, Phase::Pause(paused, _) if *paused == index) {
                self.run_node(index, phase);
            }
        }
    }

    /// Returns whether two nodes can't exchange messages in this phase.
    fn disconnected(phase: &Phase, a: usize, b: usize) -> bool {
        match phase {
            Phase::Partition(groups, _) => (groups >> a) & 1 != (groups >> b) & 1,
            Phase::Pause(paused, _) => *paused == a || *paused == b,
            _ => false,
        }
    }

    /// Processes a node's messages, completed loads and demand, and starts the loads permitted.
    fn run_node(&mut self, index: usize, phase: &Phase) {
        let now = self.now;
        let settings = self.settings.clone();
        let mut effects = Effects::new(self.nodes[index].me.vm.clone());
        let mut permitted = Vec::new();
        self.update_view(index, phase);
        let node = &mut self.nodes[index];
        for (from, message) in std::mem::take(&mut node.inbox) {
            let from = Incarnation::new(format!("n{from}"), 1);
            receive(
                &mut node.budget,
                now,
                &from,
                message,
                &settings,
                &mut permitted,
                &mut effects,
            );
        }
        let completed = |(at, _, end): &(usize, wire::Upstream, Time)| *at == index && *end <= now;
        for (_, upstream, _) in self.in_flight.extract_if(.., |load| completed(load)) {
            node.budget.finish_load(&upstream, &mut effects);
        }
        for engine in 0..3 {
            let upstream: wire::Upstream = format!("{index}-{engine}").into();
            let busy = self
                .in_flight
                .iter()
                .any(|(_, other, _)| *other == upstream);
            let demand = LoadDemand {
                priority: Some(Priority::ALL[engine]),
                waiting: 1,
                since: now,
            };
            let demand = (!busy && !permitted.contains(&upstream)).then_some(demand);
            node.budget.set_demand(&upstream, demand, &mut effects);
        }
        let view = node.view.clone();
        node.budget
            .poll(now, &settings, &view, &mut permitted, &mut effects);
        for upstream in permitted {
            self.starts.push(now);
            self.in_flight.push((index, upstream, now + self.load));
        }
        // A paused node has not removed its completed loads yet, so count only the running ones.
        let in_flight = self
            .in_flight
            .iter()
            .filter(|(_, _, end)| *end > now)
            .count();
        self.peak_in_flight = self.peak_in_flight.max(in_flight);
        for action in effects.actions {
            self.deliver(index, action, phase);
        }
    }

    fn deliver(&mut self, index: usize, action: Action, phase: &Phase) {
        let Action::Send { to, message } = action else {
            return;
        };
        self.sent += 1;
        let lost = matches!(phase, Phase::Drop(mask, _) if (mask >> (self.sent % 16)) & 1 == 1);
        let target: usize = to[1..].parse().unwrap();
        let paused = matches!(phase, Phase::Pause(node, _) if *node == target);
        if lost || (!paused && Self::disconnected(phase, index, target)) {
            return;
        }
        self.nodes[target].inbox.push_back((index, message));
    }

    fn update_view(&mut self, index: usize, phase: &Phase) {
        let now = self.now;
        let peers = (0..NODES).map(|peer| {
            if !Self::disconnected(phase, index, peer) {
                self.nodes[index].heard[peer] = now;
            }
            let silent = now - self.nodes[index].heard[peer] > Duration::from_millis(1500);
            Peer {
                incarnation: self.nodes[peer].me.clone(),
                zone: "z".into(),
                state: if silent { State::Suspect } else { State::Live },
            }
        });
        let view = View::new(peers.collect::<Vec<_>>());
        let node = &mut self.nodes[index];
        if view != node.view {
            node.view = view;
            node.budget.set_view(now, &node.view, &self.settings);
        }
    }
}

fn receive(
    budget: &mut Budget,
    now: Time,
    from: &Incarnation,
    message: Message,
    settings: &Settings,
    permitted: &mut Vec<wire::Upstream>,
    effects: &mut Effects,
) {
    match message {
        Message::ShareRequest { number, .. } => {
            budget.receive_share_request(now, from, number, settings, effects);
        }
        Message::Share {
            number, permits, ..
        } => budget.receive_share(now, from.clone(), number, permits, settings),
        Message::TicketRequest {
            upstream,
            number,
            priority,
            waiting,
            age,
            ..
        } => {
            let since = now.saturating_sub(age);
            let demand = LoadDemand {
                priority,
                waiting,
                since,
            };
            budget.receive_ticket_request(now, &from.vm, upstream, number, demand);
        }
        Message::Ticket(ticket) => {
            let Ticket { upstream, .. } = &ticket;
            let upstream = upstream.clone();
            if budget.receive_ticket(now, &from.vm, ticket, settings, effects) {
                permitted.push(upstream);
            }
        }
        Message::TicketReturn {
            ticket, upstream, ..
        } => budget.receive_ticket_return(&from.vm, &upstream, ticket),
        other => panic!("not a budget message: {other:?}"),
    }
}

/// Returns a window in which the load starts exceed the rate plus one saved start per VM, with the
/// number of starts.
fn find_rate_violation(starts: &[Time]) -> Option<(Time, Time, usize)> {
    for (first, from) in starts.iter().enumerate() {
        for (last, to) in starts.iter().enumerate().skip(first) {
            let allowed = RATE * (*to - *from).as_secs_f64() + NODES as f64;
            let count = last - first + 1;
            if count as f64 > allowed + 1e-6 {
                return Some((*from, *to, count));
            }
        }
    }
    None
}

proptest! {
    #![proptest_config(Config {
        cases: 200,
        rng_seed: RngSeed::Fixed(0xb0d6_e701),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn limits_hold(
        phases in prop::collection::vec(phases(), 1..8),
        load in prop_oneof![Just(250_u64), Just(3_900)],
    ) {
        let mut fleet = Fleet::new(Duration::from_millis(load));
        for phase in &phases {
            let (Phase::NoFault(steps) | Phase::Pause(_, steps) | Phase::Partition(_, steps)
                | Phase::Drop(_, steps)) = phase;
            for _ in 0..*steps {
                fleet.step(phase);
            }
        }
        prop_assert_eq!(find_rate_violation(&fleet.starts), None);
        prop_assert!(fleet.peak_in_flight <= IN_FLIGHT, "{} loads in flight", fleet.peak_in_flight);
    }

    #[test]
    fn calm_uses_the_rate(load in 100..400_u64) {
        let mut fleet = Fleet::new(Duration::from_millis(load));
        for _ in 0..600 {
            fleet.step(&Phase::NoFault(0));
        }
        // 30 seconds are simulated; no loads start during the initial settling time.
        let used = fleet.starts.len() as f64;
        prop_assert!(used > RATE * 25.0 * 0.8, "only {used} load starts");
    }
}

/// A second borrower of the rate gets no permits until the loads of the first borrower have ended,
/// even if the second one renews its share in the meantime.
#[test]
fn permits_wait_for_loads() {
    let settings = Settings::default();
    let mut fleet = Fleet::new(Duration::ZERO);
    let mut lender = fleet.nodes.swap_remove(0).budget;
    let mut now = Duration::from_secs(10);
    let view = |live: &str| {
        View::new((0..NODES).map(|index| Peer {
            incarnation: Incarnation::new(format!("n{index}"), 1),
            zone: "z".into(),
            state: if live == format!("n{index}") {
                State::Live
            } else {
                State::Suspect
            },
        }))
    };
    let mut lend = |now: Time, to: &str, number: u64| {
        let mut effects = Effects::new("n0".into());
        lender.set_view(now, &view(to), &settings);
        lender.receive_share_request(
            now,
            &Incarnation::new(to, 1),
            number,
            &settings,
            &mut effects,
        );
        effects.actions.pop().map(|action| match action {
            Action::Send {
                message: Message::Share { permits, .. },
                ..
            } => permits,
            other => panic!("{other:?}"),
        })
    };
    assert_eq!(lend(now, "n1", 1), Some(1));
    assert_eq!(lend(now, "n2", 1), None, "the rate is still lent to n1");
    now += settings.share + settings.drift;
    assert_eq!(lend(now, "n2", 2), Some(0), "loads of n1 may be in flight");
    now += settings.share / 2;
    assert_eq!(
        lend(now, "n2", 3),
        Some(0),
        "loads of n1 may still be in flight"
    );
    now += settings.load + settings.order + settings.resend * 2;
    assert_eq!(lend(now, "n2", 4), Some(1));
}
