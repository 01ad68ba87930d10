//! Engines at which a node that nobody here knows may give orders.
//!
//! Leases exclude turns among nodes that know of each other. Nodes that never met, as they were started under seeds that
//! are gone, or that have forgotten each other in a partition, have nothing in common but the engines. These tell of an
//! unknown owner in two ways: one refuses a fencing token, and its count of accepted orders grows without an order
//! from here. Such an engine is claimed only after its count has stood still for longer than a lease. Orders to it
//! state the count that they follow, and the engine refuses them if it has accepted another order since.

use std::time::Duration;

use wire::{Time, Upstream, rank};

use super::scheduling::REPORT_DELAY;
use super::{Action, Owner};
use crate::fleet::Fleet;

/// Longest additional wait of a claim. It differs between nodes, so that those that do not know each other do not
/// claim at the same moment, and each gets some of the engines.
const SPREAD_MS: u64 = 3_000;

/// Longest additional wait of the first order after a while. Nodes whose callers come back at the same moment would order
/// within one round trip otherwise.
const FIRST_ORDER_SPREAD_MS: u64 = 400;

/// Interval between two reports of an engine that this node waits for.
const WATCH_INTERVAL: Duration = Duration::from_millis(1_000);

/// Number of reports that are requested in one step at most.
const REPORTS_PER_STEP: usize = 2;

/// Time for which a sign of unknown owners counts.
const SIGN_LIFETIME: Duration = Duration::from_secs(60);

/// An engine that this node would claim if it were sure that nobody else orders there.
#[derive(Clone, Debug)]
struct Watch {
    engine: Upstream,
    asked_at: Time,
    seen: Option<Seen>,
    /// Since when a claim is due but for orders of unknown nodes.
    due_since: Option<Time>,
}

/// What an engine reports of its orders.
#[derive(Clone, Copy, Debug)]
struct Seen {
    /// Its count of accepted orders, if it states any.
    orders: Option<u64>,
    /// When this count was first reported, and when it last was.
    first: Time,
    last: Time,
}

impl Watch {
    /// Returns when the engine may be claimed at the earliest.
    fn claim_time(&mut self, now: Time, due: bool, wait: Duration) -> Time {
        if !due {
            self.due_since = None;
            return Time::MAX;
        }
        *self.due_since.get_or_insert(now) + wait
    }
}

/// What this node knows of owners that it does not know.
#[derive(Clone, Debug, Default)]
pub(super) struct Contention {
    /// Whether this node has found none of the nodes that its settings name.
    isolated: bool,
    /// Until when nodes that were forgotten may live behind a partition, with engines of their own.
    forgotten_until: Time,
    /// Engines at which an unknown node has ordered, and until when that counts.
    signs: Vec<(Upstream, Time)>,
    watches: Vec<Watch>,
}

impl Contention {
    fn watch(&mut self, engine: &Upstream) -> &mut Watch {
        let found = self.watches.iter().position(|w| w.engine == *engine);
        let index = found.unwrap_or_else(|| {
            self.watches.push(Watch {
                engine: engine.clone(),
                asked_at: Time::ZERO,
                seen: None,
                due_since: None,
            });
            self.watches.len() - 1
        });
        &mut self.watches[index]
    }
}

impl Owner {
    /// Records whether this node has found none of the nodes that its settings name.
    pub(super) const fn set_isolated(&mut self, isolated: bool) {
        self.contention.isolated = isolated;
    }

    /// Records that nodes were forgotten which have not said that they leave.
    pub(super) fn note_forgotten(&mut self, now: Time) {
        self.contention.forgotten_until = now + SIGN_LIFETIME;
    }

    /// Returns whether a node that this one does not know may give orders to `engine`.
    pub(super) fn is_contended(&self, now: Time, engine: &str) -> bool {
        let Contention {
            isolated,
            forgotten_until,
            signs,
            ..
        } = &self.contention;
        *isolated
            || now < *forgotten_until
            || signs
                .iter()
                .any(|(known, until)| **known == *engine && now < *until)
    }

    /// Records that an unknown node has given an order to `engine`.
    pub(super) fn note_unknown_owner(&mut self, now: Time, engine: &Upstream) {
        self.forget_unknown_owner(engine);
        let until = now + SIGN_LIFETIME;
        self.contention.signs.push((engine.clone(), until));
    }

    /// Records that a known node owns `engine`.
    pub(super) fn forget_unknown_owner(&mut self, engine: &str) {
        self.contention
            .signs
            .retain(|(known, _)| **known != *engine);
    }

    /// Drops what is no longer of use.
    pub(super) fn prune_contention(&mut self, now: Time, fleet: &Fleet) {
        let Contention { signs, watches, .. } = &mut self.contention;
        signs.retain(|(_, until)| now < *until);
        watches.retain(|watch| fleet.upstream(&watch.engine).is_some());
    }

    /// Returns whether no unknown node can have given a recent order to `engine`, so that this node may claim it once
    /// that is `due` for all other reasons. Requests the report of a contended engine.
    pub(super) fn is_quiet(
        &mut self,
        now: Time,
        engine: &Upstream,
        due: bool,
        out: &mut Vec<Action>,
    ) -> bool {
        if !self.is_contended(now, engine) {
            return true;
        }
        let wait = self.stagger(engine, SPREAD_MS);
        let quiet_time = self.config.lease + REPORT_DELAY;
        let is_report = |action: &&Action| matches!(action, Action::FetchReport { .. });
        let may_ask = out.iter().filter(is_report).count() < REPORTS_PER_STEP;
        let watch = self.contention.watch(engine);
        let claim_at = watch.claim_time(now, due, wait);
        // The last report before a claim comes when it is due.
        let is_last = now >= claim_at && watch.asked_at < claim_at;
        if is_last || may_ask && now >= watch.asked_at + WATCH_INTERVAL {
            watch.asked_at = now;
            out.push(Action::FetchReport {
                engine: engine.clone(),
                delay: Duration::ZERO,
            });
        }
        let seen = watch.seen;
        seen.is_some_and(|seen| seen.last >= claim_at.max(seen.first + quiet_time))
    }

    /// Returns a time below `max_ms` that differs between nodes and engines.
    fn stagger(&self, engine: &str, max_ms: u64) -> Duration {
        let hash = rank::hash(format!("{} {engine}", self.config.me));
        Duration::from_millis(hash % max_ms)
    }

    /// Returns the delay of the report that comes before the first order to `engine` after a while.
    pub(super) fn first_order_delay(&self, engine: &str) -> Duration {
        self.stagger(engine, FIRST_ORDER_SPREAD_MS)
    }

    /// Takes in the count of orders that an engine has reported.
    pub(super) fn record_order_count(&mut self, now: Time, engine: &Upstream, orders: Option<u64>) {
        let watches = &mut self.contention.watches;
        let Some(watch) = watches.iter_mut().find(|watch| watch.engine == *engine) else {
            return;
        };
        let former = watch.seen.filter(|seen| seen.orders == orders);
        let has_moved = watch.seen.is_some() && former.is_none();
        watch.seen = Some(Seen {
            orders,
            first: former.map_or(now, |seen| seen.first),
            last: now,
        });
        if has_moved {
            self.note_unknown_owner(now, engine);
        }
    }

    /// Ends the watch of an engine that is claimed. Returns its count of orders, if that is known.
    pub(super) fn end_watch(&mut self, engine: &str) -> Option<u64> {
        let watches = &mut self.contention.watches;
        let index = watches.iter().position(|w| *w.engine == *engine)?;
        watches.swap_remove(index).seen?.orders
    }

    /// Returns the time for which an engine without a known owner is watched before it is claimed.
    pub(super) fn watch_time(&self, now: Time) -> Duration {
        let Contention {
            isolated,
            forgotten_until,
            ..
        } = self.contention;
        if isolated || now < forgotten_until {
            self.config.lease + REPORT_DELAY + Duration::from_millis(SPREAD_MS)
        } else {
            Duration::ZERO
        }
    }
}
