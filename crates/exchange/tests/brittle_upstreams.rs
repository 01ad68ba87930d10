//! Upstreams that crash once they have to turn too many requests away, before many nodes.

mod brittle;
mod support;

use brittle::{Fault, Outcome, Plan, Simulation};
use rstest::rstest;
use support::ms;

/// Part of the capacity that has to be used during a burst without another fault.
const USED_MIN: f64 = 0.9;

const PLAIN: Plan = Plan {
    nodes: 7,
    upstreams: 3,
    slots: 6,
    queue: 4,
    tolerance: Some(5),
    work: ms(60),
    usual: 0.7,
    burst: 3.0,
    loss: 0.002,
    fault: Fault::None,
    permits: true,
    seed: 1,
};

const GROWN: Plan = Plan {
    nodes: 73,
    upstreams: 5,
    ..PLAIN
};

const LARGE: Plan = Plan {
    nodes: 195,
    ..GROWN
};

/// Engines with many slots and long requests.
const ENGINES: Plan = Plan {
    nodes: 73,
    upstreams: 9,
    slots: 64,
    work: ms(1_600),
    ..PLAIN
};

/// Engines with few slots.
const SMALL_ENGINES: Plan = Plan {
    nodes: 195,
    upstreams: 12,
    slots: 12,
    work: ms(1_200),
    ..PLAIN
};

fn play(plan: Plan) -> Outcome {
    let outcome = Simulation::new(plan).run();
    println!(
        "{} nodes, {} x {} slots, tolerance {:?}, {:?}, permits {}: {} crashes, {} refusals, {} in a second; \
         {} of {} answered in {} tries, {:.2} of the capacity used, urgent {:.2}, others {:.2}; \
         {:.0} bytes a second, {:.0} on average; {} questions",
        plan.nodes,
        plan.upstreams,
        plan.slots,
        plan.tolerance,
        plan.fault,
        plan.permits,
        outcome.crashes,
        outcome.refusals,
        outcome.most_refused,
        outcome.answered,
        outcome.requests,
        outcome.tries,
        outcome.used,
        outcome.urgent,
        outcome.routine,
        outcome.most_bytes,
        outcome.mean_bytes,
        outcome.permits,
    );
    outcome
}

fn crashes_max(plan: &Plan) -> usize {
    2 + plan.upstreams / 10
}

/// Guards against nodes that each learn by refusals of their own that an upstream is full, which are
/// too many for one that crashes by them (incident of LIMIT, brittle upstreams).
#[rstest]
#[case::two(PLAIN, 2, Fault::None)]
#[case::five(PLAIN, 5, Fault::None)]
#[case::twenty(PLAIN, 20, Fault::None)]
#[case::crash(PLAIN, 2, Fault::Crash)]
#[case::start(PLAIN, 2, Fault::Start)]
#[case::pause(PLAIN, 2, Fault::Pause)]
#[case::isolated(PLAIN, 2, Fault::Isolated)]
#[case::release(PLAIN, 2, Fault::Release)]
#[case::grown(GROWN, 2, Fault::None)]
#[case::grown_start(GROWN, 2, Fault::Start)]
#[case::large(LARGE, 2, Fault::None)]
#[case::large_isolated(LARGE, 2, Fault::Isolated)]
#[case::engines(ENGINES, 5, Fault::None)]
#[case::engines_crash(ENGINES, 2, Fault::Crash)]
#[case::engines_release(ENGINES, 2, Fault::Release)]
#[case::small_engines(SMALL_ENGINES, 20, Fault::None)]
#[case::small_engines_pause(SMALL_ENGINES, 2, Fault::Pause)]
fn requests_at_brittle_upstreams_are_bounded(
    #[case] plan: Plan,
    #[case] tolerance: u32,
    #[case] fault: Fault,
) {
    let plan = Plan {
        tolerance: Some(tolerance),
        fault,
        ..plan
    };
    let outcome = play(plan);
    assert!(outcome.crashes <= crashes_max(&plan), "{outcome:?}");
    if fault == Fault::None {
        assert!(outcome.used >= USED_MIN, "{outcome:?}");
    }
    assert!(outcome.urgent >= outcome.routine, "{outcome:?}");
}

/// The same with other draws.
#[rstest]
fn other_seeds_break_no_bound(
    #[values(2, 3, 4)] seed: u64,
    #[values(Fault::Start, Fault::Pause, Fault::Isolated, Fault::Release)] fault: Fault,
) {
    let plan = Plan {
        tolerance: Some(2),
        fault,
        seed,
        ..PLAIN
    };
    let outcome = play(plan);
    assert!(outcome.crashes <= crashes_max(&plan), "{outcome:?}");
    assert!(outcome.urgent >= outcome.routine, "{outcome:?}");
}

/// Guards against an issuer that all nodes ask for each of their requests: questions follow the permits
/// that there are, of which each invites two more, and four a second beside these. A node may ask once
/// for each upstream before it is told when to ask.
#[rstest]
#[case::large(195, 3.0)]
#[case::target(350, 10.0)]
fn questions_do_not_follow_demand(#[case] nodes: usize, #[case] burst: f64) {
    let plan = Plan {
        nodes,
        burst,
        ..LARGE
    };
    let outcome = play(plan);
    let seconds = brittle::BURST.1.as_secs_f64();
    let invited = outcome.tries as f64 * 3.0 + plan.upstreams as f64 * 4.0 * seconds;
    let first = plan.upstreams * plan.nodes;
    assert!(
        outcome.permits as f64 <= invited + first as f64,
        "{outcome:?}"
    );
}

/// Guards against a simulation in which nothing can crash.
#[rstest]
#[case::plain(PLAIN)]
#[case::grown(GROWN)]
#[case::large(LARGE)]
#[case::engines(ENGINES)]
#[case::small_engines(SMALL_ENGINES)]
fn nodes_without_permits_crash_them(#[case] plan: Plan) {
    let plan = Plan {
        permits: false,
        ..plan
    };
    let outcome = play(plan);
    assert!(outcome.crashes > crashes_max(&plan), "{outcome:?}");
}
