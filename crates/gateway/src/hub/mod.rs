//! State that all tasks of a node share.
//!
//! - `aftermath` holds back what is not believed yet after an absence of the platform.
//! - `config` holds the configuration in force and gives it to other nodes.
//! - `contact` knows when the platform was last heard of.
//! - `culprit` finds what requests that crash upstreams have in common.
//! - `delay` measures how late the event loop runs.
//! - `grant` asks owners and carries out what they want done.
//! - `load_wait` cancels loads that no request waits for any more.
//! - `path` follows over which way upstreams are reached.
//! - `permit` asks for permits at brittle upstreams, and issues them.
//! - `origin` knows at which release of the upstreams streams began.
//! - `pulse` tells what was read of the platform, and takes over what others tell.
//! - `search` finds engines for requests.
//! - `question` waits for answers of other nodes.
//! - `quota` draws requests out of their tenants' quotas.
//! - `rate` keeps the rates that upstreams announce.
//! - `word` heeds what upstreams say of themselves.

mod aftermath;
mod config;
mod contact;
mod culprit;
mod delay;
mod grant;
mod load_wait;
mod origin;
mod path;
mod permit;
mod pulse;
mod question;
mod quota;
mod rate;
mod search;
mod word;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use dispatch::{CulpritDetector, culprit as detection};
use exchange::config_transfer::Transfer;
use exchange::demand::{Demand, Target};
use exchange::history::History;
use exchange::owner::{self, Grant};
use exchange::platform_reader::ReaderRole;
use exchange::population::Population;
use exchange::prefill_estimate::PrefillEstimator;
use exchange::retry_budget::{self, RetryBudget};
use exchange::route::Config;
use exchange::search::Waits;
use exchange::selection::{self, Requirements};
use exchange::stream_origin::Origins;
use exchange::{Fleet, Owner};
use node::clock::{Clock, wall_micros};
use roster::seeds::Record;
use settings::Settings;
use tokio::sync::{Notify, oneshot, watch};
use upstream::link::{Limits, Link};
use upstream::memory::Account;
use upstream::relay::{Router, server};
use wire::{Incarnation, Time, Upstream, Vm};

use aftermath::Aftermath;

use crate::datagram::Post;
use crate::dialect::Dialect;
use crate::metrics::Metrics;

pub use config::send_parts;
pub use delay::TURN;
pub use load_wait::LoadWait;
pub use path::Admission;
pub use permit::{Permit, PermitDecision, Wish};
pub use word::Leaver;

/// Limit for a connection to an upstream; several crossings of a region and a handshake.
const CONNECT: Duration = Duration::from_millis(400);

/// Longest time that an idle connection to an upstream is kept.
const KEEP: Duration = Duration::from_secs(20);

/// Bytes of an answer that is read as a whole.
const BODY_BYTES: usize = 8 << 20;

/// Connections that a node may open to one upstream at least, whatever its part of the limit.
const CONNECTIONS_MIN: usize = 4;

/// Connections for orders and reports to one upstream.
const CONTROL_CONNECTIONS: usize = 2;

/// Time after which a home that lacks an adapter in demand is asked for it again.
const SPREAD_PAUSE: Duration = Duration::from_millis(500);

/// The nodes that take traffic.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    /// Records of all nodes known to discovery, sorted by VM.
    pub known: Vec<Record>,
    /// The live ones that take part, this node included, sorted.
    pub live: Vec<Vm>,
    /// Those that may be running, whether they answer this one or not.
    pub population: Population,
}

impl Peers {
    /// Returns the record of `vm`.
    pub fn record(&self, vm: &str) -> Option<&Record> {
        let found = self.known.binary_search_by(|record| (*record.vm).cmp(vm));
        found.ok().map(|index| &self.known[index])
    }

    /// Returns the callers' addresses of the live nodes.
    pub fn callers(&self) -> Vec<SocketAddr> {
        let live = self.live.iter().filter_map(|vm| self.record(vm));
        live.map(|record| record.callers).collect()
    }
}

struct Waiter {
    runner: Upstream,
    target: Target,
    wake: oneshot::Sender<()>,
}

/// What the decisions work on.
pub struct Desk {
    /// The upstreams.
    pub fleet: Fleet,
    /// What is asked for.
    pub demand: Demand,
    /// The budget of repeats.
    pub spend: RetryBudget,
    /// Who orders at the engines.
    pub owner: Owner,
    /// Who reads the platform.
    pub mirror: ReaderRole,
    /// Which era of the platform it has come to.
    pub history: History,
    /// What is not believed yet after an absence of the platform.
    pub aftermath: Aftermath,
    /// What requests that crash upstreams have in common.
    pub culprits: CulpritDetector,
    /// Which release began a stream.
    pub origins: Origins,
    waiters: Vec<Waiter>,
    tickets: Vec<(u64, oneshot::Sender<Grant>)>,
    next_ticket: u64,
    spread: Vec<(Upstream, Target, Time)>,
    /// Requests of this node that wait for loads.
    waits: Waits,
}

/// The state of one node.
pub struct Hub<D> {
    /// The adapter to the platform.
    pub dialect: D,
    /// The settings.
    pub settings: Settings,
    /// `[exchange]` of the settings.
    pub exchange: settings::Exchange,
    /// The process.
    pub me: Incarnation,
    /// The monotonic clock.
    pub clock: Clock,
    /// The configuration in force; none until the first is known.
    pub config: ArcSwapOption<Config>,
    /// The nodes.
    pub peers: ArcSwap<Peers>,
    /// The metrics.
    pub metrics: Metrics,
    /// Memory for bodies that are held as a whole.
    pub memory: Arc<Account>,
    /// The part of it for callers' bodies.
    pub uploads: Arc<Account>,
    /// The socket towards other nodes.
    pub post: Arc<Post>,
    /// Opens connections to upstreams.
    pub router: Arc<Router>,
    /// What this node relays for others.
    pub relayed: Arc<server::Counts>,
    /// Wakes the reader of the platform where a pulse tells of something to read.
    pub news: Notify,
    /// Newest revision of the configuration that a peer has told of.
    newest: AtomicU64,
    /// Locked before the desk.
    transfer: Mutex<Transfer>,
    /// Wakes the task that sends parts of the configuration.
    parts_wanted: Notify,
    next_request: AtomicU64,
    /// Changes with each verdict on a feature.
    verdicts: watch::Sender<()>,
    /// Upstreams of which it is being found out whether they have crashed.
    examined: Mutex<Vec<(Upstream, watch::Receiver<()>)>>,
    /// Never held together with the desk.
    origin_queries: Mutex<origin::OpenQueries>,
    /// Never held together with the desk.
    quotas: Mutex<quota::Quotas>,
    /// Never held together with the desk.
    rates: Mutex<rate::Rates>,
    /// Never held together with the desk.
    permits: Mutex<permit::Permits>,
    desk: Mutex<Desk>,
    /// How fast engines read prompts; never held together with the desk.
    pace: Mutex<PrefillEstimator>,
    links: Mutex<Vec<(Upstream, SocketAddr, Link)>>,
    met: AtomicBool,
    leaving: AtomicBool,
    /// Whether the process is about to end, whatever is still under way.
    ending: watch::Sender<bool>,
    flying: AtomicI64,
    turns: Mutex<delay::Turns>,
    contact: Mutex<contact::Contact>,
}

impl<D: Dialect> Hub<D> {
    /// Makes the state of a process that has just started.
    pub fn new(
        dialect: D,
        settings: Settings,
        me: Incarnation,
        clock: Clock,
        metrics: Metrics,
        post: Arc<Post>,
        router: Arc<Router>,
    ) -> Self {
        let exchange = settings.exchange.clone().unwrap_or_default();
        let owner = owner::Config {
            me: me.vm.clone(),
            vm_bits: mark(settings.listen.peers),
            lease: exchange.lease,
            engines_check_fences: exchange.fenced,
            load_time: exchange.load,
            reload_time: exchange.reload,
            parallel_loads: exchange.parallel,
            base_load_window: exchange.ceiling,
        };
        let spend = retry_budget::Config {
            ratio: exchange.retry_ratio,
            extra: exchange.retry_extra,
            window: exchange.retry_window,
            ..retry_budget::Config::default()
        };
        let desk = Desk {
            fleet: Fleet::default(),
            demand: Demand::default(),
            spend: RetryBudget::new(spend, clock.now()),
            owner: Owner::new(owner),
            mirror: ReaderRole::default(),
            history: History::default(),
            aftermath: Aftermath::default(),
            culprits: CulpritDetector::new(detection::Config::default(), me.clone()),
            origins: Origins::default(),
            waiters: Vec::new(),
            tickets: Vec::new(),
            next_ticket: 0,
            spread: Vec::new(),
            waits: Waits::default(),
        };
        let memory = Account::new(settings.limits.held_bytes());
        Self {
            uploads: memory.child(memory.limit() / 4 * 3),
            memory,
            dialect,
            settings,
            exchange,
            me,
            clock,
            config: ArcSwapOption::empty(),
            peers: ArcSwap::default(),
            metrics,
            post,
            router,
            relayed: Arc::default(),
            news: Notify::new(),
            newest: AtomicU64::new(0),
            transfer: Mutex::default(),
            parts_wanted: Notify::new(),
            next_request: AtomicU64::new(0),
            verdicts: watch::Sender::new(()),
            examined: Mutex::default(),
            origin_queries: Mutex::default(),
            quotas: Mutex::default(),
            rates: Mutex::default(),
            permits: Mutex::new(permit::Permits::starting_at(wall_micros())),
            desk: Mutex::new(desk),
            pace: Mutex::default(),
            links: Mutex::new(Vec::new()),
            met: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            ending: watch::Sender::new(false),
            flying: AtomicI64::new(0),
            turns: Mutex::default(),
            contact: Mutex::default(),
        }
    }

    /// Returns the desk; held only between two awaits.
    pub fn desk(&self) -> MutexGuard<'_, Desk> {
        self.desk.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells whether the node takes traffic.
    pub fn ready(&self) -> bool {
        self.config.load().is_some() && self.met.load(Ordering::Relaxed) && !self.leaving()
    }

    /// Notes that this node has heard from its peers, or that there are none.
    pub fn set_met(&self) {
        self.met.store(true, Ordering::Relaxed);
    }

    /// Tells whether this node has heard from its peers.
    pub fn met(&self) -> bool {
        self.met.load(Ordering::Relaxed)
    }

    /// Tells whether the node shuts down.
    pub fn leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Begins the shutdown.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Ends what is still under way: its callers are answered as far as that is possible.
    pub fn set_ending(&self) {
        self.ending.send_replace(true);
    }

    /// Waits until the process is about to end.
    pub async fn ending(&self) {
        let mut ending = self.ending.subscribe();
        if ending.wait_for(|ending| *ending).await.is_err() {
            // Only the end of the process drops the sender.
            std::future::pending::<()>().await;
        }
    }

    /// Counts a request in until the guard is dropped.
    pub fn enter(self: &Arc<Self>) -> Flight<D> {
        self.metrics
            .flying
            .set(self.flying.fetch_add(1, Ordering::Relaxed) + 1);
        Flight(self.clone())
    }

    /// Returns how many requests are in progress.
    pub fn flying(&self) -> i64 {
        self.flying.load(Ordering::Relaxed)
    }

    /// Returns how many nodes share what all nodes together may do.
    pub fn nodes(&self) -> usize {
        self.peers.load().population.count()
    }

    /// Returns the fraction of these nodes that live, as far as this one sees.
    pub fn seen_part(&self) -> f64 {
        let peers = self.peers.load();
        peers.population.part(peers.live.len())
    }

    /// Returns the link to an upstream.
    pub fn link(&self, id: &Upstream, address: SocketAddr, connections: u32) -> Link {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let index = match links.binary_search_by(|(known, _, _)| known.cmp(id)) {
            Ok(index) if links[index].1 == address => return links[index].2.clone(),
            Ok(index) => {
                links.remove(index);
                index
            }
            Err(index) => index,
        };
        let part = (connections as usize / self.nodes()).max(CONNECTIONS_MIN);
        let limits = Limits {
            control: CONTROL_CONNECTIONS,
            urgent: part,
            ordinary: part,
            connect: CONNECT,
            keep: KEEP,
            body_bytes: BODY_BYTES,
            // A faulty upstream leaves room to the others.
            held_bytes: self.memory.limit() / 4,
            // The front ends an answer that makes no progress.
            body: Duration::from_secs(60),
            ..Limits::default()
        };
        let link = Link::new(id.clone(), address, limits)
            .within(&self.memory)
            .routed(&self.router);
        links.insert(index, (id.clone(), address, link.clone()));
        link
    }

    /// Closes idle connections to upstreams that are of no use any more.
    pub fn sweep_links(&self) {
        let links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.iter().for_each(|(_, _, link)| link.sweep());
    }

    /// Closes what is kept open to an upstream that is gone.
    pub fn unlink(&self, id: &str) {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.retain(|(known, _, _)| **known != *id);
        drop(links);
        self.router.forget(id);
    }

    /// Counts a request for a model, and asks for another home where its demand wants one.
    pub fn demand(self: &Arc<Self>, need: &Requirements<'_>) {
        let Some(target) = need.target else {
            return;
        };
        let now = self.clock.now();
        let mut guard = self.desk();
        let desk = &mut *guard;
        desk.demand.add(now, target);
        let long = need.has_long_prompt();
        desk.demand.record_prompt(now, need.prefill_time, long);
        if long && desk.demand.long_prompt_engines(now) > 0.0 {
            return;
        }
        let home = selection::missing_replica(now, &desk.fleet, &desk.demand, need);
        self.spread(guard, home, target);
    }

    /// Asks for a further home of a model that a request waits for at its present one.
    pub fn crowded(self: &Arc<Self>, need: &Requirements<'_>, wait: Duration) {
        let Some(target) = need.target else {
            return;
        };
        let now = self.clock.now();
        let desk = self.desk();
        let home = selection::additional_replica(now, &desk.fleet, &desk.demand, need, wait);
        self.spread(desk, home, target);
    }

    /// Asks for `target` at `home`, unless that was done a moment ago.
    fn spread(
        self: &Arc<Self>,
        mut desk: MutexGuard<'_, Desk>,
        home: Option<Upstream>,
        target: &Target,
    ) {
        let Some(runner) = home else {
            return;
        };
        let now = self.clock.now();
        desk.spread.retain(|(_, _, at)| now < *at + SPREAD_PAUSE);
        if desk
            .spread
            .iter()
            .any(|(id, known, _)| *id == runner && known == target)
        {
            return;
        }
        desk.spread.push((runner.clone(), target.clone(), now));
        drop(desk);
        self.drive(owner::Event::RequestLoad {
            engine: runner,
            target: target.clone(),
            rank: owner::REPLICA_RANK,
        });
    }

    /// Returns how long an engine takes to read a prompt of so many tokens, as far as was learnt.
    pub fn reading(&self, tokens: u32) -> Duration {
        self.pace().estimate(self.stated_reading(tokens))
    }

    /// Takes in that the first event of a request came after `took`, whose prompt of so many tokens
    /// was the only one read at its engine.
    pub fn learn_reading(&self, tokens: u32, took: Duration) {
        let stated = self.stated_reading(tokens);
        self.pace().record_sample(stated, took);
    }

    fn pace(&self) -> MutexGuard<'_, PrefillEstimator> {
        self.pace.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how long an engine of the stated speed takes to read a prompt of so many tokens.
    fn stated_reading(&self, tokens: u32) -> Duration {
        let tokens = f64::from(tokens);
        let millis = tokens / self.exchange.prefill + tokens * tokens * self.exchange.attention;
        Duration::from_secs_f64(millis / 1_000.0)
    }

    /// Returns the seconds of the wall clock.
    pub fn wall(&self) -> u64 {
        wall_micros() / 1_000_000
    }
}

/// Returns the bits of fencing numbers that belong to the VM at `address`: the last three parts
/// of its address, which no two VMs of one network share.
fn mark(address: SocketAddr) -> u64 {
    match address.ip() {
        std::net::IpAddr::V4(ip) => u64::from(u32::from(ip) & 0x00ff_ffff),
        std::net::IpAddr::V6(ip) => wire::rank::hash(ip.octets()) & 0x00ff_ffff,
    }
}

/// A request in progress.
pub struct Flight<D>(Arc<Hub<D>>);

impl<D> Drop for Flight<D> {
    fn drop(&mut self) {
        let hub = &self.0;
        hub.metrics
            .flying
            .set(hub.flying.fetch_sub(1, Ordering::Relaxed) - 1);
    }
}
