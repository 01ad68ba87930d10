//! Generated event sequences, and a watch over what a queue makes of them.

// Each test file uses a part of this.
#![allow(dead_code)]

mod naive;

use std::time::Duration;

use admission::{Action, Arrival, Config, Event, Limit};
pub use naive::{Job, Naive};
use proptest::prelude::*;
use proptest::test_runner::{Config as Runner, RngSeed};
use wire::{Priority, Request, Time};

pub const SECOND: Duration = Duration::from_secs(1);

pub fn runner(cases: u32) -> Runner {
    Runner {
        cases,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Runner::default()
    }
}

pub fn config() -> Config {
    Config {
        reserve: 0.25,
        age: 2 * SECOND,
        waiting: 8,
        hold: SECOND,
        review: SECOND / 2,
        outage: SECOND,
    }
}

/// One step of a schedule; `pick` chooses among the live requests.
#[derive(Clone, Debug)]
pub enum Op {
    Arrive {
        caller: u8,
        pool: u8,
        priority: usize,
        limit: u64,
        bound: Option<(u32, u32, u32)>,
    },
    Finish {
        pick: usize,
    },
    Cancel {
        pick: usize,
    },
    Capacity {
        pool: u8,
        concurrent: u32,
    },
    Tick,
}

pub fn ops() -> impl Strategy<Value = Vec<(u64, Op)>> {
    let bound = proptest::option::of((1..4u32, 1..5u32, 0..2u32));
    let arrive = (0..4u8, 0..2u8, 0..3usize, 0..8000u64, bound).prop_map(
        |(caller, pool, priority, limit, bound)| Op::Arrive {
            caller,
            pool,
            priority,
            limit,
            bound,
        },
    );
    let op = prop_oneof![
        12 => arrive,
        6 => any::<usize>().prop_map(|pick| Op::Finish { pick }),
        1 => any::<usize>().prop_map(|pick| Op::Cancel { pick }),
        1 => (0..2u8, 0..7u32).prop_map(|(pool, concurrent)| Op::Capacity { pool, concurrent }),
        2 => Just(Op::Tick),
    ];
    let pause = prop_oneof![8 => 0..400u64, 1 => 0..5000u64];
    proptest::collection::vec((pause, op), 1..120)
}

/// Turns an op into an event; `live` is what the picks choose from.
pub fn event(op: &Op, now: Time, next: Request, live: &Naive) -> Event {
    let among = |running: bool, pick: usize| {
        let live = live
            .requests
            .iter()
            .filter(|r| running == r.since.is_some() || !running);
        let live: Vec<Request> = live.map(|r| r.arrival.request).collect();
        live.get(pick % live.len().max(1))
            .copied()
            .unwrap_or(Request::MAX)
    };
    match op {
        Op::Arrive {
            caller,
            pool,
            priority,
            limit,
            bound,
        } => Event::Arrive(Arrival {
            request: next,
            caller: format!("c{caller}").into(),
            pool: format!("p{pool}").into(),
            priority: Priority::ALL[*priority],
            deadline: now + Duration::from_millis(*limit),
            limit: bound.map(|(burst, concurrent, kept)| {
                Limit::new(f64::from(burst), burst, concurrent).with_reserve(kept)
            }),
        }),
        Op::Finish { pick } => Event::Finish {
            request: among(true, *pick),
        },
        Op::Cancel { pick } => Event::Cancel {
            request: among(false, *pick),
        },
        Op::Capacity { pool, concurrent } => Event::Capacity {
            pool: format!("p{pool}").into(),
            concurrent: *concurrent,
        },
        Op::Tick => Event::Tick,
    }
}

/// Follows a queue by its events and actions alone, with the plain model's lists as state.
pub struct Watch {
    pub queue: admission::Queue,
    pub state: Naive,
    pub now: Time,
}

impl Watch {
    pub fn new(config: Config) -> Self {
        let (queue, state) = (admission::Queue::new(config), Naive::default());
        Self {
            queue,
            state,
            now: Time::ZERO,
        }
    }

    /// Steps the queue; `check` sees each action with the state before it.
    pub fn step(&mut self, event: Event, mut check: impl FnMut(&Naive, &Action)) -> Vec<Action> {
        let mut out = Vec::new();
        wire::Machine::step(&mut self.queue, self.now, event.clone(), &mut out);
        let state = &mut self.state;
        match event {
            Event::Arrive(arrival) => {
                state.place(&arrival.pool);
                state
                    .accounts
                    .entry(arrival.caller.to_string())
                    .or_default()
                    .limit = arrival.limit;
                let (arrived, tag) = (self.now, 0);
                state.requests.push(Job {
                    arrival,
                    arrived,
                    since: None,
                    tag,
                });
            }
            Event::Finish { request } | Event::Cancel { request } => drop(state.remove(request)),
            Event::Capacity { pool, concurrent } => state.place(&pool).capacity = concurrent,
            Event::Tick => {}
        }
        for action in &out {
            check(state, action);
            match action {
                Action::Admit { request } => state.job(*request).since = Some(self.now),
                Action::Refuse { request, .. } => drop(state.remove(*request)),
            }
        }
        out
    }
}

/// An arrival of `caller` at pool `p`.
pub fn arrival(request: Request, caller: &str, priority: Priority, deadline: Time) -> Arrival {
    Arrival {
        request,
        caller: caller.into(),
        pool: "p".into(),
        priority,
        deadline,
        limit: None,
    }
}

/// Sets the capacity of pool `p`.
pub fn capacity(concurrent: u32) -> Event {
    Event::Capacity {
        pool: "p".into(),
        concurrent,
    }
}
