//! The rules, checked by the logs of callers and upstreams.

pub mod brittle;
mod order;
pub mod path;
pub mod silence;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::caller::{Ask, Kind, Outcome, PROBE, get};
use super::fault::{Event, Fault};
use super::process::{Deed, SETTLING};
use super::upstream::{Arrival, BAD_PART, Fall, Order, POISON, POOLS, Run, Said, Service, Word};
use super::{Site, UPSTREAMS};

/// Statuses that promise that nothing ran.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Time in which a configuration, or the word that an upstream leaves, takes effect.
const EFFECT: Duration = Duration::from_secs(2);

/// Time that the processes of a busy machine are given beyond a bound.
const SLACK: Duration = Duration::from_millis(500);

/// Time after which a request that is still held was held by its upstream.
const HELD: Duration = Duration::from_millis(1_500);

/// Time after which nothing reaches an upstream for a caller that has left.
const LEFT: Duration = Duration::from_millis(500);

/// Time after an upstream's word that it leaves, or wants a pause, from which that binds.
const DRAIN: Duration = Duration::from_secs(2);
const PAUSE: Duration = Duration::from_millis(500);

/// Requests that may reach an upstream from one node in a pause.
const PAUSE_MAX: usize = 2;

/// Crashes of a request after which its retries count, and how many may come later than a stable
/// window.
const CRASHES: usize = 3;
const LATE_MAX: usize = 3;

/// The same for a part of prompts.
const PART_CRASHES: usize = 5;

/// Sound requests from which their share is judged.
const SOUND_MIN: usize = 20;

/// Take-ups of streams from which their share is judged, and upstreams of a release that have to serve.
const TAKE_UPS_MIN: usize = 12;
const SERVING_MIN: usize = 2;

/// Window of an announced rate, and the time after which a node that was told of it is bound.
const RATE_WINDOW: Duration = Duration::from_secs(4);
const TOLD: Duration = Duration::from_millis(500);

/// Window of the budget of repeats.
const WINDOW: Duration = Duration::from_secs(10);

/// Repeats in a window for each request, and beside these.
const BUDGET: (f64, f64) = (0.2, 54.0);

/// Time at the end in which everything has to be served.
const CALM: Duration = Duration::from_secs(3);

/// A question which configuration a node serves by.
pub struct Probe {
    node: usize,
    starts: u32,
    version: u64,
    /// When that version was published.
    said: Instant,
    at: Instant,
    /// Statuses of the route that it adds, and of the one that it drops.
    statuses: [Option<u16>; 2],
}

/// What a run has left.
pub struct Evidence {
    pub asks: Vec<Ask>,
    /// Sends of requests that crash what runs them.
    pub offences: Vec<Ask>,
    /// Sends of requests of which one part of the prompt crashes what runs them.
    pub part_offences: Vec<Ask>,
    pub runs: Vec<Run>,
    pub arrivals: Vec<Arrival>,
    pub orders: Vec<Order>,
    pub falls: Vec<Fall>,
    pub words: Vec<Word>,
    /// Paths of requests that crashed an upstream, and when.
    pub crashes: Vec<(String, Instant)>,
    /// Processes of upstreams.
    pub services: Vec<Service>,
    pub probes: Vec<Probe>,
    pub events: Vec<Event>,
    /// When the nodes were first started.
    pub started: Instant,
    /// When the time begins in which no fault begins.
    pub faulty_until: Instant,
    pub end: Instant,
}

impl Evidence {
    pub fn summary(&self) -> String {
        let served = self.asks.iter().filter(|ask| is_served(ask)).count();
        let (asks, runs, faults) = (self.asks.len(), self.runs.len(), self.events.len());
        let (words, crashes) = (self.words.len(), self.crashes.len());
        let take_ups = self.asks.iter().filter(|ask| ask.resumes.is_some());
        let take_ups = take_ups.count();
        format!(
            "{asks} attempts, {served} served, {runs} runs, {faults} faults, {words} words, \
             {crashes} crashes under {} offences and {} by a part, {take_ups} streams taken up",
            self.offences.len(),
            self.part_offences.len()
        )
    }

    /// Returns what was done. Times count from the start of the nodes.
    pub fn story(&self) -> Vec<String> {
        let lines = self.events.iter().map(|event| {
            let at = event.at.saturating_duration_since(self.started).as_millis();
            format!("{at} ms {:?}", event.fault)
        });
        lines.collect()
    }
}

/// Asks the nodes in turn until `end` which configuration they serve by.
pub async fn probe(site: &Arc<Site>, end: Instant) -> Vec<Probe> {
    let mut probes = Vec::new();
    while Instant::now() < end {
        for node in site.nodes.iter() {
            let (version, said) = *site.versions.lock().unwrap().last().unwrap();
            let (at, starts) = (Instant::now(), node.starts());
            let mut statuses = [None; 2];
            for (status, version) in statuses.iter_mut().zip([version, version - 1]) {
                let path = format!("/v{version}/x");
                let answer = get(node.addresses.front, &path, EFFECT).await;
                *status = answer.map(|(status, _)| status);
            }
            // The version may have changed in between.
            if site.versions.lock().unwrap().last().unwrap().0 == version {
                probes.push(Probe {
                    node: node.number,
                    starts,
                    version,
                    said,
                    at,
                    statuses,
                });
            }
            sleep(Duration::from_millis(40)).await;
        }
    }
    probes
}

/// Returns how the ids of an upstream begin.
fn id_prefix(upstream: usize) -> String {
    let pool = POOLS[upstream / UPSTREAMS];
    format!("{pool}-{}-", upstream % UPSTREAMS)
}

fn is_served(ask: &Ask) -> bool {
    let sound = Outcome::Answered {
        status: 200,
        sound: true,
    };
    ask.outcome == sound
}

/// Returns the rules that were broken.
pub fn check(evidence: &Evidence, site: &Site) -> Vec<String> {
    let mut runs: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    for run in &evidence.runs {
        runs.entry(&run.attempt).or_default().push(run);
    }
    let mut breaches = Vec::new();
    let all = evidence.asks.iter().chain(&evidence.offences);
    for ask in all.chain(&evidence.part_offences) {
        let ran = runs.remove(&*ask.attempt).unwrap_or_default();
        let broken = check_ask(ask, &ran, evidence, site);
        breaches.extend(broken.map(|rule| format!("{rule}: {ask:?}, {ran:?}")));
        breaches.extend(check_leaving(ask, &ran, evidence, site));
    }
    runs.remove(PROBE);
    breaches.extend(runs.keys().map(|attempt| format!("UNASKED: {attempt}")));
    breaches.extend(check_probes(&evidence.probes, site));
    breaches.extend(check_recovery(evidence));
    breaches.extend(check_budget(evidence));
    breaches.extend(check_offences(evidence, site));
    breaches.extend(check_words(evidence, site));
    breaches.extend(check_part(evidence, site));
    breaches.extend(check_rates(evidence, site));
    breaches.extend(check_releases(evidence));
    breaches.extend(check_take_ups(evidence, site));
    breaches.extend(order::check(evidence, site));
    breaches.extend(path::check(evidence, site));
    breaches.extend(brittle::check(evidence, site));
    breaches
}

/// Checks that no stream holds events of two releases, over all tries of its caller.
fn check_releases(evidence: &Evidence) -> Vec<String> {
    let mut streams: BTreeMap<&str, Vec<&Ask>> = BTreeMap::new();
    for ask in &evidence.asks {
        let first = ask.resumes.as_deref().unwrap_or(&ask.attempt);
        streams.entry(first).or_default().push(ask);
    }
    let joined = streams.into_iter().filter(|(_, asks)| {
        let mut releases = asks.iter().flat_map(|ask| &ask.releases);
        let first = releases.next();
        releases.any(|release| Some(release) != first)
    });
    joined
        .map(|(first, asks)| format!("ORDER: {first} has events of two releases: {asks:?}"))
        .collect()
}

/// Checks that streams which are taken up in calm go on, while two upstreams of their release serve.
fn check_take_ups(evidence: &Evidence, site: &Site) -> Vec<String> {
    let calm = |ask: &&Ask| {
        let node = &site.nodes[ask.node];
        ask.outcome != Outcome::Left && node.troubles(ask.sent - SETTLING, ask.done).is_empty()
    };
    let goes_on = |asks: &[&Ask]| asks.iter().filter(|ask| !ask.releases.is_empty()).count();
    let streams = evidence.asks.iter().filter(|ask| ask.kind == Kind::Stream);
    let first: Vec<&Ask> = streams
        .clone()
        .filter(|ask| ask.resumes.is_none())
        .filter(calm)
        .collect();
    let taken_up: Vec<&Ask> = streams
        .filter(|ask| {
            ask.resumes
                .as_ref()
                .is_some_and(|first| is_served_on(evidence, ask, first))
        })
        .filter(calm)
        .collect();
    let (begin, go_on) = (goes_on(&first), goes_on(&taken_up));
    if taken_up.len() >= TAKE_UPS_MIN && go_on * 2 * first.len() < begin * taken_up.len() {
        let (all, new) = (taken_up.len(), first.len());
        return vec![format!(
            "LOST: {go_on} of {all} streams go on that are taken up, {begin} of {new} begin"
        )];
    }
    Vec::new()
}

/// Returns whether enough upstreams served all the while that were of the release of the stream that
/// `ask` takes up.
fn is_served_on(evidence: &Evidence, ask: &Ask, first: &str) -> bool {
    let began = evidence.asks.iter().find(|known| known.attempt == first);
    let Some(release) = began.and_then(|began| began.releases.first()) else {
        return false;
    };
    let serving = evidence.services.iter().filter(|service| {
        let until = service.until.unwrap_or(evidence.end);
        let all_the_while = service.from + SETTLING <= ask.sent && ask.done <= until;
        service.pool == ask.kind.pool() && service.release == *release && all_the_while
    });
    serving.count() >= SERVING_MIN
}

fn check_ask(ask: &Ask, ran: &[&Run], evidence: &Evidence, site: &Site) -> Option<&'static str> {
    if ask.kind.once() && ran.len() > 1 {
        return Some("TWICE");
    }
    let troubles = site.nodes[ask.node].troubles(ask.sent, ask.done);
    let calm = troubles.is_empty();
    let graceful = troubles
        .iter()
        .all(|deed| *deed != Deed::Kill && *deed != Deed::Stop);
    match &ask.outcome {
        Outcome::Answered { status, .. } if PROMISES.contains(status) && !ran.is_empty() => {
            Some("REFUSED")
        }
        Outcome::Answered { sound: false, .. } => Some("MIXED"),
        Outcome::Answered { status: 404, .. } => Some("DENIED"),
        Outcome::Closed(_) if calm => Some("LOST"),
        Outcome::Closed(_) if graceful && !ran.is_empty() && ask.done - ask.sent < HELD => {
            Some("LOST")
        }
        Outcome::Late if calm => Some("LATE"),
        Outcome::Unsent if calm => Some("UNREACHED"),
        Outcome::Left if calm => ran
            .iter()
            .any(|run| {
                reached(ask, run, evidence) > ask.done + LEFT && !was_held_up(ask, run, evidence)
            })
            .then_some("GONE"),
        _ => None,
    }
}

/// Returns when a run reached the upstream. A call that may run once waits there for a place although its
/// caller has left, since its outcome matters; any other one ends with its connection.
fn reached(ask: &Ask, run: &Run, evidence: &Evidence) -> Instant {
    let arrivals = evidence.arrivals.iter();
    let arrivals = arrivals.filter(|arrival| {
        arrival.attempt == ask.attempt && arrival.upstream == run.upstream && arrival.at <= run.at
    });
    let reached = arrivals.map(|arrival| arrival.at).max();
    reached.filter(|_| ask.kind.once()).unwrap_or(run.at)
}

/// Tells whether the link to the upstream was silent, slow or cut between a request and its run: what was written
/// to it before the caller left arrives when it goes on.
fn was_held_up(ask: &Ask, run: &Run, evidence: &Evidence) -> bool {
    evidence.events.iter().any(|event| {
        let Some((upstreams, time)) = event.fault.disturbed(ask.node) else {
            return false;
        };
        let mut names = upstreams.map(id_prefix);
        let fits = names.any(|name| run.upstream.starts_with(&name));
        fits && event.at < run.at && ask.sent < event.at + time
    })
}

/// Checks that an upstream that leaves, or whose entry was removed, gets no new work.
fn check_leaving(ask: &Ask, ran: &[&Run], evidence: &Evidence, site: &Site) -> Option<String> {
    let mut left = evidence.events.iter().filter_map(|event| {
        let (id, said) = event.left.as_ref()?;
        let is_late = match event.fault {
            Fault::Withdraw { .. } => arrives_after(ask, id, *said + DRAIN, evidence),
            _ => {
                let limit = *said + EFFECT + SLACK;
                ran.iter().any(|run| run.upstream == *id && run.at > limit)
            }
        };
        is_late.then_some((id, said))
    });
    let (id, said) = left.next()?;
    let told = site.nodes[ask.node].troubles(*said, ask.done).is_empty();
    told.then(|| format!("DRAIN: {ask:?} at {id}"))
}

/// Returns whether a request arrives at an upstream after `limit`.
fn arrives_after(ask: &Ask, upstream: &str, limit: Instant, evidence: &Evidence) -> bool {
    evidence.arrivals.iter().any(|arrival| {
        arrival.attempt == ask.attempt && arrival.upstream == upstream && arrival.at > limit
    })
}

/// Checks that requests which crash what runs them are recognized by all nodes.
fn check_offences(evidence: &Evidence, site: &Site) -> Vec<String> {
    let mut breaches = Vec::new();
    for kind in Kind::ALL {
        let path = format!("{}/{POISON}", kind.path());
        let crashes = evidence.crashes.iter().filter(|(of, _)| *of == path);
        let Some((_, third)) = crashes.clone().nth(CRASHES - 1) else {
            continue;
        };
        let stable = *third + SETTLING;
        let of = |ask: &&Ask| ask.kind == kind && ask.sent > stable;
        let late = evidence.offences.iter().filter(of).filter(|ask| {
            let node = &site.nodes[ask.node];
            node.troubles(ask.sent - SETTLING, ask.done).is_empty()
        });
        let arrived = |ask: &&Ask| evidence.arrivals.iter().any(|a| a.attempt == ask.attempt);
        let late: Vec<&Ask> = late.filter(arrived).collect();
        if late.len() > LATE_MAX {
            let ms = |at: Instant| (at - evidence.started).as_millis();
            let sent: Vec<u128> = late.iter().map(|ask| ms(ask.sent)).collect();
            let crashed: Vec<u128> = crashes.map(|(_, at)| ms(*at)).collect();
            breaches.push(format!(
                "BUDGET: {} late arrivals of {path}, {} crashes; sent at {sent:?} ms, crashed at {crashed:?} ms",
                sent.len(),
                crashed.len(),
            ));
        }
    }
    breaches
}

/// Checks that nodes heed what upstreams have said to them.
fn check_words(evidence: &Evidence, site: &Site) -> Vec<String> {
    let asks: BTreeMap<&str, &Ask> = evidence
        .asks
        .iter()
        .chain(&evidence.offences)
        .chain(&evidence.part_offences)
        .map(|ask| (&*ask.attempt, ask))
        .collect();
    let mut breaches = Vec::new();
    for word in &evidence.words {
        let Some(told) = asks.get(&*word.attempt) else {
            continue;
        };
        let until = match word.said {
            Said::Leaves => evidence.end,
            Said::Rate(_) => continue,
            Said::Pause(pause) => word.at + pause,
        };
        let reached = evidence.arrivals.iter().filter(|arrival| {
            let Some(ask) = asks.get(&*arrival.attempt) else {
                return false;
            };
            let bound = match word.said {
                Said::Leaves => ask.sent > word.at + DRAIN + SLACK,
                Said::Pause(_) => arrival.at > word.at + PAUSE && arrival.at < until,
                Said::Rate(_) => false,
            };
            let calm = || {
                site.nodes[told.node]
                    .troubles(word.at, arrival.at)
                    .is_empty()
            };
            bound && ask.node == told.node && arrival.upstream == word.upstream && calm()
        });
        let most = match word.said {
            Said::Leaves | Said::Rate(_) => 0,
            Said::Pause(_) => PAUSE_MAX,
        };
        let count = reached.count();
        if count > most {
            breaches.push(format!("{:?} not heeded by {count}: {word:?}", word.said));
        }
    }
    breaches
}

/// Checks that requests with a part that crashes what runs them are recognized by all nodes, and that
/// sound ones with the same first part are served meanwhile.
fn check_part(evidence: &Evidence, site: &Site) -> Vec<String> {
    let crashes = evidence.crashes.iter().filter(|(of, _)| *of == BAD_PART);
    let Some((_, fifth)) = crashes.clone().nth(PART_CRASHES - 1) else {
        return Vec::new();
    };
    let calm = |ask: &Ask| {
        let node = &site.nodes[ask.node];
        node.troubles(ask.sent - SETTLING, ask.done).is_empty()
    };
    let arrived = |ask: &Ask| evidence.arrivals.iter().any(|a| a.attempt == ask.attempt);
    let late = evidence.part_offences.iter();
    let late = late.filter(|ask| ask.sent > *fifth + SETTLING && calm(ask) && arrived(ask));
    let late: Vec<&str> = late.map(|ask| &*ask.attempt).collect();
    let mut breaches = Vec::new();
    if late.len() > LATE_MAX {
        let all = crashes.count();
        breaches.push(format!(
            "BUDGET: late arrivals by a part {late:?}, {all} crashes"
        ));
    }
    let from = (*fifth + 2 * SETTLING).max(evidence.faulty_until + SETTLING);
    let sound = evidence.asks.iter().filter(|ask| {
        let streams = matches!(ask.kind, Kind::Stream | Kind::Story);
        streams && ask.attempt.ends_with("-0") && ask.sent > from && calm(ask)
    });
    let sound = sound.filter(|ask| ask.outcome != Outcome::Left);
    let (served, rest): (Vec<&Ask>, Vec<&Ask>) = sound.partition(|ask| is_served(ask));
    let all = served.len() + rest.len();
    if all >= SOUND_MIN && served.len() * 2 < all {
        let served = served.len();
        breaches.push(format!(
            "LOST: {served} of {all} served beside requests with a bad part"
        ));
    }
    breaches
}

/// Checks that upstreams get no more requests than the rate that they announce allows, from nodes that
/// have been told.
fn check_rates(evidence: &Evidence, site: &Site) -> Vec<String> {
    let all = evidence.asks.iter().chain(&evidence.offences);
    let nodes: BTreeMap<&str, usize> = all
        .chain(&evidence.part_offences)
        .map(|ask| (&*ask.attempt, ask.node))
        .collect();
    let mut spells: BTreeMap<&str, Vec<(Instant, f64, usize)>> = BTreeMap::new();
    for word in &evidence.words {
        if let (Said::Rate(rate), Some(node)) = (&word.said, nodes.get(&*word.attempt)) {
            let spell = spells.entry(&word.upstream).or_default();
            spell.push((word.at, *rate, *node));
        }
    }
    let mut breaches = Vec::new();
    for (upstream, words) in spells {
        let (first, last) = (words[0].0, words[words.len() - 1].0);
        let rate = words.iter().map(|(_, rate, _)| *rate).fold(0.0, f64::max);
        let told = |node: usize, at: Instant| {
            let before = |word: &&(Instant, f64, usize)| word.2 == node && word.0 + TOLD <= at;
            words.iter().any(|word| before(&word))
        };
        let bound: Vec<Instant> = evidence
            .arrivals
            .iter()
            .filter(|arrival| arrival.upstream == upstream)
            .filter(|arrival| first + SETTLING < arrival.at && arrival.at <= last)
            .filter(|arrival| {
                nodes.get(&*arrival.attempt).is_some_and(|node| {
                    let troubles = site.nodes[*node].troubles(arrival.at - SETTLING, arrival.at);
                    told(*node, arrival.at) && troubles.is_empty()
                })
            })
            .map(|arrival| arrival.at)
            .collect();
        let within = |from: &Instant| {
            let window = *from..*from + RATE_WINDOW;
            bound.iter().filter(|at| window.contains(at)).count()
        };
        let most = bound.iter().map(within).max().unwrap_or(0);
        let allowed = 1.5 * rate * RATE_WINDOW.as_secs_f64() + 5.0;
        if most as f64 > allowed {
            breaches.push(format!(
                "LIMIT: {upstream} announced {rate:.1} a second and got {most} in 4 s, {allowed:.0} allowed"
            ));
        }
    }
    breaches
}

fn check_probes(probes: &[Probe], site: &Site) -> Vec<String> {
    let mut seen: BTreeMap<(usize, u32), u64> = BTreeMap::new();
    let mut breaches = Vec::new();
    for probe in probes {
        let known = seen.entry((probe.node, probe.starts)).or_default();
        let missing = probe.statuses[0] == Some(404);
        let stale = probe.statuses[1].is_some_and(|status| status == 200);
        let due = probe.at > probe.said + EFFECT + SLACK
            && site.nodes[probe.node]
                .troubles(probe.said, probe.at)
                .is_empty();
        if missing && *known == probe.version {
            breaches.push(format!(
                "CONFIG: vm-{} went back to before {}",
                probe.node, known
            ));
        }
        if due && (missing || stale) {
            let (node, version) = (probe.node, probe.version);
            breaches.push(format!("CONFIG: vm-{node} does not serve by {version}"));
        }
        if probe.statuses[0] == Some(200) {
            *known = probe.version;
        }
    }
    breaches
}

/// Checks that half of each kind is served again at the end.
fn check_recovery(evidence: &Evidence) -> Vec<String> {
    let calm = evidence.end - CALM;
    let mut breaches = Vec::new();
    for kind in Kind::ALL {
        let asks = evidence
            .asks
            .iter()
            .filter(|ask| ask.kind == kind && ask.sent > calm);
        let (served, rest): (Vec<&Ask>, Vec<&Ask>) = asks.partition(|ask| is_served(ask));
        if served.len() <= rest.len() {
            let (served, rest) = (served.len(), rest.len());
            breaches.push(format!("RECOVER: {kind:?}: {served} served, {rest} not"));
        }
    }
    breaches
}

/// Checks that arrivals beyond the first of each request stay within the budget of all nodes, in
/// windows that begin with each of them.
fn check_budget(evidence: &Evidence) -> Vec<String> {
    let mut breaches = Vec::new();
    for pool in POOLS {
        let mut first: BTreeMap<&str, Instant> = BTreeMap::new();
        let mut repeats = Vec::new();
        let arrivals = evidence.arrivals.iter();
        for arrival in arrivals.filter(|a| a.pool == pool && a.attempt != PROBE) {
            let known = first.entry(&arrival.attempt).or_insert(arrival.at);
            if *known != arrival.at {
                repeats.push(arrival.at);
            }
        }
        let asked = |from: Instant, until: Instant| {
            let asks = evidence.asks.iter().filter(|ask| ask.kind.pool() == pool);
            asks.filter(|ask| from <= ask.sent && ask.sent < until)
                .count() as f64
        };
        let worst = repeats.iter().map(|at| {
            let within = |other: &&Instant| *at <= **other && **other < *at + WINDOW;
            let count = repeats.iter().filter(within).count() as f64;
            let before = asked(*at - WINDOW, *at);
            let requests = asked(*at, *at + WINDOW).max(before);
            (count - BUDGET.0 * requests - BUDGET.1, count)
        });
        let worst = worst.max_by(|(a, _), (b, _)| a.total_cmp(b));
        if let Some((over, count)) = worst.filter(|(over, _)| *over > 0.0) {
            breaches.push(format!(
                "BUDGET: {count} repeats at {pool}, {over:.0} too many"
            ));
        }
    }
    breaches
}
