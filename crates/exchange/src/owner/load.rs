//! Orders: what is loaded next, and what makes room.

use std::time::Duration;

use wire::{Fence, Time, Upstream, Vm};

use super::seat::{Seat, Stage, Want};
use super::{Action, Answer, Decision, Message, Order, Owner};
use crate::demand::Target;
use crate::fleet::{Fleet, LISTING_LAG, Presence, UpstreamState};

/// Pause after an order that the engine had no time for.
const BUSY_PAUSE: Duration = Duration::from_millis(100);

/// Pause after an order without an answer.
const UNKNOWN_PAUSE: Duration = Duration::from_millis(300);

/// Age of an engine's report at most, with the time for a slow answer.
const REPORT_LAG: Duration = Duration::from_millis(400);

/// Age from which a need is forgotten: its requests have gone elsewhere or are over.
const WANT_MAX_AGE: Duration = Duration::from_secs(3);

/// Places that stay free of adapters: a load whose outcome is not known may take one that the engine's
/// next report does not show yet.
const SPARE_PLACES: usize = 1;

/// Part of the ceiling on starts of base models that is used.
const CEILING_SHARE: f64 = 0.85;

impl Owner {
    /// Takes a need for this node's engine in, or tells that another node orders there.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn asked(
        &mut self,
        now: Time,
        fleet: &Fleet,
        from: &Vm,
        engine: Upstream,
        target: Target,
        rank: u8,
        out: &mut Vec<Action>,
    ) {
        let Some(known) = fleet.upstream(&engine).filter(|known| known.is_eligible()) else {
            return self.answer(now, from, &engine, &target, Presence::Absent, out);
        };
        match known.presence(&target) {
            Presence::Held(version) if fleet.is_newest(&target, version) => {
                let presence = Presence::Held(version);
                return self.answer(now, from, &engine, &target, presence, out);
            }
            Presence::Coming(at, version) if fleet.is_newest(&target, version) => {
                let presence = Presence::Coming(at, version);
                if let Some(seat) = self.seat_mut(&engine) {
                    seat.join(&target, from);
                }
                return self.answer(now, from, &engine, &target, presence, out);
            }
            _ => {}
        }
        let waits = self.seat_mut(&engine).is_some_and(|seat| {
            let waits = !seat.vacancy(now).is_zero();
            seat.want(now, target.clone(), rank, from);
            waits
        });
        // Whoever asks may find a place elsewhere sooner.
        if waits || self.seat(&engine).is_none() {
            self.answer(now, from, &engine, &target, Presence::Absent, out);
        }
    }

    /// Drops a need of a peer, or passes one of this node on.
    pub(super) fn unwant(
        &mut self,
        from: &Vm,
        engine: Upstream,
        target: Target,
        out: &mut Vec<Action>,
    ) {
        if let Some(seat) = self.seat_mut(&engine) {
            return seat.unwant(&target, from);
        }
        let holder = self.holder(&engine).cloned();
        if let Some(to) = holder.filter(|_| *from == self.config.me) {
            out.push(Action::Send {
                to,
                message: Message::CancelLoadRequest { engine, target },
            });
        }
    }

    /// Gives the orders that are due.
    pub fn issue_orders(&mut self, now: Time, fleet: &Fleet, out: &mut Vec<Action>) {
        if !self.may_order(now) {
            return;
        }
        for index in 0..self.seats.len() {
            let Some(runner) = fleet.upstream(&self.seats[index].engine) else {
                continue;
            };
            let seat = &mut self.seats[index];
            if seat.born != runner.listing.born {
                seat.restart(now, runner.listing.born);
            }
            if let Some(engine) = &runner.engine {
                seat.room = engine.adapter_slots.saturating_sub(SPARE_PLACES);
            }
            if !runner.is_eligible() {
                seat.wants.clear();
                continue;
            }
            seat.wants.retain(|want| now < want.since + WANT_MAX_AGE);
            if !matches!(seat.stage, Stage::Open(at) if at <= now) {
                continue;
            }
            if seat.raised && seat.doubt.is_some_and(|at| at <= now) {
                seat.check(out);
                continue;
            }
            if let Some(order) = self.next(now, fleet, index, runner, out) {
                let seat = &mut self.seats[index];
                seat.stage = Stage::Flying;
                out.push(Action::Order {
                    engine: seat.engine.clone(),
                    fence: seat.fence,
                    order,
                });
            }
        }
    }

    fn next(
        &mut self,
        now: Time,
        fleet: &Fleet,
        index: usize,
        runner: &UpstreamState,
        out: &mut Vec<Action>,
    ) -> Option<Order> {
        runner.engine.as_ref()?;
        let base = runner
            .present_targets()
            .find(|(target, _)| target.adapter.is_none());
        let Some((base, present)) = base else {
            // The first order to an empty engine is its base model's load.
            self.seats[index].raised = true;
            return self.base(now, fleet, index, runner);
        };
        if !self.seats[index].raised {
            // It changes nothing; its number shuts a former holder out.
            return Some(Order::Load(base.clone(), None));
        }
        if matches!(present, Presence::Coming(at, _) if now < at) {
            return None;
        }
        if let Some(order) = self.seats[index].confirm(now) {
            return Some(order);
        }
        let coming = |(_, presence): &(&Target, Presence)| matches!(presence, Presence::Coming(at, _) if now < *at);
        let flying = runner
            .present_targets()
            .filter(|held| held.0.adapter.is_some() && coming(held))
            .count();
        if flying >= self.config.parallel_loads {
            return None;
        }
        let seat = &mut self.seats[index];
        let want = best(now, &mut seat.wants, runner, fleet)?.clone();
        let replaces = seat.ledger.binary_search(&want.target).is_ok();
        if replaces || seat.ledger.len() < seat.room {
            let version = fleet.newest_version(&want.target);
            return Some(Order::Load(want.target, version));
        }
        let (victim, value) = victim(now, seat, runner)?;
        out.push(Action::Log(Decision::Evicted(
            seat.engine.clone(),
            victim.clone(),
            value,
        )));
        Some(Order::Unload(victim))
    }

    /// Orders a base model for an empty engine, within the ceiling.
    fn base(
        &mut self,
        now: Time,
        fleet: &Fleet,
        index: usize,
        runner: &UpstreamState,
    ) -> Option<Order> {
        let engine = runner.engine.as_ref()?;
        let window = self.config.base_load_window;
        self.starts.retain(|at| now < *at + window);
        let engines = fleet.eligible(&runner.listing.pool).count().max(1);
        let mine = self.seats.len().min(engines);
        let allowed = engine.loads_per_second * window.as_secs_f64() * CEILING_SHARE;
        let part = (allowed * mine as f64 / engines as f64).max(1.0);
        if self.starts.len() as f64 + 1.0 > part {
            return None;
        }
        let seat = &self.seats[index];
        let holders = |base: &wire::Base| {
            let target = Target::base_only(base);
            let holds = |runner: &&UpstreamState| runner.presence(&target) != Presence::Absent;
            fleet.eligible(&runner.listing.pool).filter(holds).count()
        };
        let wanted = |base: &wire::Base| seat.wants.iter().any(|want| want.target.base == *base);
        let fits = engine
            .weights
            .iter()
            .filter(|weights| weights.size_mb <= engine.capacity_mb);
        let base = fits
            .min_by_key(|weights| (!wanted(&weights.base), holders(&weights.base)))?
            .base
            .clone();
        self.starts.push(now);
        Some(Order::Load(Target::base_only(&base), None))
    }

    /// Takes the answer to an order in.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn answered(
        &mut self,
        now: Time,
        fleet: &Fleet,
        engine: &Upstream,
        fence: Fence,
        order: Order,
        answer: Answer,
        out: &mut Vec<Action>,
    ) {
        let eta = now + self.expect(fleet, engine, order.target());
        let Some(seat) = self.seat_mut(engine).filter(|seat| seat.fence == fence) else {
            return;
        };
        seat.stage = Stage::Open(now);
        let raised = seat.raised;
        if raised && !matches!(answer, Answer::Accepted | Answer::Done) {
            out.push(Action::Log(Decision::OrderFailed(
                engine.clone(),
                order.target().clone(),
                answer,
            )));
        }
        match answer {
            Answer::Fenced => {
                self.yield_seat(engine, "fenced", out);
                self.outbid(now, engine, fence);
            }
            Answer::Misdirected => self.yield_seat(engine, "another process", out),
            Answer::Unreached => seat.stage = Stage::Open(now + UNKNOWN_PAUSE),
            Answer::Unknown if !raised || order.is_confirm() => {
                seat.stage = Stage::Open(now + UNKNOWN_PAUSE);
            }
            _ if !raised => {
                // The first order of a claim has shut a former holder out: from then on the
                // engine's report, once it is as new, shows all that was ordered before.
                seat.raised = true;
                seat.check(out);
            }
            Answer::Accepted | Answer::Done | Answer::Unfit if order.is_confirm() => {
                self.confirmed(now, engine, order.target(), answer, out);
            }
            Answer::Accepted | Answer::Done => self.carried(now, engine, order, answer, eta, out),
            Answer::Busy => {
                seat.stage = Stage::Open(now + BUSY_PAUSE);
                if order.target().adapter.is_none() {
                    // Another order for a base model is under way.
                    let target = order.target().clone();
                    out.push(Action::Presence {
                        engine: engine.clone(),
                        target,
                        presence: Presence::Coming(now + LISTING_LAG / 4, None),
                    });
                }
            }
            Answer::Unknown => {
                seat.stage = Stage::Open(now + UNKNOWN_PAUSE);
                seat.doubt = Some(now + UNKNOWN_PAUSE);
                // It may have been accepted, so it counts as taking a place.
                self.carried(now, engine, order, Answer::Accepted, eta, out);
            }
            Answer::Unfit => {
                seat.wants.retain(|want| want.target != *order.target());
            }
        }
    }

    /// Notes what an order that was carried out changed.
    fn carried(
        &mut self,
        now: Time,
        engine: &Upstream,
        order: Order,
        answer: Answer,
        eta: Time,
        out: &mut Vec<Action>,
    ) {
        let Some(seat) = self.seat_mut(engine) else {
            return;
        };
        let (target, presence) = match (order, answer) {
            (Order::Load(target, version) | Order::Confirm(target, version), Answer::Done) => {
                (target, Presence::Held(version))
            }
            (Order::Load(target, version) | Order::Confirm(target, version), _) => {
                (target, Presence::Coming(eta, version))
            }
            (Order::Unload(target), answer) => {
                seat.abandon(&target);
                if answer == Answer::Done {
                    seat.leave(&target);
                } else {
                    // It goes once its runs are over, and the engine takes no order until then.
                    seat.stage = Stage::Open(now + BUSY_PAUSE);
                    seat.doubt.get_or_insert(now + LISTING_LAG);
                }
                (target, Presence::Absent)
            }
        };
        let askers = take_askers(seat, &target, presence);
        if let Presence::Coming(_, version) = presence {
            seat.launch(now, &target, version, eta, askers.clone(), out);
        }
        if presence != Presence::Absent {
            seat.enter(&target);
            seat.remember(&target);
            seat.loaded_at = eta;
        }
        self.tell_askers(now, engine, &target, presence, &askers, out);
    }

    /// Returns how long a load of `target` is expected to take.
    fn expect(&self, fleet: &Fleet, engine: &Upstream, target: &Target) -> Duration {
        let Some(known) = fleet.upstream(engine) else {
            return self.config.load_time;
        };
        if target.adapter.is_none() {
            let weights = known.engine.iter().flat_map(|engine| &engine.weights);
            let found = weights
                .into_iter()
                .find(|weights| weights.base == target.base);
            return found.map_or(self.config.load_time, |weights| weights.load_time);
        }
        if self.seat(engine).is_some_and(|seat| seat.knows(target)) {
            return self.config.reload_time;
        }
        self.pace.expect(self.config.load_time)
    }

    /// Opens a seat whose engine has reported, or asks again.
    pub(super) fn inspected(
        &mut self,
        now: Time,
        fleet: &Fleet,
        engine: &Upstream,
        succeeded: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(seat) = self.seat_mut(engine) else {
            return;
        };
        if seat.stage != Stage::Inspecting {
            return;
        }
        if succeeded {
            seat.stage = Stage::Open(now);
            seat.doubt = None;
            let held = fleet
                .upstream(engine)
                .into_iter()
                .flat_map(UpstreamState::present_targets);
            let adapters = held.filter(|(target, _)| target.adapter.is_some());
            seat.ledger = adapters.map(|(target, _)| target.clone()).collect();
            seat.ledger.sort_unstable();
            let ledger = &seat.ledger;
            seat.flights.retain(|flight| flight.is_in(ledger));
        } else {
            out.push(Action::FetchReport {
                engine: engine.clone(),
                delay: UNKNOWN_PAUSE,
            });
        }
    }
}

impl Seat {
    /// Asks the engine what it holds, once its report is as new as the last order.
    fn check(&mut self, out: &mut Vec<Action>) {
        self.stage = Stage::Inspecting;
        out.push(Action::FetchReport {
            engine: self.engine.clone(),
            delay: REPORT_LAG,
        });
    }
}

fn take_askers(seat: &mut Seat, target: &Target, presence: Presence) -> Vec<Vm> {
    if presence == Presence::Absent {
        return Vec::new();
    }
    match seat.wants.iter().position(|want| want.target == *target) {
        Some(index) => seat.wants.remove(index).askers,
        None => Vec::new(),
    }
}

/// Returns the need to meet next: urgent ones first, then the most asked for, then the oldest.
fn best<'a>(
    now: Time,
    wants: &'a mut Vec<Want>,
    runner: &UpstreamState,
    fleet: &Fleet,
) -> Option<&'a Want> {
    wants.retain(|want| {
        let waits = matches!(runner.presence(&want.target), Presence::Coming(at, _) if now < at);
        !waits && !fleet.serves(runner, &want.target)
    });
    wants
        .iter()
        .min_by_key(|want| (want.rank, std::cmp::Reverse(want.asked), want.since))
}

/// Returns the resident adapter that is worth least, with its value.
fn victim(now: Time, seat: &Seat, runner: &UpstreamState) -> Option<(Target, f64)> {
    let idle = seat.ledger.iter().filter(|target| {
        // An unload of what is in use would keep all other orders waiting for its runs. What is
        // dropped already waits for them.
        !seat.uses.in_use(now, target)
            && match runner.presence(target) {
                Presence::Held(_) => true,
                Presence::Coming(at, _) => now > at + LISTING_LAG,
                Presence::Absent => false,
            }
    });
    let valued = idle.map(|target| (target.clone(), seat.uses.value(now, target)));
    valued.min_by(|(_, a), (_, b)| a.total_cmp(b))
}
