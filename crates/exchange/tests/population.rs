//! What nodes take of the limits of all nodes while they do not hear of each other.

use std::ops::Range;
use std::time::Duration;

use exchange::population::Population;
use exchange::quota::{QuotaDecision, TokenBuckets};
use exchange::retry_budget::{Config, RetryBudget};
use exchange::route::PoolName;
use exchange::tenant::{Quota, TenantName, Unit};
use rstest::rstest;
use wire::{Time, Vm};

const NODES: usize = 7;

/// Time after which discovery forgets a node that nobody has heard.
const RECORD_LIFETIME: Duration = Duration::from_secs(15);

const CONFIG: Config = Config {
    ratio: 0.2,
    extra: 54.0,
    window: Duration::from_secs(10),
    share: 0.6,
};

/// Interval between two steps.
const STEP: Duration = Duration::from_millis(100);

const CUT_AT: Time = Duration::from_secs(5);

fn vm(index: usize) -> Vm {
    format!("vm-{index}").into()
}

fn vms(indexes: impl IntoIterator<Item = usize>) -> Vec<Vm> {
    let mut vms: Vec<Vm> = indexes.into_iter().map(vm).collect();
    vms.sort_unstable();
    vms
}

fn seconds(seconds: u64) -> Time {
    Duration::from_secs(seconds)
}

/// Returns the part of a partitioned fleet that has the node `me`; `sizes` has the size of each part.
fn part(sizes: &[usize], me: usize) -> Range<usize> {
    let mut end = 0;
    let mut parts = sizes.iter().map(|size| {
        end += size;
        end - size..end
    });
    parts.find(|part| part.contains(&me)).unwrap_or(me..me + 1)
}

/// Returns the nodes that discovery knows at the node `me` of a fleet whose parts do not hear each other
/// from [`CUT_AT`] on.
fn discovered(now: Time, sizes: &[usize], me: usize) -> Vec<Vm> {
    if now < CUT_AT + RECORD_LIFETIME {
        vms(0..NODES)
    } else {
        vms(part(sizes, me))
    }
}

/// Nodes that are cut off from each other keep to the retry budget that they share, however long the
/// cut lasts.
#[rstest]
#[case::one(&[1, 6])]
#[case::minority(&[3, 4])]
#[case::thirds(&[2, 2, 3])]
#[case::each(&[1; NODES])]
fn cut_nodes_share_the_retry_budget(#[case] parts: &[usize]) {
    let config = CONFIG;
    let pool: PoolName = "pool".into();
    let mut nodes = vec![(Population::new(3), RetryBudget::new(config, Time::ZERO)); NODES];
    let mut retries: Vec<Time> = Vec::new();
    let mut now = Time::ZERO;
    while now < seconds(120) {
        for (me, (population, budget)) in nodes.iter_mut().enumerate() {
            population.update(now, &discovered(now, parts, me), &[]);
            while budget.try_spend(now, &pool, population.count()) {
                retries.push(now);
            }
        }
        let recent = retries.iter().filter(|at| now < **at + config.window);
        let spent = recent.count();
        assert!(spent as f64 <= config.extra, "{spent} retries at {now:?}");
        now += STEP;
    }
}

/// Nodes that start together and learn of each other over some seconds keep to the retry budget.
#[rstest]
#[case::seven(7, 54.0)]
#[case::thirty(30, 200.0)]
#[case::large(195, 430.0)]
fn starting_nodes_share_the_retry_budget(#[case] nodes: usize, #[case] extra: f64) {
    const DISCOVERY: Duration = Duration::from_secs(7);
    let config = Config { extra, ..CONFIG };
    let pool: PoolName = "pool".into();
    let mut budgets = vec![(Population::new(3), RetryBudget::new(config, Time::ZERO)); nodes];
    let mut retries: Vec<Time> = Vec::new();
    let mut now = STEP;
    while now < seconds(30) {
        let found = nodes as f64 * now.as_secs_f64() / DISCOVERY.as_secs_f64();
        let found = (found.ceil() as usize).clamp(1, nodes);
        for (me, (population, budget)) in budgets.iter_mut().enumerate() {
            let known = vms((0..found).map(|step| (me + step) % nodes));
            population.update(now, &known, &[]);
            while budget.try_spend(now, &pool, population.count()) {
                retries.push(now);
            }
        }
        let recent = retries.iter().filter(|at| now < **at + config.window);
        let spent = recent.count();
        assert!(spent as f64 <= extra, "{spent} retries at {now:?}");
        now += STEP;
    }
}

/// Nodes that are cut off from each other keep to the quota that they share, whoever coordinates it in
/// each part, however long the cut lasts.
#[rstest]
#[case::one(&[1, 6])]
#[case::minority(&[3, 4])]
#[case::thirds(&[2, 2, 3])]
#[case::each(&[1; NODES])]
fn cut_nodes_share_a_quota(#[case] parts: &[usize]) {
    let quota = Quota {
        rate: 100.0,
        burst: 100.0,
        unit: Unit::Requests,
    };
    let tenant: TenantName = "mayor".into();
    let mut population = vec![Population::new(3); NODES];
    let mut coordinators = vec![TokenBuckets::shared(); NODES];
    let (mut now, mut granted) = (Time::ZERO, Vec::new());
    while now < seconds(120) {
        for (me, population) in population.iter_mut().enumerate() {
            let known = discovered(now, parts, me);
            population.update(now, &known, &[]);
            let live = if now < CUT_AT {
                0..NODES
            } else {
                part(parts, me)
            };
            if me == live.start {
                let decide = |_: &u32| {
                    let part = population.part(live.len());
                    let bucket = &mut coordinators[me];
                    bucket.try_acquire(now, &tenant, &quota, part, 1) == QuotaDecision::Granted
                };
                granted.extend((0..20).filter(decide).map(|_| now));
            }
        }
        now += STEP;
    }
    // One and a half times the rate, over some seconds in which the burst does not count.
    let steady = granted.iter().filter(|at| **at >= seconds(60)).count();
    assert!(steady <= 9_000, "{steady} granted in 60 s");
}

/// A node that has started and not met the others takes no whole share of its own.
#[rstest]
fn starting_node_counts_its_seeds() {
    let mut population = Population::new(3);
    assert_eq!(population.count(), 4);
    population.update(seconds(60), &vms([0]), &[]);
    assert_eq!(population.count(), 4);
    population.update(seconds(61), &vms(0..NODES), &[]);
    assert_eq!(population.count(), NODES);
}

/// A node without seeds is alone, and keeps nothing for others.
#[rstest]
fn single_node_takes_all() {
    let mut population = Population::new(0);
    population.update(seconds(1), &vms([0]), &[]);
    assert_eq!(population.count(), 1);
}

/// A node that has left keeps no share from the others.
#[rstest]
fn left_node_does_not_count() {
    let mut population = Population::new(1);
    population.update(seconds(1), &vms([0, 1]), &[]);
    population.update(seconds(2), &vms([0, 1]), &vms([1]));
    assert_eq!(population.count(), 2);
    population.update(seconds(17), &vms([0]), &[]);
    assert_eq!(population.count(), 1);
}

/// A dead node keeps its share from the others only for a while, as long as most of them live.
#[rstest]
fn dead_node_is_forgotten() {
    let mut population = Population::new(3);
    population.update(seconds(1), &vms(0..NODES), &[]);
    population.update(seconds(20), &vms(0..5), &[]);
    population.update(seconds(34), &vms(0..5), &[]);
    assert_eq!(population.count(), NODES);
    population.update(seconds(35), &vms(0..5), &[]);
    assert_eq!(population.count(), 5);
}

/// Dead nodes whose machines are replaced do not count for ever.
#[rstest]
fn replaced_nodes_are_forgotten() {
    let mut population = Population::new(3);
    population.update(seconds(1), &vms(0..NODES), &[]);
    population.update(seconds(20), &vms(0..2), &[]);
    population.update(seconds(600), &vms(0..2), &[]);
    assert_eq!(population.count(), NODES);
    population.update(seconds(601), &vms((0..2).chain(10..15)), &[]);
    assert_eq!(population.count(), NODES);
}
