//! One connection, driven by the call that uses it.

use std::fmt;
use std::future::{Future, poll_fn};
use std::io;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::path::Way;
use crate::relay::Opened;

/// A connection that knows how many bytes were written to it.
pub(super) struct Conn {
    sender: SendRequest<Full<Bytes>>,
    driver: Pin<Box<Connection<TokioIo<Counter>, Full<Bytes>>>>,
    closed: bool,
    /// Bytes that a head may take, with all interim responses before it.
    head_bytes: usize,
    traffic: Arc<Traffic>,
    /// When its last exchange ended; `None` before the first one.
    pub(super) used: Option<Instant>,
    /// Over which way it goes.
    pub(super) way: Way,
    /// See [`Opened::exact_end`].
    pub(super) exact_end: bool,
}

impl Conn {
    /// Prepares HTTP on an open stream; nothing is written.
    pub(super) async fn open(opened: Opened, head_bytes: usize) -> hyper::Result<Self> {
        let Opened {
            stream,
            way,
            exact_end,
        } = opened;
        // A socket that takes no options is closed already.
        let _ = socket::apply(&stream, &socket::UPSTREAM);
        let traffic = Arc::new(Traffic::default());
        let counter = Counter {
            stream,
            traffic: traffic.clone(),
        };
        let (sender, driver) = Builder::new()
            .max_buf_size(head_bytes)
            .handshake(TokioIo::new(counter))
            .await?;
        Ok(Self {
            sender,
            driver: Box::pin(driver),
            closed: false,
            head_bytes: head_bytes * HEADS,
            traffic,
            used: None,
            way,
            exact_end,
        })
    }

    /// Returns the bytes handed to the system so far.
    pub(super) fn written(&self) -> u64 {
        self.traffic.written.load(Ordering::Relaxed)
    }

    /// Notes that the exchange is over: both the request and its answer are whole.
    pub(super) fn finish(&self) {
        self.traffic.busy.store(false, Ordering::Relaxed);
    }

    /// Returns how long ago its last exchange ended.
    pub(super) fn idle(&self) -> Duration {
        self.used.map_or(Duration::ZERO, |used| used.elapsed())
    }

    /// Sends a request and waits for the response head.
    pub(super) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> hyper::Result<Response<Incoming>> {
        self.traffic.busy.store(true, Ordering::Relaxed);
        self.traffic.allow(self.head_bytes);
        let mut answer = pin!(self.sender.send_request(request));
        poll_fn(|cx| {
            poll_driver(&mut self.driver, &mut self.closed, cx);
            answer.as_mut().poll(cx)
        })
        .await
    }

    /// Notes a part of the response body that came, which pays for what it took on the wire.
    pub(super) fn came(&self, bytes: usize) {
        let unread = self.traffic.unread.load(Ordering::Relaxed);
        let rest = unread.saturating_sub(bytes + FRAMING);
        self.traffic.unread.store(rest, Ordering::Relaxed);
    }

    /// Drives the connection once; to be called whenever its response body is polled.
    pub(super) fn drive(&mut self, cx: &mut Context<'_>) {
        poll_driver(&mut self.driver, &mut self.closed, cx);
    }

    /// Tells whether the connection is ready for another request and not known to be closed.
    pub(super) async fn verify(&mut self) -> bool {
        poll_fn(|cx| {
            self.drive(cx);
            Poll::Ready(())
        })
        .await;
        self.usable()
    }

    /// Tells whether an idle connection may be kept: bytes that came on it close it.
    pub(super) fn keeps(&mut self) -> bool {
        // It is looked at again later, so that nothing has to wake for it.
        self.drive(&mut Context::from_waker(Waker::noop()));
        self.usable()
    }

    fn usable(&self) -> bool {
        !self.closed && self.sender.is_ready()
    }
}

impl fmt::Debug for Conn {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Conn")
            .field("closed", &self.closed)
            .field("written", &self.written())
            .finish_non_exhaustive()
    }
}

fn poll_driver(
    driver: &mut Pin<Box<Connection<TokioIo<Counter>, Full<Bytes>>>>,
    closed: &mut bool,
    cx: &mut Context<'_>,
) {
    if !*closed {
        *closed = driver.as_mut().poll(cx).is_ready();
    }
}

/// Heads' worth of bytes that may come without a part of a response's body: interim responses and
/// the head, and what is read ahead of the body.
const HEADS: usize = 4;

/// Bytes on the wire beside each part of a body: a chunk's size with its extensions.
const FRAMING: usize = 64;

/// What goes over a connection.
#[derive(Debug, Default)]
struct Traffic {
    /// Bytes read that no part of a response accounts for, and how many of these may come.
    unread: AtomicUsize,
    allowed: AtomicUsize,
    /// Bytes written.
    written: AtomicU64,
    /// Whether an exchange is under way.
    busy: AtomicBool,
}

impl Traffic {
    /// Lets so many bytes come that no part of a response accounts for.
    fn allow(&self, bytes: usize) {
        self.unread.store(0, Ordering::Relaxed);
        self.allowed.store(bytes, Ordering::Relaxed);
    }

    /// Counts bytes that came.
    fn take(&self, bytes: usize) -> io::Result<()> {
        let unread = self.unread.fetch_add(bytes, Ordering::Relaxed) + bytes;
        let allowed = self.allowed.load(Ordering::Relaxed);
        if unread <= allowed {
            return Ok(());
        }
        let cause = format!("{unread} bytes came that belong to no response");
        Err(io::Error::new(io::ErrorKind::InvalidData, cause))
    }
}

/// A stream that counts the bytes written, and reads no bytes without end.
///
/// Closed in the middle of an exchange, it is reset: what has not arrived yet is dropped, where it
/// would otherwise be delivered however late, after what was decided since.
struct Counter {
    stream: TcpStream,
    traffic: Arc<Traffic>,
}

impl Counter {
    fn count(&self, bytes: usize) {
        self.traffic
            .written
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

impl Drop for Counter {
    fn drop(&mut self) {
        if self.traffic.busy.load(Ordering::Relaxed) {
            // A socket that takes no options is closed already.
            let _ = self.stream.set_zero_linger();
        }
    }
}

impl AsyncRead for Counter {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        Poll::Ready(self.traffic.take(buf.filled().len() - before))
    }
}

impl AsyncWrite for Counter {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let bytes = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        self.count(bytes);
        Poll::Ready(Ok(bytes))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let bytes = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, bufs))?;
        self.count(bytes);
        Poll::Ready(Ok(bytes))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
