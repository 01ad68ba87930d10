//! A node that takes an engine over learns from the others what is in use there.

mod support;

use exchange::owner::{Action, Event, Message, Order};
use rstest::rstest;
use support::{Desk, PLACES, engine, ms, target};
use wire::Vm;

fn names() -> Vec<String> {
    (0..PLACES).map(|index| format!("a{index}")).collect()
}

fn want(adapter: &str) -> Event {
    Event::Want {
        runner: "e1".into(),
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
    let mut other = Desk::alone("vm-2", 2, [engine("e1", &names)]);
    let live: Vec<Vm> = vec!["vm-1".into(), "vm-2".into()];
    other.step(Event::View { live, fit: false });
    let runner = "e1".into();
    let until = other.now + ms(5_000);
    other.owner.began(&runner, &target("a0"), until);
    other.owner.began(&runner, &target("a1"), until);
    other.owner.ended("e1", &target("a1"));
    let claims = Event::Receive {
        from: "vm-1".into(),
        message: Message::Claims(vec![("e1".into(), 77)]),
    };
    let told = other.step(claims.clone());
    let uses = Message::Uses {
        runner: "e1".into(),
        uses: vec![(target("a0"), 5_000)],
    };
    let message = Action::Send {
        to: "vm-1".into(),
        message: uses.clone(),
    };
    assert_eq!(told, [message]);
    assert_eq!(other.step(claims), [], "once for each claim");

    let mut owner = Desk::alone("vm-1", 1, [engine("e1", &names)]);
    owner.claim();
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
    let mut desk = Desk::alone("vm-1", 1, [engine("e1", &names)]);
    let until = desk.now + ms(60_000);
    desk.owner.began(&"e1".into(), &target("a0"), until);
    desk.claim();
    assert_eq!(victims(&desk.step(want("b"))), ["a1"]);
}

/// A leaving node is not live, but finishes its requests: it hears who takes its engines over, and
/// tells what it still uses there.
#[rstest]
fn leaving_node_hears_of_the_new_owner() {
    let mut desk = Desk::alone("vm-1", 1, [engine("e1", &["a"])]);
    desk.step(Event::Leaving(vec!["vm-2".into()]));
    let actions = desk.pass(ms(1_000));
    let told = actions.iter().find_map(|action| match action {
        Action::Send {
            to,
            message: Message::Claims(claims),
        } if &**to == "vm-2" && !claims.is_empty() => Some(claims.clone()),
        _ => None,
    });
    let claims = told.expect("the leaving node is told");
    assert_eq!(claims.len(), 1);

    let mut leaving = Desk::alone("vm-2", 2, [engine("e1", &["a"])]);
    let until = leaving.now + ms(4_000);
    leaving.owner.began(&"e1".into(), &target("a"), until);
    leaving.step(Event::Leave);
    let told = leaving.step(Event::Receive {
        from: "vm-1".into(),
        message: Message::Claims(claims),
    });
    let uses = Message::Uses {
        runner: "e1".into(),
        uses: vec![(target("a"), 4_000)],
    };
    let message = Action::Send {
        to: "vm-1".into(),
        message: uses,
    };
    assert!(told.contains(&message), "{told:?}");
}
