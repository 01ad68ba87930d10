//! Whether an upstream that broke a call off has ended.

mod support;

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use support::{Act, serve};
use tokio::net::TcpListener;
use upstream::link::{Call, Class, Host, Life, Limits, Link, Reuse};

fn link(address: std::net::SocketAddr) -> Link {
    let limits = Limits {
        connect: Duration::from_millis(200),
        ..Limits::default()
    };
    Link::new("u", address, limits)
}

async fn send(link: &Link) {
    let call = Call {
        class: Class::Ordinary,
        reuse: Reuse::Fresh,
        host: Host::Upstream,
        head: None,
        request: Request::new(Full::new(Bytes::new())),
    };
    let answer = link.send(call).await.expect("an answer");
    answer.into_body().collect().await.expect("a whole answer");
}

fn whole() -> Act {
    Act::Write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n".to_owned())
}

#[tokio::test]
async fn open_connection_shows_life() {
    let (address, seen) = serve([Act::Request, whole(), Act::Hold]).await;
    let link = link(address);
    send(&link).await;
    assert_eq!(link.life().await, Life::Running);
    assert_eq!(
        support::count(&seen.connections),
        1,
        "it needed another connection"
    );
}

#[tokio::test]
async fn new_connection_shows_life() {
    let (address, _) = serve([Act::Hold]).await;
    assert_eq!(link(address).life().await, Life::Running);
}

#[tokio::test]
async fn closed_connections_show_an_end() {
    let (address, _) = serve([Act::Request, whole()]).await;
    let link = link(address);
    send(&link).await;
    let (none, _) = serve([]).await;
    assert_eq!(self::link(none).life().await, Life::Ended);
    assert_eq!(link.life().await, Life::Running);
}

#[tokio::test]
async fn refused_connection_shows_an_end() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    assert_eq!(link(address).life().await, Life::Ended);
}
