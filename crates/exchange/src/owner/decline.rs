//! Engines that a node does not claim because it cannot connect to them.

use std::time::Duration;

use wire::{Time, Upstream, Vm};

use super::{Action, Message, Owner};

/// Time without a direct path after which an engine is given up.
const UNREACHED_DELAY: Duration = Duration::from_millis(500);

/// What one peer declines.
#[derive(Clone, Debug)]
pub(super) struct Decline {
    vm: Vm,
    /// Sorted.
    engines: Vec<Upstream>,
    heard: Time,
}

/// Engines that this node or its peers cannot reach.
#[derive(Clone, Debug, Default)]
pub(super) struct Declines {
    /// Engines without a direct path from this node and since when, sorted.
    unreached: Vec<(Upstream, Time)>,
    /// Engines that the peers know this node to decline, sorted.
    announced: Vec<Upstream>,
    /// Sorted by VM.
    peers: Vec<Decline>,
}

impl Declines {
    /// Returns whether `vm` declines `engine`.
    fn includes(&self, vm: &Vm, engine: &Upstream) -> bool {
        let found = self.peers.binary_search_by(|peer| peer.vm.cmp(vm)).ok();
        found.is_some_and(|index| self.peers[index].engines.binary_search(engine).is_ok())
    }

    /// Returns the engines that this node declines.
    fn own(&self, now: Time) -> Vec<Upstream> {
        let declined = self
            .unreached
            .iter()
            .filter(|(_, since)| now >= *since + UNREACHED_DELAY);
        declined.map(|(engine, _)| engine.clone()).collect()
    }
}

impl Owner {
    /// Records whether this node connects to `engine` directly.
    pub(super) fn record_reach(&mut self, now: Time, engine: Upstream, direct: bool) {
        let unreached = &mut self.declines.unreached;
        match unreached.binary_search_by(|(id, _)| id.cmp(&engine)) {
            Ok(index) if direct => {
                unreached.remove(index);
            }
            Err(index) if !direct => unreached.insert(index, (engine, now)),
            _ => {}
        }
    }

    /// Gives up the engines that this node does not reach, and announces which those are.
    pub(super) fn decline_unreached(&mut self, now: Time, out: &mut Vec<Action>) {
        let lifetime = self.repetition_lifetime();
        self.declines
            .peers
            .retain(|peer| now < peer.heard + lifetime);
        let declined = self.declines.own(now);
        let mut released = Vec::new();
        for engine in &declined {
            let owned = self.owned_engine(engine);
            if let Some(owned) = owned {
                released.push((engine.clone(), owned.fence));
                // While it is declined others are in line before this node. Once its way is back nobody else is.
                self.give_up(engine, "unreached", out);
            }
        }
        if declined != self.declines.announced {
            self.declines.announced = declined;
            self.broadcast(&Message::Declines(self.declines.announced.clone()), out);
        }
        if !released.is_empty() {
            self.broadcast(&Message::Release(released), out);
        }
    }

    /// Repeats which engines this node declines.
    pub(super) fn announce_declines(&self, out: &mut Vec<Action>) {
        if !self.declines.announced.is_empty() {
            self.broadcast(&Message::Declines(self.declines.announced.clone()), out);
        }
    }

    /// Takes in which engines a peer declines.
    pub(super) fn handle_declines(&mut self, now: Time, from: &Vm, mut engines: Vec<Upstream>) {
        engines.sort_unstable();
        let peers = &mut self.declines.peers;
        match peers.binary_search_by(|peer| peer.vm.cmp(from)) {
            Ok(index) if engines.is_empty() => {
                peers.remove(index);
            }
            Ok(index) => {
                peers[index].engines = engines;
                peers[index].heard = now;
            }
            Err(_) if engines.is_empty() => {}
            Err(index) => peers.insert(
                index,
                Decline {
                    vm: from.clone(),
                    engines,
                    heard: now,
                },
            ),
        }
    }

    /// Returns whether `vm` may claim `engine`, as far as its path to the engine is concerned.
    pub(super) fn accepts(&self, now: Time, vm: &Vm, engine: &Upstream) -> bool {
        if *vm != self.config.me {
            return !self.declines.includes(vm, engine);
        }
        let unreached = &self.declines.unreached;
        let found = unreached.binary_search_by(|(id, _)| id.cmp(engine)).ok();
        found.is_none_or(|index| now < unreached[index].1 + UNREACHED_DELAY)
    }
}
