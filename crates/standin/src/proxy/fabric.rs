//! The links between named places, and partitions of them.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use super::{Fault, Pass, Proxy};
use crate::http::{self, Answer, Body, Connections};
use crate::lock;

/// A link to open.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Link {
    /// Its name.
    pub name: String,
    /// The place that connects.
    pub from: String,
    /// The place that is connected to.
    pub to: String,
    /// Where to listen; port 0 for a free one. Replaced by the bound address in answers.
    pub listen: SocketAddr,
    /// Where the second place listens.
    pub target: SocketAddr,
    /// The fault outside partitions.
    #[serde(default)]
    pub fault: Fault,
}

#[derive(Debug)]
struct Open {
    link: Link,
    proxy: Proxy,
}

#[derive(Debug, Default)]
struct State {
    seed: u64,
    links: Vec<Open>,
    groups: Vec<Vec<String>>,
}

/// The links between named places. They stop when it is dropped.
#[derive(Debug)]
pub struct Fabric {
    handler: Arc<Handler>,
    server: http::Server,
}

impl Fabric {
    /// Starts a fabric without links, with its admin requests at `listen`.
    ///
    /// # Errors
    ///
    /// Returns the system's error where the address cannot be bound.
    pub async fn start(listen: SocketAddr, seed: u64) -> io::Result<Self> {
        let handler = Arc::new(Handler(Mutex::new(State {
            seed,
            ..State::default()
        })));
        let server = http::Server::start(listen, handler.clone(), Connections::default()).await?;
        Ok(Self { handler, server })
    }

    /// Returns the address of the admin requests.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Opens a link and returns the address that it listens at.
    ///
    /// # Errors
    ///
    /// Returns the system's error where the address cannot be bound.
    pub async fn open(&self, link: Link) -> io::Result<SocketAddr> {
        self.handler.open(link).await
    }

    /// Replaces the fault of a link; `false` where there is none of that name.
    pub fn set(&self, name: &str, fault: Fault) -> bool {
        self.handler.set(name, fault)
    }

    /// Cuts the open connections of a link; `false` where there is none of that name.
    pub fn cut(&self, name: &str) -> bool {
        self.handler.cut(name)
    }

    /// Lets nothing pass between places of different groups; places in none stay with everyone.
    pub fn partition(&self, groups: impl IntoIterator<Item = Vec<String>>) {
        self.handler.partition(groups.into_iter().collect());
    }
}

#[derive(Debug)]
struct Handler(Mutex<State>);

impl http::Handler for Handler {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        let path = request.uri().path().to_owned();
        let path = path.strip_prefix("/admin/").unwrap_or_default();
        let (what, name) = path.split_once('/').unwrap_or((path, ""));
        let method = request.method().clone();
        let body = request.into_body();
        Ok(match (method, what) {
            (Method::GET, "links") => http::json(&self.links()),
            (Method::PUT, "links") => match http::read_json(body).await {
                Some(links) => self.open_all(links).await,
                None => malformed(),
            },
            (Method::PUT, "fault") => match http::read_json(body).await {
                Some(fault) => found(self.set(name, fault)),
                None => malformed(),
            },
            (Method::POST, "cut") => found(self.cut(name)),
            (Method::PUT, "partition") => match http::read_json(body).await {
                Some(groups) => {
                    self.partition(groups);
                    found(true)
                }
                None => malformed(),
            },
            _ => found(false),
        })
    }
}

impl Handler {
    async fn open(&self, mut link: Link) -> io::Result<SocketAddr> {
        let number = lock(&self.0).links.len() as u64;
        // Far apart, so that the connections of two links draw different numbers.
        let seed = lock(&self.0).seed ^ (number << 32);
        let proxy = Proxy::start(link.listen, link.target, link.fault, seed).await?;
        link.listen = proxy.address();
        let address = link.listen;
        let mut state = lock(&self.0);
        state.links.push(Open { link, proxy });
        state.apply();
        Ok(address)
    }

    async fn open_all(&self, links: Vec<Link>) -> Response<Body> {
        for link in links {
            if let Err(error) = self.open(link).await {
                return http::text(StatusCode::CONFLICT, error.to_string());
            }
        }
        http::json(&self.links())
    }

    fn links(&self) -> Vec<Link> {
        let state = lock(&self.0);
        state.links.iter().map(|open| open.link.clone()).collect()
    }

    fn set(&self, name: &str, fault: Fault) -> bool {
        let mut state = lock(&self.0);
        let mut found = false;
        for open in state.links.iter_mut().filter(|open| open.link.name == name) {
            open.link.fault = fault;
            found = true;
        }
        state.apply();
        found
    }

    fn cut(&self, name: &str) -> bool {
        let state = lock(&self.0);
        let named: Vec<&Open> = state
            .links
            .iter()
            .filter(|open| open.link.name == name)
            .collect();
        named.iter().for_each(|open| open.proxy.control().cut());
        !named.is_empty()
    }

    fn partition(&self, groups: Vec<Vec<String>>) {
        let mut state = lock(&self.0);
        state.groups = groups;
        state.apply();
    }
}

impl State {
    fn apply(&self) {
        for open in &self.links {
            let mut fault = open.link.fault;
            if self.is_apart(&open.link) {
                fault.pass = Pass::Neither;
            }
            open.proxy.control().set(fault);
        }
    }

    fn is_apart(&self, link: &Link) -> bool {
        let group = |place: &String| self.groups.iter().position(|group| group.contains(place));
        matches!((group(&link.from), group(&link.to)), (Some(a), Some(b)) if a != b)
    }
}

fn found(found: bool) -> Response<Body> {
    if found {
        http::text(StatusCode::OK, "done\n")
    } else {
        http::text(StatusCode::NOT_FOUND, "no such link or request")
    }
}

fn malformed() -> Response<Body> {
    http::text(StatusCode::BAD_REQUEST, "body is malformed")
}
