//! Simulation, in virtual time, of a region whose requests share features, one or more of which crash
//! each upstream that begins to answer them.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dispatch::CulpritDetector;
use dispatch::culprit::{Action, Config, Event, Feature, Message, Status, Verdict};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wire::view::{Peer, State};
use wire::{Incarnation, Machine, Request, Time, Upstream, View};

/// Features with this number or a higher one crash the upstream that begins to answer them.
pub const CULPRIT: Feature = 1 << 40;

/// Features of the whole work of requests begin here, so that parts have lower numbers.
const WORK: Feature = 1 << 20;

/// Requests that an upstream answers at a time; others wait there.
const MAX_BATCH: usize = 64;

/// Time for which an answer has to go on before its request counts as survived.
const SURVIVAL: Duration = Duration::from_millis(250);

/// Longest wait of a request for an upstream.
const PATIENCE: Duration = Duration::from_secs(1);

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
    /// Time until a crashed upstream is running again.
    pub downtime: Duration,
    /// Whether nobody is refused.
    pub naive: bool,
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Ask {
    pub number: u64,
    /// Sorted.
    pub features: Vec<Feature>,
    pub sent: Time,
    /// Sends so far; a node may send a request a second time.
    sends: u32,
    /// Whether its caller sends it again and again.
    resent: bool,
    waits_since: Time,
}

impl Ask {
    pub fn culprit(&self) -> Option<Feature> {
        self.features.last().copied().filter(|f| *f >= CULPRIT)
    }
}

enum Step {
    Arrive(usize, Ask),
    Deliver(usize, Incarnation, Message),
    Begin(usize, Request),
    Survive(usize, Request, Time),
    Finish(usize, Request),
    UnrelatedCrash,
    Restart(usize),
    Recover(Upstream),
    Detect(usize, Upstream),
    Tick(usize),
}

struct Run {
    ask: Ask,
    upstream: Upstream,
    begun: bool,
}

/// What came of the first attempt of a sound request.
#[derive(Clone, Debug)]
pub struct Fate {
    pub features: Vec<Feature>,
    pub sent: Time,
    pub begun: bool,
    pub refused: bool,
}

pub struct Outage {
    plan: Plan,
    pub rng: StdRng,
    pub now: Time,
    nodes: Vec<CulpritDetector>,
    names: Vec<Incarnation>,
    queue: BTreeMap<(Time, u64), Step>,
    sequence: u64,
    runs: BTreeMap<(usize, Request), Run>,
    pending: BTreeMap<(usize, Request), (Ask, Upstream)>,
    last_request: Request,
    last_ask: u64,
    up: BTreeSet<Upstream>,
    /// Requests that each upstream runs.
    loads: BTreeMap<Upstream, usize>,
    /// Culprits that crash upstreams only from a time on, or only up to one.
    pub turns_bad: Vec<(Feature, Time)>,
    pub mends: Vec<(Feature, Time)>,
    /// Times at which requests with a culprit reached an upstream.
    pub arrivals: Vec<(Feature, Time)>,
    /// Times at which each culprit crashed an upstream.
    pub crashes: BTreeMap<Feature, Vec<Time>>,
    /// By number of the request.
    pub fates: BTreeMap<u64, Fate>,
    pub verdicts: Vec<(Time, Verdict)>,
    pub messages: usize,
    pub bytes: usize,
}

impl Outage {
    pub fn new(plan: Plan) -> Self {
        let names: Vec<_> = (0..plan.nodes)
            .map(|n| Incarnation::new(format!("vm-{n}"), 1))
            .collect();
        let view = view(&names);
        let node = |name: &Incarnation| {
            let mut node = CulpritDetector::new(plan.config.clone(), name.clone());
            node.step(Time::ZERO, Event::View(view.clone()), &mut Vec::new());
            node
        };
        let mut outage = Self {
            rng: StdRng::seed_from_u64(plan.seed),
            now: Time::ZERO,
            nodes: names.iter().map(node).collect(),
            names,
            queue: BTreeMap::new(),
            sequence: 0,
            runs: BTreeMap::new(),
            pending: BTreeMap::new(),
            last_request: 0,
            last_ask: 0,
            up: (0..plan.upstreams)
                .map(|n| Upstream::from(format!("engine-{n}")))
                .collect(),
            loads: BTreeMap::new(),
            turns_bad: Vec::new(),
            mends: Vec::new(),
            arrivals: Vec::new(),
            crashes: BTreeMap::new(),
            fates: BTreeMap::new(),
            verdicts: Vec::new(),
            messages: 0,
            bytes: 0,
            plan,
        };
        for node in 0..outage.plan.nodes {
            let offset = outage.rng.random_range(0..100);
            outage.push(ms(offset), Step::Tick(node));
        }
        outage
    }

    fn push(&mut self, after: Duration, step: Step) {
        self.sequence += 1;
        self.queue.insert((self.now + after, self.sequence), step);
    }

    /// Sends a request with these shared features, and a feature of its own, to a random node at `at`.
    pub fn send(&mut self, at: Time, parts: &[Feature]) {
        self.last_ask += 1;
        let mut features = parts.to_vec();
        features.push(WORK + self.last_ask);
        self.send_with(at, features, false);
    }

    /// Sends a request at `at` that its caller sends again and again, with these features alone.
    pub fn send_resent(&mut self, at: Time, features: &[Feature]) {
        self.last_ask += 1;
        self.send_with(at, features.to_vec(), true);
    }

    /// Sends a request at `at` that is known by its whole work alone, and that its caller sends again
    /// until it is answered.
    pub fn send_resent_if_broken(&mut self, at: Time, number: u64) {
        self.last_ask += 1;
        self.send_with(at, vec![WORK + number], true);
    }

    fn send_with(&mut self, at: Time, mut features: Vec<Feature>, resent: bool) {
        features.sort_unstable();
        let node = self.rng.random_range(0..self.plan.nodes);
        let ask = Ask {
            number: self.last_ask,
            features,
            sent: at,
            sends: 0,
            resent,
            waits_since: at,
        };
        if ask.culprit().is_none() {
            let fate = Fate {
                features: ask.features.clone(),
                sent: at,
                begun: false,
                refused: false,
            };
            self.fates.insert(ask.number, fate);
        }
        self.push(at.saturating_sub(self.now), Step::Arrive(node, ask));
    }

    pub fn crash_any_at(&mut self, at: Time) {
        self.push(at.saturating_sub(self.now), Step::UnrelatedCrash);
    }

    pub fn restart_at(&mut self, at: Time, node: usize) {
        self.push(at.saturating_sub(self.now), Step::Restart(node));
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

    pub fn is_convicted(&self, feature: Feature) -> bool {
        let status = |node: &CulpritDetector| node.status(self.now, &[feature]);
        self.nodes
            .iter()
            .any(|node| status(node) == Status::Convicted(feature))
    }

    fn handle(&mut self, step: Step) {
        match step {
            Step::Arrive(node, ask) => self.arrive(node, ask),
            Step::Deliver(node, from, message) => self.step(node, Event::Receive { from, message }),
            Step::Begin(node, request) => self.begin(node, request),
            Step::Survive(node, request, began) => {
                if self.runs.contains_key(&(node, request)) {
                    self.step(node, Event::Survived { request, began });
                }
            }
            Step::Finish(node, request) => {
                if self.end(node, request).is_some() {
                    self.step(node, Event::Finished { request });
                }
            }
            Step::UnrelatedCrash => {
                let up: Vec<Upstream> = self.up.iter().cloned().collect();
                if !up.is_empty() {
                    let index = self.rng.random_range(0..up.len());
                    self.take_down(&up[index]);
                }
            }
            Step::Restart(node) => self.restart(node),
            Step::Recover(upstream) => {
                self.up.insert(upstream);
            }
            Step::Detect(node, upstream) => self.step(node, Event::Crashed { upstream }),
            Step::Tick(node) => {
                self.step(node, Event::Tick);
                self.push(ms(100), Step::Tick(node));
            }
        }
    }

    /// Returns whether `culprit` crashes upstreams now.
    fn is_bad(&self, culprit: Feature) -> bool {
        let of = |known: &&(Feature, Time)| known.0 == culprit;
        let turned = self.turns_bad.iter().find(of);
        let mended = self.mends.iter().find(of);
        turned.is_none_or(|(_, at)| self.now >= *at) && mended.is_none_or(|(_, at)| self.now < *at)
    }

    fn load(&self, upstream: &Upstream) -> usize {
        self.loads.get(upstream).copied().unwrap_or_default()
    }

    fn end(&mut self, node: usize, request: Request) -> Option<Run> {
        let run = self.runs.remove(&(node, request))?;
        *self.loads.entry(run.upstream.clone()).or_insert(1) -= 1;
        Some(run)
    }

    fn refuse(&mut self, ask: Ask) {
        if let Some(fate) = self.fates.get_mut(&ask.number) {
            fate.refused = true;
        }
        self.resend(ask, ms(1_000));
    }

    fn resend(&mut self, ask: Ask, pause: Duration) {
        if ask.resent {
            let node = self.rng.random_range(0..self.plan.nodes);
            let again = Ask {
                sends: 0,
                waits_since: self.now + pause,
                ..ask
            };
            self.push(pause, Step::Arrive(node, again));
        }
    }

    fn arrive(&mut self, node: usize, ask: Ask) {
        let status = self.nodes[node].status(self.now, &ask.features);
        if matches!(status, Status::Convicted(_)) && !self.plan.naive {
            return self.refuse(ask);
        }
        let mut best: Option<(usize, &Upstream)> = None;
        for upstream in &self.up {
            let load = self.load(upstream);
            if best.is_none_or(|(least, _)| load < least) {
                best = Some((load, upstream));
            }
        }
        let Some((_, upstream)) = best else {
            if self.now > ask.waits_since + PATIENCE {
                return self.resend(ask, ms(500));
            }
            return self.push(ms(50), Step::Arrive(node, ask));
        };
        let upstream = upstream.clone();
        self.last_request += 1;
        let request = self.last_request;
        let features = ask.features.clone();
        self.pending
            .insert((node, request), (ask, upstream.clone()));
        self.step(
            node,
            Event::Dispatch {
                request,
                features,
                upstream,
                process: None,
            },
        );
    }

    fn start(&mut self, node: usize, request: Request) {
        let Some((mut ask, upstream)) = self.pending.remove(&(node, request)) else {
            return;
        };
        ask.sends += 1;
        if let Some(culprit) = ask.culprit().filter(|culprit| self.is_bad(*culprit)) {
            self.arrivals.push((culprit, self.now));
        }
        let queued = self.load(&upstream).saturating_sub(MAX_BATCH) as u64;
        let prefill = ms(self.rng.random_range(40..250) + queued * 20);
        let run = Run {
            ask,
            upstream,
            begun: false,
        };
        *self.loads.entry(run.upstream.clone()).or_default() += 1;
        self.runs.insert((node, request), run);
        self.push(prefill, Step::Begin(node, request));
    }

    fn begin(&mut self, node: usize, request: Request) {
        let Some(run) = self.runs.get(&(node, request)) else {
            return;
        };
        let culprit = run.ask.culprit().filter(|culprit| self.is_bad(*culprit));
        if let Some(culprit) = culprit {
            let upstream = run.upstream.clone();
            self.crashes.entry(culprit).or_default().push(self.now);
            return self.take_down(&upstream);
        }
        let Some(run) = self.runs.get_mut(&(node, request)) else {
            return;
        };
        run.begun = true;
        let number = run.ask.number;
        if run.ask.sends == 1
            && let Some(fate) = self.fates.get_mut(&number)
        {
            fate.begun = true;
        }
        let duration = ms(self.rng.random_range(300..4_000));
        self.push(SURVIVAL, Step::Survive(node, request, self.now));
        self.push(duration, Step::Finish(node, request));
    }

    /// Stops an upstream and ends all requests that it runs. Each node that had one there finds out
    /// a moment later.
    fn take_down(&mut self, upstream: &Upstream) {
        if !self.up.remove(upstream) {
            return;
        }
        self.push(self.plan.downtime, Step::Recover(upstream.clone()));
        let affected = self.runs.extract_if(.., |_, run| run.upstream == *upstream);
        let affected: Vec<_> = affected.collect();
        self.loads.remove(upstream);
        let mut concerned = BTreeSet::new();
        for ((node, request), run) in affected {
            concerned.insert(node);
            self.step(node, Event::ConnectionLost { request });
            let status = self.nodes[node].status(self.now, &run.ask.features);
            let retried = run.ask.sends < 2 && (status == Status::Clear || self.plan.naive);
            if retried {
                let delay = ms(self.rng.random_range(20..70));
                let ask = Ask {
                    waits_since: self.now,
                    ..run.ask
                };
                self.push(delay, Step::Arrive(node, ask));
            } else {
                self.resend(run.ask, ms(500));
            }
        }
        for node in concerned {
            let delay = ms(self.rng.random_range(10..60));
            self.push(delay, Step::Detect(node, upstream.clone()));
        }
    }

    fn restart(&mut self, node: usize) {
        let name = &mut self.names[node];
        name.start += 1;
        let name = name.clone();
        self.nodes[node] = CulpritDetector::new(self.plan.config.clone(), name);
        let ended: Vec<_> = self
            .runs
            .keys()
            .filter(|(at, _)| *at == node)
            .copied()
            .collect();
        for (node, request) in ended {
            self.end(node, request);
        }
        self.pending.retain(|(at, _), _| *at != node);
        let view = view(&self.names);
        for node in 0..self.plan.nodes {
            self.step(node, Event::View(view.clone()));
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
            Action::Run { request, .. } => self.start(node, request),
            Action::Refuse { request, .. } if self.plan.naive => self.start(node, request),
            Action::Refuse { request, .. } => {
                if let Some((ask, _)) = self.pending.remove(&(node, request)) {
                    self.refuse(ask);
                }
            }
            Action::Send { to, message } => {
                self.messages += 1;
                self.bytes += wire::frame::encode(&message).map_or(0, |bytes| bytes.len());
                let of = |name: &Incarnation| name.vm == to;
                let target = self.names.iter().position(of).expect("a node");
                if !self.rng.random_bool(self.plan.loss) {
                    let from = self.names[node].clone();
                    let delay = Duration::from_micros(self.rng.random_range(400..2_000));
                    self.push(delay, Step::Deliver(target, from, message));
                }
            }
            Action::Decided(verdict) => {
                self.verdicts.push((self.now, verdict));
                if verdict.convicted && !self.plan.naive {
                    self.cancel(node, verdict.feature);
                }
            }
            Action::Reported(_) | Action::Inspect { .. } | Action::Refuted { .. } => {}
        }
    }
}

impl Outage {
    /// Ends a node's requests with `feature` whose answers have not begun.
    fn cancel(&mut self, node: usize, feature: Feature) {
        let concerned = self.runs.iter().filter(|((at, _), run)| {
            *at == node && !run.begun && run.ask.features.contains(&feature)
        });
        let requests: Vec<Request> = concerned.map(|((_, request), _)| *request).collect();
        for request in requests {
            self.step(node, Event::Dropped { request });
            if let Some(run) = self.end(node, request) {
                self.refuse(run.ask);
            }
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
