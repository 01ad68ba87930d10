//! Under any fault schedule, a node's revision never decreases, the contents in force are exactly
//! those published, and after the last fault every node reaches the newest revision.

#[path = "../../roster/tests/network/mod.rs"]
mod network;
mod site;

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use confsync::{Digest, PartContent, Replicator};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use site::naive::{Naive, StateDiscarding};
use site::{ControlPlane, Shared, Site, TestReplicator, bad_contents, contents, site, start};
use wire::Revision;

const NODES: usize = 7;

/// Limit after the last fault for every node to have the newest revision in force.
const SETTLE: Duration = Duration::from_secs(60);

#[derive(Clone, Debug)]
enum ScheduleStep {
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

type Schedule = Vec<(ScheduleStep, u64)>;

fn schedules() -> impl Strategy<Value = Schedule> {
    let node = || 0..NODES;
    let step = prop_oneof![
        4 => (1..4_u64).prop_map(ScheduleStep::Publish),
        1 => Just(ScheduleStep::PublishBad),
        1 => node().prop_map(ScheduleStep::Kill),
        2 => node().prop_map(ScheduleStep::Start),
        1 => (node(), 1..10_000_u64).prop_map(|(node, ms)| ScheduleStep::Pause(node, ms)),
        1 => (node(), node()).prop_map(|(from, to)| ScheduleStep::Cut(from, to)),
        1 => (1..NODES).prop_map(ScheduleStep::Split),
        1 => Just(ScheduleStep::Heal),
        1 => any::<bool>().prop_map(ScheduleStep::Down),
        2 => any::<bool>().prop_map(ScheduleStep::Stale),
    ];
    proptest::collection::vec((step, 0..5_000_u64), 1..16)
}

/// A simulated region with the revisions published so far.
struct Run<S> {
    net: Site<S>,
    service: Shared,
    published: BTreeMap<Revision, Vec<Bytes>>,
    newest: Revision,
}

impl<S: TestReplicator> Run<S> {
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
        // A replica that turns stale serves the values from before the latest publication.
        if !service.serves_stale {
            service.snapshot_stale();
        }
        service.publish(self.newest, &contents);
        self.published.insert(self.newest, contents);
    }

    fn apply(&mut self, step: &ScheduleStep) {
        match *step {
            ScheduleStep::Publish(skip) => self.publish(skip, contents(self.newest + skip, 8)),
            ScheduleStep::PublishBad => self.publish(1, bad_contents()),
            ScheduleStep::Kill(index) => self.net.place(index, None),
            ScheduleStep::Start(index) => start(&mut self.net, index, &self.service),
            ScheduleStep::Pause(index, ms) => self.net.pause(index, Duration::from_millis(ms)),
            ScheduleStep::Cut(from, to) => self.net.cut(from, to),
            ScheduleStep::Split(at) => {
                let (a, b): (Vec<usize>, Vec<usize>) = (0..NODES).partition(|index| *index < at);
                self.net.split(&a, &b);
            }
            ScheduleStep::Heal => self.net.heal(),
            ScheduleStep::Down(down) => self.service.borrow_mut().down = down,
            ScheduleStep::Stale(stale) => self.service.borrow_mut().serves_stale = stale,
        }
    }

    /// Returns the invariant that a node violated, if any.
    fn violation(&self, plane: &ControlPlane<S>) -> Option<String> {
        let revisions = || plane.adopted.iter().map(|(_, revision)| *revision);
        if !revisions().is_sorted_by(|a, b| a < b) {
            let all: Vec<Revision> = revisions().collect();
            return Some(format!("{} went through {all:?}", plane.me));
        }
        let contents: Vec<Bytes> = plane
            .parts_in_force
            .iter()
            .map(|body| body.bytes.clone())
            .collect();
        let consistent =
            contents.is_empty() || self.published.get(&plane.revision()) == Some(&contents);
        (!consistent).then(|| format!("{} mixes revisions at {}", plane.me, plane.revision()))
    }

    /// Runs a schedule. Returns the first violation.
    fn run_schedule(&mut self, schedule: &Schedule) -> Result<(), String> {
        for (step, ms) in schedule {
            self.apply(step);
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
            .ok_or_else(|| format!("revision {newest} is not in force on every node"))
    }

    fn check(&self) -> Result<(), String> {
        let mut faults = self.net.nodes().filter_map(|plane| self.violation(plane));
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

/// Returns the first violation by an implementation under the generated schedules.
fn first_violation<S: TestReplicator>() -> Result<(), String> {
    let strategy = (0..1_000_u64, schedules());
    let result = TestRunner::new(config()).run(&strategy, |(seed, schedule)| {
        let result = Run::<S>::new(seed).run_schedule(&schedule);
        result.map_err(TestCaseError::fail)
    });
    result.map_err(|e| e.to_string())
}

#[test]
fn never_down() {
    assert_eq!(first_violation::<Replicator>(), Ok(()));
}

/// The check detects a node that accepts any revision the platform returns.
#[test]
fn gullible_caught() {
    let fault = first_violation::<Naive>().unwrap_err();
    assert!(fault.contains("went through"), "{fault}");
}

/// The check detects a node that discards its state when the platform returns an older revision.
#[test]
fn forgetful_caught() {
    let fault = first_violation::<StateDiscarding>().unwrap_err();
    assert!(fault.contains("went through"), "{fault}");
}

/// Without stale platform answers, the outcome equals that of the naive implementation.
#[test]
fn naive_outcome() {
    fn outcome<S: TestReplicator>(
        seed: u64,
        schedule: &Schedule,
    ) -> Result<Vec<Vec<Digest>>, String> {
        let mut run = Run::<S>::new(seed);
        run.run_schedule(schedule)?;
        let digest = |body: &PartContent| Digest::of(&body.bytes);
        let digests = |plane: &ControlPlane<S>| plane.parts_in_force.iter().map(digest).collect();
        Ok(run.net.nodes().map(digests).collect())
    }
    let strategy = (0..1_000_u64, schedules());
    let result = TestRunner::new(config()).run(&strategy, |(seed, mut schedule)| {
        schedule.retain(|(step, _)| !matches!(step, ScheduleStep::Stale(_)));
        let outcome = (
            outcome::<Replicator>(seed, &schedule),
            outcome::<Naive>(seed, &schedule),
        );
        prop_assert_eq!(&outcome.0, &outcome.1);
        Ok(())
    });
    assert_eq!(result.map_err(|e| e.to_string()), Ok(()));
}
