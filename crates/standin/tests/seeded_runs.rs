//! Workloads and fault schedules come from their seeds, and a run without a system between
//! callers and upstreams shows the breaches that a system is there to prevent.

use std::time::Duration;

use hyper::HeaderMap;
use rstest::rstest;
use standin::caller::{Caller, Entry};
use standin::checker::{Evidence, Limits, Node, Promise, What, check};
use standin::fleet::{self, Fleet};
use standin::schedule::{self, Event, Fault, Nodes, Schedule, Shape};
use standin::site;
use standin::workload::{Generator, Mix, Pace, drive};
use wire::Priority;

fn mix() -> Mix {
    Mix {
        models: (1..=100).map(|number| format!("fit-{number}@v1")).collect(),
        skew: 1.0,
        completions: 0.5,
        urgent: 0.2,
        tokens: 8,
        checkout: "/checkout".into(),
        lookup: "/stock".into(),
        checkouts: 0.5,
        key_prefix: String::new(),
    }
}

fn shape() -> Shape {
    Shape {
        nodes: 7,
        engines: 9,
        services: 3,
        span: Duration::from_secs(60),
        faults: 60,
        longest: Duration::from_secs(10),
        impaired: 2,
    }
}

#[test]
fn workload_has_its_shares_and_its_skew() {
    let draw = |seed| {
        let mut generator = Generator::new(mix(), "depot", seed);
        let requests: Vec<What> = (0..4_000).map(|_| generator.next_request()).collect();
        requests
    };
    let requests = draw(1);
    assert_eq!(requests, draw(1));
    assert_ne!(requests, draw(2));
    let count = |is: &dyn Fn(&What) -> bool| requests.iter().filter(|what| is(what)).count();
    let of =
        |name: &str| count(&|what| matches!(what, What::Completion { model, .. } if model == name));
    // The first of a hundred has 1 / 5.19 of the weight, the tenth a tenth of that.
    assert!((320..450).contains(&of("fit-1@v1")), "{}", of("fit-1@v1"));
    assert!((20..65).contains(&of("fit-10@v1")), "{}", of("fit-10@v1"));
    let urgent = count(&|what| {
        matches!(
            what,
            What::Completion {
                priority: Priority::Urgent,
                ..
            }
        )
    });
    assert!((330..470).contains(&urgent), "{urgent}");
    let keys: Vec<&String> = requests
        .iter()
        .filter_map(|what| match what {
            What::Call {
                key: Some(key),
                repeatable: false,
                ..
            } => Some(key),
            _ => None,
        })
        .collect();
    assert!((900..1_100).contains(&keys.len()), "{}", keys.len());
    let mut unique = keys.clone();
    unique.sort_unstable();
    unique.dedup();
    assert_eq!(unique.len(), keys.len());
}

#[rstest]
fn schedule_impairs_no_more_than_allowed(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let schedule = Schedule::new(&shape(), seed);
    assert_eq!(schedule, Schedule::new(&shape(), seed));
    assert_ne!(schedule, Schedule::new(&shape(), seed + 100));
    assert!(
        schedule
            .events
            .windows(2)
            .all(|pair| pair[0].at <= pair[1].at)
    );
    let mut open: Vec<Fault> = Vec::new();
    for Event { ends, fault, .. } in &schedule.events {
        if *ends {
            let index = open
                .iter()
                .position(|other| other == fault)
                .expect("it had begun");
            open.remove(index);
            continue;
        }
        open.push(fault.clone());
        let impaired = open.iter().map(|fault| match fault {
            Fault::Pause(_) | Fault::Kill(_) | Fault::Shutdown(_) => 1,
            Fault::Partition(nodes) => nodes.len(),
            _ => 0,
        });
        assert!(impaired.sum::<usize>() <= 2, "{open:?}");
    }
    assert_eq!(open, [], "every fault ends");
    assert!(schedule.events.len() > 60, "{}", schedule.events.len());
}

/// Nodes that only note what they are told.
#[derive(Default)]
struct Notes(Vec<String>);

impl Nodes for Notes {
    async fn pause(&mut self, node: usize) {
        self.0.push(format!("pause {node}"));
    }

    async fn resume(&mut self, node: usize) {
        self.0.push(format!("resume {node}"));
    }

    async fn kill(&mut self, node: usize) {
        self.0.push(format!("kill {node}"));
    }

    async fn shutdown(&mut self, node: usize) {
        self.0.push(format!("shutdown {node}"));
    }

    async fn start(&mut self, node: usize) {
        self.0.push(format!("start {node}"));
    }
}

async fn small_fleet() -> Fleet {
    let config = fleet::Config {
        nodes: 2,
        site: site::Config {
            engines: 1,
            services: 2,
            ..site::Config::default()
        },
        ..fleet::Config::default()
    };
    Fleet::start(config).await.unwrap()
}

fn event(ms: u64, ends: bool, fault: Fault) -> Event {
    let at = Duration::from_millis(ms);
    Event { at, ends, fault }
}

#[tokio::test]
async fn schedule_is_brought_about() {
    let fleet = small_fleet().await;
    let events = vec![
        event(0, false, Fault::Pause(0)),
        event(1, false, Fault::EngineLeaves(0)),
        event(2, true, Fault::Pause(0)),
        event(3, false, Fault::Shutdown(1)),
        event(4, true, Fault::Shutdown(1)),
        event(5, false, Fault::Restart(0)),
        event(6, false, Fault::Partition(vec![1])),
    ];
    let mut notes = Notes::default();
    let seen = schedule::run(&Schedule { events }, &fleet, &mut notes).await;
    assert_eq!(notes.0, ["pause 0", "resume 0", "shutdown 1", "start 1"]);
    let kinds: Vec<&str> = seen
        .iter()
        .map(|node| match node {
            Node::Gone { .. } => "gone",
            Node::Serves { .. } => "serves",
            Node::Shutdown { .. } => "shutdown",
            _ => "other",
        })
        .collect();
    assert_eq!(
        kinds,
        ["gone", "serves", "shutdown", "gone", "serves", "gone"]
    );
    let log = format!("{:?}", fleet.site.entries());
    assert!(
        log.contains("Leaving { leaving: true }") && log.contains("Restart"),
        "{log}"
    );
}

/// Callers that connect to the services themselves and retry: the naive version of the system.
#[tokio::test]
async fn retries_without_a_system_run_twice() {
    let fleet = small_fleet().await;
    let entries: Vec<Entry> = fleet
        .site
        .services
        .iter()
        .map(|service| Entry {
            node: "none".into(),
            address: service.address(),
        })
        .collect();
    let span = Duration::from_millis(600);
    let pace = Pace {
        pause: Duration::from_millis(2),
        retry: Duration::from_millis(2),
        tries: 3,
        span,
    };
    let calls = Mix {
        models: Vec::new(),
        ..mix()
    };
    let limit = Duration::from_secs(20);
    let callers = ["one", "two"].map(|name| {
        let caller = Caller::new(name, HeaderMap::new(), limit);
        let generator = Generator::new(calls.clone(), name, 3);
        tokio::spawn(drive(caller, generator, entries.clone(), pace))
    });
    let fault = Fault::Service(0, standin::service::Point::BeforeHead);
    let events = vec![event(100, false, fault.clone()), event(500, true, fault)];
    schedule::run(&Schedule { events }, &fleet, &mut Notes::default()).await;
    let mut asks = Vec::new();
    for caller in callers {
        asks.extend(caller.await.unwrap());
    }
    let evidence = Evidence {
        entries: fleet.site.entries(),
        asks,
        nodes: Vec::new(),
    };
    let breaches = check(&evidence, &Limits::default());
    assert!(!breaches.is_empty(), "{} asks", evidence.asks.len());
    assert!(
        breaches
            .iter()
            .all(|one| one.promise == Promise::AtMostOnce),
        "{breaches:?}"
    );
}
