//! Admission of callers' requests: limits, fair shares, priorities and shedding.
//!
//! A [`Queue`] is a state machine. It is told of arrivals, ends, cancellations and of how many
//! requests each pool of upstreams can run at once; it answers with [`Action::Admit`] and
//! [`Action::Refuse`]. Every request gets exactly one of the two, unless it is cancelled first.
//! What was refused has not run.
//!
//! - `account` holds a caller's rate and concurrency limits.
//! - `class` holds the waiting requests of one pool and priority, in fair shares between callers.
//! - `pool` picks among its classes and estimates waits.
//! - `queue` is the machine.
//!
//! Promises, each with a test:
//!
//! - No request is admitted while one of a higher priority could be admitted to the same pool;
//!   the only exception is routine work that has waited for [`Config::age`], which gets one in
//!   [`AGED_SHARE`] of the admissions that are not urgent.
//! - A part of each pool's capacity is kept free for urgent requests.
//! - Callers of one priority get equal shares, however many requests each has waiting.
//! - A caller's rate and concurrency stay within its limits.
//! - A request is refused as soon as its estimated wait exceeds what is left of its time limit,
//!   and at the latest when that ends. The refusal says when a retry would be in time.
//! - Callers without requests and with a full token bucket take no memory.

mod account;
mod class;
mod pool;
mod queue;

use std::sync::Arc;
use std::time::Duration;

pub use account::Limit;
pub use pool::{AGED_SHARE, reserve};
pub use queue::Queue;
use wire::{Caller, Priority, Request, Time};

/// A pool's name.
pub type Pool = Arc<str>;

/// Settings of a [`Queue`].
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Part of each pool's capacity that only urgent requests may take, from 0 to 1.
    pub reserve: f64,
    /// Wait after which routine requests compete with normal ones.
    pub age: Duration,
    /// Requests that may wait for a pool.
    pub waiting: usize,
    /// Time that a request is taken to run before any has been measured.
    pub hold: Duration,
    /// Time between two estimates of the waits of queued requests.
    pub review: Duration,
    /// Retry time told while a pool has no capacity.
    pub outage: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            reserve: 0.1,
            age: Duration::from_secs(10),
            waiting: 2048,
            hold: Duration::from_secs(2),
            review: Duration::from_millis(500),
            outage: Duration::from_secs(2),
        }
    }
}

/// A request that wants to be admitted.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// The request's number.
    pub request: Request,
    /// Who sends it.
    pub caller: Caller,
    /// The pool that it needs.
    pub pool: Pool,
    /// Its priority.
    pub priority: Priority,
    /// The time at which it is of no more use unless it runs.
    pub deadline: Time,
    /// The caller's limits as of now; none where the rules set none.
    pub limit: Option<Limit>,
}

/// What a [`Queue`] is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request arrives. A number that is already known is ignored.
    Arrive(Arrival),
    /// An admitted request has ended, however it did.
    Finish {
        /// The request's number.
        request: Request,
    },
    /// The caller of a request has gone; it is dropped whether it waits or runs.
    Cancel {
        /// The request's number.
        request: Request,
    },
    /// A pool can run so many requests at once from now on.
    Capacity {
        /// The pool.
        pool: Pool,
        /// Requests at once.
        concurrent: u32,
    },
    /// Time has passed.
    Tick,
}

/// What a [`Queue`] wants done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Run the request now.
    Admit {
        /// The request's number.
        request: Request,
    },
    /// Answer the request at once; it has not run.
    Refuse {
        /// The request's number.
        request: Request,
        /// Why.
        reason: Reason,
        /// Time after which a retry would be in time, as far as is known now.
        retry_after: Duration,
    },
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Reason {
    /// The caller sends more than its rate.
    #[error("the caller's rate is exceeded; slow down or ask the operators for a higher limit")]
    Rate,
    /// The estimated wait exceeds the time limit.
    #[error("the wait would exceed the request's time limit; retry later or allow more time")]
    Busy,
    /// The time limit has ended.
    #[error("the request's time limit ended before it could run; allow more time")]
    Late,
    /// Too many requests wait.
    #[error("too many requests wait already; retry later")]
    Full,
    /// The pool has no upstream that works.
    #[error("no upstream of the pool can take requests; retry later")]
    Outage,
}

impl Reason {
    /// Every reason.
    pub const ALL: [Self; 5] = [Self::Rate, Self::Busy, Self::Late, Self::Full, Self::Outage];

    /// Returns the name used in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Rate => "rate",
            Self::Busy => "busy",
            Self::Late => "late",
            Self::Full => "full",
            Self::Outage => "outage",
        }
    }
}
