//! Requests of this node, and the asks and leases by which it places them.
//!
//! A request takes a lease at hand where there is one on a home that is not overloaded; otherwise
//! it joins the ask at the model's best home. An owner that denies or is silent is passed over
//! for the next upstream; a request that no upstream can serve in time is refused.

pub mod local;
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

use local::{Local, Want};

/// Upstreams that one request tries at most.
const TRIES: usize = 4;

/// Time after which a refused request may be tried again where no owner named one.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Requests expected within one lease above which the lease is kept between them.
const KEEP: f32 = 1.0;

/// Where a request is.
#[derive(Clone, Debug, PartialEq)]
enum Stage {
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
struct Entry {
    request: Request,
    stage: Stage,
    tried: Vec<Upstream>,
    since: Time,
    retry_after: Duration,
}

/// Upstreams that a pool's demand is concentrated on.
#[derive(Clone, Debug)]
struct Pack {
    pool: Pool,
    active: usize,
    shrunk: Time,
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
    requests: HashMap<wire::Request, Entry>,
    models: HashMap<Model, Local>,
    active: Vec<Model>,
    order: Vec<(u64, usize)>,
    packs: Vec<Pack>,
    number: RequestNumber,
    service: f64,
}

impl Default for Holder {
    fn default() -> Self {
        Self {
            requests: HashMap::new(),
            models: HashMap::new(),
            active: Vec::new(),
            order: Vec::new(),
            packs: Vec::new(),
            number: 0,
            service: 1.0,
        }
    }
}

impl Holder {
    /// Tells whether asks are under way.
    pub fn has_pending_work(&self) -> bool {
        !self.active.is_empty()
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
        self.popular(cx, &request);
        let id = request.id;
        let tried = request.avoid.clone();
        let entry = Entry {
            request,
            stage: Stage::Waiting("".into()),
            tried,
            since: cx.now,
            retry_after: RETRY_AFTER,
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
        match entry.stage {
            Stage::Waiting(upstream) => self.leave(cx, &model, &upstream, id),
            Stage::Running {
                upstream,
                instance,
                since,
            } => {
                let took = cx.now.saturating_sub(since).as_secs_f64();
                self.service = self.service * 0.95 + took * 0.05;
                self.ended(cx, &model, &upstream, &instance);
            }
        }
    }

    fn ended(&mut self, cx: &mut Context<'_>, model: &Model, upstream: &Upstream, on: &str) {
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
        if idle && expected < KEEP && local.want(upstream).is_none() {
            self.release(cx, model, upstream);
        }
        if let Some(local) = self.models.get_mut(model) {
            local.tidy(cx.now);
        }
    }

    /// Gives the lease on `upstream` back, and takes the ask there off.
    fn release(&mut self, cx: &mut Context<'_>, model: &Model, upstream: &Upstream) {
        if let Some(local) = self.models.get_mut(model) {
            let gone = |held: &local::Held| held.upstream == *upstream && held.in_use == 0;
            local.leases.retain(|held| !gone(held));
            local.trim();
            if local.leases.iter().any(|held| held.upstream == *upstream) {
                return;
            }
        }
        self.number += 1;
        let message = Message::Release {
            upstream: upstream.clone(),
            model: model.clone(),
            number: self.number,
        };
        if let Some(owner) = cx.promises.owner(cx.view, upstream) {
            cx.fx.send(owner, message);
        }
    }

    /// Takes a request off the ask that it waits for.
    fn leave(&mut self, cx: &mut Context<'_>, model: &Model, upstream: &Upstream, id: u64) {
        let Some(local) = self.models.get_mut(model) else {
            return;
        };
        let Some(index) = local.want(upstream) else {
            return;
        };
        let want = &mut local.wants[index];
        want.waiting.retain(|waiting| *waiting != id);
        if want.waiting.is_empty() {
            self.withdraw(cx, model, upstream);
        }
    }

    /// Ends the ask at `upstream`.
    fn withdraw(&mut self, cx: &mut Context<'_>, model: &Model, upstream: &Upstream) {
        if self.close(model, upstream).is_some() {
            let local = self.models.get(model);
            if local.is_some_and(|local| local.lease(cx.now, upstream).is_none()) {
                self.release(cx, model, upstream);
            }
        }
    }

    /// Takes the ask at `upstream` away without a word.
    fn close(&mut self, model: &Model, upstream: &str) -> Option<Want> {
        let local = self.models.get_mut(model)?;
        let index = local.want(upstream)?;
        let want = local.wants.swap_remove(index);
        if local.wants.is_empty() {
            // Most models are idle; their room is not kept.
            local.wants = Vec::new();
            self.active.retain(|active| active != model);
        }
        Some(want)
    }

    /// Puts an ask back that was closed.
    fn reopen(&mut self, model: &Model, want: Want) {
        if !self.active.contains(model) {
            self.active.push(model.clone());
        }
        self.known(model).wants.push(want);
    }

    /// Takes the news that the engine does not hold a granted request's instance: the lease on it
    /// is void, and the request is placed anew.
    pub fn handle_missing_instance(&mut self, cx: &mut Context<'_>, id: wire::Request) {
        let Some(entry) = self.requests.get(&id) else {
            return;
        };
        let Stage::Running {
            upstream, instance, ..
        } = entry.stage.clone()
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
        self.release_void(cx, &model, &upstream);
        self.place(cx, id);
    }

    /// Gives back a lease that is void, where nothing else runs on it.
    fn release_void(&mut self, cx: &mut Context<'_>, model: &Model, upstream: &Upstream) {
        let Some(local) = self.models.get(model) else {
            return;
        };
        let used = local
            .leases
            .iter()
            .any(|held| held.upstream == *upstream && held.in_use > 0);
        if !used && local.want(upstream).is_none() {
            self.release(cx, model, upstream);
        }
    }

    /// Does what is due: refuses requests whose time is up, asks again, passes silent owners over.
    pub fn tick(&mut self, cx: &mut Context<'_>) {
        let mut index = 0;
        while index < self.active.len() {
            let model = self.active[index].clone();
            self.overdue(cx, &model);
            self.renew(cx, &model);
            // A model whose last ask ended has left the list, and another took its place.
            if self.active.get(index) == Some(&model) {
                index += 1;
            }
        }
    }

    fn overdue(&mut self, cx: &mut Context<'_>, model: &Model) {
        let Some(local) = self.models.get(model) else {
            return;
        };
        let waiting = local.wants.iter().flat_map(|want| want.waiting.iter());
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
        if let Stage::Waiting(upstream) = entry.stage {
            self.leave(cx, &entry.request.model, &upstream, id);
        }
        cx.fx.push(Action::Refuse {
            request: id,
            reason,
            retry_after: entry.retry_after,
        });
    }

    /// Asks again where an answer is due, and moves on from an owner that is silent.
    fn renew(&mut self, cx: &mut Context<'_>, model: &Model) {
        let Some(local) = self.models.get(model) else {
            return;
        };
        let upstreams: Vec<Upstream> = local.wants.iter().map(|w| w.upstream.clone()).collect();
        for upstream in upstreams {
            let Some(local) = self.models.get(model) else {
                return;
            };
            let Some(index) = local.want(&upstream) else {
                continue;
            };
            let want = &local.wants[index];
            if want.start.is_some_and(|start| cx.now >= start)
                && let Some(lease) = local.lease(cx.now, &upstream)
            {
                self.begin(cx, model, &upstream, lease);
                continue;
            }
            if cx.now >= want.heard + cx.settings.silence {
                self.pass(cx, model, &upstream, None);
                continue;
            }
            // A queued ask needs no more than a sign of life before the owner counts as silent.
            let answered = want.last().is_some_and(|last| want.heard > last);
            let pause = if answered {
                cx.settings.silence.saturating_sub(cx.settings.resend)
            } else {
                cx.settings.resend
            };
            if want.last().is_none_or(|last| cx.now >= last + pause) {
                self.send(cx, model, &upstream);
            }
        }
    }

    /// Ends the ask at `upstream` and places its requests elsewhere.
    fn pass(
        &mut self,
        cx: &mut Context<'_>,
        model: &Model,
        upstream: &Upstream,
        after: Option<Duration>,
    ) {
        let local = self.models.get(model);
        let index = local.and_then(|local| local.want(upstream));
        let waiting = match (local, index) {
            (Some(local), Some(index)) => local.wants[index].waiting.clone(),
            _ => return,
        };
        self.withdraw(cx, model, upstream);
        for id in waiting {
            if let Some(entry) = self.requests.get_mut(&id) {
                entry.tried.push(upstream.clone());
                entry.retry_after = after.unwrap_or(RETRY_AFTER).max(RETRY_AFTER);
            }
            self.place(cx, id);
        }
    }

    /// Sends the ask at `upstream` to its owner, as it stands now.
    fn send(&mut self, cx: &mut Context<'_>, model: &Model, upstream: &Upstream) {
        let Some(local) = self.models.get_mut(model) else {
            return;
        };
        let Some(index) = local.want(upstream) else {
            return;
        };
        self.number += 1;
        let want = &mut local.wants[index];
        want.sent.push((self.number, cx.now));
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
            number: self.number,
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
            local.is_some_and(|local| local.want(upstream).is_some())
        };
        let models: Vec<Model> = self.active.iter().filter(asks).cloned().collect();
        for model in models {
            self.send(cx, &model, upstream);
        }
    }

    /// Forgets models that nobody has asked for within a while.
    pub fn forget_idle_models(&mut self, now: Time, settings: &Settings) {
        let forget = settings.half_life * 8;
        self.models.retain(|_, local| {
            local.tidy(now);
            let old = now.saturating_sub(local.rate.last_update()) > forget;
            !(old && local.wants.is_empty() && local.leases.is_empty())
        });
    }

    fn known(&mut self, model: &Model) -> &mut Local {
        if !self.models.contains_key(model) {
            self.models.insert(model.clone(), Local::default());
        }
        self.models.get_mut(model).expect("just inserted")
    }
}
