//! A single node loads the adapter for a request, grants the request, and reuses the lease for the
//! next one.

mod support;

use std::time::Duration;

use placement::{Action, Event};
use support::request;
use wire::{Machine, Priority};

#[test]
fn loads_once_and_reuses() {
    let mut planner = support::planner("a", &["a"], 2.0);
    let mut out: Vec<Action> = Vec::new();
    let mut now = Duration::from_secs(6);
    planner.step(now, request(1, Priority::Normal), &mut out);
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
    planner.step(now, request(2, Priority::Normal), &mut out);
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
