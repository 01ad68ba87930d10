//! Callers, their tokens and their limits.

use std::sync::Arc;

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use wire::Priority;

use super::{RuleSet, find};
use crate::parse::value::HASH_BYTES;

/// Leading bytes of a token's hash by which candidates are looked up. They are compared in the
/// open; the rest is not.
const LOOKUP_BYTES: usize = 2;

/// A caller that the rules declare.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// The caller's name.
    pub name: wire::Caller,
    /// The trades that it may act in, or any; the first one is its default.
    pub trades: Option<Vec<Arc<str>>>,
    /// The highest priority that it gets.
    pub highest: Priority,
}

impl Caller {
    /// Returns the trade that a request acts in: the one it names, if allowed, or the default.
    pub(crate) fn trade<'a>(&'a self, named: &'a str) -> Option<&'a str> {
        match &self.trades {
            None => Some(named),
            Some(trades) if named.is_empty() => trades.first().map(|trade| &**trade),
            Some(trades) => trades
                .iter()
                .any(|trade| &**trade == named)
                .then_some(named),
        }
    }
}

/// Limits of one caller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Requests a second in the long run.
    pub rate: f64,
    /// Requests that may come at once after a pause.
    pub burst: u32,
    /// Requests in progress at once.
    pub concurrent: u32,
}

#[derive(Clone, Debug)]
pub(crate) struct Token {
    pub hash: [u8; HASH_BYTES],
    pub caller: u32,
}

#[derive(Clone, Debug)]
pub(crate) struct Bound {
    pub caller: Arc<str>,
    pub limit: Limit,
}

/// Tables of callers. `list` and `limits` are sorted by name, `tokens` by hash.
#[derive(Clone, Debug, Default)]
pub(crate) struct Callers {
    pub list: Vec<Caller>,
    /// What holds for callers without a line.
    pub other: Option<Caller>,
    pub tokens: Vec<Token>,
    pub limits: Vec<Bound>,
    pub usual: Option<Bound>,
}

impl Callers {
    pub(crate) fn index(&self, name: &str) -> Option<u32> {
        find(&self.list, name, |caller| &caller.name)
    }
}

impl RuleSet {
    /// Returns the caller that owns `token`.
    ///
    /// Hashes that share their first two bytes with the token's are all compared, in constant
    /// time each.
    pub fn caller_by_token(&self, token: &str) -> Option<&Caller> {
        let hash = Sha256::digest(token.as_bytes());
        let prefix = &hash[..LOOKUP_BYTES];
        let tokens = &self.callers.tokens;
        let first = tokens.partition_point(|token| &token.hash[..LOOKUP_BYTES] < prefix);
        let same = tokens[first..]
            .iter()
            .take_while(|token| &token.hash[..LOOKUP_BYTES] == prefix);
        let mut owner = None;
        for token in same {
            if bool::from(token.hash.as_slice().ct_eq(hash.as_slice())) {
                owner = Some(token.caller);
            }
        }
        self.callers.list.get(owner? as usize)
    }

    /// Returns the declared callers, sorted by name.
    pub fn callers(&self) -> &[Caller] {
        &self.callers.list
    }

    /// Returns what holds for `name`: its own line, or that of `*`.
    pub fn caller(&self, name: &str) -> Option<&Caller> {
        match self.callers.index(name) {
            Some(index) => self.callers.list.get(index as usize),
            None => self.callers.other.as_ref(),
        }
    }

    /// Returns the limits of `caller`: its own, or those of `*`.
    pub fn limit(&self, caller: &str) -> Option<Limit> {
        let limits = &self.callers.limits;
        let own = find(limits, caller, |bound| &bound.caller);
        let own = own.map(|index| &limits[index as usize]);
        own.or(self.callers.usual.as_ref()).map(|bound| bound.limit)
    }
}
