//! What callers get from nodes that are cut off from all upstreams.

use std::time::Duration;

use tokio::time::Instant;

use super::super::Site;
use super::super::UPSTREAMS;
use super::super::caller::{Ask, Outcome};
use super::super::fault::Fault;
use super::super::process::SETTLING;
use super::{Evidence, is_served};

/// Part of the share that others serve which a node that is cut off has to serve.
const SHARE_MIN: f64 = 2.0 / 3.0;

/// First tries that may fail there, and for each of all first tries.
const FAILED_MAX: (f64, f64) = (10.0, 0.02);

/// Nodes that are cut off from all upstreams, and in what time this counts.
struct Span {
    nodes: Vec<usize>,
    from: Instant,
    until: Instant,
}

/// First tries, and how many of them were served.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    served: usize,
    all: usize,
}

impl Share {
    fn count(asks: &[&Ask]) -> Self {
        let served = asks.iter().filter(|ask| is_served(ask)).count();
        let all = asks.len();
        Self { served, all }
    }

    fn part(self) -> f64 {
        self.served as f64 / self.all.max(1) as f64
    }
}

/// Returns the times in which nodes that are cut off served too little.
pub fn check(evidence: &Evidence, site: &Site) -> Vec<String> {
    let spans = spans(evidence);
    let broken = spans.iter().filter_map(|span| {
        let (cut, others) = shares(span, evidence, site);
        let failed = (cut.all - cut.served) as f64;
        let allowed = FAILED_MAX.0 + FAILED_MAX.1 * (cut.all + others.all) as f64;
        let too_few = others.all > 0 && cut.part() < SHARE_MIN * others.part();
        (too_few && failed > allowed).then(|| line(span, evidence, (cut, others)))
    });
    broken.collect()
}

/// Returns what was served in each of these times, broken or not.
pub fn summary(evidence: &Evidence, site: &Site) -> Vec<String> {
    let spans = spans(evidence);
    let lines = spans.iter();
    let lines = lines.map(|span| line(span, evidence, shares(span, evidence, site)));
    lines.collect()
}

fn line(span: &Span, evidence: &Evidence, (cut, others): (Share, Share)) -> String {
    let from = (span.from - evidence.started).as_millis();
    let until = (span.until - evidence.started).as_millis();
    let nodes = &span.nodes;
    format!(
        "RECOVER: nodes {nodes:?} cut off from all upstreams served {} of {}, the others {} of {}, \
         from {from} to {until} ms",
        cut.served, cut.all, others.served, others.all
    )
}

fn spans(evidence: &Evidence) -> Vec<Span> {
    let spans = evidence.events.iter().filter_map(|event| {
        let Fault::CutFromUpstreams {
            nodes,
            upstreams,
            time,
            ..
        } = &event.fault
        else {
            return None;
        };
        let from = event.at + SETTLING;
        let until = event.at + *time;
        let whole = upstreams.len() == 2 * UPSTREAMS && from < until;
        whole.then(|| Span {
            nodes: nodes.clone(),
            from,
            until,
        })
    });
    spans.collect()
}

/// Returns what the nodes that are cut off served, and those that are not, of what was asked while at least
/// one of these was there: nobody serves while all are cut off.
fn shares(span: &Span, evidence: &Evidence, site: &Site) -> (Share, Share) {
    let within = |ask: &&Ask| {
        let first = ask.attempt.ends_with("-0") && ask.outcome != Outcome::Left;
        let node = &site.nodes[ask.node];
        let in_touch = || node.troubles(ask.sent, ask.done).is_empty();
        first && span.from <= ask.sent && ask.sent < span.until && in_touch()
    };
    let asks: Vec<&Ask> = evidence.asks.iter().filter(within).collect();
    let cut_at = |ask: &&Ask| span.nodes.contains(&ask.node);
    let (cut, others): (Vec<&Ask>, Vec<&Ask>) = asks.into_iter().partition(cut_at);
    let is_free = |node: usize, ask: &Ask| !is_cut_off(evidence, node, ask.sent, ask.done);
    let others: Vec<&Ask> = others
        .into_iter()
        .filter(|ask| is_free(ask.node, ask))
        .collect();
    let outside: Vec<usize> = (0..site.nodes.len())
        .filter(|node| !span.nodes.contains(node))
        .collect();
    let cut: Vec<&Ask> = cut
        .into_iter()
        .filter(|ask| outside.iter().any(|node| is_free(*node, ask)))
        .collect();
    (Share::count(&cut), Share::count(&others))
}

/// Tells whether a node was cut off from some upstreams at some time from `from` to `to`.
fn is_cut_off(evidence: &Evidence, node: usize, from: Instant, to: Instant) -> bool {
    evidence.events.iter().any(|event| {
        let Fault::CutFromUpstreams { nodes, time, .. } = &event.fault else {
            return false;
        };
        let until = event.at + *time + Duration::from_millis(500);
        nodes.contains(&node) && event.at <= to && from < until
    })
}
