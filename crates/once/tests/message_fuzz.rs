//! Arbitrary bytes and arbitrary messages from arbitrary processes.

use std::collections::BTreeSet;
use std::time::Duration;

use once::ledger::{Copy, Ending, Page};
use once::message::{Told, Verdict};
use once::{
    Action, CallRecord, Claim, Config, Digest, Event, Key, Member, Message, Participant, Set,
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
    (incarnation(), 0..2_u32).prop_map(|(incarnation, round)| Member { incarnation, round })
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

fn set() -> impl Strategy<Value = Set> {
    (vec(member(), 0..5), vec(member(), 0..3), any::<bool>()).prop_map(|(add, bury, found)| {
        let mut set = Set::new(3);
        add.into_iter().for_each(|m| set.add(m));
        bury.iter().for_each(|m| set.bury(m));
        if found { set.found() } else { set }
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
        proptest::option::of(span()).prop_map(|void| Verdict::Granted { void }),
        (vec(claim(), 0..3), body()).prop_map(|(claims, body)| Verdict::Held { claims, body }),
        (record(), body()).prop_map(|(record, body)| Verdict::Ended { record, body }),
        span().prop_map(|left| Verdict::Quarantined { left }),
        Just(Verdict::Fenced),
        Just(Verdict::Foreign),
        Just(Verdict::Fresh),
    ]
}

fn page() -> impl Strategy<Value = Page> {
    let copy = (
        key(),
        body(),
        vec(claim(), 0..2),
        proptest::option::of(span()),
        span(),
    );
    let copy = copy.prop_map(|(key, body, claims, void, left)| Copy {
        key,
        body,
        claims,
        void,
        record: None,
        left,
    });
    (vec(copy, 0..3), any::<bool>()).prop_map(|(copies, last)| Page { copies, last })
}

/// Messages whose set number is the receiver's own, or no set's, so that many of them count.
fn message(id: u64) -> impl Strategy<Value = Message> {
    let number = prop_oneof![3 => Just(id), 1 => Just(0)];
    let told = prop_oneof![
        Just(Told::Open),
        Just(Told::Abandoned),
        Just(Told::Unknown),
        record().prop_map(Told::Ended)
    ];
    let (a, b, c, d) = (
        number.clone(),
        number.clone(),
        number.clone(),
        number.clone(),
    );
    prop_oneof![
        (number.clone(), 0..3_u64, member(), any::<bool>()).prop_map(
            |(set, lineage, member, holder)| Message::Hello {
                set,
                lineage,
                member,
                holder
            }
        ),
        set().prop_map(|set| Message::Sync { set }),
        (a, claim(), key(), body(), vec(claim(), 0..2)).prop_map(
            |(set, claim, key, body, over)| Message::Ask {
                set,
                claim,
                key,
                body,
                over
            }
        ),
        (b, member(), claim(), key(), verdict()).prop_map(|(set, voter, claim, key, verdict)| {
            Message::Vote {
                set,
                voter,
                claim,
                key,
                verdict,
            }
        }),
        (c, claim(), key(), body()).prop_map(|(set, claim, key, body)| Message::Void {
            set,
            round: 1,
            claim,
            key,
            body
        }),
        (d, member(), claim(), key()).prop_map(|(set, voter, claim, key)| Message::Voided {
            set,
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
        (claim(), key(), claim()).prop_map(|(claim, key, by)| Message::Inquire { claim, key, by }),
        (claim(), key(), told).prop_map(|(claim, key, told)| Message::Tell { claim, key, told }),
        (number.clone(), proptest::option::of(key()))
            .prop_map(|(set, after)| Message::Recover { set, after }),
        (
            number,
            member(),
            proptest::option::of(key()),
            span(),
            page()
        )
            .prop_map(|(set, voter, after, quarantine, page)| Message::Page {
                set,
                voter,
                after,
                quarantine,
                page
            }),
    ]
}

#[test]
fn bytes_never_panic() {
    let decode = |bytes: Vec<u8>| {
        if let Ok(message) = frame::decode::<Message>(&bytes) {
            let mut guard = Participant::new(Config::default(), Incarnation::new("vm-0", 1));
            let from = Incarnation::new("vm-1", 1);
            guard.step(
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

/// Makes a vote for a claim of the guard's latest request, with the drawn verdict if there is one.
fn vote(guard: &Participant, from: &Incarnation, request: u64, message: Message) -> Message {
    let verdict = match message {
        Message::Vote { verdict, .. } => verdict,
        _ => Verdict::Granted { void: None },
    };
    let claim = Claim {
        executor: guard.incarnation().clone(),
        number: request,
    };
    let voter = Member {
        incarnation: from.clone(),
        round: 0,
    };
    Message::Vote {
        set: guard.witness_set().id(),
        voter,
        claim,
        key: Key::new("c", "s", &(request % 3).to_string()),
        verdict,
    }
}

/// One founder among processes that say anything: each request is executed, and answered, once at
/// most, and only one permit is given per key.
#[test]
fn strangers_cause_no_second_run() {
    let config = Config {
        witness_count: 3,
        quarantine: Duration::ZERO,
        ..Config::default()
    };
    let me = Incarnation::new("vm-0", 1);
    let mut set = Set::new(3);
    for vm in 0..3 {
        let incarnation = Incarnation::new(format!("vm-{vm}"), 1);
        set.add(Member {
            incarnation,
            round: 0,
        });
    }
    let set = set.found();
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
        let mut guard = Participant::new(config.clone(), me.clone());
        let mut now = Duration::ZERO;
        let mut out = Vec::new();
        let from = Incarnation::new("vm-1", 1);
        guard.step(now, Event::View(view.clone()), &mut out);
        guard.step(now, Event::ListRead, &mut out);
        let message = Message::Sync { set: set.clone() };
        guard.step(now, Event::Receive { from, message }, &mut out);
        let (mut request, mut permits) = (0, BTreeSet::new());
        let (mut executed, mut told) = (BTreeSet::new(), BTreeSet::new());
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
                    // A vote that may count: by a member, at the present set.
                    let from = Incarnation::new(format!("vm-{}", 1 + kind % 2), 1);
                    let message = vote(&guard, &from, request, message);
                    Event::Receive { from, message }
                }
                _ => Event::Receive { from, message },
            };
            guard.step(now, event, &mut out);
            for action in out.drain(..) {
                match action {
                    Action::Execute { request } => prop_assert!(executed.insert(request)),
                    Action::Answer { request, .. } | Action::Refuse { request, .. } => {
                        prop_assert!(told.insert(request), "told twice");
                    }
                    _ => {}
                }
            }
            for request in &executed {
                if guard.permit(now, *request) {
                    prop_assert!(permits.insert(*request));
                    permitted.set(permitted.get() + 1);
                    prop_assert!(!guard.permit(now, *request));
                }
            }
        }
        Ok(())
    };
    runner(3_000, 3).run(&steps, check).expect("holds");
    assert!(permitted.get() > 100, "only {} runs", permitted.get());
}
