//! Each point at which a service call can fail, and what is known of it then.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::{HeaderMap, Method};
use rstest::rstest;
use support::{Act, count, serve, write};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;
use upstream::engine::{Completion, Event};
use upstream::link::Reuse;
use upstream::service::{Call, Http, Service};
use upstream::{Engine, Error, Limits, Phase, Reach};
use wire::Priority;

/// Limit where a time limit is to run out.
const QUICK: Duration = Duration::from_millis(150);

/// Limit where none is to run out, however busy the machine is.
const PATIENT: Duration = Duration::from_secs(30);

fn limits(limit: Duration) -> Limits {
    Limits {
        connect: limit,
        head: limit,
        body: limit,
        ..Limits::default()
    }
}

fn call(body: impl Into<Bytes>) -> Call {
    Call {
        method: Method::POST,
        path: "/checkout".into(),
        headers: HeaderMap::new(),
        body: body.into(),
        attempt: "a1".into(),
        priority: Priority::Normal,
        reuse: Reuse::Fresh,
    }
}

async fn run(address: SocketAddr, body: impl Into<Bytes>, limit: Duration) -> Result<Bytes, Error> {
    let service = Http::new("desk-1", address, limits(limit));
    service.call(call(body)).await?.into_body().collect().await
}

/// Short name of the outcome, with what the variant says beyond its reach.
fn kind(result: &Result<Bytes, Error>) -> String {
    match result {
        Ok(body) => format!("whole {}", body.len()),
        Err(Error::Cut { offset, .. }) => format!("cut {offset}"),
        Err(Error::Timeout { phase, .. }) => format!("timeout {phase:?}"),
        Err(Error::Crossed { got, .. }) => format!("crossed {got}"),
        Err(Error::Refused { status, .. }) => format!("refused {status}"),
        Err(error) => {
            let name = format!("{error:?}");
            name.split([' ', '{']).next().unwrap().to_lowercase()
        }
    }
}

const HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nabcd\r\n";

#[rstest]
#[case::written_whole(vec![Act::Request], "broken", Reach::MaybeSent)]
#[case::closed_unread(vec![Act::Some], "broken", Reach::MaybeSent)]
#[case::head_in_part(vec![Act::Request, write(&HEAD[..20])], "broken", Reach::MaybeSent)]
#[case::no_http(vec![Act::Request, write("\x16\x03\x01")], "broken", Reach::MaybeSent)]
#[case::head_silent(vec![Act::Request, Act::Hold], "timeout Head", Reach::MaybeSent)]
#[case::head_stalls(
    vec![Act::Request, write(&HEAD[..20]), Act::Hold], "timeout Head", Reach::MaybeSent)]
#[case::body_missing(vec![Act::Request, write(format!("{HEAD}\r\n"))], "cut 0", Reach::MaybeSent)]
#[case::body_in_part(
    vec![Act::Request, write(format!("{HEAD}\r\nabcd"))], "cut 4", Reach::MaybeSent)]
#[case::chunks_in_part(vec![Act::Request, write(CHUNKED)], "cut 4", Reach::MaybeSent)]
#[case::body_stalls(
    vec![Act::Request, write(format!("{HEAD}\r\nabcd")), Act::Hold],
    "timeout Body", Reach::MaybeSent)]
#[case::crossed(
    vec![Act::Request, write(format!("{HEAD}x-attempt: a2\r\n\r\n0123456789"))],
    "crossed a2", Reach::MaybeSent)]
#[case::unframed(
    vec![Act::Request, write("HTTP/1.1 200 OK\r\n\r\nabcd")], "malformed", Reach::MaybeSent)]
#[case::nameless_leaving(
    vec![Act::Request,
         write("HTTP/1.1 503 Busy\r\nx-leaving: true\r\ncontent-length: 0\r\n\r\n")],
    "malformed", Reach::MaybeSent)]
#[case::leaving(
    vec![Act::Request,
         write("HTTP/1.1 503 Busy\r\nx-leaving: true\r\nx-attempt: a1\r\ncontent-length: 0\r\n\r\n")],
    "leaving", Reach::NotSent)]
#[tokio::test]
async fn failed_call_tells_its_reach(
    #[case] acts: Vec<Act>,
    #[case] expected: &str,
    #[case] reach: Reach,
) {
    let (address, seen) = serve(acts).await;
    let limit = if expected.starts_with("timeout") {
        QUICK
    } else {
        PATIENT
    };
    let result = run(address, "x", limit).await;
    assert_eq!(kind(&result), expected, "{result:?}");
    assert_eq!(result.unwrap_err().reach(), reach);
    assert_eq!(count(&seen.connections), 1, "the call was sent again");
}

#[rstest]
#[case::length(format!("{HEAD}x-attempt: a1\r\n\r\n0123456789"), "whole 10")]
#[case::closed_after_end(format!("{HEAD}connection: close\r\n\r\n0123456789"), "whole 10")]
#[case::chunks(format!("{CHUNKED}0\r\n\r\n"), "whole 4")]
#[case::error_status_is_an_answer(
    "HTTP/1.1 500 Oops\r\ncontent-length: 3\r\n\r\nabc".into(), "whole 3")]
#[case::surplus_is_not_the_body(format!("{HEAD}\r\n0123456789HTTP/1.1 200"), "whole 10")]
#[tokio::test]
async fn whole_answer_passes(#[case] answer: String, #[case] expected: &str) {
    let (address, _) = serve([Act::Request, write(answer)]).await;
    assert_eq!(kind(&run(address, "x", PATIENT).await), expected);
}

#[tokio::test]
async fn nothing_is_sent_before_the_connection() {
    let (address, seen) = serve([Act::Request]).await;
    let limits = Limits {
        ordinary: 0,
        ..limits(PATIENT)
    };
    let service = Http::new("desk-1", address, limits);
    let error = service.call(call("x")).await.unwrap_err();
    assert!(matches!(error, Error::Full { limit: 0, .. }));
    assert_eq!(error.reach(), Reach::NotSent);
    let mut invalid = call("x");
    invalid.path = "no path".into();
    let error = service.call(invalid).await.unwrap_err();
    assert!(matches!(error, Error::Invalid { .. }));
    assert_eq!(
        (error.reach(), count(&seen.connections)),
        (Reach::NotSent, 0)
    );
}

#[tokio::test]
async fn refused_connection_is_not_sent() {
    let free = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = free.local_addr().unwrap();
    drop(free);
    let error = run(address, "x", QUICK).await.unwrap_err();
    assert!(matches!(error, Error::Connect { .. }), "{error:?}");
    assert_eq!(error.reach(), Reach::NotSent);
}

#[tokio::test]
async fn silent_connecting_is_not_sent() {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = socket.local_addr().unwrap();
    let _listener = socket.listen(1).unwrap();
    let mut queued = Vec::new();
    while let Ok(Ok(stream)) = timeout(QUICK, TcpStream::connect(address)).await {
        queued.push(stream);
        assert!(queued.len() < 64, "the accept queue takes no end");
    }
    let error = run(address, "x", QUICK).await.unwrap_err();
    let connecting = matches!(
        error,
        Error::Timeout {
            phase: Phase::Connect,
            ..
        }
    );
    assert!(connecting, "{error:?}");
    assert_eq!(error.reach(), Reach::NotSent);
}

#[tokio::test]
async fn part_of_a_request_may_have_run() {
    let large = vec![b'x'; 32 << 20];
    let (address, _) = serve([Act::Some]).await;
    let error = run(address, large.clone(), PATIENT).await.unwrap_err();
    assert_eq!(error.reach(), Reach::MaybeSent, "{error:?}");
    // A server that reads nothing more lets the write itself run into the time limit.
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let error = run(listener.local_addr().unwrap(), large, QUICK)
        .await
        .unwrap_err();
    assert!(matches!(
        error,
        Error::Timeout {
            phase: Phase::Head,
            ..
        }
    ));
    assert_eq!(error.reach(), Reach::MaybeSent);
}

#[rstest]
#[case::while_waiting(vec![Act::Request, Act::Hold])]
#[case::in_the_body(vec![Act::Request, write(format!("{HEAD}\r\nabcd")), Act::Hold])]
#[tokio::test]
async fn dropped_call_closes_its_connection(#[case] acts: Vec<Act>) {
    let (address, seen) = serve(acts).await;
    let patient = Limits {
        head: Duration::from_secs(60),
        ..Limits::default()
    };
    let service = Http::new("desk-1", address, patient);
    let answer = timeout(QUICK, service.call(call("x"))).await;
    assert_eq!(count(&seen.closed), 0);
    drop(answer);
    let closed = async {
        while count(&seen.closed) == 0 {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    timeout(Duration::from_secs(5), closed).await.unwrap();
    assert_eq!(count(&seen.requests), 1);
}

fn chunk(id: &str, offset: u64, text: &str) -> String {
    let choice = format!(r#"{{"index":0,"text":"{text}","finish_reason":null}}"#);
    format!(r#"data: {{"id":"{id}","model":"m","offset":{offset},"choices":[{choice}]}}"#) + "\n\n"
}

const OPEN: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";
const FINISH: &str =
    "data: {\"id\":\"a1\",\"model\":\"m\",\"choices\":[{\"finish_reason\":\"stop\"}]}\n\n";
const DONE: &str = "data: [DONE]\n\n";

#[rstest]
#[case::whole([chunk("a1", 0, "x"), chunk("a1", 1, "y"), FINISH.into(), DONE.into()], "xy end 2")]
#[case::escaped([
    chunk("a1", 0, r"\u00e9\n"), chunk("\\u0061\u{31}", 1, "y"), FINISH.into(), DONE.into()],
    "\u{e9}\ny end 2")]
#[case::doubled([chunk("a1", 0, "x"), chunk("a1", 0, "x"), FINISH.into(), DONE.into()], "x end 1")]
#[case::foreign_part_dropped(
    [chunk("a1", 0, "x"), chunk("a2", 1, "z"), FINISH.into(), DONE.into()], "x end 1")]
#[case::no_last_event([chunk("a1", 0, "x"), FINISH.into(), "".into(), "".into()], "x cut 1")]
#[case::no_finish([chunk("a1", 0, "x"), chunk("a1", 1, "y"), DONE.into(), "".into()], "xy cut 2")]
#[case::gap([chunk("a1", 0, "x"), chunk("a1", 2, "y"), FINISH.into(), DONE.into()], "x cut 1")]
#[case::no_json([chunk("a1", 0, "x"), "data: {\n\n".into(), DONE.into(), "".into()], "x malformed")]
#[case::other_model(
    [chunk("a1", 0, "x").replace(r#""m""#, r#""n""#), FINISH.into(), DONE.into(), "".into()],
    " malformed")]
#[case::reported(
    [chunk("a1", 0, "x"), "data: {\"id\":\"a1\",\"error\":{\"message\":\"no\"}}\n\n".into(),
     DONE.into(), "".into()], "x failed 1 no")]
#[tokio::test]
async fn stream_is_whole_or_says_where_it_broke(
    #[case] parts: [String; 4],
    #[case] expected: &str,
) {
    let mut acts = vec![Act::Request, write(OPEN)];
    acts.extend(parts.map(Act::Write));
    let (address, _) = serve(acts).await;
    let engine = upstream::engine::Http::new("engine-1", address, limits(PATIENT), PATIENT);
    let mut answer = engine.complete(completion()).await.unwrap();
    let mut got = String::new();
    let end = loop {
        match upstream::engine::Answer::next(&mut answer).await {
            Ok(Some(Event::Token { text, .. })) => got.push_str(&text),
            Ok(Some(Event::End { tokens, .. })) => break format!("end {tokens}"),
            Ok(Some(Event::Open)) => {}
            Err(Error::Cut { offset, .. }) => break format!("cut {offset}"),
            Err(Error::Failed {
                offset, message, ..
            }) => break format!("failed {offset} {message}"),
            Err(Error::Malformed { .. }) => break "malformed".to_owned(),
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(format!("{got} {end}"), expected);
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

#[tokio::test]
async fn engines_make_their_ids_from_the_attempt() {
    let events = concat!(
        r#"data: {"id":"cmpl-a1","model":"m","offset":0,"choices":[{"text":"x"}]}"#,
        "\n\n",
        r#"data: {"id":"cmpl-a1","model":"m","choices":[{"finish_reason":"stop"}]}"#,
        "\n\ndata: [DONE]\n\n",
    );
    let answer = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{events}",
        events.len()
    );
    let (address, seen) = serve([Act::Request, write(answer)]).await;
    let engine = upstream::engine::Http::new("engine-1", address, limits(PATIENT), PATIENT);
    let mut answer = engine.complete(completion()).await.unwrap();
    let head = seen.head.lock().unwrap().clone();
    assert!(head.contains("x-request-id: a1\r\n"), "{head}");
    let mut tokens = 0;
    while let Some(event) = upstream::engine::Answer::next(&mut answer).await.unwrap() {
        tokens += u64::from(matches!(event, Event::Token { .. }));
    }
    assert_eq!(tokens, 1);
}
