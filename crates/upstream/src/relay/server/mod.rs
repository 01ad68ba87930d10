//! Opens connections to upstreams for peers, and copies their bytes.

mod tunnel;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, PROXY_AUTHORIZATION};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, upgrade};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::{sleep, timeout};
use wire::{Upstream, Vm};

use super::router::{Router, Target, is_refusal};
use super::{EXACT_END, reset, token};

/// Connections of peers at a time, and those of one peer.
const CONNECTIONS_MAX: usize = 384;
const PEER_CONNECTIONS_MAX: usize = 128;

/// Time in which a peer has to say what it wants.
const REQUEST_LIMIT: Duration = Duration::from_secs(2);

/// Limit for the connection to the upstream, within the one that the peer waits for.
const CONNECT_LIMIT: Duration = Duration::from_millis(130);

/// Bytes of a request's head; the smallest buffer that the HTTP library accepts.
const HEAD_BYTES: usize = 8_192;

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Says what peers may have opened.
pub trait Gate: Clone + Send + Sync + 'static {
    /// Tells whether this node lists `upstream` at `address` and it takes requests.
    fn admits(&self, upstream: &Upstream, address: SocketAddr) -> bool;
}

/// What was relayed.
#[derive(Debug, Default)]
pub struct Counts {
    /// Connections of peers that are open.
    pub open: AtomicI64,
    /// Connections of peers that were opened.
    pub opened: AtomicU64,
    /// Requests of peers for a connection that were refused.
    pub refused: AtomicU64,
    /// Bytes passed on, in both directions.
    pub bytes: AtomicU64,
}

/// Opens connections for peers.
pub struct Server<G> {
    router: Arc<Router>,
    gate: G,
    counts: Arc<Counts>,
    /// Connections by peer, sorted.
    peers: Arc<Mutex<Vec<(Vm, usize)>>>,
    stop: watch::Receiver<bool>,
}

impl<G: Clone> Clone for Server<G> {
    fn clone(&self) -> Self {
        Self {
            router: self.router.clone(),
            gate: self.gate.clone(),
            counts: self.counts.clone(),
            peers: self.peers.clone(),
            stop: self.stop.clone(),
        }
    }
}

impl<G: Gate> Server<G> {
    /// Makes a server that opens no connection once `stop` is true, and then closes each one when no
    /// exchange is under way on it.
    pub fn new(
        router: Arc<Router>,
        gate: G,
        counts: Arc<Counts>,
        stop: watch::Receiver<bool>,
    ) -> Self {
        Self {
            router,
            gate,
            counts,
            peers: Arc::default(),
            stop,
        }
    }

    /// Takes connections of peers until the listener is closed with the task.
    pub async fn serve(self, listener: TcpListener) {
        let slots = Arc::new(Semaphore::new(CONNECTIONS_MAX));
        loop {
            let Ok(slot) = slots.clone().acquire_owned().await else {
                return;
            };
            let Ok((stream, _)) = listener.accept().await else {
                // Out of descriptors, or the connection is gone already; both pass.
                sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let server = self.clone();
            tokio::spawn(async move {
                server.connection(stream).await;
                drop(slot);
            });
        }
    }

    async fn connection(self, stream: TcpStream) {
        // Small token chunks must not wait for each other.
        let _ = stream.set_nodelay(true);
        let _ = socket::apply(&stream, &socket::CALLER);
        let (sender, mut opened) = tokio::sync::oneshot::channel();
        let sender = Arc::new(Mutex::new(Some(sender)));
        let service = service_fn(|mut request: Request<Incoming>| {
            let (server, sender) = (self.clone(), sender.clone());
            async move {
                let upgraded = upgrade::on(&mut request);
                let status = match server.open(&request).await {
                    Ok(tunnel) => {
                        let mut sender = sender.lock().unwrap_or_else(PoisonError::into_inner);
                        // One connection serves one request.
                        sender.take().map_or(StatusCode::BAD_REQUEST, |sender| {
                            let _ = sender.send((upgraded, tunnel));
                            StatusCode::OK
                        })
                    }
                    Err(status) => {
                        server.counts.refused.fetch_add(1, Ordering::Relaxed);
                        status
                    }
                };
                let mut response = Response::new(Empty::<Bytes>::new());
                *response.status_mut() = status;
                let headers = response.headers_mut();
                headers.insert(EXACT_END, HeaderValue::from_static("1"));
                Ok::<_, Infallible>(response)
            }
        });
        let serving = Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(REQUEST_LIMIT)
            .max_buf_size(HEAD_BYTES)
            .keep_alive(false)
            .serve_connection(TokioIo::new(stream), service)
            .with_upgrades();
        if serving.await.is_err() {
            return;
        }
        let Ok((upgraded, tunnel)) = opened.try_recv() else {
            return;
        };
        let Ok(upgraded) = upgraded.await else {
            return reset(&tunnel.far);
        };
        if let Ok(parts) = upgraded.downcast::<TokioIo<TcpStream>>() {
            let near = parts.io.into_inner();
            tunnel::copy(near, tunnel.far, &parts.read_buf, &self.counts, self.stop).await;
        }
    }

    /// Opens the connection that a peer asks for.
    async fn open(&self, request: &Request<Incoming>) -> Result<Tunnel, StatusCode> {
        if request.method() != Method::CONNECT {
            return Err(StatusCode::METHOD_NOT_ALLOWED);
        }
        let text = request.headers().get(PROXY_AUTHORIZATION);
        let text = text.and_then(|value| value.to_str().ok()).unwrap_or("");
        let (peer, upstream, address) = token::read(self.router.seal(), self.router.me(), text)
            .ok_or(StatusCode::PROXY_AUTHENTICATION_REQUIRED)?;
        let named = request.uri().authority().map(|name| name.as_str().parse());
        if named != Some(Ok(address)) || !self.gate.admits(&upstream, address) {
            return Err(StatusCode::FORBIDDEN);
        }
        if *self.stop.borrow() {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        // Its own peers may ask this node in turn.
        if self.router.is_lost(&upstream) {
            return Err(StatusCode::GATEWAY_TIMEOUT);
        }
        let slot = self.enter(peer).ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
        let target = Target { upstream, address };
        match timeout(CONNECT_LIMIT, self.router.open_for_peer(&target)).await {
            Ok(Ok(far)) => {
                self.counts.opened.fetch_add(1, Ordering::Relaxed);
                Ok(Tunnel { far, _slot: slot })
            }
            Ok(Err(error)) if is_refusal(&error) => Err(StatusCode::BAD_GATEWAY),
            Ok(Err(_)) | Err(_) => Err(StatusCode::GATEWAY_TIMEOUT),
        }
    }

    /// Counts a connection of `peer` in, unless it has as many as it may have.
    fn enter(&self, peer: Vm) -> Option<Slot> {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        match peers.binary_search_by(|(known, _)| known.cmp(&peer)) {
            Ok(index) if peers[index].1 >= PEER_CONNECTIONS_MAX => return None,
            Ok(index) => peers[index].1 += 1,
            Err(index) => peers.insert(index, (peer.clone(), 1)),
        }
        drop(peers);
        self.counts.open.fetch_add(1, Ordering::Relaxed);
        Some(Slot {
            peer,
            peers: self.peers.clone(),
            counts: self.counts.clone(),
        })
    }
}

/// A connection opened for a peer.
struct Tunnel {
    far: TcpStream,
    _slot: Slot,
}

/// The count of a connection until it is dropped.
struct Slot {
    peer: Vm,
    peers: Arc<Mutex<Vec<(Vm, usize)>>>,
    counts: Arc<Counts>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.counts.open.fetch_sub(1, Ordering::Relaxed);
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        if let Ok(index) = peers.binary_search_by(|(known, _)| known.cmp(&self.peer)) {
            peers[index].1 -= 1;
            if peers[index].1 == 0 {
                peers.remove(index);
            }
        }
    }
}
