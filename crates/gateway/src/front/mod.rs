//! Callers' requests: reading them, finding their route, and passing them on.
//!
//! - `job` takes one request from its head to its final answer.
//! - `attempt` sends it to one upstream.
//! - `judge` says what the head of an answer is worth.
//! - `stream` relays an event stream and takes it to another engine where one breaks off.
//! - `place` waits until an upstream can serve it.
//! - `visit` counts it at its upstream.

mod attempt;
mod job;
mod judge;
mod place;
mod stream;
mod visit;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use exchange::quota::Draw;
use exchange::route::{self, Config, Kind, Route};
use exchange::tenant::Tenant;
use hyper::body::{Body as _, Incoming};
use hyper::header::{CONNECTION, HOST, HeaderValue};
use hyper::{Request, Response, StatusCode};
use node::front::handler::read_within;
use node::front::listener::Handler;
use node::front::{Body, Outcome, Problem};

use crate::dialect::{Ask, Dialect};
use crate::hub::Hub;
use job::{Job, Terms, Way};

/// Pause before a caller should try another node.
const ELSEWHERE: Duration = Duration::from_millis(300);

/// Time limit of a request whose caller names none.
const BUDGET: Duration = Duration::from_secs(60);

/// Time by which a final answer goes out before the caller leaves: a crossing and a half.
const LEAVING_EARLY: Duration = Duration::from_millis(15);

/// Answers callers.
pub struct Front<D>(Arc<Hub<D>>);

impl<D> Clone for Front<D> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<D: Dialect> Front<D> {
    /// Makes the handler.
    pub fn new(hub: Arc<Hub<D>>) -> Self {
        Self(hub)
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
        ask: &Ask,
    ) -> Result<Response<Body>, Problem> {
        let hub = &self.0;
        let arrived = hub.clock.now();
        let Some(config) = hub.config.load_full() else {
            let detail = "this node knows no configuration yet; ask another";
            return Err(Problem::busy(detail, ELSEWHERE));
        };
        let host = host(&request);
        let Some(route) = config.route(host, request.uri().path()).cloned() else {
            log::info!(
                target: node::journal::DECISION,
                request = &*ask.attempt, revision = config.revision, path = request.uri().path();
                "no-route"
            );
            let detail = "no route serves this host and path; check the address";
            return Err(Problem::bad(StatusCode::NOT_FOUND, detail));
        };
        let tenant = admit(&config, &route, ask)?;
        if let Some(tenant) = &tenant {
            self.draw(tenant, ask).await?;
        }
        let seed = route::seed(&ask.attempt);
        let service = route
            .pool(seed)
            .and_then(|pool| config.service(pool))
            .cloned();
        let Some(service) = service else {
            let detail = "the route names no pool of upstreams; mend the configuration";
            return Err(Problem::busy(detail, ELSEWHERE));
        };
        let budget = ask.budget.unwrap_or(BUDGET).saturating_sub(LEAVING_EARLY);
        let terms = Terms {
            arrived,
            revision: config.revision,
            caller: arrived + ask.budget.unwrap_or(BUDGET),
            deadline: arrived + budget.min(route.timeout),
            seed,
            rank: tenant
                .as_ref()
                .and_then(|tenant| tenant.rank)
                .unwrap_or(route.rank),
            keyed: config.tenants.is_some(),
        };
        let limit = config.limits.body_bytes;
        let (head, body) = request.into_parts();
        let body = read_body(body, limit, budget.min(route.timeout)).await?;
        let once = route.kind == Kind::Once;
        let way = Way {
            route,
            service,
            tenant,
        };
        let job = Job::new(hub.clone(), ask.clone(), way, terms, head, body);
        if !once {
            return job.run().await;
        }
        // A call that may not be repeated is not broken off where its caller leaves.
        let flight = hub.enter();
        let running = tokio::spawn(async move {
            let answer = job.run().await;
            drop(flight);
            answer
        });
        running.await.unwrap_or_else(|_| {
            let detail = "the request failed inside the node; see its log";
            Err(Problem::new(
                StatusCode::BAD_GATEWAY,
                Outcome::Unknown,
                detail,
            ))
        })
    }
}

impl<D: Dialect> Front<D> {
    /// Draws a request out of its tenant's quota.
    async fn draw(&self, tenant: &Tenant, ask: &Ask) -> Result<(), Problem> {
        let tokens = ask
            .prompt
            .zip(ask.answer)
            .map(|(prompt, answer)| prompt.saturating_add(answer));
        let Draw::Over(wait) = self.0.draw(tenant, tokens).await else {
            return Ok(());
        };
        log::info!(
            target: node::journal::DECISION,
            request = &*ask.attempt, tenant = &*tenant.name, tokens = tokens.unwrap_or_default(),
            wait_ms = wait.as_millis() as u64;
            "over-quota"
        );
        let detail = "the tenant's quota does not carry the request; send it again later";
        let problem = Problem::new(StatusCode::TOO_MANY_REQUESTS, Outcome::NotRun, detail);
        Err(problem.after(wait))
    }
}

impl<D: Dialect> Handler for Front<D> {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let hub = &self.0;
        let flight = hub.enter();
        let ask = hub.dialect.ask(request.headers());
        let mut response = match self.answer(request, &ask).await {
            Ok(response) => response,
            Err(problem) => refusal(hub, &ask, problem),
        };
        if hub.leaving() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        drop(flight);
        response
    }

    fn idle(&self) -> Option<Duration> {
        let config = self.0.config.load();
        // A caller may use the last moment of the time that the configuration grants.
        config.as_ref().map(|config| config.limits.idle * 2)
    }
}

fn refusal<D: Dialect>(hub: &Hub<D>, ask: &Ask, problem: Problem) -> Response<Body> {
    let again = problem.retry_after;
    let mut response = problem.into_response();
    hub.dialect.refuse(response.headers_mut(), ask, again);
    response
}

/// Returns whose key a request brings, where the configuration asks for one.
fn admit(config: &Config, route: &Route, ask: &Ask) -> Result<Option<Arc<Tenant>>, Problem> {
    let Some(tenants) = config.tenants.as_ref().filter(|_| !route.public) else {
        return Ok(None);
    };
    let holder = ask.key.as_ref().and_then(|key| tenants.holder(key));
    let Some(holder) = holder else {
        log::info!(
            target: node::journal::DECISION,
            request = &*ask.attempt, revision = config.revision, keyed = ask.key.is_some();
            "no-tenant"
        );
        let detail = "the key is not known; send a tenant's key as `authorization: Bearer KEY`";
        return Err(Problem::bad(StatusCode::UNAUTHORIZED, detail));
    };
    Ok(Some(holder.clone()))
}

/// Returns the host that a request is for, without a port.
fn host(request: &Request<Incoming>) -> &str {
    let named = request
        .headers()
        .get(HOST)
        .and_then(|host| host.to_str().ok());
    let host = named.or(request.uri().host()).unwrap_or_default();
    host.split_once(':').map_or(host, |(name, _)| name)
}

async fn read_body(body: Incoming, limit: usize, time: Duration) -> Result<Bytes, Problem> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    read_within(body, limit, time).await
}
