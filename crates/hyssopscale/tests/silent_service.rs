//! Services that are silent, for a second or for good, by the product's own front.

mod support;

use std::time::Duration;

use hyper::HeaderMap;
use hyper::header::HeaderValue;
use rstest::rstest;
use standin::caller::Caller;
use standin::checker::{Outcome, What};
use standin::service::{Faults, Point};
use support::Cluster;
use tokio::time::{Instant, sleep, sleep_until};

/// Calls of one run, and the time between two.
const CALLS: usize = 150;
const INTERVAL: Duration = Duration::from_millis(20);

/// Calls after which the services fall silent.
const SOUND_CALLS: usize = 50;

/// Time that a caller gives its call.
const LIMIT_MS: u64 = 3_000;

const SILENCE: Duration = Duration::from_secs(1);

/// Part of the calls that may be sent again for a silence, as one in so many.
const REPEATS_PART: usize = 20;

/// What became of the calls of a run.
#[derive(Debug, Default)]
struct Tally {
    answered: usize,
    failed: usize,
    /// Runs beyond the first one of each call.
    repeats: u64,
}

/// Which services are silent.
#[derive(Clone, Copy)]
enum Silent {
    /// All, each for a second.
    AllForAWhile,
    /// The first one, for good.
    OneForGood,
}

async fn play(silent: Silent) -> Tally {
    let cluster = Cluster::start(1).await;
    let services = &cluster.fleet.site.services;
    let mut headers = HeaderMap::new();
    headers.insert("x-timeout-ms", HeaderValue::from(LIMIT_MS));
    let caller = Caller::new("c1", headers, Duration::from_secs(10));
    let entry = cluster.entries()[0].clone();
    let begin = Instant::now();
    let mut asked = Vec::new();
    for number in 0..CALLS {
        sleep_until(begin + INTERVAL * number as u32).await;
        if number == SOUND_CALLS {
            match silent {
                Silent::AllForAWhile => services.iter().for_each(|service| {
                    service.set_faults(Faults {
                        delay_ms: Some(SILENCE.as_millis() as u64),
                        ..Faults::default()
                    });
                }),
                Silent::OneForGood => services[0].set_faults(Faults {
                    point: Some(Point::Hang),
                    ..Faults::default()
                }),
            }
        }
        if number == SOUND_CALLS + (SILENCE.as_millis() / INTERVAL.as_millis()) as usize
            && matches!(silent, Silent::AllForAWhile)
        {
            services
                .iter()
                .for_each(|service| service.set_faults(Faults::default()));
        }
        let (caller, entry) = (caller.clone(), entry.clone());
        asked.push(tokio::spawn(async move {
            let what = What::Call {
                method: "GET".to_owned(),
                path: format!("/lending/stock/{number}"),
                key: None,
                body: String::new(),
                repeatable: true,
            };
            caller.ask(&entry, what).await.outcome
        }));
    }
    let mut tally = Tally::default();
    for asking in asked {
        match asking.await.expect("no panic") {
            Outcome::Answered(_) => tally.answered += 1,
            _ => tally.failed += 1,
        }
    }
    // What was sent last is counted when it comes.
    sleep(INTERVAL).await;
    let runs: u64 = services
        .iter()
        .flat_map(|known| known.runs())
        .map(|(_, runs)| runs)
        .sum();
    tally.repeats = runs.saturating_sub(CALLS as u64);
    println!("{tally:?}");
    tally
}

/// Guards against calls that are lost to a service that never answers, while others do: a call was left
/// there until its time was over.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn dead_service_is_left_in_time() {
    let tally = play(Silent::OneForGood).await;
    assert_eq!(tally.failed, 0, "{tally:?}");
}

/// A silence of all services is no reason to send calls again.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_services_get_no_storm() {
    let tally = play(Silent::AllForAWhile).await;
    assert_eq!(tally.failed, 0, "{tally:?}");
    assert!(tally.repeats as usize <= CALLS / REPEATS_PART, "{tally:?}");
}
