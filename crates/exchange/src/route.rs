//! The configuration in force: routes, and the pools of upstreams that serve them.

use std::sync::Arc;
use std::time::Duration;

use wire::{Base, Revision, rank};

use crate::tenant::Tenants;

/// Name of a pool of upstreams.
pub type PoolName = Arc<str>;

/// The kind of requests on a route, which decides what may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    Once,
    /// The answer is an event stream. Another engine may continue a `resumable` stream after its
    /// last event.
    Stream {
        /// Whether a stream may be resumed.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request may be retried although an upstream may have run it.
    pub const fn repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Returns whether the answer is an event stream.
    pub const fn streams(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A rule that routes requests to pools.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// Host that it serves.
    pub host: Arc<str>,
    /// Prefix of the paths that it serves; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// The kind of its requests.
    pub kind: RouteKind,
    /// Maximum time until a request has its complete answer.
    pub timeout: Duration,
    /// Latency up to which an answer, or the first event of a stream, is on time.
    pub latency_target: Duration,
    /// Priority of its requests; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of upstreams that one request may be sent to.
    pub attempts: u32,
    /// Pools with their weights, whose sum is positive.
    pub pools: Vec<(PoolName, u32)>,
    /// Whether requests need no API key although tenants are configured.
    pub public: bool,
}

impl Route {
    /// Returns the pool for a request that hashes to `seed`.
    pub fn pool(&self, seed: u64) -> Option<&PoolName> {
        let sum: u64 = self
            .pools
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        let mut offset = seed.checked_rem(sum)?;
        for (pool, weight) in &self.pools {
            match offset.checked_sub(u64::from(*weight)) {
                Some(rest) => offset = rest,
                None => return Some(pool),
            }
        }
        None
    }
}

/// A base model that the engines of a pool may hold.
#[derive(Clone, Debug, PartialEq)]
pub struct Weights {
    /// Its name.
    pub base: Base,
    /// Size in megabytes.
    pub size_mb: f64,
    /// Time to load it from the weight store.
    pub load_time: Duration,
}

/// Properties of the engines of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Maximum number of requests in a batch.
    pub max_batch: u32,
    /// Number of adapters that fit on an engine, including those being loaded.
    pub adapter_slots: usize,
    /// Megabytes available to base models.
    pub capacity_mb: f64,
    /// Base model loads per second that the weight store sustains for all engines.
    pub loads_per_second: f64,
    /// Base models that the pool may hold, sorted by name.
    pub weights: Vec<Weights>,
}

/// A pool of upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: PoolName,
    /// Maximum number of connections to one upstream from all nodes together.
    pub connections: u32,
    /// Properties of its engines; absent for plain services.
    pub engine: Option<Engine>,
}

/// Limits on callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Maximum time that a connection may stay idle between two requests.
    pub idle: Duration,
}

/// One revision of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Its number.
    pub revision: Revision,
    routes: Vec<Arc<Route>>,
    services: Vec<Arc<Service>>,
    /// Limits on callers.
    pub limits: Limits,
    /// The tenants that may send requests; absent if anyone may.
    pub tenants: Option<Tenants>,
}

impl Config {
    /// Creates a revision from its routes and services.
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

    /// Restricts requests to `tenants`, if present.
    #[must_use]
    pub fn with_tenants(self, tenants: Option<Tenants>) -> Self {
        Self { tenants, ..self }
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let slashes = path.char_indices().rev().filter(|(_, c)| *c == '/');
        slashes
            .map(|(index, _)| &path[..=index])
            .find_map(|prefix| self.route_by_prefix(host, prefix))
    }

    fn route_by_prefix(&self, host: &str, prefix: &str) -> Option<&Arc<Route>> {
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

/// Returns the hash of an attempt, which selects among weighted pools and equal upstreams.
pub fn seed(attempt: &str) -> u64 {
    rank::hash(attempt)
}
