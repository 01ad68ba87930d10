//! The choice for one request.

use std::time::Duration;

use wire::{Model, Time, Upstream};

use super::model::PendingLease;
use super::{Context, Holder, MAX_TRIES, PoolPacking, RequestEntry, RequestState};
use crate::action::{Action, Note, Reason};
use crate::demand;
use crate::event::{Pool, Request, WeightsPath};
use crate::settings::Settings;
use crate::upstreams::{PoolLoad, Target};

/// Time between two changes of a model's number of homes.
const HOMES_CHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// Sequences that a cached prefix is worth in the comparison of loads.
const CACHED_PREFIX_DISCOUNT: f64 = 4.0;

/// Setting of load stalls from which on demand is spread over the least loaded homes.
const SPREAD_THRESHOLD: f64 = 0.5;

/// Upstreams beyond those that the sequences fill, for slots that wait or load.
const SPARE_UPSTREAMS: usize = 1;

/// Time between two steps down of the upstreams that a pool's demand is concentrated on.
const PACKING_SHRINK_INTERVAL: Duration = Duration::from_secs(15);

/// An upstream with its place in a model's order.
#[derive(Clone, Copy)]
struct RankedUpstream {
    rank: usize,
    upstream: usize,
}

/// Where a request goes.
enum Placement {
    /// It runs at once under the lease with this index.
    RunNow(usize, RankedUpstream),
    /// It waits for a lease.
    WaitForLease(RankedUpstream),
    /// Nothing is left to try.
    NoUpstream,
}

impl Holder {
    /// Counts a request and adapts the model's number of homes.
    pub(super) fn record_demand(&mut self, cx: &mut Context<'_>, request: &Request) {
        let service = self.mean_service_time;
        let settings = cx.settings;
        let model = &request.model;
        let nodes = cx.nodes();
        let pool = cx
            .upstreams
            .pool_load(cx.now, nodes, &request.pool, &request.base);
        let (most, batch) = (pool.upstreams, pool.max_batch);
        self.update_packing(cx.now, &request.pool, pool, settings);
        let now = cx.now;
        let local = self.model_state(model);
        local.rate.record(now, 1, settings.half_life);
        let before = local.homes.max(1);
        local.homes = before;
        if now < local.homes_changed_at + HOMES_CHANGE_INTERVAL {
            return;
        }
        let sequences = f64::from(local.rate.short_term(now)) * f64::from(nodes) * service;
        let capacity = f64::from(batch) * settings.fill;
        let after = demand::adjust_homes(before, sequences, capacity.max(1.0), most.max(1));
        if after != before {
            local.homes = after;
            local.homes_changed_at = now;
            let model = model.clone();
            cx.fx.note(Note::Homes {
                model,
                before,
                after,
            });
        }
    }

    /// Adapts the number of upstreams that a pool's demand is concentrated on, where full batches
    /// matter more than load stalls.
    fn update_packing(&mut self, now: Time, pool: &Pool, load: PoolLoad, settings: &Settings) {
        let index = self.packings.iter().position(|pack| pack.pool == *pool);
        let index = index.unwrap_or_else(|| {
            self.packings.push(PoolPacking {
                pool: pool.clone(),
                active: usize::MAX,
                changed_at: now,
            });
            self.packings.len() - 1
        });
        let pack = &mut self.packings[index];
        if settings.load_stalls >= SPREAD_THRESHOLD {
            pack.active = usize::MAX;
            return;
        }
        let carried = f64::from(load.max_batch.max(1)) * settings.fill;
        let by_batch = (f64::from(load.sequences) / carried).ceil() as usize;
        let by_slots = load.busy_instances.div_ceil(load.slots.max(1));
        let needed = by_batch.max(by_slots) + SPARE_UPSTREAMS;
        let needed = needed.min(load.upstreams);
        if needed >= pack.active {
            pack.active = needed;
            pack.changed_at = now;
        } else if now >= pack.changed_at + PACKING_SHRINK_INTERVAL {
            pack.active = pack
                .active
                .min(load.upstreams)
                .saturating_sub(1)
                .max(needed);
            pack.changed_at = now;
        }
    }

    /// Returns the live upstreams that a request for `model` would be tried on, in their order; the
    /// adapter's homes come first. Leases at hand and load may prefer a later home.
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

    fn active_upstreams(&self, pool: &Pool) -> usize {
        let pack = self.packings.iter().find(|pack| pack.pool == *pool);
        pack.map_or(usize::MAX, |pack| pack.active)
    }

    /// Places a request that waits for nothing.
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
        let homes = self.models.get(model).map_or(1, |local| local.homes.max(1));
        let count = homes + MAX_TRIES + entry.tried.len();
        let active = self.active_upstreams(pool);
        cx.upstreams
            .rank_for_model(model, pool, base, count, active, &mut self.ranked);
        match self.choose_upstream(cx, entry, homes) {
            Placement::RunNow(lease, spot) => self.run_under_lease(cx, id, lease, spot),
            Placement::WaitForLease(spot) => self.wait_for_lease(cx, id, spot),
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

    fn choose_upstream(&self, cx: &Context<'_>, entry: &RequestEntry, homes: usize) -> Placement {
        let request = &entry.request;
        let Some(local) = self.models.get(&request.model) else {
            return Placement::NoUpstream;
        };
        let refused = entry.tried.len() - request.avoid.len().min(entry.tried.len());
        let mut best: Option<(f64, Placement)> = None;
        let mut wait: Option<RankedUpstream> = None;
        let mut first: Option<RankedUpstream> = None;
        let mut rank = 0;
        let nodes = cx.nodes();
        for (_, upstream) in &self.ranked {
            let target = &cx.upstreams.targets()[*upstream];
            if entry.tried.contains(&target.facts.id) {
                continue;
            }
            let spot = RankedUpstream {
                rank,
                upstream: *upstream,
            };
            if let Some(lease) = local.usable_lease(cx.now, &target.facts.id)
                && !local.leases[lease].must_wait(cx.now, request.priority)
            {
                let load = target.estimated_load(cx.now, nodes);
                let cost = lease_cost(target, load, request, rank, cx.settings.load_stalls);
                let run = Placement::RunNow(lease, spot);
                if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                    best = Some((cost, run));
                }
            }
            first = first.or(Some(spot));
            let open = target.estimated_load(cx.now, nodes) < target.facts.max_batch;
            let asked = local.pending_on(&target.facts.id).is_some();
            if wait.is_none() && (open || asked) && rank < homes + MAX_TRIES {
                wait = Some(spot);
            }
            rank += 1;
        }
        if let Some((cost, run)) = best
            && (cost < FULL_BATCH_COST || wait.is_none())
        {
            return run;
        }
        match wait.or(first) {
            Some(spot) if refused < MAX_TRIES => Placement::WaitForLease(spot),
            _ => Placement::NoUpstream,
        }
    }

    fn run_under_lease(
        &mut self,
        cx: &mut Context<'_>,
        id: wire::Request,
        lease: usize,
        spot: RankedUpstream,
    ) {
        self.log_choice(cx, id, spot, true);
        let target = &cx.upstreams.targets()[spot.upstream];
        let (upstream, load) = (
            target.facts.id.clone(),
            target.estimated_load(cx.now, cx.nodes()),
        );
        let full = f64::from(load) >= f64::from(target.facts.max_batch) * cx.settings.fill;
        let request = &self.requests[&id].request;
        let (model, path) = (request.model.clone(), request.path.clone());
        self.grant_request(cx, id, lease);
        if full {
            self.extend_to_next_home(cx, &model, path, spot.rank);
        }
        self.renew_lease(cx, &model, &upstream);
    }

    /// Grants a request under a lease at hand.
    pub(super) fn grant_request(&mut self, cx: &mut Context<'_>, id: wire::Request, lease: usize) {
        let Some(entry) = self.requests.get_mut(&id) else {
            return;
        };
        let model = entry.request.model.clone();
        let Some(local) = self.models.get_mut(&model) else {
            return;
        };
        let held = &mut local.leases[lease];
        held.in_use += 1;
        held.served += 1;
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

    /// Renews a lease that is in demand before it ends.
    fn renew_lease(&mut self, cx: &mut Context<'_>, model: &Model, upstream: &Upstream) {
        let Some(local) = self.models.get(model) else {
            return;
        };
        let Some(lease) = local.usable_lease(cx.now, upstream) else {
            return;
        };
        let left = local.leases[lease].until.saturating_sub(cx.now);
        if left < cx.settings.lease / 3 && local.pending_on(upstream).is_none() {
            self.open_pending(cx.now, model, upstream, None, None);
            self.send_lease_request(cx, model, upstream);
        }
    }

    /// Asks the next home of a model whose leased homes are full to load it as well.
    fn extend_to_next_home(
        &mut self,
        cx: &mut Context<'_>,
        model: &Model,
        path: WeightsPath,
        rank: usize,
    ) {
        let Some(local) = self.models.get(model) else {
            return;
        };
        if rank + 1 >= local.homes {
            return;
        }
        let leased = local.leases.iter().filter(|h| h.until > cx.now).count();
        if leased + local.pending.len() >= local.homes {
            return;
        }
        let targets = cx.upstreams.targets();
        let next = self
            .ranked
            .iter()
            .map(|(_, index)| &targets[*index].facts.id);
        let next = next
            .take(local.homes)
            .find(|id| local.usable_lease(cx.now, id).is_none() && local.pending_on(id).is_none());
        if let Some(next) = next.cloned() {
            self.open_pending(cx.now, model, &next, None, Some(path));
            self.send_lease_request(cx, model, &next);
        }
    }

    fn wait_for_lease(&mut self, cx: &mut Context<'_>, id: wire::Request, spot: RankedUpstream) {
        self.log_choice(cx, id, spot, false);
        let upstream = cx.upstreams.targets()[spot.upstream].facts.id.clone();
        let request = &self.requests[&id].request;
        let (model, path) = (request.model.clone(), request.path.clone());
        if let Some(entry) = self.requests.get_mut(&id) {
            entry.state = RequestState::Waiting(upstream.clone());
        }
        let more = self.must_notify_owner(id, &model, &upstream);
        self.open_pending(cx.now, &model, &upstream, Some(id), Some(path));
        if more {
            self.send_lease_request(cx, &model, &upstream);
        }
    }

    /// Tells whether a request that joins an ask has to be told to the owner: it is the first, more
    /// urgent than the others, or one that doubles their number.
    fn must_notify_owner(&self, id: wire::Request, model: &Model, upstream: &str) -> bool {
        let local = self.models.get(model);
        let Some((local, index)) = local.and_then(|l| l.pending_on(upstream).map(|i| (l, i)))
        else {
            return true;
        };
        let waiting = &local.pending[index].waiting;
        let priority = |id: &u64| self.requests.get(id).map(|e| e.request.priority);
        let best = waiting.iter().filter_map(priority).min();
        let raised = best.is_none_or(|best| priority(&id).is_some_and(|own| own < best));
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
        let local = self.model_state(model);
        let index = local.pending_on(upstream).unwrap_or_else(|| {
            local.pending.push(PendingLease {
                upstream: upstream.clone(),
                sent: Vec::new(),
                last_heard: now,
                waiting: Vec::new(),
                path: None,
                start_at: None,
            });
            local.pending.len() - 1
        });
        let want = &mut local.pending[index];
        want.waiting.extend(id);
        want.path = want.path.take().or(path);
    }

    fn log_choice(
        &self,
        cx: &mut Context<'_>,
        id: wire::Request,
        spot: RankedUpstream,
        leased: bool,
    ) {
        let target = &cx.upstreams.targets()[spot.upstream];
        let model = &self.requests[&id].request.model;
        let note = Note::Chosen {
            request: id,
            model: model.clone(),
            upstream: target.facts.id.clone(),
            rank: spot.rank,
            homes: self.home_count(model),
            leased,
            load: target.estimated_load(cx.now, cx.nodes()),
            alternatives: self.ranked.len().saturating_sub(1),
        };
        cx.fx.note(note);
    }
}

/// Cost from which on an upstream's batch is full.
const FULL_BATCH_COST: f64 = 1.0;

/// Compares leased homes: by load where stalls matter, by rank until its batch is full otherwise.
fn lease_cost(target: &Target, load: u32, request: &Request, rank: usize, load_stalls: f64) -> f64 {
    let cached = request
        .prefix
        .is_some_and(|prefix| target.has_cached_prefix(prefix));
    let worth = if cached { CACHED_PREFIX_DISCOUNT } else { 0.0 };
    let batch = f64::from(target.facts.max_batch.max(1));
    let load = (f64::from(load) - worth).max(0.0) / batch;
    if load_stalls >= SPREAD_THRESHOLD || load >= FULL_BATCH_COST {
        return load;
    }
    // Ranks are far below a thousand, so that every place stays below a full batch.
    rank as f64 / 1000.0
}

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
