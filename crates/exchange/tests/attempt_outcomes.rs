//! What a failed attempt means for its caller.

use std::time::Duration;

use exchange::outcome::{Next, Reach, Standing};
use exchange::proof::{Proof, Refusal};
use exchange::route::Kind;
use rstest::rstest;

fn standing(kind: Kind, reach: Reach, worst: Reach) -> Standing {
    Standing {
        kind,
        reach,
        worst,
        left: 1,
        time: Duration::from_secs(1),
        least: Duration::from_millis(25),
    }
}

const NOT_RUN: Reach = Reach::NotRun(Proof::unsent());
const STREAM: Kind = Kind::Stream { resumable: false };
const RESUMABLE: Kind = Kind::Stream { resumable: true };

#[rstest]
#[case::once(Kind::Once, Next::Unknown)]
#[case::stream(STREAM, Next::Unknown)]
#[case::idempotent(Kind::Idempotent, Next::Again)]
#[case::resumable(RESUMABLE, Next::Again)]
fn what_may_have_run(#[case] kind: Kind, #[case] next: Next) {
    let standing = standing(kind, Reach::Unknown, Reach::Unknown);
    assert_eq!(standing.next(true), next);
}

#[rstest]
fn what_did_not_run_goes_elsewhere(
    #[values(Kind::Once, STREAM, Kind::Idempotent, RESUMABLE)] kind: Kind,
) {
    let standing = standing(kind, NOT_RUN, NOT_RUN);
    assert_eq!(standing.next(true), Next::Again);
    assert_eq!(standing.next(false), Next::Refuse);
}

/// "Not run" is never said after an attempt that may have run.
#[rstest]
fn refusal_needs_that_nothing_ran(
    #[values(Kind::Once, STREAM, Kind::Idempotent, RESUMABLE)] kind: Kind,
    #[values(true, false)] budget: bool,
) {
    let mut standing = standing(kind, NOT_RUN, Reach::Unknown);
    standing.left = 0;
    assert_eq!(standing.next(budget), Next::Unknown);
}

#[rstest]
fn nothing_follows_without_time() {
    let mut standing = standing(Kind::Idempotent, NOT_RUN, NOT_RUN);
    standing.time = Duration::from_millis(10);
    assert_eq!(standing.next(true), Next::Refuse);
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
