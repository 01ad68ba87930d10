//! The choice for one request.

use std::time::Duration;

use wire::{Model, Time, Upstream};

use super::local::Want;
use super::{Context, Entry, Holder, Pack, Stage, TRIES};
use crate::action::{Action, Note, Reason};
use crate::demand;
use crate::event::{Pool, Request, WeightsPath};
use crate::settings::Settings;
use crate::upstreams::{PoolLoad, Target};

/// Time between two changes of a model's number of homes.
const STEP: Duration = Duration::from_millis(500);

/// Sequences that a cached prefix is worth in the comparison of loads.
const PREFIX_WORTH: f64 = 4.0;

/// Setting of load stalls from which on demand is spread over the least loaded homes.
const SPREAD_FROM: f64 = 0.5;

/// Upstreams beyond those that the sequences fill, for slots that wait or load.
const PACK_SPARE: usize = 1;

/// Time between two steps down of the upstreams that a pool's demand is concentrated on.
const PACK_STEP: Duration = Duration::from_secs(15);

/// An upstream with its place in a model's order.
#[derive(Clone, Copy)]
struct Spot {
    rank: usize,
    upstream: usize,
}

/// Where a request goes.
enum Next {
    /// It runs at once under the lease with this index.
    Run(usize, Spot),
    /// It waits for a lease.
    Wait(Spot),
    /// Nothing is left to try.
    Nowhere,
}

impl Holder {
    /// Counts a request and adapts the model's number of homes.
    pub(super) fn popular(&mut self, cx: &mut Context<'_>, request: &Request) {
        let service = self.service;
        let settings = cx.settings;
        let model = &request.model;
        let nodes = cx.nodes();
        let pool = cx
            .upstreams
            .pool_load(cx.now, nodes, &request.pool, &request.base);
        let (most, batch) = (pool.upstreams, pool.max_batch);
        self.pack(cx.now, &request.pool, pool, settings);
        let now = cx.now;
        let local = self.known(model);
        local.rate.record(now, 1, settings.half_life);
        let before = local.homes.max(1);
        local.homes = before;
        if now < local.stepped + STEP {
            return;
        }
        let sequences = f64::from(local.rate.short_term(now)) * f64::from(nodes) * service;
        let capacity = f64::from(batch) * settings.fill;
        let after = demand::adjust_homes(before, sequences, capacity.max(1.0), most.max(1));
        if after != before {
            local.homes = after;
            local.stepped = now;
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
    fn pack(&mut self, now: Time, pool: &Pool, load: PoolLoad, settings: &Settings) {
        let index = self.packs.iter().position(|pack| pack.pool == *pool);
        let index = index.unwrap_or_else(|| {
            self.packs.push(Pack {
                pool: pool.clone(),
                active: usize::MAX,
                shrunk: now,
            });
            self.packs.len() - 1
        });
        let pack = &mut self.packs[index];
        if settings.load_stalls >= SPREAD_FROM {
            pack.active = usize::MAX;
            return;
        }
        let carried = f64::from(load.max_batch.max(1)) * settings.fill;
        let by_batch = (f64::from(load.sequences) / carried).ceil() as usize;
        let by_slots = load.busy_instances.div_ceil(load.slots.max(1));
        let needed = by_batch.max(by_slots) + PACK_SPARE;
        let needed = needed.min(load.upstreams);
        if needed >= pack.active {
            pack.active = needed;
            pack.shrunk = now;
        } else if now >= pack.shrunk + PACK_STEP {
            pack.active = pack
                .active
                .min(load.upstreams)
                .saturating_sub(1)
                .max(needed);
            pack.shrunk = now;
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
        choice.rank_for_model(model, pool, base, 0, self.packed(pool), &mut order);
        let targets = choice.targets();
        let ids = order
            .iter()
            .map(|(_, index)| targets[*index].facts.id.clone());
        ids.collect()
    }

    fn packed(&self, pool: &Pool) -> usize {
        let pack = self.packs.iter().find(|pack| pack.pool == *pool);
        pack.map_or(usize::MAX, |pack| pack.active)
    }

    /// Places a request that waits for nothing.
    pub(super) fn place(&mut self, cx: &mut Context<'_>, id: wire::Request) {
        let Some(entry) = self.requests.get(&id) else {
            return;
        };
        if entry.request.deadline <= cx.now {
            entry_lost(&mut self.requests, cx, id, Reason::Deadline);
            return;
        }
        let Request {
            model, pool, base, ..
        } = &entry.request;
        let homes = self.models.get(model).map_or(1, |local| local.homes.max(1));
        let count = homes + TRIES + entry.tried.len();
        let active = self.packed(pool);
        cx.upstreams
            .rank_for_model(model, pool, base, count, active, &mut self.order);
        match self.next(cx, entry, homes) {
            Next::Run(lease, spot) => self.run(cx, id, lease, spot),
            Next::Wait(spot) => self.wait(cx, id, spot),
            Next::Nowhere => {
                let none = self.order.is_empty();
                let reason = if none {
                    Reason::NoUpstream
                } else {
                    Reason::Denied
                };
                entry_lost(&mut self.requests, cx, id, reason);
            }
        }
    }

    fn next(&self, cx: &Context<'_>, entry: &Entry, homes: usize) -> Next {
        let request = &entry.request;
        let Some(local) = self.models.get(&request.model) else {
            return Next::Nowhere;
        };
        let refused = entry.tried.len() - request.avoid.len().min(entry.tried.len());
        let mut best: Option<(f64, Next)> = None;
        let mut wait: Option<Spot> = None;
        let mut first: Option<Spot> = None;
        let mut rank = 0;
        let nodes = cx.nodes();
        for (_, upstream) in &self.order {
            let target = &cx.upstreams.targets()[*upstream];
            if entry.tried.contains(&target.facts.id) {
                continue;
            }
            let spot = Spot {
                rank,
                upstream: *upstream,
            };
            if let Some(lease) = local.lease(cx.now, &target.facts.id)
                && !local.leases[lease].behind(cx.now, request.priority)
            {
                let load = target.estimated_load(cx.now, nodes);
                let cost = cost(target, load, request, rank, cx.settings.load_stalls);
                let run = Next::Run(lease, spot);
                if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                    best = Some((cost, run));
                }
            }
            first = first.or(Some(spot));
            let open = target.estimated_load(cx.now, nodes) < target.facts.max_batch;
            let asked = local.want(&target.facts.id).is_some();
            if wait.is_none() && (open || asked) && rank < homes + TRIES {
                wait = Some(spot);
            }
            rank += 1;
        }
        if let Some((cost, run)) = best
            && (cost < FULL || wait.is_none())
        {
            return run;
        }
        match wait.or(first) {
            Some(spot) if refused < TRIES => Next::Wait(spot),
            _ => Next::Nowhere,
        }
    }

    fn run(&mut self, cx: &mut Context<'_>, id: wire::Request, lease: usize, spot: Spot) {
        self.chosen(cx, id, spot, true);
        let target = &cx.upstreams.targets()[spot.upstream];
        let (upstream, load) = (
            target.facts.id.clone(),
            target.estimated_load(cx.now, cx.nodes()),
        );
        let full = f64::from(load) >= f64::from(target.facts.max_batch) * cx.settings.fill;
        let request = &self.requests[&id].request;
        let (model, path) = (request.model.clone(), request.path.clone());
        self.start(cx, id, lease);
        if full {
            self.widen(cx, &model, path, spot.rank);
        }
        self.keep(cx, &model, &upstream);
    }

    /// Grants a request under a lease at hand.
    pub(super) fn start(&mut self, cx: &mut Context<'_>, id: wire::Request, lease: usize) {
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
        entry.stage = Stage::Running {
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
    fn keep(&mut self, cx: &mut Context<'_>, model: &Model, upstream: &Upstream) {
        let Some(local) = self.models.get(model) else {
            return;
        };
        let Some(lease) = local.lease(cx.now, upstream) else {
            return;
        };
        let left = local.leases[lease].until.saturating_sub(cx.now);
        if left < cx.settings.lease / 3 && local.want(upstream).is_none() {
            self.open(cx.now, model, upstream, None, None);
            self.send(cx, model, upstream);
        }
    }

    /// Asks the next home of a model whose leased homes are full to load it as well.
    fn widen(&mut self, cx: &mut Context<'_>, model: &Model, path: WeightsPath, rank: usize) {
        let Some(local) = self.models.get(model) else {
            return;
        };
        if rank + 1 >= local.homes {
            return;
        }
        let leased = local.leases.iter().filter(|h| h.until > cx.now).count();
        if leased + local.wants.len() >= local.homes {
            return;
        }
        let targets = cx.upstreams.targets();
        let next = self
            .order
            .iter()
            .map(|(_, index)| &targets[*index].facts.id);
        let next = next
            .take(local.homes)
            .find(|id| local.lease(cx.now, id).is_none() && local.want(id).is_none());
        if let Some(next) = next.cloned() {
            self.open(cx.now, model, &next, None, Some(path));
            self.send(cx, model, &next);
        }
    }

    fn wait(&mut self, cx: &mut Context<'_>, id: wire::Request, spot: Spot) {
        self.chosen(cx, id, spot, false);
        let upstream = cx.upstreams.targets()[spot.upstream].facts.id.clone();
        let request = &self.requests[&id].request;
        let (model, path) = (request.model.clone(), request.path.clone());
        if let Some(entry) = self.requests.get_mut(&id) {
            entry.stage = Stage::Waiting(upstream.clone());
        }
        let more = self.urgent(id, &model, &upstream);
        self.open(cx.now, &model, &upstream, Some(id), Some(path));
        if more {
            self.send(cx, &model, &upstream);
        }
    }

    /// Tells whether a request that joins an ask has to be told to the owner: it is the first, more
    /// urgent than the others, or one that doubles their number.
    fn urgent(&self, id: wire::Request, model: &Model, upstream: &str) -> bool {
        let local = self.models.get(model);
        let Some((local, index)) = local.and_then(|l| l.want(upstream).map(|i| (l, i))) else {
            return true;
        };
        let waiting = &local.wants[index].waiting;
        let priority = |id: &u64| self.requests.get(id).map(|e| e.request.priority);
        let best = waiting.iter().filter_map(priority).min();
        let raised = best.is_none_or(|best| priority(&id).is_some_and(|own| own < best));
        raised || waiting.len().is_power_of_two()
    }

    pub(super) fn open(
        &mut self,
        now: Time,
        model: &Model,
        upstream: &Upstream,
        id: Option<wire::Request>,
        path: Option<WeightsPath>,
    ) {
        if !self.active.contains(model) {
            self.active.push(model.clone());
        }
        let local = self.known(model);
        let index = local.want(upstream).unwrap_or_else(|| {
            local.wants.push(Want {
                upstream: upstream.clone(),
                sent: Vec::new(),
                heard: now,
                waiting: Vec::new(),
                path: None,
                start: None,
            });
            local.wants.len() - 1
        });
        let want = &mut local.wants[index];
        want.waiting.extend(id);
        want.path = want.path.take().or(path);
    }

    fn chosen(&self, cx: &mut Context<'_>, id: wire::Request, spot: Spot, leased: bool) {
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
            alternatives: self.order.len().saturating_sub(1),
        };
        cx.fx.note(note);
    }
}

/// Cost from which on an upstream's batch is full.
const FULL: f64 = 1.0;

/// Compares leased homes: by load where stalls matter, by rank until its batch is full otherwise.
fn cost(target: &Target, load: u32, request: &Request, rank: usize, load_stalls: f64) -> f64 {
    let cached = request
        .prefix
        .is_some_and(|prefix| target.has_cached_prefix(prefix));
    let worth = if cached { PREFIX_WORTH } else { 0.0 };
    let batch = f64::from(target.facts.max_batch.max(1));
    let load = (f64::from(load) - worth).max(0.0) / batch;
    if load_stalls >= SPREAD_FROM || load >= FULL {
        return load;
    }
    // Ranks are far below a thousand, so that every place stays below a full batch.
    rank as f64 / 1000.0
}

fn entry_lost(
    requests: &mut std::collections::HashMap<wire::Request, Entry>,
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
