//! What a listener tells of callers that leave.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response};
use node::front::listener::{Handler, Limit, serve};
use node::front::{Body, Caller};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

const REQUEST: &str = "GET /x HTTP/1.1\r\nhost: a\r\n\r\n";

/// Time in which the end of a connection shows.
const SOON: Duration = Duration::from_millis(200);

/// What a handler does with its requests.
#[derive(Clone, Copy)]
enum Manner {
    /// Never answers.
    Waits,
    /// Holds the only thread for so long, and looks at the caller then.
    Blocks(Duration),
    /// Looks at the caller, and answers after a moment.
    Answers,
}

#[derive(Clone)]
struct Watcher {
    manner: Manner,
    callers: Arc<Mutex<Vec<Caller>>>,
    /// What the looks gave.
    left: Arc<Mutex<Vec<bool>>>,
    /// Requests whose handling was broken off.
    dropped: Arc<Mutex<usize>>,
}

struct Guard(Arc<Mutex<usize>>);

impl Drop for Guard {
    fn drop(&mut self) {
        *self.0.lock().expect("unpoisoned") += 1;
    }
}

impl Handler for Watcher {
    async fn handle(&self, _: Request<Incoming>, caller: Caller) -> Response<Body> {
        self.callers
            .lock()
            .expect("unpoisoned")
            .push(caller.clone());
        let guard = Guard(self.dropped.clone());
        match self.manner {
            Manner::Waits => std::future::pending().await,
            Manner::Blocks(time) => std::thread::sleep(time),
            Manner::Answers => sleep(Duration::from_millis(20)).await,
        }
        let left = caller.has_left();
        self.left.lock().expect("unpoisoned").push(left);
        std::mem::forget(guard);
        Response::new(Body::full("ok"))
    }
}

async fn start(manner: Manner) -> (Watcher, SocketAddr, watch::Sender<bool>) {
    let watcher = Watcher {
        manner,
        callers: Arc::default(),
        left: Arc::default(),
        dropped: Arc::default(),
    };
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("a port");
    let address = listener.local_addr().expect("bound");
    let limit = Limit {
        connections: 16,
        header_bytes: 8192,
        header_time: Duration::from_secs(5),
    };
    let stop = watch::Sender::new(false);
    tokio::spawn(serve(
        listener,
        limit,
        watcher.clone(),
        None,
        stop.subscribe(),
    ));
    (watcher, address, stop)
}

async fn send(address: SocketAddr, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(text.as_bytes()).await.expect("written");
    stream
}

/// Guards against a request that is worked on although its caller has left, where bytes of a next
/// request lie before the end of the connection.
#[rstest]
#[case::alone("")]
#[case::next_request(REQUEST)]
#[case::part_of_a_request("GET /y HT")]
#[case::many_bytes("x-long: 0123456789012345678901234567890123456789\r\n")]
#[tokio::test]
async fn end_is_noticed(#[case] further: &str) {
    let (watcher, address, _stop) = start(Manner::Waits).await;
    let text = format!("{REQUEST}{}", further.repeat(100));
    let stream = send(address, &text).await;
    sleep(SOON).await;
    let caller = watcher.callers.lock().expect("unpoisoned")[0].clone();
    assert!(!caller.has_left(), "it is there");
    assert!(caller.left_at().is_none());
    drop(stream);
    timeout(SOON, caller.left()).await.expect("it has left");
    assert!(caller.has_left());
    assert!(caller.left_at().is_some());
    assert_eq!(*watcher.dropped.lock().expect("unpoisoned"), 1);
}

/// Guards against a process that was late and takes callers for present whose leaving it has not read.
#[rstest]
#[tokio::test]
async fn unread_end_counts() {
    let (watcher, address, _stop) = start(Manner::Blocks(Duration::from_millis(300))).await;
    let caller = std::thread::spawn(move || {
        use std::io::Write;
        let mut stream = std::net::TcpStream::connect(address).expect("a connection");
        stream.write_all(REQUEST.as_bytes()).expect("written");
        std::thread::sleep(Duration::from_millis(100));
    });
    sleep(Duration::from_millis(600)).await;
    caller.join().expect("no panic");
    assert_eq!(*watcher.left.lock().expect("unpoisoned"), [true]);
}

/// Guards against bytes that were read to look for the end of a connection and are lost.
#[rstest]
#[tokio::test]
async fn bytes_read_ahead_are_served(#[values(1, 2, 30)] count: usize) {
    let (watcher, address, _stop) = start(Manner::Answers).await;
    let mut stream = send(address, &REQUEST.repeat(count)).await;
    let mut text = String::new();
    let mut buffer = [0; 4096];
    while text.matches("HTTP/1.1 200").count() < count {
        let read = timeout(Duration::from_secs(5), stream.read(&mut buffer));
        let read = read.await.expect("in time").expect("bytes");
        assert!(read > 0, "closed after {text:?}");
        text.push_str(&String::from_utf8_lossy(&buffer[..read]));
    }
    assert!(
        watcher
            .left
            .lock()
            .expect("unpoisoned")
            .iter()
            .all(|left| !left)
    );
}
