//! Streams of the product's own front while engines of two releases serve side by side.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use hyper::HeaderMap;
use rstest::rstest;
use standin::caller::Caller;
use standin::checker::{Outcome, What};
use standin::engine::Faults;
use standin::log::Kind;
use support::Cluster;

/// Tokens after which engines break streams off.
const BREAK: u64 = 4;

const STREAMS: u64 = 60;

/// One in so many streams breaks off, so that the budget of retries carries it.
const BROKEN: u64 = 4;

/// Guards against a stream that goes on at an engine of another release than the one that began it.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn broken_stream_goes_on_at_its_release() {
    let releases = ["r1", "r2"];
    let cluster = Cluster::start_released(1, &releases).await;
    let engines = &cluster.fleet.site.engines;
    let caller = Caller::new("c1", HeaderMap::new(), Duration::from_secs(10));
    let entry = &cluster.entries()[0];
    let mut whole = 0;
    for number in 0..STREAMS {
        for engine in engines {
            engine.set_faults(Faults {
                cut_after: number.is_multiple_of(BROKEN).then_some(BREAK),
                ..Faults::default()
            });
        }
        let what = What::Completion {
            model: format!("fit-{}@v1", number % 3 + 1),
            prompt: format!("icy path {number}"),
            tokens: BREAK + 2,
            priority: wire::Priority::Normal,
        };
        let outcome = caller.ask(entry, what).await.outcome;
        whole += u64::from(matches!(outcome, Outcome::Answered(_)));
    }
    let mut runs: BTreeMap<u64, Vec<(u64, &str)>> = BTreeMap::new();
    for (engine, number) in engines.iter().zip(1..) {
        for event in engine.log().entries() {
            if let Kind::Start { prompt, offset, .. } = event.kind {
                let release = releases[number % releases.len()];
                runs.entry(prompt).or_default().push((offset, release));
            }
        }
    }
    runs.values_mut().for_each(|runs| runs.sort_unstable());
    let joined = runs.values().filter(|runs| {
        // The run before one that goes on has brought events.
        runs.windows(2)
            .any(|pair| pair[1].0 > 0 && pair[0].1 != pair[1].1)
    });
    let joined = joined.count();
    assert_eq!(joined, 0, "of {STREAMS} streams joined");
    assert!(
        runs.values().any(|runs| runs.len() > 1),
        "no stream broke off"
    );
    assert!(whole * 10 >= STREAMS * 9, "{whole} of {STREAMS} whole");
}
