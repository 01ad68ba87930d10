//! What becomes of callers that cross the close of a listener.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response};
use node::front::listener::{Handler, Limit, serve};
use node::front::{Body, Caller};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

const LIMIT: Limit = Limit {
    connections: 64,
    header_bytes: 8192,
    header_time: Duration::from_secs(5),
};

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";

#[derive(Clone)]
struct Fixed;

impl Handler for Fixed {
    async fn handle(&self, _: Request<Incoming>, _: Caller) -> Response<Body> {
        Response::new(Body::full("served"))
    }
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Sends a request and returns whether it was answered.
async fn is_answered(mut stream: TcpStream) -> bool {
    if stream.write_all(REQUEST).await.is_err() {
        return false;
    }
    let mut text = vec![0; 512];
    let read = timeout(Duration::from_secs(5), stream.read(&mut text)).await;
    matches!(read, Ok(Ok(count)) if text[..count].starts_with(b"HTTP/1.1 200"))
}

/// Guards against callers that connected before the close and were dropped without an answer,
/// since their connections had not been accepted yet.
#[tokio::test]
async fn waiting_connections_are_served() {
    let (listener, address) = listen().await;
    let mut streams = Vec::new();
    for _ in 0..32 {
        streams.push(TcpStream::connect(address).await.unwrap());
    }
    let (_stop, stopped) = watch::channel(true);
    let serving = tokio::spawn(serve(listener, LIMIT, Fixed, None, stopped));
    for stream in streams {
        assert!(is_answered(stream).await);
    }
    timeout(Duration::from_secs(5), serving)
        .await
        .unwrap()
        .unwrap();
}

/// Guards against a caller whose first request is under way at the close being dropped without an
/// answer.
#[tokio::test]
async fn request_under_way_is_served() {
    let (listener, address) = listen().await;
    let (stop, stopped) = watch::channel(false);
    let serving = tokio::spawn(serve(listener, LIMIT, Fixed, None, stopped));
    let stream = TcpStream::connect(address).await.unwrap();
    sleep(Duration::from_millis(50)).await;
    stop.send_replace(true);
    sleep(Duration::from_millis(10)).await;
    assert!(is_answered(stream).await);
    timeout(Duration::from_secs(5), serving)
        .await
        .unwrap()
        .unwrap();
}
