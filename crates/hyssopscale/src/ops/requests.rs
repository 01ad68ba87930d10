//! `hyssopctl requests find`: tells what became of a call with an idempotency key.
//!
//! Every node is asked what it remembers. One that knows the end decides; a call is said not to
//! have run only where a quorum of witnesses says that no claim of its key may run any more.
//! Everything else is unknown, also a key that nobody remembers.

use std::net::SocketAddr;

use once::ledger::Ending;
use once::{CallState, Lookup};
use serde_json::{Value, json};

use super::nodes::{self, Answers};
use super::{Error, Output};
use crate::client;

/// A call that may not be repeated, as its caller names it.
#[derive(Clone, Debug)]
pub struct Call {
    /// The caller.
    pub caller: String,
    /// The service.
    pub service: String,
    /// The idempotency key, as the caller sent it.
    pub key: String,
}

/// What became of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The upstream answered with this status; a retry gets the same answer.
    Answered(u16),
    /// The upstream refused the call or failed with this status.
    Failed(u16),
    /// It is under way.
    Running,
    /// No attempt made so far has run or will.
    NotRun,
    /// It may have run.
    Unknown(&'static str),
}

impl Verdict {
    /// Returns the outcome's name.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Failed(_) => "failed",
            Self::Running => "running",
            Self::NotRun => "not-run",
            Self::Unknown(_) => "unknown",
        }
    }

    /// Returns what to do about it.
    pub const fn remedy(self) -> &'static str {
        match self {
            Self::Answered(_) => "a retry with the same key gets the first answer",
            Self::Failed(_) => "the call is over; use a new key for a new call",
            Self::Running => "wait for it, or ask again later",
            Self::NotRun => "send it again with the same key",
            Self::Unknown(why) => why,
        }
    }
}

/// Decides from what nodes remember.
pub fn decide(lookups: &[Lookup]) -> Verdict {
    let fates = || lookups.iter().map(|lookup| lookup.state);
    let ended = fates().find_map(|fate| match fate {
        CallState::Ended { ending, status } => Some((ending, status)),
        _ => None,
    });
    match ended {
        Some((Ending::Answered, status)) => return Verdict::Answered(status),
        Some((Ending::Failed, status)) => return Verdict::Failed(status),
        Some((Ending::Unknown, _)) => {
            return Verdict::Unknown("the call ended without an answer; ask the service itself");
        }
        None => {}
    }
    if fates().any(|fate| fate == CallState::Running) {
        return Verdict::Running;
    }
    if fates().any(|fate| matches!(fate, CallState::Claiming | CallState::Claimed)) {
        return Verdict::Unknown(
            "a process has claimed the call and left no answer; ask again, then the service itself",
        );
    }
    let void = |lookup: &&Lookup| lookup.voting && lookup.state == CallState::Void;
    let voids = lookups.iter().filter(void).count();
    // Witnesses may disagree on the quorum during a change; the largest is the safe one.
    let quorum = lookups.iter().map(|lookup| lookup.quorum).max();
    if quorum.is_some_and(|quorum| voids >= quorum) {
        return Verdict::NotRun;
    }
    if lookups.is_empty() {
        return Verdict::Unknown("no node answered; name nodes that run");
    }
    if voids > 0 {
        return Verdict::Unknown("too few witnesses answered; name all nodes with --node");
    }
    Verdict::Unknown(
        "no node asked remembers the key: check caller, service and key; after the retry window \
         it is forgotten",
    )
}

/// Asks `nodes`, by their operators' addresses, what became of `call`, and prints it.
///
/// # Errors
///
/// Returns [`Error::Found`] where the outcome is unknown.
pub async fn find(addresses: Vec<SocketAddr>, call: &Call, output: Output) -> Result<(), Error> {
    let path = client::path(
        "/v1/requests",
        [
            ("caller", call.caller.as_str()),
            ("service", &call.service),
            ("key", &call.key),
        ],
    );
    let answers: Answers<Lookup> = nodes::ask(&addresses, &path).await;
    let lookups: Vec<Lookup> = answers.known.iter().map(|(_, lookup)| *lookup).collect();
    let verdict = decide(&lookups);
    match output {
        Output::Json => println!("{}", document(&answers, verdict)),
        Output::Table => print(&answers, verdict),
    }
    match verdict {
        Verdict::Unknown(why) => {
            let mut lines = answers.failures;
            lines.push(format!("outcome unknown\nhelp: {why}"));
            Err(Error::Found(lines.join("\n")))
        }
        _ => Ok(()),
    }
}

fn status(verdict: Verdict) -> Option<u16> {
    match verdict {
        Verdict::Answered(status) | Verdict::Failed(status) => Some(status),
        Verdict::Running | Verdict::NotRun | Verdict::Unknown(_) => None,
    }
}

fn document(answers: &Answers<Lookup>, verdict: Verdict) -> Value {
    let nodes = answers.known.iter().map(|(node, lookup)| {
        let mut document = json!(lookup);
        document["node"] = json!(node);
        document
    });
    json!({
        "outcome": verdict.name(),
        "status": status(verdict),
        "help": verdict.remedy(),
        "nodes": nodes.collect::<Vec<_>>(),
        "failures": answers.failures,
    })
}

fn print(answers: &Answers<Lookup>, verdict: Verdict) {
    let status = status(verdict).map_or_else(String::new, |status| format!(" with {status}"));
    println!("{}{status}: {}", verdict.name(), verdict.remedy());
    let mut table = super::table();
    table.set_header(["node", "remembers", "witness"]);
    for (node, lookup) in &answers.known {
        let fate = json!(lookup.state)["fate"].clone();
        let fate = fate.as_str().unwrap_or("-").to_owned();
        table.add_row([node.to_string(), fate, lookup.voting.to_string()]);
    }
    println!("{table}");
}
