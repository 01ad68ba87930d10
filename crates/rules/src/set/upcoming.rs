//! Which adapters routes begin to use, known from calendars and dates.

use jiff::Timestamp;
use wire::Model;

use super::model::WHOLE;
use super::route::Target;
use super::term::{Term, When};
use super::{Rule, RuleSet};

/// A time from which a route leads to an adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Start<'a> {
    /// The time.
    pub at: Timestamp,
    /// The adapter, and the version that most callers get.
    pub model: &'a Model,
    /// The route.
    pub rule: Rule<'a>,
}

impl RuleSet {
    /// Returns the times after `from` and up to `until` at which routes begin to lead to an
    /// adapter because a term begins or ends or a date is reached; earliest first. Days of the
    /// week and hours are not looked at.
    pub fn upcoming_activations(&self, from: Timestamp, until: Timestamp) -> Vec<Start<'_>> {
        let mut starts = Vec::new();
        for route in &self.routes.list {
            let (Some(when), Target::Adapter(adapter, row)) = (&route.when, route.target) else {
                continue;
            };
            let row = row.unwrap_or_else(|| self.usual(adapter));
            let times = self.edges(when).into_iter().flatten();
            let times = times.filter(|at| from < *at && *at <= until);
            starts.extend(times.filter(|at| self.opens(when, *at)).map(|at| Start {
                at,
                model: &self.models.rows[row as usize].model,
                rule: self.rule(route.place),
            }));
        }
        starts.sort_by_key(|start| (start.at, start.model, start.rule.line));
        starts.dedup();
        starts
    }

    /// Returns the row that most callers get who name no version.
    fn usual(&self, adapter: u32) -> u32 {
        let adapter = &self.models.adapters[adapter as usize];
        match adapter.rollout.as_deref() {
            None => adapter.initial,
            Some(rollout) if rollout.share > WHOLE / 2 => rollout.to,
            Some(rollout) => rollout.from,
        }
    }

    /// Returns the times at which the date and the calendar may open a route.
    fn edges(&self, when: &When) -> [Vec<Timestamp>; 2] {
        let terms = when.season.map(|season| {
            let terms = &self.calendars[season.calendar as usize].terms;
            let edge = |term: &Term| if season.inside { term.from } else { term.until };
            terms.iter().map(edge).collect()
        });
        [when.from.into_iter().collect(), terms.unwrap_or_default()]
    }

    /// Tells whether dates and calendar hold at `at`, but did not just before.
    fn opens(&self, when: &When, at: Timestamp) -> bool {
        let holds = |at| when.holds_by_date(at, &self.calendars);
        let before = at.checked_sub(jiff::SignedDuration::from_secs(1));
        holds(at) && !before.is_ok_and(holds)
    }
}
