//! Requests are shed before they would wait in vain, and the retry time told is honest.

mod support;

use std::time::Duration;

use admission::{Action, Event, Reason};
use proptest::prelude::*;
use rstest::rstest;
use support::{SECOND, Watch, arrival, capacity, config, runner};
use wire::{Machine, Priority, Time};

/// Ends every request that has run for the queue's expected time, up to `until`.
fn play(watch: &mut Watch, until: Time) -> Vec<Action> {
    let mut out = Vec::new();
    loop {
        let ends = watch.state.requests.iter();
        let ends = ends.filter_map(|job| Some((job.since? + SECOND, job.arrival.request)));
        let Some((end, request)) = ends.min().filter(|(end, _)| *end <= until) else {
            watch.now = until;
            return out;
        };
        watch.now = end;
        out.extend(watch.step(Event::Finish { request }, |_, _| {}));
    }
}

proptest! {
    #![proptest_config(runner(400))]

    #[test]
    fn no_wait_is_in_vain_and_retries_pass(
        slots in 1..6u32,
        arrivals in proptest::collection::vec((0..500u64, 1..6000u64), 1..80),
    ) {
        let mut watch = Watch::new(admission::Config { waiting: 1000, ..config() });
        watch.step(capacity(slots), |_, _| {});
        let mut refused = None;
        for (next, (pause, limit)) in arrivals.iter().enumerate() {
            let until = watch.now + Duration::from_millis(*pause);
            let out = play(&mut watch, until);
            let limit = Duration::from_millis(*limit);
            let deadline = watch.now + limit;
            let arrival = arrival(next as u64, "c", Priority::Normal, deadline);
            let answer = watch.step(Event::Arrive(arrival), |_, _| {});
            for action in out.iter().chain(&answer) {
                if let Action::Refuse { request, reason, retry_after } = action {
                    prop_assert_eq!(*reason, Reason::Busy);
                    prop_assert_eq!(*request, next as u64, "a queued request was given up");
                    refused = Some((limit, *retry_after));
                    break;
                }
            }
        }
        // Without others, a retry after the time told is not refused.
        if let Some((limit, retry_after)) = refused
            && watch.state.requests.last().is_none_or(|job| job.arrived < watch.now)
        {
            let until = watch.now + retry_after;
            play(&mut watch, until);
            let deadline = watch.now + limit;
            let arrival = arrival(10_000, "c", Priority::Normal, deadline);
            let answer = watch.step(Event::Arrive(arrival), |_, _| {});
            prop_assert!(!matches!(answer.first(), Some(Action::Refuse { .. })), "{:?}", answer);
        }
    }
}

#[rstest]
#[case(0, 60, Reason::Outage)]
#[case(1, 0, Reason::Late)]
#[case(1, 1, Reason::Busy)]
fn refusals_are_immediate(#[case] slots: u32, #[case] limit: u64, #[case] expected: Reason) {
    let mut watch = Watch::new(config());
    watch.step(capacity(slots), |_, _| {});
    let far = 60 * SECOND;
    watch.step(
        Event::Arrive(arrival(0, "a", Priority::Normal, far)),
        |_, _| {},
    );
    watch.step(
        Event::Arrive(arrival(1, "a", Priority::Normal, far)),
        |_, _| {},
    );
    let deadline = Duration::from_secs(limit);
    let out = watch.step(
        Event::Arrive(arrival(2, "b", Priority::Normal, deadline)),
        |_, _| {},
    );
    let Action::Refuse {
        request: 2,
        reason,
        retry_after,
    } = out[0]
    else {
        panic!("{out:?}")
    };
    assert_eq!((out.len(), reason), (1, expected));
    assert!(retry_after > Duration::ZERO);
}

#[test]
fn full_queue_gives_way_to_higher_priorities_only() {
    let mut watch = Watch::new(admission::Config {
        waiting: 2,
        ..config()
    });
    watch.step(capacity(1), |_, _| {});
    let far = 60 * SECOND;
    let mut ask = |request, priority| {
        watch.step(
            Event::Arrive(arrival(request, "a", priority, far)),
            |_, _| {},
        )
    };
    for request in 0..3 {
        ask(request, Priority::Routine);
    }
    let refused = |out: Vec<Action>| match out.as_slice() {
        [
            Action::Refuse {
                request,
                reason: Reason::Full,
                ..
            },
        ] => *request,
        other => panic!("{other:?}"),
    };
    assert_eq!(refused(ask(3, Priority::Routine)), 3);
    assert_eq!(refused(ask(4, Priority::Urgent)), 2);
    assert_eq!(refused(ask(5, Priority::Normal)), 1);
    assert_eq!(refused(ask(6, Priority::Normal)), 6);
}

#[test]
fn lost_capacity_gives_up_waits_at_once() {
    let mut watch = Watch::new(config());
    watch.step(capacity(4), |_, _| {});
    for request in 0..8 {
        let deadline = (3 * SECOND) / 2;
        watch.step(
            Event::Arrive(arrival(request, "a", Priority::Normal, deadline)),
            |_, _| {},
        );
    }
    assert_eq!(watch.queue.waiting(), 3);
    let out = watch.step(capacity(0), |_, _| {});
    assert_eq!(out.len(), 3);
    assert_eq!(watch.queue.waiting(), 0);
    assert!(watch.queue.wake().is_none());
}

#[test]
fn routine_is_not_shed_where_its_age_brings_it_on() {
    let mut watch = Watch::new(admission::Config {
        waiting: 1000,
        ..config()
    });
    watch.step(capacity(1), |_, _| {});
    let far = 1000 * SECOND;
    for request in 0..100 {
        watch.step(
            Event::Arrive(arrival(request, "a", Priority::Normal, far)),
            |_, _| {},
        );
    }
    let mut ask = |request, limit| {
        let arrival = arrival(request, "b", Priority::Routine, limit);
        watch.step(Event::Arrive(arrival), |_, _| {})
    };
    // The first of four admissions is past, so the fourth comes after three seconds; all of the
    // others would take a hundred.
    assert!(matches!(
        ask(100, 3 * SECOND)[..],
        [Action::Refuse {
            reason: Reason::Busy,
            ..
        }]
    ));
    assert_eq!(ask(101, 4 * SECOND), []);
    let out = play(&mut watch, 3 * SECOND);
    assert!(out.contains(&Action::Admit { request: 101 }), "{out:?}");
}
