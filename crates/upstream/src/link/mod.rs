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

use std::future::Future;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::http::HeaderValue;
use hyper::{Request, Response};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, sleep, timeout};
use wire::{Priority, Upstream};

pub use body::{Body, Collector, Framing};
use conn::Conn;

use crate::error::{Error, Phase, Reach};
use crate::memory::Account;
use crate::path::Way;
use crate::relay::{Opened, Router, Target, Verdict};

/// Time within which the connections of a process that ends are closed, one after the other.
const CLOSE_SPREAD: Duration = Duration::from_millis(10);

/// Time within which a proxy before a process that has ended closes a new connection: a few round
/// trips.
const CLOSE_DELAY: Duration = Duration::from_millis(50);

/// Time without a byte of an answer after which its connection's way is checked.
const SILENCE: Duration = Duration::from_millis(500);

/// What is known of an upstream's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    /// It takes connections.
    Running,
    /// It has ended.
    Ended,
    /// It cannot be reached, and may run or not.
    Unknown,
}

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
    /// Time until the response head of a report or list, and from there until it is whole; short, since
    /// a silent upstream would otherwise use up the control connections that its next order needs.
    pub report: Duration,
    /// Time between two parts of the response body, and between two events of an engine.
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

    fn sweep(&self, keep: Duration, fits: impl Fn(&Conn) -> bool) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain_mut(|conn| conn.idle() < keep && fits(conn) && conn.keeps());
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
    /// Opens its connections, if some may go through peers.
    router: Option<Arc<Router>>,
    /// Whether none may.
    direct: bool,
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
            router: None,
            direct: false,
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

    /// Opens connections by `router`, directly or through peers.
    #[must_use]
    pub fn routed(self, router: &Arc<Router>) -> Self {
        Self {
            router: Some(router.clone()),
            ..self
        }
    }

    /// Returns the link whose connections go through no peer; it shares those that are kept.
    #[must_use]
    pub fn direct(&self) -> Self {
        Self {
            direct: true,
            ..self.clone()
        }
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
        let way = conn.way.clone();
        let answer = timeout(limit, self.watched(conn.send(request))).await;
        let reach = if conn.written() == before {
            Reach::NotSent
        } else {
            Reach::MaybeSent
        };
        let upstream = self.upstream.clone();
        match &answer {
            Ok(Ok(_)) => self.heard(&way),
            Ok(Err(_)) => self.broke(&way),
            Err(_) => {}
        }
        match answer {
            Ok(Ok(response)) => {
                let home = body::Home::new(pool.clone(), permit);
                Ok(Body::of(response, self.clone(), conn, home, used))
            }
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

    /// Awaits an answer, and checks the way while none comes.
    async fn watched<T>(&self, answer: impl Future<Output = T>) -> T {
        let mut answer = pin!(answer);
        loop {
            let began = Instant::now();
            tokio::select! {
                biased;
                answer = &mut answer => return answer,
                () = sleep(SILENCE), if self.router.is_some() => self.suspect(began),
            }
        }
    }

    fn heard(&self, way: &Way) {
        if let Some(router) = &self.router {
            router.heard(&self.upstream, way);
        }
    }

    fn broke(&self, way: &Way) {
        if let Some(router) = &self.router {
            router.broke(&self.target(), way);
        }
    }

    fn suspect(&self, since: Instant) {
        if let Some(router) = &self.router {
            router.suspect(&self.target(), since);
        }
    }

    fn target(&self) -> Target {
        Target {
            upstream: self.upstream.clone(),
            address: self.address,
        }
    }

    /// Tells whether the way of a kept connection may still be used.
    fn fits(&self, conn: &Conn) -> bool {
        let Some(router) = &self.router else {
            return true;
        };
        let allowed = !self.direct || conn.way == Way::Direct;
        allowed && router.keeps(&self.upstream, &conn.way, conn.used)
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
        let fits = |conn: &Conn| fits(conn) && self.fits(conn);
        while let Some(mut conn) = pool.take(self.keep(), fits) {
            if conn.verify().await {
                return Some(conn);
            }
        }
        None
    }

    /// Closes the idle connections that were kept for long enough, whose way is not used any more, or on
    /// which bytes came that belong to no response.
    pub fn sweep(&self) {
        for pool in [&self.ordinary, &self.urgent, &self.control] {
            pool.sweep(self.keep(), |conn| self.fits(conn));
        }
    }

    /// Finds out whether the upstream's process has ended: every kept connection is closed, and a new one
    /// is refused, or closed before anything was sent.
    pub async fn life(&self) -> Life {
        sleep(CLOSE_SPREAD).await;
        for pool in [&self.ordinary, &self.urgent, &self.control] {
            if let Some(conn) = self.kept(pool, |_| true).await {
                if conn.used.is_some() {
                    pool.put_back(conn);
                }
                return Life::Running;
            }
        }
        if let Some(router) = &self.router {
            return match router.check(&self.upstream, self.address).await {
                Verdict::Reached => Life::Running,
                Verdict::Refused => Life::Ended,
                Verdict::Unknown => Life::Unknown,
            };
        }
        match self.open().await {
            Ok(mut conn) => {
                sleep(CLOSE_DELAY).await;
                if conn.verify().await {
                    Life::Running
                } else {
                    Life::Ended
                }
            }
            Err(Error::Connect { cause, .. }) => match cause.kind() {
                ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset => Life::Ended,
                _ => Life::Unknown,
            },
            Err(_) => Life::Unknown,
        }
    }

    async fn open(&self) -> Result<Conn, Error> {
        let limit = self.limits.connect;
        let refused = |cause| Error::Connect {
            upstream: self.upstream.clone(),
            cause,
        };
        let opened = match &self.router {
            Some(router) if !self.direct => router.open(&self.target(), limit).await,
            _ => self.open_directly(limit).await,
        };
        let opened = opened.map_err(|cause| match cause.kind() {
            ErrorKind::TimedOut => Error::Timeout {
                upstream: self.upstream.clone(),
                phase: Phase::Connect,
                limit,
                reach: Reach::NotSent,
            },
            _ => refused(cause),
        })?;
        Conn::open(opened, self.limits.head_bytes)
            .await
            .map_err(|error| refused(io::Error::other(error)))
    }

    async fn open_directly(&self, limit: Duration) -> io::Result<Opened> {
        if let Some(router) = &self.router {
            return router.open_directly(&self.target(), limit).await;
        }
        let opened = timeout(limit, TcpStream::connect(self.address)).await;
        let stream = opened.map_err(|_| ErrorKind::TimedOut)??;
        stream.set_nodelay(true)?;
        Ok(Opened {
            stream,
            way: Way::Direct,
            exact_end: true,
        })
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
