//! Requests that wait for a slot at an engine where every adapter is in use.

mod support;

use std::time::Duration;

use exchange::Selection;
use exchange::owner::{Action, AdmissionRequest, Answer, Event, Order, REPLICA_RANK};
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
    let adapters: Vec<String> = (0..ADAPTER_SLOTS)
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
            urgent: false,
            prefill_time: ms(1),
            release: None,
        };
        let scene = SelectionContext {
            now: node.now,
            zone: &"zone-a".into(),
            long_prompt_engines: 0.0,
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
    for index in 0..ADAPTER_SLOTS {
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

/// Every slot of an engine serves requests; none is kept empty.
#[rstest]
fn last_slot_is_used() {
    let adapters: Vec<String> = (1..ADAPTER_SLOTS)
        .map(|index| format!("a{index}"))
        .collect();
    let adapters: Vec<&str> = adapters.iter().map(String::as_str).collect();
    let mut node = OwnerHarness::alone("vm-1", 1, [engine("e1", &adapters)]);
    node.claim_all();
    let actions = node.step(request_load("b"));
    assert_eq!(loads(&actions), 1, "{actions:?}");
}

/// An order without an answer may reach the engine after its report. Until then, a slot is held
/// back for it; afterwards, all are used again.
#[rstest]
fn unanswered_load_holds_a_slot_back() {
    let adapters: Vec<String> = (2..ADAPTER_SLOTS)
        .map(|index| format!("a{index}"))
        .collect();
    let adapters: Vec<&str> = adapters.iter().map(String::as_str).collect();
    let mut node = OwnerHarness::alone("vm-1", 1, [engine("e1", &adapters)]);
    node.claim_all();
    let use_adapter = |node: &mut OwnerHarness, name: &str| {
        let busy = AdmissionRequest {
            target: target(name),
            prefill: ms(1),
            decode: ms(60_000),
            rank: 1,
        };
        node.owner.admit(node.now, &node.fleet, "e1", &busy);
    };
    adapters
        .iter()
        .for_each(|name| use_adapter(&mut node, name));
    let actions = node.step(request_load("lost"));
    node.answer_orders(actions, |_| Answer::Unknown);
    // The report does not show the load.
    let actions = node.advance(ms(400));
    let holdings = node
        .fleet
        .upstream("e1")
        .expect("known engine")
        .listing
        .holdings
        .clone();
    node.fleet
        .apply_report(node.now, "e1", holdings, Vec::new());
    node.answer_orders(actions, |_| Answer::Done);
    let loads = |node: &mut OwnerHarness, actions: Vec<Action>, adapter: &str| {
        let given = node.answer_orders(actions, |_| Answer::Done);
        let order = Order::Load(target(adapter), None);
        given.iter().any(|(_, _, given)| *given == order)
    };
    let actions = node.step(request_load("b"));
    assert!(loads(&mut node, actions, "b"));
    use_adapter(&mut node, "b");
    let actions = node.step(request_load("c"));
    assert!(
        !loads(&mut node, actions, "c"),
        "the last slot is held back"
    );
    let mut later = node.advance(ms(2_500));
    later.extend(node.step(request_load("c")));
    later.extend(node.advance(ms(1_000)));
    assert!(loads(&mut node, later, "c"));
}

/// A replica is loaded into a free slot or in place of an adapter that is hardly used, but never
/// drives out one that serves requests.
#[rstest]
#[case::hardly_used(0, 1)]
#[case::used(3, 0)]
fn replica_evicts_no_used_adapter(#[case] uses: usize, #[case] evictions: usize) {
    let mut node = node_with_full_engine();
    for index in 0..ADAPTER_SLOTS {
        let used = AdmissionRequest {
            target: target(&format!("a{index}")),
            prefill: ms(1),
            decode: ms(1),
            rank: 1,
        };
        for _ in 0..uses {
            node.owner.admit(node.now, &node.fleet, "e1", &used);
        }
        for _ in 0..=uses {
            node.owner.release_admission(node.now, "e1", &used.target);
        }
    }
    if uses == 0 {
        node.advance(ms(8_000));
    }
    let actions = node.step(Event::RequestLoad {
        engine: "e1".into(),
        target: target("replica"),
        rank: REPLICA_RANK,
    });
    let evicts = |action: &&Action| {
        matches!(
            action,
            Action::Order {
                order: Order::Unload(_),
                ..
            }
        )
    };
    assert_eq!(
        actions.iter().filter(evicts).count(),
        evictions,
        "{actions:?}"
    );
}

/// The owner replies with the time that the load would take, so that a request that cannot be
/// served in time is refused at once.
#[rstest]
fn wait_grows_with_the_queue() {
    let mut node = node_with_full_engine();
    let mut waits: Vec<Duration> = Vec::new();
    for index in 0..4 {
        let actions = node.step(request_load(&format!("b{index}")));
        let backlog = actions.iter().find_map(|action| match action {
            Action::Backlog { backlog, .. } => Some(*backlog),
            _ => None,
        });
        waits.push(backlog.expect("a reply"));
    }
    assert!(waits.is_sorted(), "{waits:?}");
    assert!(waits[0] >= RUN_TIME + ms(250), "{waits:?}");
    assert!(waits[3] > waits[0], "{waits:?}");
}
