//! Attempts of a request: outcomes, retries, upstream health and poison requests.
//!
//! - [`attempt`] tracks one attempt from its queue to its end and reports the end exactly once.
//! - [`culprit`] finds what requests that crash their upstreams have in common, and refuses them.
//! - [`outcome`] is the only place that decides what an ended attempt means for the caller.
//! - [`retry`] decides what a request does after a failed attempt, within its budgets.
//! - [`health`] decides which upstreams may be tried, and how many requests each may have.
//! - [`poison`] refuses a request before it crashes a third upstream.
//! - [`silence`] decides when a request leaves an upstream that is silent.
//!
//! The table of failure points and outcomes is in `docs/outcomes.md`.

pub mod attempt;
pub mod culprit;
pub mod health;
mod inquiry;
pub mod outcome;
pub mod poison;
pub mod retry;
pub mod silence;

pub use attempt::Attempt;
pub use culprit::CulpritDetector;
pub use health::Health;
pub use outcome::{Kind, Outcome};
pub use poison::PoisonDetector;
pub use retry::Retry;
