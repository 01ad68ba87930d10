//! The platform's listing of an upstream, and the types for its holdings.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use wire::{Adapter, Base, Time, Upstream, Zone, rank};

use crate::route::PoolName;

/// Number of an adapter's version; a higher one is newer.
pub type Version = u64;

/// Identifies a release of the software of a pool's upstreams: a hash of the pool and the release's
/// name. Streams of two releases do not fit together.
pub type Release = u32;

/// Returns the release of that name in a pool.
pub fn release(pool: &str, name: &str) -> Release {
    let hash = rank::weight(rank::hash(name), pool);
    (hash >> 32) as Release
}

/// A base model that an engine holds, with its adapters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The base model.
    pub base: Base,
    /// The adapters, with their versions if the listing states them.
    pub adapters: Vec<(Adapter, Option<Version>)>,
}

/// The platform's listing of one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Its id.
    pub id: Upstream,
    /// The pool that it serves.
    pub pool: PoolName,
    /// Its address.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Start of its process in milliseconds since the Unix epoch, if stated.
    pub born: Option<u64>,
    /// Whether it is a model engine.
    pub engine: bool,
    /// The models that it holds; empty for plain services and empty engines.
    pub holdings: Vec<Holding>,
    /// The release of its software.
    pub release: Release,
}

impl Listing {
    /// Returns the listing without its adapters.
    #[must_use]
    pub fn summary(&self) -> Self {
        let without_adapters = |holding: &Holding| Holding {
            base: holding.base.clone(),
            adapters: Vec::new(),
        };
        Self {
            holdings: self.holdings.iter().map(without_adapters).collect(),
            ..self.clone()
        }
    }

    /// Returns a digest of the fields that nodes compare. Adapters are not among them.
    pub(super) fn digest(&self) -> u64 {
        let bases = self.holdings.iter().map(|holding| &*holding.base);
        let bases: Vec<&str> = bases.collect();
        let text = format!(
            "{} {} {} {:?} {} {}",
            self.pool,
            self.address,
            self.leaving,
            self.born,
            self.release,
            bases.join(" ")
        );
        rank::weight(rank::hash(text), &self.id)
    }
}

/// The load that an upstream reports in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
}

/// The residency of a target on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// The target is resident, in this version if that is known.
    Held(Option<Version>),
    /// The target is being loaded and expected at this time.
    Coming(Time, Option<Version>),
    /// The target was evicted or found missing.
    Absent,
}

impl Presence {
    /// Returns the presence as of `now`. A load that was expected by then counts as finished.
    #[must_use]
    pub fn as_of(self, now: Time) -> Self {
        match self {
            Self::Coming(at, version) if at <= now => Self::Held(version),
            other => other,
        }
    }
}
