//! Completions: routes a request by the rules, has it placed, and passes the answer on.
//!
//! An answer goes to the caller token by token. Where its engine fails, the request is placed
//! again and goes on at the token where it stopped, on the same adapter and version. A stream that
//! cannot become whole ends in an error event and a cut connection, never as if it were whole.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use hyper::{HeaderMap, Request, Response, StatusCode};
use jiff::Timestamp;
use serde::Deserialize;
use serde_json::{Map, Value};
use upstream::engine::{Answer, Completion, Event};
use upstream::{Engine, Error, Reach};
use wire::{Model, Priority, Time, rank};

use super::handler::{Front, json, read_body};
use super::identity::Identity;
use super::reply::{Writer, broken};
use super::{Body, Cut, Outcome, Problem, Sender};
use crate::core::{Grant, Input, Placed, sign_leaving};
use crate::journal::DECISION;
use crate::metrics::Metrics;
use crate::shared::Rules;

/// Attempts that one request makes at most.
const ATTEMPTS_MAX: u32 = 4;

/// Tokens of a completion that names no limit.
const MAX_TOKENS: u32 = 256;

/// Characters of the prompt that count for prefix affinity.
const PREFIX_CHARS: usize = 256;

/// Kind of request in metrics.
const KIND: &str = "model";

/// The body of `POST /v1/completions`, as far as the node reads it.
#[derive(Deserialize)]
struct Ask {
    prompt: String,
    model: Option<String>,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    #[serde(flatten)]
    parameters: Map<String, Value>,
}

/// Answers `GET /v1/models`.
pub(super) fn list(
    front: &Front,
    rules: &Rules,
    headers: &HeaderMap,
) -> Result<Response<Body>, Problem> {
    let shared = &front.shared;
    Identity::read(headers, &rules.set, &shared.settings, shared.clock.now())?;
    let models = rules.set.adapters().map(|entry| {
        serde_json::json!({
            "id": entry.model.to_string(),
            "object": "model",
            "parent": entry.base.name,
        })
    });
    let document = serde_json::json!({ "object": "list", "data": models.collect::<Vec<_>>() });
    Ok(json(document.to_string()))
}

/// Answers `POST /v1/completions`.
pub(super) async fn complete(
    front: &Front,
    rules: &Rules,
    request: Request<Incoming>,
) -> Result<Response<Body>, Problem> {
    let shared = &front.shared;
    let arrived = shared.clock.now();
    let (head, body) = request.into_parts();
    let identity = Identity::read(&head.headers, &rules.set, &shared.settings, arrived)?;
    let body = read_body(front, body).await?;
    let ask: Ask = serde_json::from_slice(&body).map_err(|error| {
        let detail = format!("the body is no completion request ({error}); correct it");
        Problem::bad(StatusCode::BAD_REQUEST, detail)
    })?;
    let stream = ask.stream;
    let job = Job::new(front, rules, identity, ask, arrived)?;
    if stream {
        job.stream().await
    } else {
        job.collect().await
    }
}

/// One request on its way.
struct Job {
    front: Front,
    request: wire::Request,
    name: String,
    identity: Identity,
    priority: Priority,
    model: Model,
    place: placement::event::Request,
    prompt: String,
    max_tokens: u32,
    parameters: Map<String, Value>,
    writer: Writer,
    arrived: Time,
    attempt: u32,
    /// Tokens that the caller already has.
    offset: u64,
    last_token: Option<Time>,
    finished: bool,
}

/// What to do after a failed attempt.
enum Next {
    Again,
    Fail(Problem),
}

/// An answer under way.
struct Running {
    answer: upstream::engine::Stream,
    upstream: wire::Upstream,
    // Counts the call while the answer is read.
    _flight: Option<crate::directory::Flight>,
}

impl Job {
    fn new(
        front: &Front,
        rules: &Rules,
        identity: Identity,
        ask: Ask,
        arrived: Time,
    ) -> Result<Self, Problem> {
        let choice = rules.set.route(&rules::Ask {
            caller: &identity.caller,
            trade: &identity.trade,
            priority: identity.priority,
            model: ask.model.as_deref().filter(|model| !model.is_empty()),
            at: Timestamp::now(),
        });
        let choice =
            choice.map_err(|refusal| Problem::bad(StatusCode::FORBIDDEN, refusal.to_string()))?;
        let request = front.shared.next_request();
        let name = format!("{}-{request}", front.shared.me);
        log::info!(
            target: DECISION,
            request = name.as_str(), caller:% = identity.caller, rule:% = choice.rule,
            model:% = choice.model, priority:% = choice.priority, pool:% = choice.pool,
            revision = rules.revision;
            "route"
        );
        let place = placement::event::Request {
            id: request,
            model: choice.model.clone(),
            base: choice.base.clone(),
            pool: choice.pool.clone(),
            path: choice.path.clone(),
            priority: choice.priority,
            deadline: identity.deadline,
            prefix: Some(prefix_hash(&ask.prompt)),
            avoid: Vec::new(),
        };
        Ok(Self {
            front: front.clone(),
            request,
            writer: Writer::new(name.clone(), choice.model),
            name,
            priority: choice.priority,
            model: choice.model.clone(),
            identity,
            place,
            prompt: ask.prompt,
            max_tokens: ask.max_tokens.unwrap_or(MAX_TOKENS),
            parameters: ask.parameters,
            arrived,
            attempt: 0,
            offset: 0,
            last_token: None,
            finished: false,
        })
    }

    /// Answers as a stream. The head is sent once the first attempt has begun, so that a request
    /// which did not run is refused with a status of its own.
    async fn stream(mut self) -> Result<Response<Body>, Problem> {
        let running = self.begin().await?;
        let (sender, body) = Body::stream();
        let flight = self.front.shared.enter();
        tokio::spawn(async move {
            self.pump(running, &sender).await;
            drop(flight);
        });
        let mut response = Response::new(body);
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
        Ok(response)
    }

    /// Answers with one document.
    async fn collect(mut self) -> Result<Response<Body>, Problem> {
        let mut running = self.begin().await?;
        let mut text = String::new();
        loop {
            match self.next(&mut running).await {
                Ok(Event::Open) => {}
                Ok(Event::Token { text: token, .. }) => {
                    self.count_token();
                    text.push_str(&token);
                }
                Ok(Event::End { tokens, reason }) => {
                    self.finish();
                    return Ok(json(self.writer.document(&text, &reason, tokens)));
                }
                Err(error) => running = self.resume(running, &error).await?,
            }
        }
    }

    /// Passes the answer on until it is whole, cannot become whole, or the caller is gone.
    async fn pump(&mut self, mut running: Running, sender: &Sender) {
        loop {
            let event = tokio::select! {
                event = self.next(&mut running) => event,
                () = sender.closed() => return self.abandon(),
            };
            let chunk = match event {
                Ok(Event::Open) => continue,
                Ok(Event::Token { text, .. }) => {
                    self.count_token();
                    self.writer.token(&text)
                }
                Ok(Event::End { reason, .. }) => {
                    self.finish();
                    // A caller that went away at the very end has had its whole answer made.
                    let _ = sender.send(Ok(self.writer.end(&reason))).await;
                    return;
                }
                Err(error) => match self.resume(running, &error).await {
                    Ok(next) => {
                        running = next;
                        continue;
                    }
                    Err(problem) => return cut(sender, &problem).await,
                },
            };
            if !self.pass(sender, chunk).await {
                return self.abandon();
            }
        }
    }

    async fn pass(&self, sender: &Sender, chunk: Bytes) -> bool {
        let limit = self.front.shared.settings.time.idle;
        matches!(
            tokio::time::timeout(limit, sender.send(Ok(chunk))).await,
            Ok(Ok(()))
        )
    }

    async fn next(&self, running: &mut Running) -> Result<Event, Error> {
        let deadline = self.front.shared.clock.instant(self.identity.deadline);
        match tokio::time::timeout_at(deadline, running.answer.next()).await {
            Ok(Ok(Some(event))) => Ok(event),
            Ok(Ok(None)) => Err(self.cut_error(running, "the stream ended early")),
            Ok(Err(error)) => Err(error),
            Err(_) => Err(self.cut_error(running, "the request's time is up")),
        }
    }

    fn cut_error(&self, running: &Running, cause: &str) -> Error {
        Error::Cut {
            upstream: running.upstream.clone(),
            offset: self.offset,
            cause: cause.to_owned(),
        }
    }

    /// Places the request and starts an attempt, as often as it takes and makes sense.
    async fn begin(&mut self) -> Result<Running, Problem> {
        loop {
            let grant = self.place().await?;
            match self.start(&grant).await {
                Ok(running) => return Ok(running),
                Err(error) => match self.after(&grant.upstream, &error) {
                    Next::Again => {}
                    Next::Fail(problem) => return Err(problem),
                },
            }
        }
    }

    /// Goes on after an attempt broke off.
    async fn resume(&mut self, running: Running, error: &Error) -> Result<Running, Problem> {
        let upstream = running.upstream.clone();
        // The broken answer's connection is closed first, which cancels what is left of it.
        drop(running);
        match self.after(&upstream, error) {
            Next::Again => self.begin().await,
            Next::Fail(problem) => Err(problem),
        }
    }

    async fn place(&mut self) -> Result<Grant, Problem> {
        if self.attempt > 0 {
            self.request = self.front.shared.next_request();
            self.place.id = self.request;
        }
        self.attempt += 1;
        let asked = self.front.shared.clock.now();
        let placed = self.front.core.place(self.place.clone()).await;
        let metrics = &self.front.shared.metrics;
        let wait = self.front.shared.clock.now() - asked;
        Metrics::observe(&metrics.grant_wait, self.priority, wait);
        match placed {
            Some(Placed::Granted(grant)) => {
                log::info!(
                    target: DECISION,
                    request = self.name.as_str(), attempt = self.attempt,
                    upstream:% = grant.upstream, instance:% = grant.instance,
                    model:% = grant.model, lease = grant.lease, offset = self.offset,
                    queue_us = wait.as_micros() as u64;
                    "grant"
                );
                Ok(grant)
            }
            Some(Placed::Refused {
                reason,
                retry_after,
            }) => {
                let label = format!("{reason:?}").to_lowercase();
                metrics.refused.with_label_values(&[&label]).inc();
                Err(self.refusal(&reason.to_string(), retry_after))
            }
            None => Err(self.refusal("the node is stopping; ask another", Duration::ZERO)),
        }
    }

    /// A request of which an attempt has begun may have run, whatever the last attempt says.
    fn refusal(&mut self, detail: &str, retry_after: Duration) -> Problem {
        let outcome = if self.attempt > 1 {
            Outcome::Failed
        } else {
            Outcome::NotRun
        };
        self.end(outcome);
        Problem::new(StatusCode::SERVICE_UNAVAILABLE, outcome, detail).after(retry_after)
    }

    async fn start(&self, grant: &Grant) -> Result<Running, Error> {
        let shared = &self.front.shared;
        let absent = || Error::Absent {
            upstream: grant.upstream.clone(),
            instance: grant.instance.to_string(),
        };
        // A grant that is used late names an instance that may be gone.
        if shared.clock.now() >= grant.until || grant.model != self.model {
            return Err(absent());
        }
        let directory = shared.directory.load_full();
        let (runner, engine) = directory.engine(&grant.upstream).ok_or_else(absent)?;
        let flight = runner.enter();
        let completion = Completion {
            instance: grant.instance.clone(),
            prompt: self.prompt.clone(),
            max_tokens: self.max_tokens,
            priority: self.priority,
            attempt: Arc::from(format!("{}-{}", self.name, self.attempt)),
            request: self.name.clone(),
            caller: self.identity.caller.clone(),
            offset: self.offset,
            parameters: self.parameters.clone(),
        };
        let answer = engine.complete(completion).await?;
        Ok(Running {
            answer,
            upstream: grant.upstream.clone(),
            _flight: Some(flight),
        })
    }

    /// Decides what follows from a failed attempt, and gives its lease back.
    fn after(&mut self, upstream: &wire::Upstream, error: &Error) -> Next {
        log::info!(
            target: DECISION,
            request = self.name.as_str(), attempt = self.attempt, upstream:%,
            offset = self.offset, reason:% = error;
            "attempt-failed"
        );
        self.release();
        let untouched = match error {
            Error::Absent { .. } => true,
            Error::Leaving { .. } => {
                sign_leaving(&self.front.core, upstream, roster::Source::Refusal);
                true
            }
            _ => error.reach() == Reach::NotSent,
        };
        if !matches!(error, Error::Absent { .. }) {
            self.place.avoid.push(upstream.clone());
        }
        if self.worth_repeating(error) {
            return Next::Again;
        }
        let outcome = if untouched && self.attempt == 1 {
            Outcome::NotRun
        } else {
            Outcome::Failed
        };
        self.end(outcome);
        let problem = Problem::new(StatusCode::BAD_GATEWAY, outcome, error.to_string());
        Next::Fail(problem.after(super::handler::RETRY_ELSEWHERE))
    }

    fn worth_repeating(&self, error: &Error) -> bool {
        let permanent = matches!(error, Error::Refused { status, .. } if *status < 500)
            || matches!(error, Error::Invalid { .. } | Error::Large { .. });
        let in_time = self.front.shared.clock.now() < self.identity.deadline;
        !permanent && in_time && self.attempt < ATTEMPTS_MAX
    }

    fn count_token(&mut self) {
        let shared = self.front.shared.clone();
        let now = shared.clock.now();
        match self.last_token.replace(now) {
            None => {
                let wait = now - self.arrived;
                Metrics::observe(&shared.metrics.first_token, self.priority, wait);
            }
            Some(last) => {
                Metrics::observe(&shared.metrics.token_gap, self.priority, now - last);
            }
        }
        shared.metrics.tokens.inc();
        self.offset += 1;
    }

    fn release(&self) {
        let done = placement::Event::Done {
            request: self.request,
        };
        self.front
            .core
            .send(Input::Logic(logic::Event::Placement(done)));
    }

    fn finish(&mut self) {
        self.release();
        self.finished = true;
        self.front.shared.metrics.answered(KIND, self.priority);
        log::info!(
            target: DECISION,
            request = self.name.as_str(), outcome = "answered", tokens = self.offset,
            attempts = self.attempt;
            "end"
        );
    }

    fn abandon(&mut self) {
        self.release();
        self.end(Outcome::Failed);
        log::info!(target: DECISION, request = self.name.as_str(), reason = "caller gone"; "cancel");
    }

    fn end(&mut self, outcome: Outcome) {
        self.finished = true;
        self.front
            .shared
            .metrics
            .ended(KIND, self.priority, outcome);
        log::info!(
            target: DECISION,
            request = self.name.as_str(), outcome = outcome.name(), attempts = self.attempt;
            "end"
        );
    }
}

impl Drop for Job {
    /// Gives the lease back where the caller went away while the request was placed or collected.
    fn drop(&mut self) {
        if !self.finished {
            let cancel = placement::Event::Cancel {
                request: self.request,
            };
            self.front
                .core
                .send(Input::Logic(logic::Event::Placement(cancel)));
        }
    }
}

async fn cut(sender: &Sender, problem: &Problem) {
    let _ = sender.send(Ok(broken(problem))).await;
    let _ = sender.send(Err(Cut)).await;
}

fn prefix_hash(prompt: &str) -> u64 {
    let end = prompt
        .char_indices()
        .nth(PREFIX_CHARS)
        .map_or(prompt.len(), |(index, _)| index);
    rank::hash(&prompt[..end])
}
