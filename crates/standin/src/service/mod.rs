//! A plain service's stand-in. It runs every call that reaches it, counts the runs per
//! idempotency key (or per request id, without a key), and answers [`answer::service`].
//!
//! While it is leaving it answers 503 with `x-leaving: true` and runs nothing. Admin requests:
//! `GET /admin/log` (JSON lines), `GET /admin/runs` (runs by key), and `PUT /admin/faults` (a
//! JSON [`Faults`], whose missing fields are reset).

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::RETRY_AFTER;
use hyper::http::HeaderValue;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;
use upstream::header;

use crate::http::{self, Answer, Body, Closed, Connections};
use crate::log::{End, Kind, Log, Ticket};
use crate::{answer, lock};

/// Time between the two halves of a body that is sent slowly.
const HALF_PAUSE: Duration = Duration::from_millis(20);

/// Settings of the stand-in.
#[derive(Clone, Debug)]
pub struct Config {
    /// The upstream's id.
    pub name: String,
    /// Where to listen.
    pub listen: SocketAddr,
    /// Time that a call takes.
    pub delay: Duration,
}

impl Config {
    /// Returns the settings of a service named `name` on a free port.
    pub fn new(name: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            listen: crate::site::loopback(0),
            delay: Duration::from_millis(5),
        }
    }
}

/// Where a call fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Point {
    /// The connection closes and the call does not run.
    BeforeRun,
    /// The call runs and the connection closes before the response head.
    BeforeHead,
    /// The call runs and the connection closes in the middle of the body.
    InBody,
    /// The call runs and the answer is another attempt's.
    Crossed,
    /// The call runs and nothing is ever answered.
    Hang,
}

/// Faults to inject.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Where calls fail.
    pub point: Option<Point>,
    /// Calls that fail so before the service is sound again; absent for all.
    pub count: Option<u64>,
    /// Whether the service is leaving.
    pub leaving: bool,
    /// Time that a call takes, in place of the setting.
    pub delay_ms: Option<u64>,
    /// Time for which the service wants nothing, told with 503 in answer to each call.
    pub pause_ms: Option<u64>,
}

/// A running stand-in. It stops when it is dropped.
#[derive(Debug)]
pub struct Server {
    state: Arc<State>,
    server: http::Server,
}

impl Server {
    /// Starts the stand-in.
    ///
    /// # Errors
    ///
    /// Returns the system's error where the address cannot be bound.
    pub async fn start(config: Config) -> io::Result<Self> {
        let listen = config.listen;
        let state = Arc::new(State {
            log: Log::new(&*config.name),
            config,
            faults: Mutex::default(),
            runs: Mutex::default(),
        });
        let server = http::Server::start(listen, state.clone(), Connections::default()).await?;
        Ok(Self { state, server })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the run log.
    pub fn log(&self) -> &Log {
        &self.state.log
    }

    /// Returns the runs by idempotency key or request id.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        lock(&self.state.runs).clone()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.state.set_faults(faults);
    }

    /// Stops listening and drops every connection.
    pub fn shutdown(&self) {
        self.server.shutdown();
    }
}

/// State of the stand-in.
#[derive(Debug)]
struct State {
    config: Config,
    log: Log,
    faults: Mutex<Faults>,
    runs: Mutex<BTreeMap<String, u64>>,
}

/// A call as received.
struct Call {
    ticket: Ticket,
    key: Option<String>,
    method: String,
    path: String,
    body: Bytes,
}

impl http::Handler for State {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        if let Some(path) = request.uri().path().strip_prefix("/admin/") {
            let path = path.to_owned();
            return Ok(self.admin(&path, request).await);
        }
        let call = receive(request).await.ok_or(Closed)?;
        let faults = *lock(&self.faults);
        if faults.leaving {
            return Ok(self.refuse(call, leaving(), "leaving"));
        }
        if let Some(pause) = faults.pause_ms {
            return Ok(self.refuse(call, paused(pause), "paused"));
        }
        let point = self.take_fault();
        if point == Some(Point::BeforeRun) {
            return Err(Closed);
        }
        let run = Running::new(&self.log, call.ticket.clone());
        self.run(&call);
        sleep(self.delay()).await;
        self.answer(&call, point, run).await
    }
}

impl State {
    fn set_faults(&self, faults: Faults) {
        let before = std::mem::replace(&mut *lock(&self.faults), faults);
        if before.leaving != faults.leaving {
            let leaving = faults.leaving;
            self.log.push(Kind::Leaving { leaving });
        }
    }

    fn take_fault(&self) -> Option<Point> {
        let mut faults = lock(&self.faults);
        let point = faults.point?;
        match &mut faults.count {
            Some(0) => return None,
            Some(count) => *count -= 1,
            None => {}
        }
        Some(point)
    }

    fn delay(&self) -> Duration {
        let delay = lock(&self.faults).delay_ms;
        delay.map_or(self.config.delay, Duration::from_millis)
    }

    fn run(&self, call: &Call) {
        let key = call
            .key
            .clone()
            .unwrap_or_else(|| call.ticket.request.clone());
        let mut runs = lock(&self.runs);
        let count = runs.entry(key).or_default();
        *count += 1;
        self.log.push(Kind::Run {
            ticket: call.ticket.clone(),
            key: call.key.clone(),
            method: call.method.clone(),
            path: call.path.clone(),
            runs: *count,
        });
    }

    fn refuse(&self, call: Call, answer: Response<Body>, reason: &str) -> Response<Body> {
        let answer = echo(answer, &call.ticket.attempt);
        self.log.push(Kind::Refused {
            ticket: call.ticket,
            reason: reason.to_owned(),
        });
        answer
    }

    async fn answer(&self, call: &Call, point: Option<Point>, run: Running<'_>) -> Answer {
        let key = call.key.as_deref().unwrap_or_default();
        let body = answer::service(&call.method, &call.path, key, &call.body);
        let mut attempt = call.ticket.attempt.clone();
        match point {
            Some(Point::BeforeHead) => {
                run.end(End::Cut, 0);
                return Err(Closed);
            }
            Some(Point::Hang) => std::future::pending().await,
            Some(Point::InBody) => return Ok(cut(&body, &attempt, run)),
            Some(Point::Crossed) => attempt.push_str("-other"),
            Some(Point::BeforeRun) | None => {}
        }
        run.end(End::Whole, body.len() as u64);
        Ok(echo(http::text(StatusCode::OK, body), &attempt))
    }

    async fn admin(&self, path: &str, request: Request<Incoming>) -> Response<Body> {
        match (request.method(), path) {
            (&Method::GET, "log") => http::text(StatusCode::OK, self.log.lines()),
            (&Method::GET, "runs") => http::json(&*lock(&self.runs)),
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

/// A call that runs; dropped before its end, it was cancelled.
struct Running<'a> {
    log: &'a Log,
    ticket: Option<Ticket>,
}

impl<'a> Running<'a> {
    fn new(log: &'a Log, ticket: Ticket) -> Self {
        Self {
            log,
            ticket: Some(ticket),
        }
    }

    fn end(mut self, end: End, given: u64) {
        if let Some(ticket) = self.ticket.take() {
            self.log.push(Kind::Finish { ticket, end, given });
        }
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            let end = End::Cancelled;
            self.log.push(Kind::Finish {
                ticket,
                end,
                given: 0,
            });
        }
    }
}

async fn receive(request: Request<Incoming>) -> Option<Call> {
    let (head, body) = request.into_parts();
    let key = http::header(&head.headers, header::KEY);
    Some(Call {
        ticket: ticket(&head.headers),
        key: Some(key).filter(|key| !key.is_empty()),
        method: head.method.to_string(),
        path: head.uri.to_string(),
        body: http::read(body).await?,
    })
}

/// Reads who asks from a request's headers.
pub(crate) fn ticket(headers: &hyper::HeaderMap) -> Ticket {
    Ticket {
        attempt: http::header(headers, header::ATTEMPT),
        request: http::header(headers, header::REQUEST),
        caller: http::header(headers, header::CALLER),
    }
}

/// Returns the answer of an upstream that is leaving.
pub(crate) fn leaving() -> Response<Body> {
    let mut response = http::text(StatusCode::SERVICE_UNAVAILABLE, "leaving\n");
    let headers = response.headers_mut();
    headers.insert(header::LEAVING, HeaderValue::from_static("true"));
    response
}

/// Returns the answer of a service that wants nothing for that time.
fn paused(millis: u64) -> Response<Body> {
    let mut response = http::text(StatusCode::SERVICE_UNAVAILABLE, "paused\n");
    let seconds = format!("{:.3}", millis as f64 / 1_000.0);
    if let Ok(seconds) = HeaderValue::try_from(seconds) {
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}

/// Names the attempt that a response answers.
pub(crate) fn echo(mut response: Response<Body>, attempt: &str) -> Response<Body> {
    let named = Some(attempt).filter(|attempt| !attempt.is_empty());
    if let Some(Ok(attempt)) = named.map(HeaderValue::try_from) {
        response.headers_mut().insert(header::ATTEMPT, attempt);
    }
    response
}

/// Returns a response that ends after half its body.
fn cut(body: &str, attempt: &str, run: Running<'_>) -> Response<Body> {
    let half = body.len() / 2;
    let (sender, stream) = Body::stream(Some(body.len() as u64));
    let first = Bytes::copy_from_slice(&body.as_bytes()[..half]);
    run.end(End::Cut, half as u64);
    tokio::spawn(async move {
        sender.send(first);
        sleep(HALF_PAUSE).await;
        sender.close();
    });
    echo(Response::new(stream), attempt)
}
