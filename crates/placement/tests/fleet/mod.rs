//! Discrete-event simulation of a fleet: the planners of several nodes on virtual time, with
//! simulated engines and a simulated weight store.

#![allow(dead_code, reason = "each test and the policy example use only a part")]

pub mod engine;
pub mod faults;
pub mod naive;
pub mod trace;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::time::Duration;

use placement::event::{
    Failure, Fencing, Instance, InstanceReport, Request, Store, Upstream, UpstreamState,
};
use placement::message::Message;
use placement::{Action, Event, Planner, Settings, action::Note};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wire::{Fence, Incarnation, Machine, Model, Priority, Time, View};

use engine::{Engine, STEP, Sequence, WeightStore};

/// One-way network latency between nodes and to engines.
const LATENCY: Duration = Duration::from_micros(700);
/// Interval between the reports of an engine.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Delay between the creation of a report and its arrival.
const REPORT_LAG: Duration = Duration::from_millis(300);
/// Overhead of a frame in bytes: sender, recipient, channel, tag and length.
const FRAME_BYTES: usize = 40;
/// Time allowed for the demand for an urgent load to reach the holder of the budget.
const DEMAND_PROPAGATION: Duration = Duration::from_millis(100);

/// Sizes, settings and fault rates of a simulated fleet.
#[derive(Clone, Debug)]
pub struct Setup {
    pub nodes: usize,
    pub engines: usize,
    pub slots: usize,
    pub batch: usize,
    pub rate: f64,
    pub fencing: Fencing,
    pub settings: Settings,
    pub seed: u64,
    /// Fraction of loads that fail.
    pub failing: f64,
    /// Fraction of loads that take 20 seconds longer.
    pub hanging: f64,
    /// Fraction of messages that are lost.
    pub lost: f64,
    /// Fraction of messages that are delivered a second time, after up to four seconds.
    pub late: f64,
    /// Runs the naive baseline in place of the planners.
    pub naive: bool,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            nodes: 7,
            engines: 9,
            slots: 8,
            batch: 16,
            rate: 2.8,
            fencing: Fencing::RefusesOld,
            settings: Settings::default(),
            seed: 1,
            failing: 0.0,
            hanging: 0.0,
            lost: 0.0,
            late: 0.0,
            naive: false,
        }
    }
}

/// A request of the trace.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: u64,
    pub at: Time,
    pub node: usize,
    pub model: Model,
    pub priority: Priority,
    pub steps: u32,
    pub timeout: Duration,
}

/// Final outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Served,
    Refused,
    Cut,
}

/// A scheduled event of the simulation.
#[derive(Debug)]
pub enum SimEvent {
    Call(Call),
    Event(usize, u64, Event),
    Order(usize, u64, Action),
    Start(u64, usize, Instance, Time),
    Loaded(usize, u64, usize, Instance, Model, Fence, bool),
    Step(usize),
    Report(usize),
    Wake(usize, u64),
    Heartbeat,
    Fault(faults::Fault),
}

/// An event with its time and a sequence number that keeps events of the same time in order.
struct Scheduled(Time, u64, SimEvent);

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// A VM and the process on it.
pub struct Node {
    pub planner: Planner,
    pub me: Incarnation,
    /// Offset of the process's monotonic clock from virtual time.
    pub offset: Duration,
    pub alive: bool,
    pub listed: bool,
    pub paused: Option<Time>,
    pub group: u32,
    pub heard: Vec<Time>,
    pub view: View,
    pub wake_at: Time,
}

/// Counters and measurements of a run.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    pub stalls: BTreeMap<Priority, Vec<Duration>>,
    pub outcomes: HashMap<u64, Outcome>,
    pub loads: u64,
    pub prefetches: u64,
    pub load_failures: u64,
    pub evictions: u64,
    pub evictions_in_use: u64,
    pub wrong: u64,
    /// Less urgent loads ordered while an urgent request waited on the same upstream.
    pub inversions: u64,
    /// Less urgent loads ordered while an urgent one could have started on another upstream and its
    /// demand had had time to reach the holder of the budget.
    pub inversions_across: u64,
    pub bytes: u64,
    pub sent: u64,
    pub kinds: BTreeMap<&'static str, (u64, u64)>,
    pub missing: u64,
    pub reasons: BTreeMap<String, u64>,
}

pub struct Fleet {
    pub setup: Setup,
    pub now: Time,
    pub nodes: Vec<Node>,
    pub engines: Vec<Engine>,
    pub weights: WeightStore,
    pub calls: HashMap<u64, (Call, Option<Time>)>,
    pub stats: Stats,
    pub naive: naive::Naive,
    heap: BinaryHeap<Reverse<Scheduled>>,
    count: u64,
    pub rng: StdRng,
    out: Vec<Action>,
}

fn engine_name(index: usize) -> wire::Upstream {
    format!("runner-{index}").into()
}

fn engine_index(name: &str) -> usize {
    name["runner-".len()..].parse().unwrap()
}

impl Fleet {
    pub fn new(setup: Setup) -> Self {
        let rng = StdRng::seed_from_u64(setup.seed);
        let engine = Engine {
            boot: 1,
            slots: setup.slots,
            batch: setup.batch,
            ..Engine::default()
        };
        let mut fleet = Self {
            now: Time::ZERO,
            nodes: Vec::new(),
            engines: vec![engine; setup.engines],
            weights: WeightStore::new(setup.rate, 8, Duration::from_millis(250)),
            calls: HashMap::new(),
            stats: Stats::default(),
            naive: naive::Naive::new(setup.engines),
            heap: BinaryHeap::new(),
            count: 0,
            rng,
            out: Vec::new(),
            setup,
        };
        for index in 0..fleet.setup.nodes {
            let node = fleet.new_node(index, 1);
            fleet.nodes.push(node);
        }
        for index in 0..fleet.setup.engines {
            let skew = STEP / fleet.setup.engines as u32 * index as u32;
            fleet.schedule(skew, SimEvent::Step(index));
            fleet.schedule(skew, SimEvent::Report(index));
        }
        if !fleet.setup.naive {
            fleet.schedule(Time::ZERO, SimEvent::Heartbeat);
            for index in 0..fleet.setup.nodes {
                fleet.initialize(index);
            }
        }
        fleet
    }

    pub fn new_node(&mut self, index: usize, start: u64) -> Node {
        let me = Incarnation::new(format!("vm-{index}"), start);
        Node {
            planner: Planner::new(me.clone(), self.setup.settings.clone()),
            me,
            offset: Duration::from_secs(1000 * (index as u64 + start)),
            alive: true,
            listed: true,
            paused: None,
            group: 0,
            heard: vec![self.now; self.setup.nodes],
            view: View::default(),
            wake_at: Time::MAX,
        }
    }

    /// Delivers the first view, stores and upstreams to a new process.
    pub fn initialize(&mut self, index: usize) {
        let engines = (0..self.setup.engines).map(|engine| Upstream {
            id: engine_name(engine),
            pool: "letters".into(),
            base: "base".into(),
            zone: "zone".into(),
            store: "store".into(),
            slots: self.setup.slots,
            max_batch: self.setup.batch as u32,
            fencing: self.setup.fencing,
            state: UpstreamState::Live,
        });
        let upstreams = Event::Upstreams(engines.collect());
        let store = Store {
            id: "store".into(),
            rate: self.setup.rate,
            in_flight: 8,
            load: self.weights.load,
        };
        self.nodes[index].view = View::default();
        self.update_view(index);
        self.deliver(index, Event::Stores(vec![store]));
        self.deliver(index, upstreams);
    }

    pub fn schedule(&mut self, at: Time, event: SimEvent) {
        self.count += 1;
        self.heap.push(Reverse(Scheduled(at, self.count, event)));
    }

    /// Runs the simulation until the virtual time `end`.
    pub fn run(&mut self, end: Time) {
        while self.heap.peek().is_some_and(|next| next.0.0 <= end) {
            let Some(Reverse(Scheduled(at, _, event))) = self.heap.pop() else {
                return;
            };
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Call(call) => self.call(call),
            SimEvent::Event(node, start, event) => {
                if self.nodes[node].me.start == start {
                    self.deliver(node, event);
                }
            }
            SimEvent::Order(node, start, order) => self.order(node, start, order),
            SimEvent::Start(request, engine, instance, until) => {
                self.start(request, engine, instance, until);
            }
            SimEvent::Loaded(node, start, engine, instance, model, fence, succeeded) => {
                self.loaded(node, start, engine, instance, &model, fence, succeeded);
            }
            SimEvent::Step(engine) => self.step(engine),
            SimEvent::Report(engine) => self.report(engine),
            SimEvent::Wake(node, start) => {
                if self.nodes[node].me.start == start {
                    self.nodes[node].wake_at = Time::MAX;
                    self.deliver(node, Event::Tick);
                }
            }
            SimEvent::Heartbeat => self.exchange_heartbeats(),
            SimEvent::Fault(fault) => self.fault(fault),
        }
    }

    /// Delivers an event to a node's planner. A paused node receives it when it resumes.
    pub fn deliver(&mut self, index: usize, event: Event) {
        let node = &mut self.nodes[index];
        if !node.alive {
            return;
        }
        if let Some(until) = node.paused {
            let start = node.me.start;
            return self.schedule(until, SimEvent::Event(index, start, event));
        }
        let mut out = std::mem::take(&mut self.out);
        let local = self.now + node.offset;
        node.planner.step(local, event, &mut out);
        let wake = node.planner.wake();
        let wake = wake.map_or(Time::MAX, |at| at.saturating_sub(node.offset).max(self.now));
        if wake < node.wake_at {
            node.wake_at = wake;
            let start = node.me.start;
            self.schedule(wake, SimEvent::Wake(index, start));
        }
        for action in out.drain(..) {
            self.apply(index, action);
        }
        self.out = out;
    }

    fn apply(&mut self, index: usize, action: Action) {
        match action {
            Action::Send { to, message } => self.send(index, &to, message),
            Action::Grant {
                request,
                upstream,
                instance,
                model,
                until,
                ..
            } => {
                let engine = engine_index(&upstream);
                let asked = self.calls.get(&request).map(|(call, _)| &call.model);
                let named = instance.starts_with(&format!("{model}@"));
                self.stats.wrong += u64::from(asked != Some(&model) || !named);
                let until = until.saturating_sub(self.nodes[index].offset);
                let at = self.now + LATENCY;
                self.schedule(at, SimEvent::Start(request, engine, instance, until));
            }
            Action::Refuse {
                request, reason, ..
            } => {
                *self.stats.reasons.entry(reason.to_string()).or_default() += 1;
                self.finish(request, Outcome::Refused);
            }
            Action::Load { .. } | Action::Unload { .. } => {
                let start = self.nodes[index].me.start;
                let at = self.now + LATENCY;
                self.schedule(at, SimEvent::Order(index, start, action));
            }
            Action::Note(Note::Load {
                priority, upstream, ..
            }) => {
                self.stats.prefetches += u64::from(priority.is_none());
                self.check_order(index, &upstream, priority);
            }
            Action::Note(_) => {}
        }
    }

    /// Counts a load that is ordered while an urgent request waits, on this upstream or another one.
    fn check_order(&mut self, index: usize, upstream: &str, priority: Option<Priority>) {
        if priority == Some(Priority::Urgent) {
            return;
        }
        let groups: Vec<u32> = self.nodes.iter().map(|n| n.group).collect();
        let (mut inverted, mut across) = (false, false);
        for (at, node) in self.nodes.iter().enumerate() {
            if !node.alive || node.paused.is_some() {
                continue;
            }
            let local = self.now + node.offset;
            for owner in node.planner.owners() {
                // In a partition both sides may own the upstream, each with its own queue.
                let here = *owner.upstream().id == *upstream && at == index;
                let waiters = owner.queue().entries().iter().flat_map(|e| &e.waiters);
                let urgent = waiters.filter(|w| w.priority == Priority::Urgent);
                let oldest = urgent.map(|w| local.saturating_sub(w.enqueued_at)).max();
                let able = owner.next_load(local, &self.setup.settings).is_some();
                let whole = groups.iter().all(|g| *g == groups[0]);
                inverted |= here && oldest.is_some();
                across |=
                    !here && able && whole && oldest.is_some_and(|age| age > DEMAND_PROPAGATION);
            }
        }
        self.stats.inversions += u64::from(inverted);
        self.stats.inversions_across += u64::from(across);
    }

    fn send(&mut self, index: usize, to: &str, message: Message) {
        let size = wire::frame::encode(&message).unwrap().len() + FRAME_BYTES;
        self.stats.bytes += size as u64;
        self.stats.sent += 1;
        let kind = self.stats.kinds.entry(kind(&message)).or_default();
        kind.0 += 1;
        kind.1 += size as u64;
        let Some(target) = self.nodes.iter().position(|n| *n.me.vm == *to) else {
            return;
        };
        let cut = self.nodes[index].group != self.nodes[target].group;
        if cut || self.rng.random_bool(self.setup.lost) {
            return;
        }
        let from = self.nodes[index].me.clone();
        let start = self.nodes[target].me.start;
        if self.rng.random_bool(self.setup.late) {
            let late = Duration::from_millis(self.rng.random_range(1..4000));
            let event = Event::Receive {
                from: from.clone(),
                message: message.clone(),
            };
            self.schedule(self.now + late, SimEvent::Event(target, start, event));
        }
        let event = Event::Receive { from, message };
        self.schedule(self.now + LATENCY, SimEvent::Event(target, start, event));
    }

    fn call(&mut self, call: Call) {
        let (id, index) = (call.id, call.node);
        let request = Request {
            id,
            model: call.model.clone(),
            base: "base".into(),
            pool: "letters".into(),
            path: format!("/{}", call.model).into(),
            priority: call.priority,
            deadline: self.now + self.nodes[index].offset + call.timeout,
            prefix: None,
            avoid: Vec::new(),
        };
        // Callers connect to the next node that accepts connections.
        let node = (0..self.nodes.len())
            .map(|step| (index + step) % self.nodes.len())
            .find(|i| self.nodes[*i].alive && self.nodes[*i].paused.is_none());
        let Some(node) = node else { return };
        let deadline = self.now + self.nodes[node].offset + call.timeout;
        let call = Call { node, ..call };
        self.calls.insert(id, (call.clone(), None));
        if self.setup.naive {
            return self.naive_call(&call);
        }
        self.deliver(
            node,
            Event::Request(Request {
                deadline,
                ..request
            }),
        );
    }

    pub fn finish(&mut self, request: u64, outcome: Outcome) {
        let Some((call, started)) = self.calls.get_mut(&request) else {
            return;
        };
        if started.is_none() {
            *started = Some(self.now);
            let stall = (self.now - call.at).min(call.timeout);
            self.stats
                .stalls
                .entry(call.priority)
                .or_default()
                .push(stall);
        }
        self.stats.outcomes.entry(request).or_insert(outcome);
    }

    /// Starts a granted request on its engine, or reports its instance as missing.
    fn start(&mut self, request: u64, engine: usize, instance: Instance, until: Time) {
        let Some((call, started)) = self.calls.get_mut(&request) else {
            return;
        };
        let node = &self.nodes[call.node];
        if !node.alive {
            return;
        }
        if let Some(at) = node.paused {
            let again = SimEvent::Start(request, engine, instance, until);
            return self.schedule(at, again);
        }
        let resident = self.engines[engine].resident(&instance);
        let ready = resident.filter(|at| !self.engines[engine].residents[*at].loading);
        let Some(ready) = ready.filter(|_| self.now < until) else {
            self.stats.missing += 1;
            let node = call.node;
            return self.deliver(node, Event::InstanceMissing { request });
        };
        self.stats.wrong += u64::from(self.engines[engine].residents[ready].model != call.model);
        if started.is_none() {
            *started = Some(self.now);
            let stall = self.now - call.at;
            self.stats
                .stalls
                .entry(call.priority)
                .or_default()
                .push(stall);
        }
        let sequence = Sequence {
            request,
            node: call.node,
            instance,
            priority: call.priority,
            steps_left: call.steps,
        };
        self.engines[engine].queue.push_back(sequence);
    }

    fn step(&mut self, engine: usize) {
        let done = self.engines[engine].step(self.now);
        for sequence in done {
            self.finish(sequence.request, Outcome::Served);
            if !self.setup.naive {
                let request = sequence.request;
                self.deliver(sequence.node, Event::Done { request });
            }
        }
        self.schedule(self.now + STEP, SimEvent::Step(engine));
    }

    fn report(&mut self, engine: usize) {
        self.schedule(self.now + REPORT_INTERVAL, SimEvent::Report(engine));
        let upstream = engine_name(engine);
        let target = &self.engines[engine];
        if self.setup.naive {
            self.naive.report(engine, target.load());
            return;
        }
        let resident = Event::InstanceReport(InstanceReport {
            upstream: upstream.clone(),
            boot: target.boot,
            instances: target.report(),
            age: REPORT_LAG,
        });
        let report = Event::Report {
            upstream: upstream.clone(),
            running: target.running.len() as u32,
            waiting: target.queue.len() as u32,
            age: REPORT_LAG,
        };
        for node in 0..self.nodes.len() {
            // Only the owner of an upstream polls its engine.
            if self.nodes[node].view.owner(&upstream) != Some(&self.nodes[node].me.vm) {
                continue;
            }
            let start = self.nodes[node].me.start;
            for event in [&resident, &report] {
                let at = self.now + REPORT_LAG;
                self.schedule(at, SimEvent::Event(node, start, event.clone()));
            }
        }
    }

    /// Executes a load or unload order on an engine, if the planner still permits it.
    fn order(&mut self, index: usize, start: u64, order: Action) {
        let node = &self.nodes[index];
        if !node.alive || node.me.start != start {
            return;
        }
        if let Some(until) = node.paused {
            return self.schedule(until, SimEvent::Order(index, start, order));
        }
        let local = self.now + node.offset;
        let (upstream, instance, fence) = match &order {
            Action::Load {
                upstream,
                instance,
                fence,
                ..
            }
            | Action::Unload {
                upstream,
                instance,
                fence,
                ..
            } => (upstream.clone(), instance.clone(), *fence),
            _ => return,
        };
        let permitted = node.planner.permit(local, &upstream, fence);
        let engine = engine_index(&upstream);
        let highest_fence = self.engines[engine].highest_fence;
        if permitted && self.setup.fencing == Fencing::RefusesOld && fence < highest_fence {
            let observed = Event::FenceObserved {
                upstream: upstream.clone(),
                fence: highest_fence,
            };
            self.deliver(index, observed);
            let failure = Failure::Rejected;
            let event = if matches!(order, Action::Load { .. }) {
                Event::LoadFailed {
                    upstream,
                    instance,
                    fence,
                    failure,
                }
            } else {
                Event::UnloadFailed {
                    upstream,
                    instance,
                    fence,
                    failure,
                }
            };
            return self.deliver(index, event);
        }
        if permitted {
            self.engines[engine].highest_fence = highest_fence.max(fence);
        }
        match order {
            Action::Load {
                instance, model, ..
            } => self.load(index, engine, instance, model, fence, permitted),
            Action::Unload { instance, .. } => {
                self.unload(index, engine, instance, fence, permitted);
            }
            _ => {}
        }
    }

    fn load(
        &mut self,
        index: usize,
        engine: usize,
        instance: Instance,
        model: Model,
        fence: Fence,
        permitted: bool,
    ) {
        let full = self.engines[engine].residents.len() >= self.setup.slots;
        if !permitted || full {
            let failure = if permitted {
                Failure::Full
            } else {
                Failure::NotSent
            };
            let upstream = engine_name(engine);
            let event = Event::LoadFailed {
                upstream,
                instance,
                fence,
                failure,
            };
            return self.deliver(index, event);
        }
        self.stats.loads += 1;
        self.engines[engine].residents.push(engine::Resident {
            instance: instance.clone(),
            model: model.clone(),
            loading: true,
            used: self.now,
        });
        let ready = self.weights.begin(self.now, self.engines[engine].loads());
        let succeeded = !self.rng.random_bool(self.setup.failing);
        let start = self.nodes[index].me.start;
        let hung = self.rng.random_bool(self.setup.hanging);
        let ready = if hung {
            ready + Duration::from_secs(20)
        } else {
            ready
        };
        let loaded = SimEvent::Loaded(index, start, engine, instance, model, fence, succeeded);
        self.schedule(ready, loaded);
    }

    #[allow(clippy::too_many_arguments, reason = "the fields of one event")]
    fn loaded(
        &mut self,
        index: usize,
        start: u64,
        engine: usize,
        instance: Instance,
        model: &Model,
        fence: Fence,
        succeeded: bool,
    ) {
        self.weights.loads_in_flight -= 1;
        let Some(at) = self.engines[engine].resident(&instance) else {
            return;
        };
        self.engines[engine].residents[at].loading = false;
        if !succeeded {
            self.stats.load_failures += 1;
            self.engines[engine].residents.remove(at);
        }
        if self.setup.naive {
            return self.naive_loaded(engine, model, succeeded);
        }
        let upstream = engine_name(engine);
        let event = if succeeded {
            Event::Loaded {
                upstream,
                instance,
                fence,
            }
        } else {
            Event::LoadFailed {
                upstream,
                instance,
                fence,
                failure: Failure::Rejected,
            }
        };
        self.schedule(self.now + LATENCY, SimEvent::Event(index, start, event));
    }

    fn unload(&mut self, index: usize, engine: usize, instance: Instance, fence: Fence, ok: bool) {
        let upstream = engine_name(engine);
        if !ok {
            let event = Event::UnloadFailed {
                upstream,
                instance,
                fence,
                failure: Failure::NotSent,
            };
            return self.deliver(index, event);
        }
        self.stats.evictions += 1;
        if self.engines[engine].in_use(&instance) > 0 {
            self.stats.evictions_in_use += 1;
        }
        self.engines[engine]
            .residents
            .retain(|r| r.instance != instance);
        let start = self.nodes[index].me.start;
        let event = Event::Unloaded {
            upstream,
            instance,
            fence,
        };
        self.schedule(self.now + LATENCY, SimEvent::Event(index, start, event));
    }
}

fn kind(message: &Message) -> &'static str {
    match message {
        Message::LeaseRequest(_) => "ask",
        Message::Grant(_) => "grant",
        Message::Queued { .. } => "queued",
        Message::Deny { .. } => "deny",
        Message::Release { .. } => "release",
        Message::Claim { .. }
        | Message::ClaimAck(_)
        | Message::ClaimSuperseded { .. }
        | Message::ClaimGivenUp { .. } => "takeover",
        Message::TicketRequest { .. } => "ticket-ask",
        Message::Ticket(_) | Message::TicketReturn { .. } => "ticket",
        Message::ShareRequest { .. } | Message::Share { .. } => "share",
    }
}
