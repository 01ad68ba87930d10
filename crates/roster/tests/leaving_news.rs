//! All nodes learn of leaving upstreams and nodes in time, regardless of the platform's list.

mod network;
#[path = "network/region.rs"]
mod region;

use std::time::Duration;

use region::{Region, region, start};
use roster::notice::LIFETIME;
use roster::{Event, Source};
use rstest::rstest;
use wire::view::State;

/// Time limit from the first observation at any node until no node gives the upstream new work.
const SPREAD: Duration = Duration::from_secs(3);

fn observe_leaving(net: &mut Region, index: usize, name: &str, source: Source) {
    let upstream = name.into();
    net.with(index, |peer, now| {
        peer.step(now, Event::UpstreamLeaving { upstream, source });
    });
}

fn told(name: &str) -> impl Fn(&Region) -> bool {
    move |net| {
        net.nodes()
            .all(|peer| peer.leaving.iter().any(|u| u == name))
    }
}

fn cleared(net: &Region) -> bool {
    net.nodes().all(|peer| peer.leaving.is_empty())
}

#[rstest]
fn in_time(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
    #[values(7, 60)] count: usize,
    #[values(Source::List, Source::Refusal, Source::Report)] source: Source,
) {
    let mut net = region(seed, count, 20);
    observe_leaving(&mut net, 0, "runner-1", source);
    net.run_till(SPREAD, told("runner-1"))
        .expect("every node learns of it in time");
}

/// Many upstreams leave at once, as when a rack shuts down.
#[rstest]
fn many_at_once(#[values(7, 60)] count: usize) {
    let mut net = region(3, count, 20);
    for number in 0..40 {
        observe_leaving(
            &mut net,
            number % count,
            &format!("runner-{number}"),
            Source::Report,
        );
    }
    let all = |net: &Region| net.nodes().all(|peer| peer.leaving.len() == 40);
    net.run_till(SPREAD, all)
        .expect("every node learns of it in time");
}

#[rstest]
fn node_leaves(#[values(1, 2, 3, 4)] seed: u64, #[values(7, 60)] count: usize) {
    let mut net = region(seed, count, 20);
    net.with(2, |peer, now| peer.step(now, Event::Leave));
    let known = |net: &Region| net.nodes().all(|p| p.state(2) == Some(State::Leaving));
    net.run_till(SPREAD, known)
        .expect("every node learns of it in time");
    net.place(2, None);
    net.run(Duration::from_secs(20));
    assert!(known(&net), "leaving stays final for the incarnation");
    start(&mut net, 2);
    net.run_till(Duration::from_secs(30), region::converged)
        .expect("its successor is live");
}

/// A notice expires after its lifetime, and a repeated observation renews it.
#[rstest]
fn expires(#[values(1, 2)] seed: u64) {
    let mut net = region(seed, 7, 20);
    observe_leaving(&mut net, 0, "runner-1", Source::Refusal);
    net.run(LIFETIME - Duration::from_secs(15));
    observe_leaving(&mut net, 4, "runner-1", Source::Refusal);
    net.run(LIFETIME - Duration::from_secs(5));
    assert!(told("runner-1")(&net), "the second observation renewed it");
    net.run_till(Duration::from_secs(10), cleared)
        .expect("the notice expires at every node");
    net.run(Duration::from_secs(30));
    assert!(cleared(&net), "outdated notices do not restore it");
}

#[rstest]
fn returns(#[values(1, 2, 3)] seed: u64) {
    let mut net = region(seed, 7, 20);
    observe_leaving(&mut net, 0, "runner-1", Source::Report);
    net.run_till(SPREAD, told("runner-1"))
        .expect("every node learns of it in time");
    let upstream = "runner-1".into();
    net.with(5, |peer, now| {
        peer.step(now, Event::UpstreamReturned { upstream });
    });
    net.run_till(SPREAD, cleared)
        .expect("every node learns of it in time");
    observe_leaving(&mut net, 3, "runner-1", Source::Report);
    net.run_till(SPREAD, told("runner-1"))
        .expect("the upstream is leaving again");
}

/// A local observation that an upstream is leaving overrides an older return that other nodes have
/// recorded.
#[test]
fn sign_after_return() {
    let mut net = region(9, 7, 0);
    let others: Vec<usize> = (1..7).collect();
    net.split(&[0], &others);
    observe_leaving(&mut net, 1, "runner-1", Source::Report);
    net.run(Duration::from_secs(1));
    let upstream = "runner-1".into();
    net.with(1, |peer, now| {
        peer.step(now, Event::UpstreamReturned { upstream });
    });
    net.run(Duration::from_secs(5));
    observe_leaving(&mut net, 0, "runner-1", Source::Report);
    net.heal();
    net.run_till(Duration::from_secs(15), told("runner-1"))
        .expect("the later observation holds");
}
