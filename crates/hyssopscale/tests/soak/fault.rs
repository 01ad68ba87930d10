//! What happens in a run: drawn from its seed, in series and overlapping.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::Value;
use standin::proxy::{self, Pass};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use super::process::Deed;
use super::store::Copy;
use super::upstream::Manner;
use super::{NODES, Plan, Site, UPSTREAMS, versioned};

/// Faults of a run at least, and at most.
const COUNT: (usize, usize) = (6, 16);

/// Words of upstreams in a run at most, and what sets their draws apart.
const WORDS_MAX: usize = 4;
const WORDS: u64 = 0x776f_7264;

/// Announced rates in a run at most, and what sets their draws apart.
const RATES_MAX: usize = 2;
const RATES: u64 = 0x7261_7465;

/// Restores of the store in a run at most, and what sets their draws apart.
const RESTORES_MAX: usize = 2;
const RESTORES: u64 = 0x6572_6173;

/// Crashes, breaks and kills that make callers take streams up, and what sets their draws apart.
const TAKE_UPS: usize = 4;
const RELEASES: u64 = 0x7265_6c65;

/// Upstreams that refuse late and that answer without end, and what sets their draws apart.
const LATE_REFUSALS: usize = 4;
const LATENESS: u64 = 0x6c61_7465;

/// Time from the stop of a node until an upstream is replaced by another release behind its back.
const OUT_OF_STEP: Duration = Duration::from_millis(300);

/// One fault.
#[derive(Clone, Debug)]
pub enum Fault {
    Kill {
        node: usize,
        down: Duration,
    },
    KillAll {
        down: Duration,
    },
    Stop {
        node: usize,
        time: Duration,
    },
    Replace {
        node: usize,
    },
    ReplaceAll {
        gap: Duration,
    },
    HangUp {
        node: usize,
    },
    CutFromStore {
        node: usize,
        time: Duration,
    },
    StoreAway {
        time: Duration,
    },
    Restore {
        /// Age of the copy.
        age: Duration,
        /// Time for which the store is away; none where no call fails.
        away: Duration,
        /// Time until what was lost is written again; none where nobody reads it before.
        gap: Duration,
    },
    Configs {
        count: u32,
        gap: Duration,
    },
    Crash {
        upstream: usize,
        down: Duration,
    },
    Leave {
        upstream: usize,
        time: Duration,
        /// Whether its entry says so, or its answers alone.
        announced: bool,
    },
    Misbehave {
        upstreams: Range<usize>,
        manner: Manner,
        time: Duration,
    },
    Announce {
        upstream: usize,
        rate: f64,
        time: Duration,
    },
    Reset {
        upstream: usize,
    },
    Silence {
        upstream: usize,
        time: Duration,
    },
    Delay {
        upstream: usize,
        time: Duration,
    },
}

/// What was done, and when.
#[derive(Clone, Debug)]
pub struct Event {
    pub at: Instant,
    pub fault: Fault,
    /// The upstream that said that it leaves, and when it did.
    pub left: Option<(String, Instant)>,
}

fn millis(rng: &mut StdRng, from: u64, to: u64) -> Duration {
    Duration::from_millis(rng.random_range(from..to))
}

fn manner(rng: &mut StdRng) -> Manner {
    let part = rng.random_range(0.05..0.4);
    let sound = Manner::default();
    match rng.random_range(0..8) {
        0 => Manner {
            shed: part,
            ..sound
        },
        1 => Manner {
            fail: part,
            ..sound
        },
        2 => Manner {
            lose: part,
            ..sound
        },
        3 => Manner { cut: part, ..sound },
        4 => Manner {
            spoil: part,
            ..sound
        },
        5 => Manner {
            mute: part / 2.0,
            ..sound
        },
        _ => Manner {
            copy: part * 2.0,
            shed: part,
            ..sound
        },
    }
}

fn draw(rng: &mut StdRng) -> Fault {
    let node = rng.random_range(0..NODES);
    let upstream = rng.random_range(0..2 * UPSTREAMS);
    match rng.random_range(0..24) {
        0 => Fault::Kill {
            node,
            down: millis(rng, 100, 1_500),
        },
        1 => Fault::KillAll {
            down: millis(rng, 100, 1_000),
        },
        2 | 3 => Fault::Stop {
            node,
            time: millis(rng, 100, 3_000),
        },
        4 | 5 => Fault::Replace { node },
        6 => Fault::ReplaceAll {
            gap: millis(rng, 0, 1_500),
        },
        7 => Fault::HangUp { node },
        8 => Fault::CutFromStore {
            node,
            time: millis(rng, 500, 4_000),
        },
        9 => Fault::StoreAway {
            time: millis(rng, 500, 4_000),
        },
        10 => Fault::Configs {
            count: rng.random_range(1..5),
            gap: millis(rng, 100, 2_500),
        },
        11 => Fault::Crash {
            upstream,
            down: millis(rng, 200, 2_500),
        },
        12 => Fault::Leave {
            upstream,
            time: millis(rng, 2_500, 4_000),
            announced: true,
        },
        13 => Fault::Reset { upstream },
        14 => Fault::Silence {
            upstream,
            time: millis(rng, 200, 3_000),
        },
        15 => Fault::Delay {
            upstream,
            time: millis(rng, 500, 3_000),
        },
        _ => {
            let first = upstream / UPSTREAMS * UPSTREAMS;
            let upstreams = match rng.random_range(0..3) {
                0 => first..first + UPSTREAMS,
                _ => upstream..upstream + 1,
            };
            Fault::Misbehave {
                upstreams,
                manner: manner(rng),
                time: millis(rng, 1_000, 6_000),
            }
        }
    }
}

/// Draws what upstreams say in their answers, or do not end.
fn draw_word(rng: &mut StdRng) -> Fault {
    let upstream = rng.random_range(0..2 * UPSTREAMS);
    let first = upstream / UPSTREAMS * UPSTREAMS;
    let part = rng.random_range(0.02..0.3);
    let sound = Manner::default();
    let (upstreams, manner) = match rng.random_range(0..4) {
        0 => {
            return Fault::Leave {
                upstream,
                time: millis(rng, 2_500, 6_000),
                announced: false,
            };
        }
        1 => {
            let manner = Manner {
                pause: part,
                ..sound
            };
            (first..first + UPSTREAMS, manner)
        }
        2 => {
            let manner = Manner {
                pause: 1.0,
                ..sound
            };
            (upstream..upstream + 1, manner)
        }
        _ => {
            let manner = Manner {
                flood: part,
                ..sound
            };
            (upstream..upstream + 1, manner)
        }
    };
    Fault::Misbehave {
        upstreams,
        manner,
        time: millis(rng, 500, 4_000),
    }
}

/// Draws an upstream that announces a rate, for long enough that some of it is calm.
fn draw_rate(rng: &mut StdRng) -> Fault {
    Fault::Announce {
        upstream: rng.random_range(0..2 * UPSTREAMS),
        rate: rng.random_range(1.0..4.0),
        time: millis(rng, 9_000, 11_000),
    }
}

/// Draws a restore of the store: half of them at once, with no call that fails.
fn draw_restore(rng: &mut StdRng) -> Fault {
    let age = millis(rng, 300, 3_000);
    if rng.random() {
        return Fault::Restore {
            age,
            away: Duration::ZERO,
            gap: Duration::ZERO,
        };
    }
    Fault::Restore {
        age,
        away: millis(rng, 0, 1_500),
        gap: millis(rng, 0, 1_500),
    }
}

/// Draws what breaks streams off while two releases serve.
fn draw_break(rng: &mut StdRng) -> Fault {
    match rng.random_range(0..4) {
        0 => Fault::Crash {
            upstream: rng.random_range(0..UPSTREAMS),
            down: millis(rng, 200, 1_500),
        },
        1 => Fault::KillAll {
            down: millis(rng, 100, 600),
        },
        2 => Fault::Kill {
            node: rng.random_range(0..NODES),
            down: millis(rng, 100, 1_000),
        },
        _ => Fault::Misbehave {
            upstreams: 0..UPSTREAMS,
            manner: Manner {
                cut: rng.random_range(0.5..0.9),
                ..Manner::default()
            },
            time: millis(rng, 2_000, 5_000),
        },
    }
}

/// Draws a service that refuses requests only once impatient callers have left. Calls that may run once
/// go there.
fn draw_late_refusal(rng: &mut StdRng) -> Fault {
    let upstream = rng.random_range(UPSTREAMS..2 * UPSTREAMS);
    Fault::Misbehave {
        upstreams: upstream..upstream + 1,
        manner: Manner {
            late: rng.random_range(0.4..0.9),
            ..Manner::default()
        },
        time: millis(rng, 2_500, 5_000),
    }
}

/// Draws an upstream that answers many requests at a time without end.
fn draw_flood(rng: &mut StdRng) -> Fault {
    let upstream = rng.random_range(0..2 * UPSTREAMS);
    Fault::Misbehave {
        upstreams: upstream..upstream + 1,
        manner: Manner {
            flood: rng.random_range(0.4..0.9),
            ..Manner::default()
        },
        time: millis(rng, 1_500, 3_000),
    }
}

/// Does what the seed of the plan draws, and returns it in order.
pub async fn run(site: &Arc<Site>, plan: Plan) -> Vec<Event> {
    let Plan { seed, span, .. } = plan;
    let mut rng = StdRng::seed_from_u64(seed);
    let mut drawn = Vec::new();
    for _ in 0..rng.random_range(COUNT.0..=COUNT.1) {
        drawn.push((rng.random_range(Duration::ZERO..span), draw(&mut rng)));
    }
    // Drawn apart, so that the others stay as they were.
    let mut rng = StdRng::seed_from_u64(seed ^ WORDS);
    for _ in 0..rng.random_range(0..=WORDS_MAX) {
        drawn.push((rng.random_range(Duration::ZERO..span), draw_word(&mut rng)));
    }
    let mut rng = StdRng::seed_from_u64(seed ^ RATES);
    for _ in 0..if plan.rates {
        rng.random_range(1..=RATES_MAX)
    } else {
        0
    } {
        drawn.push((
            rng.random_range(Duration::ZERO..span / 2),
            draw_rate(&mut rng),
        ));
    }
    let mut rng = StdRng::seed_from_u64(seed ^ RESTORES);
    for _ in 0..if plan.restores {
        rng.random_range(1..=RESTORES_MAX)
    } else {
        0
    } {
        let at = rng.random_range(Duration::ZERO..span);
        drawn.push((at, draw_restore(&mut rng)));
    }
    let mut rng = StdRng::seed_from_u64(seed ^ RELEASES);
    for _ in 0..if plan.releases { TAKE_UPS } else { 0 } {
        let at = rng.random_range(Duration::ZERO..span);
        drawn.push((at, draw_break(&mut rng)));
    }
    let mut rng = StdRng::seed_from_u64(seed ^ LATENESS);
    for _ in 0..LATE_REFUSALS {
        let at = rng.random_range(Duration::ZERO..span);
        drawn.push((at, draw_late_refusal(&mut rng)));
    }
    let at = rng.random_range(Duration::ZERO..span);
    drawn.push((at, draw_flood(&mut rng)));
    if plan.releases {
        let at = rng.random_range(Duration::ZERO..span);
        let node = rng.random_range(0..NODES);
        let time = millis(&mut rng, 1_500, 3_000);
        drawn.push((at, Fault::Stop { node, time }));
        let upstream = rng.random_range(0..UPSTREAMS);
        let down = millis(&mut rng, 200, 800);
        drawn.push((at + OUT_OF_STEP, Fault::Crash { upstream, down }));
    }
    let mut tasks = JoinSet::new();
    for (at, fault) in drawn {
        let site = site.clone();
        tasks.spawn(async move {
            sleep(at).await;
            let at = Instant::now();
            let left = site.carry_out(&fault).await;
            Event { at, fault, left }
        });
    }
    let mut events = tasks.join_all().await;
    events.sort_by_key(|event| event.at);
    events
}

impl Site {
    async fn carry_out(&self, fault: &Fault) -> Option<(String, Instant)> {
        let upstreams = &self.upstreams;
        match *fault {
            Fault::Kill { node, down } => self.nodes[node].kill(down).await,
            Fault::KillAll { down } => {
                let kills = self.nodes.iter().map(|node| node.kill(down));
                futures_util::future::join_all(kills).await;
            }
            Fault::Stop { node, time } => self.nodes[node].stop(time).await,
            Fault::Replace { node } => self.nodes[node].replace(Duration::ZERO).await,
            Fault::ReplaceAll { gap } => {
                for node in self.nodes.iter() {
                    node.replace(gap / 2).await;
                    sleep(gap).await;
                }
            }
            Fault::HangUp { node } => self.nodes[node].hang_up(),
            Fault::CutFromStore { node, time } => self.cut_from_store(&[node], time).await,
            Fault::StoreAway { time } => {
                let all: Vec<usize> = (0..NODES).collect();
                self.cut_from_store(&all, time).await;
            }
            Fault::Restore { age, away, gap } => self.restore(age, away, gap).await,
            Fault::Configs { count, gap } => {
                for _ in 0..count {
                    self.configure();
                    sleep(gap).await;
                }
            }
            Fault::Crash { upstream, down } => upstreams[upstream].crash(down).await,
            Fault::Leave {
                upstream,
                time,
                announced,
            } => {
                let (id, said) = upstreams[upstream].leave(time, announced).await;
                return announced.then_some((id, said));
            }
            Fault::Misbehave {
                ref upstreams,
                manner,
                time,
            } => {
                let those = &self.upstreams[upstreams.clone()];
                those.iter().for_each(|upstream| upstream.set(manner));
                sleep(time).await;
                those
                    .iter()
                    .for_each(|upstream| upstream.set(Manner::default()));
            }
            Fault::Announce {
                upstream,
                rate,
                time,
            } => {
                upstreams[upstream].announce(Some(rate));
                sleep(time).await;
                upstreams[upstream].announce(None);
            }
            Fault::Reset { upstream } => self.links[upstream].control().cut(),
            Fault::Silence { upstream, time } => {
                let fault = proxy::Fault {
                    pass: Pass::Neither,
                    ..proxy::Fault::default()
                };
                self.disturb(upstream, fault, time).await;
            }
            Fault::Delay { upstream, time } => {
                let fault = proxy::Fault {
                    latency_us: 20_000,
                    jitter_us: 100_000,
                    ..proxy::Fault::default()
                };
                self.disturb(upstream, fault, time).await;
            }
        }
        None
    }

    async fn disturb(&self, upstream: usize, fault: proxy::Fault, time: Duration) {
        self.links[upstream].control().set(fault);
        sleep(time).await;
        self.links[upstream].control().set(proxy::Fault::default());
    }

    async fn cut_from_store(&self, nodes: &[usize], time: Duration) {
        let silent = proxy::Fault {
            pass: Pass::Neither,
            ..proxy::Fault::default()
        };
        let from = Instant::now();
        nodes
            .iter()
            .for_each(|node| self.store_links[*node].control().set(silent));
        sleep(time).await;
        for node in nodes {
            self.store_links[*node]
                .control()
                .set(proxy::Fault::default());
            self.nodes[*node].note(Deed::Cut, from, Instant::now());
        }
    }

    /// Brings the store back from a copy of that age. What was written since is written again.
    async fn restore(&self, age: Duration, away: Duration, gap: Duration) {
        let copy = self.store.copy();
        self.configure();
        sleep(age).await;
        if away.is_zero() && gap.is_zero() {
            return self.restore_at_once(&copy);
        }
        let from = Instant::now();
        self.store.set_away(true);
        sleep(away).await;
        self.store.restore(&copy, &[]);
        self.store.set_away(false);
        sleep(gap).await;
        self.rewrite();
        for node in &self.nodes {
            node.note(Deed::Cut, from, Instant::now());
        }
    }

    /// Brings the store back with everything written again and one more version of the configuration,
    /// before anybody reads it.
    fn restore_at_once(&self, copy: &Copy) {
        let mut versions = self.versions.lock().unwrap();
        let version = versions.last().map_or(1, |(version, _)| version + 1);
        // The configuration comes first, at a revision that readers have seen before.
        let mut writes = vec![("op/config".to_owned(), Some(versioned(version)))];
        writes.extend(self.outdated_keys(copy));
        for upstream in &self.upstreams {
            if let (Some(key), Some(entry)) = (upstream.key(), upstream.entry()) {
                writes.push((key, Some(entry)));
            }
        }
        self.store.restore_with(copy, &writes);
        versions.push((version, Instant::now()));
    }

    /// Writes again what a restore has lost.
    fn rewrite(&self) {
        for (key, _) in self.outdated_keys(&self.store.copy()) {
            self.store.remove(&key);
        }
        self.upstreams.iter().for_each(|upstream| upstream.list());
        let versions = self.versions.lock().unwrap();
        if let Some((version, _)) = versions.last() {
            self.store.put("op/config", &versioned(*version));
        }
    }

    /// Returns the entries of processes that are gone.
    fn outdated_keys(&self, copy: &Copy) -> Vec<(String, Option<Value>)> {
        let known: Vec<String> = self
            .upstreams
            .iter()
            .filter_map(|upstream| upstream.key())
            .collect();
        let keys = copy.keys("servers/").into_iter();
        keys.filter(|key| !known.contains(key))
            .map(|key| (key, None))
            .collect()
    }

    /// Publishes the next version of the configuration.
    fn configure(&self) {
        let mut versions = self.versions.lock().unwrap();
        let version = versions.last().map_or(1, |(version, _)| version + 1);
        self.store.put("op/config", &versioned(version));
        versions.push((version, Instant::now()));
    }
}
