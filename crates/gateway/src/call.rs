//! Calls that a node makes by itself: to engines, and to the platform.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response};
use tokio::time::timeout;
use upstream::link::{Call, Class, Host, Link, Reuse};
use upstream::{Error, Phase, Reach};

use crate::dialect;

/// Limits of the wait for an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Limit {
    /// Until its head has come.
    pub head: Duration,
    /// From there until it is whole, however often bytes come.
    pub body: Duration,
}

/// Sends one call, if `wanted` still holds when it can be written, and reads the whole answer.
///
/// # Errors
///
/// Returns the link's error.
pub(crate) async fn send(
    link: &Link,
    call: dialect::Call,
    limit: Limit,
    wanted: impl FnOnce() -> bool,
) -> Result<Response<Bytes>, Error> {
    // Reads may be repeated, and so may orders, since they name the state that they ask for.
    send_by(link, call, Reuse::Kept, limit, wanted).await
}

/// Sends one call on a new connection and reads the whole answer, as [`send`] does.
///
/// # Errors
///
/// Returns the link's error.
pub(crate) async fn send_anew(
    link: &Link,
    call: dialect::Call,
    limit: Limit,
) -> Result<Response<Bytes>, Error> {
    send_by(link, call, Reuse::Fresh, limit, || true).await
}

async fn send_by(
    link: &Link,
    call: dialect::Call,
    reuse: Reuse,
    limit: Limit,
    wanted: impl FnOnce() -> bool,
) -> Result<Response<Bytes>, Error> {
    let mut request = Request::builder().method(call.method).uri(call.path);
    for (name, value) in call.headers {
        request = request.header(name, value);
    }
    let request = request
        .body(Full::new(call.body))
        .map_err(|error| Error::Invalid {
            upstream: link.upstream().clone(),
            cause: error.to_string(),
        })?;
    let call = Call {
        class: Class::Control,
        reuse,
        host: Host::Upstream,
        head: Some(limit.head),
        request,
    };
    let (parts, body) = link.send_if(call, |_| wanted()).await?.into_parts();
    let body = timeout(limit.body, body.collect()).await;
    let body = body.unwrap_or_else(|_| {
        Err(Error::Timeout {
            upstream: link.upstream().clone(),
            phase: Phase::Body,
            limit: limit.body,
            reach: Reach::MaybeSent,
        })
    })?;
    Ok(Response::from_parts(parts, body))
}
