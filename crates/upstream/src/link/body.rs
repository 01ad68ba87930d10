//! A response body that is read from its connection part by part.

use std::future::{Future, poll_fn};
use std::mem;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body as _, Incoming};
use hyper::header::TRANSFER_ENCODING;
use hyper::{HeaderMap, Response};
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Instant, Sleep, sleep_until};

use super::conn::Conn;
use super::{Link, Pool};
use crate::error::{Error, Phase, Reach};
use crate::memory::{Buffer, Hold};
use crate::path::Way;

/// Bytes that a part of a body counts as at least. Bounds the work for a body that comes in tiny
/// parts, each of which costs about as much as one of this size.
const PART_BYTES_MIN: usize = 512;

/// Where a connection goes when its response is whole.
#[derive(Debug)]
pub(super) struct Home {
    pool: Arc<Pool>,
    _permit: OwnedSemaphorePermit,
}

impl Home {
    pub(super) fn new(pool: Arc<Pool>, permit: OwnedSemaphorePermit) -> Self {
        Self {
            pool,
            _permit: permit,
        }
    }
}

/// How the end of a response body is told (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length.
    Length,
    /// By a last chunk.
    Chunks,
    /// By the end of the connection.
    Connection,
}

impl Framing {
    fn of(response: &Response<Incoming>) -> Self {
        if response.body().size_hint().exact().is_some() {
            Self::Length
        } else if is_chunked(response.headers()) {
            Self::Chunks
        } else {
            Self::Connection
        }
    }

    /// Returns the name used in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        }
    }
}

/// Returns whether the last transfer encoding is that by chunks; no other one has an end of its own.
fn is_chunked(headers: &HeaderMap) -> bool {
    let last = headers.get_all(TRANSFER_ENCODING).into_iter().next_back();
    let last = last.and_then(|value| value.to_str().ok()?.rsplit(',').next());
    last.is_some_and(|name| name.trim().eq_ignore_ascii_case("chunked"))
}

/// A response body. Dropping it before its end closes the connection, which cancels the work.
#[derive(Debug)]
pub struct Body {
    link: Link,
    way: Way,
    framing: Framing,
    incoming: Incoming,
    offset: u64,
    open: Option<(Conn, Home)>,
    used: Option<Instant>,
    /// When the last part came.
    last: Instant,
    /// Ends no later than the idle limit after `last`. It is set anew only when it fires, which
    /// saves a timer operation for each part.
    idle: Pin<Box<Sleep>>,
}

impl Body {
    /// Replaces the body of a response that has come on `conn`.
    pub(super) fn of(
        response: Response<Incoming>,
        link: Link,
        conn: Conn,
        home: Home,
        used: Option<Instant>,
    ) -> Response<Self> {
        let framing = Framing::of(&response);
        let last = Instant::now();
        response.map(|incoming| Self {
            used,
            idle: Box::pin(sleep_until(last + link.limits.body)),
            last,
            link,
            way: conn.way.clone(),
            framing,
            incoming,
            offset: 0,
            open: Some((conn, home)),
        })
    }

    /// Returns over which way it comes.
    pub fn way(&self) -> &Way {
        &self.way
    }

    /// Returns how its end is told.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Returns the bytes received so far.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Returns when the connection's exchange before this one ended, or `None` where it had none.
    pub fn used(&self) -> Option<Instant> {
        self.used
    }

    /// Returns the next part, or `None` once the body is whole.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Cut`] where the body ends early and [`Error::Timeout`] where nothing comes
    /// within the limit.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Error> {
        let part = poll_fn(|cx| self.poll_in_time(cx)).await;
        self.last = Instant::now();
        part
    }

    fn poll_in_time(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, Error>> {
        if let Poll::Ready(part) = self.poll(cx) {
            return Poll::Ready(part);
        }
        let limit = self.link.limits.body;
        while self.idle.as_mut().poll(cx).is_ready() {
            let ends = self.last + limit;
            if Instant::now() >= ends {
                self.open = None;
                return Poll::Ready(Err(Error::Timeout {
                    upstream: self.link.upstream.clone(),
                    phase: Phase::Body,
                    limit,
                    reach: Reach::MaybeSent,
                }));
            }
            self.idle.as_mut().reset(ends);
        }
        Poll::Pending
    }

    /// Reads the rest of the body.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Large`] beyond the link's body limit, against which each part counts as at
    /// least 512 bytes, [`Error::NoMemory`] where the link's bodies take all memory that they may, and
    /// what [`Body::next`] returns.
    pub async fn collect(self) -> Result<Bytes, Error> {
        let mut collector = self.collector()?;
        loop {
            if let Some(whole) = collector.read().await? {
                return Ok(whole);
            }
        }
    }

    /// Reads the rest of the body part by part, as [`Body::collect`] does.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NoMemory`] where there is no room for the length that the body states.
    pub fn collector(self) -> Result<Collector, Error> {
        let limit = self.link.limits.body_bytes;
        let mut whole = Buffer::new(&self.link.memory);
        if let Some(length) = self.incoming.size_hint().exact() {
            let length = usize::try_from(length).unwrap_or(usize::MAX);
            whole.reserve(length.min(limit)).map_err(|_| self.full())?;
        }
        Ok(Collector {
            body: self,
            whole,
            counted: 0,
        })
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, Error>> {
        let Some((conn, _)) = &mut self.open else {
            return Poll::Ready(Ok(None));
        };
        loop {
            conn.drive(cx);
            match ready!(Pin::new(&mut self.incoming).poll_frame(cx)) {
                Some(Ok(frame)) => {
                    // Trailers carry nothing that the callers are promised.
                    if let Ok(part) = frame.into_data() {
                        conn.came(part.len());
                        self.offset += part.len() as u64;
                        return Poll::Ready(Ok(Some(part)));
                    }
                }
                Some(Err(error)) => {
                    self.open = None;
                    return Poll::Ready(Err(self.cut(error)));
                }
                None if self.framing == Framing::Connection && !conn.exact_end => {
                    self.open = None;
                    return Poll::Ready(Err(self.cut("the peer that relays it may have ended")));
                }
                None => {
                    conn.drive(cx);
                    self.give_back();
                    return Poll::Ready(Ok(None));
                }
            }
        }
    }

    /// Returns a hold of no bytes on the memory for the link's bodies.
    pub fn hold(&self) -> Hold {
        self.link.memory.hold()
    }

    /// Returns the error of a link whose bodies take all memory that they may.
    fn full(&self) -> Error {
        Error::NoMemory {
            upstream: self.link.upstream.clone(),
        }
    }

    fn give_back(&mut self) {
        if let Some((conn, home)) = self.open.take() {
            conn.finish();
            home.pool.give(conn);
        }
    }

    fn cut(&self, cause: impl ToString) -> Error {
        Error::Cut {
            upstream: self.link.upstream.clone(),
            offset: self.offset,
            cause: cause.to_string(),
        }
    }
}

/// A response body of which the parts are kept until it is whole.
#[derive(Debug)]
pub struct Collector {
    body: Body,
    whole: Buffer,
    /// Bytes so far, each part as [`PART_BYTES_MIN`] at least.
    counted: usize,
}

impl Collector {
    /// Reads the next part. Returns the whole body after the last one.
    ///
    /// # Errors
    ///
    /// Returns what [`Body::collect`] returns.
    pub async fn read(&mut self) -> Result<Option<Bytes>, Error> {
        let Some(part) = self.body.next().await? else {
            let next = Buffer::new(&self.body.link.memory);
            return Ok(Some(mem::replace(&mut self.whole, next).freeze()));
        };
        let limit = self.body.link.limits.body_bytes;
        self.counted += part.len().max(PART_BYTES_MIN);
        if self.counted > limit {
            return Err(Error::Large {
                upstream: self.body.link.upstream.clone(),
                limit,
            });
        }
        self.whole.push(&part).map_err(|_| self.body.full())?;
        Ok(None)
    }
}
