//! Why a request gets what it gets.

use crate::set::route::{ANY, Checked, Route, suits};
use crate::{Refusal, RouteQuery, Rule, RuleSet};

/// How one route fared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MatchOutcome {
    /// It decides.
    Chosen,
    /// It matches, but another one goes before it.
    Later,
    /// It is for another trade.
    Trade,
    /// It is for another priority.
    Priority,
    /// It leads to an adapter or version that the request does not ask for.
    Model,
    /// Its conditions do not hold at the time.
    When,
}

impl MatchOutcome {
    /// Returns the verdict in words.
    pub const fn description(self) -> &'static str {
        match self {
            Self::Chosen => "decides",
            Self::Later => "matches, but goes after the one that decides",
            Self::Trade => "is for another trade",
            Self::Priority => "is for another priority",
            Self::Model => "leads to a model that the request does not ask for",
            Self::When => "does not hold at this time",
        }
    }
}

/// A route that is open to the caller, and how it fared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// The route's line.
    pub rule: Rule<'a>,
    /// How it fared.
    pub outcome: MatchOutcome,
}

impl RuleSet {
    /// Returns the routes that are open to the caller in the order of precedence, each with its
    /// verdict.
    ///
    /// # Errors
    ///
    /// Returns the [`Refusal`] of a request that is refused before any route is looked at.
    pub fn explain(&self, ask: &RouteQuery<'_>) -> Result<Vec<Candidate<'_>>, Refusal> {
        let checked = self.check(ask)?;
        let winner = self.winner(&checked).map(|route| route.order);
        let list = &self.routes.list;
        let mut routes: Vec<&Route> = list
            .iter()
            .filter(|route| [ANY, checked.caller].contains(&route.key.caller))
            .collect();
        routes.sort_by_key(|route| {
            let key = route.key;
            let any = (key.caller == ANY, key.trade == ANY, key.priority == ANY);
            (any, route.order)
        });
        let candidate = |route: &Route| Candidate {
            rule: self.rule(route.place),
            outcome: self.verdict(route, &checked, winner),
        };
        Ok(routes.into_iter().map(candidate).collect())
    }

    fn verdict(&self, route: &Route, ask: &Checked, winner: Option<u32>) -> MatchOutcome {
        let fits = |rule: u32, asked: u32| rule == ANY || rule == asked;
        if winner == Some(route.order) {
            MatchOutcome::Chosen
        } else if !fits(route.key.trade, ask.trade) {
            MatchOutcome::Trade
        } else if !fits(route.key.priority, ask.priority as u32) {
            MatchOutcome::Priority
        } else if !suits(route.target, ask.want) {
            MatchOutcome::Model
        } else if !self.holds(route, ask) {
            MatchOutcome::When
        } else {
            MatchOutcome::Later
        }
    }
}
