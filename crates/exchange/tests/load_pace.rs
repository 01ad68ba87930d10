//! Owners learn how long loads take under the current load of the store, and update the nodes that
//! wait.

mod support;

use std::time::Duration;

use exchange::fleet::Presence;
use exchange::owner::{Action, AdmissionRequest, Answer, Event, Message, Order, RelativePresence};
use rstest::rstest;
use support::{ADAPTER_SLOTS, OwnerHarness, engine, ms, target};
use wire::{Time, Vm};

/// An engine whose loads take `load_time`, with an owner driven by its own timers.
struct LoadSimulation {
    node: OwnerHarness,
    load_time: Duration,
    /// Loads in progress with their end times.
    loading: Vec<(Order, Time)>,
    orders: Vec<(Time, Order)>,
    sent: Vec<(Vm, Message)>,
}

impl LoadSimulation {
    fn new(load_time: Duration) -> Self {
        let mut node = OwnerHarness::alone("vm-1", 1, [engine("e1", &[])]);
        node.claim_all();
        Self {
            node,
            load_time,
            loading: Vec::new(),
            orders: Vec::new(),
            sent: Vec::new(),
        }
    }

    fn answer(&mut self, order: &Order) -> Answer {
        let now = self.node.now;
        let same_target = |loading: &&(Order, Time)| loading.0.target() == order.target();
        match (order, self.loading.iter().find(same_target)) {
            (Order::Unload(_), _) => Answer::Done,
            (_, Some((_, end))) if *end <= now => Answer::Done,
            (_, Some(_)) => Answer::Accepted,
            (_, None) => {
                self.loading.push((order.clone(), now + self.load_time));
                Answer::Accepted
            }
        }
    }

    /// Performs actions, and fires the timers that they set up to `until`.
    fn run_until(&mut self, actions: Vec<Action>, until: Time) {
        let mut timers: Vec<Time> = Vec::new();
        let mut pending = actions;
        loop {
            for action in std::mem::take(&mut pending) {
                match action {
                    Action::SetTimer(delay) => timers.push(self.node.now + delay),
                    Action::Send { to, message } => self.sent.push((to, message)),
                    Action::Order {
                        engine,
                        fence,
                        order,
                        ..
                    } => {
                        self.orders.push((self.node.now, order.clone()));
                        let answer = self.answer(&order);
                        pending.extend(self.node.step(Event::Answered {
                            engine,
                            fence,
                            order,
                            answer,
                        }));
                    }
                    _ => {}
                }
            }
            if !pending.is_empty() {
                continue;
            }
            timers.sort_unstable();
            match timers.first().copied() {
                Some(at) if at <= until => {
                    timers.remove(0);
                    self.node.now = self.node.now.max(at);
                    pending = self.node.step(Event::TimerExpired);
                }
                _ => break,
            }
        }
        self.node.now = until;
    }

    fn load(&mut self, adapter: &str) {
        let actions = self.node.step(Event::RequestLoad {
            engine: "e1".into(),
            target: target(adapter),
            rank: 1,
        });
        self.run_until(actions, self.node.now + ms(6_000));
    }

    /// Admits a request and ends it.
    fn serve(&mut self, adapter: &str) {
        let request = AdmissionRequest {
            target: target(adapter),
            prefill: ms(20),
            decode: ms(500),
            rank: 1,
        };
        let OwnerHarness {
            now, owner, fleet, ..
        } = &mut self.node;
        assert!(owner.admit(*now, fleet, "e1", &request).is_some());
        owner.release_admission(*now, "e1", &request.target);
    }

    fn confirm_orders(&self) -> usize {
        let confirms = self.orders.iter().filter(|(_, order)| order.is_confirm());
        confirms.count()
    }

    fn is_resident(&self, adapter: &str) -> bool {
        let engine = self.node.fleet.upstream("e1").unwrap();
        matches!(engine.presence(&target(adapter)), Presence::Held(_))
    }
}

#[rstest]
fn timely_load_is_confirmed_once() {
    let mut simulation = LoadSimulation::new(ms(250));
    simulation.load("a");
    assert_eq!(simulation.confirm_orders(), 1);
    assert!(simulation.is_resident("a"));
}

/// Loads take four times as long as configured. The first load needs several confirm orders, later
/// ones are expected to take longer, and a load never counts as complete too early.
#[rstest]
fn slow_store_is_learned() {
    let mut simulation = LoadSimulation::new(ms(1_000));
    simulation.load("a");
    assert!(simulation.is_resident("a"));
    let first = simulation.confirm_orders();
    for adapter in ["b", "c", "d"] {
        simulation.load(adapter);
    }
    let before = simulation.confirm_orders();
    simulation.load("e");
    let last = simulation.confirm_orders() - before;
    assert!(
        last < first && last <= 3,
        "{first} confirm orders, then {last}"
    );
}

#[rstest]
fn fast_store_is_learned_again() {
    let mut simulation = LoadSimulation::new(ms(1_000));
    simulation.load("a");
    simulation.load_time = ms(250);
    for index in 0..40 {
        simulation.load(&format!("b{index}"));
    }
    let started = simulation.node.now;
    simulation.load("c");
    let confirmed_after = simulation
        .orders
        .last()
        .map(|(at, _)| *at - started)
        .unwrap();
    assert!(
        confirmed_after < ms(300),
        "confirmed after {confirmed_after:?}"
    );
}

#[rstest]
fn waiting_peer_is_told_of_a_late_load() {
    let mut simulation = LoadSimulation::new(ms(1_000));
    let live: Vec<Vm> = vec!["vm-1".into(), "vm-2".into()];
    simulation.node.step(Event::View {
        live,
        may_claim: true,
    });
    let actions = simulation.node.step(Event::Receive {
        from: "vm-2".into(),
        message: Message::RequestLoad {
            engine: "e1".into(),
            target: target("a"),
            rank: 1,
        },
    });
    let until = simulation.node.now + ms(2_000);
    simulation.run_until(actions, until);
    let updates: Vec<RelativePresence> = simulation
        .sent
        .iter()
        .filter(|(to, _)| &**to == "vm-2")
        .filter_map(|(_, message)| match message {
            Message::Residency { presence, .. } => Some(*presence),
            _ => None,
        })
        .collect();
    assert!(
        matches!(updates.first(), Some(RelativePresence::Coming(..))),
        "{updates:?}"
    );
    assert!(
        matches!(updates.last(), Some(RelativePresence::Held(_))),
        "{updates:?}"
    );
    assert!(updates.len() > 2, "{updates:?}");
}

/// Requests wait until the time they were given, so the next load must not evict an adapter whose
/// requests have yet to arrive.
#[rstest]
fn fresh_adapter_is_not_evicted() {
    let mut simulation = LoadSimulation::new(ms(250));
    for index in 0..ADAPTER_SLOTS {
        let adapter = format!("a{index}");
        simulation.load(&adapter);
        simulation.serve(&adapter);
    }
    let mut actions = Vec::new();
    for adapter in ["b", "c"] {
        actions.extend(simulation.node.step(Event::RequestLoad {
            engine: "e1".into(),
            target: target(adapter),
            rank: 1,
        }));
    }
    let until = simulation.node.now + ms(900);
    simulation.run_until(actions, until);
    let evicted: Vec<_> = simulation
        .orders
        .iter()
        .filter(|(_, order)| matches!(order, Order::Unload(_)))
        .map(|(_, order)| order.target().clone())
        .collect();
    assert!(!evicted.contains(&target("b")), "{evicted:?}");
    assert!(
        simulation.is_resident("b") && simulation.is_resident("c"),
        "{evicted:?}"
    );
}
