//! Answers without a length, which end with their connection.

mod support;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::thread;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Method};
use rstest::rstest;
use support::relay::{KEY, Listed, Member, answer, call, ms, own_ip};
use support::{Act, hide, serve, write};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Builder;
use tokio::sync::oneshot;
use tokio::time::sleep;
use upstream::link::{Link, Reuse};
use upstream::path::Peer;
use upstream::relay::Router;
use upstream::{Engine, Error, Limits, Service, engine, service};
use wire::seal::Seal;
use wire::{Incarnation, Priority};

/// The beginning of an answer that ends with its connection.
const BEGUN: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nbegun";

/// Calls of the test of direct connections.
const CALLS: usize = 200;

/// A relaying peer as a process of its own, which can be ended.
struct Process {
    relay: Member,
    end: oneshot::Sender<()>,
    thread: thread::JoinHandle<()>,
}

impl Process {
    async fn start(listed: Listed) -> Self {
        let (given, taken) = oneshot::channel();
        let (end, ended) = oneshot::channel();
        let thread = thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(async {
                let relay = Member::start("relay", own_ip(), KEY, listed).await;
                given.send(relay).ok().unwrap();
                let _ = ended.await;
            });
        });
        Self {
            relay: taken.await.unwrap(),
            end,
            thread,
        }
    }

    /// Ends it: no task of it runs any more, and the system closes its sockets.
    fn kill(self) {
        self.end.send(()).unwrap();
        self.thread.join().unwrap();
    }
}

/// How a relaying peer ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// Its process ends.
    Killed,
    /// It leaves while the upstream is silent.
    Leaves,
}

async fn begin(listener: &TcpListener) -> TcpStream {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut part = [0; 1024];
    assert!(stream.read(&mut part).await.unwrap() > 0);
    stream.write_all(BEGUN.as_bytes()).await.unwrap();
    stream
}

fn limits() -> Limits {
    Limits {
        connect: ms(400),
        ..Limits::default()
    }
}

fn router(near: Ipv4Addr, relay: Peer) -> Arc<Router> {
    let seal = Seal::new(KEY, None).unwrap();
    let router = Router::new(Incarnation::new("near", 1), "z", seal, Some(near.into()));
    router.set_peers([relay]);
    router
}

fn link(near: Ipv4Addr, upstream: SocketAddr, relay: Peer) -> Link {
    Link::new("u", upstream, limits()).routed(&router(near, relay))
}

/// What is read by a connection that a peer relays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Read {
    /// An answer to a request.
    Answer,
    /// A KV cache of the product's own engines.
    Export,
}

async fn read(read: Read, router: &Arc<Router>, address: SocketAddr) -> Result<Bytes, Error> {
    match read {
        Read::Answer => answer(&Link::new("u", address, limits()).routed(router)).await,
        Read::Export => {
            let engine = engine::Http::new("u", address, limits(), ms(2_000));
            engine.routed(router).export("a").await
        }
    }
}

/// Guards against the beginning of an answer that is passed on as the whole, since the peer that relays its
/// connection ends (incident of MIXED and ORDER).
#[rstest]
#[case::killed(End::Killed)]
#[case::leaving(End::Leaves)]
#[tokio::test]
async fn end_of_a_relay_ends_no_answer(
    #[case] end: End,
    #[values(Read::Answer, Read::Export)] reads: Read,
) {
    let near = own_ip();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    hide(&listener, near);
    let address = listener.local_addr().unwrap();
    let process = Process::start(Listed("u".into(), address)).await;
    let router = router(near, process.relay.peer.clone());
    let server = async {
        let stream = begin(&listener).await;
        sleep(ms(50)).await;
        if end == End::Leaves {
            process.relay.stop.send_replace(true);
            sleep(ms(2_500)).await;
        }
        process.kill();
        sleep(ms(200)).await;
        drop(stream);
    };
    let (answer, ()) = tokio::join!(read(reads, &router, address), server);
    let error = answer.unwrap_err();
    assert!(matches!(error, Error::Cut { .. }), "{error}");
}

/// Guards against the same where the upstream itself resets a direct connection, at once or a moment after
/// its last bytes.
#[rstest]
#[case::at_once(0)]
#[case::later(1)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reset_answer_is_not_whole(#[case] pause: u64) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let stream = begin(&listener).await;
            if pause > 0 {
                sleep(ms(pause)).await;
            }
            stream.set_zero_linger().unwrap();
        }
    });
    let link = Link::new("u", address, Limits::default());
    for _ in 0..CALLS {
        answer(&link).await.unwrap_err();
    }
}

/// Relays one connection as earlier releases do: it ends in good order when the relay's process ends, and the
/// answer that opens it says nothing of its end.
async fn relay_of_an_earlier_release(listener: TcpListener, answer: &str) {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut part = [0; 1024];
    assert!(stream.read(&mut part).await.unwrap() > 0);
    stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await.unwrap();
    assert!(stream.read(&mut part).await.unwrap() > 0);
    stream.write_all(answer.as_bytes()).await.unwrap();
}

/// Guards against the same where the peer is of a release that ends connections in good order in any case, while
/// the nodes are replaced one after the other.
#[rstest]
#[case::without_a_length(BEGUN, false)]
#[case::with_a_length("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nbegun", true)]
#[tokio::test]
async fn end_that_is_not_told_apart_ends_no_answer(#[case] text: &str, #[case] whole: bool) {
    let near = own_ip();
    let upstream = TcpListener::bind("127.0.0.1:0").await.unwrap();
    hide(&upstream, near);
    let address = upstream.local_addr().unwrap();
    let relay = TcpListener::bind((own_ip(), 0)).await.unwrap();
    let peer = Peer {
        vm: "relay".into(),
        zone: "z".into(),
        address: relay.local_addr().unwrap(),
    };
    let link = link(near, address, peer);
    let (answer, ()) = tokio::join!(answer(&link), relay_of_an_earlier_release(relay, text));
    match answer {
        Ok(body) => assert!(whole, "{body:?}"),
        Err(error) => assert!(!whole && matches!(error, Error::Cut { .. }), "{error}"),
    }
}

/// The same where the request's body is still being written: the write may meet the reset before the read does.
#[rstest]
#[case::at_once(0)]
#[case::later(2)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reset_answer_to_half_a_request_is_not_whole(#[case] pause: u64) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let mut stream = begin(&listener).await;
            sleep(ms(pause)).await;
            // The writer goes on for a while.
            let mut part = [0; 16 << 10];
            let _ = stream.read(&mut part).await;
            stream.set_zero_linger().unwrap();
        }
    });
    let link = Link::new("u", address, Limits::default());
    for _ in 0..CALLS {
        let mut call = call();
        *call.request.body_mut() = Full::new(Bytes::from(vec![0; 8 << 20]));
        let answered = async { link.send(call).await?.into_body().collect().await };
        answered.await.unwrap_err();
    }
}

/// Guards against the beginning of a service's answer that is passed on as the whole, since a header names a
/// transfer encoding that has no end of its own (incident of MIXED and ORDER).
#[rstest]
#[case::nothing("", false)]
#[case::other_encoding("transfer-encoding: gzip\r\n", false)]
#[case::chunks("transfer-encoding: gzip, chunked\r\n", true)]
#[case::length("content-length: 5\r\n", true)]
#[tokio::test]
async fn service_tells_where_its_answer_ends(#[case] line: &str, #[case] told: bool) {
    let text = format!("HTTP/1.1 200 OK\r\n{line}\r\nbegun");
    let (address, _) = serve([Act::Request, write(&text)]).await;
    let service = service::Http::new("u", address, Limits::default());
    let answer = service.call(service::Call {
        method: Method::GET,
        path: "/".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        attempt: "a".into(),
        priority: Priority::Normal,
        reuse: Reuse::Fresh,
    });
    match answer.await {
        Ok(answer) => assert!(told, "{answer:?}"),
        Err(error) => assert!(!told && matches!(error, Error::Malformed { .. }), "{error}"),
    }
}
