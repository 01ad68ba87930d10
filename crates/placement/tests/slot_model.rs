//! Checks the owner of one upstream against a simple reference model of its slots and leases, on
//! generated operations.

use std::collections::BTreeMap;
use std::time::Duration;

use placement::event::{
    Failure, Fencing, Instance, InstanceReport, InstanceUse, Upstream, UpstreamState,
};
use placement::message::{LeaseRequest, Message};
use placement::owner::Owner;
use placement::owner::slot::SlotState;
use placement::planner::Effects;
use placement::{Action, Settings};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use wire::{Fence, Incarnation, Model, Priority, Time, View};

const SLOTS: usize = 2;
const MODELS: u8 = 4;
const HOLDERS: u8 = 2;

#[derive(Clone, Debug)]
enum Op {
    /// Holder, model and priority.
    RequestLease(u8, u8, u8),
    /// Holder and model.
    Release(u8, u8),
    /// Holder and model.
    StartRequest(u8, u8),
    /// Index of a running request.
    EndRequest(usize),
    StartLoad,
    /// Outcome of the order in progress: 0 is a failure. For an unload, 1 is a success after the
    /// ticket has expired.
    Outcome(u8),
    /// Age of a report and lag of its content, in milliseconds.
    Report(u64, u64),
    /// Milliseconds.
    Wait(u64),
    Restart,
}

fn op() -> impl Strategy<Value = Op> {
    let (h, m) = (0..HOLDERS, 0..MODELS);
    prop_oneof![
        5 => (h.clone(), m.clone(), 0..3_u8).prop_map(|(h, m, p)| Op::RequestLease(h, m, p)),
        2 => (h.clone(), m.clone()).prop_map(|(h, m)| Op::Release(h, m)),
        3 => (h, m).prop_map(|(h, m)| Op::StartRequest(h, m)),
        2 => (0..4_usize).prop_map(Op::EndRequest),
        4 => Just(Op::StartLoad),
        5 => (0..6_u8).prop_map(Op::Outcome),
        3 => (0..900_u64, 0..900_u64).prop_map(|(age, lag)| Op::Report(age, lag)),
        2 => (1..6_000_u64).prop_map(Op::Wait),
        2 => (9_700..10_400_u64).prop_map(Op::Wait),
        2 => (100..400_u64).prop_map(Op::Wait),
        1 => Just(Op::Restart),
    ]
}

/// State of one instance in the reference model.
#[derive(Clone, Debug)]
struct ReferenceSlot {
    model: u8,
    ready: bool,
    unloading: bool,
    /// Each holder, with the time until which it may start requests.
    leases: BTreeMap<u8, Time>,
}

struct Harness {
    now: Time,
    owner: Owner,
    fx: Effects,
    settings: Settings,
    slots: BTreeMap<Instance, ReferenceSlot>,
    /// Requests that actually run: holder and instance.
    running: Vec<(u8, Instance)>,
    /// The order in progress, and whether it is a load.
    order: Option<(Instance, Fence, bool)>,
    boot: u64,
    number: u64,
    /// The engine's state at each time.
    history: Vec<(Time, InstanceReport)>,
    /// Index in `history` of the last state that was reported.
    last_reported: usize,
}

fn model(index: u8) -> Model {
    Model::new(format!("m{index}"), "1")
}

fn holder(index: u8) -> Incarnation {
    Incarnation::new(format!("h{index}"), 1)
}

impl Harness {
    fn new() -> Self {
        let facts = Upstream {
            id: "e".into(),
            pool: "p".into(),
            base: "b".into(),
            zone: "z".into(),
            store: "s".into(),
            slots: SLOTS,
            max_batch: 4,
            fencing: Fencing::Ignores,
            state: UpstreamState::Live,
        };
        // These deadlines are long enough that the outcome of an order always comes first. Reports
        // are correct within the default lag.
        let settings = Settings {
            load: Duration::from_secs(3600),
            order: Duration::from_secs(3600),
            ..Settings::default()
        };
        Self {
            now: Duration::from_secs(10),
            owner: Owner::new(Duration::ZERO, Incarnation::new("me", 1), facts, 0),
            fx: Effects::new("me".into()),
            settings,
            slots: BTreeMap::new(),
            running: Vec::new(),
            order: None,
            boot: 1,
            number: 0,
            history: Vec::new(),
            last_reported: 0,
        }
    }

    fn idle(&self, instance: &Instance) -> bool {
        let slot = &self.slots[instance];
        let unused = self.running.iter().all(|(_, used)| used != instance);
        unused && slot.leases.values().all(|until| *until < self.now)
    }

    fn apply(&mut self, op: &Op) {
        let Self {
            now,
            owner,
            fx,
            settings,
            ..
        } = self;
        match op {
            Op::RequestLease(h, m, priority) => {
                self.number += 1;
                let request = LeaseRequest {
                    upstream: "e".into(),
                    model: model(*m),
                    path: Some("/".into()),
                    number: self.number,
                    priority: Priority::ALL[usize::from(*priority)],
                    waiting: 1,
                    served: 0,
                    age: Duration::ZERO,
                    remaining: Duration::from_secs(3600),
                };
                owner.handle_lease_request(*now, &holder(*h), request, settings, fx);
                let loaded = |s: &&ReferenceSlot| s.model == *m && s.ready && !s.unloading;
                let expected = self.slots.values().any(|s| loaded(&s));
                let granted = |a: &Action| {
                    matches!(
                        a,
                        Action::Send {
                            message: Message::Grant(_),
                            ..
                        }
                    )
                };
                let got = self.fx.actions.iter().any(granted);
                assert_eq!(
                    got, expected,
                    "a lease must be granted at once if and only if the adapter is loaded"
                );
            }
            Op::Release(h, m) => {
                let used = |s: &ReferenceSlot, i: &Instance| {
                    s.model == *m && self.running.iter().any(|u| u.0 == *h && u.1 == *i)
                };
                if self.slots.iter().any(|(i, s)| used(s, i)) {
                    return;
                }
                self.owner.release(&holder(*h), &model(*m), self.number);
                for slot in self.slots.values_mut().filter(|s| s.model == *m) {
                    slot.leases.remove(h);
                }
            }
            Op::StartRequest(h, m) => {
                let open = |s: &ReferenceSlot| {
                    s.model == *m && s.leases.get(h).is_some_and(|u| *u > self.now)
                };
                let found = self.slots.iter().find(|(_, s)| open(s));
                self.running.extend(found.map(|(i, _)| (*h, i.clone())));
            }
            Op::EndRequest(at) => {
                if *at < self.running.len() {
                    self.running.swap_remove(*at);
                }
            }
            Op::StartLoad => {
                owner.tick(*now, settings, fx);
                if owner.next_load(*now, settings).is_some() {
                    owner.start_load(*now, settings, fx);
                }
            }
            Op::Outcome(kind) => self.outcome(*kind),
            Op::Report(age, lag) => {
                self.report(Duration::from_millis(*age), Duration::from_millis(*lag));
            }
            Op::Wait(ms) => self.now += Duration::from_millis(*ms),
            Op::Restart => {
                // A restart aborts the order in progress, which then has no outcome here.
                self.boot += 1;
                self.slots.clear();
                self.running.clear();
                self.order = None;
                self.report(Duration::ZERO, Duration::ZERO);
            }
        }
        self.apply_actions();
        self.assert_matches_owner();
        self.record_state();
    }

    fn outcome(&mut self, kind: u8) {
        let Some((instance, fence, load)) = self.order.take() else {
            return;
        };
        let (now, s) = (self.now, self.settings.clone());
        let (owner, fx) = (&mut self.owner, &mut self.fx);
        let succeeded = kind > 0;
        match (load, succeeded) {
            (true, true) => {
                owner.loaded(now, &instance, fence, &s, fx);
                self.slots.get_mut(&instance).unwrap().ready = true;
            }
            (true, false) => {
                owner.load_failed(now, &instance, fence, Failure::Rejected, &s, fx);
                self.slots.remove(&instance);
            }
            (false, true) => {
                self.slots.remove(&instance);
                owner.unloaded(now, &instance, fence, kind > 1, &s, fx);
            }
            (false, false) => {
                owner.unload_failed(now, &instance, fence, Failure::NotSent, &s);
                self.slots.get_mut(&instance).unwrap().unloading = false;
            }
        }
    }

    /// Delivers a report of an earlier state, but of none earlier than the last report's.
    fn report(&mut self, age: Duration, lag: Duration) {
        self.record_state();
        let wanted = (self.now - age).saturating_sub(lag);
        let held = self.history.partition_point(|(at, _)| *at <= wanted);
        let held = held.saturating_sub(1).max(self.last_reported);
        if self.history[held].0 > self.now - age {
            return;
        }
        self.last_reported = held;
        let report = InstanceReport {
            age,
            ..self.history[held].1.clone()
        };
        let (view, fx) = (View::default(), &mut self.fx);
        self.owner
            .apply_instance_report(self.now, &report, &view, &self.settings, fx);
    }

    fn record_state(&mut self) {
        let ready = self.slots.iter().filter(|(_, s)| s.ready);
        let instances = ready.map(|(instance, _)| InstanceUse {
            instance: instance.clone(),
            in_use: self.running.iter().filter(|(_, i)| i == instance).count() as u32,
        });
        let report = InstanceReport {
            upstream: "e".into(),
            boot: self.boot,
            instances: instances.collect(),
            age: Duration::ZERO,
        };
        self.history.push((self.now, report));
    }

    /// Applies the owner's actions to the reference model and checks the invariants of each.
    fn apply_actions(&mut self) {
        for action in std::mem::take(&mut self.fx.actions) {
            match action {
                Action::Load {
                    instance,
                    model,
                    fence,
                    ..
                } => {
                    assert!(self.order.is_none(), "more than one order in progress");
                    assert!(
                        self.slots.len() < SLOTS,
                        "load ordered without an empty slot"
                    );
                    let index = model.adapter[1..].parse().unwrap();
                    let double = self.slots.values().any(|s| s.model == index);
                    assert!(!double, "{model} is loaded twice");
                    let slot = ReferenceSlot {
                        model: index,
                        ready: false,
                        unloading: false,
                        leases: BTreeMap::new(),
                    };
                    self.slots.insert(instance.clone(), slot);
                    self.order = Some((instance, fence, true));
                }
                Action::Unload {
                    instance, fence, ..
                } => {
                    assert!(self.order.is_none(), "more than one order in progress");
                    assert!(self.idle(&instance), "{instance} is evicted while in use");
                    let slot = self.slots.get_mut(&instance).unwrap();
                    let queued = self.owner.queue().contains(&model(slot.model));
                    assert!(
                        !queued,
                        "{instance} is evicted while its model is in the load queue"
                    );
                    slot.unloading = true;
                    slot.leases.clear();
                    self.order = Some((instance, fence, false));
                }
                Action::Send {
                    to,
                    message: Message::Grant(grant),
                } => {
                    let index: u8 = to[1..].parse().unwrap();
                    let slot = self.slots.get_mut(&grant.instance).unwrap();
                    assert_eq!(model(slot.model), grant.model);
                    assert!(
                        slot.ready && !slot.unloading,
                        "lease granted on an instance that is not loaded"
                    );
                    slot.leases.insert(index, self.now + self.settings.lease);
                }
                _ => {}
            }
        }
    }

    fn assert_matches_owner(&self) {
        let slots = self.owner.slots().iter();
        let mut actual: Vec<_> = slots
            .map(|slot| {
                let moving = matches!(slot.state, SlotState::Evicting { .. });
                let ready = moving || slot.state == SlotState::Ready;
                let mut holders: Vec<_> = slot.leases.iter().map(|r| r.holder.clone()).collect();
                holders.sort();
                (slot.instance.clone(), ready, moving, holders)
            })
            .collect();
        actual.sort();
        let expected = self.slots.iter().map(|(instance, slot)| {
            let holders: Vec<_> = slot.leases.keys().map(|h| holder(*h)).collect();
            (instance.clone(), slot.ready, slot.unloading, holders)
        });
        assert_eq!(actual, expected.collect::<Vec<_>>());
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 8000,
        rng_seed: RngSeed::Fixed(0x510_75ea),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn owner_equals_model(ops in prop::collection::vec(op(), 1..80)) {
        let mut harness = Harness::new();
        harness.report(Duration::ZERO, Duration::ZERO);
        for op in &ops {
            harness.apply(op);
        }
    }
}

/// Guards against evicting an instance in use: a report made after a lease's expiry may still show
/// the state before a request started under it, because reports lag. Only a report that is newer
/// than the expiry by more than the lag may end the lease.
#[test]
fn stale_report_keeps_instance() {
    let mut harness = Harness::new();
    let load = |h, m| [Op::RequestLease(h, m, 1), Op::StartLoad, Op::Outcome(1)];
    let mut ops = load(0, 0).to_vec();
    ops.extend([
        Op::Wait(9_900),
        Op::StartRequest(0, 0),
        Op::Wait(400),
        Op::Report(0, 500),
    ]);
    ops.extend(load(1, 1));
    ops.extend([Op::RequestLease(1, 2, 1), Op::StartLoad]);
    for op in &ops {
        harness.apply(op);
    }
    assert!(harness.order.is_none(), "{:?}", harness.order);
    harness.apply(&Op::EndRequest(0));
    for op in [
        Op::Wait(1_500),
        Op::Report(0, 0),
        Op::RequestLease(1, 2, 1),
        Op::StartLoad,
    ] {
        harness.apply(&op);
    }
    assert!(
        harness.order.is_some(),
        "an idle instance must be evicted in the end"
    );
}
