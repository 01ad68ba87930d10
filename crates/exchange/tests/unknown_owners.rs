//! Nodes that do not know each other and order at the same engines.

mod soak;
mod support;

use std::time::Duration;

use exchange::owner::{Action, Answer, Decision, Event, Message, Order};
use rstest::rstest;
use soak::{Fault, Simulation};
use support::{OwnerHarness, bare, engine, ms, target};
use wire::{Time, Vm};

const ENGINES: usize = 6;
const NODES: usize = 3;

const SEEDS: u64 = 20;

/// Time until the engines have owners: nodes that have found nobody claim after 15 s.
const START: Duration = ms(26_000);

/// Longest time without an owner after a death.
const RECOVERY: Duration = ms(12_000);

/// A node that has found none of its seeds.
fn isolated() -> OwnerHarness {
    let mut node = OwnerHarness::alone("vm-1", 1, [engine("e1", &["a"])]);
    node.step(Event::Isolated(true));
    node
}

/// An isolated node that owns the engine, which has accepted five orders.
fn owner() -> OwnerHarness {
    let mut node = isolated();
    node.advance_reporting(ms(7_000), |_| Some(5));
    assert_eq!(node.owner.owned().count(), 1);
    node
}

fn request(adapter: &str) -> Event {
    Event::RequestLoad {
        engine: "e1".into(),
        target: target(adapter),
        rank: 0,
    }
}

fn report(node: &mut OwnerHarness, orders: u64) -> Vec<Action> {
    node.step(Event::ReportFetched {
        engine: "e1".into(),
        succeeded: true,
        orders: Some(orders),
    })
}

/// Returns the orders in `actions`, with the counts that they expect.
fn orders(actions: &[Action]) -> Vec<(&Order, Option<u64>)> {
    let orders = actions.iter().filter_map(|action| match action {
        Action::Order {
            order, expected, ..
        } => Some((order, *expected)),
        _ => None,
    });
    orders.collect()
}

fn answer(node: &mut OwnerHarness, actions: &[Action], answer: Answer) -> Vec<Action> {
    let order = actions.iter().find_map(|action| match action {
        Action::Order {
            engine,
            fence,
            order,
            ..
        } => Some(Event::Answered {
            engine: engine.clone(),
            fence: *fence,
            order: order.clone(),
            answer,
        }),
        _ => None,
    });
    node.step(order.expect("an order"))
}

fn is_released(actions: &[Action]) -> bool {
    let is_release = |action: &Action| matches!(action, Action::Log(Decision::Released(..)));
    actions.iter().any(is_release)
}

fn is_report(action: &Action) -> bool {
    matches!(action, Action::FetchReport { .. })
}

#[rstest]
#[case::stated(Some(5))]
#[case::unstated(None)]
fn quiet_engine_is_claimed_after_a_lease(#[case] count: Option<u64>) {
    let mut node = isolated();
    node.advance_reporting(ms(3_000), |_| count);
    assert_eq!(node.owner.owned().count(), 0, "within a lease");
    node.advance_reporting(ms(4_000), |_| count);
    assert_eq!(node.owner.owned().count(), 1);
}

/// An engine that states no count cannot refuse orders by it, so that the first one raises the token alone.
#[rstest]
fn engine_without_a_count_is_locked_first() {
    let mut node = isolated();
    let sent = node.advance_reporting(ms(7_000), |_| None);
    assert_eq!(orders(&sent), [(&Order::Load(bare(), None), None)]);
}

/// Guards against several owners of each engine (ONE): a node that had found nobody claimed engines that others
/// ordered at.
#[rstest]
fn engine_of_an_unknown_owner_is_left_alone() {
    let mut node = isolated();
    let lived = ms(60_000);
    let sent = node.advance_reporting(lived, |now| Some(now.as_secs() / 2));
    assert_eq!(node.owner.owned().count(), 0);
    assert!(orders(&sent).is_empty());
    let died = node.now;
    node.advance_reporting(RECOVERY, |_| Some(died.as_secs() / 2));
    assert_eq!(node.owner.owned().count(), 1, "after its owner has died");
}

#[rstest]
fn orders_follow_the_count() {
    let mut node = owner();
    let first = node.step(request("b"));
    assert!(orders(&first).is_empty(), "a report comes first");
    let first = report(&mut node, 5);
    assert_eq!(orders(&first), [(&Order::Load(target("b"), None), Some(5))]);
    answer(&mut node, &first, Answer::Accepted);
    let second = node.advance(ms(700));
    let confirm = Order::Confirm(target("b"), None);
    assert_eq!(orders(&second), [(&confirm, Some(6))]);
    answer(&mut node, &second, Answer::Done);
    let third = node.step(request("c"));
    assert_eq!(orders(&third), [(&Order::Load(target("c"), None), Some(6))]);
}

/// Guards against orders by turns (ONE): whoever was overtaken noticed that by a refusal, so that its order
/// came between two of the new owner.
#[rstest]
fn overtaken_owner_gives_no_order() {
    let mut node = owner();
    let sent = node.step(request("b"));
    assert!(sent.iter().any(is_report));
    let sent = report(&mut node, 6);
    assert!(is_released(&sent));
    assert!(orders(&sent).is_empty());
    let later = node.advance_reporting(ms(4_000), |_| Some(6));
    assert!(orders(&later).is_empty());
}

#[rstest]
#[case::own_order_under_way(6, false)]
#[case::order_of_another(7, true)]
fn busy_engine_tells_who_ordered(#[case] count: u64, #[case] released: bool) {
    let mut node = owner();
    node.step(request("b"));
    let first = report(&mut node, 5);
    answer(&mut node, &first, Answer::Unknown);
    let again = node.advance_reporting(ms(2_000), |_| Some(count));
    let lost = node.owner.owned().count() == 0;
    assert_eq!(lost, released, "{again:?}");
}

/// Guards against claims by turns (ONE): a refused owner claimed again by a higher number as soon as a lease had passed,
/// and so took the engine from an owner that lives.
#[rstest]
fn refused_owner_waits_for_a_quiet_engine() {
    let mut node = OwnerHarness::alone("vm-1", 1, [engine("e1", &["a"])]);
    node.claim_all();
    let sent = node.step(request("b"));
    answer(&mut node, &sent, Answer::Fenced);
    let sent = node.advance_reporting(ms(30_000), |now| Some(now.as_secs()));
    assert!(orders(&sent).is_empty());
    node.advance_reporting(RECOVERY, |_| Some(99));
    assert_eq!(node.owner.owned().count(), 1, "after its owner has died");
}

#[rstest]
fn known_owner_is_no_unknown_one() {
    let mut node = OwnerHarness::alone("vm-1", 1, [engine("e1", &["a"])]);
    node.claim_all();
    let (_, fence) = node.owner.owned().next().expect("an owner");
    let sent = node.step(request("b"));
    answer(&mut node, &sent, Answer::Fenced);
    let claims = vec![("e1".into(), fence + (1 << 24))];
    let from: Vm = "vm-2".into();
    let message = Message::Claims(claims);
    node.step(Event::Receive {
        from: from.clone(),
        message,
    });
    let message = Message::Release(Vec::new());
    node.step(Event::Receive { from, message });
    assert!(!node.advance(ms(3_500)).iter().any(is_report));
}

/// Guards against two owners after a partition of more than 30 s (ONE): nodes that were forgotten live on, with the
/// engines that they own.
#[rstest]
fn forgotten_nodes_may_own_engines() {
    let mut node = OwnerHarness::alone("vm-1", 1, []);
    let all: Vec<Vm> = ["vm-1", "vm-2", "vm-3"].map(Vm::from).to_vec();
    node.step(Event::KnownNodes(all.clone()));
    node.advance(ms(1_000));
    node.step(Event::KnownNodes(all[..2].to_vec()));
    node.advance(ms(16_000));
    node.fleet.apply_listing(node.now, engine("e1", &["a"]));
    node.fleet.configure(&support::config(Vec::new()));
    let sent = node.advance_reporting(ms(20_000), |now| Some(now.as_secs()));
    assert!(sent.iter().any(is_report));
    assert_eq!(node.owner.owned().count(), 0);
}

fn lapses(simulation: &mut Simulation, seed: u64, from: Duration) {
    for lapse in 0..40 {
        let at = from + ms(900 * lapse);
        let time = ms(300 + (seed * 7_919 + lapse * 104_729) % 2_100);
        let engine = usize::try_from(seed + lapse * 5).unwrap() % ENGINES;
        simulation.schedule_fault(at, Fault::Lapse(engine, time));
    }
}

/// Guards against nodes that never find each other and each own every engine (ONE, review/9): also where entries lapse
/// and come back, each engine has one owner.
#[rstest]
#[case::fenced(true, false)]
#[case::unfenced(false, false)]
#[case::fenced_lapses(true, true)]
#[case::unfenced_lapses(false, true)]
fn nodes_apart_share_the_engines_out(#[case] fenced: bool, #[case] with_lapses: bool) {
    let mut refused = 0;
    for seed in 1..=SEEDS {
        let mut simulation = Simulation::apart(seed, NODES, fenced);
        if with_lapses {
            lapses(&mut simulation, seed, START);
        }
        simulation.run_for(START);
        let before = (simulation.served, simulation.requested);
        simulation.run_for(ms(40_000));
        for engine in &simulation.engines {
            let turns = engine.alternations();
            assert!(turns.is_empty(), "seed {seed}, {}: {turns:?}", engine.id);
            assert_eq!(engine.overfills, 0, "seed {seed}, {}", engine.id);
            let (refusals, again) = engine.refusals();
            assert!(again.is_empty(), "seed {seed}, {}: {again:?}", engine.id);
            refused += refusals;
        }
        let served = simulation.served - before.0;
        let share = served as f64 / (simulation.requested - before.1) as f64;
        assert!(share > 0.7, "seed {seed}: {share:.2} served");
    }
    // Two nodes may claim a quiet engine at the same moment.
    let plays = ENGINES * usize::try_from(SEEDS).unwrap();
    assert!(refused <= plays, "{refused} refused in {plays} plays");
}

/// Somebody orders again soon after the owner of an engine has died, although nobody knows of it.
#[rstest]
#[case::fenced(true)]
#[case::unfenced(false)]
fn dead_owner_is_followed(#[case] fenced: bool) {
    for seed in 1..=20 {
        let mut simulation = Simulation::apart(seed, NODES, fenced);
        simulation.run_for(START);
        let dead = (seed as usize) % NODES;
        let held: Vec<usize> = simulation.owned_by(dead);
        simulation.schedule_fault(ms(0), Fault::Kill(dead, ms(60_000)));
        let died: Time = ms(1_000) + START;
        simulation.run_for(RECOVERY + ms(3_000));
        let after = simulation.first_orders(died + ms(10));
        for engine in held {
            let at = after[engine].expect("somebody orders");
            assert!(at <= died + RECOVERY, "seed {seed}: {:?}", at - died);
        }
        let turns: usize = simulation
            .engines
            .iter()
            .map(|e| e.alternations().len())
            .sum();
        assert_eq!(turns, 0, "seed {seed}");
    }
}

/// Guards against orders by turns (ONE): callers come back to all nodes at the same moment, after a time without any in
/// which each node has claimed every engine.
#[rstest]
fn owners_without_requests_begin_one_by_one() {
    let delays: Vec<Duration> = (1..=4)
        .map(|number| {
            let vm = format!("vm-{number}");
            let mut node = OwnerHarness::alone(&vm, number, [engine("e1", &["a"])]);
            node.step(Event::Isolated(true));
            node.advance_reporting(ms(9_000), |_| Some(0));
            let sent = node.step(request("b"));
            let delay = sent.iter().find_map(|action| match action {
                Action::FetchReport { delay, .. } => Some(*delay),
                _ => None,
            });
            delay.expect("a report before the first order")
        })
        .collect();
    let mut sorted = delays.clone();
    sorted.sort_unstable();
    let is_apart = |pair: &[Duration]| pair[1] - pair[0] > ms(5);
    assert!(sorted.windows(2).all(is_apart), "{delays:?}");
}
