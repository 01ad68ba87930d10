//! Ranking of upstreams for a model, and estimates of their load.
//!
//! The ranking is rendezvous hashing of the model over the upstreams, so that all nodes agree on a
//! model's homes. A reported load is corrected by the requests that this node has started and ended
//! on the upstream since the report was made. Cache events only refine the choice, since they arrive
//! late and with gaps.

use std::collections::VecDeque;
use std::time::Duration;

use wire::{Base, Model, Time, rank};

use crate::event::{Pool, Upstream, UpstreamState};

/// Maximum number of prefix hashes kept per upstream.
const MAX_PREFIXES: usize = 2048;

/// Age above which a load report is ignored.
const REPORT_MAX_AGE: Duration = Duration::from_secs(5);

/// Maximum number of request starts and ends kept per upstream since its last report.
const MAX_CHANGES: usize = 512;

/// One upstream with its estimated load and cached prefixes.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its description.
    pub facts: Upstream,
    reported_load: u32,
    reported_at: Option<Time>,
    changes: VecDeque<(Time, i8)>,
    change_since_report: i64,
    /// Rank within its pool, independent of the model.
    pool_rank: usize,
    /// Number of instances with requests, as last reported.
    busy_instances: usize,
    local_load: u32,
    prefixes: Vec<u64>,
}

impl Target {
    fn new(facts: Upstream) -> Self {
        Self {
            facts,
            reported_load: 0,
            reported_at: None,
            changes: VecDeque::new(),
            change_since_report: 0,
            pool_rank: 0,
            busy_instances: 0,
            local_load: 0,
            prefixes: Vec::new(),
        }
    }

    /// Returns the estimated number of sequences that the upstream runs or queues.
    ///
    /// Without a recent report, it is the number of this node's own requests times `nodes`.
    pub fn estimated_load(&self, now: Time, nodes: u32) -> u32 {
        if self.reported_at.is_none_or(|at| now > at + REPORT_MAX_AGE) {
            return self.local_load.saturating_mul(nodes);
        }
        let load = (i64::from(self.reported_load) + self.change_since_report).max(0);
        u32::try_from(load).unwrap_or(u32::MAX).max(self.local_load)
    }

    /// Returns whether it is live and of this pool and base model.
    pub fn serves(&self, pool: &Pool, base: &Base) -> bool {
        let facts = &self.facts;
        facts.state == UpstreamState::Live && facts.pool == *pool && facts.base == *base
    }

    /// Returns whether the prefix is cached there according to the cache events.
    pub fn has_cached_prefix(&self, prefix: u64) -> bool {
        self.prefixes.binary_search(&prefix).is_ok()
    }

    fn record_change(&mut self, now: Time, delta: i8) {
        self.local_load = self.local_load.saturating_add_signed(i32::from(delta));
        if self.reported_at.is_some() {
            self.changes.push_back((now, delta));
            self.change_since_report += i64::from(delta);
        }
        if self.changes.len() > MAX_CHANGES
            && let Some((_, delta)) = self.changes.pop_front()
        {
            self.change_since_report -= i64::from(delta);
        }
    }
}

/// Load and capacity of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolLoad {
    /// Number of sequences that run or wait.
    pub sequences: u32,
    /// Largest batch size of any upstream, in sequences.
    pub max_batch: u32,
    /// Number of instances with requests.
    pub busy_instances: usize,
    /// Largest number of slots of any upstream.
    pub slots: usize,
    /// Number of live upstreams.
    pub upstreams: usize,
}

/// All upstreams of the region, sorted by id.
#[derive(Clone, Debug, Default)]
pub struct UpstreamTable {
    targets: Vec<Target>,
}

impl UpstreamTable {
    /// Replaces the list of upstreams; estimates of those that remain are kept.
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
        self.rank_within_pools();
    }

    /// Computes the rank of each upstream among the live ones of its pool.
    fn rank_within_pools(&mut self) {
        let weight = |t: &Target| rank::weight(rank::hash(&*t.facts.pool), &t.facts.id);
        let live = |t: &Target| t.facts.state == UpstreamState::Live;
        let ranks: Vec<usize> = self
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
        for (target, pool_rank) in self.targets.iter_mut().zip(ranks) {
            target.pool_rank = pool_rank;
        }
    }

    /// Sums load and capacity over the live upstreams of a pool and base model.
    pub fn pool_load(&self, now: Time, nodes: u32, pool: &Pool, base: &Base) -> PoolLoad {
        let mut sum = PoolLoad::default();
        for target in &self.targets {
            let facts = &target.facts;
            if target.serves(pool, base) {
                sum.sequences += target.estimated_load(now, nodes);
                sum.busy_instances += target.busy_instances;
                sum.slots = sum.slots.max(facts.slots);
                sum.max_batch = sum.max_batch.max(facts.max_batch);
                sum.upstreams += 1;
            }
        }
        sum
    }

    /// Returns all upstreams, sorted by id.
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

    /// Returns the index into [`Self::targets`] of a live upstream of the pool and base model.
    pub fn live(&self, id: &str, pool: &Pool, base: &Base) -> Option<usize> {
        let index = self.index(id)?;
        self.targets[index].serves(pool, base).then_some(index)
    }

    /// Fills `order` with the `count` best live upstreams of the pool and base model for `model`,
    /// the best one first; a `count` of zero means all.
    ///
    /// Each entry is a weight and an index into [`Self::targets`]. The first `active` upstreams of
    /// the pool's own ranking precede all others.
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
            if target.serves(pool, base) {
                let weight = rank::weight(key, &target.facts.id) >> 1;
                let first = u64::from(target.pool_rank < active) << 63;
                order.push((first | weight, index));
            }
        }
        if order.len() > count && count > 0 {
            order.select_nth_unstable_by(count - 1, |a, b| b.cmp(a));
            order.truncate(count);
        }
        order.sort_unstable_by(|a, b| b.cmp(a));
    }

    /// Records that a request of this node started on the upstream.
    pub fn request_started(&mut self, now: Time, id: &str) {
        if let Some(index) = self.index(id) {
            self.targets[index].record_change(now, 1);
        }
    }

    /// Records that a request of this node ended on the upstream.
    pub fn request_ended(&mut self, now: Time, id: &str) {
        if let Some(index) = self.index(id) {
            self.targets[index].record_change(now, -1);
        }
    }

    /// Applies a load report made at `made`, unless it is older than the last one.
    pub fn update_load(&mut self, id: &str, load: u32, made: Time) {
        let Some(index) = self.index(id) else { return };
        let target = &mut self.targets[index];
        if target.reported_at.is_some_and(|at| at > made) {
            return;
        }
        target.reported_load = load;
        target.reported_at = Some(made);
        target.changes.retain(|(at, _)| *at > made);
        target.change_since_report = target
            .changes
            .iter()
            .map(|(_, delta)| i64::from(*delta))
            .sum();
    }

    /// Sets the number of instances that have requests on the upstream.
    pub fn set_busy_instances(&mut self, id: &str, used: usize) {
        if let Some(index) = self.index(id) {
            self.targets[index].busy_instances = used;
        }
    }

    /// Applies cache events; a gap in the events discards all earlier ones.
    pub fn apply_cache_events(&mut self, id: &str, added: Vec<u64>, removed: &[u64], gap: bool) {
        let Some(index) = self.index(id) else { return };
        let prefixes = &mut self.targets[index].prefixes;
        if gap || prefixes.len() > MAX_PREFIXES {
            prefixes.clear();
        }
        prefixes.extend(added.into_iter().take(MAX_PREFIXES));
        prefixes.retain(|prefix| !removed.contains(prefix));
        prefixes.sort_unstable();
        prefixes.dedup();
    }
}

/// Returns the rendezvous hashing key of `model`, which differs between versions of an adapter.
pub fn model_key(model: &Model) -> u64 {
    rank::weight(rank::hash(&*model.adapter), &model.version)
}
