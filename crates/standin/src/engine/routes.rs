//! The engine's requests.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::http::HeaderValue;
use hyper::{Method, Request, Response, StatusCode};
use serde::Deserialize;
use serde_json::json;
use tokio::time::{Instant, sleep};
use upstream::engine::{Instance, Role};
use upstream::header;
use wire::Fence;

use super::batch::{Loading, Refusal};
use super::sequence::Job;
use super::{Core, Loads};
use crate::http::{self, Answer, Body, Closed};
use crate::lock;
use crate::log::{End, Kind, Ticket};
use crate::service::{echo, leaving, ticket};

/// Tokens of an answer at most.
const TOKENS_MAX: u64 = 100_000;

/// Time for the answer to a restart to leave.
const ANSWER_PAUSE: Duration = Duration::from_millis(20);

/// A load order.
#[derive(Debug, Deserialize)]
struct Load {
    lora_name: Instance,
    lora_path: String,
    #[serde(default)]
    base_model_name: String,
}

/// An unload order.
#[derive(Debug, Deserialize)]
struct Unload {
    lora_name: Instance,
}

/// A completion's request.
#[derive(Debug, Deserialize)]
struct Completion {
    model: Instance,
    prompt: String,
    #[serde(default = "default_tokens")]
    max_tokens: u64,
    #[serde(default = "default_priority")]
    priority: u8,
    #[serde(default)]
    offset: u64,
}

/// An order to change role.
#[derive(Debug, Deserialize)]
struct Assign {
    role: Role,
}

/// A cancel's request.
#[derive(Debug, Deserialize)]
struct Cancel {
    attempt: String,
}

fn default_tokens() -> u64 {
    16
}

fn default_priority() -> u8 {
    1
}

impl http::Handler for Core {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        let path = request.uri().path().to_owned();
        if let Some(path) = path.strip_prefix("/admin/") {
            return Ok(self.admin(path, request).await);
        }
        if lock(&self.batch).is_down() {
            return Err(Closed);
        }
        match (request.method(), &*path) {
            (&Method::GET | &Method::PUT, "/v1/kv") => Ok(self.cache(request).await),
            (&Method::POST, "/v1/completions") => self.complete(request).await,
            (&Method::POST, "/v1/load_lora_adapter") => Ok(load(self, request).await),
            (&Method::POST, "/v1/unload_lora_adapter") => Ok(self.unload(request).await),
            (&Method::POST, "/v1/role") => Ok(self.assign(request).await),
            (&Method::POST, "/v1/cancel") => Ok(self.cancel(request).await),
            (&Method::GET, "/v1/models") => Ok(self.models()),
            (&Method::GET, "/v1/report") => Ok(self.report()),
            (&Method::GET, "/v1/events") => {
                let after = http::query(&request, "after").unwrap_or(0);
                Ok(http::json(&lock(&self.batch).events(after)))
            }
            _ => Ok(http::text(StatusCode::NOT_FOUND, "no such path")),
        }
    }
}

impl Core {
    async fn unload(&self, request: Request<Incoming>) -> Response<Body> {
        let fence = fence(&request);
        let check = self.faults().check_fence.unwrap_or(false);
        let Some(order) = http::read_json::<Unload>(request.into_body()).await else {
            return http::text(StatusCode::BAD_REQUEST, "body is no unload order");
        };
        let mut batch = lock(&self.batch);
        let done = batch
            .fence(fence, check)
            .and_then(|()| batch.unload(&order.lora_name, fence));
        match done {
            Ok(()) => http::text(StatusCode::OK, "unloaded"),
            Err(refusal) => refused(refusal),
        }
    }

    async fn assign(&self, request: Request<Incoming>) -> Response<Body> {
        let fence = fence(&request);
        let check = self.faults().check_fence.unwrap_or(false);
        let Some(order) = http::read_json::<Assign>(request.into_body()).await else {
            return http::text(StatusCode::BAD_REQUEST, "body names no role");
        };
        let mut batch = lock(&self.batch);
        match batch.fence(fence, check) {
            Ok(()) => {
                batch.assign(order.role);
                http::text(StatusCode::OK, "assigned")
            }
            Err(refusal) => refused(refusal),
        }
    }

    async fn complete(&self, request: Request<Incoming>) -> Answer {
        let ticket = ticket(request.headers());
        let faults = self.faults();
        if faults.close_before_head {
            return Err(Closed);
        }
        if faults.leaving {
            let answer = echo(leaving(), &ticket.attempt);
            self.log_refusal(ticket, "leaving");
            return Ok(answer);
        }
        let Some(asked) = http::read_json::<Completion>(request.into_body()).await else {
            return Ok(http::text(StatusCode::BAD_REQUEST, "body is no completion"));
        };
        let (sender, body) = Body::stream(None);
        let job = Job {
            ticket: ticket.clone(),
            instance: asked.model,
            prompt: asked.prompt,
            priority: asked.priority,
            offset: asked.offset,
            max_tokens: asked.max_tokens.min(TOKENS_MAX),
            sender,
        };
        let submitted = lock(&self.batch).submit(job);
        Ok(match submitted {
            Ok(()) => echo(event_stream(body), &ticket.attempt),
            Err(refusal) => {
                self.log_refusal(ticket, "the instance is not resident");
                refused(refusal)
            }
        })
    }

    async fn cancel(&self, request: Request<Incoming>) -> Response<Body> {
        match http::read_json::<Cancel>(request.into_body()).await {
            Some(cancel) => {
                lock(&self.batch).cancel(&cancel.attempt);
                http::text(StatusCode::OK, "cancelled")
            }
            None => http::text(StatusCode::BAD_REQUEST, "body names no attempt"),
        }
    }

    async fn cache(&self, request: Request<Incoming>) -> Response<Body> {
        let attempt = ticket(request.headers()).attempt;
        if request.method() == Method::PUT {
            return match http::read(request.into_body()).await {
                Some(cache) if lock(&self.batch).import(&attempt, &cache) => {
                    http::text(StatusCode::OK, "imported")
                }
                _ => http::text(StatusCode::BAD_REQUEST, "body is no exported cache"),
            };
        }
        match lock(&self.batch).export(&attempt) {
            Some(cache) => http::text(StatusCode::OK, cache),
            None => http::text(StatusCode::NOT_FOUND, "no such attempt"),
        }
    }

    fn models(&self) -> Response<Body> {
        let residents = lock(&self.batch).residents();
        http::json(&json!({ "object": "list", "data": residents }))
    }

    fn report(&self) -> Response<Body> {
        let leaving = self.faults().leaving;
        http::json(&lock(&self.batch).report(leaving))
    }

    fn log_refusal(&self, ticket: Ticket, reason: &str) {
        let reason = reason.to_owned();
        self.log.push(Kind::Refused { ticket, reason });
    }

    async fn admin(&self, path: &str, request: Request<Incoming>) -> Response<Body> {
        match (request.method(), path) {
            (&Method::GET, "log") => http::text(StatusCode::OK, self.log.lines()),
            (&Method::GET, "state") => http::json(&lock(&self.batch).totals()),
            (&Method::POST, "restart" | "crash") => {
                lock(&self.batch).lose_all(End::Crashed, self.config.cold_start);
                // The admin's own connection is dropped with the others, after its answer.
                let connections = self.connections.clone();
                let cold_start = self.config.cold_start;
                tokio::spawn(async move {
                    sleep(ANSWER_PAUSE).await;
                    connections.refuse_for(cold_start.saturating_sub(ANSWER_PAUSE));
                });
                http::text(StatusCode::OK, "restarting\n")
            }
            (&Method::PUT, "faults") => match http::read_json(request.into_body()).await {
                Some(faults) => {
                    self.set_faults(faults);
                    http::text(StatusCode::OK, "done\n")
                }
                None => http::text(StatusCode::BAD_REQUEST, "body is no set of faults"),
            },
            _ => http::text(StatusCode::NOT_FOUND, "no such admin request"),
        }
    }
}

async fn load(core: Arc<Core>, request: Request<Incoming>) -> Response<Body> {
    let fence = fence(&request);
    let faults = core.faults();
    if faults.leaving {
        return leaving();
    }
    let Some(order) = http::read_json::<Load>(request.into_body()).await else {
        return http::text(StatusCode::BAD_REQUEST, "body is no load order");
    };
    let name = order.lora_name.clone();
    let base = &order.base_model_name;
    let begun = {
        let mut batch = lock(&core.batch);
        batch
            .fence(fence, faults.check_fence.unwrap_or(false))
            .and_then(|()| batch.begin_load(name.clone(), &order.lora_path, base, fence))
    };
    match begun {
        Ok(Loading::Begun(life)) => {
            // Engines go on with a load whose caller has gone away.
            let fetch = tokio::spawn(fetch(core, life, name, faults.loads));
            fetch.await.unwrap_or_else(|_| overtaken())
        }
        Ok(Loading::Present) => http::text(StatusCode::OK, "resident already"),
        Err(refusal) => refused(refusal),
    }
}

async fn fetch(core: Arc<Core>, life: u64, name: Instance, loads: Loads) -> Response<Body> {
    let begun = Instant::now();
    if loads == Loads::Hang {
        std::future::pending::<()>().await;
    }
    core.store.load(|| lock(&core.batch).loading()).await;
    if loads == Loads::Fail {
        lock(&core.batch).fail_load(life, &name);
        return http::text(
            StatusCode::INTERNAL_SERVER_ERROR,
            "the store gave no weights",
        );
    }
    if lock(&core.batch).end_load(life, &name, begun.elapsed()) {
        return http::text(StatusCode::OK, "loaded");
    }
    overtaken()
}

fn overtaken() -> Response<Body> {
    http::text(StatusCode::INTERNAL_SERVER_ERROR, "the load was overtaken")
}

fn fence(request: &Request<Incoming>) -> Fence {
    http::header(request.headers(), header::FENCE)
        .parse()
        .unwrap_or(0)
}

fn refused(refusal: Refusal) -> Response<Body> {
    match refusal {
        Refusal::Absent => http::text(StatusCode::NOT_FOUND, "no such instance"),
        Refusal::Taken => http::text(StatusCode::BAD_REQUEST, "the name is taken"),
        Refusal::NoSlot => http::text(StatusCode::BAD_REQUEST, "no slot is free"),
        Refusal::Fenced => http::text(StatusCode::CONFLICT, "the fencing number is old"),
    }
}

fn event_stream(body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    response
}
