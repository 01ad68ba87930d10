//! What happens in a run: drawn from its seed, in series and overlapping.
//!
//! - `draw` draws single faults.
//! - `deed` does them.

mod deed;
mod draw;

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use super::relay::Cut;
use super::upstream::{Brittle, Manner};
use super::{Plan, Site, UPSTREAMS};
use draw::{
    draw, draw_break, draw_brittle, draw_cut, draw_flood, draw_lapse, draw_late_refusal,
    draw_pause, draw_peer_cut, draw_rate, draw_removal, draw_restore, draw_word,
};

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

/// Cuts of nodes in a run at most, and what sets their draws apart.
const CUTS_MAX: usize = 2;
const CUTS: u64 = 0x6375_7473;
const PEER_CUTS_MAX: usize = 3;
const PEER_CUTS: u64 = 0x7065_6572;

/// Times in which a pool is brittle, silences of sound upstreams in a run, and what sets their draws apart.
const BRITTLE_COUNT: usize = 2;
const BRITTLE: u64 = 0x6272_6974;
const PAUSES: usize = 4;
const PAUSE: u64 = 0x7061_7573;

/// Kills of nodes beside answers that end with their connections, and what sets their draws apart.
const KILLS: usize = 6;
const KILL: u64 = 0x6b69_6c6c;

/// Removals of entries in a run, and what sets their draws apart.
const REMOVALS: usize = 3;
const REMOVAL: u64 = 0x7265_6d6f;

/// Lapses of entries in a run, and what sets their draws apart.
const LAPSES: usize = 24;
const LAPSE: u64 = 0x6c61_7073;

/// Time from the stop of a node until an upstream is replaced by another release behind its back.
const OUT_OF_STEP: Duration = Duration::from_millis(300);

/// What a store in order does to the watches that wait.
#[derive(Clone, Copy, Debug)]
pub enum Gap {
    /// It cuts them.
    Cut,
    /// It drops the history that they follow.
    Forgotten,
}

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
    /// The entry of an upstream is removed, which serves on.
    Withdraw {
        upstream: usize,
        time: Duration,
        /// What happens to the watches that wait, and how long before.
        gap: Option<(Gap, Duration)>,
    },
    /// The entry of an upstream lapses, which serves on, and comes back.
    Lapse {
        upstream: usize,
        time: Duration,
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
    CutFromUpstreams {
        nodes: Vec<usize>,
        upstreams: Range<usize>,
        cut: Cut,
        time: Duration,
    },
    CutFromPeers {
        nodes: Vec<usize>,
        time: Duration,
    },
    Brittle {
        pool: usize,
        brittle: Brittle,
        time: Duration,
    },
    /// Sound upstreams fall silent and go on.
    Pause {
        upstreams: Range<usize>,
        time: Duration,
    },
}

impl Fault {
    /// Tells whether it ends or stops nodes, or cuts them off from the store.
    fn troubles_nodes(&self) -> bool {
        matches!(
            self,
            Self::Kill { .. }
                | Self::KillAll { .. }
                | Self::Stop { .. }
                | Self::Replace { .. }
                | Self::ReplaceAll { .. }
                | Self::CutFromStore { .. }
                | Self::StoreAway { .. }
                | Self::Restore { .. }
        )
    }

    /// Returns the upstreams whose links from `node` it holds or cuts, and for how long.
    pub fn disturbed(&self, node: usize) -> Option<(Range<usize>, Duration)> {
        match self {
            Self::Silence { upstream, time } | Self::Delay { upstream, time } => {
                Some((*upstream..*upstream + 1, *time))
            }
            Self::Pause { upstreams, time } => Some((upstreams.clone(), *time)),
            Self::CutFromUpstreams {
                nodes,
                upstreams,
                time,
                ..
            } if nodes.contains(&node) => Some((upstreams.clone(), *time)),
            _ => None,
        }
    }

    /// Returns whether nodes bear it that do not know each other.
    fn needs_no_contact(&self) -> bool {
        matches!(
            self,
            Self::Crash { .. } | Self::Reset { .. } | Self::Delay { .. } | Self::HangUp { .. }
        )
    }

    /// Returns for how long `node` reaches no other, or one that it reached.
    pub fn apart(&self, node: usize) -> Option<Duration> {
        match self {
            Self::CutFromPeers { nodes, time } if nodes.contains(&node) => Some(*time),
            _ => None,
        }
    }
}

/// What was done, and when.
#[derive(Clone, Debug)]
pub struct Event {
    pub at: Instant,
    pub fault: Fault,
    /// The upstream that said that it leaves, and when it did.
    pub left: Option<(String, Instant)>,
}

/// Does what the seed of the plan draws, and returns it in order.
pub async fn run(site: &Arc<Site>, plan: Plan) -> Vec<Event> {
    let Plan { seed, span, .. } = plan;
    let mut rng = StdRng::seed_from_u64(seed);
    let mut drawn = Vec::new();
    for _ in 0..rng.random_range(COUNT.0..=COUNT.1) {
        drawn.push((
            rng.random_range(Duration::ZERO..span),
            draw(&mut rng, plan.nodes),
        ));
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
        drawn.push((at, draw_break(&mut rng, plan.nodes)));
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
        let node = rng.random_range(0..plan.nodes);
        let time = draw::millis(&mut rng, 1_500, 3_000);
        drawn.push((at, Fault::Stop { node, time }));
        let upstream = rng.random_range(0..UPSTREAMS);
        let down = draw::millis(&mut rng, 200, 800);
        drawn.push((at + OUT_OF_STEP, Fault::Crash { upstream, down }));
    }
    let mut rng = StdRng::seed_from_u64(seed ^ KILL);
    for _ in 0..if plan.extra.open_ended { KILLS } else { 0 } {
        let node = rng.random_range(0..plan.nodes);
        let down = draw::millis(&mut rng, 100, 600);
        drawn.push((rng.random_range(span / 4..span), Fault::Kill { node, down }));
    }
    if plan.extra.in_touch {
        drawn.retain(|(_, fault)| !fault.troubles_nodes());
    }
    let mut rng = StdRng::seed_from_u64(seed ^ CUTS);
    for _ in 0..if plan.extra.cuts {
        rng.random_range(1..=CUTS_MAX)
    } else {
        0
    } {
        let at = rng.random_range(Duration::ZERO..span / 2);
        drawn.push((at, draw_cut(&mut rng, plan.nodes)));
    }
    let mut rng = StdRng::seed_from_u64(seed ^ PEER_CUTS);
    for _ in 0..if plan.extra.peer_cuts {
        rng.random_range(1..=PEER_CUTS_MAX)
    } else {
        0
    } {
        let at = rng.random_range(Duration::ZERO..span);
        drawn.push((at, draw_peer_cut(&mut rng, plan.nodes)));
    }
    let mut rng = StdRng::seed_from_u64(seed ^ BRITTLE);
    for pool in 0..if plan.extra.brittle { BRITTLE_COUNT } else { 0 } {
        let at = rng.random_range(Duration::ZERO..span / 2);
        drawn.push((at, draw_brittle(&mut rng, pool)));
    }
    let mut rng = StdRng::seed_from_u64(seed ^ PAUSE);
    for _ in 0..if plan.extra.silences { PAUSES } else { 0 } {
        let at = rng.random_range(Duration::ZERO..span);
        drawn.push((at, draw_pause(&mut rng)));
    }
    let mut rng = StdRng::seed_from_u64(seed ^ REMOVAL);
    for _ in 0..if plan.extra.removals { REMOVALS } else { 0 } {
        let at = rng.random_range(Duration::ZERO..span);
        drawn.push((at, draw_removal(&mut rng)));
    }
    if plan.extra.lost_seeds {
        // Nodes that do not know each other cannot tell each other what upstreams say.
        drawn.retain(|(_, fault)| fault.needs_no_contact());
        let mut rng = StdRng::seed_from_u64(seed ^ LAPSE);
        for _ in 0..LAPSES {
            let at = rng.random_range(Duration::ZERO..span);
            drawn.push((at, draw_lapse(&mut rng)));
        }
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
