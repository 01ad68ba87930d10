//! Bounded model checking of message orders: three witnesses, two of which claim the same key
//! concurrently, with a budget of lost and duplicated messages, withdrawn calls and restarts.
//! The variable `WORLDS` sets the number of states per search, for example `WORLDS=20000`.

use std::collections::HashSet;
use std::time::Duration;

use once::{Action, Config, Digest, Event, Key, Member, Message, Outcome, Participant, WitnessSet};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rstest::rstest;
use wire::view::{Peer, State};
use wire::{Incarnation, Machine, Request, View, Vm, rank};

const NOW: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
struct Model {
    participants: Vec<Participant>,
    in_flight: Vec<(Incarnation, Vm, Message)>,
    granted: Vec<(usize, Request)>,
    losses: u8,
    duplicates: u8,
    withdrawals: u8,
    restarts: u8,
    executions: u8,
    refused_not_run: bool,
    answered: u8,
}

fn name(vm: usize, start: u64) -> Incarnation {
    Incarnation::new(format!("vm-{vm}"), start)
}

fn view(incarnations: impl IntoIterator<Item = Incarnation>) -> View {
    View::new(incarnations.into_iter().map(|incarnation| Peer {
        incarnation,
        zone: "a".into(),
        state: State::Live,
    }))
}

fn config() -> Config {
    Config {
        witness_count: 3,
        quarantine: Duration::ZERO,
        ..Config::default()
    }
}

impl Model {
    fn new(budget: [u8; 4]) -> Self {
        let mut set = WitnessSet::new(3);
        for vm in 0..3 {
            let incarnation = name(vm, 1);
            set.add(Member {
                incarnation,
                term: 0,
            });
        }
        let set = set.found_lineage();
        let participant = |vm| {
            let mut participant = Participant::new(config(), name(vm, 1));
            let mut out = Vec::new();
            participant.step(
                NOW,
                Event::View(view((0..3).map(|vm| name(vm, 1)))),
                &mut out,
            );
            participant.step(NOW, Event::ListRead, &mut out);
            let from = name((vm + 1) % 3, 1);
            let message = Message::Sync { set: set.clone() };
            participant.step(NOW, Event::Receive { from, message }, &mut out);
            assert!(participant.is_voting());
            participant
        };
        let [losses, duplicates, withdrawals, restarts] = budget;
        let mut model = Self {
            participants: (0..3).map(participant).collect(),
            in_flight: Vec::new(),
            granted: Vec::new(),
            losses,
            duplicates,
            withdrawals,
            restarts,
            executions: 0,
            refused_not_run: false,
            answered: 0,
        };
        for node in 0..2 {
            let event = Event::Begin {
                request: node as Request + 1,
                key: Key::new("c", "s", "1"),
                body: Digest::new(["a"]),
                deadline: NOW * 9,
            };
            model.step(node, event);
        }
        model
    }

    fn step(&mut self, node: usize, event: Event) {
        let mut out = Vec::new();
        self.participants[node].step(NOW, event, &mut out);
        let from = self.participants[node].incarnation().clone();
        for action in out {
            match action {
                // Reordering hellos would only multiply equivalent states.
                Action::Send {
                    message: Message::Hello { .. },
                    ..
                } => {}
                Action::Send { to, message } => self.in_flight.push((from.clone(), to, message)),
                Action::Execute { request } => self.granted.push((node, request)),
                Action::Answer { .. } => self.answered += 1,
                Action::Refuse { outcome, .. } => {
                    self.refused_not_run |= outcome == Outcome::NotRun;
                    assert!(
                        outcome != Outcome::NotRun || self.executions == 0,
                        "refused as not-run, but the call ran"
                    );
                }
                Action::Note(_) => {}
            }
        }
    }

    fn deliver(&mut self, index: usize) {
        let (from, to, message) = self.in_flight[index].clone();
        let node = self
            .participants
            .iter()
            .position(|g| g.incarnation().vm == to);
        self.step(node.expect("a node"), Event::Receive { from, message });
    }

    fn write(&mut self, index: usize) {
        let (node, request) = self.granted.swap_remove(index);
        if !self.participants[node].permit(NOW, request) {
            return;
        }
        self.executions += 1;
        assert!(self.executions == 1, "the call ran twice");
        assert!(
            !self.refused_not_run,
            "the call ran after it was refused as not-run"
        );
        let record = once::CallRecord {
            ending: once::ledger::Ending::Answered,
            status: 200,
            content_type: String::new(),
            body: None,
        };
        self.step(node, Event::Finished { request, record });
    }

    fn restart(&mut self, node: usize) {
        let new = name(node, 2);
        self.participants[node] = Participant::new(config(), new.clone());
        self.granted.retain(|(at, _)| *at != node);
        for other in 0..3 {
            let names = (0..3).map(|vm| if vm == node { new.clone() } else { name(vm, 1) });
            self.step(other, Event::View(view(names)));
        }
        let message = Message::Sync {
            set: self.participants[(node + 1) % 3].witness_set().clone(),
        };
        let from = name((node + 1) % 3, 1);
        self.step(node, Event::Receive { from, message });
    }

    /// Returns every possible successor state.
    fn next(&self) -> Vec<Self> {
        let mut next = Vec::new();
        let mut add = |change: &mut dyn FnMut(&mut Self)| {
            let mut model = self.clone();
            change(&mut model);
            next.push(model);
        };
        for index in 0..self.in_flight.len() {
            add(&mut |m| {
                m.deliver(index);
                m.in_flight.swap_remove(index);
            });
            if self.losses > 0 {
                add(&mut |m| {
                    m.losses -= 1;
                    m.in_flight.swap_remove(index);
                });
            }
            if self.duplicates > 0 {
                add(&mut |m| {
                    m.duplicates -= 1;
                    m.deliver(index);
                });
            }
        }
        for index in 0..self.granted.len() {
            add(&mut |m| m.write(index));
            if self.withdrawals > 0 {
                add(&mut |m| {
                    m.withdrawals -= 1;
                    let (node, request) = m.granted.swap_remove(index);
                    m.step(node, Event::Abandon { request });
                });
            }
        }
        if self.restarts > 0 {
            for node in 0..3 {
                add(&mut |m| {
                    m.restarts -= 1;
                    m.restart(node);
                });
            }
        }
        next
    }

    /// Returns a hash that is the same for states that differ only in the order of messages in flight.
    fn hash(&self) -> u64 {
        let mut in_flight: Vec<String> = self.in_flight.iter().map(|m| format!("{m:?}")).collect();
        in_flight.sort_unstable();
        let rest = Model {
            in_flight: Vec::new(),
            ..self.clone()
        };
        rank::hash(format!("{rest:?}{in_flight:?}"))
    }
}

/// Runs several depth-first searches that take the branches in different random orders, each over
/// at most `limit` states. Returns the number of distinct states, and how many of the visited ones
/// had run the call.
fn explore(budget: [u8; 4], limit: usize) -> (usize, usize) {
    let mut seen = HashSet::new();
    let mut ran = 0;
    for seed in 0..SEARCHES {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut open = vec![Model::new(budget)];
        let mut left = limit;
        while let Some(model) = open.pop().filter(|_| left > 0) {
            if !seen.insert(model.hash()) && !open.is_empty() {
                continue;
            }
            left -= 1;
            ran += usize::from(model.executions > 0);
            let mut next = model.next();
            next.shuffle(&mut rng);
            open.extend(next);
        }
    }
    (seen.len(), ran)
}

/// Number of searches, each with its own branch order.
const SEARCHES: u64 = 16;

/// Default number of states per search.
const STATES_PER_SEARCH: usize = 250;

#[rstest]
#[case::orders([0, 0, 0, 0])]
#[case::losses([2, 0, 0, 0])]
#[case::doubles([0, 1, 0, 0])]
#[case::withdrawals([0, 0, 2, 0])]
#[case::restart([0, 0, 0, 1])]
#[case::all([1, 1, 1, 1])]
fn no_second_run(#[case] budget: [u8; 4]) {
    let limit = std::env::var("WORLDS")
        .ok()
        .and_then(|text| text.parse().ok());
    let (states, ran) = explore(budget, limit.unwrap_or(STATES_PER_SEARCH));
    println!("{budget:?}: {states} states, {ran} after the call ran");
    assert!(ran > 0, "the call ran in none of {states} states");
}
