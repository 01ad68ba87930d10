//! A node of the product's own front that is partitioned from all upstreams.

#[path = "../../../platform/tests/support/path.rs"]
mod path;
mod support;

use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

use ::platform::{Member, Role};
use hyper::HeaderMap;
use path::{Fault, Faults, Path};
use rstest::rstest;
use standin::caller::{Caller, Entry};
use standin::checker::{Outcome, What};
use standin::fleet::{self, Fleet, Place};
use standin::schedule::Nodes;
use support::{Cluster, SOUND, site_config};
use tokio::sync::watch;
use tokio::time::sleep;
use wire::Priority;

const NODES: usize = 7;

/// Time from the start of the partition in which requests may fail, and that of the trial after it.
const STABLE: Duration = Duration::from_secs(2);
const TRIAL: Duration = Duration::from_secs(6);

/// Of all first tries, those that may fail: 10 and 1 in 50.
const FAILURES_MIN: usize = 10;
const FAILURES_PART: usize = 50;

/// Cuts of all nodes, and how long each lasts.
const CUTS: usize = 3;
const CUT: Duration = Duration::from_secs(3);

/// Time from the death of a node in which the others do what it did.
const HANDOVER: Duration = Duration::from_secs(8);

/// Pause between the calls of one caller.
const PACE: Duration = Duration::from_millis(50);

/// Completions at each node before the partition.
const WARM_UP: usize = 6;

/// Returns an address for a node; cases that run at the same time get others.
fn own_address(case: u8, node: usize) -> IpAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, low | 1, high << 4 | case, node as u8 + 1).into()
}

/// Gives each node an address of its own, and puts a path before each upstream. Those before plain services
/// fail as `services` says, those before engines as `engines` says.
async fn rearrange(
    fleet: &mut Fleet,
    case: u8,
    engines: &watch::Receiver<Faults>,
    services: &watch::Receiver<Faults>,
) -> Vec<Path> {
    let engine_pool = site_config().engine_pool;
    for (number, place) in fleet.places.iter_mut().enumerate() {
        let own = own_address(case, number);
        place.callers.set_ip(own);
        place.peers.set_ip(own);
        place.operators.set_ip(own);
    }
    let mut members: Vec<Member> = fleet.places.iter().map(listed).collect();
    let mut paths = Vec::new();
    for mut member in fleet.site.platform.state().members().members {
        if let Role::Runner { address, pool, .. } = &mut member.role {
            let faults = if *pool == engine_pool {
                engines
            } else {
                services
            };
            let path = Path::start(*address, faults.clone()).await;
            *address = path.address();
            paths.push(path);
        }
        members.push(member);
    }
    fleet.list(&members);
    paths
}

fn listed(place: &Place) -> Member {
    Member {
        vm: place.vm.as_str().into(),
        role: Role::Entry {
            callers: place.callers,
            peers: place.peers,
        },
        region: place.region.as_str().into(),
        zone: place.zone.as_str().into(),
        state: ::platform::State::Live,
    }
}

/// First tries and those of them that were answered.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    asked: usize,
    answered: usize,
}

impl Tally {
    fn failed(self) -> usize {
        self.asked - self.answered
    }

    fn and(self, other: Self) -> Self {
        Self {
            asked: self.asked + other.asked,
            answered: self.answered + other.answered,
        }
    }
}

/// Returns a call of a plain service: every other one may run once.
fn call(prefix: &str, node: usize, number: usize) -> What {
    let once = number.is_multiple_of(2);
    let key = format!("{prefix}cut-{node}-{number}");
    What::Call {
        method: if once { "POST" } else { "GET" }.to_owned(),
        path: match once {
            true => "/lending/checkouts".to_owned(),
            false => format!("/lending/stock/{number}"),
        },
        key: once.then_some(key),
        body: String::new(),
        repeatable: !once,
    }
}

/// Returns a completion by one of a few adapters.
fn completion(_: &str, node: usize, number: usize) -> What {
    What::Completion {
        model: format!("fit-{}@v1", number % 3 + 1),
        prompt: format!("cut {node} {number}"),
        tokens: 4,
        priority: Priority::Normal,
    }
}

/// Makes a request of this prefix, node and number.
type Request = fn(&str, usize, usize) -> What;

/// Asks one node until the trial ends.
async fn ask(request: Request, entry: Entry, node: usize, prefix: String, cut: Instant) -> Tally {
    let caller = Caller::new("c1", HeaderMap::new(), Duration::from_secs(5));
    let mut tally = Tally::default();
    for number in 0.. {
        if cut.elapsed() > STABLE + TRIAL {
            break;
        }
        let counts = cut.elapsed() > STABLE;
        let outcome = caller.ask(&entry, request(&prefix, node, number)).await;
        if counts {
            tally.asked += 1;
            tally.answered += usize::from(matches!(outcome.outcome, Outcome::Answered(_)));
        }
        sleep(PACE).await;
    }
    tally
}

/// Partitions the first node from all upstreams, and asks all nodes; returns what became of it at each.
async fn play(case: u8, fault: Fault, request: Request) -> (Cluster, Vec<Tally>) {
    let (faults, seen) = watch::channel(Faults::new());
    let config = fleet::Config {
        nodes: NODES,
        site: site_config(),
        link_upstreams: false,
        ..fleet::Config::default()
    };
    let mut fleet = Fleet::start(config).await.expect("a fleet");
    let _paths = rearrange(&mut fleet, case, &seen, &seen).await;
    let cluster = Cluster::start_over(fleet, SOUND).await;
    let caller = Caller::new("c1", HeaderMap::new(), Duration::from_secs(10));
    let prefix = cluster.key_prefix(&caller).await;
    let entries: Vec<Entry> = cluster.entries();
    for entry in &entries {
        for number in 0..WARM_UP {
            caller.ask(entry, completion("", NODES, number)).await;
        }
    }
    faults.send_replace(vec![(own_address(case, 0), fault)]);
    let cut = Instant::now();
    let asking = entries.into_iter().enumerate();
    let asking: Vec<_> = asking
        .map(|(node, entry)| tokio::spawn(ask(request, entry, node, prefix.clone(), cut)))
        .collect();
    let mut tallies = Vec::new();
    for task in asking {
        tallies.push(task.await.expect("no panic"));
    }
    (cluster, tallies)
}

/// Fails where the first node served its callers worse than the others.
fn assert_served(tallies: &[Tally]) {
    let [lost, others @ ..] = tallies else {
        unreachable!("several nodes");
    };
    let others = others.iter().copied().fold(Tally::default(), Tally::and);
    println!("{lost:?}, others {others:?}");
    // Less than two thirds of the others' part, or of what each of them answered in the same time.
    let worse = lost.answered * others.asked * 3 < others.answered * lost.asked * 2;
    let slower = lost.answered * (NODES - 1) * 3 < others.answered * 2;
    let all = lost.and(others);
    let allowed = FAILURES_MIN + all.asked / FAILURES_PART;
    assert!(
        !worse && !slower && all.failed() <= allowed,
        "{lost:?}, others {others:?}"
    );
}

/// Returns the largest number of runs of a call that may run once.
fn most_runs(cluster: &Cluster) -> u64 {
    let services = cluster.fleet.site.services.iter();
    let runs = services.flat_map(|service| service.runs());
    let mut counts = std::collections::BTreeMap::new();
    for (key, number) in runs.filter(|(key, _)| key.contains("cut-")) {
        *counts.entry(key).or_insert(0) += number;
    }
    counts.into_values().max().unwrap_or_default()
}

/// Guards against a node that serves its callers worse than the others while it is partitioned from all
/// upstreams and its peers are not (RECOVER).
#[rstest]
#[case::hang(0, Fault::Hang)]
#[case::reset(1, Fault::Reset)]
#[case::refuse(2, Fault::Refuse)]
#[case::one_way(3, Fault::OneWay)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cut_node_serves_through_peers(#[case] case: u8, #[case] fault: Fault) {
    let (cluster, tallies) = play(case, fault, call).await;
    assert_eq!(most_runs(&cluster), 1, "runs of a call that may run once");
    assert_served(&tallies);
}

/// Guards against the same for completions, which engines answer piece by piece (RECOVER).
#[rstest]
#[case::hang(4, Fault::Hang)]
#[case::reset(5, Fault::Reset)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cut_node_completes_through_peers(#[case] case: u8, #[case] fault: Fault) {
    let (_cluster, tallies) = play(case, fault, completion).await;
    assert_served(&tallies);
}

/// Guards against a sound prompt that is refused for good, since all links to all engines were reset while
/// it ran there; those to plain services were reset as well, or not.
#[rstest]
#[case::all(6, true)]
#[case::engines(7, false)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reset_links_convict_no_prompt(#[case] case: u8, #[case] services: bool) {
    let (faults, seen) = watch::channel(Faults::new());
    let sound = watch::Sender::new(Faults::new());
    let seen_by_services = if services {
        seen.clone()
    } else {
        sound.subscribe()
    };
    let (cluster, _paths) = warm_cluster(case, &seen, &seen_by_services).await;
    let entries = cluster.entries();
    let all = (0..NODES).map(|node| (own_address(case, node), Fault::Reset));
    for _ in 0..CUTS {
        let asking = entries.iter().cloned().map(|entry| {
            tokio::spawn(async move { patient().ask(&entry, prompt("the same")).await })
        });
        let asking: Vec<_> = asking.collect();
        sleep(Duration::from_millis(300)).await;
        faults.send_replace(all.clone().collect());
        sleep(CUT).await;
        faults.send_replace(Faults::new());
        for task in asking {
            task.await.expect("no panic");
        }
        sleep(STABLE).await;
    }
    assert_answered(&entries).await;
}

/// Guards against a sound prompt that stays suspected, since the node that reported a crash which was none was
/// killed before it learned better.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_reporter_leaves_no_suspicion() {
    let case = 8;
    let (faults, seen) = watch::channel(Faults::new());
    let sound = watch::Sender::new(Faults::new());
    let (mut cluster, _paths) = warm_cluster(case, &seen, &sound.subscribe()).await;
    let all = (0..NODES).map(|node| (own_address(case, node), Fault::Reset));
    let entry = cluster.entries().swap_remove(0);
    let asking = tokio::spawn(async move { patient().ask(&entry, prompt("the same")).await });
    sleep(Duration::from_millis(300)).await;
    faults.send_replace(all.collect());
    sleep(CUT).await;
    assert_eq!(standings(&cluster), ["Suspect"; NODES - 1]);
    cluster.processes.kill(0).await;
    faults.send_replace(Faults::new());
    asking.await.expect("no panic");
    sleep(HANDOVER).await;
    assert_eq!(standings(&cluster), ["Clear"; NODES - 1]);
}

/// Returns what each node but the first last logged of the prompt.
fn standings(cluster: &Cluster) -> Vec<String> {
    let logs = cluster.processes.logs();
    let standing = |node: usize| {
        let log = std::fs::read_to_string(logs.join(format!("vm-{node}-1.log"))).expect("a log");
        let mut lines = log.lines().filter(|line| line.contains(" suspicion "));
        let last = lines
            .next_back()
            .and_then(|line| line.split("standing=").nth(1));
        last.unwrap_or_default().to_owned()
    };
    (2..=NODES).map(standing).collect()
}

fn prompt(prompt: &str) -> What {
    What::Completion {
        model: "fit-1@v1".into(),
        prompt: prompt.into(),
        tokens: 200,
        priority: Priority::Normal,
    }
}

fn patient() -> Caller {
    Caller::new("c1", HeaderMap::new(), Duration::from_secs(10))
}

/// Starts nodes before upstreams that fail as these say, and asks each node for a completion: the first ones may
/// have to wait for their model.
async fn warm_cluster(
    case: u8,
    engines: &watch::Receiver<Faults>,
    services: &watch::Receiver<Faults>,
) -> (Cluster, Vec<Path>) {
    let config = fleet::Config {
        nodes: NODES,
        site: site_config(),
        link_upstreams: false,
        ..fleet::Config::default()
    };
    let mut fleet = Fleet::start(config).await.expect("a fleet");
    let paths = rearrange(&mut fleet, case, engines, services).await;
    let cluster = Cluster::start_over(fleet, SOUND).await;
    for (number, entry) in cluster.entries().iter().enumerate() {
        let other = prompt(&format!("other {number}"));
        patient().ask(entry, other).await;
    }
    (cluster, paths)
}

/// Fails where a prompt that links were reset under is not answered.
async fn assert_answered(entries: &[Entry]) {
    for entry in entries {
        let outcome = patient().ask(entry, prompt("the same")).await.outcome;
        assert!(matches!(outcome, Outcome::Answered(_)), "{outcome:?}");
    }
}
