//! The share of one node in the retry budget.

use std::time::Duration;

use exchange::retry_budget::{Config, RetryBudget};
use exchange::route::PoolName;
use rstest::rstest;

const NODES: usize = 7;

fn config() -> Config {
    Config {
        ratio: 0.2,
        extra: 54.0,
        window: Duration::from_secs(10),
        share: 0.6,
    }
}

/// In every window, all nodes together stay within the budget, even if requests come in bursts.
#[rstest]
fn all_nodes_stay_within_the_budget() {
    let pool: PoolName = "pool".into();
    let mut nodes: Vec<RetryBudget> = (0..NODES)
        .map(|_| RetryBudget::new(config(), Duration::ZERO))
        .collect();
    let mut retries: Vec<u64> = Vec::new();
    let mut requests: Vec<u64> = Vec::new();
    for tick in 0..4_000_u64 {
        let now = Duration::from_millis(tick * 10);
        let busy = (tick / 500) % 3 == 0;
        let node = &mut nodes[(tick % NODES as u64) as usize];
        if busy || tick % 5 == 0 {
            node.record_request(now, &pool);
            requests.push(tick);
        }
        if node.try_spend(now, &pool, NODES) {
            retries.push(tick);
        }
        let recent = |times: &[u64]| times.iter().filter(|at| tick - **at < 1_000).count() as f64;
        let allowed = 0.2 * recent(&requests) + 54.0;
        assert!(
            recent(&retries) <= allowed,
            "budget exceeded at tick {tick}"
        );
    }
}

#[rstest]
fn single_failure_is_always_retried() {
    let mut budget = RetryBudget::new(
        Config {
            ratio: 0.0,
            extra: 1.0,
            ..config()
        },
        Duration::ZERO,
    );
    let pool: PoolName = "pool".into();
    assert!(budget.try_spend(Duration::from_secs(1), &pool, NODES));
    assert!(!budget.try_spend(Duration::from_secs(2), &pool, NODES));
    assert!(budget.try_spend(Duration::from_secs(12), &pool, NODES));
}

#[rstest]
fn pools_have_separate_budgets() {
    let mut budget = RetryBudget::new(
        Config {
            ratio: 0.0,
            extra: 1.0,
            ..config()
        },
        Duration::ZERO,
    );
    let now = Duration::from_secs(1);
    assert!(budget.try_spend(now, &"one".into(), NODES));
    assert!(budget.try_spend(now, &"other".into(), NODES));
    assert_eq!(budget.spent(now, &"one".into()), 1);
}
