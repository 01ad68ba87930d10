//! Plain services: passes calls through, and makes sure that one which may not be repeated runs
//! at most once.
//!
//! An idempotent call is tried again elsewhere while it makes sense. A call that may not be
//! repeated and carries an idempotency key runs under a claim; it goes on when its caller goes
//! away, so that its outcome is recorded for the caller's retry. Without a key it is sent once,
//! and never again after the first byte.

use std::sync::Arc;

use bytes::Bytes;
use dispatch::health::Admission;
use dispatch::outcome::Kind;
use dispatch::poison::Print;
use dispatch::retry::{self, Next, Progress, Retry};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request, Response, StatusCode};
use once::ledger::Ending;
use once::{Digest, Key, Record};
use rules::Repeat;
use upstream::header::{HOP_BY_HOP, KEY};
use upstream::link::Reuse;
use upstream::service::Call;
use upstream::{Error, Phase, Reach, Service};
use wire::{Priority, Time, rank};

use super::gate::{self, Place, Trial};
use super::handler::{Front, RETRY_ELSEWHERE, read_body};
use super::identity::{Identity, text};
use super::{Body, Cut, Outcome, Problem, Sender};
use crate::core::{Ruling, sign_leaving};
use crate::directory::{Flight, Link, Runner};
use crate::journal::DECISION;
use crate::shared::Rules;

/// Kind of request in metrics.
const KIND: &str = "service";

/// Longest idempotency key in bytes.
const KEY_BYTES_MAX: usize = 255;

/// Header that tells the attempt that answered.
const REPLAYED: &str = "x-replayed";

/// A call on its way.
struct Job {
    front: Front,
    request: wire::Request,
    name: String,
    service: Arc<str>,
    pool: Arc<str>,
    repeat: Repeat,
    identity: Identity,
    head: Parts,
    body: Bytes,
    print: Print,
    config: retry::Config,
    /// Place in admission, held until the answer is passed on.
    admitted: Option<Place>,
}

/// How an attempt began.
enum Sent {
    Answer(Box<Answer>),
    /// No upstream may be tried now.
    None,
    Refused(Problem),
    Failed(Runner, Error),
}

/// Answers a request that no path of the node's own matches.
pub(super) async fn pass(
    front: &Front,
    rules: &Rules,
    request: Request<Incoming>,
) -> Result<Response<Body>, Problem> {
    let shared = &front.shared;
    let now = shared.clock.now();
    let (head, body) = request.into_parts();
    let identity = Identity::read(&head.headers, &rules.set, &shared.settings, now)?;
    let route = rules
        .set
        .service(head.method.as_str(), head.uri.path())
        .ok_or_else(|| {
            let detail = "no service has this path and method; check them or add a `service` line";
            Problem::bad(StatusCode::NOT_FOUND, detail)
        })?;
    let body = read_body(front, body).await?;
    let request = shared.next_request();
    let admitted = gate::admit(
        front,
        &rules.set,
        &identity,
        route.pool,
        identity.priority,
        request,
    )
    .await?;
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let parts = [head.method.as_str().as_bytes(), path.as_bytes(), &body];
    let job = Job {
        name: format!("{}-{request}", shared.me),
        print: rank::hash(parts.concat()),
        config: shared.trials.config(),
        admitted: Some(admitted),
        request,
        front: front.clone(),
        service: route.service.clone(),
        pool: route.pool.clone(),
        repeat: route.repeat,
        identity,
        head,
        body,
    };
    log::info!(
        target: DECISION,
        request = job.name.as_str(), caller:% = job.identity.caller, rule:% = route.rule,
        service:% = job.service, pool:% = job.pool, repeat:? = job.repeat;
        "route"
    );
    let key = job.key()?;
    match (job.repeat, key) {
        (Repeat::Idempotent, _) => job.run_repeatable().await,
        (Repeat::Once, Some(key)) => job.run_claimed(key).await,
        (Repeat::Once, None) => job.run_unclaimed().await,
    }
}

impl Job {
    fn key(&self) -> Result<Option<Key>, Problem> {
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
    async fn run_repeatable(mut self) -> Result<Response<Body>, Problem> {
        let mut retry = self.retry(Kind::Idempotent);
        let mut avoid = Vec::new();
        let mut ran = false;
        loop {
            match self.attempt(&mut retry, &mut avoid, Reuse::Kept).await {
                Sent::Answer(answer) => return Ok(self.relay(*answer)),
                Sent::None => return Err(self.none(ran)),
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
    async fn run_unclaimed(mut self) -> Result<Response<Body>, Problem> {
        let mut retry = self.retry(Kind::Once);
        let mut avoid = Vec::new();
        loop {
            match self.attempt(&mut retry, &mut avoid, Reuse::Fresh).await {
                Sent::Answer(answer) => return Ok(self.relay(*answer)),
                Sent::None => return Err(self.none(false)),
                Sent::Refused(problem) => return Err(problem),
                Sent::Failed(runner, error) => {
                    self.next(&mut retry, Kind::Once, &runner, &error, false)
                        .await?;
                }
            }
        }
    }

    fn retry(&self, kind: Kind) -> Retry {
        Retry::new(
            self.config.clone(),
            kind,
            self.identity.deadline,
            self.request,
        )
    }

    /// Sends the call to an upstream that was not tried yet.
    async fn attempt(
        &self,
        retry: &mut Retry,
        avoid: &mut Vec<wire::Upstream>,
        reuse: Reuse,
    ) -> Sent {
        loop {
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
            if retry.made() == 0 {
                shared.trials.deposit(&self.identity.caller, &runner.id);
            }
            retry.start(now);
            shared.trials.started(now, &runner.pool, &runner.id);
            return match self.send(&runner, retry.made(), reuse, trial).await {
                Ok(answer) => Sent::Answer(Box::new(answer)),
                Err((trial, error)) => {
                    self.note_failure(&runner, trial, &error).await;
                    Sent::Failed(runner, error)
                }
            };
        }
    }

    /// Decides what follows from a failed attempt and waits until it is due.
    async fn next(
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
            Next::Again { at } | Next::Resume { at, .. } => {
                tokio::time::sleep_until(shared.clock.instant(at)).await;
                Ok(())
            }
            Next::Stop {
                outcome,
                why,
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

    /// Runs a call under a claim, in a task that outlives the caller's connection.
    async fn run_claimed(self, key: Key) -> Result<Response<Body>, Problem> {
        let front = self.front.clone();
        let flight = front.shared.enter();
        let task = tokio::spawn(async move {
            let result = self.claim(key).await;
            drop(flight);
            result
        });
        task.await.unwrap_or_else(|_| {
            let detail = "the call's task broke down; send the same key again to learn its outcome";
            Err(Problem::new(
                StatusCode::INTERNAL_SERVER_ERROR,
                Outcome::Unknown,
                detail,
            ))
        })
    }

    async fn claim(self, key: Key) -> Result<Response<Body>, Problem> {
        let path = self.path();
        let parts = [
            self.head.method.as_str().as_bytes(),
            path.as_bytes(),
            &self.body,
        ];
        let event = once::Event::Begin {
            request: self.request,
            key,
            body: Digest::new(parts),
            deadline: self.identity.deadline,
        };
        let mut rulings = self.front.core.begin(event);
        let mut executed = false;
        loop {
            match rulings.recv().await {
                Some(Ruling::Execute) => {
                    executed = true;
                    self.execute().await;
                }
                Some(Ruling::Answer(record)) => return Ok(self.replay(record, !executed)),
                Some(Ruling::Refuse {
                    outcome,
                    reason,
                    retry_after,
                }) => {
                    return Err(self.refused(outcome, reason, retry_after));
                }
                None => {
                    let outcome = if executed {
                        Outcome::Unknown
                    } else {
                        Outcome::NotRun
                    };
                    let detail = "the node is stopping; send the same key to another node";
                    return Err(self.problem(outcome, detail));
                }
            }
        }
    }

    /// Sends a claimed call and tells the core how it ended. The permit is given once; until a byte
    /// is written, the call may move to another upstream.
    async fn execute(&self) {
        let request = self.request;
        if !self.front.core.permit(request).await {
            return self.tell(once::Event::Abandon { request });
        }
        let mut retry = self.retry(Kind::Once);
        let mut avoid = Vec::new();
        loop {
            let record = match self.attempt(&mut retry, &mut avoid, Reuse::Fresh).await {
                Sent::Answer(answer) => self.record(*answer).await,
                Sent::None | Sent::Refused(_) => {
                    return self.tell(once::Event::Abandon { request });
                }
                Sent::Failed(_, error) if error.reach() == Reach::MaybeSent => {
                    unknown_record(&error.to_string())
                }
                Sent::Failed(runner, error) => {
                    let next = self
                        .next(&mut retry, Kind::Once, &runner, &error, false)
                        .await;
                    if next.is_err() {
                        return self.tell(once::Event::Abandon { request });
                    }
                    continue;
                }
            };
            return self.tell(once::Event::Finished { request, record });
        }
    }

    fn tell(&self, event: once::Event) {
        self.front
            .core
            .send(crate::core::Input::Logic(logic::Event::Once(event)));
    }

    /// Reads a claimed call's whole answer, which becomes the record for its retries.
    async fn record(&self, answer: Answer) -> Record {
        let Answer {
            head,
            mut body,
            runner,
            trial,
            since,
            flight,
        } = answer;
        let mut bytes = Vec::new();
        loop {
            match body.next().await {
                Ok(Some(chunk)) => bytes.extend_from_slice(&chunk),
                Ok(None) => break,
                Err(error) => {
                    self.note_failure(&runner, trial, &error).await;
                    return unknown_record(&error.to_string());
                }
            }
        }
        drop(flight);
        gate::answered(&self.front, &runner, trial, since);
        let failed = head.status.is_server_error();
        Record {
            ending: if failed {
                Ending::Failed
            } else {
                Ending::Answered
            },
            status: head.status.as_u16(),
            media: media_of(&head.headers),
            body: Some(bytes),
        }
    }

    fn replay(&self, record: Record, replayed: bool) -> Response<Body> {
        let outcome = match record.ending {
            Ending::Answered | Ending::Failed => None,
            Ending::Unknown => Some(Outcome::Unknown),
        };
        if let Some(outcome) = outcome {
            let detail = "the call may have run; ask the service before making a new call";
            return self.problem(outcome, detail).into_response();
        }
        self.count_answer();
        let whole = record.body.is_some();
        let mut response = Response::new(Body::full(record.body.unwrap_or_default()));
        let status = StatusCode::from_u16(record.status).unwrap_or(StatusCode::OK);
        *response.status_mut() = status;
        let headers = response.headers_mut();
        if let Ok(media) = HeaderValue::from_str(&record.media) {
            headers.insert(CONTENT_TYPE, media);
        }
        if replayed {
            let how = if whole { "whole" } else { "without-body" };
            headers.insert(REPLAYED, HeaderValue::from_static(how));
        }
        response
    }

    fn refused(
        &self,
        outcome: once::Outcome,
        reason: once::Reason,
        retry_after: Option<std::time::Duration>,
    ) -> Problem {
        let detail = format!("{}; {}", reason_text(reason), remedy(outcome));
        let mut problem = match outcome {
            once::Outcome::NotRun => self.problem(Outcome::NotRun, &detail),
            once::Outcome::Unknown => self.problem(Outcome::Unknown, &detail),
            once::Outcome::Mismatch => {
                self.front
                    .shared
                    .metrics
                    .ended(KIND, self.identity.priority, Outcome::NotRun);
                Problem::bad(StatusCode::UNPROCESSABLE_ENTITY, detail)
            }
        };
        problem.retry_after = retry_after;
        problem
    }

    /// Picks the least loaded upstream of the pool that does not leave, is in health, and was not
    /// tried yet. A call suspected of crashing upstreams has one to go to.
    async fn choose(&self, avoid: &[wire::Upstream]) -> Option<Runner> {
        let shared = &self.front.shared;
        let directory = shared.directory.load_full();
        let ward = self
            .front
            .core
            .confine(self.print, directory.pool(&self.pool))
            .await;
        let now = shared.clock.now();
        let usable = directory.runners().iter().filter(|runner| {
            let fits = runner.pool == self.pool && !runner.leaving && !avoid.contains(&runner.id);
            let allowed = ward.as_ref().is_none_or(|ward| *ward == runner.id);
            fits && allowed && healthy(shared.trials.admit(now, &runner.pool, &runner.id))
        });
        let zone = &shared.settings.vm.zone;
        let best = usable.min_by_key(|runner| (runner.load(), runner.zone != *zone));
        let best = best.cloned()?;
        log::info!(
            target: DECISION,
            request = self.name.as_str(), upstream:% = best.id, in_flight = best.load(),
            avoided = avoid.len(), confined = ward.is_some();
            "choose"
        );
        Some(best)
    }

    async fn send(
        &self,
        runner: &Runner,
        attempt: u32,
        reuse: Reuse,
        trial: Trial,
    ) -> Result<Answer, (Trial, Error)> {
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
        let answered = tokio::time::timeout_at(deadline, service.call(call)).await;
        let answered = answered.unwrap_or_else(|_| {
            Err(Error::Timeout {
                upstream: runner.id.clone(),
                phase: Phase::Head,
                limit: self.identity.deadline.saturating_sub(since),
                reach: Reach::MaybeSent,
            })
        });
        match answered {
            Ok(response) => {
                let (head, body) = response.into_parts();
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

    fn path(&self) -> &str {
        self.head
            .uri
            .path_and_query()
            .map_or("/", |path| path.as_str())
    }

    fn headers(&self) -> HeaderMap {
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
    fn relay(&mut self, answer: Answer) -> Response<Body> {
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
                Ok(()) => gate::answered(&front, &runner, trial, since),
                Err(error) => {
                    log::info!(
                        target: DECISION,
                        request = name.as_str(), upstream:% = runner.id, reason:% = error;
                        "answer-cut"
                    );
                    let _ = sender.send(Err(Cut)).await;
                    gate::failed(&front, &runner, trial, &error).await;
                }
            }
            drop(held);
        });
        response
    }

    async fn note_failure(&self, runner: &Runner, trial: Trial, error: &Error) {
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

    fn count_answer(&self) {
        self.front
            .shared
            .metrics
            .answered(KIND, self.identity.priority);
    }

    fn none(&self, reached: bool) -> Problem {
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

    fn problem(&self, outcome: Outcome, detail: &str) -> Problem {
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
struct Answer {
    head: hyper::http::response::Parts,
    body: upstream::link::Body,
    runner: Runner,
    trial: Trial,
    since: Time,
    flight: Flight,
}

/// Tells whether an upstream in this state may get a call.
fn healthy(admission: Admission) -> bool {
    match admission {
        Admission::Yes | Admission::Probe => true,
        Admission::Full | Admission::Ejected(_) | Admission::Stranger => false,
    }
}

async fn pump(mut body: upstream::link::Body, sender: &Sender) -> Result<(), Error> {
    while let Some(chunk) = body.next().await? {
        if sender.send(Ok(chunk)).await.is_err() {
            break;
        }
    }
    Ok(())
}

fn media_of(headers: &HeaderMap) -> String {
    let media = headers
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok());
    media.unwrap_or("application/octet-stream").to_owned()
}

fn unknown_record(cause: &str) -> Record {
    log::info!("a call that may not be repeated ended without an answer: {cause}");
    Record {
        ending: Ending::Unknown,
        status: 0,
        media: String::new(),
        body: None,
    }
}

fn reason_text(reason: once::Reason) -> &'static str {
    use once::Reason::{
        Abandoned, Body, Deadline, Ended, Fenced, Gone, Quarantine, Quorum, Voided,
    };
    match reason {
        Abandoned => "no upstream could be reached in time",
        Voided => "an earlier attempt of this key was given up before it ran",
        Body => "the key was used with another request",
        Quorum => "too few witnesses answered",
        Gone => "the process that ran the call is gone",
        Deadline => "the call takes longer than the time limit",
        Quarantine => "the key may be older than the witnesses' memory",
        Fenced => "the witnesses have not heard from the platform for too long",
        Ended => "the call ended without a known result",
    }
}

fn remedy(outcome: once::Outcome) -> &'static str {
    match outcome {
        once::Outcome::NotRun => "send it again with the same key",
        once::Outcome::Unknown => "send the same key again, or ask the service what became of it",
        once::Outcome::Mismatch => "use a new key for a new call",
    }
}
