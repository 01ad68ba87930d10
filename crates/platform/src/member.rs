//! The platform's list of VMs. It lags behind the truth and may carry no usable revision.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use wire::{Region, Revision, Vm, Zone};

/// What a VM does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Role {
    /// Runs a node of the system.
    Entry {
        /// Where callers connect.
        callers: SocketAddr,
        /// Where other nodes connect.
        peers: SocketAddr,
    },
    /// Runs an upstream: an engine or a plain service.
    Runner {
        /// The pool of like runners that the operators' rules name.
        pool: String,
        /// Where the upstream listens.
        address: SocketAddr,
        /// The release of its software, where the platform tells it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        release: Option<String>,
    },
}

/// Whether a VM takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// In service.
    Live,
    /// To be given no new work; it goes soon.
    Leaving,
}

/// One VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The VM's id.
    pub vm: Vm,
    /// What it does.
    pub role: Role,
    /// Its region.
    pub region: Region,
    /// Its availability zone.
    pub zone: Zone,
    /// Whether it takes new work.
    pub state: State,
}

/// The VM list as last published.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// Revision of the list, where the platform gives one that can be relied on.
    pub revision: Option<Revision>,
    /// The VMs, sorted by id.
    pub members: Vec<Member>,
}
