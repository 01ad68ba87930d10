//! One node places a request: it loads the adapter, grants the request and reuses the lease.

use std::time::Duration;

use placement::event::{Fencing, Request, State, Store, Upstream};
use placement::{Action, Event, Planner, Settings};
use wire::view::{Peer, State as Live};
use wire::{Incarnation, Machine, Model, Priority, View};

fn planner() -> Planner {
    let me = Incarnation::new("a", 1);
    let mut planner = Planner::new(me.clone(), Settings::default());
    let mut out = Vec::new();
    let peer = Peer {
        incarnation: me,
        zone: "z".into(),
        state: Live::Live,
    };
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
    let zero = Duration::ZERO;
    planner.step(zero, Event::View(View::new([peer])), &mut out);
    planner.step(zero, Event::Stores(vec![store]), &mut out);
    planner.step(zero, Event::Upstreams(vec![engine]), &mut out);
    planner
}

fn request(id: u64) -> Event {
    Event::Request(Request {
        id,
        model: Model::new("m", "1"),
        base: "b".into(),
        pool: "p".into(),
        path: "/m".into(),
        priority: Priority::Normal,
        deadline: Duration::from_secs(30),
        prefix: None,
        avoid: Vec::new(),
    })
}

#[test]
fn loads_once_and_reuses() {
    let mut planner = planner();
    let mut out: Vec<Action> = Vec::new();
    let mut now = Duration::from_secs(6);
    planner.step(now, request(1), &mut out);
    while !out
        .iter()
        .any(|action| matches!(action, Action::Load { .. }))
    {
        now += Duration::from_millis(50);
        planner.step(now, Event::Tick, &mut out);
        assert!(now < Duration::from_secs(10), "{out:?}");
    }
    let load = out.iter().find_map(|action| match action {
        Action::Load {
            instance, fence, ..
        } => Some((instance.clone(), *fence)),
        _ => None,
    });
    let (instance, fence) = load.unwrap();
    assert!(planner.permit(now, "e", fence));
    assert!(!planner.permit(now + Duration::from_secs(2), "e", fence));
    out.clear();
    let loaded = Event::Loaded {
        upstream: "e".into(),
        instance: instance.clone(),
        fence,
    };
    planner.step(now, loaded, &mut out);
    planner.step(now, request(2), &mut out);
    let granted: Vec<_> = out
        .iter()
        .filter_map(|action| match action {
            Action::Grant {
                request, instance, ..
            } => Some((*request, instance.clone())),
            _ => None,
        })
        .collect();
    assert_eq!(granted, [(1, instance.clone()), (2, instance)]);
}
