//! Claims on a reliable network.

mod fleet;

use fleet::{Fleet, RELIABLE, Reply, config, ms};
use once::{CallRecord, Outcome};

fn answer(fleet: &Fleet, call: usize) -> Option<&CallRecord> {
    match fleet.reply(call) {
        Some(Reply::Record(record)) => Some(record),
        _ => None,
    }
}

#[test]
fn first_answer_returned() {
    let mut fleet = Fleet::new(1, 7, config(), RELIABLE);
    assert_eq!(fleet.voting_nodes(), 7);
    let first = fleet.call(0, 1, "a");
    fleet.run(ms(100));
    let retry = fleet.call(3, 1, "a");
    let other = fleet.call(4, 1, "b");
    fleet.run(ms(100));
    assert!(answer(&fleet, first).is_some());
    assert_eq!(answer(&fleet, first), answer(&fleet, retry));
    assert!(matches!(
        fleet.reply(other),
        Some(Reply::Refused(Outcome::Mismatch, _))
    ));
    assert_eq!(fleet.executions[&1].len(), 1);
}

#[test]
fn answer_outlives_executor() {
    let mut fleet = Fleet::new(2, 7, config(), RELIABLE);
    let first = fleet.call(0, 1, "a");
    fleet.run(ms(100));
    fleet.kill(0);
    let retry = fleet.call(5, 1, "a");
    fleet.run(ms(100));
    assert!(answer(&fleet, first).is_some());
    assert_eq!(answer(&fleet, first), answer(&fleet, retry));
}

#[test]
fn running_attempt_joined() {
    let mut fleet = Fleet::new(3, 7, config(), RELIABLE);
    fleet.service_time = (300_000, 300_000);
    let first = fleet.call(0, 1, "a");
    fleet.run(ms(20));
    let retries = [fleet.call(0, 1, "a"), fleet.call(6, 1, "a")];
    fleet.run(ms(600));
    assert!(answer(&fleet, first).is_some());
    assert!(
        retries
            .iter()
            .all(|r| answer(&fleet, *r) == answer(&fleet, first))
    );
    assert!(fleet.violations().is_empty());
}

#[test]
fn divided_votes_end() {
    for seed in 0..50 {
        let mut fleet = Fleet::new(seed, 7, config(), RELIABLE);
        let calls: Vec<usize> = (0..7).map(|node| fleet.call(node, 1, "a")).collect();
        fleet.run(ms(1_000));
        let answered = calls
            .iter()
            .filter(|c| answer(&fleet, **c).is_some())
            .count();
        assert_eq!(answered, 7, "seed {seed}");
        assert!(
            fleet.violations().is_empty(),
            "seed {seed}: {:?}",
            fleet.violations()
        );
    }
}

#[test]
fn executor_death_unknown() {
    let mut fleet = Fleet::new(4, 7, config(), RELIABLE);
    fleet.service_time = (300_000, 300_000);
    fleet.call(0, 1, "a");
    fleet.run(ms(20));
    fleet.restart(0);
    fleet.run(ms(500));
    let retry = fleet.call(3, 1, "a");
    fleet.run(ms(20));
    assert!(matches!(
        fleet.reply(retry),
        Some(Reply::Refused(Outcome::Unknown, _))
    ));
    assert_eq!(fleet.executions[&1].len(), 1);
}
