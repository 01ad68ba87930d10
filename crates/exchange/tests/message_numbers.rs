//! Variant numbers of the messages between owners on the wire.

mod support;

use exchange::owner::{Message, RelativePresence};
use rstest::rstest;
use support::target;
use wire::frame::encode;

/// Guards against nodes of two releases that decode each other's messages as different variants.
/// The number of a variant follows from its position.
#[rstest]
#[case::claims(Message::Claims(Vec::new()), 0)]
#[case::holdings(Message::Holdings { engine: "e1".into(), holdings: Vec::new() }, 1)]
#[case::release(Message::Release(Vec::new()), 2)]
#[case::request_load(Message::RequestLoad { engine: "e1".into(), target: target("a"), rank: 0 }, 3)]
#[case::in_use(Message::InUse { engine: "e1".into(), targets: Vec::new() }, 5)]
#[case::request_ended(Message::RequestEnded { engine: "e1".into(), target: target("a") }, 6)]
#[case::residency(
    Message::Residency { engine: "e1".into(), target: target("a"), presence: RelativePresence::Absent, backlog: 0 },
    8
)]
#[case::higher_fences(Message::HigherFences(Vec::new()), 9)]
#[case::not_claiming(Message::NotClaiming, 10)]
#[case::cancel_load_request(Message::CancelLoadRequest { engine: "e1".into(), target: target("a") }, 11)]
#[case::replicas(Message::Replicas { target: target("a"), engines: Vec::new() }, 12)]
#[case::request_leases(Message::RequestLeases { round: 0, claims: Vec::new() }, 13)]
#[case::leases(Message::Leases { round: 0, higher: Vec::new(), refused: Vec::new() }, 14)]
#[case::return_leases(Message::ReturnLeases { round: 0, engines: Vec::new() }, 15)]
#[case::declines(Message::Declines(Vec::new()), 16)]
#[case::witnesses(Message::Witnesses { engine: "e1".into(), nodes: Vec::new() }, 17)]
fn variant_numbers_are_stable(#[case] message: Message, #[case] number: u8) {
    let bytes = encode(&message).expect("message encodes");
    assert_eq!(bytes.first(), Some(&number));
}
