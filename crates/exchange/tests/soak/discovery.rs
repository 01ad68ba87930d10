//! Discovery of the simulated nodes by their real state machine.

use std::net::SocketAddr;

use roster::seeds::{Action, Event, Message, Record, Seeds};
use wire::{Machine, Time, Vm};

/// Number of seed addresses, of which the first is a node's and the others are stale.
const SEEDS: usize = 3;

/// First address that belongs to no node.
const STALE: usize = 1_000;

/// A message on its way.
#[derive(Debug)]
pub struct Envelope {
    pub to: usize,
    pub from: SocketAddr,
    pub message: Message,
}

/// Discovery of all nodes.
pub struct Discovery {
    nodes: Vec<Seeds>,
}

fn address(index: usize) -> SocketAddr {
    ([10, 0, (index / 250) as u8, (index % 250) as u8], 80).into()
}

fn record(index: usize) -> Record {
    Record {
        vm: format!("vm-{index}").into(),
        zone: "zone".into(),
        peers: address(index),
        callers: address(index),
    }
}

impl Discovery {
    /// Creates nodes that are given the addresses of one live seed and two stale ones.
    pub fn new(seed: u64, count: usize) -> Self {
        let seeds: Vec<SocketAddr> = (0..SEEDS)
            .map(|index| address(if index == 0 { 0 } else { STALE + index }))
            .collect();
        let node = |index: usize| {
            let random = seed * 1_000 + index as u64;
            Seeds::new(record(index), seeds.clone(), random)
        };
        Self {
            nodes: (0..count).map(node).collect(),
        }
    }

    /// Returns whether `node` knows of `vm`.
    pub fn knows(&self, node: usize, vm: &Vm) -> bool {
        self.nodes[node].record(vm).is_some()
    }

    /// Lets time pass at `node`. Returns the messages that it sends, and whether its members changed.
    pub fn tick(&mut self, now: Time, node: usize) -> (Vec<Envelope>, bool) {
        self.step(now, node, Event::Tick)
    }

    /// Records that an owner's message of `vm` has arrived at `node`.
    pub fn heard(&mut self, now: Time, node: usize, vm: &Vm) {
        self.step(now, node, Event::Alive(vm.clone()));
    }

    /// Handles a message, as [`Self::tick`].
    pub fn receive(&mut self, now: Time, envelope: Envelope) -> (Vec<Envelope>, bool) {
        let Envelope { to, from, message } = envelope;
        let sender = (0..self.nodes.len()).find(|index| address(*index) == from);
        if let Some(sender) = sender {
            self.step(now, to, Event::Alive(record(sender).vm));
        }
        self.step(now, to, Event::Receive { from, message })
    }

    fn step(&mut self, now: Time, node: usize, event: Event) -> (Vec<Envelope>, bool) {
        let mut actions = Vec::new();
        self.nodes[node].step(now, event, &mut actions);
        let (mut sent, mut changed) = (Vec::new(), false);
        for action in actions {
            match action {
                Action::Members(_) => changed = true,
                Action::Send { to, message } => {
                    let recipient = (0..self.nodes.len()).find(|index| address(*index) == to);
                    sent.extend(recipient.map(|to| Envelope {
                        to,
                        from: address(node),
                        message,
                    }));
                }
            }
        }
        (sent, changed)
    }
}
