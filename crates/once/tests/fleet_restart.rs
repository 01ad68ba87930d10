//! Loss of a quorum of witnesses, an old lineage that continues in a network partition, and a VM
//! list that can't be read.

mod fleet;

use std::time::Duration;

use fleet::{Fleet, RELIABLE, Reply, ms};
use once::participant::Reason;
use once::{Config, Outcome};
use rstest::rstest;

fn config() -> Config {
    let mut config = Config {
        retry_window: Duration::from_secs(10),
        max_wait: Duration::from_secs(2),
        max_list_age: Duration::from_secs(5),
        ..fleet::config()
    };
    config.quarantine = config.full_quarantine();
    config
}

fn refused(fleet: &Fleet, call: usize) -> Option<(Outcome, Reason)> {
    match fleet.reply(call) {
        Some(Reply::Refused(outcome, reason)) => Some((*outcome, *reason)),
        _ => None,
    }
}

fn answered(fleet: &Fleet, call: usize) -> bool {
    matches!(fleet.reply(call), Some(Reply::Record(_)))
}

#[test]
fn restarted_fleet_accepts_tickets() {
    let mut fleet = Fleet::new(1, 7, config(), RELIABLE);
    fleet.use_current_ticket();
    let first = fleet.call(0, 1, "a");
    fleet.run(ms(100));
    assert!(answered(&fleet, first));
    (0..7).for_each(|node| fleet.restart(node));
    fleet.run(Duration::from_secs(6));
    assert_eq!(
        fleet.voting_nodes(),
        7,
        "the restarted nodes found a new lineage"
    );
    let retry = fleet.call(2, 1, "a");
    fleet.use_current_ticket();
    let new = fleet.call(2, 2, "a");
    fleet.run(ms(100));
    assert_eq!(
        refused(&fleet, retry),
        Some((Outcome::Unknown, Reason::Quarantine))
    );
    assert!(
        answered(&fleet, new),
        "a key with the new ticket needs no quarantine"
    );
    fleet.run(config().quarantine);
    let late = fleet.call(2, 3, "a");
    fleet.run(ms(100));
    assert!(answered(&fleet, late));
    assert!(fleet.violations().is_empty());
}

#[test]
fn majority_restarted_founds_again() {
    let mut fleet = Fleet::new(2, 7, config(), RELIABLE);
    let quarantined = fleet.call(6, 1, "a");
    fleet.run(ms(100));
    assert_eq!(
        refused(&fleet, quarantined),
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
        fleet.reply(done),
        fleet.reply(retry),
        "a surviving witness still has the result"
    );
}

/// Four of the seven nodes keep running in a partition without access to the VM list, while seven
/// new nodes replace the old ones. A key must not run in both partitions: the old group has to stop
/// accepting keys without a ticket before the quarantine of the new group ends.
#[rstest]
#[case::fenced(true, false)]
#[case::no_fence(false, false)]
#[case::tickets(true, true)]
fn cut_off_group_stops(#[case] fenced: bool, #[case] tickets: bool) {
    let mut config = config();
    if !fenced {
        config.max_list_age = Duration::from_secs(1_000);
        config.quarantine = Duration::ZERO;
    }
    let mut fleet = Fleet::new(3, 7, config.clone(), RELIABLE);
    fleet.run(config.quarantine);
    (0..4).for_each(|node| fleet.set_partition(node, 1));
    (4..7).for_each(|node| fleet.kill(node));
    for node in 0..7 {
        fleet.delist(node);
        fleet.start_vm();
    }
    let mut open = Vec::new();
    for second in 0..60 {
        if tickets {
            fleet.use_current_ticket();
        }
        open.push((second, second));
        open.retain(|(_, since)| second <= since + 10);
        for (key, _) in open.clone() {
            fleet.call(key % 4, key, "a");
            fleet.call(7 + key % 7, key, "a");
        }
        fleet.run(Duration::from_secs(1));
    }
    let executed = fleet.calls.iter().filter(|call| call.written_at.is_some());
    let new_group = executed
        .filter(|call| call.node.vm.as_ref() >= "vm-07")
        .count();
    assert!(
        tickets || new_group > 0,
        "the new group executes calls eventually"
    );
    assert_eq!(
        fleet.violations().is_empty(),
        fenced,
        "{:?}",
        fleet.violations()
    );
}

#[test]
fn stale_list_refuses_keys_without_ticket() {
    let mut fleet = Fleet::new(4, 7, config(), RELIABLE);
    fleet.run(config().quarantine);
    fleet.list_unavailable = true;
    fleet.run(config().max_list_age + Duration::from_secs(1));
    let plain = fleet.call(0, 1, "a");
    fleet.use_current_ticket();
    let ticket = fleet.call(0, 2, "a");
    fleet.run(ms(100));
    assert_eq!(
        refused(&fleet, plain),
        Some((Outcome::Unknown, Reason::Fenced))
    );
    assert!(answered(&fleet, ticket));
}

#[test]
fn leaving_nodes_hand_over() {
    // Long enough that all seven nodes are replaced within the retry window.
    let config = Config {
        retry_window: Duration::from_secs(60),
        ..config()
    };
    let mut fleet = Fleet::new(5, 7, config, RELIABLE);
    fleet.use_current_ticket();
    let first = fleet.call(0, 1, "a");
    fleet.run(ms(100));
    for node in 0..7 {
        fleet.leave(node);
        fleet.run(ms(500));
        assert!(fleet.participant(node).is_drained(), "node {node}");
        fleet.kill(node);
        fleet.delist(node);
        fleet.start_vm();
        fleet.run(Duration::from_secs(2));
    }
    let retry = fleet.call(9, 1, "a");
    fleet.run(ms(100));
    assert!(answered(&fleet, first));
    assert_eq!(fleet.reply(first), fleet.reply(retry));
}
