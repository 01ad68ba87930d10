//! Nodes and stand-ins in the test's own process, on sockets of the loopback interface.

#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hyssopscale::ops::pack;
use node::Node;
use platform::{Member, Role, State};
use settings::Settings;
use standin::site::{self, Site};
use standin::{engine, log::Entry};

const SETTINGS: &str = include_str!("../../../../examples/queensland.toml");
pub const RULES: &str = include_str!("../../../../examples/queensland.rules");
const ZONES: [&str; 3] = ["stanthorpe", "warwick", "toowoomba"];
const START_LIMIT: Duration = Duration::from_secs(60);
const STEP: Duration = Duration::from_millis(20);

pub struct Local {
    pub site: Site,
    pub nodes: Vec<Node>,
}

impl Local {
    /// Starts nodes by the example settings with `overrides`, and waits until they serve.
    pub async fn start(count: usize, overrides: &[(&str, &str)]) -> Self {
        let config = site::Config {
            region: "qld-south".into(),
            zones: ZONES.map(str::to_owned).to_vec(),
            engines: 3,
            services: 2,
            engine_pool: "advice".into(),
            service_pool: "lending-desk".into(),
            engine: engine::Config {
                base: "traction-base".into(),
                slots: 4,
                ..engine::Config::new("engine")
            },
            ..site::Config::default()
        };
        let site = Site::start(config).await.unwrap();
        let mut local = Self {
            site,
            nodes: Vec::new(),
        };
        local.publish(1, RULES);
        for index in 0..count {
            local.start_node(index, overrides).await;
        }
        local
            .wait(|local| local.nodes.iter().all(Node::ready))
            .await;
        local
    }

    pub fn publish(&self, revision: u64, rules: &str) {
        let files = [("test.rules".to_owned(), rules.to_owned())];
        for value in pack::values("hyssopscale/", revision, files).unwrap() {
            self.site
                .platform
                .state()
                .publish(value.key, value.body, None);
        }
    }

    pub async fn start_node(&mut self, index: usize, overrides: &[(&str, &str)]) {
        let vm = format!("qld-vm-{}", index + 1);
        let zone = ZONES[index % ZONES.len()];
        let platform = self.site.platform.address().to_string();
        let own = [
            ("vm.id", vm.as_str()),
            ("vm.zone", zone),
            ("listen.callers", "127.0.0.1:0"),
            ("listen.peers", "127.0.0.1:0"),
            ("listen.operators", "127.0.0.1:0"),
            ("platform.addresses", &platform),
            ("platform.poll", "100ms"),
            ("trust.caller_header", "true"),
        ];
        let pairs = own.iter().chain(overrides);
        let pairs = pairs.map(|(key, value)| ((*key).to_owned(), (*value).to_owned()));
        let node = Node::start(Settings::parse_with(SETTINGS, pairs).unwrap());
        let node = node.await.unwrap();
        let addresses = node.addresses();
        self.site.platform.state().merge_members([Member {
            vm: vm.as_str().into(),
            role: Role::Entry {
                callers: addresses.callers,
                peers: addresses.peers,
            },
            region: "qld-south".into(),
            zone: zone.into(),
            state: State::Live,
        }]);
        self.nodes.push(node);
    }

    /// Waits until `holds`.
    pub async fn wait(&self, holds: impl Fn(&Self) -> bool) {
        let limit = Instant::now() + START_LIMIT;
        while !holds(self) {
            assert!(Instant::now() < limit, "not so within {START_LIMIT:?}");
            tokio::time::sleep(STEP).await;
        }
    }

    /// Waits until every node can decide calls that may not be repeated.
    pub async fn wait_claims(&self) {
        let limit = Instant::now() + START_LIMIT;
        for node in &self.nodes {
            while !node.core().status().await.is_some_and(|s| s.claims_ready) {
                assert!(Instant::now() < limit, "no quorum within {START_LIMIT:?}");
                tokio::time::sleep(STEP).await;
            }
        }
    }

    pub fn callers(&self, node: usize) -> SocketAddr {
        self.nodes[node].addresses().callers
    }

    pub fn operators(&self) -> Vec<String> {
        let nodes = self.nodes.iter();
        nodes
            .map(|node| node.addresses().operators.to_string())
            .collect()
    }

    /// Returns what reached engines and services.
    pub fn entries(&self) -> Vec<Entry> {
        self.site.entries()
    }
}

/// What a run of the operator client gave.
#[derive(Debug)]
pub struct Ran {
    pub code: i32,
    pub out: String,
    pub err: String,
}

impl Ran {
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.out).unwrap_or_else(|_| panic!("{self:?}"))
    }
}

/// Runs `hyssopctl` and waits for its end.
pub fn run(arguments: &[&str]) -> Ran {
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_hyssopctl"));
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
    let output = command.args(arguments).current_dir(root).output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    Ran {
        code: output.status.code().unwrap(),
        out: text(output.stdout),
        err: text(output.stderr),
    }
}

/// Runs `hyssopctl` with `--node` and every node's address behind `arguments`.
pub async fn ask(local: &Local, arguments: &[&str]) -> Ran {
    let mut words: Vec<String> = arguments.iter().map(|word| (*word).to_owned()).collect();
    words.push("--node".to_owned());
    words.extend(local.operators());
    let run = move || run(&words.iter().map(String::as_str).collect::<Vec<_>>());
    tokio::task::spawn_blocking(run).await.unwrap()
}
