//! The side towards callers.

mod body;
pub mod listener;
pub mod problem;

pub use body::{Body, Cut, Sender};
pub use problem::{Outcome, Problem};
