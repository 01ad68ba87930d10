//! A node that is partitioned from an upstream, and a peer that relays to it.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use tokio::net::TcpListener;
use tokio::sync::watch;
use upstream::link::{Call, Class, Host, Link, Reuse};
use upstream::path::Peer;
use upstream::relay::Router;
use upstream::relay::server::{Counts, Gate, Server};
use upstream::{Error, Limits};
use wire::seal::Seal;
use wire::{Incarnation, Upstream};

pub const KEY: &str = "sixteen bytes at least";

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns an address of the loopback interface that no other test of this process uses.
pub fn own_ip() -> Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(
        127,
        128 + high % 64,
        low,
        NEXT.fetch_add(1, Ordering::Relaxed),
    )
}

/// Admits one upstream at one address.
#[derive(Clone)]
pub struct Listed(pub Upstream, pub SocketAddr);

impl Gate for Listed {
    fn admits(&self, upstream: &Upstream, address: SocketAddr) -> bool {
        (upstream, address) == (&self.0, self.1)
    }
}

/// A node that is partitioned from the upstream or relays to it.
pub struct Member {
    pub router: Arc<Router>,
    pub relayed: Arc<Counts>,
    pub stop: watch::Sender<bool>,
    pub peer: Peer,
}

impl Member {
    pub async fn start(vm: &str, ip: Ipv4Addr, key: &str, listed: Listed) -> Self {
        let listener = TcpListener::bind((ip, 0)).await.unwrap();
        let peer = Peer {
            vm: vm.into(),
            zone: "z".into(),
            address: listener.local_addr().unwrap(),
        };
        let seal = Seal::new(key, None).unwrap();
        let router = Router::new(Incarnation::new(vm, 1), "z", seal, Some(ip.into()));
        let relayed = Arc::new(Counts::default());
        let stop = watch::Sender::new(false);
        let server = Server::new(router.clone(), listed, relayed.clone(), stop.subscribe());
        tokio::spawn(server.serve(listener));
        Self {
            router,
            relayed,
            stop,
            peer,
        }
    }
}

/// Returns a link to an upstream that only the peer reaches, and the peer.
pub async fn pair(address: SocketAddr, near: Ipv4Addr, key: &str, listed: &str) -> (Link, Member) {
    let (link, _, relay) = routed_pair(address, near, key, listed).await;
    (link, relay)
}

/// Returns the same with the router of the link.
pub async fn routed_pair(
    address: SocketAddr,
    near: Ipv4Addr,
    key: &str,
    listed: &str,
) -> (Link, Arc<Router>, Member) {
    let listed = Listed(listed.into(), address);
    let relay = Member::start("relay", own_ip(), key, listed).await;
    let seal = Seal::new(KEY, None).unwrap();
    let router = Router::new(Incarnation::new("near", 1), "z", seal, Some(near.into()));
    router.set_peers([relay.peer.clone()]);
    let limits = Limits {
        connect: ms(400),
        ..Limits::default()
    };
    let link = Link::new("u", address, limits).routed(&router);
    (link, router, relay)
}

pub fn call() -> Call {
    Call {
        class: Class::Ordinary,
        reuse: Reuse::Kept,
        host: Host::Upstream,
        head: Some(ms(2_000)),
        request: Request::new(Full::new(Bytes::new())),
    }
}

pub async fn answer(link: &Link) -> Result<Bytes, Error> {
    link.send(call()).await?.into_body().collect().await
}
