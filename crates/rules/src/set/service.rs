//! Routes of calls to plain services.

use std::sync::Arc;

use super::{Location, Rule, RuleSet};

/// Whether a call may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetryPolicy {
    /// The call runs at most once.
    Once,
    /// The call is idempotent.
    Idempotent,
}

/// The service and pool selected for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceRoute<'a> {
    /// The service's name.
    pub service: &'a Arc<str>,
    /// The pool of upstreams that run it.
    pub pool: &'a Arc<str>,
    /// Whether the call may be retried.
    pub retry_policy: RetryPolicy,
    /// The rule that was selected.
    pub rule: Rule<'a>,
}

/// One path and method of a service.
#[derive(Clone, Debug)]
pub(crate) struct ServicePath {
    /// The path without `/*`.
    pub prefix: Arc<str>,
    /// Whether paths below it match too.
    pub include_subpaths: bool,
    /// One method, or any.
    pub method: Option<Arc<str>>,
    pub service: Arc<str>,
    pub pool: Arc<str>,
    pub retry_policy: RetryPolicy,
    pub location: Location,
}

impl ServicePath {
    pub(crate) fn key(&self) -> (&str, bool, Option<&str>) {
        (&self.prefix, self.include_subpaths, self.method.as_deref())
    }
}

/// Paths, sorted by [`ServicePath::key`].
#[derive(Clone, Debug, Default)]
pub(crate) struct Services {
    pub paths: Vec<ServicePath>,
}

impl Services {
    fn find(&self, prefix: &str, include_subpaths: bool, method: &str) -> Option<&ServicePath> {
        let get = |method| {
            let key = (prefix, include_subpaths, method);
            self.paths.binary_search_by(|path| path.key().cmp(&key))
        };
        let index = get(Some(method)).or_else(|_| get(None)).ok()?;
        self.paths.get(index)
    }

    fn route(&self, method: &str, path: &str) -> Option<&ServicePath> {
        if let Some(found) = self.find(path, false, method) {
            return Some(found);
        }
        let mut prefix = path;
        loop {
            if let Some(found) = self.find(prefix, true, method) {
                return Some(found);
            }
            prefix = &prefix[..prefix.rfind('/')?];
        }
    }
}

/// Returns whether every server interprets `path` in the same way: it has no empty or dot segments,
/// trailing slash or parameters, and does not escape characters that need no escape or that could
/// act as separators.
pub(crate) fn is_canonical(path: &str) -> bool {
    let Some(rest) = path.strip_prefix('/') else {
        return false;
    };
    let segment = |part: &str| !matches!(part, "" | "." | "..");
    let ambiguous = |byte: u8| matches!(byte, b'\\' | b';') || !byte.is_ascii_graphic();
    rest.split('/').all(segment) && !path.bytes().any(ambiguous) && escapes_are_canonical(path)
}

fn escapes_are_canonical(path: &str) -> bool {
    path.split('%').skip(1).all(|tail| {
        let code = tail
            .get(..2)
            .and_then(|code| u8::from_str_radix(code, 16).ok());
        code.is_some_and(|code| {
            let forbidden = code.is_ascii_alphanumeric() || b"-._~/\\;%".contains(&code);
            !forbidden && !code.is_ascii_control()
        })
    })
}

impl RuleSet {
    /// Selects the route for a call to a plain service. An exact path precedes one with `/*`, then
    /// the longest path wins, and a named method precedes any method.
    ///
    /// The query and a trailing slash are ignored. A path that servers may interpret in different
    /// ways has no route, nor does a method that is not in capital letters, because either could
    /// bypass a rule with `once`.
    pub fn service(&self, method: &str, path: &str) -> Option<ServiceRoute<'_>> {
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        let path = path.strip_suffix('/').unwrap_or(path);
        let capitals = !method.is_empty() && method.bytes().all(|byte| byte.is_ascii_uppercase());
        if !capitals || !(path.is_empty() || is_canonical(path)) {
            return None;
        }
        let path = self.services.route(method, path)?;
        Some(ServiceRoute {
            service: &path.service,
            pool: &path.pool,
            retry_policy: path.retry_policy,
            rule: self.rule(path.location),
        })
    }
}
