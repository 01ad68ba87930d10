//! Fuzz tests: arbitrary bytes, and arbitrary messages from arbitrary processes.

use std::collections::BTreeSet;
use std::time::Duration;

use once::ledger::{Ending, EntrySnapshot, Page};
use once::message::{ClaimStatus, Verdict};
use once::{
    Action, CallRecord, Claim, Config, Digest, Event, Key, Member, Message, Participant, WitnessSet,
};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use wire::view::{Peer, State};
use wire::{Incarnation, Machine, View, frame};

fn runner(cases: u32, seed: u64) -> TestRunner {
    TestRunner::new(proptest::test_runner::Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Default::default()
    })
}

fn incarnation() -> impl Strategy<Value = Incarnation> {
    (0..4_u8, 0..2_u64).prop_map(|(vm, start)| Incarnation::new(format!("vm-{vm}"), start))
}

fn member() -> impl Strategy<Value = Member> {
    (incarnation(), 0..2_u32).prop_map(|(incarnation, term)| Member { incarnation, term })
}

fn claim() -> impl Strategy<Value = Claim> {
    (incarnation(), 0..4_u64).prop_map(|(executor, number)| Claim { executor, number })
}

fn key() -> impl Strategy<Value = Key> {
    (0..3_u8).prop_map(|n| Key::new("c", "s", &n.to_string()))
}

fn body() -> impl Strategy<Value = Digest> {
    (0..2_u8).prop_map(|n| Digest::new([[n]]))
}

fn record() -> impl Strategy<Value = CallRecord> {
    vec(any::<u8>(), 0..4).prop_map(|body| CallRecord {
        ending: Ending::Answered,
        status: 200,
        content_type: String::new(),
        body: Some(body),
    })
}

fn set() -> impl Strategy<Value = WitnessSet> {
    (vec(member(), 0..5), vec(member(), 0..3), any::<bool>()).prop_map(|(add, remove, found)| {
        let mut set = WitnessSet::new(3);
        add.into_iter().for_each(|m| set.add(m));
        remove.iter().for_each(|m| set.remove(m));
        if found { set.found_lineage() } else { set }
    })
}

fn span() -> impl Strategy<Value = Duration> {
    prop_oneof![
        Just(Duration::ZERO),
        Just(Duration::MAX),
        (0..9_u64).prop_map(Duration::from_secs)
    ]
}

fn verdict() -> impl Strategy<Value = Verdict> {
    prop_oneof![
        proptest::option::of(span()).prop_map(|void_age| Verdict::Granted { void_age }),
        (vec(claim(), 0..3), body()).prop_map(|(claims, body)| Verdict::Held { claims, body }),
        (record(), body()).prop_map(|(record, body)| Verdict::Ended { record, body }),
        span().prop_map(|remaining| Verdict::Quarantined { remaining }),
        Just(Verdict::Fenced),
        Just(Verdict::OtherLineage),
        Just(Verdict::NotRecovered),
    ]
}

fn page() -> impl Strategy<Value = Page> {
    let entry = (
        key(),
        body(),
        vec(claim(), 0..2),
        proptest::option::of(span()),
        span(),
    );
    let entry = entry.prop_map(|(key, body, claims, void_age, expires_in)| EntrySnapshot {
        key,
        body,
        claims,
        void_age,
        record: None,
        expires_in,
    });
    (vec(entry, 0..3), any::<bool>()).prop_map(|(entries, last)| Page { entries, last })
}

/// Messages whose set ID is usually the receiver's own, so that many of them are accepted.
fn message(id: u64) -> impl Strategy<Value = Message> {
    let number = prop_oneof![3 => Just(id), 1 => Just(0)];
    let status = prop_oneof![
        Just(ClaimStatus::Open),
        Just(ClaimStatus::Abandoned),
        Just(ClaimStatus::Unknown),
        record().prop_map(ClaimStatus::Ended)
    ];
    let (a, b, c, d) = (
        number.clone(),
        number.clone(),
        number.clone(),
        number.clone(),
    );
    prop_oneof![
        (number.clone(), 0..3_u64, member(), any::<bool>()).prop_map(
            |(set_id, lineage, member, voting)| Message::Hello {
                set_id,
                lineage,
                member,
                voting
            }
        ),
        set().prop_map(|set| Message::Sync { set }),
        (a, claim(), key(), body(), vec(claim(), 0..2)).prop_map(
            |(set_id, claim, key, body, abandoned)| Message::RequestVote {
                set_id,
                claim,
                key,
                body,
                abandoned
            }
        ),
        (b, member(), claim(), key(), verdict()).prop_map(
            |(set_id, voter, claim, key, verdict)| {
                Message::Vote {
                    set_id,
                    voter,
                    claim,
                    key,
                    verdict,
                }
            }
        ),
        (c, claim(), key(), body()).prop_map(|(set_id, claim, key, body)| Message::RecordVoid {
            set_id,
            round: 1,
            claim,
            key,
            body
        }),
        (d, member(), claim(), key()).prop_map(|(set_id, voter, claim, key)| Message::Voided {
            set_id,
            round: 1,
            voter,
            claim,
            key
        }),
        (claim(), key()).prop_map(|(claim, key)| Message::Release { claim, key }),
        (claim(), key(), body(), record()).prop_map(|(claim, key, body, record)| Message::Store {
            claim,
            key,
            body,
            record
        }),
        (claim(), key()).prop_map(|(claim, key)| Message::Stored { claim, key }),
        (claim(), key(), claim()).prop_map(|(claim, key, blocked)| Message::QueryClaim {
            claim,
            key,
            blocked
        }),
        (claim(), key(), status).prop_map(|(claim, key, status)| Message::ReportClaim {
            claim,
            key,
            status
        }),
        (number.clone(), proptest::option::of(key()))
            .prop_map(|(set_id, after)| Message::FetchEntries { set_id, after }),
        (
            number,
            member(),
            proptest::option::of(key()),
            span(),
            page()
        )
            .prop_map(
                |(set_id, voter, after, quarantine, page)| Message::Entries {
                    set_id,
                    voter,
                    after,
                    quarantine,
                    page
                }
            ),
    ]
}

#[test]
fn bytes_never_panic() {
    let decode = |bytes: Vec<u8>| {
        if let Ok(message) = frame::decode::<Message>(&bytes) {
            let mut participant = Participant::new(Config::default(), Incarnation::new("vm-0", 1));
            let from = Incarnation::new("vm-1", 1);
            participant.step(
                Duration::ZERO,
                Event::Receive { from, message },
                &mut Vec::new(),
            );
        }
        Ok(())
    };
    runner(20_000, 1)
        .run(&vec(any::<u8>(), 0..64), decode)
        .expect("no panic");
    let cut = |(message, at, bit): (Message, usize, u8)| {
        let mut bytes = frame::encode(&message).expect("encodes");
        prop_assert_eq!(frame::decode::<Message>(&bytes).expect("decodes"), message);
        let at = at % bytes.len();
        bytes[at] ^= 1 << bit;
        decode(bytes.clone())?;
        bytes.truncate(at);
        decode(bytes)
    };
    let cases = (message(7), any::<usize>(), 0..8_u8);
    runner(5_000, 2).run(&cases, cut).expect("no panic");
}

/// Returns a vote for the claim of the participant's latest request, with the verdict of `message` if
/// it has one.
fn vote(participant: &Participant, from: &Incarnation, request: u64, message: Message) -> Message {
    let verdict = match message {
        Message::Vote { verdict, .. } => verdict,
        _ => Verdict::Granted { void_age: None },
    };
    let claim = Claim {
        executor: participant.incarnation().clone(),
        number: request,
    };
    let voter = Member {
        incarnation: from.clone(),
        term: 0,
    };
    Message::Vote {
        set_id: participant.witness_set().id(),
        voter,
        claim,
        key: Key::new("c", "s", &(request % 3).to_string()),
        verdict,
    }
}

/// One member of a lineage receives arbitrary messages from other processes. Each request must be
/// executed, permitted and answered at most once.
#[test]
fn strangers_cause_no_second_run() {
    let config = Config {
        witness_count: 3,
        quarantine: Duration::ZERO,
        ..Config::default()
    };
    let me = Incarnation::new("vm-0", 1);
    let mut set = WitnessSet::new(3);
    for vm in 0..3 {
        let incarnation = Incarnation::new(format!("vm-{vm}"), 1);
        set.add(Member {
            incarnation,
            term: 0,
        });
    }
    let set = set.found_lineage();
    let peer = |vm: u8| Peer {
        incarnation: Incarnation::new(format!("vm-{vm}"), 1),
        zone: "a".into(),
        state: State::Live,
    };
    let view = View::new((0..3).map(peer));
    let steps = vec(
        (0..12_u8, incarnation(), message(set.id()), 0..400_u64),
        1..60,
    );
    let permitted = std::cell::Cell::new(0);
    let check = |steps: Vec<(u8, Incarnation, Message, u64)>| {
        let mut participant = Participant::new(config.clone(), me.clone());
        let mut now = Duration::ZERO;
        let mut out = Vec::new();
        let from = Incarnation::new("vm-1", 1);
        participant.step(now, Event::View(view.clone()), &mut out);
        participant.step(now, Event::ListRead, &mut out);
        let message = Message::Sync { set: set.clone() };
        participant.step(now, Event::Receive { from, message }, &mut out);
        let (mut request, mut permits) = (0, BTreeSet::new());
        let (mut executed, mut answered) = (BTreeSet::new(), BTreeSet::new());
        for (kind, from, message, pause) in steps {
            now += Duration::from_millis(pause);
            let event = match kind {
                0 | 1 => {
                    request += 1;
                    Event::Begin {
                        request,
                        key: Key::new("c", "s", &(request % 3).to_string()),
                        body: Digest::new([[0]]),
                        deadline: now + Duration::from_secs(9),
                    }
                }
                2 => Event::Tick,
                3 => Event::Abandon { request },
                4..8 => {
                    // A vote that may count: from a member, in the current set.
                    let from = Incarnation::new(format!("vm-{}", 1 + kind % 2), 1);
                    let message = vote(&participant, &from, request, message);
                    Event::Receive { from, message }
                }
                _ => Event::Receive { from, message },
            };
            participant.step(now, event, &mut out);
            for action in out.drain(..) {
                match action {
                    Action::Execute { request } => prop_assert!(executed.insert(request)),
                    Action::Answer { request, .. } | Action::Refuse { request, .. } => {
                        prop_assert!(answered.insert(request), "answered twice");
                    }
                    _ => {}
                }
            }
            for request in &executed {
                if participant.permit(now, *request) {
                    prop_assert!(permits.insert(*request));
                    permitted.set(permitted.get() + 1);
                    prop_assert!(!participant.permit(now, *request));
                }
            }
        }
        Ok(())
    };
    runner(3_000, 3).run(&steps, check).expect("no second run");
    assert!(permitted.get() > 100, "only {} permits", permitted.get());
}
