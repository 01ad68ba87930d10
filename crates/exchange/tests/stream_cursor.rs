//! Tracking of complete events of a stream across several runs.

use exchange::relay::{Cursor, StreamError};
use proptest::prelude::*;
use rstest::rstest;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: token {id}\n\n")
}

#[rstest]
fn incomplete_event_is_buffered() {
    let mut cursor = Cursor::default();
    let mut out = Vec::new();
    cursor
        .push(b"id: 1\ndata: a\n\nid: 2\nda", &mut out)
        .expect("in sequence");
    assert_eq!(out, b"id: 1\ndata: a\n\n");
    assert!(cursor.has_partial());
    assert_eq!(cursor.last(), Some(1));
}

#[rstest]
fn next_run_continues_after_the_last_event() {
    let mut cursor = Cursor::default();
    let mut out = Vec::new();
    cursor
        .push(b"id: 1\ndata: a\n\nid: 2\nda", &mut out)
        .expect("in sequence");
    cursor.restart();
    cursor
        .push(event(2).as_bytes(), &mut out)
        .expect("in sequence");
    assert_eq!(cursor.last(), Some(2));
    assert!(out.ends_with(event(2).as_bytes()));
}

#[rstest]
#[case::gap(3)]
#[case::repeat(1)]
fn event_out_of_sequence_is_rejected(#[case] id: u64) {
    let mut cursor = Cursor::default();
    let mut out = Vec::new();
    cursor
        .push(event(1).as_bytes(), &mut out)
        .expect("in sequence");
    let before = out.clone();
    assert_eq!(
        cursor.push(event(id).as_bytes(), &mut out),
        Err(StreamError::OutOfSequence)
    );
    assert_eq!(out, before);
}

#[rstest]
fn resuming_caller_gets_only_the_next_event() {
    let mut cursor = Cursor::new(Some(7));
    let mut out = Vec::new();
    assert_eq!(
        cursor.push(event(7).as_bytes(), &mut out),
        Err(StreamError::OutOfSequence)
    );
    let mut cursor = Cursor::new(Some(7));
    assert_eq!(cursor.push(event(8).as_bytes(), &mut out), Ok(()));
}

/// Guards against an engine that only sends comments and counts as one whose stream goes on.
#[rstest]
fn comments_are_no_progress() {
    let mut cursor = Cursor::default();
    let mut out = Vec::new();
    let pushed = cursor.push(b": still here\n\n\n: still here\n\n", &mut out);
    assert_eq!(pushed, Ok(()));
    assert_eq!((cursor.events(), cursor.progress()), (0, 0));
    assert_eq!(out, b": still here\n\n\n: still here\n\n");
    let pushed = cursor.push(event(1).as_bytes(), &mut out);
    assert_eq!(pushed, Ok(()));
    assert_eq!((cursor.events(), cursor.progress()), (1, 1));
}

#[rstest]
fn carriage_returns_end_lines() {
    let mut cursor = Cursor::default();
    let mut out = Vec::new();
    cursor
        .push(b"id: 1\r\ndata: a\r\n\r\n", &mut out)
        .expect("in sequence");
    assert_eq!(cursor.events(), 1);
    assert!(!cursor.has_partial());
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// The same complete events are passed on however the bytes are split.
    #[test]
    fn splits_do_not_change_the_events(events in 1_u64..20, sizes in prop::collection::vec(1_usize..40, 1..40)) {
        let whole: String = (1..=events).map(event).collect();
        let mut cursor = Cursor::default();
        let mut out = Vec::new();
        let mut rest = whole.as_bytes();
        for size in sizes.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (part, tail) = rest.split_at((*size).min(rest.len()));
            prop_assert_eq!(cursor.push(part, &mut out), Ok(()));
            rest = tail;
        }
        prop_assert_eq!(out, whole.into_bytes());
        prop_assert_eq!(cursor.events(), events);
        prop_assert!(!cursor.has_partial());
    }

    /// Arbitrary bytes are passed on in order or buffered, never changed.
    #[test]
    fn bytes_are_not_changed(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut cursor = Cursor::default();
        let mut out = Vec::new();
        let _ = cursor.push(&bytes, &mut out);
        prop_assert!(bytes.starts_with(&out));
    }
}

/// Text that is no event of the stream is not passed on, wherever a run breaks off.
#[rstest]
#[case::head("HTTP/1.1 500 X\r\ncontent-length: 3\r\n\r\n", false)]
#[case::text("no such run\n\n", false)]
#[case::error_of_a_resumed_run("data: error\n\n", true)]
fn foreign_text_is_refused(#[case] text: &str, #[case] resumed: bool) {
    let (mut cursor, mut out) = (Cursor::default(), Vec::new());
    cursor
        .push(event(1).as_bytes(), &mut out)
        .expect("an event");
    if resumed {
        cursor.restart();
    }
    let pushed = cursor.push(text.as_bytes(), &mut out);
    assert_eq!(pushed, Err(StreamError::Foreign));
    assert_eq!(out, event(1).as_bytes());
}

/// Comments, and events without ids between those of one run, belong to the stream.
#[rstest]
#[case::comment(": alive\n\n", true)]
#[case::event("event: note\ndata: x\n\n", false)]
#[case::end("data: [DONE]\n\n", false)]
fn event_without_id_is_passed_on(#[case] text: &str, #[case] resumed: bool) {
    let (mut cursor, mut out) = (Cursor::default(), Vec::new());
    cursor
        .push(event(1).as_bytes(), &mut out)
        .expect("an event");
    if resumed {
        cursor.restart();
    }
    cursor.push(text.as_bytes(), &mut out).expect("passed on");
    cursor
        .push(event(2).as_bytes(), &mut out)
        .expect("an event");
    assert_eq!(
        out,
        [event(1), text.to_owned(), event(2)].concat().as_bytes()
    );
}
