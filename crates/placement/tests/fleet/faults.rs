//! Fault injection: process pauses, VM failures, network partitions and engine restarts. Also the
//! heartbeats from which each node builds its view.

use std::time::Duration;

use placement::Event;
use wire::view::{Peer, State};
use wire::{Time, View};

use super::{Fleet, Outcome, SimEvent};

/// Interval between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a heartbeat after which a peer is suspect.
const SUSPECT_AFTER: Duration = Duration::from_millis(1600);
/// Time after which a failed VM is removed from the list of VMs.
const DELIST_DELAY: Duration = Duration::from_secs(8);

#[derive(Clone, Debug)]
pub enum Fault {
    /// Suspends the process of a node for a duration.
    Pause(usize, Duration),
    /// Resumes a paused process, with its state from before the pause.
    Resume(usize),
    /// Fails a VM. It is delisted and replaced later.
    Kill(usize),
    /// Removes a failed VM from the list of VMs.
    Delist(usize),
    /// Starts a new process in place of a failed VM.
    Replace(usize),
    /// Partitions the network: nodes of different groups receive nothing from each other.
    Partition(Vec<u32>),
    /// Restarts an engine, which loses its instances and sequences.
    Restart(usize),
}

impl Fleet {
    pub fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Pause(node, length) => {
                if self.nodes[node].alive {
                    let until = self.now + length;
                    self.nodes[node].paused = Some(until);
                    self.schedule(until, SimEvent::Fault(Fault::Resume(node)));
                }
            }
            Fault::Resume(node) => self.nodes[node].paused = None,
            Fault::Kill(node) => self.kill(node),
            Fault::Delist(node) => self.nodes[node].listed = self.nodes[node].alive,
            Fault::Replace(node) => {
                if !self.nodes[node].alive {
                    let start = self.nodes[node].me.start + 1;
                    self.nodes[node] = self.new_node(node, start);
                    self.initialize(node);
                }
            }
            Fault::Partition(groups) => {
                for (node, group) in self.nodes.iter_mut().zip(groups) {
                    node.group = group;
                }
            }
            Fault::Restart(engine) => {
                for cut in self.engines[engine].restart() {
                    self.finish(cut.request, Outcome::Cut);
                    let request = cut.request;
                    if !self.setup.naive {
                        self.deliver(cut.node, Event::Done { request });
                    }
                }
                self.naive_restarted(engine);
            }
        }
    }

    fn kill(&mut self, node: usize) {
        if !self.nodes[node].alive {
            return;
        }
        self.nodes[node].alive = false;
        let mut lost: Vec<u64> = self
            .calls
            .iter()
            .filter(|(id, (call, _))| call.node == node && !self.stats.outcomes.contains_key(id))
            .map(|(id, _)| *id)
            .collect();
        lost.sort_unstable();
        for request in lost {
            self.finish(request, Outcome::Cut);
        }
        for engine in &mut self.engines {
            engine.running.retain(|s| s.node != node);
            engine.queue.retain(|s| s.node != node);
        }
        self.schedule(
            self.now + DELIST_DELAY,
            SimEvent::Fault(Fault::Delist(node)),
        );
        let later = self.now + DELIST_DELAY * 2;
        self.schedule(later, SimEvent::Fault(Fault::Replace(node)));
    }

    /// Exchanges heartbeats between all nodes and updates the view of each.
    pub fn exchange_heartbeats(&mut self) {
        for index in 0..self.nodes.len() {
            self.receive_heartbeats(index);
            self.update_view(index);
        }
        self.schedule(self.now + HEARTBEAT_INTERVAL, SimEvent::Heartbeat);
    }

    fn receive_heartbeats(&mut self, index: usize) {
        if self.nodes[index].paused.is_some() {
            return;
        }
        for peer in 0..self.nodes.len() {
            let (a, b) = (&self.nodes[index], &self.nodes[peer]);
            if b.alive && b.paused.is_none() && a.group == b.group {
                self.nodes[index].heard[peer] = self.now;
            }
        }
    }

    /// Rebuilds a node's view from the heartbeats that it received, and delivers it to the planner
    /// if it changed.
    pub fn update_view(&mut self, index: usize) {
        if !self.nodes[index].alive || self.nodes[index].paused.is_some() {
            return;
        }
        let silent = |heard: Time| self.now.saturating_sub(heard) > SUSPECT_AFTER;
        let node = &self.nodes[index];
        let mut peers = Vec::new();
        let others = if self.nodes.len() < self.setup.nodes {
            0
        } else {
            self.nodes.len()
        };
        for peer in 0..others {
            let other = &self.nodes[peer];
            if other.listed {
                let state = if silent(node.heard[peer]) {
                    State::Suspect
                } else {
                    State::Live
                };
                peers.push(Peer {
                    incarnation: other.me.clone(),
                    zone: "zone".into(),
                    state,
                });
            }
        }
        let view = View::new(peers);
        if view != self.nodes[index].view {
            self.nodes[index].view = view.clone();
            self.deliver(index, Event::View(view));
        }
    }
}
