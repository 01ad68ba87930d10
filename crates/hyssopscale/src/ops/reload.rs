//! Takes over settings that change while a node runs.
//!
//! Only the seeds are taken over. Everything else is read at the next start.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use gateway::control::Handle;
use log::{info, warn};
use node::journal::DECISION;
use settings::Settings;
use tokio::signal::unix::Signal;

use super::{Error, read};

/// Interval between two reads of the settings file, which may change without a signal.
const INTERVAL: Duration = Duration::from_secs(1);

/// A settings file and what it held when it was last read.
pub struct Source {
    path: PathBuf,
    overrides: Vec<(String, String)>,
    text: String,
    settings: Settings,
}

/// What a read of the settings file has found.
#[derive(Debug)]
pub enum Change {
    /// The file is as it was.
    None,
    /// The file names these seeds.
    Seeds {
        /// The seeds.
        seeds: Vec<SocketAddr>,
        /// Whether other settings differ from those that the node runs with.
        restart: bool,
    },
    /// The file has changed, and the node already has the seeds that it names.
    Other {
        /// Whether other settings differ from those that the node runs with.
        restart: bool,
    },
    /// The file cannot be read or is faulty. The former settings stand.
    Faulty(Error),
}

impl Source {
    /// Reads and checks a settings file with overrides.
    ///
    /// # Errors
    ///
    /// Returns every fault found, or why the file cannot be read.
    pub fn open(path: PathBuf, overrides: Vec<(String, String)>) -> Result<Self, Error> {
        let text = read(&path)?;
        let settings = Settings::parse_with(&text, overrides.clone())?;
        Ok(Self {
            path,
            overrides,
            text,
            settings,
        })
    }

    /// Returns the settings in force.
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Reads the file again. A faulty text is reported once.
    pub fn check(&mut self) -> Change {
        let text = match read(&self.path) {
            Ok(text) if text == self.text => return Change::None,
            Ok(text) => text,
            Err(error) => return self.faulty(String::new(), error),
        };
        match Settings::parse_with(&text, self.overrides.clone()) {
            Ok(settings) => {
                self.text = text;
                self.replace(settings)
            }
            Err(error) => self.faulty(text, error.into()),
        }
    }

    fn faulty(&mut self, text: String, error: Error) -> Change {
        if text == self.text {
            return Change::None;
        }
        self.text = text;
        Change::Faulty(error)
    }

    /// Takes the seeds over. The other settings remain those that the node was started with.
    fn replace(&mut self, read: Settings) -> Change {
        let seeds = read
            .exchange
            .as_ref()
            .map(|exchange| exchange.seeds.clone());
        let mut applied = self.settings.clone();
        if let (Some(exchange), Some(seeds)) = (&mut applied.exchange, &seeds) {
            exchange.seeds.clone_from(seeds);
        }
        let restart = applied != read;
        if applied == self.settings {
            return Change::Other { restart };
        }
        self.settings = applied;
        Change::Seeds {
            seeds: seeds.unwrap_or_default(),
            restart,
        }
    }
}

/// Reads the settings at each signal and once an interval, and tells the node of new seeds.
pub async fn watch(mut source: Source, mut signal: Signal, control: Handle) {
    loop {
        let signalled = tokio::select! {
            received = signal.recv() => received.is_some(),
            () = tokio::time::sleep(INTERVAL) => false,
        };
        match source.check() {
            Change::None if !signalled => {}
            Change::None => info!(target: DECISION, changed = false; "reload"),
            Change::Other { restart } => {
                info!(target: DECISION, changed = true, restart; "reload");
            }
            Change::Seeds { seeds, restart } => {
                info!(target: DECISION, changed = true, seeds:?, restart; "reload");
                control.set_seeds(seeds);
            }
            Change::Faulty(error) => warn!("the settings stay as they were: {error}"),
        }
    }
}
