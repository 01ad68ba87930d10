//! A site of real nodes, with faults from outside: signals, cut and silent links, upstreams that
//! misbehave as the platform's pages allow.
//!
//! - `process` runs the nodes and sends them signals.
//! - `upstream` is what runs the requests, and its log.
//! - `caller` asks, on connections that it keeps.
//! - `relay` cuts nodes off from upstreams, and `post` from each other.
//! - `fault` draws what happens from a seed and does it.
//! - `check` compares the logs of callers and upstreams.

mod caller;
mod check;
#[path = "../../../../platform/tests/support/config.rs"]
mod config;
mod fault;
mod post;
mod process;
#[path = "../../../../platform/tests/support/raw.rs"]
mod raw;
mod relay;
#[path = "../../../../platform/tests/support/store.rs"]
mod store;
mod upstream;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::Value;
use standin::http::{Connections, Server};
use standin::proxy::{Fault, Proxy};
use tempfile::TempDir;
use tokio::time::{Instant, sleep};

use caller::{Caller, Kind, get};
use check::Evidence;
use post::Post;
use process::{GRACE, Process, SETTLING, Settings};
use relay::Relay;
use store::Store;
use upstream::{Config, Log, Manner, PLACES, POOLS, Upstream};

/// Requests that an engine runs at a time, and a service.
const ENGINE_SLOTS: u32 = 8;
const DESK_SLOTS: u32 = 6;

/// Upstreams of each pool.
const UPSTREAMS: usize = 3;

/// Last parts of the addresses of upstreams, from this on, and of the store.
const FIRST_UPSTREAM_HOST: usize = 100;
const STORE_HOST: usize = 250;

/// Last parts of the addresses of machines that are gone.
const LOST_SEED_HOSTS: [usize; 3] = [240, 241, 242];

/// Sites that this process has started, and how many have addresses of their own at a time.
static SITES: AtomicU64 = AtomicU64::new(0);
const SITES_MAX: u64 = 200;

/// Time in which nodes that find no other one claim engines.
const LONE_CLAIMS: Duration = Duration::from_secs(24);

/// Time in which nodes whose settings name them to each other find each other.
const DISCOVERY_LIMIT: Duration = Duration::from_secs(4);

/// Time for the nodes to serve.
const START_LIMIT: Duration = Duration::from_secs(30);

/// Time without faults at the end, in which everything has to be served again.
const AFTERMATH: Duration = Duration::from_secs(9);

/// Time for which it is longer where requests crash what runs them. Sound requests have to be served
/// from two stable windows after the last crash, and culprits that crash upstreams together are
/// recognized one after the other.
const RECOGNITION: Duration = Duration::from_secs(12);

/// Path of requests that may run once, and that upstreams may leave without an answer.
const UNANSWERED: &str = "/once/x";

/// Time in which the requests of callers fill the pipe of a log that nobody reads.
const LOG_FILLS: Duration = Duration::from_secs(4);

/// Returns the last part of a node's address, beside those of upstreams and the store.
fn node_host(number: usize) -> usize {
    if number < FIRST_UPSTREAM_HOST - 1 {
        number + 1
    } else {
        number + 1 + 2 * UPSTREAMS
    }
}

/// A run to make.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub seed: u64,
    pub nodes: usize,
    /// Time in which faults begin.
    pub span: Duration,
    pub callers: usize,
    /// Further callers that ask without pause until the faults have settled.
    pub crowd: usize,
    /// Longest pause of a caller between two requests.
    pub think: Duration,
    /// Whether nobody reads the log of one node.
    pub unread_log: bool,
    /// Whether engines refuse old fencing numbers.
    pub fenced: bool,
    /// Callers whose request crashes what runs it.
    pub villains: usize,
    /// Callers whose requests have a part of the prompt in common that crashes what runs them.
    pub part_villains: usize,
    /// Whether requests that their callers send again and again share a middle part that few others
    /// have.
    pub shared_middles: bool,
    /// Whether upstreams announce rates.
    pub rates: bool,
    /// Whether the store comes back from older copies.
    pub restores: bool,
    /// Whether upstreams of two releases serve side by side.
    pub releases: bool,
    pub extra: Extra,
}

/// Faults that are drawn beside the others.
#[derive(Clone, Copy, Debug, Default)]
pub struct Extra {
    /// Whether nodes are cut off from upstreams.
    pub cuts: bool,
    /// Whether nodes stay in touch: their processes and the store have no faults.
    pub in_touch: bool,
    /// Whether nodes are cut off from each other.
    pub peer_cuts: bool,
    /// Whether requests wait at upstreams, which are brittle for some time.
    pub brittle: bool,
    /// Whether sound upstreams are silent for about a second.
    pub silences: bool,
    /// Whether some answers have no length and end with their connections.
    pub open_ended: bool,
    /// Whether entries of upstreams that serve on are removed, also behind a gap of the store's watches.
    pub removals: bool,
    /// Whether the seeds that nodes start under are all gone.
    pub lost_seeds: bool,
}

impl Plan {
    /// Returns the time without faults at the end.
    fn aftermath(&self) -> Duration {
        if self.villains + self.part_villains > 0 {
            AFTERMATH + RECOGNITION
        } else {
            AFTERMATH
        }
    }
}

/// The site.
pub struct Site {
    pub nodes: Vec<Process>,
    pub store: Arc<Store>,
    /// Versions of the configuration, and when each was published.
    pub versions: Mutex<Vec<(u64, Instant)>>,
    pub upstreams: Vec<Arc<Upstream>>,
    /// Links to the upstreams.
    pub links: Vec<Proxy>,
    /// Relays before these links, where nodes are cut off from upstreams.
    pub relays: Vec<Arc<Relay>>,
    /// The relay between nodes, where they are cut off from each other.
    pub post: Option<Arc<Post>>,
    /// Links from each node to the store.
    pub store_links: Vec<Proxy>,
    /// Whether the nodes never hear of each other.
    pub knows_nobody: bool,
    log: Log,
    /// When the nodes were first started.
    started: Instant,
    _store_server: Server,
    logs: Mutex<TempDir>,
}

impl Site {
    /// Starts the upstreams, and nodes at addresses that belong to the process and the site.
    async fn start(plan: Plan) -> Self {
        let process = std::process::id() % 250;
        let site = SITES.fetch_add(1, Ordering::Relaxed) % SITES_MAX;
        let net = format!("127.{}.{process}", 16 + site);
        let address = |host: usize, port: u16| -> SocketAddr {
            format!("{net}.{host}:{port}").parse().unwrap()
        };
        let store = Arc::new(Store::default());
        let served = Server::start(
            address(STORE_HOST, 9000),
            store.clone(),
            Connections::default(),
        );
        let store_server = served.await.unwrap();
        let log = Log::default();
        let (mut upstreams, mut links, mut relays) = (Vec::new(), Vec::new(), Vec::new());
        for (pool, slots) in [(POOLS[0], ENGINE_SLOTS), (POOLS[1], DESK_SLOTS)] {
            for number in 0..UPSTREAMS {
                let host = FIRST_UPSTREAM_HOST + upstreams.len();
                let (listen, linked) = (address(host, 9000), address(host, 9001));
                let link = Proxy::start(linked, listen, Fault::default(), plan.seed).await;
                links.push(link.unwrap());
                let mut reached = linked;
                if plan.extra.cuts {
                    reached = address(host, 9002);
                    relays.push(Relay::start(reached, linked).await);
                }
                let config = Config {
                    pool,
                    number,
                    slots,
                    room: if plan.extra.brittle { slots } else { 0 },
                    listen,
                    address: reached,
                    store: store.clone(),
                    log: log.clone(),
                    seed: plan.seed * 16 + host as u64,
                    fenced: plan.fenced,
                    releases: plan.releases,
                    open_ended: plan.extra.open_ended,
                };
                upstreams.push(Upstream::start(config).await);
            }
        }
        store.put("op/config", &versioned(1));
        let logs = TempDir::new().unwrap();
        let bound = |number: usize| address(node_host(number), 8144);
        let told = |number: usize| {
            address(
                node_host(number),
                if plan.extra.peer_cuts { 8145 } else { 8144 },
            )
        };
        let seeds = if plan.extra.lost_seeds {
            LOST_SEED_HOSTS.map(|host| address(host, 8144))
        } else {
            [0, 1, 2].map(told)
        };
        let seeds = seeds.map(|seed| seed.to_string());
        let stations: Vec<_> = (0..plan.nodes)
            .map(|node| (bound(node), told(node)))
            .collect();
        let post = if plan.extra.peer_cuts {
            Some(Post::start(&stations).await)
        } else {
            None
        };
        let (mut nodes, mut store_links) = (Vec::new(), Vec::new());
        for number in 0..plan.nodes {
            let host = node_host(number);
            let linked = address(host, 9001);
            let link = Proxy::start(
                linked,
                address(STORE_HOST, 9000),
                Fault::default(),
                plan.seed,
            )
            .await;
            store_links.push(link.unwrap());
            let ip = format!("{net}.{host}");
            let unread = plan.unread_log && number == plan.nodes - 1;
            let settings = Settings {
                store: linked,
                fenced: plan.fenced,
                own_source: plan.extra.cuts,
                advertise: plan.extra.peer_cuts.then(|| told(number)),
            };
            let node = Process::new(number, &ip, &seeds, settings, logs.path(), unread);
            nodes.push(node);
        }
        nodes.iter().for_each(Process::start);
        let started = Instant::now();
        Self {
            knows_nobody: plan.extra.lost_seeds,
            started,
            nodes,
            versions: Mutex::new(vec![(1, Instant::now())]),
            store,
            upstreams,
            links,
            relays,
            post,
            store_links,
            log,
            _store_server: store_server,
            logs: Mutex::new(logs),
        }
    }

    /// Lets the logs stay after the run and returns where they are.
    fn keep_logs(&self) -> String {
        let mut logs = self.logs.lock().unwrap();
        logs.disable_cleanup(true);
        logs.path().display().to_string()
    }

    async fn wait_ready(&self) {
        let limit = Instant::now() + START_LIMIT;
        for node in self.nodes.iter() {
            let front = node.addresses.front;
            while get(front, "/read/x", Duration::from_secs(1))
                .await
                .is_none_or(|(status, _)| status != 200)
            {
                assert!(Instant::now() < limit, "vm-{} does not serve", node.number);
                sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// Makes a run and returns the rules that it broke.
pub async fn run(plan: Plan) -> Vec<String> {
    let site = Arc::new(Site::start(plan).await);
    site.wait_ready().await;
    if plan.extra.lost_seeds {
        sleep(LONE_CLAIMS).await;
    }
    let began = Instant::now();
    let end = began + plan.span + plan.aftermath();
    let addresses: Vec<_> = site.nodes.iter().map(|node| node.addresses).collect();
    let addresses = Arc::new(addresses);
    let crowded_until = began + plan.span + SETTLING;
    let callers: Vec<_> = (0..plan.callers + plan.crowd)
        .map(|number| {
            let seed = plan.seed * 1_000 + number as u64;
            let mut caller = Caller::new(format!("c{number}"), addresses.clone(), seed);
            caller.shared_middles = plan.shared_middles;
            let (until, think) = if number < plan.callers {
                (end, plan.think)
            } else {
                (crowded_until, Duration::from_millis(1))
            };
            tokio::spawn(caller.run(until, think))
        })
        .collect();
    let villains: Vec<_> = (0..plan.villains)
        .map(|number| {
            let seed = plan.seed * 1_000 + 500 + number as u64;
            let mut villain = Caller::new(format!("v{number}"), addresses.clone(), seed);
            villain.shared_middles = plan.shared_middles;
            let kind = Kind::ALL[(plan.seed as usize + number) % Kind::ALL.len()];
            tokio::spawn(villain.offend(kind, end))
        })
        .collect();
    let part_villains: Vec<_> = (0..plan.part_villains)
        .map(|number| {
            let seed = plan.seed * 1_000 + 600 + number as u64;
            let villain = Caller::new(format!("p{number}"), addresses.clone(), seed);
            tokio::spawn(villain.offend_by_part(began + plan.span / 4, end))
        })
        .collect();
    let probing = check::probe(&site, end);
    let faults = fault::run(&site, plan);
    let (probes, events) = tokio::join!(probing, faults);
    let mut asks = Vec::new();
    for caller in callers {
        asks.extend(caller.await.unwrap());
    }
    let mut offences = Vec::new();
    for villain in villains {
        offences.extend(villain.await.unwrap());
    }
    let mut part_offences = Vec::new();
    for villain in part_villains {
        part_offences.extend(villain.await.unwrap());
    }
    // Requests that were held back somewhere reach an upstream after all.
    sleep(Duration::from_secs(1)).await;
    let mut breaches = site.log.misorders.lock().unwrap().clone();
    breaches.extend(site.nodes.iter().flat_map(Process::finish));
    let evidence = Evidence {
        asks,
        offences,
        part_offences,
        runs: site.log.runs.lock().unwrap().clone(),
        arrivals: site.log.arrivals.lock().unwrap().clone(),
        orders: site.log.orders.lock().unwrap().clone(),
        falls: site.log.falls.lock().unwrap().clone(),
        words: site.log.words.lock().unwrap().clone(),
        crashes: site.log.crashes.lock().unwrap().clone(),
        services: site.log.services.lock().unwrap().clone(),
        probes,
        events,
        started: site.started,
        faulty_until: began + plan.span,
        end,
    };
    breaches.extend(check::check(&evidence, &site));
    println!("seed {}: {}", plan.seed, evidence.summary());
    let notes = [
        check::path::summary(&evidence, &site),
        check::brittle::summary(&evidence, &site),
        check::silence::summary(&evidence),
    ];
    for line in notes.concat() {
        println!("seed {}: {line}", plan.seed);
    }
    if !breaches.is_empty() {
        println!("logs of the nodes: {}", site.keep_logs());
        println!("events: {:#?}", evidence.story());
    }
    breaches
}

/// Shuts a node down whose log nobody reads, while it has requests that upstreams never answer. Returns the
/// rules that it broke.
pub async fn stop_unread(plan: Plan) -> Vec<String> {
    let site = Site::start(plan).await;
    site.wait_ready().await;
    let node = &site.nodes[plan.nodes - 1];
    let asks = |path: &'static str, until: Instant| {
        let front = node.addresses.front;
        tokio::spawn(async move {
            while Instant::now() < until {
                let asked = get(front, path, GRACE);
                if path == UNANSWERED {
                    // It goes on beside the next one.
                    tokio::spawn(asked);
                    sleep(Duration::from_millis(50)).await;
                } else {
                    asked.await;
                }
            }
        })
    };
    let full = Instant::now() + LOG_FILLS;
    let filling: Vec<_> = (0..plan.callers).map(|_| asks("/read/x", full)).collect();
    for task in filling {
        task.await.unwrap();
    }
    let mute = Manner {
        mute: 1.0,
        ..Manner::default()
    };
    site.upstreams
        .iter()
        .for_each(|upstream| upstream.set(mute));
    let asking = asks(UNANSWERED, Instant::now() + GRACE);
    node.replace(Duration::ZERO).await;
    asking.abort();
    node.finish()
}

/// How nodes are told that their settings have changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    Signal,
    /// The file changes, and nothing else.
    Nothing,
}

/// Starts nodes under seeds that are all gone, and names them to each other in their settings. Returns how many nodes
/// each one tells callers of after [`DISCOVERY_LIMIT`].
pub async fn name_seeds(plan: Plan, notice: Notice) -> Vec<usize> {
    let site = Site::start(plan).await;
    site.wait_ready().await;
    let seeds = site.nodes.iter().take(3);
    let seeds: Vec<String> = seeds
        .map(|node| SocketAddr::new(node.addresses.front.ip(), 8144).to_string())
        .collect();
    for node in &site.nodes {
        node.write_seeds(&seeds);
        if notice == Notice::Signal {
            node.hang_up();
        }
    }
    sleep(DISCOVERY_LIMIT).await;
    let mut told = Vec::new();
    for node in &site.nodes {
        let asked = get(node.addresses.directory, "/resolve?zone=z", GRACE).await;
        let text = asked.map(|(_, text)| text).unwrap_or_default();
        let answer: Value = serde_json::from_str(&text).unwrap_or_default();
        told.push(answer["addresses"].as_array().map_or(0, Vec::len));
    }
    told
}

/// Returns a configuration with a route of its own for each version.
pub fn versioned(version: u64) -> Value {
    let mut routes = config::routes();
    let prefix = format!("/v{version}/");
    routes.push(config::route(&prefix, "idempotent", "desk", false));
    config::config(version, &routes, ENGINE_SLOTS, PLACES)
}
