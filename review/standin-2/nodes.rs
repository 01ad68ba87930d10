//! Nodes: the program of the deploy file, each as a process of its own on an address of its own, with
//! settings filled into the project's template.

use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::Duration;

use crate::advice::ZONES;
use crate::http;
use crate::world::{at, machine, note, now};

const FRONT: u16 = 8149;
const READY: u16 = 8141;
const CONTROL: u16 = 8144;
const DIRECTORY: u16 = 8143;
const INTERNAL: [u16; 2] = [7380, 7395];

pub struct Node {
    pub name: String,
    index: u8,
    zone: &'static str,
    seeds: Vec<u8>,
    store: SocketAddr,
    folder: String,
    starts: u32,
    child: Option<Child>,
}

impl Node {
    /// Describes the node on the machine `index`; it is not started.
    pub fn new(
        index: u8,
        zone: &'static str,
        seeds: &[u8],
        store: SocketAddr,
        folder: &str,
    ) -> Self {
        Self {
            name: format!("edge-{zone}-{index}"),
            index,
            zone,
            seeds: seeds.to_vec(),
            store,
            folder: folder.to_owned(),
            starts: 0,
            child: None,
        }
    }

    /// Starts so many nodes, each in the next zone, of which the first three are the seeds.
    pub fn site(count: u8, store: SocketAddr, folder: &str) -> Vec<Self> {
        let zone = |index: u8| ZONES[usize::from(index - 1) % ZONES.len()];
        let node = |index| Self::new(index, zone(index), &[1, 2, 3], store, folder);
        let mut nodes: Vec<Self> = (1..=count).map(node).collect();
        nodes.iter_mut().for_each(Self::start);
        nodes
    }

    pub fn front(&self) -> SocketAddr {
        at(self.index, FRONT)
    }

    /// Starts its process, by the `run` line of the deploy file.
    pub fn start(&mut self) {
        self.starts += 1;
        let path = format!("{}/{}.toml", self.folder, self.name);
        fs::write(&path, self.settings()).expect("the folder can be written");
        let log = File::create(format!("{}/{}-{}.log", self.folder, self.name, self.starts));
        let log = log.expect("the folder can be written");
        let child = Command::new("target/release/hyssopd")
            .args(["--settings", &path])
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a descriptor"))
            .stderr(log)
            .spawn();
        let child = child.expect("target/release/hyssopd can be started");
        // What runs this program ends the nodes if it is ended itself.
        let pids = OpenOptions::new()
            .create(true)
            .append(true)
            .open(format!("{}/pids", self.folder));
        let _ = writeln!(pids.expect("the folder can be written"), "{}", child.id());
        self.child = Some(child);
        note(&format!("{} is started", self.name));
    }

    fn settings(&self) -> String {
        let ip = machine(self.index);
        let seeds = self
            .seeds
            .iter()
            .map(|seed| format!("\"{}\"", at(*seed, CONTROL)));
        let seeds = seeds.collect::<Vec<_>>().join(", ");
        let text = fs::read_to_string("deploy/settings.toml").expect("the project's template");
        let filled = text.replace(
            "[{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}]",
            &format!("[{seeds}]"),
        );
        let fields = [
            ("node", self.name.clone()),
            ("region", "qld-south".to_owned()),
            ("zone", self.zone.to_owned()),
            ("ip", ip.to_string()),
            ("listen.front", at(self.index, FRONT).to_string()),
            ("listen.ready", at(self.index, READY).to_string()),
            ("listen.control", at(self.index, CONTROL).to_string()),
            ("listen.directory", at(self.index, DIRECTORY).to_string()),
            ("internal_ports.0", INTERNAL[0].to_string()),
            ("internal_ports.1", INTERNAL[1].to_string()),
            ("platform.address", self.store.to_string()),
            ("limits.memory_mb", "260".to_owned()),
            ("limits.link_mbps", "1000.0".to_owned()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.retry_budget_extra", "54".to_owned()),
            ("bounds.budget_window_s", "10".to_owned()),
            ("bounds.lease_ms", "3000".to_owned()),
            ("bounds.fence_checked", "true".to_owned()),
            ("bounds.grace_s", "8".to_owned()),
            ("bounds.ceiling_window_s", "5".to_owned()),
        ];
        let fill = |text: String, (name, value): &(&str, String)| {
            text.replace(&format!("{{{{{name}}}}}"), value)
        };
        let filled = fields.iter().fold(filled, fill);
        assert!(
            !filled.contains("{{"),
            "the template has other fields by now:\n{filled}"
        );
        filled
    }

    /// Tells whether it says that it is ready.
    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_millis(500);
        let answer = http::ask(at(self.index, READY), "GET", "/readyz", &[], b"", limit);
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Ends its process at once, as a loss of power does.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            note(&format!("{} is killed", self.name));
        }
    }

    /// Tells whether its process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let ended = self.child.as_mut().map(|child| child.try_wait());
        matches!(ended, Some(Ok(Some(_))))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all of these nodes say that they are ready.
pub fn await_ready(nodes: &[Node], limit: u64) -> bool {
    while now() < limit {
        if nodes.iter().all(Node::is_ready) {
            note("all nodes are ready");
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}
