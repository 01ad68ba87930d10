//! Real `hyssopd` processes amid stand-ins, callers that ask them, and the evidence of a run.

#![allow(dead_code)]

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hyper::HeaderMap;
use hyssopscale::ops;
use node::core::Status;
use standin::caller::{Caller, Entry};
use standin::checker::{Ask, Breach, Evidence, Limits, Node, Outcome, What, check};
use standin::engine::{self, store};
use standin::fleet::{self, Fleet, Place};
use standin::log::now_us;
use standin::schedule::{self, Nodes, Schedule};
use standin::site;
use standin::workload::{Generator, Mix, Pace, drive};
use tempfile::TempDir;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// Settings that every node starts from.
const SETTINGS: &str = include_str!("../../../../examples/queensland.toml");

/// Name of the settings file among the logs.
const SETTINGS_FILE: &str = "settings.toml";

/// Name of the file among the logs that holds the evidence of a run.
const EVIDENCE_FILE: &str = "evidence.log";

/// Time for a process to serve, and for one that shuts down to end.
const PROCESS_LIMIT: Duration = Duration::from_secs(60);

/// Pause between two looks at a process.
const STEP: Duration = Duration::from_millis(50);

/// Pause between two looks at the revisions in force.
const OBSERVATION: Duration = Duration::from_millis(250);

/// Time that a caller waits for a whole answer; above the nodes' own time limit.
const CALLER_LIMIT: Duration = Duration::from_secs(40);

/// Time from the end of the faults to the end of the workload.
const AFTERMATH: Duration = Duration::from_secs(3);

/// Port of nodes with addresses of their own, at which they relay.
const RELAY_PORT: u16 = 9_085;

pub const CALLERS: usize = 6;
pub const ADAPTERS: usize = 24;

/// A run to make.
pub struct Run {
    pub schedule: Schedule,
    pub span: Duration,
    pub seed: u64,
}

/// A mistake in what the nodes are told, which has to break a promise.
#[derive(Clone, Copy)]
pub struct Plant {
    /// Text of the rules, and what stands in its place.
    pub rules: (&'static str, &'static str),
    /// Settings that go before the others.
    pub settings: &'static [(&'static str, &'static str)],
}

/// No mistake.
pub const SOUND: Plant = Plant {
    rules: ("", ""),
    settings: &[],
};

/// The processes of the nodes, and their surroundings.
pub struct Cluster {
    pub fleet: Fleet,
    pub processes: Processes,
    plant: Plant,
}

pub struct Processes {
    places: Vec<Place>,
    children: Vec<Slot>,
    logs: TempDir,
    settings: &'static [(&'static str, &'static str)],
}

/// One node's process, with what is known of its starts.
#[derive(Clone, Default)]
struct Slot(Arc<Mutex<Started>>);

#[derive(Default)]
struct Started {
    child: Option<Child>,
    serves: Vec<Node>,
}

pub fn rules(comment: &str) -> String {
    let mut lines = vec![
        "base traction-base store weights".to_owned(),
        "pool advice base traction-base".to_owned(),
        "pool lending-desk service".to_owned(),
        "limit * rate 1000 burst 1000 concurrent 1000".to_owned(),
        "route to named".to_owned(),
        "service lending pool lending-desk path /lending/checkouts methods POST once".to_owned(),
        "service lending pool lending-desk path /lending/* methods GET,HEAD".to_owned(),
    ];
    lines
        .extend((1..=CALLERS).map(|number| format!("caller c{number} trade desk priority urgent")));
    lines.extend((1..=ADAPTERS).map(|number| {
        format!("adapter fit-{number} base traction-base version v1 path fit-{number}/v1")
    }));
    lines
        .iter()
        .map(|line| format!("{line} # {comment}\n"))
        .collect()
}

impl Cluster {
    pub async fn start(seed: u64) -> Self {
        Self::start_with(seed, true).await
    }

    /// Starts a cluster; without links to upstreams, one that is down refuses connections.
    pub async fn start_with(seed: u64, link_upstreams: bool) -> Self {
        Self::start_planted(seed, link_upstreams, SOUND).await
    }

    /// Starts a cluster of nodes that are told something wrong.
    pub async fn start_planted(seed: u64, link_upstreams: bool, plant: Plant) -> Self {
        Self::start_site(seed, link_upstreams, plant, site_config()).await
    }

    /// Starts a cluster before engines of several releases.
    pub async fn start_released(seed: u64, releases: &[&str]) -> Self {
        let site = site::Config {
            releases: releases.iter().map(ToString::to_string).collect(),
            ..site_config()
        };
        Self::start_site(seed, true, SOUND, site).await
    }

    async fn start_site(seed: u64, link_upstreams: bool, plant: Plant, site: site::Config) -> Self {
        let config = fleet::Config {
            site,
            link_upstreams,
            seed,
            ..fleet::Config::default()
        };
        Self::start_over(Fleet::start(config).await.unwrap(), plant).await
    }

    /// Starts the nodes of a fleet.
    pub async fn start_over(fleet: Fleet, plant: Plant) -> Self {
        let mut cluster = Self {
            processes: Processes::new(&fleet, plant.settings),
            fleet,
            plant,
        };
        cluster.publish(1, "Tests: first revision");
        for node in 0..cluster.fleet.places.len() {
            cluster.processes.spawn(node);
        }
        for node in 0..cluster.fleet.places.len() {
            cluster.processes.wait_ready(node).await;
        }
        cluster.processes.wait_claims().await;
        cluster
    }

    /// Publishes the rules under a revision of the operators' own.
    pub fn publish(&mut self, revision: u64, comment: &str) -> Node {
        let (sound, planted) = self.plant.rules;
        let text = match sound {
            "" => rules(comment),
            _ => rules(comment).replace(sound, planted),
        };
        let files = [("test.rules".to_owned(), text)];
        for value in ops::pack::values("hyssopscale/", revision, files).unwrap() {
            self.fleet.publish(&value.key, value.body);
        }
        let at_us = now_us();
        Node::Published { revision, at_us }
    }

    pub fn entries(&self) -> Vec<Entry> {
        let places = self.fleet.places.iter();
        places.map(entry).collect()
    }

    /// Makes a run of callers under a schedule of faults.
    pub async fn run(&mut self, run: &Run) -> Evidence {
        let mut nodes = Vec::new();
        let (stop, stopped) = watch::channel(false);
        let observing = tokio::spawn(observe(self.fleet.places.clone(), stopped));
        let pace = pace(run);
        let mut callers = Vec::new();
        for number in 1..=CALLERS {
            callers.push(self.caller(number, run.seed, pace).await);
        }
        nodes.push(self.publish(2, "Tests: second revision"));
        nodes.extend(schedule::run(&run.schedule, &self.fleet, &mut self.processes).await);
        let mut asks = Vec::new();
        for caller in callers {
            asks.extend(caller.await.unwrap());
        }
        stop.send_replace(true);
        nodes.extend(observing.await.unwrap());
        nodes.extend(self.processes.serves());
        let entries = self.fleet.site.entries();
        Evidence {
            entries,
            asks,
            nodes,
        }
    }

    async fn caller(&self, number: usize, seed: u64, pace: Pace) -> JoinHandle<Vec<Ask>> {
        let name = format!("c{number}");
        let caller = Caller::new(&*name, HeaderMap::new(), CALLER_LIMIT);
        let mix = mix(self.key_prefix(&caller).await);
        let generator = Generator::new(mix, name, seed * 1_000 + number as u64);
        tokio::spawn(drive(caller, generator, self.entries(), pace))
    }

    pub async fn key_prefix(&self, caller: &Caller) -> String {
        let text = get(caller, &self.entries()[0], "/v1/addresses")
            .await
            .unwrap();
        let document: serde_json::Value = serde_json::from_str(&text).unwrap();
        document["key_prefix"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }
}

impl Slot {
    fn lock(&self) -> MutexGuard<'_, Started> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a process; the former one must have ended.
    fn spawn(&self, place: &Place, logs: &Path, settings: &[(&'static str, &'static str)]) {
        let mut started = self.lock();
        let number = started.serves.len() + 1;
        let log = File::create(logs.join(format!("{}-{number}.log", place.vm))).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_hyssopd"));
        command.arg("--settings").arg(logs.join(SETTINGS_FILE));
        for (key, value) in overrides(place) {
            command.arg("--set").arg(format!("{key}={value}"));
        }
        for (key, value) in paths(place) {
            command.arg("--set").arg(format!("{key}={value}"));
        }
        for (key, value) in settings {
            command.arg("--set").arg(format!("{key}={value}"));
        }
        let child = command
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        started.child = Some(child);
        started.serves.push(Node::Serves {
            node: place.vm.clone(),
            at_us: now_us(),
        });
    }

    fn has_ended(&self) -> bool {
        match &mut self.lock().child {
            Some(child) => child.try_wait().unwrap().is_some(),
            None => true,
        }
    }

    async fn wait_end(&self) {
        let limit = Instant::now() + PROCESS_LIMIT;
        while !self.has_ended() {
            assert!(Instant::now() < limit, "a node does not end");
            sleep(STEP).await;
        }
    }
}

impl Processes {
    fn new(fleet: &Fleet, settings: &'static [(&'static str, &'static str)]) -> Self {
        let logs = TempDir::new().unwrap();
        std::fs::write(logs.path().join(SETTINGS_FILE), SETTINGS).unwrap();
        Self {
            places: fleet.places.clone(),
            children: fleet.places.iter().map(|_| Slot::default()).collect(),
            logs,
            settings,
        }
    }

    fn spawn(&mut self, node: usize) {
        self.children[node].spawn(&self.places[node], self.logs.path(), self.settings);
    }

    /// Returns when each process was started.
    pub fn serves(&self) -> Vec<Node> {
        let slots = self.children.iter();
        slots.flat_map(|slot| slot.lock().serves.clone()).collect()
    }

    async fn wait_ready(&self, node: usize) {
        let limit = Instant::now() + PROCESS_LIMIT;
        while Instant::now() < limit {
            if status(&self.places[node])
                .await
                .is_some_and(|status| status.ready)
            {
                return;
            }
            sleep(STEP).await;
        }
        panic!(
            "{} does not serve within {PROCESS_LIMIT:?}",
            self.places[node].vm
        );
    }

    /// Waits until every node can decide calls that may not be repeated.
    async fn wait_claims(&self) {
        let limit = Instant::now() + PROCESS_LIMIT;
        for place in &self.places {
            while !status(place)
                .await
                .is_some_and(|status| status.claims_ready)
            {
                assert!(Instant::now() < limit, "{} knows no witnesses", place.vm);
                sleep(STEP).await;
            }
        }
    }

    /// Returns where the logs are.
    pub fn logs(&self) -> &Path {
        self.logs.path()
    }

    /// Writes what is known of a run to a file among the logs: an entry, a request or a node a line.
    pub fn keep_evidence(&self, evidence: &Evidence) {
        let entries = evidence.entries.iter().map(|entry| format!("{entry:?}\n"));
        let asks = evidence.asks.iter().map(|ask| format!("{ask:?}\n"));
        let nodes = evidence.nodes.iter().map(|node| format!("{node:?}\n"));
        let lines: String = entries.chain(asks).chain(nodes).collect();
        std::fs::write(self.logs.path().join(EVIDENCE_FILE), lines).unwrap();
    }

    /// Lets the logs stay after the run and returns where they are.
    pub fn keep_logs(&mut self) -> String {
        self.logs.disable_cleanup(true);
        self.logs.path().display().to_string()
    }

    fn signal(&self, node: usize, signal: &str) {
        if let Some(child) = &self.children[node].lock().child {
            let pid = child.id().to_string();
            Command::new("kill").args([signal, &pid]).status().unwrap();
        }
    }
}

impl Nodes for Processes {
    async fn pause(&mut self, node: usize) {
        self.signal(node, "-STOP");
    }

    async fn resume(&mut self, node: usize) {
        self.signal(node, "-CONT");
    }

    async fn kill(&mut self, node: usize) {
        self.signal(node, "-KILL");
    }

    async fn shutdown(&mut self, node: usize) {
        self.signal(node, "-TERM");
    }

    /// The schedule goes on meanwhile: a node that shuts down takes its time, and a new one may
    /// need what a later event brings back.
    async fn start(&mut self, node: usize) {
        let (slot, place) = (self.children[node].clone(), self.places[node].clone());
        let (logs, settings) = (self.logs.path().to_owned(), self.settings);
        tokio::spawn(async move {
            slot.wait_end().await;
            slot.spawn(&place, &logs, settings);
        });
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        for slot in &self.children {
            if let Some(child) = &mut slot.lock().child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        // The logs of a failed run stay, for whoever looks into it.
        if std::thread::panicking() {
            eprintln!("logs of the nodes: {}", self.keep_logs());
        }
    }
}

fn overrides(place: &Place) -> Vec<(&'static str, String)> {
    vec![
        ("vm.id", place.vm.clone()),
        ("vm.zone", place.zone.clone()),
        ("listen.callers", place.callers.to_string()),
        ("listen.peers", place.peers.to_string()),
        ("listen.operators", place.operators.to_string()),
        ("platform.addresses", place.platform.to_string()),
        ("platform.poll", "500ms".into()),
        ("time.address_ttl", "1s".into()),
        ("time.deadline", "15s".into()),
        ("time.drain", "30s".into()),
        ("trust.caller_header", "true".into()),
        ("store.weights.loads_per_second", "8".into()),
    ]
}

/// Settings of nodes with addresses of their own, which open connections to upstreams for each other.
fn paths(place: &Place) -> Vec<(&'static str, String)> {
    let own = place.peers.ip();
    if own == Ipv4Addr::LOCALHOST {
        return Vec::new();
    }
    vec![
        ("listen.source", own.to_string()),
        ("listen.relay", SocketAddr::new(own, RELAY_PORT).to_string()),
    ]
}

fn entry(place: &Place) -> Entry {
    Entry {
        node: place.vm.clone(),
        address: place.callers,
    }
}

async fn get(caller: &Caller, entry: &Entry, path: &str) -> Option<String> {
    let what = What::Call {
        method: "GET".into(),
        path: path.into(),
        key: None,
        body: String::new(),
        repeatable: true,
    };
    match caller.ask(entry, what).await.outcome {
        Outcome::Answered(text) => Some(text),
        _ => None,
    }
}

pub async fn status(place: &Place) -> Option<Status> {
    let fetched = timeout(Duration::from_secs(1), ops::status::fetch(place.operators));
    fetched.await.ok()?.ok()
}

async fn observe(places: Vec<Place>, stopped: watch::Receiver<bool>) -> Vec<Node> {
    let places = Arc::new(places);
    let tasks: Vec<_> = (0..places.len())
        .map(|index| tokio::spawn(observe_one(places.clone(), index, stopped.clone())))
        .collect();
    let mut seen = Vec::new();
    for task in tasks {
        seen.extend(task.await.unwrap());
    }
    seen
}

async fn observe_one(
    places: Arc<Vec<Place>>,
    index: usize,
    stopped: watch::Receiver<bool>,
) -> Vec<Node> {
    let mut seen = Vec::new();
    while !*stopped.borrow() {
        // The answer is not older than its question: an answer that comes late, after a pause,
        // does not count as late news.
        let at_us = now_us();
        let revision = status(&places[index])
            .await
            .and_then(|status| status.revision);
        seen.extend(revision.map(|revision| Node::InForce {
            node: places[index].vm.clone(),
            revision,
            at_us,
        }));
        sleep(OBSERVATION).await;
    }
    seen
}

/// Counts of the outcomes, in a line.
pub fn summary(evidence: &Evidence) -> String {
    let count = |is: &dyn Fn(&Ask) -> bool| evidence.asks.iter().filter(|ask| is(ask)).count();
    let keyed = |ask: &Ask| {
        matches!(
            ask.what,
            What::Call {
                repeatable: false,
                ..
            }
        )
    };
    format!(
        "asks {} answered {} not-run {} unknown {} (of calls once {}) failed {} cut {} dropped {} \
         unreached {}",
        evidence.asks.len(),
        count(&|ask| matches!(ask.outcome, Outcome::Answered(_))),
        count(&|ask| ask.outcome == Outcome::NotRun),
        count(&|ask| ask.outcome == Outcome::Unknown),
        count(&keyed),
        count(&|ask| ask.outcome == Outcome::Failed),
        count(&|ask| matches!(ask.outcome, Outcome::Cut(_))),
        count(&|ask| ask.outcome == Outcome::Dropped),
        count(&|ask| ask.outcome == Outcome::Unreached),
    )
}

pub fn site_config() -> site::Config {
    site::Config {
        region: "qld-south".into(),
        zones: ["stanthorpe", "warwick", "toowoomba"]
            .map(str::to_owned)
            .to_vec(),
        engine_pool: "advice".into(),
        service_pool: "lending-desk".into(),
        store: store::Config {
            rate: 8.0,
            ..store::Config::default()
        },
        engine: engine::Config {
            base: "traction-base".into(),
            slots: 4,
            ..engine::Config::new("engine")
        },
        ..site::Config::default()
    }
}

/// What every caller asks for.
pub fn mix(key_prefix: String) -> Mix {
    Mix {
        models: (1..=ADAPTERS)
            .map(|number| format!("fit-{number}@v1"))
            .collect(),
        skew: 1.0,
        completions: 0.5,
        urgent: 0.3,
        tokens: 40,
        checkout: "/lending/checkouts".into(),
        lookup: "/lending/stock".into(),
        checkouts: 0.6,
        key_prefix,
    }
}

/// How every caller goes on.
pub fn pace(run: &Run) -> Pace {
    Pace {
        pause: Duration::from_millis(20),
        retry: Duration::from_millis(100),
        tries: 4,
        span: run.span + AFTERMATH,
    }
}

/// Returns the requests with an outcome that `is` tells.
pub fn with(evidence: &Evidence, is: impl Fn(&Outcome) -> bool) -> Vec<&Ask> {
    let asks = evidence.asks.iter();
    asks.filter(|ask| is(&ask.outcome)).collect()
}

pub fn breaches(evidence: &Evidence) -> Vec<Breach> {
    check(evidence, &Limits::default())
}
