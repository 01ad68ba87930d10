//! The side towards callers and operators.
//!
//! [`listener`] accepts connections within limits, by [`tls`] where the settings name a certificate. [`handler`] sorts callers' requests by path:
//! `model` places completions and streams their answers, `service` passes plain calls through,
//! `address` tells which nodes to use. Every refusal is a [`Problem`] with a machine-read
//! outcome. [`operators`] answers on an address of its own.

mod address;
mod body;
pub mod caller;
mod gate;
pub mod handler;
pub mod identity;
pub mod listener;
mod model;
pub mod operators;
pub mod problem;
pub mod reply;
mod service;
pub mod tls;

pub use body::{Body, Cut, Sender, Unsent};
pub use caller::Caller;
pub use handler::Front;
pub use operators::Operators;
pub use problem::{Outcome, Problem};
