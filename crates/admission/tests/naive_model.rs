//! The machine gives the same actions as the plain model, event for event.

mod support;

use std::time::Duration;

use admission::Queue;
use proptest::prelude::*;
use support::{Naive, config, event, ops, runner};
use wire::{Machine, Time};

proptest! {
    #![proptest_config(runner(1500))]

    #[test]
    fn same_as_naive(ops in ops()) {
        let mut queue = Queue::new(config());
        let mut naive = Naive::default();
        let mut now = Time::ZERO;
        for (next, (pause, op)) in ops.iter().enumerate() {
            now += Duration::from_millis(*pause);
            let event = event(op, now, next as u64, &naive);
            let (mut got, mut expected) = (Vec::new(), Vec::new());
            queue.step(now, event.clone(), &mut got);
            naive.step(now, event.clone(), &mut expected);
            prop_assert_eq!(&got, &expected, "step {} at {:?}: {:?}", next, now, event);
            let waiting = naive.requests.iter().filter(|job| job.since.is_none()).count();
            prop_assert_eq!(queue.waiting(), waiting);
            prop_assert_eq!(queue.callers(), naive.accounts.len());
        }
    }
}
