//! Placement of a request: choice of the upstream, and the number of homes per model.

use std::time::Duration;

use wire::{Model, Priority, Time, Upstream};

use super::model::PendingLease;
use super::{Context, Holder, MAX_TRIES, PoolPacking, RequestEntry, RequestState};
use crate::action::{Action, Note, Reason};
use crate::demand;
use crate::event::{Pool, Request, WeightsPath};
use crate::settings::Settings;
use crate::upstreams::{PoolLoad, Target};

/// Minimum time between two changes of a model's number of homes.
const HOMES_CHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// Number of sequences by which a cached prefix reduces the load in comparisons.
const CACHED_PREFIX_DISCOUNT: f64 = 4.0;

/// Value of [`Settings::load_stalls`] from which demand is spread over the least loaded homes.
const SPREAD_THRESHOLD: f64 = 0.5;

/// Upstreams added to those that the load needs, for slots that wait or load.
const SPARE_UPSTREAMS: usize = 1;

/// Minimum time between two decreases of the number of upstreams on which a pool's demand is
/// concentrated.
const PACKING_SHRINK_INTERVAL: Duration = Duration::from_secs(15);

/// An upstream, by its index, with its rank for a model.
#[derive(Clone, Copy)]
struct RankedUpstream {
    rank: usize,
    upstream: usize,
}

/// Decision for one request.
enum Placement {
    /// Run immediately under the lease with this index.
    RunNow(usize, RankedUpstream),
    /// Wait for a lease.
    WaitForLease(RankedUpstream),
    /// No upstream is left to try.
    NoUpstream,
}

impl Holder {
    /// Records a request and adjusts the model's number of homes.
    pub(super) fn record_demand(&mut self, cx: &mut Context<'_>, request: &Request) {
        let service = self.mean_service_time;
        let settings = cx.settings;
        let model = &request.model;
        let nodes = cx.nodes();
        let pool = cx
            .upstreams
            .pool_load(cx.now, nodes, &request.pool, &request.base);
        let (max_homes, batch) = (pool.upstreams, pool.max_batch);
        self.update_packing(cx.now, &request.pool, pool, settings);
        let now = cx.now;
        let state = self.model_state(model);
        state.rate.record(now, 1, settings.half_life);
        let before = state.homes.max(1);
        state.homes = before;
        if now < state.homes_changed_at + HOMES_CHANGE_INTERVAL {
            return;
        }
        let sequences = f64::from(state.rate.short_term(now)) * f64::from(nodes) * service;
        let capacity = f64::from(batch) * settings.fill;
        let after = demand::adjust_homes(before, sequences, capacity.max(1.0), max_homes.max(1));
        if after != before {
            state.homes = after;
            state.homes_changed_at = now;
            let model = model.clone();
            cx.fx.note(Note::Homes {
                model,
                before,
                after,
            });
        }
    }

    /// Adjusts the number of upstreams on which a pool's demand is concentrated, if the settings
    /// prefer full batches to short load stalls.
    fn update_packing(&mut self, now: Time, pool: &Pool, load: PoolLoad, settings: &Settings) {
        let index = self
            .packings
            .iter()
            .position(|packing| packing.pool == *pool);
        let index = index.unwrap_or_else(|| {
            self.packings.push(PoolPacking {
                pool: pool.clone(),
                active: usize::MAX,
                changed_at: now,
            });
            self.packings.len() - 1
        });
        let packing = &mut self.packings[index];
        if settings.load_stalls >= SPREAD_THRESHOLD {
            packing.active = usize::MAX;
            return;
        }
        let capacity = f64::from(load.max_batch.max(1)) * settings.fill;
        let by_batch = (f64::from(load.sequences) / capacity).ceil() as usize;
        let by_slots = load.busy_instances.div_ceil(load.slots.max(1));
        let needed = by_batch.max(by_slots) + SPARE_UPSTREAMS;
        let needed = needed.min(load.upstreams);
        if needed >= packing.active {
            packing.active = needed;
            packing.changed_at = now;
        } else if now >= packing.changed_at + PACKING_SHRINK_INTERVAL {
            packing.active = packing
                .active
                .min(load.upstreams)
                .saturating_sub(1)
                .max(needed);
            packing.changed_at = now;
        }
    }

    /// Returns the live upstreams on which a request for `model` would be tried, in order, starting
    /// with the model's homes. Existing leases and load can make a later home preferable.
    pub fn ranking(
        &self,
        choice: &crate::upstreams::UpstreamTable,
        model: &Model,
        pool: &crate::event::Pool,
        base: &wire::Base,
    ) -> Vec<wire::Upstream> {
        let mut order = Vec::new();
        choice.rank_for_model(
            model,
            pool,
            base,
            0,
            self.active_upstreams(pool),
            &mut order,
        );
        let targets = choice.targets();
        let ids = order
            .iter()
            .map(|(_, index)| targets[*index].facts.id.clone());
        ids.collect()
    }

    /// Returns the number of upstreams on which the pool's demand is concentrated.
    fn active_upstreams(&self, pool: &Pool) -> usize {
        let packing = self.packings.iter().find(|packing| packing.pool == *pool);
        packing.map_or(usize::MAX, |packing| packing.active)
    }

    /// Places a request that has no pending lease request.
    pub(super) fn place(&mut self, cx: &mut Context<'_>, id: wire::Request) {
        let Some(entry) = self.requests.get(&id) else {
            return;
        };
        if entry.request.deadline <= cx.now {
            refuse_entry(&mut self.requests, cx, id, Reason::Deadline);
            return;
        }
        let Request {
            model, pool, base, ..
        } = &entry.request;
        let homes = self.models.get(model).map_or(1, |state| state.homes.max(1));
        let count = homes + MAX_TRIES + entry.tried.len();
        let active = self.active_upstreams(pool);
        cx.upstreams
            .rank_for_model(model, pool, base, count, active, &mut self.ranked);
        match self.choose_upstream(cx, entry, homes) {
            Placement::RunNow(lease, candidate) => self.run_under_lease(cx, id, lease, candidate),
            Placement::WaitForLease(candidate) => self.wait_for_lease(cx, id, candidate),
            Placement::NoUpstream => {
                let none = self.ranked.is_empty();
                let reason = if none {
                    Reason::NoUpstream
                } else {
                    Reason::Denied
                };
                refuse_entry(&mut self.requests, cx, id, reason);
            }
        }
    }

    /// Returns whether a request that waits at `upstream` could try another one.
    pub(super) fn has_alternative(
        &self,
        cx: &Context<'_>,
        id: wire::Request,
        upstream: &Upstream,
    ) -> bool {
        let Some(RequestEntry { request, tried, .. }) = self.requests.get(&id) else {
            return false;
        };
        let refused = tried.len().saturating_sub(request.avoid.len());
        let is_other = |target: &Target| {
            let id = &target.facts.id;
            target.serves(&request.pool, &request.base) && id != upstream && !tried.contains(id)
        };
        refused + 1 < MAX_TRIES && cx.upstreams.targets().iter().any(is_other)
    }

    /// Chooses the cheapest leased upstream, or one at which to request a lease.
    fn choose_upstream(&self, cx: &Context<'_>, entry: &RequestEntry, homes: usize) -> Placement {
        let request = &entry.request;
        let Some(state) = self.models.get(&request.model) else {
            return Placement::NoUpstream;
        };
        let refused = entry.tried.len() - request.avoid.len().min(entry.tried.len());
        let mut best: Option<(f64, Placement)> = None;
        let mut wait: Option<RankedUpstream> = None;
        let mut fallback: Option<RankedUpstream> = None;
        let mut rank = 0;
        let nodes = cx.nodes();
        for (_, upstream) in &self.ranked {
            let target = &cx.upstreams.targets()[*upstream];
            if entry.tried.contains(&target.facts.id) {
                continue;
            }
            let candidate = RankedUpstream {
                rank,
                upstream: *upstream,
            };
            if let Some(lease) = state.usable_lease(cx.now, &target.facts.id)
                && !state.leases[lease].must_wait(cx.now, request.priority)
            {
                let load = target.estimated_load(cx.now, nodes);
                let cost = lease_cost(target, load, request, rank, cx.settings.load_stalls);
                let run = Placement::RunNow(lease, candidate);
                if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                    best = Some((cost, run));
                }
            }
            fallback = fallback.or(Some(candidate));
            let has_room = target.estimated_load(cx.now, nodes) < target.facts.max_batch;
            let is_pending = state.pending_on(&target.facts.id).is_some();
            if wait.is_none() && (has_room || is_pending) && rank < homes + MAX_TRIES {
                wait = Some(candidate);
            }
            rank += 1;
        }
        if let Some((cost, run)) = best
            && (cost < FULL_BATCH_COST || wait.is_none())
        {
            return run;
        }
        let wait = self.resident_home(cx, entry).or(wait);
        match wait.or(fallback) {
            Some(candidate) if refused < MAX_TRIES => Placement::WaitForLease(candidate),
            _ => Placement::NoUpstream,
        }
    }

    /// Returns the upstream at which the model of an urgent request has started last, if it is
    /// likely to be resident there still.
    ///
    /// The nodes concentrate demand on fewer upstreams at different times. An urgent request that
    /// followed at once would wait for a load while less urgent ones run at the former home.
    fn resident_home(&self, cx: &Context<'_>, entry: &RequestEntry) -> Option<RankedUpstream> {
        let request = &entry.request;
        if request.priority != Priority::Urgent {
            return None;
        }
        let (home, used_at) = self.models.get(&request.model)?.last_home.as_ref()?;
        let upstream = cx.upstreams.live(home, &request.pool, &request.base)?;
        let has_room = {
            let target = &cx.upstreams.targets()[upstream];
            target.estimated_load(cx.now, cx.nodes()) < target.facts.max_batch
        };
        if cx.now >= *used_at + cx.settings.lease || entry.tried.contains(home) || !has_room {
            return None;
        }
        let rank = self.ranked.iter().position(|(_, index)| *index == upstream);
        Some(RankedUpstream {
            rank: rank.unwrap_or(self.ranked.len()),
            upstream,
        })
    }

    fn run_under_lease(
        &mut self,
        cx: &mut Context<'_>,
        id: wire::Request,
        lease: usize,
        candidate: RankedUpstream,
    ) {
        self.log_choice(cx, id, candidate, true);
        let target = &cx.upstreams.targets()[candidate.upstream];
        let (upstream, load) = (
            target.facts.id.clone(),
            target.estimated_load(cx.now, cx.nodes()),
        );
        let full = f64::from(load) >= f64::from(target.facts.max_batch) * cx.settings.fill;
        let request = &self.requests[&id].request;
        let (model, path) = (request.model.clone(), request.path.clone());
        self.grant_request(cx, id, lease);
        if full {
            self.extend_to_next_home(cx, &model, path, candidate.rank);
        }
        self.renew_lease(cx, &model, &upstream);
    }

    /// Grants a request under an existing lease.
    pub(super) fn grant_request(&mut self, cx: &mut Context<'_>, id: wire::Request, lease: usize) {
        let Some(entry) = self.requests.get_mut(&id) else {
            return;
        };
        let model = entry.request.model.clone();
        let Some(state) = self.models.get_mut(&model) else {
            return;
        };
        let held = &mut state.leases[lease];
        held.in_use += 1;
        held.served += 1;
        state.last_home = Some((held.upstream.clone(), cx.now));
        entry.state = RequestState::Running {
            upstream: held.upstream.clone(),
            instance: held.instance.clone(),
            since: cx.now,
        };
        cx.upstreams.request_started(cx.now, &held.upstream);
        cx.fx.push(Action::Grant {
            request: id,
            upstream: held.upstream.clone(),
            instance: held.instance.clone(),
            model,
            lease: held.lease,
            fence: held.fence,
            until: held.until,
        });
    }

    /// Requests the renewal of a used lease when less than a third of its time is left.
    fn renew_lease(&mut self, cx: &mut Context<'_>, model: &Model, upstream: &Upstream) {
        let Some(state) = self.models.get(model) else {
            return;
        };
        let Some(lease) = state.usable_lease(cx.now, upstream) else {
            return;
        };
        let remaining = state.leases[lease].until.saturating_sub(cx.now);
        if remaining < cx.settings.lease / 3 && state.pending_on(upstream).is_none() {
            self.open_pending(cx.now, model, upstream, None, None);
            self.send_lease_request(cx, model, upstream);
        }
    }

    /// Requests a lease on the next home of a model whose leased homes are full, so that it is
    /// loaded there as well.
    fn extend_to_next_home(
        &mut self,
        cx: &mut Context<'_>,
        model: &Model,
        path: WeightsPath,
        rank: usize,
    ) {
        let Some(state) = self.models.get(model) else {
            return;
        };
        if rank + 1 >= state.homes {
            return;
        }
        let leased = state.leases.iter().filter(|h| h.until > cx.now).count();
        if leased + state.pending.len() >= state.homes {
            return;
        }
        let targets = cx.upstreams.targets();
        let next = self
            .ranked
            .iter()
            .map(|(_, index)| &targets[*index].facts.id);
        let next = next
            .take(state.homes)
            .find(|id| state.usable_lease(cx.now, id).is_none() && state.pending_on(id).is_none());
        if let Some(next) = next.cloned() {
            self.open_pending(cx.now, model, &next, None, Some(path));
            self.send_lease_request(cx, model, &next);
        }
    }

    fn wait_for_lease(
        &mut self,
        cx: &mut Context<'_>,
        id: wire::Request,
        candidate: RankedUpstream,
    ) {
        self.log_choice(cx, id, candidate, false);
        let upstream = cx.upstreams.targets()[candidate.upstream].facts.id.clone();
        let request = &self.requests[&id].request;
        let (model, path) = (request.model.clone(), request.path.clone());
        if let Some(entry) = self.requests.get_mut(&id) {
            entry.state = RequestState::Waiting(upstream.clone());
        }
        let notify = self.must_notify_owner(id, &model, &upstream);
        self.open_pending(cx.now, &model, &upstream, Some(id), Some(path));
        if notify {
            self.send_lease_request(cx, &model, &upstream);
        }
    }

    /// Returns whether the owner must be notified of a request that joins a pending lease request:
    /// it is the first, is more urgent than the others, or finds a power of two of them waiting.
    fn must_notify_owner(&self, id: wire::Request, model: &Model, upstream: &str) -> bool {
        let state = self.models.get(model);
        let Some((state, index)) =
            state.and_then(|state| state.pending_on(upstream).map(|index| (state, index)))
        else {
            return true;
        };
        let waiting = &state.pending[index].waiting;
        let priority = |id: &u64| self.requests.get(id).map(|e| e.request.priority);
        let highest = waiting.iter().filter_map(priority).min();
        let raised = highest.is_none_or(|highest| priority(&id).is_some_and(|own| own < highest));
        raised || waiting.len().is_power_of_two()
    }

    pub(super) fn open_pending(
        &mut self,
        now: Time,
        model: &Model,
        upstream: &Upstream,
        id: Option<wire::Request>,
        path: Option<WeightsPath>,
    ) {
        if !self.pending_models.contains(model) {
            self.pending_models.push(model.clone());
        }
        let state = self.model_state(model);
        let index = state.pending_on(upstream).unwrap_or_else(|| {
            state.pending.push(PendingLease {
                upstream: upstream.clone(),
                sent: Vec::new(),
                last_heard: now,
                waiting: Vec::new(),
                path: None,
                start_at: None,
            });
            state.pending.len() - 1
        });
        let pending = &mut state.pending[index];
        pending.waiting.extend(id);
        pending.path = pending.path.take().or(path);
    }

    /// Logs the choice of an upstream for a request.
    fn log_choice(
        &self,
        cx: &mut Context<'_>,
        id: wire::Request,
        candidate: RankedUpstream,
        leased: bool,
    ) {
        let target = &cx.upstreams.targets()[candidate.upstream];
        let model = &self.requests[&id].request.model;
        let note = Note::Chosen {
            request: id,
            model: model.clone(),
            upstream: target.facts.id.clone(),
            rank: candidate.rank,
            homes: self.home_count(model),
            leased,
            load: target.estimated_load(cx.now, cx.nodes()),
            alternatives: self.ranked.len().saturating_sub(1),
        };
        cx.fx.note(note);
    }
}

/// Cost from which an upstream's batch is full.
const FULL_BATCH_COST: f64 = 1.0;

/// Returns the cost by which leased homes are compared: the load if the settings prefer short load
/// stalls or the batch is full, otherwise the rank.
fn lease_cost(target: &Target, load: u32, request: &Request, rank: usize, load_stalls: f64) -> f64 {
    let cached = request
        .prefix
        .is_some_and(|prefix| target.has_cached_prefix(prefix));
    let discount = if cached { CACHED_PREFIX_DISCOUNT } else { 0.0 };
    let batch = f64::from(target.facts.max_batch.max(1));
    let load = (f64::from(load) - discount).max(0.0) / batch;
    if load_stalls >= SPREAD_THRESHOLD || load >= FULL_BATCH_COST {
        return load;
    }
    // Ranks are far below 1000, so the result stays below the cost of a full batch.
    rank as f64 / 1000.0
}

/// Removes and refuses a request.
fn refuse_entry(
    requests: &mut std::collections::HashMap<wire::Request, RequestEntry>,
    cx: &mut Context<'_>,
    id: wire::Request,
    reason: Reason,
) {
    if let Some(entry) = requests.remove(&id) {
        cx.fx.push(Action::Refuse {
            request: id,
            reason,
            retry_after: entry.retry_after,
        });
    }
}
