//! Simulation, in virtual time, of a region whose nodes send requests, some of them poison, to
//! upstreams that run full batches.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dispatch::PoisonDetector;
use dispatch::poison::{Action, Config, Event, Fingerprint, FingerprintStatus, Message};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wire::view::{Peer, State};
use wire::{Incarnation, Machine, Request, Time, Upstream, View};

/// Requests with this fingerprint or a higher one crash the upstream that runs them.
pub const POISON: Fingerprint = 1_000_000;

/// Maximum number of requests that an upstream runs concurrently.
const MAX_BATCH: usize = 32;

/// Time until a crashed upstream is running again.
const DOWNTIME: Duration = Duration::from_secs(10);

/// Pause after which a refused request is sent again if [`Plan::resends`] is set.
const RESEND_PAUSE: Duration = Duration::from_secs(1);

pub const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Parameters of a simulation.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub nodes: usize,
    pub upstreams: usize,
    pub config: Config,
    /// Share of messages that are lost.
    pub loss: f64,
    /// Whether poison detection is disabled.
    pub naive: bool,
    /// Whether refused requests are sent again.
    pub resends: bool,
}

pub enum Step {
    /// A caller sends a request to a random node.
    Send(Fingerprint),
    /// A request arrives at a node.
    Arrive(usize, Fingerprint),
    Deliver(usize, Incarnation, Message),
    Finish(usize, Request),
    /// A request crashes the upstream that runs it.
    Crash(Upstream, Fingerprint),
    /// A random upstream crashes for a reason other than a request.
    UnrelatedCrash,
    /// A node restarts and loses its state.
    Restart(usize),
    /// A crashed upstream is running again.
    Recover(Upstream),
    Tick(usize),
}

pub struct Region {
    plan: Plan,
    pub rng: StdRng,
    now: Time,
    nodes: Vec<PoisonDetector>,
    names: Vec<Incarnation>,
    queue: BTreeMap<(Time, u64), Step>,
    sequence: u64,
    /// Fingerprints of the requests at nodes, and the upstreams that run them.
    requests: BTreeMap<(usize, Request), (Fingerprint, Option<Upstream>)>,
    /// Upstreams chosen for requests that the node has not started yet.
    chosen: BTreeMap<(usize, Request), Upstream>,
    last_request: Request,
    up: BTreeSet<Upstream>,
    /// Number of upstreams that each request crashed.
    pub crashed_by: BTreeMap<Fingerprint, usize>,
    pub refused: BTreeSet<Fingerprint>,
    pub answered: BTreeSet<Fingerprint>,
    /// Number of requests that were told to come back later.
    pub busy_responses: usize,
    /// When poison requests reached an upstream.
    pub arrivals: Vec<(Fingerprint, Time)>,
    /// When a request crashed its third upstream.
    pub third_crash: BTreeMap<Fingerprint, Time>,
    /// Number of messages sent.
    pub messages: usize,
}

impl Region {
    pub fn new(plan: Plan) -> Self {
        let names: Vec<_> = (0..plan.nodes)
            .map(|n| Incarnation::new(format!("vm-{n}"), 1))
            .collect();
        let view = view(&names);
        let node = |name: &Incarnation| {
            let mut poison = PoisonDetector::new(plan.config.clone(), name.clone());
            poison.step(Time::ZERO, Event::View(view.clone()), &mut Vec::new());
            poison
        };
        let nodes = names.iter().map(node).collect();
        let mut region = Self {
            rng: StdRng::seed_from_u64(plan.seed),
            now: Time::ZERO,
            nodes,
            names,
            queue: BTreeMap::new(),
            sequence: 0,
            requests: BTreeMap::new(),
            chosen: BTreeMap::new(),
            last_request: 0,
            up: (0..plan.upstreams)
                .map(|n| Upstream::from(format!("engine-{n}")))
                .collect(),
            crashed_by: BTreeMap::new(),
            refused: BTreeSet::new(),
            answered: BTreeSet::new(),
            busy_responses: 0,
            arrivals: Vec::new(),
            third_crash: BTreeMap::new(),
            messages: 0,
            plan,
        };
        for node in 0..region.plan.nodes {
            region.push(ms(50), Step::Tick(node));
        }
        region
    }

    pub fn push(&mut self, after: Duration, step: Step) {
        self.sequence += 1;
        self.queue.insert((self.now + after, self.sequence), step);
    }

    pub fn run(&mut self, end: Time) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            self.now = entry.key().0;
            let step = entry.remove();
            self.handle(step);
        }
    }

    fn handle(&mut self, step: Step) {
        match step {
            Step::Send(fingerprint) => {
                let node = self.rng.random_range(0..self.plan.nodes);
                self.arrive(node, fingerprint);
            }
            Step::Arrive(node, fingerprint) => self.arrive(node, fingerprint),
            Step::Deliver(node, from, message) => {
                self.step(node, Event::Receive { from, message });
            }
            Step::Finish(node, request) => self.finish(node, request),
            Step::Crash(upstream, fingerprint) => self.crash(&upstream, fingerprint),
            Step::UnrelatedCrash => self.crash_any(),
            Step::Restart(node) => self.restart(node),
            Step::Recover(upstream) => {
                self.up.insert(upstream);
            }
            Step::Tick(node) => {
                self.step(node, Event::Tick);
                self.push(ms(50), Step::Tick(node));
            }
        }
    }

    fn load(&self, upstream: &Upstream) -> usize {
        let at_upstream =
            |(_, at): &&(Fingerprint, Option<Upstream>)| at.as_ref() == Some(upstream);
        self.requests.values().filter(at_upstream).count()
    }

    fn arrive(&mut self, node: usize, fingerprint: Fingerprint) {
        let pool: Vec<Upstream> = self.up.iter().cloned().collect();
        let poison = &self.nodes[node];
        let suspect = poison.status(fingerprint) == FingerprintStatus::Suspect && !self.plan.naive;
        let free = |u: &&Upstream| !poison.is_reserved(self.now, u) && self.load(u) < MAX_BATCH;
        let least_loaded = pool.iter().filter(free).min_by_key(|u| self.load(u));
        let chosen = if suspect {
            poison.isolation_upstream(fingerprint, &pool)
        } else {
            least_loaded
        };
        let Some(upstream) = chosen.cloned() else {
            return self.push(ms(100), Step::Arrive(node, fingerprint));
        };
        self.last_request += 1;
        let request = self.last_request;
        self.requests.insert((node, request), (fingerprint, None));
        if self.plan.naive {
            return self.start(node, request, upstream);
        }
        let event = Event::Dispatch {
            request,
            fingerprint,
            upstream: upstream.clone(),
        };
        self.chosen.insert((node, request), upstream);
        self.step(node, event);
    }

    fn start(&mut self, node: usize, request: Request, upstream: Upstream) {
        let Some(entry) = self.requests.get_mut(&(node, request)) else {
            return;
        };
        let fingerprint = entry.0;
        if !self.up.contains(&upstream) {
            self.requests.remove(&(node, request));
            self.step(node, Event::Dropped { request });
            return self.push(ms(20), Step::Arrive(node, fingerprint));
        }
        entry.1 = Some(upstream.clone());
        if fingerprint >= POISON {
            self.arrivals.push((fingerprint, self.now));
            self.push(ms(200), Step::Crash(upstream, fingerprint));
        } else {
            let duration = ms(self.rng.random_range(500..3_000));
            self.push(duration, Step::Finish(node, request));
        }
    }

    fn finish(&mut self, node: usize, request: Request) {
        if let Some((fingerprint, Some(_))) = self.requests.remove(&(node, request)) {
            self.answered.insert(fingerprint);
            self.step(node, Event::Finished { request });
        }
    }

    fn crash(&mut self, upstream: &Upstream, fingerprint: Fingerprint) {
        let at_upstream = |at: &Option<Upstream>| at.as_ref() == Some(upstream);
        let is_running = self
            .requests
            .values()
            .any(|(p, at)| *p == fingerprint && at_upstream(at));
        if !is_running || !self.up.remove(upstream) {
            return;
        }
        let crashes = self.crashed_by.entry(fingerprint).or_default();
        *crashes += 1;
        if *crashes == 3 {
            self.third_crash.insert(fingerprint, self.now);
        }
        self.take_down(upstream);
    }

    /// Crashes a random upstream.
    fn crash_any(&mut self) {
        let up: Vec<Upstream> = self.up.iter().cloned().collect();
        if up.is_empty() {
            return;
        }
        let crashed = up[self.rng.random_range(0..up.len())].clone();
        self.up.remove(&crashed);
        self.take_down(&crashed);
    }

    fn restart(&mut self, node: usize) {
        let name = &mut self.names[node];
        name.start += 1;
        let name = name.clone();
        self.nodes[node] = PoisonDetector::new(self.plan.config.clone(), name);
        self.requests.retain(|(at, _), _| *at != node);
        self.chosen.retain(|(at, _), _| *at != node);
        let view = view(&self.names);
        for node in 0..self.plan.nodes {
            self.step(node, Event::View(view.clone()));
        }
    }

    /// Stops an upstream and ends all requests that it runs.
    fn take_down(&mut self, upstream: &Upstream) {
        let at_upstream = |at: &Option<Upstream>| at.as_ref() == Some(upstream);
        self.push(DOWNTIME, Step::Recover(upstream.clone()));
        let affected: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, (_, at))| at_upstream(at))
            .collect();
        let affected: Vec<_> = affected
            .into_iter()
            .map(|(id, (fingerprint, _))| (*id, *fingerprint))
            .collect();
        for ((node, request), fingerprint) in affected {
            self.requests.remove(&(node, request));
            // The node tries another upstream. The caller of a poison request also sends it again.
            self.push(ms(30), Step::Arrive(node, fingerprint));
            if fingerprint >= POISON {
                self.push(ms(500), Step::Send(fingerprint));
            }
        }
        for node in 0..self.plan.nodes {
            let upstream = upstream.clone();
            self.step(node, Event::Crashed { upstream });
        }
    }

    fn step(&mut self, node: usize, event: Event) {
        let mut out = Vec::new();
        self.nodes[node].step(self.now, event, &mut out);
        for action in out {
            self.perform(node, action);
        }
    }

    fn perform(&mut self, node: usize, action: Action) {
        match action {
            Action::Run { request, .. } => {
                if let Some(upstream) = self.chosen.remove(&(node, request)) {
                    self.start(node, request, upstream);
                }
            }
            Action::Reroute { request } => {
                if let Some((fingerprint, _)) = self.requests.remove(&(node, request)) {
                    self.push(ms(5), Step::Arrive(node, fingerprint));
                }
            }
            Action::Refuse { request, .. } => {
                if let Some((fingerprint, _)) = self.requests.remove(&(node, request)) {
                    self.refused.insert(fingerprint);
                    if self.plan.resends {
                        self.push(RESEND_PAUSE, Step::Send(fingerprint));
                    }
                }
            }
            Action::Busy {
                request,
                retry_after,
            } => {
                self.busy_responses += 1;
                if let Some((fingerprint, _)) = self.requests.remove(&(node, request)) {
                    self.push(retry_after, Step::Send(fingerprint));
                }
            }
            Action::Send { to, message } => {
                self.messages += 1;
                let of = |name: &Incarnation| name.vm == to;
                let target = self.names.iter().position(of).expect("a node");
                if !self.rng.random_bool(self.plan.loss) {
                    let from = self.names[node].clone();
                    let delay = Duration::from_micros(self.rng.random_range(400..2_000));
                    self.push(delay, Step::Deliver(target, from, message));
                }
            }
            Action::CrashReported { .. }
            | Action::StatusChanged { .. }
            | Action::Inspect { .. }
            | Action::Refuted { .. } => {}
        }
    }
}

fn view(names: &[Incarnation]) -> View {
    let peer = |name: &Incarnation| Peer {
        incarnation: name.clone(),
        zone: "a".into(),
        state: State::Live,
    };
    View::new(names.iter().map(peer))
}
