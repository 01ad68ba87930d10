//! The load: classes of requests, and what became of them.

use std::time::Duration;

use rand::rngs::StdRng;
use rand_distr::{Distribution, Exp, LogNormal};

use super::super::support::ms;

/// A class of requests.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    pub name: &'static str,
    /// Requests per second.
    pub rate: f64,
    pub rank: u8,
    pub latency_target: Duration,
    /// Time for which its callers wait for an answer.
    pub deadline: Duration,
    /// Mean of the prefill time, and its largest value.
    pub prefill: (Duration, Duration),
    /// Mean time from the end of prefill to the end of the answer.
    pub decode: Duration,
}

impl Class {
    /// Draws a prefill time: log-normal, as lengths of prompts are.
    pub fn draw_prefill(&self, random: &mut StdRng) -> Duration {
        const SIGMA: f64 = 1.0;
        let mean = self.prefill.0.as_secs_f64();
        let lengths = LogNormal::new(mean.ln() - SIGMA * SIGMA / 2.0, SIGMA).expect("valid");
        let drawn = Duration::from_secs_f64(lengths.sample(random));
        drawn.clamp(ms(2), self.prefill.1)
    }

    /// Draws the time of an answer: exponential, as numbers of tokens are.
    pub fn draw_decode(&self, random: &mut StdRng) -> Duration {
        let times = Exp::new(1.0 / self.decode.as_secs_f64()).expect("valid");
        Duration::from_secs_f64(times.sample(random))
    }
}

/// What became of a caller's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The first event came within the latency target.
    InTime,
    /// The first event came later.
    Late,
    /// It was refused within an eighth of the latency target, and its caller did not return.
    RefusedAtOnce,
    /// It was refused, returned and was refused again.
    RefusedTwice,
    /// It was held for longer and then refused.
    RefusedAfterWait,
    /// Its caller left.
    GivenUp,
}

/// A finished request.
#[derive(Clone, Copy, Debug)]
pub struct Record {
    pub class: &'static str,
    /// When its caller first sent it.
    pub arrived: Duration,
    pub prefill: Duration,
    pub outcome: Outcome,
}

/// The finished requests of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    pub records: Vec<Record>,
    /// Loads from the store per second.
    pub loads_per_second: f64,
    /// Loads for requests, and those of them whose adapter another engine held or was loading.
    pub requested_loads: usize,
    pub duplicate_loads: usize,
    /// Loads of replicas, and those of them that were evicted without having served a request.
    pub replica_loads: usize,
    pub unused_replicas: usize,
    /// Loads that an engine had no slot for.
    pub overfills: usize,
    /// Mean number of adapters in use over all engines.
    pub places_in_use: f64,
}

impl Report {
    /// Returns the share of `outcome` among the requests that `filter` accepts.
    pub fn share(&self, outcome: Outcome, filter: impl Fn(&Record) -> bool) -> f64 {
        let all: Vec<&Record> = self
            .records
            .iter()
            .filter(|record| filter(record))
            .collect();
        let count = all
            .iter()
            .filter(|record| record.outcome == outcome)
            .count();
        count as f64 / all.len().max(1) as f64
    }

    /// Returns the share of requests that were served, in time or late.
    pub fn served(&self, filter: impl Fn(&Record) -> bool + Copy) -> f64 {
        self.share(Outcome::InTime, filter) + self.share(Outcome::Late, filter)
    }

    /// Returns the share of requests that waited for nothing.
    pub fn held_in_vain(&self) -> f64 {
        self.held_in_vain_among(|_| true)
    }

    /// Returns that share among the requests that `filter` accepts.
    pub fn held_in_vain_among(&self, filter: impl Fn(&Record) -> bool + Copy) -> f64 {
        self.share(Outcome::RefusedAfterWait, filter) + self.share(Outcome::GivenUp, filter)
    }

    /// Returns the prefill time from which a request of `class` is among the largest tenth.
    pub fn largest_tenth(&self, class: &str) -> Duration {
        let of_class = self.records.iter().filter(|record| record.class == class);
        let mut prefills: Vec<Duration> = of_class.map(|record| record.prefill).collect();
        prefills.sort_unstable();
        prefills[prefills.len() * 9 / 10]
    }
}

impl std::fmt::Display for Report {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut classes: Vec<&str> = self.records.iter().map(|record| record.class).collect();
        classes.sort_unstable();
        classes.dedup();
        writeln!(
            f,
            "{:.1} loads/s from the store, {} for requests, {} of them duplicates, {} replicas, {} of them unused, {:.1} adapters in use",
            self.loads_per_second,
            self.requested_loads,
            self.duplicate_loads,
            self.replica_loads,
            self.unused_replicas,
            self.places_in_use
        )?;
        for class in classes {
            let of = |record: &Record| record.class == class;
            writeln!(
                f,
                "{class:12} {:5} in time {:.3}, late {:.3}, refused at once {:.3}, twice {:.3}, \
                 after a wait {:.3}, given up {:.3}",
                self.records.iter().filter(|record| of(record)).count(),
                self.share(Outcome::InTime, of),
                self.share(Outcome::Late, of),
                self.share(Outcome::RefusedAtOnce, of),
                self.share(Outcome::RefusedTwice, of),
                self.share(Outcome::RefusedAfterWait, of),
                self.share(Outcome::GivenUp, of),
            )?;
        }
        Ok(())
    }
}
