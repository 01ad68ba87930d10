//! Draws of single faults.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

use super::super::UPSTREAMS;
use super::super::relay::Cut;
use super::super::upstream::{Brittle, Manner};
use super::{Fault, Gap};

pub(super) fn millis(rng: &mut StdRng, from: u64, to: u64) -> Duration {
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

pub(super) fn draw(rng: &mut StdRng, nodes: usize) -> Fault {
    let node = rng.random_range(0..nodes);
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

/// Draws the removal of an entry.
pub(super) fn draw_removal(rng: &mut StdRng) -> Fault {
    let gap = match rng.random_range(0..4) {
        0 => None,
        1 => Some(Gap::Forgotten),
        _ => Some(Gap::Cut),
    };
    Fault::Withdraw {
        upstream: rng.random_range(0..2 * UPSTREAMS),
        time: millis(rng, 3_500, 5_000),
        gap: gap.map(|gap| (gap, millis(rng, 0, 500))),
    }
}

/// Draws the lapse of an engine's entry.
pub(super) fn draw_lapse(rng: &mut StdRng) -> Fault {
    Fault::Lapse {
        upstream: rng.random_range(0..UPSTREAMS),
        time: millis(rng, 100, 2_500),
    }
}

/// Draws what upstreams say in their answers, or do not end.
pub(super) fn draw_word(rng: &mut StdRng) -> Fault {
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
pub(super) fn draw_rate(rng: &mut StdRng) -> Fault {
    Fault::Announce {
        upstream: rng.random_range(0..2 * UPSTREAMS),
        rate: rng.random_range(1.0..4.0),
        time: millis(rng, 9_000, 11_000),
    }
}

/// Draws a restore of the store: half of them at once, with no call that fails.
pub(super) fn draw_restore(rng: &mut StdRng) -> Fault {
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
pub(super) fn draw_break(rng: &mut StdRng, nodes: usize) -> Fault {
    match rng.random_range(0..4) {
        0 => Fault::Crash {
            upstream: rng.random_range(0..UPSTREAMS),
            down: millis(rng, 200, 1_500),
        },
        1 => Fault::KillAll {
            down: millis(rng, 100, 600),
        },
        2 => Fault::Kill {
            node: rng.random_range(0..nodes),
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
pub(super) fn draw_late_refusal(rng: &mut StdRng) -> Fault {
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
pub(super) fn draw_flood(rng: &mut StdRng) -> Fault {
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

/// Draws nodes: one, some, all but one, or all.
fn draw_nodes(rng: &mut StdRng, nodes: usize) -> Vec<usize> {
    let count = match rng.random_range(0..8) {
        0 => nodes,
        1 | 2 => nodes - 1,
        3 => 1,
        _ => rng.random_range(1..=nodes / 2),
    };
    let mut all: Vec<usize> = (0..nodes).collect();
    all.shuffle(rng);
    all.truncate(count);
    all.sort_unstable();
    all
}

/// Draws nodes that are cut off from upstreams: most from all of them.
pub(super) fn draw_cut(rng: &mut StdRng, nodes: usize) -> Fault {
    let nodes = draw_nodes(rng, nodes);
    let upstreams = match rng.random_range(0..5) {
        0 => 0..UPSTREAMS,
        1 => {
            let upstream = rng.random_range(0..2 * UPSTREAMS);
            upstream..upstream + 1
        }
        _ => 0..2 * UPSTREAMS,
    };
    let cut = match rng.random_range(0..5) {
        0 => Cut::Reset,
        1 => Cut::RefuseNew,
        2 => Cut::AnswersLost,
        _ => Cut::Hang,
    };
    Fault::CutFromUpstreams {
        nodes,
        upstreams,
        cut,
        time: millis(rng, 4_000, 10_000),
    }
}

/// Draws nodes that reach the store and upstreams but no other node.
pub(super) fn draw_peer_cut(rng: &mut StdRng, nodes: usize) -> Fault {
    Fault::CutFromPeers {
        nodes: draw_nodes(rng, nodes),
        time: millis(rng, 400, 8_000),
    }
}

/// Draws a time in which a pool is brittle.
pub(super) fn draw_brittle(rng: &mut StdRng, pool: usize) -> Fault {
    let brittle = Brittle {
        refusals: [2, 5, 20][rng.random_range(0..3)],
        room: rng.random_range(0..=3),
    };
    Fault::Brittle {
        pool,
        brittle,
        time: millis(rng, 6_000, 10_000),
    }
}

/// Draws a silence of a sound upstream, or of all of its pool.
pub(super) fn draw_pause(rng: &mut StdRng) -> Fault {
    let upstream = rng.random_range(0..2 * UPSTREAMS);
    let first = upstream / UPSTREAMS * UPSTREAMS;
    let upstreams = if rng.random() {
        first..first + UPSTREAMS
    } else {
        upstream..upstream + 1
    };
    Fault::Pause {
        upstreams,
        time: millis(rng, 700, 1_400),
    }
}
