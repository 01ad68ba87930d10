//! Transfer of a configuration between nodes over links that lose messages.

mod support;

use exchange::config_transfer::{DOCUMENT_BYTES_MAX, Message, PART_BYTES, Step, Transfer};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use support::ms;
use wire::{Time, Vm};

fn vm(number: usize) -> Vm {
    format!("vm-{number}").into()
}

fn document(bytes: usize) -> Vec<u8> {
    // Drawn, so that its packed form is no smaller.
    let mut rng = StdRng::seed_from_u64(bytes as u64);
    (0..bytes).map(|_| rng.random()).collect()
}

fn holder(revision: u64, bytes: usize) -> Transfer {
    let mut transfer = Transfer::default();
    transfer.adopted(revision, document(bytes));
    transfer
}

/// Passes messages between two nodes until neither has more to say, and returns what the second one
/// adopts. Each message is lost with a probability of `loss`.
fn run(from: &mut Transfer, to: &mut Transfer, loss: f64, seed: u64) -> Option<Vec<u8>> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut now: Time = ms(1_000);
    let mut pending: Vec<(bool, Message)> = Vec::new();
    let request = to.announced(now, &vm(0), 7)?;
    pending.push((true, request));
    for _ in 0..2_000 {
        let batch = std::mem::take(&mut pending);
        if batch.is_empty() {
            now += ms(100);
            let (_, request) = to.tick(now)?;
            pending.push((true, request));
        }
        for (to_holder, message) in batch {
            if rng.random_bool(loss) {
                continue;
            }
            let step = if to_holder {
                from.receive(now, &vm(1), message)
            } else {
                to.receive(now, &vm(0), message)
            };
            match step {
                Step::Adopt(document) => return Some(document),
                Step::Reply(messages) => {
                    pending.extend(messages.into_iter().map(|message| (!to_holder, message)));
                }
            }
            while let Some((_, part)) = from.take_part(now) {
                pending.push((false, part));
            }
        }
    }
    None
}

#[rstest]
#[case::one_byte(1)]
#[case::one_part(PART_BYTES)]
#[case::some_kilobytes(5_000)]
#[case::one_burst(PART_BYTES * 32)]
#[case::largest_value(1 << 20)]
fn document_arrives_whole(#[case] bytes: usize) {
    let received = run(&mut holder(7, bytes), &mut Transfer::default(), 0.0, 1);
    assert_eq!(received, Some(document(bytes)));
}

#[rstest]
fn lost_parts_are_requested_again(#[values(1, 2, 3, 4)] seed: u64) {
    let received = run(
        &mut holder(7, 100_000),
        &mut Transfer::default(),
        0.03,
        seed,
    );
    assert_eq!(received, Some(document(100_000)));
}

/// Guards against a transfer from a node that is gone, which would keep others from starting.
#[rstest]
fn silent_peer_is_given_up() {
    let mut transfer = Transfer::default();
    let mut now = ms(1_000);
    assert!(transfer.announced(now, &vm(0), 7).is_some());
    assert_eq!(transfer.announced(now, &vm(1), 7), None);
    while transfer.tick(now + ms(100)).is_some() {
        now += ms(100);
        assert!(now < ms(5_000), "asks for ever");
    }
    assert!(transfer.announced(now, &vm(1), 7).is_some());
}

/// Guards against parts of two documents, or of two peers, that are joined.
#[rstest]
#[case::other_peer(vm(2), 7, 0)]
#[case::other_revision(vm(0), 6, 0)]
#[case::gap(vm(0), 7, 8)]
fn foreign_parts_are_ignored(#[case] from: Vm, #[case] revision: u64, #[case] offset: u32) {
    let mut transfer = Transfer::default();
    transfer.announced(ms(1_000), &vm(0), 7);
    let part = Message::PackedPart {
        revision,
        size: 4,
        offset,
        bytes: vec![1; 4],
    };
    let step = transfer.receive(ms(1_000), &from, part);
    assert_eq!(step, Step::Reply(Vec::new()));
}

#[rstest]
fn oversized_document_is_refused() {
    let mut transfer = Transfer::default();
    transfer.announced(ms(1_000), &vm(0), 7);
    let part = Message::PackedPart {
        revision: 7,
        size: DOCUMENT_BYTES_MAX as u32 + 1,
        offset: 0,
        bytes: vec![1; 4],
    };
    assert_eq!(
        transfer.receive(ms(1_000), &vm(0), part),
        Step::Reply(Vec::new())
    );
    assert_eq!(transfer.tick(ms(9_000)), None);
}

/// Guards against a change that stays at the node which has read it: its peers are told when they
/// announce an older one.
#[rstest]
fn older_announcement_is_answered_with_an_offer() {
    let mut transfer = holder(7, 10);
    let offer = Message::Offer { revision: 7 };
    assert_eq!(transfer.announced(ms(1_000), &vm(0), 6), Some(offer));
    assert_eq!(transfer.announced(ms(1_000), &vm(0), 7), None);
}

#[rstest]
fn started_node_learns_of_the_newest() {
    let mut started = holder(3, 10);
    let step = holder(7, 10).receive(ms(1_000), &vm(1), Message::Query { revision: 3 });
    let Step::Reply(replies) = step else {
        panic!("nothing to adopt");
    };
    assert_eq!(replies, [Message::Offer { revision: 7 }]);
    assert!(!started.is_answered());
    let step = started.receive(ms(1_000), &vm(0), Message::Offer { revision: 7 });
    let request = Message::RequestPacked {
        revision: 7,
        offset: 0,
    };
    assert_eq!(step, Step::Reply(vec![request]));
    assert!(started.is_answered());
}

/// A node of an earlier release gets the document as it is.
#[rstest]
fn plain_parts_are_sent_to_earlier_releases() {
    let mut transfer = holder(7, 3_000);
    let request = Message::Request {
        revision: 7,
        offset: 0,
    };
    assert_eq!(
        transfer.receive(ms(1_000), &vm(1), request),
        Step::Reply(Vec::new())
    );
    let mut received = Vec::new();
    while let Some((to, part)) = transfer.take_part(ms(1_000)) {
        let Message::Part { size, bytes, .. } = part else {
            panic!("another form");
        };
        assert_eq!((to, size), (vm(1), 3_000));
        received.extend(bytes);
    }
    assert_eq!(received, document(3_000));
}

/// Guards against parts that are sent again while they wait, as often as they are asked for.
#[rstest]
fn repeated_request_is_answered_once() {
    let mut transfer = holder(7, 20_000);
    let request = Message::RequestPacked {
        revision: 7,
        offset: 0,
    };
    for _ in 0..5 {
        transfer.receive(ms(1_000), &vm(1), request.clone());
    }
    let mut parts = 0;
    while transfer.take_part(ms(1_000)).is_some() {
        parts += 1;
    }
    assert!(parts <= 20_000 / PART_BYTES + 2, "{parts} parts");
}

/// Guards against parts for a peer that has the document from elsewhere by now.
#[rstest]
fn old_request_is_forgotten() {
    let mut transfer = holder(7, 20_000);
    let request = Message::RequestPacked {
        revision: 7,
        offset: 0,
    };
    transfer.receive(ms(1_000), &vm(1), request);
    assert!(transfer.take_part(ms(1_010)).is_some());
    assert_eq!(transfer.take_part(ms(1_500)), None);
}

/// Guards against a transfer that hangs on a peer which gives nothing while others have the document.
#[rstest]
fn other_source_is_asked() {
    let mut transfer = Transfer::default();
    transfer.announced(ms(1_000), &vm(0), 7);
    assert_eq!(transfer.announced(ms(1_010), &vm(1), 7), None);
    let (to, _) = transfer.tick(ms(1_100)).expect("a repeat");
    assert_eq!(to, vm(1));
}
