//! A quorum lost at once, an old group that runs on cut off, and a list that can't be read.

mod fleet;

use std::time::Duration;

use fleet::{CALM, Fleet, Told, ms};
use once::participant::Reason;
use once::{Config, Outcome};
use rstest::rstest;

fn config() -> Config {
    let mut config = Config {
        retry_window: Duration::from_secs(10),
        max_wait: Duration::from_secs(2),
        fence: Duration::from_secs(5),
        ..fleet::config()
    };
    config.quarantine = config.full_quarantine();
    config
}

fn refused(fleet: &Fleet, call: usize) -> Option<(Outcome, Reason)> {
    match fleet.told(call) {
        Some(Told::Refused(outcome, reason)) => Some((*outcome, *reason)),
        _ => None,
    }
}

fn answered(fleet: &Fleet, call: usize) -> bool {
    matches!(fleet.told(call), Some(Told::Record(_)))
}

#[test]
fn cold_fleet_serves_tickets() {
    let mut fleet = Fleet::new(1, 7, config(), CALM);
    fleet.take_ticket();
    let first = fleet.call(0, 1, "a");
    fleet.run(ms(100));
    assert!(answered(&fleet, first));
    (0..7).for_each(|node| fleet.restart(node));
    fleet.run(Duration::from_secs(6));
    assert_eq!(fleet.voting_nodes(), 7, "founded again by itself");
    let retry = fleet.call(2, 1, "a");
    fleet.take_ticket();
    let new = fleet.call(2, 2, "a");
    fleet.run(ms(100));
    assert_eq!(
        refused(&fleet, retry),
        Some((Outcome::Unknown, Reason::Quarantine))
    );
    assert!(
        answered(&fleet, new),
        "a key with the new ticket waits for nothing"
    );
    fleet.run(config().quarantine);
    let late = fleet.call(2, 3, "a");
    fleet.run(ms(100));
    assert!(answered(&fleet, late));
    assert!(fleet.broken().is_empty());
}

#[test]
fn majority_restarted_founds_again() {
    let mut fleet = Fleet::new(2, 7, config(), CALM);
    let key_of_survivor = fleet.call(6, 1, "a");
    fleet.run(ms(100));
    assert_eq!(
        refused(&fleet, key_of_survivor),
        Some((Outcome::Unknown, Reason::Quarantine))
    );
    fleet.run(config().quarantine);
    let done = fleet.call(6, 2, "a");
    fleet.run(ms(100));
    (0..4).for_each(|node| fleet.restart(node));
    fleet.run(Duration::from_secs(10));
    assert_eq!(fleet.voting_nodes(), 7);
    let retry = fleet.call(6, 2, "a");
    fleet.run(ms(100));
    assert_eq!(
        fleet.told(done),
        fleet.told(retry),
        "a survivor still has the answer"
    );
}

/// Four of the seven run on, cut off from the list and from the seven that took their places.
#[rstest]
#[case::fenced(true, false)]
#[case::no_fence(false, false)]
#[case::tickets(true, true)]
fn cut_off_group_stops(#[case] fenced: bool, #[case] tickets: bool) {
    let mut config = config();
    if !fenced {
        config.fence = Duration::from_secs(1_000);
        config.quarantine = Duration::ZERO;
    }
    let mut fleet = Fleet::new(3, 7, config.clone(), CALM);
    fleet.run(config.quarantine);
    (0..4).for_each(|node| fleet.side(node, 1));
    (4..7).for_each(|node| fleet.kill(node));
    for node in 0..7 {
        fleet.delist(node);
        fleet.boot();
    }
    let mut open = Vec::new();
    for second in 0..60 {
        if tickets {
            fleet.take_ticket();
        }
        open.push((second, second));
        open.retain(|(_, since)| second <= since + 10);
        for (key, _) in open.clone() {
            fleet.call(key % 4, key, "a");
            fleet.call(7 + key % 7, key, "a");
        }
        fleet.run(Duration::from_secs(1));
    }
    let served = fleet.calls.iter().filter(|call| call.wrote.is_some());
    let new_side = served
        .filter(|call| call.node.vm.as_ref() >= "vm-07")
        .count();
    assert!(tickets || new_side > 0, "the new group serves in the end");
    assert_eq!(fleet.broken().is_empty(), fenced, "{:?}", fleet.broken());
}

#[test]
fn unread_list_fences() {
    let mut fleet = Fleet::new(4, 7, config(), CALM);
    fleet.run(config().quarantine);
    fleet.list_down = true;
    fleet.run(config().fence + Duration::from_secs(1));
    let plain = fleet.call(0, 1, "a");
    fleet.take_ticket();
    let ticket = fleet.call(0, 2, "a");
    fleet.run(ms(100));
    assert_eq!(
        refused(&fleet, plain),
        Some((Outcome::Unknown, Reason::Fenced))
    );
    assert!(answered(&fleet, ticket));
}

#[test]
fn leaving_hands_over() {
    // All seven are replaced well within the window.
    let config = Config {
        retry_window: Duration::from_secs(60),
        ..config()
    };
    let mut fleet = Fleet::new(5, 7, config, CALM);
    fleet.take_ticket();
    let first = fleet.call(0, 1, "a");
    fleet.run(ms(100));
    for node in 0..7 {
        fleet.leave(node);
        fleet.run(ms(500));
        assert!(fleet.guard(node).is_drained(), "node {node}");
        fleet.kill(node);
        fleet.delist(node);
        fleet.boot();
        fleet.run(Duration::from_secs(2));
    }
    let retry = fleet.call(9, 1, "a");
    fleet.run(ms(100));
    assert!(answered(&fleet, first));
    assert_eq!(fleet.told(first), fleet.told(retry));
}
