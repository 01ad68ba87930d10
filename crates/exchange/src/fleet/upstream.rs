//! The state of one upstream, as known to this node.

use std::time::Duration;

use wire::Time;

use super::listing::{Holding, Listing, Load, Presence, Version};
use super::score::Score;
use crate::announced_rate::{AnnouncedRate, Rate};
use crate::demand::Target;
use crate::permit::Brittleness;
use crate::route::{Config, Engine};

/// Time for which residency learnt from a newer source takes precedence over a listing. Listings
/// are written about once a second and take a few tenths of a second to arrive.
pub const LISTING_LAG: Duration = Duration::from_millis(2_000);

/// Time after which an overdue load counts as failed.
const LOAD_TIMEOUT: Duration = Duration::from_secs(3);

/// Age from which a reported load is ignored.
const LOAD_AGE_MAX: Duration = Duration::from_secs(3);

/// Failure score at the end of a pause. It costs about as much as a few waiting requests, so that
/// the upstream first receives only requests for which the others are busy.
const PAUSE_FAILURE_SCORE: f64 = 0.1;

/// The residency of one target.
#[derive(Clone, Debug)]
pub(super) struct Residency {
    pub(super) target: Target,
    pub(super) presence: Presence,
    /// When it was learnt.
    pub(super) since: Time,
    /// Whether it comes from a listing.
    pub(super) listed: bool,
}

/// The source of holdings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// A listing of the platform, which lags behind.
    Listing,
    /// The engine itself.
    Report,
}

/// The result of an attempt, as it affects the failure score of its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The upstream answered.
    Success,
    /// The attempt failed or was cut off.
    Failed,
    /// The upstream was silent towards all requests until the attempt was given up. This is undone
    /// by its next byte.
    Silent,
    /// The result says nothing about the upstream.
    Ignored,
}

/// The state of one upstream.
#[derive(Clone, Debug)]
pub struct UpstreamState {
    /// Its listing.
    pub listing: Listing,
    /// Digest of the listing.
    digest: u64,
    /// Engine settings of its pool, if the configuration has any.
    pub engine: Option<Engine>,
    /// Number of requests that this node has in flight there.
    pub running: u32,
    /// The last reported load, when it came, and `running` at that time.
    pub(super) reported: Option<(Time, Load, u32)>,
    /// Failures, apart from silence.
    failures: Score,
    /// Attempts that were given up since the last byte because it was silent.
    silences: Score,
    /// Sorted by target.
    pub(super) residency: Vec<Residency>,
    /// Whether another process answers at its address.
    pub(super) excluded: bool,
    /// Whether its process has announced its shutdown or was listed as leaving, which is final.
    pub(super) shutting_down: bool,
    /// When the pause that it asked for ends.
    pub(super) paused_until: Time,
    /// The rate that it announces.
    pub rate: AnnouncedRate,
    /// Whether it crashes once it has to turn too many requests away.
    pub brittleness: Brittleness,
    /// When the prefills of all admitted prompts will be done, as far as known.
    pub(super) prefilled_at: Time,
    /// When another adapter could be loaded.
    pub(super) loads_done_at: Time,
    /// When the last byte was received.
    pub(super) last_byte_at: Option<Time>,
    /// Since when an answer is awaited.
    pub(super) awaiting_since: Option<Time>,
}

impl AsRef<str> for UpstreamState {
    fn as_ref(&self) -> &str {
        &self.listing.id
    }
}

impl UpstreamState {
    pub(super) fn new(now: Time, listing: Listing) -> Self {
        let mut upstream = Self {
            digest: listing.digest(),
            listing,
            engine: None,
            running: 0,
            reported: None,
            failures: Score::default(),
            silences: Score::default(),
            residency: Vec::new(),
            excluded: false,
            shutting_down: false,
            paused_until: Time::ZERO,
            rate: AnnouncedRate::default(),
            brittleness: Brittleness::default(),
            prefilled_at: now,
            loads_done_at: now,
            last_byte_at: None,
            awaiting_since: None,
        };
        upstream.merge_holdings(now, Source::Listing);
        upstream
    }

    /// Changes the listing.
    pub(super) fn relist(&mut self, change: impl FnOnce(&mut Listing)) {
        change(&mut self.listing);
        self.digest = self.listing.digest();
    }

    /// Returns the digest of the listing.
    pub(super) const fn digest(&self) -> u64 {
        self.digest
    }

    /// Applies the engine settings of its pool.
    pub(super) fn configure(&mut self, config: &Config) {
        let service = config.service(&self.listing.pool);
        self.engine = service.and_then(|service| service.engine.clone());
    }

    /// Returns whether `listing` describes the same process.
    pub(super) fn is_same_process(&self, listing: &Listing) -> bool {
        self.listing.born == listing.born
            && self.listing.address == listing.address
            && self.listing.pool == listing.pool
            && self.listing.release == listing.release
    }

    /// Returns whether requests may go to it, pauses aside.
    pub fn is_eligible(&self) -> bool {
        !self.is_leaving() && !self.excluded
    }

    /// Returns whether its process is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.listing.leaving || self.shutting_down
    }

    /// Returns whether new requests may go to it now.
    pub fn accepts_requests(&self, now: Time) -> bool {
        self.is_eligible() && self.pause_left(now).is_zero()
    }

    /// Returns the rest of the pause that it asked for.
    pub fn pause_left(&self, now: Time) -> Duration {
        self.paused_until.saturating_sub(now)
    }

    /// Returns whether it announces a rate.
    pub const fn is_rate_limited(&self) -> bool {
        self.rate.rate().is_some()
    }

    /// Returns the time until a request may be sent to it: the rest of its pause, or the time until
    /// its announced rate or its brittleness admits another one.
    pub fn wait(&self, now: Time, urgent: bool) -> Duration {
        let rate = self.rate.wait(now, urgent);
        let permit = self.brittleness.wait(now, urgent);
        self.pause_left(now).max(rate).max(permit)
    }

    /// Records what it announces, see [`AnnouncedRate::record`]. Requests return gradually after the
    /// end of an announcement, as after a pause.
    pub(super) fn record_rate(&mut self, now: Time, sent: Time, rate: Option<Rate>) -> bool {
        let limited = self.rate.rate().is_some();
        let news = self.rate.record(now, sent, rate);
        if limited && self.rate.rate().is_none() {
            self.failures.raise(now, PAUSE_FAILURE_SCORE, now);
        }
        news
    }

    /// Starts or extends a pause. Requests return gradually after it, as after failures.
    pub(super) fn set_pause(&mut self, now: Time, time: Duration) {
        self.paused_until = self.paused_until.max(now + time);
        let until = self.paused_until;
        self.failures.raise(now, PAUSE_FAILURE_SCORE, until);
    }

    /// Returns the residency of `target`.
    pub fn presence(&self, target: &Target) -> Presence {
        match self.position(target) {
            Ok(index) => self.residency[index].presence,
            Err(_) => Presence::Absent,
        }
    }

    /// Returns the targets that are resident or being loaded.
    pub fn present_targets(&self) -> impl Iterator<Item = (&Target, Presence)> {
        self.residency
            .iter()
            .filter(|residency| residency.presence != Presence::Absent)
            .map(|residency| (&residency.target, residency.presence))
    }

    /// Returns its resident models, as far as this node knows.
    pub fn holdings(&self, now: Time) -> Vec<Holding> {
        let mut holdings: Vec<Holding> = Vec::new();
        for residency in &self.residency {
            let Presence::Held(version) = residency.presence.as_of(now) else {
                continue;
            };
            let base = &residency.target.base;
            if holdings.last().is_none_or(|last| last.base != *base) {
                holdings.push(Holding {
                    base: base.clone(),
                    adapters: Vec::new(),
                });
            }
            let adapters = holdings.last_mut().map(|last| &mut last.adapters);
            if let (Some(adapters), Some(name)) = (adapters, &residency.target.adapter) {
                adapters.push((name.clone(), version));
            }
        }
        holdings
    }

    /// Estimates how many requests it has, from the last report and the requests of this node
    /// since.
    pub fn request_count(&self, now: Time) -> u32 {
        match self.reported {
            Some((at, load, own)) if now < at + LOAD_AGE_MAX => {
                let reported = load.running + load.waiting;
                (reported + self.running)
                    .saturating_sub(own)
                    .max(self.running)
            }
            _ => self.running,
        }
    }

    /// Returns the prefill time that is ahead, as far as this node knows.
    pub fn prefill_backlog(&self, now: Time) -> Duration {
        self.prefilled_at.saturating_sub(now)
    }

    /// Returns the time until another adapter could be loaded, as far as this node knows.
    pub fn load_backlog(&self, now: Time) -> Duration {
        self.loads_done_at.saturating_sub(now)
    }

    /// Returns its failure score, from 0 to 1.
    pub fn failure_score(&self, now: Time) -> f64 {
        self.failures.value(now).max(self.silences.value(now))
    }

    /// Returns how long it has sent nothing although an answer is awaited.
    pub fn silence(&self, now: Time) -> Duration {
        match self.awaiting_since {
            Some(since) => now.saturating_sub(since.max(self.last_byte_at.unwrap_or_default())),
            None => Duration::ZERO,
        }
    }

    /// Returns whether it has been silent for longer than `usual`, or attempts were given up since it
    /// was heard from because it was silent.
    pub fn is_silent(&self, now: Time, usual: Duration) -> bool {
        self.silence(now) > usual || self.silences.value(now) > 0.0
    }

    /// Returns when the last byte was received from it, if any was.
    pub const fn heard_at(&self) -> Option<Time> {
        self.last_byte_at
    }

    /// Records that a byte was received.
    pub(super) fn byte_received(&mut self, now: Time) {
        self.last_byte_at = Some(now);
        self.silences = Score::default();
    }

    pub(super) fn position(&self, target: &Target) -> Result<usize, usize> {
        self.residency
            .binary_search_by(|residency| residency.target.cmp(target))
    }

    /// Sets the residency of `target`, learnt now.
    pub(super) fn put(&mut self, now: Time, target: &Target, presence: Presence, listed: bool) {
        let residency = Residency {
            target: target.clone(),
            presence,
            since: now,
            listed,
        };
        match self.position(target) {
            Ok(index) => self.residency[index] = residency,
            Err(index) => self.residency.insert(index, residency),
        }
    }

    /// Merges the listing's holdings into the residency. Information from newer sources is kept.
    pub(super) fn merge_holdings(&mut self, now: Time, source: Source) {
        if source == Source::Report {
            self.residency.clear();
        }
        let is_newer = |residency: &Residency| {
            let since = match residency.presence {
                Presence::Coming(at, _) => at.max(residency.since),
                Presence::Held(_) | Presence::Absent => residency.since,
            };
            !residency.listed && now < since + LISTING_LAG
        };
        self.residency.retain(is_newer);
        let holdings = std::mem::take(&mut self.listing.holdings);
        for holding in &holdings {
            let base = Target::base_only(&holding.base);
            self.merge_target(now, &base, None, source);
            for (adapter, version) in &holding.adapters {
                let target = Target {
                    base: holding.base.clone(),
                    adapter: Some(adapter.clone()),
                };
                self.merge_target(now, &target, *version, source);
            }
        }
        self.listing.holdings = holdings;
    }

    /// Marks `target` as resident, unless it is already known to be resident or absent.
    pub(super) fn merge_target(
        &mut self,
        now: Time,
        target: &Target,
        version: Option<Version>,
        source: Source,
    ) {
        let index = self.position(target);
        let known = index.map(|index| self.residency[index].presence);
        if !matches!(known, Ok(Presence::Held(_) | Presence::Absent)) {
            let listed = source == Source::Listing;
            self.put(now, target, Presence::Held(version), listed);
        }
    }

    /// Updates the failure score with the result of an attempt.
    pub(super) fn record_result(&mut self, now: Time, result: AttemptResult) {
        match result {
            AttemptResult::Success => self.failures.succeed(now),
            AttemptResult::Failed => self.failures.fail(now),
            AttemptResult::Silent => self.silences.fail(now),
            AttemptResult::Ignored => {}
        }
    }

    /// Expects an overdue load at `at`, or gives it up after [`LOAD_TIMEOUT`].
    pub(super) fn postpone_load(
        &mut self,
        now: Time,
        target: &Target,
        at: Time,
        version: Option<Version>,
    ) {
        let Ok(index) = self.position(target) else {
            return;
        };
        let residency = &mut self.residency[index];
        if now < residency.since + LOAD_TIMEOUT {
            residency.presence = Presence::Coming(at, version);
        } else {
            residency.presence = Presence::Absent;
            residency.since = now;
        }
    }
}
