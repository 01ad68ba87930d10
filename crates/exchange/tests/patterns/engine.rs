//! A simulated engine with adapter slots and serial prefills, and the store that it loads from.

use std::time::Duration;

use exchange::demand::Target;
use exchange::fleet::{Holding, Listing, Version};
use exchange::owner::{Answer, Order};
use wire::{Fence, Time, Upstream};

use super::super::support::{bare, engine as listing, ms};

/// Time to load an adapter that the engine held recently.
const RELOAD_TIME: Duration = ms(25);

/// The store of adapters. Its loads take longer in proportion beyond `parallel` at a time.
#[derive(Debug)]
pub struct Store {
    pub load_time: Duration,
    pub parallel: usize,
    /// Ends of the loads in progress.
    ends: Vec<Time>,
    /// Number of loads so far.
    pub loads: usize,
}

impl Store {
    pub fn new(load_time: Duration, parallel: usize) -> Self {
        Self {
            load_time,
            parallel,
            ends: Vec::new(),
            loads: 0,
        }
    }

    fn load(&mut self, now: Time) -> Time {
        self.ends.retain(|end| now < *end);
        let crowd = (self.ends.len() + 1) as f64 / self.parallel as f64;
        let end = now + self.load_time.mul_f64(crowd.max(1.0));
        self.ends.push(end);
        self.loads += 1;
        end
    }
}

/// Why an engine does not start a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Absent;

#[derive(Debug)]
pub struct Engine {
    pub id: Upstream,
    pub slots: usize,
    /// Number of evicted adapters that it keeps at hand.
    cache: usize,
    born: u64,
    fence: Fence,
    base_at: Time,
    resident: Vec<Target>,
    loading: Vec<(Target, Time)>,
    cached: Vec<Target>,
    running: Vec<Target>,
    unloading: Option<Target>,
    prefilled_at: Time,
    /// When each slot of its batch becomes free.
    batch: Vec<Time>,
    /// Loads without a free slot, which crash a real engine.
    pub overfills: usize,
}

impl Engine {
    pub fn new(id: &str, slots: usize, batch: usize, cache: usize) -> Self {
        Self {
            id: id.into(),
            slots,
            cache,
            born: 1,
            fence: 0,
            base_at: Time::ZERO,
            resident: Vec::new(),
            loading: Vec::new(),
            cached: Vec::new(),
            running: Vec::new(),
            unloading: None,
            prefilled_at: Time::ZERO,
            batch: vec![Time::ZERO; batch],
            overfills: 0,
        }
    }

    /// Restarts the engine without any weights.
    pub fn restart(&mut self) {
        let born = self.born + 1;
        *self = Self::new(&self.id, self.slots, self.batch.len(), self.cache);
        self.born = born;
        self.base_at = Time::MAX;
    }

    pub fn listing(&mut self, now: Time) -> Listing {
        let mut listing = Listing {
            born: Some(self.born),
            slots: u32::try_from(self.batch.len()).expect("few slots"),
            ..listing(&self.id, &[])
        };
        listing.holdings = self.report(now).0;
        listing
    }

    #[allow(clippy::type_complexity, reason = "the parts of a report")]
    pub fn report(&mut self, now: Time) -> (Vec<Holding>, Vec<(Target, Option<Version>, Time)>) {
        self.complete_loads(now);
        let adapters = self.resident.iter().filter_map(|held| held.adapter.clone());
        let holding = Holding {
            base: "base".into(),
            adapters: adapters.map(|name| (name, None)).collect(),
        };
        let coming = self.loading.iter().map(|(target, end)| {
            let target = target.clone();
            (target, None, *end)
        });
        let holdings = Some(holding).filter(|_| self.base_at <= now);
        (holdings.into_iter().collect(), coming.collect())
    }

    /// Returns the number of adapters in use.
    /// Returns whether `target` is resident or being loaded.
    pub fn holds(&self, target: &Target) -> bool {
        self.resident.contains(target) || self.loading.iter().any(|(known, _)| known == target)
    }

    pub fn in_use(&self) -> usize {
        let mut used = self.running.clone();
        used.sort_unstable();
        used.dedup();
        used.len()
    }

    fn complete_loads(&mut self, now: Time) {
        let (done, coming) = std::mem::take(&mut self.loading)
            .into_iter()
            .partition(|(_, end)| *end <= now);
        self.loading = coming;
        self.resident
            .extend(done.into_iter().map(|(target, _)| target));
    }

    /// Starts a request once a slot of the batch is free. Returns when its prefill is done.
    pub fn start(
        &mut self,
        now: Time,
        target: &Target,
        prefill: Duration,
        decode: Duration,
    ) -> Result<Time, Absent> {
        self.complete_loads(now);
        let available = self.base_at <= now
            && self.resident.contains(target)
            && self.unloading.as_ref() != Some(target);
        if !available {
            return Err(Absent);
        }
        self.running.push(target.clone());
        let slot = self.batch.iter_mut().min().expect("a slot");
        let first = self.prefilled_at.max(now).max(*slot) + prefill;
        self.prefilled_at = self.prefilled_at.max(now) + prefill;
        *slot = first + decode;
        Ok(first)
    }

    /// Ends a request of the process that was born then.
    pub fn end(&mut self, born: u64, target: &Target) {
        if born != self.born {
            return;
        }
        if let Some(index) = self.running.iter().position(|running| running == target) {
            self.running.swap_remove(index);
        }
        let done = |unloading: &mut Target| !self.running.contains(unloading);
        if let Some(target) = self.unloading.take_if(done) {
            self.evict(&target);
        }
    }

    pub const fn born(&self) -> u64 {
        self.born
    }

    fn evict(&mut self, target: &Target) {
        self.resident.retain(|held| held != target);
        self.cached.retain(|held| held != target);
        self.cached.push(target.clone());
        if self.cached.len() > self.cache {
            self.cached.remove(0);
        }
    }

    pub fn order(
        &mut self,
        now: Time,
        fence: Fence,
        order: &Order,
        base_load: Duration,
        store: &mut Store,
    ) -> Answer {
        self.complete_loads(now);
        if fence < self.fence {
            return Answer::Fenced;
        }
        self.fence = fence;
        match order {
            Order::Load(target, _) if *target == bare() => self.load_base(now, base_load),
            _ if now < self.base_at => Answer::Unfit,
            Order::Unload(target) => self.unload(target),
            Order::Load(target, _) | Order::Confirm(target, _) => self.load(now, target, store),
        }
    }

    fn load_base(&mut self, now: Time, base_load: Duration) -> Answer {
        match self.base_at {
            Time::MAX => {
                self.base_at = now + base_load;
                Answer::Accepted
            }
            at if now < at => Answer::Busy,
            _ => Answer::Done,
        }
    }

    fn load(&mut self, now: Time, target: &Target, store: &mut Store) -> Answer {
        if self.resident.contains(target) {
            return Answer::Done;
        }
        if self.loading.iter().any(|(loading, _)| loading == target) {
            return Answer::Accepted;
        }
        if self.unloading.is_some() {
            return Answer::Busy;
        }
        if self.resident.len() + self.loading.len() >= self.slots {
            self.overfills += 1;
        }
        let end = if self.cached.contains(target) {
            now + RELOAD_TIME
        } else {
            store.load(now)
        };
        self.loading.push((target.clone(), end));
        Answer::Accepted
    }

    fn unload(&mut self, target: &Target) -> Answer {
        if self.unloading.is_some() {
            return Answer::Busy;
        }
        if self.running.contains(target) {
            self.unloading = Some(target.clone());
            return Answer::Accepted;
        }
        self.evict(target);
        Answer::Done
    }
}
