//! Scheduling of orders: what to load next, and what to evict for it.

use std::time::Duration;

use wire::{Fence, Time, Upstream, Vm};

use super::order_count::Precondition;
use super::owned_engine::{LoadRequest, OrderState, OwnedEngine};
use super::{Action, Answer, Decision, Message, Order, Owner};
use crate::demand::Target;
use crate::fleet::{Fleet, LISTING_LAG, Presence, UpstreamState};

/// Delay before the next order to an engine that was busy.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Delay before the next order after one without an answer.
const UNKNOWN_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Delay of a request for an engine's report. It covers the greatest age of a report and a slow
/// answer.
pub(super) const REPORT_DELAY: Duration = Duration::from_millis(400);

/// Time after its last renewal at which a load request is dropped; its requests have gone elsewhere
/// or have ended by then.
const LOAD_REQUEST_TTL: Duration = Duration::from_secs(3);

/// Decayed use count below which an adapter may be evicted for a replica of another one.
const REPLICA_VICTIM_USES: f64 = 1.0;

/// Time that a load may start later than at once without a reply to its requester: the round trip of
/// the order before it.
const PROMPT_START: Duration = Duration::from_millis(50);

/// Fraction of the limit on base model loads that is used.
const BASE_LOAD_SHARE: f64 = 0.85;

impl Owner {
    /// Handles a load request for an engine of this node, or replies that another node owns the
    /// engine.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn handle_load_request(
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
            return self.send_residency(now, from, &engine, &target, Presence::Absent, out);
        };
        match known.presence(&target) {
            Presence::Held(version) if fleet.is_newest(&target, version) => {
                let presence = Presence::Held(version);
                return self.send_residency(now, from, &engine, &target, presence, out);
            }
            Presence::Coming(at, version) if fleet.is_newest(&target, version) => {
                let presence = Presence::Coming(at, version);
                if let Some(owned) = self.owned_engine_mut(&engine) {
                    owned.add_waiter(&target, from);
                }
                return self.send_residency(now, from, &engine, &target, presence, out);
            }
            _ => {}
        }
        let Some(owned) = self.owned_engine(&engine) else {
            return self.send_residency(now, from, &engine, &target, Presence::Absent, out);
        };
        let (start, load) = self.load_estimate(now, owned, Some(&target), rank);
        if let Some(owned) = self.owned_engine_mut(&engine) {
            owned.add_load_request(now, target.clone(), rank, from);
        }
        // Replies at once, so that the requester can try another engine or give up sooner.
        if start > PROMPT_START {
            let absent = Presence::Absent;
            self.send_expectation(now, from, &engine, &target, absent, start + load, out);
        }
    }

    /// Cancels a load request of a peer, or forwards the cancellation of one of this node.
    pub(super) fn cancel_load_request(
        &mut self,
        from: &Vm,
        engine: Upstream,
        target: Target,
        out: &mut Vec<Action>,
    ) {
        if let Some(owned) = self.owned_engine_mut(&engine) {
            return owned.remove_load_request(&target, from);
        }
        let holder = self.holder(&engine).cloned();
        if let Some(to) = holder.filter(|_| *from == self.config.me) {
            out.push(Action::Send {
                to,
                message: Message::CancelLoadRequest { engine, target },
            });
        }
    }

    /// Returns whether orders to an owned engine have to follow its count, since an unknown node may give others.
    fn is_guarded(&self, now: Time, index: usize) -> bool {
        let owned = &self.owned_engines[index];
        owned.is_guarded && self.is_contended(now, &owned.engine)
    }

    /// Returns whether the count of an owned engine is known well enough for the next order. If not, requests the report.
    fn may_follow_count(
        &mut self,
        now: Time,
        index: usize,
        runner: &UpstreamState,
        out: &mut Vec<Action>,
    ) -> bool {
        let delay = self.first_order_delay(&runner.listing.id);
        let owned = &mut self.owned_engines[index];
        match owned.precondition(now) {
            Precondition::None => true,
            Precondition::Wait => false,
            Precondition::Report => {
                if owned.has_work(runner) {
                    owned.request_report_after(delay, out);
                }
                false
            }
        }
    }

    /// Appends the orders that are due to `out`.
    pub fn issue_orders(&mut self, now: Time, fleet: &Fleet, out: &mut Vec<Action>) {
        if !self.may_order(now) {
            return;
        }
        for index in 0..self.owned_engines.len() {
            let engine = &self.owned_engines[index].engine;
            let Some(runner) = fleet.upstream(engine) else {
                continue;
            };
            let leased = self.leases.holds(now, engine);
            let owned = &mut self.owned_engines[index];
            if owned.born != runner.listing.born {
                owned.reset_after_restart(now, runner.listing.born);
            }
            if let Some(engine) = &runner.engine {
                owned.slots = engine.adapter_slots;
            }
            if !runner.is_eligible() {
                owned.load_requests.clear();
                continue;
            }
            owned
                .load_requests
                .retain(|request| now < request.last_requested + LOAD_REQUEST_TTL);
            if !leased || !matches!(owned.state, OrderState::Ready(at) if at <= now) {
                continue;
            }
            if owned.fence_seen && owned.recheck_at.is_some_and(|at| at <= now) {
                owned.request_report(out);
                continue;
            }
            let guarded = self.is_guarded(now, index);
            if guarded && !self.may_follow_count(now, index, runner, out) {
                continue;
            }
            if let Some(order) = self.next_order(now, fleet, index, runner, out) {
                let owned = &mut self.owned_engines[index];
                owned.state = OrderState::InFlight;
                let expected = owned.expected_count().filter(|_| guarded);
                out.push(Action::Order {
                    engine: owned.engine.clone(),
                    fence: owned.fence,
                    order,
                    expected,
                });
            }
        }
    }

    fn next_order(
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
            return self.next_base_load(now, fleet, index, runner);
        };
        if !self.owned_engines[index].fence_seen {
            // This order changes nothing at the engine; its fencing token locks the former owner
            // out.
            return Some(Order::Load(base.clone(), None));
        }
        if matches!(present, Presence::Coming(at, _) if now < at) {
            return None;
        }
        if let Some(order) = self.owned_engines[index].due_confirmation(now) {
            return Some(order);
        }
        let is_loading = |(target, presence): &(&Target, Presence)| {
            let coming = matches!(presence, Presence::Coming(at, _) if now < *at);
            target.adapter.is_some() && coming
        };
        let loading = runner.present_targets().filter(is_loading).count();
        if loading >= self.config.parallel_loads {
            return None;
        }
        let owned = &mut self.owned_engines[index];
        let request = next_load_request(now, &mut owned.load_requests, runner, fleet)?.clone();
        // Another version of a resident adapter needs a slot, too, until it has replaced the former.
        if owned.free_slots(now) > 0 {
            let version = fleet.newest_version(&request.target);
            out.push(Action::Log(Decision::Loading(
                owned.engine.clone(),
                request.target.clone(),
                request.rank,
                request.waiters.len(),
            )));
            return Some(Order::Load(request.target, version));
        }
        let (victim, value) = eviction_candidate(now, owned, runner)?;
        if request.is_replica() && value >= REPLICA_VICTIM_USES {
            owned.drop_load_request(&request.target);
            return None;
        }
        out.push(Action::Log(Decision::Evicted(
            owned.engine.clone(),
            victim.clone(),
            value,
        )));
        Some(Order::Unload(victim))
    }

    /// Returns the order to load a base model into an empty engine, within this node's share of the
    /// limit.
    fn next_base_load(
        &mut self,
        now: Time,
        fleet: &Fleet,
        index: usize,
        runner: &UpstreamState,
    ) -> Option<Order> {
        let engine = runner.engine.as_ref()?;
        let window = self.config.base_load_window;
        self.base_loads.retain(|at| now < *at + window);
        let engines = fleet.eligible(&runner.listing.pool).count().max(1);
        let mine = self.owned_engines.len().min(engines);
        let allowed = engine.loads_per_second * window.as_secs_f64() * BASE_LOAD_SHARE;
        let share = (allowed * mine as f64 / engines as f64).max(1.0);
        if self.base_loads.len() as f64 + 1.0 > share {
            return None;
        }
        let owned = &self.owned_engines[index];
        let holders = |base: &wire::Base| {
            let target = Target::base_only(base);
            let holds = |runner: &&UpstreamState| runner.presence(&target) != Presence::Absent;
            fleet.eligible(&runner.listing.pool).filter(holds).count()
        };
        let wanted = |base: &wire::Base| {
            owned
                .load_requests
                .iter()
                .any(|request| request.target.base == *base)
        };
        let fits = engine
            .weights
            .iter()
            .filter(|weights| weights.size_mb <= engine.capacity_mb);
        let base = fits
            .min_by_key(|weights| (!wanted(&weights.base), holders(&weights.base)))?
            .base
            .clone();
        self.base_loads.push(now);
        Some(Order::Load(Target::base_only(&base), None))
    }

    /// Handles the answer to an order.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn handle_answer(
        &mut self,
        now: Time,
        fleet: &Fleet,
        engine: &Upstream,
        fence: Fence,
        order: Order,
        answer: Answer,
        out: &mut Vec<Action>,
    ) {
        let eta = now + self.expected_load_time(fleet, engine, order.target());
        let known = fleet.upstream(engine);
        let is_absent =
            known.is_some_and(|known| known.presence(order.target()) == Presence::Absent);
        let lease = self.config.lease;
        let contended = self.is_contended(now, engine);
        let Some(owned) = self
            .owned_engine_mut(engine)
            .filter(|owned| owned.fence == fence)
        else {
            return;
        };
        owned.state = OrderState::Ready(now);
        owned.record_answer(now, &order, answer);
        let fence_seen = owned.fence_seen;
        if fence_seen && !matches!(answer, Answer::Accepted | Answer::Done) {
            out.push(Action::Log(Decision::OrderFailed(
                engine.clone(),
                order.target().clone(),
                answer,
            )));
        }
        match answer {
            Answer::Fenced => {
                self.release_engine(engine, "fenced", out);
                self.handle_fence_refusal(now, engine, fence);
            }
            Answer::Misdirected => self.release_engine(engine, "another process", out),
            Answer::Unreached => owned.state = OrderState::Ready(now + UNKNOWN_RETRY_DELAY),
            Answer::Unknown if !fence_seen || order.is_confirm() => {
                owned.state = OrderState::Ready(now + UNKNOWN_RETRY_DELAY);
                // An engine that does not know the load starts it again.
                if order.is_confirm() {
                    owned.note_unanswered_load(now, order.target(), now + lease);
                }
            }
            Answer::Accepted | Answer::Done if !fence_seen => {
                // The first order of a claim has locked the former owner out. From then on a report
                // that is as recent shows the effect of every earlier order.
                owned.fence_seen = true;
                owned.request_report(out);
                if is_absent {
                    self.apply_order(now, engine, order, answer, eta, out);
                }
            }
            // The engine has refused the order before it took the token: the former owner's orders
            // go on being accepted.
            Answer::Busy | Answer::Unfit if !fence_seen => {
                owned.state = OrderState::Ready(now + BUSY_RETRY_DELAY);
            }
            Answer::Accepted | Answer::Done | Answer::Unfit if order.is_confirm() => {
                self.handle_confirmation(now, engine, order.target(), answer, out);
            }
            Answer::Accepted | Answer::Done => {
                self.apply_order(now, engine, order, answer, eta, out);
            }
            // Another node may have given an order, or the engine is busy with one of this node.
            Answer::Busy if contended && owned.is_guarded && owned.count.is_some() => {
                owned.request_report(out);
            }
            Answer::Busy => {
                owned.state = OrderState::Ready(now + BUSY_RETRY_DELAY);
                if order.target().adapter.is_none() {
                    // The engine is busy loading a base model that was ordered before.
                    let target = order.target().clone();
                    out.push(Action::Presence {
                        engine: engine.clone(),
                        target,
                        presence: Presence::Coming(now + LISTING_LAG / 4, None),
                    });
                }
            }
            Answer::Unknown => {
                owned.state = OrderState::Ready(now + UNKNOWN_RETRY_DELAY);
                owned.recheck_at = Some(now + UNKNOWN_RETRY_DELAY);
                // The engine may have accepted the order, so the target counts as occupying a slot.
                if matches!(order, Order::Load(..)) {
                    owned.note_unanswered_load(now, order.target(), now + lease);
                }
                self.apply_order(now, engine, order, Answer::Accepted, eta, out);
            }
            Answer::Unfit => {
                owned.drop_load_request(order.target());
            }
        }
    }

    /// Records the effect of an order that the engine carries out.
    fn apply_order(
        &mut self,
        now: Time,
        engine: &Upstream,
        order: Order,
        answer: Answer,
        eta: Time,
        out: &mut Vec<Action>,
    ) {
        let Some(owned) = self.owned_engine_mut(engine) else {
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
                owned.forget_load(&target);
                if answer == Answer::Done {
                    owned.vacate(&target);
                } else {
                    // The adapter is removed once its requests have ended. The engine takes no
                    // order until then.
                    owned.state = OrderState::Ready(now + BUSY_RETRY_DELAY);
                    owned.recheck_at.get_or_insert(now + LISTING_LAG);
                }
                (target, Presence::Absent)
            }
        };
        let waiters = take_waiters(owned, &target, presence);
        if let Presence::Coming(_, version) = presence {
            owned.load_started(now, &target, version, eta, waiters.clone(), out);
        }
        if presence != Presence::Absent {
            owned.occupy(&target);
            owned.note_cached(&target);
        }
        self.notify_waiters(now, engine, &target, presence, &waiters, out);
    }

    /// Returns how long a load of `target` is expected to take.
    fn expected_load_time(&self, fleet: &Fleet, engine: &Upstream, target: &Target) -> Duration {
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
        if self
            .owned_engine(engine)
            .is_some_and(|owned| owned.has_cached(target))
        {
            return self.config.reload_time;
        }
        self.load_slowdown.expect(self.config.load_time)
    }

    /// Allows orders to an engine again after its report, or requests the report again if it
    /// failed.
    pub(super) fn handle_report(
        &mut self,
        now: Time,
        fleet: &Fleet,
        engine: &Upstream,
        succeeded: bool,
        orders: Option<u64>,
        out: &mut Vec<Action>,
    ) {
        let contended = self.is_contended(now, engine);
        let Some(owned) = self.owned_engine_mut(engine) else {
            return;
        };
        if owned.state != OrderState::AwaitingReport {
            return;
        }
        // Nothing is known of what an engine without an entry holds.
        if succeeded && fleet.upstream(engine).is_some() {
            if contended && owned.is_guarded && owned.is_overtaken(orders) {
                self.release_engine(engine, "orders of an unknown node", out);
                self.note_unknown_owner(now, engine);
                return;
            }
            owned.record_report(now, orders);
            owned.state = OrderState::Ready(now);
            owned.recheck_at = None;
            let held = fleet
                .upstream(engine)
                .into_iter()
                .flat_map(UpstreamState::present_targets);
            let adapters = held.filter(|(target, _)| target.adapter.is_some());
            owned.occupied = adapters.map(|(target, _)| target.clone()).collect();
            owned.occupied.sort_unstable();
            let occupied = &owned.occupied;
            owned
                .pending_loads
                .retain(|pending| pending.is_in(occupied));
        } else {
            out.push(Action::FetchReport {
                engine: engine.clone(),
                delay: UNKNOWN_RETRY_DELAY,
            });
        }
    }
}

impl OwnedEngine {
    fn drop_load_request(&mut self, target: &Target) {
        self.load_requests
            .retain(|request| request.target != *target);
    }

    /// Returns whether an order may be due at `runner`, which is this engine.
    fn has_work(&self, runner: &UpstreamState) -> bool {
        let holds_base = runner
            .present_targets()
            .any(|(target, _)| target.adapter.is_none());
        !self.load_requests.is_empty() || !self.pending_loads.is_empty() || !holds_base
    }

    /// Requests the engine's report, late enough for it to cover the last order.
    fn request_report(&mut self, out: &mut Vec<Action>) {
        self.request_report_after(REPORT_DELAY, out);
    }

    /// Requests the engine's report after `delay`.
    pub(super) fn request_report_after(&mut self, delay: Duration, out: &mut Vec<Action>) {
        self.state = OrderState::AwaitingReport;
        out.push(Action::FetchReport {
            engine: self.engine.clone(),
            delay,
        });
    }
}

fn take_waiters(owned: &mut OwnedEngine, target: &Target, presence: Presence) -> Vec<Vm> {
    if presence == Presence::Absent {
        return Vec::new();
    }
    match owned
        .load_requests
        .iter()
        .position(|request| request.target == *target)
    {
        Some(index) => owned.load_requests.remove(index).waiters,
        None => Vec::new(),
    }
}

/// Returns the load request to serve next: by rank, then by the number of waiting nodes, then the
/// oldest.
fn next_load_request<'a>(
    now: Time,
    load_requests: &'a mut Vec<LoadRequest>,
    runner: &UpstreamState,
    fleet: &Fleet,
) -> Option<&'a LoadRequest> {
    load_requests.retain(|request| {
        let coming =
            matches!(runner.presence(&request.target), Presence::Coming(at, _) if now < at);
        !coming && !fleet.serves(runner, &request.target)
    });
    load_requests.iter().min_by_key(|request| {
        (
            request.rank,
            std::cmp::Reverse(request.waiters.len()),
            request.first_requested,
        )
    })
}

/// Returns the idle resident adapter with the lowest use count, with that count.
fn eviction_candidate(
    now: Time,
    owned: &OwnedEngine,
    runner: &UpstreamState,
) -> Option<(Target, f64)> {
    let idle = owned.occupied.iter().filter(|target| {
        // Unloading an adapter in use would block all other orders until its requests end. An
        // adapter that is already being unloaded is waiting for its requests in the same way.
        !owned.usage.in_use(now, target)
            && match runner.presence(target) {
                Presence::Held(_) => true,
                Presence::Coming(at, _) => now > at + LISTING_LAG,
                Presence::Absent => false,
            }
    });
    let valued = idle.map(|target| (target.clone(), owned.usage.value(now, target)));
    valued.min_by(|(_, a), (_, b)| a.total_cmp(b))
}
