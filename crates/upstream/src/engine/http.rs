//! The engine over HTTP/1.1.
//!
//! Orders, models and completions follow the dynamic-LoRA protocol of the OpenAI-compatible
//! engines: `POST /v1/load_lora_adapter`, `POST /v1/unload_lora_adapter`, `GET /v1/models` and
//! `POST /v1/completions`. Beside them stand `POST /v1/role`, `POST /v1/cancel`,
//! `GET /v1/report`, `GET /v1/events?after=N` and `GET` and `PUT /v1/kv`, whose
//! attempt stands in a header.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::CONTENT_TYPE;
use hyper::http::request::Builder;
use hyper::{Method, Request, Response, StatusCode};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tokio::time::{Instant, timeout};
use wire::{Fence, Upstream};

use super::answer::{Check, Next};
use super::{Completion, Engine, Event, Events, Load, Report, Resident, Role, Unload};
use crate::error::{Error, Phase, Reach};
use crate::header;
use crate::link::{Body, Call, Class, Host, Limits, Link, Reuse};
use crate::relay::Router;
use crate::sse::Parser;

/// Bytes of an error answer that are quoted.
const QUOTE_BYTES_MAX: usize = 200;

/// Path of an engine's load report.
const REPORT: &str = "/v1/report";

/// An engine reached over HTTP.
#[derive(Clone, Debug)]
pub struct Http {
    link: Link,
    load: Duration,
}

/// The form of `GET /v1/models`.
#[derive(Deserialize)]
struct Models {
    data: Vec<Resident>,
}

impl Http {
    /// Names the engine; `load` is the time limit of a load order.
    pub fn new(
        upstream: impl Into<Upstream>,
        address: SocketAddr,
        limits: Limits,
        load: Duration,
    ) -> Self {
        Self {
            link: Link::new(upstream, address, limits),
            load,
        }
    }

    /// Opens connections by `router`. Those of orders go through no peer.
    #[must_use]
    pub fn routed(self, router: &Arc<Router>) -> Self {
        Self {
            link: self.link.routed(router),
            ..self
        }
    }

    /// Returns the engine's id.
    pub fn upstream(&self) -> &Upstream {
        self.link.upstream()
    }

    async fn order(&self, path: &str, fence: Fence, body: &Value) -> Result<(), Error> {
        let request = Request::post(path).header(header::FENCE, fence);
        let call = Call {
            class: Class::Control,
            // A new connection: an order that was never sent is then known for what it is.
            reuse: Reuse::Fresh,
            host: Host::Upstream,
            head: Some(self.load),
            request: self.build(request, body)?,
        };
        let response = self.link.direct().send(call).await?;
        match response.status() {
            status if status.is_success() => response.into_body().collect().await.map(drop),
            StatusCode::CONFLICT => Err(Error::Fenced {
                upstream: self.upstream().clone(),
                fence,
            }),
            _ => Err(self.refusal(response, body["lora_name"].as_str()).await),
        }
    }

    async fn ask(&self, link: &Link, path: &str) -> Result<Bytes, Error> {
        let request = Request::get(path).body(Full::default());
        let request = request.map_err(|error| self.invalid(error))?;
        let body = self.control(link, request, Reuse::Kept).await?;
        self.short(body).await
    }

    /// Reads a body that has to be whole soon, however often bytes come.
    async fn short(&self, body: Body) -> Result<Bytes, Error> {
        let limit = self.link.limits().report;
        let body = timeout(limit, body.collect()).await;
        body.unwrap_or_else(|_| Err(timed_out(self.upstream(), limit)))
    }

    async fn control(
        &self,
        link: &Link,
        request: Request<Full<Bytes>>,
        reuse: Reuse,
    ) -> Result<Body, Error> {
        let path = request.uri().path().to_owned();
        // An import sends a body that takes its time.
        let report = request.method() != Method::PUT;
        let call = Call {
            class: Class::Control,
            reuse,
            host: Host::Upstream,
            head: report.then_some(self.link.limits().report),
            request,
        };
        let response = link.send(call).await?;
        if response.status().is_success() {
            return Ok(response.into_body());
        }
        Err(self.refusal(response, Some(&path)).await)
    }

    /// Reads what orders rest on, the way of orders.
    async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        self.read_by(&self.link.direct(), path).await
    }

    async fn read_by<T: DeserializeOwned>(&self, link: &Link, path: &str) -> Result<T, Error> {
        let body = self.ask(link, path).await?;
        serde_json::from_slice(&body).map_err(|error| Error::Malformed {
            upstream: self.upstream().clone(),
            cause: format!("{path}: {error}"),
        })
    }

    fn build(&self, request: Builder, body: &Value) -> Result<Request<Full<Bytes>>, Error> {
        request
            .header(CONTENT_TYPE, "application/json")
            .body(Full::from(body.to_string()))
            .map_err(|error| self.invalid(error))
    }

    fn invalid(&self, cause: impl ToString) -> Error {
        Error::Invalid {
            upstream: self.upstream().clone(),
            cause: cause.to_string(),
        }
    }

    async fn refusal(&self, response: Response<Body>, thing: Option<&str>) -> Error {
        let upstream = self.upstream().clone();
        let status = response.status();
        if is_leaving(&response) {
            return Error::Leaving { upstream };
        }
        if status == StatusCode::NOT_FOUND {
            let instance = thing.unwrap_or_default().to_owned();
            return Error::Absent { upstream, instance };
        }
        let pause = header::pause(status, response.headers());
        let body = self.short(response.into_body()).await.unwrap_or_default();
        let quoted = &body[..body.len().min(QUOTE_BYTES_MAX)];
        Error::Refused {
            upstream,
            status: status.as_u16(),
            message: String::from_utf8_lossy(quoted).into_owned(),
            pause,
        }
    }
}

impl Engine for Http {
    type Answer = Stream;

    async fn load(&self, order: Load) -> Result<(), Error> {
        let body = json!({
            "lora_name": order.instance,
            "lora_path": order.path,
            "base_model_name": order.base,
        });
        self.order("/v1/load_lora_adapter", order.fence, &body)
            .await
    }

    async fn unload(&self, order: Unload) -> Result<(), Error> {
        let body = json!({ "lora_name": order.instance });
        self.order("/v1/unload_lora_adapter", order.fence, &body)
            .await
    }

    async fn assign(&self, role: Role, fence: Fence) -> Result<(), Error> {
        self.order("/v1/role", fence, &json!({ "role": role }))
            .await
    }

    async fn models(&self) -> Result<Vec<Resident>, Error> {
        let models: Models = self.read("/v1/models").await?;
        Ok(models.data)
    }

    async fn complete_if(
        &self,
        request: Completion,
        wanted: impl FnOnce() -> bool + Send,
    ) -> Result<Stream, Error> {
        let mut body = request.parameters.clone();
        body.insert("model".into(), json!(request.instance));
        body.insert("prompt".into(), json!(request.prompt));
        body.insert("max_tokens".into(), json!(request.max_tokens));
        body.insert("priority".into(), json!(request.priority as u8));
        body.insert("offset".into(), json!(request.offset));
        body.insert("stream".into(), json!(true));
        let builder = Request::post("/v1/completions")
            .header(header::ATTEMPT, &*request.attempt)
            .header(header::REQUEST, &*request.attempt)
            .header(header::CALLER, &*request.caller);
        let call = Call {
            class: request.priority.into(),
            reuse: Reuse::Kept,
            host: Host::Upstream,
            head: None,
            request: self.build(builder, &Value::Object(body))?,
        };
        let response = self.link.send_if(call, |_| wanted()).await?;
        check_head(self.upstream(), &response, &request.attempt)?;
        if !response.status().is_success() {
            return Err(self.refusal(response, Some(&request.instance)).await);
        }
        let check = Check::new(
            self.upstream().clone(),
            request.attempt,
            request.instance,
            request.offset,
        );
        let limit = self.link.limits().body;
        Ok(Stream::new(check, response.into_body(), limit))
    }

    async fn cancel(&self, attempt: &str) -> Result<(), Error> {
        let request = self.build(Request::post("/v1/cancel"), &json!({ "attempt": attempt }))?;
        let body = self.control(&self.link, request, Reuse::Kept).await?;
        self.short(body).await.map(drop)
    }

    async fn report(&self) -> Result<Report, Error> {
        self.read(REPORT).await
    }

    async fn start(&self) -> Result<u64, Error> {
        let report: Report = self.read_by(&self.link, REPORT).await?;
        Ok(report.start)
    }

    async fn events(&self, after: u64) -> Result<Events, Error> {
        self.read(&format!("/v1/events?after={after}")).await
    }

    async fn export(&self, attempt: &str) -> Result<Bytes, Error> {
        let request = Request::get("/v1/kv")
            .header(header::ATTEMPT, attempt)
            .body(Full::default())
            .map_err(|error| self.invalid(error))?;
        let body = self.control(&self.link, request, Reuse::Kept).await?;
        body.collect().await
    }

    async fn import(&self, attempt: &str, cache: Bytes) -> Result<(), Error> {
        let request = Request::builder()
            .method(Method::PUT)
            .uri("/v1/kv")
            .header(header::ATTEMPT, attempt)
            .body(Full::new(cache))
            .map_err(|error| self.invalid(error))?;
        let body = self.control(&self.link, request, Reuse::Fresh).await?;
        self.short(body).await.map(drop)
    }
}

/// Returns the error of a body that does not come within `limit`.
fn timed_out(upstream: &Upstream, limit: Duration) -> Error {
    Error::Timeout {
        upstream: upstream.clone(),
        phase: Phase::Body,
        limit,
        reach: Reach::MaybeSent,
    }
}

/// Tells whether the answer says that the upstream is leaving and ran nothing.
fn is_leaving(response: &Response<Body>) -> bool {
    response.status() == StatusCode::SERVICE_UNAVAILABLE
        && response
            .headers()
            .get(header::LEAVING)
            .is_some_and(|value| value == "true")
}

/// Checks that an answer that names an attempt names this one, and that it does not say that the
/// upstream is leaving. That it ran nothing is believed only of an answer that names the attempt.
pub(crate) fn check_head(
    upstream: &Upstream,
    response: &Response<Body>,
    attempt: &str,
) -> Result<(), Error> {
    let upstream = upstream.clone();
    match response.headers().get(header::ATTEMPT) {
        Some(got) if got != attempt => Err(Error::Crossed {
            upstream,
            expected: attempt.to_owned(),
            got: String::from_utf8_lossy(got.as_bytes()).into_owned(),
        }),
        Some(_) if is_leaving(response) => Err(Error::Leaving { upstream }),
        None if is_leaving(response) => Err(Error::Malformed {
            upstream,
            cause: "it says that it is leaving and names no attempt".to_owned(),
        }),
        _ => Ok(()),
    }
}

/// A streamed answer. Dropping it closes the connection, which cancels the work.
#[derive(Debug)]
pub struct Stream {
    check: Check,
    parser: Parser,
    body: Option<Body>,
    /// Limit of the wait for an event, and for the end of the body after the last one.
    limit: Duration,
    ended: bool,
}

impl Stream {
    fn new(check: Check, body: Body, limit: Duration) -> Self {
        Self {
            check,
            parser: Parser::default(),
            body: Some(body),
            limit,
            ended: false,
        }
    }

    /// Returns the number of tokens received, those before the resumed offset included.
    pub fn offset(&self) -> u64 {
        self.check.offset()
    }

    fn parsed(&mut self) -> Option<Result<Event, Error>> {
        while let Some(data) = self.parser.next_event() {
            match self.check.take(&data) {
                Next::Pass(event) => return Some(Ok(event)),
                Next::Drop => {}
                Next::Fail(error) => return Some(Err(error)),
            }
        }
        None
    }

    fn note(&mut self, event: &Result<Event, Error>) {
        match event {
            Ok(Event::End { .. }) => self.ended = true,
            Ok(_) => {}
            Err(_) => self.body = None,
        }
    }

    async fn read(&mut self) -> Result<(), Error> {
        let Some(body) = &mut self.body else {
            return Err(self.check.cut("the stream has failed before"));
        };
        match body.next().await {
            Ok(Some(part)) => self
                .parser
                .push(&part)
                .map_err(|error| self.check.malformed(error)),
            Ok(None) => Err(self.check.cut("no last event")),
            Err(Error::Cut { cause, .. }) => Err(self.check.cut(cause)),
            Err(error) => Err(error),
        }
    }

    /// Reads on to the end of the body, so that the connection can be kept.
    async fn release(&mut self) {
        if let Some(mut body) = self.body.take() {
            let rest = async { while let Ok(Some(_)) = body.next().await {} };
            let _ = timeout(self.limit, rest).await;
        }
    }

    async fn step(&mut self) -> Result<Event, Error> {
        let mut since = None;
        loop {
            if let Some(event) = self.parsed() {
                return event;
            }
            // The body's own limit is for bytes, which need not bring an event.
            let since: Instant = *since.get_or_insert_with(Instant::now);
            if since.elapsed() >= self.limit {
                return Err(timed_out(self.check.upstream(), self.limit));
            }
            self.read().await?;
        }
    }
}

impl super::Answer for Stream {
    async fn next(&mut self) -> Result<Option<Event>, Error> {
        if self.ended {
            self.release().await;
            return Ok(None);
        }
        let event = self.step().await;
        self.note(&event);
        event.map(Some)
    }

    fn ready(&mut self) -> Option<Result<Event, Error>> {
        if self.ended {
            return None;
        }
        let event = self.parsed()?;
        self.note(&event);
        Some(event)
    }
}
