//! The sections of a settings file. Every key has a default, or is checked for presence.

use std::fmt;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;

use crate::machine;

/// `[vm]`: which VM this is and where it stands. All three keys are required.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Vm {
    /// The VM's id, as the platform's list spells it.
    pub id: wire::Vm,
    /// The region.
    pub region: wire::Region,
    /// The availability zone.
    pub zone: wire::Zone,
}

impl Default for Vm {
    fn default() -> Self {
        Self {
            id: "".into(),
            region: "".into(),
            zone: "".into(),
        }
    }
}

/// `[listen]`: the socket addresses that the node binds; port 0 takes any free port.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Listen {
    /// Address for callers; `0.0.0.0:8080` by default.
    pub callers: SocketAddr,
    /// Address for peers; `0.0.0.0:8081` by default.
    pub peers: SocketAddr,
    /// Address for operators, health and metrics; `127.0.0.1:8082` by default.
    pub operators: SocketAddr,
    /// Address at which the node opens connections to upstreams for nodes that are partitioned from them;
    /// absent for none. All nodes use the same port.
    pub relay: Option<SocketAddr>,
    /// Local address of connections to upstreams; the system chooses one by default.
    pub source: Option<IpAddr>,
}

impl Default for Listen {
    fn default() -> Self {
        Self {
            callers: (Ipv4Addr::UNSPECIFIED, 8080).into(),
            peers: (Ipv4Addr::UNSPECIFIED, 8081).into(),
            operators: (Ipv4Addr::LOCALHOST, 8082).into(),
            relay: None,
            source: None,
        }
    }
}

/// `[platform]`: where the configuration and the list of VMs are read.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Platform {
    /// Addresses as `host:port`, tried in turn; at least one.
    pub addresses: Vec<String>,
    /// Prefix of every key that is read; `hyssopscale/` by default.
    pub prefix: String,
    /// Time limit of a read.
    #[serde(with = "humantime_serde")]
    pub timeout: Duration,
    /// Time between two reads of the list of VMs, and of the configuration while watches fail.
    #[serde(with = "humantime_serde")]
    pub poll: Duration,
    /// Time that a watch waits for news before it is renewed.
    #[serde(with = "humantime_serde")]
    pub watch: Duration,
}

impl Default for Platform {
    fn default() -> Self {
        Self {
            addresses: Vec::new(),
            prefix: "hyssopscale/".into(),
            timeout: Duration::from_secs(2),
            poll: Duration::from_secs(2),
            watch: Duration::from_secs(30),
        }
    }
}

/// A string that is not shown in logs.
#[derive(Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct Secret(pub String);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "({} bytes, not shown)", self.0.len())
    }
}

/// `[peers]`: how nodes authenticate each other.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Peers {
    /// One key, or two during a rotation: the first one signs, both verify. At least 16 bytes
    /// each.
    pub keys: Vec<Secret>,
}

/// `[limits]`: bounds on what a caller or peer can make the node hold.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Bytes of a request's header.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Connections of callers at once.
    pub connections: usize,
    /// Requests in progress at once.
    pub streams: usize,
    /// Requests that may wait for admission.
    pub queue: usize,
    /// Megabytes that the process may use; half of the machine's memory by default, 1,024 at most. Bodies
    /// of requests and answers that are held as a whole take half of them at most.
    pub memory_mb: usize,
    /// Bytes of a frame between nodes.
    pub frame_bytes: usize,
    /// Witnesses of calls that may not be repeated, the same on every VM of a region; a call runs
    /// once more than half of them have agreed.
    pub witnesses: u8,
}

impl Limits {
    /// Returns how many bytes of bodies may be held as a whole.
    pub const fn held_bytes(&self) -> usize {
        (self.memory_mb << 20) / 2
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 32 << 10,
            body_bytes: 4 << 20,
            connections: 4096,
            streams: 1024,
            queue: 2048,
            memory_mb: machine::default_memory_mb(),
            frame_bytes: 1 << 20,
            witnesses: 7,
        }
    }
}

/// `[time]`: durations, written as `250ms`, `15s` or `2m 30s`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Times {
    /// Limit for a connection to an upstream or peer.
    #[serde(with = "humantime_serde")]
    pub connect: Duration,
    /// Limit for a caller to send a request's header.
    #[serde(with = "humantime_serde")]
    pub header: Duration,
    /// Limit for a caller to send a request's body.
    #[serde(with = "humantime_serde")]
    pub body: Duration,
    /// Limit for an upstream's first byte of an answer.
    #[serde(with = "humantime_serde")]
    pub first_byte: Duration,
    /// Limit between two bytes of an answer, and between two events of an engine.
    #[serde(with = "humantime_serde")]
    pub idle: Duration,
    /// Time limit of a request that names none.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
    /// Longest time limit that a request may name.
    #[serde(with = "humantime_serde")]
    pub deadline_max: Duration,
    /// Limit for a graceful shutdown.
    #[serde(with = "humantime_serde")]
    pub drain: Duration,
    /// Time that callers keep an answer of `/v1/addresses`.
    #[serde(with = "humantime_serde")]
    pub address_ttl: Duration,
    /// Time within which a repeated key of a call that may run once gets the first answer.
    #[serde(with = "humantime_serde")]
    pub retry_window: Duration,
    /// Time after a group of witnesses was founded in which keys without the key prefix of
    /// `/v1/addresses` are answered `unknown`, since an earlier group may have run them. Absent for
    /// the full length, which follows from the retry window; a shorter one is safe only where no
    /// earlier group took calls in that time.
    #[serde(with = "humantime_serde::option")]
    pub quarantine: Option<Duration>,
    /// Life of a lease on a resident adapter unless it is renewed.
    #[serde(with = "humantime_serde")]
    pub lease: Duration,
    /// Limit for an adapter's load.
    #[serde(with = "humantime_serde")]
    pub load: Duration,
    /// Time that a request may wait for others of its adapter, for a fuller batch; may be zero.
    #[serde(with = "humantime_serde")]
    pub gather: Duration,
}

impl Default for Times {
    fn default() -> Self {
        let secs = Duration::from_secs;
        Self {
            connect: secs(1),
            header: secs(10),
            body: secs(30),
            first_byte: secs(60),
            idle: secs(30),
            deadline: secs(120),
            deadline_max: secs(900),
            drain: secs(60),
            address_ttl: secs(15),
            retry_window: secs(600),
            quarantine: None,
            lease: secs(20),
            load: secs(10),
            gather: Duration::ZERO,
        }
    }
}

/// `[weights]`: what placement values, each from 0 to 1.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Weights {
    /// Weight of short waits for an adapter to arrive.
    pub load_stalls: f64,
    /// Weight of full batches.
    pub batch_efficiency: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            load_stalls: 0.5,
            batch_efficiency: 0.5,
        }
    }
}

/// `[store.NAME]`: a weight store. Its limits count over all nodes of the region together.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Store {
    /// Loads a second that the store allows.
    pub loads_per_second: f64,
    /// Loads in flight up to which none slows the others down.
    pub in_flight: u32,
    /// Time that a load takes at full speed.
    #[serde(with = "humantime_serde")]
    pub load_time: Duration,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            loads_per_second: 2.0,
            in_flight: 8,
            load_time: Duration::from_millis(250),
        }
    }
}

/// Protocol of a pool's upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Driver {
    /// A model engine with dynamic adapters.
    #[default]
    Engine,
    /// A plain HTTP service.
    Service,
}

/// What an upstream does with an order that carries an old fencing number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// It refuses the order.
    RefusesOld,
    /// It does not look at the number.
    #[default]
    Ignores,
}

/// `[pool.NAME]`: facts of the upstreams of a pool.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Pool {
    /// The upstreams' protocol; `engine` by default.
    pub driver: Driver,
    /// The base model that engines run; required for them.
    pub base: Option<wire::Base>,
    /// Adapters that fit an engine at once.
    pub slots: u32,
    /// Sequences in an engine's step at most; for a service, its calls at once.
    pub max_batch: u32,
    /// What the upstreams do with old fencing numbers; `ignores` by default.
    pub fencing: Fencing,
    /// Longest age of a load report when it arrives.
    #[serde(with = "humantime_serde")]
    pub report_lag: Duration,
    /// The weight store that engines load from; required for them.
    pub store: Option<wire::Store>,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            driver: Driver::Engine,
            base: None,
            slots: 4,
            max_batch: 16,
            fencing: Fencing::Ignores,
            report_lag: Duration::from_secs(2),
            store: None,
        }
    }
}

/// `[trust]`: what is believed without proof.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Trust {
    /// Takes the caller's name from a plain header; only behind an authenticating front.
    pub caller_header: bool,
}

/// `[tls]`: certificate towards callers, reloaded when the files change.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tls {
    /// Path of the certificate chain in PEM.
    pub certificate: PathBuf,
    /// Path of the private key in PEM.
    pub key: PathBuf,
}

/// Form of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Form {
    /// Words and `key=value` pairs.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// `[log]`: form and amount of logs.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// `text` or `json`.
    pub format: Form,
    /// `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    /// Lines a second above which decision lines are dropped and counted.
    pub lines_per_second: u32,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            format: Form::Text,
            level: "info".into(),
            lines_per_second: 500,
        }
    }
}

/// `[exchange]`: requests through engines that guard their own runs, on platforms that are met by
/// an adapter. Without the section the node serves its own interface alone.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Exchange {
    /// Address that answers whether the node takes traffic.
    pub ready: SocketAddr,
    /// Address that tells callers which nodes to use.
    pub directory: SocketAddr,
    /// Local address of connections to upstreams; the system chooses one by default.
    pub source: Option<IpAddr>,
    /// Address by which peers reach the node, where it is not `listen.peers`.
    pub advertise: Option<SocketAddr>,
    /// Addresses for peers of a few nodes, which may be stale.
    pub seeds: Vec<SocketAddr>,
    /// Repeats that one request earns, over all nodes together.
    pub retry_ratio: f64,
    /// Repeats allowed in a window beside those earned, over all nodes together.
    pub retry_extra: f64,
    /// Window of the budget of repeats.
    #[serde(with = "humantime_serde")]
    pub retry_window: Duration,
    /// Time after which the orders of a holder that fell silent have ended.
    #[serde(with = "humantime_serde")]
    pub lease: Duration,
    /// Whether engines refuse old fencing numbers.
    pub fenced: bool,
    /// Time from SIGTERM until the platform ends the process.
    #[serde(with = "humantime_serde")]
    pub grace: Duration,
    /// Window over which starts of base models are counted.
    #[serde(with = "humantime_serde")]
    pub ceiling: Duration,
    /// Time of an adapter's load from the store.
    #[serde(with = "humantime_serde")]
    pub load: Duration,
    /// Time of an adapter's load that the engine held lately.
    #[serde(with = "humantime_serde")]
    pub reload: Duration,
    /// Loads of adapters at one engine at a time; the users' engines take four.
    pub parallel: usize,
    /// Tokens of prompts that an engine reads in a millisecond.
    pub prefill: f64,
    /// Milliseconds that an engine takes in addition for each pair of tokens of a prompt.
    pub attention: f64,
    /// Multiples of a route's target after which callers leave that have seen no first byte.
    pub patience: f64,
    /// Time in which an engine makes a token of an answer, prompts of others included.
    #[serde(with = "humantime_serde")]
    pub step: Duration,
    /// Least time between two reads of the platform.
    #[serde(with = "humantime_serde")]
    pub pause: Duration,
    /// Shortest absence of the platform in which the entries of upstreams lapse. An upstream that has no
    /// entry any more after such an absence counts as present until it has had time to write it again.
    #[serde(with = "humantime_serde")]
    pub lapse: Duration,
    /// Megabits a second that the VM's link carries. Bulk data between nodes take half of it at most,
    /// and leave the rest to callers.
    pub link_mbps: f64,
    /// Threads that run the node; 1 spares the hand-over between threads on a part of a core.
    pub threads: usize,
    /// Address at which the node opens connections to upstreams for nodes that are partitioned from them;
    /// absent for none. All nodes use the same port.
    pub relay: Option<SocketAddr>,
}

impl Default for Exchange {
    fn default() -> Self {
        let any = |port| (Ipv4Addr::UNSPECIFIED, port).into();
        Self {
            ready: any(8083),
            directory: any(8084),
            source: None,
            advertise: None,
            seeds: Vec::new(),
            retry_ratio: 0.2,
            retry_extra: 50.0,
            retry_window: Duration::from_secs(10),
            lease: Duration::from_secs(3),
            fenced: false,
            grace: Duration::from_secs(8),
            ceiling: Duration::from_secs(5),
            load: Duration::from_millis(250),
            reload: Duration::from_millis(25),
            parallel: 2,
            prefill: 40.0,
            attention: 0.65e-6,
            patience: 3.6,
            step: Duration::from_millis(9),
            pause: Duration::from_millis(400),
            lapse: Duration::from_millis(2_000),
            link_mbps: 40.0,
            threads: 1,
            relay: None,
        }
    }
}
