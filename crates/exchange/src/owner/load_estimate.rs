//! How long a load would take that is requested now.

use std::time::Duration;

use wire::Time;

use super::claim::CLAIM_ORDER_DELAY;
use super::owned_engine::{OrderState, OwnedEngine};
use super::scheduling::REPORT_DELAY;
use super::{CLAIM_DELAY, Owner};
use crate::demand::Target;

impl Owner {
    /// Returns the time until a load that is requested now would start, and how long it would take
    /// from then on. Loads of equal and higher rank that were requested before go first.
    pub(super) fn load_estimate(
        &self,
        now: Time,
        owned: &OwnedEngine,
        target: Option<&Target>,
        rank: u8,
    ) -> (Duration, Duration) {
        let full = self.load_slowdown.expect(self.config.load_time);
        let load = match target {
            Some(target) if owned.has_cached(target) => self.config.reload_time,
            _ => full,
        };
        let first = |request: &&super::owned_engine::LoadRequest| {
            !request.is_replica() && request.rank <= rank && Some(&request.target) != target
        };
        let ahead = owned.load_requests.iter().filter(first).count();
        let turns = (owned.pending_loads.len() + ahead) / self.config.parallel_loads.max(1);
        let turns = u32::try_from(turns).unwrap_or(u32::MAX);
        let orders = self
            .orders_allowed_in(now)
            .max(owned.orders_accepted_in(now));
        let start = orders
            .max(owned.slot_wait(now, ahead))
            .max(full.saturating_mul(turns));
        (start, load)
    }

    /// Returns the time until one more adapter could be loaded.
    pub(super) fn load_backlog(&self, now: Time, owned: &OwnedEngine) -> Duration {
        let (start, load) = self.load_estimate(now, owned, None, u8::MAX);
        start + load
    }

    /// Returns the time until this node may give orders to the engines that it owns.
    fn orders_allowed_in(&self, now: Time) -> Duration {
        let held_off = self.no_orders_before.saturating_sub(now);
        if self.config.engines_check_fences {
            return held_off;
        }
        held_off.max(self.quorum.time_until_held(now, self.config.lease))
    }

    /// Returns the time until an engine without an owner could have loaded an adapter for the node
    /// that claims it, as far as this node can tell from its own contact with the others.
    pub fn claim_delay(&self, now: Time) -> Duration {
        let load = REPORT_DELAY + self.load_slowdown.expect(self.config.load_time);
        let held_off = self.no_orders_before.saturating_sub(now);
        if self.config.engines_check_fences {
            let granted = held_off.max(self.witnesses_ready_in(now)) + CLAIM_DELAY;
            return granted.max(self.watch_time(now)) + load;
        }
        let contact = self.quorum.time_until_held(now, self.claim_contact_time());
        let claim = held_off.max(contact) + CLAIM_DELAY;
        let claim = claim.max(self.watch_time(now));
        (claim + CLAIM_ORDER_DELAY).max(self.orders_allowed_in(now)) + load
    }
}

impl OwnedEngine {
    /// Returns the time until the engine can be given the next order.
    fn orders_accepted_in(&self, now: Time) -> Duration {
        match self.state {
            OrderState::AwaitingReport => REPORT_DELAY,
            OrderState::Ready(at) if self.fence_seen => at.saturating_sub(now),
            OrderState::Ready(at) => at.saturating_sub(now) + REPORT_DELAY,
            OrderState::InFlight if self.fence_seen => Duration::ZERO,
            OrderState::InFlight => REPORT_DELAY,
        }
    }
}
