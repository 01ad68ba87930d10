//! Engines at which nobody may order for a while, since their former owner's orders are recent.

mod support;

use std::time::Duration;

use placement::action::Note;
use placement::message::{Denial, Grant, Message};
use placement::{Action, Event, Planner, Settings};
use rstest::rstest;
use support::{engine, planner, planner_with, request, view};
use wire::{Incarnation, Machine, Model, Priority, Time};

const TICK: Duration = Duration::from_millis(100);

/// Time within which two nodes must not take turns.
const LEASE: Duration = Duration::from_secs(3);

/// Loads per second that the store allows.
const RATE: f64 = 8.0;

/// Returns the last engine that was chosen for a request.
fn chosen(out: &[Action]) -> Option<wire::Upstream> {
    let chosen = out.iter().rev().find_map(|action| match action {
        Action::Note(Note::Chosen { upstream, .. }) => Some(upstream),
        _ => None,
    });
    chosen.cloned()
}

/// Returns the number of the last lease request that was sent.
fn number(out: &[Action]) -> Option<u64> {
    out.iter().rev().find_map(|action| match action {
        Action::Send {
            message: Message::LeaseRequest(request),
            ..
        } => Some(request.number),
        _ => None,
    })
}

/// Returns the waits that denials name.
fn waits(out: &[Action]) -> Vec<Duration> {
    let waits = out.iter().filter_map(|action| match action {
        Action::Send {
            message:
                Message::Deny {
                    denial: Denial::Moved,
                    retry_after,
                    ..
                },
            ..
        } => Some(*retry_after),
        _ => None,
    });
    waits.collect()
}

/// A node that asks another one, which owns all engines in its view, for leases.
struct Holder {
    planner: Planner,
    now: Time,
    out: Vec<Action>,
}

impl Holder {
    fn new(engines: &[&str]) -> Self {
        let mut holder = Self {
            planner: planner_with("a", &["b"], RATE, Settings::default()),
            now: TICK,
            out: Vec::new(),
        };
        let listed = engines.iter().map(|id| engine(id)).collect();
        holder.step(Event::Upstreams(listed));
        holder
    }

    fn step(&mut self, event: Event) {
        self.out.clear();
        self.planner.step(self.now, event, &mut self.out);
    }

    fn receive(&mut self, message: Message) {
        let from = Incarnation::new("b", 1);
        self.step(Event::Receive { from, message });
    }

    /// Answers the lease request `number` that nobody owns the engine for `wait`.
    fn deny(&mut self, upstream: &wire::Upstream, number: u64, wait: Duration) {
        self.receive(Message::Deny {
            upstream: upstream.clone(),
            model: Model::new("m", "1"),
            number,
            denial: Denial::Moved,
            retry_after: wait,
        });
    }

    /// Adds a request and returns the engine that is chosen and the number of the lease request.
    fn request(&mut self) -> (wire::Upstream, u64) {
        self.step(request(1, Priority::Urgent));
        let upstream = chosen(&self.out).expect("an engine is chosen");
        (upstream, number(&self.out).expect("a lease is requested"))
    }
}

/// Guards against urgent requests that wait 1.5 s at an engine at which nobody may load their adapter,
/// while less urgent ones that come later find it owned again.
#[rstest]
#[case::longer_than_silence(Duration::from_secs(2), true)]
#[case::shorter(Duration::from_secs(1), false)]
#[case::unknown(Duration::ZERO, false)]
fn request_leaves(#[case] wait: Duration, #[case] leaves: bool) {
    let mut holder = Holder::new(&["e1", "e2"]);
    let (home, number) = holder.request();
    holder.now += TICK;
    holder.deny(&home, number, wait);
    let other = chosen(&holder.out);
    assert_eq!(other.is_some_and(|other| other != home), leaves);
}

/// Guards against a request that is refused although its only engine is owned again before its deadline.
#[test]
fn request_without_alternative_stays() {
    let mut holder = Holder::new(&["e1"]);
    let (home, mut last) = holder.request();
    let owned_at = holder.now + LEASE;
    while holder.now < owned_at {
        holder.deny(&home, last, owned_at - holder.now);
        let refused = |action: &Action| matches!(action, Action::Refuse { .. });
        assert!(!holder.out.iter().any(refused), "at {:?}", holder.now);
        holder.now += TICK;
        holder.step(Event::Tick);
        assert!(!holder.out.iter().any(refused), "at {:?}", holder.now);
        last = number(&holder.out).unwrap_or(last);
    }
    holder.receive(Message::Grant(Grant {
        upstream: home,
        model: Model::new("m", "1"),
        number: last,
        claim: 1,
        lease: 1,
        instance: "i".into(),
        fence: 2,
        engine_load: None,
        head_start: None,
    }));
    let granted = |action: &Action| matches!(action, Action::Grant { request: 1, .. });
    assert!(holder.out.iter().any(granted), "{:?}", holder.out);
}

/// Asks `owner` for a lease and returns the waits that it names.
fn asked(owner: &mut Planner, now: Time) -> Vec<Duration> {
    let mut holder = Holder::new(&["e"]);
    holder.request();
    let message = holder.out.iter().find_map(|action| match action {
        Action::Send { message, .. } => Some(message.clone()),
        _ => None,
    });
    let event = Event::Receive {
        from: Incarnation::new("z", 1),
        message: message.expect("a lease is requested"),
    };
    let mut out = Vec::new();
    owner.step(now, event, &mut out);
    waits(&out)
}

/// Guards against holders that are not told how long nobody orders at an engine, by the node that gave
/// it up.
#[rstest]
#[case::just_now(Duration::ZERO, LEASE)]
#[case::before(Duration::from_secs(3), LEASE - Duration::from_secs(2))]
#[case::long_ago(Duration::from_secs(9), Duration::ZERO)]
fn former_owner_names_wait(#[case] since: Duration, #[case] wait: Duration) {
    let both = view(&["a", "b"]);
    let owner = both.owner("e").expect("the view is not empty").clone();
    let other = if *owner == *"a" { "b" } else { "a" };
    let mut former = planner(other, &[other], RATE);
    let (mut now, mut out) = (LEASE, Vec::new());
    former.step(now, request(1, Priority::Normal), &mut out);
    let load = |action: &Action| matches!(action, Action::Load { .. });
    while !out.iter().any(load) {
        now += TICK;
        former.step(now, Event::Tick, &mut out);
        assert!(now < LEASE * 4, "nothing was ordered");
    }
    now += since;
    former.step(now, Event::View(both), &mut out);
    assert_eq!(asked(&mut former, now), [wait]);
}

/// Guards against the same by the node that waits for its turn: it queued requests for loads that it may
/// not order.
#[test]
fn next_owner_names_wait() {
    let both = view(&["a", "b"]);
    let owner = both.owner("e").expect("the view is not empty").clone();
    let mut next = planner(&owner, &["a", "b"], RATE);
    let upstream = "e".into();
    let superseded = Message::ClaimSuperseded { upstream, claim: 5 };
    let other = if *owner == *"a" { "b" } else { "a" };
    let event = Event::Receive {
        from: Incarnation::new(other, 1),
        message: superseded,
    };
    next.step(TICK, event, &mut Vec::new());
    assert_eq!(asked(&mut next, TICK * 6), [LEASE - TICK * 5]);
}
