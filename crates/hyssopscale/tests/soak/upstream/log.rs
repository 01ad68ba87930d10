//! What upstreams tell of a run.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::time::Instant;

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
    pub upstream: ProcessName,
    pub at: Instant,
}

/// Rules that orders to engines have broken.
pub type Misorders = Arc<Mutex<Vec<String>>>;

pub type Runs = Arc<Mutex<Vec<Run>>>;

/// Names one process of an upstream; another one may have the same id.
pub type ProcessName = String;

/// One process of an upstream: which release it is of, and when it served.
#[derive(Clone, Debug)]
pub struct Service {
    pub upstream: ProcessName,
    pub pool: &'static str,
    pub release: String,
    pub from: Instant,
    pub until: Option<Instant>,
}

pub type Services = Arc<Mutex<Vec<Service>>>;

/// One arrival of a request, run or not.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub attempt: String,
    pub pool: &'static str,
    pub upstream: ProcessName,
    pub at: Instant,
}

pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// What an upstream has said of itself with the answer to an attempt.
#[derive(Clone, Debug)]
pub enum Said {
    /// That it leaves.
    Leaves,
    /// That it wants nothing for that time.
    Pause(Duration),
    /// That it takes so many requests a second from all nodes.
    Rate(f64),
}

/// One word of an upstream.
#[derive(Clone, Debug)]
pub struct Word {
    pub attempt: String,
    pub upstream: ProcessName,
    pub at: Instant,
    pub said: Said,
}

pub type Words = Arc<Mutex<Vec<Word>>>;

/// Paths of requests that crashed an upstream, and when.
pub type Crashes = Arc<Mutex<Vec<(String, Instant)>>>;

/// One order that has arrived at an engine, carried out or refused.
#[derive(Clone, Debug)]
pub struct Order {
    pub upstream: ProcessName,
    pub holder: String,
    pub fence: u64,
    /// Status of the answer.
    pub status: u16,
    pub at: Instant,
}

pub type Orders = Arc<Mutex<Vec<Order>>>;

/// One fall of a brittle upstream, and the attempts that it had turned away.
#[derive(Clone, Debug)]
pub struct Fall {
    pub pool: &'static str,
    pub attempts: Vec<String>,
    pub at: Instant,
}

pub type Falls = Arc<Mutex<Vec<Fall>>>;

/// What upstreams tell of a run.
#[derive(Clone, Default)]
pub struct Log {
    pub runs: Runs,
    pub arrivals: Arrivals,
    pub misorders: Misorders,
    pub orders: Orders,
    pub falls: Falls,
    pub words: Words,
    pub crashes: Crashes,
    pub services: Services,
}
