//! Selection of the upstream for a request.
//!
//! Each candidate has a cost: the milliseconds that the request is expected to lose there. The
//! cheapest candidate wins. An adapter's replicas are the first upstreams of its rendezvous order
//! (Thaler and Ravishankar, 1998). Their number follows the adapter's share of the demand, so a
//! rare adapter stays on an engine that already keeps its weights.

use std::time::Duration;

use wire::{Time, Upstream, Zone, rank};

use crate::demand::{Demand, Target};
use crate::fleet::{Fleet, Presence, Release, UpstreamState};
use crate::route::Service;

/// Cost of each request that an engine already runs: its share of the steps and prefills ahead.
const RUNNING_COST_MS: f64 = 2.0;

/// Cost of a plain service at full load: the duration of a usual request.
const FULL_LOAD_COST_MS: f64 = 40.0;

/// Approximate time that an engine spends on one request. Divided by the engine's slots, it gives
/// the interval at which slots become free.
const REQUEST_DURATION_MS: f64 = 2_000.0;

/// Cost of a failure score of 1: a failed attempt loses about the time it takes to detect it.
const FAILURE_COST_MS: f64 = 1_500.0;

/// Cost of another availability zone: two crossings, and the bytes transferred between zones.
const CROSS_ZONE_COST_MS: f64 = 3.0;

/// Cost of a load that has to wait for its turn.
const QUEUED_LOAD_COST_MS: f64 = 280.0;

/// Cost of each position further down the rendezvous order of an adapter that has to be loaded.
const RENDEZVOUS_POSITION_COST_MS: f64 = 300.0;

/// Cost of a load on an engine without an owner: the time until a node claims it.
const UNOWNED_COST_MS: f64 = 2_500.0;

/// Cost of a load on an engine that announces a rate, which may admit none of the requests that wait
/// for the load.
const LIMITED_LOAD_COST_MS: f64 = 5_000.0;

/// Replicas for each whole upstream's worth of demand.
const REPLICAS_PER_SHARE: f64 = 1.0;

/// Wait for a prefill from which an adapter gets another replica: about the time of a load.
pub const REPLICATION_WAIT: Duration = Duration::from_millis(250);

/// Failure score from which an engine gets no new replicas. A single recent failure exceeds it.
const REPLICA_FAILURE_SCORE_MAX: f64 = 0.3;

/// Cost of the prefill of a long prompt on a shared engine, which delays all of its streams.
const LONG_ON_SHARED_COST_MS: f64 = 2_500.0;

/// Cost of a short prompt on a dedicated engine, where a long prompt is likely to delay its stream.
const SHORT_ON_DEDICATED_COST_MS: f64 = 1_000.0;

/// Key of the rendezvous order that selects the engines for long prompts.
const LONG_PROMPT_KEY: u64 = 0x6c6f_6e67;

/// Prefill time from which a prompt counts as long: half of the pause that makes a stream late.
pub const LONG_PROMPT: Duration = Duration::from_millis(120);

/// What a request requires of its upstream.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// The pool.
    pub service: &'a Service,
    /// The model; absent for plain services.
    pub target: Option<&'a Target>,
    /// Upstreams that it was already sent to.
    pub tried: &'a [Upstream],
    /// Hash of the attempt, which breaks ties.
    pub seed: u64,
    /// Whether it is among the most urgent requests.
    pub urgent: bool,
    /// Expected prefill time of its prompt.
    pub prefill_time: Duration,
    /// Release that its stream began at, which alone may continue it.
    pub release: Option<Release>,
}

impl Requirements<'_> {
    /// Returns whether the prefill would delay the other streams of an engine.
    pub fn has_long_prompt(&self) -> bool {
        self.prefill_time >= LONG_PROMPT
    }

    /// Returns whether the request may go to `upstream`, if that accepts any.
    fn fits(&self, upstream: &UpstreamState) -> bool {
        let same = self
            .release
            .is_none_or(|release| release == upstream.listing.release);
        same && !self.tried.contains(&upstream.listing.id)
    }
}

/// The state of this node at the time of a selection.
#[derive(Clone, Copy, Debug)]
pub struct SelectionContext<'a, F> {
    /// The present time.
    pub now: Time,
    /// Availability zone of this node.
    pub zone: &'a Zone,
    /// Fraction of the engines that is dedicated to long prompts, see
    /// [`Demand::long_prompt_engines`].
    pub long_prompt_engines: f64,
    /// Returns whether an engine has an owner, which orders its loads.
    pub owned: F,
}

/// The result of a selection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Selection {
    /// The request can be sent to this upstream now.
    Send(Upstream),
    /// The request can be sent once its adapter, which is being loaded, is resident.
    Wait(Upstream, Time),
    /// The adapter has to be loaded on this upstream first.
    Load(Upstream),
    /// No upstream accepts the request.
    None(Unavailable),
}

/// Why no upstream accepts a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unavailable {
    /// The pool has no eligible upstream.
    NoUpstream,
    /// No eligible upstream is of the release that began the stream.
    NoRelease,
    /// Every eligible upstream was tried.
    AllTried,
    /// Every untried upstream has asked for a pause, or announces a rate that is used up; the first one
    /// takes a request after this time.
    AllPaused(Duration),
    /// No eligible upstream holds the base model.
    NoWeights,
}

impl Unavailable {
    /// Returns the name used in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NoUpstream => "no-upstream",
            Self::NoRelease => "no-release",
            Self::AllTried => "all-tried",
            Self::AllPaused(_) => "all-paused",
            Self::NoWeights => "no-weights",
        }
    }
}

/// Selects the upstream for a request.
pub fn select_upstream(
    fleet: &Fleet,
    requirements: &Requirements<'_>,
    context: &SelectionContext<'_, impl Fn(&Upstream) -> bool>,
) -> Selection {
    let mut eligible = fleet.eligible(&requirements.service.name).peekable();
    if eligible.peek().is_none() {
        return Selection::None(Unavailable::NoUpstream);
    }
    let eligible: Vec<&UpstreamState> = eligible.collect();
    let is_release = |release| {
        eligible
            .iter()
            .any(|known| known.listing.release == release)
    };
    if requirements
        .release
        .is_some_and(|release| !is_release(release))
    {
        return Selection::None(Unavailable::NoRelease);
    }
    let untried: Vec<&UpstreamState> = eligible
        .into_iter()
        .filter(|upstream| requirements.fits(upstream))
        .collect();
    let pauses = untried
        .iter()
        .map(|upstream| upstream.wait(context.now, requirements.urgent));
    let Some(pause) = pauses.min() else {
        return Selection::None(Unavailable::AllTried);
    };
    if !pause.is_zero() {
        return Selection::None(Unavailable::AllPaused(pause));
    }
    let accepts =
        |upstream: &&UpstreamState| upstream.wait(context.now, requirements.urgent).is_zero();
    let accepting: Vec<&UpstreamState> = untried.into_iter().filter(accepts).collect();
    match requirements.target {
        Some(target) if requirements.service.engine.is_some() => {
            select_engine(fleet, requirements, context, target, &accepting)
        }
        _ => select_plain(fleet, requirements, context, &accepting),
    }
}

fn select_plain<F>(
    fleet: &Fleet,
    requirements: &Requirements<'_>,
    context: &SelectionContext<'_, F>,
    upstreams: &[&UpstreamState],
) -> Selection {
    let cost = |upstream: &UpstreamState| {
        let slots = f64::from(upstream.listing.slots.max(1));
        let load = f64::from(upstream.request_count(context.now)) / slots;
        load * FULL_LOAD_COST_MS + common_cost(fleet, requirements, context, upstream)
    };
    let best = cheapest(upstreams.iter().map(|upstream| (cost(upstream), *upstream)));
    best.map_or(Selection::None(Unavailable::NoUpstream), |upstream| {
        Selection::Send(upstream.listing.id.clone())
    })
}

fn select_engine(
    fleet: &Fleet,
    requirements: &Requirements<'_>,
    context: &SelectionContext<'_, impl Fn(&Upstream) -> bool>,
    target: &Target,
    upstreams: &[&UpstreamState],
) -> Selection {
    let (now, long) = (context.now, requirements.has_long_prompt());
    let candidates = with_base_model(fleet, target, upstreams.iter().copied());
    let dedicated = long_prompt_engines(&candidates, context.long_prompt_engines);
    let is_dedicated = |upstream: &UpstreamState| {
        dedicated
            .iter()
            .any(|engine| std::ptr::eq(*engine, upstream))
    };
    let mut ordered = rendezvous_order(target, &candidates);
    // Long prompts prefer the dedicated engines, all others avoid them.
    ordered.sort_by_key(|upstream| is_dedicated(upstream) != long);
    let costs = ordered.into_iter().enumerate().map(|(position, upstream)| {
        let isolation_cost = match (long, is_dedicated(upstream)) {
            (true, false) if !dedicated.is_empty() => LONG_ON_SHARED_COST_MS,
            (false, true) => SHORT_ON_DEDICATED_COST_MS,
            _ => 0.0,
        };
        let cost = load_cost(fleet, context, target, upstream, position)
            + queue_cost(now, upstream)
            + isolation_cost;
        (
            cost + common_cost(fleet, requirements, context, upstream),
            upstream,
        )
    });
    let Some(best) = cheapest(costs) else {
        return Selection::None(Unavailable::NoWeights);
    };
    let id = best.listing.id.clone();
    match best.presence(target) {
        Presence::Held(version) if fleet.is_newest(target, version) => Selection::Send(id),
        Presence::Coming(at, version) if fleet.is_newest(target, version) => {
            if at > now {
                Selection::Wait(id, at)
            } else {
                Selection::Send(id)
            }
        }
        _ => Selection::Load(id),
    }
}

/// Returns those of `upstreams` that hold the base model of `target`.
fn with_base_model<'a>(
    fleet: &Fleet,
    target: &Target,
    upstreams: impl Iterator<Item = &'a UpstreamState>,
) -> Vec<&'a UpstreamState> {
    let base = Target::base_only(&target.base);
    upstreams
        .filter(|upstream| fleet.serves(upstream, &base))
        .collect()
}

/// Returns `upstreams` in the rendezvous order of `target`.
fn rendezvous_order<'a>(
    target: &Target,
    upstreams: &[&'a UpstreamState],
) -> Vec<&'a UpstreamState> {
    let key = rank::hash(target.to_string());
    rank::top(key, upstreams.iter().copied(), upstreams.len())
}

/// Returns the engines dedicated to long prompts. The prefill of a long prompt pauses every stream
/// of its engine, so long prompts share a few engines, away from other streams. All nodes that know
/// the same engines compute the same set.
fn long_prompt_engines<'a>(
    upstreams: &[&'a UpstreamState],
    fraction: f64,
) -> Vec<&'a UpstreamState> {
    let count = (upstreams.len() as f64 * fraction).round() as usize;
    rank::top(LONG_PROMPT_KEY, upstreams.iter().copied(), count)
}

/// Returns how many out of `upstreams` should hold `target`.
pub fn replica_count(now: Time, demand: &Demand, target: &Target, upstreams: usize) -> usize {
    let wanted = demand.share(now, target) * upstreams as f64 * REPLICAS_PER_SHARE;
    (wanted.ceil() as usize).clamp(1, upstreams.max(1))
}

/// Returns an upstream that should hold the target by its demand but does not.
pub fn missing_replica(
    now: Time,
    fleet: &Fleet,
    demand: &Demand,
    requirements: &Requirements<'_>,
) -> Option<Upstream> {
    let target = requirements.target?;
    target.adapter.as_ref()?;
    let unlimited = fleet.unlimited(now, &requirements.service.name);
    let mut candidates = with_base_model(fleet, target, unlimited);
    let dedicated = long_prompt_engines(&candidates, demand.long_prompt_engines(now));
    candidates.retain(|upstream| {
        !dedicated
            .iter()
            .any(|engine| std::ptr::eq(*engine, *upstream))
    });
    let count = replica_count(now, demand, target, candidates.len());
    let present = candidates
        .iter()
        .filter(|upstream| is_present(upstream, target));
    if count < 2 || present.count() >= count {
        return None;
    }
    let mut ordered = rendezvous_order(target, &candidates).into_iter();
    let missing = ordered.find(|upstream| {
        !is_present(upstream, target) && upstream.failure_score(now) < REPLICA_FAILURE_SCORE_MAX
    });
    missing.map(|upstream| upstream.listing.id.clone())
}

/// Returns the engines of `pool` that may hold `target`, in its rendezvous order. Those that have
/// failed recently, announce a rate or serve only long prompts are left out.
pub(crate) fn replica_order<'a>(
    now: Time,
    fleet: &'a Fleet,
    pool: &'a str,
    target: &Target,
) -> Vec<&'a UpstreamState> {
    let sound = fleet
        .unlimited(now, pool)
        .filter(|upstream| upstream.failure_score(now) < REPLICA_FAILURE_SCORE_MAX);
    rendezvous_order(target, &with_base_model(fleet, target, sound))
}

/// Returns an upstream that should hold the target as well, because a request has to wait for
/// `wait` at an upstream that already does: the next one in the rendezvous order whose queue is
/// shorter than that.
///
/// A single request does not count as demand: the target's share has to be above what chance alone
/// explains.
pub fn additional_replica(
    now: Time,
    fleet: &Fleet,
    demand: &Demand,
    requirements: &Requirements<'_>,
    wait: Duration,
) -> Option<Upstream> {
    let target = requirements.target?;
    target.adapter.as_ref()?;
    if wait < REPLICATION_WAIT || requirements.has_long_prompt() || demand.share(now, target) <= 0.0
    {
        return None;
    }
    let unlimited = fleet.unlimited(now, &requirements.service.name);
    let candidates = with_base_model(fleet, target, unlimited);
    let wait = wait.as_secs_f64() * 1_000.0;
    let mut ordered = rendezvous_order(target, &candidates).into_iter();
    let next = ordered.find(|upstream| {
        let suitable = queue_cost(now, upstream) < wait
            && upstream.failure_score(now) < REPLICA_FAILURE_SCORE_MAX;
        !is_present(upstream, target) && suitable
    });
    next.map(|upstream| upstream.listing.id.clone())
}

/// Returns the engine that holds the base model of the target and has the shortest wait for a load,
/// as far as this node knows, with that wait. Equal waits go by the rendezvous order of the target.
pub fn shortest_load_wait(
    fleet: &Fleet,
    requirements: &Requirements<'_>,
    context: &SelectionContext<'_, impl Fn(&Upstream) -> bool>,
) -> Option<(Upstream, Duration)> {
    let target = requirements.target?;
    let accepting = fleet
        .accepting(context.now, &requirements.service.name)
        .filter(|upstream| requirements.fits(upstream))
        .filter(|upstream| (context.owned)(&upstream.listing.id));
    let candidates = with_base_model(fleet, target, accepting);
    let ordered = rendezvous_order(target, &candidates).into_iter();
    let wait = |upstream: &&UpstreamState| upstream.load_backlog(context.now);
    let shortest = ordered.min_by_key(|upstream| (upstream.is_rate_limited(), wait(upstream)))?;
    let wait = shortest.load_backlog(context.now);
    Some((shortest.listing.id.clone(), wait))
}

/// Returns the engine that holds the newest version of the target and could begin with the request
/// first, with the time until then. Engines that are unusually silent are left out, and so are those
/// whose streams a long prompt would delay.
pub fn soonest_resident(
    fleet: &Fleet,
    requirements: &Requirements<'_>,
    context: &SelectionContext<'_, impl Fn(&Upstream) -> bool>,
) -> Option<(Upstream, Duration)> {
    let (now, target) = (context.now, requirements.target?);
    let usual = fleet.silence_of(&requirements.service.name).avoid_after();
    let accepting = fleet
        .accepting(now, &requirements.service.name)
        .filter(|upstream| requirements.fits(upstream));
    let mut candidates = with_base_model(fleet, target, accepting);
    let dedicated = long_prompt_engines(&candidates, context.long_prompt_engines);
    if requirements.has_long_prompt() && !dedicated.is_empty() {
        candidates = dedicated;
    }
    candidates.retain(|upstream| {
        let held = matches!(upstream.presence(target), Presence::Held(version) if fleet.is_newest(target, version));
        held && upstream.silence(now) <= usual
    });
    let waits = candidates.into_iter().map(|upstream| {
        let wait = Duration::from_secs_f64(queue_cost(now, upstream) / 1_000.0);
        (wait, upstream)
    });
    let (wait, soonest) = waits.min_by_key(|(wait, _)| *wait)?;
    Some((soonest.listing.id.clone(), wait))
}

fn is_present(upstream: &UpstreamState, target: &Target) -> bool {
    upstream.presence(target) != Presence::Absent
}

/// Returns the cost of waiting until `target` is resident.
fn load_cost(
    fleet: &Fleet,
    context: &SelectionContext<'_, impl Fn(&Upstream) -> bool>,
    target: &Target,
    upstream: &UpstreamState,
    position: usize,
) -> f64 {
    match upstream.presence(target) {
        Presence::Held(version) if fleet.is_newest(target, version) => 0.0,
        Presence::Coming(at, version) if fleet.is_newest(target, version) => {
            at.saturating_sub(context.now).as_secs_f64() * 1_000.0
        }
        _ => {
            let limit_cost = if upstream.is_rate_limited() {
                LIMITED_LOAD_COST_MS
            } else {
                0.0
            };
            limit_cost + absent_cost(context, upstream, position)
        }
    }
}

/// Returns the cost of loading an adapter at an engine that is at `position` in its rendezvous order.
fn absent_cost(
    context: &SelectionContext<'_, impl Fn(&Upstream) -> bool>,
    upstream: &UpstreamState,
    position: usize,
) -> f64 {
    if !(context.owned)(&upstream.listing.id) {
        return UNOWNED_COST_MS;
    }
    let backlog = upstream.load_backlog(context.now).as_secs_f64() * 1_000.0;
    backlog.max(QUEUED_LOAD_COST_MS) + RENDEZVOUS_POSITION_COST_MS * position as f64
}

/// Returns the cost of the requests and prefills that are ahead at an engine.
fn queue_cost(now: Time, upstream: &UpstreamState) -> f64 {
    let requests = upstream.request_count(now);
    let queued = requests.saturating_sub(upstream.listing.slots.saturating_sub(1));
    let prefill = upstream.prefill_backlog(now).as_secs_f64() * 1_000.0;
    let slot_interval = REQUEST_DURATION_MS / f64::from(upstream.listing.slots.max(1));
    f64::from(requests) * RUNNING_COST_MS + f64::from(queued) * slot_interval + prefill
}

/// Returns the cost of failures, silence and distance, plus a tie breaker.
fn common_cost<F>(
    fleet: &Fleet,
    requirements: &Requirements<'_>,
    context: &SelectionContext<'_, F>,
    upstream: &UpstreamState,
) -> f64 {
    let usual = fleet.silence_of(&requirements.service.name).avoid_after();
    let silence_cost = if upstream.silence(context.now) > usual {
        FAILURE_COST_MS
    } else {
        0.0
    };
    let zone_cost = if upstream.listing.zone == *context.zone {
        0.0
    } else {
        CROSS_ZONE_COST_MS
    };
    // Spreads attempts over equal candidates; stays below a millisecond.
    let spread = rank::weight(requirements.seed, &upstream.listing.id) as f64 / u64::MAX as f64;
    upstream.failure_score(context.now) * FAILURE_COST_MS + silence_cost + zone_cost + spread
}

fn cheapest<'a>(
    costs: impl IntoIterator<Item = (f64, &'a UpstreamState)>,
) -> Option<&'a UpstreamState> {
    let best = costs.into_iter().min_by(|(a, _), (b, _)| a.total_cmp(b));
    best.map(|(_, upstream)| upstream)
}
