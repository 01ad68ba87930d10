//! Settings of placement.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of placement; all nodes of a region must have the same.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Settings {
    /// Weight of avoiding load stalls against batch efficiency, from 0 to 1.
    ///
    /// At 1, requests are spread over the least loaded homes. At 0, one home is filled before the
    /// next is used, and loads are ordered by the number of waiting requests alone.
    pub load_stalls: f64,
    /// Time for which a load is delayed to gather more requests for its adapter. Loads for urgent
    /// requests are not delayed.
    pub gather: Duration,
    /// Duration of a lease, within which its holder may start requests.
    pub lease: Duration,
    /// Maximum drift between two nodes' clocks over the duration of one lease.
    pub drift: Duration,
    /// Maximum lag of an engine's report behind the engine's actual state.
    pub report_lag: Duration,
    /// Time within which an order must be written after it is issued.
    pub order: Duration,
    /// Time after which an unanswered load counts as failed.
    pub load: Duration,
    /// Initial delay before a failed load is retried on the same upstream; doubles with each
    /// failure.
    pub backoff: Duration,
    /// Time without a reply from an owner after which requests move to another upstream.
    pub silence: Duration,
    /// Interval at which unanswered messages are sent again.
    pub resend: Duration,
    /// A request that still waits this long before its deadline is refused.
    pub margin: Duration,
    /// Waiting time after which routine loads rank as normal ones. They never overtake urgent
    /// ones.
    pub ageing: Duration,
    /// Half-life of the popularity estimate.
    pub half_life: Duration,
    /// Fraction of an engine's largest batch that one home of an adapter is expected to serve.
    pub fill: f64,
    /// Time for which a node lends its share of a store's rate to the holder of the store's budget.
    pub share: Duration,
    /// Time for which a new process leaves its share unused. By then all nodes have received the
    /// list of VMs, and the loads of its predecessor are over.
    pub settle: Duration,
    /// Number of the loads in flight that are reserved for urgent requests.
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
