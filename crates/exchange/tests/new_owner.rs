//! A node that takes an engine over learns from the others which adapters are in use there.

mod support;

use exchange::owner::{Action, Event, Message, Order};
use rstest::rstest;
use support::{ADAPTER_SLOTS, OwnerHarness, engine, ms, target};
use wire::Vm;

fn adapters() -> Vec<String> {
    (0..ADAPTER_SLOTS)
        .map(|index| format!("a{index}"))
        .collect()
}

fn request_load(adapter: &str) -> Event {
    Event::RequestLoad {
        engine: "e1".into(),
        target: target(adapter),
        rank: 1,
    }
}

fn unloaded(actions: &[Action]) -> Vec<String> {
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
fn node_reports_its_requests_to_a_new_owner() {
    let adapters = adapters();
    let adapters: Vec<&str> = adapters.iter().map(String::as_str).collect();
    let mut other = OwnerHarness::alone("vm-2", 2, [engine("e1", &adapters)]);
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
    let sent = other.step(claims.clone());
    let in_use = Message::InUse {
        engine: "e1".into(),
        targets: vec![(target("a0"), 5_000)],
    };
    let message = Action::Send {
        to: "vm-1".into(),
        message: in_use.clone(),
    };
    assert_eq!(sent, [message]);
    assert_eq!(
        other.step(claims),
        [],
        "the requests are reported once for each claim"
    );

    let mut owner = OwnerHarness::alone("vm-1", 1, [engine("e1", &adapters)]);
    owner.claim_all();
    owner.step(Event::Receive {
        from: "vm-2".into(),
        message: in_use,
    });
    assert_eq!(unloaded(&owner.step(request_load("b"))), ["a1"]);
}

#[rstest]
fn own_requests_count_from_the_claim() {
    let adapters = adapters();
    let adapters: Vec<&str> = adapters.iter().map(String::as_str).collect();
    let mut node = OwnerHarness::alone("vm-1", 1, [engine("e1", &adapters)]);
    let until = node.now + ms(60_000);
    node.owner
        .request_started(&"e1".into(), &target("a0"), until);
    node.claim_all();
    assert_eq!(unloaded(&node.step(request_load("b"))), ["a1"]);
}

/// A leaving node is not in the view of live nodes but still finishes its requests. It must learn
/// who takes its engines over, and report what it still uses there.
#[rstest]
fn leaving_node_learns_the_new_owner() {
    let mut node = OwnerHarness::alone("vm-1", 1, [engine("e1", &["a"])]);
    node.step(Event::LeavingNodes(vec!["vm-2".into()]));
    let actions = node.advance(ms(1_000));
    let sent = actions.iter().find_map(|action| match action {
        Action::Send {
            to,
            message: Message::Claims(claims),
        } if &**to == "vm-2" && !claims.is_empty() => Some(claims.clone()),
        _ => None,
    });
    let claims = sent.expect("the claims are sent to the leaving node");
    assert_eq!(claims.len(), 1);

    let mut leaving = OwnerHarness::alone("vm-2", 2, [engine("e1", &["a"])]);
    let until = leaving.now + ms(4_000);
    leaving
        .owner
        .request_started(&"e1".into(), &target("a"), until);
    leaving.step(Event::Leave);
    let sent = leaving.step(Event::Receive {
        from: "vm-1".into(),
        message: Message::Claims(claims),
    });
    let in_use = Message::InUse {
        engine: "e1".into(),
        targets: vec![(target("a"), 4_000)],
    };
    let message = Action::Send {
        to: "vm-1".into(),
        message: in_use,
    };
    assert!(sent.contains(&message), "{sent:?}");
}
