//! The requests of a run, drawn from a seed before it begins.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use wire::Priority;

/// What is drawn.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of the draw.
    pub seed: u64,
    /// Requests a second on average; their distances are exponentially distributed.
    pub rate: f64,
    /// Length of the run.
    pub duration: Duration,
    /// Models to name, most popular first.
    pub models: Vec<String>,
    /// Exponent of the models' popularity (Zipf); 0 for even shares.
    pub exponent: f64,
    /// Part of the requests that are urgent, from 0 to 1.
    pub urgent: f64,
    /// Part of the requests that are routine, from 0 to 1.
    pub routine: f64,
    /// Tokens of an answer.
    pub tokens: u64,
}

/// One request.
#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    /// When it is due, from the start of the run.
    pub at: Duration,
    /// The model that it names.
    pub model: String,
    /// Its priority.
    pub priority: Priority,
    /// Its prompt.
    pub prompt: String,
    /// Tokens of its answer.
    pub tokens: u64,
}

impl Plan {
    /// Draws the requests, in the order of their times; the same seed draws the same ones.
    pub fn draw(&self) -> Vec<Planned> {
        let mut random = SmallRng::seed_from_u64(self.seed);
        let weights = self.weights();
        let mut requests = Vec::new();
        let mut at = 0.0;
        loop {
            // The distance between arrivals of a Poisson process.
            at += -(1.0 - random.random::<f64>()).ln() / self.rate;
            if at >= self.duration.as_secs_f64() {
                return requests;
            }
            requests.push(Planned {
                at: Duration::from_secs_f64(at),
                model: self.model(&weights, random.random()),
                priority: self.priority(random.random()),
                prompt: format!("request {} of seed {}", requests.len(), self.seed),
                tokens: self.tokens,
            });
        }
    }

    /// Returns the cumulated popularity of the models.
    fn weights(&self) -> Vec<f64> {
        let mut sum = 0.0;
        let ranks = 1..=self.models.len();
        ranks
            .map(|rank| {
                sum += (rank as f64).powf(-self.exponent);
                sum
            })
            .collect()
    }

    fn model(&self, weights: &[f64], draw: f64) -> String {
        let total = weights.last().copied().unwrap_or(0.0);
        let index = weights.partition_point(|weight| *weight < draw * total);
        self.models
            .get(index)
            .cloned()
            .unwrap_or_else(|| "auto".to_owned())
    }

    fn priority(&self, draw: f64) -> Priority {
        if draw < self.urgent {
            Priority::Urgent
        } else if draw < self.urgent + self.routine {
            Priority::Routine
        } else {
            Priority::Normal
        }
    }
}
