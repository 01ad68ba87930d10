//! Predicts from calendars and dates when routes start to use an adapter.

use jiff::Timestamp;
use wire::Model;

use super::calendar::{Conditions, Term};
use super::model::BASIS_POINTS;
use super::route::Target;
use super::{Rule, RuleSet};

/// A time at which a route to an adapter becomes active.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteActivation<'a> {
    /// The time.
    pub at: Timestamp,
    /// The adapter and the version that most callers get.
    pub model: &'a Model,
    /// The route.
    pub rule: Rule<'a>,
}

impl RuleSet {
    /// Returns when routes to an adapter become active after `from` and up to `until` because a term
    /// begins or ends or a date is reached, earliest first. Weekdays and hours are ignored.
    pub fn upcoming_activations(
        &self,
        from: Timestamp,
        until: Timestamp,
    ) -> Vec<RouteActivation<'_>> {
        let mut activations = Vec::new();
        for route in &self.routes.list {
            let (Some(when), Target::Adapter(adapter, row)) = (&route.when, route.target) else {
                continue;
            };
            let row = row.unwrap_or_else(|| self.majority_version(adapter));
            let times = self.candidate_times(when).into_iter().flatten();
            let times = times.filter(|at| from < *at && *at <= until);
            activations.extend(times.filter(|at| self.activates_at(when, *at)).map(|at| {
                RouteActivation {
                    at,
                    model: &self.models.rows[row as usize].model,
                    rule: self.rule(route.location),
                }
            }));
        }
        activations
            .sort_by_key(|activation| (activation.at, activation.model, activation.rule.line));
        activations.dedup();
        activations
    }

    /// Returns the row of the version that most callers get if they name none.
    fn majority_version(&self, adapter: u32) -> u32 {
        let adapter = &self.models.adapters[adapter as usize];
        match adapter.rollout.as_deref() {
            None => adapter.initial,
            Some(rollout) if rollout.share > BASIS_POINTS / 2 => rollout.to,
            Some(rollout) => rollout.from,
        }
    }

    /// Returns the times at which the start date or the calendar may activate a route.
    fn candidate_times(&self, when: &Conditions) -> [Vec<Timestamp>; 2] {
        let terms = when.calendar_condition.map(|condition| {
            let terms = &self.calendars[condition.calendar as usize].terms;
            let edge = |term: &Term| {
                if condition.inside {
                    term.from
                } else {
                    term.until
                }
            };
            terms.iter().map(edge).collect()
        });
        [when.from.into_iter().collect(), terms.unwrap_or_default()]
    }

    /// Returns whether dates and calendar hold at `at` but not one second before.
    fn activates_at(&self, when: &Conditions, at: Timestamp) -> bool {
        let holds = |at| when.holds_by_date(at, &self.calendars);
        let before = at.checked_sub(jiff::SignedDuration::from_secs(1));
        holds(at) && !before.is_ok_and(holds)
    }
}
