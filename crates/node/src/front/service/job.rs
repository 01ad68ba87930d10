//! One call on its way to an upstream.

use std::sync::Arc;

use bytes::Bytes;
use dispatch::health::Admission;
use dispatch::outcome::Kind;
use dispatch::poison::Fingerprint;
use dispatch::retry::{self, Next, Progress, Retry};
use dispatch::silence::CHECK_INTERVAL;
use hyper::header::{HOST, HeaderValue};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Response, StatusCode};
use once::Key;
use rules::RetryPolicy;
use upstream::header::{HOP_BY_HOP, KEY};
use upstream::link::Reuse;
use upstream::service::Call;
use upstream::{Error, Phase, Reach, Service};
use wire::{Priority, Time};

use crate::core::sign_leaving;
use crate::directory::{Directory, Flight, Link, Runner};
use crate::front::gate::{self, Place, Trial};
use crate::front::handler::{Front, RETRY_ELSEWHERE};
use crate::front::identity::{Identity, text};
use crate::front::{Body, Caller, Outcome, Problem, Sender};
use crate::journal::DECISION;

/// Kind of request in metrics.
pub(super) const KIND: &str = "service";

/// Longest idempotency key in bytes.
const KEY_BYTES_MAX: usize = 255;

/// A call on its way.
pub(super) struct Job {
    pub(super) front: Front,
    /// Who waits for its answer.
    pub(super) caller: Caller,
    pub(super) request: wire::Request,
    pub(super) name: String,
    pub(super) service: Arc<str>,
    pub(super) pool: Arc<str>,
    pub(super) repeat: RetryPolicy,
    pub(super) identity: Identity,
    pub(super) head: Parts,
    pub(super) body: Bytes,
    pub(super) print: Fingerprint,
    pub(super) config: retry::Config,
    /// Place in admission, held until the answer is passed on.
    pub(super) admitted: Option<Place>,
}

/// How an attempt began.
pub(super) enum Sent {
    Answer(Box<Answer>),
    /// No upstream may be tried now.
    None,
    /// It was not sent, since its caller has left.
    CallerLeft,
    Refused(Problem),
    Failed(Runner, Error),
}

impl Job {
    pub(super) fn key(&self) -> Result<Option<Key>, Problem> {
        let Some(value) = text(&self.head.headers, KEY)? else {
            return Ok(None);
        };
        if value.is_empty() || value.len() > KEY_BYTES_MAX {
            let detail = format!("idempotency-key needs 1 to {KEY_BYTES_MAX} bytes; shorten it");
            return Err(Problem::bad(StatusCode::BAD_REQUEST, detail));
        }
        Ok(Some(Key::new(&self.identity.caller, &self.service, value)))
    }

    /// Tries a call that may be repeated until it is answered or no attempt makes sense.
    pub(super) async fn run_repeatable(mut self) -> Result<Response<Body>, Problem> {
        let mut retry = self.retry(Kind::Idempotent);
        let mut avoid = Vec::new();
        let mut ran = false;
        loop {
            match self.attempt(&mut retry, &mut avoid, Reuse::Kept).await {
                Sent::Answer(answer) => return Ok(self.relay(*answer)),
                Sent::None | Sent::CallerLeft => return Err(self.none(ran)),
                Sent::Refused(problem) => return Err(problem),
                Sent::Failed(runner, error) => {
                    ran |= error.reach() == Reach::MaybeSent;
                    self.next(&mut retry, Kind::Idempotent, &runner, &error, ran)
                        .await?;
                }
            }
        }
    }

    /// Sends a call that may not be repeated and carries no key. It is tried elsewhere only while
    /// no byte of it was written.
    pub(super) async fn run_unclaimed(mut self) -> Result<Response<Body>, Problem> {
        let mut retry = self.retry(Kind::Once);
        let mut avoid = Vec::new();
        loop {
            match self.attempt(&mut retry, &mut avoid, Reuse::Fresh).await {
                Sent::Answer(answer) => return Ok(self.relay(*answer)),
                Sent::None | Sent::CallerLeft => return Err(self.none(false)),
                Sent::Refused(problem) => return Err(problem),
                Sent::Failed(runner, error) => {
                    self.next(&mut retry, Kind::Once, &runner, &error, false)
                        .await?;
                }
            }
        }
    }

    pub(super) fn retry(&self, kind: Kind) -> Retry {
        Retry::new(
            self.config.clone(),
            kind,
            self.identity.deadline,
            self.request,
        )
    }

    /// Sends the call to an upstream that was not tried yet.
    pub(super) async fn attempt(
        &self,
        retry: &mut Retry,
        avoid: &mut Vec<wire::Upstream>,
        reuse: Reuse,
    ) -> Sent {
        loop {
            if self.caller.has_left() {
                return Sent::CallerLeft;
            }
            let Some(runner) = self.choose(avoid).await else {
                return Sent::None;
            };
            avoid.push(runner.id.clone());
            let core = &self.front.core;
            let trial = match gate::vet(core, self.request, self.print, &runner.id).await {
                gate::Next::Run(trial) => trial,
                gate::Next::Elsewhere => continue,
                gate::Next::Refuse(problem) => return Sent::Refused(problem),
            };
            let shared = &self.front.shared;
            let now = shared.clock.now();
            if retry.attempts_started() == 0 {
                shared.trials.deposit(&self.identity.caller, &runner.id);
            }
            retry.start_attempt(now);
            shared.trials.started(now, &runner.pool, &runner.id);
            let tried = (&mut *retry, &**avoid);
            return match self.send(&runner, tried, reuse, trial).await {
                Ok(answer) => Sent::Answer(Box::new(answer)),
                Err((trial, error)) => {
                    self.note_failure(&runner, trial, &error).await;
                    Sent::Failed(runner, error)
                }
            };
        }
    }

    /// Decides what follows from a failed attempt and waits until it is due.
    pub(super) async fn next(
        &self,
        retry: &mut Retry,
        kind: Kind,
        runner: &Runner,
        error: &Error,
        ran: bool,
    ) -> Result<(), Problem> {
        let shared = &self.front.shared;
        let late = gate::late(&self.front, self.identity.deadline);
        let failure = gate::judge(kind, error, false, late);
        let caller = &self.identity.caller;
        let now = shared.clock.now();
        let progress = Progress::default();
        let next = shared
            .trials
            .next(now, retry, &failure, &progress, caller, &runner.id);
        match next {
            Next::Retry { at } | Next::Resume { at, .. } => {
                tokio::time::sleep_until(shared.clock.instant(at)).await;
                Ok(())
            }
            Next::Stop {
                outcome,
                reason: why,
                retry_after,
            } => {
                log::info!(target: DECISION, request = self.name.as_str(), why:?; "no-retry");
                let outcome = gate::into_outcome(outcome);
                let outcome = if ran && outcome == Outcome::NotRun {
                    Outcome::Failed
                } else {
                    outcome
                };
                let detail = match outcome {
                    Outcome::Unknown => format!("{error}; ask the service before sending it again"),
                    Outcome::NotRun | Outcome::Failed => error.to_string(),
                };
                let mut problem = self.problem(outcome, &detail);
                problem.retry_after = retry_after;
                Err(problem)
            }
        }
    }

    /// Picks the least loaded upstream of the pool that does not leave, is in health, and was not
    /// tried yet. A call suspected of crashing upstreams has one to go to.
    pub(super) async fn choose(&self, avoid: &[wire::Upstream]) -> Option<Runner> {
        let shared = &self.front.shared;
        let directory = shared.directory.load_full();
        let ward = self.ward(&directory).await;
        let best = self.best(&directory, ward.as_ref(), avoid).cloned()?;
        log::info!(
            target: DECISION,
            request = self.name.as_str(), upstream:% = best.id, in_flight = best.load(),
            avoided = avoid.len(), confined = ward.is_some();
            "choose"
        );
        Some(best)
    }

    /// Returns the only upstream that a call may go to which is suspected of crashing upstreams.
    async fn ward(&self, directory: &Directory) -> Option<wire::Upstream> {
        let pool = directory.pool(&self.pool);
        self.front.core.confine(self.print, pool).await
    }

    fn best<'a>(
        &self,
        directory: &'a Directory,
        ward: Option<&wire::Upstream>,
        avoid: &[wire::Upstream],
    ) -> Option<&'a Runner> {
        let shared = &self.front.shared;
        let now = shared.clock.now();
        let usable = directory.runners().iter().filter(|runner| {
            let fits = runner.pool == self.pool && !runner.leaving && !avoid.contains(&runner.id);
            let allowed = ward.is_none_or(|ward| *ward == runner.id);
            fits && allowed && healthy(shared.trials.admit(now, &runner.pool, &runner.id))
        });
        let zone = &shared.settings.vm.zone;
        usable.min_by_key(|runner| (runner.load(), runner.zone != *zone))
    }

    /// Waits until the call should leave a silent upstream for another one, which is paid for then.
    async fn silence(
        &self,
        runner: &Runner,
        since: Time,
        (retry, avoid): (&mut Retry, &[wire::Upstream]),
    ) {
        let shared = &self.front.shared;
        let until = self.identity.deadline;
        let wait = shared.trials.wait(since, &runner.pool, until);
        let (RetryPolicy::Idempotent, Some(wait)) = (self.repeat, wait) else {
            return std::future::pending().await;
        };
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            if shared.clock.now() < since + wait.limit() {
                continue;
            }
            let directory = shared.directory.load_full();
            let ward = self.ward(&directory).await;
            let Some(other) = self.best(&directory, ward.as_ref(), avoid) else {
                continue;
            };
            let (now, caller) = (shared.clock.now(), &self.identity.caller);
            let way = (&*runner.pool, &runner.id, &other.id);
            if shared.trials.leaves(now, retry, &wait, caller, way) {
                return;
            }
        }
    }

    pub(super) async fn send(
        &self,
        runner: &Runner,
        (retry, avoid): (&mut Retry, &[wire::Upstream]),
        reuse: Reuse,
        trial: Trial,
    ) -> Result<Answer, (Trial, Error)> {
        let attempt = retry.attempts_started();
        let Link::Service(service) = &runner.link else {
            let upstream = runner.id.clone();
            let cause = "the pool holds engines".to_owned();
            return Err((trial, Error::Invalid { upstream, cause }));
        };
        let flight = runner.enter();
        let since = self.front.shared.clock.now();
        let call = Call {
            method: self.head.method.clone(),
            path: self.path().to_owned(),
            headers: self.headers(),
            body: self.body.clone(),
            attempt: Arc::from(format!("{}-{attempt}", self.name)),
            priority: self.identity.priority,
            reuse,
        };
        let deadline = self.front.shared.clock.instant(self.identity.deadline);
        let wanted = || !self.caller.has_left();
        let silent = || {
            Err(Error::Timeout {
                upstream: runner.id.clone(),
                phase: Phase::Head,
                limit: self.front.shared.clock.now().saturating_sub(since),
                reach: Reach::MaybeSent,
            })
        };
        let answered = tokio::select! {
            biased;
            answered = service.call_if(call, wanted) => answered,
            () = tokio::time::sleep_until(deadline) => silent(),
            () = self.silence(runner, since, (retry, avoid)) => silent(),
        };
        match answered {
            Ok(response) => {
                let shared = &self.front.shared;
                let now = shared.clock.now();
                let took = now.saturating_sub(since);
                shared.trials.heard(now, &runner.pool, &runner.id, took);
                let (head, body) = response.into_parts();
                if let Some(pause) = upstream::header::pause(head.status, &head.headers) {
                    shared.trials.paused(now, &runner.pool, &runner.id, pause);
                }
                Ok(Answer {
                    head,
                    body,
                    runner: runner.clone(),
                    trial,
                    since,
                    flight,
                })
            }
            Err(error) => Err((trial, error)),
        }
    }

    pub(super) fn path(&self) -> &str {
        self.head
            .uri
            .path_and_query()
            .map_or("/", |path| path.as_str())
    }

    pub(super) fn headers(&self) -> HeaderMap {
        let mut headers = self.head.headers.clone();
        for name in HOP_BY_HOP {
            headers.remove(name);
        }
        headers.remove(HOST);
        // The caller's token is the system's, not the service's.
        headers.remove(hyper::header::AUTHORIZATION);
        if let Ok(caller) = HeaderValue::from_str(&self.identity.caller) {
            headers.insert(upstream::header::CALLER, caller);
        }
        headers
    }

    /// Passes an answer on as it comes.
    pub(super) fn relay(&mut self, answer: Answer) -> Response<Body> {
        let (sender, body) = Body::stream();
        let mut response = Response::new(body);
        let Answer {
            head,
            body: rest,
            runner,
            trial,
            since,
            flight,
        } = answer;
        *response.status_mut() = head.status;
        *response.headers_mut() = head.headers;
        for name in HOP_BY_HOP {
            response.headers_mut().remove(name);
        }
        self.count_answer();
        let name = self.name.clone();
        let front = self.front.clone();
        let held = (self.front.shared.enter(), self.admitted.take(), flight);
        tokio::spawn(async move {
            match pump(rest, &sender).await {
                Ok(()) => {
                    gate::answered(&front, &runner, trial, since);
                    sender.finish().await;
                }
                Err(error) => {
                    log::info!(
                        target: DECISION,
                        request = name.as_str(), upstream:% = runner.id, reason:% = error;
                        "answer-cut"
                    );
                    drop(sender);
                    gate::failed(&front, &runner, trial, &error).await;
                }
            }
            drop(held);
        });
        response
    }

    pub(super) async fn note_failure(&self, runner: &Runner, trial: Trial, error: &Error) {
        if matches!(error, Error::Leaving { .. }) {
            sign_leaving(&self.front.core, &runner.id, roster::Source::Refusal);
        }
        log::info!(
            target: DECISION,
            request = self.name.as_str(), upstream:% = runner.id, reason:% = error;
            "attempt-failed"
        );
        gate::failed(&self.front, runner, trial, error).await;
    }

    pub(super) fn count_answer(&self) {
        self.front
            .shared
            .metrics
            .answered(KIND, self.identity.priority);
    }

    pub(super) fn none(&self, reached: bool) -> Problem {
        let outcome = if reached {
            Outcome::Failed
        } else {
            Outcome::NotRun
        };
        self.problem(
            outcome,
            "no live upstream of this service is left; send it again later",
        )
    }

    pub(super) fn problem(&self, outcome: Outcome, detail: &str) -> Problem {
        let priority: Priority = self.identity.priority;
        self.front.shared.metrics.ended(KIND, priority, outcome);
        log::info!(
            target: DECISION,
            request = self.name.as_str(), outcome = outcome.name(), reason = detail;
            "end"
        );
        let status = match outcome {
            Outcome::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            Outcome::Unknown | Outcome::Failed => StatusCode::BAD_GATEWAY,
        };
        let problem = Problem::new(status, outcome, detail);
        match outcome {
            Outcome::NotRun | Outcome::Failed => problem.after(RETRY_ELSEWHERE),
            Outcome::Unknown => problem,
        }
    }
}

/// An upstream's answer whose body is not read yet.
pub(super) struct Answer {
    pub(super) head: hyper::http::response::Parts,
    pub(super) body: upstream::link::Body,
    pub(super) runner: Runner,
    pub(super) trial: Trial,
    pub(super) since: Time,
    pub(super) flight: Flight,
}

/// Tells whether an upstream in this state may get a call.
fn healthy(admission: Admission) -> bool {
    match admission {
        Admission::Allowed | Admission::Probe => true,
        Admission::Full | Admission::Ejected(_) | Admission::NotInPool => false,
    }
}

async fn pump(mut body: upstream::link::Body, sender: &Sender) -> Result<(), Error> {
    while let Some(chunk) = body.next().await? {
        if sender.send(chunk).await.is_err() {
            break;
        }
    }
    Ok(())
}
