//! One decision with a long queue and many callers.

#![allow(missing_docs)]

use std::hint::black_box;
use std::time::Duration;

use admission::{Action, Arrival, Config, Event, Limit, Queue};
use criterion::{Criterion, criterion_group, criterion_main};
use wire::{Machine, Priority, Request, Time};

/// Requests that run at once.
const SLOTS: u32 = 256;

/// Requests that wait.
const WAITING: u64 = 2000;

/// Time limit of the requests, behind the bench's end.
const FAR: Duration = Duration::from_secs(1_000_000);

fn arrive(request: Request, callers: u64) -> Event {
    Event::Arrive(Arrival {
        request,
        caller: format!("caller-{}", request % callers).into(),
        pool: "pool".into(),
        priority: Priority::ALL[request as usize % Priority::ALL.len()],
        deadline: FAR,
        limit: Some(Limit::new(1e6, 1000, 1000)),
    })
}

fn decide(c: &mut Criterion) {
    for callers in [10, 1000] {
        let mut queue = Queue::new(Config {
            waiting: 1 << 20,
            ..Config::default()
        });
        let mut out: Vec<Action> = Vec::new();
        let concurrent = SLOTS;
        let pool = "pool".into();
        queue.step(Time::ZERO, Event::Capacity { pool, concurrent }, &mut out);
        let mut next = 0;
        while next < WAITING + u64::from(SLOTS) {
            queue.step(Time::ZERO, arrive(next, callers), &mut out);
            next += 1;
        }
        let mut now = Time::ZERO;
        let mut admitted: std::collections::VecDeque<Request> = out
            .drain(..)
            .filter_map(|action| match action {
                Action::Admit { request } => Some(request),
                Action::Refuse { .. } => None,
            })
            .collect();
        c.bench_function(
            &format!("arrive and finish, {WAITING} wait, {callers} callers"),
            |b| {
                b.iter(|| {
                    now += Duration::from_micros(100);
                    queue.step(now, arrive(next, callers), &mut out);
                    next += 1;
                    if let Some(request) = admitted.pop_front() {
                        queue.step(now, Event::Finish { request }, &mut out);
                    }
                    for action in out.drain(..) {
                        if let Action::Admit { request } = black_box(action) {
                            admitted.push_back(request);
                        }
                    }
                });
            },
        );
        // Part of the capacity is kept for urgent requests.
        assert!(queue.waiting() as u64 >= WAITING && queue.running() > SLOTS as usize / 2);
    }
}

criterion_group!(benches, decide);
criterion_main!(benches);
