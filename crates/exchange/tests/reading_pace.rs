//! How long prompts are expected to take at engines whose speed nobody states.

mod support;

use std::time::Duration;

use exchange::prefill_estimate::{PrefillEstimator, RATIO_SAMPLE_MIN};
use rstest::rstest;
use support::ms;

const PROMPT: Duration = ms(100);

/// Reading time of short prompts by the settings, and the time around the reading of any.
const SHORT: Duration = ms(20);
const AROUND: Duration = ms(70);

/// Lets prompts be read that take `ratio` times as long as by the settings, with two short ones for
/// each; every third takes longer, since streams run beside it.
fn read(pace: &mut PrefillEstimator, prompts: usize, ratio: f64) {
    for index in 0..prompts {
        let crowd = if index % 3 == 0 { ms(90) } else { ms(0) };
        for reading in [SHORT, PROMPT, SHORT] {
            pace.record_sample(reading, AROUND + crowd + reading.mul_f64(ratio));
        }
    }
}

#[rstest]
#[case::as_stated(1.0)]
#[case::slow(2.1)]
#[case::fast(0.6)]
fn speed_of_engines_is_learnt(#[case] ratio: f64) {
    let mut pace = PrefillEstimator::default();
    read(&mut pace, 200, ratio);
    let told = pace.estimate(PROMPT).as_secs_f64() / PROMPT.as_secs_f64();
    assert!(
        (told / ratio - 1.0).abs() < 0.12,
        "{told:.2} instead of {ratio}"
    );
}

/// The time of a short prompt is the time around it.
#[rstest]
fn short_prompts_do_not_tell_the_ratio() {
    let mut pace = PrefillEstimator::default();
    for _ in 0..500 {
        pace.record_sample(RATIO_SAMPLE_MIN - ms(1), ms(300));
    }
    assert_eq!(pace.estimate(PROMPT), PROMPT);
}

/// An engine that stalls does not stretch what is expected without bound.
#[rstest]
fn stalls_are_bounded() {
    let mut pace = PrefillEstimator::default();
    read(&mut pace, 1_000, 1_000.0);
    assert!(pace.estimate(PROMPT) <= PROMPT * 5);
    read(&mut pace, 5_000, 1.0);
    assert!(pace.estimate(PROMPT) < PROMPT.mul_f64(1.12));
}
