//! Enforcement of tenants' quotas.

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

/// Window over which the quota is checked.
const WINDOW: Duration = Duration::from_secs(8);
/// Fraction and units by which the usage in a window may exceed the quota.
const TOLERANCE: (f64, f64) = (0.25, 17_000.0);

fn tenant_name() -> TenantName {
    "mayor".into()
}

fn limit(quota: &Quota) -> f64 {
    (quota.rate * WINDOW.as_secs_f64() + quota.burst) * (1.0 + TOLERANCE.0) + TOLERANCE.1
}

/// Returns the maximum number of units that were granted in any window.
fn max_granted(granted: &[(Time, u32)]) -> f64 {
    let sums = granted.iter().map(|(from, _)| {
        let inside = granted
            .iter()
            .filter(|(at, _)| *from <= *at && *at < *from + WINDOW);
        inside.map(|(_, units)| f64::from(*units)).sum::<f64>()
    });
    sums.fold(0.0, f64::max)
}

/// No window grants more than the quota and the tolerance, whatever the load and the request sizes,
/// even if the coordinator is replaced and the nodes enforce the quota locally for a second.
#[rstest]
#[case::usual(0.5)]
#[case::at_the_limit(1.0)]
#[case::overload(7.5)]
fn no_window_exceeds_the_quota(#[case] load: f64) {
    for seed in 0..10 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut coordinators = [TokenBuckets::shared(), TokenBuckets::shared()];
        let mut nodes = vec![LocalQuota::default(); 58];
        let (mut granted, mut requests) = (Vec::new(), 0);
        let mut now = Time::ZERO;
        while now < Duration::from_secs(40) {
            let size = rng.random_range(200..3_000);
            let mean = f64::from(size) / (QUOTA.rate * load);
            now += Duration::from_secs_f64(mean * rng.random_range(0.5..1.5));
            let is_local = Duration::from_secs(25) < now && now < Duration::from_secs(26);
            let node = rng.random_range(0..nodes.len());
            let decision = if is_local {
                nodes[node].try_acquire(now, &tenant_name(), &QUOTA, 1.0 / 58.0, size)
            } else {
                let coordinator = usize::from(now > Duration::from_secs(20));
                let decision =
                    coordinators[coordinator].try_acquire(now, &tenant_name(), &QUOTA, 1.0, size);
                nodes[node].record_answer(now, &tenant_name(), decision);
                decision
            };
            requests += 1;
            if decision == QuotaDecision::Granted {
                granted.push((now, size));
            }
        }
        let max = max_granted(&granted);
        assert!(
            max <= limit(&QUOTA),
            "seed {seed}: {max} units granted in one window"
        );
        if load < 0.6 {
            let refused = requests - granted.len();
            assert!(
                refused * 50 <= requests,
                "seed {seed}: {refused} of {requests} refused"
            );
        }
    }
}

/// A lowered quota applies from the first request on.
#[test]
fn lowered_quota_applies_at_once() {
    let mut buckets = TokenBuckets::shared();
    let now = Duration::from_secs(60);
    assert_eq!(
        buckets.try_acquire(Time::ZERO, &tenant_name(), &QUOTA, 1.0, 1),
        QuotaDecision::Granted
    );
    let lower = Quota {
        rate: 1_000.0,
        burst: 1_000.0,
        ..QUOTA
    };
    assert_eq!(
        buckets.try_acquire(now, &tenant_name(), &lower, 1.0, 900),
        QuotaDecision::Granted
    );
    let decision = buckets.try_acquire(now, &tenant_name(), &lower, 1.0, 600);
    assert_eq!(decision, QuotaDecision::Over(Duration::from_millis(500)));
    let later = now + Duration::from_millis(500);
    assert_eq!(
        buckets.try_acquire(later, &tenant_name(), &lower, 1.0, 600),
        QuotaDecision::Granted
    );
}

/// A request larger than the burst is granted once the bucket is full. Later requests wait until
/// its units are refilled.
#[test]
fn request_above_the_burst_is_not_starved() {
    let mut buckets = TokenBuckets::shared();
    let quota = Quota {
        rate: 100.0,
        burst: 100.0,
        ..QUOTA
    };
    assert_eq!(
        buckets.try_acquire(Time::ZERO, &tenant_name(), &quota, 1.0, 1),
        QuotaDecision::Granted
    );
    let now = Duration::from_secs(10);
    assert_eq!(
        buckets.try_acquire(now, &tenant_name(), &quota, 1.0, 500),
        QuotaDecision::Granted
    );
    let decision = buckets.try_acquire(now, &tenant_name(), &quota, 1.0, 100);
    assert_eq!(decision, QuotaDecision::Over(Duration::from_secs(5)));
}

#[test]
fn units_depend_on_the_quota() {
    assert_eq!(units(&QUOTA, Some(1_540)), 1_540);
    assert_eq!(units(&QUOTA, None), 200);
    let per_request = Quota {
        unit: Unit::Requests,
        ..QUOTA
    };
    assert_eq!(units(&per_request, Some(1_540)), 1);
}

/// Nodes with the same view agree on the coordinator, and tenants are spread over all nodes.
#[test]
fn coordinators_are_spread() {
    let live: Vec<Vm> = (0..58).map(|index| format!("vm-{index}").into()).collect();
    let tenants = (0..200).map(|index| format!("tenant-{index}"));
    let mut counts = vec![0; live.len()];
    for tenant in tenants {
        let node = coordinator(&tenant, &live).expect("a live node");
        counts[live.iter().position(|vm| vm == node).expect("known")] += 1;
    }
    assert!(counts.iter().all(|count| *count < 15), "{counts:?}");
    assert_eq!(coordinator("tenant", &[]), None);
}
