//! When a request leaves an upstream that is silent.

use std::time::Duration;

use dispatch::Kind;
use dispatch::outcome::{Cause, Stage, decide};
use dispatch::retry::{Budget, Config, Failure, Next, Progress, Retry};
use dispatch::silence::{PoolSilence, SILENCE_MIN, Tracker, Usual, Wait};
use rstest::rstest;
use wire::Upstream;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const SENT: Duration = ms(10_000);

fn wait(target: Duration, useful: Duration, usual: Duration) -> Wait {
    Wait {
        since: SENT,
        on_time: SENT + target,
        useful: SENT + useful,
        mean: usual / 3,
        usual,
    }
}

/// A request that leaves at the limit is on time elsewhere, if that is possible at all.
#[rstest]
#[case::long_target(ms(5_000), ms(300), ms(4_600))]
#[case::usual_target(ms(800), ms(200), ms(500))]
#[case::likely_on_time(ms(800), ms(510), ms(510))]
#[case::late_anyway(ms(800), ms(600), ms(1_000))]
#[case::slow_service(ms(800), ms(1_500), ms(1_500))]
fn limit_leaves_time_for_another(
    #[case] target: Duration,
    #[case] usual: Duration,
    #[case] limit: Duration,
) {
    assert_eq!(wait(target, ms(2_000), usual).limit(), limit);
}

/// An upstream that answers other requests is not silent, however long one request takes.
#[rstest]
#[case::silent(ms(900), true)]
#[case::slow(ms(100), false)]
fn slow_request_is_not_silence(#[case] silence: Duration, #[case] leaves: bool) {
    let wait = wait(ms(1_000), ms(2_000), ms(200));
    assert_eq!(wait.is_over(SENT + ms(900), silence), leaves);
}

#[rstest]
fn usual_time_follows_the_samples() {
    let mut usual = Usual::default();
    assert_eq!(usual.bound(), SILENCE_MIN);
    for sample in [300, 400, 300, 400, 300, 400, 300, 400] {
        usual.record(ms(sample));
    }
    assert!(
        usual.bound() > ms(400) && usual.bound() < ms(900),
        "{usual:?}"
    );
    for _ in 0..40 {
        usual.record(ms(20));
    }
    assert_eq!(usual.bound(), SILENCE_MIN);
}

/// Guards against a storm of repeats where all upstreams of a pool are silent: only one request leaves
/// until one of them is heard from.
#[rstest]
fn silent_pool_gets_one_trial() {
    let mut pool = PoolSilence::default();
    pool.heard(SENT);
    assert!(pool.may_leave(SENT, Some(SENT)));
    pool.left(SENT + ms(500), SENT, Some(SENT));
    assert!(!pool.may_leave(SENT, Some(SENT)));
    assert!(!pool.may_leave(SENT, None));
    // The one that left was answered: the other one is sound.
    pool.heard(SENT + ms(600));
    assert!(pool.may_leave(SENT, Some(SENT + ms(600))));
    pool.left(SENT + ms(610), SENT, Some(SENT + ms(600)));
    assert!(pool.may_leave(SENT, Some(SENT + ms(600))));
}

/// A request leaves an upstream that is silent towards all requests, for one that has answered meanwhile.
#[rstest]
#[case::other_has_answered(true, true, true)]
#[case::answers_others(false, true, false)]
#[case::all_are_silent(true, false, false)]
fn request_leaves_for_a_sound_upstream(
    #[case] silent: bool,
    #[case] other_answers: bool,
    #[case] leaves: bool,
) {
    let (first, second): (Upstream, Upstream) = ("s1".into(), "s2".into());
    let mut tracker = Tracker::default();
    tracker.heard(SENT - ms(10), &first, ms(20));
    // The one trial of the pool is used up.
    tracker.left(SENT, &first, &second);
    tracker.started(SENT, &first);
    tracker.started(SENT, &second);
    if !silent {
        tracker.heard(SENT + ms(950), &first, ms(20));
    }
    if other_answers {
        tracker.heard(SENT + ms(900), &second, ms(20));
    }
    let wait = tracker.wait(SENT, SENT + ms(2_000));
    let now = SENT + ms(1_000);
    assert!(!tracker.leaves(SENT + ms(400), &wait, &first, &second));
    assert_eq!(tracker.leaves(now, &wait, &first, &second), leaves);
}

/// A repeat that was paid for when the request left its upstream is not paid for again, nor refused because
/// others have emptied the budget since.
#[rstest]
fn repeat_is_paid_for_once() {
    let config = Config::default();
    let mut retry = Retry::new(config.clone(), Kind::Idempotent, SENT, 1);
    let (mut caller, mut upstream) = (Budget::new(&config), Budget::new(&config));
    assert!(retry.start_attempt(Duration::ZERO));
    assert!(retry.leave(Duration::ZERO, &mut caller, &mut upstream));
    while upstream.withdraw() {}
    let failure = Failure {
        outcome: decide(Kind::Idempotent, Stage::Written),
        stage: Stage::Written,
        cause: Cause::Broken,
        retry_after: None,
    };
    let mut next = || {
        let progress = Progress::default();
        retry.next(
            Duration::ZERO,
            &failure,
            &progress,
            &mut caller,
            &mut upstream,
        )
    };
    assert!(matches!(next(), Next::Retry { .. }));
    assert!(matches!(next(), Next::Stop { .. }));
}

/// A request that may run once does not leave.
#[rstest]
fn once_request_stays() {
    let config = Config::default();
    let mut retry = Retry::new(config.clone(), Kind::Once, SENT, 1);
    let (mut caller, mut upstream) = (Budget::new(&config), Budget::new(&config));
    assert!(!retry.leave(Duration::ZERO, &mut caller, &mut upstream));
}
