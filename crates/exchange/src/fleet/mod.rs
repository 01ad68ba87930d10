//! What this node knows of the upstreams.
//!
//! A listing comes from the platform and lags; answers of the upstreams and news of their owners
//! are newer. What is resident is therefore kept with the time at which it was learnt, and an
//! older listing does not undo it.
//!
//! - [`listing`] is what the platform says of one upstream.
//! - [`upstream`] is one upstream with all that is known of it.

pub mod listing;
pub mod upstream;

use std::time::Duration;

use wire::{Time, Upstream, rank};

use crate::demand::Target;
use crate::route::Config;
pub use listing::{Holding, Listing, Load, Presence, Version};
pub use upstream::{AttemptResult, LISTING_LAG, UpstreamState};
use upstream::{Source, Stock};

/// Most processes that are remembered as leaving after they are listed no longer.
const DEPARTED: usize = 256;

/// All upstreams, sorted by id.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    runners: Vec<UpstreamState>,
    /// Processes that were said to leave and are listed no longer, the latest last.
    departed: Vec<(Upstream, Option<u64>)>,
    versions: Vec<(Target, Version)>,
}

/// What changed with a listing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListingChange {
    /// The upstream is new.
    Appeared,
    /// Another process has its id now.
    Restarted,
    /// It leaves.
    Leaving,
    /// Nothing that matters to requests.
    Same,
}

impl Fleet {
    /// Returns all upstreams.
    pub fn upstreams(&self) -> &[UpstreamState] {
        &self.runners
    }

    /// Returns the upstreams of `pool` that take requests now.
    pub fn accepting<'a>(
        &'a self,
        now: Time,
        pool: &'a str,
    ) -> impl Iterator<Item = &'a UpstreamState> {
        self.eligible(pool)
            .filter(move |runner| runner.accepts_requests(now))
    }

    /// Returns the upstreams of `pool` that requests may go to, also those that want a pause.
    pub fn eligible<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = &'a UpstreamState> {
        self.runners
            .iter()
            .filter(move |runner| *runner.listing.pool == *pool && runner.is_eligible())
    }

    /// Returns the upstream `id`.
    pub fn upstream(&self, id: &str) -> Option<&UpstreamState> {
        let index = self.find(id).ok()?;
        self.runners.get(index)
    }

    fn runner_mut(&mut self, id: &str) -> Option<&mut UpstreamState> {
        let index = self.find(id).ok()?;
        self.runners.get_mut(index)
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.runners
            .binary_search_by(|runner| (*runner.listing.id).cmp(id))
    }

    /// Takes facts of engines over from a new configuration.
    pub fn configure(&mut self, config: &Config) {
        for runner in &mut self.runners {
            let service = config.service(&runner.listing.pool);
            runner.engine = service.and_then(|service| service.engine.clone());
        }
    }

    /// Takes over what an engine's owner says that it holds; what is known from newer sources
    /// stands.
    pub fn apply_owner_holdings(&mut self, now: Time, id: &str, holdings: Vec<Holding>) {
        if let Some(runner) = self.runner_mut(id) {
            runner.listing.holdings = holdings;
            runner.take_holdings(now, Source::Listing);
        }
    }

    /// Takes an engine's own report over, which is newer than listings. Targets that it does not
    /// name are absent.
    pub fn apply_report(
        &mut self,
        now: Time,
        id: &str,
        holdings: Vec<Holding>,
        coming: Vec<(Target, Option<Version>, Time)>,
    ) {
        if let Some(runner) = self.runner_mut(id) {
            runner.listing.holdings = holdings;
            runner.take_holdings(now, Source::Report);
            for (target, version, at) in coming {
                runner.put(now, &target, Presence::Coming(at, version), false);
            }
        }
    }

    /// Takes a listing over.
    pub fn apply_listing(&mut self, now: Time, listing: Listing) -> ListingChange {
        let index = match self.find(&listing.id) {
            Ok(index) => index,
            Err(index) => {
                let process = (listing.id.clone(), listing.born);
                let mut runner = UpstreamState::new(now, listing);
                // An entry that lapsed may be back while its process leaves.
                runner.left = self.departed.contains(&process);
                self.runners.insert(index, runner);
                return ListingChange::Appeared;
            }
        };
        let runner = &mut self.runners[index];
        if !runner.same(&listing) {
            let (running, engine) = (runner.running, runner.engine.take());
            *runner = UpstreamState::new(now, listing);
            (runner.running, runner.engine) = (running, engine);
            return ListingChange::Restarted;
        }
        let left = listing.leaving && !runner.is_leaving();
        runner.left |= runner.listing.leaving;
        runner.listing = listing;
        runner.take_holdings(now, Source::Listing);
        if left {
            ListingChange::Leaving
        } else {
            ListingChange::Same
        }
    }

    /// Takes an outline over, which leaves what is known of adapters as it is. A process that
    /// leaves does not come back, whatever an outline says that was under way for longer.
    pub fn apply_summary(&mut self, now: Time, outline: Listing) -> ListingChange {
        let Some(runner) = self
            .runner_mut(&outline.id)
            .filter(|known| known.same(&outline))
        else {
            return self.apply_listing(now, outline);
        };
        let left = outline.leaving && !runner.is_leaving();
        runner.listing.leaving |= outline.leaving;
        runner.listing.slots = outline.slots;
        for holding in &outline.holdings {
            let bare = Target::base_only(&holding.base);
            runner.offer(now, &bare, None, Source::Listing);
        }
        let gone = |stock: &Stock| {
            let base = &stock.target.base;
            stock.listed && outline.holdings.iter().all(|holding| holding.base != *base)
        };
        runner.stock.retain(|stock| !gone(stock));
        runner.listing.holdings = outline.holdings;
        if left {
            ListingChange::Leaving
        } else {
            ListingChange::Same
        }
    }

    /// Returns a digest of the upstreams and versions; equal ones have equal digests.
    pub fn digest(&self) -> u64 {
        let runners = self.runners.iter().map(|runner| runner.listing.digest());
        let versions = self
            .versions
            .iter()
            .map(|(target, version)| rank::weight(*version, &target.to_string()));
        runners
            .chain(versions)
            .fold(0, |digest, hash| digest ^ hash)
    }

    /// Forgets an upstream that is gone.
    pub fn remove(&mut self, id: &str) -> bool {
        match self.find(id) {
            Ok(index) => {
                let runner = self.runners.remove(index);
                if runner.is_leaving() && runner.listing.born.is_some() {
                    self.departed.push((runner.listing.id, runner.listing.born));
                    let surplus = self.departed.len().saturating_sub(DEPARTED);
                    self.departed.drain(..surplus);
                }
                true
            }
            Err(_) => false,
        }
    }

    /// Takes in that the process of `id` leaves, by its own word. Returns whether it is news.
    pub fn mark_leaving(&mut self, id: &str) -> bool {
        match self.runner_mut(id) {
            Some(runner) => {
                let news = !runner.is_leaving();
                runner.left = true;
                news
            }
            None => false,
        }
    }

    /// Takes in that `id` wants no requests for that time.
    pub fn set_pause(&mut self, now: Time, id: &str, time: Duration) {
        if let Some(runner) = self.runner_mut(id) {
            runner.set_pause(now, time);
        }
    }

    /// Sends nothing more to an upstream at whose address another process answers, until it is
    /// listed anew.
    pub fn exclude(&mut self, id: &str) {
        if let Some(runner) = self.runner_mut(id) {
            runner.shunned = true;
        }
    }

    /// Notes what is known of a target's residency from a source that is newer than listings.
    pub fn set_presence(&mut self, now: Time, id: &str, target: &Target, presence: Presence) {
        if let Some(runner) = self.runner_mut(id) {
            runner.put(now, target, presence, false);
        }
    }

    /// Expects a load that is late at `at`, without counting that as news of it: one that never
    /// comes is found out in the end.
    pub fn postpone_load(
        &mut self,
        now: Time,
        id: &str,
        target: &Target,
        at: Time,
        version: Option<Version>,
    ) {
        if let Some(runner) = self.runner_mut(id) {
            runner.defer(now, target, at, version);
        }
    }

    /// Counts a request that is sent to `id`.
    pub fn request_started(&mut self, now: Time, id: &str) {
        if let Some(runner) = self.runner_mut(id) {
            runner.running += 1;
            if runner.running == 1 || runner.awaited.is_none() {
                runner.awaited = Some(now);
            }
        }
    }

    /// Notes that a byte came from `id`.
    pub fn byte_received(&mut self, now: Time, id: &str) {
        if let Some(runner) = self.runner_mut(id) {
            runner.heard = now;
        }
    }

    /// Counts the end of a request at `id`.
    pub fn request_ended(&mut self, now: Time, id: &str, verdict: AttemptResult) {
        let Some(runner) = self.runner_mut(id) else {
            return;
        };
        runner.running = runner.running.saturating_sub(1);
        if runner.running == 0 {
            runner.awaited = None;
        }
        runner.judge(now, verdict);
    }

    /// Notes the reading of prompts that is ahead at `id`.
    pub fn set_prefill_backlog(&mut self, now: Time, id: &str, level: Duration) {
        if let Some(runner) = self.runner_mut(id) {
            runner.read_by = now + level;
        }
    }

    /// Notes the time until another adapter could be at `id`.
    pub fn set_load_backlog(&mut self, now: Time, id: &str, backlog: Duration) {
        if let Some(runner) = self.runner_mut(id) {
            runner.loads_by = now + backlog;
        }
    }

    /// Notes the load that `id` stated.
    pub fn record_load(&mut self, now: Time, id: &str, load: Load) {
        if let Some(runner) = self.runner_mut(id) {
            runner.reported = Some((now, load, runner.running));
        }
    }

    /// Notes the newest version of an adapter. Returns whether it is news.
    pub fn announce_version(&mut self, target: Target, version: Version) -> bool {
        match self
            .versions
            .binary_search_by(|(known, _)| known.cmp(&target))
        {
            Ok(index) if self.versions[index].1 >= version => false,
            Ok(index) => {
                self.versions[index].1 = version;
                true
            }
            Err(index) => {
                self.versions.insert(index, (target, version));
                true
            }
        }
    }

    /// Returns the newest version of an adapter, where one was announced.
    pub fn newest_version(&self, target: &Target) -> Option<Version> {
        let found = self
            .versions
            .binary_search_by(|(known, _)| known.cmp(target));
        found.ok().map(|index| self.versions[index].1)
    }

    /// Tells whether what is present there serves requests for `target` now, in the newest version.
    pub fn serves(&self, runner: &UpstreamState, target: &Target) -> bool {
        match runner.presence(target) {
            Presence::Held(version) => self.is_newest(target, version),
            Presence::Coming(..) | Presence::Absent => false,
        }
    }

    /// Tells whether `version` is the newest of `target`.
    pub fn is_newest(&self, target: &Target, version: Option<Version>) -> bool {
        match self.newest_version(target) {
            Some(newest) => version.is_some_and(|version| version >= newest),
            None => true,
        }
    }
}
