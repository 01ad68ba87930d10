//! `hyssopd` processes, started as the deploy file says, with settings from its template.

use std::fs;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http;

pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
    /// When it was last started or ended.
    pub changed: Instant,
}

/// The zones of the deployment.
pub const ZONES: [&str; 3] = ["stanthorpe", "warwick", "toowoomba"];

/// Returns ports that are free at every one of these addresses.
fn free_ports(ips: &[String], count: usize) -> Option<Vec<u16>> {
    let mut ports = Vec::new();
    let mut held = Vec::new();
    for _ in 0..200 {
        if ports.len() == count {
            return Some(ports);
        }
        let first = TcpListener::bind((ips[0].as_str(), 0)).ok()?;
        let port = first.local_addr().ok()?.port();
        let free = |ip: &String| {
            UdpSocket::bind((ip.as_str(), port)).is_ok()
                && (ip == &ips[0] || TcpListener::bind((ip.as_str(), port)).is_ok())
        };
        if ips.iter().all(free) {
            ports.push(port);
        }
        held.push(first);
    }
    None
}

/// Prepares `count` nodes in `folder`; none is started yet.
pub fn prepare(count: usize, folder: &Path, store: SocketAddr) -> Option<Vec<Node>> {
    let template = fs::read_to_string("deploy/settings.toml").ok()?;
    let ips: Vec<String> = (0..count)
        .map(|index| format!("127.0.{}.{}", 10 + index % 3, 38 + index))
        .collect();
    let ports = free_ports(&ips, 6)?;
    let [front, ready, control, directory, inner, relay] = ports[..] else {
        return None;
    };
    let seeds: Vec<String> = ips
        .iter()
        .take(3)
        .map(|ip| format!("\"{ip}:{control}\""))
        .collect();
    let mut nodes = Vec::new();
    for (index, ip) in ips.iter().enumerate() {
        let zone = ZONES[index % 3];
        let name = format!("edge-{zone}-{}", index / 3 + 1);
        let fields = [
            (
                "[{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}]",
                format!("[{}]", seeds.join(",")),
            ),
            ("{{node}}", name.clone()),
            ("{{region}}", "qld-south".to_owned()),
            ("{{zone}}", zone.to_owned()),
            ("{{ip}}", ip.clone()),
            ("{{internal_ports.0}}", inner.to_string()),
            ("{{internal_ports.1}}", relay.to_string()),
            ("{{listen.front}}", format!("{ip}:{front}")),
            ("{{listen.ready}}", format!("{ip}:{ready}")),
            ("{{listen.control}}", format!("{ip}:{control}")),
            ("{{listen.directory}}", format!("{ip}:{directory}")),
            ("{{platform.address}}", store.to_string()),
            ("{{bounds.retry_budget_ratio}}", "0.2".to_owned()),
            ("{{bounds.retry_budget_extra}}", "54".to_owned()),
            ("{{bounds.budget_window_s}}", "10".to_owned()),
            ("{{bounds.lease_ms}}", "3000".to_owned()),
            ("{{bounds.fence_checked}}", "true".to_owned()),
            ("{{bounds.grace_s}}", "8".to_owned()),
            ("{{bounds.ceiling_window_s}}", "5".to_owned()),
            ("{{limits.memory_mb}}", "260".to_owned()),
            ("{{limits.link_mbps}}", "1000".to_owned()),
        ];
        let filled = fields
            .iter()
            .fold(template.clone(), |text, (field, value)| {
                text.replace(field, value)
            });
        let lines = filled
            .lines()
            .filter(|line| !line.trim_start().starts_with('#'));
        let settings = lines.collect::<Vec<_>>().join("\n");
        if settings.contains("{{") {
            eprintln!("the template has fields that this stand-in does not know");
            return None;
        }
        let path = folder.join(format!("{name}.toml"));
        fs::write(&path, settings).ok()?;
        nodes.push(Node {
            front: format!("{ip}:{front}").parse().ok()?,
            ready: format!("{ip}:{ready}").parse().ok()?,
            settings: path,
            child: None,
            changed: Instant::now(),
            name,
        });
    }
    Some(nodes)
}

impl Node {
    pub fn start(&mut self) -> bool {
        let path = self.settings.with_extension("log");
        let Ok(log) = fs::OpenOptions::new().create(true).append(true).open(path) else {
            return false;
        };
        // The words of `run` in the deploy file, with the path of this node's settings.
        let deploy = fs::read_to_string("deploy/system.toml").unwrap_or_default();
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \""));
        let run = run.unwrap_or_default().trim_end_matches('"');
        let path = self.settings.to_string_lossy().into_owned();
        let words = run.split_whitespace().map(|word| match word {
            "/etc/hyssopscale/settings.yaml" => path.as_str(),
            other => other,
        });
        let words: Vec<&str> = words.collect();
        let Some((program, arguments)) = words.split_first() else {
            return false;
        };
        let started = Command::new(program)
            .args(arguments)
            .env_clear()
            .env("HYSSOPSCALE_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stderr(Stdio::null())
            .stdout(log)
            .spawn();
        self.child = started.ok();
        self.changed = Instant::now();
        self.child.is_some()
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.changed = Instant::now();
    }

    pub fn is_ready(&self) -> bool {
        let text = format!(
            "GET /readyz HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n",
            self.ready
        );
        http::call(self.ready, &text, Duration::from_millis(500)).status == 200
    }

    /// Returns how many megabytes of memory it has resident, its program's own pages left out.
    pub fn resident_mb(&self) -> u64 {
        let Some(child) = &self.child else { return 0 };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("RssAnon:"));
        let kilobytes = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) * 1_024 / 1_000_000
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
