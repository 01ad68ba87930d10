//! Naive baseline policy: each node sends a request to the engine with the least reported load and
//! evicts the least recently used adapter. Upstreams have no owner, and loads have no budget.

use std::collections::HashMap;

use placement::event::Instance;
use rand::RngExt;
use wire::Model;

use super::engine::{Resident, Sequence};
use super::{Call, Fleet, Outcome, SimEvent};

#[derive(Debug)]
pub struct Naive {
    reported: Vec<u32>,
    /// Calls that wait for a model to load, per engine.
    waiting: Vec<HashMap<Model, Vec<Call>>>,
    /// Models that wait for a free slot, per engine.
    backlog: Vec<Vec<Model>>,
    names: u64,
}

impl Naive {
    pub fn new(engines: usize) -> Self {
        Self {
            reported: vec![0; engines],
            waiting: vec![HashMap::new(); engines],
            backlog: vec![Vec::new(); engines],
            names: 0,
        }
    }

    pub fn report(&mut self, engine: usize, load: u32) {
        self.reported[engine] = load;
    }
}

impl Fleet {
    pub fn naive_call(&mut self, call: &Call) {
        let least = self.naive.reported.iter().min().copied().unwrap_or(0);
        let best: Vec<usize> = (0..self.engines.len())
            .filter(|engine| self.naive.reported[*engine] == least)
            .collect();
        let engine = best[self.rng.random_range(0..best.len())];
        let residents = &self.engines[engine].residents;
        let here = residents.iter().find(|r| r.model == call.model);
        match here {
            Some(resident) if !resident.loading => {
                let instance = resident.instance.clone();
                self.naive_start(engine, call, instance);
            }
            Some(_) => self.naive_wait(engine, call),
            None => {
                self.naive_wait(engine, call);
                if !self.naive.backlog[engine].contains(&call.model) {
                    self.naive_load(engine, call.model.clone());
                }
            }
        }
    }

    fn naive_wait(&mut self, engine: usize, call: &Call) {
        let waiting = self.naive.waiting[engine].entry(call.model.clone());
        waiting.or_default().push(call.clone());
    }

    fn naive_start(&mut self, engine: usize, call: &Call, instance: Instance) {
        if self.now > call.at + call.timeout {
            return self.finish(call.id, Outcome::Refused);
        }
        let (_, started) = self.calls.get_mut(&call.id).unwrap();
        *started = Some(self.now);
        let stall = self.now - call.at;
        self.stats
            .stalls
            .entry(call.priority)
            .or_default()
            .push(stall);
        self.engines[engine].queue.push_back(Sequence {
            request: call.id,
            node: call.node,
            instance,
            priority: call.priority,
            steps_left: call.steps,
        });
    }

    fn naive_load(&mut self, engine: usize, model: Model) {
        let target = &mut self.engines[engine];
        if target.residents.len() >= target.slots {
            let ready = target.residents.iter().filter(|r| !r.loading);
            let Some(old) = ready.min_by_key(|r| r.used).map(|r| r.instance.clone()) else {
                return self.naive.backlog[engine].push(model);
            };
            self.stats.evictions += 1;
            self.stats.evictions_in_use += u64::from(target.in_use(&old) > 0);
            // Sequences of the evicted instance keep running, which favours the naive version.
            target.residents.retain(|r| r.instance != old);
        }
        self.stats.loads += 1;
        self.naive.names += 1;
        let instance: Instance = format!("{model}@{}", self.naive.names).into();
        self.engines[engine].residents.push(Resident {
            instance: instance.clone(),
            model: model.clone(),
            loading: true,
            used: self.now,
        });
        let ready = self.weights.begin(self.now, self.engines[engine].loads());
        let succeeded = !self.rng.random_bool(self.setup.failing);
        self.schedule(
            ready,
            SimEvent::Loaded(0, 1, engine, instance, model, 0, succeeded),
        );
    }

    pub fn naive_loaded(&mut self, engine: usize, model: &Model, succeeded: bool) {
        let residents = &self.engines[engine].residents;
        let here = residents.iter().find(|r| r.model == *model && !r.loading);
        if let Some(instance) = here.map(|r| r.instance.clone()).filter(|_| succeeded) {
            let waiting = self.naive.waiting[engine].remove(model);
            for call in waiting.unwrap_or_default() {
                self.naive_start(engine, &call, instance.clone());
            }
        } else if !succeeded {
            self.naive_load(engine, model.clone());
        }
        if let Some(next) = self.naive.backlog[engine].pop() {
            self.naive_load(engine, next);
        }
    }

    pub fn naive_restarted(&mut self, engine: usize) {
        if !self.setup.naive {
            return;
        }
        self.naive.backlog[engine].clear();
        let mut models: Vec<Model> = self.naive.waiting[engine].keys().cloned().collect();
        models.sort();
        for model in models {
            self.naive_load(engine, model);
        }
    }
}
