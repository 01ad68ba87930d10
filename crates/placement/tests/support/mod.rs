//! A planner with one engine that has two slots, its weight store, and requests for one adapter.

#![allow(dead_code, reason = "no test file uses all of the helpers")]

use std::time::Duration;

use placement::event::{Fencing, Request, Store, Upstream, UpstreamState};
use placement::{Event, Planner, Settings};
use wire::view::{Peer, State as PeerState};
use wire::{Incarnation, Machine, Model, Priority, View};

/// Returns a view of these VMs, all of them live.
pub fn view(vms: &[&str]) -> View {
    View::new(vms.iter().map(|vm| Peer {
        incarnation: Incarnation::new(*vm, 1),
        zone: "z".into(),
        state: PeerState::Live,
    }))
}

/// Returns the planner of `vm` in a region with engine `e`, whose weight store allows `rate` loads
/// per second.
pub fn planner(vm: &str, vms: &[&str], rate: f64) -> Planner {
    planner_with(vm, vms, rate, Settings::default())
}

/// Returns the same planner with other settings.
pub fn planner_with(vm: &str, vms: &[&str], rate: f64, settings: Settings) -> Planner {
    let mut planner = Planner::new(Incarnation::new(vm, 1), settings);
    let store = Store {
        id: "s".into(),
        rate,
        in_flight: 8,
        load: Duration::from_millis(250),
    };
    let mut out = Vec::new();
    for event in [
        Event::View(view(vms)),
        Event::Stores(vec![store]),
        Event::Upstreams(vec![engine("e")]),
    ] {
        planner.step(Duration::ZERO, event, &mut out);
    }
    planner
}

/// Returns a live engine.
pub fn engine(id: &str) -> Upstream {
    Upstream {
        id: id.into(),
        pool: "p".into(),
        base: "b".into(),
        zone: "z".into(),
        store: "s".into(),
        slots: 2,
        max_batch: 4,
        fencing: Fencing::RefusesOld,
        state: UpstreamState::Live,
    }
}

/// Returns a request for the adapter `m`.
pub fn request(id: u64, priority: Priority) -> Event {
    Event::Request(Request {
        id,
        model: Model::new("m", "1"),
        base: "b".into(),
        pool: "p".into(),
        path: "/m".into(),
        priority,
        deadline: Duration::from_secs(30),
        prefix: None,
        avoid: Vec::new(),
    })
}
