//! Requests that wait for a place of an engine where every adapter is in use.

mod support;

use std::time::Duration;

use exchange::Selection;
use exchange::owner::{Action, AdmissionRequest, Event, Order};
use exchange::selection::{Requirements, SelectionContext, select_upstream};
use rstest::rstest;
use support::{OwnerHarness, PLACES, engine, engine_service, ms, target};
use wire::Upstream;

/// Time for which every adapter of the engine is expected to be in use.
const RUN: Duration = ms(2_000);

fn want(adapter: &str) -> Event {
    Event::RequestLoad {
        engine: "e1".into(),
        target: target(adapter),
        rank: 1,
    }
}

/// An owner whose engine has no place free: a request uses each adapter.
fn full() -> OwnerHarness {
    let names: Vec<String> = (1..PLACES).map(|index| format!("a{index}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut desk = OwnerHarness::alone("vm-1", 1, [engine("e1", &names), engine("e2", &[])]);
    desk.claim_all();
    for name in &names {
        let visit = AdmissionRequest {
            target: target(name),
            prefill: ms(1),
            decode: RUN,
            rank: 1,
        };
        desk.owner.admit(desk.now, &desk.fleet, "e1", &visit);
    }
    desk
}

fn loads(actions: &[Action]) -> usize {
    let load = |action: &&Action| match action {
        Action::Order { order, .. } => matches!(order, Order::Load(..)),
        _ => false,
    };
    actions.iter().filter(load).count()
}

#[rstest]
fn full_engine_says_so_at_once() {
    let mut desk = full();
    let actions = desk.step(want("b"));
    assert_eq!(loads(&actions), 0);
    let told = actions.iter().find_map(|action| match action {
        Action::Backlog { engine, backlog } if &**engine == "e1" => Some(*backlog),
        _ => None,
    });
    assert!(told.is_some_and(|backlog| backlog >= RUN), "{told:?}");
}

#[rstest]
fn engine_with_a_place_only_loads() {
    let mut desk = full();
    desk.owner.release_admission(desk.now, "e1", &target("a1"));
    let actions = desk.step(want("b"));
    let said = |action: &Action| matches!(action, Action::Backlog { .. });
    assert!(!actions.iter().any(said), "{actions:?}");
}

/// A request that finds its home full goes to the next engine of its order.
#[rstest]
fn request_leaves_a_full_home() {
    let mut desk = full();
    let service = engine_service();
    let owned = |_: &Upstream| true;
    let choose = |desk: &OwnerHarness, adapter: &str| {
        let target = target(adapter);
        let need = Requirements {
            service: &service,
            target: Some(&target),
            tried: &[],
            seed: 1,
            prefill_time: ms(1),
        };
        let scene = SelectionContext {
            now: desk.now,
            zone: &"zone-a".into(),
            isolate_long_prompts: false,
            owned,
        };
        select_upstream(&desk.fleet, &need, &scene)
    };
    let at_home = |adapter: &&String| choose(&desk, adapter) == Selection::Load("e1".into());
    let names: Vec<String> = (0..100).map(|index| format!("b{index}")).collect();
    let adapter = names.iter().find(at_home).expect("one at home there");
    desk.step(want(adapter));
    assert_eq!(choose(&desk, adapter), Selection::Load("e2".into()));
}

/// What nobody waits for any longer takes no place.
#[rstest]
fn need_that_went_elsewhere_is_dropped() {
    let mut desk = full();
    desk.step(want("b"));
    desk.step(want("c"));
    desk.step(Event::CancelLoadRequest {
        engine: "e1".into(),
        target: target("b"),
    });
    for index in 1..PLACES {
        desk.owner
            .release_admission(desk.now, "e1", &target(&format!("a{index}")));
    }
    let actions = desk.advance(ms(200));
    let given = desk.answer_orders(actions, |_| exchange::owner::Answer::Done);
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
