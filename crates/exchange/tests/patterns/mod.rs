//! Simulation in virtual time of several nodes that search engines for their requests.
//!
//! The nodes run the real decisions: search, selection, demand, ownership and scheduling of loads.
//! Arrivals, engines, the store and the network are simulated from a seed, so that a run gives the
//! same result each time.

mod engine;
mod load;
mod node;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use exchange::demand::Target;
use exchange::owner::{Action, AdmissionRequest, Answer, Event, Grant, Message};
use exchange::search::{Limits, REPLY_TIMEOUT, Search, Step};
use exchange::selection::{Selection, Unavailable};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, Zipf};
use wire::{Time, Upstream, Vm};

use super::support::{ms, target};
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
    Change(Change),
    EndBurst(Option<&'static str>, f64),
    Sample,
}

/// Returns the engine that was selected.
fn selected(selection: &Selection) -> Option<&Upstream> {
    match selection {
        Selection::Send(engine) | Selection::Wait(engine, _) | Selection::Load(engine) => {
            Some(engine)
        }
        Selection::None(_) => None,
    }
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
        } = action
        else {
            return;
        };
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

    fn fetch_report(&mut self, node: usize, id: Upstream) {
        if let Some(engine) = self.engines.iter_mut().find(|known| known.id == id) {
            let (holdings, coming) = engine.report(self.now);
            let fleet = &mut self.nodes[node].fleet;
            fleet.apply_report(self.now, &id, holdings, coming);
        }
        let event = Event::ReportFetched {
            engine: id,
            succeeded: true,
        };
        self.step(node, event);
    }

    fn arrive(&mut self, class: usize) {
        let known = self.site.classes[class];
        let pauses = Exp::new(known.rate * self.factors[class]).expect("valid rate");
        let pause = Duration::from_secs_f64(pauses.sample(&mut self.random));
        self.schedule(pause, Scheduled::Arrival(class));
        let popularity = Zipf::new(self.site.adapters, self.site.zipf).expect("valid");
        let place: f64 = popularity.sample(&mut self.random);
        let adapter = (place as usize + self.shift) % self.site.adapters as usize;
        let now = self.now;
        let limits = Limits {
            on_time: now,
            useful: now,
        };
        self.requests.push(Request {
            node: 0,
            process: 0,
            class: known,
            target: target(&format!("a{adapter}")),
            prefill: known.draw_prefill(&mut self.random),
            decode: known.draw_decode(&mut self.random),
            first_sent: now,
            arrived: now,
            returned: false,
            search: Search::new(limits),
            limits,
            load_engine: None,
            full_moves: 0,
            awaits: None,
            step: 0,
            done: false,
        });
        self.come_in(self.requests.len() - 1);
    }

    fn come_back(&mut self, request: usize) {
        self.requests[request].returned = true;
        self.come_in(request);
    }

    /// Brings a request to a node that takes requests.
    fn come_in(&mut self, request: usize) {
        let open: Vec<usize> = (0..self.nodes.len())
            .filter(|index| self.nodes[*index].takes_requests())
            .collect();
        let node = open[self.random.random_range(0..open.len())];
        let now = self.now;
        let arriving = &mut self.requests[request];
        let class = arriving.class;
        let left = (arriving.first_sent + class.deadline).saturating_sub(now);
        let patience = (class.latency_target * 4).max(ms(2_000)).min(left);
        let spent = arriving.prefill + START_MARGIN;
        let limits = Limits {
            on_time: (now + class.latency_target).saturating_sub(spent),
            useful: now + patience,
        };
        arriving.node = node;
        arriving.process = self.nodes[node].process;
        arriving.arrived = now;
        arriving.limits = limits;
        arriving.search = Search::new(limits);
        let (target, prefill) = (arriving.target.clone(), arriving.prefill);
        if let Some(event) = self.nodes[node].count_demand(now, &target, prefill) {
            self.step(node, event);
        }
        self.look(request);
    }

    /// Continues the search of a request.
    fn look(&mut self, request: usize) {
        let now = self.now;
        let looking = &mut self.requests[request];
        if looking.done {
            return;
        }
        looking.step += 1;
        looking.awaits = None;
        let step = looking.step;
        if now >= looking.limits.useful {
            return self.finish(request, Outcome::GivenUp);
        }
        let node = &self.nodes[looking.node];
        if node.gone || node.process != looking.process {
            return self.finish(request, Outcome::GivenUp);
        }
        let seed = request as u64;
        let selection = node.select(now, &looking.target, looking.prefill, seed);
        if let Selection::None(lack) = selection {
            return self.lacking(request, step, lack);
        }
        let target = looking.target.clone();
        let next = node.next_step(now, &mut looking.search, selection, &target, seed);
        let rest = looking.limits.useful - now;
        match next {
            Step::Admit(engine) => self.ask_admission(request, step, engine),
            Step::Load(engine) => self.request_load(request, step, engine),
            Step::Wait(engine, wait) => {
                looking.awaits = Some(engine);
                self.schedule(wait.min(rest), Scheduled::Look(request, step));
            }
            Step::Pause(pause) => self.schedule(pause.min(rest), Scheduled::Look(request, step)),
            Step::Refuse(after) => self.refuse(request, after),
        }
    }

    fn lacking(&mut self, request: usize, step: u32, lack: Unavailable) {
        if lack == Unavailable::NoWeights {
            self.schedule(TICK, Scheduled::Look(request, step));
        } else {
            self.refuse(request, ms(800));
        }
    }

    fn request_load(&mut self, request: usize, step: u32, engine: Upstream) {
        let asking = &mut self.requests[request];
        asking.awaits = Some(engine.clone());
        let (node, target, rank) = (asking.node, asking.target.clone(), asking.class.rank);
        if asking.load_engine.as_ref() != Some(&engine) {
            self.end_load_wait(request);
            self.requests[request].load_engine = Some(engine.clone());
            self.nodes[node].waits.join(&engine, &target);
        }
        let event = Event::RequestLoad {
            engine: engine.clone(),
            target,
            rank,
        };
        self.schedule(REPLY_TIMEOUT, Scheduled::Unanswered(request, step, engine));
        self.step(node, event);
    }

    fn end_load_wait(&mut self, request: usize) {
        let waiting = &mut self.requests[request];
        let (node, target) = (waiting.node, waiting.target.clone());
        let Some(engine) = waiting.load_engine.take() else {
            return;
        };
        if self.nodes[node].leave_wait(&engine, &target) {
            self.step(node, Event::CancelLoadRequest { engine, target });
        }
    }

    fn ask_admission(&mut self, request: usize, step: u32, engine: Upstream) {
        let asking = &self.requests[request];
        let node = asking.node;
        let visit = AdmissionRequest {
            target: asking.target.clone(),
            prefill: asking.prefill,
            decode: asking.decode,
            rank: asking.class.rank,
        };
        self.requests[request].awaits = Some(engine.clone());
        if let Some((grant, actions)) = self.nodes[node].admit(self.now, &engine, &visit) {
            for action in actions {
                self.perform(node, action);
            }
            return self.granted(request, grant);
        }
        let Some(to) = self.nodes[node].owner.holder(&engine).cloned() else {
            return self.start(request, &engine);
        };
        let message = Message::RequestAdmission {
            ticket: request as u64,
            engine: engine.clone(),
            target: visit.target,
            prefill: visit.prefill.as_millis() as u32,
            decode: visit.decode.as_millis() as u32,
            rank: visit.rank,
        };
        self.schedule(GRANT_TIMEOUT, Scheduled::Start(request, step, engine));
        self.perform(node, Action::Send { to, message });
    }

    fn granted(&mut self, request: usize, grant: Grant) {
        let now = self.now;
        let asking = &mut self.requests[request];
        let Some(engine) = asking.awaits.take().filter(|_| !asking.done) else {
            return;
        };
        asking.step += 1;
        let step = asking.step;
        let (node, prefill) = (asking.node, asking.prefill);
        let target = asking.target.clone();
        let held = self.nodes[node].heed(now, &engine, &target, &grant);
        let full = grant.running as usize > self.site.batch;
        if held && full && asking.full_moves < FULL_MOVES_MAX {
            let other = self.nodes[node].select(now, &target, prefill, request as u64);
            if selected(&other).is_some_and(|other| *other != engine) {
                self.requests[request].full_moves += 1;
                self.end_admission(node, &engine, &target);
                return self.schedule(Duration::ZERO, Scheduled::Look(request, step));
            }
        }
        if held {
            self.schedule(grant.wait, Scheduled::Start(request, step, engine));
        } else {
            self.schedule(Duration::ZERO, Scheduled::Look(request, step));
        }
    }

    fn start(&mut self, request: usize, id: &Upstream) {
        let now = self.now;
        let starting = &mut self.requests[request];
        starting.step += 1;
        let (node, step) = (starting.node, starting.step);
        let (target, decode) = (starting.target.clone(), starting.decode);
        let engine = self.engines.iter_mut().find(|known| known.id == *id);
        let engine = engine.expect("known engine");
        match engine.start(now, &target, starting.prefill, decode) {
            Err(engine::Absent) => {
                self.nodes[node].absent(now, id, &target);
                self.schedule(ms(2), Scheduled::Look(request, step));
            }
            Ok(first) => {
                let born = engine.born();
                let until = first + decode;
                self.nodes[node].started(now, id, &target, until);
                self.schedule(until - now, Scheduled::End(request, id.clone(), born));
                let outcome = self.outcome(request, first);
                self.finish(request, outcome);
            }
        }
    }

    fn outcome(&self, request: usize, first: Time) -> Outcome {
        let served = &self.requests[request];
        if first > served.limits.useful {
            Outcome::GivenUp
        } else if first <= served.first_sent + served.class.latency_target {
            Outcome::InTime
        } else {
            Outcome::Late
        }
    }

    fn end(&mut self, request: usize, id: &Upstream, born: u64) {
        let ended = &self.requests[request];
        let (node, process) = (ended.node, ended.process);
        let target = ended.target.clone();
        if let Some(engine) = self.engines.iter_mut().find(|known| known.id == *id) {
            engine.end(born, &target);
        }
        if self.runs(node, process) {
            self.nodes[node].ended(self.now, id, &target);
            self.end_admission(node, id, &target);
        }
    }

    /// Tells the owner of an engine that an admitted request has ended or goes elsewhere.
    fn end_admission(&mut self, node: usize, id: &Upstream, target: &Target) {
        if let Some(to) = self.nodes[node].release(self.now, id, target) {
            let message = Message::RequestEnded {
                engine: id.clone(),
                target: target.clone(),
            };
            self.perform(node, Action::Send { to, message });
        }
    }

    /// Refuses a request. Its caller returns once, if it has the time.
    fn refuse(&mut self, request: usize, after: Duration) {
        let refused = &self.requests[request];
        let held = self.now - refused.arrived;
        if held > refused.class.latency_target / 8 {
            return self.finish(request, Outcome::RefusedAfterWait);
        }
        if refused.returned {
            return self.finish(request, Outcome::RefusedTwice);
        }
        let left = (refused.first_sent + refused.class.deadline).saturating_sub(self.now);
        self.end_load_wait(request);
        if after < left / 3 {
            let spread = self.random.random_range(1.0..1.5);
            self.schedule(after.mul_f64(spread), Scheduled::Return(request));
        } else {
            self.finish(request, Outcome::RefusedAtOnce);
        }
    }

    fn finish(&mut self, request: usize, outcome: Outcome) {
        self.end_load_wait(request);
        let finished = &mut self.requests[request];
        finished.done = true;
        self.report.records.push(Record {
            class: finished.class.name,
            arrived: finished.first_sent.saturating_sub(ms(1_000) + LEAD),
            prefill: finished.prefill,
            outcome,
        });
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
            let may_claim = self.nodes[index].takes_requests();
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
        }
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
