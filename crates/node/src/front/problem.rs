//! Errors towards callers: `application/problem+json` (RFC 9457) with a machine-read outcome.

use std::time::Duration;

use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;

use super::Body;

/// What became of the request that a problem answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request did not run and will not.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request ran and did not succeed, or is at fault itself.
    Failed,
}

impl Outcome {
    /// Returns the name that callers, logs and metrics see.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Failed => "failed",
        }
    }
}

/// One refusal or failure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// HTTP status.
    pub status: StatusCode,
    /// What became of the request.
    pub outcome: Outcome,
    /// What happened and what to do about it.
    pub detail: String,
    /// When a retry is worth making; `None` where it is not.
    pub retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct Document<'a> {
    #[serde(rename = "type")]
    kind: &'static str,
    title: &'a str,
    status: u16,
    outcome: Outcome,
    detail: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl Problem {
    /// Makes a problem without a time to retry.
    pub fn new(status: StatusCode, outcome: Outcome, detail: impl Into<String>) -> Self {
        Self {
            status,
            outcome,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Makes the problem of a request that did not run for lack of capacity.
    pub fn busy(detail: impl Into<String>, retry_after: Duration) -> Self {
        Self::new(StatusCode::SERVICE_UNAVAILABLE, Outcome::NotRun, detail).after(retry_after)
    }

    /// Makes the problem of a request that is malformed or not allowed; it did not run.
    pub fn bad(status: StatusCode, detail: impl Into<String>) -> Self {
        Self::new(status, Outcome::NotRun, detail)
    }

    /// Adds when a retry is worth making.
    #[must_use]
    pub fn after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Returns the problem as a response.
    pub fn into_response(self) -> Response<Body> {
        let mut response = Response::new(Body::full(self.to_json()));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(
            CONTENT_TYPE,
            HeaderValue::from_static("application/problem+json"),
        );
        headers.insert("x-outcome", HeaderValue::from_static(self.outcome.name()));
        if let Some(delay) = self.retry_after {
            headers.insert(RETRY_AFTER, HeaderValue::from(whole_seconds(delay)));
        }
        response
    }

    /// Returns the problem's JSON document, which also ends a stream that has begun.
    pub fn to_json(&self) -> String {
        let document = Document {
            kind: "about:blank",
            title: self.status.canonical_reason().unwrap_or("Error"),
            status: self.status.as_u16(),
            outcome: self.outcome,
            detail: &self.detail,
            retry_after_ms: self.retry_after.map(|delay| delay.as_millis() as u64),
        };
        serde_json::to_string(&document).unwrap_or_default()
    }
}

/// Rounds up, since a client that comes back early is refused again.
fn whole_seconds(delay: Duration) -> u64 {
    delay.as_secs() + u64::from(delay.subsec_nanos() > 0)
}
