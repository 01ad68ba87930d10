//! Asks a peer to open a connection.

use std::io;
use std::net::{IpAddr, SocketAddr};

use bytes::Bytes;
use http_body_util::Empty;
use hyper::client::conn::http1::Builder;
use hyper::header::PROXY_AUTHORIZATION;
use hyper::{Method, Request, StatusCode, Uri, upgrade};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::{EXACT_END, connect};

/// A connection that a peer has opened.
pub(super) struct Tunnel {
    pub(super) stream: TcpStream,
    /// Whether it ends in good order only where the upstream has ended it.
    pub(super) exact_end: bool,
}

/// Why a peer opened no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Failure {
    /// The upstream refused it.
    Refused,
    /// The peer did not reach the upstream, or this node not the peer, or it opens none now.
    Unreached,
}

impl From<io::Error> for Failure {
    fn from(_: io::Error) -> Self {
        Self::Unreached
    }
}

impl From<hyper::Error> for Failure {
    fn from(_: hyper::Error) -> Self {
        Self::Unreached
    }
}

/// Asks the peer at `peer` for a connection to `address`.
pub(super) async fn open(
    source: Option<IpAddr>,
    peer: SocketAddr,
    address: SocketAddr,
    token: String,
) -> Result<Tunnel, Failure> {
    let stream = connect(source, peer).await?;
    stream.set_nodelay(true)?;
    let (mut sender, driver) = Builder::new().handshake(TokioIo::new(stream)).await?;
    tokio::spawn(driver.with_upgrades());
    let uri = Uri::try_from(address.to_string()).map_err(|_| Failure::Unreached)?;
    let request = Request::builder()
        .method(Method::CONNECT)
        .uri(uri)
        .header(PROXY_AUTHORIZATION, token)
        .body(Empty::<Bytes>::new())
        .map_err(|_| Failure::Unreached)?;
    let response = sender.send_request(request).await?;
    match response.status() {
        StatusCode::OK => {}
        StatusCode::BAD_GATEWAY => return Err(Failure::Refused),
        _ => return Err(Failure::Unreached),
    }
    let exact_end = response.headers().contains_key(EXACT_END);
    let upgraded = upgrade::on(response).await?;
    let parts = upgraded.downcast::<TokioIo<TcpStream>>();
    let parts = parts.map_err(|_| Failure::Unreached)?;
    // An upstream says nothing before it is asked.
    if !parts.read_buf.is_empty() {
        return Err(Failure::Refused);
    }
    let stream = parts.io.into_inner();
    Ok(Tunnel { stream, exact_end })
}
