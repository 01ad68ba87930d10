//! Messages between nodes: sealed frames in single datagrams.
//!
//! Delivery is best effort; the machines repeat what matters. A datagram has no connection that
//! could fall silent, and costs one system call on each side.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use exchange::bulk_pace::BulkPace;
use node::clock::Clock;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::sync::Mutex;
use wire::frame::{decode, encode};
use wire::seal::Seal;
use wire::{Frame, Incarnation, Vm};

/// Largest datagram in bytes: what UDP carries over IPv4.
const BYTES_MAX: usize = 65_507;

/// The machine that a message is for. Variants are encoded by position: new ones must be added at the
/// end.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Message {
    /// Membership.
    Roster(roster::Message),
    /// Members found by seeds.
    Seeds(roster::seeds::Message),
    /// Ownership of engines.
    Owner(exchange::owner::Message),
    /// Updates of earlier releases, which state no era, are not read.
    Retired,
    /// What requests that crash upstreams have in common.
    Culprit(dispatch::culprit::Message),
    /// An upstream has said that it leaves.
    Leaver(crate::hub::Leaver),
    /// Quotas of tenants.
    Quota(exchange::quota::Message),
    /// Rates that upstreams announce.
    Rate(exchange::announced_rate::Message),
    /// What a reader of the platform knows.
    Update(exchange::platform_reader::ReaderUpdate),
    /// A configuration from node to node.
    Config(exchange::config_transfer::Message),
    /// Releases that streams began at.
    Origin(exchange::stream_origin::Message),
    /// Permits for requests at brittle upstreams.
    Permit(exchange::permit::Message),
}

/// Pause after an error of the socket: short beside the silence after which peers count as dead.
const ERROR_PAUSE: Duration = Duration::from_millis(2);

/// Number of [`Message`] in frames; other machines of the product have lower ones.
const CHANNEL: u8 = 16;

impl Message {
    /// Number of kinds.
    pub const KINDS: usize = 12;

    /// Names of the kinds, as used in metrics.
    pub const KIND_NAMES: [&str; Self::KINDS] = [
        "roster", "seeds", "owner", "retired", "culprit", "leaver", "quota", "rate", "update",
        "config", "origin", "permit",
    ];

    /// Returns the index of its kind.
    const fn kind(&self) -> usize {
        match self {
            Self::Roster(_) => 0,
            Self::Seeds(_) => 1,
            Self::Owner(_) => 2,
            Self::Retired => 3,
            Self::Culprit(_) => 4,
            Self::Leaver(_) => 5,
            Self::Quota(_) => 6,
            Self::Rate(_) => 7,
            Self::Update(_) => 8,
            Self::Config(_) => 9,
            Self::Origin(_) => 10,
            Self::Permit(_) => 11,
        }
    }
}

/// Counts of the transport.
#[derive(Debug, Default)]
pub struct Counts {
    /// Bytes sent, by kind of message.
    pub bytes: [AtomicU64; Message::KINDS],
    /// Datagrams sent.
    pub sent: AtomicU64,
    /// Datagrams taken in.
    pub received: AtomicU64,
    /// Datagrams that could not be sent.
    pub dropped: AtomicU64,
    /// Datagrams refused because their tag or form was wrong.
    pub refused: AtomicU64,
    /// Errors of the socket while it waits for datagrams.
    pub failed: AtomicU64,
}

/// The socket towards other nodes.
pub struct Post {
    me: Incarnation,
    socket: UdpSocket,
    seal: Seal,
    counts: Counts,
    clock: Clock,
    /// Held by the task that waits for its turn, so that bulk data go out in the order of the tasks.
    pace: Mutex<BulkPace>,
}

impl Post {
    /// Binds `address` on a machine whose link carries so many bits per second.
    ///
    /// # Errors
    ///
    /// Returns the system's error where it cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        me: Incarnation,
        seal: Seal,
        clock: Clock,
        link_bits_per_second: f64,
    ) -> std::io::Result<Arc<Self>> {
        Ok(Arc::new(Self {
            me,
            socket: UdpSocket::bind(address).await?,
            seal,
            counts: Counts::default(),
            clock,
            pace: Mutex::new(BulkPace::new(link_bits_per_second)),
        }))
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// Returns the system's error where the socket has none.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Returns what was sent and received.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Sends a message to `vm` at `address`; an empty name addresses whoever is there. Returns the number
    /// of bytes sent.
    pub fn send(&self, vm: &Vm, address: SocketAddr, message: &Message) -> usize {
        let frame = |body| Frame {
            from: self.me.clone(),
            to: vm.clone(),
            channel: CHANNEL,
            body,
        };
        let sent = encode(message)
            .and_then(|body| encode(&frame(body)))
            .ok()
            .and_then(|bytes| {
                let sealed = self.seal.close(bytes);
                self.socket.try_send_to(&sealed, address).ok()
            });
        let counter = match sent {
            Some(bytes) => {
                self.counts.bytes[message.kind()].fetch_add(bytes as u64, Ordering::Relaxed);
                &self.counts.sent
            }
            None => &self.counts.dropped,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        sent.unwrap_or_default()
    }

    /// Sends a message that is one of many, once the share of the link for bulk data allows it.
    pub async fn send_bulk(&self, vm: &Vm, address: SocketAddr, message: &Message) {
        let mut pace = self.pace.lock().await;
        let wait = pace.wait(self.clock.now());
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        let bytes = self.send(vm, address, message);
        pace.sent(self.clock.now(), bytes);
    }

    /// Waits for the next authentic message to this node.
    pub async fn receive(&self) -> (SocketAddr, Incarnation, Message) {
        let mut buffer = vec![0; BYTES_MAX];
        loop {
            let (length, from) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                // A peer's closed port shows here. An error that lasts must not spin.
                Err(error) => {
                    self.counts.failed.fetch_add(1, Ordering::Relaxed);
                    log::debug!("the socket towards nodes: {error}");
                    tokio::time::sleep(ERROR_PAUSE).await;
                    continue;
                }
            };
            match self.open(&buffer[..length]) {
                Some((sender, message)) => {
                    self.counts.received.fetch_add(1, Ordering::Relaxed);
                    return (from, sender, message);
                }
                None => {
                    self.counts.refused.fetch_add(1, Ordering::Relaxed);
                }
            }
        }
    }

    fn open(&self, sealed: &[u8]) -> Option<(Incarnation, Message)> {
        let frame: Frame = decode(self.seal.open(sealed).ok()?).ok()?;
        let mine = frame.to.is_empty() || frame.to == self.me.vm;
        if frame.channel != CHANNEL || !mine {
            return None;
        }
        Some((frame.from, decode(&frame.body).ok()?))
    }
}
