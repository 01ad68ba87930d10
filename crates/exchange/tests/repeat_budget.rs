//! The share that one node has in the budget of repeats.

use std::time::Duration;

use exchange::retry_budget::{Config, RetryBudget};
use exchange::route::Pool;
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

/// In every window all nodes together stay within the budget, though callers come in bursts.
#[rstest]
fn all_nodes_stay_within_the_budget() {
    let pool: Pool = "pool".into();
    let mut nodes: Vec<RetryBudget> = (0..NODES).map(|_| RetryBudget::new(config())).collect();
    let mut repeats: Vec<u64> = Vec::new();
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
            repeats.push(tick);
        }
        let recent = |times: &[u64]| times.iter().filter(|at| tick - **at < 1_000).count() as f64;
        let allowed = 0.2 * recent(&requests) + 54.0;
        assert!(recent(&repeats) <= allowed, "at {tick}");
    }
}

#[rstest]
fn lone_failure_is_always_repeated() {
    let mut spend = RetryBudget::new(Config {
        ratio: 0.0,
        extra: 1.0,
        ..config()
    });
    let pool: Pool = "pool".into();
    assert!(spend.try_spend(Duration::from_secs(1), &pool, NODES));
    assert!(!spend.try_spend(Duration::from_secs(2), &pool, NODES));
    assert!(spend.try_spend(Duration::from_secs(12), &pool, NODES));
}

#[rstest]
fn pools_do_not_share() {
    let mut spend = RetryBudget::new(Config {
        ratio: 0.0,
        extra: 1.0,
        ..config()
    });
    let now = Duration::from_secs(1);
    assert!(spend.try_spend(now, &"one".into(), NODES));
    assert!(spend.try_spend(now, &"other".into(), NODES));
    assert_eq!(spend.spent(now, &"one".into()), 1);
}
