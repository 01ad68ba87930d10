//! This node's view of the upstreams.
//!
//! Listings come from the platform and lag behind; answers of the upstreams and messages of their
//! owners are newer. Residency is therefore stored with the time at which it was learnt, and an
//! older listing does not overwrite it.
//!
//! - [`listing`] defines the platform's listing of one upstream.
//! - [`upstream`] holds the state of one upstream.
//! - `score` counts failures, and `pools` what is known of the silence of each pool.

pub mod listing;
mod pools;
mod score;
pub mod upstream;

use std::time::Duration;

use wire::{Time, Upstream, rank};

use crate::announced_rate::Rate;
use crate::demand::Target;
use crate::permit::{Brittleness, Tolerance};
use crate::route::Config;
pub use listing::{Holding, Listing, Load, Presence, Release, Version, release};
use pools::Pools;
pub use upstream::{AttemptResult, LISTING_LAG, UpstreamState};
use upstream::{Residency, Source};

/// Maximum number of processes that are remembered after their removal.
const DEPARTED_MAX: usize = 256;

/// A process that is no longer listed.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Departed {
    id: Upstream,
    born: Option<u64>,
    /// Whether it was shutting down.
    leaving: bool,
}

/// All known upstreams.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// Sorted by id.
    upstreams: Vec<UpstreamState>,
    /// Processes that are no longer listed, the most recent last.
    departed: Vec<Departed>,
    /// Newest announced versions, sorted by target.
    versions: Vec<(Target, Version)>,
    /// Digest of `versions`.
    versions_digest: u64,
    pools: Pools,
}

/// The effect of a listing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListingChange {
    /// The upstream is new.
    Appeared,
    /// Another process has taken over its id.
    Restarted,
    /// The upstream has begun to shut down.
    Leaving,
    /// Nothing that affects requests.
    Same,
}

impl Fleet {
    /// Returns all upstreams.
    pub fn upstreams(&self) -> &[UpstreamState] {
        &self.upstreams
    }

    /// Returns the upstreams of `pool` that accept requests now.
    pub fn accepting<'a>(
        &'a self,
        now: Time,
        pool: &'a str,
    ) -> impl Iterator<Item = &'a UpstreamState> {
        self.eligible(pool)
            .filter(move |upstream| upstream.accepts_requests(now))
    }

    /// Returns the upstreams of `pool` that accept requests now and announce no rate.
    pub fn unlimited<'a>(
        &'a self,
        now: Time,
        pool: &'a str,
    ) -> impl Iterator<Item = &'a UpstreamState> {
        self.accepting(now, pool)
            .filter(|upstream| !upstream.is_rate_limited())
    }

    /// Returns the upstreams of `pool` that requests may go to, including paused ones.
    pub fn eligible<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = &'a UpstreamState> {
        self.upstreams
            .iter()
            .filter(move |upstream| *upstream.listing.pool == *pool && upstream.is_eligible())
    }

    /// Returns the upstream `id`.
    pub fn upstream(&self, id: &str) -> Option<&UpstreamState> {
        let index = self.position(id).ok()?;
        self.upstreams.get(index)
    }

    fn upstream_mut(&mut self, id: &str) -> Option<&mut UpstreamState> {
        let index = self.position(id).ok()?;
        self.upstreams.get_mut(index)
    }

    fn position(&self, id: &str) -> Result<usize, usize> {
        self.upstreams
            .binary_search_by(|upstream| (*upstream.listing.id).cmp(id))
    }

    /// Applies the engine settings of a new configuration.
    pub fn configure(&mut self, config: &Config) {
        for upstream in &mut self.upstreams {
            upstream.configure(config);
        }
    }

    /// Applies the engine settings of the configuration in force to the upstream `id`.
    pub fn configure_upstream(&mut self, id: &str, config: &Config) {
        if let Some(upstream) = self.upstream_mut(id) {
            upstream.configure(config);
        }
    }

    /// Applies the holdings that an engine's owner has announced. Newer information is kept.
    pub fn apply_owner_holdings(&mut self, now: Time, id: &str, holdings: Vec<Holding>) {
        if let Some(upstream) = self.upstream_mut(id) {
            upstream.relist(|listing| listing.holdings = holdings);
            upstream.merge_holdings(now, Source::Listing);
        }
    }

    /// Applies an engine's own report, which is newer than any listing. Targets that it does not
    /// name are absent.
    pub fn apply_report(
        &mut self,
        now: Time,
        id: &str,
        holdings: Vec<Holding>,
        coming: Vec<(Target, Option<Version>, Time)>,
    ) {
        if let Some(upstream) = self.upstream_mut(id) {
            upstream.relist(|listing| listing.holdings = holdings);
            upstream.merge_holdings(now, Source::Report);
            for (target, version, at) in coming {
                upstream.put(now, &target, Presence::Coming(at, version), false);
            }
        }
    }

    /// Applies a listing.
    pub fn apply_listing(&mut self, now: Time, mut listing: Listing) -> ListingChange {
        let index = match self.position(&listing.id) {
            Ok(index) => index,
            Err(index) => {
                // An expired entry may reappear while its process is still shutting down. Without
                // the start of the process, it may be another one.
                let departed = self.departed_process(&listing);
                let leaving =
                    departed.is_some_and(|process| process.leaving && process.born.is_some());
                self.departed
                    .retain(|process| process.id != listing.id || process.born != listing.born);
                let mut upstream = UpstreamState::new(now, listing);
                upstream.shutting_down = leaving;
                upstream.brittleness = self.pool_brittleness(now, &upstream.listing.pool);
                self.upstreams.insert(index, upstream);
                return ListingChange::Appeared;
            }
        };
        let upstream = &mut self.upstreams[index];
        if !upstream.is_same_process(&listing) {
            let (running, engine) = (upstream.running, upstream.engine.take());
            let brittleness = upstream.brittleness.inherit(now);
            *upstream = UpstreamState::new(now, listing);
            (upstream.running, upstream.engine) = (running, engine);
            upstream.brittleness = brittleness;
            return ListingChange::Restarted;
        }
        let began_leaving = listing.leaving && !upstream.is_leaving();
        upstream.shutting_down |= upstream.listing.leaving;
        listing.leaving |= upstream.listing.leaving;
        upstream.relist(|known| *known = listing);
        upstream.merge_holdings(now, Source::Listing);
        if began_leaving {
            ListingChange::Leaving
        } else {
            ListingChange::Same
        }
    }

    /// Returns what is assumed of a new process until it has answered: the others of its pool run the
    /// same software under the same load.
    fn pool_brittleness(&self, now: Time, pool: &str) -> Brittleness {
        let others = self.upstreams.iter();
        let others = others.filter(|known| *known.listing.pool == *pool);
        let brittle = others.filter(|known| known.brittleness.tolerance().is_some());
        let most = brittle.min_by_key(|known| known.brittleness.tolerance());
        most.map_or_else(Brittleness::default, |known| known.brittleness.inherit(now))
    }

    /// Applies a listing without adapters; known adapters are kept. A process that is shutting
    /// down stays so, even if a delayed summary says otherwise.
    pub fn apply_summary(&mut self, now: Time, summary: Listing) -> ListingChange {
        let Some(upstream) = self
            .upstream_mut(&summary.id)
            .filter(|known| known.is_same_process(&summary))
        else {
            return self.apply_listing(now, summary);
        };
        let began_leaving = summary.leaving && !upstream.is_leaving();
        for holding in &summary.holdings {
            let base = Target::base_only(&holding.base);
            upstream.merge_target(now, &base, None, Source::Listing);
        }
        let is_gone = |residency: &Residency| {
            let base = &residency.target.base;
            residency.listed && summary.holdings.iter().all(|holding| holding.base != *base)
        };
        upstream.residency.retain(|residency| !is_gone(residency));
        upstream.relist(|listing| {
            listing.leaving |= summary.leaving;
            listing.slots = summary.slots;
            listing.holdings = summary.holdings;
        });
        if began_leaving {
            ListingChange::Leaving
        } else {
            ListingChange::Same
        }
    }

    /// Returns a digest of the listed upstreams and announced versions. Nodes compare it to detect
    /// missed changes.
    pub fn digest(&self) -> u64 {
        let upstreams = self.upstreams.iter().map(UpstreamState::digest);
        upstreams.fold(self.versions_digest, |digest, hash| digest ^ hash)
    }

    /// Removes an upstream. Returns whether it was known.
    pub fn remove(&mut self, id: &str) -> bool {
        match self.position(id) {
            Ok(index) => {
                let upstream = self.upstreams.remove(index);
                let leaving = upstream.is_leaving();
                self.departed.push(Departed {
                    id: upstream.listing.id,
                    born: upstream.listing.born,
                    leaving,
                });
                let surplus = self.departed.len().saturating_sub(DEPARTED_MAX);
                self.departed.drain(..surplus);
                true
            }
            Err(_) => false,
        }
    }

    /// Returns whether `listing` describes a process that was removed, or that another one under its id
    /// has replaced. A platform that was restored from a copy lists such processes again.
    pub fn is_outdated(&self, listing: &Listing) -> bool {
        match self.upstream(&listing.id) {
            Some(known) => listing.born < known.listing.born,
            None => self.departed_process(listing).is_some(),
        }
    }

    fn departed_process(&self, listing: &Listing) -> Option<&Departed> {
        let is_same =
            |process: &&Departed| process.id == listing.id && process.born == listing.born;
        self.departed.iter().rev().find(is_same)
    }

    /// Records that the process of `id` has announced its shutdown. Returns whether that was new.
    pub fn mark_leaving(&mut self, id: &str) -> bool {
        match self.upstream_mut(id) {
            Some(upstream) => {
                let is_new = !upstream.is_leaving();
                upstream.shutting_down = true;
                is_new
            }
            None => false,
        }
    }

    /// Records that `id` has asked for a pause of `time`.
    pub fn set_pause(&mut self, now: Time, id: &str, time: Duration) {
        if let Some(upstream) = self.upstream_mut(id) {
            upstream.set_pause(now, time);
        }
    }

    /// Records the rate that `id` announces in the answer to a request that was sent at `sent`, if any.
    /// Returns whether other nodes should be told.
    pub fn record_rate(&mut self, now: Time, id: &str, sent: Time, rate: Option<Rate>) -> bool {
        let upstream = self.upstream_mut(id);
        upstream.is_some_and(|upstream| upstream.record_rate(now, sent, rate))
    }

    /// Records that the announced rate of `id` admits no request for `wait`.
    pub fn rate_exhausted(&mut self, now: Time, id: &str, urgent: bool, wait: Duration) {
        if let Some(upstream) = self.upstream_mut(id) {
            upstream.rate.exhausted(now, urgent, wait);
        }
    }

    /// Records what `id` says of its brittleness in the answer to a request that was sent at `sent`.
    /// Returns whether other nodes should be told.
    pub fn record_brittleness(
        &mut self,
        now: Time,
        id: &str,
        sent: Time,
        tolerance: Option<Tolerance>,
    ) -> bool {
        let upstream = self.upstream_mut(id);
        upstream.is_some_and(|upstream| upstream.brittleness.record(now, sent, tolerance))
    }

    /// Records what another node was told of the brittleness of `id`, which has given it that notice.
    /// Returns whether it was new.
    pub fn record_brittleness_news(
        &mut self,
        now: Time,
        id: &str,
        sent: Time,
        (tolerance, notice): (Option<Tolerance>, Duration),
    ) -> bool {
        let upstream = self.upstream_mut(id);
        upstream.is_some_and(|upstream| {
            let brittleness = &mut upstream.brittleness;
            brittleness.record_news(now, sent, tolerance, notice)
        })
    }

    /// Records that no request gets a permit for `id` for `wait`.
    pub fn permits_exhausted(&mut self, now: Time, id: &str, urgent: bool, wait: Duration) {
        if let Some(upstream) = self.upstream_mut(id) {
            upstream.brittleness.exhausted(now, urgent, wait);
        }
    }

    /// Excludes an upstream from requests because another process answers at its address. This ends
    /// when it is listed as a new process, or removed and listed again.
    pub fn exclude(&mut self, id: &str) {
        if let Some(upstream) = self.upstream_mut(id) {
            upstream.excluded = true;
        }
    }

    /// Sets a target's residency as learnt from a source that is newer than listings.
    pub fn set_presence(&mut self, now: Time, id: &str, target: &Target, presence: Presence) {
        if let Some(upstream) = self.upstream_mut(id) {
            upstream.put(now, target, presence, false);
        }
    }

    /// Expects an overdue load at `at`. This does not renew the time at which the load was learnt,
    /// so that a load that never finishes counts as failed in the end.
    pub fn postpone_load(
        &mut self,
        now: Time,
        id: &str,
        target: &Target,
        at: Time,
        version: Option<Version>,
    ) {
        if let Some(upstream) = self.upstream_mut(id) {
            upstream.postpone_load(now, target, at, version);
        }
    }

    /// Records that a request was sent to `id`.
    pub fn request_started(&mut self, now: Time, id: &str) {
        if let Some(upstream) = self.upstream_mut(id) {
            upstream.running += 1;
            if upstream.running == 1 || upstream.awaiting_since.is_none() {
                upstream.awaiting_since = Some(now);
            }
        }
    }

    /// Records the end of a request at `id`.
    pub fn request_ended(&mut self, now: Time, id: &str, result: AttemptResult) {
        let Some(upstream) = self.upstream_mut(id) else {
            return;
        };
        upstream.running = upstream.running.saturating_sub(1);
        if upstream.running == 0 {
            upstream.awaiting_since = None;
        }
        upstream.record_result(now, result);
    }

    /// Sets the prefill time that is ahead at `id`.
    pub fn set_prefill_backlog(&mut self, now: Time, id: &str, backlog: Duration) {
        if let Some(upstream) = self.upstream_mut(id) {
            upstream.prefilled_at = now + backlog;
        }
    }

    /// Sets the time until `id` could have loaded another adapter.
    pub fn set_load_backlog(&mut self, now: Time, id: &str, backlog: Duration) {
        if let Some(upstream) = self.upstream_mut(id) {
            upstream.loads_done_at = now + backlog;
        }
    }

    /// Records the load that `id` reported.
    pub fn record_load(&mut self, now: Time, id: &str, load: Load) {
        if let Some(upstream) = self.upstream_mut(id) {
            upstream.reported = Some((now, load, upstream.running));
        }
    }

    /// Records a version of an adapter. Returns whether it is newer than the known one.
    pub fn announce_version(&mut self, target: Target, version: Version) -> bool {
        let index = self
            .versions
            .binary_search_by(|(known, _)| known.cmp(&target));
        match index {
            Ok(index) if self.versions[index].1 >= version => return false,
            Ok(index) => {
                let former = std::mem::replace(&mut self.versions[index].1, version);
                self.versions_digest ^= version_digest(&target, former);
            }
            Err(index) => self.versions.insert(index, (target.clone(), version)),
        }
        self.versions_digest ^= version_digest(&target, version);
        true
    }

    /// Returns the newest announced version of an adapter, if any.
    pub fn newest_version(&self, target: &Target) -> Option<Version> {
        let found = self
            .versions
            .binary_search_by(|(known, _)| known.cmp(target));
        found.ok().map(|index| self.versions[index].1)
    }

    /// Returns whether `upstream` holds the newest version of `target`.
    pub fn serves(&self, upstream: &UpstreamState, target: &Target) -> bool {
        match upstream.presence(target) {
            Presence::Held(version) => self.is_newest(target, version),
            Presence::Coming(..) | Presence::Absent => false,
        }
    }

    /// Returns whether `version` is the newest announced one of `target`, or none was announced.
    pub fn is_newest(&self, target: &Target, version: Option<Version>) -> bool {
        match self.newest_version(target) {
            Some(newest) => version.is_some_and(|version| version >= newest),
            None => true,
        }
    }
}

fn version_digest(target: &Target, version: Version) -> u64 {
    rank::weight(version, &target.to_string())
}
