//! Words of a statement as `key value` pairs and flags.

use super::Misfit;
use super::line::Word;

/// Keys and flags of one statement with the values that were given.
pub(crate) struct Args<'a> {
    pairs: Vec<(&'static str, Word<'a>)>,
    flags: Vec<Word<'a>>,
    /// Column behind the last word.
    end: u32,
}

impl<'a> Args<'a> {
    /// Pairs up `words`; every word must be one of `flags`, or one of `keys` with a value.
    pub(crate) fn new(
        words: &[Word<'a>],
        end: u32,
        keys: &[&'static str],
        flags: &[&'static str],
    ) -> Result<Self, Misfit> {
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
            let fresh = key.filter(|key| args.get(key).is_none());
            let Some(key) = fresh else {
                return Err(Misfit::new(word, args.rest(keys, flags)));
            };
            let value = words
                .next()
                .ok_or_else(|| args.missing(format!("a value for `{key}`")))?;
            args.pairs.push((key, value));
        }
        Ok(args)
    }

    /// Returns the value of `key`, if given.
    pub(crate) fn get(&self, key: &str) -> Option<Word<'a>> {
        let pair = self.pairs.iter().find(|(name, _)| *name == key);
        pair.map(|(_, word)| *word)
    }

    /// Returns the value of `key`, which must be given.
    pub(crate) fn need(&self, key: &str) -> Result<Word<'a>, Misfit> {
        self.get(key)
            .ok_or_else(|| self.missing(format!("`{key}` and its value")))
    }

    /// Tells whether `flag` is given.
    pub(crate) fn flag(&self, flag: &str) -> bool {
        self.flags.iter().any(|word| word.text == flag)
    }

    /// Finds that something is missing at the end.
    pub(crate) fn missing(&self, expected: impl Into<String>) -> Misfit {
        Misfit {
            column: self.end,
            expected: expected.into(),
            found: "the end of the rule".into(),
        }
    }

    /// Names the keys and flags that may still follow.
    fn rest(&self, keys: &[&'static str], flags: &[&'static str]) -> String {
        let keys = keys.iter().filter(|key| self.get(key).is_none());
        let flags = flags.iter().filter(|flag| !self.flag(flag));
        let open: Vec<String> = keys.chain(flags).map(|key| format!("`{key}`")).collect();
        match open.as_slice() {
            [] => "the end of the rule".into(),
            [one] => format!("{one} or the end of the rule"),
            more => format!("one of {}", more.join(", ")),
        }
    }
}
