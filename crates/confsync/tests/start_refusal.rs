//! Nodes that start, revisions that are refused, parts of every size.

#[path = "../../roster/tests/network/mod.rs"]
mod network;
mod site;

use std::time::Duration;

use bytes::Bytes;
use confsync::manifest::{Error, PART_BYTES_MAX};
use confsync::patch::Patch;
use confsync::{Manifest, Reason, Replicator};
use network::Network;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rstest::rstest;
use site::{KEY, Shared, Site, all_force, bad_contents, contents, site, start};

const SOON: Duration = Duration::from_secs(17);

fn publish(service: &Shared, revision: u64) {
    service
        .borrow_mut()
        .publish(revision, &contents(revision, 8));
}

fn ready(index: usize) -> impl Fn(&Site) -> bool {
    move |net| net.node(index).is_some_and(|plane| plane.ready.is_some())
}

/// A node that starts takes no traffic before it has the newest that anybody it reaches has.
#[rstest]
#[case::service_down(true, false)]
#[case::service_stale(false, true)]
fn from_peers(#[case] down: bool, #[case] stale: bool, #[values(1, 2, 3)] seed: u64) {
    let (mut net, service) = site::<Replicator>(seed, 7, 20);
    service.borrow_mut().age();
    publish(&service, 2);
    net.run_till(SOON, all_force(2)).expect("it comes in force");
    service.borrow_mut().down = down;
    service.borrow_mut().serves_stale = stale;
    start(&mut net, 4, &service);
    net.run_till(SOON, ready(4)).expect("it becomes ready");
    let plane = net.node(4).unwrap();
    let (adopted, revision) = *plane.adopted.last().unwrap();
    assert_eq!(revision, 2);
    assert!(Some(adopted) <= plane.ready, "no traffic on the stale one");
}

#[rstest]
fn from_service(#[values(1, 2)] seed: u64) {
    let (mut net, service) = site::<Replicator>(seed, 7, 20);
    let others: Vec<usize> = (0..7).filter(|index| *index != 4).collect();
    net.split(&[4], &others);
    publish(&service, 2);
    start(&mut net, 4, &service);
    net.run_till(SOON, ready(4)).expect("it becomes ready");
    assert_eq!(net.node(4).unwrap().revision(), 2);
}

/// With neither the service nor a peer that has a revision, no traffic is taken.
#[test]
fn from_nobody() {
    let service = Shared::default();
    let mut net: Site = Network::new(1, 3);
    for index in 0..3 {
        start(&mut net, index, &service);
    }
    net.run(Duration::from_secs(120));
    assert!(net.nodes().all(|plane| plane.ready.is_none()));
    publish(&service, 5);
    net.run_till(SOON, |net| (0..3).all(|index| ready(index)(net)))
        .expect("they start with the first revision");
}

#[rstest]
fn all_restarted(#[values(1, 2)] seed: u64) {
    let (mut net, service) = site::<Replicator>(seed, 7, 20);
    publish(&service, 2);
    net.run(SOON);
    for index in 0..7 {
        start(&mut net, index, &service);
    }
    net.run_till(SOON, |net| (0..7).all(|index| ready(index)(net)))
        .expect("all become ready");
    assert!(all_force(2)(&net));
}

/// A bad revision is refused by every node alike, with the reason; the last good one stays, also
/// for a node that starts later, and the next good one is taken.
#[rstest]
fn bad_revision(#[values(1, 2)] seed: u64) {
    let (mut net, service) = site::<Replicator>(seed, 7, 20);
    service.borrow_mut().publish(2, &bad_contents());
    let refused = |net: &Site| {
        let reason = Reason::Check("line 1: bad".to_owned());
        net.nodes()
            .all(|plane| plane.refused == [(2, reason.clone())])
    };
    net.run_till(SOON, refused).expect("all refuse it");
    assert!(all_force(1)(&net));
    start(&mut net, 3, &service);
    net.run_till(SOON, ready(3)).expect("it becomes ready");
    assert!(refused(&net) && all_force(1)(&net));
    publish(&service, 3);
    net.run_till(SOON, all_force(3))
        .expect("the next one is taken");
}

/// Another manifest under a number that is in force is refused and reported, wherever it is seen.
#[test]
fn same_number() {
    let (mut net, service) = site::<Replicator>(1, 7, 20);
    service.borrow_mut().publish(1, &contents(7, 8));
    let reported = |net: &Site| {
        let conflict = |reason: &Reason| matches!(reason, Reason::Conflict { .. });
        let planes: Vec<_> = net.nodes().filter(|p| p.replicator.watches()).collect();
        planes
            .iter()
            .all(|p| p.refused.iter().any(|(_, reason)| conflict(reason)))
    };
    net.run_till(SOON, reported)
        .expect("the watchers report it");
    assert!(net.nodes().all(|plane| plane.adopted.len() == 1));
}

#[test]
fn malformed_manifest() {
    let (mut net, service) = site::<Replicator>(1, 7, 20);
    service
        .borrow_mut()
        .set(KEY, Bytes::from_static(b"revision = \"x\""));
    net.run(SOON);
    // A node whose earlier watch still waits reports it as well.
    for plane in net.nodes() {
        let kinds = plane.refused.iter();
        let kinds: Vec<bool> = kinds
            .map(|(_, reason)| matches!(reason, Reason::Manifest(_)))
            .collect();
        assert!(kinds == [true] || kinds.is_empty() && !plane.replicator.watches());
    }
    publish(&service, 2);
    net.run_till(SOON, all_force(2))
        .expect("the next one is taken");
}

/// A manifest that appears before its parts comes in force when they do.
#[test]
fn parts_late() {
    let (mut net, service) = site::<Replicator>(1, 7, 20);
    let new = contents(2, 8);
    let keys: Vec<String> = (0..8).map(|index| format!("rules/{index}")).collect();
    let pairs = keys
        .iter()
        .zip(&new)
        .map(|(key, body)| (key.as_str(), body.as_ref()));
    let manifest = Manifest::of(2, pairs).expect("a sound manifest");
    service.borrow_mut().set(KEY, manifest.render().into());
    net.run(Duration::from_secs(10));
    assert!(all_force(1)(&net));
    for (key, body) in keys.iter().zip(&new) {
        service.borrow_mut().set(key, body.clone());
    }
    net.run_till(SOON, all_force(2)).expect("it comes in force");
}

/// Parts of the largest size travel in pieces.
#[test]
fn large_parts() {
    let (mut net, service) = site::<Replicator>(1, 7, 20);
    let part = |n: usize| Bytes::from(vec![b'a' + n as u8; PART_BYTES_MAX - n]);
    let parts: Vec<Bytes> = (0..5).map(part).chain([Bytes::new()]).collect();
    service.borrow_mut().publish(2, &parts);
    net.run_till(Duration::from_secs(120), all_force(2))
        .expect("it comes in force");
    let before = net.bytes;
    let mut changed = parts.clone();
    changed[3] = [&parts[3][..500], b"changed", &parts[3][500..1000]]
        .concat()
        .into();
    service.borrow_mut().publish(3, &changed);
    net.run_till(SOON, all_force(3)).expect("it comes in force");
    let bytes = net.bytes - before;
    assert!(
        bytes < 400_000,
        "{bytes} bytes for a change of some hundred bytes"
    );
}

#[rstest]
#[case(&b"revision = 0\npart = []"[..], Error::Zero)]
#[case(&b"revision = 1\npart = []"[..], Error::Count(0))]
#[case(&b"\xff"[..], Error::Text)]
#[case(
    &b"revision = 1\n[[part]]\nkey = \"a\"\nsha256 = \"00\"\nbytes = 0"[..],
    Error::Digest("a".into())
)]
fn unsound(#[case] value: &[u8], #[case] error: Error) {
    assert_eq!(Manifest::parse(value), Err(error));
}

proptest! {
    #![proptest_config(Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(20_264),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn patch_applies(old in "[ab\n]{0,40}", new in "[ab\n]{0,40}", other in "[ab]{0,20}") {
        let (old, new) = (Bytes::from(old), Bytes::from(new));
        let patch = Patch::between(&old, &new);
        prop_assert_eq!(patch.apply(&old), Some(new));
        // Against another content it may give nothing sensible, but does not fail.
        let _ = patch.apply(&Bytes::from(other));
    }

    #[test]
    fn manifest_round(revision in 1..u64::MAX / 2, key in "[a-z\"/ é]{1,12}", body in ".{0,40}") {
        let manifest = Manifest::of(revision, [(key.as_str(), body.as_bytes())]).unwrap();
        prop_assert_eq!(Manifest::parse(manifest.render()).unwrap(), manifest);
    }
}
