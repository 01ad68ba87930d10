//! After a load, the most urgent of the waiting requests start first, whichever node they wait at.

mod support;

use std::time::Duration;

use placement::message::{Grant, HeadStart, LeaseRequest, Message};
use placement::{Action, Event, Planner};
use support::request;
use wire::{Incarnation, Machine, Model, Priority, Time};

const VMS: [&str; 2] = ["a", "b"];

/// Interval between ticks.
const TICK: Duration = Duration::from_millis(50);

/// Time within which the less urgent requests must start as well.
const START_LIMIT: Duration = Duration::from_millis(150);

/// Returns the planner and the VM of engine `e`'s owner, or of the other node.
fn planner(owner: bool) -> (Planner, &'static str) {
    let view = support::view(&VMS);
    let named = view.owner("e").unwrap();
    let vm = VMS.into_iter().find(|vm| (**vm == **named) == owner);
    let vm = vm.unwrap();
    (support::planner(vm, &VMS, 20.0), vm)
}

/// Returns the requests that were granted.
fn started(out: &[Action]) -> Vec<u64> {
    let granted = out.iter().filter_map(|action| match action {
        Action::Grant { request, .. } => Some(*request),
        _ => None,
    });
    granted.collect()
}

/// Ticks until `find` returns a value for one of the actions, and returns that value.
fn until<T>(
    planner: &mut Planner,
    now: &mut Time,
    out: &mut Vec<Action>,
    find: impl Fn(&Action) -> Option<T>,
) -> T {
    let last = *now + Duration::from_secs(5);
    loop {
        if let Some(found) = out.iter().find_map(&find) {
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
    let lease_request = LeaseRequest {
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
        message: Message::LeaseRequest(lease_request),
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
    assert_eq!(
        started(&out),
        [0; 0],
        "routine requests wait while the grant to the urgent one is in flight"
    );
    // Routine requests that arrive now have to wait as well, but urgent ones start at once.
    owner.step(now, request(2, Priority::Routine), &mut out);
    owner.step(now, request(3, Priority::Urgent), &mut out);
    assert_eq!(started(&out), [3]);
    let end = now + START_LIMIT;
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
    let lease_request = until(&mut node, &mut now, &mut out, |action| match action {
        Action::Send {
            message: Message::LeaseRequest(lease_request),
            ..
        } => Some(lease_request.clone()),
        _ => None,
    });
    let grant = Grant {
        upstream: "e".into(),
        model: Model::new("m", "1"),
        number: lease_request.number,
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
