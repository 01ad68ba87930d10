//! One upstream as this node knows it.

use std::time::Duration;

use wire::Time;

use super::listing::{Holding, Listing, Load, Presence, Version};
use crate::demand::Target;
use crate::route::Engine;

/// Time for which newer knowledge of residency stands against a listing: a listing is written
/// about once a second and takes a few tenths of one to arrive.
pub const LISTING_LAG: Duration = Duration::from_millis(2_000);

/// Time after which a load that still has not come counts as failed.
const DEFER_MAX: Duration = Duration::from_secs(3);

/// Age from which a reported load counts for nothing.
const LOAD_MAX_AGE: Duration = Duration::from_secs(3);

/// Weight of one failure in the failure score.
const FAILURE_WEIGHT: f64 = 0.4;

/// Weight of one success in the failure score.
const SUCCESS_WEIGHT: f64 = 0.15;

/// Time in which the failure score loses half of its value after a single failure; doubled with
/// each failure in a row, so that a dead upstream is tried ever more rarely.
const TROUBLE_HALF_LIFE: Duration = Duration::from_millis(700);

/// Failure score at the end of a pause: it weighs about as much as a few waiting requests, so that an
/// upstream gets those first that find the others loaded.
const PAUSE_TROUBLE: f64 = 0.1;

/// Doublings of [`TROUBLE_HALF_LIFE`] at most.
const TROUBLE_DOUBLINGS: u32 = 4;

#[derive(Clone, Debug)]
pub(super) struct Stock {
    pub(super) target: Target,
    pub(super) presence: Presence,
    pub(super) since: Time,
    pub(super) listed: bool,
}

/// Where holdings were learnt from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// The platform's list, which lags.
    Listing,
    /// The engine itself.
    Report,
}

/// How an attempt at an upstream ended, for its standing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// It answered.
    Success,
    /// It failed, broke off, or was silent.
    Failed,
    /// Nothing follows for the upstream.
    Ignored,
}

/// One upstream.
#[derive(Clone, Debug)]
pub struct UpstreamState {
    /// What the platform says of it.
    pub listing: Listing,
    /// Facts of its pool's engines, where it is one and the configuration names its pool.
    pub engine: Option<Engine>,
    /// Requests of this node that it has.
    pub running: u32,
    pub(super) reported: Option<(Time, Load, u32)>,
    trouble: f64,
    trouble_at: Time,
    streak: u32,
    pub(super) stock: Vec<Stock>,
    /// Whether another process answers at its address.
    pub(super) shunned: bool,
    /// Whether it was said to leave, by itself or by the platform: it does not come back.
    pub(super) left: bool,
    /// When the pause ends that it wants.
    pub(super) paused_until: Time,
    /// When all prompts that are known to be let in are read.
    pub(super) read_by: Time,
    /// When another adapter could be there.
    pub(super) loads_by: Time,
    /// When a byte last came from it, and since when one is awaited.
    pub(super) heard: Time,
    pub(super) awaited: Option<Time>,
}

impl AsRef<str> for UpstreamState {
    fn as_ref(&self) -> &str {
        &self.listing.id
    }
}

impl UpstreamState {
    pub(super) fn new(now: Time, listing: Listing) -> Self {
        let mut runner = Self {
            listing,
            engine: None,
            running: 0,
            reported: None,
            trouble: 0.0,
            trouble_at: now,
            streak: 0,
            stock: Vec::new(),
            shunned: false,
            left: false,
            paused_until: Time::ZERO,
            read_by: now,
            loads_by: now,
            heard: now,
            awaited: None,
        };
        runner.take_holdings(now, Source::Listing);
        runner
    }

    /// Tells whether `listing` is about the same process.
    pub(super) fn same(&self, listing: &Listing) -> bool {
        self.listing.born == listing.born
            && self.listing.address == listing.address
            && self.listing.pool == listing.pool
    }

    /// Tells whether it is one of the upstreams that requests may go to.
    pub fn is_eligible(&self) -> bool {
        !self.is_leaving() && !self.shunned
    }

    /// Tells whether it was said to leave.
    pub fn is_leaving(&self) -> bool {
        self.listing.leaving || self.left
    }

    /// Tells whether new requests may go to it now.
    pub fn accepts_requests(&self, now: Time) -> bool {
        self.is_eligible() && self.pause_left(now).is_zero()
    }

    /// Returns how much longer the pause lasts that it wants.
    pub fn pause_left(&self, now: Time) -> Duration {
        self.paused_until.saturating_sub(now)
    }

    /// Keeps a pause. Requests come back by and by after it, as after failures.
    pub(super) fn set_pause(&mut self, now: Time, time: Duration) {
        self.paused_until = self.paused_until.max(now + time);
        self.trouble = self.failure_score(now).max(PAUSE_TROUBLE);
        self.trouble_at = self.paused_until;
    }

    /// Returns what is known of `target`.
    pub fn presence(&self, target: &Target) -> Presence {
        match self.find(target) {
            Ok(index) => self.stock[index].presence,
            Err(_) => Presence::Absent,
        }
    }

    /// Returns what is held or on its way.
    pub fn present_targets(&self) -> impl Iterator<Item = (&Target, Presence)> {
        self.stock
            .iter()
            .filter(|stock| stock.presence != Presence::Absent)
            .map(|stock| (&stock.target, stock.presence))
    }

    /// Returns what it holds, as far as this node knows.
    pub fn holdings(&self, now: Time) -> Vec<Holding> {
        let mut holdings: Vec<Holding> = Vec::new();
        for stock in &self.stock {
            let Presence::Held(version) = stock.presence.as_of(now) else {
                continue;
            };
            let base = &stock.target.base;
            if holdings.last().is_none_or(|last| last.base != *base) {
                holdings.push(Holding {
                    base: base.clone(),
                    adapters: Vec::new(),
                });
            }
            let adapters = holdings.last_mut().map(|last| &mut last.adapters);
            if let (Some(adapters), Some(name)) = (adapters, &stock.target.adapter) {
                adapters.push((name.clone(), version));
            }
        }
        holdings
    }

    /// Returns how many requests it has, as far as this node can tell.
    pub fn request_count(&self, now: Time) -> u32 {
        match self.reported {
            Some((at, load, mine)) if now < at + LOAD_MAX_AGE => {
                let then = load.running + load.waiting;
                (then + self.running).saturating_sub(mine).max(self.running)
            }
            _ => self.running,
        }
    }

    /// Returns the reading of prompts that is ahead, as far as this node knows.
    pub fn prefill_backlog(&self, now: Time) -> Duration {
        self.read_by.saturating_sub(now)
    }

    /// Returns the time until another adapter could be there, as far as this node knows.
    pub fn load_backlog(&self, now: Time) -> Duration {
        self.loads_by.saturating_sub(now)
    }

    /// Returns its failure score, from 0 to 1.
    pub fn failure_score(&self, now: Time) -> f64 {
        let half = TROUBLE_HALF_LIFE * (1 << self.streak.saturating_sub(1).min(TROUBLE_DOUBLINGS));
        let age = now.saturating_sub(self.trouble_at).as_secs_f64();
        self.trouble * (-age / half.as_secs_f64()).exp2()
    }

    /// Returns how long it has been silent although an answer is awaited.
    pub fn silence(&self, now: Time) -> Duration {
        match self.awaited {
            Some(since) => now.saturating_sub(since.max(self.heard)),
            None => Duration::ZERO,
        }
    }

    pub(super) fn find(&self, target: &Target) -> Result<usize, usize> {
        self.stock
            .binary_search_by(|stock| stock.target.cmp(target))
    }

    pub(super) fn put(&mut self, now: Time, target: &Target, presence: Presence, listed: bool) {
        let stock = Stock {
            target: target.clone(),
            presence,
            since: now,
            listed,
        };
        match self.find(target) {
            Ok(index) => self.stock[index] = stock,
            Err(index) => self.stock.insert(index, stock),
        }
    }

    /// Takes the listing's holdings over, but for what is known from newer sources.
    pub(super) fn take_holdings(&mut self, now: Time, source: Source) {
        if source == Source::Report {
            self.stock.clear();
        }
        let firm = |stock: &Stock| {
            let since = match stock.presence {
                Presence::Coming(at, _) => at.max(stock.since),
                Presence::Held(_) | Presence::Absent => stock.since,
            };
            !stock.listed && now < since + LISTING_LAG
        };
        self.stock.retain(firm);
        let holdings = std::mem::take(&mut self.listing.holdings);
        for holding in &holdings {
            let bare = Target::base_only(&holding.base);
            self.offer(now, &bare, None, source);
            for (adapter, version) in &holding.adapters {
                let target = Target {
                    base: holding.base.clone(),
                    adapter: Some(adapter.clone()),
                };
                self.offer(now, &target, *version, source);
            }
        }
        self.listing.holdings = holdings;
    }

    pub(super) fn offer(
        &mut self,
        now: Time,
        target: &Target,
        version: Option<Version>,
        source: Source,
    ) {
        let known = self.find(target).map(|index| self.stock[index].presence);
        if !matches!(known, Ok(Presence::Held(_) | Presence::Absent)) {
            let listed = source == Source::Listing;
            self.put(now, target, Presence::Held(version), listed);
        }
    }

    /// Takes the end of an attempt into the failure score.
    pub(super) fn judge(&mut self, now: Time, verdict: AttemptResult) {
        let trouble = self.failure_score(now);
        self.trouble = match verdict {
            AttemptResult::Success => {
                self.streak = 0;
                trouble * (1.0 - SUCCESS_WEIGHT)
            }
            AttemptResult::Failed => {
                self.streak += 1;
                trouble + (1.0 - trouble) * FAILURE_WEIGHT
            }
            AttemptResult::Ignored => return,
        };
        self.trouble_at = now;
    }

    /// Expects a load that is late at `at`.
    pub(super) fn defer(&mut self, now: Time, target: &Target, at: Time, version: Option<Version>) {
        let Ok(index) = self.find(target) else {
            return;
        };
        let stock = &mut self.stock[index];
        if now < stock.since + DEFER_MAX {
            stock.presence = Presence::Coming(at, version);
        } else {
            stock.presence = Presence::Absent;
            stock.since = now;
        }
    }
}
