//! Parses text into typed statements: [`line`](mod@line) splits a line into words, [`args`] groups them into
//! key-value pairs, [`value`] parses single values and [`statement`] defines the keys of each
//! statement.

pub(crate) mod args;
pub(crate) mod line;
pub(crate) mod statement;
pub(crate) mod value;

/// An error within one line. The caller adds the file and line number.
#[derive(Clone, Debug)]
pub(crate) struct ParseError {
    /// Column in characters, starting at 1.
    pub column: u32,
    pub expected: String,
    pub found: String,
}

impl ParseError {
    /// Creates an error for `word`, which is quoted as the text found.
    pub(crate) fn new(word: line::Word<'_>, expected: impl Into<String>) -> Self {
        Self {
            column: word.column,
            expected: expected.into(),
            found: format!("{:?}", word.text),
        }
    }
}
