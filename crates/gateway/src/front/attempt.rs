//! One attempt at one upstream, and what its answer is worth.

use std::future::Future;
use std::pin::pin;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use dispatch::silence::{CHECK_INTERVAL, Wait};
use exchange::demand::Target;
use exchange::fleet::{AttemptResult, Presence, Release};
use exchange::outcome::Execution;
use exchange::proof::Proof;
use exchange::relay::Cursor;
use http_body_util::Full;
use hyper::header::CONTENT_LENGTH;
use hyper::{HeaderMap, Request, Response, StatusCode};
use log::info;
use node::front::Body;
use node::journal::DECISION;
use upstream::Reach as Sent;
use upstream::header::strip;
use upstream::link::{self, Call, Class, Host, Link, Reuse};
use wire::{Time, Upstream};

use super::job::Job;
use super::judge::{Worth, judge};
use super::request::Endpoint;
use super::visit::Visit;
use crate::dialect::{Dialect, Echo, Mark};
use crate::hub::PermitDecision;

/// Longest time for which the body of a refusal is read.
const REFUSAL_TIME: Duration = Duration::from_millis(100);

/// Reason of an attempt that ends because its upstream is silent.
pub(super) const SILENT: &str = "silent";

/// Reason of an attempt that ends with the request's time.
const LATE: &str = "late";

/// Pause after which an engine that refused for a load under way is tried again.
const NOT_YET: Duration = Duration::from_millis(50);

/// Refusals after which a request stops knocking.
const REFUSALS_MAX: u32 = 4;

/// Part of an upstream's stated idle time for which a connection is kept.
const KEEP_PART: f64 = 0.7;

/// What became of an attempt.
pub(super) enum Tried<D: Dialect> {
    /// The caller gets this.
    Whole(Response<Body>),
    /// An event stream has begun.
    Open(Box<Open<D>>),
    /// It was not sent, since such requests crash what runs them.
    Convicted,
    /// It failed.
    Failed {
        /// How far it got.
        reach: Execution,
        /// The upstream's own failure, where it gave one.
        own: Option<Response<Body>>,
    },
}

impl<D: Dialect> Tried<D> {
    const fn failed(reach: Execution) -> Self {
        Self::Failed { reach, own: None }
    }
}

/// An event stream that an upstream has begun.
pub(super) struct Open<D: Dialect> {
    /// Status of the head.
    pub(super) status: StatusCode,
    /// Headers for the caller.
    pub(super) headers: HeaderMap,
    /// The whole events that have come.
    pub(super) first: Bytes,
    /// Whether the stream has ended.
    pub(super) ended: bool,
    /// Whether bytes follow the events that are none of this stream.
    pub(super) faulty: bool,
    /// The rest of the events.
    pub(super) body: link::Body,
    /// The request's count at the upstream.
    pub(super) visit: Visit<D>,
    /// The release that it runs at.
    pub(super) release: Release,
}

/// Why the head of an answer did not come.
enum Headless {
    /// The call failed.
    Failed(upstream::Error),
    /// The upstream has fallen silent, and the request goes elsewhere.
    Silent,
    /// Such requests were found to crash upstreams meanwhile.
    Convicted,
}

impl<D: Dialect> Job<D> {
    /// Sends the request to `runner` once.
    pub(super) async fn attempt(&mut self, runner: &Upstream, cursor: &mut Cursor) -> Tried<D> {
        let target = self.target();
        // It may have left, or want a pause, since it was chosen.
        let Endpoint { link, release, .. } = match self.endpoint(runner, target.as_ref()) {
            Some(found) if self.hub.takes(runner) && self.fits(found.release) => found,
            _ => {
                self.prepay();
                return Tried::failed(Execution::NotRun(Proof::unsent()));
            }
        };
        let release = AtomicU32::new(release);
        if !self.await_token(runner).await {
            self.prepay();
            return Tried::failed(Execution::NotRun(Proof::unsent()));
        }
        let admission = match self.await_permit(runner).await {
            Some(PermitDecision::Granted(admission)) => admission,
            Some(PermitDecision::Over(_)) | None => {
                if let Some(target) = &target {
                    self.hub.over(runner, target);
                }
                self.prepay();
                return Tried::failed(Execution::NotRun(Proof::unsent()));
            }
        };
        let Some(permit) = self.hub.begin(&self.features, runner) else {
            return Tried::Convicted;
        };
        self.trial = permit.trial;
        let reuse = self.reuse(runner);
        let earlier = self.sends.contains(runner);
        self.tried.push(runner.clone());
        self.sends.push(runner.clone());
        self.attempts += 1;
        let until = self.terms.deadline;
        let pool = &self.service.name;
        let mut visit = Visit::new(
            &self.hub,
            &link,
            pool,
            permit.request,
            target.clone(),
            until,
        );
        visit.admit(admission);
        let sent = self.hub.clock.now();
        let response = tokio::select! {
            response = self.head(&link, reuse, &visit, &release) => response,
            () = self.conviction() => Err(Headless::Convicted),
        };
        let response = match response {
            Ok(response) => response,
            Err(headless) => return self.headless(&headless, &mut visit).await,
        };
        visit.hear();
        let (parts, body) = response.into_parts();
        self.answer = Some((body.way().clone(), body.framing()));
        let mark = self
            .hub
            .dialect
            .mark(&self.ask, runner, parts.status, &parts.headers);
        self.note(runner, &link, &mark, sent);
        self.log_head(runner, parts.status, &mark, &body);
        let arrived = self.hub.clock.instant(self.terms.arrived);
        let repeated = earlier && body.used() > Some(arrived);
        match judge(parts.status, &mark, repeated) {
            Worth::Own => {}
            Worth::Refused(proof) => {
                visit.refuse(parts.status == StatusCode::SERVICE_UNAVAILABLE);
                visit.end(AttemptResult::Ignored);
                let reason = self.refused(runner, target.as_ref(), parts.status, &mark);
                // Read to its end, so that the connection is kept.
                let _ = tokio::time::timeout(REFUSAL_TIME, body.collect()).await;
                return self.failed(reason, Execution::NotRun(proof));
            }
            Worth::Void(reason) => {
                visit.end(AttemptResult::Failed);
                return self.failed(reason, Execution::Unknown);
            }
        }
        let mut headers = parts.headers;
        strip(&mut headers);
        if self.route.kind.streams() && parts.status == StatusCode::OK {
            let opened = tokio::select! {
                opened = self.open(parts.status, headers, body, (visit, release.load(Ordering::Relaxed)), cursor) => opened,
                () = self.conviction() => self.failed("convicted", Execution::Unknown),
            };
            if let Tried::Open(open) = &opened {
                open.visit.record_first_byte(self.reading());
            }
            if let (Tried::Open(_), Some(tokens)) =
                (&opened, self.ask.prompt.filter(|_| self.alone))
            {
                let took = self.hub.clock.now().saturating_sub(sent);
                self.hub.learn_reading(tokens, took);
            }
            return opened;
        }
        visit.record_first_byte(self.reading());
        self.whole(parts.status, headers, mark, body, visit, sent)
            .await
    }

    /// Sends the request and waits for the answer's head.
    async fn head(
        &self,
        link: &Link,
        reuse: Reuse,
        visit: &Visit<D>,
        release: &AtomicU32,
    ) -> Result<Response<link::Body>, Headless> {
        let class = if self.terms.rank == 0 {
            Class::Urgent
        } else {
            Class::Ordinary
        };
        let call = Call {
            class,
            reuse,
            host: Host::Caller,
            head: Some(self.left()),
            request: self.request(),
        };
        let wanted = |request: &mut Request<Full<Bytes>>| {
            let renewed = self.renew(request, link);
            renewed.is_some_and(|renewed| {
                release.store(renewed, Ordering::Relaxed);
                true
            })
        };
        let mut sending = pin!(link.send_if(call, wanted));
        let wait = self.wait(visit);
        loop {
            let sleep = tokio::time::sleep(CHECK_INTERVAL);
            tokio::select! {
                response = &mut sending => return response.map_err(Headless::Failed),
                () = sleep => if self.leaves(&wait, visit) {
                    return Err(Headless::Silent);
                },
            }
        }
    }

    /// Returns the wait for the next byte that begins now.
    fn wait(&self, visit: &Visit<D>) -> Wait {
        let now = self.hub.clock.now();
        let usual = self.hub.desk().fleet.silence_of(&self.service.name);
        let (usual, reading) = if visit.has_begun() {
            (usual.next, Duration::ZERO)
        } else {
            (usual.first, self.reading())
        };
        Wait {
            since: visit.waiting_since(),
            // A stream that pauses in the middle is late already.
            on_time: if self.last_part.is_zero() {
                self.terms.arrived + self.route.latency_target
            } else {
                Time::ZERO
            },
            useful: now + self.patience(),
            mean: usual.mean() + reading,
            usual: usual.bound() + reading,
        }
    }

    /// Tells whether the request leaves its upstream, which is paid for here.
    fn leaves(&self, wait: &Wait, visit: &Visit<D>) -> bool {
        let silence = visit.silence();
        wait.is_over(self.hub.clock.now(), silence) && self.may_move(silence)
    }

    /// Waits until such requests are found to crash upstreams. A trial goes on all the same.
    pub(super) async fn conviction(&self) {
        if self.trial {
            std::future::pending::<()>().await;
        }
        self.hub.conviction(&self.features).await;
    }

    /// Takes a try back that has reached no upstream, or that one refused. A request stops knocking
    /// after some of these.
    fn take_back(&mut self) {
        self.attempts -= 1;
        self.refusals += 1;
        if self.refusals > REFUSALS_MAX {
            self.attempts = self.route.attempts;
        }
    }

    async fn headless(&mut self, headless: &Headless, visit: &mut Visit<D>) -> Tried<D> {
        let error = match headless {
            Headless::Silent => {
                visit.give_up();
                return self.failed(SILENT, Execution::Unknown);
            }
            Headless::Convicted => {
                visit.end(AttemptResult::Ignored);
                return self.failed("convicted", Execution::Unknown);
            }
            Headless::Failed(error) => error,
        };
        if error.reach() == Sent::NotSent {
            visit.refuse(false);
        }
        match error {
            upstream::Error::Full { .. } | upstream::Error::Withdrawn { .. } => {
                visit.end(AttemptResult::Ignored);
            }
            upstream::Error::Broken { .. } if error.reach() == Sent::MaybeSent => {
                visit.break_off(&self.features).await;
            }
            upstream::Error::Timeout { .. } if error.reach() == Sent::MaybeSent => visit.give_up(),
            _ => visit.end(AttemptResult::Failed),
        }
        let reach = match error.reach() {
            Sent::NotSent => {
                self.take_back();
                self.prepay();
                Execution::NotRun(Proof::unsent())
            }
            Sent::MaybeSent => Execution::Unknown,
        };
        info!(
            target: DECISION,
            request = &*self.ask.attempt, upstream:% = visit.runner, cause:% = error, reach = reach.name();
            "attempt-failed"
        );
        self.hub.metrics.attempt(&self.service.name, "no-head");
        Tried::failed(reach)
    }

    /// Takes over what an answer says of its upstream.
    fn note(&self, runner: &Upstream, link: &Link, mark: &Mark, sent: Time) {
        self.hub.take_word(runner, mark.word);
        // An answer to another attempt may be older than the announcement.
        if mark.echo == Echo::This && !mark.stranger {
            if mark.word.rate.is_none() {
                self.hub.record_rate(runner, sent, None);
            }
            if mark.word.tolerance.is_none() {
                self.hub.record_brittleness(runner, sent, None);
            }
        }
        if let Some(kept) = mark.kept {
            link.keep_for(kept.mul_f64(KEEP_PART));
        }
        if let Some(load) = mark.load {
            let now = self.hub.clock.now();
            self.hub.desk().fleet.record_load(now, runner, load);
        }
    }

    /// Logs an answer that refuses the request, or does not name it: on which connection it came,
    /// and which try of the attempt at this upstream it would answer.
    fn log_head(&self, runner: &Upstream, status: StatusCode, mark: &Mark, body: &link::Body) {
        if mark.echo == Echo::This && !mark.refused {
            return;
        }
        let used = body.used().map(|used| used.elapsed().as_millis() as u64);
        info!(
            target: DECISION,
            request = &*self.ask.attempt, upstream = &**runner, status = status.as_u16(),
            names = mark.echo.name(), refused = mark.refused, signed = mark.signed,
            kept = used.is_some(), used_ms = used.unwrap_or_default(),
            sends = self.sends.iter().filter(|id| *id == runner).count();
            "answer"
        );
    }

    fn failed(&self, reason: &'static str, reach: Execution) -> Tried<D> {
        let upstream = self.sends.last().map_or("", |id| id);
        info!(
            target: DECISION,
            request = &*self.ask.attempt, upstream, reason, reach = reach.name();
            "attempt-failed"
        );
        self.hub.metrics.attempt(&self.service.name, reason);
        Tried::failed(reach)
    }

    /// Learns from a refusal, and returns its reason.
    fn refused(
        &mut self,
        runner: &Upstream,
        target: Option<&Target>,
        status: StatusCode,
        mark: &Mark,
    ) -> &'static str {
        self.take_back();
        let now = self.hub.clock.now();
        let mut reason = "refused";
        {
            let mut desk = self.hub.desk();
            let fleet = &mut desk.fleet;
            if mark.stranger {
                fleet.exclude(runner);
                reason = "stranger";
            } else if let Some(target) = target {
                let presence = fleet.upstream(runner).map(|known| known.presence(target));
                let missing = status == StatusCode::MISDIRECTED_REQUEST;
                match presence {
                    // A load takes longer than expected while many are under way.
                    Some(Presence::Coming(_, version)) => {
                        fleet.postpone_load(now, runner, target, now + NOT_YET, version);
                        reason = "not-yet";
                    }
                    _ if missing => {
                        fleet.set_presence(now, runner, target, Presence::Absent);
                        reason = "absent";
                    }
                    _ => {}
                }
            }
        }
        // An engine that only lacks the adapter yet may be tried again.
        if matches!(reason, "absent" | "not-yet") {
            self.tried.pop();
        }
        reason
    }

    /// Waits for the first whole event of a stream.
    async fn open(
        &self,
        status: StatusCode,
        headers: HeaderMap,
        mut body: link::Body,
        (mut visit, release): (Visit<D>, Release),
        cursor: &mut Cursor,
    ) -> Tried<D> {
        let mut first = Vec::new();
        let mut hold = body.hold();
        let (mut ended, mut faulty) = (false, false);
        while first.is_empty() && !ended {
            if hold.resize(cursor.buffered()).is_err() {
                visit.end(AttemptResult::Failed);
                return self.failed("no-memory", Execution::Unknown);
            }
            match self.next(&mut body, &mut visit).await {
                Next::Part(part) => {
                    let before = cursor.progress();
                    faulty = cursor.push(&part, &mut first).is_err();
                    if faulty && first.is_empty() {
                        visit.end(AttemptResult::Failed);
                        return self.failed("sequence", Execution::Unknown);
                    }
                    // Bytes that bring no event may come from an engine that has stalled.
                    if cursor.progress() != before {
                        visit.hear_event();
                    }
                }
                Next::End if cursor.has_partial() => {
                    visit.break_off(&self.features).await;
                    return self.failed("cut", Execution::Unknown);
                }
                Next::End => ended = true,
                Next::Cut => {
                    visit.break_off(&self.features).await;
                    return self.failed("cut", Execution::Unknown);
                }
                Next::Broken(reason) => {
                    visit.give_up();
                    return self.failed(reason, Execution::Unknown);
                }
            }
        }
        Tried::Open(Box::new(Open {
            status,
            headers,
            first: first.into(),
            ended,
            faulty,
            body,
            visit,
            release,
        }))
    }

    /// Waits for the next part of a stream, until it ends, breaks or has to be given up.
    pub(super) async fn next(&self, body: &mut link::Body, visit: &mut Visit<D>) -> Next {
        // Where bytes come without end, there is always a next part.
        if self.left().is_zero() {
            return Next::Broken(LATE);
        }
        match self.part(body.next(), visit).await {
            Ok(Ok(Some(part))) => Next::Part(part),
            Ok(Ok(None)) => Next::End,
            Ok(Err(_)) => Next::Cut,
            Err(reason) => Next::Broken(reason),
        }
    }

    /// Waits for `part` of an answer.
    ///
    /// # Errors
    ///
    /// Returns why the answer has to be given up.
    async fn part<T>(
        &self,
        part: impl Future<Output = T>,
        visit: &mut Visit<D>,
    ) -> Result<T, &'static str> {
        let movable = self.route.kind.repeatable() && self.attempts < self.route.attempts;
        let wait = self.wait(visit);
        if movable && visit.is_check_due() && self.leaves(&wait, visit) {
            return Err(SILENT);
        }
        let deadline = self.hub.clock.instant(self.terms.deadline);
        let mut part = pin!(part);
        loop {
            tokio::select! {
                biased;
                part = &mut part => return Ok(part),
                () = tokio::time::sleep_until(deadline) => return Err(LATE),
                () = visit.check(), if movable => {
                    if self.leaves(&wait, visit) {
                        return Err(SILENT);
                    }
                }
            }
        }
    }

    /// Reads an answer whole, unless it breaks or has to be given up.
    async fn collect(&self, body: link::Body, visit: &mut Visit<D>) -> Collected {
        let Ok(mut collector) = body.collector() else {
            return Collected::NoMemory;
        };
        loop {
            match self.part(collector.read(), visit).await {
                Ok(Ok(Some(bytes))) => return Collected::Whole(bytes),
                // Where bytes come without end, there is always a next part.
                Ok(Ok(None)) if self.left().is_zero() => return Collected::Broken(LATE),
                Ok(Ok(None)) => visit.hear(),
                Ok(Err(upstream::Error::NoMemory { .. } | upstream::Error::Large { .. })) => {
                    return Collected::NoMemory;
                }
                Ok(Err(_)) => return Collected::Cut,
                Err(reason) => return Collected::Broken(reason),
            }
        }
    }

    /// Reads an answer that is passed on as a whole.
    async fn whole(
        &self,
        status: StatusCode,
        mut headers: HeaderMap,
        mark: Mark,
        body: link::Body,
        mut visit: Visit<D>,
        sent: Time,
    ) -> Tried<D> {
        let bytes = match self.collect(body, &mut visit).await {
            Collected::Whole(bytes) => bytes,
            Collected::NoMemory => {
                visit.end(AttemptResult::Failed);
                return self.failed("no-memory", Execution::Unknown);
            }
            Collected::Cut => {
                visit.break_off(&self.features).await;
                return self.failed("cut", Execution::Unknown);
            }
            Collected::Broken(reason) => {
                visit.give_up();
                return self.failed(reason, Execution::Unknown);
            }
        };
        let failure = status.is_server_error();
        visit.set_whole();
        visit.end(if failure {
            AttemptResult::Failed
        } else {
            AttemptResult::Success
        });
        if failure && !mark.signed {
            return self.failed("unsigned", Execution::Unknown);
        }
        headers.remove(CONTENT_LENGTH);
        let mut response = Response::new(Body::full(bytes));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        let now = self.hub.clock.now();
        let kind = super::job::kind_name(self.route.kind);
        self.hub.metrics.first(kind, now.saturating_sub(sent));
        if !failure || !self.route.kind.repeatable() {
            return Tried::Whole(response);
        }
        self.hub.metrics.attempt(&self.service.name, "failure");
        Tried::Failed {
            reach: Execution::Unknown,
            own: Some(response),
        }
    }
}

/// What became of an answer that is read whole.
enum Collected {
    /// All of it.
    Whole(Bytes),
    /// There is no room for it.
    NoMemory,
    /// The upstream broke it off.
    Cut,
    /// It is given up, for this reason.
    Broken(&'static str),
}

/// What came next in a stream.
pub(super) enum Next {
    /// Bytes.
    Part(Bytes),
    /// The end.
    End,
    /// The upstream broke it off.
    Cut,
    /// Nothing more is waited for, for this reason.
    Broken(&'static str),
}
