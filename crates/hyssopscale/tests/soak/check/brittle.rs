//! Falls of brittle upstreams.

use std::collections::BTreeMap;

use super::super::Site;
use super::super::UPSTREAMS;
use super::super::fault::Fault;
use super::super::upstream::{Fall, POOLS};
use super::Evidence;

/// Falls that are allowed in one time, and for each upstream of the pool.
const FALLS_MAX: (f64, f64) = (2.0, 0.1);

/// Returns the times in which too many upstreams fell over.
pub fn check(evidence: &Evidence, site: &Site) -> Vec<String> {
    let allowed = FALLS_MAX.0 + FALLS_MAX.1 * UPSTREAMS as f64;
    let spells = spells(evidence, site).into_iter();
    let broken = spells.filter(|(_, falls)| *falls as f64 > allowed);
    broken.map(|(line, _)| line).collect()
}

/// Returns the falls in each time, broken or not.
pub fn summary(evidence: &Evidence, site: &Site) -> Vec<String> {
    let spells = spells(evidence, site).into_iter();
    spells.map(|(line, _)| line).collect()
}

/// Returns the times in which a pool was brittle, each with the falls that count.
fn spells(evidence: &Evidence, site: &Site) -> Vec<(String, usize)> {
    let all = evidence.asks.iter().chain(&evidence.offences);
    let nodes: BTreeMap<&str, usize> = all
        .chain(&evidence.part_offences)
        .map(|ask| (&*ask.attempt, ask.node))
        .collect();
    let in_touch = |fall: &Fall, attempt: &str| {
        let node = nodes.get(attempt).map(|node| &site.nodes[*node]);
        node.is_some_and(|node| node.troubles(fall.at, fall.at).is_empty())
    };
    let counts = |fall: &&Fall| {
        let calm = fall.attempts.iter().filter(|id| in_touch(fall, id)).count();
        2 * calm > fall.attempts.len()
    };
    let spells = evidence.events.iter().filter_map(|event| {
        let Fault::Brittle {
            pool,
            brittle,
            time,
        } = event.fault
        else {
            return None;
        };
        let span = event.at..event.at + time;
        let falls = evidence.falls.iter();
        let falls = falls.filter(|fall| fall.pool == POOLS[pool] && span.contains(&fall.at));
        let all = falls.clone().count();
        let falls = falls.filter(counts).count();
        let (pool, from) = (POOLS[pool], (event.at - evidence.started).as_millis());
        let line = format!(
            "LIMIT: {falls} of {all} falls count in {time:?} from {from} ms, {pool} {brittle:?}"
        );
        Some((line, falls))
    });
    spells.collect()
}
