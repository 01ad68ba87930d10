//! One node's planner: holder, owners and budgets, connected.
//!
//! `receive` takes peers' messages in and `ownership` gains and loses upstreams with the view.

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
use crate::owner::{Owner, Ticket};
use crate::settings::Settings;
use crate::upstreams::UpstreamTable;

pub use effects::Effects;
use promise::{Promises, Taken};

/// Time between two ticks while something is under way.
const TICK: Duration = Duration::from_millis(50);

/// Time between two ticks otherwise.
const IDLE_TICK: Duration = Duration::from_millis(500);

/// Time between two sweeps of what is forgotten.
const SWEEP: Duration = Duration::from_secs(30);

/// Time before announced demand at which its models are prefetched.
const AHEAD: Duration = Duration::from_secs(60);

/// One node's planner.
#[derive(Debug)]
pub struct Planner {
    me: Incarnation,
    settings: Settings,
    view: View,
    choice: UpstreamTable,
    promises: Promises,
    holder: Holder,
    owners: Vec<Owner>,
    former: Vec<Owner>,
    budgets: Vec<Budget>,
    expected: Vec<ExpectedDemand>,
    reclaims: Vec<ownership::Reclaim>,
    claimed: Option<Time>,
    born: Option<Time>,
    ticked: Time,
    swept: Time,
    fx: Effects,
}

impl Planner {
    /// Makes the planner of the incarnation `me`.
    pub fn new(me: Incarnation, settings: Settings) -> Self {
        let fx = Effects::new(me.vm.clone());
        Self {
            me,
            settings,
            view: View::default(),
            choice: UpstreamTable::default(),
            promises: Promises::default(),
            holder: Holder::default(),
            owners: Vec::new(),
            former: Vec::new(),
            budgets: Vec::new(),
            expected: Vec::new(),
            reclaims: Vec::new(),
            claimed: None,
            born: None,
            ticked: Time::ZERO,
            swept: Time::ZERO,
            fx,
        }
    }

    /// Tells whether the order with number `fence` on `upstream` may be written at `now`.
    ///
    /// The driver calls it directly before it writes a load or unload, after any pause; an order
    /// that is not permitted is reported as failed with [`crate::event::Failure::NotSent`].
    pub fn permit(&self, now: Time, upstream: &str, fence: Fence) -> bool {
        let owner = self.owners.iter().find(|o| *o.upstream().id == *upstream);
        owner.is_some_and(|owner| owner.permit(now, fence))
    }

    /// Returns the live upstreams that a request for `model` would be tried on, in their order,
    /// and how many of them are its homes now.
    pub fn ranking(
        &self,
        model: &wire::Model,
        pool: &crate::event::Pool,
        base: &wire::Base,
    ) -> (Vec<wire::Upstream>, usize) {
        let ranking = self.holder.ranking(&self.choice, model, pool, base);
        (ranking, self.holder.home_count(model))
    }

    /// Returns the upstreams that this node owns.
    pub fn owners(&self) -> &[Owner] {
        &self.owners
    }

    /// Returns the requests and leases of this node.
    pub const fn holder(&self) -> &Holder {
        &self.holder
    }

    /// Returns the store budgets as this node takes part in them.
    pub fn budgets(&self) -> &[Budget] {
        &self.budgets
    }

    /// Returns the upstreams as the choice sees them.
    pub const fn choice(&self) -> &UpstreamTable {
        &self.choice
    }

    fn handle(&mut self, now: Time, event: Event) {
        match event {
            Event::View(view) => self.look(now, view),
            Event::Upstreams(upstreams) => self.upstreams(now, upstreams),
            Event::Stores(stores) => self.stores(now, stores),
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
            Event::FenceObserved { upstream, fence } => self.refused(&upstream, fence),
            Event::InstanceReport(report) => self.resident(now, &report),
            Event::Report {
                upstream,
                running,
                waiting,
                age,
            } => {
                let load = running.saturating_add(waiting);
                let made = now.saturating_sub(age);
                self.choice.update_load(&upstream, load, made);
                if let Some(owner) = self.owners.iter_mut().find(|o| o.upstream().id == upstream) {
                    owner.report(load, made);
                }
            }
            Event::CacheEvents {
                upstream,
                added,
                removed,
                gap,
            } => self
                .choice
                .apply_cache_events(&upstream, added, &removed, gap),
            Event::ExpectedDemand(expect) => self.expected.push(expect),
            Event::Tick => self.tick(now),
            order => self.order(now, order),
        }
    }

    /// Takes the outcome of an order.
    fn order(&mut self, now: Time, event: Event) {
        let (settings, fx) = (&self.settings, &mut self.fx);
        let mut owners = self.owners.iter_mut().chain(&mut self.former);
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
                let valid = self
                    .budgets
                    .iter()
                    .any(|b| b.has_valid_ticket(now, &upstream));
                let owner = owners.find(|o| o.upstream().id == upstream);
                let ticket = owner.map(|o| o.unloaded(now, &instance, fence, valid, settings, fx));
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
        if ticket == Some(Ticket::Finish) {
            self.finish(&upstream);
        }
    }

    fn finish(&mut self, upstream: &wire::Upstream) {
        for budget in &mut self.budgets {
            budget.finish_load(upstream, &mut self.fx);
        }
    }

    fn resident(&mut self, now: Time, report: &InstanceReport) {
        let used = report.instances.iter().filter(|u| u.in_use > 0).count();
        self.choice.set_busy_instances(&report.upstream, used);
        let owner = self.owners.iter_mut();
        let Some(owner) = owner
            .chain(&mut self.former)
            .find(|o| o.upstream().id == report.upstream)
        else {
            return;
        };
        let ticket = owner.resident(now, report, &self.view, &self.settings, &mut self.fx);
        if ticket == Ticket::Finish {
            self.finish(&report.upstream);
        }
    }

    fn with_holder(&mut self, now: Time, act: impl FnOnce(&mut Holder, &mut Context<'_>)) {
        let mut cx = Context {
            now,
            settings: &self.settings,
            view: &self.view,
            upstreams: &mut self.choice,
            promises: &self.promises,
            fx: &mut self.fx,
        };
        act(&mut self.holder, &mut cx);
    }

    fn upstreams(&mut self, now: Time, upstreams: Vec<Upstream>) {
        self.choice.set_upstreams(upstreams);
        self.assign(now);
    }

    fn stores(&mut self, now: Time, stores: Vec<Store>) {
        let born = *self.born.get_or_insert(now);
        self.budgets
            .retain(|budget| stores.iter().any(|s| s.id == budget.store().id));
        for store in stores {
            let known = self.budgets.iter_mut().find(|b| b.store().id == store.id);
            if let Some(budget) = known {
                budget.set_limits(now, store, &self.settings);
                continue;
            }
            let mut budget = Budget::new(store, self.me.clone(), born);
            budget.set_view(now, &self.view, &self.settings);
            self.budgets.push(budget);
        }
    }

    fn tick(&mut self, now: Time) {
        self.ticked = now;
        self.reclaim(now);
        self.claim(now);
        self.announce(now);
        self.with_holder(now, |holder, cx| holder.tick(cx));
        let mut over = Vec::new();
        for owner in &mut self.owners {
            if owner.tick(now, &self.settings, &mut self.fx) == Ticket::Finish {
                over.push(owner.upstream().id.clone());
            }
        }
        for upstream in &over {
            self.finish(upstream);
        }
        if now >= self.swept + SWEEP {
            self.swept = now;
            self.holder.forget_idle_models(now, &self.settings);
            for owner in &mut self.owners {
                owner.sweep(now, &self.settings);
            }
        }
    }

    /// Tells owners of homes about demand that is announced for the near future.
    fn announce(&mut self, now: Time) {
        let due = |expect: &ExpectedDemand| now + AHEAD >= expect.at;
        if !self.expected.iter().any(due) {
            return;
        }
        let (due, later) = std::mem::take(&mut self.expected)
            .into_iter()
            .partition(due);
        self.expected = later;
        let mut order = Vec::new();
        for expect in due {
            let ExpectedDemand {
                model,
                base,
                pool,
                path,
                weight,
                ..
            } = expect;
            self.choice
                .rank_for_model(&model, &pool, &base, 1, usize::MAX, &mut order);
            let Some((_, home)) = order.first() else {
                continue;
            };
            let home = &self.choice.targets()[*home].facts.id;
            let owner = self.owners.iter_mut().find(|o| o.upstream().id == *home);
            if let Some(owner) = owner {
                owner.expect(now, &model, &path, weight as f32, &self.settings);
            }
        }
    }

    /// Lets owners begin what the budget allows, and takes this node's own messages, until nothing
    /// more follows.
    fn settle(&mut self, now: Time) {
        let me = self.me.clone();
        loop {
            while let Some(message) = self.fx.local.pop_front() {
                self.receive(now, &me, message);
            }
            let mut go = Vec::new();
            for budget in &mut self.budgets {
                for owner in &self.owners {
                    if owner.upstream().store == budget.store().id {
                        let want = owner.next_load(now, &self.settings);
                        budget.set_demand(&owner.upstream().id, want, &mut self.fx);
                    }
                }
                budget.poll(now, &self.settings, &self.view, &mut go, &mut self.fx);
            }
            if go.is_empty() && self.fx.local.is_empty() {
                return;
            }
            for upstream in go {
                self.begin(now, &upstream);
            }
        }
    }

    /// Starts the load for which a ticket is there.
    fn begin(&mut self, now: Time, upstream: &wire::Upstream) {
        let owner = self
            .owners
            .iter_mut()
            .find(|o| o.upstream().id == *upstream);
        let ticket = owner.map_or(Ticket::Finish, |owner| {
            owner.start(now, &self.settings, &mut self.fx)
        });
        if ticket == Ticket::Finish {
            self.finish(upstream);
        }
    }
}

impl Machine for Planner {
    type Event = Event;
    type Action = Action;

    fn step(&mut self, now: Time, event: Event, out: &mut impl Extend<Action>) {
        self.born.get_or_insert(now);
        // A request that runs at once, its end and a report move nothing in the load queues.
        let light = matches!(
            event,
            Event::Request(_)
                | Event::Done { .. }
                | Event::Report { .. }
                | Event::CacheEvents { .. }
        );
        self.handle(now, event);
        if !light || !self.fx.local.is_empty() {
            self.settle(now);
        }
        out.extend(self.fx.actions.drain(..));
    }

    fn wake(&self) -> Option<Time> {
        let busy = self.holder.has_pending_work()
            || self.owners.iter().any(Owner::busy)
            || self.budgets.iter().any(Budget::has_pending_work);
        Some(self.ticked + if busy { TICK } else { IDLE_TICK })
    }
}
