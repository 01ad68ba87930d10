//! The time from the start of a fleet until its engines have owners that give orders.

mod support;

use std::time::Duration;

use exchange::owner::{Action, CLAIM_DELAY, Event, Message, Owner};
use rstest::rstest;
use support::{OwnerHarness, engine, ms, owner_config};
use wire::{Time, Vm};

/// Time between two ticks, and between two announcements of a peer.
const TICK: Duration = ms(100);
const ANNOUNCEMENT: Duration = ms(1_000);

const PEERS: [&str; 2] = ["vm-2", "vm-3"];

fn view(may_claim: bool) -> Event {
    let live: Vec<Vm> = ["vm-1"].into_iter().chain(PEERS).map(Vm::from).collect();
    Event::View { live, may_claim }
}

fn node(fenced: bool) -> OwnerHarness {
    // The peers are first in line for some of the engines.
    let engines = ["e1", "e2", "e3", "e4", "e5", "e6"].map(|id| engine(id, &[]));
    let mut node = OwnerHarness::alone("vm-1", 1, engines);
    let mut config = owner_config("vm-1", 1);
    config.engines_check_fences = fenced;
    node.owner = Owner::new(config);
    node
}

/// Ticks, with announcements of the peers, until `done`. Returns how long that took.
fn until(node: &mut OwnerHarness, done: impl Fn(&OwnerHarness, &[Action]) -> bool) -> Duration {
    let started = node.now;
    let mut announced: Option<Time> = None;
    loop {
        if announced.is_none_or(|at| node.now >= at + ANNOUNCEMENT) {
            announced = Some(node.now);
            for peer in PEERS {
                node.step(Event::Receive {
                    from: peer.into(),
                    message: Message::Claims(Vec::new()),
                });
            }
        }
        let actions = node.advance(TICK);
        if done(node, &actions) {
            return node.now - started;
        }
        assert!(node.now < started + ms(20_000), "nothing happens");
    }
}

/// What a node hears before it may claim engines counts for the delay of a claim.
#[rstest]
fn settled_node_claims_at_once() {
    let mut node = node(true);
    node.step(view(false));
    let started = node.now;
    until(&mut node, |node, _| {
        node.now >= started + CLAIM_DELAY + TICK
    });
    assert_eq!(node.owner.owned().count(), 0);
    node.step(view(true));
    let took = until(&mut node, |node, _| node.owner.owned().count() > 0);
    assert!(took <= TICK, "{took:?}");
}

/// Engines that do not check tokens are claimed while the lease runs, so that orders begin when it
/// ends, and never before.
#[rstest]
fn orders_begin_with_the_lease() {
    let mut node = node(false);
    let lease = owner_config("vm-1", 1).lease;
    node.step(view(true));
    let is_order = |action: &Action| matches!(action, Action::Order { .. });
    let took = until(&mut node, |_, actions| actions.iter().any(is_order));
    assert!(took >= lease, "{took:?}");
    assert!(took <= lease + CLAIM_DELAY + TICK * 3, "{took:?}");
}
