//! Promises under seeded schedules of losses, pauses, partitions, restarts and replacements.

mod fleet;

use std::time::Duration;

use fleet::{Fleet, Planted, ROUGH, Told};
use once::{Config, Message, Outcome};
use rstest::rstest;

const TIME: Duration = Duration::from_secs(20);

fn config() -> Config {
    let mut config = Config {
        retry_window: Duration::from_secs(10),
        max_wait: Duration::from_secs(2),
        fence: Duration::from_secs(5),
        resend: fleet::ms(100),
        ..fleet::config()
    };
    config.quarantine = config.full_quarantine();
    config
}

fn torment(seed: u64, planted: Option<Planted>) -> Fleet {
    let mut fleet = Fleet::new(seed, 7, config(), ROUGH);
    if seed.is_multiple_of(2) {
        fleet.take_ticket();
    } else {
        fleet.run(config().quarantine);
    }
    fleet.plant(planted);
    fleet.torment(TIME);
    fleet
}

#[rstest]
fn promises_kept(#[values(0, 1, 2, 3)] part: u64) {
    let mut answered = 0;
    for seed in part * 25..(part + 1) * 25 {
        let fleet = torment(seed, None);
        assert!(
            fleet.broken().is_empty(),
            "seed {seed}: {:?}",
            fleet.broken()
        );
        let told = |call: &fleet::Call| matches!(call.told, Some((_, Told::Record(_))));
        answered += fleet.calls.iter().filter(|call| told(call)).count();
    }
    assert!(
        answered > 1_000,
        "schedules that answer nothing prove nothing: {answered}"
    );
}

#[rstest]
#[case(Planted::Quorum)]
#[case(Planted::Grant)]
#[case(Planted::Disown)]
#[case(Planted::Void)]
fn planted_fault_found(#[case] planted: Planted) {
    let found = (0..200).any(|seed| !torment(seed, Some(planted)).broken().is_empty());
    assert!(found, "{planted:?} was not found");
}

fn index(vm: &str) -> usize {
    vm[3..].parse().expect("numbered")
}

/// Three nodes that were replaced run on, and reach only the fourth, which has gone over to the newcomers'
/// set and whose news they don't get. It must not vote at their old set.
#[rstest]
#[case(None, 1)]
#[case(Some(Planted::Seal), 2)]
fn old_set_sealed(#[case] planted: Option<Planted>, #[case] runs: usize) {
    let mut fleet = Fleet::new(5, 7, config(), fleet::CALM);
    fleet.take_ticket();
    fleet.filter = |from, to, message| {
        let (from, to) = (index(&from.vm), index(to));
        let old = |node| node < 3;
        match message {
            _ if from == 3 || to == 3 => {
                let news = matches!(message, Message::Sync { .. } | Message::Hello { .. });
                let claim = matches!(message, Message::Ask { .. } | Message::Store { .. });
                !(news && old(to) || claim && !old(from))
            }
            _ => old(from) == old(to),
        }
    };
    for node in 0..3 {
        fleet.delist(node);
        fleet.boot();
    }
    fleet.run(Duration::from_secs(3));
    assert_eq!(
        fleet.guard(3).witness_set().id(),
        fleet.guard(9).witness_set().id()
    );
    assert!(fleet.guard(9).is_voting());
    fleet.plant(planted);
    fleet.call(4, 1, "a");
    fleet.run(fleet::ms(300));
    fleet.call(0, 1, "a");
    fleet.run(Duration::from_secs(3));
    assert_eq!(fleet.runs[&1].len(), runs);
    assert_eq!(fleet.broken().is_empty(), planted.is_none());
}

/// Four witnesses know of a claim, and all four are replaced one after the other. Their successors
/// must have it from them.
#[rstest]
#[case(None, 1)]
#[case(Some(Planted::Recovery), 2)]
fn newcomers_recover(#[case] planted: Option<Planted>, #[case] runs: usize) {
    let mut fleet = Fleet::new(6, 7, config(), fleet::CALM);
    fleet.take_ticket();
    fleet.filter = |_, to, message| {
        let claim = matches!(message, Message::Ask { .. } | Message::Store { .. });
        !(claim && (4..7).contains(&index(to)))
    };
    fleet.plant(planted);
    fleet.call(0, 1, "a");
    fleet.run(Duration::from_millis(3));
    assert_eq!(fleet.runs[&1].len(), 1);
    for node in 0..4 {
        fleet.kill(node);
        fleet.delist(node);
        fleet.boot();
        fleet.run(Duration::from_secs(2));
        assert_eq!(fleet.voting_nodes(), 7);
    }
    let retry = fleet.call(4, 1, "a");
    fleet.run(Duration::from_secs(2));
    assert_eq!(fleet.runs[&1].len(), runs);
    let unknown = matches!(fleet.told(retry), Some(Told::Refused(Outcome::Unknown, _)));
    assert_eq!(unknown, planted.is_none());
}

/// The executor is paused between its quorum and the first byte, and wakes after the permit time.
#[rstest]
#[case(None)]
#[case(Some(Planted::Permit))]
fn late_write_refused(#[case] planted: Option<Planted>) {
    let broken = |seed| {
        let mut fleet = Fleet::new(seed, 7, config(), fleet::CALM);
        fleet.take_ticket();
        fleet.plant(planted);
        fleet.call(0, 1, "a");
        fleet.run(Duration::from_micros(1_300));
        fleet.pause(0, Duration::from_secs(1));
        fleet.run(Duration::from_millis(1_001));
        fleet.call(3, 1, "a");
        fleet.run(Duration::from_secs(3));
        !fleet.broken().is_empty()
    };
    let found = (0..20).filter(|seed| broken(*seed)).count();
    assert_eq!(found > 0, planted.is_some(), "{found} of 20 broken");
}

#[test]
fn every_request_ends() {
    for seed in 100..106 {
        let fleet = torment(seed, None);
        let up = fleet.up();
        for (number, call) in fleet.calls.iter().enumerate() {
            let alive = up
                .iter()
                .any(|i| fleet.guard(*i).incarnation() == &call.node);
            assert!(
                !alive || call.told.is_some(),
                "seed {seed}: call {number} hangs"
            );
        }
    }
}

#[test]
fn not_run_said() {
    let said = (0..20).any(|seed| {
        let calls = torment(seed, None).calls;
        let not_run = |told: &Told| matches!(told, Told::Refused(Outcome::NotRun, _));
        calls
            .iter()
            .any(|c| c.told.as_ref().is_some_and(|(_, t)| not_run(t)))
    });
    assert!(said, "schedules without a not-run don't check it");
}
