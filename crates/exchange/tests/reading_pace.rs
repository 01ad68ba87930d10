//! Estimation of prefill times on engines whose speed is unknown.

mod support;

use std::time::Duration;

use exchange::prefill_estimate::{PrefillEstimator, RATIO_SAMPLE_MIN};
use rstest::rstest;
use support::ms;

const PROMPT: Duration = ms(100);

/// Prefill time of short prompts according to the settings.
const SHORT: Duration = ms(20);
/// Time to the first event in addition to the prefill.
const OVERHEAD: Duration = ms(70);

/// Records `prompts` samples that take `ratio` times as long as the settings say, each between two
/// samples of short prompts. Every third takes longer because of concurrent streams.
fn record_samples(estimator: &mut PrefillEstimator, prompts: usize, ratio: f64) {
    for index in 0..prompts {
        let delay = if index % 3 == 0 { ms(90) } else { ms(0) };
        for nominal in [SHORT, PROMPT, SHORT] {
            estimator.record_sample(nominal, OVERHEAD + delay + nominal.mul_f64(ratio));
        }
    }
}

#[rstest]
#[case::as_stated(1.0)]
#[case::slow(2.1)]
#[case::fast(0.6)]
fn engine_speed_is_learnt(#[case] ratio: f64) {
    let mut estimator = PrefillEstimator::default();
    record_samples(&mut estimator, 200, ratio);
    let estimated = estimator.estimate(PROMPT).as_secs_f64() / PROMPT.as_secs_f64();
    assert!(
        (estimated / ratio - 1.0).abs() < 0.12,
        "estimated ratio {estimated:.2} instead of {ratio}"
    );
}

/// The time of a short prompt is mostly overhead and must not change the ratio.
#[rstest]
fn short_prompts_do_not_change_the_ratio() {
    let mut estimator = PrefillEstimator::default();
    for _ in 0..500 {
        estimator.record_sample(RATIO_SAMPLE_MIN - ms(1), ms(300));
    }
    assert_eq!(estimator.estimate(PROMPT), PROMPT);
}

/// A stalling engine does not raise the estimate without bound, and the estimate recovers.
#[rstest]
fn estimate_is_bounded() {
    let mut estimator = PrefillEstimator::default();
    record_samples(&mut estimator, 1_000, 1_000.0);
    assert!(estimator.estimate(PROMPT) <= PROMPT * 5);
    record_samples(&mut estimator, 5_000, 1.0);
    assert!(estimator.estimate(PROMPT) < PROMPT.mul_f64(1.12));
}
