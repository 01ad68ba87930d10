//! When a request leaves an upstream that is silent.

mod support;

use std::time::Duration;

use exchange::fleet::AttemptResult;
use exchange::silence::{PoolSilence, SILENCE_MIN, Usual, Wait};
use rstest::rstest;
use support::{fleet, ms, plain_listing};

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

/// Guards against an upstream that counts as failed although it has gone on after a silence.
#[rstest]
fn resumed_upstream_is_sound() {
    let mut fleet = fleet(SENT, [plain_listing("s1", "zone-a")]);
    fleet.request_started(SENT, "s1");
    fleet.request_started(SENT, "s1");
    fleet.request_ended(SENT + ms(500), "s1", AttemptResult::Silent);
    let score = |fleet: &exchange::Fleet, at| fleet.upstream("s1").map(|s1| s1.failure_score(at));
    assert!(score(&fleet, SENT + ms(500)) > Some(0.3));
    assert!(
        fleet
            .upstream("s1")
            .is_some_and(|s1| s1.is_silent(SENT + ms(500), ms(600)))
    );
    fleet.byte_received(SENT + ms(900), "s1");
    fleet.request_ended(SENT + ms(900), "s1", AttemptResult::Success);
    assert_eq!(score(&fleet, SENT + ms(901)), Some(0.0));
    assert!(
        fleet
            .upstream("s1")
            .is_some_and(|s1| !s1.is_silent(SENT + ms(901), ms(600)))
    );
}
