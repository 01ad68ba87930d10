//! Requests of callers.

use std::time::Duration;

use exchange::fleet::Presence;
use exchange::owner::{AdmissionRequest, Event};
use rand::RngExt;
use wire::{Time, Upstream, Vm};

use super::super::support::{ms, target};
use super::{ENGINES, Node, Scheduled, Simulation};

/// Number of adapters that requests use; a few of them get most requests.
const ADAPTERS: f64 = 60.0;

/// Time for which a request waits for its adapter, and delay between two tries.
const REQUEST_TIMEOUT: Duration = ms(3_000);
const RETRY_DELAY: Duration = ms(100);

impl Simulation {
    /// Starts a request of a caller at a node. It asks the owner of an engine until its adapter is
    /// resident.
    pub(super) fn new_request(&mut self, node: usize) {
        let pause = ms(self.random.random_range(20..120));
        self.schedule(pause, Scheduled::NewRequest(node));
        let known = &self.nodes[node];
        if !known.alive || self.now < known.frozen_until {
            return;
        }
        let draw: f64 = self.random.random_range(0.0..1.0);
        let adapter = format!("a{}", (ADAPTERS * draw * draw * draw) as usize);
        let index = adapter.bytes().map(usize::from).sum::<usize>() % ENGINES;
        let engine_id = self.engines[index].id.clone();
        let request = AdmissionRequest {
            target: target(&adapter),
            prefill: ms(20),
            decode: ms(self.random.random_range(100..2_000)),
            rank: 1,
        };
        self.requested += 1;
        let (process, until) = (known.process, self.now + REQUEST_TIMEOUT);
        self.try_request(node, process, engine_id, request, until);
    }

    /// Sends a request to the engine if its adapter is resident there; otherwise requests a load
    /// and tries again later.
    pub(super) fn try_request(
        &mut self,
        node: usize,
        process: u32,
        engine_id: Upstream,
        request: AdmissionRequest,
        until: Time,
    ) {
        let now = self.now;
        let holder = self.nodes[node].owner.holder(&engine_id).cloned();
        let holder = holder.and_then(|vm| self.find(&vm));
        // The owner admits the request. Without a reachable owner it is sent unasked.
        let held = holder.is_none_or(|holder| {
            let Node { owner, fleet, .. } = &mut self.nodes[holder];
            let grant = owner.admit(now, fleet, &engine_id, &request);
            grant.is_none_or(|grant| matches!(grant.presence, Presence::Held(_)))
        });
        let engine = self.engines.iter_mut().find(|known| known.id == engine_id);
        let started =
            held && engine.is_some_and(|engine| engine.start_request(now, &request.target));
        if let Some(holder) = holder.filter(|_| held && !started) {
            self.nodes[holder]
                .owner
                .release_admission(now, &engine_id, &request.target);
        }
        if started {
            self.served += 1;
            let until = now + request.decode;
            self.nodes[node]
                .owner
                .request_started(&engine_id, &request.target, until);
            self.schedule(
                request.decode,
                Scheduled::EndRequest(node, process, engine_id, request),
            );
        } else if self.now < until {
            let event = Event::RequestLoad {
                engine: engine_id.clone(),
                target: request.target.clone(),
                rank: 1,
            };
            self.step(node, event);
            self.schedule(
                RETRY_DELAY,
                Scheduled::RetryRequest(node, process, engine_id, request, until),
            );
        }
    }

    pub(super) fn find(&self, vm: &Vm) -> Option<usize> {
        let found = self.nodes.iter().position(|node| node.vm == *vm);
        found
            .filter(|index| self.nodes[*index].alive && self.nodes[*index].frozen_until <= self.now)
    }

    pub(super) fn end_request(
        &mut self,
        node: usize,
        process: u32,
        engine_id: &Upstream,
        request: &AdmissionRequest,
    ) {
        let engine = self.engines.iter_mut().find(|known| known.id == *engine_id);
        engine.expect("known engine").end_request(&request.target);
        let now = self.now;
        let known = &mut self.nodes[node];
        if !known.alive || known.process != process {
            return;
        }
        known.owner.request_ended(engine_id, &request.target);
        if !known
            .owner
            .release_admission(now, engine_id, &request.target)
            && let Some(holder) = known.owner.holder(engine_id).cloned()
            && let Some(index) = self.find(&holder)
        {
            self.nodes[index]
                .owner
                .release_admission(now, engine_id, &request.target);
        }
    }
}
