//! One slot of an upstream and the leases on it.

use wire::{Fence, Incarnation, Lease, Model, Priority, Time};

use crate::event::{Instance, WeightsPath};
use crate::message::{HeadStart, RequestNumber};
use crate::settings::Settings;

/// State of the instance in a slot, as known to the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotState {
    /// A load was ordered.
    Loading {
        /// Time by which the order must be written.
        write_by: Time,
        /// Time after which the load counts as failed.
        deadline: Time,
    },
    /// The instance is loaded, and only this owner grants leases on it.
    Ready,
    /// An unload was ordered.
    Evicting {
        /// Fencing number of the order.
        fence: Fence,
        /// Time by which the order must be written.
        write_by: Time,
        /// Time after which the outcome of the order counts as unknown.
        deadline: Time,
    },
    /// The engine may or may not hold the instance. A report made after `after` decides.
    Unknown {
        /// Time after which a report reflects the outcome of the order.
        after: Time,
    },
    /// An earlier owner loaded the instance, and some peer may still use it or order its unload.
    Foreign,
}

/// A lease that was granted on an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantedLease {
    /// Id of the lease.
    pub id: Lease,
    /// Holder of the lease.
    pub holder: Incarnation,
    /// Time after which the holder starts no more requests on the instance.
    pub until: Time,
    /// Highest number of the lease requests that it was granted for.
    pub number: RequestNumber,
}

/// One slot in use.
#[derive(Clone, Debug, PartialEq)]
pub struct Slot {
    /// The model; `None` if no owner gave the instance its name.
    pub model: Option<Model>,
    /// Path of its weights, if known.
    pub path: Option<WeightsPath>,
    /// The instance.
    pub instance: Instance,
    /// Incarnation that ordered the load, if known.
    pub loader: Option<Incarnation>,
    /// Number of the claim under which it was loaded.
    pub claim: Fence,
    /// Fencing number of the load.
    pub fence: Fence,
    /// State of the instance.
    pub state: SlotState,
    /// Leases on the instance.
    pub leases: Vec<GrantedLease>,
    /// Time of the last report that listed the instance; `None` if requests used it then.
    pub idle_at: Option<Time>,
    /// Time at which the instance became ready.
    pub ready_at: Time,
    /// Whether an order to unload the instance may still be in progress. If so, no more leases are
    /// granted on it.
    pub unload_pending: bool,
    /// Priority of the most urgent requests that waited for the load, and the time at which their
    /// head start ends.
    pub head_start: Option<(Priority, Time)>,
}

impl Slot {
    /// Returns whether no request uses the instance and none can start on it.
    ///
    /// A lease ends when its holder releases it. It also ends when it has expired and an engine's
    /// report shows the instance idle, if that report is newer than the expiry by more than the
    /// reporting lag.
    pub fn evictable(&self, settings: &Settings) -> bool {
        let ended = |lease: &GrantedLease| {
            let expiry = lease.until.saturating_add(settings.drift);
            let reported_by = expiry.saturating_add(settings.report_lag);
            self.idle_at.is_some_and(|idle_at| idle_at > reported_by)
        };
        self.state == SlotState::Ready && self.leases.iter().all(ended)
    }

    /// Returns the head start that a grant at `now` has to carry.
    pub fn head_start(&self, now: Time) -> Option<HeadStart> {
        let (priority, until) = self.head_start.filter(|(_, until)| *until > now)?;
        let remaining = until - now;
        Some(HeadStart {
            priority,
            remaining,
        })
    }

    /// Grants `holder` a lease or extends the one that it has, and returns its id. `last_lease` is
    /// the last id that was used.
    pub fn grant(
        &mut self,
        holder: &Incarnation,
        until: Time,
        number: RequestNumber,
        last_lease: &mut Lease,
    ) -> Lease {
        if let Some(lease) = self.leases.iter_mut().find(|lease| lease.holder == *holder) {
            lease.until = lease.until.max(until);
            lease.number = lease.number.max(number);
            return lease.id;
        }
        *last_lease += 1;
        self.leases.push(GrantedLease {
            id: *last_lease,
            holder: holder.clone(),
            until,
            number,
        });
        *last_lease
    }

    /// Ends the lease of `holder`, unless it was granted for a request above `number`.
    pub fn release(&mut self, holder: &Incarnation, number: RequestNumber) {
        self.leases
            .retain(|lease| lease.holder != *holder || lease.number > number);
    }
}
