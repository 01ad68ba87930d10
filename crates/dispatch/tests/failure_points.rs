//! Checks for every failure point that the caller gets the right outcome exactly once.

use std::time::Duration;

use dispatch::attempt::BodyFraming::{Chunked, ContentLength, EventStream};
use dispatch::attempt::{Action, Event, Step};
use dispatch::outcome::{Cause, Stage};
use dispatch::{Attempt, Kind, Outcome};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use rstest::rstest;
use wire::Machine;

const DEADLINE: Duration = Duration::from_secs(10);

/// Steps of a request whose response has a body of ten bytes.
const STEPS: [Step; 7] = [
    Step::Connect,
    Step::Connected,
    Step::Write,
    Step::Written,
    Step::Header(ContentLength(10)),
    Step::Body(4),
    Step::Body(6),
];

/// Runs an attempt through `steps` and then `end`, and returns what it reports. Steps that are
/// reported after the end must have no effect.
fn run_attempt(kind: Kind, steps: &[Step], end: (Duration, Step)) -> Vec<Action> {
    let mut attempt = Attempt::new(7, kind, DEADLINE);
    let mut out = Vec::new();
    let event = |step| Event { attempt: 7, step };
    for step in steps {
        attempt.step(Duration::ZERO, event(*step), &mut out);
    }
    attempt.step(end.0, event(end.1), &mut out);
    for late in [Step::Broken, Step::End, Step::Cancel, Step::Tick] {
        attempt.step(DEADLINE * 2, event(late), &mut out);
    }
    out
}

#[rstest]
#[case::before_connect(0, Stage::Queued, [Outcome::NotRun; 3])]
#[case::connecting(1, Stage::Connecting, [Outcome::NotRun; 3])]
#[case::connected(2, Stage::Connected, [Outcome::NotRun; 3])]
#[case::written_in_part(3, Stage::Writing, [Outcome::Failed, Outcome::Unknown, Outcome::Failed])]
#[case::written_whole(4, Stage::Written, [Outcome::Failed, Outcome::Unknown, Outcome::Failed])]
#[case::header(5, Stage::Header, [Outcome::Failed, Outcome::Unknown, Outcome::Failed])]
#[case::middle_of_body(6, Stage::Body, [Outcome::Failed, Outcome::Unknown, Outcome::Failed])]
fn point(
    #[case] steps: usize,
    #[case] stage: Stage,
    #[case] outcomes: [Outcome; 3],
    #[values(
        (Duration::ZERO, Step::Broken, Cause::Broken),
        (Duration::ZERO, Step::End, Cause::Broken),
        (DEADLINE, Step::Tick, Cause::Deadline),
        (Duration::ZERO, Step::Cancel, Cause::Cancel),
        (Duration::ZERO, Step::Shutdown, Cause::Shutdown)
    )]
    end: (Duration, Step, Cause),
) {
    for (kind, outcome) in [Kind::Idempotent, Kind::Once, Kind::Stream]
        .into_iter()
        .zip(outcomes)
    {
        let out = run_attempt(kind, &STEPS[..steps], (end.0, end.1));
        let reported: Vec<_> = out.iter().map(|a| (a.outcome, a.stage, a.cause)).collect();
        assert_eq!(reported, [(outcome, stage, end.2)], "{kind:?}");
    }
}

#[rstest]
#[case::content_length(&[Step::Header(ContentLength(4)), Step::Body(4)], Outcome::Answered)]
#[case::too_short(&[Step::Header(ContentLength(5)), Step::Body(4)], Outcome::Failed)]
#[case::too_long(&[Step::Header(ContentLength(3)), Step::Body(4)], Outcome::Failed)]
#[case::chunked(&[Step::Header(Chunked), Step::Body(4)], Outcome::Answered)]
#[case::event_stream(
    &[Step::Header(EventStream), Step::Body(4), Step::LastEvent],
    Outcome::Answered
)]
#[case::event_stream_without_last_event(
    &[Step::Header(EventStream), Step::Body(4)],
    Outcome::Failed
)]
#[case::no_header(&[], Outcome::Failed)]
#[case::body_before_header(&[Step::Body(4)], Outcome::Failed)]
#[case::two_headers(&[Step::Header(Chunked), Step::Header(Chunked)], Outcome::Failed)]
fn complete_body_is_required(#[case] response: &[Step], #[case] outcome: Outcome) {
    let steps = [&STEPS[..4], response].concat();
    let out = run_attempt(Kind::Idempotent, &steps, (Duration::ZERO, Step::End));
    assert_eq!(out.len(), 1);
    assert_eq!(out[0].outcome, outcome);
}

/// Events of another attempt have no effect.
#[test]
fn crossed_reports_dropped() {
    let mut attempt = Attempt::new(7, Kind::Once, DEADLINE);
    let mut out = Vec::new();
    for step in [Step::Broken, Step::Written, Step::End] {
        attempt.step(Duration::ZERO, Event { attempt: 6, step }, &mut out);
    }
    assert!(out.is_empty());
    assert_eq!(attempt.stage(), Stage::Queued);
}

/// With any steps in any order, `not-run` is never reported after a byte may have been written, and
/// the end is reported at most once.
#[test]
fn any_order() {
    let step = prop_oneof![
        Just(Step::Connect),
        Just(Step::Connected),
        Just(Step::Write),
        Just(Step::Written),
        Just(Step::Header(ContentLength(3))),
        (0..5_u64).prop_map(Step::Body),
        Just(Step::LastEvent),
        Just(Step::End),
        Just(Step::Broken),
        Just(Step::Cancel),
        Just(Step::Shutdown),
        Just(Step::Tick),
    ];
    let config = Config {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    };
    let strategy = proptest::collection::vec((step, 6..11_u64), 0..12);
    let check = |steps: Vec<(Step, u64)>| {
        let mut attempt = Attempt::new(7, Kind::Once, DEADLINE);
        let mut out = Vec::new();
        let mut written = false;
        for (step, second) in steps {
            written |= !attempt.has_ended() && matches!(step, Step::Write | Step::Written);
            let event = Event { attempt: 7, step };
            attempt.step(Duration::from_secs(second), event, &mut out);
        }
        prop_assert!(out.len() <= 1);
        let not_run = out.iter().any(|action| action.outcome == Outcome::NotRun);
        prop_assert!(!(not_run && written));
        Ok(())
    };
    TestRunner::new(config)
        .run(&strategy, check)
        .expect("the property holds");
}
