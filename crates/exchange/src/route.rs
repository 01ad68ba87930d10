//! The configuration in force: routes and the pools of upstreams behind them.

use std::sync::Arc;
use std::time::Duration;

use wire::{Base, Revision, rank};

use crate::tenant::Tenants;

/// Name of a pool of upstreams.
pub type Pool = Arc<str>;

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    Once,
    /// An event stream; `resumable` streams may go on at another engine after their last event.
    Stream {
        /// Whether a stream may be resumed.
        resumable: bool,
    },
}

impl RouteKind {
    /// Tells whether the request may be sent again although an upstream may have run it.
    pub const fn repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Tells whether the answer is an event stream.
    pub const fn streams(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// One rule that sends requests to pools.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// Host that it serves.
    pub host: Arc<str>,
    /// Beginning of the paths that it serves, from slash to slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a request is kept waiting for its whole answer.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of a stream, is on time.
    pub latency_target: Duration,
    /// Rank of its requests; 0 goes first.
    pub priority: u8,
    /// Upstreams that one request may be sent to at most.
    pub attempts: u32,
    /// Pools with their weights, which are above zero in sum.
    pub pools: Vec<(Pool, u32)>,
    /// Whether requests need no key, where there are tenants.
    pub public: bool,
}

impl Route {
    /// Returns the pool for a request that hashes to `seed`.
    pub fn pool(&self, seed: u64) -> Option<&Pool> {
        let sum: u64 = self
            .pools
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        let mut draw = seed.checked_rem(sum)?;
        for (pool, weight) in &self.pools {
            match draw.checked_sub(u64::from(*weight)) {
                Some(rest) => draw = rest,
                None => return Some(pool),
            }
        }
        None
    }
}

/// A base model that engines of a pool may hold.
#[derive(Clone, Debug, PartialEq)]
pub struct Weights {
    /// Its name.
    pub base: Base,
    /// Size in megabytes.
    pub size_mb: f64,
    /// Time of a load from the weight store.
    pub load_time: Duration,
}

/// Facts of the engines of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests in a batch at most.
    pub max_batch: u32,
    /// Adapters that fit an engine at once, those on their way included.
    pub adapter_slots: usize,
    /// Megabytes that base models may take.
    pub capacity_mb: f64,
    /// Loads of base models a second from the weight store, over all engines.
    pub loads_per_second: f64,
    /// Base models that the pool may hold, sorted by name.
    pub weights: Vec<Weights>,
}

/// One pool of upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: Pool,
    /// Connections that one upstream takes from all nodes together.
    pub connections: u32,
    /// Facts of model engines; absent for plain services.
    pub engine: Option<Engine>,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time that a connection may stay idle between two requests.
    pub idle: Duration,
}

/// One revision of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Its number.
    pub revision: Revision,
    routes: Vec<Arc<Route>>,
    services: Vec<Arc<Service>>,
    /// Bounds on callers.
    pub limits: Limits,
    /// Who may send requests; absent where anybody may.
    pub tenants: Option<Tenants>,
}

impl Config {
    /// Joins routes and services into one revision.
    pub fn new(
        revision: Revision,
        routes: impl IntoIterator<Item = Route>,
        services: impl IntoIterator<Item = Service>,
        limits: Limits,
    ) -> Self {
        let mut routes: Vec<Arc<Route>> = routes.into_iter().map(Arc::new).collect();
        let mut services: Vec<Arc<Service>> = services.into_iter().map(Arc::new).collect();
        routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        services.sort_by(|a, b| a.name.cmp(&b.name));
        Self {
            revision,
            routes,
            services,
            limits,
            tenants: None,
        }
    }

    /// Lets only `tenants` send requests.
    #[must_use]
    pub fn with_tenants(self, tenants: Option<Tenants>) -> Self {
        Self { tenants, ..self }
    }

    /// Returns the route with the longest prefix that begins `path`, among those of `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let ends = path.char_indices().rev().filter(|(_, c)| *c == '/');
        ends.map(|(index, _)| &path[..=index])
            .find_map(|prefix| self.exact(host, prefix))
    }

    fn exact(&self, host: &str, prefix: &str) -> Option<&Arc<Route>> {
        let key = (host, prefix);
        let index = self
            .routes
            .binary_search_by(|route| (&*route.host, &*route.prefix).cmp(&key));
        index.ok().map(|index| &self.routes[index])
    }

    /// Returns the pool named `name`.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        let index = self
            .services
            .binary_search_by(|service| (*service.name).cmp(name));
        index.ok().map(|index| &self.services[index])
    }

    /// Returns all routes, sorted by host and prefix.
    pub fn routes(&self) -> &[Arc<Route>] {
        &self.routes
    }

    /// Returns all pools, sorted by name.
    pub fn services(&self) -> &[Arc<Service>] {
        &self.services
    }
}

/// Returns the number that spreads one request over weights and equal choices.
pub fn seed(attempt: &str) -> u64 {
    rank::hash(attempt)
}
