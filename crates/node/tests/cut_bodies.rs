//! Streamed answers whose sender stops before they are whole.

use std::io::ErrorKind;
use std::net::Ipv4Addr;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, Response};
use node::front::listener::{Handler, Limit, serve};
use node::front::{Body, Caller};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

const LIMIT: Limit = Limit {
    connections: 64,
    header_bytes: 8192,
    header_time: Duration::from_secs(5),
};

/// The last chunk of a body.
const LAST: &str = "0\r\n\r\n";

/// How the sender of a body stops after its first part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stop {
    Drops,
    Panics,
    Finishes,
}

#[derive(Clone)]
struct Begin(Stop);

impl Handler for Begin {
    async fn handle(&self, _: Request<Incoming>, _: Caller) -> Response<Body> {
        let stop = self.0;
        let (sender, body) = Body::stream();
        tokio::spawn(async move {
            sender.send(Bytes::from_static(b"begun")).await.unwrap();
            sleep(Duration::from_millis(20)).await;
            match stop {
                Stop::Drops => drop(sender),
                Stop::Panics => panic!("on purpose"),
                Stop::Finishes => sender.finish().await,
            }
        });
        Response::new(body)
    }
}

/// Sends a request and returns the text that came until the connection ended, and its error if there was one.
async fn ask(stop: Stop, version: &str) -> (String, Option<ErrorKind>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let (_leave, stopped) = watch::channel(false);
    tokio::spawn(serve(listener, LIMIT, Begin(stop), None, stopped));
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!("GET / HTTP/{version}\r\nhost: x\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut text = Vec::new();
    let read = stream.read_to_end(&mut text).await;
    let text = String::from_utf8(text).unwrap();
    (text, read.err().map(|error| error.kind()))
}

/// Guards against an answer that is ended as whole since the task that passes it on has ended, by a panic or
/// with its process.
#[rstest]
#[case::drops(Stop::Drops, false)]
#[case::panics(Stop::Panics, false)]
#[case::finishes(Stop::Finishes, true)]
#[tokio::test]
async fn dropped_sender_cuts_the_body(#[case] stop: Stop, #[case] whole: bool) {
    let (text, _) = ask(stop, "1.1").await;
    assert!(text.contains("begun"), "{text}");
    assert_eq!(text.ends_with(LAST), whole, "{text}");
}

/// Guards against the same for callers of HTTP/1.0, whose answers end with their connection.
#[rstest]
#[case::drops(Stop::Drops, Some(ErrorKind::ConnectionReset))]
#[case::finishes(Stop::Finishes, None)]
#[tokio::test]
async fn cut_body_resets_an_old_connection(#[case] stop: Stop, #[case] end: Option<ErrorKind>) {
    let (text, error) = ask(stop, "1.0").await;
    assert!(text.ends_with("begun"), "{text}");
    assert_eq!(error, end);
}
