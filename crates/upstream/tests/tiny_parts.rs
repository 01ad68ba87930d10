//! Response bodies that come in tiny parts.

mod support;

use hyper::{HeaderMap, Method};
use rstest::rstest;
use support::{Act, serve, write};
use upstream::link::Reuse;
use upstream::service::{Call, Http, Service};
use upstream::{Error, Limits};
use wire::Priority;

const HEAD: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// Body limit; room for 128 parts that count as 512 bytes each.
const LIMIT: usize = 64 << 10;

fn chunked(parts: usize, bytes: usize) -> String {
    let chunk = format!("{bytes:x}\r\n{}\r\n", "x".repeat(bytes));
    format!("{HEAD}{}0\r\n\r\n", chunk.repeat(parts))
}

/// Guards against work without end for an answer of few bytes: each part costs as much as a larger
/// one does.
#[rstest]
#[case::few_tiny(100, 1, true)]
#[case::many_tiny(200, 1, false)]
#[case::few_large(15, 4_096, true)]
#[case::many_large(17, 4_096, false)]
#[tokio::test]
async fn parts_are_bounded(#[case] parts: usize, #[case] bytes: usize, #[case] fits: bool) {
    let acts = [Act::Request, write(chunked(parts, bytes)), Act::Hold];
    let (address, _) = serve(acts).await;
    let limits = Limits {
        body_bytes: LIMIT,
        ..Limits::default()
    };
    let service = Http::new("desk-1", address, limits);
    let call = Call {
        method: Method::GET,
        path: "/stock".into(),
        headers: HeaderMap::new(),
        body: "".into(),
        attempt: "a1".into(),
        priority: Priority::Normal,
        reuse: Reuse::Kept,
    };
    let answer = service.call(call).await.unwrap();
    match answer.into_body().collect().await {
        Ok(body) => assert!(fits && body.len() == parts * bytes, "{} bytes", body.len()),
        Err(error) => assert!(!fits && matches!(error, Error::Large { .. }), "{error}"),
    }
}
