//! The sending side of the transport.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::rpc_params;
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use wire::seal::Seal;
use wire::{Frame, Vm};

use super::{METHOD, SharedCounts, add};

/// Frames that wait for one peer's connection; later ones are dropped.
const QUEUE_FRAMES: usize = 1024;

/// Time limit for one connection attempt and one write.
const STEP_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause after a failed connection attempt.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// The connections to the peers.
pub struct Outbox {
    seal: Seal,
    counts: SharedCounts,
    links: HashMap<Vm, Link>,
}

struct Link {
    address: SocketAddr,
    queue: mpsc::Sender<String>,
}

impl Outbox {
    /// Makes an outbox without connections.
    pub fn new(seal: Seal, counts: SharedCounts) -> Self {
        Self {
            seal,
            counts,
            links: HashMap::new(),
        }
    }

    /// Sets which peers there are; connections to others are closed.
    pub fn set_peers(&mut self, peers: impl IntoIterator<Item = (Vm, SocketAddr)>) {
        let mut links = HashMap::new();
        for (vm, address) in peers {
            let kept = self
                .links
                .remove(&vm)
                .filter(|link| link.address == address);
            let link = kept.unwrap_or_else(|| open_link(address, self.counts.clone()));
            links.insert(vm, link);
        }
        self.links = links;
    }

    /// Queues `frame` for its addressee, or drops it where that is not a peer or its queue is full.
    pub fn send(&self, frame: &Frame) {
        let queued = self
            .links
            .get(&frame.to)
            .is_some_and(|link| self.queue(link, frame));
        if !queued {
            add(&self.counts.dropped, 1);
        }
    }

    fn queue(&self, link: &Link, frame: &Frame) -> bool {
        let Ok(bytes) = wire::frame::encode(frame) else {
            return false;
        };
        let text = STANDARD_NO_PAD.encode(self.seal.close(bytes));
        let length = text.len() as u64;
        let queued = link.queue.try_send(text).is_ok();
        if queued {
            add(&self.counts.sent, 1);
            add(&self.counts.sent_bytes, length);
        }
        queued
    }
}

fn open_link(address: SocketAddr, counts: SharedCounts) -> Link {
    let (queue, frames) = mpsc::channel(QUEUE_FRAMES);
    tokio::spawn(run_link(address, frames, counts));
    Link { address, queue }
}

/// Sends queued frames until the outbox drops the link.
async fn run_link(address: SocketAddr, mut frames: mpsc::Receiver<String>, counts: SharedCounts) {
    let mut client = None;
    while let Some(text) = frames.recv().await {
        if client
            .as_ref()
            .is_none_or(|client: &WsClient| !client.is_connected())
        {
            client = connect(address).await;
        }
        let Some(open) = &client else {
            add(&counts.dropped, 1);
            drop_stale(&mut frames, &counts).await;
            continue;
        };
        let write = open.notification(METHOD, rpc_params![text]);
        if !matches!(tokio::time::timeout(STEP_TIMEOUT, write).await, Ok(Ok(()))) {
            add(&counts.dropped, 1);
            client = None;
        }
    }
}

/// Waits before the next attempt and drops what was queued meanwhile, which is out of date.
async fn drop_stale(frames: &mut mpsc::Receiver<String>, counts: &SharedCounts) {
    tokio::time::sleep(RECONNECT_DELAY).await;
    while frames.try_recv().is_ok() {
        add(&counts.dropped, 1);
    }
}

async fn connect(address: SocketAddr) -> Option<WsClient> {
    let url = format!("ws://{address}");
    let connecting = async {
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        socket::apply(&stream, &socket::PEER).ok()?;
        let builder = WsClientBuilder::default().connection_timeout(STEP_TIMEOUT);
        builder.build_with_stream(&url, stream).await.ok()
    };
    tokio::time::timeout(STEP_TIMEOUT, connecting).await.ok()?
}
