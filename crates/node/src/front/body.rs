//! Bodies of responses to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use tokio::sync::mpsc;

/// Chunks that wait for a slow caller before the upstream side waits too.
const QUEUE_CHUNKS: usize = 64;

/// A body that is whole at once or streamed through a bounded queue.
#[derive(Debug)]
pub enum Body {
    /// The whole body, until it is taken.
    Full(Option<Bytes>),
    /// Chunks as they come. An error closes the connection, so that a cut body is seen as cut.
    Stream(mpsc::Receiver<Result<Bytes, Cut>>),
}

/// Marks a body that ended before it was whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("upstream's answer was cut; repeat the request if it may be repeated")]
pub struct Cut;

/// The sending half of a streamed body.
pub type Sender = mpsc::Sender<Result<Bytes, Cut>>;

impl Body {
    /// Makes a whole body.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Some(bytes.into()))
    }

    /// Makes a streamed body and its sending half.
    pub fn stream() -> (Sender, Self) {
        let (sender, receiver) = mpsc::channel(QUEUE_CHUNKS);
        (sender, Self::Stream(receiver))
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
            Self::Stream(chunks) => chunks
                .poll_recv(context)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
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
