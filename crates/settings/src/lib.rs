//! Settings of one node, read from TOML and checked whole at start.
//!
//! [`Settings::parse`] reads each key on its own, so that one report names every unknown key and
//! every value of the wrong type, then checks the values against each other. The sections are
//! in [`section`], their checks in the same order in `check`; a [`Fault`] is one finding. [`machine`]
//! tells of the memory from which a default follows. A short
//! file works: only the VM's place, the platform's addresses and the peers' key have no default.

mod check;
mod load;
pub mod machine;
pub mod section;

use std::collections::BTreeMap;
use std::fmt;

pub use section::{
    Driver, Exchange, Fencing, Form, Limits, Listen, Log, Peers, Platform, Pool, Secret, Store,
    Times, Tls, Trust, Vm, Weights,
};

/// The settings of one node.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// `[vm]`: which VM this is and where it stands.
    pub vm: Vm,
    /// `[listen]`: the socket addresses that the node binds.
    pub listen: Listen,
    /// `[platform]`: where the configuration and the list of VMs are read.
    pub platform: Platform,
    /// `[peers]`: how nodes authenticate each other.
    pub peers: Peers,
    /// `[limits]`: bounds on what a caller or peer can make the node hold.
    pub limits: Limits,
    /// `[time]`: durations.
    pub time: Times,
    /// `[weights]`: what placement values.
    pub weights: Weights,
    /// `[trust]`: what is believed without proof.
    pub trust: Trust,
    /// `[tls]`: certificate towards callers; plain HTTP without it.
    pub tls: Option<Tls>,
    /// `[exchange]`: requests through engines that guard their own runs; absent elsewhere.
    pub exchange: Option<Exchange>,
    /// `[log]`: form and amount of logs.
    pub log: Log,
    /// `[store.NAME]`: the weight stores of the region.
    pub stores: BTreeMap<String, Store>,
    /// `[pool.NAME]`: facts of the upstreams of a pool.
    pub pools: BTreeMap<String, Pool>,
}

/// One finding: a key, its bad value and the remedy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The dotted key, such as `time.lease`.
    pub key: String,
    /// The value as given; empty where it is missing.
    pub value: String,
    /// What is wrong and what to do.
    pub remedy: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.key.as_str(), self.value.as_str()) {
            ("", _) => write!(f, "{}", self.remedy),
            (key, "") => write!(f, "{key} is not set: {}", self.remedy),
            (key, value) => write!(f, "{key} = {value}: {}", self.remedy),
        }
    }
}

/// Everything that is wrong with a settings file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("settings have {} fault(s):{}", .faults.len(), lines(.faults))]
pub struct Error {
    /// The findings, in the order of the sections.
    pub faults: Vec<Fault>,
}

fn lines(faults: &[Fault]) -> String {
    faults.iter().map(|fault| format!("\n  {fault}")).collect()
}

impl Settings {
    /// Reads and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns every fault found, see [`Settings::parse_with`].
    pub fn parse(text: &str) -> Result<Self, Error> {
        Self::parse_with(text, [])
    }

    /// Reads and checks a settings file in which `overrides` replace or add dotted keys.
    ///
    /// An override's value is written as in TOML; quotes around a string may be left out, and a
    /// list of strings may be written with commas between its parts.
    ///
    /// # Errors
    ///
    /// Returns every fault found: text that is not TOML, unknown keys, values of the wrong type,
    /// and values out of bounds or at odds with each other.
    pub fn parse_with(
        text: &str,
        overrides: impl IntoIterator<Item = (String, String)>,
    ) -> Result<Self, Error> {
        let (settings, mut faults) = load::load(text, overrides);
        let mut found = check::check(&settings);
        // A value that did not load stands at its default here; only the first finding is of use.
        found.retain(|fault| faults.iter().all(|known| known.key != fault.key));
        faults.extend(found);
        if faults.is_empty() {
            Ok(settings)
        } else {
            Err(Error { faults })
        }
    }
}
