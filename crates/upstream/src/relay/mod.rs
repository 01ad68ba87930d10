//! Connections to upstreams, directly or through a peer.
//!
//! - [`Router`] opens connections over the way that [`crate::path`] chooses, and checks ways that fail.
//! - `client` asks a peer to open a connection, by HTTP `CONNECT` (RFC 9110, section 9.3.6).
//! - [`server`] opens connections for peers and copies their bytes.
//! - `token` authenticates what peers ask for.
//!
//! Nothing of a request is written before its connection is there, whatever its way. A connection through
//! a peer is a plain byte stream, whose end and reset pass through.

mod client;
mod router;
pub mod server;
mod token;

pub use router::{Counts, Router, Verdict};

pub(crate) use router::{Opened, Target};

use std::io;
use std::net::{IpAddr, SocketAddr};

use hyper::header::HeaderName;
use socket2::SockRef;
use tokio::net::{TcpSocket, TcpStream};

/// Header of the answer that opens a connection: the peer ends it in good order only where the upstream has.
/// Peers of earlier releases lack it.
const EXACT_END: HeaderName = HeaderName::from_static("exact-end");

/// Opens a connection to `address` from the own address `source`, or from one that the system chooses.
pub(crate) async fn connect(source: Option<IpAddr>, address: SocketAddr) -> io::Result<TcpStream> {
    let Some(source) = source else {
        return TcpStream::connect(address).await;
    };
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(address).await
}

/// Makes sure that closing the connection resets it, also if the process ends.
fn reset(stream: &TcpStream) {
    // A socket that takes no options is closed already.
    let _ = stream.set_zero_linger();
}

/// Takes [`reset`] back: what was written is delivered, and the end after it.
fn close_in_order(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(None)
}
