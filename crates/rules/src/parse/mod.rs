//! From text to typed statements: [`line`] splits a line into words, [`args`] pairs them up,
//! [`value`] reads single values and [`statement`] knows the keys of each statement.

pub(crate) mod args;
pub(crate) mod line;
pub(crate) mod statement;
pub(crate) mod value;

/// A finding within one line.
#[derive(Clone, Debug)]
pub(crate) struct Misfit {
    /// Column in characters, from 1.
    pub column: u32,
    pub expected: String,
    pub found: String,
}

impl Misfit {
    pub(crate) fn new(word: line::Word<'_>, expected: impl Into<String>) -> Self {
        Self {
            column: word.column,
            expected: expected.into(),
            found: format!("{:?}", word.text),
        }
    }
}
