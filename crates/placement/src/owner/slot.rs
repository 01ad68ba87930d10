//! One slot of an upstream and the leases on it.

use wire::{Fence, Incarnation, Lease, Model, Priority, Time};

use crate::event::{Instance, WeightsPath};
use crate::message::{HeadStart, RequestNumber};
use crate::settings::Settings;

/// What is known of the instance in a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotState {
    /// A load was ordered.
    Loading {
        /// Time by which it must be written.
        write: Time,
        /// Time after which it counts as failed.
        deadline: Time,
    },
    /// It is loaded; this owner alone grants leases on it.
    Ready,
    /// An unload was ordered.
    Evicting {
        /// Number of the order.
        fence: Fence,
        /// Time by which it must be written.
        write: Time,
        /// Time after which its outcome counts as unknown.
        deadline: Time,
    },
    /// Nobody knows whether it is there; an engine's report made after this time tells.
    Unknown {
        /// Time from which on a report tells.
        after: Time,
    },
    /// An earlier owner loaded it, and some peer may still use it or give orders about it.
    Foreign,
}

/// A holder's right to start requests on an instance until a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantedLease {
    /// The lease.
    pub lease: Lease,
    /// Its holder.
    pub holder: Incarnation,
    /// Time after which the holder starts nothing more on it.
    pub until: Time,
    /// Highest ask that it was granted for.
    pub number: RequestNumber,
}

/// One slot in use.
#[derive(Clone, Debug, PartialEq)]
pub struct Slot {
    /// The model; `None` where the instance's name was given by somebody else.
    pub model: Option<Model>,
    /// Where its weights are, where known.
    pub path: Option<WeightsPath>,
    /// The instance.
    pub instance: Instance,
    /// The incarnation that ordered its load, where known.
    pub loader: Option<Incarnation>,
    /// Number of the claim under which it was loaded.
    pub claim: Fence,
    /// Number of the load.
    pub fence: Fence,
    /// What is known of it.
    pub state: SlotState,
    /// Leases on it.
    pub leases: Vec<GrantedLease>,
    /// Time of the engine's last report that showed it without requests; `None` after one that
    /// showed some.
    pub idle: Option<Time>,
    /// Time since which it is ready.
    pub ready: Time,
    /// Whether an order to unload it may still be under way; it gets no more leases.
    pub doomed: bool,
    /// Priority of the most urgent that waited for it, and the time until which they go first.
    pub head_start: Option<(Priority, Time)>,
}

impl Slot {
    /// Tells whether nothing uses the instance and nothing can begin to.
    ///
    /// A lease ends by its holder's release, or by its time together with an engine's report that
    /// shows the instance idle and is newer than that time by the report's lag.
    pub fn free(&self, settings: &Settings) -> bool {
        let over = |right: &GrantedLease| {
            let end = right.until.saturating_add(settings.drift);
            let seen = end.saturating_add(settings.report_lag);
            self.idle.is_some_and(|idle| idle > seen)
        };
        self.state == SlotState::Ready && self.leases.iter().all(over)
    }

    /// Returns the head start that grants at `now` have to tell of.
    pub fn head_start(&self, now: Time) -> Option<HeadStart> {
        let (priority, until) = self.head_start.filter(|(_, until)| *until > now)?;
        let remaining = until - now;
        Some(HeadStart {
            priority,
            remaining,
        })
    }

    /// Gives `holder` a lease, or extends the one that it has, and returns it.
    pub fn grant(
        &mut self,
        holder: &Incarnation,
        until: Time,
        number: RequestNumber,
        next: &mut Lease,
    ) -> Lease {
        if let Some(right) = self.leases.iter_mut().find(|right| right.holder == *holder) {
            right.until = right.until.max(until);
            right.number = right.number.max(number);
            return right.lease;
        }
        *next += 1;
        self.leases.push(GrantedLease {
            lease: *next,
            holder: holder.clone(),
            until,
            number,
        });
        *next
    }

    /// Ends the lease of `holder`, unless it was granted for an ask above `number`.
    pub fn release(&mut self, holder: &Incarnation, number: RequestNumber) {
        self.leases
            .retain(|right| right.holder != *holder || right.number > number);
    }
}
