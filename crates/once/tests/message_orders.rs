//! Orders of messages in a small scope: three witnesses, two nodes that claim one key at
//! once, and a budget of lost and doubled messages, of withdrawn calls and of one restart. `WORLDS=20000` looks at more of them.

use std::collections::HashSet;
use std::time::Duration;

use once::{Action, Config, Digest, Event, Key, Member, Message, Outcome, Participant, Set};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rstest::rstest;
use wire::view::{Peer, State};
use wire::{Incarnation, Machine, Request, View, Vm, rank};

const NOW: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
struct World {
    guards: Vec<Participant>,
    mail: Vec<(Incarnation, Vm, Message)>,
    granted: Vec<(usize, Request)>,
    losses: u8,
    doubles: u8,
    withdrawals: u8,
    restarts: u8,
    runs: u8,
    refused: bool,
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

impl World {
    fn new(budget: [u8; 4]) -> Self {
        let mut set = Set::new(3);
        for vm in 0..3 {
            let incarnation = name(vm, 1);
            set.add(Member {
                incarnation,
                round: 0,
            });
        }
        let set = set.found();
        let guard = |vm| {
            let mut guard = Participant::new(config(), name(vm, 1));
            let mut out = Vec::new();
            guard.step(
                NOW,
                Event::View(view((0..3).map(|vm| name(vm, 1)))),
                &mut out,
            );
            guard.step(NOW, Event::ListRead, &mut out);
            let from = name((vm + 1) % 3, 1);
            let message = Message::Sync { set: set.clone() };
            guard.step(NOW, Event::Receive { from, message }, &mut out);
            assert!(guard.is_voting());
            guard
        };
        let [losses, doubles, withdrawals, restarts] = budget;
        let mut world = Self {
            guards: (0..3).map(guard).collect(),
            mail: Vec::new(),
            granted: Vec::new(),
            losses,
            doubles,
            withdrawals,
            restarts,
            runs: 0,
            refused: false,
            answered: 0,
        };
        for node in 0..2 {
            let event = Event::Begin {
                request: node as Request + 1,
                key: Key::new("c", "s", "1"),
                body: Digest::new(["a"]),
                deadline: NOW * 9,
            };
            world.step(node, event);
        }
        world
    }

    fn step(&mut self, node: usize, event: Event) {
        let mut out = Vec::new();
        self.guards[node].step(NOW, event, &mut out);
        let from = self.guards[node].incarnation().clone();
        for action in out {
            match action {
                // The same round of greetings in each order says nothing new.
                Action::Send {
                    message: Message::Hello { .. },
                    ..
                } => {}
                Action::Send { to, message } => self.mail.push((from.clone(), to, message)),
                Action::Execute { request } => self.granted.push((node, request)),
                Action::Answer { .. } => self.answered += 1,
                Action::Refuse { outcome, .. } => {
                    self.refused |= outcome == Outcome::NotRun;
                    assert!(
                        outcome != Outcome::NotRun || self.runs == 0,
                        "not-run, but it ran"
                    );
                }
                Action::Note(_) => {}
            }
        }
    }

    fn deliver(&mut self, index: usize) {
        let (from, to, message) = self.mail[index].clone();
        let node = self.guards.iter().position(|g| g.incarnation().vm == to);
        self.step(node.expect("a node"), Event::Receive { from, message });
    }

    fn write(&mut self, index: usize) {
        let (node, request) = self.granted.swap_remove(index);
        if !self.guards[node].permit(NOW, request) {
            return;
        }
        self.runs += 1;
        assert!(self.runs == 1, "ran twice");
        assert!(!self.refused, "ran after not-run");
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
        self.guards[node] = Participant::new(config(), new.clone());
        self.granted.retain(|(at, _)| *at != node);
        for other in 0..3 {
            let names = (0..3).map(|vm| if vm == node { new.clone() } else { name(vm, 1) });
            self.step(other, Event::View(view(names)));
        }
        let message = Message::Sync {
            set: self.guards[(node + 1) % 3].witness_set().clone(),
        };
        let from = name((node + 1) % 3, 1);
        self.step(node, Event::Receive { from, message });
    }

    /// Returns every world that may come next.
    fn next(&self) -> Vec<Self> {
        let mut next = Vec::new();
        let mut add = |change: &mut dyn FnMut(&mut Self)| {
            let mut world = self.clone();
            change(&mut world);
            next.push(world);
        };
        for index in 0..self.mail.len() {
            add(&mut |w| {
                w.deliver(index);
                w.mail.swap_remove(index);
            });
            if self.losses > 0 {
                add(&mut |w| {
                    w.losses -= 1;
                    w.mail.swap_remove(index);
                });
            }
            if self.doubles > 0 {
                add(&mut |w| {
                    w.doubles -= 1;
                    w.deliver(index);
                });
            }
        }
        for index in 0..self.granted.len() {
            add(&mut |w| w.write(index));
            if self.withdrawals > 0 {
                add(&mut |w| {
                    w.withdrawals -= 1;
                    let (node, request) = w.granted.swap_remove(index);
                    w.step(node, Event::Abandon { request });
                });
            }
        }
        if self.restarts > 0 {
            for node in 0..3 {
                add(&mut |w| {
                    w.restarts -= 1;
                    w.restart(node);
                });
            }
        }
        next
    }

    /// Returns a hash that is the same for worlds that differ only in the order of the mail.
    fn hash(&self) -> u64 {
        let mut mail: Vec<String> = self.mail.iter().map(|m| format!("{m:?}")).collect();
        mail.sort_unstable();
        let rest = World {
            mail: Vec::new(),
            ..self.clone()
        };
        rank::hash(format!("{rest:?}{mail:?}"))
    }
}

/// Goes through the worlds depth first, at most so many from each of a few starts that take the
/// branches in other orders; returns how many there were and how many ran the call.
fn explore(budget: [u8; 4], most: usize) -> (usize, usize) {
    let mut seen = HashSet::new();
    let mut ran = 0;
    for start in 0..STARTS {
        let mut rng = StdRng::seed_from_u64(start);
        let mut open = vec![World::new(budget)];
        let mut left = most;
        while let Some(world) = open.pop().filter(|_| left > 0) {
            if !seen.insert(world.hash()) && !open.is_empty() {
                continue;
            }
            left -= 1;
            ran += usize::from(world.runs > 0);
            let mut next = world.next();
            next.shuffle(&mut rng);
            open.extend(next);
        }
    }
    (seen.len(), ran)
}

/// Orders in which the branches are taken.
const STARTS: u64 = 16;

/// Worlds looked at from one start.
const MOST: usize = 250;

#[rstest]
#[case::orders([0, 0, 0, 0])]
#[case::losses([2, 0, 0, 0])]
#[case::doubles([0, 1, 0, 0])]
#[case::withdrawals([0, 0, 2, 0])]
#[case::restart([0, 0, 0, 1])]
#[case::all([1, 1, 1, 1])]
fn no_second_run(#[case] budget: [u8; 4]) {
    let most = std::env::var("WORLDS")
        .ok()
        .and_then(|text| text.parse().ok());
    let (worlds, ran) = explore(budget, most.unwrap_or(MOST));
    println!("{budget:?}: {worlds} worlds, {ran} after the run");
    assert!(ran > 0, "the call ran in none of {worlds} worlds");
}
