//! Callers' requests: reading them, finding their route, and passing them on.
//!
//! - `job` takes one request from its head to its final answer.
//! - `attempt` sends it to one upstream.
//! - `admission` waits until an upstream that limits its requests admits one more.
//! - `judge` says what the head of an answer is worth.
//! - `request` builds what is sent, and brings it up to date when it is written.
//! - `stream` relays an event stream and takes it to another engine where one breaks off.
//! - `place` waits until an upstream can serve it.
//! - `tenant` says whose it is, and whether the tenant's quota carries it.
//! - `visit` counts it at its upstream.

mod admission;
mod attempt;
mod job;
mod judge;
mod place;
mod request;
mod stream;
mod tenant;
mod visit;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use exchange::route::{self, Config, RouteKind};
use hyper::body::{Body as _, Incoming};
use hyper::header::{CONNECTION, HOST, HeaderValue};
use hyper::{Request, Response, StatusCode};
use node::front::handler::read_within;
use node::front::listener::Handler;
use node::front::{Body, Caller, Outcome, Problem};
use upstream::memory::Account;
use wire::Time;

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
        caller: Caller,
    ) -> Result<Response<Body>, Problem> {
        let hub = &self.0;
        let arrived = hub.earliest_arrival();
        let Some(config) = hub.config.load_full() else {
            let detail = "this node knows no configuration yet; ask another";
            return Err(Problem::busy(detail, ELSEWHERE));
        };
        let way = self.way(&config, &request, ask).await?;
        let terms = terms(&config, &way, ask, arrived);
        let limit = config.limits.body_bytes;
        let (head, body) = request.into_parts();
        let time = terms.deadline.saturating_sub(arrived);
        let body = read_body(body, limit, time, &hub.uploads).await;
        let body = body.inspect_err(|problem| {
            let (status, held) = (problem.status.as_u16(), hub.uploads.held());
            log::info!(
                target: node::journal::DECISION,
                request = &*ask.attempt, status, held;
                "no-body"
            );
        })?;
        let once = way.route.kind == RouteKind::Once;
        let job = Job::new(hub.clone(), caller, ask.clone(), way, terms, (head, body));
        if !once {
            return job.run().await;
        }
        // A call that may not be repeated is not broken off once it may have begun to run.
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
    /// Finds out where a request goes and whose it is.
    async fn way(
        &self,
        config: &Config,
        request: &Request<Incoming>,
        ask: &Ask,
    ) -> Result<Way, Problem> {
        let path = request.uri().path();
        let Some(route) = config.route(host(request), path) else {
            log::info!(
                target: node::journal::DECISION,
                request = &*ask.attempt, revision = config.revision, path;
                "no-route"
            );
            let detail = "no route serves this host and path; check the address";
            return Err(Problem::bad(StatusCode::NOT_FOUND, detail));
        };
        let tenant = tenant::admit(config, route, ask)?;
        if let Some(tenant) = &tenant {
            tenant::draw(&self.0, tenant, ask).await?;
        }
        // A stream that is taken up belongs to the pool of its first attempt.
        let first = ask.first_attempt().unwrap_or(&ask.attempt);
        let pool = route.pool(route::seed(first));
        let Some(service) = pool.and_then(|pool| config.service(pool)) else {
            let detail = "the route names no pool of upstreams; mend the configuration";
            return Err(Problem::busy(detail, ELSEWHERE));
        };
        Ok(Way {
            route: route.clone(),
            service: service.clone(),
            tenant,
        })
    }
}

/// Returns the fixed facts of a request that arrived then.
fn terms(config: &Config, way: &Way, ask: &Ask, arrived: Time) -> Terms {
    let budget = ask.budget.unwrap_or(BUDGET);
    let limit = budget.saturating_sub(LEAVING_EARLY).min(way.route.timeout);
    let rank = way.tenant.as_ref().and_then(|tenant| tenant.priority);
    Terms {
        arrived,
        revision: config.revision,
        caller: arrived + budget,
        deadline: arrived + limit,
        seed: route::seed(&ask.attempt),
        rank: rank.unwrap_or(way.route.priority),
        keyed: config.tenants.is_some(),
    }
}

impl<D: Dialect> Handler for Front<D> {
    async fn handle(&self, request: Request<Incoming>, caller: Caller) -> Response<Body> {
        let hub = &self.0;
        let flight = hub.enter();
        let ask = hub.dialect.ask(request.headers());
        let answer = tokio::select! {
            biased;
            answer = self.answer(request, &ask, caller) => answer,
            () = hub.ending() => Err(ending()),
        };
        let mut response = match answer {
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

/// Returns the answer to a request that is under way when the process ends.
fn ending() -> Problem {
    let detail = "this node ends before the request is done, and an upstream may have run it; \
                  send it to another node only if it may run twice";
    Problem::new(StatusCode::BAD_GATEWAY, Outcome::Unknown, detail)
}

fn refusal<D: Dialect>(hub: &Hub<D>, ask: &Ask, problem: Problem) -> Response<Body> {
    let again = problem.retry_after;
    let mut response = problem.into_response();
    hub.dialect.refuse(response.headers_mut(), ask, again);
    response
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

async fn read_body(
    body: Incoming,
    limit: usize,
    time: Duration,
    memory: &Arc<Account>,
) -> Result<Bytes, Problem> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    read_within(body, limit, time, memory).await
}
