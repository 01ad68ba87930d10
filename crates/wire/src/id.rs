//! Names and numbers of the things that the system decides about.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A VM's id, as the platform's list and the node's settings spell it.
pub type Vm = Arc<str>;

/// An upstream's id: an engine (runner) or a plain service's runner.
pub type Upstream = Arc<str>;

/// An adapter's name.
pub type Adapter = Arc<str>;

/// An adapter version's name.
pub type Version = Arc<str>;

/// A base model's name.
pub type Base = Arc<str>;

/// A caller's name, as the operators' rules spell it.
pub type Caller = Arc<str>;

/// A region's name.
pub type Region = Arc<str>;

/// An availability zone's name.
pub type Zone = Arc<str>;

/// A weight store's name.
pub type Store = Arc<str>;

/// Number of a configuration revision; a higher one is newer.
pub type Revision = u64;

/// Number of a lease, unique within the incarnation that granted it.
pub type Lease = u64;

/// Fencing number on an order to an upstream; a higher one supersedes.
pub type Fence = u64;

/// Number of a request, unique within the incarnation that accepted it.
pub type Request = u64;

/// One run of the process on a VM.
///
/// A replaced or restarted process on the same VM has another `start`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// The VM that the process runs on.
    pub vm: Vm,
    /// Wall clock at process start in microseconds since the Unix epoch. It only tells
    /// incarnations apart; nothing safe rests on its order.
    pub start: u64,
}

impl Incarnation {
    /// Names the incarnation of `vm` that started at `start`.
    pub fn new(vm: impl Into<Vm>, start: u64) -> Self {
        Self {
            vm: vm.into(),
            start,
        }
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:x}", self.vm, self.start)
    }
}

/// One version of one adapter: what a request runs on.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Model {
    /// The adapter's name.
    pub adapter: Adapter,
    /// The version's name.
    pub version: Version,
}

impl Model {
    /// Names `version` of `adapter`.
    pub fn new(adapter: impl Into<Adapter>, version: impl Into<Version>) -> Self {
        Self {
            adapter: adapter.into(),
            version: version.into(),
        }
    }

    /// Reads the form `adapter@version`; `None` where either part is empty or missing.
    pub fn parse(text: &str) -> Option<Self> {
        let (adapter, version) = text.split_once('@')?;
        let whole = !adapter.is_empty() && !version.is_empty() && !version.contains('@');
        whole.then(|| Self::new(adapter, version))
    }
}

impl fmt::Display for Model {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.adapter, self.version)
    }
}

/// Priority of a request; the smaller goes first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Never waits behind the other two.
    Urgent,
    /// Ordinary work.
    #[default]
    Normal,
    /// Work that may wait.
    Routine,
}

impl Priority {
    /// Every priority, most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Routine];

    /// Returns the name used in rules, headers, logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Normal => "normal",
            Self::Routine => "routine",
        }
    }

    /// Reads a name given by [`Priority::name`].
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|priority| priority.name() == text)
    }
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
