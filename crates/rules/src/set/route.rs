//! Routes from caller, trade and priority to an adapter and version.

use std::sync::Arc;

use jiff::Timestamp;
use wire::{Model, Priority};

use super::calendar::Conditions;
use super::{Location, Rule, RuleSet, find};
use crate::parse::value::AUTO;

/// Wildcard for any caller, trade or priority in a [`Key`], and for a target without a fixed
/// adapter.
pub(crate) const ANY: u32 = u32::MAX;

/// The properties of a request that routes match on.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// The caller's name.
    pub caller: &'a str,
    /// The trade of the request, or empty for the caller's default.
    pub trade: &'a str,
    /// The requested priority. Lowered to the highest one that the caller may use.
    pub priority: Priority,
    /// The requested model as `adapter` or `adapter@version`. `auto` is the same as `None`.
    pub model: Option<&'a str>,
    /// The time of the request.
    pub at: Timestamp,
}

/// The model, weights and pool selected for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ModelRoute<'a> {
    /// The route that was selected.
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
    /// The effective priority.
    pub priority: Priority,
}

/// The reason why no route was selected for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RouteError {
    /// The caller is not declared, and there is no `caller *` line.
    #[error("the caller is not declared; add a `caller` line for it or for `*`")]
    UnknownCaller,
    /// The caller may not act in the trade.
    #[error("the caller may not act in this trade; name another or add it to the `caller` line")]
    TradeNotAllowed,
    /// The adapter is not defined.
    #[error("the adapter is not defined; check the name or add an `adapter` line")]
    UnknownAdapter,
    /// The version is not defined.
    #[error("the version of this adapter is not defined; check it or add an `adapter` line")]
    UnknownVersion,
    /// No route matches.
    #[error("no route matches now; see `explain` and add a `route` line")]
    NoRoute,
}

/// The caller, trade and priority of a route, each an index or [`ANY`]. A specific value sorts
/// before [`ANY`].
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
    pub when: Option<Box<Conditions>>,
    pub location: Location,
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

/// The model that a request names.
#[derive(Clone, Copy, Debug)]
pub(crate) enum RequestedModel {
    /// None; the rules select the adapter.
    Any,
    /// This adapter, and the row of a version if named.
    Adapter(u32, Option<u32>),
}

/// A query with its names resolved to indexes and the caller's restrictions applied.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResolvedQuery {
    pub caller: u32,
    pub trade: u32,
    pub priority: Priority,
    pub requested_model: RequestedModel,
    pub at: Timestamp,
}

impl ResolvedQuery {
    /// Returns the keys that match, in the order of precedence.
    fn keys(self) -> impl Iterator<Item = Key> {
        /// Number of combinations of wildcards for caller, trade and priority.
        const COMBINATIONS: u32 = 8;
        (0..COMBINATIONS).filter_map(move |wildcards| {
            let pick = |bit: u32, value: u32| if wildcards & bit == 0 { value } else { ANY };
            // A caller or trade without an index is already `ANY`. Skip the combination that would
            // produce the same key again.
            let duplicate =
                wildcards & 4 == 0 && self.caller == ANY || wildcards & 2 == 0 && self.trade == ANY;
            (!duplicate).then(|| Key {
                caller: pick(4, self.caller),
                trade: pick(2, self.trade),
                priority: pick(1, self.priority as u32),
            })
        })
    }
}

impl RuleSet {
    /// Selects the route for a request, without allocating.
    ///
    /// Takes O(log n) in the number of rules, plus one step for each earlier route with the same
    /// caller, trade and priority whose conditions do not hold.
    ///
    /// # Errors
    ///
    /// Returns a [`RouteError`] that says which rule is missing.
    pub fn route(&self, query: &RouteQuery<'_>) -> Result<ModelRoute<'_>, RouteError> {
        let resolved = self.resolve(query)?;
        let route = self.best_route(&resolved).ok_or(RouteError::NoRoute)?;
        Ok(self.model_route(route, &resolved, query.caller))
    }

    pub(crate) fn resolve(&self, query: &RouteQuery<'_>) -> Result<ResolvedQuery, RouteError> {
        let caller = self.caller(query.caller).ok_or(RouteError::UnknownCaller)?;
        let trade = caller
            .trade(query.trade)
            .ok_or(RouteError::TradeNotAllowed)?;
        Ok(ResolvedQuery {
            caller: self.callers.index(query.caller).unwrap_or(ANY),
            trade: find(&self.routes.trades, trade, |trade| trade).unwrap_or(ANY),
            priority: query.priority.max(caller.max_priority),
            requested_model: self.requested_model(query.model)?,
            at: query.at,
        })
    }

    fn requested_model(&self, model: Option<&str>) -> Result<RequestedModel, RouteError> {
        let Some(model) = model.filter(|model| !model.is_empty() && *model != AUTO) else {
            return Ok(RequestedModel::Any);
        };
        let (adapter, version) = match model.split_once('@') {
            Some((adapter, version)) => (adapter, Some(version)),
            None => (model, None),
        };
        let adapter = self
            .models
            .adapter(adapter)
            .ok_or(RouteError::UnknownAdapter)?;
        let row = |version| {
            self.models
                .version(adapter, version)
                .ok_or(RouteError::UnknownVersion)
        };
        Ok(RequestedModel::Adapter(
            adapter,
            version.map(row).transpose()?,
        ))
    }

    pub(crate) fn best_route(&self, query: &ResolvedQuery) -> Option<&Route> {
        query.keys().find_map(|key| match query.requested_model {
            RequestedModel::Any => self.first_with_fixed_adapter(key, query),
            RequestedModel::Adapter(adapter, _) => {
                let own = self.first_for_adapter(key, adapter, query);
                let named = self.first_for_adapter(key, ANY, query);
                match (own, named) {
                    (Some(a), Some(b)) => Some(if a.order < b.order { a } else { b }),
                    (a, b) => a.or(b),
                }
            }
        })
    }

    fn first_with_fixed_adapter(&self, key: Key, query: &ResolvedQuery) -> Option<&Route> {
        let list = &self.routes.list;
        let fixed = &self.routes.fixed;
        let start = fixed.partition_point(|index| list[*index as usize].key < key);
        fixed[start..]
            .iter()
            .map(|index| &list[*index as usize])
            .take_while(|route| route.key == key)
            .find(|route| self.holds(route, query))
    }

    fn first_for_adapter(&self, key: Key, adapter: u32, query: &ResolvedQuery) -> Option<&Route> {
        let list = &self.routes.list;
        let start =
            list.partition_point(|route| (route.key, route.target.adapter()) < (key, adapter));
        list[start..]
            .iter()
            .take_while(|route| route.key == key && route.target.adapter() == adapter)
            .find(|route| {
                target_matches(route.target, query.requested_model) && self.holds(route, query)
            })
    }

    pub(crate) fn holds(&self, route: &Route, query: &ResolvedQuery) -> bool {
        let when = route.when.as_deref();
        when.is_none_or(|when| when.holds(query.at, &self.calendars))
    }

    fn model_route(&self, route: &Route, query: &ResolvedQuery, caller: &str) -> ModelRoute<'_> {
        let (adapter, row) = match (route.target, query.requested_model) {
            (Target::Adapter(adapter, fixed), RequestedModel::Adapter(_, named)) => {
                (adapter, named.or(fixed))
            }
            (Target::Adapter(adapter, fixed), RequestedModel::Any) => (adapter, fixed),
            (Target::Named, RequestedModel::Adapter(adapter, named)) => (adapter, named),
            (Target::Named, RequestedModel::Any) => {
                unreachable!("a route to the named adapter needs one")
            }
        };
        let row = row.unwrap_or_else(|| self.models.default_version(adapter, caller));
        let row = &self.models.rows[row as usize];
        let base = &self.models.bases[self.models.adapters[adapter as usize].base as usize];
        ModelRoute {
            rule: self.rule(route.location),
            base: &base.name,
            model: &row.model,
            store: &base.store,
            path: &row.path,
            pool: &base.pool,
            priority: query.priority,
        }
    }
}

/// Returns whether a route's target can serve the requested model.
pub(crate) fn target_matches(target: Target, requested: RequestedModel) -> bool {
    match (target, requested) {
        (Target::Named, requested) => matches!(requested, RequestedModel::Adapter(..)),
        (Target::Adapter(..), RequestedModel::Any) => true,
        (Target::Adapter(adapter, fixed), RequestedModel::Adapter(wanted, named)) => {
            adapter == wanted && fixed.zip(named).is_none_or(|(fixed, named)| fixed == named)
        }
    }
}
