//! Splits a line into its words and its comment.

use super::ParseError;

/// Maximum length of a line in characters, excluding the comment.
const LINE_CHARS_MAX: usize = 4096;

/// A word and its position in the line.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Word<'a> {
    pub text: &'a str,
    /// Column in characters, starting at 1.
    pub column: u32,
}

/// The words and the comment of a rule.
#[derive(Debug)]
pub(crate) struct Line<'a> {
    pub words: Vec<Word<'a>>,
    /// The comment, which names who requested the rule.
    pub comment: &'a str,
    /// Column after the last word.
    pub end: u32,
}

/// Splits a line. Returns `None` if it is empty or has only a comment.
pub(crate) fn split(text: &str) -> Result<Option<Line<'_>>, ParseError> {
    let mut words = Vec::new();
    let mut column = 1;
    let mut end = 1;
    let mut rest = text;
    loop {
        let trimmed = rest.trim_start();
        column += chars(&rest[..rest.len() - trimmed.len()]);
        rest = trimmed;
        if rest.is_empty() || rest.starts_with('#') {
            break;
        }
        let size = rest.find(char::is_whitespace).unwrap_or(rest.len());
        let word = Word {
            text: &rest[..size],
            column,
        };
        words.push(word);
        column += chars(word.text);
        end = column;
        rest = &rest[size..];
    }
    if words.is_empty() {
        return Ok(None);
    }
    if column as usize > LINE_CHARS_MAX {
        return Err(line_too_long());
    }
    match rest.trim_start_matches('#').trim() {
        "" => Err(missing_comment(column)),
        comment => Ok(Some(Line {
            words,
            comment,
            end,
        })),
    }
}

fn chars(text: &str) -> u32 {
    u32::try_from(text.chars().count()).unwrap_or(u32::MAX >> 1)
}

fn missing_comment(column: u32) -> ParseError {
    ParseError {
        column,
        expected: "a comment `# NAME` that names who requested the rule".into(),
        found: "the end of the line".into(),
    }
}

fn line_too_long() -> ParseError {
    ParseError {
        column: 1,
        expected: format!("at most {LINE_CHARS_MAX} characters before the comment"),
        found: "a longer line".into(),
    }
}
