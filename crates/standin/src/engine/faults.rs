//! What goes wrong with an engine, set by admin requests or in-process.

use serde::{Deserialize, Serialize};

/// How loads go.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Loads {
    /// They succeed.
    #[default]
    Sound,
    /// They fail after their time.
    Fail,
    /// They never end.
    Hang,
}

/// Faults to inject; the default injects none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// How loads go.
    pub loads: Loads,
    /// Whether the engine is leaving.
    pub leaving: bool,
    /// Whether it refuses old fencing numbers, in place of the setting.
    pub check_fence: Option<bool>,
    /// Completions close their connection before the response head.
    pub close_before_head: bool,
    /// Streams close their connection after this many tokens.
    pub cut_after: Option<u64>,
    /// Streams end well-formed but without the last event after this many tokens.
    pub end_early: Option<u64>,
    /// Streams name another attempt.
    pub crossed: bool,
    /// No step is made.
    pub stall: bool,
}
