//! Whether the caller of a request is still there.
//!
//! The HTTP library notices the end of a connection when it reads from it. It does not read while bytes of
//! a further request lie in its buffer, nor before the connection's task has its turn, which is late in a
//! process that was late itself. What is about to be done for a caller therefore asks
//! [`Caller::has_left`], which looks at the socket.

use std::io::{ErrorKind, Read, Result};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, Weak};
use std::task::{Context, Poll, Waker, ready};

use bytes::{Buf, BytesMut};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;

/// Maximum number of bytes that are read before the HTTP library asks for them.
const READ_AHEAD_MAX: usize = 16 << 10;

/// Bytes of one read ahead.
const CHUNK: usize = 2 << 10;

/// The caller of a request.
#[derive(Clone, Debug)]
pub struct Caller {
    socket: Weak<Mutex<Socket>>,
    open: watch::Receiver<()>,
    ended_at: Arc<OnceLock<Instant>>,
}

impl Caller {
    /// Returns whether the connection has ended, also if the end has arrived and was not read yet.
    pub fn has_left(&self) -> bool {
        self.socket
            .upgrade()
            .is_none_or(|socket| lock(&socket).read_ahead())
    }

    /// Returns when the end of the connection was noticed, if it was.
    pub fn left_at(&self) -> Option<Instant> {
        self.ended_at.get().copied()
    }

    /// Waits until the connection has ended.
    pub async fn left(&self) {
        let mut open = self.open.clone();
        // Nothing is ever sent: the sender is dropped with the connection.
        while open.changed().await.is_ok() {}
    }
}

/// A caller's connection while it is served.
#[derive(Debug)]
pub(super) struct Connection {
    socket: Arc<Mutex<Socket>>,
    open: watch::Sender<()>,
    ended_at: Arc<OnceLock<Instant>>,
}

impl Connection {
    /// Watches a connection. Returns what it is read and written by as well.
    pub(super) fn new(stream: TcpStream) -> (Self, Stream) {
        let ended_at = Arc::new(OnceLock::new());
        let socket = Arc::new(Mutex::new(Socket {
            stream,
            ahead: BytesMut::new(),
            ended: false,
            ended_at: ended_at.clone(),
            writing: false,
            reader: None,
        }));
        let connection = Self {
            socket: socket.clone(),
            open: watch::Sender::new(()),
            ended_at,
        };
        (connection, Stream(socket))
    }

    /// Returns the caller at its other end.
    pub(super) fn caller(&self) -> Caller {
        Caller {
            socket: Arc::downgrade(&self.socket),
            open: self.open.subscribe(),
            ended_at: self.ended_at.clone(),
        }
    }

    /// Makes sure that closing the connection resets it.
    pub(super) fn reset(&self) {
        // A socket that takes no options is closed already.
        let _ = lock(&self.socket).stream.set_zero_linger();
    }

    /// Waits until the caller has ended the connection. To be polled by the task that reads the
    /// connection, after it has read what it wants.
    pub(super) async fn ended(&self) {
        std::future::poll_fn(|cx| lock(&self.socket).poll_ended(cx)).await;
    }
}

/// The bytes of a caller's connection.
#[derive(Debug)]
pub(super) struct Stream(Arc<Mutex<Socket>>);

#[derive(Debug)]
struct Socket {
    stream: TcpStream,
    /// Bytes that were read ahead.
    ahead: BytesMut,
    /// Whether nothing more can be read.
    ended: bool,
    /// When that was noticed.
    ended_at: Arc<OnceLock<Instant>>,
    /// Whether an answer is being written.
    writing: bool,
    /// The task that waits for bytes.
    reader: Option<Waker>,
}

impl Socket {
    /// Reads what has arrived. Returns whether the connection has ended.
    ///
    /// The runtime is not asked whether there is something to read: it may not have learnt yet.
    fn read_ahead(&mut self) -> bool {
        let mut chunk = [0; CHUNK];
        let before = self.ahead.len();
        while !self.ended && self.ahead.len() < READ_AHEAD_MAX {
            let socket = SockRef::from(&self.stream);
            match (&*socket).read(&mut chunk) {
                Ok(0) => self.end(),
                Ok(read) => self.ahead.extend_from_slice(&chunk[..read]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => self.end(),
            }
        }
        if self.ahead.len() > before {
            self.set_writing(false);
        }
        if self.ended || self.ahead.len() > before {
            // The runtime does not tell of what is read here.
            self.reader.take().into_iter().for_each(Waker::wake);
        }
        self.ended
    }

    fn end(&mut self) {
        self.ended = true;
        self.ended_at.get_or_init(Instant::now);
    }

    fn poll_ended(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let mut chunk = [0; CHUNK];
        while !self.ended {
            if self.ahead.len() >= READ_AHEAD_MAX {
                self.wait(cx);
                return Poll::Pending;
            }
            let mut buffer = ReadBuf::new(&mut chunk);
            if ready!(self.poll_stream(cx, &mut buffer)).is_ok() {
                self.ahead.extend_from_slice(buffer.filled());
            }
        }
        Poll::Ready(())
    }

    fn poll_read(&mut self, cx: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<Result<()>> {
        if self.ahead.is_empty() && !self.ended {
            return self.poll_stream(cx, buffer);
        }
        let length = self.ahead.len().min(buffer.remaining());
        buffer.put_slice(&self.ahead[..length]);
        self.ahead.advance(length);
        Poll::Ready(Ok(()))
    }

    fn poll_stream(&mut self, cx: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<Result<()>> {
        let before = buffer.filled().len();
        let Poll::Ready(read) = Pin::new(&mut self.stream).poll_read(cx, buffer) else {
            self.wait(cx);
            return Poll::Pending;
        };
        if read.is_err() || buffer.filled().len() == before {
            self.end();
        } else {
            self.set_writing(false);
        }
        Poll::Ready(read)
    }

    /// Notes that bytes of the caller have come, or that an answer is written. While one is, the time
    /// for which a slow caller may accept no bytes holds, instead of keep-alive.
    fn set_writing(&mut self, writing: bool) {
        if self.writing == writing {
            return;
        }
        self.writing = writing;
        let timeout = if writing {
            Some(socket::CALLER_WRITE_TIMEOUT)
        } else {
            socket::CALLER.user_timeout
        };
        // A socket that takes no options is closed already.
        let _ = socket::set_user_timeout(&self.stream, timeout);
    }

    fn wait(&mut self, cx: &Context<'_>) {
        let waker = cx.waker();
        if !self
            .reader
            .as_ref()
            .is_some_and(|known| known.will_wake(waker))
        {
            self.reader = Some(waker.clone());
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        lock(&self.0).poll_read(cx, buffer)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<Result<usize>> {
        let mut socket = lock(&self.0);
        socket.set_writing(true);
        Pin::new(&mut socket.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let mut socket = lock(&self.0);
        socket.set_writing(true);
        Pin::new(&mut socket.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        lock(&self.0).stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut lock(&self.0).stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut lock(&self.0).stream).poll_shutdown(cx)
    }
}

fn lock(socket: &Mutex<Socket>) -> MutexGuard<'_, Socket> {
    socket.lock().unwrap_or_else(PoisonError::into_inner)
}
