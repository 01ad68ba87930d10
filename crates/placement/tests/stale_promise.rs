//! Guards against a stale promise that blocks the owner which the view names.
//!
//! A node that accepted another node's claim refuses grants under lower claims. When that other
//! node gives the upstream up, the owner in the view may still hold a lower claim that every peer
//! has acknowledged, and would not claim again by itself. The node has to tell it of the higher
//! claim.

mod support;

use std::time::Duration;

use placement::message::{Denial, Message};
use placement::{Action, Event, Planner};
use support::{planner, request, view};
use wire::{Incarnation, Machine, Model, Priority};

const VMS: [&str; 3] = ["a", "b", "c"];

/// Loads per second that the store allows.
const RATE: f64 = 2.0;

fn receive(planner: &mut Planner, from: &str, message: Message) -> Vec<Action> {
    let mut out = Vec::new();
    let from = Incarnation::new(from, 1);
    planner.step(
        Duration::from_secs(1),
        Event::Receive { from, message },
        &mut out,
    );
    out
}

fn sent(actions: &[Action], to: &str) -> Vec<Message> {
    let mine = actions.iter().filter_map(|action| match action {
        Action::Send { to: vm, message } if &**vm == to => Some(message.clone()),
        _ => None,
    });
    mine.collect()
}

#[test]
fn view_owner_learns_of_a_higher_claim_given_up() {
    let view = view(&VMS);
    let owner = view.owner("e").unwrap().clone();
    let others: Vec<&str> = VMS.into_iter().filter(|vm| **vm != *owner).collect();
    let (holder, former) = (others[0], others[1]);
    let mut node = planner(holder, &VMS, RATE);
    let claims = vec![("e".into(), 5)];
    receive(&mut node, former, Message::Claim { claims });
    let mut out = Vec::new();
    node.step(
        Duration::from_secs(1),
        request(1, Priority::Normal),
        &mut out,
    );
    let requests = sent(&out, former);
    let Some(Message::LeaseRequest(lease_request)) = requests.first() else {
        panic!("no lease was requested from the promised owner: {out:?}");
    };
    let denial = Message::Deny {
        upstream: "e".into(),
        model: Model::new("m", "1"),
        number: lease_request.number,
        denial: Denial::Moved,
        retry_after: Duration::ZERO,
    };
    let told = sent(&receive(&mut node, former, denial.clone()), &owner);
    let superseded = Message::ClaimSuperseded {
        upstream: "e".into(),
        claim: 5,
    };
    assert_eq!(told, std::slice::from_ref(&superseded));
    // A denial by a node that is not the promised owner has no such effect.
    let told = sent(&receive(&mut node, &owner, denial), &owner);
    assert!(!told.contains(&superseded), "{told:?}");

    let mut owner = planner(&owner, &VMS, RATE);
    receive(&mut owner, holder, superseded);
    // Orders of the node that held the higher claim may be recent.
    let mut out = Vec::new();
    owner.step(Duration::from_millis(3_900), Event::Tick, &mut out);
    let is_new = |message: &Message| matches!(message, Message::Claim { claims } if claims.contains(&("e".into(), 6)));
    assert!(!sent(&out, holder).iter().any(is_new));
    out.clear();
    owner.step(Duration::from_secs(4), Event::Tick, &mut out);
    let claims = sent(&out, holder)
        .into_iter()
        .find_map(|message| match message {
            Message::Claim { claims } => Some(claims),
            _ => None,
        });
    assert_eq!(claims, Some(vec![("e".into(), 6)]));
}
