//! Real `hyssopd` processes, and what was done to them.

use std::ffi::OsString;
use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::caller::Addresses;

/// The settings that the platform fills in.
const TEMPLATE: &str = include_str!("../../../../deploy/settings.toml");

/// What the platform fills in for the seeds.
const SEEDS: &str = "{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}";

/// Time from SIGTERM to SIGKILL.
pub const GRACE: Duration = Duration::from_secs(4);

/// Time in which a process that was started, let go on or killed is not held to any rule.
pub const SETTLING: Duration = Duration::from_secs(3);

/// Memory of a machine: a process that takes more is ended there.
const MEMORY_MB: usize = 160;

/// Pause between two looks at a process that ends.
const STEP: Duration = Duration::from_millis(20);

/// What was done to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deed {
    /// Killed, until it was started again.
    Kill,
    /// Stopped, until it went on.
    Stop,
    /// Told to end, until it was started again.
    Term,
    /// Cut off from the store.
    Cut,
}

/// One deed.
#[derive(Clone, Copy, Debug)]
pub struct Trouble {
    pub deed: Deed,
    pub from: Instant,
    pub until: Instant,
}

struct State {
    child: Option<Child>,
    starts: u32,
    troubles: Vec<Trouble>,
    ends: Vec<(Instant, String)>,
}

/// What the platform fills in that differs by run.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    pub store: SocketAddr,
    /// Whether engines refuse old fencing numbers.
    pub fenced: bool,
    /// Whether connections to upstreams leave by its own address.
    pub own_source: bool,
    /// Address by which other nodes reach it, where it is not the one that it binds.
    pub advertise: Option<SocketAddr>,
}

/// One node.
pub struct Process {
    pub number: usize,
    pub addresses: Addresses,
    folder: PathBuf,
    settings: PathBuf,
    /// Its settings but for the seeds.
    filled: String,
    /// Whether nobody reads its log.
    unread: bool,
    /// Held while the process is ended and started.
    busy: tokio::sync::Mutex<()>,
    state: Mutex<State>,
}

/// Returns the program of a node's start with that number: the first one may be of an earlier build, so that an
/// upgrade is played.
fn program(starts: u32) -> OsString {
    let before = std::env::var_os("HYSSOPSCALE_SOAK_BEFORE").filter(|_| starts == 1);
    before.unwrap_or_else(|| env!("CARGO_BIN_EXE_hyssopd").into())
}

impl Process {
    /// Writes the settings of a node at `ip`.
    pub fn new(
        number: usize,
        ip: &str,
        seeds: &[String],
        site: Settings,
        folder: &Path,
        unread: bool,
    ) -> Self {
        let grace = GRACE.as_secs().to_string();
        let values: [(&str, &str); 19] = [
            ("{{node}}", &format!("vm-{number}")),
            ("{{region}}", "r"),
            ("{{zone}}", "z"),
            ("{{listen.front}}", &format!("{ip}:8149")),
            ("{{listen.control}}", &format!("{ip}:8144")),
            ("{{listen.ready}}", &format!("{ip}:8141")),
            ("{{listen.directory}}", &format!("{ip}:8143")),
            ("{{ip}}:{{internal_ports.0}}", &format!("{ip}:7380")),
            ("{{ip}}:{{internal_ports.1}}", &format!("{ip}:7395")),
            ("{{platform.address}}", &site.store.to_string()),
            ("{{bounds.retry_budget_ratio}}", "0.2"),
            ("{{bounds.retry_budget_extra}}", "54"),
            ("{{bounds.budget_window_s}}", "10"),
            ("{{bounds.lease_ms}}", "3000"),
            ("{{bounds.fence_checked}}", &site.fenced.to_string()),
            ("{{bounds.grace_s}}", &grace),
            ("{{bounds.ceiling_window_s}}", "5"),
            ("{{limits.memory_mb}}", &MEMORY_MB.to_string()),
            ("{{limits.link_mbps}}", "10"),
        ];
        let filled = values
            .iter()
            .fold(TEMPLATE.to_owned(), |text, (name, value)| {
                text.replace(name, value)
            });
        let mut own = "[exchange]\n".to_owned();
        if site.own_source {
            own += &format!("source = \"{ip}\"\n");
        }
        if let Some(advertise) = site.advertise {
            own += &format!("advertise = \"{advertise}\"\n");
        }
        let filled = filled.replace("[exchange]\n", &own);
        let node = Self {
            number,
            addresses: Addresses {
                front: format!("{ip}:8149").parse().unwrap(),
                directory: format!("{ip}:8143").parse().unwrap(),
            },
            folder: folder.to_owned(),
            settings: folder.join(format!("vm-{number}.toml")),
            filled,
            unread,
            busy: tokio::sync::Mutex::new(()),
            state: Mutex::new(State {
                child: None,
                starts: 0,
                troubles: Vec::new(),
                ends: Vec::new(),
            }),
        };
        node.write_seeds(seeds);
        node
    }

    /// Replaces the settings by ones with these seeds, without telling the process.
    pub fn write_seeds(&self, seeds: &[String]) {
        let quoted: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let filled = self.filled.replace(SEEDS, &quoted.join(", "));
        let written = self.settings.with_extension("new");
        fs::write(&written, filled).unwrap();
        fs::rename(&written, &self.settings).unwrap();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn start(&self) {
        let mut state = self.lock();
        state.starts += 1;
        let log = format!("vm-{}-{}.log", self.number, state.starts);
        let log = File::create(self.folder.join(log)).unwrap();
        let child = Command::new(program(state.starts))
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(if self.unread {
                Stdio::piped()
            } else {
                log.try_clone().unwrap().into()
            })
            .stderr(log)
            .spawn();
        state.child = Some(child.unwrap());
    }

    /// Returns which start of the node this is.
    pub fn starts(&self) -> u32 {
        self.lock().starts
    }

    fn signal(&self, signal: &str) {
        if let Some(child) = &self.lock().child {
            let sent = Command::new("kill")
                .args([signal, &child.id().to_string()])
                .status();
            assert!(
                sent.is_ok_and(|status| status.success()),
                "kill {signal} failed"
            );
        }
    }

    /// Notes a deed.
    pub fn note(&self, deed: Deed, from: Instant, until: Instant) {
        self.lock().troubles.push(Trouble { deed, from, until });
    }

    /// Returns what overlapped the time between `from` and `until`.
    pub fn troubles(&self, from: Instant, until: Instant) -> Vec<Deed> {
        let state = self.lock();
        let overlap = state
            .troubles
            .iter()
            .filter(|trouble| trouble.from <= until && from <= trouble.until + SETTLING);
        overlap.map(|trouble| trouble.deed).collect()
    }

    /// Kills the process and starts it again after `down`.
    pub async fn kill(&self, down: Duration) {
        let _busy = self.busy.lock().await;
        let from = Instant::now();
        self.end("-KILL");
        sleep(down).await;
        self.start();
        self.note(Deed::Kill, from, Instant::now());
    }

    /// Notes it where the process has taken more memory than its machine has.
    fn check_memory(&self) {
        let mut state = self.lock();
        let Some(id) = state.child.as_ref().map(Child::id) else {
            return;
        };
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let most = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let most = most.and_then(|text| text.trim().trim_end_matches(" kB").parse().ok());
        let most_mb = most.map_or(0, |kilobytes: usize| kilobytes >> 10);
        if most_mb > MEMORY_MB {
            let end = format!("LOST: the process took {most_mb} MB of memory");
            state.ends.push((Instant::now(), end));
        }
    }

    fn end(&self, signal: &str) {
        self.check_memory();
        self.signal(signal);
        if let Some(mut child) = self.lock().child.take() {
            let _ = child.wait();
        }
    }

    /// Stops the process for `time`.
    pub async fn stop(&self, time: Duration) {
        let from = Instant::now();
        self.signal("-STOP");
        sleep(time).await;
        self.signal("-CONT");
        self.note(Deed::Stop, from, Instant::now());
    }

    /// Tells that the settings have changed.
    pub fn hang_up(&self) {
        self.signal("-HUP");
    }

    /// Ends the process by SIGTERM, and starts it again.
    pub async fn replace(&self, down: Duration) {
        let _busy = self.busy.lock().await;
        let from = Instant::now();
        self.check_memory();
        self.signal("-TERM");
        while !self.has_ended() {
            if from.elapsed() > GRACE {
                let end = "SHUTDOWN: not done within the grace time".to_owned();
                self.lock().ends.push((Instant::now(), end));
                self.end("-KILL");
                break;
            }
            sleep(STEP).await;
        }
        sleep(down).await;
        self.start();
        self.note(Deed::Term, from, Instant::now());
    }

    fn has_ended(&self) -> bool {
        let mut state = self.lock();
        let Some(child) = &mut state.child else {
            return true;
        };
        if child.try_wait().unwrap().is_none() {
            return false;
        }
        state.child = None;
        true
    }

    /// Ends the process for good and returns how it went wrong.
    pub fn finish(&self) -> Vec<String> {
        let running = match &mut self.lock().child {
            Some(child) => child.try_wait().unwrap().is_none(),
            None => true,
        };
        if !running {
            let end = "END: the process ended by itself".to_owned();
            self.lock().ends.push((Instant::now(), end));
        }
        self.end("-KILL");
        let ends = self.lock().ends.clone();
        let stopped = |at: Instant| self.troubles(at - GRACE, at).contains(&Deed::Stop);
        let ends = ends.into_iter().filter(|(at, _)| !stopped(*at));
        ends.map(|(_, end)| format!("{end} (vm-{})", self.number))
            .collect()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(mut child) = self.lock().child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
