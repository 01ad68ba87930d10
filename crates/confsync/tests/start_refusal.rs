//! Startup, rejected revisions and parts of all sizes.

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
use site::{KEY, Shared, Site, all_in_force, bad_contents, contents, site, start};

const SOON: Duration = Duration::from_secs(17);

fn publish(service: &Shared, revision: u64) {
    service
        .borrow_mut()
        .publish(revision, &contents(revision, 8));
}

fn ready(index: usize) -> impl Fn(&Site) -> bool {
    move |net| net.node(index).is_some_and(|plane| plane.ready.is_some())
}

/// A starting node takes no traffic before it has the newest revision of any node it can reach.
#[rstest]
#[case::service_down(true, false)]
#[case::service_stale(false, true)]
fn from_peers(#[case] down: bool, #[case] stale: bool, #[values(1, 2, 3)] seed: u64) {
    let (mut net, service) = site::<Replicator>(seed, 7, 20);
    service.borrow_mut().snapshot_stale();
    publish(&service, 2);
    net.run_till(SOON, all_in_force(2))
        .expect("the revision is in force in time");
    service.borrow_mut().down = down;
    service.borrow_mut().serves_stale = stale;
    start(&mut net, 4, &service);
    net.run_till(SOON, ready(4))
        .expect("the node becomes ready");
    let plane = net.node(4).unwrap();
    let (adopted, revision) = *plane.adopted.last().unwrap();
    assert_eq!(revision, 2);
    assert!(
        Some(adopted) <= plane.ready,
        "traffic before the newest revision is in force"
    );
}

#[rstest]
fn from_service(#[values(1, 2)] seed: u64) {
    let (mut net, service) = site::<Replicator>(seed, 7, 20);
    let others: Vec<usize> = (0..7).filter(|index| *index != 4).collect();
    net.split(&[4], &others);
    publish(&service, 2);
    start(&mut net, 4, &service);
    net.run_till(SOON, ready(4))
        .expect("the node becomes ready");
    assert_eq!(net.node(4).unwrap().revision(), 2);
}

/// A node takes no traffic while neither the service nor a peer has a revision.
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
        .expect("every node becomes ready with the first revision");
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
        .expect("every node becomes ready");
    assert!(all_in_force(2)(&net));
}

/// Every node rejects an invalid revision with the same reason. The last valid one stays in force,
/// also on a node that starts later, and the next valid one is accepted.
#[rstest]
fn bad_revision(#[values(1, 2)] seed: u64) {
    let (mut net, service) = site::<Replicator>(seed, 7, 20);
    service.borrow_mut().publish(2, &bad_contents());
    let refused = |net: &Site| {
        let reason = Reason::Check("line 1: bad".to_owned());
        net.nodes()
            .all(|plane| plane.refused == [(2, reason.clone())])
    };
    net.run_till(SOON, refused).expect("every node rejects it");
    assert!(all_in_force(1)(&net));
    start(&mut net, 3, &service);
    net.run_till(SOON, ready(3))
        .expect("the node becomes ready");
    assert!(refused(&net) && all_in_force(1)(&net));
    publish(&service, 3);
    net.run_till(SOON, all_in_force(3))
        .expect("the next revision is accepted");
}

/// A different manifest with the number in force is rejected and reported by every watcher.
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
        .expect("every watcher reports the conflict");
    assert!(net.nodes().all(|plane| plane.adopted.len() == 1));
}

#[test]
fn malformed_manifest() {
    let (mut net, service) = site::<Replicator>(1, 7, 20);
    service
        .borrow_mut()
        .set(KEY, Bytes::from_static(b"revision = \"x\""));
    net.run(SOON);
    // A node whose earlier watch is still pending also reports it.
    for plane in net.nodes() {
        let kinds = plane.refused.iter();
        let kinds: Vec<bool> = kinds
            .map(|(_, reason)| matches!(reason, Reason::Manifest(_)))
            .collect();
        assert!(kinds == [true] || kinds.is_empty() && !plane.replicator.watches());
    }
    publish(&service, 2);
    net.run_till(SOON, all_in_force(2))
        .expect("the next revision is accepted");
}

/// A manifest published before its parts takes effect once the parts are published.
#[test]
fn parts_late() {
    let (mut net, service) = site::<Replicator>(1, 7, 20);
    let new = contents(2, 8);
    let keys: Vec<String> = (0..8).map(|index| format!("rules/{index}")).collect();
    let pairs = keys
        .iter()
        .zip(&new)
        .map(|(key, body)| (key.as_str(), body.as_ref()));
    let manifest = Manifest::of(2, pairs).expect("a valid manifest");
    service.borrow_mut().set(KEY, manifest.render().into());
    net.run(Duration::from_secs(10));
    assert!(all_in_force(1)(&net));
    for (key, body) in keys.iter().zip(&new) {
        service.borrow_mut().set(key, body.clone());
    }
    net.run_till(SOON, all_in_force(2))
        .expect("the revision is in force in time");
}

/// Parts of maximum size are transferred in pieces, and a small change as a delta.
#[test]
fn large_parts() {
    let (mut net, service) = site::<Replicator>(1, 7, 20);
    let part = |n: usize| Bytes::from(vec![b'a' + n as u8; PART_BYTES_MAX - n]);
    let parts: Vec<Bytes> = (0..5).map(part).chain([Bytes::new()]).collect();
    service.borrow_mut().publish(2, &parts);
    net.run_till(Duration::from_secs(120), all_in_force(2))
        .expect("the revision is in force in time");
    let before = net.bytes;
    let mut changed = parts.clone();
    changed[3] = [&parts[3][..500], b"changed", &parts[3][500..1000]]
        .concat()
        .into();
    service.borrow_mut().publish(3, &changed);
    net.run_till(SOON, all_in_force(3))
        .expect("the revision is in force in time");
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
fn invalid_manifest_is_rejected(#[case] value: &[u8], #[case] error: Error) {
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
        // Applied to other content the result is meaningless, but it must not panic.
        let _ = patch.apply(&Bytes::from(other));
    }

    #[test]
    fn manifest_round(revision in 1..u64::MAX / 2, key in "[a-z\"/ é]{1,12}", body in ".{0,40}") {
        let manifest = Manifest::of(revision, [(key.as_str(), body.as_bytes())]).unwrap();
        prop_assert_eq!(Manifest::parse(manifest.render()).unwrap(), manifest);
    }
}
