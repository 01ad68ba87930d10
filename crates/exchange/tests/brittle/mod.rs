//! Simulation in virtual time of nodes before brittle upstreams, with the decisions of the crate.

mod faults;
mod messages;
mod requests;
mod upstream;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::rc::Rc;
use std::time::Duration;

use exchange::Fleet;
use exchange::announced_rate::{RateBuckets, RateDecision};
use exchange::fleet::{AttemptResult, Listing, Load};
use exchange::permit::issuer::View;
use exchange::permit::{self, Ask, End, Issuers, Message, Reply, Report};
use exchange::route::Service;
use exchange::selection::{Requirements, Selection, SelectionContext, select_upstream};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wire::{Time, Upstream, Vm};

use super::support::{fleet, ms, plain_listing, plain_service};
use upstream::{Runner, Verdict};

/// Time of a request in flight, from and to.
const LATENCY: (f64, f64) = (0.000_5, 0.001_5);

/// Times of a node, as its shell has them.
const ANSWER_TIMEOUT: Duration = ms(30);
const TURN: Duration = ms(10);
const OVER_MIN: Duration = ms(20);
const UNISSUED_OVER_MAX: Duration = ms(500);

/// Time within which an answer is on time, and the least wait for a permit.
const LATENCY_TARGET: Duration = ms(800);
const PATIENCE_MIN: Duration = ms(200);
const ELSEWHERE_WAIT: Duration = ms(50);

/// Time for which an urgent request waits, and after which any is over.
const URGENT_PATIENCE: Duration = ms(3_000);
const DEADLINE: Duration = ms(12_000);

/// Refusals after which a request stops.
const REFUSALS_MAX: u32 = 4;

/// Time until others notice that a node is gone, and that it is back.
const GONE_DELAY: Duration = ms(1_200);
const BACK_DELAY: Duration = ms(300);

/// Bytes of a datagram beside its message: addresses, sender and checksum.
const DATAGRAM_OVERHEAD: usize = 60;

/// When the upstreams begin to say that they are brittle.
pub const ANNOUNCED: Duration = ms(1_000);

/// Time from the announcement on in which they let as many wait as before.
const STABLE: Duration = ms(3_000);

/// When the burst begins and ends, and its first part, in which queues fill.
pub const BURST: (Duration, Duration) = (ms(4_500), ms(14_500));
pub const FILL: Duration = ms(1_000);

/// When the other fault comes.
const FAULT_AT: Duration = ms(7_000);

/// What else happens in the burst.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// One upstream of three crashes.
    Crash,
    /// A node is killed and started again.
    Start,
    /// A node stands still.
    Pause,
    /// A node hears from no other one.
    Isolated,
    /// All upstreams are replaced, one after the other.
    Release,
}

/// What is simulated.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub nodes: usize,
    pub upstreams: usize,
    pub slots: u32,
    /// Requests that wait at an upstream until it is brittle.
    pub queue: u32,
    /// Refusals a second that it survives; it is not brittle without.
    pub tolerance: Option<u32>,
    /// Mean time of a request; single ones take half of it up to one and a half times.
    pub work: Duration,
    /// Load before the burst and in it, in parts of the capacity.
    pub usual: f64,
    pub burst: f64,
    /// Part of the messages between nodes that is lost.
    pub loss: f64,
    pub fault: Fault,
    /// Whether nodes ask for permits.
    pub permits: bool,
    pub seed: u64,
}

/// What was seen.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub crashes: usize,
    pub refusals: usize,
    /// Most refusals of one upstream in a second.
    pub most_refused: usize,
    pub tries: usize,
    pub requests: usize,
    pub answered: usize,
    /// Part of the capacity that was used in the burst.
    pub used: f64,
    /// Part of the urgent requests, and of the others, that was answered in the burst.
    pub urgent: f64,
    pub routine: f64,
    /// Bytes a second on permits: the most of one node, and the mean.
    pub most_bytes: f64,
    pub mean_bytes: f64,
    /// Questions for permits.
    pub permits: usize,
}

#[derive(Clone, Debug)]
enum Event {
    Arrive(u32),
    Deliver(usize, Vm, Message),
    Reach(usize, u64),
    Done(usize, u64, u64),
    Answer(u64, Verdict, u32, u64),
    AskTimeout(u64, u64, Option<Ask>),
    QueueTimeout(u64, u64),
    Advance(usize),
    Fault,
    View(usize, bool),
    Restart(usize),
    Listed(usize),
    Replace(usize),
}

struct Node {
    vm: Vm,
    fleet: Fleet,
    issuers: Issuers,
    unissued: RateBuckets,
    live: Rc<Vec<Vm>>,
    alive: bool,
    paused_until: Time,
    isolated_until: Time,
    bytes: usize,
}

#[derive(Clone, Debug)]
struct Request {
    node: usize,
    rank: u8,
    arrived: Time,
    tried: Vec<Upstream>,
    refusals: u32,
    attempts: u32,
    /// Where it is or asks, and its ticket there.
    upstream: Option<Upstream>,
    ticket: Option<u64>,
    /// Until when a permit is of use.
    latest: Time,
    sent: Option<Time>,
}

/// A run.
pub struct Simulation {
    plan: Plan,
    now: Time,
    random: StdRng,
    events: BinaryHeap<Reverse<(Time, u64, usize)>>,
    stored: BTreeMap<usize, Event>,
    next: usize,
    nodes: Vec<Node>,
    runners: Vec<Runner>,
    requests: BTreeMap<u64, Request>,
    last_request: u64,
    last_ticket: u64,
    service: Service,
    outcome: Outcome,
    /// Answered and all requests that came in the burst, urgent ones first.
    ranks: [(usize, usize); 2],
}

fn listing(index: usize, born: u64, slots: u32) -> Listing {
    Listing {
        slots,
        born: Some(born),
        ..plain_listing(&format!("s{index}"), "zone-a")
    }
}

impl Simulation {
    pub fn new(plan: Plan) -> Self {
        let vms: Vec<Vm> = (0..plan.nodes)
            .map(|number| Vm::from(format!("vm-{number:03}")))
            .collect();
        let listings = || (0..plan.upstreams).map(|index| listing(index, 1, plan.slots));
        let node = |vm: &Vm| Node {
            vm: vm.clone(),
            fleet: fleet(ms(0), listings()),
            issuers: Issuers::default(),
            unissued: RateBuckets::default(),
            live: Rc::new(vms.clone()),
            alive: true,
            paused_until: ms(0),
            isolated_until: ms(0),
            bytes: 0,
        };
        Self {
            now: ms(0),
            random: StdRng::seed_from_u64(plan.seed),
            events: BinaryHeap::new(),
            stored: BTreeMap::new(),
            next: 0,
            nodes: vms.iter().map(node).collect(),
            runners: (0..plan.upstreams)
                .map(|_| Runner::new(plan.slots, plan.queue, plan.tolerance))
                .collect(),
            requests: BTreeMap::new(),
            last_request: 0,
            last_ticket: 0,
            service: plain_service(),
            outcome: Outcome::default(),
            ranks: [(0, 0); 2],
            plan,
        }
    }

    /// Runs to the end of the burst.
    pub fn run(mut self) -> Outcome {
        self.schedule(ms(0), Event::Arrive(0));
        self.schedule(FAULT_AT, Event::Fault);
        for node in 0..self.plan.nodes {
            self.schedule(TURN, Event::Advance(node));
        }
        while let Some(Reverse((at, _, index))) = self.events.pop() {
            self.now = at;
            if at > BURST.1 {
                break;
            }
            if let Some(event) = self.stored.remove(&index) {
                self.handle(event);
            }
        }
        self.finish()
    }

    fn finish(mut self) -> Outcome {
        let span = (BURST.1 - BURST.0 - FILL).as_secs_f64();
        let served: usize = self
            .runners
            .iter()
            .map(|runner| runner.served_since(BURST.0 + FILL))
            .sum();
        let outcome = &mut self.outcome;
        outcome.used = served as f64 / (capacity(&self.plan) * span);
        outcome.crashes = self.runners.iter().map(|runner| runner.crashes).sum();
        outcome.refusals = self.runners.iter().map(|runner| runner.refusals).sum();
        let most = self.runners.iter().map(|runner| runner.most_refused).max();
        outcome.most_refused = most.unwrap_or(0);
        let part = |(answered, all): (usize, usize)| answered as f64 / all.max(1) as f64;
        (outcome.urgent, outcome.routine) = (part(self.ranks[0]), part(self.ranks[1]));
        let seconds = BURST.1.as_secs_f64();
        let bytes = self.nodes.iter().map(|node| node.bytes as f64 / seconds);
        outcome.most_bytes = bytes.clone().fold(0.0, f64::max);
        outcome.mean_bytes = bytes.sum::<f64>() / self.nodes.len() as f64;
        self.outcome
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.next += 1;
        self.stored.insert(self.next, event);
        self.events.push(Reverse((at, self.next as u64, self.next)));
    }

    fn latency(&mut self) -> Duration {
        Duration::from_secs_f64(self.random.random_range(LATENCY.0..LATENCY.1))
    }

    /// Returns when what comes to a node now is taken up there.
    fn node_time(&self, node: usize) -> Time {
        self.nodes[node].paused_until.max(self.now)
    }

    fn handle(&mut self, event: Event) {
        let node = match &event {
            Event::Deliver(node, ..) | Event::Advance(node) => Some(*node),
            Event::Answer(id, ..) | Event::AskTimeout(id, ..) | Event::QueueTimeout(id, _) => {
                self.requests.get(id).map(|request| request.node)
            }
            _ => None,
        };
        if let Some(at) = node.map(|node| self.node_time(node))
            && at > self.now
        {
            return self.schedule(at, event);
        }
        match event {
            Event::Arrive(number) => self.arrive(number),
            Event::Deliver(node, from, message) => {
                if self.nodes[node].alive {
                    self.take(node, &from, message);
                }
            }
            Event::Reach(runner, id) => self.reach(runner, id),
            Event::Done(runner, process, id) => self.done(runner, process, id),
            Event::Answer(id, verdict, load, process) => self.answer(id, verdict, load, process),
            Event::AskTimeout(id, ticket, ask) => self.ask_timeout(id, ticket, ask),
            Event::QueueTimeout(id, ticket) => self.over(id, ticket, OVER_MIN),
            Event::Advance(node) => {
                self.advance(node);
                self.schedule(self.now + TURN, Event::Advance(node));
            }
            Event::Fault => self.fault(),
            Event::View(node, live) => self.show(node, live),
            Event::Restart(node) => self.restart(node),
            Event::Listed(index) => self.list(index),
            Event::Replace(index) => self.replace(index),
        }
    }
}

/// Returns the requests a second that all upstreams together can serve.
pub fn capacity(plan: &Plan) -> f64 {
    plan.upstreams as f64 * f64::from(plan.slots) / plan.work.as_secs_f64()
}
