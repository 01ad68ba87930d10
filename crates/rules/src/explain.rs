//! Explains how the route for a request is selected.

use crate::set::route::{ANY, ResolvedQuery, Route, target_matches};
use crate::{RouteError, RouteQuery, Rule, RuleSet};

/// The result of matching one route against a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MatchOutcome {
    /// The route applies to the request.
    Selected,
    /// The route matches, but another matching route has precedence.
    LowerPrecedence,
    /// The route is for another trade.
    OtherTrade,
    /// The route is for another priority.
    OtherPriority,
    /// The route's target is not the adapter or version that the request names.
    OtherModel,
    /// The route's conditions do not hold at the time of the request.
    ConditionsNotMet,
}

impl MatchOutcome {
    /// Returns a description for operators.
    pub const fn description(self) -> &'static str {
        match self {
            Self::Selected => "decides",
            Self::LowerPrecedence => "matches, but goes after the one that decides",
            Self::OtherTrade => "is for another trade",
            Self::OtherPriority => "is for another priority",
            Self::OtherModel => "leads to a model that the request does not ask for",
            Self::ConditionsNotMet => "does not hold at this time",
        }
    }
}

/// A route that covers the caller, and its match result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// The rule that defines the route.
    pub rule: Rule<'a>,
    /// The match result.
    pub outcome: MatchOutcome,
}

impl RuleSet {
    /// Returns the routes that cover the caller in order of precedence, each with its match
    /// result.
    ///
    /// # Errors
    ///
    /// Returns a [`RouteError`] if the request is rejected before any route is considered.
    pub fn explain(&self, query: &RouteQuery<'_>) -> Result<Vec<Candidate<'_>>, RouteError> {
        let resolved = self.resolve(query)?;
        let best_route = self.best_route(&resolved).map(|route| route.order);
        let list = &self.routes.list;
        let mut routes: Vec<&Route> = list
            .iter()
            .filter(|route| [ANY, resolved.caller].contains(&route.key.caller))
            .collect();
        routes.sort_by_key(|route| {
            let key = route.key;
            let wildcards = (key.caller == ANY, key.trade == ANY, key.priority == ANY);
            (wildcards, route.order)
        });
        let candidate = |route: &Route| Candidate {
            rule: self.rule(route.location),
            outcome: self.match_outcome(route, &resolved, best_route),
        };
        Ok(routes.into_iter().map(candidate).collect())
    }

    fn match_outcome(
        &self,
        route: &Route,
        query: &ResolvedQuery,
        best_route: Option<u32>,
    ) -> MatchOutcome {
        let fits = |rule: u32, requested: u32| rule == ANY || rule == requested;
        if best_route == Some(route.order) {
            MatchOutcome::Selected
        } else if !fits(route.key.trade, query.trade) {
            MatchOutcome::OtherTrade
        } else if !fits(route.key.priority, query.priority as u32) {
            MatchOutcome::OtherPriority
        } else if !target_matches(route.target, query.requested_model) {
            MatchOutcome::OtherModel
        } else if !self.holds(route, query) {
            MatchOutcome::ConditionsNotMet
        } else {
            MatchOutcome::LowerPrecedence
        }
    }
}
