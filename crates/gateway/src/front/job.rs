//! One request from its head to its final answer.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use dispatch::culprit::Feature;
use dispatch::poison::{self, Fingerprint};
use exchange::Selection;
use exchange::demand::Target;
use exchange::fleet::Release;
use exchange::outcome::{Execution, FailedAttempt, RetryDecision};
use exchange::prompt::PartId;
use exchange::proof::Proof;
use exchange::relay::Cursor;
use exchange::route::{Route, RouteKind, Service};
use exchange::selection::Requirements;
use exchange::tenant::Tenant;
use hyper::header::AUTHORIZATION;
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};
use log::info;
use node::front::{Body, Caller, Outcome, Problem};
use node::journal::DECISION;
use upstream::link::Framing;
use upstream::path;
use wire::{Time, Upstream};

use super::attempt::Tried;
use super::place::Placed;
use crate::dialect::{Ask, Dialect};
use crate::hub::{Hub, LoadWait};

/// Least time in which an attempt can still bring an answer: a few round trips.
const LEAST: Duration = Duration::from_millis(25);

/// Time for which callers wait for a first byte at least.
const PATIENCE_MIN: Duration = Duration::from_millis(1_800);

/// Pause that a refused caller is told, spread over half of it and more by the attempt, so that
/// callers do not return together.
const AGAIN: Duration = Duration::from_millis(400);

/// Shortest pause that a caller is told where the end of a wait is known: less than a round trip would
/// read as none.
const AFTER_MIN: Duration = Duration::from_millis(20);

/// Pause that the caller of a request is told which crashes what runs it: nothing but new software
/// at the upstreams changes that.
const CONVICTED_AGAIN: Duration = Duration::from_secs(60);

/// Outcome of a request whose caller has left.
const CALLER_LEFT: &str = "caller-left";

/// When a refused caller may come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Return {
    /// After a moment.
    Soon,
    /// After about that time.
    About(Duration),
    /// Not before that time is over.
    After(Duration),
}

impl Return {
    /// Returns the pause to tell the caller of an attempt that hashes to `seed`: spread over as long
    /// again, so that callers do not return together.
    fn spread(self, seed: u64) -> Duration {
        let part = (seed % 1_000) as f64 / 1_000.0;
        match self {
            Self::Soon => AGAIN.mul_f64(0.5 + part),
            Self::About(time) => time.mul_f64(0.5 + part),
            Self::After(time) => time.max(AFTER_MIN).mul_f64(1.0 + part / 2.0),
        }
    }
}

/// Fixed facts of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Terms {
    /// When its head had come.
    pub(super) arrived: Time,
    /// Revision of the configuration that it is served by.
    pub(super) revision: u64,
    /// When the caller leaves.
    pub(super) caller: Time,
    /// When its final answer goes out at the latest.
    pub(super) deadline: Time,
    /// Hash of the attempt.
    pub(super) seed: u64,
    /// Its rank; 0 goes first.
    pub(super) rank: u8,
    /// Whether callers bring keys.
    pub(super) keyed: bool,
}

/// Where a request goes, and whose it is.
pub(super) struct Way {
    pub(super) route: Arc<Route>,
    pub(super) service: Arc<Service>,
    /// The tenant whose key it brings, where it needs one.
    pub(super) tenant: Option<Arc<Tenant>>,
}

/// One request.
pub(super) struct Job<D: Dialect> {
    pub(super) hub: Arc<Hub<D>>,
    /// Who waits for its answer.
    caller: Caller,
    pub(super) ask: Ask,
    pub(super) route: Arc<Route>,
    pub(super) service: Arc<Service>,
    pub(super) tenant: Option<Arc<Tenant>>,
    pub(super) terms: Terms,
    pub(super) head: Parts,
    pub(super) body: Bytes,
    /// Fingerprint of its work.
    print: Fingerprint,
    /// What it has in common with other requests, its work included; sorted.
    pub(super) features: Vec<Feature>,
    /// Whether its present attempt finds out whether a conviction still holds.
    pub(super) trial: bool,
    /// Upstreams that it was sent to.
    pub(super) tried: Vec<Upstream>,
    /// Every upstream that it was sent to, as often as it was.
    pub(super) sends: Vec<Upstream>,
    /// Attempts so far.
    pub(super) attempts: u32,
    /// Whether the next attempt is paid for already.
    prepaid: AtomicBool,
    /// The load that it waits for.
    pub(super) load_wait: Option<LoadWait<D>>,
    /// Time that its load was first expected to take.
    pub(super) expected: Option<Duration>,
    /// Full engines that it left for others.
    pub(super) moved: u32,
    /// Whether no other prompt is read at its engine when it comes there.
    pub(super) alone: bool,
    /// Promises so far that it did not run.
    pub(super) refusals: u32,
    /// The furthest that any attempt got.
    pub(super) worst: Execution,
    /// Time that it waited for its adapter.
    pub(super) stalled: Duration,
    /// Time that it waited to be let in.
    pub(super) queued: Duration,
    /// Milliseconds from its arrival until it was written to an upstream last; 0 if it never was.
    pub(super) written_ms: AtomicU64,
    /// Time from its arrival to the first event of its stream.
    pub(super) first: Duration,
    /// When events of its stream were passed on last.
    pub(super) last_part: Time,
    /// Longest pause between two such times.
    pub(super) gap: Duration,
    /// Events of its stream that were passed on.
    pub(super) events: u64,
    /// Last event of its stream that has reached the caller.
    pub(super) after: Option<u64>,
    /// Release that its stream began at, once it has begun.
    pub(super) release: Option<Release>,
    /// Over which way the last answer came, and how its end is told.
    pub(super) answer: Option<(path::Way, Framing)>,
    ended: bool,
}

impl<D: Dialect> Job<D> {
    pub(super) fn new(
        hub: Arc<Hub<D>>,
        caller: Caller,
        ask: Ask,
        way: Way,
        terms: Terms,
        (head, body): (Parts, Bytes),
    ) -> Self {
        let print = print_of(&head, &body);
        Self {
            after: ask.after,
            features: features_of(print, &ask.parts),
            print,
            trial: false,
            hub,
            caller,
            ask,
            route: way.route,
            service: way.service,
            tenant: way.tenant,
            terms,
            head,
            body,
            tried: Vec::new(),
            sends: Vec::new(),
            attempts: 0,
            prepaid: AtomicBool::new(false),
            load_wait: None,
            expected: None,
            moved: 0,
            alone: false,
            refusals: 0,
            worst: Execution::NotRun(Proof::unsent()),
            stalled: Duration::ZERO,
            queued: Duration::ZERO,
            written_ms: AtomicU64::new(0),
            first: Duration::ZERO,
            last_part: Time::ZERO,
            gap: Duration::ZERO,
            events: 0,
            release: None,
            answer: None,
            ended: false,
        }
    }

    /// Passes the request on until it has its answer.
    ///
    /// # Errors
    ///
    /// Returns the refusal or failure that the caller is told.
    pub(super) async fn run(mut self) -> Result<Response<Body>, Problem> {
        if self.hub.convicted(&self.features).is_some() {
            return Err(self.refuse_convicted());
        }
        let now = self.hub.clock.now();
        self.hub
            .desk()
            .spend
            .record_request(now, &self.service.name);
        if self.ask.takes_up() && self.route.kind.streams() && !self.find_origin().await {
            return Err(self.refuse_unknown_release());
        }
        let target = self.target();
        let need = self.need(target.as_ref());
        self.hub.demand(&need);
        let mut cursor = Cursor::new(self.ask.after);
        loop {
            let runner = match self.await_place().await {
                Placed::At(runner) => runner,
                Placed::Refused(reason, back) => return Err(self.refuse(reason, back)),
                Placed::Convicted => return Err(self.refuse_convicted()),
                Placed::CallerLeft => return Err(self.abandon()),
            };
            match self.attempt(&runner, &mut cursor).await {
                Tried::Whole(response) => {
                    self.end(response.status().as_u16(), "answered");
                    return Ok(response);
                }
                Tried::Open(open) => {
                    self.begin_stream(open.release);
                    return Ok(self.relay(*open, cursor));
                }
                Tried::Convicted => return Err(self.refuse_convicted()),
                Tried::Failed { reach, own } => {
                    cursor.restart();
                    self.worst = self.worst.max(reach);
                    if !self.again(reach) {
                        return self.give_up(own);
                    }
                }
            }
        }
    }

    /// Finds out which release began the stream that the caller takes up. Returns whether it is known.
    async fn find_origin(&mut self) -> bool {
        let first = self.ask.first_attempt();
        self.release = self.hub.find_origin(first, &self.service.name).await;
        self.release.is_some()
    }

    /// Notes that a stream begins at a release, or goes on there.
    fn begin_stream(&mut self, release: Release) {
        self.release = Some(release);
        if let (true, Some(first)) = (self.route.kind.repeatable(), self.ask.first_attempt()) {
            self.hub.record_origin(first, release);
        }
    }

    /// Returns the model that the request needs, where its pool has engines.
    pub(super) fn target(&self) -> Option<Target> {
        self.service.engine.as_ref()?;
        self.ask.target.clone()
    }

    /// Returns how long an engine takes to read the request's prompt.
    pub(super) fn reading(&self) -> Duration {
        self.ask
            .prompt
            .map_or(Duration::ZERO, |tokens| self.hub.reading(tokens))
    }

    /// Returns what the request needs of an upstream.
    pub(super) fn need<'a>(&'a self, target: Option<&'a Target>) -> Requirements<'a> {
        Requirements {
            service: &self.service,
            target,
            tried: &self.tried,
            seed: self.terms.seed,
            urgent: self.terms.rank == 0,
            prefill_time: self.reading(),
            release: self.release,
        }
    }

    /// Returns the time in which its next byte has to come, since callers leave after that.
    pub(super) fn patience(&self) -> Duration {
        let factor = self.hub.exchange.patience;
        let limit = self.route.latency_target.mul_f64(factor).max(PATIENCE_MIN);
        let until = self.terms.arrived.max(self.last_part) + limit;
        until.saturating_sub(self.hub.clock.now()).min(self.left())
    }

    /// Records that the request is about to be written to an upstream.
    pub(super) fn record_write(&self) {
        let age = self.hub.clock.now().saturating_sub(self.terms.arrived);
        let age = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        self.written_ms.store(age.max(1), Ordering::Relaxed);
    }

    /// Returns the time until the final answer.
    pub(super) fn left(&self) -> Duration {
        self.terms.deadline.saturating_sub(self.hub.clock.now())
    }

    /// Tells whether another attempt may follow one that got as far as `reach`, and pays for it.
    pub(super) fn again(&mut self, reach: Execution) -> bool {
        let standing = FailedAttempt {
            kind: self.route.kind,
            execution: reach,
            worst: self.worst,
            attempts_left: self.route.attempts.saturating_sub(self.attempts),
            time_left: self.left(),
            min_time: LEAST,
        };
        if !standing.may_retry() || self.may_have_crashed(reach) {
            return false;
        }
        let paid = self.prepaid.swap(false, Ordering::Relaxed);
        standing.decide(paid || self.pay()) == RetryDecision::Retry
    }

    /// Waits for a place, until such requests are found to crash upstreams or nobody waits for the
    /// answer any more.
    pub(super) async fn await_place(&mut self) -> Placed {
        if self.caller.has_left() {
            return Placed::CallerLeft;
        }
        let (hub, features) = (self.hub.clone(), self.features.clone());
        let caller = self.caller.clone();
        tokio::select! {
            biased;
            () = caller.left() => Placed::CallerLeft,
            _ = hub.conviction(&features) => Placed::Convicted,
            placed = self.place() => placed,
        }
    }

    /// Waits until nobody waits for the answer any more.
    pub(super) async fn caller_left(&self) {
        self.caller.left().await;
    }

    /// Returns whether the caller is there and has time left, so that the request may be sent.
    pub(super) fn is_awaited(&self) -> bool {
        !self.patience().is_zero() && !self.caller.has_left()
    }

    /// Ends a request whose caller has left before it was sent. Nobody reads the problem.
    fn abandon(&mut self) -> Problem {
        self.end(0, CALLER_LEFT);
        let detail = "the caller has left; nothing is sent for it any more";
        Problem::new(StatusCode::BAD_GATEWAY, Outcome::Unknown, detail)
    }

    /// Returns whether the request may crash another upstream if it is sent again.
    fn may_have_crashed(&self, reach: Execution) -> bool {
        match reach {
            Execution::NotRun(_) => self.hub.convicted(&self.features).is_some(),
            Execution::Unknown => self.hub.suspected(&self.features),
        }
    }

    /// Notes that the last try has reached no upstream, so that the next one costs nothing.
    pub(super) fn prepay(&self) {
        self.prepaid.store(true, Ordering::Relaxed);
    }

    /// Takes a repeat out of the budget where it allows one.
    fn pay(&self) -> bool {
        let now = self.hub.clock.now();
        let nodes = self.hub.nodes();
        let mut desk = self.hub.desk();
        desk.spend.try_spend(now, &self.service.name, nodes)
    }

    /// Tells whether the request may leave an upstream that has been silent for `silence`: only where
    /// another one can take it at once, which is paid for here.
    pub(super) fn may_move(&self, silence: Duration) -> bool {
        let movable = self.route.kind.repeatable() && self.attempts < self.route.attempts;
        if !movable || self.left() < LEAST {
            return false;
        }
        let target = self.target();
        let Selection::Send(other) = self.hub.pick(&self.need(target.as_ref())) else {
            return false;
        };
        let (now, pool) = (self.hub.clock.now(), &self.service.name);
        let sound = self.hub.desk().fleet.may_leave(now, pool, silence, &other);
        let paid = sound && self.pay();
        if paid {
            let mut desk = self.hub.desk();
            desk.fleet.record_leave(now, pool, silence, &other);
        }
        self.prepaid.store(paid, Ordering::Relaxed);
        paid
    }

    /// Ends the request after its last attempt, with the upstream's own failure where it gave one.
    fn give_up(&mut self, own: Option<Response<Body>>) -> Result<Response<Body>, Problem> {
        if let Some(response) = own.filter(|_| self.worst == Execution::Unknown) {
            self.end(response.status().as_u16(), "upstream-failed");
            return Ok(response);
        }
        match exchange::outcome::final_answer(self.worst) {
            RetryDecision::Unknown => Err(self.unknown()),
            RetryDecision::Refuse | RetryDecision::Retry => {
                Err(self.refuse("not-run", Return::Soon))
            }
        }
    }

    /// Returns the refusal of a request that has run nowhere, or the failure of one that may have.
    pub(super) fn refuse(&mut self, reason: &'static str, back: Return) -> Problem {
        if self.worst == Execution::Unknown {
            return self.unknown();
        }
        self.end(503, reason);
        let detail = format!("no upstream took the request ({reason}); send it again");
        Problem::busy(detail, back.spread(self.terms.seed))
    }

    /// Returns the final answer to a request that crashes what runs it.
    fn refuse_convicted(&mut self) -> Problem {
        if self.worst == Execution::Unknown {
            return self.unknown();
        }
        self.end(503, "convicted");
        let detail =
            "this request has crashed the upstreams that ran it and was not run; change it";
        Problem::busy(detail, CONVICTED_AGAIN)
    }

    /// Returns the refusal of a stream that is taken up and must not go on, because it might be at
    /// another release. No pause is told: only a new stream helps.
    fn refuse_unknown_release(&mut self) -> Problem {
        self.end(503, "release-unknown");
        let detail = "the release of the software that began this stream is not known any more, and \
                      another one may not continue it; nothing was run, begin a new stream";
        Problem::new(StatusCode::SERVICE_UNAVAILABLE, Outcome::NotRun, detail)
    }

    fn unknown(&mut self) -> Problem {
        let late = self.left() < LEAST;
        let status = if late {
            StatusCode::GATEWAY_TIMEOUT
        } else {
            StatusCode::BAD_GATEWAY
        };
        self.end(status.as_u16(), if late { "late" } else { "broken" });
        let detail = "an upstream may have run the request and gave no whole answer; \
                      send it again only if it may run twice";
        Problem::new(status, Outcome::Unknown, detail)
    }

    /// Returns the milliseconds from its arrival until its caller was seen to have left; 0 if it was not.
    fn left_ms(&self) -> u64 {
        let arrived = self.hub.clock.instant(self.terms.arrived);
        let left = self.caller.left_at();
        left.map_or(0, |left| (left - arrived).as_millis().max(1) as u64)
    }

    /// Logs and counts the end of the request.
    pub(super) fn end(&mut self, status: u16, outcome: &'static str) {
        self.ended = true;
        let now = self.hub.clock.now();
        let kind = kind_name(self.route.kind);
        self.hub.metrics.request(kind, outcome);
        info!(
            target: DECISION,
            request = &*self.ask.attempt,
            route = &*self.route.name,
            revision = self.terms.revision,
            tenant = self.tenant.as_ref().map_or("", |tenant| &tenant.name),
            print = self.print,
            parts = hex(&self.ask.parts),
            bytes = self.body.len(),
            model = self.ask.target.as_ref().map(ToString::to_string).unwrap_or_default(),
            status,
            outcome,
            upstream = self.tried.last().map_or("", |id| id),
            attempts = self.attempts,
            stall_ms = self.stalled.as_millis() as u64,
            expected_ms = self.expected.unwrap_or_default().as_millis() as u64,
            prompt = self.ask.prompt.unwrap_or_default(),
            queue_ms = self.queued.as_millis() as u64,
            written_ms = self.written_ms.load(Ordering::Relaxed),
            left_ms = self.left_ms(),
            delay_ms = self.hub.loop_delay().as_millis() as u64,
            first_ms = self.first.as_millis() as u64,
            gap_ms = self.gap.as_millis() as u64,
            after = self.after.unwrap_or_default(),
            resumes = self.ask.resumes.as_deref().unwrap_or_default(),
            release = self.release.unwrap_or_default(),
            way = self.answer.as_ref().map_or("", |(way, _)| way.name()),
            framing = self.answer.as_ref().map_or("", |(_, framing)| framing.name()),
            took_ms = now.saturating_sub(self.terms.arrived).as_millis() as u64;
            "request"
        );
    }
}

impl<D: Dialect> Drop for Job<D> {
    fn drop(&mut self) {
        if !self.ended {
            self.end(0, CALLER_LEFT);
        }
    }
}

/// Returns the features of the parts of a prompt as they are logged.
fn hex(parts: &[PartId]) -> String {
    let features = parts.iter().map(|part| feature_of(*part));
    let features: Vec<String> = features.map(|feature| format!("{feature:x}")).collect();
    features.join(",")
}

/// Returns the features of a request, sorted.
fn features_of(print: Fingerprint, parts: &[PartId]) -> Vec<Feature> {
    let mut features: Vec<Feature> = parts.iter().map(|part| feature_of(*part)).collect();
    features.push(print);
    features.sort_unstable();
    features
}

fn feature_of(part: PartId) -> Feature {
    poison::fingerprint([&b"prompt-part"[..], &part.to_le_bytes()])
}

/// Returns the fingerprint of a request: resends have the same path, caller and body, and an id of
/// their own.
fn print_of(head: &Parts, body: &[u8]) -> Fingerprint {
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let caller = head.headers.get(AUTHORIZATION);
    let caller = caller.map_or(&[][..], |value| value.as_bytes());
    poison::fingerprint([
        head.method.as_str().as_bytes(),
        path.as_bytes(),
        caller,
        body,
    ])
}

/// Returns the name of a kind used in metrics.
pub(super) const fn kind_name(kind: RouteKind) -> &'static str {
    match kind {
        RouteKind::Idempotent => "idempotent",
        RouteKind::Once => "once",
        RouteKind::Stream { .. } => "stream",
    }
}
