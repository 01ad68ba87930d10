//! Frames between two nodes over real sockets.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use node::peer::{Inbox, Outbox, SharedCounts};
use tokio::sync::mpsc;
use wire::seal::Seal;
use wire::{Frame, Incarnation};

const ANY: &str = "127.0.0.1:0";
const FRAME_BYTES: u32 = 1 << 20;
const PATIENCE: Duration = Duration::from_secs(10);

fn seal(key: &str) -> Seal {
    Seal::new(key.as_bytes(), None).unwrap()
}

fn frame(body: &[u8]) -> Frame {
    Frame {
        from: Incarnation::new("a", 1),
        to: "b".into(),
        channel: 1,
        body: body.to_vec(),
    }
}

async fn inbox(key: &str) -> (Inbox, SharedCounts, mpsc::UnboundedReceiver<Frame>) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let counts = SharedCounts::default();
    let address: SocketAddr = ANY.parse().unwrap();
    let sink = move |frame| sender.send(frame).unwrap();
    let inbox = Inbox::listen(address, seal(key), FRAME_BYTES, counts.clone(), sink);
    (inbox.await.unwrap(), counts, receiver)
}

#[tokio::test]
async fn frames_arrive() {
    let (inbox, counts, mut frames) = inbox("the same key on both").await;
    let mut outbox = Outbox::new(seal("the same key on both"), SharedCounts::default());
    outbox.set_peers([("b".into(), inbox.address())]);
    for body in [&b"one"[..], b"two"] {
        outbox.send(&frame(body));
    }
    let first = tokio::time::timeout(PATIENCE, frames.recv())
        .await
        .unwrap()
        .unwrap();
    let second = tokio::time::timeout(PATIENCE, frames.recv())
        .await
        .unwrap()
        .unwrap();
    assert_eq!((first, second), (frame(b"one"), frame(b"two")));
    assert_eq!(counts.refused.load(Ordering::Relaxed), 0);
}

#[tokio::test]
async fn foreign_key() {
    let (inbox, counts, mut frames) = inbox("the key of this fleet").await;
    let mut outbox = Outbox::new(seal("some other fleet's key"), SharedCounts::default());
    outbox.set_peers([("b".into(), inbox.address())]);
    outbox.send(&frame(b"order"));
    tokio::time::timeout(PATIENCE, async {
        while counts.refused.load(Ordering::Relaxed) == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    })
    .await
    .unwrap();
    assert!(frames.try_recv().is_err());
}

#[tokio::test]
async fn unknown_peer() {
    let counts = SharedCounts::default();
    let outbox = Outbox::new(seal("the key of this fleet"), counts.clone());
    outbox.send(&frame(b"order"));
    assert_eq!(counts.dropped.load(Ordering::Relaxed), 1);
}
