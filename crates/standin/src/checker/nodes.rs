//! Promises on upstreams and nodes.

use std::time::Duration;

use wire::Revision;

use super::{Breach, Evidence, Node, Outcome, Promise, micros};
use crate::log::{Entry, Kind};

pub(super) fn no_eviction_in_use(evidence: &Evidence, breaches: &mut Vec<Breach>) {
    for entry in &evidence.entries {
        if let Kind::Unloaded {
            instance, in_use, ..
        } = &entry.kind
            && *in_use > 0
        {
            let detail = format!("{instance} was unloaded under {in_use} requests");
            breaches.push(Breach::new(
                Promise::NoEvictionInUse,
                &*entry.upstream,
                detail,
            ));
        }
    }
}

/// Finds work that reached an upstream while it was leaving for longer than `shed`, whether the
/// upstream took it or refused it.
pub(super) fn leaving_is_shed(evidence: &Evidence, shed: Duration, breaches: &mut Vec<Breach>) {
    for entry in &evidence.entries {
        let request = match &entry.kind {
            Kind::Start { ticket, .. } | Kind::Run { ticket, .. } => &ticket.request,
            Kind::Refused { ticket, .. } => &ticket.request,
            _ => continue,
        };
        let since = leaving_since(evidence, entry);
        if since.is_some_and(|since| entry.at_us > since + micros(shed)) {
            let detail = format!("got {request} after it had begun to leave");
            breaches.push(Breach::new(
                Promise::LeavingIsShed,
                &*entry.upstream,
                detail,
            ));
        }
    }
}

/// Finds requests under way at a node's shutdown that were not answered.
pub(super) fn shutdown_cuts_nothing(evidence: &Evidence, breaches: &mut Vec<Breach>) {
    for known in &evidence.nodes {
        let Node::Shutdown { node, at_us } = known else {
            continue;
        };
        let under_way = evidence
            .asks
            .iter()
            .filter(|ask| ask.node == *node && ask.at_us < *at_us && ask.until_us > *at_us);
        let broken = under_way.filter(|ask| match ask.outcome {
            Outcome::Answered(_) | Outcome::NotRun | Outcome::Unreached => false,
            Outcome::Cut(_) | Outcome::Unknown | Outcome::Failed | Outcome::Dropped => true,
        });
        for ask in broken {
            let detail = format!("ended as {:?} while {node} shut down", ask.outcome);
            breaches.push(Breach::new(
                Promise::ShutdownCutsNothing,
                &*ask.request,
                detail,
            ));
        }
    }
}

pub(super) fn configuration_holds(
    evidence: &Evidence,
    spread: Duration,
    breaches: &mut Vec<Breach>,
) {
    let mut names: Vec<&str> = evidence.nodes.iter().filter_map(in_force_at).collect();
    names.sort_unstable();
    names.dedup();
    for name in names {
        let seen = in_force(evidence, name);
        if let Some(pair) = seen
            .windows(2)
            .find(|pair| pair[1].revision < pair[0].revision)
        {
            let detail = format!(
                "went from {} back to {}",
                pair[0].revision, pair[1].revision
            );
            breaches.push(Breach::new(Promise::ConfigurationHolds, name, detail));
        }
        late(evidence, name, &seen, spread, breaches);
    }
}

/// A revision that a node had in force.
struct Seen {
    at_us: u64,
    revision: Revision,
}

/// Finds observations of an old revision, made longer than `spread` after a newer one was
/// published and after the node began to serve without a break.
fn late(
    evidence: &Evidence,
    name: &str,
    seen: &[Seen],
    spread: Duration,
    breaches: &mut Vec<Breach>,
) {
    for known in &evidence.nodes {
        let Node::Published { revision, at_us } = known else {
            continue;
        };
        let is_late = |seen: &&Seen| {
            let from = serving_since(evidence, name, seen.at_us).max(*at_us);
            seen.revision < *revision && seen.at_us > from + micros(spread)
        };
        if let Some(old) = seen.iter().find(is_late) {
            let detail = format!("had {} long after {revision} was published", old.revision);
            breaches.push(Breach::new(Promise::ConfigurationHolds, name, detail));
        }
    }
}

/// Returns the last time before `at` from which the node was never gone.
fn serving_since(evidence: &Evidence, name: &str, at: u64) -> u64 {
    let starts = evidence.nodes.iter().filter_map(|known| match known {
        Node::Serves { node, at_us } | Node::Gone { node, at_us } if node == name => Some(*at_us),
        _ => None,
    });
    starts.filter(|start| *start <= at).max().unwrap_or(0)
}

fn in_force_at(known: &Node) -> Option<&str> {
    match known {
        Node::InForce { node, .. } => Some(node),
        _ => None,
    }
}

fn in_force(evidence: &Evidence, name: &str) -> Vec<Seen> {
    let mut seen: Vec<Seen> = evidence
        .nodes
        .iter()
        .filter_map(|known| match known {
            Node::InForce {
                node,
                revision,
                at_us,
            } if node == name => Some(Seen {
                at_us: *at_us,
                revision: *revision,
            }),
            _ => None,
        })
        .collect();
    seen.sort_by_key(|seen| seen.at_us);
    seen
}

/// Returns the time from which the entry's upstream has been leaving, if it is.
fn leaving_since(evidence: &Evidence, entry: &Entry) -> Option<u64> {
    let before = |other: &&Entry| other.upstream == entry.upstream && other.at_us <= entry.at_us;
    let turns = evidence.entries.iter().filter(before);
    let last = turns
        .filter(|other| matches!(other.kind, Kind::Leaving { .. }))
        .max_by_key(|other| other.at_us)?;
    matches!(last.kind, Kind::Leaving { leaving: true }).then_some(last.at_us)
}
