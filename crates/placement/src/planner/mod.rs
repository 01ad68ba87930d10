//! The planner of one node, which connects its holder, owners and budgets.
//!
//! `receive` handles messages from peers. `ownership` acquires and gives up upstreams as the view
//! changes. [`promise`] records the claims that this node has accepted.

mod effects;
mod ownership;
pub mod promise;
mod receive;

use std::time::Duration;

use wire::{Fence, Incarnation, Machine, Time, View};

use crate::action::Action;
use crate::budget::Budget;
use crate::event::{Event, ExpectedDemand, InstanceReport, Store, Upstream};
use crate::holder::{Context, Holder};
use crate::owner::{Owner, TicketStatus};
use crate::settings::Settings;
use crate::upstreams::UpstreamTable;

pub use effects::Effects;
use promise::{ClaimOutcome, Promises};

/// Interval between ticks while work is pending.
const BUSY_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between ticks otherwise.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between sweeps of models whose popularity has decayed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(30);

/// Time before predicted demand at which its models become candidates for a prefetch.
const PREFETCH_LEAD: Duration = Duration::from_secs(60);

/// One node's planner.
#[derive(Debug)]
pub struct Planner {
    me: Incarnation,
    settings: Settings,
    view: View,
    upstreams: UpstreamTable,
    promises: Promises,
    holder: Holder,
    owners: Vec<Owner>,
    /// Owners of upstreams that this node gave up, kept for the next owner's claim.
    former_owners: Vec<Owner>,
    budgets: Vec<Budget>,
    expected_demand: Vec<ExpectedDemand>,
    reclaims: Vec<ownership::Reclaim>,
    last_claims_sent: Option<Time>,
    started_at: Option<Time>,
    last_tick: Time,
    last_sweep: Time,
    fx: Effects,
}

impl Planner {
    /// Creates the planner of the incarnation `me`.
    pub fn new(me: Incarnation, settings: Settings) -> Self {
        let fx = Effects::new(me.vm.clone());
        Self {
            me,
            settings,
            view: View::default(),
            upstreams: UpstreamTable::default(),
            promises: Promises::default(),
            holder: Holder::default(),
            owners: Vec::new(),
            former_owners: Vec::new(),
            budgets: Vec::new(),
            expected_demand: Vec::new(),
            reclaims: Vec::new(),
            last_claims_sent: None,
            started_at: None,
            last_tick: Time::ZERO,
            last_sweep: Time::ZERO,
            fx,
        }
    }

    /// Returns whether the order with fencing number `fence` on `upstream` may be written at `now`.
    ///
    /// The driver must call this immediately before it writes a load or unload, so that no pause of
    /// the process falls in between. It reports an order that is not permitted as failed with
    /// [`crate::event::Failure::NotSent`].
    pub fn permit(&self, now: Time, upstream: &str, fence: Fence) -> bool {
        let owner = self.owners.iter().find(|o| *o.upstream().id == *upstream);
        owner.is_some_and(|owner| owner.permit(now, fence)) && !self.awaits_reclaim(upstream)
    }

    /// Returns the live upstreams that a request for `model` would try, best first, and the number
    /// of homes that the model has now.
    pub fn ranking(
        &self,
        model: &wire::Model,
        pool: &crate::event::Pool,
        base: &wire::Base,
    ) -> (Vec<wire::Upstream>, usize) {
        let ranking = self.holder.ranking(&self.upstreams, model, pool, base);
        (ranking, self.holder.home_count(model))
    }

    /// Returns the upstreams that this node owns.
    pub fn owners(&self) -> &[Owner] {
        &self.owners
    }

    /// Returns the holder, with the requests and leases of this node.
    pub const fn holder(&self) -> &Holder {
        &self.holder
    }

    /// Returns this node's state of the store budgets.
    pub fn budgets(&self) -> &[Budget] {
        &self.budgets
    }

    /// Returns the ranking of the upstreams and their estimated load.
    pub const fn upstreams(&self) -> &UpstreamTable {
        &self.upstreams
    }

    fn handle(&mut self, now: Time, event: Event) {
        match event {
            Event::View(view) => self.update_view(now, view),
            Event::Upstreams(upstreams) => self.update_upstreams(now, upstreams),
            Event::Stores(stores) => self.update_stores(now, stores),
            Event::Request(request) => {
                self.with_holder(now, |holder, cx| holder.add_request(cx, request));
            }
            Event::Done { request } | Event::Cancel { request } => {
                self.with_holder(now, |holder, cx| holder.finish_request(cx, request));
            }
            Event::InstanceMissing { request } => {
                self.with_holder(now, |holder, cx| {
                    holder.handle_missing_instance(cx, request);
                });
            }
            Event::Receive { from, message } => self.receive(now, &from, message),
            Event::FenceObserved { upstream, fence } => self.observe_fence(now, &upstream, fence),
            Event::InstanceReport(report) => self.handle_instance_report(now, &report),
            Event::Report {
                upstream,
                running,
                waiting,
                age,
            } => {
                let load = running.saturating_add(waiting);
                let made = now.saturating_sub(age);
                self.upstreams.update_load(&upstream, load, made);
                if let Some(owner) = self.owners.iter_mut().find(|o| o.upstream().id == upstream) {
                    owner.record_load(load, made);
                }
            }
            Event::CacheEvents {
                upstream,
                added,
                removed,
                gap,
            } => self
                .upstreams
                .apply_cache_events(&upstream, added, &removed, gap),
            Event::ExpectedDemand(demand) => self.expected_demand.push(demand),
            Event::Tick => self.tick(now),
            outcome => self.handle_order_outcome(now, outcome),
        }
    }

    /// Passes the outcome of a load or unload to the upstream's current or former owner.
    fn handle_order_outcome(&mut self, now: Time, event: Event) {
        let (settings, fx) = (&self.settings, &mut self.fx);
        let mut owners = self.owners.iter_mut().chain(&mut self.former_owners);
        let (upstream, ticket) = match event {
            Event::Loaded {
                upstream,
                instance,
                fence,
            } => {
                let owner = owners.find(|o| o.upstream().id == upstream);
                let ticket = owner.map(|o| o.loaded(now, &instance, fence, settings, fx));
                (upstream, ticket)
            }
            Event::LoadFailed {
                upstream,
                instance,
                fence,
                failure,
            } => {
                let owner = owners.find(|o| o.upstream().id == upstream);
                let ticket =
                    owner.map(|o| o.load_failed(now, &instance, fence, failure, settings, fx));
                (upstream, ticket)
            }
            Event::Unloaded {
                upstream,
                instance,
                fence,
            } => {
                let ticket_valid = self
                    .budgets
                    .iter()
                    .any(|b| b.has_valid_ticket(now, &upstream));
                let owner = owners.find(|o| o.upstream().id == upstream);
                let ticket =
                    owner.map(|o| o.unloaded(now, &instance, fence, ticket_valid, settings, fx));
                (upstream, ticket)
            }
            Event::UnloadFailed {
                upstream,
                instance,
                fence,
                failure,
            } => {
                let owner = owners.find(|o| o.upstream().id == upstream);
                let ticket =
                    owner.map(|o| o.unload_failed(now, &instance, fence, failure, settings));
                (upstream, ticket)
            }
            _ => return,
        };
        if ticket == Some(TicketStatus::Finished) {
            self.finish_ticket(&upstream);
        }
    }

    fn finish_ticket(&mut self, upstream: &wire::Upstream) {
        for budget in &mut self.budgets {
            budget.finish_load(upstream, &mut self.fx);
        }
    }

    fn handle_instance_report(&mut self, now: Time, report: &InstanceReport) {
        let busy = report.instances.iter().filter(|u| u.in_use > 0).count();
        self.upstreams.set_busy_instances(&report.upstream, busy);
        let owner = self.owners.iter_mut();
        let Some(owner) = owner
            .chain(&mut self.former_owners)
            .find(|o| o.upstream().id == report.upstream)
        else {
            return;
        };
        let ticket =
            owner.apply_instance_report(now, report, &self.view, &self.settings, &mut self.fx);
        if ticket == TicketStatus::Finished {
            self.finish_ticket(&report.upstream);
        }
    }

    fn with_holder(&mut self, now: Time, act: impl FnOnce(&mut Holder, &mut Context<'_>)) {
        let mut cx = Context {
            now,
            settings: &self.settings,
            view: &self.view,
            upstreams: &mut self.upstreams,
            promises: &self.promises,
            fx: &mut self.fx,
        };
        act(&mut self.holder, &mut cx);
    }

    fn update_upstreams(&mut self, now: Time, upstreams: Vec<Upstream>) {
        self.upstreams.set_upstreams(upstreams);
        self.update_ownership(now);
    }

    fn update_stores(&mut self, now: Time, stores: Vec<Store>) {
        let started_at = *self.started_at.get_or_insert(now);
        self.budgets
            .retain(|budget| stores.iter().any(|s| s.id == budget.store().id));
        for store in stores {
            let known = self.budgets.iter_mut().find(|b| b.store().id == store.id);
            if let Some(budget) = known {
                budget.set_limits(now, store, &self.settings);
                continue;
            }
            let mut budget = Budget::new(store, self.me.clone(), started_at);
            budget.set_view(now, &self.view, &self.settings);
            self.budgets.push(budget);
        }
    }

    fn tick(&mut self, now: Time) {
        self.last_tick = now;
        self.reclaim_due(now);
        self.send_claims(now);
        self.announce_given_up(now);
        self.apply_expected_demand(now);
        self.with_holder(now, |holder, cx| holder.tick(cx));
        let mut finished = Vec::new();
        for owner in &mut self.owners {
            if owner.tick(now, &self.settings, &mut self.fx) == TicketStatus::Finished {
                finished.push(owner.upstream().id.clone());
            }
        }
        for upstream in &finished {
            self.finish_ticket(upstream);
        }
        if now >= self.last_sweep + SWEEP_INTERVAL {
            self.last_sweep = now;
            self.holder.forget_idle_models(now, &self.settings);
            for owner in &mut self.owners {
                owner.forget_unpopular(now, &self.settings);
            }
        }
    }

    /// Passes demand that is predicted for the near future to the owner of the model's best home,
    /// if this node owns it.
    fn apply_expected_demand(&mut self, now: Time) {
        let due = |demand: &ExpectedDemand| now + PREFETCH_LEAD >= demand.at;
        if !self.expected_demand.iter().any(due) {
            return;
        }
        let (due, later) = std::mem::take(&mut self.expected_demand)
            .into_iter()
            .partition(due);
        self.expected_demand = later;
        let mut ranking = Vec::new();
        for demand in due {
            let ExpectedDemand {
                model,
                base,
                pool,
                path,
                weight,
                ..
            } = demand;
            self.upstreams
                .rank_for_model(&model, &pool, &base, 1, usize::MAX, &mut ranking);
            let Some((_, home)) = ranking.first() else {
                continue;
            };
            let home = &self.upstreams.targets()[*home].facts.id;
            let owner = self.owners.iter_mut().find(|o| o.upstream().id == *home);
            if let Some(owner) = owner {
                owner.raise_demand(now, &model, &path, weight as f32, &self.settings);
            }
        }
    }

    /// Delivers this node's messages to itself and starts the loads that the budgets allow, until
    /// neither leads to more work.
    fn run_pending(&mut self, now: Time) {
        let me = self.me.clone();
        loop {
            while let Some(message) = self.fx.local.pop_front() {
                self.receive(now, &me, message);
            }
            let mut permitted = Vec::new();
            for budget in &mut self.budgets {
                for owner in &self.owners {
                    if owner.upstream().store == budget.store().id {
                        let id = &owner.upstream().id;
                        let waits = self.reclaims.iter().any(|r| r.is_for(id));
                        let want = owner.next_load(now, &self.settings).filter(|_| !waits);
                        budget.set_demand(id, want, &mut self.fx);
                    }
                }
                budget.poll(
                    now,
                    &self.settings,
                    &self.view,
                    &mut permitted,
                    &mut self.fx,
                );
            }
            if permitted.is_empty() && self.fx.local.is_empty() {
                return;
            }
            for upstream in permitted {
                self.start_load(now, &upstream);
            }
        }
    }

    /// Starts the load on an upstream for which a ticket was issued.
    fn start_load(&mut self, now: Time, upstream: &wire::Upstream) {
        let owner = self
            .owners
            .iter_mut()
            .find(|o| o.upstream().id == *upstream);
        let ticket = owner.map_or(TicketStatus::Finished, |owner| {
            owner.start_load(now, &self.settings, &mut self.fx)
        });
        if ticket == TicketStatus::Finished {
            self.finish_ticket(upstream);
        }
    }
}

impl Machine for Planner {
    type Event = Event;
    type Action = Action;

    fn step(&mut self, now: Time, event: Event, out: &mut impl Extend<Action>) {
        self.started_at.get_or_insert(now);
        // These events leave the load queues unchanged, unless they cause a message from this node
        // to itself.
        let queues_unchanged = matches!(
            event,
            Event::Request(_)
                | Event::Done { .. }
                | Event::Report { .. }
                | Event::CacheEvents { .. }
        );
        self.handle(now, event);
        if !queues_unchanged || !self.fx.local.is_empty() {
            self.run_pending(now);
        }
        out.extend(self.fx.actions.drain(..));
    }

    fn wake(&self) -> Option<Time> {
        let busy = self.holder.has_pending_work()
            || !self.reclaims.is_empty()
            || self.owners.iter().any(Owner::busy)
            || self.budgets.iter().any(Budget::has_pending_work);
        let interval = if busy {
            BUSY_TICK_INTERVAL
        } else {
            IDLE_TICK_INTERVAL
        };
        Some(self.last_tick + interval)
    }
}
