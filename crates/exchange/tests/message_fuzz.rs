//! Messages with any content, as a peer of another release or with a fault could send them.

mod support;

use exchange::fleet::Holding;
use exchange::owner::{Event, Message, REPLICA_RANK, RelativePresence};
use proptest::prelude::*;
use support::{OwnerHarness, engine, ms, target};
use wire::{Upstream, Vm};

/// Numbers at both ends of their range, and some between.
fn number() -> impl Strategy<Value = u64> {
    prop_oneof![
        Just(0),
        Just(u64::MAX),
        Just(1 << 63),
        any::<u64>(),
        1_u64..100
    ]
}

fn small() -> impl Strategy<Value = u32> {
    prop_oneof![Just(0), Just(u32::MAX), any::<u32>()]
}

fn upstream() -> impl Strategy<Value = Upstream> {
    prop_oneof![Just("e1"), Just("e2"), Just("")].prop_map(Upstream::from)
}

fn presence() -> impl Strategy<Value = RelativePresence> {
    let version = || prop::option::of(number());
    prop_oneof![
        version().prop_map(RelativePresence::Held),
        (small(), version()).prop_map(|(left, version)| RelativePresence::Coming(left, version)),
        Just(RelativePresence::Absent),
    ]
}

fn adapter() -> impl Strategy<Value = exchange::demand::Target> {
    prop_oneof![Just("a"), Just("b"), Just("")].prop_map(target)
}

fn claims() -> impl Strategy<Value = Vec<(Upstream, u64)>> {
    prop::collection::vec((upstream(), number()), 0..4)
}

fn message() -> impl Strategy<Value = Message> {
    let rank = || prop_oneof![Just(0), Just(1), Just(REPLICA_RANK)];
    prop_oneof![
        claims().prop_map(Message::Claims),
        claims().prop_map(Message::Release),
        claims().prop_map(Message::HigherFences),
        Just(Message::NotClaiming),
        (upstream(), adapter(), rank()).prop_map(|(engine, target, rank)| Message::RequestLoad {
            engine,
            target,
            rank
        }),
        (upstream(), adapter())
            .prop_map(|(engine, target)| Message::CancelLoadRequest { engine, target }),
        (upstream(), adapter())
            .prop_map(|(engine, target)| Message::RequestEnded { engine, target }),
        (upstream(), adapter(), small()).prop_map(|(engine, target, left)| Message::InUse {
            engine,
            targets: vec![(target.clone(), left), (target, 0)],
        }),
        (upstream(), adapter(), presence(), small()).prop_map(
            |(engine, target, presence, backlog)| Message::Residency {
                engine,
                target,
                presence,
                backlog
            }
        ),
        (number(), upstream(), adapter(), small(), small(), rank()).prop_map(
            |(ticket, engine, target, prefill, decode, rank)| Message::RequestAdmission {
                ticket,
                engine,
                target,
                prefill,
                decode,
                rank
            }
        ),
        (number(), presence(), small(), small(), small(), small()).prop_map(
            |(ticket, presence, wait, prefill_backlog, backlog, running)| Message::Grant {
                ticket,
                presence,
                wait,
                prefill_backlog,
                backlog,
                running
            }
        ),
        (adapter(), upstream(), prop::option::of(number())).prop_map(|(target, id, version)| {
            Message::Replicas {
                target,
                engines: vec![(id.clone(), version), (id, None)],
            }
        }),
        upstream().prop_map(|engine| Message::Holdings {
            engine,
            holdings: vec![Holding {
                base: "".into(),
                adapters: vec![("a".into(), Some(u64::MAX)), ("a".into(), None)],
            }],
        }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// No message stops a node.
    #[test]
    fn any_message_is_survived(messages in prop::collection::vec((message(), 0_u64..800), 1..30)) {
        let mut node = OwnerHarness::alone("vm-1", 1, [engine("e1", &["a"]), engine("e2", &[])]);
        let live: Vec<Vm> = vec!["vm-1".into(), "vm-2".into()];
        node.step(Event::View { live, may_claim: true });
        node.claim_all();
        for (message, pause) in messages {
            let event = Event::Receive { from: "vm-2".into(), message };
            let actions = node.step(event);
            node.answer_orders(actions, |_| exchange::owner::Answer::Done);
            node.now += ms(pause);
            let wall_seconds = node.wall + node.now.as_secs();
            let actions = node.step(Event::Tick { wall_seconds });
            node.answer_orders(actions, |_| exchange::owner::Answer::Done);
        }
    }
}
