//! Retry decisions and final answers after failed attempts.

use std::time::Duration;

use exchange::outcome::{Execution, FailedAttempt, RetryDecision};
use exchange::proof::{Proof, Refusal};
use exchange::route::RouteKind;
use rstest::rstest;

fn failed_attempt(kind: RouteKind, execution: Execution, worst: Execution) -> FailedAttempt {
    FailedAttempt {
        kind,
        execution,
        worst,
        attempts_left: 1,
        time_left: Duration::from_secs(1),
        min_time: Duration::from_millis(25),
    }
}

const NOT_RUN: Execution = Execution::NotRun(Proof::unsent());
const STREAM: RouteKind = RouteKind::Stream { resumable: false };
const RESUMABLE: RouteKind = RouteKind::Stream { resumable: true };

#[rstest]
#[case::once(RouteKind::Once, RetryDecision::Unknown)]
#[case::stream(STREAM, RetryDecision::Unknown)]
#[case::idempotent(RouteKind::Idempotent, RetryDecision::Retry)]
#[case::resumable(RESUMABLE, RetryDecision::Retry)]
fn request_that_may_have_run_is_retried_by_kind(
    #[case] kind: RouteKind,
    #[case] expected: RetryDecision,
) {
    let attempt = failed_attempt(kind, Execution::Unknown, Execution::Unknown);
    assert_eq!(attempt.decide(true), expected);
}

#[rstest]
fn request_that_did_not_run_is_retried_within_budget(
    #[values(RouteKind::Once, STREAM, RouteKind::Idempotent, RESUMABLE)] kind: RouteKind,
) {
    let attempt = failed_attempt(kind, NOT_RUN, NOT_RUN);
    assert_eq!(attempt.decide(true), RetryDecision::Retry);
    assert_eq!(attempt.decide(false), RetryDecision::Refuse);
}

/// A caller is never told "not run" if an earlier attempt may have run.
#[rstest]
fn refusal_requires_that_no_attempt_ran(
    #[values(RouteKind::Once, STREAM, RouteKind::Idempotent, RESUMABLE)] kind: RouteKind,
    #[values(true, false)] within_budget: bool,
) {
    let mut attempt = failed_attempt(kind, NOT_RUN, Execution::Unknown);
    attempt.attempts_left = 0;
    assert_eq!(attempt.decide(within_budget), RetryDecision::Unknown);
}

#[rstest]
fn no_retry_without_time_left() {
    let mut attempt = failed_attempt(RouteKind::Idempotent, NOT_RUN, NOT_RUN);
    attempt.time_left = Duration::from_millis(10);
    assert_eq!(attempt.decide(true), RetryDecision::Refuse);
}

/// A refusal is proof only if the upstream states that it did not run the request, names the
/// attempt, and cannot have sent a copy of an earlier refusal.
#[rstest]
fn refusal_is_proof_only_if_stated_named_and_first(
    #[values(true, false)] stated: bool,
    #[values(true, false)] named: bool,
    #[values(true, false)] repeated: bool,
) {
    let proof = Proof::refused(Refusal {
        states_not_run: stated,
        names_attempt: named,
        connection_retried: repeated,
    });
    assert_eq!(proof.is_some(), stated && named && !repeated);
}
