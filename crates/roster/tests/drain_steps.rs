//! A graceful shutdown aborts requests only after a second signal or the time limit,
//! and reports them first.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use roster::drain::{Action, Drain, Event, Limit, Phase, Reason};
use rstest::rstest;
use wire::{Machine, Time};

const LIMIT: Limit = Limit {
    ttl: Duration::from_secs(10),
    total: Duration::from_secs(60),
    hand_over: Duration::from_secs(5),
};

fn at(drain: &mut Drain, secs: u64, event: Event) -> Vec<Action> {
    let mut out = Vec::new();
    drain.step(Time::from_secs(100 + secs), event, &mut out);
    out
}

fn started(in_flight: usize) -> Drain {
    let mut drain = Drain::new(LIMIT);
    assert_eq!(at(&mut drain, 0, Event::InFlight(in_flight)), []);
    let until = Time::from_secs(110);
    let wait = Action::WaitTtl { until };
    let actions = [Action::StopAddresses, Action::HandOver, wait];
    assert_eq!(at(&mut drain, 0, Event::Start), actions);
    drain
}

#[test]
fn idle_node() {
    let mut drain = started(0);
    assert_eq!(at(&mut drain, 1, Event::HandedOver), []);
    assert_eq!(at(&mut drain, 9, Event::Tick), []);
    assert_eq!(drain.wake(), Some(Time::from_secs(110)));
    assert_eq!(at(&mut drain, 10, Event::Tick), [Action::Close]);
    assert_eq!(drain.phase(), Phase::Closed);
    assert_eq!(at(&mut drain, 11, Event::Second), []);
}

/// Requests from callers with a cached address are served to completion before the close.
#[test]
fn late_request() {
    let mut drain = started(0);
    at(&mut drain, 1, Event::HandedOver);
    at(&mut drain, 9, Event::InFlight(1));
    assert_eq!(at(&mut drain, 30, Event::Tick), []);
    assert_eq!(drain.phase(), Phase::Finishing);
    assert_eq!(at(&mut drain, 31, Event::InFlight(0)), [Action::Close]);
}

#[test]
fn slow_hand_over() {
    let limit = Limit {
        hand_over: Duration::from_secs(20),
        ..LIMIT
    };
    let mut drain = Drain::new(limit);
    at(&mut drain, 0, Event::Start);
    assert_eq!(at(&mut drain, 19, Event::Tick), []);
    assert_eq!(drain.wake(), Some(Time::from_secs(120)));
    assert_eq!(at(&mut drain, 20, Event::Tick), [Action::Close]);
}

#[rstest]
#[case::second(5, Event::Second, Reason::Second)]
#[case::limit(60, Event::Tick, Reason::Limit)]
fn cut(#[case] secs: u64, #[case] event: Event, #[case] reason: Reason) {
    let mut drain = started(3);
    let report = Action::Report {
        reason,
        cut: 3,
        handed: false,
    };
    assert_eq!(at(&mut drain, secs, event), [report, Action::Close]);
}

proptest! {
    #![proptest_config(Config {
        cases: 500,
        rng_seed: RngSeed::Fixed(20_262),
        failure_persistence: None,
        ..Config::default()
    })]

    /// In-flight requests at the close are always reported first, and only with a valid reason.
    #[test]
    fn never_silent(events in proptest::collection::vec((0..6_usize, 0..4_usize, 0..9_u64), 1..40)) {
        let mut drain = Drain::new(LIMIT);
        let (mut now, mut in_flight, mut seconds) = (0, 0, 0);
        let mut begun = None;
        for (kind, count, pass) in events {
            now += pass;
            let kinds = [Event::Start, Event::Second, Event::InFlight(count), Event::HandedOver];
            let event = kinds.get(kind).copied().unwrap_or(Event::Tick);
            match event {
                Event::Start => { begun.get_or_insert(now); }
                Event::InFlight(count) => in_flight = count,
                Event::Second if begun.is_some() => seconds += 1,
                _ => {}
            }
            let out = at(&mut drain, now, event);
            if out.contains(&Action::Close) {
                let reported = matches!(out[0], Action::Report { cut, .. } if cut == in_flight);
                prop_assert!(in_flight == 0 || reported);
                let limit = begun.is_some_and(|begun| now >= begun + 60);
                prop_assert!(!reported || seconds > 0 || limit);
                prop_assert!(reported || now >= begun.unwrap() + 10);
                break;
            }
        }
    }
}
