//! Streamed answers of engines that send bytes, but no events.

mod support;

use std::time::Duration;

use rstest::rstest;
use support::{Act, serve, write};
use tokio::time::{Instant, timeout};
use upstream::engine::{Answer, Completion, Event, Http};
use upstream::{Engine, Error, Limits, Phase};
use wire::Priority;

/// Limit of a pause in an answer.
const PAUSE_MAX: Duration = Duration::from_millis(400);

/// Time in which a stalled answer has to be given up.
const SOON: Duration = Duration::from_millis(1_500);

const OPEN: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";
const FINISH: &str = "data: {\"id\":\"a1\",\"model\":\"m\",\"choices\":[{\"finish_reason\":\"stop\"}]}\n\n\
                      data: [DONE]\n\n";

fn token(attempt: &str, offset: u64) -> String {
    format!(
        "data: {{\"id\":\"{attempt}\",\"model\":\"m\",\"offset\":{offset},\"choices\":[{{\"text\":\"x\"}}]}}\n\n"
    )
}

async fn engine(acts: Vec<Act>) -> Http {
    let (address, _) = serve(acts).await;
    let limits = Limits {
        body: PAUSE_MAX,
        report: PAUSE_MAX,
        ..Limits::default()
    };
    Http::new("engine-1", address, limits, PAUSE_MAX)
}

fn completion() -> Completion {
    Completion {
        instance: "m".into(),
        prompt: "p".into(),
        max_tokens: 4,
        priority: Priority::Normal,
        attempt: "a1".into(),
        caller: "c1".into(),
        offset: 0,
        parameters: serde_json::Map::new(),
    }
}

async fn answer(acts: Vec<Act>) -> impl Answer {
    engine(acts).await.complete(completion()).await.unwrap()
}

/// Guards against an engine that stalls and keeps its request until the deadline, since it goes on to
/// send bytes that bring no event.
#[rstest]
#[case::bytes("x".to_owned())]
#[case::comments(": still here\n\n".to_owned())]
#[case::foreign(token("a2", 1))]
#[tokio::test]
async fn stalled_answer_times_out(#[case] bytes: String) {
    let mut acts = vec![Act::Request, write(OPEN), write(token("a1", 0))];
    acts.extend((0..1_000).map(|_| Act::Write(bytes.clone())));
    acts.push(Act::Hold);
    let mut answer = answer(acts).await;
    assert!(matches!(answer.next().await, Ok(Some(Event::Token { .. }))));
    let next = timeout(SOON, answer.next()).await.expect("a time-out");
    let stalled = matches!(
        next,
        Err(Error::Timeout {
            phase: Phase::Body,
            ..
        })
    );
    assert!(stalled, "{next:?}");
}

/// Guards against an engine that keeps its connection after the last event, as long as bytes come.
#[rstest]
#[tokio::test]
async fn ended_answer_is_released() {
    let mut acts = vec![Act::Request, write(OPEN), write(token("a1", 0))];
    acts.push(write(FINISH));
    acts.extend((0..1_000).map(|_| write(": still here\n\n")));
    acts.push(Act::Hold);
    let mut answer = answer(acts).await;
    let whole = async {
        while let Some(event) = answer.next().await.unwrap() {
            drop(event);
        }
    };
    timeout(SOON, whole).await.expect("a release");
}

/// Begins an answer of this status, which then goes on byte by byte.
fn dripping(status: &str) -> Vec<Act> {
    let head = format!("HTTP/1.1 {status}\r\ncontent-length: 100000\r\n\r\n");
    let mut acts = vec![Act::Request, write(head)];
    acts.extend((0..1_000).map(|_| write(" ")));
    acts.push(Act::Hold);
    acts
}

/// Guards against an engine whose report does not come to its end, and which counts as reached meanwhile.
#[rstest]
#[tokio::test]
async fn stalled_report_times_out() {
    let engine = engine(dripping("200 OK")).await;
    let report = timeout(SOON, engine.report()).await.expect("a time-out");
    assert!(matches!(report, Err(Error::Timeout { .. })), "{report:?}");
}

/// Guards against a refused request that waits for the text of its refusal.
#[rstest]
#[tokio::test]
async fn refusal_needs_no_text() {
    let engine = engine(dripping("503 Busy")).await;
    let asked = timeout(SOON, engine.complete(completion())).await;
    let refused = matches!(
        asked.expect("a refusal"),
        Err(Error::Refused { status: 503, .. })
    );
    assert!(refused);
}

/// A slow answer is sound, however long it takes as a whole.
#[rstest]
#[tokio::test]
async fn slow_answer_is_whole() {
    let mut acts = vec![Act::Request, write(OPEN)];
    for offset in 0..6 {
        acts.push(write(token("a1", offset)));
        acts.push(Act::Wait(PAUSE_MAX / 2));
    }
    acts.push(write(FINISH));
    let mut answer = answer(acts).await;
    let began = Instant::now();
    let mut tokens = 0;
    while let Some(event) = answer.next().await.unwrap() {
        tokens += u64::from(matches!(event, Event::Token { .. }));
    }
    assert_eq!(tokens, 6);
    assert!(began.elapsed() > PAUSE_MAX);
}
