//! Routes from caller, trade and priority to an adapter and version.

use std::sync::Arc;

use jiff::Timestamp;
use wire::{Model, Priority};

use super::term::When;
use super::{Place, Rule, RuleSet, find};
use crate::parse::value::AUTO;

/// Stands for any caller, trade or priority in a [`Key`], and for no fixed adapter as a target.
pub(crate) const ANY: u32 = u32::MAX;

/// A request, as far as routes look at it.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// The caller's name.
    pub caller: &'a str,
    /// The trade that it acts in; the caller's default where empty.
    pub trade: &'a str,
    /// The priority that it asks for; lowered to the highest that the caller gets.
    pub priority: Priority,
    /// The model that it names as `adapter` or `adapter@version`; `auto` counts as none.
    pub model: Option<&'a str>,
    /// The time of the request.
    pub at: Timestamp,
}

/// What a request gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ModelRoute<'a> {
    /// The route that decided.
    pub rule: Rule<'a>,
    /// The base model.
    pub base: &'a wire::Base,
    /// The adapter and version.
    pub model: &'a Model,
    /// The store that holds the weights.
    pub store: &'a wire::Store,
    /// Path of the weights in the store.
    pub path: &'a Arc<str>,
    /// The pool of upstreams.
    pub pool: &'a Arc<str>,
    /// The priority in force.
    pub priority: Priority,
}

/// Reason why a request gets no adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// No line declares the caller.
    #[error("the caller is not declared; add a `caller` line for it or for `*`")]
    Caller,
    /// The caller may not act in the trade.
    #[error("the caller may not act in this trade; name another or add it to the `caller` line")]
    Trade,
    /// No line defines the adapter.
    #[error("the adapter is not defined; check the name or add an `adapter` line")]
    Adapter,
    /// No line defines the version.
    #[error("the version of this adapter is not defined; check it or add an `adapter` line")]
    Version,
    /// No route matches.
    #[error("no route matches now; see `explain` and add a `route` line")]
    Route,
}

/// Caller, trade and priority of a route as indexes or [`ANY`]; the more specific part is lower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Key {
    pub caller: u32,
    pub trade: u32,
    pub priority: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Target {
    /// The adapter that the request names.
    Named,
    /// An adapter, and the row of a fixed version.
    Adapter(u32, Option<u32>),
}

impl Target {
    /// Returns the adapter's index, or [`ANY`].
    pub(crate) fn adapter(self) -> u32 {
        match self {
            Self::Named => ANY,
            Self::Adapter(adapter, _) => adapter,
        }
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Route {
    pub key: Key,
    pub target: Target,
    pub when: Option<Box<When>>,
    pub place: Place,
    /// Position among the routes of the revision.
    pub order: u32,
}

/// Tables of routes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Routes {
    /// Sorted by key, target's adapter and order.
    pub list: Vec<Route>,
    /// Indexes of the routes with a fixed adapter, sorted by key and order.
    pub fixed: Vec<u32>,
    /// Trades that routes name, sorted.
    pub trades: Vec<Arc<str>>,
}

/// What a request wants.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Want {
    /// Whatever the rules say.
    Open,
    /// This adapter, and the row of a version if named.
    Adapter(u32, Option<u32>),
}

/// A request after the caller's own line has been looked at.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Checked {
    pub caller: u32,
    pub trade: u32,
    pub priority: Priority,
    pub want: Want,
    pub at: Timestamp,
}

impl Checked {
    /// Returns the keys that match, in the order of precedence.
    fn keys(self) -> impl Iterator<Item = Key> {
        /// Number of ways to leave out any of caller, trade and priority.
        const WAYS: u32 = 8;
        (0..WAYS).filter_map(move |way| {
            let pick = |bit: u32, value: u32| if way & bit == 0 { value } else { ANY };
            // A part without an index matches only as `ANY`, which has its own turn.
            let twice = way & 4 == 0 && self.caller == ANY || way & 2 == 0 && self.trade == ANY;
            (!twice).then(|| Key {
                caller: pick(4, self.caller),
                trade: pick(2, self.trade),
                priority: pick(1, self.priority as u32),
            })
        })
    }
}

impl RuleSet {
    /// Returns what a request gets, without allocation.
    ///
    /// The work is O(log n) in the number of rules, plus one step for each earlier route of the
    /// same caller, trade and priority whose conditions do not hold.
    ///
    /// # Errors
    ///
    /// Returns the [`Refusal`] that names the missing line.
    pub fn route(&self, ask: &RouteQuery<'_>) -> Result<ModelRoute<'_>, Refusal> {
        let checked = self.check(ask)?;
        let route = self.winner(&checked).ok_or(Refusal::Route)?;
        Ok(self.choose(route, &checked, ask.caller))
    }

    pub(crate) fn check(&self, ask: &RouteQuery<'_>) -> Result<Checked, Refusal> {
        let caller = self.caller(ask.caller).ok_or(Refusal::Caller)?;
        let trade = caller.trade(ask.trade).ok_or(Refusal::Trade)?;
        Ok(Checked {
            caller: self.callers.index(ask.caller).unwrap_or(ANY),
            trade: find(&self.routes.trades, trade, |trade| trade).unwrap_or(ANY),
            priority: ask.priority.max(caller.highest),
            want: self.want(ask.model)?,
            at: ask.at,
        })
    }

    fn want(&self, model: Option<&str>) -> Result<Want, Refusal> {
        let Some(model) = model.filter(|model| !model.is_empty() && *model != AUTO) else {
            return Ok(Want::Open);
        };
        let (adapter, version) = match model.split_once('@') {
            Some((adapter, version)) => (adapter, Some(version)),
            None => (model, None),
        };
        let adapter = self.models.adapter(adapter).ok_or(Refusal::Adapter)?;
        let row = |version| {
            self.models
                .version(adapter, version)
                .ok_or(Refusal::Version)
        };
        Ok(Want::Adapter(adapter, version.map(row).transpose()?))
    }

    pub(crate) fn winner(&self, ask: &Checked) -> Option<&Route> {
        ask.keys().find_map(|key| match ask.want {
            Want::Open => self.first_fixed(key, ask),
            Want::Adapter(adapter, _) => {
                let own = self.first_of(key, adapter, ask);
                let named = self.first_of(key, ANY, ask);
                match (own, named) {
                    (Some(a), Some(b)) => Some(if a.order < b.order { a } else { b }),
                    (a, b) => a.or(b),
                }
            }
        })
    }

    fn first_fixed(&self, key: Key, ask: &Checked) -> Option<&Route> {
        let list = &self.routes.list;
        let fixed = &self.routes.fixed;
        let start = fixed.partition_point(|index| list[*index as usize].key < key);
        fixed[start..]
            .iter()
            .map(|index| &list[*index as usize])
            .take_while(|route| route.key == key)
            .find(|route| self.holds(route, ask))
    }

    fn first_of(&self, key: Key, adapter: u32, ask: &Checked) -> Option<&Route> {
        let list = &self.routes.list;
        let start =
            list.partition_point(|route| (route.key, route.target.adapter()) < (key, adapter));
        list[start..]
            .iter()
            .take_while(|route| route.key == key && route.target.adapter() == adapter)
            .find(|route| suits(route.target, ask.want) && self.holds(route, ask))
    }

    pub(crate) fn holds(&self, route: &Route, ask: &Checked) -> bool {
        let when = route.when.as_deref();
        when.is_none_or(|when| when.holds(ask.at, &self.calendars))
    }

    fn choose(&self, route: &Route, ask: &Checked, caller: &str) -> ModelRoute<'_> {
        let (adapter, row) = match (route.target, ask.want) {
            (Target::Adapter(adapter, fixed), Want::Adapter(_, named)) => {
                (adapter, named.or(fixed))
            }
            (Target::Adapter(adapter, fixed), Want::Open) => (adapter, fixed),
            (Target::Named, Want::Adapter(adapter, named)) => (adapter, named),
            (Target::Named, Want::Open) => unreachable!("a route to the named adapter needs one"),
        };
        let row = row.unwrap_or_else(|| self.models.staged(adapter, caller));
        let row = &self.models.rows[row as usize];
        let base = &self.models.bases[self.models.adapters[adapter as usize].base as usize];
        ModelRoute {
            rule: self.rule(route.place),
            base: &base.name,
            model: &row.model,
            store: &base.store,
            path: &row.path,
            pool: &base.pool,
            priority: ask.priority,
        }
    }
}

/// Tells whether a route's target may answer what a request wants.
pub(crate) fn suits(target: Target, want: Want) -> bool {
    match (target, want) {
        (Target::Named, want) => matches!(want, Want::Adapter(..)),
        (Target::Adapter(..), Want::Open) => true,
        (Target::Adapter(adapter, fixed), Want::Adapter(wanted, named)) => {
            adapter == wanted && fixed.zip(named).is_none_or(|(fixed, named)| fixed == named)
        }
    }
}
