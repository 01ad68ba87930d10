//! What follows a failed attempt.

use std::time::Duration;

use dispatch::outcome::{Cause, Stage, decide};
use dispatch::retry::{Budget, Config, Failure, Next, Progress, Retry, StopReason};
use dispatch::{Kind, Outcome};
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use rstest::rstest;
use wire::Model;

const DEADLINE: Duration = Duration::from_secs(5);

fn failure(kind: Kind, stage: Stage) -> Failure {
    Failure {
        outcome: decide(kind, stage),
        stage,
        cause: Cause::Broken,
        retry_after: None,
    }
}

fn budget() -> Budget {
    Budget::new(&Config::default())
}

fn next(kind: Kind, failure: &Failure, progress: &Progress) -> Next {
    let mut retry = Retry::new(Config::default(), kind, DEADLINE, 1);
    assert!(retry.start_attempt(Duration::ZERO));
    retry.next(
        Duration::ZERO,
        failure,
        progress,
        &mut budget(),
        &mut budget(),
    )
}

fn progress(tokens: u64, resumable: bool) -> Progress {
    Progress {
        model: Some(Model::new("letters", "3")),
        tokens,
        resumable,
    }
}

#[test]
fn once_never_after_first_byte() {
    for stage in Stage::ALL {
        let failure = failure(Kind::Once, stage);
        let next = next(Kind::Once, &failure, &Progress::default());
        let again = matches!(next, Next::Retry { .. });
        assert_eq!(again, stage < Stage::Writing, "{stage:?}");
        if let Next::Stop {
            retry_after,
            reason,
            ..
        } = next
        {
            assert_eq!((reason, retry_after), (StopReason::Once, None));
        }
    }
}

#[rstest]
#[case::nothing_passed_on(0, false)]
#[case::resumable(7, true)]
#[case::cut(7, false)]
fn stream_resumed_or_cut(#[case] tokens: u64, #[case] resumable: bool) {
    let failure = failure(Kind::Stream, Stage::Body);
    let next = next(Kind::Stream, &failure, &progress(tokens, resumable));
    match next {
        Next::Retry { .. } => assert_eq!(tokens, 0),
        Next::Resume {
            model, tokens: at, ..
        } => {
            assert!(resumable);
            assert_eq!((model, at), (Model::new("letters", "3"), tokens));
        }
        Next::Stop {
            reason,
            outcome,
            retry_after,
        } => {
            assert!(!resumable && tokens > 0);
            assert_eq!((reason, outcome), (StopReason::Cut, Outcome::Failed));
            assert!(retry_after.is_some());
        }
    }
}

#[test]
fn nodes_share_attempts() {
    let config = Config::default();
    let mut first = Retry::new(config.clone(), Kind::Idempotent, DEADLINE, 1);
    assert!(first.start_attempt(Duration::ZERO));
    let mark = first.pass(Duration::from_secs(1));
    let mut made = 1;
    let now = Duration::from_secs(100);
    let mut second = Retry::resume(config.clone(), Kind::Idempotent, now, mark, 2);
    while second.start_attempt(now) {
        made += 1;
    }
    assert!(
        !first.start_attempt(Duration::from_secs(1)),
        "a passed request is tried at one node only"
    );
    assert_eq!(made, u32::from(config.attempts));
    let late = now + Duration::from_secs(4);
    assert!(!Retry::resume(config, Kind::Idempotent, now, mark, 2).start_attempt(late));
}

#[test]
fn only_idempotent_hedged() {
    for kind in [Kind::Idempotent, Kind::Once, Kind::Stream] {
        let mut retry = Retry::new(Config::default(), kind, DEADLINE, 1);
        assert!(retry.start_attempt(Duration::ZERO));
        let hedged = retry.hedge(Duration::ZERO, &mut budget(), &mut budget());
        assert_eq!(hedged, kind == Kind::Idempotent);
        assert!(!retry.hedge(Duration::ZERO, &mut budget(), &mut budget()));
    }
}

/// All attempts fail. Retries stay below the budget's share of first attempts plus its burst, where a
/// naive node makes `attempts` times as many calls; no retry is planned past its deadline.
#[test]
fn storm_bounded() {
    let config = Config::default();
    let (mut caller, mut upstream) = (budget(), budget());
    let (firsts, mut attempts) = (2_000_u64, 0);
    for seed in 0..firsts {
        let mut retry = Retry::new(config.clone(), Kind::Idempotent, DEADLINE, seed);
        caller.deposit();
        upstream.deposit();
        let mut now = Duration::ZERO;
        while retry.start_attempt(now) {
            attempts += 1;
            let failure = failure(Kind::Idempotent, Stage::Connecting);
            let progress = Progress::default();
            match retry.next(now, &failure, &progress, &mut caller, &mut upstream) {
                Next::Retry { at } => {
                    assert!(at < DEADLINE);
                    now = at;
                }
                Next::Stop {
                    outcome,
                    retry_after,
                    ..
                } => {
                    assert_eq!(outcome, Outcome::NotRun);
                    assert!(retry_after.is_some());
                    break;
                }
                Next::Resume { .. } => unreachable!("no stream"),
            }
        }
    }
    assert!(
        attempts <= firsts + firsts * config.ratio / 1_000 + config.burst,
        "{attempts}"
    );
    assert!(attempts < firsts * u64::from(config.attempts));
}

type Case = (usize, usize, u64, u64, bool, u64);

/// Over any failures and any clock: never past the deadline, never more attempts than allowed,
/// the same pauses for the same seed, and no second run of what must run once.
#[test]
fn any_failures() {
    let config = proptest::test_runner::Config {
        cases: 3_000,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..Default::default()
    };
    let kind = prop_oneof![Just(Kind::Idempotent), Just(Kind::Once), Just(Kind::Stream)];
    let step = (
        0..8_usize,
        0..5_usize,
        0..2_000_u64,
        0..3_u64,
        any::<bool>(),
        0..3_000_u64,
    );
    let strategy = (kind, any::<u64>(), proptest::collection::vec(step, 1..8));
    let check = |(kind, seed, steps): (Kind, u64, Vec<Case>)| {
        let limits = Config::default();
        let mut retry = Retry::new(limits.clone(), kind, DEADLINE, seed);
        let (mut caller, mut upstream) = (budget(), budget());
        let (mut now, mut made, mut byte) = (Duration::ZERO, 0, false);
        for (stage, cause, pause, tokens, resumable, wish) in steps {
            if !retry.start_attempt(now) {
                break;
            }
            prop_assert!(now < DEADLINE && !(byte && kind == Kind::Once));
            made += 1;
            let stage = Stage::ALL[stage];
            byte |= stage >= Stage::Writing;
            now += Duration::from_millis(pause);
            let failure = Failure {
                outcome: decide(kind, stage),
                stage,
                cause: Cause::ALL[cause],
                retry_after: Some(Duration::from_millis(wish)),
            };
            let mut twin = retry.clone();
            let progress = progress(tokens, resumable);
            let same = twin.next(
                now,
                &failure,
                &progress,
                &mut caller.clone(),
                &mut upstream.clone(),
            );
            let next = retry.next(now, &failure, &progress, &mut caller, &mut upstream);
            prop_assert_eq!(&next, &same);
            match next {
                Next::Retry { at } | Next::Resume { at, .. } => {
                    prop_assert!(at < DEADLINE && at >= now + Duration::from_millis(wish));
                    prop_assert!(!matches!(failure.cause, Cause::Cancel | Cause::Shutdown));
                    now = at;
                }
                Next::Stop { outcome, .. } => {
                    prop_assert_eq!(outcome, failure.outcome);
                    break;
                }
            }
        }
        prop_assert!(made <= u32::from(limits.attempts));
        Ok(())
    };
    TestRunner::new(config)
        .run(&strategy, check)
        .expect("holds");
}
