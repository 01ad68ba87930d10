//! What nodes tell operators of a key, and that asking changes nothing.

mod fleet;

use fleet::{CALM, Fleet, config, ms};
use once::CallState;
use once::ledger::Ending;

fn fates(fleet: &mut Fleet, key: usize) -> Vec<CallState> {
    let name = fleet.name(key);
    let up = fleet.up();
    let lookup = |index: &usize| fleet.guard(*index).lookup(fleet.now, &name).state;
    up.iter().map(lookup).collect()
}

fn count(fates: &[CallState], fate: CallState) -> usize {
    fates.iter().filter(|known| **known == fate).count()
}

#[test]
fn fate_follows_the_call() {
    let mut fleet = Fleet::new(5, 7, config(), CALM);
    assert_eq!(fates(&mut fleet, 1), [CallState::Nothing; 7]);
    fleet.service = (300_000, 300_000);
    fleet.call(0, 1, "a");
    assert_eq!(fates(&mut fleet, 1)[0], CallState::Claiming);
    fleet.run(ms(20));
    let running = fates(&mut fleet, 1);
    assert_eq!(running[0], CallState::Running);
    assert!(count(&running, CallState::Claimed) >= 3, "{running:?}");
    fleet.run(ms(600));
    let ended = fates(&mut fleet, 1);
    let answered = |fate: &&CallState| {
        matches!(
            fate,
            CallState::Ended {
                ending: Ending::Answered,
                ..
            }
        )
    };
    assert!(ended.iter().filter(answered).count() >= 4, "{ended:?}");
    assert_eq!(fates(&mut fleet, 2), [CallState::Nothing; 7]);
    // The witnesses outlive the executor, and forget after the retry window.
    fleet.kill(0);
    fleet.run(ms(100));
    assert!(fates(&mut fleet, 1).iter().filter(answered).count() >= 4);
    fleet.run(config().keep() * 2);
    assert_eq!(fates(&mut fleet, 1), [CallState::Nothing; 6]);
}

#[test]
fn call_given_up_is_void_at_a_quorum() {
    let mut fleet = Fleet::new(6, 7, config(), CALM);
    fleet.unreachable = 1.0;
    fleet.call(2, 1, "a");
    fleet.run(ms(500));
    let known = fates(&mut fleet, 1);
    let guard = fleet.guard(2);
    assert!(
        count(&known, CallState::Void) >= guard.witness_set().quorum(),
        "{known:?}"
    );
    let name = fleet.name(1);
    let lookup = fleet.guard(2).lookup(fleet.now, &name);
    assert!(lookup.voting);
    assert_eq!(lookup.quorum, 4);
    assert!(fleet.runs.is_empty());
}

#[test]
fn claim_of_a_gone_process_stays_open() {
    let mut fleet = Fleet::new(7, 7, config(), CALM);
    fleet.service = (300_000, 300_000);
    fleet.call(0, 1, "a");
    fleet.run(ms(20));
    fleet.kill(0);
    fleet.run(ms(600));
    let known = fates(&mut fleet, 1);
    assert!(count(&known, CallState::Claimed) >= 3, "{known:?}");
    assert_eq!(count(&known, CallState::Void), 0, "{known:?}");
}
