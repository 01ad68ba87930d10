//! Order of upstreams for a model, and what each is estimated to carry.
//!
//! The order is rendezvous hashing of the model over the upstreams, so that every node names the
//! same homes. Reported load is discounted by its age: what this node has sent and seen end since
//! the report is added. Cache events only refine the choice, since they are late and have gaps.

use std::collections::VecDeque;
use std::time::Duration;

use wire::{Base, Model, Time, rank};

use crate::event::{Pool, Upstream, UpstreamState};

/// Prefix hashes remembered per upstream.
const PREFIXES: usize = 2048;

/// Age from which on a report says nothing.
const REPORT_KEPT: Duration = Duration::from_secs(5);

/// Starts and ends remembered per upstream since its last report.
const CHANGES: usize = 512;

/// One upstream as the choice sees it.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its facts.
    pub facts: Upstream,
    reported: u32,
    at: Option<Time>,
    changes: VecDeque<(Time, i8)>,
    since: i64,
    /// Place in the pool's own order, which all models share.
    place: usize,
    /// Instances with requests, as the upstream last reported.
    used: usize,
    local: u32,
    prefixes: Vec<u64>,
}

impl Target {
    fn new(facts: Upstream) -> Self {
        Self {
            facts,
            reported: 0,
            at: None,
            changes: VecDeque::new(),
            since: 0,
            place: 0,
            used: 0,
            local: 0,
            prefixes: Vec::new(),
        }
    }

    /// Returns the sequences that the upstream is estimated to run or queue: without a report that
    /// is recent, this node's own, times the number of nodes.
    pub fn estimated_load(&self, now: Time, nodes: u32) -> u32 {
        if self.at.is_none_or(|at| now > at + REPORT_KEPT) {
            return self.local.saturating_mul(nodes);
        }
        let load = (i64::from(self.reported) + self.since).max(0);
        u32::try_from(load).unwrap_or(u32::MAX).max(self.local)
    }

    /// Tells whether the prefix hash is cached there, as far as events tell.
    pub fn has_cached_prefix(&self, prefix: u64) -> bool {
        self.prefixes.binary_search(&prefix).is_ok()
    }

    fn change(&mut self, now: Time, step: i8) {
        self.local = self.local.saturating_add_signed(i32::from(step));
        if self.at.is_some() {
            self.changes.push_back((now, step));
            self.since += i64::from(step);
        }
        if self.changes.len() > CHANGES
            && let Some((_, step)) = self.changes.pop_front()
        {
            self.since -= i64::from(step);
        }
    }
}

/// What a pool carries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolLoad {
    /// Sequences that run or wait.
    pub sequences: u32,
    /// Sequences in the largest batch of one upstream.
    pub max_batch: u32,
    /// Instances with requests.
    pub busy_instances: usize,
    /// Slots of one upstream at most.
    pub slots: usize,
    /// Live upstreams.
    pub upstreams: usize,
}

/// Every upstream of the region, sorted by id.
#[derive(Clone, Debug, Default)]
pub struct UpstreamTable {
    targets: Vec<Target>,
}

impl UpstreamTable {
    /// Takes new facts; estimates of upstreams that stay are kept.
    pub fn set_upstreams(&mut self, upstreams: impl IntoIterator<Item = Upstream>) {
        let mut old = std::mem::take(&mut self.targets);
        for facts in upstreams {
            let index = old.iter().position(|target| target.facts.id == facts.id);
            let mut target =
                index.map_or_else(|| Target::new(facts.clone()), |at| old.swap_remove(at));
            target.facts = facts;
            self.targets.push(target);
        }
        self.targets.sort_by(|a, b| a.facts.id.cmp(&b.facts.id));
        self.targets.dedup_by(|a, b| a.facts.id == b.facts.id);
        self.arrange();
    }

    /// Gives each live upstream its place in its pool's order.
    fn arrange(&mut self) {
        let weight = |t: &Target| rank::weight(rank::hash(&*t.facts.pool), &t.facts.id);
        let live = |t: &Target| t.facts.state == UpstreamState::Live;
        let places: Vec<usize> = self
            .targets
            .iter()
            .map(|own| {
                let before = |other: &&Target| {
                    let same = other.facts.pool == own.facts.pool && live(other);
                    same && (weight(other), &other.facts.id) > (weight(own), &own.facts.id)
                };
                self.targets.iter().filter(before).count()
            })
            .collect();
        for (target, place) in self.targets.iter_mut().zip(places) {
            target.place = place;
        }
    }

    /// Returns the sequences on the live upstreams of a pool and base model, the room in their
    /// batches, and their number.
    pub fn pool_load(&self, now: Time, nodes: u32, pool: &Pool, base: &Base) -> PoolLoad {
        let mut sum = PoolLoad::default();
        for target in &self.targets {
            let facts = &target.facts;
            if facts.state == UpstreamState::Live && facts.pool == *pool && facts.base == *base {
                sum.sequences += target.estimated_load(now, nodes);
                sum.busy_instances += target.used;
                sum.slots = sum.slots.max(facts.slots);
                sum.max_batch = sum.max_batch.max(facts.max_batch);
                sum.upstreams += 1;
            }
        }
        sum
    }

    /// Returns every upstream, sorted by id.
    pub fn targets(&self) -> &[Target] {
        &self.targets
    }

    /// Returns the upstream with this id.
    pub fn target(&self, id: &str) -> Option<&Target> {
        self.index(id).and_then(|index| self.targets.get(index))
    }

    fn index(&self, id: &str) -> Option<usize> {
        self.targets
            .binary_search_by(|target| (*target.facts.id).cmp(id))
            .ok()
    }

    /// Replaces `order` by the `count` best live upstreams of the pool and base model, best home
    /// first. The first `active` ones of the pool's own order go before all others.
    pub fn rank_for_model(
        &self,
        model: &Model,
        pool: &Pool,
        base: &Base,
        count: usize,
        active: usize,
        order: &mut Vec<(u64, usize)>,
    ) {
        order.clear();
        let key = model_key(model);
        for (index, target) in self.targets.iter().enumerate() {
            let facts = &target.facts;
            if facts.state == UpstreamState::Live && facts.pool == *pool && facts.base == *base {
                let weight = rank::weight(key, &facts.id) >> 1;
                let first = u64::from(target.place < active) << 63;
                order.push((first | weight, index));
            }
        }
        if order.len() > count && count > 0 {
            order.select_nth_unstable_by(count - 1, |a, b| b.cmp(a));
            order.truncate(count);
        }
        order.sort_unstable_by(|a, b| b.cmp(a));
    }

    /// Notes that a request started on the upstream.
    pub fn request_started(&mut self, now: Time, id: &str) {
        if let Some(index) = self.index(id) {
            self.targets[index].change(now, 1);
        }
    }

    /// Notes that a request ended on the upstream.
    pub fn request_ended(&mut self, now: Time, id: &str) {
        if let Some(index) = self.index(id) {
            self.targets[index].change(now, -1);
        }
    }

    /// Takes a report that was made at `made`; one older than the last is dropped.
    pub fn update_load(&mut self, id: &str, load: u32, made: Time) {
        let Some(index) = self.index(id) else { return };
        let target = &mut self.targets[index];
        if target.at.is_some_and(|at| at > made) {
            return;
        }
        target.reported = load;
        target.at = Some(made);
        target.changes.retain(|(at, _)| *at > made);
        target.since = target
            .changes
            .iter()
            .map(|(_, step)| i64::from(*step))
            .sum();
    }

    /// Takes the number of instances that have requests on the upstream.
    pub fn set_busy_instances(&mut self, id: &str, used: usize) {
        if let Some(index) = self.index(id) {
            self.targets[index].used = used;
        }
    }

    /// Takes cache events; after a gap nothing earlier is trusted.
    pub fn apply_cache_events(&mut self, id: &str, added: Vec<u64>, removed: &[u64], gap: bool) {
        let Some(index) = self.index(id) else { return };
        let prefixes = &mut self.targets[index].prefixes;
        if gap || prefixes.len() > PREFIXES {
            prefixes.clear();
        }
        prefixes.extend(added.into_iter().take(PREFIXES));
        prefixes.retain(|prefix| !removed.contains(prefix));
        prefixes.sort_unstable();
        prefixes.dedup();
    }
}

/// Returns the hash that orders upstreams for `model`; versions of an adapter differ in it.
pub fn model_key(model: &Model) -> u64 {
    rank::weight(rank::hash(&*model.adapter), &model.version)
}
