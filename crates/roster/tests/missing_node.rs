//! A node that is not on the platform's list owns nothing.

mod network;
#[path = "network/region.rs"]
mod region;

use std::time::Duration;

use network::{Network, vm};
use region::{Peer, Region, members, region};
use roster::Event;
use rstest::rstest;
use wire::view::State;

/// Several times the period after which a listed node without answers continues alone.
const LONG: Duration = Duration::from_secs(60);

fn list(net: &mut Region, index: usize, with: bool, revision: u64) {
    let mut members = members(net.len());
    members.retain(|member| with || member.vm != vm(index));
    let revision = Some(revision);
    net.with(index, |peer, now| {
        peer.step(now, Event::List { members, revision });
    });
}

fn owns_nothing(net: &Region, index: usize) {
    let peer = net.node(index).unwrap();
    assert!(!peer.roster.fit());
    assert_eq!(peer.state(index), Some(State::Suspect));
    for upstream in ["engine-1", "engine-2", "weights"] {
        assert_ne!(peer.view.owner(upstream), Some(&vm(index)));
    }
}

#[rstest]
fn never_alone(#[values(false, true)] peers_run: bool) {
    let mut net = if peers_run {
        region(3, 7, 0)
    } else {
        Network::new(3, 7)
    };
    let start = u64::try_from(net.now.as_micros()).unwrap() + 1_800_000_000_000_000;
    net.place(2, Some(Peer::new(2, start)));
    net.run(LONG);
    owns_nothing(&net, 2);
    list(&mut net, 2, false, 1);
    net.run(LONG);
    owns_nothing(&net, 2);
    list(&mut net, 2, true, 2);
    net.run(Duration::from_secs(15));
    assert!(net.node(2).unwrap().roster.fit());
}

#[rstest]
fn dropped_later() {
    let mut net = region(3, 7, 0);
    list(&mut net, 2, false, 2);
    owns_nothing(&net, 2);
    list(&mut net, 2, true, 3);
    assert!(net.node(2).unwrap().roster.fit());
}
