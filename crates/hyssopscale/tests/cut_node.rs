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

/// Pause between the calls of one caller.
const PACE: Duration = Duration::from_millis(50);

/// Returns an address for a node; cases that run at the same time get others.
fn own_address(fault: Fault, node: usize) -> IpAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, low | 1, high << 2 | fault as u8, node as u8 + 1).into()
}

/// Gives each node an address of its own, and puts a path before each upstream.
async fn rearrange(
    fleet: &mut Fleet,
    address: impl Fn(usize) -> IpAddr,
    faults: &watch::Receiver<Faults>,
) -> Vec<Path> {
    for (number, place) in fleet.places.iter_mut().enumerate() {
        let own = address(number);
        place.callers.set_ip(own);
        place.peers.set_ip(own);
        place.operators.set_ip(own);
    }
    let mut members: Vec<Member> = fleet.places.iter().map(listed).collect();
    let mut paths = Vec::new();
    for mut member in fleet.site.platform.state().members().members {
        if let Role::Runner { address, .. } = &mut member.role {
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

/// Asks one node until the trial ends: plain calls, and calls that may run once.
async fn ask(entry: Entry, node: usize, prefix: String, cut: Instant) -> Tally {
    let caller = Caller::new("c1", HeaderMap::new(), Duration::from_secs(5));
    let mut tally = Tally::default();
    for number in 0.. {
        if cut.elapsed() > STABLE + TRIAL {
            break;
        }
        let once = number % 2 == 0;
        let key = format!("{prefix}cut-{node}-{number}");
        let what = What::Call {
            method: if once { "POST" } else { "GET" }.to_owned(),
            path: match once {
                true => "/lending/checkouts".to_owned(),
                false => format!("/lending/stock/{number}"),
            },
            key: once.then_some(key),
            body: String::new(),
            repeatable: !once,
        };
        let counts = cut.elapsed() > STABLE;
        let outcome = caller.ask(&entry, what).await.outcome;
        if counts {
            tally.asked += 1;
            tally.answered += usize::from(matches!(outcome, Outcome::Answered(_)));
        }
        sleep(PACE).await;
    }
    tally
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
#[case::hang(Fault::Hang)]
#[case::reset(Fault::Reset)]
#[case::refuse(Fault::Refuse)]
#[case::one_way(Fault::OneWay)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cut_node_serves_through_peers(#[case] fault: Fault) {
    let (faults, seen) = watch::channel(Faults::new());
    let config = fleet::Config {
        nodes: NODES,
        site: site_config(),
        link_upstreams: false,
        ..fleet::Config::default()
    };
    let mut fleet = Fleet::start(config).await.expect("a fleet");
    let _paths = rearrange(&mut fleet, |node| own_address(fault, node), &seen).await;
    let cluster = Cluster::start_over(fleet, SOUND).await;
    let caller = Caller::new("c1", HeaderMap::new(), Duration::from_secs(10));
    let prefix = cluster.key_prefix(&caller).await;
    faults.send_replace(vec![(own_address(fault, 0), fault)]);
    let cut = Instant::now();
    let entries: Vec<Entry> = cluster.entries();
    let asking = entries.into_iter().enumerate();
    let asking: Vec<_> = asking
        .map(|(node, entry)| tokio::spawn(ask(entry, node, prefix.clone(), cut)))
        .collect();
    let mut tallies = Vec::new();
    for task in asking {
        tallies.push(task.await.expect("no panic"));
    }
    let [lost, others @ ..] = &tallies[..] else {
        unreachable!("several nodes");
    };
    let served = others.iter().map(|tally| tally.answered).sum::<usize>();
    let asked = others.iter().map(|tally| tally.asked).sum::<usize>();
    println!("{fault:?}: {lost:?}, others {served} of {asked}");
    assert_eq!(most_runs(&cluster), 1, "runs of a call that may run once");
    // Less than two thirds of the others' part.
    let worse = lost.answered * asked * 3 < served * lost.asked * 2;
    let allowed = FAILURES_MIN + (lost.asked + asked) / FAILURES_PART;
    let failed = lost.asked - lost.answered + asked - served;
    assert!(
        !worse && failed <= allowed,
        "{lost:?}, others {served} of {asked}"
    );
}

/// Guards against a sound prompt that is refused for good, since all links to all engines were reset while
/// it ran there.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reset_links_convict_no_prompt() {
    let address = |node| own_address(Fault::Reset, NODES + node);
    let (faults, seen) = watch::channel(Faults::new());
    let config = fleet::Config {
        nodes: NODES,
        site: site_config(),
        link_upstreams: false,
        ..fleet::Config::default()
    };
    let mut fleet = Fleet::start(config).await.expect("a fleet");
    let _paths = rearrange(&mut fleet, address, &seen).await;
    let cluster = Cluster::start_over(fleet, SOUND).await;
    let prompt = |prompt: &str| What::Completion {
        model: "fit-1@v1".into(),
        prompt: prompt.into(),
        tokens: 200,
        priority: Priority::Normal,
    };
    let caller = || Caller::new("c1", HeaderMap::new(), Duration::from_secs(10));
    let entries = cluster.entries();
    for (number, entry) in entries.iter().enumerate().take(CUTS) {
        // The first ones may have to wait for their model.
        let other = prompt(&format!("other {number}"));
        caller().ask(entry, other).await;
    }
    let all = (0..NODES).map(|node| (address(node), Fault::Reset));
    for entry in entries.iter().take(CUTS) {
        let (entry, same) = (entry.clone(), prompt("the same"));
        let asking = tokio::spawn(async move { caller().ask(&entry, same).await });
        sleep(Duration::from_millis(300)).await;
        faults.send_replace(all.clone().collect());
        sleep(CUT).await;
        faults.send_replace(Faults::new());
        asking.await.expect("no panic");
        sleep(STABLE).await;
    }
    for entry in &entries {
        let outcome = caller().ask(entry, prompt("the same")).await.outcome;
        assert!(matches!(outcome, Outcome::Answered(_)), "{outcome:?}");
    }
}
