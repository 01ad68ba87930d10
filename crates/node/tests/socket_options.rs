//! TCP options of the sockets of a node, read from the sockets themselves.

use std::net::{Ipv4Addr, SocketAddr};
use std::os::fd::{BorrowedFd, RawFd};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use node::front::listener::{Handler, Limit, serve};
use node::front::{Body, Caller};
use node::peer::{Inbox, Outbox, SharedCounts};
use platform::source::Source;
use rstest::rstest;
use socket::{CALLER, CALLER_WRITE_TIMEOUT, Options, PEER, UPSTREAM};
use socket2::{SockFilter, SockRef};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use upstream::link::{Call, Class, Host, Limits, Link, Reuse};
use upstream::path::Peer;
use upstream::relay::Router;
use upstream::relay::server::{Gate, Server};
use wire::seal::Seal;
use wire::{Frame, Incarnation, Upstream};

/// Time for a connection to be there.
const PATIENCE: Duration = Duration::from_secs(10);

/// Work of a handler.
const WORK: Duration = Duration::from_millis(300);

/// Body of a large answer in bytes.
const LARGE: usize = 64 << 20;

/// Time for which a slow caller reads nothing.
const SLOW_READER: Duration = Duration::from_secs(7);

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

const REQUEST: &[u8] = b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n";

/// Which end of a connection is looked for.
#[derive(Clone, Copy)]
enum End {
    /// The one that was connected to this address.
    To(SocketAddr),
    /// The one that was accepted at this address.
    At(SocketAddr),
}

/// Returns the options of a connection of this process, without keep-alive as `None`.
fn options(end: End) -> Option<Option<Options>> {
    let descriptors = std::fs::read_dir("/proc/self/fd").expect("a list of descriptors");
    let names = descriptors.filter_map(|entry| entry.ok()?.file_name().into_string().ok());
    names
        .filter_map(|name| name.parse::<RawFd>().ok())
        .find_map(|descriptor| read(descriptor, end))
}

#[allow(
    unsafe_code,
    reason = "the sockets belong to libraries, so that only their descriptors are known here"
)]
fn read(descriptor: RawFd, end: End) -> Option<Option<Options>> {
    // Safety: a descriptor that was closed meanwhile gives an error, and nothing is written.
    let descriptor = unsafe { BorrowedFd::borrow_raw(descriptor) };
    let socket = SockRef::from(&descriptor);
    let peer = socket.peer_addr().ok()?.as_socket()?;
    let local = socket.local_addr().ok()?.as_socket()?;
    let is_wanted = match end {
        End::To(address) => peer == address,
        End::At(address) => local == address,
    };
    if !is_wanted {
        return None;
    }
    if !socket.keepalive().ok()? {
        return Some(None);
    }
    Some(Some(Options {
        idle: socket.tcp_keepalive_time().ok()?,
        interval: socket.tcp_keepalive_interval().ok()?,
        probes: socket.tcp_keepalive_retries().ok()?,
        user_timeout: socket
            .tcp_user_timeout()
            .ok()?
            .filter(|time| !time.is_zero()),
    }))
}

async fn await_options(end: End) -> Option<Options> {
    let found = async {
        loop {
            if let Some(found) = options(end) {
                return found;
            }
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(PATIENCE, found).await.expect("a connection")
}

/// Accepts connections and never answers.
async fn silent_server() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("a port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        let mut held = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            held.push(stream);
        }
    });
    address
}

/// What the front's handler does.
#[derive(Clone, Copy)]
enum Handling {
    /// Answers after its work.
    Work,
    /// Answers with a body that no buffer holds.
    Large,
}

impl Handler for Handling {
    async fn handle(&self, _: Request<Incoming>, _: Caller) -> Response<Body> {
        match self {
            Self::Work => {
                sleep(WORK).await;
                Response::new(Body::full("ok"))
            }
            Self::Large => Response::new(Body::full(vec![0; LARGE])),
        }
    }
}

/// Starts a listener for callers.
async fn front(handling: Handling) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("a port");
    let address = listener.local_addr().expect("bound");
    let limit = Limit {
        connections: 4,
        header_bytes: 8192,
        header_time: PATIENCE,
    };
    tokio::spawn(async move {
        let (_stop, stopped) = watch::channel(false);
        serve(listener, limit, handling, None, stopped).await;
    });
    address
}

/// Guards against callers whose machine has gone and whose work goes on: nothing was set, so that only
/// the system's keep-alive of two hours would have noticed.
#[rstest]
#[tokio::test]
async fn callers_that_vanish_are_noticed() {
    let address = front(Handling::Work).await;
    let mut stream = TcpStream::connect(address).await.expect("a listener");
    for _ in 0..2 {
        stream.write_all(REQUEST).await.expect("an open connection");
        sleep(WORK / 3).await;
        // While it waits for an answer, the number of probes decides.
        assert_eq!(await_options(End::At(address)).await, Some(CALLER));
        let mut answer = [0; 512];
        let read = stream.read(&mut answer).await.expect("an answer");
        assert!(answer[..read].starts_with(b"HTTP/1.1 200"));
        // Once an answer was written, a slow reader has more time.
        let writing = Options {
            user_timeout: Some(CALLER_WRITE_TIMEOUT),
            ..CALLER
        };
        assert_eq!(await_options(End::At(address)).await, Some(writing));
    }
}

/// A caller that reads nothing for longer than a vanished one is noticed gets its whole answer.
#[rstest]
#[tokio::test]
async fn slow_reader_is_not_cut() {
    let address = front(Handling::Large).await;
    let mut stream = TcpStream::connect(address).await.expect("a listener");
    stream.write_all(REQUEST).await.expect("an open connection");
    sleep(SLOW_READER).await;
    let mut read = 0;
    let mut buffer = vec![0; 64 << 10];
    while read < LARGE {
        let part = stream.read(&mut buffer).await.expect("an open connection");
        assert!(part > 0, "cut after {read} bytes");
        read += part;
    }
}

/// Guards against connections to upstreams that lead nowhere and are kept for minutes.
#[rstest]
#[tokio::test]
async fn upstreams_that_vanish_are_noticed() {
    let address = silent_server().await;
    let link = Link::new("s1", address, Limits::default());
    let call = Call {
        class: Class::Ordinary,
        reuse: Reuse::Fresh,
        host: Host::Upstream,
        head: Some(PATIENCE),
        request: Request::new(Full::new(Bytes::new())),
    };
    let calling = tokio::spawn(async move { link.send(call).await.is_ok() });
    assert_eq!(await_options(End::To(address)).await, Some(UPSTREAM));
    calling.abort();
}

/// Lets all connections through.
#[derive(Clone)]
struct Open;

impl Gate for Open {
    fn admits(&self, _: &Upstream, _: SocketAddr) -> bool {
        true
    }
}

/// Accepts connections from all addresses but `hidden`, reads a request and answers after its work.
async fn hidden_server(hidden: Ipv4Addr) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("a port");
    // Loads the source address (`linux/filter.h`), and drops the packet where that is the one.
    let program = [
        SockFilter::new(0x20, 0, 0, 0xfff0_0000 + 12),
        SockFilter::new(0x15, 1, 0, u32::from(hidden)),
        SockFilter::new(0x06, 0, 0, u32::MAX),
        SockFilter::new(0x06, 0, 0, 0),
    ];
    let socket = SockRef::from(&listener);
    socket.attach_filter(&program).expect("a listener");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut request = [0; 1024];
                while stream.read(&mut request).await.is_ok_and(|bytes| bytes > 0) {
                    sleep(WORK).await;
                    let _ = stream.write_all(ANSWER).await;
                }
            });
        }
    });
    address
}

fn router(vm: &str, ip: Ipv4Addr) -> Arc<Router> {
    let seal = Seal::new(b"sixteen bytes at least", None).expect("a key");
    Router::new(Incarnation::new(vm, 1), "z", seal, Some(ip.into()))
}

/// Guards against a peer's machine that has gone while an upstream works for it through this node, and an
/// upstream's that has gone: the relay held both connections until its own limit, 75 s.
#[rstest]
#[tokio::test]
async fn ends_of_a_relay_that_vanish_are_noticed() {
    let [near, relay] = [1, 2].map(|last| Ipv4Addr::new(127, 94, 7, last));
    let upstream = hidden_server(near).await;
    let listener = TcpListener::bind((relay, 0)).await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let stop = watch::Sender::new(false);
    let server = Server::new(
        router("relay", relay),
        Open,
        Arc::default(),
        stop.subscribe(),
    );
    tokio::spawn(server.serve(listener));
    let partitioned = router("near", near);
    partitioned.set_peers([Peer {
        vm: "relay".into(),
        zone: "z".into(),
        address,
    }]);
    let limits = Limits {
        connect: Duration::from_millis(400),
        ..Limits::default()
    };
    let link = Link::new("s1", upstream, limits).routed(&partitioned);
    for _ in 0..2 {
        let link = link.clone();
        let call = Call {
            class: Class::Ordinary,
            reuse: Reuse::Kept,
            host: Host::Upstream,
            head: Some(PATIENCE),
            request: Request::new(Full::new(Bytes::new())),
        };
        let calling =
            tokio::spawn(async move { link.send(call).await?.into_body().collect().await });
        await_options(End::To(upstream)).await;
        sleep(WORK / 3).await;
        assert_eq!(await_options(End::To(upstream)).await, Some(UPSTREAM));
        assert_eq!(await_options(End::At(address)).await, Some(CALLER));
        let answer = calling.await.expect("no panic").expect("an answer");
        assert_eq!(answer, "ok");
        let writing = Options {
            user_timeout: Some(CALLER_WRITE_TIMEOUT),
            ..CALLER
        };
        assert_eq!(await_options(End::At(address)).await, Some(writing));
    }
}

/// Guards against a read of the platform on a connection that leads nowhere.
#[rstest]
#[tokio::test]
async fn platform_that_vanishes_is_noticed() {
    let address = silent_server().await;
    let http = platform::http::Http::new([address], platform::http::Limits::default());
    let reading = tokio::spawn(async move { http.members().await.is_ok() });
    assert_eq!(await_options(End::To(address)).await, Some(UPSTREAM));
    reading.abort();
}

/// Guards against connections between nodes that lead nowhere: frames were written to them for as long
/// as the system sends them again, a quarter of an hour.
#[rstest]
#[tokio::test]
async fn peers_that_vanish_are_noticed() {
    let seal = || Seal::new(b"sixteen bytes at least", None).expect("a key");
    let counts = SharedCounts::default();
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let inbox = Inbox::listen(any, seal(), 1 << 20, counts.clone(), |_: Frame| ()).await;
    let inbox = inbox.expect("a port");
    let mut outbox = Outbox::new(seal(), SharedCounts::default());
    outbox.set_peers([("b".into(), inbox.address())]);
    outbox.send(&Frame {
        from: Incarnation::new("a", 1),
        to: "b".into(),
        channel: 1,
        body: b"one".to_vec(),
    });
    let arrived = async {
        while counts.received.load(Ordering::Relaxed) == 0 {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(PATIENCE, arrived).await.expect("a frame");
    assert_eq!(await_options(End::To(inbox.address())).await, Some(PEER));
    assert_eq!(await_options(End::At(inbox.address())).await, Some(PEER));
}
