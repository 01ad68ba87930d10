//! Simulated engine and weight store on virtual time.

use std::collections::VecDeque;
use std::time::Duration;

use placement::event::{Instance, InstanceUse};
use wire::{Fence, Model, Priority, Time};

/// Time of one decoding step.
pub const STEP: Duration = Duration::from_millis(100);

/// A sequence that runs or is queued on an engine.
#[derive(Clone, Debug)]
pub struct Sequence {
    pub request: u64,
    pub node: usize,
    pub instance: Instance,
    pub priority: Priority,
    pub steps_left: u32,
}

/// An adapter instance that occupies a slot of an engine.
#[derive(Clone, Debug)]
pub struct Resident {
    pub instance: Instance,
    pub model: Model,
    pub loading: bool,
    pub used: Time,
}

/// An engine with continuous batching and a limited number of adapter slots.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    pub boot: u64,
    pub highest_fence: Fence,
    pub slots: usize,
    pub batch: usize,
    pub residents: Vec<Resident>,
    pub running: Vec<Sequence>,
    pub queue: VecDeque<Sequence>,
    pub steps: u64,
    pub sequences: u64,
}

impl Engine {
    pub fn resident(&self, instance: &str) -> Option<usize> {
        self.residents.iter().position(|r| *r.instance == *instance)
    }

    /// Counts the sequences that are queued or running on an instance.
    pub fn in_use(&self, instance: &str) -> u32 {
        let all = self.running.iter().chain(&self.queue);
        all.filter(|s| *s.instance == *instance).count() as u32
    }

    pub fn load(&self) -> u32 {
        (self.running.len() + self.queue.len()) as u32
    }

    pub fn loads(&self) -> usize {
        self.residents.iter().filter(|r| r.loading).count()
    }

    pub fn report(&self) -> Vec<InstanceUse> {
        let ready = self.residents.iter().filter(|r| !r.loading);
        ready
            .map(|r| InstanceUse {
                instance: r.instance.clone(),
                in_use: self.in_use(&r.instance),
            })
            .collect()
    }

    /// Runs one decoding step and returns the sequences that it completes.
    ///
    /// Queued sequences join the batch in order of priority, then of arrival.
    pub fn step(&mut self, now: Time) -> Vec<Sequence> {
        while self.running.len() < self.batch && !self.queue.is_empty() {
            let best = (0..self.queue.len()).min_by_key(|i| (self.queue[*i].priority, *i));
            self.running.extend(best.and_then(|i| self.queue.remove(i)));
        }
        if self.running.is_empty() {
            return Vec::new();
        }
        self.steps += 1;
        self.sequences += self.running.len() as u64;
        for sequence in &mut self.running {
            sequence.steps_left -= 1;
        }
        for resident in &mut self.residents {
            if self.running.iter().any(|s| s.instance == resident.instance) {
                resident.used = now;
            }
        }
        let (done, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|s| s.steps_left == 0);
        self.running = running;
        done
    }

    /// Restarts the engine with no instance loaded and returns the sequences that this cuts off.
    pub fn restart(&mut self) -> Vec<Sequence> {
        self.boot += 1;
        self.highest_fence = 0;
        self.residents.clear();
        self.running.drain(..).chain(self.queue.drain(..)).collect()
    }
}

/// A weight store that limits the rate of loads, and slows down when more than `in_flight` loads
/// run at once.
#[derive(Clone, Debug)]
pub struct WeightStore {
    pub rate: f64,
    pub in_flight: usize,
    pub load: Duration,
    /// Number of loads that may start at once after an idle period.
    pub burst: f64,
    pub loads_in_flight: usize,
    pub peak_loads_in_flight: usize,
    pub starts: Vec<Time>,
    next: Time,
}

impl WeightStore {
    pub fn new(rate: f64, in_flight: usize, load: Duration) -> Self {
        Self {
            rate,
            in_flight,
            load,
            burst: in_flight as f64,
            loads_in_flight: 0,
            peak_loads_in_flight: 0,
            starts: Vec::new(),
            next: Time::ZERO,
        }
    }

    /// Starts a load on an engine that has `loads` loads in progress, this one included, and returns
    /// the time at which it completes.
    pub fn begin(&mut self, now: Time, loads: usize) -> Time {
        let gap = Duration::from_secs_f64(1.0 / self.rate);
        let allowance = gap.mul_f64(self.burst);
        self.next = self.next.max(now) + gap;
        let start = self.next.saturating_sub(allowance).max(now);
        self.starts.push(now);
        self.loads_in_flight += 1;
        self.peak_loads_in_flight = self.peak_loads_in_flight.max(self.loads_in_flight);
        let slow =
            (self.loads_in_flight as f64 / self.in_flight as f64).max(1.0) * loads.max(1) as f64;
        start + self.load.mul_f64(slow)
    }
}
