//! The HTTP server that the stand-ins share.

mod body;

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::http::HeaderMap;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until};

pub use body::{Body, Closed, Sender};

/// Largest request body in bytes.
const BODY_BYTES_MAX: usize = 64 << 20;

/// Pause between two attempts to listen again.
const REBIND_PAUSE: Duration = Duration::from_millis(10);

/// What a handler answers; [`Closed`] closes the connection without a response.
pub type Answer = Result<Response<Body>, Closed>;

/// Answers requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> impl Future<Output = Answer> + Send;
}

/// The open connections of a server.
#[derive(Clone, Debug)]
pub struct Connections {
    generation: watch::Sender<u64>,
    /// Time until which connections are refused.
    closed: watch::Sender<Option<Instant>>,
}

impl Default for Connections {
    fn default() -> Self {
        Self {
            generation: watch::Sender::new(0),
            closed: watch::Sender::new(None),
        }
    }
}

impl Connections {
    /// Drops every open connection at once.
    pub fn drop_all(&self) {
        self.generation.send_modify(|generation| *generation += 1);
    }

    /// Drops every open connection, and has new ones refused for `time`, as a process does that
    /// is down.
    pub fn refuse_for(&self, time: Duration) {
        self.closed.send_replace(Some(Instant::now() + time));
        self.drop_all();
    }
}

/// A running server. It stops when it is dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    connections: Connections,
    accepting: JoinHandle<()>,
}

impl Server {
    /// Listens at `listen` and serves `handler`.
    ///
    /// # Errors
    ///
    /// Returns the system's error where the address cannot be bound.
    pub async fn start<H: Handler>(
        listen: SocketAddr,
        handler: Arc<H>,
        connections: Connections,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let accepting = tokio::spawn(accept(listener, handler, connections.clone()));
        Ok(Self {
            address,
            connections,
            accepting,
        })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening and drops every connection.
    pub fn shutdown(&self) {
        self.accepting.abort();
        self.connections.drop_all();
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.shutdown();
    }
}

async fn accept<H: Handler>(listener: TcpListener, handler: Arc<H>, connections: Connections) {
    let Ok(address) = listener.local_addr() else {
        return;
    };
    let mut listener = Some(listener);
    let mut closed = connections.closed.subscribe();
    loop {
        let open = match listener.take() {
            Some(open) => open,
            None => reopen(address, &mut closed).await,
        };
        tokio::select! {
            accepted = open.accept() => {
                // An error of one accept, such as a lack of descriptors, passes.
                if let Ok((stream, _)) = accepted {
                    let dropped = connections.generation.subscribe();
                    tokio::spawn(serve(stream, handler.clone(), dropped));
                }
                listener = Some(open);
            }
            // The listener is dropped, so that connections are refused until it is bound again.
            _ = closed.changed() => {}
        }
    }
}

/// Waits until connections are to be taken again, and listens at the same address.
async fn reopen(address: SocketAddr, closed: &mut watch::Receiver<Option<Instant>>) -> TcpListener {
    loop {
        let until = *closed.borrow_and_update();
        if let Some(until) = until {
            sleep_until(until).await;
        }
        if *closed.borrow() != until {
            continue;
        }
        if let Ok(listener) = TcpListener::bind(address).await {
            return listener;
        }
        // Another socket may hold the port for a moment.
        sleep(REBIND_PAUSE).await;
    }
}

async fn serve<H: Handler>(stream: TcpStream, handler: Arc<H>, mut dropped: watch::Receiver<u64>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(move |request| {
        let handler = handler.clone();
        async move { handler.handle(request).await }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = connection => {}
        _ = dropped.changed() => {}
    }
}

/// Reads a request's body; `None` where it breaks off or is too large.
pub async fn read(body: Incoming) -> Option<Bytes> {
    let whole = Limited::new(body, BODY_BYTES_MAX).collect().await;
    whole.ok().map(|whole| whole.to_bytes())
}

/// Reads a request's body as JSON; `None` where it is none.
pub async fn read_json<T: DeserializeOwned>(body: Incoming) -> Option<T> {
    serde_json::from_slice(&read(body).await?).ok()
}

/// Returns a header's text, empty where it is missing.
pub fn header(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// Returns a number from a query string.
pub fn query(request: &Request<Incoming>, name: &str) -> Option<u64> {
    let query = request.uri().query()?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .filter(|(key, _)| *key == name)
        .find_map(|(_, value)| value.parse().ok())
}

/// Makes a response of a status and a text.
pub fn text(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Body::full(text));
    *response.status_mut() = status;
    response
}

/// Makes a JSON response.
///
/// # Panics
///
/// Panics where `value` cannot be written as JSON.
pub fn json(value: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).expect("value can be written as JSON");
    text(StatusCode::OK, bytes)
}
