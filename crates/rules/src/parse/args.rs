//! Groups the words of a statement into key-value pairs and flags.

use super::ParseError;
use super::line::Word;

/// The key-value pairs and flags given in one statement.
pub(crate) struct Args<'a> {
    pairs: Vec<(&'static str, Word<'a>)>,
    flags: Vec<Word<'a>>,
    /// Column after the last word.
    end: u32,
}

impl<'a> Args<'a> {
    /// Groups `words`. Each key and flag may occur once, and each key must be followed by a value.
    pub(crate) fn new(
        words: &[Word<'a>],
        end: u32,
        keys: &[&'static str],
        flags: &[&'static str],
    ) -> Result<Self, ParseError> {
        let mut args = Self {
            pairs: Vec::with_capacity(keys.len()),
            flags: Vec::new(),
            end,
        };
        let mut words = words.iter().copied();
        while let Some(word) = words.next() {
            if flags.contains(&word.text) && !args.flag(word.text) {
                args.flags.push(word);
                continue;
            }
            let key = keys.iter().copied().find(|key| *key == word.text);
            let unused_key = key.filter(|key| args.get(key).is_none());
            let Some(key) = unused_key else {
                return Err(ParseError::new(word, args.expected_next(keys, flags)));
            };
            let value = words
                .next()
                .ok_or_else(|| args.missing(format!("a value for `{key}`")))?;
            args.pairs.push((key, value));
        }
        Ok(args)
    }

    /// Returns the value of `key`, if present.
    pub(crate) fn get(&self, key: &str) -> Option<Word<'a>> {
        let pair = self.pairs.iter().find(|(name, _)| *name == key);
        pair.map(|(_, word)| *word)
    }

    /// Returns the value of `key`, or an error if it is absent.
    pub(crate) fn required(&self, key: &str) -> Result<Word<'a>, ParseError> {
        self.get(key)
            .ok_or_else(|| self.missing(format!("`{key}` and its value")))
    }

    /// Returns whether `flag` is present.
    pub(crate) fn flag(&self, flag: &str) -> bool {
        self.flags.iter().any(|word| word.text == flag)
    }

    /// Returns the error for an argument that is missing at the end of the rule.
    pub(crate) fn missing(&self, expected: impl Into<String>) -> ParseError {
        ParseError {
            column: self.end,
            expected: expected.into(),
            found: "the end of the rule".into(),
        }
    }

    /// Describes the keys and flags that may still follow.
    fn expected_next(&self, keys: &[&'static str], flags: &[&'static str]) -> String {
        let keys = keys.iter().filter(|key| self.get(key).is_none());
        let flags = flags.iter().filter(|flag| !self.flag(flag));
        let remaining: Vec<String> = keys.chain(flags).map(|key| format!("`{key}`")).collect();
        match remaining.as_slice() {
            [] => "the end of the rule".into(),
            [one] => format!("{one} or the end of the rule"),
            more => format!("one of {}", more.join(", ")),
        }
    }
}
