//! Simulations and their nodes at the start.

use std::collections::BinaryHeap;
use std::time::Duration;

use exchange::Fleet;
use exchange::owner::{self, Owner};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wire::Time;

use super::super::support::{config, ms, owner_config};
use super::discovery::Discovery;
use super::{ENGINES, Engine, NODES, Node, Scheduled, Simulation};

/// Longest time between the starts of two nodes of a fleet.
const START_SPREAD: Duration = ms(300);

impl Simulation {
    /// Creates a simulation whose engines refuse outdated fencing tokens.
    pub fn new(seed: u64) -> Self {
        Self::with_fencing(seed, true)
    }

    /// Creates a simulation whose engines do not check fencing tokens.
    pub fn unfenced(seed: u64) -> Self {
        Self::with_fencing(seed, false)
    }

    /// Creates a simulation of `nodes` nodes that may claim as long as they reach the platform,
    /// each of which is told of the others within `discovery` after the start, and lists them as
    /// live within `listing`.
    pub fn cold_start(seed: u64, nodes: usize, discovery: Duration, listing: Duration) -> Self {
        let mut simulation = Self::empty(seed, true);
        simulation.informed = true;
        simulation.add_nodes(nodes);
        for index in 0..nodes {
            for other in (0..nodes).filter(|other| *other != index) {
                let found = discovery.mul_f64(simulation.random.random_range(0.0..1.0));
                let listed = listing.mul_f64(simulation.random.random_range(0.0..1.0));
                let listed = listed.max(found);
                simulation.nodes[index].unknown_until[other] = simulation.now + found;
                simulation.nodes[index].unseen_until[other] = simulation.now + listed;
                for after in [found, listed] {
                    simulation.schedule(after + ms(1), Scheduled::Join(index, 0));
                }
            }
        }
        simulation
    }

    /// Creates a simulation of `nodes` nodes that start, of whom one is a seed and two seeds are down,
    /// with this probability that a message is lost.
    pub fn seeded_start(seed: u64, nodes: usize, loss: f64) -> Self {
        let mut simulation = Self::empty(seed, true);
        simulation.informed = true;
        simulation.loss = loss;
        simulation.discovery = Some(Discovery::new(seed, nodes));
        simulation.add_nodes(nodes);
        for index in 0..nodes {
            let started = START_SPREAD.mul_f64(simulation.random.random_range(0.0..1.0));
            simulation.schedule(started, Scheduled::Discover(index));
            for other in (0..nodes).filter(|other| *other != index) {
                simulation.nodes[index].unseen_until[other] = Time::MAX;
            }
        }
        simulation
    }

    /// Creates a simulation of `nodes` nodes that start under seeds which are gone, and so never hear of each other.
    pub fn apart(seed: u64, nodes: usize, fenced: bool) -> Self {
        let mut simulation = Self::empty(seed, fenced);
        simulation.apart = true;
        for index in 0..nodes {
            let wait = START_SPREAD.mul_f64(simulation.random.random_range(0.0..1.0));
            simulation.now += wait;
            simulation.add_node(index, nodes);
        }
        simulation.schedule(ms(300), Scheduled::View);
        for index in 0..nodes {
            simulation.schedule_isolation(index, 0);
        }
        simulation
    }

    fn with_fencing(seed: u64, fenced: bool) -> Self {
        let mut simulation = Self::empty(seed, fenced);
        simulation.add_nodes(NODES);
        simulation
    }

    fn empty(seed: u64, fenced: bool) -> Self {
        let engines = (0..ENGINES).map(|index| Engine::new(&format!("e{index}"), fenced));
        Self {
            now: ms(1_000),
            random: StdRng::seed_from_u64(seed),
            nodes: Vec::new(),
            engines: engines.collect(),
            queue: BinaryHeap::new(),
            scheduled: Vec::new(),
            loss: 0.0,
            delay: Duration::ZERO,
            informed: false,
            discovery: None,
            records_expire: false,
            apart: false,
            served: 0,
            requested: 0,
        }
    }

    pub(super) fn add_nodes(&mut self, count: usize) {
        for index in 0..count {
            self.add_node(index, count);
        }
        self.schedule(ms(300), Scheduled::View);
    }

    fn add_node(&mut self, index: usize, count: usize) {
        let mut node = self.new_node(index, 0);
        node.unseen_until = vec![Time::ZERO; count];
        node.unknown_until = vec![Time::ZERO; count];
        node.unlinked_until = vec![Time::ZERO; count];
        self.nodes.push(node);
        self.schedule(ms(10), Scheduled::Tick(index, 0));
        self.schedule(ms(1_500), Scheduled::NewRequest(index));
    }

    pub(super) fn new_node(&self, index: usize, process: u32) -> Node {
        let vm = format!("vm-{index}");
        let mut fleet = Fleet::default();
        for engine in &self.engines {
            fleet.apply_listing(self.now, engine.listing());
        }
        fleet.configure(&config(Vec::new()));
        let settings = owner::Config {
            engines_check_fences: self.engines.iter().all(|engine| engine.fenced),
            ..owner_config(&vm, index as u64 + 1)
        };
        Node {
            owner: Owner::new(settings),
            vm: vm.into(),
            fleet,
            wall: 1_800_000_000,
            started: self.now,
            process,
            alive: true,
            frozen_until: Time::ZERO,
            cut_since: Time::ZERO,
            cut_until: Time::ZERO,
            unseen_until: vec![Time::ZERO; self.nodes.len()],
            unknown_until: vec![Time::ZERO; self.nodes.len()],
            unlinked_until: vec![Time::ZERO; self.nodes.len()],
            orders_count_from: Time::ZERO,
        }
    }
}
