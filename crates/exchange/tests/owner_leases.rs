//! Leases that witnesses grant to owners of engines.

mod support;

use exchange::owner::{Action, Event, LeaseClaim, Message, Refusal};
use rstest::rstest;
use support::{OwnerHarness, engine, ms, target};
use wire::{Fence, Upstream, Vm};

const OWNER: &str = "vm-1";
const WITNESS: &str = "vm-2";

fn nodes() -> Vec<Vm> {
    vec![OWNER.into(), WITNESS.into(), "vm-3".into()]
}

/// A node that sees no other live one, so that it is the one to claim the engine.
fn node(vm: &str, bits: u64) -> OwnerHarness {
    let mut node = OwnerHarness::alone(vm, bits, [engine("e1", &["a"])]);
    node.step(Event::KnownNodes(nodes()));
    node
}

/// A witness that has run for long enough to grant leases.
fn witness() -> OwnerHarness {
    let mut witness = node(WITNESS, 2);
    witness.peers_grant = false;
    witness.step(Event::View {
        live: nodes(),
        may_claim: false,
    });
    witness.advance(ms(3_000));
    witness
}

fn ask(witness: &mut OwnerHarness, from: &str, round: u64, fence: Fence) -> Option<Refusal> {
    request(witness, from, round, fence, electors())
}

fn ask_of(witness: &mut OwnerHarness, from: &str, round: u64, electors: u64) -> Option<Refusal> {
    request(witness, from, round, 0, electors)
}

fn request(
    witness: &mut OwnerHarness,
    from: &str,
    round: u64,
    fence: Fence,
    electors: u64,
) -> Option<Refusal> {
    let claims = vec![LeaseClaim {
        engine: "e1".into(),
        fence,
        electors: Some(electors),
    }];
    send(witness, from, Message::RequestLeases { round, claims })
}

fn send(witness: &mut OwnerHarness, from: &str, message: Message) -> Option<Refusal> {
    let from: Vm = from.into();
    let sent = witness.step(Event::Receive {
        from: from.clone(),
        message,
    });
    sent.into_iter().find_map(|action| match action {
        Action::Send {
            to,
            message: Message::Leases { refused, .. },
        } if to == from => refused.into_iter().next(),
        _ => None,
    })
}

/// The digest that a node sends which knows the same nodes.
fn electors() -> u64 {
    electors_of(&[OWNER, WITNESS, "vm-3"])
}

/// The digest that a node sends which knows `vms`.
fn electors_of(vms: &[&str]) -> u64 {
    let mut candidate = OwnerHarness::alone(OWNER, 1, [engine("e1", &["a"])]);
    candidate.peers_grant = false;
    let known = vms.iter().map(|vm| Vm::from(*vm)).collect();
    candidate.step(Event::KnownNodes(known));
    let asked = asked_electors(&candidate.advance(ms(4_000)));
    asked.expect("the node asks for leases")
}

fn asked_electors(sent: &[Action]) -> Option<u64> {
    sent.iter().find_map(|action| match action {
        Action::Send {
            message: Message::RequestLeases { claims, .. },
            ..
        } => claims.iter().find_map(|claim| claim.electors),
        _ => None,
    })
}

fn give_back(witness: &mut OwnerHarness, from: &str, round: u64) {
    let engines: Vec<Upstream> = vec!["e1".into()];
    send(witness, from, Message::ReturnLeases { round, engines });
}

#[rstest]
fn lease_is_granted_to_one_node_at_a_time() {
    let mut witness = witness();
    assert_eq!(ask(&mut witness, OWNER, 1, 77), None);
    let refusal = ask(&mut witness, "vm-3", 1, 0).expect("the lease is held");
    assert_eq!(refusal.holder.as_deref(), Some(OWNER));
    assert_eq!(refusal.fence, 77);
    assert!(refusal.wait > 0);
    witness.advance(ms(2_000));
    assert_eq!(ask(&mut witness, "vm-3", 2, 0), None);
}

#[rstest]
fn returned_lease_is_granted_at_once() {
    let mut witness = witness();
    assert_eq!(ask(&mut witness, OWNER, 1, 77), None);
    give_back(&mut witness, OWNER, 1);
    assert_eq!(ask(&mut witness, "vm-3", 1, 0), None);
}

/// Guards against a lease that two nodes count as theirs: the message that gives an earlier lease
/// back arrives after the next request of the same node.
#[rstest]
fn late_return_does_not_end_a_later_lease() {
    let mut witness = witness();
    assert_eq!(ask(&mut witness, OWNER, 1, 77), None);
    assert_eq!(ask(&mut witness, OWNER, 2, 77), None);
    give_back(&mut witness, OWNER, 1);
    assert!(ask(&mut witness, "vm-3", 1, 0).is_some());
}

/// Guards against two owners by turns (ONE): a former holder follows the node that followed it.
#[rstest]
fn former_holder_does_not_follow_its_successor() {
    let mut witness = witness();
    assert_eq!(ask(&mut witness, OWNER, 1, 77), None);
    give_back(&mut witness, OWNER, 1);
    assert_eq!(ask(&mut witness, "vm-3", 1, 0), None);
    give_back(&mut witness, "vm-3", 1);
    witness.advance(ms(2_500));
    assert!(ask(&mut witness, OWNER, 2, 0).is_some());
    witness.advance(ms(600));
    assert_eq!(ask(&mut witness, OWNER, 3, 0), None);
}

/// Guards against a lease granted twice: a process that has just started does not know what the one
/// before it on the same VM has granted.
#[rstest]
fn new_witness_grants_nothing_but_renewals() {
    let mut witness = node(WITNESS, 2);
    witness.peers_grant = false;
    witness.advance(ms(1_000));
    assert!(ask(&mut witness, OWNER, 1, 77).is_some());
    let renewal = vec![LeaseClaim {
        engine: "e1".into(),
        fence: 77,
        electors: None,
    }];
    let message = Message::RequestLeases {
        round: 2,
        claims: renewal,
    };
    assert_eq!(send(&mut witness, OWNER, message), None);
}

/// Guards against two owners: nodes that know of different witnesses get different majorities.
#[rstest]
fn witness_that_knows_of_others_grants_nothing() {
    let mut witness = witness();
    witness.step(Event::KnownNodes(nodes()[..2].to_vec()));
    // What discovery has forgotten counts for 15 s more.
    witness.advance(ms(15_100));
    assert!(ask(&mut witness, OWNER, 1, 0).is_some());
}

/// Guards against two owners by turns (ONE): a witness that is still finding the others agrees with two
/// candidates one after the other.
#[rstest]
fn witness_that_finds_others_grants_nothing() {
    let mut witness = witness();
    let more = nodes().into_iter().chain(["vm-4".into()]).collect();
    witness.step(Event::KnownNodes(more));
    let electors = electors_of(&["vm-1", "vm-2", "vm-3", "vm-4"]);
    witness.advance(ms(1_900));
    assert!(ask_of(&mut witness, OWNER, 1, electors).is_some());
    witness.advance(ms(200));
    assert_eq!(ask_of(&mut witness, OWNER, 2, electors), None);
}

/// Guards against two owners by turns (ONE): nodes that have not found each other go on with sets of
/// witnesses that differ.
#[rstest]
fn witness_tells_candidates_whom_it_knows() {
    let mut witness = witness();
    let electors = electors_of(&["vm-1", "vm-2"]);
    let claims = vec![LeaseClaim {
        engine: "e1".into(),
        fence: 0,
        electors: Some(electors),
    }];
    let sent = witness.step(Event::Receive {
        from: OWNER.into(),
        message: Message::RequestLeases { round: 1, claims },
    });
    let mut candidate = node(OWNER, 1);
    candidate.peers_grant = false;
    candidate.step(Event::KnownNodes(vec![OWNER.into(), WITNESS.into()]));
    candidate.advance(ms(16_000));
    for action in sent {
        if let Action::Send { message, .. } = action {
            let from = WITNESS.into();
            candidate.step(Event::Receive { from, message });
        }
    }
    let asked = asked_electors(&candidate.advance_reporting(ms(7_000), |_| None));
    assert_eq!(asked, Some(electors_of(&["vm-1", "vm-2", "vm-3"])));
}

/// Guards against two owners by turns (ONE): nodes that do not know yet of a node that has joined have a
/// majority of the witnesses before it.
#[rstest]
#[case::majority(3, 0)]
#[case::all_but_one(4, 1)]
fn new_witnesses_need_all_but_one(#[case] grants: usize, #[case] owned: usize) {
    let names = ["vm-1", "vm-2", "vm-3", "vm-4", "vm-5"];
    let mut candidate = node(OWNER, 1);
    candidate.peers_grant = false;
    candidate.step(Event::KnownNodes(names.map(Vm::from).to_vec()));
    // The candidate is a witness itself.
    let granting = &names[1..grants];
    let started = candidate.now;
    while candidate.now < started + ms(4_500) {
        let sent = candidate.advance(ms(100));
        grant_from(&mut candidate, granting, sent);
    }
    assert_eq!(candidate.owner.owned().count(), owned);
    while candidate.now < started + ms(7_000) {
        let sent = candidate.advance(ms(100));
        grant_from(&mut candidate, granting, sent);
    }
    assert_eq!(candidate.owner.owned().count(), 1, "a majority in the end");
}

/// Answers the requests for leases to `granting` nodes.
fn grant_from(candidate: &mut OwnerHarness, granting: &[&str], sent: Vec<Action>) {
    for action in sent {
        if let Action::Send {
            to,
            message: Message::RequestLeases { round, .. },
        } = action
            && granting.contains(&&*to)
        {
            let message = Message::Leases {
                round,
                higher: Vec::new(),
                refused: Vec::new(),
            };
            candidate.step(Event::Receive { from: to, message });
        }
    }
}

/// Guards against an engine without an owner for a lease after a start: a candidate that did not get all
/// the leases that it needed may not ask again.
#[rstest]
fn unused_lease_may_be_asked_for_again() {
    let mut witness = witness();
    assert_eq!(ask(&mut witness, OWNER, 1, 0), None);
    give_back(&mut witness, OWNER, 1);
    assert_eq!(ask(&mut witness, "vm-3", 1, 0), None);
    give_back(&mut witness, "vm-3", 1);
    assert_eq!(ask(&mut witness, OWNER, 2, 0), None);
}

/// Guards against orders after a pause, when the leases may have passed to another node.
#[rstest]
fn owner_orders_only_with_leases() {
    let mut owner = node(OWNER, 1);
    let actions = owner.advance(ms(4_000));
    owner.answer_orders(actions, |_| exchange::owner::Answer::Done);
    let (_, fence) = owner.owner.owned().next().expect("node owns the engine");
    assert!(owner.owner.permits(owner.now, "e1", fence));
    owner.peers_grant = false;
    owner.advance(ms(1_900));
    assert!(!owner.owner.permits(owner.now, "e1", fence));
    let asked = owner.step(Event::RequestLoad {
        engine: "e1".into(),
        target: target("b"),
        rank: 1,
    });
    let is_order = |action: &Action| matches!(action, Action::Order { .. });
    assert!(!asked.iter().any(is_order));
    owner.peers_grant = true;
    let later = owner.advance(ms(500));
    assert!(later.iter().any(is_order), "renewed leases allow orders");
}

/// A node without a direct path to an engine gives it up and says so, and another one claims it.
#[rstest]
fn unreached_engine_passes_to_another_node() {
    let mut owner = OwnerHarness::alone(OWNER, 1, [engine("e1", &["a"])]);
    owner.claim_all();
    let live: Vec<Vm> = vec![OWNER.into(), WITNESS.into()];
    owner.step(Event::KnownNodes(live.clone()));
    owner.step(Event::View {
        live: live.clone(),
        may_claim: true,
    });
    owner.advance(ms(500));
    let reach = |direct| Event::Reach {
        engine: "e1".into(),
        direct,
    };
    owner.step(reach(false));
    let sent = owner.advance(ms(700));
    assert_eq!(owner.owner.owned().count(), 0);
    let to_other = |action: Action| match action {
        Action::Send { to, message } if &*to == WITNESS => Some(message),
        _ => None,
    };
    let told: Vec<Message> = sent.into_iter().filter_map(to_other).collect();
    let declines = Message::Declines(vec!["e1".into()]);
    assert!(told.contains(&declines), "{told:?}");

    let mut other = node(WITNESS, 2);
    other.step(Event::KnownNodes(live.clone()));
    other.step(Event::View {
        live,
        may_claim: true,
    });
    // A witness that has just heard of the others grants nothing yet.
    other.advance(ms(3_000));
    assert_eq!(other.owner.owned().count(), 0);
    for message in told {
        let from = OWNER.into();
        other.step(Event::Receive { from, message });
    }
    other.advance(ms(1_500));
    assert_eq!(other.owner.owned().count(), 1);

    owner.advance(ms(6_000));
    assert_eq!(
        owner.owner.owned().count(),
        0,
        "declined engines are not claimed"
    );
    owner.step(reach(true));
    let sent = owner.advance(ms(100));
    let told: Vec<Message> = sent.into_iter().filter_map(to_other).collect();
    assert!(told.contains(&Message::Declines(Vec::new())), "{told:?}");
}

/// Guards against an engine that nobody owns for a lease although its way is back: the node that gave it up is first
/// in line again, so that the others wait for it (RECOVER after a cut).
#[rstest]
fn engine_is_claimed_once_its_way_is_back() {
    let mut owner = OwnerHarness::alone(OWNER, 1, [engine("e1", &["a"])]);
    owner.claim_all();
    let reach = |direct| Event::Reach {
        engine: "e1".into(),
        direct,
    };
    owner.step(reach(false));
    owner.advance(ms(700));
    assert_eq!(owner.owner.owned().count(), 0);
    owner.step(reach(true));
    owner.advance(ms(800));
    assert_eq!(owner.owner.owned().count(), 1);
}
