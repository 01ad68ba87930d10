//! The owner of one upstream against a plain model of its slots and leases, on generated events.

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
    Ask(u8, u8, u8),
    Release(u8, u8),
    Use(u8, u8),
    End(usize),
    Start,
    Outcome(u8),
    /// Age of a report, and by how much its content lags behind, in milliseconds.
    Report(u64, u64),
    Wait(u64),
    Reboot,
}

fn op() -> impl Strategy<Value = Op> {
    let (h, m) = (0..HOLDERS, 0..MODELS);
    prop_oneof![
        5 => (h.clone(), m.clone(), 0..3_u8).prop_map(|(h, m, p)| Op::Ask(h, m, p)),
        2 => (h.clone(), m.clone()).prop_map(|(h, m)| Op::Release(h, m)),
        3 => (h, m).prop_map(|(h, m)| Op::Use(h, m)),
        2 => (0..4_usize).prop_map(Op::End),
        4 => Just(Op::Start),
        5 => (0..6_u8).prop_map(Op::Outcome),
        3 => (0..900_u64, 0..900_u64).prop_map(|(age, lag)| Op::Report(age, lag)),
        2 => (1..6_000_u64).prop_map(Op::Wait),
        2 => (9_700..10_400_u64).prop_map(Op::Wait),
        2 => (100..400_u64).prop_map(Op::Wait),
        1 => Just(Op::Reboot),
    ]
}

/// What the plain model believes of one instance.
#[derive(Clone, Debug)]
struct Slot {
    model: u8,
    ready: bool,
    going: bool,
    /// Holder, with the time until which it may start requests.
    leases: BTreeMap<u8, Time>,
}

struct Run {
    now: Time,
    owner: Owner,
    fx: Effects,
    settings: Settings,
    slots: BTreeMap<Instance, Slot>,
    /// What truly runs: holder and instance.
    uses: Vec<(u8, Instance)>,
    order: Option<(Instance, Fence, bool)>,
    boot: u64,
    number: u64,
    /// What held at each time, and how far reports have told it.
    history: Vec<(Time, InstanceReport)>,
    told: usize,
}

fn model(index: u8) -> Model {
    Model::new(format!("m{index}"), "1")
}

fn holder(index: u8) -> Incarnation {
    Incarnation::new(format!("h{index}"), 1)
}

impl Run {
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
        // Reports are truthful within the lag, and an outcome comes before its order's deadline.
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
            uses: Vec::new(),
            order: None,
            boot: 1,
            number: 0,
            history: Vec::new(),
            told: 0,
        }
    }

    fn idle(&self, instance: &Instance) -> bool {
        let slot = &self.slots[instance];
        let unused = self.uses.iter().all(|(_, used)| used != instance);
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
            Op::Ask(h, m, priority) => {
                self.number += 1;
                let ask = LeaseRequest {
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
                owner.ask(*now, &holder(*h), ask, settings, fx);
                let here = |s: &&Slot| s.model == *m && s.ready && !s.going;
                let expected = self.slots.values().any(|s| here(&s));
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
                assert_eq!(got, expected, "a resident adapter is granted at once");
            }
            Op::Release(h, m) => {
                let used = |s: &Slot, i: &Instance| {
                    s.model == *m && self.uses.iter().any(|u| u.0 == *h && u.1 == *i)
                };
                if self.slots.iter().any(|(i, s)| used(s, i)) {
                    return;
                }
                self.owner.release(&holder(*h), &model(*m), self.number);
                for slot in self.slots.values_mut().filter(|s| s.model == *m) {
                    slot.leases.remove(h);
                }
            }
            Op::Use(h, m) => {
                let open =
                    |s: &Slot| s.model == *m && s.leases.get(h).is_some_and(|u| *u > self.now);
                let found = self.slots.iter().find(|(_, s)| open(s));
                self.uses.extend(found.map(|(i, _)| (*h, i.clone())));
            }
            Op::End(at) => {
                if *at < self.uses.len() {
                    self.uses.swap_remove(*at);
                }
            }
            Op::Start => {
                owner.tick(*now, settings, fx);
                if owner.next_load(*now, settings).is_some() {
                    owner.start(*now, settings, fx);
                }
            }
            Op::Outcome(kind) => self.outcome(*kind),
            Op::Report(age, lag) => {
                self.report(Duration::from_millis(*age), Duration::from_millis(*lag));
            }
            Op::Wait(ms) => self.now += Duration::from_millis(*ms),
            Op::Reboot => {
                // A restart cuts an order under way, whose outcome then says so.
                self.boot += 1;
                self.slots.clear();
                self.uses.clear();
                self.order = None;
                self.report(Duration::ZERO, Duration::ZERO);
            }
        }
        self.observe();
        self.compare();
        self.remember();
    }

    fn outcome(&mut self, kind: u8) {
        let Some((instance, fence, load)) = self.order.take() else {
            return;
        };
        let (now, s) = (self.now, self.settings.clone());
        let (owner, fx) = (&mut self.owner, &mut self.fx);
        let fine = kind > 0;
        match (load, fine) {
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
                self.slots.get_mut(&instance).unwrap().going = false;
            }
        }
    }

    /// Delivers what held at an earlier time; no report tells of a time before that of another.
    fn report(&mut self, age: Duration, lag: Duration) {
        self.remember();
        let wanted = (self.now - age).saturating_sub(lag);
        let held = self.history.partition_point(|(at, _)| *at <= wanted);
        let held = held.saturating_sub(1).max(self.told);
        if self.history[held].0 > self.now - age {
            return;
        }
        self.told = held;
        let report = InstanceReport {
            age,
            ..self.history[held].1.clone()
        };
        let (view, fx) = (View::default(), &mut self.fx);
        self.owner
            .resident(self.now, &report, &view, &self.settings, fx);
    }

    fn remember(&mut self) {
        let ready = self.slots.iter().filter(|(_, s)| s.ready);
        let instances = ready.map(|(instance, _)| InstanceUse {
            instance: instance.clone(),
            in_use: self.uses.iter().filter(|(_, i)| i == instance).count() as u32,
        });
        let report = InstanceReport {
            upstream: "e".into(),
            boot: self.boot,
            instances: instances.collect(),
            age: Duration::ZERO,
        };
        self.history.push((self.now, report));
    }

    /// Takes the owner's actions into the model and checks what each promises.
    fn observe(&mut self) {
        for action in std::mem::take(&mut self.fx.actions) {
            match action {
                Action::Load {
                    instance,
                    model,
                    fence,
                    ..
                } => {
                    assert!(self.order.is_none(), "one order at a time");
                    assert!(self.slots.len() < SLOTS, "no slot is free");
                    let index = model.adapter[1..].parse().unwrap();
                    let double = self.slots.values().any(|s| s.model == index);
                    assert!(!double, "{model} is loaded twice");
                    let slot = Slot {
                        model: index,
                        ready: false,
                        going: false,
                        leases: BTreeMap::new(),
                    };
                    self.slots.insert(instance.clone(), slot);
                    self.order = Some((instance, fence, true));
                }
                Action::Unload {
                    instance, fence, ..
                } => {
                    assert!(self.order.is_none(), "one order at a time");
                    assert!(self.idle(&instance), "{instance} is evicted in use");
                    let slot = self.slots.get_mut(&instance).unwrap();
                    let queued = self.owner.queue().contains(&model(slot.model));
                    assert!(!queued, "{instance} is evicted while it is queued for");
                    slot.going = true;
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
                    assert!(slot.ready && !slot.going, "granted what is not there");
                    slot.leases.insert(index, self.now + self.settings.lease);
                }
                _ => {}
            }
        }
    }

    fn compare(&self) {
        let seats = self.owner.slots().iter();
        let mut seats: Vec<_> = seats
            .map(|seat| {
                let moving = matches!(seat.state, SlotState::Evicting { .. });
                let ready = moving || seat.state == SlotState::Ready;
                let mut holders: Vec<_> = seat.leases.iter().map(|r| r.holder.clone()).collect();
                holders.sort();
                (seat.instance.clone(), ready, moving, holders)
            })
            .collect();
        seats.sort();
        let slots = self.slots.iter().map(|(instance, slot)| {
            let holders: Vec<_> = slot.leases.keys().map(|h| holder(*h)).collect();
            (instance.clone(), slot.ready, slot.going, holders)
        });
        assert_eq!(seats, slots.collect::<Vec<_>>());
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
        let mut run = Run::new();
        run.report(Duration::ZERO, Duration::ZERO);
        for op in &ops {
            run.apply(op);
        }
    }
}

/// A report that was made after a lease's end may still show what held before a request started
/// under it: only one newer by the lag ends the lease.
#[test]
fn stale_report_keeps_instance() {
    let mut run = Run::new();
    let load = |h, m| [Op::Ask(h, m, 1), Op::Start, Op::Outcome(1)];
    let mut ops = load(0, 0).to_vec();
    ops.extend([
        Op::Wait(9_900),
        Op::Use(0, 0),
        Op::Wait(400),
        Op::Report(0, 500),
    ]);
    ops.extend(load(1, 1));
    ops.extend([Op::Ask(1, 2, 1), Op::Start]);
    for op in &ops {
        run.apply(op);
    }
    assert!(run.order.is_none(), "{:?}", run.order);
    run.apply(&Op::End(0));
    for op in [
        Op::Wait(1_500),
        Op::Report(0, 0),
        Op::Ask(1, 2, 1),
        Op::Start,
    ] {
        run.apply(&op);
    }
    assert!(run.order.is_some(), "an idle instance goes in the end");
}
