//! Splits a line into words and the comment that names who asked.

use super::Misfit;

/// Characters that a line may have.
const LINE_CHARS_MAX: usize = 4096;

/// A word and where it stands.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Word<'a> {
    pub text: &'a str,
    /// Column in characters, from 1.
    pub column: u32,
}

/// A rule's words and comment.
#[derive(Debug)]
pub(crate) struct Line<'a> {
    pub words: Vec<Word<'a>>,
    /// Who asked for the rule.
    pub asked: &'a str,
    /// Column behind the last word.
    pub end: u32,
}

/// Splits `text`; `None` for a line without a rule.
pub(crate) fn split(text: &str) -> Result<Option<Line<'_>>, Misfit> {
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
        return Err(long());
    }
    match rest.trim_start_matches('#').trim() {
        "" => Err(nobody(column)),
        asked => Ok(Some(Line { words, asked, end })),
    }
}

fn chars(text: &str) -> u32 {
    u32::try_from(text.chars().count()).unwrap_or(u32::MAX >> 1)
}

fn nobody(column: u32) -> Misfit {
    Misfit {
        column,
        expected: "a comment `# NAME` that names who asked for the rule".into(),
        found: "the end of the line".into(),
    }
}

fn long() -> Misfit {
    Misfit {
        column: 1,
        expected: format!("at most {LINE_CHARS_MAX} characters before the comment"),
        found: "a longer line".into(),
    }
}
