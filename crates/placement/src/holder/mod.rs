//! Requests of this node, and the asks and leases by which it places them.
//!
//! A request takes a lease at hand where there is one on a home that is not overloaded; otherwise
//! it joins the ask at the model's best home. An owner that denies or is silent is passed over
//! for the next upstream; a request that no upstream can serve in time is refused.

pub mod model;
mod place;
mod reply;

use std::collections::HashMap;
use std::time::Duration;

use wire::{Model, Priority, Time, Upstream, View};

use crate::action::{Action, Reason};
use crate::event::{Instance, Pool, Request};
use crate::message::{LeaseRequest, Message, RequestNumber};
use crate::planner::Effects;
use crate::planner::promise::Promises;
use crate::settings::Settings;
use crate::upstreams::UpstreamTable;

use model::{ModelState, PendingLease};

/// Upstreams that one request tries at most.
const MAX_TRIES: usize = 4;

/// Time after which a refused request may be tried again where no owner named one.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Requests expected within one lease above which the lease is kept between them.
const MIN_REQUESTS_TO_KEEP_LEASE: f32 = 1.0;

/// Where a request is.
#[derive(Clone, Debug, PartialEq)]
enum RequestState {
    /// It waits for a lease on the upstream.
    Waiting(Upstream),
    /// It runs.
    Running {
        upstream: Upstream,
        instance: Instance,
        since: Time,
    },
}

#[derive(Clone, Debug)]
struct RequestEntry {
    request: Request,
    state: RequestState,
    tried: Vec<Upstream>,
    since: Time,
    retry_after: Duration,
}

/// Upstreams that a pool's demand is concentrated on.
#[derive(Clone, Debug)]
struct PoolPacking {
    pool: Pool,
    active: usize,
    changed_at: Time,
}

/// What the holder needs of the planner while it takes a step.
pub struct Context<'a> {
    /// The present time.
    pub now: Time,
    /// The settings.
    pub settings: &'a Settings,
    /// The node's view.
    pub view: &'a View,
    /// The upstreams.
    pub upstreams: &'a mut UpstreamTable,
    /// Owners that claimed upstreams.
    pub promises: &'a Promises,
    /// What is to be done.
    pub fx: &'a mut Effects,
}

impl Context<'_> {
    /// Returns the nodes that place requests now.
    fn nodes(&self) -> u32 {
        let nodes = self.view.live().count().max(1);
        u32::try_from(nodes).unwrap_or(u32::MAX)
    }
}

/// The holder's state.
#[derive(Clone, Debug)]
pub struct Holder {
    requests: HashMap<wire::Request, RequestEntry>,
    models: HashMap<Model, ModelState>,
    pending_models: Vec<Model>,
    ranked: Vec<(u64, usize)>,
    packings: Vec<PoolPacking>,
    last_request: RequestNumber,
    mean_service_time: f64,
}

impl Default for Holder {
    fn default() -> Self {
        Self {
            requests: HashMap::new(),
            models: HashMap::new(),
            pending_models: Vec::new(),
            ranked: Vec::new(),
            packings: Vec::new(),
            last_request: 0,
            mean_service_time: 1.0,
        }
    }
}

impl Holder {
    /// Tells whether asks are under way.
    pub fn has_pending_work(&self) -> bool {
        !self.pending_models.is_empty()
    }

    /// Returns the number of models that something is remembered of.
    pub fn model_count(&self) -> usize {
        self.models.len()
    }

    /// Returns the number of requests that wait or run.
    pub fn request_count(&self) -> usize {
        self.requests.len()
    }

    /// Returns how many homes `model` has now.
    pub fn home_count(&self, model: &Model) -> usize {
        self.models.get(model).map_or(1, |local| local.homes.max(1))
    }

    /// Takes a request in.
    pub fn add_request(&mut self, cx: &mut Context<'_>, request: Request) {
        if self.requests.contains_key(&request.id) {
            return;
        }
        self.record_demand(cx, &request);
        let id = request.id;
        let tried = request.avoid.clone();
        let entry = RequestEntry {
            request,
            state: RequestState::Waiting("".into()),
            tried,
            since: cx.now,
            retry_after: DEFAULT_RETRY_AFTER,
        };
        self.requests.insert(id, entry);
        self.place(cx, id);
    }

    /// Takes the end of a request, whatever its outcome.
    pub fn finish_request(&mut self, cx: &mut Context<'_>, id: wire::Request) {
        let Some(entry) = self.requests.remove(&id) else {
            return;
        };
        let model = entry.request.model;
        match entry.state {
            RequestState::Waiting(upstream) => self.leave_pending(cx, &model, &upstream, id),
            RequestState::Running {
                upstream,
                instance,
                since,
            } => {
                let took = cx.now.saturating_sub(since).as_secs_f64();
                self.mean_service_time = self.mean_service_time * 0.95 + took * 0.05;
                self.end_lease_use(cx, &model, &upstream, &instance);
            }
        }
    }

    fn end_lease_use(
        &mut self,
        cx: &mut Context<'_>,
        model: &Model,
        upstream: &Upstream,
        on: &str,
    ) {
        cx.upstreams.request_ended(cx.now, upstream);
        let Some(local) = self.models.get_mut(model) else {
            return;
        };
        let Some(held) = local.leases.iter_mut().find(|h| *h.instance == *on) else {
            return;
        };
        held.in_use = held.in_use.saturating_sub(1);
        let idle = held.in_use == 0;
        let expected =
            local.rate.long_term(cx.now, cx.settings.half_life) * cx.settings.lease.as_secs_f32();
        if idle && expected < MIN_REQUESTS_TO_KEEP_LEASE && local.pending_on(upstream).is_none() {
            self.release_lease(cx, model, upstream);
        }
        if let Some(local) = self.models.get_mut(model) {
            local.drop_ended_leases(cx.now);
        }
    }

    /// Gives the lease on `upstream` back, and takes the ask there off.
    fn release_lease(&mut self, cx: &mut Context<'_>, model: &Model, upstream: &Upstream) {
        if let Some(local) = self.models.get_mut(model) {
            let gone = |held: &model::HeldLease| held.upstream == *upstream && held.in_use == 0;
            local.leases.retain(|held| !gone(held));
            local.free_unused_memory();
            if local.leases.iter().any(|held| held.upstream == *upstream) {
                return;
            }
        }
        self.last_request += 1;
        let message = Message::Release {
            upstream: upstream.clone(),
            model: model.clone(),
            number: self.last_request,
        };
        if let Some(owner) = cx.promises.owner(cx.view, upstream) {
            cx.fx.send(owner, message);
        }
    }

    /// Takes a request off the ask that it waits for.
    fn leave_pending(&mut self, cx: &mut Context<'_>, model: &Model, upstream: &Upstream, id: u64) {
        let Some(local) = self.models.get_mut(model) else {
            return;
        };
        let Some(index) = local.pending_on(upstream) else {
            return;
        };
        let want = &mut local.pending[index];
        want.waiting.retain(|waiting| *waiting != id);
        if want.waiting.is_empty() {
            self.withdraw_pending(cx, model, upstream);
        }
    }

    /// Ends the ask at `upstream`.
    fn withdraw_pending(&mut self, cx: &mut Context<'_>, model: &Model, upstream: &Upstream) {
        if self.remove_pending(model, upstream).is_some() {
            let local = self.models.get(model);
            if local.is_some_and(|local| local.usable_lease(cx.now, upstream).is_none()) {
                self.release_lease(cx, model, upstream);
            }
        }
    }

    /// Takes the ask at `upstream` away without a word.
    fn remove_pending(&mut self, model: &Model, upstream: &str) -> Option<PendingLease> {
        let local = self.models.get_mut(model)?;
        let index = local.pending_on(upstream)?;
        let want = local.pending.swap_remove(index);
        if local.pending.is_empty() {
            // Most models are idle; their room is not kept.
            local.pending = Vec::new();
            self.pending_models.retain(|active| active != model);
        }
        Some(want)
    }

    /// Puts an ask back that was closed.
    fn restore_pending(&mut self, model: &Model, want: PendingLease) {
        if !self.pending_models.contains(model) {
            self.pending_models.push(model.clone());
        }
        self.model_state(model).pending.push(want);
    }

    /// Takes the news that the engine does not hold a granted request's instance: the lease on it
    /// is void, and the request is placed anew.
    pub fn handle_missing_instance(&mut self, cx: &mut Context<'_>, id: wire::Request) {
        let Some(entry) = self.requests.get(&id) else {
            return;
        };
        let RequestState::Running {
            upstream, instance, ..
        } = entry.state.clone()
        else {
            return;
        };
        let model = entry.request.model.clone();
        cx.upstreams.request_ended(cx.now, &upstream);
        if let Some(local) = self.models.get_mut(&model)
            && let Some(held) = local.leases.iter_mut().find(|h| h.instance == instance)
        {
            held.in_use = held.in_use.saturating_sub(1);
            held.until = held.until.min(cx.now);
        }
        self.release_if_unused(cx, &model, &upstream);
        self.place(cx, id);
    }

    /// Gives back a lease that is void, where nothing else runs on it.
    fn release_if_unused(&mut self, cx: &mut Context<'_>, model: &Model, upstream: &Upstream) {
        let Some(local) = self.models.get(model) else {
            return;
        };
        let used = local
            .leases
            .iter()
            .any(|held| held.upstream == *upstream && held.in_use > 0);
        if !used && local.pending_on(upstream).is_none() {
            self.release_lease(cx, model, upstream);
        }
    }

    /// Does what is due: refuses requests whose time is up, asks again, passes silent owners over.
    pub fn tick(&mut self, cx: &mut Context<'_>) {
        let mut index = 0;
        while index < self.pending_models.len() {
            let model = self.pending_models[index].clone();
            self.refuse_overdue(cx, &model);
            self.advance_pending(cx, &model);
            // A model whose last ask ended has left the list, and another took its place.
            if self.pending_models.get(index) == Some(&model) {
                index += 1;
            }
        }
    }

    fn refuse_overdue(&mut self, cx: &mut Context<'_>, model: &Model) {
        let Some(local) = self.models.get(model) else {
            return;
        };
        let waiting = local.pending.iter().flat_map(|want| want.waiting.iter());
        let limit = cx.now + cx.settings.margin;
        let late: Vec<u64> = waiting
            .filter(|id| {
                let entry = self.requests.get(id);
                entry.is_none_or(|entry| entry.request.deadline <= limit)
            })
            .copied()
            .collect();
        for id in late {
            self.refuse(cx, id, Reason::Deadline);
        }
    }

    fn refuse(&mut self, cx: &mut Context<'_>, id: wire::Request, reason: Reason) {
        let Some(entry) = self.requests.remove(&id) else {
            return;
        };
        if let RequestState::Waiting(upstream) = entry.state {
            self.leave_pending(cx, &entry.request.model, &upstream, id);
        }
        cx.fx.push(Action::Refuse {
            request: id,
            reason,
            retry_after: entry.retry_after,
        });
    }

    /// Asks again where an answer is due, and moves on from an owner that is silent.
    fn advance_pending(&mut self, cx: &mut Context<'_>, model: &Model) {
        let Some(local) = self.models.get(model) else {
            return;
        };
        let upstreams: Vec<Upstream> = local.pending.iter().map(|w| w.upstream.clone()).collect();
        for upstream in upstreams {
            let Some(local) = self.models.get(model) else {
                return;
            };
            let Some(index) = local.pending_on(&upstream) else {
                continue;
            };
            let want = &local.pending[index];
            if want.start_at.is_some_and(|start| cx.now >= start)
                && let Some(lease) = local.usable_lease(cx.now, &upstream)
            {
                self.start_waiting(cx, model, &upstream, lease);
                continue;
            }
            if cx.now >= want.last_heard + cx.settings.silence {
                self.try_other_upstreams(cx, model, &upstream, None);
                continue;
            }
            // A queued ask needs no more than a sign of life before the owner counts as silent.
            let answered = want.last_sent().is_some_and(|last| want.last_heard > last);
            let pause = if answered {
                cx.settings.silence.saturating_sub(cx.settings.resend)
            } else {
                cx.settings.resend
            };
            if want.last_sent().is_none_or(|last| cx.now >= last + pause) {
                self.send_lease_request(cx, model, &upstream);
            }
        }
    }

    /// Ends the ask at `upstream` and places its requests elsewhere.
    fn try_other_upstreams(
        &mut self,
        cx: &mut Context<'_>,
        model: &Model,
        upstream: &Upstream,
        after: Option<Duration>,
    ) {
        let local = self.models.get(model);
        let index = local.and_then(|local| local.pending_on(upstream));
        let waiting = match (local, index) {
            (Some(local), Some(index)) => local.pending[index].waiting.clone(),
            _ => return,
        };
        self.withdraw_pending(cx, model, upstream);
        for id in waiting {
            if let Some(entry) = self.requests.get_mut(&id) {
                entry.tried.push(upstream.clone());
                entry.retry_after = after
                    .unwrap_or(DEFAULT_RETRY_AFTER)
                    .max(DEFAULT_RETRY_AFTER);
            }
            self.place(cx, id);
        }
    }

    /// Sends the ask at `upstream` to its owner, as it stands now.
    fn send_lease_request(&mut self, cx: &mut Context<'_>, model: &Model, upstream: &Upstream) {
        let Some(local) = self.models.get_mut(model) else {
            return;
        };
        let Some(index) = local.pending_on(upstream) else {
            return;
        };
        self.last_request += 1;
        let want = &mut local.pending[index];
        want.sent.push((self.last_request, cx.now));
        let requests = want.waiting.iter().filter_map(|id| self.requests.get(id));
        let mut priority = Priority::Routine;
        let mut since = cx.now;
        let mut left = if want.waiting.is_empty() {
            cx.settings.lease
        } else {
            Duration::ZERO
        };
        for entry in requests {
            priority = priority.min(entry.request.priority);
            since = since.min(entry.since);
            left = left.max(entry.request.deadline.saturating_sub(cx.now));
        }
        let waiting = u32::try_from(want.waiting.len()).unwrap_or(u32::MAX);
        let path = want.path.clone();
        let held = local.leases.iter_mut().find(|h| h.upstream == *upstream);
        let served = held.map_or(0, |held| std::mem::take(&mut held.served));
        let ask = LeaseRequest {
            upstream: upstream.clone(),
            model: model.clone(),
            path,
            number: self.last_request,
            priority,
            waiting,
            served,
            age: cx.now - since,
            remaining: left,
        };
        if let Some(owner) = cx.promises.owner(cx.view, upstream) {
            cx.fx.send(owner, Message::LeaseRequest(ask));
        }
    }

    /// Asks a new owner at once for what the former one was asked for.
    pub fn owner_changed(&mut self, cx: &mut Context<'_>, upstream: &Upstream) {
        let asks = |model: &&Model| {
            let local = self.models.get(model);
            local.is_some_and(|local| local.pending_on(upstream).is_some())
        };
        let models: Vec<Model> = self.pending_models.iter().filter(asks).cloned().collect();
        for model in models {
            self.send_lease_request(cx, &model, upstream);
        }
    }

    /// Forgets models that nobody has asked for within a while.
    pub fn forget_idle_models(&mut self, now: Time, settings: &Settings) {
        let forget = settings.half_life * 8;
        self.models.retain(|_, local| {
            local.drop_ended_leases(now);
            let old = now.saturating_sub(local.rate.last_update()) > forget;
            !(old && local.pending.is_empty() && local.leases.is_empty())
        });
    }

    fn model_state(&mut self, model: &Model) -> &mut ModelState {
        if !self.models.contains_key(model) {
            self.models.insert(model.clone(), ModelState::default());
        }
        self.models.get_mut(model).expect("just inserted")
    }
}
