//! What a node knows of the brittleness of upstreams.

mod support;

use std::time::Duration;

use exchange::fleet::Listing;
use exchange::permit::{Brittleness, room, unissued_rate};
use rstest::rstest;
use support::{fleet, ms, plain_listing};

/// Answers overtake each other: an older one without an announcement does not end a newer one.
#[test]
fn older_answer_ends_nothing() {
    let mut known = Brittleness::default();
    assert!(known.record(ms(100), ms(90), Some(5)));
    assert!(!known.record(ms(120), ms(95), None));
    assert_eq!(known.tolerance(), Some(5));
    assert!(known.record(ms(140), ms(110), None));
    assert_eq!(known.tolerance(), None);
}

/// Only a node that has had an answer without an announcement knows that the first one is new.
#[test]
fn notice_follows_an_answer_without_announcement() {
    let mut known = Brittleness::default();
    known.record(ms(100), ms(90), Some(5));
    assert_eq!(known.notice(ms(100)), Duration::ZERO);
    let mut known = Brittleness::default();
    known.record(ms(100), ms(90), None);
    known.record(ms(200), ms(190), Some(5));
    assert!(known.notice(ms(200)) > ms(2_000));
}

/// Guards against a burst to a process that has not said yet that it is brittle as well: one under the
/// same id, and a new one of the pool.
#[rstest]
#[case::same_id("s1", 2)]
#[case::new_id("s2", 1)]
fn next_process_is_brittle_until_it_answers(#[case] id: &str, #[case] born: u64) {
    let mut fleet = fleet(ms(0), [plain_listing("s1", "zone-a")]);
    fleet.record_brittleness(ms(100), "s1", ms(90), Some(5));
    let listing = Listing {
        born: Some(born),
        ..plain_listing(id, "zone-a")
    };
    fleet.apply_listing(ms(200), listing);
    let tolerance = |fleet: &exchange::Fleet| {
        let known = fleet.upstream(id).expect("listed");
        known.brittleness.tolerance()
    };
    assert_eq!(tolerance(&fleet), Some(5));
    // An answer to a request that the former process got says nothing.
    fleet.record_brittleness(ms(210), id, ms(190), None);
    assert_eq!(tolerance(&fleet), Some(5));
    fleet.record_brittleness(ms(230), id, ms(220), None);
    assert_eq!(tolerance(&fleet), None);
}

/// Parts of a split fleet do not issue more than an upstream has slots.
#[rstest]
#[case::small(6, 7)]
#[case::large(6, 195)]
#[case::engine(64, 73)]
fn parts_of_a_fleet_share_the_slots(#[case] slots: u32, #[case] nodes: u32) {
    for seen in 0..=nodes / 2 {
        let part = f64::from(seen) / f64::from(nodes);
        assert!(room(slots, part) + room(slots, 1.0 - part) <= slots + 1);
    }
    assert_eq!(room(slots, 1.0), slots);
}

/// All nodes without an issuer together send less than the upstream survives to turn away.
#[rstest]
fn unissued_requests_are_survived(
    #[values(1, 2, 5, 20)] tolerance: u32,
    #[values(1.0, 7.0, 195.0)] nodes: f64,
) {
    assert!(unissued_rate(tolerance, nodes) * nodes < f64::from(tolerance));
}
