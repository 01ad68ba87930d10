//! Urgent work never waits behind other work, a reserve is kept for it, and routine work ages.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use admission::{AGED_SHARE, Action, Event};
use proptest::prelude::*;
use rstest::rstest;
use support::{Naive, SECOND, Watch, arrival, capacity, config, event, ops, runner};
use wire::{Machine as _, Priority, Time};

/// Checks an admission against everything that waits.
fn check(state: &Naive, action: &Action, now: Time, skipped: &mut BTreeMap<String, u32>) {
    let Action::Admit { request } = action else {
        return;
    };
    let job = state
        .requests
        .iter()
        .find(|job| job.arrival.request == *request)
        .unwrap();
    assert!(job.since.is_none(), "{request} is admitted twice");
    assert!(
        job.arrival.deadline > now,
        "{request} is past its time limit"
    );
    let (pool, priority) = (&*job.arrival.pool, job.arrival.priority);
    let running = state.running(|a| &*a.pool == pool);
    assert!(
        running < state.usable(pool, priority),
        "the reserve or capacity is overrun"
    );
    assert!(
        !state.parked(&job.arrival.caller, priority),
        "the caller's limit is overrun"
    );
    let waits = |priority| !state.ready(pool, priority).is_empty();
    assert!(
        priority == Priority::Urgent || !waits(Priority::Urgent),
        "urgent waits"
    );
    let oldest = state
        .class(pool, Priority::Routine)
        .iter()
        .map(|job| job.arrived)
        .min();
    let aged = oldest.is_some_and(|arrived| now - arrived >= config().age);
    let skips = skipped.entry(pool.to_owned()).or_default();
    match priority {
        Priority::Routine => {
            let turn = aged && *skips + 1 >= AGED_SHARE;
            assert!(turn || !waits(Priority::Normal), "routine overtakes normal");
            *skips = 0;
        }
        Priority::Normal => {
            let starved = aged && waits(Priority::Routine) && *skips + 1 >= AGED_SHARE;
            assert!(!starved, "aged routine work starves");
            *skips += 1;
        }
        Priority::Urgent => {}
    }
}

proptest! {
    #![proptest_config(runner(1000))]

    #[test]
    fn order_holds_in_any_schedule(ops in ops()) {
        let mut watch = Watch::new(config());
        let mut skipped = BTreeMap::new();
        for (next, (pause, op)) in ops.iter().enumerate() {
            watch.now += Duration::from_millis(*pause);
            let now = watch.now;
            let event = event(op, now, next as u64, &watch.state);
            watch.step(event, |state, action| check(state, action, now, &mut skipped));
            for pool in watch.state.pools.keys() {
                for priority in Priority::ALL {
                    let running = watch.state.running(|a| &*a.pool == pool);
                    let idle = running < watch.state.usable(pool, priority);
                    let waits = !watch.state.ready(pool, priority).is_empty();
                    prop_assert!(!(idle && waits), "{} waits beside free capacity", priority);
                }
            }
            let late = watch.state.requests.iter().find(|job| {
                job.since.is_none() && job.arrival.deadline <= now
            });
            prop_assert!(late.is_none(), "a given-up request is held: {:?}", late);
        }
        let waiting = watch.state.requests.iter().any(|job| job.since.is_none());
        prop_assert!(!waiting || watch.queue.wake().is_some());
    }
}

#[test]
fn aged_routine_gets_its_share_behind_endless_normal() {
    let mut watch = Watch::new(admission::Config {
        waiting: 1000,
        ..config()
    });
    watch.step(capacity(1), |_, _| {});
    let far = 1000 * SECOND;
    let mut next = 0;
    let mut running = None;
    let mut order = Vec::new();
    for round in 0..40 {
        let mut priorities = vec![Priority::Normal, Priority::Normal];
        priorities.extend((round < 5).then_some(Priority::Routine));
        for priority in priorities {
            let event = Event::Arrive(arrival(next, &format!("c{}", next % 3), priority, far));
            for action in watch.step(event, |_, _| {}) {
                assert!(matches!(action, Action::Admit { .. }), "{action:?}");
                running = Some(0);
            }
            next += 1;
        }
        watch.now += SECOND;
        let finish = Event::Finish {
            request: running.unwrap(),
        };
        let admitted = watch.step(finish, |state, action| {
            let Action::Admit { request } = action else {
                panic!("{action:?}")
            };
            let job = state
                .requests
                .iter()
                .find(|job| job.arrival.request == *request);
            order.push(job.unwrap().arrival.priority);
        });
        let Action::Admit { request } = admitted[0] else {
            panic!("{admitted:?}")
        };
        running = Some(request);
    }
    let routine: Vec<usize> = (0..order.len())
        .filter(|index| order[*index] == Priority::Routine)
        .collect();
    assert_eq!(routine.len(), 5, "{order:?}");
    assert!(
        routine
            .windows(2)
            .all(|pair| pair[1] - pair[0] <= AGED_SHARE as usize)
    );
}

#[rstest]
#[case(0, 0.1, 0)]
#[case(1, 0.9, 0)]
#[case(2, 0.1, 1)]
#[case(10, 0.0, 0)]
#[case(10, 0.25, 3)]
#[case(10, 1.0, 9)]
fn reserve_leaves_a_slot_for_either(#[case] capacity: u32, #[case] share: f64, #[case] kept: u32) {
    assert_eq!(admission::reserve(capacity, share), kept);
}
