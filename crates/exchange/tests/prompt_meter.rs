//! When an engine is given another prompt to read.

use std::time::Duration;

use exchange::prefill_limit::{EVENT_INTERVAL, INTERVAL_PREFILL_MAX, PrefillLimiter, STEP_TIME};
use proptest::prelude::*;
use rstest::rstest;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[rstest]
fn lone_prompt_goes_at_once() {
    let mut meter = PrefillLimiter::default();
    assert_eq!(meter.admit(ms(1_000), ms(250), 1), Duration::ZERO);
}

#[rstest]
fn nothing_follows_a_long_prompt_at_once() {
    let mut meter = PrefillLimiter::default();
    meter.admit(ms(1_000), ms(230), 2);
    let wait = meter.admit(ms(1_001), ms(30), 1);
    assert!(
        wait > ms(229),
        "the second prompt was let in after {wait:?}"
    );
}

#[rstest]
fn urgent_request_never_waits() {
    let mut meter = PrefillLimiter::default();
    for _ in 0..20 {
        meter.admit(ms(1_000), ms(100), 2);
    }
    assert_eq!(meter.admit(ms(1_000), ms(100), 0), Duration::ZERO);
}

/// Where most traffic is urgent, it waits for its own kind: else its prompts would pause each
/// other's streams.
#[rstest]
fn urgent_requests_wait_for_each_other() {
    let mut meter = PrefillLimiter::default();
    meter.admit(ms(1_000), ms(100), 2);
    let waits: Vec<Duration> = (0..4).map(|_| meter.admit(ms(1_000), ms(100), 0)).collect();
    assert_eq!(waits[0], Duration::ZERO);
    assert!(waits[1] > ms(100), "{waits:?}");
    assert!(waits[3] > ms(300), "{waits:?}");
    let last = meter.admit(ms(1_000), ms(100), 2);
    assert!(last > waits[3], "{last:?} after {waits:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// In any breath of step time, which is the time between two events of a stream, the engine
    /// reads no more than a group, unless a single prompt exceeds it.
    #[test]
    fn groups_are_bounded(prompts in prop::collection::vec((0_u64..60, 5_u64..260), 1..60)) {
        let mut meter = PrefillLimiter::default();
        let mut now = ms(1_000);
        let mut done = Duration::ZERO;
        let mut steps = Duration::ZERO;
        let mut read: Vec<(Duration, Duration)> = Vec::new();
        for (pause, reading) in prompts {
            now += ms(pause);
            let start = now + meter.admit(now, ms(reading), 1);
            prop_assert!(start >= done, "a prompt was let in before the last one was read");
            steps += start - done;
            read.push((steps, ms(reading)));
            let recent: Vec<Duration> = read
                .iter()
                .filter(|(at, _)| *at + EVENT_INTERVAL > steps)
                .map(|(_, reading)| *reading)
                .collect();
            let sum: Duration = recent.iter().sum();
            prop_assert!(sum <= INTERVAL_PREFILL_MAX || recent.len() == 1, "{:?} in one breath", recent);
            done = start + ms(reading) + STEP_TIME;
            steps += STEP_TIME;
        }
    }
}
