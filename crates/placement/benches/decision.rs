//! Measures the time of one placement decision and the memory per adapter and per upstream. The
//! sizes are the current deployment (3,000 adapters, 12 upstreams, 7 nodes) and one region of the
//! target deployment (42,000 adapters, 320 upstreams, 58 nodes).

use std::alloc::{GlobalAlloc, Layout, System};
use std::hint::black_box;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use criterion::{Criterion, criterion_group, criterion_main};
use placement::event::{Fencing, Request, Store, Upstream, UpstreamState};
use placement::message::{Grant, LeaseRequest, Message};
use placement::{Action, Event, Planner, Settings};
use wire::view::{Peer, State};
use wire::{Incarnation, Machine, Model, Priority, Time, View};

/// Allocator that counts the bytes currently allocated.
struct CountingAllocator;

static ALLOCATED: AtomicUsize = AtomicUsize::new(0);

#[allow(
    unsafe_code,
    reason = "a global allocator is unsafe by its trait; this one forwards to System"
)]
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        ALLOCATED.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Size of the deployment in a benchmark.
#[derive(Clone, Copy)]
struct Size {
    name: &'static str,
    adapters: usize,
    upstreams: usize,
    nodes: usize,
}

const SIZES: [Size; 2] = [
    Size {
        name: "today",
        adapters: 3_000,
        upstreams: 12,
        nodes: 7,
    },
    Size {
        name: "region",
        adapters: 42_000,
        upstreams: 320,
        nodes: 58,
    },
];

fn model(index: usize) -> Model {
    Model::new(format!("adapter-{index}"), "1")
}

fn planner(size: Size) -> Planner {
    let me = Incarnation::new("vm-0", 1);
    let mut planner = Planner::new(me, Settings::default());
    let peers = (0..size.nodes).map(|node| Peer {
        incarnation: Incarnation::new(format!("vm-{node}"), 1),
        zone: "z".into(),
        state: State::Live,
    });
    let upstreams = (0..size.upstreams).map(|index| Upstream {
        id: format!("runner-{index}").into(),
        pool: "letters".into(),
        base: "base".into(),
        zone: "z".into(),
        store: "store".into(),
        slots: 8,
        max_batch: 32,
        fencing: Fencing::Ignores,
        state: UpstreamState::Live,
    });
    let store = Store {
        id: "store".into(),
        rate: 2.4,
        in_flight: 8,
        load: Duration::from_millis(250),
    };
    let mut out: Vec<Action> = Vec::new();
    for event in [
        Event::View(View::new(peers)),
        Event::Stores(vec![store]),
        Event::Upstreams(upstreams.collect()),
    ] {
        planner.step(Time::ZERO, event, &mut out);
    }
    planner
}

fn request(id: u64, index: usize, now: Time) -> Event {
    Event::Request(Request {
        id,
        model: model(index),
        base: "base".into(),
        pool: "letters".into(),
        path: "/weights".into(),
        priority: Priority::Normal,
        deadline: now + Duration::from_secs(30),
        prefix: None,
        avoid: Vec::new(),
    })
}

/// Sends one request for each adapter and grants its lease, so that the planner has state for all.
fn populate(planner: &mut Planner, size: Size, now: Time, out: &mut Vec<Action>) {
    for index in 0..size.adapters {
        out.clear();
        planner.step(now, request(index as u64, index, now), out);
        let lease_requests: Vec<(wire::Vm, LeaseRequest)> = out
            .drain(..)
            .filter_map(|action| match action {
                Action::Send {
                    to,
                    message: Message::LeaseRequest(lease_request),
                } => Some((to, lease_request)),
                _ => None,
            })
            .collect();
        for (to, lease_request) in lease_requests {
            let grant = Grant {
                instance: format!("{}@1.1.1.{to}", lease_request.model).into(),
                upstream: lease_request.upstream,
                model: lease_request.model,
                number: lease_request.number,
                claim: 1,
                lease: index as u64,
                fence: 1,
                engine_load: None,
                head_start: None,
            };
            let from = Incarnation::new(to, 1);
            let message = Message::Grant(grant);
            planner.step(now, Event::Receive { from, message }, out);
        }
        let done = Event::Done {
            request: index as u64,
        };
        planner.step(now, done, out);
    }
    out.clear();
}

fn decisions(c: &mut Criterion) {
    for size in SIZES {
        let before = ALLOCATED.load(Ordering::Relaxed);
        let mut planner = planner(size);
        let with_upstreams = ALLOCATED.load(Ordering::Relaxed);
        let mut out = Vec::with_capacity(64);
        let now = Duration::from_secs(1);
        populate(&mut planner, size, now, &mut out);
        let with_adapters = ALLOCATED.load(Ordering::Relaxed);
        println!(
            "{}: {} bytes per upstream, {} bytes per adapter",
            size.name,
            (with_upstreams - before) / size.upstreams,
            (with_adapters - with_upstreams) / size.adapters,
        );
        let mut id = size.adapters as u64;
        // Without a lease, each request ranks the upstreams and sends a lease request, which its end
        // withdraws.
        c.bench_function(&format!("{}/cold request and end", size.name), |b| {
            b.iter(|| {
                id += 1;
                let index = id as usize % size.adapters;
                planner.step(now, request(id, index, now), &mut out);
                planner.step(now, Event::Done { request: id }, &mut out);
                black_box(&out);
                out.clear();
            });
        });
        let held = grant_lease(&mut planner, id + 1, now, &mut out);
        id = held;
        c.bench_function(&format!("{}/leased request and end", size.name), |b| {
            b.iter(|| {
                id += 1;
                planner.step(now, request(id, 0, now), &mut out);
                planner.step(now, Event::Done { request: id }, &mut out);
                black_box(&out);
                out.clear();
            });
        });
    }
}

/// Starts a request for the first adapter and leaves it running, so that its lease is kept.
///
/// Returns the id of the request.
fn grant_lease(planner: &mut Planner, id: u64, now: Time, out: &mut Vec<Action>) -> u64 {
    planner.step(now, request(id, 0, now), out);
    let actions = std::mem::take(out);
    for action in actions {
        if let Action::Send {
            to,
            message: Message::LeaseRequest(lease_request),
        } = action
        {
            let grant = Grant {
                instance: format!("{}@1.1.1.{to}", lease_request.model).into(),
                upstream: lease_request.upstream,
                model: lease_request.model,
                number: lease_request.number,
                claim: 1,
                lease: id,
                fence: 1,
                engine_load: None,
                head_start: None,
            };
            let from = Incarnation::new(to, 1);
            let message = Message::Grant(grant);
            planner.step(now, Event::Receive { from, message }, out);
        }
    }
    out.clear();
    id
}

criterion_group!(benches, decisions);
criterion_main!(benches);
