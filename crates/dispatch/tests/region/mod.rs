//! A region of nodes before upstreams with full batches, in virtual time, and requests that crash what
//! runs them.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dispatch::PoisonDetector;
use dispatch::poison::{Action, Config, Event, Fingerprint, FingerprintStatus, Message};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wire::view::{Peer, State};
use wire::{Incarnation, Machine, Request, Time, Upstream, View};

/// Fingerprints from this one on crash what runs them.
pub const POISON: Fingerprint = 1_000_000;

const BATCH: usize = 32;
const DOWN: Duration = Duration::from_secs(10);

/// Pause after which a refused request comes again, where it does.
const RESEND: Duration = Duration::from_secs(1);

pub const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// What to play.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub nodes: usize,
    pub upstreams: usize,
    pub config: Config,
    /// Part of the messages that is lost.
    pub loss: f64,
    /// Whether nothing is detected.
    pub naive: bool,
    /// Whether refused requests come again.
    pub resends: bool,
}

pub enum Step {
    Send(Fingerprint),
    Arrive(usize, Fingerprint),
    Deliver(usize, Incarnation, Message),
    Finish(usize, Request),
    Crash(Upstream, Fingerprint),
    /// An upstream crashes under no request.
    Fall,
    /// A node starts anew and has forgotten everything.
    Restart(usize),
    Up(Upstream),
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
    requests: BTreeMap<(usize, Request), (Fingerprint, Option<Upstream>)>,
    wants: BTreeMap<(usize, Request), Upstream>,
    next: Request,
    up: BTreeSet<Upstream>,
    pub lost: BTreeMap<Fingerprint, usize>,
    pub refused: BTreeSet<Fingerprint>,
    pub answered: BTreeSet<Fingerprint>,
    pub busy: usize,
    /// When requests that crash upstreams reached one.
    pub arrivals: Vec<(Fingerprint, Time)>,
    /// When the third upstream crashed under a request.
    pub third: BTreeMap<Fingerprint, Time>,
    /// Messages sent.
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
            wants: BTreeMap::new(),
            next: 0,
            up: (0..plan.upstreams)
                .map(|n| Upstream::from(format!("engine-{n}")))
                .collect(),
            lost: BTreeMap::new(),
            refused: BTreeSet::new(),
            answered: BTreeSet::new(),
            busy: 0,
            arrivals: Vec::new(),
            third: BTreeMap::new(),
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
            self.take(step);
        }
    }

    fn take(&mut self, step: Step) {
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
            Step::Fall => self.fall(),
            Step::Restart(node) => self.restart(node),
            Step::Up(upstream) => {
                self.up.insert(upstream);
            }
            Step::Tick(node) => {
                self.step(node, Event::Tick);
                self.push(ms(50), Step::Tick(node));
            }
        }
    }

    fn load(&self, upstream: &Upstream) -> usize {
        let there = |(_, at): &&(Fingerprint, Option<Upstream>)| at.as_ref() == Some(upstream);
        self.requests.values().filter(there).count()
    }

    fn arrive(&mut self, node: usize, fingerprint: Fingerprint) {
        let pool: Vec<Upstream> = self.up.iter().cloned().collect();
        let poison = &self.nodes[node];
        let suspect = poison.status(fingerprint) == FingerprintStatus::Suspect
            && !self.plan.naive
            && self.plan.config.wards;
        let free = |u: &&Upstream| !poison.reserved(self.now, u) && self.load(u) < BATCH;
        let spare = pool.iter().filter(free).min_by_key(|u| self.load(u));
        let chosen = if suspect {
            poison.isolation_upstream(fingerprint, &pool)
        } else {
            spare
        };
        let Some(upstream) = chosen.cloned() else {
            return self.push(ms(100), Step::Arrive(node, fingerprint));
        };
        self.next += 1;
        let request = self.next;
        self.requests.insert((node, request), (fingerprint, None));
        if self.plan.naive {
            return self.start(node, request, upstream);
        }
        let event = Event::Dispatch {
            request,
            fingerprint,
            upstream: upstream.clone(),
        };
        self.wants.insert((node, request), upstream);
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
            let took = ms(self.rng.random_range(500..3_000));
            self.push(took, Step::Finish(node, request));
        }
    }

    fn finish(&mut self, node: usize, request: Request) {
        if let Some((fingerprint, Some(_))) = self.requests.remove(&(node, request)) {
            self.answered.insert(fingerprint);
            self.step(node, Event::Finished { request });
        }
    }

    fn crash(&mut self, upstream: &Upstream, fingerprint: Fingerprint) {
        let there = |at: &Option<Upstream>| at.as_ref() == Some(upstream);
        let by = self
            .requests
            .values()
            .any(|(p, at)| *p == fingerprint && there(at));
        if !by || !self.up.remove(upstream) {
            return;
        }
        let lost = self.lost.entry(fingerprint).or_default();
        *lost += 1;
        if *lost == 3 {
            self.third.insert(fingerprint, self.now);
        }
        self.end(upstream);
    }

    /// Ends an upstream for some other reason.
    fn fall(&mut self) {
        let up: Vec<Upstream> = self.up.iter().cloned().collect();
        if up.is_empty() {
            return;
        }
        let fallen = up[self.rng.random_range(0..up.len())].clone();
        self.up.remove(&fallen);
        self.end(&fallen);
    }

    fn restart(&mut self, node: usize) {
        let name = &mut self.names[node];
        name.start += 1;
        let name = name.clone();
        self.nodes[node] = PoisonDetector::new(self.plan.config.clone(), name);
        self.requests.retain(|(at, _), _| *at != node);
        self.wants.retain(|(at, _), _| *at != node);
        let view = view(&self.names);
        for node in 0..self.plan.nodes {
            self.step(node, Event::View(view.clone()));
        }
    }

    /// Ends an upstream with all that it runs.
    fn end(&mut self, upstream: &Upstream) {
        let there = |at: &Option<Upstream>| at.as_ref() == Some(upstream);
        self.push(DOWN, Step::Up(upstream.clone()));
        let hit: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, (_, at))| there(at))
            .collect();
        let hit: Vec<_> = hit
            .into_iter()
            .map(|(id, (fingerprint, _))| (*id, *fingerprint))
            .collect();
        for ((node, request), fingerprint) in hit {
            self.requests.remove(&(node, request));
            // The node tries again elsewhere; a poison request's caller sends it again, too.
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
            self.act(node, action);
        }
    }

    fn act(&mut self, node: usize, action: Action) {
        match action {
            Action::Run { request, .. } => {
                if let Some(upstream) = self.wants.remove(&(node, request)) {
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
                        self.push(RESEND, Step::Send(fingerprint));
                    }
                }
            }
            Action::Busy {
                request,
                retry_after,
            } => {
                self.busy += 1;
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
            Action::CrashReported { .. } | Action::StatusChanged { .. } => {}
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
