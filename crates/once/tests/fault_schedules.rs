//! Guarantees under random schedules of message loss, pauses, partitions, restarts and replacements.

mod fleet;

use std::time::Duration;

use fleet::{Fleet, PlantedFault, Reply, UNRELIABLE};
use once::{Config, Message, Outcome};
use rstest::rstest;

const TIME: Duration = Duration::from_secs(20);

fn config() -> Config {
    let mut config = Config {
        retry_window: Duration::from_secs(10),
        max_wait: Duration::from_secs(2),
        max_list_age: Duration::from_secs(5),
        resend_interval: fleet::ms(100),
        ..fleet::config()
    };
    config.quarantine = config.full_quarantine();
    config
}

fn run_schedule(seed: u64, planted: Option<PlantedFault>) -> Fleet {
    let mut fleet = Fleet::new(seed, 7, config(), UNRELIABLE);
    if seed.is_multiple_of(2) {
        fleet.use_current_ticket();
    } else {
        fleet.run(config().quarantine);
    }
    fleet.plant_fault(planted);
    fleet.run_random_faults(TIME);
    fleet
}

#[rstest]
fn promises_kept(#[values(0, 1, 2, 3)] part: u64) {
    let mut answered = 0;
    for seed in part * 25..(part + 1) * 25 {
        let fleet = run_schedule(seed, None);
        assert!(
            fleet.violations().is_empty(),
            "seed {seed}: {:?}",
            fleet.violations()
        );
        let is_answered = |call: &fleet::Call| matches!(call.reply, Some((_, Reply::Record(_))));
        answered += fleet.calls.iter().filter(|call| is_answered(call)).count();
    }
    assert!(
        answered > 1_000,
        "too few answered calls to prove anything: {answered}"
    );
}

#[rstest]
#[case(PlantedFault::Quorum)]
#[case(PlantedFault::Grant)]
#[case(PlantedFault::Disown)]
#[case(PlantedFault::Void)]
fn planted_fault_found(#[case] planted: PlantedFault) {
    let found = (0..200).any(|seed| !run_schedule(seed, Some(planted)).violations().is_empty());
    assert!(found, "{planted:?} was not detected");
}

fn index(vm: &str) -> usize {
    vm[3..].parse().expect("numbered")
}

/// Three replaced nodes keep running and reach only a fourth one, which has adopted the witness set
/// of their successors. They don't receive its set. It must not vote in their old set.
#[rstest]
#[case(None, 1)]
#[case(Some(PlantedFault::Seal), 2)]
fn old_set_sealed(#[case] planted: Option<PlantedFault>, #[case] runs: usize) {
    let mut fleet = Fleet::new(5, 7, config(), fleet::RELIABLE);
    fleet.use_current_ticket();
    fleet.filter = |from, to, message| {
        let (from, to) = (index(&from.vm), index(to));
        let old = |node| node < 3;
        match message {
            _ if from == 3 || to == 3 => {
                let membership = matches!(message, Message::Sync { .. } | Message::Hello { .. });
                let claim = matches!(message, Message::RequestVote { .. } | Message::Store { .. });
                !(membership && old(to) || claim && !old(from))
            }
            _ => old(from) == old(to),
        }
    };
    for node in 0..3 {
        fleet.delist(node);
        fleet.start_vm();
    }
    fleet.run(Duration::from_secs(3));
    assert_eq!(
        fleet.participant(3).witness_set().id(),
        fleet.participant(9).witness_set().id()
    );
    assert!(fleet.participant(9).is_voting());
    fleet.plant_fault(planted);
    fleet.call(4, 1, "a");
    fleet.run(fleet::ms(300));
    fleet.call(0, 1, "a");
    fleet.run(Duration::from_secs(3));
    assert_eq!(fleet.executions[&1].len(), runs);
    assert_eq!(fleet.violations().is_empty(), planted.is_none());
}

/// Only four witnesses hold a claim, and all four are replaced one after the other. Their successors
/// must recover the claim.
#[rstest]
#[case(None, 1)]
#[case(Some(PlantedFault::Recovery), 2)]
fn newcomers_recover(#[case] planted: Option<PlantedFault>, #[case] runs: usize) {
    let mut fleet = Fleet::new(6, 7, config(), fleet::RELIABLE);
    fleet.use_current_ticket();
    fleet.filter = |_, to, message| {
        let claim = matches!(message, Message::RequestVote { .. } | Message::Store { .. });
        !(claim && (4..7).contains(&index(to)))
    };
    fleet.plant_fault(planted);
    fleet.call(0, 1, "a");
    fleet.run(Duration::from_millis(3));
    assert_eq!(fleet.executions[&1].len(), 1);
    for node in 0..4 {
        fleet.kill(node);
        fleet.delist(node);
        fleet.start_vm();
        fleet.run(Duration::from_secs(2));
        assert_eq!(fleet.voting_nodes(), 7);
    }
    let retry = fleet.call(4, 1, "a");
    fleet.run(Duration::from_secs(2));
    assert_eq!(fleet.executions[&1].len(), runs);
    let unknown = matches!(
        fleet.reply(retry),
        Some(Reply::Refused(Outcome::Unknown, _))
    );
    assert_eq!(unknown, planted.is_none());
}

/// The executor is paused between its quorum and the first byte, and resumes after the permit
/// timeout.
#[rstest]
#[case(None)]
#[case(Some(PlantedFault::Permit))]
fn late_write_refused(#[case] planted: Option<PlantedFault>) {
    let violated = |seed| {
        let mut fleet = Fleet::new(seed, 7, config(), fleet::RELIABLE);
        fleet.use_current_ticket();
        fleet.plant_fault(planted);
        fleet.call(0, 1, "a");
        fleet.run(Duration::from_micros(1_300));
        fleet.pause(0, Duration::from_secs(1));
        fleet.run(Duration::from_millis(1_001));
        fleet.call(3, 1, "a");
        fleet.run(Duration::from_secs(3));
        !fleet.violations().is_empty()
    };
    let found = (0..20).filter(|seed| violated(*seed)).count();
    assert_eq!(
        found > 0,
        planted.is_some(),
        "{found} of 20 seeds violate a guarantee"
    );
}

#[test]
fn every_request_ends() {
    for seed in 100..106 {
        let fleet = run_schedule(seed, None);
        let up = fleet.running();
        for (number, call) in fleet.calls.iter().enumerate() {
            let alive = up
                .iter()
                .any(|i| fleet.participant(*i).incarnation() == &call.node);
            assert!(
                !alive || call.reply.is_some(),
                "seed {seed}: call {number} was not answered"
            );
        }
    }
}

#[test]
fn not_run_said() {
    let found = (0..20).any(|seed| {
        let calls = run_schedule(seed, None).calls;
        let not_run = |reply: &Reply| matches!(reply, Reply::Refused(Outcome::NotRun, _));
        calls
            .iter()
            .any(|c| c.reply.as_ref().is_some_and(|(_, reply)| not_run(reply)))
    });
    assert!(found, "no call was refused as not-run");
}
