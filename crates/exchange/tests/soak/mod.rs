//! Simulation in virtual time of owners on several nodes and strict engines, with seeded faults.

#![allow(dead_code, reason = "each test file uses its own part")]

mod discovery;
mod engine;
mod requests;
mod start;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use exchange::Fleet;
use exchange::owner::{self, Action, AdmissionRequest, Answer, Event, Order, Owner};
use rand::RngExt;
use rand::rngs::StdRng;
use wire::{Fence, Time, Upstream, Vm};

use discovery::{Discovery, Envelope};

use super::support::{config, engine as listing, ms};
pub use engine::Engine;

/// Number of nodes and engines.
const NODES: usize = 5;
const ENGINES: usize = 6;

/// Time between two ticks of a node.
const TICK: Duration = ms(100);

/// Delay until the other nodes notice that a node is gone or back.
const VIEW_DELAY: Duration = ms(1_200);

/// Delay until a node that starts, or is no longer cut off, knows the other nodes.
const JOIN_DELAY: Duration = ms(300);

/// Delay until a change of an engine shows in the listing that nodes read from the platform.
const LISTING_DELAY: Duration = ms(600);

/// Longest time until a node has read a change of an entry.
const READING_DELAY: Duration = ms(400);

/// Time after a pause of a node in which its orders are not judged.
const THAW_SLACK: Duration = ms(300);

/// Probability that a node doubts one that others doubt.
const DOUBTERS: f64 = 0.6;

/// Longest time until a node lists one as live that discovery has told of.
const LISTED_DELAY: Duration = ms(1_000);

/// Time without a known peer after which a node counts as isolated.
const ISOLATION: Duration = ms(3_000);

/// Time after which the record of a node that was not heard of is dropped.
const RECORD_LIFETIME: Duration = ms(15_000);

/// A fault to inject.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// A node dies and restarts after this time.
    Kill(usize, Duration),
    /// A node is paused for this time.
    Freeze(usize, Duration),
    /// An engine restarts empty.
    Crash(usize),
    /// Messages and calls are lost with this probability for this time.
    Loss(f64, Duration),
    /// Loads take this many times longer for this time.
    Slow(u32, Duration),
    /// The wall clock of a node jumps by this many seconds.
    Clock(usize, i64),
    /// A node is cut off from the other nodes, but not from engines, and does not notice.
    Cut(usize, Duration),
    /// Two nodes lose contact with each other, but not with the rest, and drop each other from
    /// their views.
    Unlink(usize, usize, Duration),
    /// A live node is missing from the views of some others for this time.
    Doubt(usize, Duration),
    /// Messages take up to this much longer, and so overtake each other, for that time.
    Delay(Duration, Duration),
    /// The entry of an engine lapses and is back after this time, while the engine goes on.
    Lapse(usize, Duration),
}

struct Node {
    vm: Vm,
    owner: Owner,
    fleet: Fleet,
    wall: i64,
    started: Time,
    /// Number of the current process on this node. Events for an earlier process are dropped.
    process: u32,
    alive: bool,
    frozen_until: Time,
    /// From when until when the node is cut off from the others.
    cut_since: Time,
    cut_until: Time,
    /// Until when each other node is missing from this node's view, by index.
    unseen_until: Vec<Time>,
    /// Until when discovery has not told this node of each other node, by index.
    unknown_until: Vec<Time>,
    /// Until when no message passes to and from each other node, by index.
    unlinked_until: Vec<Time>,
    /// From when on this node's orders count: some may be late after a pause or a cut.
    orders_count_from: Time,
}

#[derive(Debug)]
enum Scheduled {
    Step(usize, u32, Event),
    Tick(usize, u32),
    Order(usize, u32, Upstream, Fence, Order, Option<u64>),
    FetchReport(usize, u32, Upstream),
    NewRequest(usize),
    RetryRequest(usize, u32, Upstream, AdmissionRequest, Time),
    EndRequest(usize, u32, Upstream, AdmissionRequest),
    ListEngine(usize),
    /// A node reads that an engine has no entry any more, or has it again.
    Unlist(usize, usize),
    Relist(usize, usize),
    View,
    Discover(usize),
    DiscoveryMessage(Envelope),
    /// Tells a node that has just started which nodes are live.
    Join(usize, u32),
    Fault(Fault),
    EndLoss,
    EndDelay,
    EndSlowLoads,
}

/// The simulated nodes and engines with the queue of future events.
pub struct Simulation {
    now: Time,
    random: StdRng,
    nodes: Vec<Node>,
    pub engines: Vec<Engine>,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    scheduled: Vec<Option<Scheduled>>,
    loss: f64,
    /// Greatest extra delay of a message.
    delay: Duration,
    /// Whether nodes that see few others may claim, because the platform is reached.
    pub informed: bool,
    /// Discovery by seeds; without it nodes are told of each other.
    discovery: Option<Discovery>,
    /// Whether a node that is cut off notices that, and records of nodes that were not heard of are
    /// dropped.
    pub records_expire: bool,
    /// Whether nodes never hear of each other.
    pub apart: bool,
    /// Requests that found their adapter in time, and all requests.
    pub served: usize,
    pub requested: usize,
}

impl Simulation {
    fn schedule(&mut self, after: Duration, item: Scheduled) {
        let number = self.scheduled.len() as u64;
        self.scheduled.push(Some(item));
        self.queue.push(Reverse((self.now + after, number)));
    }

    pub fn schedule_fault(&mut self, after: Duration, fault: Fault) {
        self.schedule(after, Scheduled::Fault(fault));
    }

    /// Runs the simulation for `span`.
    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            if let Some(item) = self.scheduled[number as usize].take() {
                self.handle(item);
            }
        }
        self.now = end;
    }

    /// Returns the event if its process still runs. A paused process gets it once it resumes.
    fn deliverable(&mut self, node: usize, process: u32, item: Scheduled) -> Option<Scheduled> {
        let known = &self.nodes[node];
        if !known.alive || known.process != process {
            return None;
        }
        if self.now < known.frozen_until {
            let wait = known.frozen_until - self.now + ms(1);
            self.schedule(wait, item);
            return None;
        }
        Some(item)
    }

    fn handle(&mut self, item: Scheduled) {
        let item = match &item {
            Scheduled::Step(node, process, _)
            | Scheduled::Tick(node, process)
            | Scheduled::Order(node, process, ..)
            | Scheduled::RetryRequest(node, process, ..)
            | Scheduled::FetchReport(node, process, _) => {
                match self.deliverable(*node, *process, item) {
                    Some(item) => item,
                    None => return,
                }
            }
            _ => item,
        };
        match item {
            Scheduled::Step(node, _, event) => self.step(node, event),
            Scheduled::Tick(node, process) => {
                self.schedule(TICK, Scheduled::Tick(node, process));
                let wall = self.nodes[node].wall + self.now.as_secs() as i64;
                let wall = u64::try_from(wall).unwrap_or_default();
                self.step(node, Event::Tick { wall_seconds: wall });
            }
            Scheduled::Order(node, process, engine_id, fence, order, expected) => {
                self.order(node, process, &engine_id, fence, order, expected);
            }
            Scheduled::FetchReport(node, _, engine_id) => self.fetch_report(node, engine_id),
            Scheduled::NewRequest(node) => self.new_request(node),
            Scheduled::RetryRequest(node, process, engine_id, request, until) => {
                self.try_request(node, process, engine_id, request, until);
            }
            Scheduled::EndRequest(node, process, engine_id, request) => {
                self.end_request(node, process, &engine_id, &request);
            }
            Scheduled::ListEngine(index) => self.list_engine(index),
            Scheduled::Unlist(node, engine) => {
                let id = &self.engines[engine].id;
                self.nodes[node].fleet.remove(id);
            }
            Scheduled::Relist(node, engine) => {
                let listing = self.engines[engine].listing();
                let fleet = &mut self.nodes[node].fleet;
                fleet.apply_listing(self.now, listing);
                fleet.configure(&config(Vec::new()));
            }
            Scheduled::View => self.send_views(),
            Scheduled::Discover(node) => self.discover(node),
            Scheduled::DiscoveryMessage(envelope) => {
                let (now, node) = (self.now, envelope.to);
                let discovery = self.discovery.as_mut().expect("nodes discover each other");
                let (sent, changed) = discovery.receive(now, envelope);
                self.apply_discovery(node, sent, changed);
            }
            Scheduled::Join(node, process) => self.send_view(node, process),
            Scheduled::Fault(fault) => self.apply_fault(fault),
            Scheduled::EndLoss => self.loss = 0.0,
            Scheduled::EndDelay => self.delay = Duration::ZERO,
            Scheduled::EndSlowLoads => self
                .engines
                .iter_mut()
                .for_each(|engine| engine.slowdown = 1),
        }
    }

    fn discover(&mut self, node: usize) {
        self.schedule(TICK, Scheduled::Discover(node));
        let now = self.now;
        let discovery = self.discovery.as_mut().expect("nodes discover each other");
        let (sent, changed) = discovery.tick(now, node);
        self.apply_discovery(node, sent, changed);
    }

    /// Sends the messages of a node's discovery, and lists the nodes that it has found.
    fn apply_discovery(&mut self, node: usize, sent: Vec<Envelope>, changed: bool) {
        for envelope in sent {
            if !self.random.random_bool(self.loss) {
                let latency = ms(self.random.random_range(1..4));
                self.schedule(latency, Scheduled::DiscoveryMessage(envelope));
            }
        }
        if !changed {
            return;
        }
        for other in 0..self.nodes.len() {
            if self.nodes[node].unseen_until[other] == Time::MAX && self.is_known(node, other) {
                let listed = LISTED_DELAY.mul_f64(self.random.random_range(0.0..1.0));
                self.nodes[node].unseen_until[other] = self.now + listed;
                self.schedule(listed + ms(1), Scheduled::Join(node, 0));
            }
        }
        self.send_view(node, 0);
    }

    fn step(&mut self, node: usize, event: Event) {
        if let (Some(discovery), Event::Receive { from, .. }) = (&mut self.discovery, &event) {
            discovery.heard(self.now, node, from);
        }
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
        let process = self.nodes[node].process;
        let latency = ms(self.random.random_range(1..4));
        match action {
            Action::Send { to, message } => {
                let lost = self.random.random_bool(self.loss);
                let recipient = self.nodes.iter().position(|known| known.vm == to);
                // Only discovery tells addresses.
                let found = |index: &usize| self.discovery.is_none() || self.is_known(node, *index);
                let recipient = recipient.filter(found);
                let cut_off = |index: &usize| {
                    self.is_cut_off(*index)
                        || self.is_cut_off(node)
                        || self.now < self.nodes[node].unlinked_until[*index]
                };
                if let Some(index) = recipient.filter(|index| !lost && !cut_off(index)) {
                    let from = self.nodes[node].vm.clone();
                    let latency = if self.delay.is_zero() {
                        latency
                    } else {
                        latency + self.delay.mul_f64(self.random.random_range(0.0..1.0))
                    };
                    let event = Event::Receive { from, message };
                    let process = self.nodes[index].process;
                    self.schedule(latency, Scheduled::Step(index, process, event));
                }
            }
            Action::Order {
                engine,
                fence,
                order,
                expected,
            } => self.schedule(
                latency,
                Scheduled::Order(node, process, engine, fence, order, expected),
            ),
            Action::FetchReport { engine, delay } => {
                self.schedule(
                    delay + latency,
                    Scheduled::FetchReport(node, process, engine),
                );
            }
            Action::SetTimer(delay) => {
                self.schedule(delay, Scheduled::Step(node, process, Event::TimerExpired));
            }
            _ => {}
        }
    }

    fn is_cut_off(&self, node: usize) -> bool {
        self.now < self.nodes[node].cut_until
    }

    fn order(
        &mut self,
        node: usize,
        process: u32,
        engine_id: &Upstream,
        fence: Fence,
        order: Order,
        expected: Option<u64>,
    ) {
        let vm = self.nodes[node].vm.clone();
        let counts = self.now >= self.nodes[node].orders_count_from;
        let lost = self.random.random_bool(self.loss);
        let answer_lost = self.random.random_bool(self.loss);
        let engine = self.engines.iter_mut().find(|known| known.id == *engine_id);
        let engine = engine.expect("known engine");
        let answer = if lost {
            Answer::Unreached
        } else {
            if counts {
                engine.record_arrival(self.now, &vm, fence);
            }
            let answer = engine.order(self.now, &vm, fence, &order, expected);
            if answer_lost { Answer::Unknown } else { answer }
        };
        let event = Event::Answered {
            engine: engine_id.clone(),
            fence,
            order,
            answer,
        };
        self.schedule(ms(2), Scheduled::Step(node, process, event));
    }

    fn fetch_report(&mut self, node: usize, engine_id: Upstream) {
        let succeeded = !self.random.random_bool(self.loss);
        let mut orders = None;
        if succeeded {
            let engine = self.engines.iter_mut().find(|known| known.id == engine_id);
            let engine = engine.expect("known engine");
            let (holdings, coming) = engine.report(self.now);
            orders = Some(engine.orders);
            let fleet = &mut self.nodes[node].fleet;
            fleet.apply_report(self.now, &engine_id, holdings, coming);
        }
        self.step(
            node,
            Event::ReportFetched {
                engine: engine_id,
                succeeded,
                orders,
            },
        );
    }

    fn list_engine(&mut self, index: usize) {
        let listing = self.engines[index].listing();
        for node in &mut self.nodes {
            node.fleet.apply_listing(self.now, listing.clone());
            node.fleet.configure(&config(Vec::new()));
        }
    }

    fn send_views(&mut self) {
        let reachable: Vec<usize> = (0..self.nodes.len())
            .filter(|index| self.records_expire || !self.is_cut_off(*index))
            .collect();
        for index in reachable {
            self.send_view(index, self.nodes[index].process);
        }
    }

    /// Returns whether `node` knows of the node `other`, live or not: records are kept for 15 s.
    fn is_known(&self, node: usize, other: usize) -> bool {
        let is_dropped = |index: usize| {
            let since = self.nodes[index].cut_since;
            self.records_expire && self.is_cut_off(index) && self.now >= since + RECORD_LIFETIME
        };
        if node != other && (self.apart || is_dropped(node) || is_dropped(other)) {
            return false;
        }
        if let Some(discovery) = &self.discovery {
            return discovery.knows(node, &self.nodes[other].vm);
        }
        self.now >= self.nodes[node].unknown_until[other]
    }

    /// Tells a node which nodes are live, as far as the others can reach them.
    fn send_view(&mut self, node: usize, process: u32) {
        let unseen = &self.nodes[node].unseen_until;
        let alone = self.apart || self.records_expire && self.is_cut_off(node);
        let seen = (0..self.nodes.len()).filter(|index| {
            let reached = !alone && !self.is_cut_off(*index) || alone && *index == node;
            self.nodes[*index].alive && reached && self.now >= unseen[*index]
        });
        let live: Vec<Vm> = seen.map(|index| self.nodes[index].vm.clone()).collect();
        let known = (0..self.nodes.len()).filter(|index| self.is_known(node, *index));
        let known: Vec<Vm> = known.map(|index| self.nodes[index].vm.clone()).collect();
        let running = self.now.saturating_sub(self.nodes[node].started);
        let may_claim = if self.apart {
            running >= RECORD_LIFETIME
        } else {
            self.informed && (self.records_expire || known.len() > 1)
                || live.len() * 2 > self.nodes.len()
        };
        let isolated = known.len() == 1 && running >= ISOLATION;
        let events = [
            Event::KnownNodes(known),
            Event::Isolated(isolated),
            Event::View { live, may_claim },
        ];
        for event in events {
            self.schedule(ms(1), Scheduled::Step(node, process, event));
        }
    }

    /// Tells a node that never hears of another one what follows from that.
    fn schedule_isolation(&mut self, node: usize, process: u32) {
        for time in [ISOLATION, RECORD_LIFETIME] {
            self.schedule(time + ms(1), Scheduled::Join(node, process));
        }
    }

    fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(index, off) => {
                let process = self.nodes[index].process + 1;
                if self.nodes[index].alive {
                    self.nodes[index].alive = false;
                    self.nodes[index].process = process;
                    self.schedule(off, Scheduled::Fault(Fault::Kill(index, Duration::ZERO)));
                } else {
                    let wall = self.nodes[index].wall;
                    self.nodes[index] = self.new_node(index, process);
                    self.nodes[index].wall = wall;
                    self.schedule(ms(10), Scheduled::Tick(index, process));
                    self.schedule(JOIN_DELAY, Scheduled::Join(index, process));
                    if self.apart {
                        self.schedule_isolation(index, process);
                    }
                }
                self.schedule(VIEW_DELAY, Scheduled::View);
            }
            Fault::Freeze(index, time) => {
                let process = self.nodes[index].process;
                self.nodes[index].frozen_until = self.now + time;
                self.nodes[index].orders_count_from = self.now + time + THAW_SLACK;
                self.schedule(time, Scheduled::Step(index, process, Event::Paused));
            }
            Fault::Crash(index) => {
                self.engines[index].crash();
                self.schedule(LISTING_DELAY, Scheduled::ListEngine(index));
            }
            Fault::Loss(probability, time) => {
                self.loss = probability;
                self.schedule(time, Scheduled::EndLoss);
            }
            Fault::Slow(factor, time) => {
                self.engines
                    .iter_mut()
                    .for_each(|engine| engine.slowdown = factor);
                self.schedule(time, Scheduled::EndSlowLoads);
            }
            Fault::Clock(index, seconds) => self.nodes[index].wall += seconds,
            Fault::Cut(index, time) => {
                self.nodes[index].cut_since = self.now;
                self.nodes[index].cut_until = self.now + time;
                if self.records_expire {
                    self.schedule(RECORD_LIFETIME + ms(1), Scheduled::View);
                }
                self.schedule(VIEW_DELAY, Scheduled::View);
                self.schedule(time + JOIN_DELAY, Scheduled::View);
            }
            Fault::Unlink(one, other, time) => {
                for (node, peer) in [(one, other), (other, one)] {
                    self.nodes[node].unlinked_until[peer] = self.now + time;
                    self.nodes[node].unseen_until[peer] = self.now + time + JOIN_DELAY;
                }
                self.schedule(VIEW_DELAY, Scheduled::View);
                self.schedule(time + JOIN_DELAY + ms(1), Scheduled::View);
            }
            Fault::Doubt(index, time) => {
                for node in (0..self.nodes.len()).filter(|node| *node != index) {
                    if self.random.random_bool(DOUBTERS) {
                        self.nodes[node].unseen_until[index] = self.now + time;
                    }
                }
                self.schedule(ms(1), Scheduled::View);
                self.schedule(time + ms(1), Scheduled::View);
            }
            Fault::Lapse(engine, time) => {
                for node in 0..self.nodes.len() {
                    let mut late = || READING_DELAY.mul_f64(self.random.random_range(0.0..1.0));
                    let (gone, back) = (late(), time + late());
                    self.schedule(gone, Scheduled::Unlist(node, engine));
                    self.schedule(back.max(gone), Scheduled::Relist(node, engine));
                }
            }
            Fault::Delay(extra, time) => {
                self.delay = extra;
                self.schedule(time, Scheduled::EndDelay);
            }
        }
    }

    /// Returns when the first order arrived at each engine from `after` on.
    pub fn first_orders(&self, after: Time) -> Vec<Option<Time>> {
        let first = |engine: &Engine| engine.first_arrival(after);
        self.engines.iter().map(first).collect()
    }

    /// Returns the engines that `node` owns, by index.
    pub fn owned_by(&self, node: usize) -> Vec<usize> {
        let owns = |index: &usize| {
            let id = &self.engines[*index].id;
            self.nodes[node].owner.owned().any(|(owned, _)| owned == id)
        };
        (0..self.engines.len()).filter(owns).collect()
    }

    /// Returns the number of owners of each engine.
    pub fn owner_counts(&self) -> Vec<usize> {
        let holds = |node: &Node, id: &Upstream| {
            node.alive && node.owner.owned().any(|(owned, _)| owned == id)
        };
        let count = |id: &Upstream| self.nodes.iter().filter(|node| holds(node, id)).count();
        self.engines
            .iter()
            .map(|engine| count(&engine.id))
            .collect()
    }

    /// Schedules `count` random faults within `span`.
    pub fn inject_faults(&mut self, count: usize, span: Duration) {
        for _ in 0..count {
            let at = span.mul_f64(self.random.random_range(0.0..1.0));
            let time = ms(self.random.random_range(300..4_000));
            let node = self.random.random_range(0..self.nodes.len());
            let fault = match self.random.random_range(0..6) {
                0 => Fault::Kill(node, time),
                1 => Fault::Freeze(node, time),
                2 => Fault::Crash(self.random.random_range(0..ENGINES)),
                3 => Fault::Loss(self.random.random_range(0.02..0.3), time),
                4 => Fault::Slow(self.random.random_range(2..8), time),
                _ => Fault::Clock(node, self.random.random_range(-4_000..4_000)),
            };
            self.schedule_fault(at, fault);
        }
    }
}

/// Returns the platform's listing of an engine.
fn listing_of(id: &str, born: u64, adapters: &[String]) -> exchange::fleet::Listing {
    let names: Vec<&str> = adapters.iter().map(String::as_str).collect();
    exchange::fleet::Listing {
        born: Some(born),
        ..listing(id, &names)
    }
}
