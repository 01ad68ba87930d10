//! Bodies of responses to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use tokio::sync::mpsc::{self, error::TrySendError};

/// Chunks that wait for a slow caller before the upstream side waits too.
const QUEUE_CHUNKS: usize = 64;

/// A body that is whole at once or streamed through a bounded queue.
#[derive(Debug)]
pub enum Body {
    /// The whole body, until it is taken.
    Full(Option<Bytes>),
    /// Chunks as they come. Unless its sender finishes it, the body is cut.
    Stream(mpsc::Receiver<Part>),
}

/// What is passed through a streamed body.
#[derive(Debug)]
pub enum Part {
    /// A chunk.
    Chunk(Bytes),
    /// The body is whole.
    End,
}

/// Marks a body that ended before it was whole. It closes the connection, so that the caller sees it as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("upstream's answer was cut; repeat the request if it may be repeated")]
pub struct Cut;

/// Why a chunk was not passed on.
#[derive(Debug, thiserror::Error)]
pub enum Unsent {
    /// The caller is slow, and the queue is full.
    #[error("the queue of a slow caller is full; wait for room")]
    Full(Bytes),
    /// The caller has left.
    #[error("the caller has left; stop the work for it")]
    Closed,
}

/// The sending half of a streamed body. Dropped before [`Sender::finish`], it cuts the body.
#[derive(Debug)]
pub struct Sender(mpsc::Sender<Part>);

impl Sender {
    /// Passes a chunk on once there is room.
    ///
    /// # Errors
    ///
    /// Returns [`Unsent::Closed`] where the caller has left.
    pub async fn send(&self, chunk: Bytes) -> Result<(), Unsent> {
        let sent = self.0.send(Part::Chunk(chunk)).await;
        sent.map_err(|_| Unsent::Closed)
    }

    /// Passes a chunk on if there is room now.
    ///
    /// # Errors
    ///
    /// Returns the chunk where there is none, and [`Unsent::Closed`] where the caller has left.
    pub fn try_send(&self, chunk: Bytes) -> Result<(), Unsent> {
        self.0.try_send(Part::Chunk(chunk)).map_err(|unsent| {
            let TrySendError::Full(Part::Chunk(chunk)) = unsent else {
                return Unsent::Closed;
            };
            Unsent::Full(chunk)
        })
    }

    /// Ends the body as whole.
    pub async fn finish(&self) {
        // A caller that has left needs no end.
        let _ = self.0.send(Part::End).await;
    }

    /// Waits until the caller has left.
    pub async fn closed(&self) {
        self.0.closed().await;
    }

    /// Returns whether the caller has left.
    pub fn is_closed(&self) -> bool {
        self.0.is_closed()
    }
}

impl Body {
    /// Makes a whole body.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Some(bytes.into()))
    }

    /// Makes a streamed body and its sending half.
    pub fn stream() -> (Sender, Self) {
        let (sender, receiver) = mpsc::channel(QUEUE_CHUNKS);
        (Sender(sender), Self::Stream(receiver))
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match self.get_mut() {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(parts) => parts.poll_recv(context).map(|part| match part {
                Some(Part::Chunk(chunk)) => Some(Ok(Frame::data(chunk))),
                Some(Part::End) => None,
                None => Some(Err(Cut)),
            }),
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
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
