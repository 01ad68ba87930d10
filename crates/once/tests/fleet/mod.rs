//! A simulated fleet: many participants in one thread, with a network, a VM list and an upstream
//! whose faults are drawn from a seed.
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

/// A deliberate fault that the checks must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlantedFault {
    /// One vote counts as three.
    Quorum,
    /// A new member completes its recovery without receiving any entries.
    Recovery,
    /// A witness votes in whatever set the request names.
    Seal,
    /// The driver writes although the permit was denied.
    Permit,
    /// Witnesses grant a key that they have already granted to another claim.
    Grant,
    /// An executor reports claims as abandoned that it may still run.
    Disown,
    /// Votes don't show the voids that were recorded.
    Void,
}

pub const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

#[derive(Clone, Copy, Debug)]
pub struct Network {
    pub loss: f64,
    pub duplication: f64,
    pub delay: (u64, u64),
    pub list_delay: (u64, u64),
}

/// About 0.5 ms each way without loss; list changes arrive after up to 300 ms.
pub const RELIABLE: Network = Network {
    loss: 0.0,
    duplication: 0.0,
    delay: (400, 600),
    list_delay: (0, 300),
};

/// 10% loss, 10% duplication and up to 40 ms delay; list changes arrive after up to 4 s.
pub const UNRELIABLE: Network = Network {
    loss: 0.1,
    duplication: 0.1,
    delay: (200, 40_000),
    list_delay: (0, 4_000),
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
    participant: Participant,
    incarnation: Incarnation,
    paused_until: Time,
    stopped: bool,
    partition: u8,
    wake: Option<Time>,
}

/// The response that a caller received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    Record(CallRecord),
    Refused(Outcome, Reason),
}

#[derive(Clone, Debug)]
pub struct Call {
    pub key: usize,
    pub node: Incarnation,
    pub started: Time,
    pub reply: Option<(Time, Reply)>,
    pub written_at: Option<Time>,
}

pub struct Fleet {
    pub now: Time,
    pub rng: StdRng,
    pub calls: Vec<Call>,
    pub executions: BTreeMap<usize, Vec<(Time, usize)>>,
    duplicate_replies: Vec<String>,
    pub messages: u64,
    pub bytes: u64,
    pub count_bytes: bool,
    pub service_time: (u64, u64),
    pub list_unavailable: bool,
    /// Fraction of granted calls whose upstream can't be reached, so that nothing is sent.
    pub unreachable: f64,
    /// Returns whether a message is delivered.
    pub filter: fn(&Incarnation, &Vm, &Message) -> bool,
    config: Config,
    network: Network,
    planted: Option<PlantedFault>,
    nodes: Vec<Node>,
    queue: BTreeMap<(Time, u64), (Incarnation, Step)>,
    sequence: u64,
    last_start: u64,
    listed: BTreeSet<usize>,
    ticket: Option<String>,
    keys: BTreeMap<usize, Key>,
}

pub fn config() -> Config {
    let mut config = Config {
        retry_window: Duration::from_secs(60),
        max_wait: Duration::from_secs(5),
        claim_timeout: Duration::from_secs(2),
        permit_timeout: ms(500),
        max_list_age: Duration::from_secs(30),
        quarantine: Duration::ZERO,
        hello_interval: ms(200),
        resend_interval: ms(30),
        stall_timeout: ms(800),
        removal_delay: ms(500),
        founding_delay: Duration::from_secs(1),
        ..Config::default()
    };
    config.quarantine = Duration::ZERO;
    config
}

impl Fleet {
    /// Starts `count` VMs and runs until they have founded a lineage.
    pub fn new(seed: u64, count: usize, config: Config, network: Network) -> Self {
        let mut fleet = Self {
            now: Time::ZERO,
            rng: StdRng::seed_from_u64(seed),
            calls: Vec::new(),
            executions: BTreeMap::new(),
            duplicate_replies: Vec::new(),
            messages: 0,
            bytes: 0,
            count_bytes: false,
            service_time: (1_000, 20_000),
            list_unavailable: false,
            unreachable: 0.0,
            filter: |_, _, _| true,
            config,
            network: RELIABLE,
            planted: None,
            nodes: Vec::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            last_start: 0,
            listed: BTreeSet::new(),
            ticket: None,
            keys: BTreeMap::new(),
        };
        for _ in 0..count {
            fleet.start_vm();
        }
        fleet.run(Duration::from_secs(4));
        fleet.network = network;
        fleet
    }

    pub fn plant_fault(&mut self, planted: Option<PlantedFault>) {
        self.planted = planted;
    }

    pub fn network(&mut self, network: Network) {
        self.network = network;
    }

    /// Starts a VM with a new ID. The list contains it at once; the nodes see it after a delay.
    pub fn start_vm(&mut self) -> usize {
        let index = self.nodes.len();
        self.last_start += 1;
        let incarnation = Incarnation::new(format!("vm-{index:02}"), self.last_start);
        self.nodes.push(Node {
            participant: Participant::new(self.config.clone(), incarnation.clone()),
            incarnation,
            paused_until: self.now,
            stopped: false,
            partition: 0,
            wake: None,
        });
        self.listed.insert(index);
        self.publish_list();
        self.schedule_wake(index);
        index
    }

    /// Kills the process.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].stopped = true;
    }

    /// Removes the VM from the list, as the platform does after the VM is gone.
    pub fn delist(&mut self, index: usize) {
        self.listed.remove(&index);
        self.publish_list();
    }

    /// Restarts the process on the same VM without any of its state.
    pub fn restart(&mut self, index: usize) {
        self.last_start += 1;
        let vm = self.nodes[index].incarnation.vm.clone();
        let incarnation = Incarnation::new(vm, self.last_start);
        let node = &mut self.nodes[index];
        node.participant = Participant::new(self.config.clone(), incarnation.clone());
        node.incarnation = incarnation;
        node.stopped = false;
        node.paused_until = self.now;
        node.wake = None;
        self.publish_list();
        self.schedule_wake(index);
    }

    /// Pauses the process. Incoming messages wait until it resumes.
    pub fn pause(&mut self, index: usize, time: Duration) {
        self.nodes[index].paused_until = self.nodes[index].paused_until.max(self.now + time);
    }

    /// Moves the node to a network partition. It reaches only the nodes of the same partition.
    pub fn set_partition(&mut self, index: usize, partition: u8) {
        self.nodes[index].partition = partition;
        if partition == 0 {
            self.publish_list();
        }
    }

    pub fn leave(&mut self, index: usize) {
        self.step(index, Event::Leave);
    }

    pub fn participant(&self, index: usize) -> &Participant {
        &self.nodes[index].participant
    }

    pub fn running(&self) -> Vec<usize> {
        let up = |index: &usize| !self.nodes[*index].stopped;
        (0..self.nodes.len()).filter(up).collect()
    }

    pub fn voting_nodes(&self) -> usize {
        let up = self.running();
        up.iter()
            .filter(|i| self.nodes[**i].participant.is_voting())
            .count()
    }

    /// Makes callers put the current ticket before new keys.
    pub fn use_current_ticket(&mut self) {
        let up = self.running();
        self.ticket = up.first().and_then(|i| self.nodes[*i].participant.ticket());
    }

    /// Returns the key with this number. It keeps the ticket of its first use.
    pub fn key(&mut self, number: usize) -> Key {
        let ticket = self.ticket.as_deref().unwrap_or("");
        let new = Key::new("caller", "desk", &format!("{ticket}{number}"));
        *self.keys.entry(number).or_insert(new)
    }

    /// Sends a call to a node and returns its number.
    pub fn call(&mut self, index: usize, key: usize, body: &str) -> usize {
        let number = self.calls.len();
        self.calls.push(Call {
            key,
            node: self.nodes[index].incarnation.clone(),
            started: self.now,
            reply: None,
            written_at: None,
        });
        let event = Event::Begin {
            request: number as Request,
            key: self.key(key),
            body: Digest::new([body]),
            deadline: self.now + self.config.max_wait,
        };
        if !self.nodes[index].stopped {
            self.step(index, event);
        }
        number
    }

    /// Runs a random schedule of calls and faults, drawn from the fleet's seed.
    ///
    /// Callers retry a key only within the retry window, on any node, and occasionally with another
    /// body.
    pub fn run_random_faults(&mut self, time: Duration) {
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
            let up = self.running();
            let node = up[self.rng.random_range(0..up.len())];
            let body = if self.rng.random_bool(0.05) { "b" } else { "a" };
            self.call(node, key, body);
            if self.rng.random_bool(0.3) {
                let other = up[self.rng.random_range(0..up.len())];
                self.call(other, key, "a");
            }
            if self.rng.random_bool(0.04) {
                self.inject_random_fault();
            }
            let pause = ms(self.rng.random_range(5..150));
            self.run(pause);
        }
        self.run(self.config.max_wait * 2);
    }

    fn inject_random_fault(&mut self) {
        let up = self.running();
        let node = up[self.rng.random_range(0..up.len())];
        let long = ms(self.rng.random_range(100..6_000));
        match self.rng.random_range(0..7) {
            0 => {
                self.kill(node);
                self.delist(node);
                self.start_vm();
            }
            1 => self.restart(node),
            2 | 3 => self.pause(node, long),
            4 => self.set_partition(node, 1),
            5 => {
                // The list drops a VM whose process keeps running.
                self.delist(node);
                self.start_vm();
                self.set_partition(node, 2);
            }
            _ => {
                for index in up {
                    self.set_partition(index, 0);
                }
            }
        }
        let running = self.running().len();
        if running > 10 {
            let oldest = self.running()[0];
            self.kill(oldest);
            self.delist(oldest);
        }
    }

    pub fn reply(&self, call: usize) -> Option<&Reply> {
        self.calls[call].reply.as_ref().map(|(_, reply)| reply)
    }

    /// Advances the simulation by `time`.
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
        if node.stopped || local && node.incarnation != *to {
            return;
        }
        if node.paused_until > self.now {
            let resume = node.paused_until;
            return self.push(resume, to.clone(), step);
        }
        match step {
            Step::Deliver { from, message } => self.deliver(index, from, message),
            Step::Wake(at) if self.nodes[index].wake != Some(at) => {}
            Step::Wake(_) => {
                self.nodes[index].wake = None;
                if !self.list_unavailable && self.nodes[index].partition == 0 {
                    self.step(index, Event::ListRead);
                }
                self.step(index, Event::Tick);
            }
            Step::View(_) if self.nodes[index].partition != 0 => {}
            Step::View(view) => self.step(index, Event::View(view)),
            Step::Write { request } => self.write(index, request),
            Step::Finish { request, record } => {
                self.step(index, Event::Finished { request, record });
            }
        }
    }

    fn deliver(&mut self, index: usize, from: Incarnation, message: Message) {
        let message = self.apply_planted_fault(index, message);
        if let (Some(PlantedFault::Quorum), Message::Vote { .. }) = (self.planted, &message) {
            self.forge_votes(index, &message);
        }
        self.step(index, Event::Receive { from, message });
    }

    fn apply_planted_fault(&self, index: usize, mut message: Message) -> Message {
        let own_id = self.nodes[index].participant.witness_set().id();
        match (self.planted, &mut message) {
            (
                Some(PlantedFault::Seal),
                Message::RequestVote { set_id, .. }
                | Message::Vote { set_id, .. }
                | Message::Entries { set_id, .. }
                | Message::FetchEntries { set_id, .. },
            ) => *set_id = own_id,
            (Some(PlantedFault::Recovery), Message::Entries { page, .. }) => {
                page.entries.clear();
                page.last = true;
            }
            (Some(PlantedFault::Grant), Message::Vote { verdict, .. })
                if matches!(verdict, Verdict::Held { .. }) =>
            {
                *verdict = Verdict::Granted { void_age: None };
            }
            (Some(PlantedFault::Disown), Message::ReportClaim { status, .. }) => {
                *status = once::message::ClaimStatus::Abandoned;
            }
            (
                Some(PlantedFault::Void),
                Message::Vote {
                    verdict: Verdict::Granted { void_age },
                    ..
                },
            ) => *void_age = None,
            _ => {}
        }
        message
    }

    /// Delivers copies of a vote in the name of two other members.
    fn forge_votes(&mut self, index: usize, message: &Message) {
        let members = self.nodes[index]
            .participant
            .witness_set()
            .members()
            .to_vec();
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
        let permitted = self.nodes[index].participant.permit(now, request);
        if !permitted && self.planted != Some(PlantedFault::Permit) {
            return self.step(index, Event::Abandon { request });
        }
        let call = request as usize;
        let key = self.calls[call].key;
        self.calls[call].written_at = Some(now);
        self.executions.entry(key).or_default().push((now, call));
        let record = CallRecord {
            ending: Ending::Answered,
            status: 200,
            content_type: "text/plain".into(),
            body: Some(format!("run {call}").into_bytes()),
        };
        let took = self
            .rng
            .random_range(self.service_time.0..=self.service_time.1);
        let to = self.nodes[index].incarnation.clone();
        let at = now + Duration::from_micros(took);
        self.push(at, to, Step::Finish { request, record });
    }

    fn step(&mut self, index: usize, event: Event) {
        let mut out = Vec::new();
        let now = self.now;
        self.nodes[index].participant.step(now, event, &mut out);
        for action in out {
            self.perform(index, action);
        }
        self.schedule_wake(index);
    }

    fn perform(&mut self, index: usize, action: Action) {
        match action {
            Action::Send { to, message } => self.transmit(index, &to, &message),
            Action::Execute { request } => {
                let wait = self.rng.random_range(10..2_000);
                let to = self.nodes[index].incarnation.clone();
                let at = self.now + Duration::from_micros(wait);
                self.push(at, to, Step::Write { request });
            }
            Action::Answer { request, record } => self.record_reply(request, Reply::Record(record)),
            Action::Refuse {
                request,
                outcome,
                reason,
                ..
            } => self.record_reply(request, Reply::Refused(outcome, reason)),
            Action::Note(_) => {}
        }
    }

    fn record_reply(&mut self, request: Request, told: Reply) {
        let now = self.now;
        let call = &mut self.calls[request as usize];
        if call.reply.is_some() {
            self.duplicate_replies
                .push(format!("call {request} answered twice"));
        }
        call.reply = Some((now, told));
    }

    fn transmit(&mut self, index: usize, to: &Vm, message: &Message) {
        self.messages += 1;
        if self.count_bytes {
            self.bytes += postcard::to_allocvec(message).expect("encodes").len() as u64;
        }
        let from = self.nodes[index].incarnation.clone();
        if !(self.filter)(&from, to, message) {
            return;
        }
        let Some(target) = self.nodes.iter().position(|n| n.incarnation.vm == *to) else {
            return;
        };
        if self.nodes[target].partition != self.nodes[index].partition {
            return;
        }
        let mut copies = 1 + u8::from(self.rng.random_bool(self.network.duplication));
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

    /// Sends the current list to every node, each after its own delay.
    pub fn publish_list(&mut self) {
        let peer = |index: &usize| Peer {
            incarnation: self.nodes[*index].incarnation.clone(),
            zone: "a".into(),
            state: State::Live,
        };
        let view = View::new(self.listed.iter().map(peer));
        for index in 0..self.nodes.len() {
            let (low, high) = self.network.list_delay;
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
        let Some(at) = node.participant.wake() else {
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

    /// Returns the violated guarantees.
    pub fn violations(&self) -> Vec<String> {
        let mut violations = self.duplicate_replies.clone();
        for (key, runs) in &self.executions {
            if runs.len() > 1 {
                violations.push(format!("key {key} ran {} times: {runs:?}", runs.len()));
            }
        }
        for (number, call) in self.calls.iter().enumerate() {
            violations.extend(self.call_violation(number, call));
        }
        violations
    }

    fn call_violation(&self, number: usize, call: &Call) -> Option<String> {
        let (at, told) = call.reply.as_ref()?;
        let runs = self
            .executions
            .get(&call.key)
            .map_or(&[][..], Vec::as_slice);
        match told {
            Reply::Record(record) => {
                let first = runs
                    .first()
                    .map(|(_, call)| format!("run {call}").into_bytes());
                (record.body != first)
                    .then(|| format!("call {number} got another answer than the first run's"))
            }
            Reply::Refused(Outcome::NotRun, _) => {
                let ran = runs.iter().find(|(run, by)| {
                    *run <= *at || *by == number || self.calls[*by].started <= *at
                });
                ran.map(|run| {
                    format!("call {number} was refused as not-run at {at:?}, but {run:?} ran")
                })
            }
            Reply::Refused(Outcome::Mismatch, _) => {
                let ran = call.written_at.is_some();
                ran.then(|| format!("call {number} ran with another body"))
            }
            Reply::Refused(Outcome::Unknown, _) => None,
        }
    }
}
