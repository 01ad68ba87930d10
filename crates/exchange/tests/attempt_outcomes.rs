//! What a failed attempt means for its caller.

use std::time::Duration;

use exchange::outcome::{Execution, FailedAttempt, RetryDecision};
use exchange::proof::{Proof, Refusal};
use exchange::route::RouteKind;
use rstest::rstest;

fn standing(kind: RouteKind, reach: Execution, worst: Execution) -> FailedAttempt {
    FailedAttempt {
        kind,
        execution: reach,
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
fn what_may_have_run(#[case] kind: RouteKind, #[case] next: RetryDecision) {
    let standing = standing(kind, Execution::Unknown, Execution::Unknown);
    assert_eq!(standing.decide(true), next);
}

#[rstest]
fn what_did_not_run_goes_elsewhere(
    #[values(RouteKind::Once, STREAM, RouteKind::Idempotent, RESUMABLE)] kind: RouteKind,
) {
    let standing = standing(kind, NOT_RUN, NOT_RUN);
    assert_eq!(standing.decide(true), RetryDecision::Retry);
    assert_eq!(standing.decide(false), RetryDecision::Refuse);
}

/// "Not run" is never said after an attempt that may have run.
#[rstest]
fn refusal_needs_that_nothing_ran(
    #[values(RouteKind::Once, STREAM, RouteKind::Idempotent, RESUMABLE)] kind: RouteKind,
    #[values(true, false)] budget: bool,
) {
    let mut standing = standing(kind, NOT_RUN, Execution::Unknown);
    standing.attempts_left = 0;
    assert_eq!(standing.decide(budget), RetryDecision::Unknown);
}

#[rstest]
fn nothing_follows_without_time() {
    let mut standing = standing(RouteKind::Idempotent, NOT_RUN, NOT_RUN);
    standing.time_left = Duration::from_millis(10);
    assert_eq!(standing.decide(true), RetryDecision::Refuse);
}

/// A refusal proves something only if it is stated, names the attempt, and cannot be a copy of an
/// earlier one.
#[rstest]
fn refusal_needs_statement_and_name(
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
