//! A small HTTP client for nodes: one connection a request, nothing repeated.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::http::request::Builder;
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Time limit for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Reason why a node gave no answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection could be made.
    #[error("cannot connect to {address} ({cause})\nhelp: check that the node runs there")]
    Connect {
        /// The node's address.
        address: SocketAddr,
        /// The system's error.
        cause: std::io::Error,
    },
    /// The connection or answer broke off.
    #[error("{address} broke off ({cause})\nhelp: see the node's log")]
    Broken {
        /// The node's address.
        address: SocketAddr,
        /// The library's error.
        cause: hyper::Error,
    },
    /// The request is malformed.
    #[error("request is malformed ({0})\nhelp: check paths and header values")]
    Request(#[from] hyper::http::Error),
}

/// An answer read whole.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Answer {
    /// Returns the body as text, with what is not UTF-8 replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Returns `page` with a query of `pairs`, escaped as needed.
pub fn path<'a>(page: &str, pairs: impl IntoIterator<Item = (&'a str, &'a str)>) -> String {
    let mut query = form_urlencoded::Serializer::new(String::new());
    query.extend_pairs(pairs);
    format!("{page}?{}", query.finish())
}

/// Sends a request and returns the answer's head with its unread body.
///
/// # Errors
///
/// Returns an [`Error`] where no whole head came.
pub async fn open(
    address: SocketAddr,
    request: Builder,
    body: impl Into<Bytes>,
) -> Result<Response<Incoming>, Error> {
    let request = request.header(HOST, address.to_string());
    let request: Request<Full<Bytes>> = request.body(Full::new(body.into()))?;
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let connected = connecting.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()));
    let stream = connected.map_err(|cause| Error::Connect { address, cause })?;
    // Small writes must not wait for each other.
    let _ = stream.set_nodelay(true);
    let broken = |cause| Error::Broken { address, cause };
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(broken)?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("connection to {address}: {error}");
        }
    });
    sender.send_request(request).await.map_err(broken)
}

/// Sends a request and reads the whole answer.
///
/// # Errors
///
/// Returns an [`Error`] where the answer is not whole.
pub async fn send(
    address: SocketAddr,
    request: Builder,
    body: impl Into<Bytes>,
) -> Result<Answer, Error> {
    let (head, body) = open(address, request, body).await?.into_parts();
    let body = body
        .collect()
        .await
        .map_err(|cause| Error::Broken { address, cause })?;
    Ok(Answer {
        status: head.status,
        headers: head.headers,
        body: body.to_bytes(),
    })
}
