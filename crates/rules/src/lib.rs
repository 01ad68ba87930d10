//! Operators' rules: parsing, checking and matching.
//!
//! A rule is one line of plain text with a trailing comment that names who asked for it.
//! `parse` turns lines into typed statements; [`RuleSet::parse`] gathers the statements of every
//! file, checks them against each other and refuses the whole revision with all [`Fault`]s where
//! any is found. A [`RuleSet`] is immutable: [`RuleSet::route`] answers which adapter and version an
//! [`RouteQuery`] gets, [`RuleSet::service`] where a plain call goes, [`RuleSet::caller_by_token`] who calls.
//! [`RuleSet::upcoming_activations`] tells what terms that begin will ask for.
//! [`RuleSet::warnings`], [`RuleSet::explain`] and [`diff()`] are for operators.
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
//! Conditions are any of `term CALENDAR[:NAME]` or `holiday CALENDAR`, `days mon-fri,sun`,
//! `hours 06:00-18:00`, `zone ZONE`, `from DATE` and `until DATE`; all of them must hold.
//!
//! # Precedence of routes
//!
//! 1. A route that names the caller goes before one that does not, then one that names the
//!    trade, then one that names the priority.
//! 2. Among routes with the same caller, trade and priority, the earlier line goes first; files
//!    count in the order in which they are given. Conditions do not add precedence.
//!
//! So there are no ties. A request that names an adapter is only matched by routes `to named` and
//! by routes to that adapter; one that names none (or `auto`) is only matched by routes to an
//! adapter. A version that the request names is kept, or the request is refused.

mod diff;
mod explain;
mod fault;
mod parse;
mod set;
mod warning;

pub use diff::{Change, diff};
pub use explain::{Candidate, MatchOutcome};
pub use fault::{Error, Fault};
pub use set::caller::{Caller, Limit};
pub use set::model::{Base, Entry, Pool, Use};
pub use set::route::{ModelRoute, Refusal, RouteQuery};
pub use set::service::{RetryPolicy, ServiceRoute};
pub use set::term::Term;
pub use set::upcoming::Start;
pub use set::{Rule, RuleSet};
pub use warning::{Kind, Warning};
