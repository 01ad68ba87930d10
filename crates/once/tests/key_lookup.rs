//! The state of a key that nodes report to operators. A lookup changes nothing.

mod fleet;

use fleet::{Fleet, RELIABLE, config, ms};
use once::CallState;
use once::ledger::Ending;

fn call_states(fleet: &mut Fleet, number: usize) -> Vec<CallState> {
    let key = fleet.key(number);
    let up = fleet.running();
    let lookup = |index: &usize| fleet.participant(*index).lookup(fleet.now, &key).state;
    up.iter().map(lookup).collect()
}

fn count(states: &[CallState], state: CallState) -> usize {
    states.iter().filter(|known| **known == state).count()
}

#[test]
fn state_follows_the_call() {
    let mut fleet = Fleet::new(5, 7, config(), RELIABLE);
    assert_eq!(call_states(&mut fleet, 1), [CallState::Nothing; 7]);
    fleet.service_time = (300_000, 300_000);
    fleet.call(0, 1, "a");
    assert_eq!(call_states(&mut fleet, 1)[0], CallState::Claiming);
    fleet.run(ms(20));
    let running = call_states(&mut fleet, 1);
    assert_eq!(running[0], CallState::Running);
    assert!(count(&running, CallState::Claimed) >= 3, "{running:?}");
    fleet.run(ms(600));
    let ended = call_states(&mut fleet, 1);
    let answered = |state: &&CallState| {
        matches!(
            state,
            CallState::Ended {
                ending: Ending::Answered,
                ..
            }
        )
    };
    assert!(ended.iter().filter(answered).count() >= 4, "{ended:?}");
    assert_eq!(call_states(&mut fleet, 2), [CallState::Nothing; 7]);
    // The witnesses keep the result without the executor, and drop it after the retention time.
    fleet.kill(0);
    fleet.run(ms(100));
    assert!(call_states(&mut fleet, 1).iter().filter(answered).count() >= 4);
    fleet.run(config().retention() * 2);
    assert_eq!(call_states(&mut fleet, 1), [CallState::Nothing; 6]);
}

#[test]
fn abandoned_call_is_void_at_a_quorum() {
    let mut fleet = Fleet::new(6, 7, config(), RELIABLE);
    fleet.unreachable = 1.0;
    fleet.call(2, 1, "a");
    fleet.run(ms(500));
    let known = call_states(&mut fleet, 1);
    let participant = fleet.participant(2);
    assert!(
        count(&known, CallState::Void) >= participant.witness_set().quorum(),
        "{known:?}"
    );
    let key = fleet.key(1);
    let lookup = fleet.participant(2).lookup(fleet.now, &key);
    assert!(lookup.voting);
    assert_eq!(lookup.quorum, 4);
    assert!(fleet.executions.is_empty());
}

#[test]
fn claim_of_a_killed_process_stays_open() {
    let mut fleet = Fleet::new(7, 7, config(), RELIABLE);
    fleet.service_time = (300_000, 300_000);
    fleet.call(0, 1, "a");
    fleet.run(ms(20));
    fleet.kill(0);
    fleet.run(ms(600));
    let known = call_states(&mut fleet, 1);
    assert!(count(&known, CallState::Claimed) >= 3, "{known:?}");
    assert_eq!(count(&known, CallState::Void), 0, "{known:?}");
}
