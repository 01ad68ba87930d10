//! Tenants, which may send requests with the API keys that operators issue.

use std::sync::Arc;

use sha2::{Digest, Sha256};

/// Name of a tenant.
pub type TenantName = Arc<str>;

/// Digest of a key. Lookups compare digests, so that their timing reveals nothing about keys.
type KeyDigest = [u8; 32];

/// Rate limit of a tenant, across all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Units per second.
    pub rate: f64,
    /// Additional units that may be used at once.
    pub burst: f64,
    /// The unit in which requests are counted.
    pub unit: Unit,
}

/// The unit in which a quota counts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// Each request costs one unit.
    Requests,
    /// Each request costs its tokens, or this number if it does not state them.
    Tokens(u32),
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: TenantName,
    /// Priority of its requests; overrides the priority of the route.
    pub priority: Option<u8>,
    /// Its quota; absent if it is unlimited.
    pub quota: Option<Quota>,
}

/// All tenants and their keys.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tenants {
    /// Sorted by key digest.
    keys: Vec<(KeyDigest, Arc<Tenant>)>,
}

impl Tenants {
    /// Returns the tenant named `name`.
    pub fn tenant(&self, name: &str) -> Option<&Arc<Tenant>> {
        let mut tenants = self.keys.iter().map(|(_, tenant)| tenant);
        tenants.find(|tenant| *tenant.name == *name)
    }

    /// Creates the set of tenants with their keys.
    pub fn new<K: AsRef<str>>(tenants: impl IntoIterator<Item = (Tenant, Vec<K>)>) -> Self {
        let mut all = Vec::new();
        for (tenant, keys) in tenants {
            let tenant = Arc::new(tenant);
            let keys = keys
                .iter()
                .map(|key| (digest(key.as_ref()), tenant.clone()));
            all.extend(keys);
        }
        all.sort_unstable_by_key(|(digest, _)| *digest);
        Self { keys: all }
    }

    /// Returns the tenant that `key` was issued to.
    pub fn tenant_by_key(&self, key: &str) -> Option<&Arc<Tenant>> {
        let digest = digest(key);
        let found = self.keys.binary_search_by(|(known, _)| known.cmp(&digest));
        found.ok().map(|index| &self.keys[index].1)
    }
}

fn digest(key: &str) -> KeyDigest {
    Sha256::digest(key.as_bytes()).into()
}
