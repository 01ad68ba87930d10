//! Promises on what ran, and how often.

use std::collections::{BTreeMap, HashMap};

use wire::rank;

use super::{Ask, Breach, Evidence, Outcome, Promise, What};
use crate::log::{Entry, Kind};

pub(super) fn not_run_is_true(evidence: &Evidence, breaches: &mut Vec<Breach>) {
    let runs = evidence
        .entries
        .iter()
        .filter_map(|entry| match &entry.kind {
            Kind::Run { ticket, .. } => Some((&*ticket.request, entry)),
            _ => None,
        });
    let runs: HashMap<&str, &Entry> = runs.collect();
    let starts = evidence
        .entries
        .iter()
        .filter_map(|entry| match &entry.kind {
            Kind::Start { prompt, .. } => Some((*prompt, entry)),
            _ => None,
        });
    let starts: HashMap<u64, &Entry> = starts.collect();
    for ask in &evidence.asks {
        let ran = match &ask.what {
            _ if ask.outcome != Outcome::NotRun => None,
            What::Call { .. } => runs.get(&*ask.request),
            What::Completion { prompt, .. } => starts.get(&rank::hash(prompt)),
        };
        if let Some(entry) = ran {
            let detail = format!("ran on {} at {}", entry.upstream, entry.at_us);
            breaches.push(Breach::new(Promise::NotRunIsTrue, &*ask.request, detail));
        }
    }
}

/// Counts runs by caller and key, or by request where a call has no key. An answer to a call that
/// never ran is a breach as well: it cannot be the answer to it.
pub(super) fn at_most_once(evidence: &Evidence, breaches: &mut Vec<Breach>) {
    let mut runs: BTreeMap<Id<'_>, Vec<&Entry>> = BTreeMap::new();
    for entry in &evidence.entries {
        if let Some(id) = run_id(entry) {
            runs.entry(id).or_default().push(entry);
        }
    }
    for (id, entries) in &runs {
        if entries.len() > 1 && !is_repeatable(evidence, id) {
            let places: Vec<&str> = entries.iter().map(|entry| &*entry.upstream).collect();
            let detail = format!("ran {} times: {}", entries.len(), places.join(", "));
            breaches.push(Breach::new(Promise::AtMostOnce, id.name, detail));
        }
    }
    for ask in &evidence.asks {
        let answered = matches!(ask.outcome, Outcome::Answered(_));
        let ran = || ask_id(ask).is_none_or(|(id, _)| runs.contains_key(&id));
        if answered && !ran() {
            let detail = "answered, but never ran";
            breaches.push(Breach::new(Promise::AtMostOnce, &*ask.request, detail));
        }
    }
}

/// What a run is counted under.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Id<'a> {
    /// The caller, whose keys are its own; empty for a request id.
    caller: &'a str,
    name: &'a str,
}

fn id<'a>(caller: &'a str, key: Option<&'a str>, request: &'a str) -> Id<'a> {
    match key {
        Some(key) => Id { caller, name: key },
        None => Id {
            caller: "",
            name: request,
        },
    }
}

fn run_id(entry: &Entry) -> Option<Id<'_>> {
    match &entry.kind {
        Kind::Run { ticket, key, .. } => Some(id(&ticket.caller, key.as_deref(), &ticket.request)),
        _ => None,
    }
}

/// Returns what a call's runs are counted under, and whether it may run more than once.
fn ask_id(ask: &Ask) -> Option<(Id<'_>, bool)> {
    match &ask.what {
        What::Call {
            key, repeatable, ..
        } => {
            let id = id(&ask.caller, key.as_deref(), &ask.request);
            Some((id, *repeatable))
        }
        What::Completion { .. } => None,
    }
}

/// Tells whether every known ask under `id` may be repeated; an unknown one may not.
fn is_repeatable(evidence: &Evidence, id: &Id<'_>) -> bool {
    let mut known = evidence
        .asks
        .iter()
        .filter_map(ask_id)
        .filter(|(of_ask, _)| of_ask == id)
        .peekable();
    known.peek().is_some() && known.all(|(_, repeatable)| repeatable)
}
