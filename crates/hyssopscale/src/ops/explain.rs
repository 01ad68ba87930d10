//! `hyssopctl explain`: tells which rule a request matches, and why the others do not.

use std::net::SocketAddr;
use std::path::PathBuf;

use hyper::Request;
use serde_json::{Value, json};
use wire::Priority;

use super::{Error, Output, read_rules};
use crate::client;

/// The request to explain.
#[derive(Clone, Debug, Default)]
pub struct Ask {
    /// The caller.
    pub caller: String,
    /// The trade; empty for the caller's default.
    pub trade: String,
    /// The priority.
    pub priority: Priority,
    /// The model that it names.
    pub model: Option<String>,
}

/// Explains a request from rules files.
///
/// # Errors
///
/// Returns the rules' faults, or the refusal where the caller may not ask at all.
pub fn offline(
    paths: Vec<PathBuf>,
    ask: &Ask,
    output: Output,
    at: jiff::Timestamp,
) -> Result<(), Error> {
    let set = read_rules(paths)?;
    let ask = rules::RouteQuery {
        caller: &ask.caller,
        trade: &ask.trade,
        priority: ask.priority,
        model: ask.model.as_deref(),
        at,
    };
    let choice = set.route(&ask);
    let candidates = set
        .explain(&ask)
        .map_err(|refusal| Error::Refused(refusal.to_string()))?;
    let candidates = candidates.iter().map(|candidate| {
        json!({ "rule": candidate.rule.to_string(), "verdict": candidate.outcome.description() })
    });
    let document = json!({
        "model": choice.as_ref().ok().map(|choice| choice.model.to_string()),
        "pool": choice.as_ref().ok().map(|choice| choice.pool),
        "priority": choice.as_ref().ok().map(|choice| choice.priority.name()),
        "refusal": choice.as_ref().err().map(ToString::to_string),
        "candidates": candidates.collect::<Vec<_>>(),
    });
    print(&document, output);
    Ok(())
}

/// Asks a node to explain a request by the rules in force there.
///
/// # Errors
///
/// Returns an [`Error`] where the node gives no answer.
pub async fn online(node: SocketAddr, ask: &Ask, output: Output) -> Result<(), Error> {
    let path = client::path(
        "/v1/explain",
        [
            ("caller", ask.caller.as_str()),
            ("trade", &ask.trade),
            ("priority", ask.priority.name()),
            ("model", ask.model.as_deref().unwrap_or("")),
        ],
    );
    let answer = client::send(node, Request::get(path), "").await?;
    if !answer.status.is_success() {
        return Err(Error::Refused(answer.text()));
    }
    let document = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
    print(&document, output);
    Ok(())
}

fn print(document: &Value, output: Output) {
    if output == Output::Json {
        println!("{document}");
        return;
    }
    let text = |name: &str| document[name].as_str().unwrap_or("-").to_owned();
    match document["refusal"].as_str() {
        Some(refusal) => println!("refused: {refusal}"),
        None => println!(
            "model {} on pool {} with priority {}",
            text("model"),
            text("pool"),
            text("priority")
        ),
    }
    let upstreams = document["upstreams"].as_array().into_iter().flatten();
    let upstreams: Vec<&str> = upstreams.filter_map(Value::as_str).collect();
    if !upstreams.is_empty() {
        let homes = document["homes"].as_u64().unwrap_or(1);
        println!(
            "  engines in order: {}; homes: the first {homes}",
            upstreams.join(" ")
        );
    }
    for candidate in document["candidates"].as_array().into_iter().flatten() {
        let part = |name: &str| candidate[name].as_str().unwrap_or("").to_owned();
        println!("  {}: {}", part("rule"), part("verdict"));
    }
}
