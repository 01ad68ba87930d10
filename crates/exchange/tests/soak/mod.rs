//! Owners of several nodes before strict engines in virtual time, under seeded faults.

mod engine;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use exchange::Fleet;
use exchange::fleet::Presence;
use exchange::owner::{self, Action, AdmissionRequest, Answer, Event, Order, Owner};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wire::{Fence, Time, Upstream, Vm};

use super::support::{config, engine as listing, ms, owner_config, target};
pub use engine::Engine;

/// Nodes and engines.
const NODES: usize = 5;
const ENGINES: usize = 6;

/// Adapters that requests ask for; a few get most of them.
const ADAPTERS: f64 = 60.0;

/// Time between two ticks of a node.
const TICK: Duration = ms(100);

/// Time for which a request waits for its adapter, and pause between two looks.
const PATIENCE: Duration = ms(3_000);
const AGAIN: Duration = ms(100);

/// Time after which the others notice that a node is gone or back.
const NOTICED: Duration = ms(1_200);

/// Time after which a node that starts, or is no longer cut off, knows the others.
const JOINED: Duration = ms(300);

/// Time after which a changed engine shows in what nodes read of the platform.
const LISTED: Duration = ms(600);

/// What goes wrong.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// A node dies and starts anew after the time.
    Kill(usize, Duration),
    /// A node stands still for the time.
    Freeze(usize, Duration),
    /// An engine starts anew, empty.
    Crash(usize),
    /// Messages and calls get lost with this probability until the time is over.
    Loss(f64, Duration),
    /// Loads take this many times as long for the time.
    Slow(u32, Duration),
    /// A node's wall clock jumps by so many seconds.
    Clock(usize, i64),
    /// A node is cut off from the others, but not from engines, and does not notice.
    Cut(usize, Duration),
}

struct Node {
    vm: Vm,
    owner: Owner,
    fleet: Fleet,
    wall: i64,
    /// Counts the processes that ran here; what was meant for an earlier one is dropped.
    life: u32,
    alive: bool,
    frozen: Time,
    /// Until when it is cut off from the others.
    cut: Time,
}

#[derive(Debug)]
enum Due {
    Step(usize, u32, Event),
    Tick(usize, u32),
    Order(usize, u32, Upstream, Fence, Order),
    Inspect(usize, u32, Upstream),
    Ask(usize),
    Try(usize, u32, Upstream, AdmissionRequest, Time),
    End(usize, u32, Upstream, AdmissionRequest),
    List(usize),
    View,
    /// A node that has just started learns who lives.
    Join(usize, u32),
    Fault(Fault),
    Calm,
    Store,
}

/// The simulation.
pub struct World {
    now: Time,
    random: StdRng,
    nodes: Vec<Node>,
    pub engines: Vec<Engine>,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    due: Vec<Option<Due>>,
    loss: f64,
    /// Requests that found their adapter, and those that did not within their time.
    pub served: usize,
    pub asked: usize,
}

impl World {
    /// A world whose engines refuse old numbers.
    pub fn new(seed: u64) -> Self {
        Self::with(seed, true)
    }

    /// A world whose engines do not look at numbers.
    pub fn unfenced(seed: u64) -> Self {
        Self::with(seed, false)
    }

    fn with(seed: u64, fenced: bool) -> Self {
        let engines = (0..ENGINES).map(|index| Engine::new(&format!("e{index}"), fenced));
        let mut world = Self {
            now: ms(1_000),
            random: StdRng::seed_from_u64(seed),
            nodes: Vec::new(),
            engines: engines.collect(),
            queue: BinaryHeap::new(),
            due: Vec::new(),
            loss: 0.0,
            served: 0,
            asked: 0,
        };
        for index in 0..NODES {
            let node = world.node(index, 0);
            world.nodes.push(node);
            world.plan(ms(10), Due::Tick(index, 0));
            world.plan(ms(1_500), Due::Ask(index));
        }
        world.plan(ms(300), Due::View);
        world
    }

    fn node(&self, index: usize, life: u32) -> Node {
        let vm = format!("vm-{index}");
        let mut fleet = Fleet::default();
        for engine in &self.engines {
            fleet.apply_listing(self.now, engine.listing());
        }
        fleet.configure(&config(Vec::new()));
        let settings = owner::Config {
            engines_check_fences: self.engines.iter().all(|engine| engine.fenced),
            ..owner_config(&vm, index as u64 + 1)
        };
        Node {
            owner: Owner::new(settings),
            vm: vm.into(),
            fleet,
            wall: 1_800_000_000,
            life,
            alive: true,
            frozen: Time::ZERO,
            cut: Time::ZERO,
        }
    }

    fn plan(&mut self, after: Duration, due: Due) {
        let number = self.due.len() as u64;
        self.due.push(Some(due));
        self.queue.push(Reverse((self.now + after, number)));
    }

    pub fn fault(&mut self, after: Duration, fault: Fault) {
        self.plan(after, Due::Fault(fault));
    }

    /// Plays for `span`.
    pub fn play(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            if let Some(due) = self.due[number as usize].take() {
                self.happen(due);
            }
        }
        self.now = end;
    }

    /// Tells for whom something is: for a process that still runs, now or once it wakes.
    fn runs(&mut self, node: usize, life: u32, due: Due) -> Option<Due> {
        let known = &self.nodes[node];
        if !known.alive || known.life != life {
            return None;
        }
        if self.now < known.frozen {
            let wait = known.frozen - self.now + ms(1);
            self.plan(wait, due);
            return None;
        }
        Some(due)
    }

    fn happen(&mut self, due: Due) {
        let due = match &due {
            Due::Step(node, life, _)
            | Due::Tick(node, life)
            | Due::Order(node, life, ..)
            | Due::Try(node, life, ..)
            | Due::Inspect(node, life, _) => match self.runs(*node, *life, due) {
                Some(due) => due,
                None => return,
            },
            _ => due,
        };
        match due {
            Due::Step(node, _, event) => self.step(node, event),
            Due::Tick(node, life) => {
                self.plan(TICK, Due::Tick(node, life));
                let wall = self.nodes[node].wall + self.now.as_secs() as i64;
                let wall = u64::try_from(wall).unwrap_or_default();
                self.step(node, Event::Tick { wall_seconds: wall });
            }
            Due::Order(node, life, runner, fence, order) => {
                self.order(node, life, &runner, fence, order);
            }
            Due::Inspect(node, _, runner) => self.inspect(node, runner),
            Due::Ask(node) => self.ask(node),
            Due::Try(node, life, runner, visit, until) => {
                self.attempt(node, life, runner, visit, until);
            }
            Due::End(node, life, runner, visit) => self.end(node, life, &runner, &visit),
            Due::List(index) => self.list(index),
            Due::View => self.view(),
            Due::Join(node, life) => self.join(node, life),
            Due::Fault(fault) => self.break_down(fault),
            Due::Calm => self.loss = 0.0,
            Due::Store => self.engines.iter_mut().for_each(|engine| engine.slow = 1),
        }
    }

    fn step(&mut self, node: usize, event: Event) {
        let mut actions = Vec::new();
        let now = self.now;
        let Node { owner, fleet, .. } = &mut self.nodes[node];
        owner.step(now, fleet, event, &mut actions);
        owner::apply_to_fleet(now, fleet, &actions);
        owner.issue_orders(now, fleet, &mut actions);
        for action in actions {
            self.perform(node, action);
        }
    }

    fn perform(&mut self, node: usize, action: Action) {
        let life = self.nodes[node].life;
        let crossing = ms(self.random.random_range(1..4));
        match action {
            Action::Send { to, message } => {
                let lost = self.random.random_bool(self.loss);
                let addressee = self.nodes.iter().position(|known| known.vm == to);
                let cut = |index: &usize| self.cut(*index) || self.cut(node);
                if let Some(index) = addressee.filter(|index| !lost && !cut(index)) {
                    let from = self.nodes[node].vm.clone();
                    let event = Event::Receive { from, message };
                    let life = self.nodes[index].life;
                    self.plan(crossing, Due::Step(index, life, event));
                }
            }
            Action::Order {
                engine,
                fence,
                order,
            } => self.plan(crossing, Due::Order(node, life, engine, fence, order)),
            Action::FetchReport { engine, delay } => {
                self.plan(delay + crossing, Due::Inspect(node, life, engine));
            }
            Action::SetTimer(delay) => self.plan(delay, Due::Step(node, life, Event::TimerExpired)),
            _ => {}
        }
    }

    fn cut(&self, node: usize) -> bool {
        self.now < self.nodes[node].cut
    }

    fn order(&mut self, node: usize, life: u32, runner: &Upstream, fence: Fence, order: Order) {
        let vm = self.nodes[node].vm.clone();
        let lost = self.random.random_bool(self.loss);
        let unheard = self.random.random_bool(self.loss);
        let engine = self.engines.iter_mut().find(|known| known.id == *runner);
        let engine = engine.expect("an engine of the site");
        let answer = if lost {
            Answer::Unreached
        } else {
            let answer = engine.order(self.now, &vm, fence, &order);
            if unheard { Answer::Unknown } else { answer }
        };
        let event = Event::Answered {
            engine: runner.clone(),
            fence,
            order,
            answer,
        };
        self.plan(ms(2), Due::Step(node, life, event));
    }

    fn inspect(&mut self, node: usize, runner: Upstream) {
        let succeeded = !self.random.random_bool(self.loss);
        if succeeded {
            let engine = self.engines.iter_mut().find(|known| known.id == runner);
            let (holdings, coming) = engine.expect("an engine of the site").report(self.now);
            let fleet = &mut self.nodes[node].fleet;
            fleet.apply_report(self.now, &runner, holdings, coming);
        }
        self.step(
            node,
            Event::ReportFetched {
                engine: runner,
                succeeded,
            },
        );
    }

    /// A caller's request at a node: it asks the owner of some engine until the adapter is there.
    fn ask(&mut self, node: usize) {
        let pause = ms(self.random.random_range(20..120));
        self.plan(pause, Due::Ask(node));
        let known = &self.nodes[node];
        if !known.alive || self.now < known.frozen {
            return;
        }
        let draw: f64 = self.random.random_range(0.0..1.0);
        let adapter = format!("a{}", (ADAPTERS * draw * draw * draw) as usize);
        let index = adapter.bytes().map(usize::from).sum::<usize>() % ENGINES;
        let runner = self.engines[index].id.clone();
        let visit = AdmissionRequest {
            target: target(&adapter),
            prefill: ms(20),
            decode: ms(self.random.random_range(100..2_000)),
            rank: 1,
        };
        self.asked += 1;
        let (life, until) = (known.life, self.now + PATIENCE);
        self.attempt(node, life, runner, visit, until);
    }

    /// Sends a request where its adapter is there; otherwise it is wanted, and tried again.
    fn attempt(
        &mut self,
        node: usize,
        life: u32,
        runner: Upstream,
        visit: AdmissionRequest,
        until: Time,
    ) {
        let now = self.now;
        let holder = self.nodes[node].owner.holder(&runner).cloned();
        let holder = holder.and_then(|vm| self.find(&vm));
        // Whoever orders there lets the request in; where nobody does, it is sent all the same.
        let held = holder.is_none_or(|holder| {
            let Node { owner, fleet, .. } = &mut self.nodes[holder];
            let grant = owner.admit(now, fleet, &runner, &visit);
            grant.is_none_or(|grant| matches!(grant.presence, Presence::Held(_)))
        });
        let engine = self.engines.iter_mut().find(|known| known.id == runner);
        let there = held && engine.is_some_and(|engine| engine.begin(now, &visit.target));
        if let Some(holder) = holder.filter(|_| held && !there) {
            self.nodes[holder]
                .owner
                .release_admission(now, &runner, &visit.target);
        }
        if there {
            self.served += 1;
            let until = now + visit.decode;
            self.nodes[node]
                .owner
                .request_started(&runner, &visit.target, until);
            self.plan(visit.decode, Due::End(node, life, runner, visit));
        } else if self.now < until {
            let event = Event::RequestLoad {
                engine: runner.clone(),
                target: visit.target.clone(),
                rank: 1,
            };
            self.step(node, event);
            self.plan(AGAIN, Due::Try(node, life, runner, visit, until));
        }
    }

    fn find(&self, vm: &Vm) -> Option<usize> {
        let found = self.nodes.iter().position(|node| node.vm == *vm);
        found.filter(|index| self.nodes[*index].alive && self.nodes[*index].frozen <= self.now)
    }

    fn end(&mut self, node: usize, life: u32, runner: &Upstream, visit: &AdmissionRequest) {
        let engine = self.engines.iter_mut().find(|known| known.id == *runner);
        engine.expect("an engine of the site").end(&visit.target);
        let now = self.now;
        let known = &mut self.nodes[node];
        if !known.alive || known.life != life {
            return;
        }
        known.owner.request_ended(runner, &visit.target);
        if !known.owner.release_admission(now, runner, &visit.target)
            && let Some(holder) = known.owner.holder(runner).cloned()
            && let Some(index) = self.find(&holder)
        {
            self.nodes[index]
                .owner
                .release_admission(now, runner, &visit.target);
        }
    }

    fn list(&mut self, index: usize) {
        let listing = self.engines[index].listing();
        for node in &mut self.nodes {
            node.fleet.apply_listing(self.now, listing.clone());
            node.fleet.configure(&config(Vec::new()));
        }
    }

    fn view(&mut self) {
        let told: Vec<usize> = (0..NODES).filter(|index| !self.cut(*index)).collect();
        for index in told {
            self.join(index, self.nodes[index].life);
        }
    }

    /// Tells a node who lives, as far as the others hear of them.
    fn join(&mut self, node: usize, life: u32) {
        let seen = (0..NODES).filter(|index| self.nodes[*index].alive && !self.cut(*index));
        let live: Vec<Vm> = seen.map(|index| self.nodes[index].vm.clone()).collect();
        let may_claim = live.len() * 2 > NODES;
        self.plan(
            ms(1),
            Due::Step(node, life, Event::View { live, may_claim }),
        );
    }

    fn break_down(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(index, off) => {
                let life = self.nodes[index].life + 1;
                if self.nodes[index].alive {
                    self.nodes[index].alive = false;
                    self.nodes[index].life = life;
                    self.plan(off, Due::Fault(Fault::Kill(index, Duration::ZERO)));
                } else {
                    let wall = self.nodes[index].wall;
                    self.nodes[index] = self.node(index, life);
                    self.nodes[index].wall = wall;
                    self.plan(ms(10), Due::Tick(index, life));
                    self.plan(JOINED, Due::Join(index, life));
                }
                self.plan(NOTICED, Due::View);
            }
            Fault::Freeze(index, time) => {
                let life = self.nodes[index].life;
                self.nodes[index].frozen = self.now + time;
                self.plan(time, Due::Step(index, life, Event::Paused));
            }
            Fault::Crash(index) => {
                self.engines[index].crash();
                self.plan(LISTED, Due::List(index));
            }
            Fault::Loss(part, time) => {
                self.loss = part;
                self.plan(time, Due::Calm);
            }
            Fault::Slow(factor, time) => {
                self.engines.iter_mut().for_each(|e| e.slow = factor);
                self.plan(time, Due::Store);
            }
            Fault::Clock(index, seconds) => self.nodes[index].wall += seconds,
            Fault::Cut(index, time) => {
                self.nodes[index].cut = self.now + time;
                self.plan(NOTICED, Due::View);
                self.plan(time + JOINED, Due::View);
            }
        }
    }

    /// Returns how many nodes order at each engine.
    pub fn holders(&self) -> Vec<usize> {
        let holds = |node: &Node, id: &Upstream| {
            node.alive && node.owner.owned().any(|(owned, _)| owned == id)
        };
        let count = |id: &Upstream| self.nodes.iter().filter(|node| holds(node, id)).count();
        self.engines
            .iter()
            .map(|engine| count(&engine.id))
            .collect()
    }

    /// Draws faults over `span`.
    pub fn trouble(&mut self, count: usize, span: Duration) {
        for _ in 0..count {
            let at = span.mul_f64(self.random.random_range(0.0..1.0));
            let time = ms(self.random.random_range(300..4_000));
            let node = self.random.random_range(0..NODES);
            let fault = match self.random.random_range(0..6) {
                0 => Fault::Kill(node, time),
                1 => Fault::Freeze(node, time),
                2 => Fault::Crash(self.random.random_range(0..ENGINES)),
                3 => Fault::Loss(self.random.random_range(0.02..0.3), time),
                4 => Fault::Slow(self.random.random_range(2..8), time),
                _ => Fault::Clock(node, self.random.random_range(-4_000..4_000)),
            };
            self.fault(at, fault);
        }
    }
}

/// Returns what the platform lists of an engine.
fn listed(id: &str, born: u64, adapters: &[String]) -> exchange::fleet::Listing {
    let names: Vec<&str> = adapters.iter().map(String::as_str).collect();
    exchange::fleet::Listing {
        born: Some(born),
        ..listing(id, &names)
    }
}
