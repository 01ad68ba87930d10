//! What the proxy does to connections.

use std::net::SocketAddr;
use std::time::Duration;

use rstest::rstest;
use standin::proxy::{Fabric, Fault, Link, Pass, Proxy};
use standin::site::loopback;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, timeout};

const PATIENT: Duration = Duration::from_secs(20);
const QUICK: Duration = Duration::from_millis(100);

/// Echoes what it gets.
async fn echo() -> SocketAddr {
    let listener = TcpListener::bind(loopback(0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                let _ = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    address
}

async fn proxy(fault: Fault) -> Proxy {
    Proxy::start(loopback(0), echo().await, fault, 1)
        .await
        .unwrap()
}

/// Sends and reads an echo; `None` where nothing comes in time, an error where the end comes.
async fn ping(stream: &mut TcpStream, limit: Duration) -> Option<std::io::Result<[u8; 4]>> {
    let mut got = [0; 4];
    let exchange = async {
        stream.write_all(b"ping").await?;
        stream.read_exact(&mut got).await
    };
    let done = timeout(limit, exchange).await.ok()?;
    Some(done.map(|_| got))
}

async fn connect(address: SocketAddr) -> TcpStream {
    TcpStream::connect(address).await.unwrap()
}

#[tokio::test]
async fn sound_link_passes_everything_and_both_ends() {
    let proxy = proxy(Fault::default()).await;
    let mut stream = connect(proxy.address()).await;
    let sent: Vec<u8> = (0..200_000u32).map(|byte| byte as u8).collect();
    let (mut read, mut write) = stream.split();
    let mut got = Vec::new();
    let send = async {
        write.write_all(&sent).await.unwrap();
        write.shutdown().await.unwrap();
    };
    let ((), bytes) = tokio::join!(send, read.read_to_end(&mut got));
    assert_eq!(bytes.unwrap(), sent.len());
    assert_eq!(got, sent);
}

#[tokio::test]
async fn latency_delays_each_way() {
    let latency = Duration::from_millis(250);
    let fault = Fault {
        latency_us: latency.as_micros() as u64,
        ..Fault::default()
    };
    let proxy = proxy(fault).await;
    let mut stream = connect(proxy.address()).await;
    let begun = Instant::now();
    ping(&mut stream, PATIENT).await.unwrap().unwrap();
    assert!(begun.elapsed() >= 2 * latency);
    proxy.control().set(Fault::default());
    let begun = Instant::now();
    ping(&mut stream, PATIENT).await.unwrap().unwrap();
    assert!(begun.elapsed() < 2 * latency);
}

#[rstest]
#[case::half_open(Pass::Neither)]
#[case::only_there(Pass::ToTarget)]
#[case::only_back(Pass::FromTarget)]
#[tokio::test]
async fn held_bytes_pass_once_the_fault_is_lifted(#[case] pass: Pass) {
    let proxy = proxy(Fault::default()).await;
    let mut open = connect(proxy.address()).await;
    ping(&mut open, PATIENT).await.unwrap().unwrap();
    proxy.control().set(Fault {
        pass,
        ..Fault::default()
    });
    let mut fresh = connect(proxy.address()).await;
    assert!(ping(&mut open, QUICK).await.is_none());
    assert!(ping(&mut fresh, QUICK).await.is_none());
    proxy.control().set(Fault::default());
    let mut late = [0; 4];
    timeout(PATIENT, open.read_exact(&mut late))
        .await
        .unwrap()
        .unwrap();
    assert_eq!(&late, b"ping");
}

#[tokio::test]
async fn cut_and_refused_connections_end() {
    let proxy = proxy(Fault::default()).await;
    let mut stream = connect(proxy.address()).await;
    ping(&mut stream, PATIENT).await.unwrap().unwrap();
    proxy.control().cut();
    assert!(ping(&mut stream, PATIENT).await.unwrap().is_err());
    let mut again = connect(proxy.address()).await;
    ping(&mut again, PATIENT).await.unwrap().unwrap();
    proxy.control().set(Fault {
        pass: Pass::Refuse,
        ..Fault::default()
    });
    let mut refused = connect(proxy.address()).await;
    assert!(ping(&mut refused, PATIENT).await.unwrap().is_err());
}

#[tokio::test]
async fn link_cuts_after_so_many_bytes() {
    let fault = Fault {
        cut_after: Some(6),
        ..Fault::default()
    };
    let proxy = proxy(fault).await;
    let mut stream = connect(proxy.address()).await;
    ping(&mut stream, PATIENT).await.unwrap().unwrap();
    stream.write_all(b"ping").await.unwrap();
    let mut rest = Vec::new();
    // The end may come as a reset.
    let _ = timeout(PATIENT, stream.read_to_end(&mut rest))
        .await
        .unwrap();
    assert_eq!(rest, b"pi");
}

#[tokio::test]
async fn partition_separates_groups_only() {
    let fabric = Fabric::start(loopback(0), 1).await.unwrap();
    let target = echo().await;
    let mut streams = Vec::new();
    for (from, to) in [("a", "b"), ("a", "c"), ("c", "b"), ("a", "free")] {
        let link = Link {
            name: format!("{from}-{to}"),
            from: from.into(),
            to: to.into(),
            listen: loopback(0),
            target,
            fault: Fault::default(),
        };
        let mut stream = connect(fabric.open(link).await.unwrap()).await;
        ping(&mut stream, PATIENT).await.unwrap().unwrap();
        streams.push(stream);
    }
    let group = |names: &[&str]| names.iter().map(|name| name.to_string()).collect();
    fabric.partition([group(&["a", "b"]), group(&["c"])]);
    let mut passes = Vec::new();
    for (stream, limit) in streams.iter_mut().zip([PATIENT, QUICK, QUICK, PATIENT]) {
        passes.push(ping(stream, limit).await.is_some());
    }
    assert_eq!(passes, [true, false, false, true]);
    fabric.partition([]);
    let mut held = [0; 4];
    timeout(PATIENT, streams[1].read_exact(&mut held))
        .await
        .unwrap()
        .unwrap();
    assert!(fabric.cut("a-b") && !fabric.cut("none"));
}
