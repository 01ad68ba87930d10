//! The platform's stand-in: configuration by get and watch, and a lagging list of VMs.
//!
//! Beside what [`platform::Http`] asks for, these admin requests are served:
//!
//! - `PUT /admin/config/KEY`: publishes the body; answers the new revision. An `x-revision`
//!   header sets the revision, else it is one above the highest.
//! - `DELETE /admin/config/KEY`: removes the value.
//! - `PUT /admin/members`: replaces the list by a JSON array; `POST` merges by VM id;
//!   `DELETE /admin/members/VM` removes one.
//! - `PUT /admin/mode`: a JSON [`Mode`]. `PUT /admin/lag?ms=N`: sets the list's lag.
//! - `GET /admin/calls`: the [`Calls`] counted so far.

mod state;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ::platform::http::REVISION_HEADER;
use ::platform::{Member, Value};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use tokio::time::timeout;

use crate::http::{self, Answer, Body, Closed, Connections};
use state::Counted;
pub use state::{Calls, Mode, State};

/// Settings of the stand-in.
#[derive(Clone, Debug)]
pub struct Config {
    /// Where to listen.
    pub listen: SocketAddr,
    /// Time until a change of the VM list shows.
    pub members_lag: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: crate::site::loopback(0),
            members_lag: Duration::ZERO,
        }
    }
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
        let connections = Connections::default();
        let state = Arc::new(State::new(config.members_lag));
        let handler = Arc::new(Handler(state.clone()));
        let server = http::Server::start(config.listen, handler, connections).await?;
        Ok(Self { state, server })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the stand-in's state, to read and to change.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Stops listening and drops every connection.
    pub fn shutdown(&self) {
        self.server.shutdown();
    }
}

/// Serves both the platform's requests and the admin's.
#[derive(Debug)]
struct Handler(Arc<State>);

impl http::Handler for Handler {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        let path = request.uri().path().to_owned();
        if let Some(path) = path.strip_prefix("/admin/") {
            return self.admin(path, request).await;
        }
        match self.0.mode() {
            Mode::Down => return Err(Closed),
            Mode::Hang => std::future::pending().await,
            Mode::Normal | Mode::Stale => {}
        }
        match path.strip_prefix("/v1/config/") {
            Some(key) => Ok(self.config(key, &request).await),
            None if path == "/v1/members" => Ok(self.members()),
            None => Ok(http::text(StatusCode::NOT_FOUND, "no such path")),
        }
    }
}

impl Handler {
    async fn config(&self, key: &str, request: &Request<Incoming>) -> Response<Body> {
        let Some(after) = http::query(request, "after") else {
            self.0.count(Counted::Read);
            return value(self.0.value(key), StatusCode::NOT_FOUND);
        };
        self.0.count(Counted::Watch);
        let wait = Duration::from_millis(http::query(request, "wait_ms").unwrap_or(0));
        let newer = timeout(wait, self.0.newer(key, after)).await;
        value(newer.ok(), StatusCode::NOT_MODIFIED)
    }

    fn members(&self) -> Response<Body> {
        self.0.count(Counted::Members);
        http::json(&self.0.members())
    }

    async fn admin(&self, path: &str, request: Request<Incoming>) -> Answer {
        let (what, name) = path.split_once('/').unwrap_or((path, ""));
        let method = request.method().clone();
        let done = match (method, what) {
            (Method::GET, "calls") => return Ok(http::json(&self.0.calls())),
            (Method::PUT, "config") => return Ok(self.publish(name, request).await),
            (Method::DELETE, "config") => {
                self.0.remove(name);
                Some(())
            }
            (Method::PUT, "mode") => http::read_json(request.into_body())
                .await
                .map(|mode| self.0.set_mode(mode)),
            (Method::PUT, "lag") => {
                http::query(&request, "ms").map(|lag| self.0.set_lag(Duration::from_millis(lag)))
            }
            (Method::PUT, "members") => http::read_json(request.into_body())
                .await
                .map(|members: Vec<Member>| self.0.set_members(members)),
            (Method::POST, "members") => http::read_json(request.into_body())
                .await
                .map(|members: Vec<Member>| self.0.merge_members(members)),
            (Method::DELETE, "members") => {
                self.0.remove_member(name);
                Some(())
            }
            _ => return Ok(http::text(StatusCode::NOT_FOUND, "no such admin request")),
        };
        Ok(match done {
            Some(()) => http::text(StatusCode::OK, "done\n"),
            None => http::text(StatusCode::BAD_REQUEST, "body or query is malformed"),
        })
    }

    async fn publish(&self, key: &str, request: Request<Incoming>) -> Response<Body> {
        let revision = http::header(request.headers(), REVISION_HEADER)
            .parse()
            .ok();
        let Some(body) = http::read(request.into_body()).await else {
            return http::text(StatusCode::BAD_REQUEST, "body breaks off");
        };
        let revision = self.0.publish(key, body, revision);
        http::text(StatusCode::OK, format!("{revision}\n"))
    }
}

fn value(value: Option<Value>, otherwise: StatusCode) -> Response<Body> {
    let Some(value) = value else {
        return http::text(otherwise, Bytes::new());
    };
    let mut response = http::text(StatusCode::OK, value.body);
    let revision = value.revision.into();
    response.headers_mut().insert(REVISION_HEADER, revision);
    response
}
