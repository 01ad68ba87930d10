//! A node's view of its region.

use wire::view::{Peer, State};
use wire::{Incarnation, View};

fn peer(vm: &str, start: u64, state: State) -> Peer {
    Peer {
        incarnation: Incarnation::new(vm, start),
        zone: "tema".into(),
        state,
    }
}

#[test]
fn latest_incarnation() {
    let view = View::new([
        peer("b", 1, State::Live),
        peer("a", 5, State::Live),
        peer("b", 2, State::Live),
    ]);
    assert_eq!(view.peers().len(), 2);
    assert!(view.knows(&Incarnation::new("b", 2)));
    assert!(!view.knows(&Incarnation::new("b", 1)));
}

#[test]
fn live_owner() {
    let view = View::new([
        peer("a", 1, State::Suspect),
        peer("b", 1, State::Live),
        peer("c", 1, State::Leaving),
    ]);
    for name in ["e1", "e2", "e3", "e4", "e5"] {
        assert_eq!(view.owner(name).map(|vm| &**vm), Some("b"));
    }
}
