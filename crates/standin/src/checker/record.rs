//! What callers and nodes tell of a run. Times are in microseconds since the Unix epoch.

use serde::{Deserialize, Serialize};
use wire::{Priority, Revision};

/// What a caller asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum What {
    /// A completion.
    Completion {
        /// Adapter and version, as `ADAPTER@VERSION`, that the request or its rule names.
        model: String,
        /// The prompt.
        prompt: String,
        /// Tokens asked for.
        tokens: u64,
        /// Its priority.
        priority: Priority,
    },
    /// A call to a plain service.
    Call {
        /// The method.
        method: String,
        /// Path and query.
        path: String,
        /// Idempotency key, if it has one.
        key: Option<String>,
        /// The body.
        body: String,
        /// Whether it may run more than once.
        repeatable: bool,
    },
}

/// What a caller got.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// An answer that was marked as whole, with its text.
    Answered(String),
    /// An answer that broke off visibly, with the text until then.
    Cut(String),
    /// Refused; the system says that it did not run.
    NotRun,
    /// The system says that it may have run.
    Unknown,
    /// The system says that it ran and failed.
    Failed,
    /// The connection broke without an answer.
    Dropped,
    /// No connection came about, so that nothing was asked.
    Unreached,
}

/// One request by a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Its id, unique among all requests.
    pub request: String,
    /// The caller.
    pub caller: String,
    /// The node that it was sent to.
    pub node: String,
    /// When it was sent.
    pub at_us: u64,
    /// When its outcome was known.
    pub until_us: u64,
    /// What it asked for.
    pub what: What,
    /// What came of it.
    pub outcome: Outcome,
}

/// Something known of a node or of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Node {
    /// The node was told to shut down gracefully.
    Shutdown {
        /// The node.
        node: String,
        /// When.
        at_us: u64,
    },
    /// The platform published a valid revision.
    Published {
        /// The revision.
        revision: Revision,
        /// When.
        at_us: u64,
    },
    /// The node had this revision in force.
    InForce {
        /// The node.
        node: String,
        /// The revision.
        revision: Revision,
        /// When.
        at_us: u64,
    },
    /// The node serves callers from here on.
    Serves {
        /// The node.
        node: String,
        /// When.
        at_us: u64,
    },
    /// The node serves no longer: stopped, killed, paused or cut off from the platform and peers.
    Gone {
        /// The node.
        node: String,
        /// When.
        at_us: u64,
    },
}
