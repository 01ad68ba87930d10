//! What a caller records, and the checker's verdict on true logs. The caller asks the stand-ins
//! themselves, as a system without any care would pass its requests on.

mod support;

use rstest::rstest;
use standin::answer;
use standin::caller::{Entry, key};
use standin::checker::{Ask, Evidence, Limits, Outcome, Promise, check};
use standin::engine::{self, Faults};
use standin::service::{self, Point};
use standin::site::{Config, Site};
use support::{caller, checkout, completion};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

async fn site() -> Site {
    let config = Config {
        engines: 1,
        services: 2,
        ..Config::default()
    };
    Site::start(config).await.unwrap()
}

fn engine(site: &Site) -> Entry {
    Entry {
        node: "vm-1".into(),
        address: site.engines[0].address(),
    }
}

fn desk(site: &Site, number: usize) -> Entry {
    Entry {
        node: "vm-1".into(),
        address: site.services[number].address(),
    }
}

fn verdict(site: &Site, asks: Vec<Ask>) -> Vec<Promise> {
    let evidence = Evidence {
        entries: site.entries(),
        asks,
        nodes: Vec::new(),
    };
    let breaches = check(&evidence, &Limits::default());
    breaches.into_iter().map(|breach| breach.promise).collect()
}

#[tokio::test]
async fn answers_are_recorded_whole() {
    let (site, caller) = (site().await, caller());
    let asks = vec![
        caller.ask(&engine(&site), completion(5)).await,
        caller
            .ask(&desk(&site, 0), checkout(Some(key("depot", 1))))
            .await,
        caller.ask(&desk(&site, 1), checkout(None)).await,
    ];
    assert_eq!(
        asks[0].outcome,
        Outcome::Answered(answer::text("base", "p", 5))
    );
    assert!(
        asks.iter()
            .all(|ask| matches!(ask.outcome, Outcome::Answered(_))),
        "{asks:?}"
    );
    assert_eq!(verdict(&site, asks), []);
}

#[tokio::test]
async fn careless_retry_is_caught() {
    let (site, caller) = (site().await, caller());
    site.services[0].set_faults(service::Faults {
        point: Some(Point::BeforeHead),
        ..service::Faults::default()
    });
    let key = Some(key("depot", 1));
    let first = caller.ask(&desk(&site, 0), checkout(key.clone())).await;
    assert_eq!(first.outcome, Outcome::Dropped);
    let second = caller.ask(&desk(&site, 1), checkout(key)).await;
    assert_eq!(verdict(&site, vec![first, second]), [Promise::AtMostOnce]);
}

#[rstest]
#[case::cut(Faults { cut_after: Some(2), ..Faults::default() })]
#[case::ended_early(Faults { end_early: Some(2), ..Faults::default() })]
#[tokio::test]
async fn short_stream_is_recorded_as_cut(#[case] faults: engine::Faults) {
    let (site, caller) = (site().await, caller());
    site.engines[0].set_faults(faults);
    let mut ask = caller.ask(&engine(&site), completion(5)).await;
    let text = answer::text("base", "p", 2);
    assert_eq!(ask.outcome, Outcome::Cut(text.clone()));
    assert_eq!(verdict(&site, vec![ask.clone()]), []);
    ask.outcome = Outcome::Answered(text);
    assert_eq!(verdict(&site, vec![ask]), [Promise::WholeOwnAnswer]);
}

#[rstest]
#[case(r#"{"outcome":"not-run"}"#, Outcome::NotRun)]
#[case(r#"{"outcome":"failed"}"#, Outcome::Failed)]
#[case(r#"{"outcome":"unknown"}"#, Outcome::Unknown)]
#[case("no problem", Outcome::Unknown)]
#[tokio::test]
async fn refusal_is_recorded_as_its_outcome(#[case] problem: &str, #[case] expected: Outcome) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let entry = Entry {
        node: "vm-1".into(),
        address: listener.local_addr().unwrap(),
    };
    let serve = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 4096];
        let bytes = stream.read(&mut request).await.unwrap();
        let length = problem.len();
        let head = "HTTP/1.1 503 Busy\r\ncontent-type: application/problem+json\r\n";
        let answer = format!("{head}content-length: {length}\r\n\r\n{problem}");
        stream.write_all(answer.as_bytes()).await.unwrap();
        String::from_utf8_lossy(&request[..bytes]).into_owned()
    };
    let caller = caller();
    let (ask, request) = tokio::join!(caller.ask(&entry, completion(5)), serve);
    assert_eq!(ask.outcome, expected);
    assert!(
        request.contains(&format!("x-request-id: {}\r\n", ask.request)),
        "{request}"
    );
}

#[tokio::test]
async fn unreached_node_is_told_from_a_dropped_call() {
    // No other test listens at this address, so that nobody takes the port once it is free.
    let listener = TcpListener::bind("127.0.7.1:0").await.unwrap();
    let entry = Entry {
        node: "vm-1".into(),
        address: listener.local_addr().unwrap(),
    };
    let accept = async { drop(listener.accept().await) };
    let caller = caller();
    let (dropped, ()) = tokio::join!(caller.ask(&entry, completion(1)), accept);
    drop(listener);
    let unreached = caller.ask(&entry, completion(1)).await;
    let outcomes = (dropped.outcome, unreached.outcome);
    assert_eq!(outcomes, (Outcome::Dropped, Outcome::Unreached));
}
