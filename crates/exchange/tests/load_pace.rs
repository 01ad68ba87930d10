//! Owners notice how long loads take, whatever the store carries, and tell those who wait.

mod support;

use std::time::Duration;

use exchange::fleet::Presence;
use exchange::owner::{Action, AdmissionRequest, Answer, Event, Message, Order, RelativePresence};
use rstest::rstest;
use support::{OwnerHarness, PLACES, engine, ms, target};
use wire::{Time, Vm};

/// An engine whose loads take `took`, under an owner that is driven by its own wakes.
struct Store {
    desk: OwnerHarness,
    took: Duration,
    /// Loads under way with their ends.
    flying: Vec<(Order, Time)>,
    orders: Vec<(Time, Order)>,
    sent: Vec<(Vm, Message)>,
}

impl Store {
    fn new(took: Duration) -> Self {
        let mut desk = OwnerHarness::alone("vm-1", 1, [engine("e1", &[])]);
        desk.claim_all();
        Self {
            desk,
            took,
            flying: Vec::new(),
            orders: Vec::new(),
            sent: Vec::new(),
        }
    }

    fn answer(&mut self, order: &Order) -> Answer {
        let now = self.desk.now;
        let same = |flying: &&(Order, Time)| flying.0.target() == order.target();
        match (order, self.flying.iter().find(same)) {
            (Order::Unload(_), _) => Answer::Done,
            (_, Some((_, end))) if *end <= now => Answer::Done,
            (_, Some(_)) => Answer::Accepted,
            (_, None) => {
                self.flying.push((order.clone(), now + self.took));
                Answer::Accepted
            }
        }
    }

    /// Carries actions out, and waits for the wakes that they ask for until `until`.
    fn follow(&mut self, actions: Vec<Action>, until: Time) {
        let mut wakes: Vec<Time> = Vec::new();
        let mut open = actions;
        loop {
            for action in std::mem::take(&mut open) {
                match action {
                    Action::SetTimer(after) => wakes.push(self.desk.now + after),
                    Action::Send { to, message } => self.sent.push((to, message)),
                    Action::Order {
                        engine,
                        fence,
                        order,
                    } => {
                        self.orders.push((self.desk.now, order.clone()));
                        let answer = self.answer(&order);
                        open.extend(self.desk.step(Event::Answered {
                            engine,
                            fence,
                            order,
                            answer,
                        }));
                    }
                    _ => {}
                }
            }
            if !open.is_empty() {
                continue;
            }
            wakes.sort_unstable();
            match wakes.first().copied() {
                Some(at) if at <= until => {
                    wakes.remove(0);
                    self.desk.now = self.desk.now.max(at);
                    open = self.desk.step(Event::TimerExpired);
                }
                _ => break,
            }
        }
        self.desk.now = until;
    }

    fn load(&mut self, adapter: &str) {
        let actions = self.desk.step(Event::RequestLoad {
            engine: "e1".into(),
            target: target(adapter),
            rank: 1,
        });
        self.follow(actions, self.desk.now + ms(6_000));
    }

    /// Lets a request in and ends it.
    fn serve(&mut self, adapter: &str) {
        let visit = AdmissionRequest {
            target: target(adapter),
            prefill: ms(20),
            decode: ms(500),
            rank: 1,
        };
        let OwnerHarness {
            now, owner, fleet, ..
        } = &mut self.desk;
        assert!(owner.admit(*now, fleet, "e1", &visit).is_some());
        owner.release_admission(*now, "e1", &visit.target);
    }

    fn questions(&self) -> usize {
        let confirms = self.orders.iter().filter(|(_, order)| order.is_confirm());
        confirms.count()
    }

    fn held(&self, adapter: &str) -> bool {
        let engine = self.desk.fleet.upstream("e1").unwrap();
        matches!(engine.presence(&target(adapter)), Presence::Held(_))
    }
}

#[rstest]
fn load_in_time_takes_one_question() {
    let mut store = Store::new(ms(250));
    store.load("a");
    assert_eq!(store.questions(), 1);
    assert!(store.held("a"));
}

/// Four times slower than told: the first load is asked for several times, later ones are
/// expected to take as long, and it is not taken for there before it is.
#[rstest]
fn slow_store_is_learnt() {
    let mut store = Store::new(ms(1_000));
    store.load("a");
    assert!(store.held("a"));
    let first = store.questions();
    for adapter in ["b", "c", "d"] {
        store.load(adapter);
    }
    let before = store.questions();
    store.load("e");
    let last = store.questions() - before;
    assert!(last < first && last <= 3, "{first} questions, then {last}");
}

#[rstest]
fn fast_store_is_not_waited_for() {
    let mut store = Store::new(ms(1_000));
    store.load("a");
    store.took = ms(250);
    for index in 0..40 {
        store.load(&format!("b{index}"));
    }
    let begun = store.desk.now;
    store.load("c");
    let asked = store.orders.last().map(|(at, _)| *at - begun).unwrap();
    assert!(asked < ms(300), "asked after {asked:?}");
}

#[rstest]
fn waiting_peer_learns_of_a_late_load() {
    let mut store = Store::new(ms(1_000));
    let live: Vec<Vm> = vec!["vm-1".into(), "vm-2".into()];
    store.desk.step(Event::View {
        live,
        may_claim: true,
    });
    let actions = store.desk.step(Event::Receive {
        from: "vm-2".into(),
        message: Message::RequestLoad {
            engine: "e1".into(),
            target: target("a"),
            rank: 1,
        },
    });
    let until = store.desk.now + ms(2_000);
    store.follow(actions, until);
    let news: Vec<RelativePresence> = store
        .sent
        .iter()
        .filter(|(to, _)| &**to == "vm-2")
        .filter_map(|(_, message)| match message {
            Message::Residency { presence, .. } => Some(*presence),
            _ => None,
        })
        .collect();
    assert!(
        matches!(news.first(), Some(RelativePresence::Coming(..))),
        "{news:?}"
    );
    assert!(
        matches!(news.last(), Some(RelativePresence::Held(_))),
        "{news:?}"
    );
    assert!(news.len() > 2, "{news:?}");
}

/// Requests wait for the time that they were told; the next load must not take the place of an
/// adapter whose requests are still to come.
#[rstest]
fn fresh_adapter_is_not_evicted() {
    let mut store = Store::new(ms(250));
    for index in 0..PLACES {
        let adapter = format!("a{index}");
        store.load(&adapter);
        store.serve(&adapter);
    }
    let mut actions = Vec::new();
    for adapter in ["b", "c"] {
        actions.extend(store.desk.step(Event::RequestLoad {
            engine: "e1".into(),
            target: target(adapter),
            rank: 1,
        }));
    }
    let until = store.desk.now + ms(900);
    store.follow(actions, until);
    let evicted: Vec<_> = store
        .orders
        .iter()
        .filter(|(_, order)| matches!(order, Order::Unload(_)))
        .map(|(_, order)| order.target().clone())
        .collect();
    assert!(!evicted.contains(&target("b")), "{evicted:?}");
    assert!(store.held("b") && store.held("c"), "{evicted:?}");
}
