//! Election of the nodes that read the platform, and application of their updates.

mod support;

use exchange::fleet::{ListingChange, Presence};
use exchange::platform_reader::ReaderRole;
use rstest::rstest;
use support::{bare, engine, fleet, ms, target};
use wire::Vm;

fn vms(count: usize) -> Vec<Vm> {
    (0..count)
        .map(|index| format!("vm-{index}").into())
        .collect()
}

fn roles(count: usize) -> Vec<ReaderRole> {
    let live = vms(count);
    let role = |me: &Vm| {
        let mut role = ReaderRole::default();
        role.set_members(me, &live);
        role
    };
    live.iter().map(role).collect()
}

#[rstest]
#[case::one(1, 1)]
#[case::seven(7, 3)]
#[case::eighty(80, 3)]
fn three_nodes_read(#[case] nodes: usize, #[case] readers: usize) {
    let mut roles = roles(nodes);
    let now = ms(10_000);
    for role in &mut roles {
        role.update_received(now - ms(200), ms(100));
    }
    let reading = roles.iter().filter(|role| role.is_reader(now)).count();
    assert_eq!(reading, readers);
}

/// If no reader sends updates, the other nodes take over one after the other, not all at once.
#[rstest]
fn nodes_take_over_one_by_one() {
    let mut roles = roles(80);
    let silent_since = ms(10_000);
    for role in &mut roles {
        role.update_received(silent_since, ms(0));
    }
    let readers = |after: u64| {
        let now = silent_since + ms(after);
        roles.iter().filter(|role| role.is_reader(now)).count()
    };
    assert_eq!(readers(700), 3);
    assert_eq!(readers(850), 4);
    assert_eq!(readers(950), 5);
    assert!(readers(5_000) == 80, "not all nodes became readers");
}

/// If all readers lose the platform without noticing, another node takes over early enough for a
/// new configuration to be in force within two seconds.
#[rstest]
fn readers_with_stale_data_are_replaced() {
    let mut roles = roles(7);
    let lost = ms(10_000);
    for role in &mut roles {
        for age in [0, 300, 600, 900, 1_200, 1_500] {
            role.update_received(lost + ms(age), ms(age));
        }
    }
    let reading = roles.iter().filter(|role| role.is_reader(lost + ms(1_700)));
    assert!(reading.count() > 3);
}

/// A reader that reports the loss of the platform is replaced, unless another reader sends an
/// update.
#[rstest]
#[case::alone(false, 4)]
#[case::beside_another(true, 3)]
fn reader_that_lost_the_platform_is_replaced(#[case] other: bool, #[case] readers: usize) {
    let mut roles = roles(7);
    let now = ms(10_000);
    for role in &mut roles {
        role.update_received(now, ms(0));
        role.update_received(now, ms(u64::from(u32::MAX)));
        if other {
            role.update_received(now + ms(200), ms(100));
        }
    }
    let reading = roles.iter().filter(|role| role.is_reader(now + ms(400)));
    assert_eq!(reading.count(), readers);
}

#[rstest]
fn stale_update_does_not_count() {
    let mut roles = roles(7);
    let now = ms(10_000);
    for role in &mut roles {
        role.update_received(now, ms(9_000));
    }
    assert!(roles.iter().all(|role| role.is_reader(now)));
}

#[rstest]
fn lasting_difference_causes_one_relist() {
    let mut role = ReaderRole::default();
    role.set_in_sync(ms(1_000), false);
    assert!(!role.take_relist(ms(1_500)));
    assert!(role.take_relist(ms(2_100)));
    assert!(!role.take_relist(ms(2_200)));
    role.set_in_sync(ms(3_000), true);
    assert!(!role.take_relist(ms(60_000)));
}

#[rstest]
fn summary_keeps_adapters() {
    let now = ms(1_000);
    let mut fleet = fleet(now, [engine("e1", &[])]);
    fleet.set_presence(now, "e1", &target("a"), Presence::Held(None));
    let summary = engine("e1", &["b"]).summary();
    assert_eq!(
        fleet.apply_summary(now + ms(60_000), summary),
        ListingChange::Same
    );
    let upstream = fleet.upstream("e1").expect("listed");
    assert_eq!(upstream.presence(&target("a")), Presence::Held(None));
    assert_eq!(upstream.presence(&target("b")), Presence::Absent);
    assert_eq!(upstream.presence(&bare()), Presence::Held(None));
}

#[rstest]
fn leaving_process_stays_leaving() {
    let now = ms(1_000);
    let mut fleet = fleet(now, [engine("e1", &[])]);
    let mut leaving = engine("e1", &[]);
    leaving.leaving = true;
    assert_eq!(fleet.apply_summary(now, leaving), ListingChange::Leaving);
    fleet.apply_summary(now, engine("e1", &[]));
    assert!(!fleet.upstream("e1").expect("listed").is_eligible());
}

#[rstest]
fn equal_fleets_have_equal_digests() {
    let now = ms(1_000);
    let one = fleet(now, [engine("e1", &["a"]), engine("e2", &[])]);
    let other = fleet(now, [engine("e2", &["b"]), engine("e1", &[])]);
    assert_eq!(one.digest(), other.digest());
    let mut leaving = engine("e2", &[]);
    leaving.leaving = true;
    let third = fleet(now, [engine("e1", &[]), leaving]);
    assert_ne!(one.digest(), third.digest());
}
