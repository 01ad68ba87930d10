//! Many guards in one thread, with a network, a VM list and upstream that misbehave by a seed.
#![allow(dead_code, missing_docs, unused_imports)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use once::ledger::Ending;
use once::message::Verdict;
use once::participant::Reason;
use once::{Action, CallRecord, Config, Digest, Event, Key, Message, Outcome, Participant};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wire::view::{Peer, State};
use wire::{Incarnation, Machine, Request, Time, View, Vm};

/// A fault planted on purpose, which the checks must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// One vote counts as three.
    Quorum,
    /// A newcomer counts as recovered without records.
    Recovery,
    /// A witness votes at whatever set the claim names.
    Seal,
    /// The driver writes without asking for the permit.
    Permit,
    /// Witnesses grant what they have granted to others.
    Grant,
    /// An executor disowns claims that it may run.
    Disown,
    /// The reply to a void confirms what was not recorded.
    Void,
}

pub const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

#[derive(Clone, Copy, Debug)]
pub struct Network {
    pub loss: f64,
    pub double: f64,
    pub delay: (u64, u64),
    pub lag: (u64, u64),
}

/// Half a millisecond each way, nothing lost; lists lag by up to 300 ms.
pub const CALM: Network = Network {
    loss: 0.0,
    double: 0.0,
    delay: (400, 600),
    lag: (0, 300),
};

/// A tenth lost, a tenth doubled, up to 40 ms late; lists lag by up to 4 s.
pub const ROUGH: Network = Network {
    loss: 0.1,
    double: 0.1,
    delay: (200, 40_000),
    lag: (0, 4_000),
};

#[derive(Clone, Debug)]
enum Step {
    Deliver {
        from: Incarnation,
        message: Message,
    },
    Wake(Time),
    View(View),
    Write {
        request: Request,
    },
    Finish {
        request: Request,
        record: CallRecord,
    },
}

struct Node {
    guard: Participant,
    incarnation: Incarnation,
    resume: Time,
    down: bool,
    side: u8,
    wake: Option<Time>,
}

/// What a caller was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    Record(CallRecord),
    Refused(Outcome, Reason),
}

#[derive(Clone, Debug)]
pub struct Call {
    pub key: usize,
    pub node: Incarnation,
    pub begun: Time,
    pub told: Option<(Time, Told)>,
    pub wrote: Option<Time>,
}

pub struct Fleet {
    pub now: Time,
    pub rng: StdRng,
    pub calls: Vec<Call>,
    pub runs: BTreeMap<usize, Vec<(Time, usize)>>,
    pub faults: Vec<String>,
    pub messages: u64,
    pub bytes: u64,
    pub count: bool,
    pub service: (u64, u64),
    pub list_down: bool,
    /// Share of granted calls whose upstream can't be reached, so that nothing is sent.
    pub unreachable: f64,
    /// Tells which messages go through.
    pub filter: fn(&Incarnation, &Vm, &Message) -> bool,
    config: Config,
    network: Network,
    planted: Option<Planted>,
    nodes: Vec<Node>,
    queue: BTreeMap<(Time, u64), (Incarnation, Step)>,
    sequence: u64,
    start: u64,
    listed: BTreeSet<usize>,
    prefix: Option<String>,
    names: BTreeMap<usize, Key>,
}

pub fn config() -> Config {
    let mut config = Config {
        retry_window: Duration::from_secs(60),
        max_wait: Duration::from_secs(5),
        claim: Duration::from_secs(2),
        permit: ms(500),
        fence: Duration::from_secs(30),
        quarantine: Duration::ZERO,
        beat: ms(200),
        resend: ms(30),
        patience: ms(800),
        grace: ms(500),
        settle: Duration::from_secs(1),
        ..Config::default()
    };
    config.quarantine = Duration::ZERO;
    config
}

impl Fleet {
    /// Starts `count` VMs and lets them found a group.
    pub fn new(seed: u64, count: usize, config: Config, network: Network) -> Self {
        let mut fleet = Self {
            now: Time::ZERO,
            rng: StdRng::seed_from_u64(seed),
            calls: Vec::new(),
            runs: BTreeMap::new(),
            faults: Vec::new(),
            messages: 0,
            bytes: 0,
            count: false,
            service: (1_000, 20_000),
            list_down: false,
            unreachable: 0.0,
            filter: |_, _, _| true,
            config,
            network: CALM,
            planted: None,
            nodes: Vec::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            start: 0,
            listed: BTreeSet::new(),
            prefix: None,
            names: BTreeMap::new(),
        };
        for _ in 0..count {
            fleet.boot();
        }
        fleet.run(Duration::from_secs(4));
        fleet.network = network;
        fleet
    }

    pub fn plant(&mut self, planted: Option<Planted>) {
        self.planted = planted;
    }

    pub fn network(&mut self, network: Network) {
        self.network = network;
    }

    /// Starts a VM with a new id; the list shows it at once, nodes later.
    pub fn boot(&mut self) -> usize {
        let index = self.nodes.len();
        self.start += 1;
        let incarnation = Incarnation::new(format!("vm-{index:02}"), self.start);
        self.nodes.push(Node {
            guard: Participant::new(self.config.clone(), incarnation.clone()),
            incarnation,
            resume: self.now,
            down: false,
            side: 0,
            wake: None,
        });
        self.listed.insert(index);
        self.publish();
        self.schedule_wake(index);
        index
    }

    /// Ends the process at once.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].down = true;
    }

    /// Takes the VM off the list, as the platform does after it is gone.
    pub fn delist(&mut self, index: usize) {
        self.listed.remove(&index);
        self.publish();
    }

    /// Restarts the process on the same VM, with nothing kept.
    pub fn restart(&mut self, index: usize) {
        self.start += 1;
        let vm = self.nodes[index].incarnation.vm.clone();
        let incarnation = Incarnation::new(vm, self.start);
        let node = &mut self.nodes[index];
        node.guard = Participant::new(self.config.clone(), incarnation.clone());
        node.incarnation = incarnation;
        node.down = false;
        node.resume = self.now;
        node.wake = None;
        self.publish();
        self.schedule_wake(index);
    }

    /// Stops the process for a while; what comes in waits.
    pub fn pause(&mut self, index: usize, time: Duration) {
        self.nodes[index].resume = self.nodes[index].resume.max(self.now + time);
    }

    /// Cuts the nodes off from those on another side.
    pub fn side(&mut self, index: usize, side: u8) {
        self.nodes[index].side = side;
        if side == 0 {
            self.publish();
        }
    }

    pub fn leave(&mut self, index: usize) {
        self.step(index, Event::Leave);
    }

    pub fn guard(&self, index: usize) -> &Participant {
        &self.nodes[index].guard
    }

    pub fn up(&self) -> Vec<usize> {
        let up = |index: &usize| !self.nodes[*index].down;
        (0..self.nodes.len()).filter(up).collect()
    }

    pub fn voting_nodes(&self) -> usize {
        let up = self.up();
        up.iter()
            .filter(|i| self.nodes[**i].guard.is_voting())
            .count()
    }

    /// Lets callers put the present ticket before the keys from here on.
    pub fn take_ticket(&mut self) {
        let up = self.up();
        self.prefix = up.first().and_then(|i| self.nodes[*i].guard.ticket());
    }

    /// Returns the key's name, which stays what it was at first use.
    pub fn name(&mut self, key: usize) -> Key {
        let prefix = self.prefix.as_deref().unwrap_or("");
        let name = Key::new("caller", "desk", &format!("{prefix}{key}"));
        *self.names.entry(key).or_insert(name)
    }

    /// Sends a call to a node and returns its number.
    pub fn call(&mut self, index: usize, key: usize, body: &str) -> usize {
        let number = self.calls.len();
        self.calls.push(Call {
            key,
            node: self.nodes[index].incarnation.clone(),
            begun: self.now,
            told: None,
            wrote: None,
        });
        let event = Event::Begin {
            request: number as Request,
            key: self.name(key),
            body: Digest::new([body]),
            deadline: self.now + self.config.max_wait,
        };
        if !self.nodes[index].down {
            self.step(index, event);
        }
        number
    }

    /// Runs a schedule of everything that may go wrong, drawn from the fleet's seed.
    ///
    /// Callers resend a key only within the retry window, at any node, now and then with another
    /// body.
    pub fn torment(&mut self, time: Duration) {
        let end = self.now + time;
        self.unreachable = 0.1;
        let mut open: Vec<(usize, Time)> = Vec::new();
        let mut next = 1;
        while self.now < end {
            let now = self.now;
            let window = self.config.retry_window;
            open.retain(|(_, since)| now <= *since + window);
            if open.len() < 12 {
                open.push((next, now));
                next += 1;
            }
            let key = open[self.rng.random_range(0..open.len())].0;
            let up = self.up();
            let node = up[self.rng.random_range(0..up.len())];
            let body = if self.rng.random_bool(0.05) { "b" } else { "a" };
            self.call(node, key, body);
            if self.rng.random_bool(0.3) {
                let other = up[self.rng.random_range(0..up.len())];
                self.call(other, key, "a");
            }
            if self.rng.random_bool(0.04) {
                self.mishap();
            }
            let pause = ms(self.rng.random_range(5..150));
            self.run(pause);
        }
        self.run(self.config.max_wait * 2);
    }

    fn mishap(&mut self) {
        let up = self.up();
        let node = up[self.rng.random_range(0..up.len())];
        let long = ms(self.rng.random_range(100..6_000));
        match self.rng.random_range(0..7) {
            0 => {
                self.kill(node);
                self.delist(node);
                self.boot();
            }
            1 => self.restart(node),
            2 | 3 => self.pause(node, long),
            4 => self.side(node, 1),
            5 => {
                // The list drops a VM whose process runs on.
                self.delist(node);
                self.boot();
                self.side(node, 2);
            }
            _ => {
                for index in up {
                    self.side(index, 0);
                }
            }
        }
        let extra = self.up().len();
        if extra > 10 {
            let oldest = self.up()[0];
            self.kill(oldest);
            self.delist(oldest);
        }
    }

    pub fn told(&self, call: usize) -> Option<&Told> {
        self.calls[call].told.as_ref().map(|(_, told)| told)
    }

    /// Runs everything due until `time` has passed.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(((at, sequence), _)) = self.queue.first_key_value() {
            let (at, sequence) = (*at, *sequence);
            if at > end {
                break;
            }
            let (to, step) = self.queue.remove(&(at, sequence)).expect("was there");
            self.now = self.now.max(at);
            self.dispatch(&to, step);
        }
        self.now = end;
    }

    fn dispatch(&mut self, to: &Incarnation, step: Step) {
        let of = |node: &Node| node.incarnation.vm == to.vm;
        let Some(index) = self.nodes.iter().position(of) else {
            return;
        };
        let node = &self.nodes[index];
        let local = !matches!(step, Step::Deliver { .. });
        if node.down || local && node.incarnation != *to {
            return;
        }
        if node.resume > self.now {
            let resume = node.resume;
            return self.push(resume, to.clone(), step);
        }
        match step {
            Step::Deliver { from, message } => self.deliver(index, from, message),
            Step::Wake(at) if self.nodes[index].wake != Some(at) => {}
            Step::Wake(_) => {
                self.nodes[index].wake = None;
                if !self.list_down && self.nodes[index].side == 0 {
                    self.step(index, Event::ListRead);
                }
                self.step(index, Event::Tick);
            }
            Step::View(_) if self.nodes[index].side != 0 => {}
            Step::View(view) => self.step(index, Event::View(view)),
            Step::Write { request } => self.write(index, request),
            Step::Finish { request, record } => {
                self.step(index, Event::Finished { request, record });
            }
        }
    }

    fn deliver(&mut self, index: usize, from: Incarnation, message: Message) {
        let message = self.tamper(index, message);
        if let (Some(Planted::Quorum), Message::Vote { .. }) = (self.planted, &message) {
            self.forge(index, &message);
        }
        self.step(index, Event::Receive { from, message });
    }

    fn tamper(&self, index: usize, mut message: Message) -> Message {
        let here = self.nodes[index].guard.witness_set().id();
        match (self.planted, &mut message) {
            (
                Some(Planted::Seal),
                Message::Ask { set, .. }
                | Message::Vote { set, .. }
                | Message::Page { set, .. }
                | Message::Recover { set, .. },
            ) => *set = here,
            (Some(Planted::Recovery), Message::Page { page, .. }) => {
                page.copies.clear();
                page.last = true;
            }
            (Some(Planted::Grant), Message::Vote { verdict, .. })
                if matches!(verdict, Verdict::Held { .. }) =>
            {
                *verdict = Verdict::Granted { void: None };
            }
            (Some(Planted::Disown), Message::Tell { told, .. }) => {
                *told = once::message::Told::Abandoned;
            }
            (
                Some(Planted::Void),
                Message::Vote {
                    verdict: Verdict::Granted { void },
                    ..
                },
            ) => *void = None,
            _ => {}
        }
        message
    }

    /// Delivers a vote under the names of two more members.
    fn forge(&mut self, index: usize, message: &Message) {
        let members = self.nodes[index].guard.witness_set().members().to_vec();
        let Message::Vote { voter, .. } = message else {
            return;
        };
        let at = members.iter().position(|m| m == voter).unwrap_or(0);
        for step in 1..3 {
            let mut message = message.clone();
            let other = members[(at + step) % members.len()].clone();
            if let Message::Vote { voter, .. } = &mut message {
                *voter = other.clone();
            }
            let from = other.incarnation;
            self.step(index, Event::Receive { from, message });
        }
    }

    fn write(&mut self, index: usize, request: Request) {
        let now = self.now;
        if self.rng.random_bool(self.unreachable) {
            return self.step(index, Event::Abandon { request });
        }
        let permitted = self.nodes[index].guard.permit(now, request);
        if !permitted && self.planted != Some(Planted::Permit) {
            return self.step(index, Event::Abandon { request });
        }
        let call = request as usize;
        let key = self.calls[call].key;
        self.calls[call].wrote = Some(now);
        self.runs.entry(key).or_default().push((now, call));
        let record = CallRecord {
            ending: Ending::Answered,
            status: 200,
            content_type: "text/plain".into(),
            body: Some(format!("run {call}").into_bytes()),
        };
        let took = self.rng.random_range(self.service.0..=self.service.1);
        let to = self.nodes[index].incarnation.clone();
        let at = now + Duration::from_micros(took);
        self.push(at, to, Step::Finish { request, record });
    }

    fn step(&mut self, index: usize, event: Event) {
        let mut out = Vec::new();
        let now = self.now;
        self.nodes[index].guard.step(now, event, &mut out);
        for action in out {
            self.act(index, action);
        }
        self.schedule_wake(index);
    }

    fn act(&mut self, index: usize, action: Action) {
        match action {
            Action::Send { to, message } => self.transmit(index, &to, &message),
            Action::Execute { request } => {
                let wait = self.rng.random_range(10..2_000);
                let to = self.nodes[index].incarnation.clone();
                let at = self.now + Duration::from_micros(wait);
                self.push(at, to, Step::Write { request });
            }
            Action::Answer { request, record } => self.tell(request, Told::Record(record)),
            Action::Refuse {
                request,
                outcome,
                reason,
                ..
            } => self.tell(request, Told::Refused(outcome, reason)),
            Action::Note(_) => {}
        }
    }

    fn tell(&mut self, request: Request, told: Told) {
        let now = self.now;
        let call = &mut self.calls[request as usize];
        if call.told.is_some() {
            self.faults.push(format!("call {request} told twice"));
        }
        call.told = Some((now, told));
    }

    fn transmit(&mut self, index: usize, to: &Vm, message: &Message) {
        self.messages += 1;
        if self.count {
            self.bytes += postcard::to_allocvec(message).expect("encodes").len() as u64;
        }
        let from = self.nodes[index].incarnation.clone();
        if !(self.filter)(&from, to, message) {
            return;
        }
        let Some(target) = self.nodes.iter().position(|n| n.incarnation.vm == *to) else {
            return;
        };
        if self.nodes[target].side != self.nodes[index].side {
            return;
        }
        let mut copies = 1 + u8::from(self.rng.random_bool(self.network.double));
        if self.rng.random_bool(self.network.loss) {
            copies -= 1;
        }
        for _ in 0..copies {
            let (low, high) = self.network.delay;
            let delay = Duration::from_micros(self.rng.random_range(low..=high));
            let step = Step::Deliver {
                from: from.clone(),
                message: message.clone(),
            };
            self.push(self.now + delay, Incarnation::new(to.clone(), 0), step);
        }
    }

    /// Shows every node the list as it is, after a lag of its own.
    pub fn publish(&mut self) {
        let peer = |index: &usize| Peer {
            incarnation: self.nodes[*index].incarnation.clone(),
            zone: "a".into(),
            state: State::Live,
        };
        let view = View::new(self.listed.iter().map(peer));
        for index in 0..self.nodes.len() {
            let (low, high) = self.network.lag;
            let lag = ms(self.rng.random_range(low..=high));
            let to = self.nodes[index].incarnation.clone();
            self.push(self.now + lag, to, Step::View(view.clone()));
        }
    }

    fn push(&mut self, at: Time, to: Incarnation, step: Step) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), (to, step));
    }

    fn schedule_wake(&mut self, index: usize) {
        let node = &self.nodes[index];
        let Some(at) = node.guard.wake() else {
            return;
        };
        let at = at.max(self.now + ms(1));
        if node.wake.is_some_and(|wake| wake <= at) {
            return;
        }
        let to = node.incarnation.clone();
        self.nodes[index].wake = Some(at);
        self.push(at, to, Step::Wake(at));
    }

    /// Returns each promise that the log breaks.
    pub fn broken(&self) -> Vec<String> {
        let mut broken = self.faults.clone();
        for (key, runs) in &self.runs {
            if runs.len() > 1 {
                broken.push(format!("key {key} ran {} times: {runs:?}", runs.len()));
            }
        }
        for (number, call) in self.calls.iter().enumerate() {
            broken.extend(self.broken_call(number, call));
        }
        broken
    }

    fn broken_call(&self, number: usize, call: &Call) -> Option<String> {
        let (at, told) = call.told.as_ref()?;
        let runs = self.runs.get(&call.key).map_or(&[][..], Vec::as_slice);
        match told {
            Told::Record(record) => {
                let first = runs
                    .first()
                    .map(|(_, call)| format!("run {call}").into_bytes());
                (record.body != first)
                    .then(|| format!("call {number} got another answer than the first run's"))
            }
            Told::Refused(Outcome::NotRun, _) => {
                let ran = runs
                    .iter()
                    .find(|(run, by)| *run <= *at || *by == number || self.calls[*by].begun <= *at);
                ran.map(|run| format!("call {number} told not-run at {at:?}, but {run:?} ran"))
            }
            Told::Refused(Outcome::Mismatch, _) => {
                let ran = call.wrote.is_some();
                ran.then(|| format!("call {number} ran with another body"))
            }
            Told::Refused(Outcome::Unknown, _) => None,
        }
    }
}
