//! `hyssopctl adapters`: shows which adapter versions are resident where, and which wait.

use std::net::SocketAddr;

use node::core::{Owned, Status};
use serde_json::{Value, json};

use super::nodes::{self, Answers};
use super::{Error, Output};

/// Asks `nodes` for the engines that they own and prints what those hold.
///
/// # Errors
///
/// Returns [`Error::Found`] where a node gave no answer; the others are printed all the same.
pub async fn run(addresses: Vec<SocketAddr>, output: Output) -> Result<(), Error> {
    let answers: Answers<Status> = nodes::ask(&addresses, "/v1/status").await;
    let known = answers.documents();
    match output {
        Output::Json => println!("{}", document(&known)),
        Output::Table => println!("{}", text(&known)),
    }
    answers.complete()
}

/// Returns the engines with their owners, by id.
fn engines<'a>(known: &[&'a Status]) -> Vec<(&'a Status, &'a Owned)> {
    let owned = known.iter().flat_map(|node| {
        let node: &Status = node;
        node.owned.iter().map(move |engine| (node, engine))
    });
    let mut engines: Vec<_> = owned.collect();
    engines.sort_by(|(a, x), (b, y)| (&x.id, &a.vm).cmp(&(&y.id, &b.vm)));
    engines
}

fn document(known: &[&Status]) -> Value {
    let engines = engines(known);
    let engines = engines.iter().map(|(node, engine)| {
        let mut document = json!(engine);
        document["owner"] = json!(node.vm);
        document
    });
    Value::Array(engines.collect())
}

/// Returns the tables of residents and of waiting adapter versions.
pub(super) fn text(known: &[&Status]) -> String {
    let engines = engines(known);
    let mut residents = super::table();
    residents.set_header([
        "engine",
        "owner",
        "slots",
        "adapter",
        "state",
        "leases of nodes",
    ]);
    let mut waits = super::table();
    waits.set_header([
        "engine",
        "waiting adapter",
        "priority",
        "requests",
        "age ms",
    ]);
    for (node, engine) in &engines {
        let used = format!("{}/{}", engine.residents.len(), engine.slots);
        let head = [engine.id.to_string(), node.vm.to_string(), used];
        if engine.residents.is_empty() {
            residents.add_row(head.iter().map(String::as_str).chain(["-", "-", "-"]));
        }
        for resident in &engine.residents {
            let model = resident.model.as_ref().unwrap_or(&resident.instance);
            let leases = resident.leases.join(" ");
            let rest = [model.as_str(), resident.state.as_str(), leases.as_str()];
            residents.add_row(head.iter().map(String::as_str).chain(rest));
        }
        for wait in &engine.queue {
            waits.add_row([
                engine.id.to_string(),
                wait.model.clone(),
                wait.priority.clone(),
                wait.requests.to_string(),
                wait.age_ms.to_string(),
            ]);
        }
    }
    if waits.is_empty() {
        format!("{residents}\nno adapter waits for a load")
    } else {
        format!("{residents}\n{waits}")
    }
}
