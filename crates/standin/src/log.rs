//! The run log of a stand-in: JSON lines, in the order of what happened.

use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use wire::Fence;

use crate::lock;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// Answered to the last event.
    Whole,
    /// The caller went away or cancelled.
    Cancelled,
    /// The upstream reported a failure.
    Failed,
    /// The upstream crashed or restarted.
    Crashed,
    /// The upstream broke the answer off.
    Cut,
}

/// Who asks for what.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// Id of the attempt.
    pub attempt: String,
    /// Id of the request.
    pub request: String,
    /// The caller.
    pub caller: String,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum Kind {
    /// A load began.
    Load {
        /// The instance.
        instance: String,
        /// Adapter and version of the weights.
        model: String,
        /// Fencing number of the order.
        fence: Fence,
    },
    /// A load ended well.
    Loaded {
        /// The instance.
        instance: String,
        /// Milliseconds from order to end.
        took_ms: u64,
    },
    /// A load failed.
    LoadFailed {
        /// The instance.
        instance: String,
    },
    /// An instance was unloaded by an order.
    Unloaded {
        /// The instance.
        instance: String,
        /// Adapter and version of the weights.
        model: String,
        /// Fencing number of the order.
        fence: Fence,
        /// Requests that used it at that moment.
        in_use: u32,
        /// Set where it was in use, which must never be.
        evicted_in_use: bool,
    },
    /// An order was refused for its fencing number.
    Fenced {
        /// Number of the order.
        fence: Fence,
        /// Highest number seen.
        newest: Fence,
    },
    /// A completion was taken.
    Start {
        /// Who asks.
        #[serde(flatten)]
        ticket: Ticket,
        /// The instance that it names.
        instance: String,
        /// Adapter and version that run it.
        model: String,
        /// Hash of its prompt, by [`wire::rank::hash`].
        prompt: u64,
        /// Its priority: 0 is urgent.
        priority: u8,
        /// Tokens that the caller already had.
        offset: u64,
    },
    /// A completion entered the batch for the first time.
    Admit {
        /// Who asks.
        #[serde(flatten)]
        ticket: Ticket,
        /// Hash of its prompt.
        prompt: u64,
        /// Its priority: 0 is urgent.
        priority: u8,
        /// Least urgent priority among those that wait on.
        waiting: Vec<u8>,
    },
    /// A completion or call ended.
    Finish {
        /// Who asked.
        #[serde(flatten)]
        ticket: Ticket,
        /// How.
        end: End,
        /// Tokens or body bytes given, a resumed offset included.
        given: u64,
    },
    /// A request was refused and did not run.
    Refused {
        /// Who asked.
        #[serde(flatten)]
        ticket: Ticket,
        /// Why.
        reason: String,
    },
    /// A service ran a call.
    Run {
        /// Who asks.
        #[serde(flatten)]
        ticket: Ticket,
        /// Idempotency key, where the call carries one.
        key: Option<String>,
        /// The method.
        method: String,
        /// Path and query.
        path: String,
        /// Runs of this key (or request id, without a key) so far, this one included.
        runs: u64,
    },
    /// The upstream crashed on a marked request.
    Crash {
        /// The request at fault.
        #[serde(flatten)]
        ticket: Ticket,
    },
    /// The upstream begins again without residents.
    Restart,
    /// The upstream takes no new work from here on, or takes it again.
    Leaving {
        /// Whether it is leaving.
        leaving: bool,
    },
}

/// One line of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Wall clock in microseconds since the Unix epoch.
    pub at_us: u64,
    /// Name of the stand-in.
    pub upstream: String,
    /// What happened.
    #[serde(flatten)]
    pub kind: Kind,
}

/// A shared log.
#[derive(Clone, Debug)]
pub struct Log {
    upstream: String,
    entries: Arc<Mutex<Vec<Entry>>>,
}

impl Log {
    /// Makes the empty log of `upstream`.
    pub fn new(upstream: impl Into<String>) -> Self {
        Self {
            upstream: upstream.into(),
            entries: Arc::default(),
        }
    }

    /// Appends what happened now.
    pub fn push(&self, kind: Kind) {
        // The clock is read under the lock, so that the times are in the order of the lines.
        let mut entries = lock(&self.entries);
        entries.push(Entry {
            at_us: now_us(),
            upstream: self.upstream.clone(),
            kind,
        });
    }

    /// Returns all entries so far.
    pub fn entries(&self) -> Vec<Entry> {
        lock(&self.entries).clone()
    }

    /// Returns all entries so far as JSON lines.
    pub fn lines(&self) -> String {
        let lines = self.entries().into_iter().map(|entry| {
            let line = serde_json::to_string(&entry).expect("entries have string keys");
            line + "\n"
        });
        lines.collect()
    }
}

/// Reads JSON lines; lines that are no entries are left out.
pub fn parse(lines: &str) -> Vec<Entry> {
    lines
        .lines()
        .filter_map(|line| serde_json::from_str(line).ok())
        .collect()
}

/// Returns the wall clock in microseconds since the Unix epoch.
pub fn now_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |time| time.as_micros() as u64)
}
