//! Quotas of tenants.

use std::time::Duration;

use exchange::quota::{LocalQuota, QuotaDecision, TokenBuckets, coordinator, units};
use exchange::tenant::{Quota, TenantName, Unit};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use wire::{Time, Vm};

const QUOTA: Quota = Quota {
    rate: 20_000.0,
    burst: 20_000.0,
    unit: Unit::Tokens(200),
};

/// Window of the rule, and the part and the units that it allows beyond the quota.
const WINDOW: Duration = Duration::from_secs(8);
const SLACK: (f64, f64) = (0.25, 17_000.0);

fn name() -> TenantName {
    "mayor".into()
}

fn most(quota: &Quota) -> f64 {
    (quota.rate * WINDOW.as_secs_f64() + quota.burst) * (1.0 + SLACK.0) + SLACK.1
}

/// Returns the most units that were granted in some window.
fn worst(granted: &[(Time, u32)]) -> f64 {
    let sums = granted.iter().map(|(from, _)| {
        let inside = granted
            .iter()
            .filter(|(at, _)| *from <= *at && *at < *from + WINDOW);
        inside.map(|(_, units)| f64::from(*units)).sum::<f64>()
    });
    sums.fold(0.0, f64::max)
}

/// Whatever a tenant asks for, in whatever sizes, no window carries more than the rule allows, also
/// where its keeper is replaced once and each node counts its own part for a while.
#[rstest]
#[case::usual(0.5)]
#[case::at_the_limit(1.0)]
#[case::hot(7.5)]
fn no_window_carries_more(#[case] load: f64) {
    for seed in 0..10 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut ledgers = [TokenBuckets::shared(), TokenBuckets::shared()];
        let mut nodes = vec![LocalQuota::default(); 58];
        let (mut granted, mut asked) = (Vec::new(), 0);
        let mut now = Time::ZERO;
        while now < Duration::from_secs(40) {
            let size = rng.random_range(200..3_000);
            let mean = f64::from(size) / (QUOTA.rate * load);
            now += Duration::from_secs_f64(mean * rng.random_range(0.5..1.5));
            let alone = Duration::from_secs(25) < now && now < Duration::from_secs(26);
            let node = rng.random_range(0..nodes.len());
            let draw = if alone {
                nodes[node].try_acquire(now, &name(), &QUOTA, 1.0 / 58.0, size)
            } else {
                let ledger = usize::from(now > Duration::from_secs(20));
                let draw = ledgers[ledger].try_acquire(now, &name(), &QUOTA, 1.0, size);
                nodes[node].record_answer(now, &name(), draw);
                draw
            };
            asked += 1;
            if draw == QuotaDecision::Granted {
                granted.push((now, size));
            }
        }
        let worst = worst(&granted);
        assert!(worst <= most(&QUOTA), "seed {seed}: {worst} units");
        if load < 0.6 {
            let refused = asked - granted.len();
            assert!(
                refused * 50 <= asked,
                "seed {seed}: {refused} of {asked} refused"
            );
        }
    }
}

/// A lower limit binds from its first draw on.
#[test]
fn lower_quota_binds_at_once() {
    let mut ledger = TokenBuckets::shared();
    let now = Duration::from_secs(60);
    assert_eq!(
        ledger.try_acquire(Time::ZERO, &name(), &QUOTA, 1.0, 1),
        QuotaDecision::Granted
    );
    let lower = Quota {
        rate: 1_000.0,
        burst: 1_000.0,
        ..QUOTA
    };
    assert_eq!(
        ledger.try_acquire(now, &name(), &lower, 1.0, 900),
        QuotaDecision::Granted
    );
    let draw = ledger.try_acquire(now, &name(), &lower, 1.0, 600);
    assert_eq!(draw, QuotaDecision::Over(Duration::from_millis(500)));
    let later = now + Duration::from_millis(500);
    assert_eq!(
        ledger.try_acquire(later, &name(), &lower, 1.0, 600),
        QuotaDecision::Granted
    );
}

/// A request that is larger than the burst runs once the bucket is full, and is paid off after it.
#[test]
fn large_request_is_not_starved() {
    let mut ledger = TokenBuckets::shared();
    let quota = Quota {
        rate: 100.0,
        burst: 100.0,
        ..QUOTA
    };
    assert_eq!(
        ledger.try_acquire(Time::ZERO, &name(), &quota, 1.0, 1),
        QuotaDecision::Granted
    );
    let now = Duration::from_secs(10);
    assert_eq!(
        ledger.try_acquire(now, &name(), &quota, 1.0, 500),
        QuotaDecision::Granted
    );
    let draw = ledger.try_acquire(now, &name(), &quota, 1.0, 100);
    assert_eq!(draw, QuotaDecision::Over(Duration::from_secs(5)));
}

#[test]
fn units_follow_the_quota() {
    assert_eq!(units(&QUOTA, Some(1_540)), 1_540);
    assert_eq!(units(&QUOTA, None), 200);
    let requests = Quota {
        unit: Unit::Requests,
        ..QUOTA
    };
    assert_eq!(units(&requests, Some(1_540)), 1);
}

/// All nodes that see the same ones ask the same keeper, and tenants are spread over them.
#[test]
fn keepers_are_spread() {
    let live: Vec<Vm> = (0..58).map(|index| format!("vm-{index}").into()).collect();
    let tenants = (0..200).map(|index| format!("tenant-{index}"));
    let mut kept = vec![0; live.len()];
    for tenant in tenants {
        let keeper = coordinator(&tenant, &live).expect("a keeper");
        kept[live.iter().position(|vm| vm == keeper).expect("known")] += 1;
    }
    assert!(kept.iter().all(|count| *count < 15), "{kept:?}");
    assert_eq!(coordinator("tenant", &[]), None);
}
