//! An engine's stand-in, served in the form that [`upstream::engine::Http`] asks for.
//!
//! - [`store`] is the rate-limited weight store that engines share.
//! - `batch` holds the residents, the queue and the batch, and makes one step at a time.
//! - `sequence` is one completion on its way through them.
//! - `cache` holds prompt prefixes and publishes its events late and with gaps.
//! - `routes` turns requests into calls of these, [`faults`] says what goes wrong.
//!
//! An answer's tokens are [`answer::token`](crate::answer::token) of the adapter version that the
//! instance's path names. While the engine is leaving it answers new completions and loads with
//! 503 and `x-leaving: true`. Admin requests: `GET /admin/log` (JSON lines), `GET /admin/state`
//! (a JSON [`Totals`]), `PUT /admin/faults` (a JSON [`Faults`]; missing fields are reset),
//! `POST /admin/restart` (cold restart) and `POST /admin/crash`. During a cold start connections
//! are refused, those of the admin included.

mod batch;
mod cache;
pub mod faults;
mod routes;
mod sequence;
pub mod store;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval, sleep};

pub use batch::Totals;
pub use faults::{Faults, Loads};
pub use store::Store;

use crate::http::{self, Connections};
use crate::lock;
use crate::log::{End, Kind, Log};
use batch::Batch;

/// Settings of the stand-in.
#[derive(Clone, Debug)]
pub struct Config {
    /// The upstream's id.
    pub name: String,
    /// Where to listen.
    pub listen: SocketAddr,
    /// The base model's name.
    pub base: String,
    /// Adapters that it can hold.
    pub slots: usize,
    /// Sequences that a step can hold.
    pub max_batch: usize,
    /// Time of a step; each sequence of the batch gives one token in it.
    pub step: Duration,
    /// Steps that a prompt takes whose prefix is not cached.
    pub prefill: u32,
    /// Prefixes that the cache holds.
    pub prefixes: usize,
    /// Time from a crash or restart until the engine serves again.
    pub cold_start: Duration,
    /// A prompt that contains it crashes the engine on its first step.
    pub crash_marker: String,
    /// Age of the load report.
    pub report_lag: Duration,
    /// Delay of cache events.
    pub event_lag: Duration,
    /// One of this many cache events is lost, on average; 0 for none.
    pub event_loss: u32,
    /// Whether it refuses old fencing numbers.
    pub check_fence: bool,
    /// Seed of what is random.
    pub seed: u64,
}

impl Config {
    /// Returns the settings of an engine named `name` on a free port.
    pub fn new(name: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            listen: crate::site::loopback(0),
            base: "base".to_owned(),
            slots: 8,
            max_batch: 16,
            step: Duration::from_millis(5),
            prefill: 2,
            prefixes: 64,
            cold_start: Duration::from_secs(2),
            crash_marker: "<crash>".to_owned(),
            report_lag: Duration::from_millis(200),
            event_lag: Duration::from_millis(300),
            event_loss: 20,
            check_fence: true,
            seed: 1,
        }
    }
}

/// A running stand-in. It stops when it is dropped.
#[derive(Debug)]
pub struct Server {
    core: Arc<Core>,
    server: http::Server,
    stepping: JoinHandle<()>,
}

impl Server {
    /// Starts an engine that loads from `store`.
    ///
    /// # Errors
    ///
    /// Returns the system's error where the address cannot be bound.
    pub async fn start(config: Config, store: Store) -> io::Result<Self> {
        let listen = config.listen;
        let core = Arc::new(Core::new(config, store));
        let connections = core.connections.clone();
        let server = http::Server::start(listen, core.clone(), connections).await?;
        let stepping = tokio::spawn(step(core.clone()));
        Ok(Self {
            core,
            server,
            stepping,
        })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the run log.
    pub fn log(&self) -> &Log {
        &self.core.log
    }

    /// Returns what was counted since the start.
    pub fn totals(&self) -> Totals {
        lock(&self.core.batch).totals()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.core.set_faults(faults);
    }

    /// Restarts the engine cold: connections, residents and queue are lost.
    pub fn restart(&self) {
        self.core.restart();
    }

    /// Stops listening and drops every connection.
    pub fn shutdown(&self) {
        self.stepping.abort();
        self.server.shutdown();
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.shutdown();
    }
}

/// State of the stand-in.
#[derive(Debug)]
struct Core {
    config: Config,
    store: Store,
    log: Log,
    batch: Mutex<Batch>,
    faults: Mutex<Faults>,
    connections: Connections,
}

impl Core {
    fn new(config: Config, store: Store) -> Self {
        let log = Log::new(&*config.name);
        let batch = Mutex::new(Batch::new(&config, log.clone()));
        let faults = Faults {
            check_fence: Some(config.check_fence),
            ..Faults::default()
        };
        Self {
            config,
            store,
            log,
            batch,
            faults: Mutex::new(faults),
            connections: Connections::default(),
        }
    }

    fn faults(&self) -> Faults {
        *lock(&self.faults)
    }

    fn set_faults(&self, mut faults: Faults) {
        faults.check_fence = faults.check_fence.or(Some(self.config.check_fence));
        let before = std::mem::replace(&mut *lock(&self.faults), faults);
        if before.leaving != faults.leaving {
            let leaving = faults.leaving;
            self.log.push(Kind::Leaving { leaving });
        }
    }

    fn restart(&self) {
        lock(&self.batch).lose_all(End::Crashed, self.config.cold_start);
        self.connections.refuse_for(self.config.cold_start);
    }
}

/// Makes step after step until the engine is stopped.
async fn step(core: Arc<Core>) {
    let mut ticks = interval(core.config.step);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let faults = core.faults();
        if faults.stall {
            continue;
        }
        let step = lock(&core.batch).step(&faults);
        if step == batch::Step::Crash {
            core.restart();
            sleep(core.config.cold_start).await;
        }
    }
}
