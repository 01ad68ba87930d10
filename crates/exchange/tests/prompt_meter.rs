//! Admission of prompts to an engine.

use std::time::Duration;

use exchange::prefill_limit::{EVENT_INTERVAL, INTERVAL_PREFILL_MAX, PrefillLimiter, STEP_TIME};
use proptest::prelude::*;
use rstest::rstest;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[rstest]
fn single_prompt_does_not_wait() {
    let mut limiter = PrefillLimiter::default();
    assert_eq!(limiter.admit(ms(1_000), ms(250), 1), Duration::ZERO);
}

#[rstest]
fn prompt_waits_for_a_long_prefill() {
    let mut limiter = PrefillLimiter::default();
    limiter.admit(ms(1_000), ms(230), 2);
    let wait = limiter.admit(ms(1_001), ms(30), 1);
    assert!(
        wait > ms(229),
        "the second prompt was admitted after {wait:?}"
    );
}

#[rstest]
fn urgent_request_does_not_wait_for_others() {
    let mut limiter = PrefillLimiter::default();
    for _ in 0..20 {
        limiter.admit(ms(1_000), ms(100), 2);
    }
    assert_eq!(limiter.admit(ms(1_000), ms(100), 0), Duration::ZERO);
}

/// Urgent requests wait for each other. Otherwise, with mostly urgent traffic, their prefills would
/// pause each other's streams.
#[rstest]
fn urgent_requests_wait_for_each_other() {
    let mut limiter = PrefillLimiter::default();
    limiter.admit(ms(1_000), ms(100), 2);
    let waits: Vec<Duration> = (0..4)
        .map(|_| limiter.admit(ms(1_000), ms(100), 0))
        .collect();
    assert_eq!(waits[0], Duration::ZERO);
    assert!(waits[1] > ms(100), "{waits:?}");
    assert!(waits[3] > ms(300), "{waits:?}");
    let last = limiter.admit(ms(1_000), ms(100), 2);
    assert!(last > waits[3], "{last:?} after {waits:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// In any `EVENT_INTERVAL` of step time, the prefills take no longer than
    /// `INTERVAL_PREFILL_MAX`, unless a single prompt exceeds it.
    #[test]
    fn prefill_per_interval_is_bounded(prompts in prop::collection::vec((0_u64..60, 5_u64..260), 1..60)) {
        let mut limiter = PrefillLimiter::default();
        let mut now = ms(1_000);
        let mut done = Duration::ZERO;
        let mut steps = Duration::ZERO;
        let mut started: Vec<(Duration, Duration)> = Vec::new();
        for (pause, prefill) in prompts {
            now += ms(pause);
            let start = now + limiter.admit(now, ms(prefill), 1);
            prop_assert!(start >= done, "a prompt was admitted before the end of the last prefill");
            steps += start - done;
            started.push((steps, ms(prefill)));
            let recent: Vec<Duration> = started
                .iter()
                .filter(|(at, _)| *at + EVENT_INTERVAL > steps)
                .map(|(_, prefill)| *prefill)
                .collect();
            let sum: Duration = recent.iter().sum();
            prop_assert!(sum <= INTERVAL_PREFILL_MAX || recent.len() == 1, "{:?} in one interval", recent);
            done = start + ms(prefill) + STEP_TIME;
            steps += STEP_TIME;
        }
    }
}
