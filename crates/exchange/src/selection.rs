//! Which upstream a request goes to.
//!
//! Each candidate has a cost in milliseconds that the request is expected to lose there; the least
//! one wins. An adapter's homes are the first upstreams of its rendezvous order (Thaler and
//! Ravishankar, 1998), as many as its share of the demand asks for, so that rare adapters stay
//! where the engine keeps their weights at hand.

use std::time::Duration;

use wire::{Time, Upstream, Zone, rank};

use crate::demand::{Demand, Target};
use crate::fleet::{Fleet, Presence, UpstreamState};
use crate::route::Service;

/// Cost of one request that an engine runs already: its share of the steps and prefills ahead.
const RUNNING_MS: f64 = 2.0;

/// Cost of a plain service's whole load: the time of its usual work.
const WAITING_MS: f64 = 40.0;

/// Time that an engine works on one request, about: with it and the engine's places follows how
/// often a place becomes free.
const ANSWER_MS: f64 = 2_000.0;

/// Cost of a full failure score: an attempt that fails loses about the time to notice it.
const TROUBLE_MS: f64 = 1_500.0;

/// Cost of another availability zone: two crossings, and the bytes between zones.
const ZONE_MS: f64 = 3.0;

/// Silence of an upstream that owes an answer from which it counts as in trouble: several times
/// the pause between two events of a stream, below the pause that makes a stream late.
pub const SILENCE_MAX: Duration = Duration::from_millis(450);

/// Cost of a load that has to wait for its turn.
const LOAD_MS: f64 = 280.0;

/// Cost of each place further down in the rendezvous order of an adapter that has to be loaded.
const RANK_MS: f64 = 300.0;

/// Cost of a load at an engine at which nobody orders: the time until somebody claims it.
const UNOWNED_MS: f64 = 2_500.0;

/// Homes for each whole upstream's worth of demand.
const HOMES_FACTOR: f64 = 1.0;

/// Wait to be read at a home from which an adapter gets a further one: about a load's time.
pub const REPLICATION_WAIT: Duration = Duration::from_millis(250);

/// Failure score from which an engine becomes no further home: that of one fresh failure is above.
const HOME_TROUBLE: f64 = 0.3;

/// Part of the engines that read long prompts.
const LANE_PART: f64 = 0.12;

/// Cost of reading a long prompt beside other streams, all of which become late.
const ASTRAY_MS: f64 = 2_500.0;

/// Cost of running a stream among long prompts, one of which is likely to make it late.
const LANE_MS: f64 = 1_000.0;

/// Key of the rendezvous order of the engines that read long prompts.
const LANE_KEY: u64 = 0x6c6f_6e67;

/// Reading time from which a prompt counts as long: half of the pause that makes streams late.
pub const LONG_PROMPT: Duration = Duration::from_millis(120);

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// The pool.
    pub service: &'a Service,
    /// The model; absent for plain services.
    pub target: Option<&'a Target>,
    /// Upstreams that it was sent to already.
    pub tried: &'a [Upstream],
    /// Hash of the attempt, which breaks ties.
    pub seed: u64,
    /// Time that an engine takes to read its prompt.
    pub prefill_time: Duration,
}

impl Requirements<'_> {
    /// Tells whether its prompt is too long to be read beside other streams.
    pub fn has_long_prompt(&self) -> bool {
        self.prefill_time >= LONG_PROMPT
    }
}

/// Where and when a choice is made.
#[derive(Clone, Copy, Debug)]
pub struct SelectionContext<'a, F> {
    /// The present time.
    pub now: Time,
    /// Availability zone of this node.
    pub zone: &'a Zone,
    /// Whether there are long prompts at present.
    pub isolate_long_prompts: bool,
    /// Tells whether some node orders loads at an engine.
    pub owned: F,
}

/// The upstream for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Selection {
    /// It can be sent now.
    Send(Upstream),
    /// It can be sent once its adapter, which is on its way, has come.
    Wait(Upstream, Time),
    /// Its adapter has to be loaded there first.
    Load(Upstream),
    /// No upstream takes it.
    None(Unavailable),
}

/// Why no upstream takes a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unavailable {
    /// The pool has no open upstream.
    NoUpstream,
    /// Every open upstream was tried.
    AllTried,
    /// Every other upstream wants a pause, the first of them for that time.
    AllPaused(Duration),
    /// No open upstream holds the base model.
    NoWeights,
}

impl Unavailable {
    /// Returns the name used in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NoUpstream => "no-upstream",
            Self::AllTried => "all-tried",
            Self::AllPaused(_) => "all-paused",
            Self::NoWeights => "no-weights",
        }
    }
}

/// Picks the upstream for a request.
pub fn select_upstream(
    fleet: &Fleet,
    need: &Requirements<'_>,
    scene: &SelectionContext<'_, impl Fn(&Upstream) -> bool>,
) -> Selection {
    let mut open = fleet.eligible(&need.service.name).peekable();
    if open.peek().is_none() {
        return Selection::None(Unavailable::NoUpstream);
    }
    let untried: Vec<&UpstreamState> = open
        .filter(|runner| !need.tried.contains(&runner.listing.id))
        .collect();
    let Some(pause) = untried
        .iter()
        .map(|runner| runner.pause_left(scene.now))
        .min()
    else {
        return Selection::None(Unavailable::AllTried);
    };
    if !pause.is_zero() {
        return Selection::None(Unavailable::AllPaused(pause));
    }
    let takes = |runner: &&UpstreamState| runner.accepts_requests(scene.now);
    let takers: Vec<&UpstreamState> = untried.into_iter().filter(takes).collect();
    match need.target {
        Some(target) if need.service.engine.is_some() => {
            engine(fleet, need, scene, target, &takers)
        }
        _ => plain(need, scene, &takers),
    }
}

fn plain<F>(
    need: &Requirements<'_>,
    scene: &SelectionContext<'_, F>,
    runners: &[&UpstreamState],
) -> Selection {
    let cost = |runner: &UpstreamState| {
        let slots = f64::from(runner.listing.slots.max(1));
        let load = f64::from(runner.request_count(scene.now)) / slots;
        load * WAITING_MS + common(need, scene, runner)
    };
    let best = least(runners.iter().map(|runner| (cost(runner), *runner)));
    best.map_or(Selection::None(Unavailable::NoUpstream), |runner| {
        Selection::Send(runner.listing.id.clone())
    })
}

fn engine(
    fleet: &Fleet,
    need: &Requirements<'_>,
    scene: &SelectionContext<'_, impl Fn(&Upstream) -> bool>,
    target: &Target,
    runners: &[&UpstreamState],
) -> Selection {
    let (now, long) = (scene.now, need.has_long_prompt());
    let based = based(fleet, target, runners.iter().copied());
    let lanes = if scene.isolate_long_prompts {
        lanes(&based)
    } else {
        Vec::new()
    };
    let apart = |runner: &UpstreamState| lanes.iter().any(|lane| std::ptr::eq(*lane, runner));
    let mut homes = order(target, &based);
    // Long prompts look for a home among their lanes first, others last.
    homes.sort_by_key(|runner| apart(runner) != long);
    let costs = homes.into_iter().enumerate().map(|(place, runner)| {
        let lane = match (long, apart(runner)) {
            (true, false) if scene.isolate_long_prompts => ASTRAY_MS,
            (false, true) => LANE_MS,
            _ => 0.0,
        };
        let cost = stall(fleet, scene, target, runner, place) + busy(now, runner) + lane;
        (cost + common(need, scene, runner), runner)
    });
    let Some(best) = least(costs) else {
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

/// Returns those of `runners` that hold the base model of `target`.
fn based<'a>(
    fleet: &Fleet,
    target: &Target,
    runners: impl Iterator<Item = &'a UpstreamState>,
) -> Vec<&'a UpstreamState> {
    let bare = Target::base_only(&target.base);
    runners
        .filter(|runner| fleet.serves(runner, &bare))
        .collect()
}

/// Returns the rendezvous order of `runners` for `target`.
fn order<'a>(target: &Target, runners: &[&'a UpstreamState]) -> Vec<&'a UpstreamState> {
    let key = rank::hash(target.to_string());
    rank::top(key, runners.iter().copied(), runners.len())
}

/// Returns the engines that read long prompts: such a prompt makes every stream of its engine
/// pause, so they are kept together, away from the other streams. The set is the same on every
/// node that knows the same engines.
fn lanes<'a>(runners: &[&'a UpstreamState]) -> Vec<&'a UpstreamState> {
    let count = (runners.len() as f64 * LANE_PART).round() as usize;
    rank::top(LANE_KEY, runners.iter().copied(), count)
}

/// Returns how many upstreams out of `runners` should hold `target`.
pub fn replica_count(now: Time, demand: &Demand, target: &Target, runners: usize) -> usize {
    let wanted = demand.share(now, target) * runners as f64 * HOMES_FACTOR;
    (wanted.ceil() as usize).clamp(1, runners.max(1))
}

/// Returns an upstream that should hold `target` by its demand but does not.
pub fn missing_replica(
    now: Time,
    fleet: &Fleet,
    demand: &Demand,
    need: &Requirements<'_>,
) -> Option<Upstream> {
    let target = need.target?;
    target.adapter.as_ref()?;
    let mut based = based(fleet, target, fleet.accepting(now, &need.service.name));
    if demand.has_recent_long_prompts(now) {
        let lanes = lanes(&based);
        based.retain(|runner| !lanes.iter().any(|lane| std::ptr::eq(*lane, *runner)));
    }
    let count = replica_count(now, demand, target, based.len());
    if count < 2 || based.iter().filter(|runner| has(runner, target)).count() >= count {
        return None;
    }
    let mut homes = order(target, &based).into_iter();
    let lacking =
        homes.find(|runner| !has(runner, target) && runner.failure_score(now) < HOME_TROUBLE);
    lacking.map(|runner| runner.listing.id.clone())
}

/// Returns an upstream that should hold `target` as well, since a request has to wait for `wait`
/// at one that does: the next one in order at which it would have been read by then.
///
/// One request does not show a demand; more than chance brings have to ask for the target.
pub fn additional_replica(
    now: Time,
    fleet: &Fleet,
    demand: &Demand,
    need: &Requirements<'_>,
    wait: Duration,
) -> Option<Upstream> {
    let target = need.target?;
    target.adapter.as_ref()?;
    if wait < REPLICATION_WAIT || need.has_long_prompt() || demand.share(now, target) <= 0.0 {
        return None;
    }
    let based = based(fleet, target, fleet.accepting(now, &need.service.name));
    let wait = wait.as_secs_f64() * 1_000.0;
    let mut homes = order(target, &based).into_iter();
    let next = homes.find(|runner| {
        let idle = busy(now, runner) < wait && runner.failure_score(now) < HOME_TROUBLE;
        !has(runner, target) && idle
    });
    next.map(|runner| runner.listing.id.clone())
}

fn has(runner: &UpstreamState, target: &Target) -> bool {
    runner.presence(target) != Presence::Absent
}

fn stall(
    fleet: &Fleet,
    scene: &SelectionContext<'_, impl Fn(&Upstream) -> bool>,
    target: &Target,
    runner: &UpstreamState,
    place: usize,
) -> f64 {
    match runner.presence(target) {
        Presence::Held(version) if fleet.is_newest(target, version) => 0.0,
        Presence::Coming(at, version) if fleet.is_newest(target, version) => {
            at.saturating_sub(scene.now).as_secs_f64() * 1_000.0
        }
        _ if !(scene.owned)(&runner.listing.id) => UNOWNED_MS,
        _ => {
            let backlog = runner.load_backlog(scene.now).as_secs_f64() * 1_000.0;
            backlog.max(LOAD_MS) + RANK_MS * place as f64
        }
    }
}

fn busy(now: Time, runner: &UpstreamState) -> f64 {
    let load = runner.request_count(now);
    let over = load.saturating_sub(runner.listing.slots.saturating_sub(1));
    let reading = runner.prefill_backlog(now).as_secs_f64() * 1_000.0;
    let turn = ANSWER_MS / f64::from(runner.listing.slots.max(1));
    f64::from(load) * RUNNING_MS + f64::from(over) * turn + reading
}

fn common<F>(
    need: &Requirements<'_>,
    scene: &SelectionContext<'_, F>,
    runner: &UpstreamState,
) -> f64 {
    let silence = runner.silence(scene.now);
    let silent = if silence > SILENCE_MAX {
        TROUBLE_MS
    } else {
        0.0
    };
    let far = if runner.listing.zone == *scene.zone {
        0.0
    } else {
        ZONE_MS
    };
    // Equal candidates are spread by the attempt, within a millisecond.
    let spread = rank::weight(need.seed, &runner.listing.id) as f64 / u64::MAX as f64;
    runner.failure_score(scene.now) * TROUBLE_MS + silent + far + spread
}

fn least<'a>(
    costs: impl IntoIterator<Item = (f64, &'a UpstreamState)>,
) -> Option<&'a UpstreamState> {
    let best = costs.into_iter().min_by(|(a, _), (b, _)| a.total_cmp(b));
    best.map(|(_, runner)| runner)
}
