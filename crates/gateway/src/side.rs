//! Answers whether the node takes traffic and which nodes to use, and shows operators metrics and
//! convictions.

use std::sync::Arc;

use dispatch::culprit::{Event, Feature};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use node::front::listener::Handler;
use node::front::{Body, Caller};

use crate::dialect::Dialect;
use crate::hub::Hub;

/// Path of the metrics.
const METRICS: &str = "/metrics";

/// Path of the convictions; below it, each has its own, by which it is lifted.
const CONVICTIONS: &str = "/convictions";

/// Answers on the addresses beside the callers'.
pub struct Side<D> {
    hub: Arc<Hub<D>>,
    /// Whether operators use the address.
    operators: bool,
}

impl<D> Clone for Side<D> {
    fn clone(&self) -> Self {
        Self {
            hub: self.hub.clone(),
            operators: self.operators,
        }
    }
}

impl<D: Dialect> Side<D> {
    /// Makes the handler of an address, which operators use or not.
    pub fn new(hub: Arc<Hub<D>>, operators: bool) -> Self {
        Self { hub, operators }
    }

    /// Lists the convictions in force, one a line.
    fn convictions(&self) -> Response<Body> {
        let lines = self.hub.convictions().into_iter().map(|verdict| {
            let age = verdict.age.as_secs();
            let (crashes, requests) = (verdict.crashes, verdict.requests);
            let feature = verdict.feature;
            format!("{feature:x} crashes={crashes} requests={requests} age_s={age}\n")
        });
        Response::new(Body::full(lines.collect::<String>()))
    }

    /// Lifts the conviction that `path` names, on all nodes.
    fn lift(&self, path: &str) -> Response<Body> {
        let name = path.strip_prefix(CONVICTIONS).unwrap_or_default();
        let name = name.trim_start_matches('/');
        let Ok(feature) = Feature::from_str_radix(name, 16) else {
            return plain(
                StatusCode::BAD_REQUEST,
                "name a conviction by its hexadecimal number\n",
            );
        };
        self.hub.track(Event::Lift { feature });
        plain(StatusCode::OK, "lifted\n")
    }

    fn ready(&self) -> Response<Body> {
        if self.hub.ready() {
            return plain(StatusCode::OK, "ready\n");
        }
        plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }

    /// Tells which nodes to use; a node that has not met its peers knows too few to tell.
    fn whereabouts(&self) -> Response<Body> {
        let addresses = self.hub.peers.load().callers();
        if addresses.is_empty() || !self.hub.met() {
            return plain(StatusCode::SERVICE_UNAVAILABLE, "no node is known yet\n");
        }
        let ttl = self.hub.settings.time.address_ttl;
        let mut response = Response::new(Body::full(self.hub.dialect.tell_where(&addresses, ttl)));
        let json = HeaderValue::from_static("application/json");
        response.headers_mut().insert(CONTENT_TYPE, json);
        response
    }
}

impl<D: Dialect> Handler for Side<D> {
    async fn handle(&self, request: Request<Incoming>, _: Caller) -> Response<Body> {
        let path = request.uri().path();
        if self.hub.dialect.asks_ready(path) {
            return self.ready();
        }
        if path == METRICS {
            let hub = &self.hub;
            hub.metrics.record_paths(hub.router.counts(), &hub.relayed);
            return Response::new(Body::full(hub.metrics.render(hub.post.counts())));
        }
        if self.operators && path.starts_with(CONVICTIONS) {
            return match *request.method() {
                Method::DELETE => self.lift(path),
                _ => self.convictions(),
            };
        }
        match self.hub.dialect.asks_where(path, request.uri().query()) {
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
