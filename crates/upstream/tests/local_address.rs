//! The local address of connections.

use std::net::{IpAddr, Ipv4Addr};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use rstest::rstest;
use tokio::net::TcpListener;
use upstream::link::{Call, Class, Host, Limits, Link, Reuse};
use upstream::relay::Router;
use wire::Incarnation;
use wire::seal::Seal;

/// Key of the nodes.
const KEY: &str = "sixteen bytes at least";

/// Guards against connections that leave by another address than the one that is set, by which a firewall
/// tells VMs apart.
#[rstest]
#[case::chosen_by_the_system(None, Ipv4Addr::LOCALHOST)]
#[case::set(Some(Ipv4Addr::new(127, 9, 8, 7)), Ipv4Addr::new(127, 9, 8, 7))]
#[tokio::test]
async fn connection_leaves_by_its_source(#[case] source: Option<Ipv4Addr>, #[case] seen: Ipv4Addr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let seal = Seal::new(KEY, None).unwrap();
    let router = Router::new(Incarnation::new("vm", 1), "z", seal, source.map(IpAddr::V4));
    let link = Link::new("u", address, Limits::default()).routed(&router);
    let call = Call {
        class: Class::Ordinary,
        reuse: Reuse::Fresh,
        host: Host::Upstream,
        head: None,
        request: Request::new(Full::new(Bytes::new())),
    };
    let (_, accepted) = tokio::join!(
        async {
            tokio::time::timeout(std::time::Duration::from_millis(300), link.send(call)).await
        },
        listener.accept()
    );
    let (_, from) = accepted.unwrap();
    assert_eq!(from.ip(), IpAddr::V4(seen));
}
