//! What the platform says of an upstream, and the terms for what it holds.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use wire::{Adapter, Base, Time, Upstream, Zone, rank};

use crate::route::Pool;

/// Number of an adapter's version; a higher one is newer.
pub type Version = u64;

/// A base model that an engine holds, with its adapters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The base model.
    pub base: Base,
    /// The adapters, with their versions where the listing gives them.
    pub adapters: Vec<(Adapter, Option<Version>)>,
}

/// What the platform says of one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Its id.
    pub id: Upstream,
    /// The pool that it serves.
    pub pool: Pool,
    /// Its address.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it leaves.
    pub leaving: bool,
    /// Start of its process in milliseconds since the Unix epoch, where it is given.
    pub born: Option<u64>,
    /// Whether it is a model engine.
    pub engine: bool,
    /// What it holds; empty for plain services and empty engines.
    pub holdings: Vec<Holding>,
}

impl Listing {
    /// Returns the listing without adapters.
    #[must_use]
    pub fn summary(&self) -> Self {
        let bare = |holding: &Holding| Holding {
            base: holding.base.clone(),
            adapters: Vec::new(),
        };
        Self {
            holdings: self.holdings.iter().map(bare).collect(),
            ..self.clone()
        }
    }

    pub(super) fn digest(&self) -> u64 {
        let bases = self.holdings.iter().map(|holding| &*holding.base);
        let bases: Vec<&str> = bases.collect();
        let text = format!(
            "{} {} {} {:?} {}",
            self.pool,
            self.address,
            self.leaving,
            self.born,
            bases.join(" ")
        );
        rank::weight(rank::hash(text), &self.id)
    }
}

/// Load that an upstream states in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// Whether a target is resident.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// It is, in this version where that is known.
    Held(Option<Version>),
    /// It is on its way and expected then.
    Coming(Time, Option<Version>),
    /// It was dropped or found missing.
    Absent,
}

impl Presence {
    /// Returns the presence as of `now`: what was expected by then counts as there.
    #[must_use]
    pub fn as_of(self, now: Time) -> Self {
        match self {
            Self::Coming(at, version) if at <= now => Self::Held(version),
            other => other,
        }
    }
}
