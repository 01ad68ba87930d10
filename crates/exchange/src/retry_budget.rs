//! This node's part of the budget of repeats that all nodes share.
//!
//! The budget of a pool is, over any window, a share of the requests for it and a constant. A node
//! cannot know what the others spend, so it spends no more than its own requests earn and its part
//! of the constant. What it earned counts from the present window only, which understates it.

use std::collections::VecDeque;
use std::time::Duration;

use wire::Time;

use crate::route::Pool;

/// Limits of a [`RetryBudget`], over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Repeats that one request earns.
    pub ratio: f64,
    /// Repeats allowed in a window beside those earned.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
    /// Part of the budget that is used. The rest covers processes that restart within a window
    /// and have forgotten what they spent.
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
    pool: Pool,
    requests: VecDeque<Time>,
    repeats: VecDeque<Time>,
}

/// Accounts of repeats, one a pool.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    config: Config,
    accounts: Vec<Account>,
}

impl RetryBudget {
    /// Makes accounts without entries.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            accounts: Vec::new(),
        }
    }

    /// Counts a request of a caller for `pool`.
    pub fn record_request(&mut self, now: Time, pool: &Pool) {
        let window = self.config.window;
        let account = self.account(now, pool);
        forget(&mut account.requests, now, window);
        account.requests.push_back(now);
    }

    /// Takes one repeat out of the budget where it allows one; `nodes` share it.
    pub fn try_spend(&mut self, now: Time, pool: &Pool, nodes: usize) -> bool {
        let Config {
            ratio,
            extra,
            window,
            share,
        } = self.config;
        let account = self.account(now, pool);
        forget(&mut account.requests, now, window);
        let earned = ratio * account.requests.len() as f64;
        let allowed = share * (earned + extra / nodes.max(1) as f64);
        let free = (account.repeats.len() as f64) < allowed.max(1.0);
        if free {
            account.repeats.push_back(now);
        }
        free
    }

    /// Returns how many repeats were spent in the window that ends `now`.
    pub fn spent(&mut self, now: Time, pool: &Pool) -> usize {
        self.account(now, pool).repeats.len()
    }

    fn account(&mut self, now: Time, pool: &Pool) -> &mut Account {
        let found = self.accounts.binary_search_by(|known| known.pool.cmp(pool));
        let index = found.unwrap_or_else(|index| {
            let account = Account {
                pool: pool.clone(),
                requests: VecDeque::new(),
                repeats: VecDeque::new(),
            };
            self.accounts.insert(index, account);
            index
        });
        let account = &mut self.accounts[index];
        forget(&mut account.repeats, now, self.config.window);
        account
    }
}

fn forget(times: &mut VecDeque<Time>, now: Time, window: Duration) {
    while times.front().is_some_and(|time| *time + window <= now) {
        times.pop_front();
    }
}
