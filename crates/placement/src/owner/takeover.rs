//! Takeover of an upstream: adoption of the instances that earlier owners loaded.
//!
//! A new owner claims the upstream with an increasing number. Each peer that acknowledges the claim
//! stops acting as the upstream's owner and from then on accepts no grant under a lower claim. Once
//! every peer in the view has acknowledged, and all other incarnations are gone from the view, no
//! other node can grant leases on the instances or order their unload, and the owner adopts them.
//! Requests may still start under earlier leases for one lease duration. After that, the engine's
//! reports show whether an instance is in use. Before the adoption, the owner uses only empty slots
//! and its own instances.

use wire::{Incarnation, Time, View};

use super::slot::{GrantedLease, Slot, SlotState};
use super::{MAX_HANDED_OVER_MODELS, ModelDemand, Owner, TicketStatus};
use crate::action::Note;
use crate::event::{Instance, InstanceReport};
use crate::fence::InstanceName;
use crate::message::{ClaimAck, Popularity};
use crate::planner::Effects;
use crate::settings::Settings;

impl Owner {
    /// Returns the peers that have not acknowledged the claim.
    pub fn unacknowledged<'a>(&'a self, view: &'a View) -> impl Iterator<Item = &'a Incarnation> {
        let peers = view.peers().iter().map(|peer| &peer.incarnation);
        peers.filter(|peer| **peer != self.me && !self.acknowledged_by.contains(peer))
    }

    /// Handles a peer's acknowledgement of the claim. Acknowledgements of earlier claims are
    /// ignored.
    pub fn handle_claim_ack(
        &mut self,
        now: Time,
        from: &Incarnation,
        ack: ClaimAck,
        view: &View,
        settings: &Settings,
        fx: &mut Effects,
    ) {
        if ack.claim != self.claim || self.acknowledged_by.contains(from) {
            return;
        }
        self.acknowledged_by.push(from.clone());
        self.inherited_unloads.extend(ack.unloading);
        for Popularity { model, path, rate } in ack.popularity {
            self.raise_demand(now, &model, &path, rate, settings);
        }
        self.adopt_instances(now, view, settings, fx);
    }

    /// Adopts the instances of earlier owners on which no other node can act any more.
    pub fn adopt_instances(
        &mut self,
        now: Time,
        view: &View,
        settings: &Settings,
        fx: &mut Effects,
    ) {
        if self.unacknowledged(view).next().is_some() {
            return;
        }
        let mut instances = 0;
        for index in 0..self.slots.len() {
            if self.slots[index].state == SlotState::Foreign && self.may_adopt(index, view) {
                self.adopt_instance(now, index, settings);
                self.grant_waiters(now, index, settings, fx);
                instances += 1;
            }
        }
        if instances > 0 || !self.adopted {
            self.adopted = true;
            let upstream = self.upstream.id.clone();
            fx.note(Note::Adopted {
                upstream,
                instances,
            });
        }
    }

    /// Returns whether the incarnation that loaded an instance has yielded it or is gone.
    ///
    /// An acknowledgement yields only what was loaded under lower claims: on the other side of a
    /// partition, the peer may have claimed the upstream since.
    fn may_adopt(&self, index: usize, view: &View) -> bool {
        let slot = &self.slots[index];
        let Some(loader) = &slot.loader else {
            return false;
        };
        let yielded = slot.claim < self.claim && self.acknowledged_by.contains(loader);
        yielded || *loader == self.me || !view.knows(loader)
    }

    /// Adopts one instance.
    ///
    /// Under leases that the former owner granted, requests may start for one lease duration from
    /// now, possibly on holders that this node does not know. One lease without a real holder
    /// stands for all of them. No holder can release it, so it ends only by that time and the
    /// engine's report.
    fn adopt_instance(&mut self, now: Time, index: usize, settings: &Settings) {
        let until = now + settings.lease;
        let slot = &mut self.slots[index];
        slot.unload_pending |= self.inherited_unloads.contains(&slot.instance);
        let no_holder = Incarnation::new("", 0);
        slot.leases.push(GrantedLease {
            id: 0,
            holder: no_holder,
            until,
            number: u64::MAX,
        });
        slot.state = SlotState::Ready;
        slot.ready_at = now;
    }

    /// Applies an engine's report of its instances. A report older than the last one is ignored.
    pub fn apply_instance_report(
        &mut self,
        now: Time,
        report: &InstanceReport,
        view: &View,
        settings: &Settings,
        fx: &mut Effects,
    ) -> TicketStatus {
        let made = now.saturating_sub(report.age);
        if self.last_report.is_some_and(|last| made < last) {
            return TicketStatus::Unchanged;
        }
        self.last_report = Some(made);
        let busy = report.instances.iter().filter(|u| u.in_use > 0).count();
        self.busy_instances = u32::try_from(busy).unwrap_or(u32::MAX);
        let ticket = self.detect_restart(report, fx);
        self.reconcile_slots(made, report, settings, fx);
        self.add_foreign_instances(made, report, settings);
        self.adopt_instances(now, view, settings, fx);
        ticket
    }

    /// Clears all slots if the engine has restarted. A load in progress fails with the restart.
    fn detect_restart(&mut self, report: &InstanceReport, fx: &mut Effects) -> TicketStatus {
        let previous = self.boot.replace(report.boot);
        if previous.is_none_or(|previous| previous == report.boot) {
            return TicketStatus::Unchanged;
        }
        fx.note(Note::Restarted {
            upstream: self.upstream.id.clone(),
            instances: self.slots.len(),
        });
        self.slots.clear();
        let had_ticket = std::mem::take(&mut self.has_ticket);
        if had_ticket {
            TicketStatus::Finished
        } else {
            TicketStatus::Unchanged
        }
    }

    /// Updates the known slots from the report.
    fn reconcile_slots(
        &mut self,
        made: Time,
        report: &InstanceReport,
        settings: &Settings,
        fx: &mut Effects,
    ) {
        let lag = settings.report_lag;
        let mut found = Vec::new();
        self.slots.retain_mut(|slot| {
            let reported = report
                .instances
                .iter()
                .find(|u| u.instance == slot.instance);
            if let Some(reported) = reported {
                slot.idle_at = (reported.in_use == 0).then_some(made);
            }
            match (slot.state, reported.is_some()) {
                (SlotState::Unknown { after }, true) if made > after => {
                    slot.state = SlotState::Ready;
                    found.push(slot.instance.clone());
                    true
                }
                (SlotState::Unknown { after }, false) if made > after => false,
                (SlotState::Ready, false) => made <= slot.ready_at + lag,
                (SlotState::Foreign, false) => false,
                _ => true,
            }
        });
        for instance in found {
            let index = self.slots.iter().position(|s| s.instance == instance);
            if let Some(index) = index {
                self.grant_waiters(made, index, settings, fx);
            }
        }
    }

    /// Adds reported instances that this owner has not loaded.
    fn add_foreign_instances(&mut self, made: Time, report: &InstanceReport, settings: &Settings) {
        // A report made shortly after an unload may still show the unloaded instance.
        if made <= self.last_unload + settings.report_lag && self.last_unload > self.owned_since {
            return;
        }
        for reported in &report.instances {
            if self.slots.iter().any(|s| s.instance == reported.instance) {
                continue;
            }
            let name = InstanceName::parse(&reported.instance);
            if let Some(name) = &name {
                self.fences.observe(name.fence);
            }
            let (claim, fence) = name.as_ref().map_or((0, 0), |n| (n.claim, n.fence));
            self.slots.push(Slot {
                model: name.as_ref().map(|name| name.model.clone()),
                path: None,
                instance: reported.instance.clone(),
                loader: name.map(|name| name.loader),
                claim,
                fence,
                state: SlotState::Foreign,
                leases: Vec::new(),
                idle_at: (reported.in_use == 0).then_some(made),
                ready_at: made,
                unload_pending: false,
                head_start: None,
            });
        }
    }

    /// Returns what the next owner needs: the instances whose unload may be in progress, and the
    /// most popular models.
    pub fn handover(&self, now: Time, settings: &Settings) -> (Vec<Instance>, Vec<Popularity>) {
        let unloading = self.slots.iter().filter(|slot| {
            matches!(
                slot.state,
                SlotState::Evicting { .. } | SlotState::Unknown { .. }
            )
        });
        let unloading = unloading.map(|slot| slot.instance.clone()).collect();
        let rate = |demand: &ModelDemand| demand.rate.long_term(now, settings.half_life);
        let mut popularity: Vec<Popularity> = self
            .demand
            .iter()
            .map(|(model, demand)| Popularity {
                model: model.clone(),
                path: demand.path.clone(),
                rate: rate(demand),
            })
            .collect();
        popularity.sort_by(|a, b| {
            b.rate
                .total_cmp(&a.rate)
                .then_with(|| a.model.cmp(&b.model))
        });
        popularity.truncate(MAX_HANDED_OVER_MODELS);
        (unloading, popularity)
    }
}
