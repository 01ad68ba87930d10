//! Completions: routes a request by the rules, has it placed, and passes the answer on.
//!
//! An answer goes to the caller token by token. Where its engine fails, the request is placed
//! again and goes on at the token where it stopped, on the same adapter and version. A stream that
//! cannot become whole ends in an error event and a cut connection, never as if it were whole.

mod job;
mod relay;

use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response, StatusCode};
use serde::Deserialize;
use serde_json::{Map, Value};

use super::handler::{Front, json, read_body};
use super::identity::Identity;
use super::{Body, Caller, Problem};
use crate::shared::Rules;
use job::Job;

/// The body of `POST /v1/completions`, as far as the node reads it.
#[derive(Deserialize)]
struct Ask {
    prompt: String,
    model: Option<String>,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    #[serde(flatten)]
    parameters: Map<String, Value>,
}

/// Answers `GET /v1/models`.
pub(super) fn list(
    front: &Front,
    rules: &Rules,
    headers: &HeaderMap,
) -> Result<Response<Body>, Problem> {
    let shared = &front.shared;
    Identity::read(headers, &rules.set, &shared.settings, shared.clock.now())?;
    let models = rules.set.adapter_versions().map(|entry| {
        serde_json::json!({
            "id": entry.model.to_string(),
            "object": "model",
            "parent": entry.base.name,
        })
    });
    let document = serde_json::json!({ "object": "list", "data": models.collect::<Vec<_>>() });
    Ok(json(document.to_string()))
}

/// Answers `POST /v1/completions`.
pub(super) async fn complete(
    front: &Front,
    rules: &Rules,
    request: Request<Incoming>,
    caller: Caller,
) -> Result<Response<Body>, Problem> {
    let shared = &front.shared;
    let arrived = shared.clock.now();
    let (head, body) = request.into_parts();
    let identity = Identity::read(&head.headers, &rules.set, &shared.settings, arrived)?;
    let body = read_body(front, body).await?;
    let ask: Ask = serde_json::from_slice(&body).map_err(|error| {
        let detail = format!("the body is no completion request ({error}); correct it");
        Problem::bad(StatusCode::BAD_REQUEST, detail)
    })?;
    let stream = ask.stream;
    let job = Job::admit(front, rules, caller, identity, ask, arrived).await?;
    if stream {
        job.stream().await
    } else {
        job.collect().await
    }
}
