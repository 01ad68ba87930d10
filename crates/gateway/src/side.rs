//! Answers whether the node takes traffic and which nodes to use, and shows metrics.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use node::front::Body;
use node::front::listener::Handler;

use crate::dialect::Dialect;
use crate::hub::Hub;

/// Path of the metrics.
const METRICS: &str = "/metrics";

/// Answers on the addresses beside the callers'.
pub struct Side<D>(Arc<Hub<D>>);

impl<D> Clone for Side<D> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<D: Dialect> Side<D> {
    /// Makes the handler.
    pub fn new(hub: Arc<Hub<D>>) -> Self {
        Self(hub)
    }

    fn ready(&self) -> Response<Body> {
        if self.0.ready() {
            return plain(StatusCode::OK, "ready\n");
        }
        plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }

    /// Tells which nodes to use; a node that has not met its peers knows too few to tell.
    fn whereabouts(&self) -> Response<Body> {
        let addresses = self.0.peers.load().callers();
        if addresses.is_empty() || !self.0.met() {
            return plain(StatusCode::SERVICE_UNAVAILABLE, "no node is known yet\n");
        }
        let ttl = self.0.settings.time.address_ttl;
        let mut response = Response::new(Body::full(self.0.dialect.tell_where(&addresses, ttl)));
        let json = HeaderValue::from_static("application/json");
        response.headers_mut().insert(CONTENT_TYPE, json);
        response
    }
}

impl<D: Dialect> Handler for Side<D> {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path();
        if self.0.dialect.asks_ready(path) {
            return self.ready();
        }
        if path == METRICS {
            return Response::new(Body::full(self.0.metrics.render(self.0.post.counts())));
        }
        match self.0.dialect.asks_where(path, request.uri().query()) {
            Some(_) => self.whereabouts(),
            None => plain(StatusCode::NOT_FOUND, "no such page\n"),
        }
    }
}

fn plain(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut response = Response::new(Body::full(text));
    *response.status_mut() = status;
    response
}
