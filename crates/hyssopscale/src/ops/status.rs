//! `hyssopctl status`: shows what nodes know.

use std::net::SocketAddr;

use comfy_table::Table;
use hyper::Request;
use node::core::Status;

use super::{Error, Output};
use crate::client;

/// Asks `nodes`, by their operators' addresses, and prints what they say.
///
/// # Errors
///
/// Returns [`Error::Found`] where a node gave no answer; the others are printed all the same.
pub async fn run(nodes: impl IntoIterator<Item = SocketAddr>, output: Output) -> Result<(), Error> {
    let mut known = Vec::new();
    let mut failures = Vec::new();
    for node in nodes {
        match fetch(node).await {
            Ok(status) => known.push(status),
            Err(error) => failures.push(format!("{node}: {error}")),
        }
    }
    match output {
        Output::Json => println!("{}", serde_json::to_string(&known).unwrap_or_default()),
        Output::Table => print(&known),
    }
    if failures.is_empty() {
        Ok(())
    } else {
        Err(Error::Found(failures.join("\n")))
    }
}

/// Asks one node.
///
/// # Errors
///
/// Returns an [`Error`] where it gives no answer.
pub async fn fetch(node: SocketAddr) -> Result<Status, Error> {
    let answer = client::send(node, Request::get("/v1/status"), "").await?;
    serde_json::from_slice(&answer.body).map_err(|_| Error::Refused(answer.text()))
}

fn print(nodes: &[Status]) {
    let mut table = Table::new();
    table.set_header([
        "vm", "zone", "ready", "leaving", "revision", "requests", "peers", "owned", "claims",
    ]);
    for node in nodes {
        table.add_row([
            node.vm.to_string(),
            node.zone.to_string(),
            node.ready.to_string(),
            node.leaving.to_string(),
            node.revision
                .map_or_else(|| "-".into(), |revision| revision.to_string()),
            node.flying.to_string(),
            node.peers.len().to_string(),
            node.owned.len().to_string(),
            node.claims_ready.to_string(),
        ]);
    }
    println!("{table}");
    for node in nodes {
        if let Some((revision, reason)) = &node.refused {
            println!("{} refused revision {revision}: {reason}", node.vm);
        }
    }
    if let Some(node) = nodes.first() {
        print_upstreams(node);
    }
}

fn print_upstreams(node: &Status) {
    let mut table = Table::new();
    table.set_header(["upstream", "pool", "leaving", "owner", "in flight here"]);
    for upstream in &node.upstreams {
        table.add_row([
            upstream.id.to_string(),
            upstream.pool.clone(),
            upstream.leaving.to_string(),
            upstream
                .owner
                .as_ref()
                .map_or_else(|| "-".into(), ToString::to_string),
            upstream.in_flight.to_string(),
        ]);
    }
    println!("as {} sees it:\n{table}", node.vm);
}
