//! Lease holder: places this node's requests with leases that it obtains from upstream owners.
//!
//! A request uses an existing lease on a home that is not overloaded, if there is one. Otherwise it
//! joins the pending lease request at the model's best home. If the owner denies the lease or does
//! not answer, the request moves to the next upstream. A request that no upstream can serve in time
//! is refused.

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

/// Maximum number of upstreams that one request tries.
const MAX_TRIES: usize = 4;

/// Minimum retry delay of a refused request; also the default when no owner has named one.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Number of requests expected during one lease from which an idle lease is kept.
const MIN_REQUESTS_TO_KEEP_LEASE: f32 = 1.0;

/// State of a request.
#[derive(Clone, Debug, PartialEq)]
enum RequestState {
    /// Waits for a lease on the upstream.
    Waiting(Upstream),
    /// Runs under a lease.
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

/// Number of upstreams on which a pool's demand is concentrated.
#[derive(Clone, Debug)]
struct PoolPacking {
    pool: Pool,
    active: usize,
    changed_at: Time,
}

/// Parts of the planner that the holder uses during one step.
pub struct Context<'a> {
    /// The current time.
    pub now: Time,
    /// The settings.
    pub settings: &'a Settings,
    /// The node's view of its region.
    pub view: &'a View,
    /// The region's upstreams.
    pub upstreams: &'a mut UpstreamTable,
    /// The accepted claims on upstreams.
    pub promises: &'a Promises,
    /// Collects the resulting actions.
    pub fx: &'a mut Effects,
}

impl Context<'_> {
    /// Returns the number of nodes that place requests now.
    fn nodes(&self) -> u32 {
        let nodes = self.view.live().count().max(1);
        u32::try_from(nodes).unwrap_or(u32::MAX)
    }
}

/// State of the lease holder.
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
    /// Returns whether lease requests are pending.
    pub fn has_pending_work(&self) -> bool {
        !self.pending_models.is_empty()
    }

    /// Returns the number of models with stored state.
    pub fn model_count(&self) -> usize {
        self.models.len()
    }

    /// Returns the number of requests that wait or run.
    pub fn request_count(&self) -> usize {
        self.requests.len()
    }

    /// Returns the current number of homes of `model`.
    pub fn home_count(&self, model: &Model) -> usize {
        self.models.get(model).map_or(1, |state| state.homes.max(1))
    }

    /// Adds and places a request.
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

    /// Handles the end of a request, whatever its outcome.
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
                let duration = cx.now.saturating_sub(since).as_secs_f64();
                self.mean_service_time = self.mean_service_time * 0.95 + duration * 0.05;
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
        let Some(state) = self.models.get_mut(model) else {
            return;
        };
        let Some(held) = state.leases.iter_mut().find(|h| *h.instance == *on) else {
            return;
        };
        held.in_use = held.in_use.saturating_sub(1);
        let idle = held.in_use == 0;
        let expected =
            state.rate.long_term(cx.now, cx.settings.half_life) * cx.settings.lease.as_secs_f32();
        if idle && expected < MIN_REQUESTS_TO_KEEP_LEASE && state.pending_on(upstream).is_none() {
            self.release_lease(cx, model, upstream);
        }
        if let Some(state) = self.models.get_mut(model) {
            state.drop_ended_leases(cx.now);
        }
    }

    /// Gives up the lease on `upstream`; the message also withdraws a lease request there.
    ///
    /// Nothing is sent while requests still run under a lease there.
    fn release_lease(&mut self, cx: &mut Context<'_>, model: &Model, upstream: &Upstream) {
        if let Some(state) = self.models.get_mut(model) {
            let unused = |held: &model::HeldLease| held.upstream == *upstream && held.in_use == 0;
            state.leases.retain(|held| !unused(held));
            state.free_unused_memory();
            if state.leases.iter().any(|held| held.upstream == *upstream) {
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

    /// Removes a request from the pending lease request that it waits for.
    fn leave_pending(&mut self, cx: &mut Context<'_>, model: &Model, upstream: &Upstream, id: u64) {
        let Some(state) = self.models.get_mut(model) else {
            return;
        };
        let Some(index) = state.pending_on(upstream) else {
            return;
        };
        let pending = &mut state.pending[index];
        pending.waiting.retain(|waiting| *waiting != id);
        if pending.waiting.is_empty() {
            self.withdraw_pending(cx, model, upstream);
        }
    }

    /// Withdraws the pending lease request at `upstream`.
    fn withdraw_pending(&mut self, cx: &mut Context<'_>, model: &Model, upstream: &Upstream) {
        if self.remove_pending(model, upstream).is_some() {
            let state = self.models.get(model);
            if state.is_some_and(|state| state.usable_lease(cx.now, upstream).is_none()) {
                self.release_lease(cx, model, upstream);
            }
        }
    }

    /// Removes the pending lease request at `upstream` without notifying the owner.
    fn remove_pending(&mut self, model: &Model, upstream: &str) -> Option<PendingLease> {
        let state = self.models.get_mut(model)?;
        let index = state.pending_on(upstream)?;
        let pending = state.pending.swap_remove(index);
        if state.pending.is_empty() {
            // Frees the memory, since most models are idle.
            state.pending = Vec::new();
            self.pending_models.retain(|pending| pending != model);
        }
        Some(pending)
    }

    /// Restores a removed pending lease request.
    fn restore_pending(&mut self, model: &Model, pending: PendingLease) {
        if !self.pending_models.contains(model) {
            self.pending_models.push(model.clone());
        }
        self.model_state(model).pending.push(pending);
    }

    /// Handles a granted request whose instance the engine does not hold: ends the lease and places
    /// the request again.
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
        if let Some(state) = self.models.get_mut(&model)
            && let Some(held) = state.leases.iter_mut().find(|h| h.instance == instance)
        {
            held.in_use = held.in_use.saturating_sub(1);
            held.until = held.until.min(cx.now);
        }
        self.release_if_unused(cx, &model, &upstream);
        self.place(cx, id);
    }

    /// Releases the lease on `upstream` unless requests run under it or a lease request is pending.
    fn release_if_unused(&mut self, cx: &mut Context<'_>, model: &Model, upstream: &Upstream) {
        let Some(state) = self.models.get(model) else {
            return;
        };
        let used = state
            .leases
            .iter()
            .any(|held| held.upstream == *upstream && held.in_use > 0);
        if !used && state.pending_on(upstream).is_none() {
            self.release_lease(cx, model, upstream);
        }
    }

    /// Performs due work: refuses overdue requests, resends lease requests and moves requests away
    /// from owners that do not answer.
    pub fn tick(&mut self, cx: &mut Context<'_>) {
        let mut index = 0;
        while index < self.pending_models.len() {
            let model = self.pending_models[index].clone();
            self.refuse_overdue(cx, &model);
            self.advance_pending(cx, &model);
            // A model without pending lease requests has been removed and the next one has taken its
            // index.
            if self.pending_models.get(index) == Some(&model) {
                index += 1;
            }
        }
    }

    /// Refuses waiting requests whose deadline is closer than the margin.
    fn refuse_overdue(&mut self, cx: &mut Context<'_>, model: &Model) {
        let Some(state) = self.models.get(model) else {
            return;
        };
        let waiting = state
            .pending
            .iter()
            .flat_map(|pending| pending.waiting.iter());
        let limit = cx.now + cx.settings.margin;
        let overdue: Vec<u64> = waiting
            .filter(|id| {
                let entry = self.requests.get(id);
                entry.is_none_or(|entry| entry.request.deadline <= limit)
            })
            .copied()
            .collect();
        for id in overdue {
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

    /// Starts requests after a head start, resends unanswered lease requests, and moves requests
    /// away from an owner that does not answer.
    fn advance_pending(&mut self, cx: &mut Context<'_>, model: &Model) {
        let Some(state) = self.models.get(model) else {
            return;
        };
        let upstreams: Vec<Upstream> = state.pending.iter().map(|w| w.upstream.clone()).collect();
        for upstream in upstreams {
            let Some(state) = self.models.get(model) else {
                return;
            };
            let Some(index) = state.pending_on(&upstream) else {
                continue;
            };
            let pending = &state.pending[index];
            if pending.start_at.is_some_and(|start| cx.now >= start)
                && let Some(lease) = state.usable_lease(cx.now, &upstream)
            {
                self.start_waiting(cx, model, &upstream, lease);
                continue;
            }
            if cx.now >= pending.last_heard + cx.settings.silence {
                self.try_other_upstreams(cx, model, &upstream, None);
                continue;
            }
            // While the request is queued, one message before the silence timeout is enough to check
            // that the owner still answers.
            let answered = pending
                .last_sent()
                .is_some_and(|last| pending.last_heard > last);
            let interval = if answered {
                cx.settings.silence.saturating_sub(cx.settings.resend)
            } else {
                cx.settings.resend
            };
            if pending
                .last_sent()
                .is_none_or(|last| cx.now >= last + interval)
            {
                self.send_lease_request(cx, model, &upstream);
            }
        }
    }

    /// Withdraws the lease request at `upstream` and places its requests on other upstreams.
    fn try_other_upstreams(
        &mut self,
        cx: &mut Context<'_>,
        model: &Model,
        upstream: &Upstream,
        retry_after: Option<Duration>,
    ) {
        let state = self.models.get(model);
        let index = state.and_then(|state| state.pending_on(upstream));
        let waiting = match (state, index) {
            (Some(state), Some(index)) => state.pending[index].waiting.clone(),
            _ => return,
        };
        self.withdraw_pending(cx, model, upstream);
        for id in waiting {
            if let Some(entry) = self.requests.get_mut(&id) {
                entry.tried.push(upstream.clone());
                entry.retry_after = retry_after
                    .unwrap_or(DEFAULT_RETRY_AFTER)
                    .max(DEFAULT_RETRY_AFTER);
            }
            self.place(cx, id);
        }
    }

    /// Sends the current state of the lease request at `upstream` to its owner.
    fn send_lease_request(&mut self, cx: &mut Context<'_>, model: &Model, upstream: &Upstream) {
        let Some(state) = self.models.get_mut(model) else {
            return;
        };
        let Some(index) = state.pending_on(upstream) else {
            return;
        };
        self.last_request += 1;
        let pending = &mut state.pending[index];
        pending.sent.push((self.last_request, cx.now));
        let requests = pending
            .waiting
            .iter()
            .filter_map(|id| self.requests.get(id));
        let mut priority = Priority::Routine;
        let mut since = cx.now;
        let mut remaining = if pending.waiting.is_empty() {
            cx.settings.lease
        } else {
            Duration::ZERO
        };
        for entry in requests {
            priority = priority.min(entry.request.priority);
            since = since.min(entry.since);
            remaining = remaining.max(entry.request.deadline.saturating_sub(cx.now));
        }
        let waiting = u32::try_from(pending.waiting.len()).unwrap_or(u32::MAX);
        let path = pending.path.clone();
        let held = state.leases.iter_mut().find(|h| h.upstream == *upstream);
        let served = held.map_or(0, |held| std::mem::take(&mut held.served));
        let message = LeaseRequest {
            upstream: upstream.clone(),
            model: model.clone(),
            path,
            number: self.last_request,
            priority,
            waiting,
            served,
            age: cx.now - since,
            remaining,
        };
        if let Some(owner) = cx.promises.owner(cx.view, upstream) {
            cx.fx.send(owner, Message::LeaseRequest(message));
        }
    }

    /// Sends the pending lease requests at `upstream` to its new owner immediately.
    pub fn owner_changed(&mut self, cx: &mut Context<'_>, upstream: &Upstream) {
        let has_pending = |model: &&Model| {
            let state = self.models.get(model);
            state.is_some_and(|state| state.pending_on(upstream).is_some())
        };
        let models: Vec<Model> = self
            .pending_models
            .iter()
            .filter(has_pending)
            .cloned()
            .collect();
        for model in models {
            self.send_lease_request(cx, &model, upstream);
        }
    }

    /// Drops the state of models without leases and without requests for eight half-lives.
    pub fn forget_idle_models(&mut self, now: Time, settings: &Settings) {
        let forget = settings.half_life * 8;
        self.models.retain(|_, state| {
            state.drop_ended_leases(now);
            let idle = now.saturating_sub(state.rate.last_update()) > forget;
            !(idle && state.pending.is_empty() && state.leases.is_empty())
        });
    }

    /// Returns the pending lease request at `upstream`.
    fn pending_mut(&mut self, model: &Model, upstream: &str) -> Option<&mut PendingLease> {
        let state = self.models.get_mut(model)?;
        let index = state.pending_on(upstream)?;
        Some(&mut state.pending[index])
    }

    /// Returns the state of `model`, created if absent.
    fn model_state(&mut self, model: &Model) -> &mut ModelState {
        if !self.models.contains_key(model) {
            self.models.insert(model.clone(), ModelState::default());
        }
        self.models.get_mut(model).expect("just inserted")
    }
}
