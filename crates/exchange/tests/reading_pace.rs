//! How long prompts are expected to take at engines whose speed nobody states.

mod support;

use std::time::Duration;

use exchange::reading::{Pace, TELLING};
use rstest::rstest;
use support::ms;

const PROMPT: Duration = ms(100);

/// Lets prompts be read that take `ratio` times as long as by the settings, every third one of
/// them twice as long, since streams run beside it.
fn read(pace: &mut Pace, prompts: usize, reading: Duration, ratio: f64) {
    for index in 0..prompts {
        let crowd = if index % 3 == 0 { 2.0 } else { 1.0 };
        pace.learn(reading, ms(40) + reading.mul_f64(ratio * crowd));
    }
}

#[rstest]
#[case::as_stated(1.0)]
#[case::slow(2.1)]
#[case::fast(0.6)]
fn speed_of_engines_is_learnt(#[case] ratio: f64) {
    let mut pace = Pace::default();
    read(&mut pace, 150, PROMPT, ratio);
    let told = pace.expect(PROMPT).as_secs_f64() / PROMPT.as_secs_f64();
    assert!(
        (told / ratio - 1.0).abs() < 0.12,
        "{told:.2} instead of {ratio}"
    );
}

/// The time of a short prompt is the time around it.
#[rstest]
fn short_prompts_tell_nothing() {
    let mut pace = Pace::default();
    read(&mut pace, 150, TELLING - ms(1), 3.0);
    assert_eq!(pace, Pace::default());
}

/// An engine that stalls does not stretch what is expected without bound.
#[rstest]
fn stalls_are_bounded() {
    let mut pace = Pace::default();
    read(&mut pace, 10_000, PROMPT, 1_000.0);
    assert!(pace.expect(PROMPT) <= PROMPT * 5);
    read(&mut pace, 300, PROMPT, 1.0);
    assert!(pace.expect(PROMPT) < PROMPT.mul_f64(1.12));
}
