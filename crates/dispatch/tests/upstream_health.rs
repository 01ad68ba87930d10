//! Ejection, probes, slow start and concurrency limits.

use std::time::Duration;

use dispatch::Health;
use dispatch::health::{Action, Admission, AttemptResult, Config, Event};
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use wire::{Machine, Time, Upstream};

fn secs(value: u64) -> Duration {
    Duration::from_secs(value)
}

/// Latency of an upstream that is not overloaded.
const LOW_LATENCY: Duration = Duration::from_millis(20);

fn pool(count: usize) -> Vec<Upstream> {
    (0..count)
        .map(|n| Upstream::from(format!("engine-{n}")))
        .collect()
}

fn health(count: usize) -> Health {
    let mut health = Health::new(Config::default());
    step(&mut health, Time::ZERO, Event::Pool(pool(count)));
    health
}

fn step(health: &mut Health, now: Time, event: Event) -> Vec<Action> {
    let mut out = Vec::new();
    health.step(now, event, &mut out);
    out
}

fn attempt(
    health: &mut Health,
    now: Time,
    upstream: &Upstream,
    result: AttemptResult,
) -> Vec<Action> {
    step(health, now, Event::Started(upstream.clone()));
    step(health, now, Event::Ended(upstream.clone(), result))
}

fn fail(health: &mut Health, now: Time, upstream: &Upstream) -> Vec<Action> {
    let failures = Config::default().consecutive_failures;
    (0..failures)
        .flat_map(|_| attempt(health, now, upstream, AttemptResult::Failed))
        .collect()
}

#[test]
fn outlier_is_ejected_then_probed() {
    let mut health = health(9);
    let failed = pool(9)[4].clone();
    let out = fail(&mut health, secs(1), &failed);
    assert_eq!(out, [Action::Ejected(failed.clone(), secs(1))]);
    assert!(matches!(
        health.admit(secs(1), &failed),
        Admission::Ejected(_)
    ));
    assert_eq!(health.wake(), Some(secs(2)));
    assert_eq!(health.admit(secs(2), &failed), Admission::Probe);
    step(&mut health, secs(2), Event::Started(failed.clone()));
    assert_eq!(
        health.admit(secs(2), &failed),
        Admission::Full,
        "only one probe runs at a time"
    );
    let out = step(
        &mut health,
        secs(2),
        Event::Ended(failed.clone(), AttemptResult::Failed),
    );
    assert_eq!(
        out,
        [Action::Ejected(failed.clone(), secs(2))],
        "the second ejection lasts twice as long"
    );
    step(&mut health, secs(4), Event::Started(failed.clone()));
    let out = step(
        &mut health,
        secs(4),
        Event::Ended(failed.clone(), AttemptResult::Answered(LOW_LATENCY)),
    );
    assert_eq!(out, [Action::Restored(failed.clone())]);
    assert_eq!(health.ejected_count(), 0);
}

/// A probe that the caller cancels does not block the next one.
#[test]
fn cancelled_probe_allows_another() {
    let mut health = health(9);
    let failed = pool(9)[4].clone();
    fail(&mut health, secs(1), &failed);
    step(&mut health, secs(3), Event::Started(failed.clone()));
    step(
        &mut health,
        secs(3),
        Event::Ended(failed.clone(), AttemptResult::Neutral),
    );
    assert_eq!(health.admit(secs(3), &failed), Admission::Probe);
}

#[test]
fn restarted_upstream_starts_slowly() {
    let mut health = health(3);
    let cold = pool(3)[0].clone();
    let full_limit = health.limit(secs(1), &cold);
    step(&mut health, secs(1), Event::Restarted(cold.clone()));
    let limits: Vec<u32> = (1..=11).map(|s| health.limit(secs(s), &cold)).collect();
    assert!(limits.is_sorted());
    assert!(limits[0] <= full_limit / 8, "{limits:?}");
    assert_eq!(limits[10], full_limit);
}

/// Returns the limit that a closed loop reaches against an upstream that runs `capacity` requests
/// concurrently. Latency grows with the excess over it.
fn settled_limit(capacity: u32) -> u32 {
    let mut health = health(1);
    let upstream = pool(1)[0].clone();
    let mut now = secs(1);
    for _ in 0..3_000 {
        let limit = health.limit(now, &upstream);
        for _ in 0..limit {
            step(&mut health, now, Event::Started(upstream.clone()));
        }
        let excess = f64::from(limit.max(capacity)) / f64::from(capacity);
        let latency = LOW_LATENCY.mul_f64(excess.powi(3));
        now += latency;
        for _ in 0..limit {
            let result = if limit > capacity * 2 {
                AttemptResult::Overloaded
            } else {
                AttemptResult::Answered(latency)
            };
            step(&mut health, now, Event::Ended(upstream.clone(), result));
        }
    }
    health.limit(now, &upstream)
}

#[test]
fn limit_follows_capacity() {
    for capacity in [4, 32, 100] {
        let limit = settled_limit(capacity);
        assert!(
            limit >= capacity / 2 && limit <= capacity * 2 + 1,
            "{capacity}: {limit}"
        );
    }
}

/// With any attempt results at any times, the share of ejected upstreams, the ejection times and
/// the concurrency limits stay within their bounds.
#[test]
fn any_results() {
    let config = proptest::test_runner::Config {
        cases: 500,
        rng_seed: RngSeed::Fixed(9),
        failure_persistence: None,
        ..Default::default()
    };
    let result = prop_oneof![
        3 => Just(AttemptResult::Failed),
        1 => (1..500_u64).prop_map(|ms| AttemptResult::Answered(Duration::from_millis(ms))),
        1 => Just(AttemptResult::Overloaded),
        1 => Just(AttemptResult::Neutral),
    ];
    let step_of = (0..9_usize, 0..3_u8, result, 0..800_u64);
    let strategy = (1..10_usize, proptest::collection::vec(step_of, 1..200));
    let check = |(count, steps): (usize, Vec<(usize, u8, AttemptResult, u64)>)| {
        let limits = Config::default();
        let names = pool(count);
        let mut health = health(count);
        let mut now = secs(1);
        for (index, kind, result, pause) in steps {
            now += Duration::from_millis(pause);
            let upstream = names[index % count].clone();
            let event = match kind {
                0 if matches!(
                    health.admit(now, &upstream),
                    Admission::Allowed | Admission::Probe
                ) =>
                {
                    Event::Started(upstream)
                }
                0 => Event::Tick,
                1 => Event::Ended(upstream, result),
                _ if pause < 20 => Event::Restarted(upstream),
                _ => Event::Ended(upstream, result),
            };
            step(&mut health, now, event);
            prop_assert!(health.ejected_count() as f64 <= count as f64 * limits.max_ejected_share);
            for name in &names {
                prop_assert!(health.limit(now, name) <= limits.max_limit);
                let admission = health.admit(now, name);
                if let Admission::Ejected(left) = admission {
                    prop_assert!(left <= limits.max_ejection_time);
                }
                if admission == Admission::Allowed {
                    prop_assert!(health.in_flight(name) < health.limit(now, name));
                }
            }
        }
        Ok(())
    };
    TestRunner::new(config)
        .run(&strategy, check)
        .expect("the property holds");
}

/// An upstream that asks for a pause gets no requests during it and starts slowly after it.
#[test]
fn pause_is_respected() {
    let mut health = health(3);
    let paused = pool(3)[1].clone();
    let pause = Duration::from_millis(1_500);
    step(&mut health, secs(1), Event::Paused(paused.clone(), pause));
    // Neither responses to its requests in flight nor a shorter pause end the pause.
    attempt(
        &mut health,
        secs(2),
        &paused,
        AttemptResult::Answered(LOW_LATENCY),
    );
    step(
        &mut health,
        secs(2),
        Event::Paused(paused.clone(), LOW_LATENCY),
    );
    let left = Duration::from_millis(500);
    assert_eq!(health.admit(secs(2), &paused), Admission::Ejected(left));
    assert_eq!(health.limit(secs(2), &paused), 0);
    assert_eq!(health.admit(secs(3), &paused), Admission::Allowed);
    let limit = Config::default().initial_limit;
    assert!(health.limit(secs(3), &paused) < limit);
    assert_eq!(health.limit(secs(20), &paused), limit);
}
