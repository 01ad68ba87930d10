//! Pages for operators: metrics and status, on an address of their own.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use jiff::Timestamp;
use serde::Serialize;
use wire::Priority;

use super::handler::json;
use super::listener::Handler;
use super::{Body, Caller, Problem};
use crate::core::Handle;
use crate::shared::Shared;

/// Answers operators' requests.
#[derive(Clone)]
pub struct Operators {
    shared: Arc<Shared>,
    core: Handle,
}

#[derive(Serialize)]
struct Candidate {
    rule: String,
    verdict: &'static str,
}

#[derive(Serialize)]
struct Explanation {
    revision: u64,
    model: Option<String>,
    pool: Option<String>,
    priority: Option<&'static str>,
    refusal: Option<String>,
    /// Upstreams that it would be tried on, in their order.
    upstreams: Vec<wire::Upstream>,
    /// How many of them are the adapter's homes.
    homes: usize,
    candidates: Vec<Candidate>,
}

impl Operators {
    /// Makes the handler.
    pub fn new(shared: Arc<Shared>, core: Handle) -> Self {
        Self { shared, core }
    }

    async fn answer(&self, request: &Request<Incoming>) -> Result<Response<Body>, Problem> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/metrics") => self.metrics().await,
            (&Method::GET, "/v1/status") => self.status().await,
            (&Method::GET, "/v1/explain") => self.explain(&Query::of(request)).await,
            (&Method::GET, "/v1/requests") => self.lookup(&Query::of(request)).await,
            _ => {
                let detail = "no such page; there are /metrics, /v1/status, /v1/explain \
                              and /v1/requests";
                Err(Problem::bad(StatusCode::NOT_FOUND, detail))
            }
        }
    }

    async fn metrics(&self) -> Result<Response<Body>, Problem> {
        if let Some(status) = self.core.status().await {
            self.shared.metrics.show(&status);
        }
        let opened = self.shared.router.counts();
        let metrics = &self.shared.metrics;
        metrics.show_paths(opened, &self.shared.relayed);
        let text = metrics.render().map_err(internal)?;
        let mut response = Response::new(Body::full(text));
        let media = HeaderValue::from_static("text/plain; version=0.0.4");
        response.headers_mut().insert(CONTENT_TYPE, media);
        Ok(response)
    }

    async fn status(&self) -> Result<Response<Body>, Problem> {
        let status = self
            .core
            .status()
            .await
            .ok_or_else(|| internal("the node is stopping"))?;
        let document = serde_json::to_vec(&status).map_err(internal)?;
        Ok(json(document))
    }

    /// Tells what this node knows of a call that may not be repeated.
    async fn lookup(&self, query: &Query) -> Result<Response<Body>, Problem> {
        let part = |name: &str| {
            let detail = format!("`{name}` is missing; give caller, service and key");
            let given = Some(query.get(name)).filter(|text| !text.is_empty());
            given.ok_or_else(|| Problem::bad(StatusCode::BAD_REQUEST, detail))
        };
        let key = once::Key::new(part("caller")?, part("service")?, part("key")?);
        let lookup = self.core.lookup(key).await;
        let lookup = lookup.ok_or_else(|| internal("the node is stopping"))?;
        Ok(json(serde_json::to_vec(&lookup).map_err(internal)?))
    }

    async fn explain(&self, query: &Query) -> Result<Response<Body>, Problem> {
        let rules = self
            .shared
            .rules
            .load_full()
            .ok_or_else(|| internal("no rules in force"))?;
        let get = |name: &str| query.get(name);
        let ask = rules::RouteQuery {
            caller: get("caller"),
            trade: get("trade"),
            priority: Priority::parse(get("priority")).unwrap_or_default(),
            model: Some(get("model")).filter(|model| !model.is_empty()),
            at: Timestamp::now(),
        };
        let choice = rules.set.route(&ask);
        let ranking = match &choice {
            Ok(choice) => self.core.rank(choice).await.unwrap_or_default(),
            Err(_) => Default::default(),
        };
        let candidates = rules.set.explain(&ask).unwrap_or_default();
        let explanation = Explanation {
            revision: rules.revision,
            model: choice.as_ref().ok().map(|choice| choice.model.to_string()),
            pool: choice.as_ref().ok().map(|choice| choice.pool.to_string()),
            priority: choice.as_ref().ok().map(|choice| choice.priority.name()),
            upstreams: ranking.0,
            homes: ranking.1,
            refusal: choice.as_ref().err().map(ToString::to_string),
            candidates: candidates
                .iter()
                .map(|candidate| Candidate {
                    rule: candidate.rule.to_string(),
                    verdict: candidate.outcome.description(),
                })
                .collect(),
        };
        Ok(json(serde_json::to_vec(&explanation).map_err(internal)?))
    }
}

/// The decoded query of a request.
struct Query(Vec<(String, String)>);

impl Query {
    fn of(request: &Request<Incoming>) -> Self {
        let query = request.uri().query().unwrap_or_default();
        Self(
            form_urlencoded::parse(query.as_bytes())
                .into_owned()
                .collect(),
        )
    }

    fn get(&self, name: &str) -> &str {
        let found = self.0.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }
}

fn internal(cause: impl std::fmt::Display) -> Problem {
    Problem::bad(StatusCode::SERVICE_UNAVAILABLE, cause.to_string())
}

impl Handler for Operators {
    async fn handle(&self, request: Request<Incoming>, _: Caller) -> Response<Body> {
        self.answer(&request)
            .await
            .unwrap_or_else(Problem::into_response)
    }
}
