//! Connections to one upstream.
//!
//! - [`Link`] hands out connections within the limits of each [`Class`] and keeps idle ones.
//! - `conn` drives a connection and counts the bytes that were written to it.
//! - `body` reads a response body and gives the connection back once it is whole.
//!
//! A connection is driven by the call that uses it and by nothing else. A dropped call or body
//! therefore closes its connection at once, and no byte is written behind the call's back: the
//! byte count that an error reports is exact.

mod body;
mod conn;

use std::io::ErrorKind;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::http::HeaderValue;
use hyper::{Request, Response};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, sleep, timeout};
use wire::{Priority, Upstream};

pub use body::Body;
use conn::Conn;

use crate::error::{Error, Phase, Reach};
use crate::memory::Account;

/// Time within which the connections of a process that ends are closed, one after the other.
const CLOSE_SPREAD: Duration = Duration::from_millis(10);

/// Time within which a proxy before a process that has ended closes a new connection: a few round
/// trips.
const CLOSE_DELAY: Duration = Duration::from_millis(50);

/// Connections that a class may open; no class waits for another's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Class {
    /// Orders and reports.
    Control,
    /// Urgent requests.
    Urgent,
    /// All other requests.
    Ordinary,
}

impl From<Priority> for Class {
    fn from(priority: Priority) -> Self {
        match priority {
            Priority::Urgent => Self::Urgent,
            Priority::Normal | Priority::Routine => Self::Ordinary,
        }
    }
}

/// Whether a kept connection may carry the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reuse {
    /// A kept connection that is not known to be closed will do.
    Kept,
    /// Only a kept connection that was idle for less than this, or a new one: the upstream is not
    /// about to close it, which would leave the outcome unknown.
    Recent(Duration),
    /// Only a kept connection that was idle for less than `within` and had no exchange after
    /// `since`, or a new one: no late answer to an exchange after `since` can come on it.
    Unused {
        /// Longest idle time.
        within: Duration,
        /// When the exchanges began that it must not have carried.
        since: Instant,
    },
    /// Only a new connection will do, since the request may not be repeated.
    Fresh,
}

/// Which `host` header a request has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Host {
    /// The upstream's address.
    Upstream,
    /// The one that the caller sent, or else the upstream's address.
    Caller,
}

/// Limits of one link.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections at a time for [`Class::Control`].
    pub control: usize,
    /// Connections at a time for [`Class::Urgent`].
    pub urgent: usize,
    /// Connections at a time for [`Class::Ordinary`].
    pub ordinary: usize,
    /// Time until a connection is open.
    pub connect: Duration,
    /// Time from there until the response head has come.
    pub head: Duration,
    /// Time until the response head of a report or list; short, since a silent upstream would
    /// otherwise use up the control connections that its next order needs.
    pub report: Duration,
    /// Time between two parts of the response body.
    pub body: Duration,
    /// Time that an idle connection is kept.
    pub keep: Duration,
    /// Bytes of a response head; at least 8,192.
    pub head_bytes: usize,
    /// Bytes of a response body that is read as a whole; tiny parts count for more than their size.
    pub body_bytes: usize,
    /// Bytes of all such bodies that are held at a time.
    pub held_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            control: 16,
            urgent: 64,
            ordinary: 256,
            connect: Duration::from_millis(500),
            head: Duration::from_secs(30),
            report: Duration::from_secs(2),
            body: Duration::from_secs(10),
            keep: Duration::from_secs(20),
            head_bytes: 16 << 10,
            body_bytes: 8 << 20,
            held_bytes: 32 << 20,
        }
    }
}

/// One request with what the link must know of it.
#[derive(Debug)]
pub struct Call {
    /// The class whose connections it uses.
    pub class: Class,
    /// Whether a kept connection may carry it.
    pub reuse: Reuse,
    /// Time until the response head, in place of the link's limit.
    pub head: Option<Duration>,
    /// Which `host` header the upstream sees.
    pub host: Host,
    /// The request.
    pub request: Request<Full<Bytes>>,
}

/// The connections of one class.
#[derive(Debug)]
struct Pool {
    limit: usize,
    permits: Arc<Semaphore>,
    idle: Mutex<Vec<Conn>>,
}

impl Pool {
    fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self {
            limit,
            permits: Arc::new(Semaphore::new(limit)),
            idle: Mutex::new(Vec::new()),
        })
    }

    fn take(&self, keep: Duration, fits: impl Fn(&Conn) -> bool) -> Option<Conn> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|conn| conn.idle() < keep);
        // The last one was used last.
        let index = idle.iter().rposition(fits)?;
        Some(idle.remove(index))
    }

    fn sweep(&self, keep: Duration) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain_mut(|conn| conn.idle() < keep && conn.keeps());
    }

    fn give(&self, mut conn: Conn) {
        conn.used = Some(Instant::now());
        self.put_back(conn);
    }

    /// Keeps a connection that has carried nothing meanwhile.
    fn put_back(&self, conn: Conn) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < self.limit {
            idle.push(conn);
        }
    }
}

/// The connections to one upstream.
#[derive(Clone, Debug)]
pub struct Link {
    upstream: Upstream,
    address: SocketAddr,
    /// Local address of connections; the system chooses one by default.
    source: Option<IpAddr>,
    limits: Limits,
    /// Milliseconds for which an idle connection is kept.
    keep: Arc<AtomicU64>,
    /// Bodies that are held as a whole.
    memory: Arc<Account>,
    control: Arc<Pool>,
    urgent: Arc<Pool>,
    ordinary: Arc<Pool>,
}

impl Link {
    /// Makes a link without a connection to `upstream` at `address`.
    pub fn new(upstream: impl Into<Upstream>, address: SocketAddr, limits: Limits) -> Self {
        Self {
            upstream: upstream.into(),
            address,
            source: None,
            limits,
            keep: Arc::new(AtomicU64::new(millis(limits.keep))),
            memory: Account::new(limits.held_bytes),
            control: Pool::new(limits.control),
            urgent: Pool::new(limits.urgent),
            ordinary: Pool::new(limits.ordinary),
        }
    }

    /// Counts the bodies that are held as a whole in `memory` as well.
    #[must_use]
    pub fn within(self, memory: &Arc<Account>) -> Self {
        Self {
            memory: memory.child(self.limits.held_bytes),
            ..self
        }
    }

    /// Opens connections from the local address `source`, where there is one.
    #[must_use]
    pub fn bound_to(self, source: Option<IpAddr>) -> Self {
        Self { source, ..self }
    }

    /// Returns the upstream's id.
    pub fn upstream(&self) -> &Upstream {
        &self.upstream
    }

    /// Keeps idle connections for no longer than `time`, as the upstream states it.
    pub fn keep_for(&self, time: Duration) {
        let time = millis(time.min(self.limits.keep));
        self.keep.store(time, Ordering::Relaxed);
    }

    fn keep(&self) -> Duration {
        Duration::from_millis(self.keep.load(Ordering::Relaxed))
    }

    /// Returns the upstream's address.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the limits that the link was made with.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Sends one request once and returns the response head with its unread body.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] whose [`Error::reach`] tells whether a byte was written.
    pub async fn send(&self, call: Call) -> Result<Response<Body>, Error> {
        self.send_if(call, |_| true).await
    }

    /// Sends one request once, if `wanted` still holds when its connection is there: to open one may
    /// take as long as [`Limits::connect`]. `wanted` may bring the request's headers up to date.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Withdrawn`] where it no longer holds, and what [`Link::send`] returns.
    pub async fn send_if(
        &self,
        call: Call,
        wanted: impl FnOnce(&mut Request<Full<Bytes>>) -> bool,
    ) -> Result<Response<Body>, Error> {
        let pool = self.pool(call.class);
        let permit = self.permit(pool)?;
        let mut request = self.address_request(call.request, call.host)?;
        let mut conn = self.connection(pool, call.reuse).await?;
        if !wanted(&mut request) {
            if conn.used.is_some() {
                pool.put_back(conn);
            }
            return Err(Error::Withdrawn {
                upstream: self.upstream.clone(),
            });
        }
        let limit = call.head.unwrap_or(self.limits.head);
        let used = conn.used;
        let before = conn.written();
        let answer = timeout(limit, conn.send(request)).await;
        let reach = if conn.written() == before {
            Reach::NotSent
        } else {
            Reach::MaybeSent
        };
        let upstream = self.upstream.clone();
        match answer {
            Ok(Ok(response)) => Ok(response.map(|incoming| {
                Body::new(
                    self.clone(),
                    conn,
                    incoming,
                    body::Home::new(pool.clone(), permit),
                    used,
                )
            })),
            Ok(Err(error)) => Err(Error::Broken {
                upstream,
                cause: error.to_string(),
                reach,
            }),
            Err(_) => Err(Error::Timeout {
                upstream,
                phase: Phase::Head,
                limit,
                reach,
            }),
        }
    }

    fn pool(&self, class: Class) -> &Arc<Pool> {
        match class {
            Class::Control => &self.control,
            Class::Urgent => &self.urgent,
            Class::Ordinary => &self.ordinary,
        }
    }

    fn permit(&self, pool: &Pool) -> Result<OwnedSemaphorePermit, Error> {
        let permits = pool.permits.clone();
        permits.try_acquire_owned().map_err(|_| Error::Full {
            upstream: self.upstream.clone(),
            limit: pool.limit,
        })
    }

    fn address_request(
        &self,
        mut request: Request<Full<Bytes>>,
        host: Host,
    ) -> Result<Request<Full<Bytes>>, Error> {
        if host == Host::Caller && request.headers().contains_key(HOST) {
            return Ok(request);
        }
        let host = self.address.to_string();
        let host = HeaderValue::try_from(host).map_err(|error| Error::Invalid {
            upstream: self.upstream.clone(),
            cause: error.to_string(),
        })?;
        request.headers_mut().insert(HOST, host);
        Ok(request)
    }

    async fn connection(&self, pool: &Pool, reuse: Reuse) -> Result<Conn, Error> {
        let kept = match reuse {
            Reuse::Kept => self.kept(pool, |_| true).await,
            Reuse::Recent(within) => self.kept(pool, |conn| conn.idle() < within).await,
            Reuse::Unused { within, since } => {
                let fits = |conn: &Conn| conn.idle() < within && conn.used <= Some(since);
                self.kept(pool, fits).await
            }
            Reuse::Fresh => None,
        };
        match kept {
            Some(conn) => Ok(conn),
            None => self.open().await,
        }
    }

    async fn kept(&self, pool: &Pool, fits: impl Fn(&Conn) -> bool) -> Option<Conn> {
        while let Some(mut conn) = pool.take(self.keep(), &fits) {
            if conn.verify().await {
                return Some(conn);
            }
        }
        None
    }

    /// Closes the idle connections that were kept for long enough, or on which bytes came that belong
    /// to no response.
    pub fn sweep(&self) {
        for pool in [&self.ordinary, &self.urgent, &self.control] {
            pool.sweep(self.keep());
        }
    }

    /// Tells whether the upstream's process has ended: every kept connection is closed, and a new one
    /// is refused, or closed before anything was sent. One that cannot be reached may live.
    pub async fn has_ended(&self) -> bool {
        sleep(CLOSE_SPREAD).await;
        for pool in [&self.ordinary, &self.urgent, &self.control] {
            if let Some(conn) = self.kept(pool, |_| true).await {
                if conn.used.is_some() {
                    pool.put_back(conn);
                }
                return false;
            }
        }
        match self.open().await {
            Ok(mut conn) => {
                sleep(CLOSE_DELAY).await;
                !conn.verify().await
            }
            Err(Error::Connect { cause, .. }) => matches!(
                cause.kind(),
                ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset
            ),
            Err(_) => false,
        }
    }

    async fn connect(&self) -> std::io::Result<TcpStream> {
        let Some(source) = self.source else {
            return TcpStream::connect(self.address).await;
        };
        let socket = match source {
            IpAddr::V4(_) => TcpSocket::new_v4()?,
            IpAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.bind((source, 0).into())?;
        socket.connect(self.address).await
    }

    async fn open(&self) -> Result<Conn, Error> {
        let limit = self.limits.connect;
        let opened = timeout(limit, self.connect()).await;
        let refused = |cause| Error::Connect {
            upstream: self.upstream.clone(),
            cause,
        };
        let stream = opened
            .map_err(|_| Error::Timeout {
                upstream: self.upstream.clone(),
                phase: Phase::Connect,
                limit,
                reach: Reach::NotSent,
            })?
            .map_err(refused)?;
        stream.set_nodelay(true).map_err(refused)?;
        Conn::open(stream, self.limits.head_bytes)
            .await
            .map_err(|error| refused(std::io::Error::other(error)))
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
