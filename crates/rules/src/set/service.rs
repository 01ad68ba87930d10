//! Routes of plain services.

use std::sync::Arc;

use super::{Place, Rule, RuleSet};

/// Whether a call may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetryPolicy {
    /// The call runs at most once.
    Once,
    /// The call is idempotent.
    Idempotent,
}

/// Where a plain call goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceRoute<'a> {
    /// The service's name.
    pub service: &'a Arc<str>,
    /// The pool of upstreams that run it.
    pub pool: &'a Arc<str>,
    /// Whether the call may be sent again.
    pub retry_policy: RetryPolicy,
    /// The line that decided.
    pub rule: Rule<'a>,
}

/// One path and method of a service.
#[derive(Clone, Debug)]
pub(crate) struct Path {
    /// The path without `/*`.
    pub stem: Arc<str>,
    /// Whether everything below it counts too.
    pub below: bool,
    /// One method, or any.
    pub method: Option<Arc<str>>,
    pub service: Arc<str>,
    pub pool: Arc<str>,
    pub retry_policy: RetryPolicy,
    pub place: Place,
}

impl Path {
    pub(crate) fn key(&self) -> (&str, bool, Option<&str>) {
        (&self.stem, self.below, self.method.as_deref())
    }
}

/// Paths, sorted by [`Path::key`].
#[derive(Clone, Debug, Default)]
pub(crate) struct Services {
    pub paths: Vec<Path>,
}

impl Services {
    fn find(&self, stem: &str, below: bool, method: &str) -> Option<&Path> {
        let get = |method| {
            let key = (stem, below, method);
            self.paths.binary_search_by(|path| path.key().cmp(&key))
        };
        let index = get(Some(method)).or_else(|_| get(None)).ok()?;
        self.paths.get(index)
    }

    fn route(&self, method: &str, path: &str) -> Option<&Path> {
        if let Some(found) = self.find(path, false, method) {
            return Some(found);
        }
        let mut stem = path;
        loop {
            if let Some(found) = self.find(stem, true, method) {
                return Some(found);
            }
            stem = &stem[..stem.rfind('/')?];
        }
    }
}

/// Tells whether every server reads `path` alike: no empty or dot segments, no slash at the end,
/// no parameters, and no escapes of characters that could stand as they are or split segments.
pub(crate) fn is_plain(path: &str) -> bool {
    let Some(rest) = path.strip_prefix('/') else {
        return false;
    };
    let segment = |part: &str| !matches!(part, "" | "." | "..");
    let odd = |byte: u8| matches!(byte, b'\\' | b';') || !byte.is_ascii_graphic();
    rest.split('/').all(segment) && !path.bytes().any(odd) && escapes_are_plain(path)
}

fn escapes_are_plain(path: &str) -> bool {
    path.split('%').skip(1).all(|tail| {
        let code = tail
            .get(..2)
            .and_then(|code| u8::from_str_radix(code, 16).ok());
        code.is_some_and(|code| {
            let same = code.is_ascii_alphanumeric() || b"-._~/\\;%".contains(&code);
            !same && !code.is_ascii_control()
        })
    })
}

impl RuleSet {
    /// Returns where a plain call goes: the longest path that matches, an exact one before one
    /// with `/*`, a named method before any.
    ///
    /// A query is not looked at, nor a slash at the end. A path that servers may read in more
    /// than one way has no route, nor has a method that is not in capitals: either could pass by
    /// a line that says `once`.
    pub fn service(&self, method: &str, path: &str) -> Option<ServiceRoute<'_>> {
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        let path = path.strip_suffix('/').unwrap_or(path);
        let capitals = !method.is_empty() && method.bytes().all(|byte| byte.is_ascii_uppercase());
        if !capitals || !(path.is_empty() || is_plain(path)) {
            return None;
        }
        let path = self.services.route(method, path)?;
        Some(ServiceRoute {
            service: &path.service,
            pool: &path.pool,
            retry_policy: path.retry_policy,
            rule: self.rule(path.place),
        })
    }
}
