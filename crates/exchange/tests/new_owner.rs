//! A node that takes an engine over learns from the others what is in use there.

mod support;

use exchange::owner::{Action, Event, Message, Order};
use rstest::rstest;
use support::{OwnerHarness, PLACES, engine, ms, target};
use wire::Vm;

fn names() -> Vec<String> {
    (0..PLACES).map(|index| format!("a{index}")).collect()
}

fn want(adapter: &str) -> Event {
    Event::RequestLoad {
        engine: "e1".into(),
        target: target(adapter),
        rank: 1,
    }
}

fn victims(actions: &[Action]) -> Vec<String> {
    let orders = actions.iter().filter_map(|action| match action {
        Action::Order {
            order: Order::Unload(target),
            ..
        } => target.adapter.as_ref().map(ToString::to_string),
        _ => None,
    });
    orders.collect()
}

#[rstest]
fn node_tells_a_new_owner_what_it_uses() {
    let names = names();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut other = OwnerHarness::alone("vm-2", 2, [engine("e1", &names)]);
    let live: Vec<Vm> = vec!["vm-1".into(), "vm-2".into()];
    other.step(Event::View {
        live,
        may_claim: false,
    });
    let engine_id = "e1".into();
    let until = other.now + ms(5_000);
    other
        .owner
        .request_started(&engine_id, &target("a0"), until);
    other
        .owner
        .request_started(&engine_id, &target("a1"), until);
    other.owner.request_ended("e1", &target("a1"));
    let claims = Event::Receive {
        from: "vm-1".into(),
        message: Message::Claims(vec![("e1".into(), 77)]),
    };
    let told = other.step(claims.clone());
    let uses = Message::InUse {
        engine: "e1".into(),
        targets: vec![(target("a0"), 5_000)],
    };
    let message = Action::Send {
        to: "vm-1".into(),
        message: uses.clone(),
    };
    assert_eq!(told, [message]);
    assert_eq!(other.step(claims), [], "once for each claim");

    let mut owner = OwnerHarness::alone("vm-1", 1, [engine("e1", &names)]);
    owner.claim_all();
    owner.step(Event::Receive {
        from: "vm-2".into(),
        message: uses,
    });
    assert_eq!(victims(&owner.step(want("b"))), ["a1"]);
}

#[rstest]
fn own_requests_count_from_the_claim() {
    let names = names();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut desk = OwnerHarness::alone("vm-1", 1, [engine("e1", &names)]);
    let until = desk.now + ms(60_000);
    desk.owner
        .request_started(&"e1".into(), &target("a0"), until);
    desk.claim_all();
    assert_eq!(victims(&desk.step(want("b"))), ["a1"]);
}

/// A leaving node is not live, but finishes its requests: it hears who takes its engines over, and
/// tells what it still uses there.
#[rstest]
fn leaving_node_hears_of_the_new_owner() {
    let mut desk = OwnerHarness::alone("vm-1", 1, [engine("e1", &["a"])]);
    desk.step(Event::LeavingNodes(vec!["vm-2".into()]));
    let actions = desk.advance(ms(1_000));
    let told = actions.iter().find_map(|action| match action {
        Action::Send {
            to,
            message: Message::Claims(claims),
        } if &**to == "vm-2" && !claims.is_empty() => Some(claims.clone()),
        _ => None,
    });
    let claims = told.expect("the leaving node is told");
    assert_eq!(claims.len(), 1);

    let mut leaving = OwnerHarness::alone("vm-2", 2, [engine("e1", &["a"])]);
    let until = leaving.now + ms(4_000);
    leaving
        .owner
        .request_started(&"e1".into(), &target("a"), until);
    leaving.step(Event::Leave);
    let told = leaving.step(Event::Receive {
        from: "vm-1".into(),
        message: Message::Claims(claims),
    });
    let uses = Message::InUse {
        engine: "e1".into(),
        targets: vec![(target("a"), 4_000)],
    };
    let message = Action::Send {
        to: "vm-1".into(),
        message: uses,
    };
    assert!(told.contains(&message), "{told:?}");
}
