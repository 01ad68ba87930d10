//! An engine that has just been taken over, before it has reported what it holds.

mod support;

use std::time::Duration;

use placement::event::{InstanceReport, InstanceUse};
use placement::{Action, Event, Planner};
use support::{engine, request};
use wire::{Machine, Priority};

/// Returns a node that has run for a while, and takes the engine over at `now` for an urgent request.
fn taking_over(now: Duration, out: &mut Vec<Action>) -> Planner {
    let mut planner = support::planner("a", &["a"], 8.0);
    planner.step(Duration::ZERO, Event::Upstreams(Vec::new()), out);
    planner.step(now, Event::Upstreams(vec![engine("e")]), out);
    planner.step(now, request(1, Priority::Urgent), out);
    planner
}

/// Lets `time` pass.
fn wait(planner: &mut Planner, now: &mut Duration, time: Duration, out: &mut Vec<Action>) {
    let end = *now + time;
    while *now < end {
        *now += Duration::from_millis(100);
        planner.step(*now, Event::Tick, out);
    }
}

/// Guards against a load that the engine rejects, since it holds the adapter already: the request would
/// go elsewhere and wait there, and less urgent ones would begin before it.
#[test]
fn request_waits_for_the_first_report() {
    let mut out: Vec<Action> = Vec::new();
    let mut now = Duration::from_secs(6);
    let mut planner = taking_over(now, &mut out);
    wait(&mut planner, &mut now, Duration::from_millis(800), &mut out);
    let instance: placement::event::Instance = "m@1@1.1.1.b".into();
    let report = InstanceReport {
        upstream: "e".into(),
        boot: 1,
        instances: vec![InstanceUse {
            instance: instance.clone(),
            in_use: 0,
        }],
        age: Duration::ZERO,
    };
    planner.step(now, Event::InstanceReport(report), &mut out);
    planner.step(now, Event::Tick, &mut out);
    let loads = out.iter().filter(|a| matches!(a, Action::Load { .. }));
    assert_eq!(loads.count(), 0, "{out:?}");
    let granted = out
        .iter()
        .any(|action| matches!(action, Action::Grant { instance: held, .. } if *held == instance));
    assert!(granted, "{out:?}");
}

/// Guards against an engine that is not ordered at since it does not report.
#[test]
fn silent_engine_is_ordered_at_in_the_end() {
    let mut out: Vec<Action> = Vec::new();
    let mut now = Duration::from_secs(6);
    let mut planner = taking_over(now, &mut out);
    let limit = Duration::from_millis(1_500);
    wait(&mut planner, &mut now, limit, &mut out);
    let loads = out.iter().filter(|a| matches!(a, Action::Load { .. }));
    assert_eq!(loads.count(), 1, "{out:?}");
}
