//! Base models, pools, adapters and their versions.

use std::sync::Arc;

use wire::Model;

use super::{Location, Rule, RuleSet, find};

/// Basis points in 100 percent.
pub(crate) const BASIS_POINTS: u16 = 10_000;

/// A base model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Base {
    /// The base model's name.
    pub name: wire::Base,
    /// The store that holds the weights of its adapters.
    pub store: wire::Store,
    /// The pool of upstreams that run it.
    pub pool: Arc<str>,
}

/// What the upstreams of a pool run.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PoolKind {
    /// Engines with this base model.
    Base(wire::Base),
    /// A plain service.
    Service,
}

/// A pool of upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pool {
    /// The pool's name.
    pub name: Arc<str>,
    /// What its upstreams run.
    pub kind: PoolKind,
}

/// One version of one adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdapterVersion<'a> {
    /// The adapter and version.
    pub model: &'a Model,
    /// The base model that the adapter belongs to.
    pub base: &'a Base,
    /// Path of the weights in the base model's store.
    pub path: &'a Arc<str>,
    /// The rule that defines the version.
    pub rule: Rule<'a>,
}

#[derive(Clone, Debug)]
pub(crate) struct VersionRow {
    pub model: Model,
    pub path: Arc<str>,
    pub location: Location,
}

#[derive(Clone, Debug)]
pub(crate) struct Adapter {
    pub name: wire::Adapter,
    pub base: u32,
    /// Index of the first of its versions.
    pub first: u32,
    /// Number of its versions.
    pub count: u32,
    /// Row of the version defined by the earliest line.
    pub initial: u32,
    pub rollout: Option<Box<Rollout>>,
}

#[derive(Clone, Debug)]
pub(crate) struct Rollout {
    pub from: u32,
    pub to: u32,
    /// Share of callers that get the new version, in basis points.
    pub share: u16,
    pub location: Location,
}

/// Tables of models. `rows` are sorted by adapter and version, the others by name.
#[derive(Clone, Debug, Default)]
pub(crate) struct Models {
    pub bases: Vec<Base>,
    pub pools: Vec<Pool>,
    pub adapters: Vec<Adapter>,
    pub rows: Vec<VersionRow>,
}

impl Models {
    pub(crate) fn base(&self, name: &str) -> Option<u32> {
        find(&self.bases, name, |base| &base.name)
    }

    pub(crate) fn pool(&self, name: &str) -> Option<u32> {
        find(&self.pools, name, |pool| &pool.name)
    }

    pub(crate) fn adapter(&self, name: &str) -> Option<u32> {
        find(&self.adapters, name, |adapter| &adapter.name)
    }

    /// Returns the index of the row of a version.
    pub(crate) fn version(&self, adapter: u32, name: &str) -> Option<u32> {
        let adapter = &self.adapters[adapter as usize];
        let first = adapter.first as usize;
        let rows = &self.rows[first..first + adapter.count as usize];
        find(rows, name, |row| &row.model.version).map(|index| adapter.first + index)
    }

    /// Returns the row of the version for a caller that names none.
    ///
    /// The position of a caller in a rollout depends only on the caller and the adapter, so raising
    /// the percentage only adds callers.
    pub(crate) fn default_version(&self, adapter: u32, caller: &str) -> u32 {
        let adapter = &self.adapters[adapter as usize];
        match &adapter.rollout {
            None => adapter.initial,
            Some(rollout) if rollout_bucket(&adapter.name, caller) < rollout.share => rollout.to,
            Some(rollout) => rollout.from,
        }
    }
}

/// Returns the position of a caller in the rollouts of an adapter, in basis points.
fn rollout_bucket(adapter: &str, caller: &str) -> u16 {
    let weight = wire::rank::weight(wire::rank::hash(adapter), caller);
    (weight % u64::from(BASIS_POINTS)) as u16
}

impl RuleSet {
    /// Returns the base models, sorted by name.
    pub fn bases(&self) -> &[Base] {
        &self.models.bases
    }

    /// Returns the pools, sorted by name.
    pub fn pools(&self) -> &[Pool] {
        &self.models.pools
    }

    /// Returns every version of every adapter, sorted by adapter and version.
    pub fn adapter_versions(&self) -> impl ExactSizeIterator<Item = AdapterVersion<'_>> {
        let mut adapter = 0;
        self.models
            .rows
            .iter()
            .enumerate()
            .map(move |(index, row)| {
                let end = |adapter: &Adapter| (adapter.first + adapter.count) as usize;
                while end(&self.models.adapters[adapter]) <= index {
                    adapter += 1;
                }
                self.adapter_version(&self.models.adapters[adapter], row)
            })
    }

    /// Returns one version of an adapter.
    pub fn model(&self, adapter: &str, version: &str) -> Option<AdapterVersion<'_>> {
        let adapter = self.models.adapter(adapter)?;
        let row = self.models.version(adapter, version)?;
        let adapter = &self.models.adapters[adapter as usize];
        Some(self.adapter_version(adapter, &self.models.rows[row as usize]))
    }

    fn adapter_version<'a>(&'a self, adapter: &Adapter, row: &'a VersionRow) -> AdapterVersion<'a> {
        AdapterVersion {
            model: &row.model,
            base: &self.models.bases[adapter.base as usize],
            path: &row.path,
            rule: self.rule(row.location),
        }
    }
}
