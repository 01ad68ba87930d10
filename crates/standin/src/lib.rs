//! Stand-ins for the outside systems, for tests and demonstrations on the loopback interface.
//!
//! - [`platform`] serves configuration and the VM list, [`engine`] serves completions and holds
//!   adapters, [`service`] counts the runs of calls. [`site`] starts a whole set of them.
//! - [`fleet`] puts a link between each of several nodes and each thing that it talks to.
//! - [`proxy`] stands before any of them, or between nodes, and injects network faults.
//! - [`answer`] gives the text that an engine or service answers, so that a caller can check that
//!   an answer is whole, its own, and of the right adapter and version.
//! - [`log`] records what the stand-ins did, for a checker to read.
//! - [`caller`] asks the system and records what it got.
//! - [`workload`] draws requests by a seed and sends them, [`schedule`] draws faults by a seed
//!   and brings them about.
//! - [`checker`] decides from these logs and the callers' whether the system kept its promises.
//! - [`http`] is the small server that they share.
//!
//! Each kind has admin requests under `/admin/`, so that a test of other processes can drive it,
//! and the same calls in-process. Admin requests are served in every mode,
//! but not while an engine is down.

pub mod answer;
pub mod caller;
pub mod checker;
pub mod engine;
pub mod fleet;
pub mod http;
pub mod log;
pub mod platform;
pub mod proxy;
pub mod schedule;
pub mod service;
pub mod site;
pub mod workload;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks state that stays usable although another thread panicked.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
