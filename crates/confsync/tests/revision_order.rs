//! Under any schedule of faults a node's revision never goes down, what is in force is what was
//! published whole, and once the faults are over every node has the newest.

#[path = "../../roster/tests/network/mod.rs"]
mod network;
mod site;

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use confsync::{Digest, PartContent, Replicator};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use site::naive::{Forgetful, Naive};
use site::{Make, Plane, Shared, Site, bad_contents, contents, site, start};
use wire::Revision;

const NODES: usize = 7;

/// Time after the last fault until every node has the newest revision in force.
const SETTLE: Duration = Duration::from_secs(60);

#[derive(Clone, Debug)]
enum Blow {
    Publish(u64),
    PublishBad,
    Kill(usize),
    Start(usize),
    Pause(usize, u64),
    Cut(usize, usize),
    Split(usize),
    Heal,
    Down(bool),
    Stale(bool),
}

type Schedule = Vec<(Blow, u64)>;

fn schedules() -> impl Strategy<Value = Schedule> {
    let node = || 0..NODES;
    let blow = prop_oneof![
        4 => (1..4_u64).prop_map(Blow::Publish),
        1 => Just(Blow::PublishBad),
        1 => node().prop_map(Blow::Kill),
        2 => node().prop_map(Blow::Start),
        1 => (node(), 1..10_000_u64).prop_map(|(node, ms)| Blow::Pause(node, ms)),
        1 => (node(), node()).prop_map(|(from, to)| Blow::Cut(from, to)),
        1 => (1..NODES).prop_map(Blow::Split),
        1 => Just(Blow::Heal),
        1 => any::<bool>().prop_map(Blow::Down),
        2 => any::<bool>().prop_map(Blow::Stale),
    ];
    proptest::collection::vec((blow, 0..5_000_u64), 1..16)
}

/// What was published, and what each incarnation did.
struct Run<S> {
    net: Site<S>,
    service: Shared,
    published: BTreeMap<Revision, Vec<Bytes>>,
    newest: Revision,
}

impl<S: Make> Run<S> {
    fn new(seed: u64) -> Self {
        let (net, service) = site(seed, NODES, 20);
        let published = BTreeMap::from([(1, contents(1, 8))]);
        Self {
            net,
            service,
            published,
            newest: 1,
        }
    }

    fn publish(&mut self, skip: u64, contents: Vec<Bytes>) {
        self.newest += skip;
        let mut service = self.service.borrow_mut();
        // A replica that goes stale falls back to before the latest publication.
        if !service.serves_stale {
            service.age();
        }
        service.publish(self.newest, &contents);
        self.published.insert(self.newest, contents);
    }

    fn inflict(&mut self, blow: &Blow) {
        match *blow {
            Blow::Publish(skip) => self.publish(skip, contents(self.newest + skip, 8)),
            Blow::PublishBad => self.publish(1, bad_contents()),
            Blow::Kill(index) => self.net.place(index, None),
            Blow::Start(index) => start(&mut self.net, index, &self.service),
            Blow::Pause(index, ms) => self.net.pause(index, Duration::from_millis(ms)),
            Blow::Cut(from, to) => self.net.cut(from, to),
            Blow::Split(at) => {
                let (a, b): (Vec<usize>, Vec<usize>) = (0..NODES).partition(|index| *index < at);
                self.net.split(&a, &b);
            }
            Blow::Heal => self.net.heal(),
            Blow::Down(down) => self.service.borrow_mut().down = down,
            Blow::Stale(stale) => self.service.borrow_mut().serves_stale = stale,
        }
    }

    /// Returns what is wrong with what a node did.
    fn fault(&self, plane: &Plane<S>) -> Option<String> {
        let revisions = || plane.adopted.iter().map(|(_, revision)| *revision);
        if !revisions().is_sorted_by(|a, b| a < b) {
            let all: Vec<Revision> = revisions().collect();
            return Some(format!("{} went through {all:?}", plane.me));
        }
        let force: Vec<Bytes> = plane.force.iter().map(|body| body.bytes.clone()).collect();
        let whole = force.is_empty() || self.published.get(&plane.revision()) == Some(&force);
        (!whole).then(|| format!("{} mixes revisions at {}", plane.me, plane.revision()))
    }

    /// Runs a schedule. Returns the first thing wrong.
    fn play(&mut self, schedule: &Schedule) -> Result<(), String> {
        for (blow, ms) in schedule {
            self.inflict(blow);
            self.net.run(Duration::from_millis(*ms));
            self.check()?;
        }
        self.net.heal();
        self.service.borrow_mut().down = false;
        self.service.borrow_mut().serves_stale = false;
        self.publish(1, contents(self.newest + 1, 8));
        let newest = self.newest;
        let done = self.net.run_till(SETTLE, |net| {
            net.nodes()
                .all(|plane| plane.revision() == newest && plane.ready.is_some())
        });
        self.check()?;
        done.map(|_| ())
            .ok_or_else(|| format!("not everywhere: {newest}"))
    }

    fn check(&self) -> Result<(), String> {
        let mut faults = self.net.nodes().filter_map(|plane| self.fault(plane));
        faults.next().map_or(Ok(()), Err)
    }
}

fn config() -> Config {
    Config {
        cases: 80,
        rng_seed: RngSeed::Fixed(20_263),
        failure_persistence: None,
        ..Config::default()
    }
}

/// Returns the first thing wrong with a version under the generated schedules.
fn first_fault<S: Make>() -> Result<(), String> {
    let strategy = (0..1_000_u64, schedules());
    let result = TestRunner::new(config()).run(&strategy, |(seed, schedule)| {
        let played = Run::<S>::new(seed).play(&schedule);
        played.map_err(TestCaseError::fail)
    });
    result.map_err(|e| e.to_string())
}

#[test]
fn never_down() {
    assert_eq!(first_fault::<Replicator>(), Ok(()));
}

/// The same check catches a node that takes whatever the platform offers.
#[test]
fn gullible_caught() {
    let fault = first_fault::<Naive>().unwrap_err();
    assert!(fault.contains("went through"), "{fault}");
}

/// The same check catches a node that forgets what it has seen.
#[test]
fn forgetful_caught() {
    let fault = first_fault::<Forgetful>().unwrap_err();
    assert!(fault.contains("went through"), "{fault}");
}

/// With an honest platform the outcome is that of the naive version.
#[test]
fn naive_outcome() {
    fn outcome<S: Make>(seed: u64, schedule: &Schedule) -> Result<Vec<Vec<Digest>>, String> {
        let mut run = Run::<S>::new(seed);
        run.play(schedule)?;
        let digest = |body: &PartContent| Digest::of(&body.bytes);
        let digests = |plane: &Plane<S>| plane.force.iter().map(digest).collect();
        Ok(run.net.nodes().map(digests).collect())
    }
    let strategy = (0..1_000_u64, schedules());
    let result = TestRunner::new(config()).run(&strategy, |(seed, mut schedule)| {
        schedule.retain(|(blow, _)| !matches!(blow, Blow::Stale(_)));
        let outcome = (
            outcome::<Replicator>(seed, &schedule),
            outcome::<Naive>(seed, &schedule),
        );
        prop_assert_eq!(&outcome.0, &outcome.1);
        Ok(())
    });
    assert_eq!(result.map_err(|e| e.to_string()), Ok(()));
}
