//! The interface to a model engine.
//!
//! - [`Engine`] is the narrow interface; [`Http`] drives an engine over the dynamic-LoRA protocol
//!   of the OpenAI-compatible engines.
//! - [`answer`] checks, event by event, that a streamed answer is whole, in order, and of the
//!   attempt and instance that were asked for.

pub mod answer;
mod chunk;
mod http;

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use wire::{Base, Caller, Fence, Priority};

pub use answer::Event;
pub(crate) use http::check_head;
pub use http::{Http, Stream};

use crate::error::Error;

/// Name under which an engine holds one adapter version; it may carry the owner's fencing number.
pub type Instance = Arc<str>;

/// Id of one attempt, unique over all nodes and incarnations.
pub type Attempt = Arc<str>;

/// An order to load an adapter version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Load {
    /// Name that requests will use.
    pub instance: Instance,
    /// Where the weights lie in the store.
    pub path: String,
    /// The base model that the adapter belongs to.
    pub base: Base,
    /// Fencing number of the order.
    pub fence: Fence,
}

/// An order to unload an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unload {
    /// The instance.
    pub instance: Instance,
    /// Fencing number of the order.
    pub fence: Fence,
}

/// What an engine is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Whole completions.
    Mixed,
    /// Prompts only.
    Prefill,
    /// Tokens after the prompt only.
    Decode,
}

/// An instance that an engine holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resident {
    /// The instance.
    #[serde(rename = "id")]
    pub instance: Instance,
    /// Where its weights came from.
    #[serde(rename = "root", default)]
    pub path: String,
    /// Its base model; absent for the base model itself.
    #[serde(rename = "parent", default)]
    pub base: Option<Base>,
    /// Requests that use it now, where the engine tells.
    #[serde(default)]
    pub in_use: Option<u32>,
    /// Fencing number of the order that loaded it, where the engine tells.
    #[serde(default)]
    pub fence: Option<Fence>,
}

/// A request for a completion.
#[derive(Clone, Debug, PartialEq)]
pub struct Completion {
    /// The instance that runs it.
    pub instance: Instance,
    /// The prompt.
    pub prompt: String,
    /// Tokens at most.
    pub max_tokens: u32,
    /// Its priority.
    pub priority: Priority,
    /// Id of this attempt.
    pub attempt: Attempt,
    /// The caller.
    pub caller: Caller,
    /// Tokens that the caller already has; the answer goes on from there.
    pub offset: u64,
    /// Sampling parameters that are passed through.
    pub parameters: Map<String, Value>,
}

/// An engine's load as it last measured it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Sequences in the batch.
    pub running: u32,
    /// Requests that wait for a place in the batch.
    pub waiting: u32,
    /// Sequences in the last step.
    pub batch: u32,
    /// Sequences that a step can hold.
    pub max_batch: u32,
    /// Adapters that the engine can hold.
    pub slots: u32,
    /// Adapters that it holds or is loading.
    pub used_slots: u32,
    /// Loads that run now.
    pub loading: u32,
    /// Milliseconds since the measurement.
    pub age_ms: u64,
    /// Number that changes when the engine restarts.
    pub start: u64,
    /// Highest fencing number seen, where the engine checks it.
    #[serde(default)]
    pub fence: Option<Fence>,
    /// What the engine is used for, where it tells.
    #[serde(default)]
    pub role: Option<Role>,
    /// Set once the engine takes no new work.
    #[serde(default)]
    pub leaving: bool,
}

impl Report {
    /// Returns the time since the measurement.
    pub fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms)
    }
}

/// What happened to a prompt prefix in an engine's cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Change {
    /// The prefix is cached.
    Stored {
        /// The instance that computed it.
        instance: Instance,
        /// Hash of the prefix.
        prefix: u64,
    },
    /// The prefix is gone.
    Removed {
        /// The instance that had computed it.
        instance: Instance,
        /// Hash of the prefix.
        prefix: u64,
    },
    /// Every prefix is gone.
    Cleared,
}

/// One cache event. Numbers that are missing were lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event since the engine's start.
    pub sequence: u64,
    /// What happened.
    #[serde(flatten)]
    pub change: Change,
}

/// Cache events as an engine publishes them: late and with gaps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Events {
    /// Number that changes when the engine restarts, which also resets the sequence.
    pub start: u64,
    /// The events, oldest first.
    pub events: Vec<CacheEvent>,
}

/// A streamed answer. Dropping it cancels the work.
pub trait Answer: Send + 'static {
    /// Returns the next event; `None` after [`Event::End`], which alone marks a whole answer.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] where the answer is cut, fails or is malformed.
    fn next(&mut self) -> impl Future<Output = Result<Option<Event>, Error>> + Send;

    /// Returns the next event if it has been received already.
    ///
    /// # Errors
    ///
    /// Returns what [`Answer::next`] returns.
    fn ready(&mut self) -> Option<Result<Event, Error>>;
}

/// A model engine.
pub trait Engine: Send + Sync + 'static {
    /// Its streamed answers.
    type Answer: Answer;

    /// Loads an adapter version and returns once it is resident.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Fenced`] for an old number, and an [`Error`] where the load failed or may
    /// not have happened.
    fn load(&self, order: Load) -> impl Future<Output = Result<(), Error>> + Send;

    /// Unloads an instance.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Fenced`] for an old number, [`Error::Absent`] where it is not resident.
    fn unload(&self, order: Unload) -> impl Future<Output = Result<(), Error>> + Send;

    /// Changes the engine's role.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Fenced`] for an old number.
    fn assign(&self, role: Role, fence: Fence) -> impl Future<Output = Result<(), Error>> + Send;

    /// Lists the resident instances.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] where the engine gives no usable answer.
    fn models(&self) -> impl Future<Output = Result<Vec<Resident>, Error>> + Send;

    /// Sends a completion and returns its answer once the response head is there.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] whose reach tells whether the request may have run.
    fn complete(
        &self,
        request: Completion,
    ) -> impl Future<Output = Result<Self::Answer, Error>> + Send {
        self.complete_if(request, || true)
    }

    /// Sends a completion, if `wanted` still holds when it can be written.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Withdrawn`] where it no longer holds, and what [`Engine::complete`] returns.
    fn complete_if(
        &self,
        request: Completion,
        wanted: impl FnOnce() -> bool + Send,
    ) -> impl Future<Output = Result<Self::Answer, Error>> + Send;

    /// Cancels an attempt; one that the engine does not know is passed over.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] where the engine cannot be told.
    fn cancel(&self, attempt: &str) -> impl Future<Output = Result<(), Error>> + Send;

    /// Reads the engine's load report.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] where the engine gives no usable answer.
    fn report(&self) -> impl Future<Output = Result<Report, Error>> + Send;

    /// Reads the number of the engine's start, through a peer too: what orders rest on is not read so.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] where the engine gives no usable answer.
    fn start(&self) -> impl Future<Output = Result<u64, Error>> + Send;

    /// Reads the cache events with a sequence number above `after`.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] where the engine gives no usable answer.
    fn events(&self, after: u64) -> impl Future<Output = Result<Events, Error>> + Send;

    /// Exports the KV cache of a running attempt.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Absent`] where the engine has none.
    fn export(&self, attempt: &str) -> impl Future<Output = Result<Bytes, Error>> + Send;

    /// Imports a KV cache for an attempt that is to follow.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] where the engine does not take it.
    fn import(&self, attempt: &str, cache: Bytes)
    -> impl Future<Output = Result<(), Error>> + Send;
}
