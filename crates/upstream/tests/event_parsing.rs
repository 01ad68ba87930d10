//! Parsing of event streams: splits change nothing and no bytes panic.

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rstest::rstest;
use upstream::engine::Event;
use upstream::engine::answer::{Check, Next};
use upstream::sse::{EVENT_BYTES_MAX, Error, Parser};

fn config() -> Config {
    Config {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::with_cases(512)
    }
}

fn parse(parts: impl IntoIterator<Item = impl AsRef<[u8]>>) -> (Vec<String>, Result<(), Error>) {
    let mut parser = Parser::default();
    let mut events = Vec::new();
    let mut result = Ok(());
    for part in parts {
        result = parser.push(part.as_ref());
        events.extend(std::iter::from_fn(|| parser.next_event()));
        if result.is_err() {
            break;
        }
    }
    (events, result)
}

#[rstest]
#[case("data: a\n\ndata:b\n\n", &["a", "b"])]
#[case("data: a\r\n\r\ndata: b\r\rdata: c\n\n", &["a", "b", "c"])]
#[case(": comment\nevent: x\nid: 1\ndata: a\ndata:  b\n\n\n\n", &["a\n b"])]
#[case("data\n\ndata: unfinished\n", &[""])]
fn events_have_their_data(#[case] text: &str, #[case] expected: &[&str]) {
    assert_eq!(parse([text]).0, expected);
}

#[test]
fn endless_events_are_refused() {
    let line = vec![b'x'; EVENT_BYTES_MAX + 1];
    assert_eq!(parse([line]).1, Err(Error::Large));
    let lines = "data: 0123456789\n".repeat(EVENT_BYTES_MAX / 10);
    assert_eq!(parse([lines]).1, Err(Error::Large));
    assert_eq!(parse([b"data: \xff\n"]).1, Err(Error::Encoding));
}

#[rstest]
#[case::plain("a-1", true)]
#[case::completion("cmpl-a-1", true)]
#[case::choice("cmpl-a-1-0", true)]
#[case::longer("cmpl-a-11", false)]
#[case::no_number("cmpl-a-1-", false)]
#[case::named("cmpl-a-1-x", false)]
#[case::other("cmpl-a-2-0", false)]
#[case::shorter("cmpl-a", false)]
#[case::prefix_twice("cmpl-cmpl-a-1", false)]
#[case::plain_with_choice("a-1-0", false)]
fn chunks_of_the_attempt_pass(#[case] id: &str, #[case] passes: bool) {
    let mut check = Check::new("engine-1".into(), "a-1".into(), "m".into(), 0);
    let token = format!(r#"{{"id":"{id}","model":"m","offset":0,"choices":[{{"text":"x"}}]}}"#);
    let passed = matches!(
        check.take(&token),
        Next::Pass(Event::Token { offset: 0, .. })
    );
    assert_eq!(passed, passes);
    assert_eq!(check.offset(), u64::from(passes));
}

/// Feeds chunks to a check that begins at `offset`; returns the tokens and whether the end was
/// whole, cut or malformed.
fn checked(offset: u64, chunks: &[&str]) -> (Vec<String>, &'static str) {
    let mut check = Check::new("engine-1".into(), "a".into(), "m".into(), offset);
    let mut tokens = Vec::new();
    for chunk in chunks {
        match check.take(chunk) {
            Next::Pass(Event::Token { text, .. }) => tokens.push(text),
            Next::Pass(Event::End { .. }) => return (tokens, "whole"),
            Next::Fail(upstream::Error::Cut { .. }) => return (tokens, "cut"),
            Next::Fail(_) => return (tokens, "malformed"),
            Next::Pass(Event::Open) | Next::Drop => {}
        }
    }
    (tokens, "open")
}

const PLAIN: &str = r#"{"id":"cmpl-a","model":"m","choices":[{"text":"x","finish_reason":null}]}"#;
const LAST: &str = r#"{"id":"cmpl-a","model":"m","choices":[{"text":"y","finish_reason":"stop"}]}"#;
const NUMBERED: &str = r#"{"id":"a","model":"m","offset":1,"choices":[{"text":"z"}]}"#;

#[rstest]
#[case::last_with_text(0, &[PLAIN, PLAIN, LAST, "[DONE]"], &["x", "x", "y"], "whole")]
#[case::no_finish(0, &[PLAIN, "[DONE]"], &["x"], "cut")]
#[case::after_finish(0, &[LAST, PLAIN], &["y"], "malformed")]
#[case::begun_anew(3, &[PLAIN], &[], "cut")]
#[case::numbered_later(0, &[PLAIN, NUMBERED], &["x"], "malformed")]
#[case::unnumbered_later(1, &[NUMBERED, PLAIN], &["z"], "malformed")]
fn engines_without_numbers(
    #[case] offset: u64,
    #[case] chunks: &[&str],
    #[case] tokens: &[&str],
    #[case] end: &str,
) {
    let (got, ending) = checked(offset, chunks);
    assert_eq!(got, tokens);
    assert_eq!(ending, end);
}

/// Bytes of which many are line ends and field names.
fn stream() -> impl Strategy<Value = Vec<u8>> {
    let piece = prop_oneof![
        Just(b"\n".to_vec()),
        Just(b"\r".to_vec()),
        Just(b"data: ".to_vec()),
        Just(br#"{"id":"a1","model":"m","offset":0,"choices":[{"text":"x"}]}"#.to_vec()),
        Just(br#"{"id":"a1","model":"m","choices":[{"finish_reason":"stop"}]}"#.to_vec()),
        Just(b"[DONE]".to_vec()),
        Just("\u{e9}".as_bytes().to_vec()),
        vec(any::<u8>(), 0..4),
    ];
    vec(piece, 0..40).prop_map(|pieces| pieces.concat())
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn splits_change_nothing(bytes in stream(), cuts in vec(any::<prop::sample::Index>(), 0..8)) {
        let mut at: Vec<usize> = cuts.iter().map(|cut| cut.index(bytes.len() + 1)).collect();
        at.extend([0, bytes.len()]);
        at.sort_unstable();
        let parts: Vec<&[u8]> = at.windows(2).map(|pair| &bytes[pair[0]..pair[1]]).collect();
        prop_assert_eq!(parse(parts), parse(bytes.chunks(1)));
    }

    #[test]
    fn checked_tokens_are_in_order(bytes in stream(), more in vec(".{0,60}", 0..4)) {
        let mut check = Check::new("engine-1".into(), "a1".into(), "m".into(), 0);
        let mut next = 0;
        for data in parse([bytes]).0.iter().chain(&more) {
            match check.take(data) {
                Next::Pass(Event::Token { offset, .. }) => {
                    prop_assert_eq!(offset, next);
                    next += 1;
                }
                Next::Pass(Event::End { tokens, .. }) => prop_assert_eq!(tokens, next),
                Next::Pass(Event::Open) | Next::Drop | Next::Fail(_) => {}
            }
        }
        prop_assert_eq!(check.offset(), next);
    }
}
