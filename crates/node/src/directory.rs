//! Where the nodes and upstreams of the region are, as the platform's list last told.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use platform::{List, Member, Role};
use settings::{Driver, Settings};
use upstream::engine::Engine;
use upstream::relay::Router;
use upstream::{Limits, engine, service};
use wire::{Upstream, Vm, Zone};

/// Time that an idle connection to an upstream is kept.
const KEEP: Duration = Duration::from_secs(20);

/// Connections of each class to an upstream for each sequence of its largest batch: requests that
/// waited for one load start together, and more of them than run at once.
const CONNECTIONS_PER_SEQUENCE: usize = 4;

/// An entry VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Its id.
    pub vm: Vm,
    /// Its availability zone.
    pub zone: Zone,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where peers connect.
    pub peers: SocketAddr,
    /// Whether the list says that it leaves.
    pub leaving: bool,
}

/// The driver of an upstream.
#[derive(Clone, Debug)]
pub enum Link {
    /// A model engine.
    Engine(Arc<engine::Http>),
    /// A plain service.
    Service(Arc<service::Http>),
}

/// An upstream.
#[derive(Clone, Debug)]
pub struct Runner {
    /// Its id.
    pub id: Upstream,
    /// The pool that it belongs to.
    pub pool: Arc<str>,
    /// Its availability zone.
    pub zone: Zone,
    /// Where it listens.
    pub address: SocketAddr,
    /// The release of its software, where the platform tells it.
    pub release: Option<Arc<str>>,
    /// Whether it gets no new work.
    pub leaving: bool,
    /// Its driver.
    pub link: Link,
    /// Calls of this node in progress on it.
    pub in_flight: Arc<AtomicUsize>,
    /// Number of its process's start, where it tells; 0 before it has told.
    pub boot: Arc<AtomicU64>,
}

impl Runner {
    /// Counts a call until the returned guard is dropped.
    pub fn enter(&self) -> Flight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        Flight(self.in_flight.clone())
    }

    /// Asks it for the number of its process's start.
    ///
    /// # Errors
    ///
    /// Returns an error if it gives no such answer. A plain service tells no number.
    pub async fn start(&self) -> Result<u64, upstream::Error> {
        match &self.link {
            Link::Engine(engine) => engine.start().await,
            Link::Service(_) => Err(upstream::Error::Invalid {
                upstream: self.id.clone(),
                cause: "a plain service tells no start number".to_owned(),
            }),
        }
    }

    /// Returns the number of this node's calls in progress on it.
    pub fn load(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }
}

/// Counts one call in progress while it lives.
#[derive(Debug)]
pub struct Flight(Arc<AtomicUsize>);

impl Drop for Flight {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The nodes and upstreams of the region, each sorted by id.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    entries: Vec<Entry>,
    runners: Vec<Runner>,
}

impl Directory {
    /// Makes the directory that `list` tells; upstreams that were known already keep their drivers.
    ///
    /// Connections to them are opened by `router`. Members of other regions, and of pools that the settings do not
    /// name, are left out.
    pub fn from_list(list: &List, settings: &Settings, router: &Arc<Router>, known: &Self) -> Self {
        let mut directory = Self::default();
        let here = list
            .members
            .iter()
            .filter(|member| member.region == settings.vm.region);
        for member in here {
            match &member.role {
                Role::Entry { callers, peers } => {
                    directory.entries.push(entry(member, *callers, *peers));
                }
                Role::Runner {
                    pool,
                    address,
                    release,
                } => {
                    let runner = runner(member, pool, *address, settings, known, router);
                    directory.runners.extend(runner.map(|runner| Runner {
                        release: release.as_deref().map(Into::into),
                        ..runner
                    }));
                }
            }
        }
        directory.entries.sort_by(|a, b| a.vm.cmp(&b.vm));
        directory.runners.sort_by(|a, b| a.id.cmp(&b.id));
        directory
    }

    /// Returns the entry VMs, sorted by id.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Returns the entry on `vm`.
    pub fn entry(&self, vm: &str) -> Option<&Entry> {
        let index = self
            .entries
            .binary_search_by(|entry| (*entry.vm).cmp(vm))
            .ok()?;
        self.entries.get(index)
    }

    /// Returns the upstreams, sorted by id.
    pub fn runners(&self) -> &[Runner] {
        &self.runners
    }

    /// Returns the upstream named `id`.
    pub fn runner(&self, id: &str) -> Option<&Runner> {
        let index = self
            .runners
            .binary_search_by(|runner| (*runner.id).cmp(id))
            .ok()?;
        self.runners.get(index)
    }

    /// Returns the engine named `id`.
    pub fn engine(&self, id: &str) -> Option<(&Runner, &Arc<engine::Http>)> {
        let runner = self.runner(id)?;
        match &runner.link {
            Link::Engine(engine) => Some((runner, engine)),
            Link::Service(_) => None,
        }
    }

    /// Returns the directory in which exactly the upstreams for which `leaving` holds leave.
    #[must_use]
    pub fn with_leaving(&self, leaving: impl Fn(&Upstream) -> bool) -> Self {
        let mut directory = self.clone();
        for runner in &mut directory.runners {
            runner.leaving = leaving(&runner.id);
        }
        directory
    }

    /// Returns the ids of the upstreams of `pool`, sorted.
    pub fn pool(&self, pool: &str) -> Vec<Upstream> {
        let of_pool = self.runners.iter().filter(|runner| *runner.pool == *pool);
        of_pool.map(|runner| runner.id.clone()).collect()
    }

    /// Returns the ids of the upstreams of `pool` that are of another release than `release`, sorted.
    pub fn other_releases(&self, pool: &str, release: Option<&str>) -> Vec<Upstream> {
        let of_pool = self.runners.iter().filter(|runner| *runner.pool == *pool);
        of_pool
            .filter(|runner| runner.release.as_deref() != release)
            .map(|runner| runner.id.clone())
            .collect()
    }

    /// Returns placement's facts about the engines, of which `down` are out of reach.
    pub fn facts(&self, settings: &Settings, down: &[Upstream]) -> Vec<placement::event::Upstream> {
        let engines = self
            .runners
            .iter()
            .filter(|runner| matches!(runner.link, Link::Engine(_)));
        engines
            .filter_map(|runner| facts(runner, settings, down))
            .collect()
    }
}

fn entry(member: &Member, callers: SocketAddr, peers: SocketAddr) -> Entry {
    Entry {
        vm: member.vm.clone(),
        zone: member.zone.clone(),
        callers,
        peers,
        leaving: member.state == platform::State::Leaving,
    }
}

fn runner(
    member: &Member,
    pool: &str,
    address: SocketAddr,
    settings: &Settings,
    known: &Directory,
    router: &Arc<Router>,
) -> Option<Runner> {
    let facts = settings.pools.get(pool)?;
    let id: Upstream = member.vm.clone();
    let same = known
        .runner(&id)
        .filter(|old| old.address == address && *old.pool == *pool);
    let link = match same {
        Some(old) => old.link.clone(),
        None => {
            router.forget(&id);
            open(&id, address, facts, settings, router)
        }
    };
    Some(Runner {
        id,
        pool: pool.into(),
        zone: member.zone.clone(),
        address,
        release: None,
        leaving: member.state == platform::State::Leaving,
        link,
        in_flight: same.map(|old| old.in_flight.clone()).unwrap_or_default(),
        boot: same.map(|old| old.boot.clone()).unwrap_or_default(),
    })
}

fn open(
    id: &Upstream,
    address: SocketAddr,
    pool: &settings::Pool,
    settings: &Settings,
    router: &Arc<Router>,
) -> Link {
    let batch = pool.max_batch as usize;
    let defaults = Limits::default();
    let limits = Limits {
        urgent: defaults.urgent.max(batch * CONNECTIONS_PER_SEQUENCE),
        ordinary: defaults.ordinary.max(batch * CONNECTIONS_PER_SEQUENCE),
        connect: settings.time.connect,
        head: settings.time.first_byte,
        body: settings.time.idle,
        keep: KEEP,
        ..defaults
    };
    match pool.driver {
        Driver::Engine => {
            let engine = engine::Http::new(id.clone(), address, limits, settings.time.load);
            Link::Engine(Arc::new(engine.routed(router)))
        }
        Driver::Service => {
            let service = service::Http::new(id.clone(), address, limits);
            Link::Service(Arc::new(service.routed(router)))
        }
    }
}

fn facts(
    runner: &Runner,
    settings: &Settings,
    down: &[Upstream],
) -> Option<placement::event::Upstream> {
    use placement::event::{Fencing, UpstreamState};
    let pool = settings.pools.get(&*runner.pool)?;
    let state = if runner.leaving {
        UpstreamState::Leaving
    } else if down.contains(&runner.id) {
        UpstreamState::Down
    } else {
        UpstreamState::Live
    };
    let fencing = match pool.fencing {
        settings::Fencing::RefusesOld => Fencing::RefusesOld,
        settings::Fencing::Ignores => Fencing::Ignores,
    };
    Some(placement::event::Upstream {
        id: runner.id.clone(),
        pool: runner.pool.clone(),
        base: pool.base.clone()?,
        zone: runner.zone.clone(),
        store: pool.store.clone()?,
        slots: pool.slots as usize,
        max_batch: pool.max_batch,
        fencing,
        state,
    })
}
