//! What a case has seen so far, and its record.

use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// A request at a runner.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub attempt: String,
    pub runner: String,
    /// Whether the runner began to run it.
    pub ran: bool,
}

pub struct World {
    started: Instant,
    record: Mutex<File>,
    pub arrivals: Mutex<Vec<Arrival>>,
    /// When each runner crashed.
    pub crashes: Mutex<Vec<Duration>>,
    /// Requests that runners hang, with the time at which their channels were closed.
    pub hung: Mutex<Vec<(String, Duration)>>,
    /// How many of a hundred requests for streams the runners hang.
    pub hanging: AtomicU32,
    next: AtomicU64,
}

impl World {
    pub fn new(record: &str) -> std::io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            record: Mutex::new(File::create(record)?),
            arrivals: Mutex::default(),
            crashes: Mutex::default(),
            hung: Mutex::default(),
            hanging: AtomicU32::new(0),
            next: AtomicU64::new(1),
        })
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn number(&self) -> u64 {
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns a new id with that many hexadecimal digits at least.
    pub fn id(&self, prefix: &str) -> String {
        let number = self.number().wrapping_mul(0x9e37_79b9_7f4a_7c15);
        format!("{prefix}{number:016x}")
    }

    pub fn note(&self, text: &str) {
        let seconds = self.now().as_secs_f64();
        if let Ok(mut file) = self.record.lock() {
            let _ = writeln!(file, "{seconds:8.3} s  {text}");
        }
    }

    /// Writes a line to the record and to standard output.
    pub fn tell(&self, text: &str) {
        self.note(text);
        println!("{text}");
    }

    pub fn arrived(&self, attempt: &str, runner: &str, ran: bool) {
        let arrival = Arrival {
            at: self.now(),
            attempt: attempt.to_owned(),
            runner: runner.to_owned(),
            ran,
        };
        let what = if ran { "runs" } else { "rejects" };
        self.note(&format!("runner {runner} {what} {attempt}"));
        self.arrivals.lock().expect("unpoisoned").push(arrival);
    }

    pub fn sleep_until(&self, at: f64) {
        let at = Duration::from_secs_f64(at);
        std::thread::sleep(at.saturating_sub(self.now()));
    }
}

/// A folder that is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> std::io::Result<Self> {
        let name = format!(
            "review-{}-{:?}",
            std::process::id(),
            std::time::SystemTime::now()
                .duration_since(std::time::UNIX_EPOCH)
                .unwrap_or_default()
                .as_nanos()
        );
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}
