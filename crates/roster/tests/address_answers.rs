//! Callers are distributed over the live VMs, own zone first, and few change VMs on a view change.

use std::time::Duration;

use roster::address::{ANSWER_MAX, OVERLOAD_PERCENT, answer};
use rstest::rstest;
use wire::view::{Peer, State};
use wire::{Incarnation, View, Vm, Zone, rank};

const CALLERS: u64 = 6000;
const TTL: Duration = Duration::from_secs(20);

fn zone(index: usize) -> Zone {
    format!("zone-{}", index % 3).into()
}

fn view(count: usize, state: impl Fn(usize) -> State) -> View {
    View::new((0..count).map(|index| Peer {
        incarnation: Incarnation::new(format!("vm-{index:02}"), 1),
        zone: zone(index),
        state: state(index),
    }))
}

fn caller(number: u64) -> u64 {
    rank::hash(number.to_le_bytes())
}

fn firsts(view: &View) -> Vec<Vm> {
    let first = |number| {
        let zone = zone(number as usize);
        answer(view, Some(&zone), caller(number), TTL).vms[0].clone()
    };
    (0..CALLERS).map(first).collect()
}

#[rstest]
fn spread(#[values(3, 7, 20, 60)] count: usize, #[values(false, true)] lost: bool) {
    let dead = |index| {
        if lost && index == 0 {
            State::Suspect
        } else {
            State::Live
        }
    };
    let view = view(count, dead);
    let firsts = firsts(&view);
    let live = view.live().count() as u64;
    for peer in view.live() {
        let callers = firsts
            .iter()
            .filter(|vm| **vm == peer.incarnation.vm)
            .count() as u64;
        // Hashing alone varies the number of callers per VM by a few standard deviations.
        let mean = CALLERS / live;
        let bound = mean * OVERLOAD_PERCENT / 100 + 5 * mean.isqrt();
        assert!(
            callers <= bound,
            "{} has {callers} callers, more than {bound}",
            peer.incarnation
        );
    }
}

#[test]
fn own_zone_first() {
    let view = view(9, |_| State::Live);
    for number in 0..200 {
        let home = zone(number as usize);
        let vms = answer(&view, Some(&home), caller(number), TTL).vms;
        assert_eq!(vms.len(), ANSWER_MAX);
        assert!(vms.iter().all(|vm| view.peer(vm).unwrap().zone == home));
    }
}

/// Removing one VM changes the first choice only of callers that had it as their first choice.
#[rstest]
#[case::suspect(State::Suspect)]
#[case::leaving(State::Leaving)]
fn small_moves(#[case] state: State) {
    let whole = view(60, |_| State::Live);
    let less = view(60, |index| if index == 7 { state } else { State::Live });
    let (before, after) = (firsts(&whole), firsts(&less));
    let gone: Vm = "vm-07".into();
    assert!(!after.contains(&gone));
    let moved = before
        .iter()
        .zip(&after)
        .filter(|(a, b)| a != b && **a != gone);
    assert_eq!(moved.count(), 0, "callers of other VMs stay");
}

#[test]
fn nobody_live() {
    let view = view(7, |_| State::Suspect);
    assert!(answer(&view, None, 1, TTL).vms.is_empty());
    let alone = View::new([]);
    assert!(answer(&alone, None, 1, TTL).vms.is_empty());
}

#[test]
fn ttl_varies() {
    let view = view(7, |_| State::Live);
    let ttls: Vec<Duration> = (0..100)
        .map(|n| answer(&view, None, caller(n), TTL).ttl)
        .collect();
    assert!(ttls.iter().all(|ttl| *ttl <= TTL && *ttl >= TTL * 3 / 4));
    assert!(ttls.iter().max() > ttls.iter().min());
    assert!(answer(&view, None, 5, Duration::ZERO).ttl.is_zero());
}
