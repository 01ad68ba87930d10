//! Decides from the logs of stand-ins and callers whether the system kept its promises.
//!
//! - [`record`] is what callers and nodes tell: requests with their outcomes, shutdowns, and
//!   configuration revisions published and taken.
//! - The stand-ins' own [`log`](crate::log) says what truly ran.
//! - [`check`] holds one against the other and returns every [`Breach`], one promise at a time.
//!
//! A call is found again in the stand-ins' logs by its request id, which its caller chooses afresh
//! for each time it asks, also when it repeats a call under the same idempotency key. A completion
//! is found by its prompt, which has to be unique in a run: a system may give its attempts ids of
//! its own.

pub mod record;

mod calls;
mod nodes;
mod streams;

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use wire::rank;

use crate::log::Entry;
pub use record::{Ask, Node, Outcome, What};

/// A promise of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Promise {
    /// Each completion runs on the adapter and version that its request named.
    RightModel,
    /// An adapter in use is not evicted.
    NoEvictionInUse,
    /// A caller receives the whole answer to its own request.
    WholeOwnAnswer,
    /// A request refused with `not-run` did not run.
    NotRunIsTrue,
    /// A call that may not be repeated runs at most once.
    AtMostOnce,
    /// A leaving upstream gets no new work after a few seconds.
    LeavingIsShed,
    /// A graceful shutdown cuts no request.
    ShutdownCutsNothing,
    /// A configuration revision is in force everywhere within seconds and never reverts.
    ConfigurationHolds,
    /// Urgent work does not wait behind less urgent work.
    UrgentFirst,
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Breach {
    /// The promise.
    pub promise: Promise,
    /// The request, upstream or node that it concerns.
    pub subject: String,
    /// What was seen.
    pub detail: String,
}

/// Times that the promises leave open.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time for a leaving upstream to be shed.
    pub shed: Duration,
    /// Time for a configuration revision to be in force everywhere.
    pub spread: Duration,
    /// Time by which less urgent work may have been asked for later, and yet begin before urgent
    /// work for the same model, because it was under way already.
    pub overtake: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            shed: Duration::from_secs(5),
            spread: Duration::from_secs(17),
            overtake: Duration::from_millis(500),
        }
    }
}

/// All that is known of a run.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Log entries of all stand-ins, in any order.
    pub entries: Vec<Entry>,
    /// What callers asked and got.
    pub asks: Vec<Ask>,
    /// What is known of nodes and configuration.
    pub nodes: Vec<Node>,
}

/// Returns every broken promise, sorted.
pub fn check(evidence: &Evidence, limits: &Limits) -> Vec<Breach> {
    let mut breaches = Vec::new();
    streams::right_model(evidence, &mut breaches);
    streams::whole_own_answer(evidence, &mut breaches);
    streams::urgent_first(evidence, limits.overtake, &mut breaches);
    calls::not_run_is_true(evidence, &mut breaches);
    calls::at_most_once(evidence, &mut breaches);
    nodes::no_eviction_in_use(evidence, &mut breaches);
    nodes::leaving_is_shed(evidence, limits.shed, &mut breaches);
    nodes::shutdown_cuts_nothing(evidence, &mut breaches);
    nodes::configuration_holds(evidence, limits.spread, &mut breaches);
    breaches.sort();
    breaches.dedup();
    breaches
}

impl Evidence {
    /// Returns the completions asked for by the hashes of their prompts.
    fn asks_by_prompt(&self) -> HashMap<u64, &Ask> {
        let completions = self.asks.iter().filter_map(|ask| match &ask.what {
            What::Completion { prompt, .. } => Some((rank::hash(prompt), ask)),
            What::Call { .. } => None,
        });
        completions.collect()
    }
}

impl Breach {
    fn new(promise: Promise, subject: impl Into<String>, detail: impl Into<String>) -> Self {
        Self {
            promise,
            subject: subject.into(),
            detail: detail.into(),
        }
    }
}

fn micros(time: Duration) -> u64 {
    time.as_micros() as u64
}
