//! Callers, their tokens and their limits.

use std::sync::Arc;

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use wire::Priority;

use super::{RuleSet, find};
use crate::parse::value::HASH_BYTES;

/// Length of the hash prefix by which candidate tokens are looked up. The prefix is not compared in
/// constant time; the full hash is.
const LOOKUP_BYTES: usize = 2;

/// A caller declared in the rules.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// The caller's name.
    pub name: wire::Caller,
    /// The trades that the caller may act in, or `None` for any. The first one is the default.
    pub trades: Option<Vec<Arc<str>>>,
    /// The highest priority that the caller may use.
    pub max_priority: Priority,
}

impl Caller {
    /// Returns the trade of a request: the one it names, if allowed, or the default.
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

/// The rate and concurrency limits of a caller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Sustained rate in requests per second.
    pub rate: f64,
    /// Maximum number of requests in a burst after an idle period.
    pub burst: u32,
    /// Maximum number of concurrent requests.
    pub concurrent: u32,
}

#[derive(Clone, Debug)]
pub(crate) struct Token {
    pub hash: [u8; HASH_BYTES],
    pub caller: u32,
}

#[derive(Clone, Debug)]
pub(crate) struct CallerLimit {
    pub caller: Arc<str>,
    pub limit: Limit,
}

/// Tables of callers. `list` and `limits` are sorted by name, `tokens` by hash.
#[derive(Clone, Debug, Default)]
pub(crate) struct Callers {
    pub list: Vec<Caller>,
    /// Applies to callers that are not declared.
    pub default_caller: Option<Caller>,
    pub tokens: Vec<Token>,
    pub limits: Vec<CallerLimit>,
    pub default_limit: Option<CallerLimit>,
}

impl Callers {
    pub(crate) fn index(&self, name: &str) -> Option<u32> {
        find(&self.list, name, |caller| &caller.name)
    }
}

impl RuleSet {
    /// Returns the caller that owns `token`.
    ///
    /// Compares the token's hash in constant time with every stored hash that has the same first
    /// two bytes.
    pub fn caller_by_token(&self, token: &str) -> Option<&Caller> {
        let hash = Sha256::digest(token.as_bytes());
        let prefix = &hash[..LOOKUP_BYTES];
        let tokens = &self.callers.tokens;
        let first = tokens.partition_point(|token| &token.hash[..LOOKUP_BYTES] < prefix);
        let candidates = tokens[first..]
            .iter()
            .take_while(|token| &token.hash[..LOOKUP_BYTES] == prefix);
        let mut owner = None;
        for token in candidates {
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

    /// Returns the declaration of the caller `name`, or else that of `*`.
    pub fn caller(&self, name: &str) -> Option<&Caller> {
        match self.callers.index(name) {
            Some(index) => self.callers.list.get(index as usize),
            None => self.callers.default_caller.as_ref(),
        }
    }

    /// Returns the limits of `caller`, or else those of `*`.
    pub fn limit(&self, caller: &str) -> Option<Limit> {
        let limits = &self.callers.limits;
        let own = find(limits, caller, |limit| &limit.caller);
        let own = own.map(|index| &limits[index as usize]);
        own.or(self.callers.default_limit.as_ref())
            .map(|limit| limit.limit)
    }
}
