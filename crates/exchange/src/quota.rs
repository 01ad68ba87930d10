//! Quotas of tenants, enforced across all nodes.
//!
//! The first live node in the rendezvous order of a tenant's name coordinates the tenant's quota
//! with a token bucket; the other nodes ask it for each request. A node that gets no answer
//! enforces its own fraction of the quota locally. A coordinator that sees only some of the nodes
//! grants only their fraction, because another node may coordinate the quota for the rest.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wire::{Time, Vm, rank};

use crate::tenant::{Quota, TenantName, Unit};

/// Fraction of the burst that a bucket holds when a node begins to coordinate it. The previous
/// coordinator may have granted the rest.
const INITIAL_FILL: f64 = 0.25;

/// Time for which a quota counts as exhausted after its coordinator has reported so. Another node
/// coordinates it by then.
const EXHAUSTED_TIME: Duration = Duration::from_secs(2);

/// Longest wait that is returned to a caller.
const WAIT_MAX: Duration = Duration::from_secs(10);

/// A message between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks the coordinator of a quota to admit a request.
    Ask {
        /// Number that identifies the question.
        ticket: u64,
        /// The tenant.
        tenant: TenantName,
        /// Units that the request costs.
        units: u32,
    },
    /// The coordinator's answer.
    Answer {
        /// Number of the question.
        ticket: u64,
        /// Milliseconds until the quota admits the request; absent if it is admitted now.
        wait: Option<u32>,
    },
}

/// Whether a quota admits a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaDecision {
    /// The request is admitted.
    Granted,
    /// The quota is exceeded; it admits the request after this time.
    Over(Duration),
}

/// Returns the units that a request costs, given the tokens that it states.
pub fn units(quota: &Quota, tokens: Option<u32>) -> u32 {
    match quota.unit {
        Unit::Requests => 1,
        Unit::Tokens(default) => tokens.unwrap_or(default),
    }
}

/// Returns the node that coordinates a tenant's quota.
pub fn coordinator<'a>(tenant: &str, live: &'a [Vm]) -> Option<&'a Vm> {
    rank::first(rank::hash(tenant), live)
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// Available units. Negative after a request that is larger than the burst.
    level: f64,
    /// When the level was computed.
    at: Time,
}

/// Token buckets of tenants.
#[derive(Clone, Debug)]
pub struct TokenBuckets {
    /// Fraction of the burst that a new bucket holds.
    initial_fill: f64,
    /// Sorted by tenant.
    buckets: Vec<(TenantName, Bucket)>,
}

impl TokenBuckets {
    /// Creates the buckets of a coordinator.
    pub const fn shared() -> Self {
        Self::new(INITIAL_FILL)
    }

    const fn new(initial_fill: f64) -> Self {
        Self {
            initial_fill,
            buckets: Vec::new(),
        }
    }

    /// Takes a request's units out of the given fraction of a tenant's quota, if it admits them.
    pub fn try_acquire(
        &mut self,
        now: Time,
        tenant: &TenantName,
        quota: &Quota,
        fraction: f64,
        units: u32,
    ) -> QuotaDecision {
        let (rate, burst) = (quota.rate * fraction, quota.burst * fraction);
        let bucket = self.bucket(now, tenant, burst);
        let elapsed = now.saturating_sub(bucket.at).as_secs_f64();
        bucket.level = (bucket.level + rate * elapsed).min(burst);
        bucket.at = now;
        let units = f64::from(units);
        // A request that is larger than the burst waits for a full bucket.
        let missing = units.min(burst) - bucket.level;
        if missing <= 0.0 {
            bucket.level -= units;
            return QuotaDecision::Granted;
        }
        let wait = Duration::try_from_secs_f64(missing / rate).unwrap_or(WAIT_MAX);
        QuotaDecision::Over(wait.min(WAIT_MAX))
    }

    fn bucket(&mut self, now: Time, tenant: &TenantName, burst: f64) -> &mut Bucket {
        let initial_fill = self.initial_fill;
        let found = self
            .buckets
            .binary_search_by(|(known, _)| known.cmp(tenant));
        let index = found.unwrap_or_else(|index| {
            let bucket = Bucket {
                level: burst * initial_fill,
                at: now,
            };
            self.buckets.insert(index, (tenant.clone(), bucket));
            index
        });
        &mut self.buckets[index].1
    }
}

/// Local enforcement of quotas whose coordinator does not answer.
#[derive(Clone, Debug)]
pub struct LocalQuota {
    buckets: TokenBuckets,
    /// When a coordinator last reported each exhausted quota, sorted by tenant.
    exhausted: Vec<(TenantName, Time)>,
}

impl Default for LocalQuota {
    fn default() -> Self {
        Self {
            buckets: TokenBuckets::new(1.0),
            exhausted: Vec::new(),
        }
    }
}

impl LocalQuota {
    /// Records the answer of a tenant's coordinator.
    pub fn record_answer(&mut self, now: Time, tenant: &TenantName, decision: QuotaDecision) {
        let found = self
            .exhausted
            .binary_search_by(|(known, _)| known.cmp(tenant));
        match (found, decision) {
            (Ok(index), QuotaDecision::Over(_)) => self.exhausted[index].1 = now,
            (Err(index), QuotaDecision::Over(_)) => {
                self.exhausted.insert(index, (tenant.clone(), now));
            }
            (Ok(index), QuotaDecision::Granted) => {
                self.exhausted.remove(index);
            }
            (Err(_), QuotaDecision::Granted) => {}
        }
    }

    /// Takes a request's units out of the given fraction of a tenant's quota, unless the
    /// coordinator reported the quota as exhausted within the last `EXHAUSTED_TIME`.
    pub fn try_acquire(
        &mut self,
        now: Time,
        tenant: &TenantName,
        quota: &Quota,
        fraction: f64,
        units: u32,
    ) -> QuotaDecision {
        let found = self
            .exhausted
            .binary_search_by(|(known, _)| known.cmp(tenant));
        if let Ok(index) = found {
            let until = self.exhausted[index].1 + EXHAUSTED_TIME;
            if now < until {
                return QuotaDecision::Over(until - now);
            }
        }
        self.buckets
            .try_acquire(now, tenant, quota, fraction, units)
    }
}
