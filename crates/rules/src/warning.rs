//! Rules that are allowed but do not do what they seem to.

use std::collections::BTreeSet;
use std::fmt;

use jiff::Timestamp;

use crate::set::route::{ANY, Route, Target};
use crate::{RetryPolicy, Rule, RuleSet};

/// What a warning is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// The route's time has passed.
    Expired,
    /// No request can reach the route.
    Unreachable,
    /// An earlier route of the same caller, trade and priority leads elsewhere at the same time.
    Conflict,
    /// The roll-out has reached every caller, or none.
    Finished,
    /// A call that writes may be sent again.
    Repeatable,
}

impl Kind {
    /// Returns what is wrong and the remedy.
    pub const fn message(self) -> &'static str {
        match self {
            Self::Expired => "the route's time has passed; remove it",
            Self::Unreachable => "no request can reach the route; remove it or move it up",
            Self::Conflict => {
                "an earlier line takes the requests that name no adapter; keep one or add conditions"
            }
            Self::Finished => "the rollout is at 0 or 100 percent; remove it once that is final",
            Self::Repeatable => {
                "calls of any method may be sent again; add `once`, or `methods` that only read"
            }
        }
    }
}

/// A rule that is allowed but does not do what it seems to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Warning<'a> {
    /// What the warning is about.
    pub kind: Kind,
    /// The rule.
    pub rule: Rule<'a>,
    /// The rule that stands in its way.
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
    /// Returns the conflicting, unreachable, expired and otherwise doubtful rules at `at`, by
    /// file and line.
    ///
    /// Routes with conditions are compared in pairs within one caller, trade and priority.
    pub fn warnings(&self, at: Timestamp) -> Vec<Warning<'_>> {
        let mut warnings = Vec::new();
        let list = &self.routes.list;
        for group in list.chunk_by(|a, b| a.key == b.key) {
            let mut group: Vec<&Route> = group.iter().collect();
            group.sort_by_key(|route| route.order);
            self.group(&group, at, &mut warnings);
        }
        self.others(&mut warnings);
        warnings.sort_by_key(|warning| {
            let file = self.files.iter().position(|file| file == warning.rule.file);
            (file, warning.rule.line, warning.kind)
        });
        warnings
    }

    /// Looks at the routes of one key, in their order.
    fn group<'a>(&'a self, group: &[&'a Route], at: Timestamp, out: &mut Vec<Warning<'a>>) {
        let mut seen = Seen::default();
        for route in group {
            let mut warn = |kind, by: Option<&Route>| {
                let overridden_by = by.map(|by| self.rule(by.place));
                let rule = self.rule(route.place);
                out.push(Warning {
                    kind,
                    rule,
                    overridden_by,
                });
            };
            if self.has_ended(route, at) {
                warn(Kind::Expired, None);
                continue;
            }
            if !self.is_askable(route) {
                warn(Kind::Unreachable, None);
            } else if let Some(by) = seen.covers(route) {
                warn(Kind::Unreachable, Some(by));
            } else if let Some(by) = seen.conflicts(route) {
                warn(Kind::Conflict, Some(by));
            }
            seen.add(route);
        }
    }

    fn has_ended(&self, route: &Route, at: Timestamp) -> bool {
        let Some(when) = route.when.as_deref() else {
            return false;
        };
        let ended = when.until.is_some_and(|until| until <= at);
        let season = when.season.filter(|season| season.inside);
        let over = season.is_some_and(|season| {
            let terms = &self.calendars[season.calendar as usize].terms;
            match season.term {
                Some(term) => terms[term as usize].until <= at,
                None => terms.iter().all(|term| term.until <= at),
            }
        });
        ended || over
    }

    /// Tells whether the route's caller may ask with its trade and priority.
    fn is_askable(&self, route: &Route) -> bool {
        let key = route.key;
        let allowed = |caller: &crate::Caller| {
            let trade = self.routes.trades.get(key.trade as usize);
            let trades = trade.zip(caller.trades.as_ref());
            let trade = trades.is_none_or(|(trade, trades)| trades.contains(trade));
            trade && (key.priority == ANY || key.priority >= caller.highest as u32)
        };
        match self.callers.list.get(key.caller as usize) {
            Some(caller) => allowed(caller),
            None => {
                let mut callers = self.callers.list.iter().chain(&self.callers.other);
                callers.any(allowed)
            }
        }
    }

    fn others<'a>(&'a self, out: &mut Vec<Warning<'a>>) {
        let mut warn = |kind, place| {
            let rule = self.rule(place);
            let overridden_by = None;
            out.push(Warning {
                kind,
                rule,
                overridden_by,
            });
        };
        for adapter in &self.models.adapters {
            if let Some(rollout) = adapter.rollout.as_deref()
                && (rollout.share == 0 || rollout.share == crate::set::model::WHOLE)
            {
                warn(Kind::Finished, rollout.place);
            }
        }
        for path in &self.services.paths {
            if path.method.is_none() && path.retry_policy == RetryPolicy::Idempotent {
                warn(Kind::Repeatable, path.place);
            }
        }
    }
}

/// Earlier routes of one key, as far as later ones need them.
#[derive(Default)]
struct Seen<'a> {
    /// First route to an adapter without conditions.
    open: Option<&'a Route>,
    /// First route to the named adapter without conditions.
    named: Option<&'a Route>,
    /// Adapters and fixed rows that an earlier route without conditions answers by name.
    adapters: BTreeSet<(u32, Option<u32>)>,
    /// Routes with conditions.
    bound: Vec<&'a Route>,
}

impl<'a> Seen<'a> {
    fn add(&mut self, route: &'a Route) {
        if route.when.is_some() {
            self.bound.push(route);
            return;
        }
        match route.target {
            Target::Named => self.named = self.named.or(Some(route)),
            Target::Adapter(adapter, row) => {
                self.open = self.open.or(Some(route));
                self.adapters.insert((adapter, row));
            }
        }
    }

    /// Returns a route that takes every request of `route` before it.
    fn covers(&self, route: &Route) -> Option<&'a Route> {
        let same = self.bound.iter().copied().find(|earlier| {
            let texts = earlier.when.as_ref().zip(route.when.as_ref());
            earlier.target == route.target && texts.is_some_and(|(a, b)| a.text == b.text)
        });
        let always = match route.target {
            Target::Named => self.named,
            Target::Adapter(adapter, row) => {
                let known = self.adapters.contains(&(adapter, None))
                    || self.adapters.contains(&(adapter, row));
                self.open.filter(|_| known || self.named.is_some())
            }
        };
        always.or(same)
    }

    /// Returns a route that takes the requests of `route` that name no adapter.
    fn conflicts(&self, route: &Route) -> Option<&'a Route> {
        if route.target == Target::Named {
            return None;
        }
        let when = route.when.as_deref();
        let bound = self.bound.iter().copied().find(|earlier| {
            let fixed = earlier.target != Target::Named && earlier.target != route.target;
            let meets = earlier
                .when
                .as_deref()
                .zip(when)
                .is_some_and(|(a, b)| a.meets(b));
            fixed && meets
        });
        self.open.or(bound)
    }
}
