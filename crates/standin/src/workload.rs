//! A seeded mix of requests, and callers that send it.
//!
//! Adapters are asked for by a Zipf law. Callers retry a call with a key at another node where the
//! answer did not come or was refused, as the users' callers do; each try is an [`Ask`] of its own.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::{Instant, sleep};
use wire::Priority;

use crate::caller::{Caller, Entry, key};
use crate::checker::{Ask, Outcome, What};

/// The shape of a mix.
#[derive(Clone, Debug)]
pub struct Mix {
    /// Adapters and versions, `ADAPTER@VERSION`, most popular first.
    pub models: Vec<String>,
    /// Exponent of the Zipf law; 0 asks for each model alike.
    pub skew: f64,
    /// Share of requests that are completions, from 0 to 1.
    pub completions: f64,
    /// Share of completions that are urgent, from 0 to 1; the others are normal or routine.
    pub urgent: f64,
    /// Tokens of a completion at most.
    pub tokens: u64,
    /// Path of calls that may not be repeated.
    pub checkout: String,
    /// Path of calls that may be repeated.
    pub lookup: String,
    /// Share of calls that may not be repeated, from 0 to 1.
    pub checkouts: f64,
    /// Prefix of idempotency keys, as the system's answer to an address question gives it.
    pub key_prefix: String,
}

/// A generator of requests: the same seed gives the same ones.
#[derive(Debug)]
pub struct Generator {
    mix: Mix,
    /// Sums of the models' weights up to each.
    weights: Vec<f64>,
    caller: String,
    number: u64,
    random: StdRng,
}

impl Generator {
    /// Makes the generator of one caller.
    pub fn new(mix: Mix, caller: impl Into<String>, seed: u64) -> Self {
        let weights = (1..=mix.models.len()).scan(0.0, |sum, rank| {
            *sum += (rank as f64).powf(-mix.skew);
            Some(*sum)
        });
        Self {
            weights: weights.collect(),
            mix,
            caller: caller.into(),
            number: 0,
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Returns the next request.
    pub fn next_request(&mut self) -> What {
        self.number += 1;
        if !self.mix.models.is_empty() && self.random.random_bool(self.mix.completions) {
            return self.completion();
        }
        self.call()
    }

    fn completion(&mut self) -> What {
        let priority = match self.random.random_bool(self.mix.urgent) {
            true => Priority::Urgent,
            false if self.random.random_bool(0.5) => Priority::Normal,
            false => Priority::Routine,
        };
        What::Completion {
            model: self.model(),
            prompt: format!("letter {} for {}", self.number, self.caller),
            tokens: self.random.random_range(1..=self.mix.tokens),
            priority,
        }
    }

    fn model(&mut self) -> String {
        let sum = self.weights.last().copied().unwrap_or_default();
        let drawn = self.random.random_range(0.0..sum);
        let index = self.weights.partition_point(|weight| *weight <= drawn);
        self.mix.models[index].clone()
    }

    fn call(&mut self) -> What {
        let once = self.random.random_bool(self.mix.checkouts);
        let path = if once {
            &self.mix.checkout
        } else {
            &self.mix.lookup
        };
        What::Call {
            method: if once { "POST" } else { "GET" }.to_owned(),
            path: path.clone(),
            key: once.then(|| self.mix.key_prefix.clone() + &key(&self.caller, self.number)),
            body: if once {
                format!("pair {}", self.number)
            } else {
                String::new()
            },
            repeatable: !once,
        }
    }
}

/// How a caller goes on.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Time between a final answer and the next request.
    pub pause: Duration,
    /// Time before a retry.
    pub retry: Duration,
    /// Tries of one call at most.
    pub tries: u32,
    /// Time after which no new request is begun.
    pub span: Duration,
}

/// Sends requests to `entries` in turn, one at a time, and returns what came of them.
///
/// # Panics
///
/// Panics where `entries` is empty.
pub async fn drive(
    caller: Caller,
    mut generator: Generator,
    entries: Vec<Entry>,
    pace: Pace,
) -> Vec<Ask> {
    let begun = Instant::now();
    let mut asks = Vec::new();
    let mut turn = generator.random.random_range(0..entries.len());
    while begun.elapsed() < pace.span {
        let what = generator.next_request();
        for number in 1..=pace.tries.max(1) {
            let ask = caller.ask(&entries[turn], what.clone()).await;
            let again = is_tried_again(&ask) && number < pace.tries;
            asks.push(ask);
            turn = (turn + 1) % entries.len();
            if !again {
                break;
            }
            sleep(pace.retry).await;
        }
        sleep(pace.pause).await;
    }
    asks
}

/// Calls with a key and calls that may be repeated are tried again.
fn is_tried_again(ask: &Ask) -> bool {
    let safe = matches!(
        ask.what,
        What::Call { key: Some(_), .. }
            | What::Call {
                repeatable: true,
                ..
            }
    );
    safe && !matches!(ask.outcome, Outcome::Answered(_))
}
