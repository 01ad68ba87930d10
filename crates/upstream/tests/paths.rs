//! The choice between direct connections and those through peers.

use std::time::Duration;

use rstest::rstest;
use upstream::path::{Control, Paths, Peer, Step, Way};
use wire::{Time, Upstream, Vm};

fn ms(millis: u64) -> Time {
    Duration::from_millis(millis)
}

fn id(name: &str) -> Upstream {
    name.into()
}

fn peer(vm: &str, zone: &str) -> Peer {
    Peer {
        vm: vm.into(),
        zone: zone.into(),
        address: ([10, 0, 0, 1], 1).into(),
    }
}

/// Returns the paths of `me` in `z1`, which has two peers there and two in `z2`.
fn paths() -> Paths {
    let mut paths = Paths::new("me", "z1");
    let peers = [
        ("me", "z1"),
        ("b", "z1"),
        ("c", "z1"),
        ("d", "z2"),
        ("e", "z2"),
    ];
    paths.set_peers(peers.map(|(vm, zone)| peer(vm, zone)));
    paths
}

fn names(paths: &Paths, now: Time, upstream: &str) -> Vec<Vm> {
    let candidates = paths.candidates(now, &id(upstream)).into_iter();
    candidates.map(|peer| peer.vm).collect()
}

fn direct() -> Way {
    Way::Direct
}

#[test]
fn sound_paths_are_direct_first() {
    let mut paths = paths();
    let Step::Race { head_start } = paths.step(ms(0), &id("u")) else {
        panic!("no race");
    };
    assert!(head_start >= ms(50), "{head_start:?}");
    assert!(paths.keeps("u", &direct(), None));
    assert!(!paths.is_lost("u"));
}

#[test]
fn node_without_peers_connects_directly() {
    let mut paths = Paths::new("me", "z1");
    paths.set_peers([peer("me", "z1")]);
    assert_eq!(paths.step(ms(0), &id("u")), Step::Direct);
    assert!(!paths.may_check(ms(0), &id("u"), ms(0)));
}

#[test]
fn lost_path_goes_through_the_peer_until_it_is_back() {
    let mut paths = paths();
    let peer: Vm = "d".into();
    paths.relayed(ms(100), &id("u"), &peer);
    assert_eq!(paths.step(ms(110), &id("u")), Step::Relay);
    assert_eq!(names(&paths, ms(110), "u")[0], peer);
    assert!(!paths.keeps("u", &direct(), Some(ms(90))));
    assert!(paths.keeps("u", &Way::Peer(peer.clone()), Some(ms(105))));
    paths.reached(ms(2_000), &id("u"));
    assert!(matches!(paths.step(ms(2_010), &id("u")), Step::Race { .. }));
    assert!(paths.keeps("u", &direct(), None));
    assert!(!paths.keeps("u", &Way::Peer(peer.clone()), Some(ms(1_990))));
    let ways: Vec<Way> = paths
        .take_changes()
        .into_iter()
        .map(|change| change.way)
        .collect();
    assert_eq!(ways, [Way::Peer(peer), Way::Direct]);
    assert!(paths.take_changes().is_empty());
}

/// Guards against connections that are kept through a peer that leaves or has died.
#[test]
fn connections_through_a_peer_that_is_gone_are_dropped() {
    let mut paths = paths();
    paths.relayed(ms(100), &id("u"), &"d".into());
    paths.set_peers([peer("me", "z1"), peer("b", "z1")]);
    assert!(!paths.keeps("u", &Way::Peer("d".into()), Some(ms(100))));
    assert_eq!(names(&paths, ms(110), "u"), [Vm::from("b")]);
}

#[test]
fn zones_are_asked_in_turn() {
    let paths = paths();
    let zones: Vec<String> = paths
        .candidates(ms(0), &id("u"))
        .into_iter()
        .map(|peer| peer.zone.to_string())
        .collect();
    assert_eq!(zones, ["z1", "z2", "z1", "z2"]);
}

#[test]
fn upstreams_are_spread_over_peers() {
    let paths = paths();
    let first = |number: usize| names(&paths, ms(0), &format!("u{number}"))[0].clone();
    let mut chosen: Vec<Vm> = (0..20).map(first).collect();
    chosen.sort_unstable();
    chosen.dedup();
    assert_eq!(chosen, [Vm::from("b"), Vm::from("c")]);
}

#[test]
fn failed_peers_are_left_out_for_a_while() {
    let mut paths = paths();
    let first = names(&paths, ms(0), "u")[0].clone();
    paths.relay_failed(ms(0), &id("u"), &first, false);
    assert!(!names(&paths, ms(10), "u").contains(&first));
    assert!(names(&paths, ms(10), "other").contains(&first));
    assert!(names(&paths, ms(3_000), "u").contains(&first));
}

/// Guards against an upstream that is not reached for seconds, since the only peer that reaches it was late
/// once.
#[test]
fn failed_peers_are_the_last_resort() {
    let mut paths = paths();
    assert!(paths.last_resorts(ms(0), &id("u")).is_empty());
    for (at, vm) in ["d", "b", "e", "c"].into_iter().enumerate() {
        paths.relay_failed(ms(at as u64), &id("u"), &vm.into(), false);
    }
    assert!(names(&paths, ms(10), "u").is_empty());
    let resorts = |paths: &Paths, now| -> Vec<String> {
        let resorts = paths.last_resorts(now, &id("u")).into_iter();
        resorts.map(|peer| peer.vm.to_string()).collect()
    };
    assert_eq!(resorts(&paths, ms(10)), ["d", "b"]);
    paths.relay_failed(ms(20), &id("u"), &"d".into(), false);
    assert_eq!(resorts(&paths, ms(30)), ["b", "e"]);
    assert!(resorts(&paths, ms(3_000)).is_empty());
}

/// Guards against an upstream that is gone and is taken for one that this node is partitioned from, or
/// that makes every request ask all peers.
#[test]
fn upstream_that_nobody_reaches_is_gone() {
    let mut paths = paths();
    paths.unreached(ms(0), &id("u"));
    assert!(!paths.is_lost("u"));
    assert_eq!(paths.step(ms(10), &id("u")), Step::Direct);
    assert!(matches!(paths.step(ms(1_000), &id("u")), Step::Race { .. }));
    assert!(paths.take_changes().is_empty());
}

#[rstest]
#[case::few_asked(2, false)]
#[case::enough_asked(3, true)]
fn time_out_counts_once_enough_peers_failed(#[case] failed: usize, #[case] gone: bool) {
    let mut paths = paths();
    for vm in names(&paths, ms(0), "u").into_iter().take(failed) {
        paths.relay_failed(ms(0), &id("u"), &vm, false);
    }
    paths.timed_out(ms(1), &id("u"));
    assert_eq!(paths.step(ms(2), &id("u")) == Step::Direct, gone);
}

/// Guards against an upstream that counts as crashed since it refuses this node and others that are
/// partitioned from it alike.
#[test]
fn refusal_of_few_peers_is_none_of_all() {
    let mut paths = paths();
    let all = names(&paths, ms(0), "u");
    for vm in &all[..2] {
        paths.relay_failed(ms(0), &id("u"), vm, true);
    }
    assert!(!paths.is_refused(ms(1), "u"));
    paths.relay_failed(ms(0), &id("u"), &all[2], true);
    assert!(paths.is_refused(ms(1), "u"));
    assert!(!paths.is_refused(ms(3_000), "u"));
    paths.relayed(ms(2), &id("u"), &all[3]);
    assert!(!paths.is_refused(ms(3), "u"));
}

#[test]
fn refusal_of_the_only_peer_is_one_of_all() {
    let mut paths = Paths::new("me", "z1");
    paths.set_peers([peer("me", "z1"), peer("b", "z1")]);
    assert!(!paths.is_refused(ms(0), "u"));
    paths.relay_failed(ms(0), &id("u"), &"b".into(), true);
    assert!(paths.is_refused(ms(1), "u"));
}

/// Guards against each upstream being found out anew by a node that is partitioned from all of them.
#[test]
fn several_lost_paths_put_all_under_suspicion() {
    let mut paths = paths();
    paths.reached(ms(0), &id("w"));
    paths.relayed(ms(100), &id("u"), &"b".into());
    assert!(paths.keeps("w", &direct(), Some(ms(50))));
    paths.relayed(ms(110), &id("v"), &"b".into());
    let Step::Race { head_start } = paths.step(ms(120), &id("w")) else {
        panic!("no race");
    };
    assert!(head_start <= ms(20), "{head_start:?}");
    assert!(!paths.keeps("w", &direct(), Some(ms(50))));
    // One that answers since is no longer suspected.
    paths.reached(ms(130), &id("w"));
    assert!(paths.keeps("w", &direct(), Some(ms(50))));
    let Step::Race { head_start } = paths.step(ms(140), &id("w")) else {
        panic!("no race");
    };
    assert!(head_start >= ms(50), "{head_start:?}");
}

#[test]
fn direct_way_is_tried_now_and_then() {
    let mut paths = paths();
    for name in ["u", "v", "w"] {
        paths.relayed(ms(0), &id(name), &"b".into());
    }
    assert_eq!(paths.probe(ms(50)), None);
    let mut tried = 0;
    for step in 0..50 {
        tried += usize::from(paths.probe(ms(300 + step * 100)).is_some());
    }
    // Three upstreams, once a second each, for five seconds.
    assert!((10..=17).contains(&tried), "{tried}");
}

#[test]
fn path_that_is_back_has_the_others_tried() {
    let mut paths = paths();
    for name in ["u", "v", "w"] {
        paths.relayed(ms(0), &id(name), &"b".into());
    }
    let first = paths.probe(ms(300)).expect("one is due");
    paths.reached(ms(305), &first);
    let mut others = [paths.probe(ms(451)), paths.probe(ms(451))];
    others.sort_unstable();
    assert_eq!(others.len(), 2);
    assert!(
        others
            .iter()
            .all(|other| other.is_some() && *other != Some(first.clone()))
    );
    assert_ne!(others[0], others[1]);
}

#[test]
fn silence_is_checked_rarely() {
    let mut paths = paths();
    let mut checks = 0;
    for step in 0..100 {
        let now = ms(10_000 + step * 100);
        checks += usize::from(paths.may_check(now, &id("u"), now));
    }
    assert!((4..=8).contains(&checks), "{checks} in 10 s");
}

#[test]
fn bytes_that_came_since_spare_a_check() {
    let mut paths = paths();
    paths.heard(ms(1_000), &id("u"), &direct());
    assert!(!paths.may_check(ms(1_500), &id("u"), ms(900)));
    assert!(paths.may_check(ms(1_500), &id("u"), ms(1_001)));
}

/// Guards against an upstream that counts as unreached for good once nothing is known of it any more: its
/// owner would never order there again.
#[rstest]
#[case::gone(|paths: &mut Paths| paths.forget("u"))]
#[case::unused(|paths: &mut Paths| assert_eq!(paths.probe(ms(60_000)), None))]
fn forgotten_path_counts_as_direct(#[case] forget: fn(&mut Paths)) {
    let mut paths = paths();
    paths.relayed(ms(0), &id("u"), &"d".into());
    let ways = |paths: &mut Paths| {
        let changes = paths.take_changes().into_iter();
        changes.map(|change| change.way).collect::<Vec<_>>()
    };
    assert_eq!(ways(&mut paths), [Way::Peer("d".into())]);
    forget(&mut paths);
    assert_eq!(ways(&mut paths), [Way::Direct]);
}

/// Guards against an upstream that counts as unreached for good, since no peer reached it either before it
/// was reached directly again.
#[test]
fn way_that_nobody_had_counts_as_direct_once_it_is_back() {
    let mut paths = paths();
    paths.relayed(ms(0), &id("u"), &"d".into());
    paths.unreached(ms(100), &id("u"));
    paths.take_changes();
    paths.reached(ms(2_000), &id("u"));
    let ways = paths.take_changes().into_iter().map(|change| change.way);
    assert_eq!(ways.collect::<Vec<_>>(), [Way::Direct]);
}

/// Guards against an upstream that has ended and counts as unreached, since only others that have ended
/// before are tried beside it.
#[test]
fn upstreams_that_may_be_reached_are_tried_first() {
    let mut paths = paths();
    let names: Vec<String> = (0..20).map(|number| format!("u{number:02}")).collect();
    paths.set_controls(names.iter().map(|name| Control {
        upstream: id(name),
        address: ([10, 0, 0, 2], 1).into(),
    }));
    for name in &names[..12] {
        paths.unreached(ms(0), &id(name));
    }
    paths.reached(ms(1), &id("u12"));
    paths.reached(ms(2), &id("u13"));
    let tried = paths.controls("u19");
    let tried: Vec<&str> = tried.iter().map(|control| &*control.upstream).collect();
    assert_eq!(tried[..2], ["u13", "u12"]);
    assert!(tried.len() >= 4, "{tried:?}");
    assert!(
        tried.iter().all(|name| *name > "u11" && *name < "u19"),
        "{tried:?}"
    );
}
