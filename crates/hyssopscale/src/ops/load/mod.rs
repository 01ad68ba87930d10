//! `hyssopctl load`: open-loop callers against nodes, or against an engine directly to compare.
//!
//! Requests start at times drawn before the run and wait for nothing, so that a slow answer delays
//! no later request, and each latency counts from the time at which its request was due: the
//! report has no coordinated omission. `plan` draws the requests, [`run_request`] sends one and
//! checks that its answer is whole, `report` counts.

mod plan;
mod report;
mod request;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hyper::Request;
use tokio::task::JoinSet;
use tokio::time::Instant;

pub use plan::{Plan, Planned};
pub use report::Report;
pub use request::{Answer, run_request};

use super::{Error, Output};
use crate::client;

/// Name of the metric that counts a node's processor time.
const CPU_METRIC: &str = "hyssopscale_process_cpu_seconds_total ";

/// Name of the metric that tells a node's memory.
const MEMORY_METRIC: &str = "hyssopscale_process_resident_bytes ";

/// Where requests go.
#[derive(Clone, Debug)]
pub enum Target {
    /// Nodes, by any of their addresses for callers; the others are asked for.
    Nodes(SocketAddr),
    /// An engine that holds this instance, without a node between.
    Engine(SocketAddr, String),
}

/// What to run.
#[derive(Clone, Debug)]
pub struct Config {
    /// Where requests go.
    pub target: Target,
    /// Operators' addresses of nodes whose processor time and memory are reported.
    pub operators: Vec<SocketAddr>,
    /// Header with the caller's name, or its token.
    pub caller: Credential,
    /// The requests.
    pub plan: Plan,
    /// Time limit of a request.
    pub timeout: Duration,
    /// Whether texts are compared with what the stand-in of an engine answers.
    pub verify: bool,
}

/// How a caller is known.
#[derive(Clone, Debug)]
pub enum Credential {
    /// By a bearer token.
    Token(String),
    /// By name, where the nodes trust it.
    Name(String),
}

impl Credential {
    /// Adds the credential to a request.
    pub fn apply(&self, request: hyper::http::request::Builder) -> hyper::http::request::Builder {
        match self {
            Self::Token(token) => request.header("authorization", format!("Bearer {token}")),
            Self::Name(name) => request.header("x-caller", name),
        }
    }
}

/// Runs the load and prints its report.
///
/// # Errors
///
/// Returns an [`Error`] where no node can be asked for addresses, or [`Error::Found`] where an
/// answer was wrong or cut.
pub async fn run(config: Config, output: Output) -> Result<(), Error> {
    let report = measure(config).await?;
    match output {
        Output::Json => println!("{}", report.to_json()),
        Output::Table => println!("{report}"),
    }
    match report.faults() {
        0 => Ok(()),
        count => Err(Error::Found(format!(
            "{count} answer(s) were wrong, cut or unfinished"
        ))),
    }
}

/// Runs the load and returns its report.
///
/// # Errors
///
/// Returns an [`Error`] where no node can be asked for addresses.
pub async fn measure(config: Config) -> Result<Report, Error> {
    let addresses = match &config.target {
        Target::Nodes(node) => addresses(*node, &config.caller).await?,
        Target::Engine(engine, _) => vec![*engine],
    };
    let before = usage(&config.operators).await;
    let report = Arc::new(Mutex::new(Report::default()));
    let config = Arc::new(config);
    let begun = Instant::now();
    let mut running = JoinSet::new();
    for (number, planned) in config.plan.draw().into_iter().enumerate() {
        tokio::time::sleep_until(begun + planned.at).await;
        let address = addresses[number % addresses.len()];
        let (config, report) = (config.clone(), report.clone());
        running.spawn(async move {
            let answer = run_request(&config, address, number, &planned, begun).await;
            let mut report = report.lock().unwrap_or_else(PoisonError::into_inner);
            report.add(&planned, answer);
        });
        while running.try_join_next().is_some() {}
    }
    while running.join_next().await.is_some() {}
    let elapsed = begun.elapsed();
    let after = usage(&config.operators).await;
    let mut report = report
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    report.close(elapsed, after.0 - before.0, after.1);
    Ok(report)
}

async fn addresses(node: SocketAddr, caller: &Credential) -> Result<Vec<SocketAddr>, Error> {
    let request = caller.apply(Request::get("/v1/addresses"));
    let answer = client::send(node, request, "").await?;
    let document: serde_json::Value =
        serde_json::from_slice(&answer.body).map_err(|_| Error::Refused(answer.text()))?;
    let list = document["addresses"].as_array().into_iter().flatten();
    let list: Vec<SocketAddr> = list
        .filter_map(|address| address.as_str()?.parse().ok())
        .collect();
    if list.is_empty() {
        Err(Error::Refused(answer.text()))
    } else {
        Ok(list)
    }
}

/// Returns the processor seconds that all nodes have used, and the largest memory of one in bytes.
async fn usage(operators: &[SocketAddr]) -> (f64, f64) {
    let (mut cpu, mut memory) = (0.0, 0.0_f64);
    for node in operators {
        let Ok(answer) = client::send(*node, Request::get("/metrics"), "").await else {
            continue;
        };
        let text = answer.text();
        cpu += metric(&text, CPU_METRIC);
        memory = memory.max(metric(&text, MEMORY_METRIC));
    }
    (cpu, memory)
}

fn metric(text: &str, name: &str) -> f64 {
    let value = text.lines().find_map(|line| line.strip_prefix(name));
    value
        .and_then(|value| value.trim().parse().ok())
        .unwrap_or(0.0)
}
