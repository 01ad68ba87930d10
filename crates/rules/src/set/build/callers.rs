//! Callers, tokens and limits.

use super::{Builder, Placed};
use crate::parse::line::Word;
use crate::parse::statement::Statement;
use crate::parse::value;
use crate::set::Place;
use crate::set::caller::{Bound, Caller, Limit, Token};

impl<'a> Builder<'a> {
    pub(super) fn callers(&mut self, statements: &[Placed<'a>]) {
        let mut callers = Vec::new();
        let mut tokens: Vec<(Place, Word<'a>, [u8; value::HASH_BYTES])> = Vec::new();
        for (place, statement) in statements {
            let Statement::Caller {
                name,
                tokens: hashes,
                trades,
                highest,
            } = statement
            else {
                continue;
            };
            let trades = trades.as_ref();
            let caller = Caller {
                name: self.string(name.text),
                trades: trades.map(|trades| trades.iter().map(|t| self.string(t)).collect()),
                highest: *highest,
            };
            callers.push((*place, *name, caller));
            tokens.extend(hashes.iter().map(|hash| (*place, *name, *hash)));
        }
        let mut callers = self.unique(callers, "caller");
        let other = callers
            .iter()
            .position(|caller| &*caller.name == value::ANY);
        self.set.callers.other = other.map(|index| callers.remove(index));
        self.set.callers.list = callers;
        tokens.sort_by_key(|token| token.2);
        for pair in tokens.windows(2) {
            if pair[0].2 == pair[1].2 {
                let expected = format!("a token of its own, see {}", self.line(pair[0].0));
                self.fault(pair[1].0, pair[1].1, expected);
            }
        }
        let index = |(_, name, hash): (Place, Word<'a>, _)| {
            let caller = self.set.callers.index(name.text)?;
            Some(Token { hash, caller })
        };
        self.set.callers.tokens = tokens.into_iter().filter_map(index).collect();
    }

    pub(super) fn limits(&mut self, statements: &[Placed<'a>]) {
        let mut limits = Vec::new();
        for (place, statement) in statements {
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
                self.find_caller(*place, *caller);
            }
            let limit = Limit {
                rate: *rate,
                burst: *burst,
                concurrent: *concurrent,
            };
            let bound = Bound {
                caller: self.string(caller.text),
                limit,
            };
            limits.push((*place, *caller, bound));
        }
        let mut limits = self.unique(limits, "limit");
        let usual = limits.iter().position(|bound| &*bound.caller == value::ANY);
        self.set.callers.usual = usual.map(|index| limits.remove(index));
        self.set.callers.limits = limits;
    }

    pub(super) fn find_caller(&mut self, place: Place, word: Word<'a>) -> Option<u32> {
        let index = self.set.callers.index(word.text);
        if index.is_none() {
            self.fault(place, word, "a caller that a `caller` line declares");
        }
        index
    }
}
