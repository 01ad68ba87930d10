//! What becomes of a call that is given up, or no longer wanted when its connection is there.

mod support;

use std::io::ErrorKind;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use rstest::rstest;
use support::{Act, count, serve};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use upstream::link::{Call, Class, Host, Link, Reuse};
use upstream::{Error, Limits, Reach};

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

fn call() -> Call {
    Call {
        class: Class::Ordinary,
        reuse: Reuse::Kept,
        host: Host::Upstream,
        head: Some(Duration::from_millis(100)),
        request: Request::new(Full::new(Bytes::new())),
    }
}

/// Answers with `answer`, and returns how the connection ended.
async fn ending(mut stream: TcpStream, answer: &[u8]) -> Option<ErrorKind> {
    let mut part = [0; 1024];
    assert!(stream.read(&mut part).await.unwrap() > 0);
    stream.write_all(answer).await.unwrap();
    loop {
        match stream.read(&mut part).await {
            Ok(0) => return None,
            Ok(_) => {}
            Err(error) => return Some(error.kind()),
        }
    }
}

/// Bytes that a closed connection still delivers once a partition heals would be an order or a
/// request that was given up long ago; only a reset drops them.
#[rstest]
#[case::without_an_answer(b"", Some(ErrorKind::ConnectionReset))]
#[case::in_the_body(&ANSWER[..ANSWER.len() - 1], Some(ErrorKind::ConnectionReset))]
#[case::after_the_answer(ANSWER, None)]
#[tokio::test]
async fn given_up_call_is_reset(#[case] answer: &[u8], #[case] expected: Option<ErrorKind>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let limits = Limits {
        body: Duration::from_millis(100),
        ..Limits::default()
    };
    let client = async {
        let link = Link::new("upstream-1", address, limits);
        if let Ok(response) = link.send(call()).await {
            // The end of the connection tells what came of it.
            let _ = response.into_body().collect().await;
        }
    };
    let server = async {
        let (stream, _) = listener.accept().await.unwrap();
        ending(stream, answer).await
    };
    let ((), ended) = tokio::join!(client, server);
    assert_eq!(ended, expected);
}

#[tokio::test]
async fn unwanted_call_is_not_written() {
    let (address, seen) = serve(vec![Act::Request, Act::Hold]).await;
    let link = Link::new("upstream-1", address, Limits::default());
    let error = link.send_if(call(), |_| false).await.unwrap_err();
    assert!(matches!(error, Error::Withdrawn { .. }), "{error}");
    assert_eq!(error.reach(), Reach::NotSent);
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(count(&seen.requests), 0);
}
