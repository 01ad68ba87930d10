//! Ranking of upstreams for a model, load estimates, prefix cache events, and the number of homes.

use std::time::Duration;

use placement::demand;
use placement::event::{Fencing, Upstream, UpstreamState};
use placement::upstreams::UpstreamTable;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use wire::Model;

const NOW: Duration = Duration::from_secs(100);

fn upstreams(states: &[UpstreamState]) -> Vec<Upstream> {
    let upstream = |(index, state): (usize, &UpstreamState)| Upstream {
        id: format!("e{index}").into(),
        pool: "p".into(),
        base: "b".into(),
        zone: "z".into(),
        store: "s".into(),
        slots: 8,
        max_batch: 16,
        fencing: Fencing::Ignores,
        state: *state,
    };
    states.iter().enumerate().map(upstream).collect()
}

fn order(choice: &UpstreamTable, model: &Model, active: usize) -> Vec<String> {
    let mut order = Vec::new();
    let (pool, base) = ("p".into(), "b".into());
    choice.rank_for_model(model, &pool, &base, usize::MAX, active, &mut order);
    let id = |(_, index): &(u64, usize)| choice.targets()[*index].facts.id.to_string();
    order.iter().map(id).collect()
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    })]

    /// When an upstream leaves, it disappears from every model's ranking and the order of the
    /// others stays the same.
    #[test]
    fn leaving_moves_its_own(model in "[a-z]{1,8}", gone in 0..9_usize) {
        let model = Model::new(model, "1");
        let mut choice = UpstreamTable::default();
        let mut states = [UpstreamState::Live; 9];
        choice.set_upstreams(upstreams(&states));
        let mut before = order(&choice, &model, usize::MAX);
        states[gone] = UpstreamState::Leaving;
        choice.set_upstreams(upstreams(&states));
        before.retain(|id| *id != format!("e{gone}"));
        prop_assert_eq!(order(&choice, &model, usize::MAX), before);
    }

    /// When demand is concentrated on `active` upstreams, all models rank the same ones first.
    #[test]
    fn concentrated_demand_shares_upstreams(
        models in prop::collection::vec("[a-z]{1,8}", 2..20),
        active in 1..9_usize,
    ) {
        let mut choice = UpstreamTable::default();
        choice.set_upstreams(upstreams(&[UpstreamState::Live; 9]));
        let mut firsts: Vec<Vec<String>> = Vec::new();
        for model in models {
            let mut first = order(&choice, &Model::new(model, "1"), active);
            first.truncate(active);
            first.sort();
            firsts.push(first);
        }
        firsts.dedup();
        prop_assert_eq!(firsts.len(), 1);
    }

    /// The number of homes changes by one step at a time and does not oscillate under constant
    /// demand.
    #[test]
    fn homes_converge(sequences in 0.0..200.0_f64, start in 1..10_usize) {
        let mut homes = start;
        let mut steps = Vec::new();
        for _ in 0..30 {
            let next = demand::adjust_homes(homes, sequences, 11.2, 9);
            prop_assert!(next.abs_diff(homes) <= 1);
            steps.push(next as i64 - homes as i64);
            homes = next;
        }
        prop_assert_eq!(steps.last(), Some(&0));
        prop_assert!(!(steps.contains(&1) && steps.contains(&-1)));
        prop_assert!(homes == 9 || homes as f64 * 11.2 >= sequences);
    }
}

#[test]
fn load_since_last_report() {
    let mut choice = UpstreamTable::default();
    choice.set_upstreams(upstreams(&[UpstreamState::Live]));
    let load = |choice: &UpstreamTable, now| choice.targets()[0].estimated_load(now, 7);
    choice.request_started(NOW, "e0");
    assert_eq!(
        load(&choice, NOW),
        7,
        "without a report, own requests times nodes"
    );
    choice.update_load("e0", 5, NOW - Duration::from_millis(300));
    assert_eq!(load(&choice, NOW), 5);
    choice.request_started(NOW, "e0");
    choice.request_started(NOW, "e0");
    choice.request_ended(NOW, "e0");
    assert_eq!(load(&choice, NOW), 6, "changes since the report are added");
    choice.update_load("e0", 99, NOW - Duration::from_secs(2));
    assert_eq!(
        load(&choice, NOW),
        6,
        "a report older than the last one is dropped"
    );
    assert_eq!(
        load(&choice, NOW + Duration::from_secs(60)),
        14,
        "an outdated report is ignored"
    );
}

#[test]
fn gap_clears_cached_prefixes() {
    let mut choice = UpstreamTable::default();
    choice.set_upstreams(upstreams(&[UpstreamState::Live]));
    choice.apply_cache_events("e0", vec![3, 1, 2], &[2], false);
    let cached = |choice: &UpstreamTable, prefix| choice.targets()[0].has_cached_prefix(prefix);
    assert!(cached(&choice, 1) && cached(&choice, 3) && !cached(&choice, 2));
    choice.apply_cache_events("e0", vec![9], &[], true);
    assert!(cached(&choice, 9) && !cached(&choice, 1));
}
