//! Simulation in virtual time of several nodes that search engines for their requests.
//!
//! The nodes run the real decisions: search, selection, demand, ownership and scheduling of loads.
//! Arrivals, engines, the store and the network are simulated from a seed, so that a run gives the
//! same result each time.

mod engine;
mod load;
mod node;
mod requests;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use exchange::demand::Target;
use exchange::owner::{Action, Answer, Decision, Event, Order, REPLICA_RANK};
use exchange::search::{Limits, Search};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wire::{Time, Upstream, Vm};

use super::support::ms;
use engine::{Engine, Store};
pub use load::{Class, Outcome, Record, Report};
use node::Node;

/// Time between two ticks of a node.
const TICK: Duration = ms(100);

/// Time from the start of the nodes until requests arrive.
const LEAD: Duration = ms(8_000);

/// Time after which a request without a grant is sent all the same.
const GRANT_TIMEOUT: Duration = ms(30);

/// Number of full engines that a request leaves for others.
const FULL_MOVES_MAX: u32 = 2;

/// Delay until a change of an engine shows in the listing that nodes read from the platform.
const LISTING_DELAY: Duration = ms(600);

/// Delay until the other nodes notice that a node leaves or is back.
const VIEW_DELAY: Duration = ms(300);

/// Time from the end of all nodes until they are started anew.
const DOWN: Duration = ms(1_400);

/// Time from the start of a node until its peers have answered and it takes requests.
const MEET: Duration = ms(450);

/// Time from then until it may claim engines.
const SETTLE: Duration = ms(500);

/// Time from a restart of all nodes until they take requests.
pub const RESTART: Duration = ms(1_850);

/// Time from the choice of an engine to its first event, beside load and prefill.
const START_MARGIN: Duration = ms(60);

/// Size and speed of a simulated site.
#[derive(Clone, Debug)]
pub struct Site {
    pub nodes: usize,
    pub engines: usize,
    /// Adapter slots of an engine.
    pub slots: usize,
    /// Requests that an engine runs at the same time.
    pub batch: usize,
    /// Evicted adapters that an engine keeps at hand.
    pub cache: usize,
    pub adapters: f64,
    pub zipf: f64,
    /// Loads of adapters that the store does at full speed at the same time.
    pub parallel_loads: usize,
    pub base_load: Duration,
    pub fenced: bool,
    pub classes: Vec<Class>,
}

/// A change during a run.
#[derive(Clone, Copy, Debug)]
pub enum Change {
    /// The rates of a class, or of all, are multiplied by this factor for this time.
    Burst(Option<&'static str>, f64, Duration),
    /// The popularity of the adapters moves on by so many places.
    DemandMoves(usize),
    /// So many engines restart empty.
    EnginesRestart(usize),
    /// A node leaves and is back as a new process after this time.
    NodeLeaves(usize, Duration),
    /// All nodes end at once and are started anew, while the engines go on.
    NodesRestart,
}

#[derive(Debug)]
enum Scheduled {
    Step(usize, u32, Event),
    Tick(usize, u32),
    Order(usize, u32, Action),
    FetchReport(usize, u32, Upstream),
    Arrival(usize),
    Return(usize),
    /// Continues a request unless its state has changed since.
    Look(usize, u32),
    Unanswered(usize, u32, Upstream),
    Start(usize, u32, Upstream),
    End(usize, Upstream, u64),
    ListEngines,
    View,
    Rejoin(usize),
    StartNodes,
    NodesMeet,
    NodesSettle,
    Change(Change),
    EndBurst(Option<&'static str>, f64),
    Sample,
}

/// A request in progress.
struct Request {
    node: usize,
    process: u32,
    class: Class,
    target: Target,
    prefill: Duration,
    decode: Duration,
    /// When its caller first sent it, and when it sent it to this node.
    first_sent: Time,
    arrived: Time,
    returned: bool,
    search: Search,
    limits: Limits,
    load_engine: Option<Upstream>,
    /// Full engines that it left for others.
    full_moves: u32,
    /// The engine of whose target it awaits news.
    awaits: Option<Upstream>,
    /// Changes with each step, so that timers of earlier ones have no effect.
    step: u32,
    done: bool,
}

pub struct Simulation {
    now: Time,
    random: StdRng,
    site: Site,
    nodes: Vec<Node>,
    engines: Vec<Engine>,
    store: Store,
    requests: Vec<Request>,
    /// Offset of the most popular adapter.
    shift: usize,
    factors: Vec<f64>,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    scheduled: Vec<Option<Scheduled>>,
    report: Report,
    /// Replicas that have not served a request.
    unused_replicas: Vec<(Upstream, Target)>,
    samples: Vec<usize>,
}

impl Simulation {
    pub fn new(site: Site, seed: u64) -> Self {
        let engines = (0..site.engines)
            .map(|index| Engine::new(&format!("e{index}"), site.slots, site.batch, site.cache))
            .collect();
        let mut simulation = Self {
            now: ms(1_000),
            random: StdRng::seed_from_u64(seed),
            nodes: Vec::new(),
            engines,
            store: Store::new(ms(250), site.parallel_loads),
            requests: Vec::new(),
            shift: 0,
            factors: vec![1.0; site.classes.len()],
            queue: BinaryHeap::new(),
            scheduled: Vec::new(),
            report: Report::default(),
            unused_replicas: Vec::new(),
            samples: Vec::new(),
            site,
        };
        for index in 0..simulation.site.nodes {
            let node = simulation.new_node(index, 0);
            simulation.nodes.push(node);
            simulation.schedule(ms(10 + index as u64), Scheduled::Tick(index, 0));
        }
        simulation.schedule(ms(300), Scheduled::View);
        for class in 0..simulation.site.classes.len() {
            simulation.schedule(LEAD, Scheduled::Arrival(class));
        }
        simulation.schedule(LEAD, Scheduled::Sample);
        simulation
    }

    fn new_node(&mut self, index: usize, process: u32) -> Node {
        let now = self.now;
        let listings = self.engines.iter_mut().map(|engine| engine.listing(now));
        Node::new(now, index, process, &self.site, listings.collect())
    }

    /// Schedules a change at `at` from the first arrival.
    pub fn change(&mut self, at: Duration, change: Change) {
        self.schedule(LEAD + at, Scheduled::Change(change));
    }

    /// Runs for `span` from the first arrival, and then until the last request is over.
    pub fn run(mut self, span: Duration) -> Report {
        let end = self.now + LEAD + span;
        while let Some(Reverse((at, number))) = self.queue.pop() {
            let over = self.requests.iter().all(|request| request.done);
            if at > end && over {
                break;
            }
            self.now = self.now.max(at);
            let Some(item) = self.scheduled[number as usize].take() else {
                continue;
            };
            if at > end && matches!(item, Scheduled::Arrival(_)) {
                continue;
            }
            self.handle(item);
        }
        self.report.loads_per_second = self.store.loads as f64 / span.as_secs_f64();
        self.report.overfills = self.engines.iter().map(|engine| engine.overfills).sum();
        let sum: usize = self.samples.iter().sum();
        self.report.places_in_use = sum as f64 / self.samples.len().max(1) as f64;
        self.report
    }

    fn schedule(&mut self, after: Duration, item: Scheduled) {
        let number = self.scheduled.len() as u64;
        self.scheduled.push(Some(item));
        self.queue.push(Reverse((self.now + after, number)));
    }

    fn handle(&mut self, item: Scheduled) {
        match item {
            Scheduled::Step(node, process, event) if self.runs(node, process) => {
                self.step(node, event);
            }
            Scheduled::Tick(node, process) if self.runs(node, process) => {
                self.schedule(TICK, Scheduled::Tick(node, process));
                let wall_seconds = 1_800_000_000 + self.now.as_secs();
                self.step(node, Event::Tick { wall_seconds });
            }
            Scheduled::Order(node, process, action) if self.runs(node, process) => {
                self.order(node, process, action);
            }
            Scheduled::FetchReport(node, process, id) if self.runs(node, process) => {
                self.fetch_report(node, id);
            }
            Scheduled::Arrival(class) => self.arrive(class),
            Scheduled::Return(request) => self.come_back(request),
            Scheduled::Look(request, step) if self.requests[request].step == step => {
                self.look(request);
            }
            Scheduled::Unanswered(request, step, engine) if self.requests[request].step == step => {
                let node = self.requests[request].node;
                self.nodes[node].owner_silent(self.now, &engine);
                self.look(request);
            }
            Scheduled::Start(request, step, engine) if self.requests[request].step == step => {
                self.start(request, &engine);
            }
            Scheduled::End(request, engine, born) => self.end(request, &engine, born),
            Scheduled::ListEngines => self.list_engines(),
            Scheduled::View => self.send_views(),
            Scheduled::Rejoin(node) => self.rejoin(node),
            Scheduled::StartNodes => self.start_nodes(),
            Scheduled::NodesMeet => {
                self.nodes.iter_mut().for_each(|node| node.met = true);
                self.schedule(SETTLE, Scheduled::NodesSettle);
                self.send_views();
            }
            Scheduled::NodesSettle => {
                self.nodes.iter_mut().for_each(|node| node.settled = true);
                self.send_views();
            }
            Scheduled::Change(change) => self.apply(change),
            Scheduled::EndBurst(class, factor) => self.scale(class, 1.0 / factor),
            Scheduled::Sample => {
                self.samples
                    .push(self.engines.iter().map(Engine::in_use).sum());
                self.schedule(TICK, Scheduled::Sample);
            }
            _ => {}
        }
    }

    fn runs(&self, node: usize, process: u32) -> bool {
        self.nodes[node].process == process && !self.nodes[node].gone
    }

    fn step(&mut self, node: usize, event: Event) {
        let actions = self.nodes[node].step(self.now, event);
        for action in actions {
            self.perform(node, action);
        }
    }

    fn perform(&mut self, node: usize, action: Action) {
        let process = self.nodes[node].process;
        let latency = ms(self.random.random_range(1..3));
        match action {
            Action::Send { to, message } => {
                let from: Vm = self.nodes[node].vm.clone();
                if let Some(index) = self.nodes.iter().position(|known| known.vm == to) {
                    let process = self.nodes[index].process;
                    let event = Event::Receive { from, message };
                    self.schedule(latency, Scheduled::Step(index, process, event));
                }
            }
            order @ Action::Order { .. } => {
                self.schedule(latency, Scheduled::Order(node, process, order));
            }
            Action::FetchReport { engine, delay } => {
                let report = Scheduled::FetchReport(node, process, engine);
                self.schedule(delay + latency, report);
            }
            Action::SetTimer(delay) => {
                let event = Event::TimerExpired;
                self.schedule(delay, Scheduled::Step(node, process, event));
            }
            Action::Presence { engine, target, .. } => self.wake(node, &engine, &target),
            Action::Log(Decision::Loading(engine, target, REPLICA_RANK, _)) => {
                self.report.replica_loads += 1;
                self.unused_replicas.push((engine, target));
            }
            Action::Log(Decision::Loading(engine, target, ..)) => {
                let elsewhere = |known: &&Engine| known.id != engine && known.holds(&target);
                let others = self.engines.iter().filter(elsewhere).count();
                self.report.requested_loads += 1;
                self.report.duplicate_loads += usize::from(others > 0);
            }
            Action::Granted { ticket, grant } => self.granted(ticket as usize, grant),
            _ => {}
        }
    }

    fn wake(&mut self, node: usize, engine: &Upstream, target: &Target) {
        let waiting = |request: &Request| {
            let here = request.node == node && !request.done;
            here && request.awaits.as_ref() == Some(engine) && request.target == *target
        };
        let woken: Vec<usize> = (0..self.requests.len())
            .filter(|index| waiting(&self.requests[*index]))
            .collect();
        for request in woken {
            let step = self.requests[request].step;
            self.schedule(Duration::ZERO, Scheduled::Look(request, step));
        }
    }

    fn order(&mut self, node: usize, process: u32, action: Action) {
        let Action::Order {
            engine,
            fence,
            order,
            ..
        } = action
        else {
            return;
        };
        if let Order::Unload(target) = &order
            && self.take_unused_replica(&engine, target)
        {
            self.report.unused_replicas += 1;
        }
        let known = self.engines.iter_mut().find(|known| known.id == engine);
        let answer = known.map_or(Answer::Misdirected, |known| {
            known.order(
                self.now,
                fence,
                &order,
                self.site.base_load,
                &mut self.store,
            )
        });
        let event = Event::Answered {
            engine,
            fence,
            order,
            answer,
        };
        self.schedule(ms(2), Scheduled::Step(node, process, event));
    }

    /// Removes a replica from those that have not served a request. Returns whether it was one.
    fn take_unused_replica(&mut self, engine: &Upstream, target: &Target) -> bool {
        let replica = |(known, of): &(Upstream, Target)| known == engine && of == target;
        let index = self.unused_replicas.iter().position(replica);
        index.is_some_and(|index| {
            self.unused_replicas.swap_remove(index);
            true
        })
    }

    fn fetch_report(&mut self, node: usize, id: Upstream) {
        if let Some(engine) = self.engines.iter_mut().find(|known| known.id == id) {
            let (holdings, coming) = engine.report(self.now);
            let fleet = &mut self.nodes[node].fleet;
            fleet.apply_report(self.now, &id, holdings, coming);
        }
        let event = Event::ReportFetched {
            engine: id,
            succeeded: true,
            orders: None,
        };
        self.step(node, event);
    }

    fn list_engines(&mut self) {
        let now = self.now;
        let listings: Vec<_> = self.engines.iter_mut().map(|e| e.listing(now)).collect();
        for node in &mut self.nodes {
            node.list(now, &self.site, &listings);
        }
    }

    fn send_views(&mut self) {
        let live: Vec<Vm> = self
            .nodes
            .iter()
            .filter(|node| node.takes_requests())
            .map(|node| node.vm.clone())
            .collect();
        let leaving: Vec<Vm> = self
            .nodes
            .iter()
            .filter(|node| node.leaving && !node.gone)
            .map(|node| node.vm.clone())
            .collect();
        for index in 0..self.nodes.len() {
            let process = self.nodes[index].process;
            let may_claim = self.nodes[index].takes_requests() && self.nodes[index].settled;
            let view = Event::View {
                live: live.clone(),
                may_claim,
            };
            self.schedule(ms(1), Scheduled::Step(index, process, view));
            let leaving = Event::LeavingNodes(leaving.clone());
            self.schedule(ms(1), Scheduled::Step(index, process, leaving));
        }
    }

    fn apply(&mut self, change: Change) {
        match change {
            Change::Burst(class, factor, time) => {
                self.scale(class, factor);
                self.schedule(time, Scheduled::EndBurst(class, factor));
            }
            Change::DemandMoves(places) => self.shift += places,
            Change::EnginesRestart(count) => {
                self.engines
                    .iter_mut()
                    .take(count)
                    .for_each(Engine::restart);
                self.schedule(LISTING_DELAY, Scheduled::ListEngines);
                for seconds in 1..10 {
                    let delay = LISTING_DELAY + ms(1_000 * seconds);
                    self.schedule(delay, Scheduled::ListEngines);
                }
            }
            Change::NodeLeaves(index, time) => {
                self.nodes[index].leaving = true;
                self.step(index, Event::Leave);
                self.schedule(VIEW_DELAY, Scheduled::View);
                self.schedule(time, Scheduled::Rejoin(index));
            }
            Change::NodesRestart => {
                self.nodes.iter_mut().for_each(|node| node.gone = true);
                self.schedule(DOWN, Scheduled::StartNodes);
            }
        }
    }

    fn start_nodes(&mut self) {
        for index in 0..self.nodes.len() {
            let process = self.nodes[index].process + 1;
            let mut node = self.new_node(index, process);
            (node.met, node.settled) = (false, false);
            self.nodes[index] = node;
            self.schedule(ms(10 + index as u64), Scheduled::Tick(index, process));
        }
        self.schedule(MEET, Scheduled::NodesMeet);
    }

    fn scale(&mut self, class: Option<&str>, factor: f64) {
        for (known, scaled) in self.site.classes.iter().zip(&mut self.factors) {
            if class.is_none_or(|class| class == known.name) {
                *scaled *= factor;
            }
        }
    }

    /// Replaces a node by a new process. Requests that it still searches for are lost.
    fn rejoin(&mut self, index: usize) {
        let process = self.nodes[index].process + 1;
        self.nodes[index] = self.new_node(index, process);
        self.schedule(ms(10), Scheduled::Tick(index, process));
        self.schedule(VIEW_DELAY, Scheduled::View);
    }
}
