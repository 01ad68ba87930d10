//! Opens connections over the way that works.

use std::io::{self, ErrorKind};
use std::net::{IpAddr, SocketAddr};
use std::pin::pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};
use wire::seal::Seal;
use wire::{Incarnation, Time, Upstream, Vm, Zone};

use super::client::{self, Failure, Tunnel};
use super::{connect, token};
use crate::path::{Change, Control, Paths, Peer, Step, Way};

/// Limit for one peer to open a connection: several round trips to it and from there to the upstream.
const RELAY_LIMIT: Duration = Duration::from_millis(180);

/// Limit for a direct connection whose way is checked.
const CHECK_LIMIT: Duration = Duration::from_millis(300);

/// Time for which a connection has to stay open before the way counts as sound: a proxy before a process
/// that has ended, or before a network that is partitioned, takes it and closes it.
const HOLD: Duration = Duration::from_millis(50);

/// The same for a connection through a peer where this node's own was refused: its end comes later, and one
/// of several peers that are late would do to deny a crash.
const REFUSED_HOLD: Duration = Duration::from_millis(200);

/// Other upstreams that have to be tried, and all of them to fail, before this node counts as partitioned from all.
const CONTROLS_MIN: usize = 2;

/// Time for which their connections have to stay open: longer, since the machine that resets all may be
/// late with some.
const CONTROL_HOLD: Duration = Duration::from_millis(250);

/// Peers that are asked at a time in a check.
const ASKED_TOGETHER: usize = 3;

/// Connections by way.
#[derive(Debug, Default)]
pub struct Counts {
    /// Opened directly.
    pub direct: AtomicU64,
    /// Opened through peers.
    pub relayed: AtomicU64,
    /// Neither.
    pub failed: AtomicU64,
    /// Peers that were asked and opened none.
    pub refused: AtomicU64,
    /// Direct ones opened to check the way.
    pub checks: AtomicU64,
}

/// Where a connection goes.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) upstream: Upstream,
    pub(crate) address: SocketAddr,
}

/// A new connection.
#[derive(Debug)]
pub(crate) struct Opened {
    pub(crate) stream: TcpStream,
    pub(crate) way: Way,
    /// Whether it ends in good order only where the upstream has ended it.
    pub(crate) exact_end: bool,
}

/// What a check of the way to an upstream has shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It takes connections, directly or through a peer.
    Reached,
    /// It refuses connections, this node's and a peer's.
    Refused,
    /// Nothing is known of it.
    Unknown,
}

/// Opens the connections of one node.
pub struct Router {
    me: Incarnation,
    seal: Seal,
    source: Option<IpAddr>,
    started: Instant,
    paths: Mutex<Paths>,
    counts: Counts,
}

impl std::fmt::Debug for Router {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Router")
            .field("me", &self.me)
            .finish_non_exhaustive()
    }
}

impl Router {
    /// Makes the router of a node in an availability zone, whose connections come from its own address
    /// `source` where one is given. It knows no peer.
    pub fn new(
        me: Incarnation,
        zone: impl Into<Zone>,
        seal: Seal,
        source: Option<IpAddr>,
    ) -> Arc<Self> {
        Arc::new(Self {
            paths: Mutex::new(Paths::new(me.vm.clone(), zone)),
            me,
            seal,
            source,
            started: Instant::now(),
            counts: Counts::default(),
        })
    }

    /// Replaces the live peers that open connections for others.
    pub fn set_peers(&self, peers: impl IntoIterator<Item = Peer>) {
        self.paths().set_peers(peers);
    }

    /// Replaces the upstreams that ought to take connections, by which [`Router::check`] tells whether this
    /// node reaches any.
    pub fn set_controls(&self, controls: impl IntoIterator<Item = Control>) {
        self.paths().set_controls(controls);
    }

    /// Forgets an upstream that is gone, or whose address has changed.
    pub fn forget(&self, upstream: &str) {
        self.paths().forget(upstream);
    }

    /// Returns the ways that have changed since the last call.
    pub fn take_changes(&self) -> Vec<Change> {
        self.paths().take_changes()
    }

    /// Returns how many connections were opened.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Returns the upstream to which [`Router::probe`] is to be called now, if any is due.
    pub fn due(&self) -> Option<Upstream> {
        let now = self.now();
        self.paths().probe(now)
    }

    /// Tries a direct connection to an upstream that is reached through a peer.
    pub async fn probe(&self, upstream: &Upstream, address: SocketAddr) {
        if !self.reaches(upstream, address, HOLD).await {
            self.paths().probe_failed();
        }
    }

    /// Tells whether a direct connection opens and stays open for so long.
    async fn reaches(&self, upstream: &Upstream, address: SocketAddr, hold: Duration) -> bool {
        self.counts.checks.fetch_add(1, Ordering::Relaxed);
        let open = match timeout(CHECK_LIMIT, self.direct(address)).await {
            Ok(Ok(stream)) => stays_open(&stream, hold).await,
            _ => false,
        };
        if open {
            self.reached(upstream);
        }
        open
    }

    /// Tells whether this node seems to reach no upstream but perhaps this one: what becomes of its
    /// connections says nothing about upstreams then.
    pub async fn is_apart(self: &Arc<Self>, upstream: &str) -> bool {
        let controls = self.paths().controls(upstream);
        if controls.len() < CONTROLS_MIN {
            return false;
        }
        let mut tried = JoinSet::new();
        for Control { upstream, address } in controls {
            let router = self.clone();
            tried.spawn(async move { router.reaches(&upstream, address, CONTROL_HOLD).await });
        }
        while let Some(reached) = tried.join_next().await {
            if matches!(reached, Ok(true)) {
                return false;
            }
        }
        true
    }

    /// Finds out whether `upstream` takes connections. Where this node's are refused and no peer reaches it,
    /// it counts as refusing all, unless this node reaches no other upstream either, or seems to be
    /// partitioned from several.
    pub async fn check(self: &Arc<Self>, upstream: &Upstream, address: SocketAddr) -> Verdict {
        self.counts.checks.fetch_add(1, Ordering::Relaxed);
        let refused = match timeout(CHECK_LIMIT, self.direct(address)).await {
            Ok(Ok(stream)) if stays_open(&stream, HOLD).await => {
                self.reached(upstream);
                return Verdict::Reached;
            }
            Ok(Ok(_)) => true,
            Ok(Err(error)) => is_refusal(&error),
            Err(_) => false,
        };
        let target = Target {
            upstream: upstream.clone(),
            address,
        };
        let hold = if refused { REFUSED_HOLD } else { HOLD };
        let relay = self.ask_together(&target, hold).await;
        let apart = refused && relay.is_none() && self.is_apart(upstream).await;
        let now = self.now();
        let mut paths = self.paths();
        paths.check_failed(now, upstream);
        if let Some(peer) = relay {
            paths.relayed(now, upstream, &peer);
            return Verdict::Reached;
        }
        paths.unreached(now, upstream);
        if refused && !apart && (!paths.is_suspected() || paths.is_refused(now, upstream)) {
            Verdict::Refused
        } else {
            Verdict::Unknown
        }
    }

    /// Asks several peers at a time for a connection that stays open for `hold`. Returns the first that opens
    /// one.
    async fn ask_together(self: &Arc<Self>, target: &Target, hold: Duration) -> Option<Vm> {
        let mut asked = JoinSet::new();
        for peer in self
            .candidates(&target.upstream)
            .into_iter()
            .take(ASKED_TOGETHER)
        {
            let (router, target) = (self.clone(), target.clone());
            asked.spawn(async move {
                let tunnel = router.ask(&target, &peer, hold).await;
                (peer.vm, tunnel.map(drop))
            });
        }
        while let Some(answer) = asked.join_next().await {
            match answer {
                Ok((peer, Ok(()))) => return Some(peer),
                Ok((peer, Err(failure))) => {
                    self.counts.refused.fetch_add(1, Ordering::Relaxed);
                    self.relay_failed(&target.upstream, &peer, failure);
                }
                // A task that was aborted has asked nobody.
                Err(_) => {}
            }
        }
        None
    }

    /// Takes in that a connection over `way` broke a request off.
    pub(crate) fn broke(self: &Arc<Self>, target: &Target, way: &Way) {
        if let Way::Peer(peer) = way {
            self.relay_failed(&target.upstream, peer, Failure::Unreached);
        }
        self.suspect(target, Instant::now());
    }

    /// Checks the way in the background, unless that was done a moment ago or bytes have come since.
    pub(crate) fn suspect(self: &Arc<Self>, target: &Target, since: Instant) {
        self.check_since(target, self.now(), self.time(since));
    }

    fn check_since(self: &Arc<Self>, target: &Target, now: Time, since: Time) {
        if self.paths().may_check(now, &target.upstream, since) {
            let (router, target) = (self.clone(), target.clone());
            tokio::spawn(async move { router.check(&target.upstream, target.address).await });
        }
    }

    /// Takes in that bytes came over `way`.
    pub(crate) fn heard(&self, upstream: &Upstream, way: &Way) {
        let now = self.now();
        self.paths().heard(now, upstream, way);
    }

    /// Tells whether a kept connection may carry another request.
    pub(crate) fn keeps(&self, upstream: &str, way: &Way, used: Option<Instant>) -> bool {
        let used = used.map(|used| self.time(used));
        self.paths().keeps(upstream, way, used)
    }

    /// Opens a connection within `limit`.
    ///
    /// # Errors
    ///
    /// Returns the system's error on the direct attempt, [`ErrorKind::TimedOut`] where it was not
    /// answered, or is refused though the upstream may take those of others.
    pub(crate) async fn open(&self, target: &Target, limit: Duration) -> io::Result<Opened> {
        let now = self.now();
        let step = self.paths().step(now, &target.upstream);
        let opened = timeout(limit, self.open_by(step, target)).await;
        let opened = opened.unwrap_or_else(|_| {
            let now = self.now();
            if step != Step::Direct {
                self.paths().timed_out(now, &target.upstream);
            }
            Err(ErrorKind::TimedOut.into())
        });
        let count = match &opened {
            Ok(opened) if opened.way == Way::Direct => &self.counts.direct,
            Ok(_) => &self.counts.relayed,
            Err(_) => &self.counts.failed,
        };
        count.fetch_add(1, Ordering::Relaxed);
        opened
    }

    /// Opens a connection through no peer, within `limit`. Where that fails, it finds out in the
    /// background whether peers reach the upstream: there may be no other calls that would show it.
    ///
    /// # Errors
    ///
    /// Returns the system's error, [`ErrorKind::TimedOut`] where the attempt was not answered.
    pub(crate) async fn open_directly(
        self: &Arc<Self>,
        target: &Target,
        limit: Duration,
    ) -> io::Result<Opened> {
        let opened = timeout(limit, self.connect(target)).await;
        let opened = opened.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()));
        let stream = opened.inspect_err(|_| {
            let now = self.now();
            self.check_since(target, now, now);
        })?;
        Ok(opened_directly(stream))
    }

    async fn open_by(&self, step: Step, target: &Target) -> io::Result<Opened> {
        match step {
            Step::Direct => self.connect(target).await.map(opened_directly),
            Step::Race { head_start } => self.race(target, head_start).await,
            Step::Relay => match self.through_peer(target).await {
                Ok((tunnel, peer)) => Ok(self.opened_by(target, tunnel, peer)),
                Err(_) => {
                    let stream = self.connect(target).await;
                    let stream = stream.inspect_err(|_| self.unreached(target))?;
                    Ok(opened_directly(stream))
                }
            },
        }
    }

    /// Opens a connection directly and, after the head start, through a peer as well.
    async fn race(&self, target: &Target, head_start: Duration) -> io::Result<Opened> {
        let mut direct = pin!(self.connect(target));
        let early = tokio::select! {
            biased;
            opened = &mut direct => Some(opened),
            () = sleep(head_start) => None,
        };
        let refusal = match early {
            Some(Ok(stream)) => return Ok(opened_directly(stream)),
            Some(Err(error)) => Some(error),
            None => None,
        };
        let relayed = {
            let mut relayed = pin!(self.through_peer(target));
            match refusal {
                Some(error) => relayed.await.map_err(|failure| (failure, Some(error))),
                None => tokio::select! {
                    biased;
                    opened = &mut direct => match opened {
                        Ok(stream) => return Ok(opened_directly(stream)),
                        Err(error) => relayed.await.map_err(|failure| (failure, Some(error))),
                    },
                    relayed = &mut relayed => relayed.map_err(|failure| (failure, None)),
                },
            }
        };
        let (failure, refusal) = match relayed {
            Ok((tunnel, peer)) => return Ok(self.opened_by(target, tunnel, peer)),
            Err(failed) => failed,
        };
        let error = match refusal {
            Some(error) => error,
            None => match direct.await {
                Ok(stream) => return Ok(opened_directly(stream)),
                Err(error) => error,
            },
        };
        self.unreached(target);
        // A refusal counts only where a peer has met one as well.
        if is_refusal(&error) && failure == Failure::Unreached {
            return Err(io::Error::new(ErrorKind::TimedOut, error));
        }
        Err(error)
    }

    /// Opens a direct connection. Where the direct way was lost, it has to stay open for a while.
    async fn connect(&self, target: &Target) -> io::Result<TcpStream> {
        let stream = self.direct(target.address).await?;
        let doubted = self.paths().is_doubted(&target.upstream);
        if doubted && !stays_open(&stream, HOLD).await {
            return Err(ErrorKind::ConnectionReset.into());
        }
        self.reached(&target.upstream);
        Ok(stream)
    }

    /// Takes in that a direct connection has opened.
    fn reached(&self, upstream: &Upstream) {
        let now = self.now();
        self.paths().reached(now, upstream);
    }

    async fn direct(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let stream = connect(self.source, address).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    /// Asks one peer after the other for a connection.
    async fn through_peer(&self, target: &Target) -> Result<(Tunnel, Vm), Failure> {
        let upstream = &target.upstream;
        let resorts = self.last_resorts(upstream);
        for peer in self.candidates(upstream).into_iter().chain(resorts) {
            let failure = match self.ask(target, &peer, Duration::ZERO).await {
                Ok(tunnel) => return Ok((tunnel, peer.vm)),
                Err(failure) => failure,
            };
            self.counts.refused.fetch_add(1, Ordering::Relaxed);
            self.relay_failed(upstream, &peer.vm, failure);
            if self.is_refused(upstream) {
                break;
            }
        }
        if self.is_refused(upstream) {
            Err(Failure::Refused)
        } else {
            Err(Failure::Unreached)
        }
    }

    /// Asks a peer for a connection, which has to stay open for `hold`.
    async fn ask(&self, target: &Target, peer: &Peer, hold: Duration) -> Result<Tunnel, Failure> {
        let (upstream, address) = (&target.upstream, target.address);
        let text = token::make(&self.seal, &self.me, &peer.vm, upstream, address);
        let text = text.ok_or(Failure::Unreached)?;
        let asked = client::open(self.source, peer.address, address, text);
        let opened = timeout(RELAY_LIMIT, asked).await;
        let tunnel = opened.map_err(|_| Failure::Unreached)??;
        if !hold.is_zero() && !stays_open(&tunnel.stream, hold).await {
            return Err(Failure::Refused);
        }
        Ok(tunnel)
    }

    /// Takes in that a peer opened no connection, or one that broke a request off.
    fn relay_failed(&self, upstream: &Upstream, peer: &Vm, failure: Failure) {
        let (now, refused) = (self.now(), failure == Failure::Refused);
        self.paths().relay_failed(now, upstream, peer, refused);
    }

    fn is_refused(&self, upstream: &Upstream) -> bool {
        let now = self.now();
        self.paths().is_refused(now, upstream)
    }

    fn opened_by(&self, target: &Target, tunnel: Tunnel, peer: Vm) -> Opened {
        let now = self.now();
        self.paths().relayed(now, &target.upstream, &peer);
        Opened {
            stream: tunnel.stream,
            way: Way::Peer(peer),
            exact_end: tunnel.exact_end,
        }
    }

    fn unreached(&self, target: &Target) {
        let now = self.now();
        self.paths().unreached(now, &target.upstream);
    }

    fn candidates(&self, upstream: &Upstream) -> Vec<Peer> {
        let now = self.now();
        self.paths().candidates(now, upstream)
    }

    fn last_resorts(&self, upstream: &Upstream) -> Vec<Peer> {
        let now = self.now();
        self.paths().last_resorts(now, upstream)
    }

    pub(super) fn me(&self) -> &Vm {
        &self.me.vm
    }

    pub(super) fn seal(&self) -> &Seal {
        &self.seal
    }

    /// Tells whether this node knows that it is partitioned from the upstream.
    pub(super) fn is_lost(&self, upstream: &str) -> bool {
        self.paths().is_lost(upstream)
    }

    /// Opens a direct connection for a peer.
    pub(super) async fn open_for_peer(&self, target: &Target) -> io::Result<TcpStream> {
        self.connect(target).await
    }

    fn now(&self) -> Time {
        self.started.elapsed()
    }

    fn time(&self, at: Instant) -> Time {
        at.saturating_duration_since(self.started)
    }

    fn paths(&self) -> MutexGuard<'_, Paths> {
        self.paths.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

const fn opened_directly(stream: TcpStream) -> Opened {
    Opened {
        stream,
        way: Way::Direct,
        exact_end: true,
    }
}

/// Tells whether the other side has actively refused a connection.
pub(super) fn is_refusal(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset
    )
}

/// Tells whether a connection on which nothing was sent is still open after `hold`.
async fn stays_open(stream: &TcpStream, hold: Duration) -> bool {
    // Nothing comes before a request: what can be read is the end.
    timeout(hold, stream.readable()).await.is_err()
}
