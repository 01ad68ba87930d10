//! The service over HTTP/1.1.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::CONTENT_LENGTH;
use hyper::http::HeaderValue;
use hyper::{Request, Response};
use wire::Upstream;

use super::{Body, Call, Service};
use crate::engine::check_head;
use crate::error::Error;
use crate::header;
use crate::link::{self, Framing, Limits, Link};
use crate::relay::Router;

/// A plain service reached over HTTP.
#[derive(Clone, Debug)]
pub struct Http {
    link: Link,
}

impl Http {
    /// Names the service.
    pub fn new(upstream: impl Into<Upstream>, address: SocketAddr, limits: Limits) -> Self {
        Self {
            link: Link::new(upstream, address, limits),
        }
    }

    /// Opens connections by `router`, directly or through peers.
    #[must_use]
    pub fn routed(self, router: &Arc<Router>) -> Self {
        Self {
            link: self.link.routed(router),
        }
    }

    /// Returns the service's id.
    pub fn upstream(&self) -> &Upstream {
        self.link.upstream()
    }

    fn request(&self, call: Call) -> Result<Request<Full<Bytes>>, Error> {
        let invalid = |cause: String| Error::Invalid {
            upstream: self.upstream().clone(),
            cause,
        };
        let attempt = HeaderValue::try_from(&*call.attempt);
        let attempt = attempt.map_err(|error| invalid(error.to_string()))?;
        let mut request = Request::builder()
            .method(call.method)
            .uri(call.path)
            .body(Full::new(call.body))
            .map_err(|error| invalid(error.to_string()))?;
        *request.headers_mut() = call.headers;
        header::strip(request.headers_mut());
        // The connection frames the body anew.
        request.headers_mut().remove(CONTENT_LENGTH);
        request.headers_mut().insert(header::ATTEMPT, attempt);
        Ok(request)
    }

    fn check(&self, response: &Response<link::Body>, attempt: &str) -> Result<(), Error> {
        check_head(self.upstream(), response, attempt)?;
        // A cut could not be told from the end.
        if response.body().framing() == Framing::Connection {
            return Err(Error::Malformed {
                upstream: self.upstream().clone(),
                cause: "the body's length is not told".to_owned(),
            });
        }
        Ok(())
    }
}

impl Service for Http {
    type Body = link::Body;

    async fn call_if(
        &self,
        call: Call,
        wanted: impl FnOnce() -> bool + Send,
    ) -> Result<Response<link::Body>, Error> {
        let attempt = call.attempt.clone();
        let call = link::Call {
            class: call.priority.into(),
            reuse: call.reuse,
            host: link::Host::Upstream,
            head: None,
            request: self.request(call)?,
        };
        let mut response = self.link.send_if(call, |_| wanted()).await?;
        self.check(&response, &attempt)?;
        header::strip(response.headers_mut());
        response.headers_mut().remove(header::ATTEMPT);
        Ok(response)
    }
}

impl Body for link::Body {
    async fn next(&mut self) -> Result<Option<Bytes>, Error> {
        link::Body::next(self).await
    }
}
