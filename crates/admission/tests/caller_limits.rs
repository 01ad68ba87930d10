//! Rate, concurrency and memory of callers stay bounded, and shares between callers are fair.

mod support;

use std::time::Duration;

use admission::{Action, Event, Limit, Reason};
use proptest::prelude::*;
use support::{SECOND, Watch, arrival, capacity, config, runner};
use wire::{Machine, Priority};

proptest! {
    #![proptest_config(runner(300))]

    #[test]
    fn rate_holds_in_every_window_and_retry_is_exact(
        rate in 0.5..20.0f64,
        burst in 1..10u32,
        pauses in proptest::collection::vec(0..400u64, 1..200),
    ) {
        let mut watch = Watch::new(config());
        watch.step(capacity(100_000), |_, _| {});
        let limit = Some(Limit::new(rate, burst, 100_000));
        let mut passed = Vec::new();
        let mut request = 0;
        let mut ask = |watch: &mut Watch| {
            request += 1;
            let deadline = watch.now + SECOND;
            let arrival = arrival(request, "c", Priority::Normal, deadline);
            let out = watch.step(Event::Arrive(admission::Arrival { limit, ..arrival }), |_, _| {});
            watch.step(Event::Finish { request }, |_, _| {});
            out[0]
        };
        for pause in pauses {
            watch.now += Duration::from_millis(pause);
            if let Action::Refuse { reason, retry_after, .. } = ask(&mut watch) {
                prop_assert_eq!(reason, Reason::Rate);
                watch.now += retry_after;
                prop_assert!(matches!(ask(&mut watch), Action::Admit { .. }), "retry was early");
            }
            passed.push(watch.now.as_secs_f64());
        }
        for (start, from) in passed.iter().enumerate() {
            for (end, until) in passed.iter().enumerate().skip(start) {
                let most = f64::from(burst) + (until - from) * rate + 1e-6;
                prop_assert!((end - start + 1) as f64 <= most.floor().max(1.0) + 1e-6);
            }
        }
    }

    #[test]
    fn backlogged_callers_share_equally(
        loads in proptest::collection::vec(1..60usize, 2..6),
        slots in 1..5u32,
        picks in proptest::collection::vec(any::<usize>(), 60),
    ) {
        let mut watch = Watch::new(admission::Config { waiting: 1000, reserve: 0.0, ..config() });
        let far = 100_000 * SECOND;
        watch.step(capacity(slots), |_, _| {});
        let mut next = 0;
        // The slots are taken, so that every request of the callers has to wait.
        for _ in 0..slots {
            watch.step(Event::Arrive(arrival(next, "first", Priority::Normal, far)), |_, _| {});
            next += 1;
        }
        for (caller, load) in loads.iter().enumerate() {
            for _ in 0..*load {
                let arrival = arrival(next, &format!("c{caller}"), Priority::Normal, far);
                watch.step(Event::Arrive(arrival), |_, _| {});
                next += 1;
            }
        }
        let mut served = vec![0usize; loads.len()];
        for pick in picks {
            watch.now += SECOND / 10;
            let jobs = watch.state.requests.iter().filter(|job| job.since.is_some());
            let running: Vec<u64> = jobs.map(|job| job.arrival.request).collect();
            let Some(request) = running.get(pick % running.len().max(1)) else { break };
            let finish = Event::Finish { request: *request };
            for action in watch.step(finish, |_, _| {}) {
                let Action::Admit { request } = action else { panic!("{action:?}") };
                let caller = watch.state.job(request).arrival.caller.clone();
                served[caller[1..].parse::<usize>().unwrap()] += 1;
            }
            for (a, b) in (0..loads.len()).flat_map(|a| (0..loads.len()).map(move |b| (a, b))) {
                let both = served[a] < loads[a] && served[b] < loads[b];
                prop_assert!(!both || served[a].abs_diff(served[b]) <= 1, "{:?}", served);
            }
        }
    }
}

#[test]
fn cancelled_requests_are_not_charged() {
    let mut watch = Watch::new(admission::Config {
        waiting: 1000,
        ..config()
    });
    let far = 100_000 * SECOND;
    watch.step(capacity(1), |_, _| {});
    watch.step(
        Event::Arrive(arrival(0, "x", Priority::Normal, far)),
        |_, _| {},
    );
    for request in 1..100 {
        watch.step(
            Event::Arrive(arrival(request, "a", Priority::Normal, far)),
            |_, _| {},
        );
    }
    for request in 1..99 {
        watch.step(Event::Cancel { request }, |_, _| {});
    }
    watch.step(
        Event::Arrive(arrival(100, "b", Priority::Normal, far)),
        |_, _| {},
    );
    let out = watch.step(Event::Finish { request: 0 }, |_, _| {});
    assert_eq!(out, [Action::Admit { request: 99 }]);
}

#[test]
fn own_routine_work_leaves_room_for_own_urgent_work() {
    let mut watch = Watch::new(config());
    watch.step(capacity(100), |_, _| {});
    let limit = Some(Limit::new(1000.0, 100, 3).with_reserve(1));
    let mut ask = |request, priority| {
        let arrival = arrival(request, "c", priority, 60 * SECOND);
        watch.step(
            Event::Arrive(admission::Arrival { limit, ..arrival }),
            |_, _| {},
        )
    };
    let admitted = |request| vec![Action::Admit { request }];
    assert_eq!(ask(1, Priority::Routine), admitted(1));
    assert_eq!(ask(2, Priority::Routine), admitted(2));
    assert_eq!(ask(3, Priority::Routine), []);
    assert_eq!(ask(4, Priority::Urgent), admitted(4));
    assert_eq!(ask(5, Priority::Urgent), []);
    assert_eq!(
        watch.step(Event::Finish { request: 4 }, |_, _| {}),
        admitted(5)
    );
}

#[test]
fn idle_callers_are_forgotten() {
    let mut watch = Watch::new(config());
    watch.step(capacity(2), |_, _| {});
    let limit = Some(Limit::new(10.0, 5, 2));
    // One request hangs on its caller's limit, so that its class never empties.
    for request in [1_000_000, 1_000_001] {
        let arrival = arrival(request, "hung", Priority::Normal, 100_000 * SECOND);
        let limit = Some(Limit::new(1000.0, 100, 1));
        watch.step(
            Event::Arrive(admission::Arrival { limit, ..arrival }),
            |_, _| {},
        );
    }
    watch.step(capacity(3), |_, _| {});
    for request in 0..20_000 {
        watch.now += SECOND / 50;
        let caller = format!("c{request}");
        let arrival = arrival(request, &caller, Priority::Normal, watch.now + SECOND);
        watch.step(
            Event::Arrive(admission::Arrival { limit, ..arrival }),
            |_, _| {},
        );
        watch.step(Event::Finish { request }, |_, _| {});
        // A bucket of this limit fills within a tenth of a second: five callers, and the hung.
        assert!(watch.queue.callers() <= 7, "{}", watch.queue.callers());
    }
    let wake = watch.queue.wake();
    assert!(wake.is_some_and(|wake| wake <= watch.now + SECOND));
}
