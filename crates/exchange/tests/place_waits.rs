//! Requests that wait for a slot at an engine where every adapter is in use.

mod support;

use std::time::Duration;

use exchange::Selection;
use exchange::owner::{Action, AdmissionRequest, Event, Order};
use exchange::selection::{Requirements, SelectionContext, select_upstream};
use rstest::rstest;
use support::{ADAPTER_SLOTS, OwnerHarness, engine, engine_service, ms, target};
use wire::Upstream;

/// Time for which every adapter of the engine is expected to be in use.
const RUN_TIME: Duration = ms(2_000);

fn request_load(adapter: &str) -> Event {
    Event::RequestLoad {
        engine: "e1".into(),
        target: target(adapter),
        rank: 1,
    }
}

/// Returns the owner of an engine without a free slot: every adapter is used by a request.
fn node_with_full_engine() -> OwnerHarness {
    let adapters: Vec<String> = (1..ADAPTER_SLOTS)
        .map(|index| format!("a{index}"))
        .collect();
    let adapters: Vec<&str> = adapters.iter().map(String::as_str).collect();
    let mut node = OwnerHarness::alone("vm-1", 1, [engine("e1", &adapters), engine("e2", &[])]);
    node.claim_all();
    for name in &adapters {
        let request = AdmissionRequest {
            target: target(name),
            prefill: ms(1),
            decode: RUN_TIME,
            rank: 1,
        };
        node.owner.admit(node.now, &node.fleet, "e1", &request);
    }
    node
}

fn loads(actions: &[Action]) -> usize {
    let load = |action: &&Action| match action {
        Action::Order { order, .. } => matches!(order, Order::Load(..)),
        _ => false,
    };
    actions.iter().filter(load).count()
}

#[rstest]
fn full_engine_replies_at_once() {
    let mut node = node_with_full_engine();
    let actions = node.step(request_load("b"));
    assert_eq!(loads(&actions), 0);
    let backlog_sent = actions.iter().find_map(|action| match action {
        Action::Backlog { engine, backlog } if &**engine == "e1" => Some(*backlog),
        _ => None,
    });
    assert!(
        backlog_sent.is_some_and(|backlog| backlog >= RUN_TIME),
        "{backlog_sent:?}"
    );
}

#[rstest]
fn engine_with_a_free_slot_only_loads() {
    let mut node = node_with_full_engine();
    node.owner.release_admission(node.now, "e1", &target("a1"));
    let actions = node.step(request_load("b"));
    let replied = |action: &Action| matches!(action, Action::Backlog { .. });
    assert!(!actions.iter().any(replied), "{actions:?}");
}

/// A request whose preferred engine is full goes to the next engine in its order.
#[rstest]
fn request_leaves_a_full_home() {
    let mut node = node_with_full_engine();
    let service = engine_service();
    let owned = |_: &Upstream| true;
    let choose = |node: &OwnerHarness, adapter: &str| {
        let target = target(adapter);
        let need = Requirements {
            service: &service,
            target: Some(&target),
            tried: &[],
            seed: 1,
            prefill_time: ms(1),
        };
        let scene = SelectionContext {
            now: node.now,
            zone: &"zone-a".into(),
            isolate_long_prompts: false,
            owned,
        };
        select_upstream(&node.fleet, &need, &scene)
    };
    let at_home = |adapter: &&String| choose(&node, adapter) == Selection::Load("e1".into());
    let adapters: Vec<String> = (0..100).map(|index| format!("b{index}")).collect();
    let adapter = adapters
        .iter()
        .find(at_home)
        .expect("an adapter whose home is e1");
    node.step(request_load(adapter));
    assert_eq!(choose(&node, adapter), Selection::Load("e2".into()));
}

/// A target that nobody waits for any more takes no slot.
#[rstest]
fn cancelled_load_request_is_dropped() {
    let mut node = node_with_full_engine();
    node.step(request_load("b"));
    node.step(request_load("c"));
    node.step(Event::CancelLoadRequest {
        engine: "e1".into(),
        target: target("b"),
    });
    for index in 1..ADAPTER_SLOTS {
        node.owner
            .release_admission(node.now, "e1", &target(&format!("a{index}")));
    }
    let actions = node.advance(ms(200));
    let given = node.answer_orders(actions, |_| exchange::owner::Answer::Done);
    let loaded: Vec<&Order> = given.iter().map(|(_, _, order)| order).collect();
    assert!(
        loaded.contains(&&Order::Load(target("c"), None)),
        "{loaded:?}"
    );
    assert!(
        !loaded.contains(&&Order::Load(target("b"), None)),
        "{loaded:?}"
    );
}
