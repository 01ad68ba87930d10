//! Simulated lossy network: seeded, in virtual time, with all nodes in one process.
#![allow(dead_code, missing_docs)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use roster::random::Random;
use wire::{Frame, Incarnation, Time, Vm, seal};

/// State machines of one node.
pub trait Node {
    fn me(&self) -> &Incarnation;
    fn wake(&self) -> Option<Time>;
    fn tick(&mut self, now: Time);
    fn receive(&mut self, now: Time, frame: Frame);
    /// Takes the frames to send.
    fn frames(&mut self) -> Vec<Frame>;
}

/// Message fault rates.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fault {
    /// Messages lost, in percent.
    pub loss: u64,
    /// Messages duplicated, in percent.
    pub doubled: u64,
    /// Messages delayed by up to two seconds, in percent.
    pub late: u64,
}

/// Delivery time, tie-breaking number, index of the receiver, encoded frame.
type Delivery = (Time, u64, usize, Vec<u8>);

struct Host<N> {
    node: Option<N>,
    /// Start of the host's monotonic clock, different for each host.
    origin: Duration,
    paused_until: Time,
    inbox: Vec<Frame>,
}

pub struct Network<N> {
    pub now: Time,
    pub fault: Fault,
    hosts: Vec<Host<N>>,
    names: Vec<Vm>,
    random: Random,
    queue: BinaryHeap<Reverse<Delivery>>,
    cuts: Vec<(usize, usize)>,
    count: u64,
    pub bytes: u64,
    pub messages: u64,
    pub cpu: Duration,
}

pub fn vm(index: usize) -> Vm {
    format!("qld-south-{index:03}").into()
}

impl<N: Node> Network<N> {
    pub fn new(seed: u64, count: usize) -> Self {
        let mut random = Random::new(seed);
        let hosts = (0..count).map(|_| Host {
            node: None,
            origin: Duration::from_millis(random.number() % 100_000),
            paused_until: Time::ZERO,
            inbox: Vec::new(),
        });
        let hosts = hosts.collect();
        Self {
            now: Time::from_secs(1000),
            fault: Fault::default(),
            hosts,
            names: (0..count).map(vm).collect(),
            random,
            queue: BinaryHeap::new(),
            cuts: Vec::new(),
            count: 0,
            bytes: 0,
            messages: 0,
            cpu: Duration::ZERO,
        }
    }

    pub fn random(&mut self) -> &mut Random {
        &mut self.random
    }

    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Starts, restarts or, with `None`, kills the process on a VM.
    pub fn place(&mut self, index: usize, node: Option<N>) {
        let host = &mut self.hosts[index];
        host.node = node;
        host.inbox.clear();
        host.paused_until = Time::ZERO;
    }

    pub fn node(&self, index: usize) -> Option<&N> {
        self.hosts[index].node.as_ref()
    }

    pub fn nodes(&self) -> impl Iterator<Item = &N> {
        self.hosts.iter().filter_map(|host| host.node.as_ref())
    }

    /// Calls `act` with a running node and its local time, then sends the resulting frames.
    pub fn with(&mut self, index: usize, act: impl FnOnce(&mut N, Time)) {
        let host = &mut self.hosts[index];
        let now = self.now - host.origin;
        if let Some(node) = &mut host.node {
            let began = std::time::Instant::now();
            act(node, now);
            let frames = node.frames();
            self.cpu += began.elapsed();
            self.send(index, frames);
        }
    }

    pub fn pause(&mut self, index: usize, time: Duration) {
        self.hosts[index].paused_until = self.now + time;
    }

    pub fn paused(&self, index: usize) -> bool {
        self.hosts[index].paused_until > self.now
    }

    /// Breaks the link from one node to another, in this direction only.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cuts.push((from, to));
    }

    /// Partitions two groups from each other.
    pub fn split(&mut self, first: &[usize], second: &[usize]) {
        for &a in first {
            for &b in second {
                self.cuts.extend([(a, b), (b, a)]);
            }
        }
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    fn send(&mut self, from: usize, frames: Vec<Frame>) {
        for frame in frames {
            let to = self.names.binary_search(&frame.to).ok();
            let bytes = wire::frame::encode(&frame).expect("frames encode");
            self.bytes += (bytes.len() + seal::TAG_BYTES) as u64;
            self.messages += 1;
            let Some(to) = to.filter(|to| !self.cuts.contains(&(from, *to))) else {
                continue;
            };
            let copies = 1 + u64::from(self.random.number() % 100 < self.fault.doubled);
            for _ in 0..copies {
                if self.random.number() % 100 >= self.fault.loss {
                    self.deliver_later(to, bytes.clone());
                }
            }
        }
    }

    fn deliver_later(&mut self, to: usize, bytes: Vec<u8>) {
        let mut delay = 500 + self.random.number() % 1000;
        if self.random.number() % 100 < self.fault.late {
            delay += self.random.number() % 2_000_000;
        }
        self.count += 1;
        let at = self.now + Duration::from_micros(delay);
        self.queue.push(Reverse((at, self.count, to, bytes)));
    }

    /// Runs until `end`.
    pub fn run_until(&mut self, end: Time) {
        while let Some(at) = self.next().filter(|at| *at <= end) {
            self.now = at.max(self.now);
            self.deliver();
            for index in 0..self.hosts.len() {
                if self.due(index).is_some_and(|due| due <= self.now) {
                    self.wake(index);
                }
            }
        }
        self.now = end;
    }

    pub fn run(&mut self, time: Duration) {
        self.run_until(self.now + time);
    }

    /// Runs until `done` holds. Returns how long that took, or `None` after `limit`.
    pub fn run_till(
        &mut self,
        limit: Duration,
        mut done: impl FnMut(&Self) -> bool,
    ) -> Option<Duration> {
        let began = self.now;
        while self.now < began + limit {
            if done(self) {
                return Some(self.now - began);
            }
            self.run(Duration::from_millis(10));
        }
        None
    }

    fn next(&self) -> Option<Time> {
        let due = (0..self.hosts.len()).filter_map(|index| self.due(index));
        let delivery = self.queue.peek().map(|Reverse((at, ..))| *at);
        due.chain(delivery).min()
    }

    fn due(&self, index: usize) -> Option<Time> {
        let host = &self.hosts[index];
        let wake = host.node.as_ref()?.wake()?;
        Some((wake + host.origin).max(host.paused_until))
    }

    fn wake(&mut self, index: usize) {
        let inbox = std::mem::take(&mut self.hosts[index].inbox);
        for frame in inbox {
            self.with(index, |node, now| node.receive(now, frame));
        }
        self.with(index, N::tick);
    }

    fn deliver(&mut self) {
        while let Some(Reverse((at, ..))) = self.queue.peek()
            && *at <= self.now
            && let Some(Reverse((_, _, to, bytes))) = self.queue.pop()
        {
            let began = std::time::Instant::now();
            let frame: Frame = wire::frame::decode(&bytes).expect("frames decode");
            self.cpu += began.elapsed();
            if self.paused(to) {
                self.hosts[to].inbox.push(frame);
            } else {
                self.with(to, |node, now| node.receive(now, frame));
            }
        }
    }
}
