//! Tenants: who may send requests, by the keys that operators hand out.

use std::sync::Arc;

use sha2::{Digest, Sha256};

/// Name of a tenant.
pub type TenantName = Arc<str>;

/// Digest of a key. Keys are compared by it, so that the time of a search tells nothing of them.
type Print = [u8; 32];

/// What a tenant may ask for, over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Units a second.
    pub rate: f64,
    /// Units at once beside these.
    pub burst: f64,
    /// What a request counts.
    pub unit: Unit,
}

/// What a request counts of a quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// One.
    Requests,
    /// Its tokens, or so many where it does not state them.
    Tokens(u32),
}

/// One tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: TenantName,
    /// Rank of its requests, in place of their routes'.
    pub priority: Option<u8>,
    /// Its quota; absent where it has none.
    pub quota: Option<Quota>,
}

/// All tenants with their keys.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tenants {
    /// Sorted by the keys' digests.
    keys: Vec<(Print, Arc<Tenant>)>,
}

impl Tenants {
    /// Returns the tenant named `name`.
    pub fn tenant(&self, name: &str) -> Option<&Arc<Tenant>> {
        let mut tenants = self.keys.iter().map(|(_, tenant)| tenant);
        tenants.find(|tenant| *tenant.name == *name)
    }

    /// Joins tenants and their keys.
    pub fn new<K: AsRef<str>>(tenants: impl IntoIterator<Item = (Tenant, Vec<K>)>) -> Self {
        let mut all = Vec::new();
        for (tenant, keys) in tenants {
            let tenant = Arc::new(tenant);
            let keys = keys.iter().map(|key| (print(key.as_ref()), tenant.clone()));
            all.extend(keys);
        }
        all.sort_unstable_by_key(|(print, _)| *print);
        Self { keys: all }
    }

    /// Returns whose key it is.
    pub fn tenant_by_key(&self, key: &str) -> Option<&Arc<Tenant>> {
        let print = print(key);
        let found = self.keys.binary_search_by(|(known, _)| known.cmp(&print));
        found.ok().map(|index| &self.keys[index].1)
    }
}

fn print(key: &str) -> Print {
    Sha256::digest(key.as_bytes()).into()
}
