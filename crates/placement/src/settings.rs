//! What operators may set about placement.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of one deployment; every node of a region needs the same.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Settings {
    /// Weight of short load stalls, from 0 to 1; batch efficiency has the rest.
    ///
    /// At 1, demand is spread over the least loaded homes; at 0, one home is filled before the
    /// next one is used and the load order goes by waiting requests alone.
    pub load_stalls: f64,
    /// Time for which a load may wait for further requests of its adapter. Urgent requests never
    /// wait for others.
    pub gather: Duration,
    /// Time for which a lease allows its holder to start requests.
    pub lease: Duration,
    /// Most that a clock may run ahead of another over one lease.
    pub drift: Duration,
    /// Most by which an engine's own report lags behind what it does.
    pub report_lag: Duration,
    /// Time within which an order has to be written once it is issued.
    pub order: Duration,
    /// Time after which a load without an answer counts as failed.
    pub load: Duration,
    /// First pause before a failed load is tried again on the same upstream; it doubles.
    pub backoff: Duration,
    /// Silence of an owner after which its asks move to another upstream.
    pub silence: Duration,
    /// Time between two sends of an unanswered message.
    pub resend: Duration,
    /// Time before a deadline at which a request still waiting is refused.
    pub margin: Duration,
    /// Wait after which routine loads are ordered as normal ones; they never overtake urgent ones.
    pub ageing: Duration,
    /// Half-life of the popularity estimate.
    pub half_life: Duration,
    /// Share of an engine's largest batch that one home of an adapter is expected to carry.
    pub fill: f64,
    /// Time for which a peer's share of a store's rate is lent.
    pub share: Duration,
    /// Time that a fresh process leaves its share unused, so that the list of VMs has reached all
    /// nodes and the loads of its predecessor are over.
    pub settle: Duration,
    /// Loads in flight that only urgent requests may use.
    pub reserve: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            load_stalls: 0.5,
            gather: Duration::ZERO,
            lease: Duration::from_secs(10),
            drift: Duration::from_millis(200),
            report_lag: Duration::from_secs(1),
            order: Duration::from_secs(1),
            load: Duration::from_secs(3),
            backoff: Duration::from_millis(500),
            silence: Duration::from_millis(1500),
            resend: Duration::from_millis(500),
            margin: Duration::from_millis(50),
            ageing: Duration::from_secs(8),
            half_life: Duration::from_secs(300),
            fill: 0.7,
            share: Duration::from_secs(3),
            settle: Duration::from_secs(5),
            reserve: 1,
        }
    }
}
