//! Peers promised to an owner that has given the upstream up get the owner of the view to claim
//! above it, although its own lower claim was answered by everyone.

use std::time::Duration;

use placement::event::{Fencing, Request, State, Store, Upstream};
use placement::message::{Denial, Message};
use placement::{Action, Event, Planner, Settings};
use wire::view::{Peer, State as Live};
use wire::{Incarnation, Machine, Model, Priority, View};

const VMS: [&str; 3] = ["a", "b", "c"];

fn view() -> View {
    View::new(VMS.map(|vm| Peer {
        incarnation: Incarnation::new(vm, 1),
        zone: "z".into(),
        state: Live::Live,
    }))
}

fn planner(vm: &str) -> Planner {
    let mut planner = Planner::new(Incarnation::new(vm, 1), Settings::default());
    let mut out = Vec::new();
    let engine = Upstream {
        id: "e".into(),
        pool: "p".into(),
        base: "b".into(),
        zone: "z".into(),
        store: "s".into(),
        slots: 2,
        max_batch: 4,
        fencing: Fencing::RefusesOld,
        state: State::Live,
    };
    let store = Store {
        id: "s".into(),
        rate: 2.0,
        in_flight: 8,
        load: Duration::from_millis(250),
    };
    planner.step(Duration::ZERO, Event::View(view()), &mut out);
    planner.step(Duration::ZERO, Event::Stores(vec![store]), &mut out);
    planner.step(Duration::ZERO, Event::Upstreams(vec![engine]), &mut out);
    planner
}

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
    let view = view();
    let owner = view.owner("e").unwrap().clone();
    let others: Vec<&str> = VMS.into_iter().filter(|vm| **vm != *owner).collect();
    let (holder, former) = (others[0], others[1]);
    let mut node = planner(holder);
    let claims = vec![("e".into(), 5)];
    receive(&mut node, former, Message::Claim { claims });
    let mut out = Vec::new();
    let request = Request {
        id: 1,
        model: Model::new("m", "1"),
        base: "b".into(),
        pool: "p".into(),
        path: "/m".into(),
        priority: Priority::Normal,
        deadline: Duration::from_secs(30),
        prefix: None,
        avoid: Vec::new(),
    };
    node.step(Duration::from_secs(1), Event::Request(request), &mut out);
    let asked = sent(&out, former);
    let Some(Message::Ask(ask)) = asked.first() else {
        panic!("the promised owner is asked: {out:?}");
    };
    let denial = Message::Deny {
        upstream: "e".into(),
        model: Model::new("m", "1"),
        number: ask.number,
        denial: Denial::Moved,
        retry_after: Duration::ZERO,
    };
    let told = sent(&receive(&mut node, former, denial.clone()), &owner);
    let outbid = Message::Outbid {
        upstream: "e".into(),
        claim: 5,
    };
    assert_eq!(told, std::slice::from_ref(&outbid));
    // A denial by a node that holds no promise says nothing.
    let told = sent(&receive(&mut node, &owner, denial), &owner);
    assert!(!told.contains(&outbid), "{told:?}");

    let mut owner = planner(&owner);
    receive(&mut owner, holder, outbid);
    let mut out = Vec::new();
    owner.step(Duration::from_secs(3), Event::Tick, &mut out);
    let claims = sent(&out, holder)
        .into_iter()
        .find_map(|message| match message {
            Message::Claim { claims } => Some(claims),
            _ => None,
        });
    assert_eq!(claims, Some(vec![("e".into(), 6)]));
}
