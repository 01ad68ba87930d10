//! Sorts callers' requests by path.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};

use upstream::memory::{self, Account, Buffer};

use super::listener::Handler;
use super::{Body, Caller, Problem, address, model, service};
use crate::core::Handle;
use crate::shared::{Rules, Shared};

/// Answers callers' requests.
#[derive(Clone)]
pub struct Front {
    pub(super) shared: Arc<Shared>,
    pub(super) core: Handle,
}

impl Front {
    /// Makes the handler.
    pub fn new(shared: Arc<Shared>, core: Handle) -> Self {
        Self { shared, core }
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
        caller: Caller,
    ) -> Result<Response<Body>, Problem> {
        let path = request.uri().path();
        match (request.method(), path) {
            (&Method::GET, "/healthz") => return Ok(text("alive\n")),
            (&Method::GET, "/readyz") => return self.readiness(),
            _ => {}
        }
        let rules = self.rules()?;
        self.check_streams()?;
        match (request.method(), path) {
            (&Method::GET, "/v1/addresses") => address::answer(self, &rules, request.headers()),
            (&Method::GET, "/v1/models") => model::list(self, &rules, request.headers()),
            (&Method::POST, "/v1/completions") => {
                model::complete(self, &rules, request, caller).await
            }
            _ => service::pass(self, &rules, request, caller).await,
        }
    }

    fn readiness(&self) -> Result<Response<Body>, Problem> {
        self.rules()?;
        if self.shared.leaving() {
            return Err(Problem::busy(
                "this node shuts down; ask another",
                RETRY_ELSEWHERE,
            ));
        }
        Ok(text("ready\n"))
    }

    /// Refuses what exceeds the limit on requests in progress.
    fn check_streams(&self) -> Result<(), Problem> {
        let limit = self.shared.settings.limits.streams as u64;
        if self.shared.flying() <= limit {
            return Ok(());
        }
        let detail = "this node has too many requests in progress; ask another";
        Err(Problem::busy(detail, RETRY_ELSEWHERE))
    }

    /// Returns the rules in force, or the refusal of a node that may not take traffic yet.
    fn rules(&self) -> Result<Arc<Rules>, Problem> {
        let rules = self
            .shared
            .rules
            .load_full()
            .filter(|_| self.shared.ready());
        rules.ok_or_else(|| {
            let detail = "this node has not learnt the newest configuration yet; ask another";
            Problem::busy(detail, RETRY_ELSEWHERE)
        })
    }
}

/// Pause before a caller should try another node.
pub(super) const RETRY_ELSEWHERE: std::time::Duration = std::time::Duration::from_secs(1);

impl Handler for Front {
    async fn handle(&self, request: Request<Incoming>, caller: Caller) -> Response<Body> {
        let _flight = self.shared.enter();
        match self.answer(request, caller).await {
            Ok(response) => response,
            Err(problem) => {
                self.shared.metrics.refused_with(&problem);
                problem.into_response()
            }
        }
    }
}

/// Reads a request's body within the limits of size, time and memory.
pub(super) async fn read_body(front: &Front, body: Incoming) -> Result<Bytes, Problem> {
    let settings = &front.shared.settings;
    let (limit, time) = (settings.limits.body_bytes, settings.time.body);
    read_within(body, limit, time, &front.shared.memory).await
}

/// Bodies up to this size need no room in the account of bodies: all connections together hold little of
/// them, and uploads must not keep them out.
const SMALL_BODY: usize = 16 << 10;

/// Time for which the rest of a refused body is read, so that its caller reads the refusal.
const DISCARD_TIME: Duration = Duration::from_secs(2);

/// Pause before a caller should try a body again that there was no room for.
const NO_ROOM_PAUSE: Duration = Duration::from_millis(500);

/// Reads a request's body of at most `limit` bytes, which has to come within `time` and to find room in
/// `memory`. What there is no room for is refused before it is read.
///
/// # Errors
///
/// Returns the refusal of a body that is too large, too slow, cut, or without room.
pub async fn read_within(
    mut body: Incoming,
    limit: usize,
    time: Duration,
    memory: &Arc<Account>,
) -> Result<Bytes, Problem> {
    let read = tokio::time::timeout(time, fill(&mut body, limit, memory));
    let Ok(read) = read.await else {
        let detail = "the body took too long; send it faster";
        return Err(Problem::bad(StatusCode::REQUEST_TIMEOUT, detail));
    };
    match read {
        Ok(body) => Ok(body),
        Err(Unread::Large) => {
            let detail = format!("the body exceeds {limit} bytes; send a shorter one");
            Err(Problem::bad(StatusCode::PAYLOAD_TOO_LARGE, detail))
        }
        Err(Unread::Cut(error)) => {
            let detail = format!("the body was cut ({error}); send it whole");
            Err(Problem::bad(StatusCode::BAD_REQUEST, detail))
        }
        Err(Unread::NoRoom(error)) => {
            tokio::spawn(tokio::time::timeout(DISCARD_TIME, discard(body)));
            Err(Problem::busy(error.to_string(), NO_ROOM_PAUSE))
        }
    }
}

/// Why a body was not read to its end.
enum Unread {
    Large,
    Cut(hyper::Error),
    NoRoom(memory::Full),
}

async fn fill(body: &mut Incoming, limit: usize, memory: &Arc<Account>) -> Result<Bytes, Unread> {
    let mut small = Vec::new();
    let mut large = Buffer::new(memory);
    if let Some(length) = body.size_hint().exact() {
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        if length > limit {
            return Err(Unread::Large);
        }
        if length > SMALL_BODY {
            large.reserve(length).map_err(Unread::NoRoom)?;
        }
    }
    while let Some(frame) = body.frame().await {
        let Ok(part) = frame.map_err(Unread::Cut)?.into_data() else {
            continue;
        };
        if small.len() + large.len() + part.len() > limit {
            return Err(Unread::Large);
        }
        if large.is_empty() && small.len() + part.len() <= SMALL_BODY {
            small.extend_from_slice(&part);
            continue;
        }
        let before = std::mem::take(&mut small);
        large.push(&before).map_err(Unread::NoRoom)?;
        large.push(&part).map_err(Unread::NoRoom)?;
    }
    Ok(if large.is_empty() {
        small.into()
    } else {
        large.freeze()
    })
}

/// Reads a body to its end and keeps nothing of it.
async fn discard(mut body: Incoming) {
    while let Some(Ok(_)) = body.frame().await {}
}

fn text(text: &'static str) -> Response<Body> {
    Response::new(Body::full(text))
}

/// Returns a JSON document as a response.
pub(super) fn json(document: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Body::full(document));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
