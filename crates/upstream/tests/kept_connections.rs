//! What kept connections are used for, and that none leads to a second run.

mod support;

use std::time::Duration;

use hyper::{HeaderMap, Method};
use rstest::rstest;
use support::{Act, count, serve, write};
use upstream::link::Reuse;
use upstream::service::{Call, Http, Service};
use upstream::{Engine, Error, Limits, Phase, Reach};
use wire::Priority;

const ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

fn call(reuse: Reuse, priority: Priority) -> Call {
    Call {
        method: Method::POST,
        path: "/checkout".into(),
        headers: HeaderMap::new(),
        body: "x".into(),
        attempt: "a1".into(),
        priority,
        reuse,
    }
}

async fn run(service: &Http, reuse: Reuse) -> Result<bytes::Bytes, Error> {
    let answer = service.call(call(reuse, Priority::Normal)).await?;
    answer.into_body().collect().await
}

fn two_answers() -> Vec<Act> {
    vec![
        Act::Request,
        write(ANSWER),
        Act::Request,
        write(ANSWER),
        Act::Hold,
    ]
}

#[rstest]
#[case(Reuse::Kept, 1)]
#[case(Reuse::Fresh, 2)]
#[tokio::test]
async fn only_repeatable_calls_use_kept_connections(
    #[case] reuse: Reuse,
    #[case] connections: usize,
) {
    let (address, seen) = serve(two_answers()).await;
    let service = Http::new("desk-1", address, Limits::default());
    run(&service, Reuse::Kept).await.unwrap();
    run(&service, reuse).await.unwrap();
    assert_eq!(
        (count(&seen.requests), count(&seen.connections)),
        (2, connections)
    );
}

/// The server closes the kept connection, so that a client that retries by itself would send the
/// next call over it and again over another.
#[rstest]
#[case(Reuse::Kept)]
#[case(Reuse::Fresh)]
#[tokio::test]
async fn closed_kept_connection_is_not_used(#[case] reuse: Reuse) {
    let (address, seen) = serve([Act::Request, write(ANSWER)]).await;
    let service = Http::new("desk-1", address, Limits::default());
    for round in 1..=5 {
        run(&service, reuse).await.unwrap();
        while count(&seen.ended) < round {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        // Time for the close to arrive.
        tokio::time::sleep(Duration::from_millis(20)).await;
        assert_eq!(
            (count(&seen.requests), count(&seen.connections)),
            (round, round)
        );
    }
}

/// The kept connection takes the next call's bytes and closes: the call may have run.
#[tokio::test]
async fn broken_kept_connection_is_not_retried() {
    let (address, seen) = serve([Act::Request, write(ANSWER), Act::Request]).await;
    let service = Http::new("desk-1", address, Limits::default());
    run(&service, Reuse::Kept).await.unwrap();
    let error = run(&service, Reuse::Kept).await.unwrap_err();
    assert_eq!(error.reach(), Reach::MaybeSent);
    assert_eq!((count(&seen.requests), count(&seen.connections)), (2, 1));
}

#[tokio::test]
async fn answer_with_surplus_bytes_spoils_its_connection() {
    let surplus = format!("{ANSWER}{ANSWER}");
    let (address, seen) = serve([Act::Request, write(surplus), Act::Hold]).await;
    let service = Http::new("desk-1", address, Limits::default());
    run(&service, Reuse::Kept).await.unwrap();
    // The surplus would otherwise be taken for the answer to the next call.
    let limits = Duration::from_secs(5);
    let next = tokio::time::timeout(limits, run(&service, Reuse::Kept)).await;
    assert!(next.is_ok_and(|answer| answer.is_ok()));
    assert_eq!(count(&seen.connections), 2);
}

#[tokio::test]
async fn old_kept_connection_is_not_used() {
    let (address, seen) = serve(two_answers()).await;
    let limits = Limits {
        keep: Duration::from_millis(10),
        ..Limits::default()
    };
    let service = Http::new("desk-1", address, limits);
    run(&service, Reuse::Kept).await.unwrap();
    tokio::time::sleep(Duration::from_millis(30)).await;
    run(&service, Reuse::Kept).await.unwrap();
    assert_eq!(count(&seen.connections), 2);
}

#[tokio::test]
async fn urgent_calls_have_connections_of_their_own() {
    let (address, _) = serve([Act::Request, write(ANSWER), Act::Hold]).await;
    let limits = Limits {
        urgent: 1,
        ordinary: 1,
        ..Limits::default()
    };
    let service = Http::new("desk-1", address, limits);
    let held = service
        .call(call(Reuse::Fresh, Priority::Routine))
        .await
        .unwrap();
    let full = service.call(call(Reuse::Fresh, Priority::Normal)).await;
    assert!(matches!(full, Err(Error::Full { .. })));
    let urgent = service
        .call(call(Reuse::Fresh, Priority::Urgent))
        .await
        .unwrap();
    assert_eq!(urgent.into_body().collect().await.unwrap(), "ok");
    drop(held);
    run(&service, Reuse::Fresh).await.unwrap();
}

/// Reports that a silent engine never answers must not use up the connections of its orders.
#[tokio::test]
async fn silent_reports_give_their_connections_back() {
    let (address, _) = serve([Act::Request, Act::Hold]).await;
    let limits = Limits {
        control: 2,
        report: Duration::from_millis(100),
        head: Duration::from_secs(60),
        ..Limits::default()
    };
    let load = Duration::from_millis(100);
    let engine = upstream::engine::Http::new("engine-1", address, limits, load);
    let timed_out = |error: Error| {
        matches!(
            error,
            Error::Timeout {
                phase: Phase::Head,
                ..
            }
        )
    };
    let both = async { tokio::join!(engine.report(), engine.models()) };
    let (report, models) = tokio::time::timeout(Duration::from_secs(20), both)
        .await
        .unwrap();
    assert!(timed_out(report.unwrap_err()) && timed_out(models.unwrap_err()));
    let order = upstream::engine::Unload {
        instance: "a".into(),
        fence: 1,
    };
    let error = engine.unload(order).await.unwrap_err();
    assert!(timed_out(error), "the order was sent");
}

#[tokio::test]
async fn connection_headers_are_not_passed_on() {
    let answer = "HTTP/1.1 200 OK\r\nconnection: x-own\r\nx-own: 1\r\nx-other: 2\r\n\
                  keep-alive: 3\r\ncontent-length: 2\r\n\r\nok";
    let (address, _) = serve([Act::Request, write(answer)]).await;
    let service = Http::new("desk-1", address, Limits::default());
    let answer = service
        .call(call(Reuse::Fresh, Priority::Normal))
        .await
        .unwrap();
    let names: Vec<&str> = answer.headers().keys().map(|name| name.as_str()).collect();
    assert_eq!(names, ["x-other", "content-length"]);
}

/// A connection whose last exchange may still bring a late answer to this caller is passed over.
#[tokio::test]
async fn used_connection_is_passed_over() {
    let (address, seen) = serve(two_answers()).await;
    let service = Http::new("desk-1", address, Limits::default());
    let within = Duration::MAX;
    let since = tokio::time::Instant::now();
    run(&service, Reuse::Kept).await.unwrap();
    run(&service, Reuse::Unused { within, since })
        .await
        .unwrap();
    assert_eq!(count(&seen.connections), 2);
    let since = tokio::time::Instant::now();
    run(&service, Reuse::Unused { within, since })
        .await
        .unwrap();
    assert_eq!(count(&seen.connections), 2);
}
