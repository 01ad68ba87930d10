//! Quotas of tenants, which all nodes share.
//!
//! Each tenant's quota is kept by one node, the first live one of the rendezvous order of its name, as a
//! token bucket; the others ask it for each request. A node that hears no answer counts by itself
//! against its part. A keeper that sees only a part of the nodes hands out that part, since another
//! one may keep the quota for the rest.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wire::{Time, Vm, rank};

use crate::tenant::{Quota, TenantName, Unit};

/// Part of its burst that a bucket holds when a node begins to keep it for all: the keeper before may
/// have handed out the rest.
const START: f64 = 0.25;

/// Time for which a quota counts as used up after its keeper has said so: until another node keeps it.
const USED_UP: Duration = Duration::from_secs(2);

/// Longest pause that a caller is told.
const WAIT_MAX: Duration = Duration::from_secs(10);

/// A message between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks a keeper for a request.
    Ask {
        /// Number of the question.
        ticket: u64,
        /// The tenant.
        tenant: TenantName,
        /// What the request counts.
        units: u32,
    },
    /// Answers a question.
    Answer {
        /// Its number.
        ticket: u64,
        /// Milliseconds until the quota carries the request; none where it does now.
        wait: Option<u32>,
    },
}

/// Whether a quota carries a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaDecision {
    /// It does.
    Granted,
    /// It does after that time.
    Over(Duration),
}

/// Returns what a request counts that states so many tokens.
pub fn units(quota: &Quota, tokens: Option<u32>) -> u32 {
    match quota.unit {
        Unit::Requests => 1,
        Unit::Tokens(plain) => tokens.unwrap_or(plain),
    }
}

/// Returns the node that keeps a tenant's quota.
pub fn coordinator<'a>(tenant: &str, live: &'a [Vm]) -> Option<&'a Vm> {
    rank::first(rank::hash(tenant), live)
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// Units that may be drawn; below zero after a request that is larger than the burst.
    level: f64,
    at: Time,
}

/// The buckets that a node counts by.
#[derive(Clone, Debug)]
pub struct TokenBuckets {
    /// Part of its burst that a new bucket holds.
    start: f64,
    /// Sorted by tenant.
    buckets: Vec<(TenantName, Bucket)>,
}

impl TokenBuckets {
    /// Makes the ledger by which a node counts for all.
    pub const fn shared() -> Self {
        Self::new(START)
    }

    const fn new(start: f64) -> Self {
        Self {
            start,
            buckets: Vec::new(),
        }
    }

    /// Draws a request's units out of `part` of a tenant's quota, where that carries them.
    pub fn try_acquire(
        &mut self,
        now: Time,
        tenant: &TenantName,
        quota: &Quota,
        part: f64,
        units: u32,
    ) -> QuotaDecision {
        let (rate, burst) = (quota.rate * part, quota.burst * part);
        let bucket = self.bucket(now, tenant, burst);
        let passed = now.saturating_sub(bucket.at).as_secs_f64();
        bucket.level = (bucket.level + rate * passed).min(burst);
        bucket.at = now;
        let units = f64::from(units);
        // A request that is larger than the burst waits for a full bucket.
        let lacking = units.min(burst) - bucket.level;
        if lacking <= 0.0 {
            bucket.level -= units;
            return QuotaDecision::Granted;
        }
        let wait = Duration::try_from_secs_f64(lacking / rate).unwrap_or(WAIT_MAX);
        QuotaDecision::Over(wait.min(WAIT_MAX))
    }

    fn bucket(&mut self, now: Time, tenant: &TenantName, burst: f64) -> &mut Bucket {
        let start = self.start;
        let found = self
            .buckets
            .binary_search_by(|(known, _)| known.cmp(tenant));
        let index = found.unwrap_or_else(|index| {
            let bucket = Bucket {
                level: burst * start,
                at: now,
            };
            self.buckets.insert(index, (tenant.clone(), bucket));
            index
        });
        &mut self.buckets[index].1
    }
}

/// How a node counts where keepers do not answer.
#[derive(Clone, Debug)]
pub struct LocalQuota {
    ledger: TokenBuckets,
    /// When keepers last said that a quota is used up, sorted by tenant.
    used_up: Vec<(TenantName, Time)>,
}

impl Default for LocalQuota {
    fn default() -> Self {
        Self {
            ledger: TokenBuckets::new(1.0),
            used_up: Vec::new(),
        }
    }
}

impl LocalQuota {
    /// Takes in what a tenant's keeper answered.
    pub fn record_answer(&mut self, now: Time, tenant: &TenantName, draw: QuotaDecision) {
        let found = self
            .used_up
            .binary_search_by(|(known, _)| known.cmp(tenant));
        match (found, draw) {
            (Ok(index), QuotaDecision::Over(_)) => self.used_up[index].1 = now,
            (Err(index), QuotaDecision::Over(_)) => {
                self.used_up.insert(index, (tenant.clone(), now))
            }
            (Ok(index), QuotaDecision::Granted) => {
                self.used_up.remove(index);
            }
            (Err(_), QuotaDecision::Granted) => {}
        }
    }

    /// Draws a request's units out of `part` of a tenant's quota, unless that was used up a moment ago.
    pub fn try_acquire(
        &mut self,
        now: Time,
        tenant: &TenantName,
        quota: &Quota,
        part: f64,
        units: u32,
    ) -> QuotaDecision {
        let found = self
            .used_up
            .binary_search_by(|(known, _)| known.cmp(tenant));
        if let Ok(index) = found {
            let until = self.used_up[index].1 + USED_UP;
            if now < until {
                return QuotaDecision::Over(until - now);
            }
        }
        self.ledger.try_acquire(now, tenant, quota, part, units)
    }
}
