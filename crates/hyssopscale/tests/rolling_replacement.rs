//! Every node is replaced gracefully, one after another, while callers go on.

mod support;

use std::time::Duration;

use standin::checker::Outcome;
use standin::schedule::{Event, Fault, Schedule};
use support::{Cluster, Run, breaches, summary, with};

const NODES: usize = 7;

/// Time from one node's shutdown to the next one's; above the addresses' time to live.
const STEP: Duration = Duration::from_secs(5);

/// Time from a node's shutdown to the start of its successor, which waits for the former's end.
const SUCCESSOR: Duration = Duration::from_millis(500);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replaced_fleet_loses_nothing() {
    let begin = |node| Event {
        at: STEP * node as u32,
        ends: false,
        fault: Fault::Shutdown(node),
    };
    let events = (0..NODES).flat_map(|node| {
        let begin = begin(node);
        let end = Event {
            at: begin.at + SUCCESSOR,
            ends: true,
            fault: begin.fault.clone(),
        };
        [begin, end]
    });
    let run = Run {
        schedule: Schedule {
            events: events.collect(),
        },
        span: STEP * NODES as u32,
        seed: 1,
    };
    let mut cluster = Cluster::start(run.seed).await;
    let evidence = cluster.run(&run).await;
    println!("{}", summary(&evidence));
    let lost = with(&evidence, |outcome| {
        matches!(
            outcome,
            Outcome::Unknown | Outcome::Failed | Outcome::Cut(_) | Outcome::Dropped
        )
    });
    assert!(lost.is_empty(), "{lost:#?}");
    let breaches = breaches(&evidence);
    assert!(breaches.is_empty(), "{breaches:#?}");
}
