//! Numbers of the messages between owners on the wire.

mod support;

use exchange::owner::{Message, RelativePresence};
use rstest::rstest;
use support::target;
use wire::frame::encode;

/// Guards against nodes of two releases that take each other's messages for others: a variant's
/// number follows from its position.
#[rstest]
#[case::claims(Message::Claims(Vec::new()), 0)]
#[case::holdings(Message::Holdings { engine: "e1".into(), holdings: Vec::new() }, 1)]
#[case::release(Message::Release(Vec::new()), 2)]
#[case::want(Message::RequestLoad { engine: "e1".into(), target: target("a"), rank: 0 }, 3)]
#[case::uses(Message::InUse { engine: "e1".into(), targets: Vec::new() }, 5)]
#[case::done(Message::RequestEnded { engine: "e1".into(), target: target("a") }, 6)]
#[case::stock(
    Message::Residency { engine: "e1".into(), target: target("a"), presence: RelativePresence::Absent, backlog: 0 },
    8
)]
#[case::used(Message::HigherFences(Vec::new()), 9)]
#[case::idle(Message::NotClaiming, 10)]
#[case::unwant(Message::CancelLoadRequest { engine: "e1".into(), target: target("a") }, 11)]
fn numbers_stay(#[case] message: Message, #[case] number: u8) {
    let bytes = encode(&message).expect("an encoded message");
    assert_eq!(bytes.first(), Some(&number));
}
