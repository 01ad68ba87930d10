//! This node's share of the retry budget of all nodes.
//!
//! In any window, the budget of a pool is a ratio of the requests for it plus a constant. A node
//! does not know what the others spend, so it spends no more than what its own requests earn plus
//! its share of the constant. Only requests of the current window count, which underestimates what
//! was earned.
//!
//! A node that has just started may not have found all others yet, and a former process on its VM may
//! have spent the share, so it gets its share of the constant gradually over the first window.

use std::collections::VecDeque;
use std::time::Duration;

use wire::Time;

use crate::route::PoolName;

/// Limits of the retry budget, across all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Retries earned per request.
    pub ratio: f64,
    /// Additional retries allowed per window.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
    /// Fraction of the budget that is used. The rest covers processes that restart within a window
    /// and lose track of what they spent.
    pub share: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            extra: 50.0,
            window: Duration::from_secs(10),
            share: 0.6,
        }
    }
}

#[derive(Clone, Debug)]
struct Account {
    pool: PoolName,
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
}

/// The retry budget, with one account per pool.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    config: Config,
    started: Time,
    /// Sorted by pool.
    accounts: Vec<Account>,
}

impl RetryBudget {
    /// Creates the budget of a node that started at `started`, from which nothing was spent.
    pub fn new(config: Config, started: Time) -> Self {
        Self {
            config,
            started,
            accounts: Vec::new(),
        }
    }

    /// Records a caller's request for `pool`.
    pub fn record_request(&mut self, now: Time, pool: &PoolName) {
        let window = self.config.window;
        let account = self.account(now, pool);
        remove_expired(&mut account.requests, now, window);
        account.requests.push_back(now);
    }

    /// Spends one retry if the budget, which `nodes` nodes share, allows it.
    pub fn try_spend(&mut self, now: Time, pool: &PoolName, nodes: usize) -> bool {
        let Config {
            ratio,
            extra,
            window,
            share,
        } = self.config;
        let uptime = now.saturating_sub(self.started).as_secs_f64();
        let ramp = if nodes > 1 {
            (uptime / window.as_secs_f64()).min(1.0)
        } else {
            1.0
        };
        let account = self.account(now, pool);
        remove_expired(&mut account.requests, now, window);
        let earned = ratio * account.requests.len() as f64;
        let allowed = share * (earned + ramp * extra / nodes.max(1) as f64);
        let permitted = (account.retries.len() as f64) < allowed.max(1.0);
        if permitted {
            account.retries.push_back(now);
        }
        permitted
    }

    /// Returns how many retries were spent in the window that ends at `now`.
    pub fn spent(&mut self, now: Time, pool: &PoolName) -> usize {
        self.account(now, pool).retries.len()
    }

    fn account(&mut self, now: Time, pool: &PoolName) -> &mut Account {
        let found = self.accounts.binary_search_by(|known| known.pool.cmp(pool));
        let index = found.unwrap_or_else(|index| {
            let account = Account {
                pool: pool.clone(),
                requests: VecDeque::new(),
                retries: VecDeque::new(),
            };
            self.accounts.insert(index, account);
            index
        });
        let account = &mut self.accounts[index];
        remove_expired(&mut account.retries, now, self.config.window);
        account
    }
}

fn remove_expired(times: &mut VecDeque<Time>, now: Time, window: Duration) {
    while times.front().is_some_and(|time| *time + window <= now) {
        times.pop_front();
    }
}
