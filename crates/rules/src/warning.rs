//! Warnings about rules that are valid but probably not as intended.

use std::collections::BTreeSet;
use std::fmt;

use jiff::Timestamp;

use crate::set::route::{ANY, Route, Target};
use crate::{RetryPolicy, Rule, RuleSet};

/// The kind of a warning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WarningKind {
    /// The time range of the route is over.
    Expired,
    /// No request can match the route.
    Unreachable,
    /// An earlier route with the same caller, trade and priority has another target and may be
    /// active at the same time.
    Conflict,
    /// The rollout is at 0 or 100 percent.
    RolloutFinished,
    /// A call with side effects may be retried.
    RetryableWrite,
}

impl WarningKind {
    /// Returns the problem and how to fix it.
    pub const fn message(self) -> &'static str {
        match self {
            Self::Expired => "the route's time has passed; remove it",
            Self::Unreachable => "no request can reach the route; remove it or move it up",
            Self::Conflict => {
                "an earlier line takes the requests that name no adapter; keep one or add conditions"
            }
            Self::RolloutFinished => {
                "the rollout is at 0 or 100 percent; remove it once that is final"
            }
            Self::RetryableWrite => {
                "calls of any method may be sent again; add `once`, or `methods` that only read"
            }
        }
    }
}

/// A rule that is valid but probably not as intended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Warning<'a> {
    /// The kind of the warning.
    pub kind: WarningKind,
    /// The rule.
    pub rule: Rule<'a>,
    /// The earlier rule that takes its requests, if any.
    pub overridden_by: Option<Rule<'a>>,
}

impl fmt::Display for Warning<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.rule, self.kind.message())?;
        match self.overridden_by {
            Some(by) => write!(f, "; see {by}"),
            None => Ok(()),
        }
    }
}

impl RuleSet {
    /// Returns warnings about expired, unreachable, conflicting and other suspicious rules at the
    /// time `at`, ordered by file and line.
    ///
    /// Routes with conditions are compared pairwise if they have the same caller, trade and
    /// priority.
    pub fn warnings(&self, at: Timestamp) -> Vec<Warning<'_>> {
        let mut warnings = Vec::new();
        let list = &self.routes.list;
        for group in list.chunk_by(|a, b| a.key == b.key) {
            let mut group: Vec<&Route> = group.iter().collect();
            group.sort_by_key(|route| route.order);
            self.check_group(&group, at, &mut warnings);
        }
        self.check_other_rules(&mut warnings);
        warnings.sort_by_key(|warning| {
            let file = self.files.iter().position(|file| file == warning.rule.file);
            (file, warning.rule.line, warning.kind)
        });
        warnings
    }

    /// Checks the routes of one key, which are in order of precedence.
    fn check_group<'a>(
        &'a self,
        group: &[&'a Route],
        at: Timestamp,
        warnings: &mut Vec<Warning<'a>>,
    ) {
        let mut earlier = EarlierRoutes::default();
        for route in group {
            let mut warn = |kind, earlier: Option<&Route>| {
                let overridden_by = earlier.map(|route| self.rule(route.location));
                let rule = self.rule(route.location);
                warnings.push(Warning {
                    kind,
                    rule,
                    overridden_by,
                });
            };
            if self.has_expired(route, at) {
                warn(WarningKind::Expired, None);
                continue;
            }
            if !self.is_requestable(route) {
                warn(WarningKind::Unreachable, None);
            } else if let Some(by) = earlier.shadowing_route(route) {
                warn(WarningKind::Unreachable, Some(by));
            } else if let Some(by) = earlier.conflicting_route(route) {
                warn(WarningKind::Conflict, Some(by));
            }
            earlier.add(route);
        }
    }

    fn has_expired(&self, route: &Route, at: Timestamp) -> bool {
        let Some(when) = route.when.as_deref() else {
            return false;
        };
        let ended = when.until.is_some_and(|until| until <= at);
        let condition = when.calendar_condition.filter(|condition| condition.inside);
        let over = condition.is_some_and(|condition| {
            let terms = &self.calendars[condition.calendar as usize].terms;
            match condition.term {
                Some(term) => terms[term as usize].until <= at,
                None => terms.iter().all(|term| term.until <= at),
            }
        });
        ended || over
    }

    /// Returns whether the caller of the route may use its trade and priority.
    fn is_requestable(&self, route: &Route) -> bool {
        let key = route.key;
        let allowed = |caller: &crate::Caller| {
            let trade = self.routes.trades.get(key.trade as usize);
            let trades = trade.zip(caller.trades.as_ref());
            let trade = trades.is_none_or(|(trade, trades)| trades.contains(trade));
            trade && (key.priority == ANY || key.priority >= caller.max_priority as u32)
        };
        match self.callers.list.get(key.caller as usize) {
            Some(caller) => allowed(caller),
            None => {
                let mut callers = self.callers.list.iter().chain(&self.callers.default_caller);
                callers.any(allowed)
            }
        }
    }

    fn check_other_rules<'a>(&'a self, warnings: &mut Vec<Warning<'a>>) {
        let mut warn = |kind, location| {
            let rule = self.rule(location);
            let overridden_by = None;
            warnings.push(Warning {
                kind,
                rule,
                overridden_by,
            });
        };
        for adapter in &self.models.adapters {
            if let Some(rollout) = adapter.rollout.as_deref()
                && (rollout.share == 0 || rollout.share == crate::set::model::BASIS_POINTS)
            {
                warn(WarningKind::RolloutFinished, rollout.location);
            }
        }
        for path in &self.services.paths {
            if path.method.is_none() && path.retry_policy == RetryPolicy::Idempotent {
                warn(WarningKind::RetryableWrite, path.location);
            }
        }
    }
}

/// The earlier routes of one key that later ones are compared with.
#[derive(Default)]
struct EarlierRoutes<'a> {
    /// First route to an adapter without conditions.
    unconditional: Option<&'a Route>,
    /// First route `to named` without conditions.
    named: Option<&'a Route>,
    /// Adapters, with the row of a fixed version, that earlier routes without conditions serve by
    /// name.
    adapters: BTreeSet<(u32, Option<u32>)>,
    /// Routes with conditions.
    conditional: Vec<&'a Route>,
}

impl<'a> EarlierRoutes<'a> {
    fn add(&mut self, route: &'a Route) {
        if route.when.is_some() {
            self.conditional.push(route);
            return;
        }
        match route.target {
            Target::Named => self.named = self.named.or(Some(route)),
            Target::Adapter(adapter, row) => {
                self.unconditional = self.unconditional.or(Some(route));
                self.adapters.insert((adapter, row));
            }
        }
    }

    /// Returns an earlier route that takes every request that `route` would match.
    fn shadowing_route(&self, route: &Route) -> Option<&'a Route> {
        let same = self.conditional.iter().copied().find(|earlier| {
            let texts = earlier.when.as_ref().zip(route.when.as_ref());
            earlier.target == route.target && texts.is_some_and(|(a, b)| a.text == b.text)
        });
        let always = match route.target {
            Target::Named => self.named,
            Target::Adapter(adapter, row) => {
                let known = self.adapters.contains(&(adapter, None))
                    || self.adapters.contains(&(adapter, row));
                self.unconditional.filter(|_| known || self.named.is_some())
            }
        };
        always.or(same)
    }

    /// Returns an earlier route that takes the requests for `route` that name no adapter.
    fn conflicting_route(&self, route: &Route) -> Option<&'a Route> {
        if route.target == Target::Named {
            return None;
        }
        let when = route.when.as_deref();
        let conditional = self.conditional.iter().copied().find(|earlier| {
            let fixed = earlier.target != Target::Named && earlier.target != route.target;
            let meets = earlier
                .when
                .as_deref()
                .zip(when)
                .is_some_and(|(a, b)| a.may_overlap(b));
            fixed && meets
        });
        self.unconditional.or(conditional)
    }
}
