//! Real nodes that are told something wrong break a promise, and the checker finds it in the logs
//! of the run: the schedules of faults are not blind to it.

mod support;

use std::time::Duration;

use rstest::rstest;
use standin::checker::Promise;
use standin::schedule::{Event, Fault, Schedule};
use standin::service::Point;
use support::{Cluster, Plant, Run, SOUND, breaches, summary};
use tokio::sync::Mutex;

const SPAN: Duration = Duration::from_secs(6);
const NODES: usize = 7;
const SERVICES: usize = 3;

/// Clusters run one at a time.
static TURN: Mutex<()> = Mutex::const_new(());

fn event(ms: u64, ends: bool, fault: Fault) -> Event {
    let at = Duration::from_millis(ms);
    Event { at, ends, fault }
}

/// Answers of one service after the other break off for a while, again and again.
fn broken_services() -> Vec<Event> {
    let turn = |turn: usize| {
        let fault = Fault::Service(turn % SERVICES, Point::BeforeHead);
        let at = 500 + 500 * turn as u64;
        [
            event(at, false, fault.clone()),
            event(at + 500, true, fault),
        ]
    };
    (0..3 * SERVICES).flat_map(turn).collect()
}

/// All nodes but the last shut down, each of them while callers use it.
fn shutdowns() -> Vec<Event> {
    let at = |node| 500 + 400 * node as u64;
    let begin = (0..NODES - 1).map(|node| event(at(node), false, Fault::Shutdown(node)));
    begin.collect()
}

#[rstest]
#[case::checkouts_not_marked(
    Promise::AtMostOnce,
    Plant { rules: (" methods POST once", " methods POST"), ..SOUND },
    broken_services()
)]
#[case::weights_of_another_adapter(
    Promise::RightModel,
    Plant { rules: ("path fit-1/v1", "path fit-2/v1"), ..SOUND },
    Vec::new()
)]
#[case::no_time_to_drain(
    Promise::ShutdownCutsNothing,
    Plant { settings: &[("time.address_ttl", "1ms"), ("time.drain", "1ms")], ..SOUND },
    shutdowns()
)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn mistake_is_found(
    #[case] promise: Promise,
    #[case] plant: Plant,
    #[case] events: Vec<Event>,
) {
    let _turn = TURN.lock().await;
    let mut cluster = Cluster::start_planted(1, true, plant).await;
    let run = Run {
        schedule: Schedule { events },
        span: SPAN,
        seed: 1,
    };
    let evidence = cluster.run(&run).await;
    let found = breaches(&evidence);
    let of = found.iter().filter(|one| one.promise == promise).count();
    println!(
        "{promise:?}: {of} of {} breaches; {}",
        found.len(),
        summary(&evidence)
    );
    assert!(of > 0, "{found:#?}");
}
