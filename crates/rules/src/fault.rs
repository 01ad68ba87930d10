//! What is wrong with a rule, and where.

use std::fmt;
use std::sync::Arc;

/// Faults that a message shows before it only counts the rest.
const SHOWN: usize = 50;

/// One finding at one place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Name of the file.
    pub file: Arc<str>,
    /// Line, from 1.
    pub line: u32,
    /// Column in characters, from 1.
    pub column: u32,
    /// What the rules allow there.
    pub expected: String,
    /// What stands there.
    pub found: String,
}

impl fmt::Display for Fault {
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

/// Every fault of a revision, which is refused whole.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the rules are refused, mend {} fault(s):{}", .diagnostics.len(), lines(.diagnostics))]
pub struct Error {
    /// The findings, by file and line.
    pub diagnostics: Vec<Fault>,
}

fn lines(faults: &[Fault]) -> String {
    let shown = faults.iter().take(SHOWN);
    let mut text: String = shown.map(|fault| format!("\n  {fault}")).collect();
    if faults.len() > SHOWN {
        text.push_str(&format!("\n  and {} more", faults.len() - SHOWN));
    }
    text
}
