//! Counts of a run.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::{Value, json};

use super::{Answer, Planned};

/// Significant digits of the histograms.
const DIGITS: u8 = 3;

/// Quantiles that are reported.
const QUANTILES: [f64; 4] = [0.5, 0.95, 0.99, 0.999];

/// What a run gave.
#[derive(Clone, Debug)]
pub struct Report {
    first: BTreeMap<&'static str, Histogram<u64>>,
    gaps: Histogram<u64>,
    tokens: u64,
    whole: u64,
    refused: BTreeMap<String, u64>,
    cut: u64,
    wrong: u64,
    lost: u64,
    elapsed: Duration,
    cpu_seconds: f64,
    memory_bytes: f64,
}

impl Default for Report {
    fn default() -> Self {
        Self {
            first: BTreeMap::new(),
            gaps: histogram(),
            tokens: 0,
            whole: 0,
            refused: BTreeMap::new(),
            cut: 0,
            wrong: 0,
            lost: 0,
            elapsed: Duration::ZERO,
            cpu_seconds: 0.0,
            memory_bytes: 0.0,
        }
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new(DIGITS).expect("the library takes three digits")
}

impl Report {
    pub(super) fn add(&mut self, planned: &Planned, answer: Answer) {
        match answer {
            Answer::Whole { first, gaps } => {
                self.whole += 1;
                self.tokens += 1 + gaps.len() as u64;
                let by_priority = self.first.entry(planned.priority.name());
                record(by_priority.or_insert_with(histogram), first);
                for gap in gaps {
                    record(&mut self.gaps, gap);
                }
            }
            Answer::Refused(outcome) => *self.refused.entry(outcome).or_default() += 1,
            Answer::Cut => self.cut += 1,
            Answer::Wrong => self.wrong += 1,
            Answer::Lost => self.lost += 1,
        }
    }

    pub(super) fn close(&mut self, elapsed: Duration, cpu_seconds: f64, memory_bytes: f64) {
        self.elapsed = elapsed;
        self.cpu_seconds = cpu_seconds;
        self.memory_bytes = memory_bytes;
    }

    /// Returns the number of answers that were wrong, cut or never came.
    pub fn faults(&self) -> u64 {
        self.cut + self.wrong + self.lost
    }

    /// Returns the number of whole answers.
    pub fn whole(&self) -> u64 {
        self.whole
    }

    /// Returns the report as JSON; times are in microseconds.
    pub fn to_json(&self) -> Value {
        let first = self
            .first
            .iter()
            .map(|(name, times)| ((*name).to_owned(), quantiles(times)));
        json!({
            "whole": self.whole,
            "refused": self.refused,
            "cut": self.cut,
            "wrong": self.wrong,
            "lost": self.lost,
            "tokens": self.tokens,
            "seconds": self.elapsed.as_secs_f64(),
            "tokens_per_second": self.tokens_per_second(),
            "first_token_us": first.collect::<serde_json::Map<_, _>>(),
            "token_gap_us": quantiles(&self.gaps),
            "nodes_cpu_seconds": self.cpu_seconds,
            "nodes_memory_bytes_max": self.memory_bytes,
            "tokens_per_cpu_second": self.tokens_per_cpu_second(),
        })
    }

    fn tokens_per_second(&self) -> f64 {
        self.tokens as f64 / self.elapsed.as_secs_f64().max(f64::EPSILON)
    }

    fn tokens_per_cpu_second(&self) -> Option<f64> {
        (self.cpu_seconds > 0.0).then(|| self.tokens as f64 / self.cpu_seconds)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} whole, {:?} refused, {} cut, {} wrong, {} lost in {:.1?}",
            self.whole, self.refused, self.cut, self.wrong, self.lost, self.elapsed
        )?;
        for (name, times) in &self.first {
            writeln!(f, "first token, {name}: {}", line(times))?;
        }
        writeln!(f, "between tokens: {}", line(&self.gaps))?;
        write!(f, "{:.0} tokens/s", self.tokens_per_second())?;
        if let Some(rate) = self.tokens_per_cpu_second() {
            write!(
                f,
                ", {rate:.0} tokens per CPU second of the nodes, {:.1} MB at most in one",
                self.memory_bytes / 1e6
            )?;
        }
        Ok(())
    }
}

fn line(times: &Histogram<u64>) -> String {
    let parts = QUANTILES.map(|quantile| {
        let time = Duration::from_micros(times.value_at_quantile(quantile));
        format!("p{} {time:.2?}", quantile * 100.0)
    });
    parts.join(", ")
}

fn quantiles(times: &Histogram<u64>) -> Value {
    let parts = QUANTILES.map(|quantile| {
        (
            format!("p{}", quantile * 100.0),
            times.value_at_quantile(quantile).into(),
        )
    });
    Value::Object(parts.into_iter().collect())
}

fn record(times: &mut Histogram<u64>, time: Duration) {
    let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    // The histogram grows as needed; only a time beyond its range of 64 bits would not fit.
    let _ = times.record(micros);
}
