//! The plain service's stand-in as its driver sees it.

use std::time::Duration;

use hyper::http::HeaderValue;
use hyper::{HeaderMap, Method};
use rstest::rstest;
use standin::answer;
use standin::log::{End, Kind};
use standin::service::{Config, Faults, Point, Server};
use upstream::link::Reuse;
use upstream::service::{Call, Http, Service};
use upstream::{Error, Limits, Reach, header};
use wire::Priority;

fn call(key: &str) -> Call {
    let mut headers = HeaderMap::new();
    headers.insert(header::KEY, HeaderValue::try_from(key).unwrap());
    headers.insert(header::REQUEST, HeaderValue::from_static("r1"));
    Call {
        method: Method::POST,
        path: "/checkout?pair=7".into(),
        headers,
        body: "borrower".into(),
        attempt: "a1".into(),
        priority: Priority::Normal,
        reuse: Reuse::Fresh,
    }
}

async fn run(server: &Server, head: Duration, key: &str) -> Result<String, Error> {
    let limits = Limits {
        head,
        ..Limits::default()
    };
    let service = Http::new("desk-1", server.address(), limits);
    let body = service.call(call(key)).await?.into_body().collect().await?;
    Ok(String::from_utf8(body.to_vec()).unwrap())
}

const PATIENT: Duration = Duration::from_secs(30);
const QUICK: Duration = Duration::from_millis(100);

#[tokio::test]
async fn runs_are_counted_by_key() {
    let server = Server::start(Config::new("desk-1")).await.unwrap();
    let expected = answer::service("POST", "/checkout?pair=7", "k1", b"borrower");
    for _ in 0..2 {
        assert_eq!(run(&server, PATIENT, "k1").await.unwrap(), expected);
    }
    assert_ne!(run(&server, PATIENT, "k2").await.unwrap(), expected);
    let runs: Vec<_> = server.runs().into_iter().collect();
    assert_eq!(runs, [("k1".to_owned(), 2), ("k2".to_owned(), 1)]);
}

#[rstest]
#[case(Point::BeforeRun, 0, None)]
#[case(Point::BeforeHead, 1, Some(End::Cut))]
#[case(Point::InBody, 1, Some(End::Cut))]
#[case(Point::Crossed, 1, Some(End::Whole))]
#[case(Point::Hang, 1, Some(End::Cancelled))]
#[tokio::test]
async fn failure_is_noticed_and_passes(
    #[case] point: Point,
    #[case] runs: u64,
    #[case] end: Option<End>,
) {
    let server = Server::start(Config::new("desk-1")).await.unwrap();
    server.set_faults(Faults {
        point: Some(point),
        count: Some(1),
        ..Faults::default()
    });
    let head = if point == Point::Hang { QUICK } else { PATIENT };
    let error = run(&server, head, "k1").await.unwrap_err();
    assert_eq!(error.reach(), Reach::MaybeSent, "{error:?}");
    let noticed = match (point, &error) {
        (Point::Crossed, Error::Crossed { .. }) | (Point::Hang, Error::Timeout { .. }) => true,
        (Point::InBody, Error::Cut { offset, .. }) => *offset > 0,
        (Point::BeforeRun | Point::BeforeHead, Error::Broken { .. }) => true,
        _ => false,
    };
    assert!(noticed, "{error:?}");
    assert_eq!(server.runs().get("k1").copied().unwrap_or(0), runs);
    let finished = || {
        let entries = server.log().entries().into_iter();
        let mut ends = entries.filter_map(|entry| match entry.kind {
            Kind::Finish { end, .. } => Some(end),
            _ => None,
        });
        ends.next()
    };
    let ended = async {
        while finished() != end {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(PATIENT, ended).await.unwrap();
    run(&server, PATIENT, "k2").await.unwrap();
}

#[tokio::test]
async fn leaving_service_runs_nothing() {
    let server = Server::start(Config::new("desk-1")).await.unwrap();
    let leaving = |leaving| Faults {
        leaving,
        ..Faults::default()
    };
    server.set_faults(leaving(true));
    let error = run(&server, PATIENT, "k1").await.unwrap_err();
    assert!(matches!(error, Error::Leaving { .. }));
    assert_eq!(error.reach(), Reach::NotSent);
    assert!(server.runs().is_empty());
    server.set_faults(leaving(false));
    run(&server, PATIENT, "k1").await.unwrap();
}
