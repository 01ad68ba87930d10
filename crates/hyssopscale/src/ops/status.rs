//! `hyssopctl status`: shows what nodes know.

use std::fmt::Write;
use std::net::SocketAddr;

use comfy_table::Table;
use node::core::Status;
use serde_json::{Value, json};
use wire::Revision;

use super::nodes::{self, Answers};
use super::{Error, Output};

/// Asks `nodes`, by their operators' addresses, and prints what they say.
///
/// # Errors
///
/// Returns [`Error::Found`] where a node gave no answer; the others are printed all the same.
pub async fn run(nodes: impl IntoIterator<Item = SocketAddr>, output: Output) -> Result<(), Error> {
    let addresses: Vec<SocketAddr> = nodes.into_iter().collect();
    let answers: Answers<Status> = nodes::ask(&addresses, "/v1/status").await;
    match output {
        Output::Json => println!("{}", document(&answers)),
        Output::Table => println!("{}", text(&answers.documents())),
    }
    answers.complete()
}

/// Asks one node.
///
/// # Errors
///
/// Returns an [`Error`] where it gives no answer.
pub async fn fetch(node: SocketAddr) -> Result<Status, Error> {
    nodes::fetch(node, "/v1/status").await
}

/// Returns the states as a JSON array.
pub(super) fn document(answers: &Answers<Status>) -> Value {
    json!(answers.documents())
}

/// Returns the tables of nodes and upstreams, with what differs between nodes.
pub(super) fn text(known: &[&Status]) -> String {
    let newest = known.iter().filter_map(|node| node.revision).max();
    let mut table = super::table();
    table.set_header([
        "vm", "zone", "ready", "leaving", "revision", "requests", "placing", "peers", "owned",
        "claims",
    ]);
    for node in known {
        table.add_row([
            node.vm.to_string(),
            node.zone.to_string(),
            node.ready.to_string(),
            node.leaving.to_string(),
            revision(node.revision, newest),
            node.flying.to_string(),
            node.placing.to_string(),
            peers(node),
            node.owned.len().to_string(),
            if node.claims_ready {
                "ready"
            } else {
                "waiting"
            }
            .to_owned(),
        ]);
    }
    let mut text = table.to_string();
    for line in differences(known, newest) {
        // Writing to a String cannot fail.
        let _ = write!(text, "\n{line}");
    }
    if let Some(node) = known.first() {
        let _ = write!(text, "\nas {} sees it:\n{}", node.vm, upstreams(node));
    }
    text
}

/// Marks a revision that is not the newest one among the nodes.
fn revision(revision: Option<Revision>, newest: Option<Revision>) -> String {
    match revision {
        Some(known) if revision == newest => known.to_string(),
        Some(known) => format!("{known} (behind)"),
        None => "none".to_owned(),
    }
}

fn peers(node: &Status) -> String {
    let live = |peer: &&node::core::PeerStatus| peer.state == wire::view::State::Live;
    let live = node.peers.iter().filter(live).count();
    format!("{live}/{}", node.peers.len())
}

/// Returns a line for each node that is behind or has refused a revision.
fn differences(known: &[&Status], newest: Option<Revision>) -> Vec<String> {
    let mut lines = Vec::new();
    for node in known.iter().filter(|node| node.revision != newest) {
        let has = node
            .revision
            .map_or_else(|| "none".to_owned(), |revision| revision.to_string());
        let newest = newest.unwrap_or_default();
        lines.push(format!("{} has revision {has}, others {newest}", node.vm));
    }
    for node in known {
        if let Some((revision, reason)) = &node.refused {
            lines.push(format!("{} refused revision {revision}: {reason}", node.vm));
        }
    }
    lines
}

fn upstreams(node: &Status) -> Table {
    let mut table = super::table();
    table.set_header(["upstream", "pool", "leaving", "owner", "in flight here"]);
    for upstream in &node.upstreams {
        let owner = upstream.owner.as_ref();
        table.add_row([
            upstream.id.to_string(),
            upstream.pool.clone(),
            upstream.leaving.to_string(),
            owner.map_or_else(|| "-".into(), ToString::to_string),
            upstream.in_flight.to_string(),
        ]);
    }
    table
}
