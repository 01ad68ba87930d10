//! Calls of the product's own front whose callers have left.

mod support;

use std::time::Duration;

use hyper::HeaderMap;
use rstest::rstest;
use standin::caller::Caller;
use standin::schedule::Nodes;
use support::Cluster;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Calls that are sent and left.
const CALLS: usize = 12;

async fn send(cluster: &Cluster, key: &str) -> TcpStream {
    let address = cluster.entries()[0].address;
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let text = format!(
        "POST /lending/checkouts HTTP/1.1\r\nhost: a\r\nx-caller: c1\r\n\
         idempotency-key: {key}\r\ncontent-length: 2\r\n\r\n{{}}"
    );
    stream.write_all(text.as_bytes()).await.expect("written");
    stream
}

fn runs(cluster: &Cluster, prefix: &str) -> usize {
    let services = cluster.fleet.site.services.iter();
    let runs = services.flat_map(|service| service.runs());
    runs.filter(|(key, _)| key.contains(prefix)).count()
}

/// Guards against calls that may run once and are read after their callers have left, since the process
/// stood still, and run all the same (GONE).
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn claimed_call_needs_its_caller() {
    let mut cluster = Cluster::start(1).await;
    let caller = Caller::new("c1", HeaderMap::new(), Duration::from_secs(10));
    let prefix = cluster.key_prefix(&caller).await;
    let mut waiting = send(&cluster, &format!("{prefix}stays")).await;
    let mut head = [0; 12];
    let read = timeout(Duration::from_secs(10), waiting.read_exact(&mut head));
    read.await.expect("in time").expect("an answer");
    assert_eq!(
        runs(&cluster, "stays"),
        1,
        "{}",
        String::from_utf8_lossy(&head)
    );
    cluster.processes.pause(0).await;
    for number in 0..CALLS {
        drop(send(&cluster, &format!("{prefix}left-{number}")).await);
    }
    sleep(Duration::from_millis(300)).await;
    cluster.processes.resume(0).await;
    sleep(Duration::from_secs(3)).await;
    assert_eq!(runs(&cluster, "left"), 0, "of {CALLS} calls run");
}
