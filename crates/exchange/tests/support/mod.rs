//! A small fleet for tests: one pool of engines and one of plain services.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::time::Duration;

use exchange::Fleet;
use exchange::demand::Target;
use exchange::fleet::{Holding, Listing};
use exchange::owner::{self, Action, Event, Message, Order, Owner};
use exchange::route::{Config, Engine, Limits, Route, RouteKind, Service, Weights};
use wire::{Time, Upstream, Vm};

/// Adapter slots of an engine.
pub const ADAPTER_SLOTS: usize = 8;

pub const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn target(adapter: &str) -> Target {
    Target {
        base: "base".into(),
        adapter: Some(adapter.into()),
    }
}

pub fn bare() -> Target {
    Target::base_only(&"base".into())
}

pub fn engine_service() -> Service {
    Service {
        name: "engines".into(),
        connections: 100,
        engine: Some(Engine {
            max_batch: 16,
            adapter_slots: ADAPTER_SLOTS,
            capacity_mb: 100.0,
            loads_per_second: 2.0,
            weights: vec![Weights {
                base: "base".into(),
                size_mb: 90.0,
                load_time: ms(2_500),
            }],
        }),
    }
}

pub fn plain_service() -> Service {
    Service {
        name: "services".into(),
        connections: 100,
        engine: None,
    }
}

pub fn route(prefix: &str, kind: RouteKind) -> Route {
    Route {
        name: prefix.into(),
        host: "host".into(),
        prefix: prefix.into(),
        kind,
        timeout: ms(5_000),
        latency_target: ms(800),
        priority: 1,
        attempts: 2,
        pools: vec![("engines".into(), 1)],
        public: false,
    }
}

pub fn config(routes: Vec<Route>) -> Config {
    let limits = Limits {
        body_bytes: 1 << 20,
        idle: ms(15_000),
    };
    Config::new(1, routes, [engine_service(), plain_service()], limits)
}

/// Returns the listing of an engine that holds the base model and `adapters`.
pub fn engine(id: &str, adapters: &[&str]) -> Listing {
    Listing {
        id: id.into(),
        pool: "engines".into(),
        address: "127.0.0.1:9".parse().expect("valid address literal"),
        zone: "zone-a".into(),
        slots: 16,
        leaving: false,
        born: Some(1),
        engine: true,
        holdings: vec![Holding {
            base: "base".into(),
            adapters: adapters.iter().map(|name| ((*name).into(), None)).collect(),
        }],
        release: 1,
    }
}

pub fn plain_listing(id: &str, zone: &str) -> Listing {
    Listing {
        pool: "services".into(),
        zone: zone.into(),
        engine: false,
        holdings: Vec::new(),
        ..engine(id, &[])
    }
}

pub fn fleet(now: Time, listings: impl IntoIterator<Item = Listing>) -> Fleet {
    let mut fleet = Fleet::default();
    for listing in listings {
        fleet.apply_listing(now, listing);
    }
    fleet.configure(&config(Vec::new()));
    fleet
}

/// Returns the settings of the owner on `vm`, whose fencing tokens end in `vm_bits`.
pub fn owner_config(vm: &str, vm_bits: u64) -> owner::Config {
    owner::Config {
        me: vm.into(),
        vm_bits,
        lease: ms(3_000),
        engines_check_fences: true,
        load_time: ms(250),
        reload_time: ms(25),
        parallel_loads: 1,
        base_load_window: ms(5_000),
    }
}

/// An owner with its fleet, driven step by step.
pub struct OwnerHarness {
    pub now: Time,
    pub wall: u64,
    pub fleet: Fleet,
    pub owner: Owner,
    /// Whether the other nodes grant every lease that this one asks for.
    pub peers_grant: bool,
}

impl OwnerHarness {
    /// Creates an owner on `vm` that sees no other node.
    pub fn alone(vm: &str, vm_bits: u64, listings: impl IntoIterator<Item = Listing>) -> Self {
        let now = ms(1_000);
        let mut harness = Self {
            now,
            wall: 1_800_000_000,
            fleet: fleet(now, listings),
            owner: Owner::new(owner_config(vm, vm_bits)),
            peers_grant: true,
        };
        let live: Vec<Vm> = vec![vm.into()];
        harness.step(Event::View {
            live,
            may_claim: true,
        });
        harness
    }

    /// Handles an event, applies the actions to the fleet, and returns all actions.
    pub fn step(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.owner.step(self.now, &self.fleet, event, &mut actions);
        owner::apply_to_fleet(self.now, &mut self.fleet, &actions);
        self.owner.issue_orders(self.now, &self.fleet, &mut actions);
        if self.peers_grant {
            self.grant_leases(&mut actions);
        }
        actions
    }

    fn grant_leases(&mut self, actions: &mut Vec<Action>) {
        let asked = actions.iter().filter_map(|action| match action {
            Action::Send {
                to,
                message: Message::RequestLeases { round, .. },
            } => Some((to.clone(), *round)),
            _ => None,
        });
        for (from, round) in asked.collect::<Vec<_>>() {
            let message = Message::Leases {
                round,
                higher: Vec::new(),
                refused: Vec::new(),
            };
            actions.extend(self.step(Event::Receive { from, message }));
        }
    }

    /// Advances time in ticks of 100 ms.
    pub fn advance(&mut self, time: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        for _ in 0..time.as_millis() / 100 {
            self.now += ms(100);
            let wall_seconds = self.wall + self.now.as_secs();
            actions.extend(self.step(Event::Tick { wall_seconds }));
        }
        actions
    }

    /// Advances time, while each report that is requested arrives at once and states what `orders` returns for that
    /// time.
    pub fn advance_reporting(
        &mut self,
        time: Duration,
        orders: impl Fn(Time) -> Option<u64>,
    ) -> Vec<Action> {
        let end = self.now + time;
        let mut actions = Vec::new();
        while self.now < end {
            let mut pending = self.advance(ms(100));
            while let Some(action) = pending.pop() {
                if let Action::FetchReport { engine, .. } = &action {
                    let orders = orders(self.now);
                    pending.extend(self.step(Event::ReportFetched {
                        engine: engine.clone(),
                        succeeded: true,
                        orders,
                    }));
                }
                actions.push(action);
            }
        }
        actions
    }

    /// Answers every order in `actions` and those that follow, and returns the orders.
    pub fn answer_orders(
        &mut self,
        actions: Vec<Action>,
        answer: impl Fn(&Order) -> owner::Answer,
    ) -> Vec<(Upstream, u64, Order)> {
        let mut given = Vec::new();
        let mut pending = actions;
        while !pending.is_empty() {
            let mut following = Vec::new();
            for action in pending {
                match action {
                    Action::Order {
                        engine,
                        fence,
                        order,
                        ..
                    } => {
                        given.push((engine.clone(), fence, order.clone()));
                        let answer = answer(&order);
                        following.extend(self.step(Event::Answered {
                            engine,
                            fence,
                            order,
                            answer,
                        }));
                    }
                    Action::FetchReport { engine, .. } => {
                        following.extend(self.step(Event::ReportFetched {
                            engine,
                            succeeded: true,
                            orders: None,
                        }));
                    }
                    _ => {}
                }
            }
            pending = following;
        }
        given
    }

    /// Claims all engines and answers the first order to each.
    pub fn claim_all(&mut self) {
        let actions = self.advance(ms(1_000));
        self.answer_orders(actions, |_| owner::Answer::Done);
    }
}
