//! Operators' rules: parsing, checking and matching.
//!
//! A rule is one line of text that ends with a comment naming who requested it. The `parse`
//! module turns lines into typed statements. [`RuleSet::parse`] collects the statements of all
//! files, validates them against each other and, if any of them is invalid, rejects the whole
//! revision with every [`Diagnostic`].
//!
//! A [`RuleSet`] is immutable:
//!
//! - [`RuleSet::route`] selects the adapter and version for a [`RouteQuery`].
//! - [`RuleSet::service`] selects the pool for a call to a plain service.
//! - [`RuleSet::caller_by_token`] identifies a caller.
//! - [`RuleSet::upcoming_activations`] lists the routes that terms and dates are about to activate.
//! - [`RuleSet::warnings`], [`RuleSet::explain`] and [`diff()`] are for operators.
//!
//! # Statements
//!
//! ```text
//! base NAME store STORE
//! pool NAME base BASE                     | pool NAME service
//! adapter NAME base BASE version V path P | adapter NAME version V path P
//! rollout ADAPTER from V to V percent N
//! calendar NAME zone ZONE
//! term CALENDAR NAME from DATE until DATE
//! caller NAME token sha256:HEX[,…] trade T[,…] priority P | caller * trade T priority P
//! limit NAME|* rate N burst N concurrent N
//! route [caller C] [trade T] [priority P] to ADAPTER[@V]|named [when CONDITIONS]
//! service NAME pool POOL path /PATH[/*] [methods M,…] [once]
//! ```
//!
//! CONDITIONS is any combination of `term CALENDAR[:NAME]` or `holiday CALENDAR[:NAME]`,
//! `days mon-fri,sun`, `hours 06:00-18:00`, `zone ZONE`, `from DATE` and `until DATE`. A route
//! applies only while all of its conditions hold.
//!
//! # Precedence of routes
//!
//! 1. Routes that name the caller precede those that do not. Among them, routes that name the
//!    trade come first, then routes that name the priority.
//! 2. Among routes with the same caller, trade and priority, the earlier line comes first. Files
//!    are ordered as they were passed in. Conditions do not affect precedence.
//!
//! This order has no ties. A request that names an adapter matches only routes `to named` and
//! routes to that adapter. A request that names no adapter, or `auto`, matches only routes to an
//! adapter. A version named in the request is never replaced by another one; if it is not
//! available, the request is rejected.

mod diff;
mod error;
mod explain;
mod parse;
mod set;
mod warning;

pub use diff::{Change, diff};
pub use error::{Diagnostic, Error};
pub use explain::{Candidate, MatchOutcome};
pub use set::calendar::Term;
pub use set::caller::{Caller, Limit};
pub use set::model::{AdapterVersion, Base, Pool, PoolKind};
pub use set::route::{ModelRoute, RouteError, RouteQuery};
pub use set::service::{RetryPolicy, ServiceRoute};
pub use set::upcoming::RouteActivation;
pub use set::{Rule, RuleSet};
pub use warning::{Warning, WarningKind};
