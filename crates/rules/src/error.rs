//! Errors found in rules files, with their positions.

use std::fmt;
use std::sync::Arc;

/// Maximum number of diagnostics listed in an error message; the rest are only counted.
const MAX_SHOWN: usize = 50;

/// An error in a rules file and its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// File name.
    pub file: Arc<str>,
    /// Line number, starting at 1.
    pub line: u32,
    /// Column in characters, starting at 1.
    pub column: u32,
    /// What would be valid at this position.
    pub expected: String,
    /// What was found instead.
    pub found: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            file,
            line,
            column,
            expected,
            found,
        } = self;
        write!(
            f,
            "{file}:{line}:{column}: expected {expected}, found {found}"
        )
    }
}

/// All errors of a revision. A single one rejects the whole revision.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the rules were rejected with {} error(s):{}", .diagnostics.len(), list(.diagnostics))]
pub struct Error {
    /// The errors, ordered by file and line.
    pub diagnostics: Vec<Diagnostic>,
}

fn list(diagnostics: &[Diagnostic]) -> String {
    let shown = diagnostics.iter().take(MAX_SHOWN);
    let mut text: String = shown
        .map(|diagnostic| format!("\n  {diagnostic}"))
        .collect();
    if diagnostics.len() > MAX_SHOWN {
        text.push_str(&format!("\n  and {} more", diagnostics.len() - MAX_SHOWN));
    }
    text
}
