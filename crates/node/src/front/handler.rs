//! Sorts callers' requests by path.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};

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

/// Reads a request's body within the limits of size and time.
pub(super) async fn read_body(front: &Front, body: Incoming) -> Result<Bytes, Problem> {
    let settings = &front.shared.settings;
    read_within(body, settings.limits.body_bytes, settings.time.body).await
}

/// Reads a request's body of at most `limit` bytes, which has to come within `time`.
///
/// # Errors
///
/// Returns the refusal of a body that is too large, too slow or cut.
pub async fn read_within(body: Incoming, limit: usize, time: Duration) -> Result<Bytes, Problem> {
    let read = Limited::new(body, limit).collect();
    let Ok(read) = tokio::time::timeout(time, read).await else {
        let detail = "the body took too long; send it faster";
        return Err(Problem::bad(StatusCode::REQUEST_TIMEOUT, detail));
    };
    match read {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            let detail = format!("the body exceeds {limit} bytes; send a shorter one");
            Err(Problem::bad(StatusCode::PAYLOAD_TOO_LARGE, detail))
        }
        Err(error) => {
            let detail = format!("the body was cut ({error}); send it whole");
            Err(Problem::bad(StatusCode::BAD_REQUEST, detail))
        }
    }
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
