//! Binary form of frames.

use proptest::prelude::*;
use wire::frame::{decode, encode};
use wire::{Frame, Incarnation};

fn frame(body: Vec<u8>) -> Frame {
    Frame {
        from: Incarnation::new("vm-1", 7),
        to: "vm-2".into(),
        channel: 3,
        body,
    }
}

#[test]
fn cut_frame() {
    let bytes = encode(&frame(vec![1, 2, 3])).unwrap();
    for end in 0..bytes.len() {
        assert!(decode::<Frame>(&bytes[..end]).is_err(), "cut at {end}");
    }
}

#[test]
fn longer_frame() {
    let mut bytes = encode(&frame(vec![1])).unwrap();
    bytes.push(0);
    assert!(decode::<Frame>(&bytes).is_err());
}

proptest! {
    #[test]
    fn round_trip(body in proptest::collection::vec(any::<u8>(), 0..300)) {
        let sent = frame(body);
        let bytes = encode(&sent).unwrap();
        prop_assert_eq!(decode::<Frame>(&bytes).unwrap(), sent);
    }

    #[test]
    fn any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode::<Frame>(&bytes);
    }
}
