//! What follows silences of sound upstreams.

use std::collections::BTreeSet;
use std::time::Duration;

use super::super::UPSTREAMS;
use super::super::fault::Fault;
use super::super::upstream::POOLS;
use super::{Evidence, PROBE};

/// Time after a silence in which repeats are counted that it has caused.
const AFTER: Duration = Duration::from_secs(1);

/// Returns how often requests arrived again at the pool during and after each silence.
pub fn summary(evidence: &Evidence) -> Vec<String> {
    let silences = evidence.events.iter().filter_map(|event| {
        let Fault::Pause { upstreams, time } = &event.fault else {
            return None;
        };
        let pool = POOLS[upstreams.start / UPSTREAMS];
        let span = event.at..event.at + *time + AFTER;
        let mut seen = BTreeSet::new();
        let mut repeats = 0;
        let arrivals = evidence.arrivals.iter();
        for arrival in arrivals.filter(|a| a.pool == pool && a.attempt != PROBE) {
            let first = seen.insert(&*arrival.attempt);
            repeats += usize::from(!first && span.contains(&arrival.at));
        }
        let asks = evidence.asks.iter().filter(|ask| ask.kind.pool() == pool);
        let asked = asks.filter(|ask| span.contains(&ask.sent)).count();
        let (count, from) = (upstreams.len(), (event.at - evidence.started).as_millis());
        Some(format!(
            "{count} of {pool} silent for {time:?} from {from} ms: {repeats} repeats, {asked} requests"
        ))
    });
    silences.collect()
}
