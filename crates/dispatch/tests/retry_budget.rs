//! Decisions after a failed attempt.

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
        let retried = matches!(next, Next::Retry { .. });
        assert_eq!(retried, stage < Stage::Writing, "{stage:?}");
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
#[case::no_token_sent(0, false)]
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

/// A request that is forwarded to another node has no more attempts than one that stays.
#[test]
fn nodes_share_attempts() {
    let config = Config::default();
    let mut first = Retry::new(config.clone(), Kind::Idempotent, DEADLINE, 1);
    assert!(first.start_attempt(Duration::ZERO));
    let limits = first.forward(Duration::from_secs(1));
    let mut attempts = 1;
    let now = Duration::from_secs(100);
    let mut second = Retry::from_forwarded(config.clone(), Kind::Idempotent, now, limits, 2);
    while second.start_attempt(now) {
        attempts += 1;
    }
    assert!(
        !first.start_attempt(Duration::from_secs(1)),
        "only the node that a request was forwarded to may try it"
    );
    assert_eq!(attempts, u32::from(config.max_attempts));
    let late = now + Duration::from_secs(4);
    assert!(!Retry::from_forwarded(config, Kind::Idempotent, now, limits, 2).start_attempt(late));
}

#[test]
fn only_idempotent_requests_are_hedged() {
    for kind in [Kind::Idempotent, Kind::Once, Kind::Stream] {
        let mut retry = Retry::new(Config::default(), kind, DEADLINE, 1);
        assert!(retry.start_attempt(Duration::ZERO));
        let hedged = retry.hedge(Duration::ZERO, &mut budget(), &mut budget());
        assert_eq!(hedged, kind == Kind::Idempotent);
        assert!(!retry.hedge(Duration::ZERO, &mut budget(), &mut budget()));
    }
}

/// If all attempts fail, the retries stay within the budget's share of the first attempts plus its
/// burst, whereas a node without budgets makes `max_attempts` times as many calls. No retry is
/// scheduled after its deadline.
#[test]
fn retry_storm_is_bounded() {
    let config = Config::default();
    let (mut caller, mut upstream) = (budget(), budget());
    let (first_attempts, mut attempts) = (2_000_u64, 0);
    for seed in 0..first_attempts {
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
                Next::Resume { .. } => unreachable!("not a stream"),
            }
        }
    }
    assert!(
        attempts <= first_attempts + first_attempts * config.deposit / 1_000 + config.burst,
        "{attempts}"
    );
    assert!(attempts < first_attempts * u64::from(config.max_attempts));
}

/// Stage, cause, time until the failure, tokens sent, resumability and requested pause.
type Case = (usize, usize, u64, u64, bool, u64);

/// For any failures at any times, no attempt starts after the deadline, there are no more attempts
/// than allowed, the same seed gives the same pauses, and a request that must run once does not run
/// twice.
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
        let (mut now, mut attempts, mut byte_written) = (Duration::ZERO, 0, false);
        for (stage, cause, elapsed, tokens, resumable, retry_after) in steps {
            if !retry.start_attempt(now) {
                break;
            }
            prop_assert!(now < DEADLINE && !(byte_written && kind == Kind::Once));
            attempts += 1;
            let stage = Stage::ALL[stage];
            byte_written |= stage >= Stage::Writing;
            now += Duration::from_millis(elapsed);
            let failure = Failure {
                outcome: decide(kind, stage),
                stage,
                cause: Cause::ALL[cause],
                retry_after: Some(Duration::from_millis(retry_after)),
            };
            let mut copy = retry.clone();
            let progress = progress(tokens, resumable);
            let next_of_copy = copy.next(
                now,
                &failure,
                &progress,
                &mut caller.clone(),
                &mut upstream.clone(),
            );
            let next = retry.next(now, &failure, &progress, &mut caller, &mut upstream);
            prop_assert_eq!(&next, &next_of_copy);
            match next {
                Next::Retry { at } | Next::Resume { at, .. } => {
                    prop_assert!(at < DEADLINE && at >= now + Duration::from_millis(retry_after));
                    prop_assert!(!matches!(failure.cause, Cause::Cancel | Cause::Shutdown));
                    now = at;
                }
                Next::Stop { outcome, .. } => {
                    prop_assert_eq!(outcome, failure.outcome);
                    break;
                }
            }
        }
        prop_assert!(attempts <= u32::from(limits.max_attempts));
        Ok(())
    };
    TestRunner::new(config)
        .run(&strategy, check)
        .expect("the property holds");
}
