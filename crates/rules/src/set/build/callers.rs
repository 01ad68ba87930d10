//! Callers, tokens and limits.

use super::{Builder, LocatedStatement};
use crate::parse::line::Word;
use crate::parse::statement::Statement;
use crate::parse::value;
use crate::set::Location;
use crate::set::caller::{Caller, CallerLimit, Limit, Token};

impl<'a> Builder<'a> {
    pub(super) fn build_callers(&mut self, statements: &[LocatedStatement<'a>]) {
        let mut callers = Vec::new();
        let mut tokens: Vec<(Location, Word<'a>, [u8; value::HASH_BYTES])> = Vec::new();
        for (location, statement) in statements {
            let Statement::Caller {
                name,
                tokens: hashes,
                trades,
                max_priority,
            } = statement
            else {
                continue;
            };
            let trades = trades.as_ref();
            let caller = Caller {
                name: self.intern(name.text),
                trades: trades.map(|trades| trades.iter().map(|t| self.intern(t)).collect()),
                max_priority: *max_priority,
            };
            callers.push((*location, *name, caller));
            tokens.extend(hashes.iter().map(|hash| (*location, *name, *hash)));
        }
        let mut callers = self.sort_unique(callers, "caller");
        let other = callers
            .iter()
            .position(|caller| &*caller.name == value::ANY);
        self.set.callers.default_caller = other.map(|index| callers.remove(index));
        self.set.callers.list = callers;
        tokens.sort_by_key(|token| token.2);
        for pair in tokens.windows(2) {
            if pair[0].2 == pair[1].2 {
                let expected = format!(
                    "a token of its own, see {}",
                    self.describe_location(pair[0].0)
                );
                self.report(pair[1].0, pair[1].1, expected);
            }
        }
        let index = |(_, name, hash): (Location, Word<'a>, _)| {
            let caller = self.set.callers.index(name.text)?;
            Some(Token { hash, caller })
        };
        self.set.callers.tokens = tokens.into_iter().filter_map(index).collect();
    }

    pub(super) fn build_limits(&mut self, statements: &[LocatedStatement<'a>]) {
        let mut limits = Vec::new();
        for (location, statement) in statements {
            let Statement::Limit {
                caller,
                rate,
                burst,
                concurrent,
            } = statement
            else {
                continue;
            };
            if caller.text != value::ANY {
                self.find_caller(*location, *caller);
            }
            let limit = Limit {
                rate: *rate,
                burst: *burst,
                concurrent: *concurrent,
            };
            let limit = CallerLimit {
                caller: self.intern(caller.text),
                limit,
            };
            limits.push((*location, *caller, limit));
        }
        let mut limits = self.sort_unique(limits, "limit");
        let usual = limits.iter().position(|limit| &*limit.caller == value::ANY);
        self.set.callers.default_limit = usual.map(|index| limits.remove(index));
        self.set.callers.limits = limits;
    }

    pub(super) fn find_caller(&mut self, location: Location, word: Word<'a>) -> Option<u32> {
        let index = self.set.callers.index(word.text);
        if index.is_none() {
            self.report(location, word, "a caller that a `caller` line declares");
        }
        index
    }
}
