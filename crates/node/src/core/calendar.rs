//! Tells placement which adapters routes begin to use soon, from the rules' calendars and dates.
//!
//! A task looks at the rules in force once in a `PERIOD` and announces what begins within
//! the horizon, each beginning once for each revision. Placement loads such adapters ahead of the
//! demand where the stores have room.

use std::sync::Arc;
use std::time::Duration;

use jiff::{SignedDuration, Timestamp};
use logic::Event;
use placement::event::ExpectedDemand;
use wire::{Revision, Time};

use super::{Handle, Input};
use crate::shared::{Rules, Shared};

/// Time between two looks at the rules.
const PERIOD: Duration = Duration::from_secs(60);

/// How far ahead a beginning is announced; longer than the time that placement wants.
const HORIZON: Duration = Duration::from_secs(300);

/// Requests a second that an announced adapter counts for until its own demand is known.
const WEIGHT: f64 = 0.05;

/// Remembers up to which time beginnings were announced.
#[derive(Clone, Debug, Default)]
pub struct Calendar {
    told: Option<(Revision, Timestamp)>,
}

impl Calendar {
    /// Returns what begins within the horizon of `wall` by `rules` and was not announced before.
    /// `now` is the time on the machines' clock at `wall`.
    pub fn announce(&mut self, rules: &Rules, wall: Timestamp, now: Time) -> Vec<ExpectedDemand> {
        let until = wall.saturating_add(SignedDuration::try_from(HORIZON).unwrap_or_default());
        let Ok(until) = until else {
            return Vec::new();
        };
        let from = match self.told {
            Some((revision, told)) if revision == rules.revision => told.max(wall),
            _ => wall,
        };
        self.told = Some((rules.revision, from.max(until)));
        let starts = rules.set.upcoming_activations(from, until);
        let expected = starts.iter().filter_map(|start| {
            let entry = rules
                .set
                .model(&start.model.adapter, &start.model.version)?;
            let ahead = Duration::try_from(start.at.duration_since(wall)).unwrap_or_default();
            Some(ExpectedDemand {
                model: entry.model.clone(),
                base: entry.base.name.clone(),
                pool: entry.base.pool.clone(),
                path: entry.path.clone(),
                at: now + ahead,
                weight: WEIGHT,
            })
        });
        expected.collect()
    }
}

/// Looks at the rules again and again.
pub(super) async fn watch(shared: Arc<Shared>, handle: Handle) {
    let mut calendar = Calendar::default();
    let mut looks = tokio::time::interval(PERIOD);
    loop {
        looks.tick().await;
        let Some(rules) = shared.rules.load_full() else {
            continue;
        };
        for expect in calendar.announce(&rules, Timestamp::now(), shared.clock.now()) {
            log::info!(
                target: crate::journal::DECISION,
                model:% = expect.model, pool:% = expect.pool,
                ahead_ms = expect.at.saturating_sub(shared.clock.now()).as_millis() as u64;
                "expect"
            );
            let event = placement::Event::ExpectedDemand(expect);
            handle.send(Input::Logic(Event::Placement(event)));
        }
    }
}
