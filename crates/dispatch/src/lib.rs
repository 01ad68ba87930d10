//! Attempts of one request: outcomes, retries, upstream health and poison requests.
//!
//! The parts meet like this:
//!
//! - [`attempt`] follows one attempt from its queue to its end and tells it exactly once.
//! - [`outcome`] is the one place that decides what an ended attempt means for the caller.
//! - [`retry`] decides what a request does after a failed attempt, within budgets.
//! - [`health`] says which upstreams may be tried, and how many requests each may have.
//! - [`poison`] refuses a request before it takes a third upstream down.
//!
//! The table of failure points and outcomes is in `docs/outcomes.md`.

pub mod attempt;
pub mod health;
pub mod outcome;
pub mod poison;
pub mod retry;

pub use attempt::Attempt;
pub use health::Health;
pub use outcome::{Kind, Outcome};
pub use poison::PoisonDetector;
pub use retry::Retry;
