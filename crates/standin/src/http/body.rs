//! Response bodies: whole ones, and ones that a task writes part by part.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use tokio::sync::mpsc;

/// Reason to close a connection in the middle of, or before, a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("connection closed by fault injection; expected in fault tests only")]
pub struct Closed;

impl From<Infallible> for Closed {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// Writes a streamed body.
#[derive(Clone, Debug)]
pub struct Sender(mpsc::UnboundedSender<Result<Bytes, Closed>>);

impl Sender {
    /// Sends a part; `false` where the reader is gone.
    pub fn send(&self, part: impl Into<Bytes>) -> bool {
        self.0.send(Ok(part.into())).is_ok()
    }

    /// Closes the connection in the middle of the body.
    pub fn close(&self) {
        // A reader that is gone needs no closing.
        let _ = self.0.send(Err(Closed));
    }

    /// Tells whether the reader is gone.
    pub fn is_gone(&self) -> bool {
        self.0.is_closed()
    }

    /// Waits until the reader is gone.
    pub async fn gone(&self) {
        self.0.closed().await;
    }
}

/// A response body.
#[derive(Debug)]
pub enum Body {
    /// Known as a whole.
    Full(Option<Bytes>),
    /// Written part by part.
    Stream {
        /// The parts.
        parts: mpsc::UnboundedReceiver<Result<Bytes, Closed>>,
        /// Length told in the head, if it is.
        length: Option<u64>,
        /// Whether the connection closes at the next poll.
        closing: bool,
    },
}

impl Body {
    /// Makes a whole body.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Some(bytes.into()))
    }

    /// Makes a streamed body and its writer. With `length` the head tells that length.
    pub fn stream(length: Option<u64>) -> (Sender, Self) {
        let (sender, parts) = mpsc::unbounded_channel();
        (
            Sender(sender),
            Self::Stream {
                parts,
                length,
                closing: false,
            },
        )
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = Closed;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Closed>>> {
        match &mut *self {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream { closing: true, .. } => Poll::Ready(Some(Err(Closed))),
            Self::Stream { parts, closing, .. } => match ready!(parts.poll_recv(cx)) {
                Some(Err(Closed)) => {
                    // The server writes out what it has buffered before the next poll; an error
                    // at once would make it drop that.
                    *closing = true;
                    cx.waker().wake_by_ref();
                    Poll::Pending
                }
                part => Poll::Ready(part.map(|part| part.map(Frame::data))),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Stream {
                length: Some(length),
                ..
            } => SizeHint::with_exact(*length),
            Self::Stream { .. } => SizeHint::default(),
        }
    }
}
