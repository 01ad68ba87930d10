//! After a load, the most urgent of those who waited start first, whichever node they wait at.

mod support;

use std::time::Duration;

use placement::message::{Grant, HeadStart, LeaseRequest, Message};
use placement::{Action, Event, Planner};
use support::request;
use wire::{Incarnation, Machine, Model, Priority, Time};

const VMS: [&str; 2] = ["a", "b"];

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(50);

/// Time within which the others have to start as well.
const SOON: Duration = Duration::from_millis(150);

/// Returns the owner of engine `e` or the other node.
fn planner(owner: bool) -> (Planner, &'static str) {
    let view = support::view(&VMS);
    let named = view.owner("e").unwrap();
    let vm = VMS.into_iter().find(|vm| (**vm == **named) == owner);
    let vm = vm.unwrap();
    (support::planner(vm, &VMS, 20.0), vm)
}

fn started(out: &[Action]) -> Vec<u64> {
    let granted = out.iter().filter_map(|action| match action {
        Action::Grant { request, .. } => Some(*request),
        _ => None,
    });
    granted.collect()
}

/// Ticks until `found` finds something, and returns it.
fn until<T>(
    planner: &mut Planner,
    now: &mut Time,
    out: &mut Vec<Action>,
    found: impl Fn(&Action) -> Option<T>,
) -> T {
    let last = *now + Duration::from_secs(5);
    loop {
        if let Some(found) = out.iter().find_map(&found) {
            return found;
        }
        assert!(*now < last, "{out:?}");
        *now += TICK;
        planner.step(*now, Event::Tick, out);
    }
}

#[test]
fn owner_lets_remote_urgent_go_first() {
    let (mut owner, _) = planner(true);
    let (_, other) = planner(false);
    let mut out = Vec::new();
    let mut now = Duration::from_secs(6);
    let ask = LeaseRequest {
        upstream: "e".into(),
        model: Model::new("m", "1"),
        path: Some("/m".into()),
        number: 1,
        priority: Priority::Urgent,
        waiting: 1,
        served: 0,
        age: Duration::ZERO,
        remaining: Duration::from_secs(20),
    };
    let receive = Event::Receive {
        from: Incarnation::new(other, 1),
        message: Message::LeaseRequest(ask),
    };
    owner.step(now, receive, &mut out);
    owner.step(now, request(1, Priority::Routine), &mut out);
    let (instance, fence) = until(&mut owner, &mut now, &mut out, |action| match action {
        Action::Load {
            instance, fence, ..
        } => Some((instance.clone(), *fence)),
        _ => None,
    });
    out.clear();
    let loaded = Event::Loaded {
        upstream: "e".into(),
        instance,
        fence,
    };
    owner.step(now, loaded, &mut out);
    let granted = out.iter().any(|action| {
        matches!(action, Action::Send { to, message: Message::Grant(_) } if **to == *other)
    });
    assert!(granted, "{out:?}");
    assert_eq!(started(&out), [0; 0], "the urgent one is on its way");
    // Routine requests that come now go behind it too, urgent ones don't.
    owner.step(now, request(2, Priority::Routine), &mut out);
    owner.step(now, request(3, Priority::Urgent), &mut out);
    assert_eq!(started(&out), [3]);
    let end = now + SOON;
    while now < end {
        now += TICK;
        owner.step(now, Event::Tick, &mut out);
    }
    let mut all = started(&out);
    all.sort_unstable();
    assert_eq!(all, [1, 2, 3]);
}

#[test]
fn holder_keeps_head_start() {
    let (mut node, _) = planner(false);
    let (_, owner) = planner(true);
    let mut out = Vec::new();
    let mut now = Duration::from_secs(6);
    node.step(now, request(1, Priority::Normal), &mut out);
    let ask = until(&mut node, &mut now, &mut out, |action| match action {
        Action::Send {
            message: Message::LeaseRequest(ask),
            ..
        } => Some(ask.clone()),
        _ => None,
    });
    let grant = Grant {
        upstream: "e".into(),
        model: Model::new("m", "1"),
        number: ask.number,
        claim: 1,
        lease: 1,
        instance: "i".into(),
        fence: 2,
        engine_load: None,
        head_start: Some(HeadStart {
            priority: Priority::Urgent,
            remaining: TICK,
        }),
    };
    let receive = Event::Receive {
        from: Incarnation::new(owner, 1),
        message: Message::Grant(grant),
    };
    node.step(now, receive, &mut out);
    assert_eq!(started(&out), [0; 0]);
    node.step(now + TICK, Event::Tick, &mut out);
    assert_eq!(started(&out), [1]);
}
