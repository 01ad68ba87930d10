//! Replicas of targets whose engine is full.
//!
//! The owner of an engine sees the requests of all nodes there, while each node sees few of them in
//! a large fleet. An owner therefore requests replicas of targets that fill its engine, and tells
//! requests that find it full where others are.

use std::cmp::Reverse;
use std::time::Duration;

use wire::{Time, Upstream, Vm};

use super::owned_engine::OwnedEngine;
use super::{Action, Message, Owner, REPLICA_RANK};
use crate::demand::Target;
use crate::fleet::{Fleet, Presence, UpstreamState, Version};
use crate::selection;

/// Number of running requests from which a target has demand for a replica.
const SPREAD_RUNNING_MIN: usize = 3;

/// Time between two requests for replicas of the same target: the time of a load.
const SPREAD_INTERVAL: Duration = Duration::from_millis(300);

/// Requests for a target that find the engine full, for each replica. An engine that is full for a
/// moment by chance needs none.
const SPREAD_ARRIVALS: u32 = 4;

/// Time after the last such request at which the former ones no longer count.
const ARRIVALS_TTL: Duration = Duration::from_millis(2_000);

/// Requests for a target that found its engine full.
#[derive(Clone, Debug)]
pub(super) struct Overflow {
    target: Target,
    /// Those since the last replica was requested.
    arrivals: u32,
    last_arrival: Time,
    requested_at: Option<Time>,
}

/// Maximum number of engines that a request is told of.
const REPLICAS_TOLD_MAX: usize = 3;

impl Owner {
    /// Requests a replica of `target` if requests for it contribute to a full engine of this node.
    pub fn spread(
        &mut self,
        now: Time,
        fleet: &Fleet,
        engine: &str,
        target: &Target,
        out: &mut Vec<Action>,
    ) {
        let Some(known) = fleet.upstream(engine) else {
            return;
        };
        let Some(owned) = self.owned_engine_mut(engine) else {
            return;
        };
        let is_full = owned.usage.running(now) >= known.listing.slots;
        let demanded = owned.usage.running_of(now, target) >= SPREAD_RUNNING_MIN;
        if target.adapter.is_none() || !is_full || !demanded {
            return;
        }
        if !owned.record_overflow(now, target) {
            return;
        }
        let pool = &known.listing.pool;
        let ordered = selection::replica_order(now, fleet, pool, target);
        let next = ordered.into_iter().find(|upstream| {
            upstream.presence(target) == Presence::Absent
                && upstream.request_count(now) < upstream.listing.slots
                && self.holder(&upstream.listing.id).is_some()
        });
        if let Some(next) = next {
            let id = next.listing.id.clone();
            self.forward_load_request(now, fleet, id, target.clone(), REPLICA_RANK, out);
        }
    }

    /// Tells a node whose request found `engine` full which other engines hold its target.
    pub(super) fn tell_replicas(
        &self,
        now: Time,
        fleet: &Fleet,
        to: &Vm,
        engine: &str,
        target: &Target,
        out: &mut Vec<Action>,
    ) {
        let Some(known) = fleet.upstream(engine) else {
            return;
        };
        let held = |upstream: &UpstreamState| match upstream.presence(target).as_of(now) {
            Presence::Held(version) if fleet.is_newest(target, version) => Some(version),
            _ => None,
        };
        let mut others: Vec<(Reverse<u32>, Upstream, Option<Version>)> = fleet
            .accepting(now, &known.listing.pool)
            .filter(|upstream| *upstream.listing.id != *engine)
            .filter_map(|upstream| {
                let free = upstream
                    .listing
                    .slots
                    .checked_sub(upstream.request_count(now))?;
                Some((Reverse(free), upstream.listing.id.clone(), held(upstream)?))
            })
            .collect();
        others.sort_unstable();
        let told = others.into_iter().take(REPLICAS_TOLD_MAX);
        let engines: Vec<_> = told.map(|(_, id, version)| (id, version)).collect();
        if !engines.is_empty() {
            let target = target.clone();
            out.push(Action::Send {
                to: to.clone(),
                message: Message::Replicas { target, engines },
            });
        }
    }

    /// Records which other engines hold a target, unless this node knows better.
    pub(super) fn hear_of_replicas(
        fleet: &Fleet,
        target: &Target,
        engines: Vec<(Upstream, Option<Version>)>,
        out: &mut Vec<Action>,
    ) {
        let absent = |id: &Upstream| {
            let known = fleet.upstream(id);
            known.is_some_and(|known| known.presence(target) == Presence::Absent)
        };
        let heard = engines.into_iter().filter(|(id, _)| absent(id));
        out.extend(heard.map(|(engine, version)| Action::Presence {
            engine,
            target: target.clone(),
            presence: Presence::Held(version),
        }));
    }
}

impl OwnedEngine {
    /// Counts a request for `target` that found the engine full. Returns whether there were enough
    /// of them for a replica.
    fn record_overflow(&mut self, now: Time, target: &Target) -> bool {
        self.overflows
            .retain(|overflow| now < overflow.last_arrival + ARRIVALS_TTL);
        let overflow = self.overflow(now, target);
        overflow.arrivals += 1;
        overflow.last_arrival = now;
        let recent = overflow
            .requested_at
            .is_some_and(|at| now < at + SPREAD_INTERVAL);
        let due = !recent && overflow.arrivals >= SPREAD_ARRIVALS;
        if due {
            overflow.arrivals = 0;
            overflow.requested_at = Some(now);
        }
        due
    }

    /// Returns the overflow of `target`, created if absent.
    fn overflow(&mut self, now: Time, target: &Target) -> &mut Overflow {
        let index = self
            .overflows
            .binary_search_by(|overflow| overflow.target.cmp(target));
        let index = index.unwrap_or_else(|index| {
            let overflow = Overflow {
                target: target.clone(),
                arrivals: 0,
                last_arrival: now,
                requested_at: None,
            };
            self.overflows.insert(index, overflow);
            index
        });
        &mut self.overflows[index]
    }
}
