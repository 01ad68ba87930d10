//! A service that wants a pause gets no calls of a node that it has told, by the product's own front.

mod support;

use std::time::{Duration, Instant};

use hyper::HeaderMap;
use rstest::rstest;
use standin::caller::Caller;
use standin::checker::{Outcome, What};
use standin::log::Kind;
use standin::service::{Faults, Server};
use support::Cluster;

const PAUSE: Duration = Duration::from_millis(2_500);

/// Time after which a pause binds, and how many calls may come in it then.
const SLACK: Duration = Duration::from_millis(500);
const CALLS_MAX: usize = 2;

fn refused(service: &Server) -> usize {
    let events = service.log().entries();
    let refused = |kind: &Kind| matches!(kind, Kind::Refused { .. });
    events.iter().filter(|event| refused(&event.kind)).count()
}

/// Guards against calls that reach a service in the pause that it wants (issue 19).
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn paused_service_is_left_alone() {
    let cluster = Cluster::start(1).await;
    let service = &cluster.fleet.site.services[0];
    let caller = Caller::new("c1", HeaderMap::new(), Duration::from_secs(10));
    let entry = &cluster.entries()[0];
    let mut number = 0;
    let mut ask = async || {
        number += 1;
        let what = What::Call {
            method: "GET".to_owned(),
            path: format!("/lending/stock/{number}"),
            key: None,
            body: String::new(),
            repeatable: true,
        };
        caller.ask(entry, what).await.outcome
    };
    service.set_faults(Faults {
        pause_ms: Some(PAUSE.as_millis() as u64),
        ..Faults::default()
    });
    let began = Instant::now();
    while refused(service) == 0 {
        assert!(began.elapsed() < Duration::from_secs(10), "it got no call");
        ask().await;
    }
    let told = Instant::now();
    while told.elapsed() < SLACK {
        ask().await;
    }
    let before = refused(service);
    while told.elapsed() < PAUSE - SLACK / 5 {
        let outcome = ask().await;
        assert!(matches!(outcome, Outcome::Answered(_)), "{outcome:?}");
    }
    let inside = refused(service) - before;
    assert!(inside <= CALLS_MAX, "{inside} calls in the pause");
}
