//! The order of upstreams for a model, estimates of load, prefix events, and steps of homes.

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

    /// An upstream that leaves moves only the models that it headed, and takes nothing new.
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

    /// Where demand is concentrated, all models share the first upstreams.
    #[test]
    fn concentrates(models in prop::collection::vec("[a-z]{1,8}", 2..20), active in 1..9_usize) {
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

    /// Homes move one step at a time, and demand that stays does not move them to and fro.
    #[test]
    fn homes_settle(sequences in 0.0..200.0_f64, start in 1..10_usize) {
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
fn report_and_what_followed() {
    let mut choice = UpstreamTable::default();
    choice.set_upstreams(upstreams(&[UpstreamState::Live]));
    let load = |choice: &UpstreamTable, now| choice.targets()[0].estimated_load(now, 7);
    choice.request_started(NOW, "e0");
    assert_eq!(load(&choice, NOW), 7, "own requests times nodes");
    choice.update_load("e0", 5, NOW - Duration::from_millis(300));
    assert_eq!(load(&choice, NOW), 5);
    choice.request_started(NOW, "e0");
    choice.request_started(NOW, "e0");
    choice.request_ended(NOW, "e0");
    assert_eq!(load(&choice, NOW), 6, "what followed the report is added");
    choice.update_load("e0", 99, NOW - Duration::from_secs(2));
    assert_eq!(load(&choice, NOW), 6, "an older report is dropped");
    assert_eq!(
        load(&choice, NOW + Duration::from_secs(60)),
        14,
        "an old report says nothing"
    );
}

#[test]
fn prefixes_after_gap() {
    let mut choice = UpstreamTable::default();
    choice.set_upstreams(upstreams(&[UpstreamState::Live]));
    choice.apply_cache_events("e0", vec![3, 1, 2], &[2], false);
    let cached = |choice: &UpstreamTable, prefix| choice.targets()[0].has_cached_prefix(prefix);
    assert!(cached(&choice, 1) && cached(&choice, 3) && !cached(&choice, 2));
    choice.apply_cache_events("e0", vec![9], &[], true);
    assert!(cached(&choice, 9) && !cached(&choice, 1));
}
