//! Urgent requests stay at the engine where their adapter is resident while the adapter moves.

mod support;

use std::time::Duration;

use placement::action::Note;
use placement::event::Request;
use placement::message::{Grant, LeaseRequest, Message};
use placement::{Action, Event, Planner, Settings};
use rstest::rstest;
use wire::{Incarnation, Machine, Model, Priority, Time};

const VMS: [&str; 2] = ["a", "b"];

const ENGINES: [&str; 6] = ["e1", "e2", "e3", "e4", "e5", "e6"];

/// Time after which demand is first concentrated on fewer engines.
const PACKED: Duration = Duration::from_secs(16);

struct Node {
    planner: Planner,
    now: Time,
    out: Vec<Action>,
    model: Model,
    requests: u64,
}

impl Node {
    fn new(model: &str) -> Self {
        let settings = Settings {
            load_stalls: 0.2,
            ..Settings::default()
        };
        let mut node = Self {
            planner: support::planner_with("a", &VMS, 20.0, settings),
            now: Duration::from_secs(1),
            out: Vec::new(),
            model: Model::new(model, "1"),
            requests: 0,
        };
        node.list(&ENGINES);
        node
    }

    /// Lists these engines as live.
    fn list(&mut self, engines: &[&str]) {
        let listed = engines.iter().map(|id| support::engine(id));
        self.step(Event::Upstreams(listed.collect()));
    }

    fn step(&mut self, event: Event) {
        self.out.clear();
        self.planner.step(self.now, event, &mut self.out);
    }

    /// Adds a request and returns the engine that is chosen for it.
    fn request(&mut self, priority: Priority) -> wire::Upstream {
        self.requests += 1;
        self.step(Event::Request(Request {
            id: self.requests,
            model: self.model.clone(),
            base: "b".into(),
            pool: "p".into(),
            path: "/m".into(),
            priority,
            deadline: self.now + Duration::from_secs(30),
            prefix: None,
            avoid: Vec::new(),
        }));
        let chosen = self.out.iter().find_map(|action| match action {
            Action::Note(Note::Chosen { upstream, .. }) => Some(upstream.clone()),
            _ => None,
        });
        chosen.expect("an engine is chosen")
    }

    /// Returns the lease request that was sent to the other node.
    fn lease_request(&self) -> Option<LeaseRequest> {
        self.out.iter().find_map(|action| match action {
            Action::Send {
                message: Message::LeaseRequest(request),
                ..
            } => Some(request.clone()),
            _ => None,
        })
    }

    fn grant(&mut self, request: &LeaseRequest) {
        let grant = Grant {
            upstream: request.upstream.clone(),
            model: request.model.clone(),
            number: request.number,
            claim: 1,
            lease: 1,
            instance: "i".into(),
            fence: 2,
            engine_load: None,
            head_start: None,
        };
        self.step(Event::Receive {
            from: Incarnation::new("b", 1),
            message: Message::Grant(grant),
        });
    }

    /// Runs a request on the adapter's home, if the other node owns it, and returns the home.
    fn run_once(&mut self) -> Option<wire::Upstream> {
        let home = self.request(Priority::Normal);
        let lease_request = self.lease_request()?;
        self.grant(&lease_request);
        self.step(Event::Done {
            request: self.requests,
        });
        Some(home)
    }

    /// Runs a request before and one after the time at which demand is concentrated. Returns the
    /// home, if a routine request then goes to another one.
    fn moved_home(&mut self) -> Option<wire::Upstream> {
        self.run_once()?;
        self.now = PACKED - Duration::from_secs(1);
        let home = self.run_once()?;
        self.now = PACKED + Duration::from_secs(2);
        (self.request(Priority::Routine) != home).then_some(home)
    }
}

/// Returns a node that has just moved an adapter, with the former home and the request for a lease
/// at the new one.
fn moved() -> (Node, wire::Upstream, LeaseRequest) {
    let nodes = (0..200).map(|number| Node::new(&format!("m{number}")));
    let mut moved = nodes.filter_map(|mut node| {
        let home = node.moved_home()?;
        let lease_request = node.lease_request()?;
        Some((node, home, lease_request))
    });
    moved.next().expect("an adapter moves")
}

#[derive(Clone, Copy, Debug)]
enum Then {
    Nothing,
    Later(Duration),
    Gone,
}

/// A node concentrates its demand on fewer engines than the others do, so that its home for an
/// adapter changes. An urgent request would wait there for a load, while less urgent ones of other
/// nodes run at the former home.
#[rstest]
#[case::resident(Then::Nothing, true)]
#[case::within_lease(Then::Later(Duration::from_secs(6)), true)]
#[case::long_ago(Then::Later(Duration::from_secs(30)), false)]
#[case::engine_gone(Then::Gone, false)]
fn urgent_requests_stay(#[case] then: Then, #[case] stays: bool) {
    let (mut node, home, _) = moved();
    match then {
        Then::Nothing => {}
        Then::Later(pause) => node.now += pause,
        Then::Gone => {
            let others: Vec<&str> = ENGINES.into_iter().filter(|id| **id != *home).collect();
            node.list(&others);
        }
    }
    assert_eq!(node.request(Priority::Urgent) == home, stays);
}

#[test]
fn urgent_requests_follow() {
    let (mut node, home, lease_request) = moved();
    assert_eq!(node.request(Priority::Urgent), home);
    node.grant(&lease_request);
    assert_eq!(node.request(Priority::Urgent), lease_request.upstream);
}
