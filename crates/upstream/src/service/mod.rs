//! The interface to a plain service: a call passes through with its method, path, headers and
//! body, and the answer comes back as it is.

mod http;

use std::future::Future;

use bytes::Bytes;
use hyper::http::HeaderMap;
use hyper::{Method, Response};
use wire::Priority;

pub use http::Http;

use crate::engine::Attempt;
use crate::error::Error;
use crate::link::Reuse;

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// The caller's headers; those of the connection are left out.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Id of this attempt.
    pub attempt: Attempt,
    /// Its priority.
    pub priority: Priority,
    /// [`Reuse::Fresh`] for a call that may not be repeated.
    pub reuse: Reuse,
}

/// A response body. Dropping it before its end cancels the call.
pub trait Body: Send + 'static {
    /// Returns the next part, or `None` once the body is whole.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] where the body is cut or stalls.
    fn next(&mut self) -> impl Future<Output = Result<Option<Bytes>, Error>> + Send;
}

/// A plain service.
pub trait Service: Send + Sync + 'static {
    /// Its response bodies.
    type Body: Body;

    /// Sends a call once and returns the response head with its unread body. An error status of
    /// the service is an answer, not an [`Error`].
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] whose reach tells whether the call may have run.
    fn call(&self, call: Call) -> impl Future<Output = Result<Response<Self::Body>, Error>> + Send {
        self.call_if(call, || true)
    }

    /// Sends a call, if `wanted` still holds when it can be written.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Withdrawn`] where it no longer holds, and what [`Service::call`] returns.
    fn call_if(
        &self,
        call: Call,
        wanted: impl FnOnce() -> bool + Send,
    ) -> impl Future<Output = Result<Response<Self::Body>, Error>> + Send;
}
