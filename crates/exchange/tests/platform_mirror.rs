//! Which nodes read the platform, and what they tell.

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

fn mirrors(count: usize) -> Vec<ReaderRole> {
    let live = vms(count);
    let mirror = |me: &Vm| {
        let mut mirror = ReaderRole::default();
        mirror.set_members(me, &live);
        mirror
    };
    live.iter().map(mirror).collect()
}

#[rstest]
#[case::one(1, 1)]
#[case::seven(7, 3)]
#[case::eighty(80, 3)]
fn three_nodes_read(#[case] nodes: usize, #[case] readers: usize) {
    let mut mirrors = mirrors(nodes);
    let now = ms(10_000);
    for mirror in &mut mirrors {
        mirror.update_received(now - ms(200), ms(100));
    }
    let reading = mirrors
        .iter()
        .filter(|mirror| mirror.is_reader(now))
        .count();
    assert_eq!(reading, readers);
}

/// Where the readers fall silent the others take over one after the other, not all at once.
#[rstest]
fn others_take_over_in_turn() {
    let mut mirrors = mirrors(80);
    let silent_since = ms(10_000);
    for mirror in &mut mirrors {
        mirror.update_received(silent_since, ms(0));
    }
    let reading = |after: u64| {
        let now = silent_since + ms(after);
        mirrors
            .iter()
            .filter(|mirror| mirror.is_reader(now))
            .count()
    };
    assert_eq!(reading(700), 3);
    assert_eq!(reading(850), 4);
    assert_eq!(reading(950), 5);
    assert!(reading(5_000) == 80, "all read in the end");
}

/// Where all readers lose the platform in silence, another one reads so soon that a new
/// configuration is still in force within two seconds.
#[rstest]
fn silent_readers_are_replaced() {
    let mut mirrors = mirrors(7);
    let lost = ms(10_000);
    for mirror in &mut mirrors {
        for age in [0, 300, 600, 900, 1_200, 1_500] {
            mirror.update_received(lost + ms(age), ms(age));
        }
    }
    let reading = mirrors
        .iter()
        .filter(|mirror| mirror.is_reader(lost + ms(1_700)));
    assert!(reading.count() > 3);
}

/// A reader that says that it lost the platform is replaced unless another is heard.
#[rstest]
#[case::alone(false, 4)]
#[case::beside_another(true, 3)]
fn lost_reader_says_so(#[case] other: bool, #[case] readers: usize) {
    let mut mirrors = mirrors(7);
    let now = ms(10_000);
    for mirror in &mut mirrors {
        mirror.update_received(now, ms(0));
        mirror.update_received(now, ms(u64::from(u32::MAX)));
        if other {
            mirror.update_received(now + ms(200), ms(100));
        }
    }
    let reading = mirrors
        .iter()
        .filter(|mirror| mirror.is_reader(now + ms(400)));
    assert_eq!(reading.count(), readers);
}

#[rstest]
fn old_knowledge_is_no_news() {
    let mut mirrors = mirrors(7);
    let now = ms(10_000);
    for mirror in &mut mirrors {
        mirror.update_received(now, ms(9_000));
    }
    assert!(mirrors.iter().all(|mirror| mirror.is_reader(now)));
}

#[rstest]
fn lasting_difference_is_made_up_once() {
    let mut mirror = ReaderRole::default();
    mirror.set_in_sync(ms(1_000), false);
    assert!(!mirror.take_relist(ms(1_500)));
    assert!(mirror.take_relist(ms(2_100)));
    assert!(!mirror.take_relist(ms(2_200)));
    mirror.set_in_sync(ms(3_000), true);
    assert!(!mirror.take_relist(ms(60_000)));
}

#[rstest]
fn outline_leaves_adapters_alone() {
    let now = ms(1_000);
    let mut fleet = fleet(now, [engine("e1", &[])]);
    fleet.set_presence(now, "e1", &target("a"), Presence::Held(None));
    let outline = engine("e1", &["b"]).summary();
    assert_eq!(
        fleet.apply_summary(now + ms(60_000), outline),
        ListingChange::Same
    );
    let runner = fleet.upstream("e1").expect("listed");
    assert_eq!(runner.presence(&target("a")), Presence::Held(None));
    assert_eq!(runner.presence(&target("b")), Presence::Absent);
    assert_eq!(runner.presence(&bare()), Presence::Held(None));
}

#[rstest]
fn leaving_process_does_not_come_back() {
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
