//! Accept loop with limits on connections, header sizes and slow callers.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, Version};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::{Instant, sleep, timeout};

use super::Body;
use super::caller::{Caller, Connection, Stream};
use super::tls::Tls;

/// Smallest read buffer that the HTTP library accepts, in bytes.
const HEADER_BYTES_MIN: usize = 8192;

/// Time for which connections are served on after the close, so that requests under way are
/// answered: several crossings of a region.
pub const LINGER: Duration = Duration::from_millis(200);

/// Time without a new connection after which the listen queue counts as empty.
const QUEUE_EMPTY: Duration = Duration::from_millis(10);

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Limits of one listener.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    /// Connections open at once; more wait in the listen queue.
    pub connections: usize,
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Time in which a request's head has to be whole.
    pub header_time: Duration,
}

/// Answers requests; one clone serves each connection.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Answers one request of `caller`. The future is dropped if the caller leaves.
    fn handle(
        &self,
        request: Request<Incoming>,
        caller: Caller,
    ) -> impl Future<Output = Response<Body>> + Send;

    /// Returns a time for which a connection may stay idle before its next request's head, where
    /// that differs from the limit on the head.
    fn idle(&self) -> Option<Duration> {
        None
    }
}

/// Accepts connections, by TLS where `tls` is given, until `stop` turns true. Connections that wait
/// in the listen queue then are accepted as well, and each one is served for [`LINGER`] and until
/// its present request is done.
///
/// Returns when all connections are closed.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    limit: Limit,
    handler: H,
    tls: Option<Arc<Tls>>,
    stop: watch::Receiver<bool>,
) {
    let slots = Arc::new(Semaphore::new(limit.connections));
    let admit = |accepted, slot| {
        let (handler, tls, stop) = (handler.clone(), tls.clone(), stop.clone());
        admit(accepted, slot, limit, handler, tls, stop)
    };
    let mut stopped = stop.clone();
    loop {
        let Ok(slot) = slots.clone().acquire_owned().await else {
            break;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|stop| *stop) => break,
        };
        admit(accepted, slot).await;
    }
    // Closing the listener would reset the connections in its queue.
    let end = Instant::now() + LINGER;
    while Instant::now() < end {
        let Ok(slot) = slots.clone().try_acquire_owned() else {
            break;
        };
        let Ok(accepted) = timeout(QUEUE_EMPTY, listener.accept()).await else {
            break;
        };
        admit(accepted, slot).await;
    }
    drop(listener);
    // Every connection holds a slot until it is closed.
    let all = u32::try_from(limit.connections).unwrap_or(u32::MAX);
    let _ = slots.acquire_many(all).await;
}

/// Serves an accepted connection in a task of its own, which holds `slot`.
async fn admit<H: Handler>(
    accepted: io::Result<(TcpStream, SocketAddr)>,
    slot: OwnedSemaphorePermit,
    limit: Limit,
    handler: H,
    tls: Option<Arc<Tls>>,
    stop: watch::Receiver<bool>,
) {
    let stream = match accepted {
        Ok((stream, _)) => stream,
        Err(error) => {
            // Out of descriptors or a connection gone before it was taken; both pass.
            log::warn!("accept failed: {error}");
            return sleep(ACCEPT_PAUSE).await;
        }
    };
    // Small token chunks must not wait for each other.
    let _ = stream.set_nodelay(true);
    let _ = socket::apply(&stream, &socket::CALLER);
    tokio::spawn(async move {
        let (connection, stream) = Connection::new(stream);
        let serving = async {
            match tls {
                None => serve_connection(&connection, stream, limit, handler, stop).await,
                Some(tls) => secured(&tls, &connection, stream, limit, handler, stop).await,
            }
        };
        tokio::select! {
            biased;
            () = serving => {}
            () = connection.ended() => {}
        }
        drop((connection, slot));
    });
}

/// Serves a connection after its TLS handshake, which has as long as a request's head.
async fn secured<H: Handler>(
    tls: &Tls,
    caller: &Connection,
    stream: Stream,
    limit: Limit,
    handler: H,
    stop: watch::Receiver<bool>,
) {
    let shaking = tls.acceptor().accept(stream);
    match timeout(limit.header_time, shaking).await {
        Ok(Ok(stream)) => serve_connection(caller, stream, limit, handler, stop).await,
        Ok(Err(error)) => log::debug!("caller's TLS handshake failed: {error}"),
        Err(_) => log::debug!("caller's TLS handshake took too long"),
    }
}

async fn serve_connection<H: Handler>(
    caller: &Connection,
    stream: impl AsyncRead + AsyncWrite + Unpin,
    limit: Limit,
    handler: H,
    mut stop: watch::Receiver<bool>,
) {
    let header_time = handler.idle().unwrap_or(limit.header_time);
    let is_old = AtomicBool::new(false);
    let service = service_fn(|request: Request<Incoming>| {
        is_old.store(request.version() < Version::HTTP_11, Ordering::Relaxed);
        let (handler, caller) = (handler.clone(), caller.caller());
        async move { Ok::<_, Infallible>(handler.handle(request, caller).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(header_time)
        .max_buf_size(limit.header_bytes.max(HEADER_BYTES_MIN))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let stopping = async {
        let _ = stop.wait_for(|stop| *stop).await;
        sleep(LINGER).await;
    };
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = stopping => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!("caller's connection ended: {error}");
        // Answers of HTTP/1.0 have no end of their own.
        if error.is_user() && is_old.load(Ordering::Relaxed) {
            caller.reset();
        }
    }
}
