//! Generated traces of calls, with Zipf popularity, a request rate and popularity order that change
//! each term, and an adapter that suddenly becomes the most requested.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wire::{Model, Priority, Time};

use super::Call;

/// Parameters of a generated trace.
#[derive(Clone, Debug)]
pub struct Shape {
    pub seed: u64,
    pub nodes: usize,
    pub adapters: usize,
    pub exponent: f64,
    /// Average requests per second.
    pub rate: f64,
    /// Fraction by which the rate is lowered in even terms and raised in odd ones.
    pub swing: f64,
    pub term: Duration,
    pub length: Duration,
    /// Minimum and maximum decoding steps of an answer.
    pub steps: (u32, u32),
    /// Time from which an otherwise unused adapter is requested, and its requests per second.
    pub hotspot: Option<(Time, f64)>,
}

/// Generates the calls of a trace, ordered by arrival time.
pub fn calls(shape: &Shape) -> Vec<Call> {
    let mut rng = StdRng::seed_from_u64(shape.seed);
    let mut sums = Vec::with_capacity(shape.adapters);
    let mut sum = 0.0;
    for rank in 1..=shape.adapters {
        sum += (rank as f64).powf(-shape.exponent);
        sums.push(sum);
    }
    let mut calls = Vec::new();
    let mut now = 0.0;
    while now < shape.length.as_secs_f64() {
        let term = (now / shape.term.as_secs_f64()) as usize;
        let swing = if term.is_multiple_of(2) {
            1.0 - shape.swing
        } else {
            1.0 + shape.swing
        };
        let extra = shape.hotspot.filter(|(at, _)| now >= at.as_secs_f64());
        let extra = extra.map_or(0.0, |(_, rate)| rate);
        let rate = shape.rate * swing + extra;
        now += -(1.0 - rng.random::<f64>()).ln() / rate;
        let hot = rng.random::<f64>() * rate < extra;
        let point = rng.random::<f64>() * sum;
        let rank = sums.partition_point(|s| *s < point).min(shape.adapters - 1);
        // Each term moves a third of the adapters to other ranks in the popularity order.
        let moved = rank.is_multiple_of(3);
        let place = if moved {
            (rank + term * 37) % shape.adapters
        } else {
            rank
        };
        let adapter = if hot { shape.adapters } else { place };
        let priority = match rng.random_range(0..10) {
            0 => Priority::Urgent,
            1..7 => Priority::Normal,
            _ => Priority::Routine,
        };
        let timeout = match priority {
            Priority::Urgent => 15,
            Priority::Normal => 30,
            Priority::Routine => 60,
        };
        calls.push(Call {
            id: calls.len() as u64 + 1,
            at: Duration::from_secs_f64(now),
            node: rng.random_range(0..shape.nodes),
            model: Model::new(format!("adapter-{adapter}"), "1"),
            priority,
            steps: rng.random_range(shape.steps.0..=shape.steps.1),
            timeout: Duration::from_secs(timeout),
        });
    }
    calls
}

/// Bounds on the results of any policy for a trace.
#[derive(Clone, Copy, Debug)]
pub struct Bound {
    /// Upper bound of the batch efficiency when every request starts on arrival. It assumes that the
    /// sequences of each moment run on the fewest engines whose batches and slots hold them.
    pub efficiency: f64,
    /// Lower bound of the loads per request: those of Belady's algorithm, which knows all future
    /// requests, on a single cache with the slots of all engines.
    pub loads: f64,
}

/// Computes the bounds of a trace for engines with `slots` slots and batches of `batch` sequences.
pub fn bound(calls: &[Call], engines: usize, slots: usize, batch: usize, step: Duration) -> Bound {
    Bound {
        efficiency: efficiency(calls, slots, batch, step),
        loads: belady(calls, engines * slots),
    }
}

fn efficiency(calls: &[Call], slots: usize, batch: usize, step: Duration) -> f64 {
    let mut changes: Vec<(Time, i64, &Model)> = Vec::new();
    for call in calls {
        changes.push((call.at, 1, &call.model));
        changes.push((call.at + step * call.steps, -1, &call.model));
    }
    changes.sort();
    let mut active: std::collections::HashMap<&Model, i64> = std::collections::HashMap::new();
    let (mut running, mut last) = (0_i64, Time::ZERO);
    let (mut work, mut capacity) = (0.0, 0.0);
    for (at, change, model) in changes {
        let span = (at - last).as_secs_f64();
        let by_batch = (running as usize).div_ceil(batch);
        let by_slots = active.len().div_ceil(slots);
        work += span * running as f64;
        capacity += span * (by_batch.max(by_slots) * batch) as f64;
        last = at;
        running += change;
        let count = active.entry(model).or_default();
        *count += change;
        if *count == 0 {
            active.remove(model);
        }
    }
    work / capacity
}

fn belady(calls: &[Call], slots: usize) -> f64 {
    let mut next = vec![usize::MAX; calls.len()];
    let mut seen: std::collections::HashMap<&Model, usize> = std::collections::HashMap::new();
    for (index, call) in calls.iter().enumerate().rev() {
        next[index] = seen.insert(&call.model, index).unwrap_or(usize::MAX);
    }
    let mut cache: Vec<(usize, &Model)> = Vec::new();
    let mut loads = 0;
    for (index, call) in calls.iter().enumerate() {
        if let Some(entry) = cache.iter_mut().find(|(_, model)| *model == &call.model) {
            entry.0 = next[index];
            continue;
        }
        loads += 1;
        if cache.len() >= slots {
            let farthest = (0..cache.len()).max_by_key(|i| cache[*i].0).unwrap();
            cache.swap_remove(farthest);
        }
        cache.push((next[index], &call.model));
    }
    f64::from(loads) / calls.len() as f64
}
