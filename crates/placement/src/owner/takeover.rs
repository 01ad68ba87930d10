//! Instances that earlier owners loaded: who may still use them, and when they are this owner's.
//!
//! A new owner claims the upstream with a growing number. Each peer that answers stops acting as
//! the upstream's owner, and takes grants of no lower claim from then on. Once every peer of the
//! view has answered, and each other incarnation is gone from the view, nobody else can grant a
//! lease on the instances or order them away: the owner adopts them. Requests may start under
//! earlier leases for one lease's time more; after that the engine's own report tells whether an
//! instance is in use. Before the adoption the owner uses free slots and its own instances only.

use wire::{Incarnation, Time, View};

use super::slot::{GrantedLease, Slot, SlotState};
use super::{Known, Owner, POPULAR, Ticket};
use crate::action::Note;
use crate::event::{Instance, InstanceReport};
use crate::fence::InstanceName;
use crate::message::{ClaimAck, Popularity};
use crate::planner::Effects;
use crate::settings::Settings;

impl Owner {
    /// Returns the peers that have not answered the claim.
    pub fn unanswered<'a>(&'a self, view: &'a View) -> impl Iterator<Item = &'a Incarnation> {
        let peers = view.peers().iter().map(|peer| &peer.incarnation);
        peers.filter(|peer| **peer != self.me && !self.answered.contains(peer))
    }

    /// Takes a peer's answer to the claim; one to an earlier claim is dropped.
    pub fn answer(
        &mut self,
        now: Time,
        from: &Incarnation,
        answer: ClaimAck,
        view: &View,
        settings: &Settings,
        fx: &mut Effects,
    ) {
        if answer.claim != self.claim || self.answered.contains(from) {
            return;
        }
        self.answered.push(from.clone());
        self.doomed.extend(answer.unloading);
        for popular in answer.popularity {
            let Popularity { model, path, rate } = popular;
            self.expect(now, &model, &path, rate, settings);
        }
        self.adopt(now, view, settings, fx);
    }

    /// Takes earlier owners' instances on where nobody else can act on them any more.
    pub fn adopt(&mut self, now: Time, view: &View, settings: &Settings, fx: &mut Effects) {
        if self.unanswered(view).next().is_some() {
            return;
        }
        let mut instances = 0;
        for index in 0..self.slots.len() {
            if self.slots[index].state == SlotState::Foreign && self.open(index, view) {
                self.take(now, index, settings);
                self.serve(now, index, settings, fx);
                instances += 1;
            }
        }
        if instances > 0 || !self.adopted {
            self.adopted = true;
            let upstream = self.facts.id.clone();
            fx.note(Note::Adopted {
                upstream,
                instances,
            });
        }
    }

    /// Tells whether the one that loaded an instance has yielded or is gone. An answer yields what
    /// was loaded under lower claims only: the peer may have claimed the upstream since, on the
    /// other side of a partition.
    fn open(&self, index: usize, view: &View) -> bool {
        let slot = &self.slots[index];
        let Some(loader) = &slot.loader else {
            return false;
        };
        let yielded = slot.claim < self.claim && self.answered.contains(loader);
        yielded || *loader == self.me || !view.knows(loader)
    }

    /// Adopts one instance. Leases that the former owner granted may allow requests to start for
    /// one lease's time from now, at holders known or unknown; a right without a holder stands for
    /// all of them, and ends by that time and the engine's report alone.
    fn take(&mut self, now: Time, index: usize, settings: &Settings) {
        let until = now + settings.lease;
        let slot = &mut self.slots[index];
        slot.doomed |= self.doomed.contains(&slot.instance);
        let gone = Incarnation::new("", 0);
        slot.leases.push(GrantedLease {
            lease: 0,
            holder: gone,
            until,
            number: u64::MAX,
        });
        slot.state = SlotState::Ready;
        slot.ready = now;
    }

    /// Takes an engine's report of what it holds.
    pub fn resident(
        &mut self,
        now: Time,
        report: &InstanceReport,
        view: &View,
        settings: &Settings,
        fx: &mut Effects,
    ) -> Ticket {
        let made = now.saturating_sub(report.age);
        if self.reported.is_some_and(|last| made < last) {
            return Ticket::Keep;
        }
        self.reported = Some(made);
        let used = report.instances.iter().filter(|u| u.in_use > 0).count();
        self.used = u32::try_from(used).unwrap_or(u32::MAX);
        let ticket = self.restart(report, fx);
        self.confirm(made, report, settings, fx);
        self.discover(made, report, settings);
        self.adopt(now, view, settings, fx);
        ticket
    }

    /// Voids every slot where the engine has started anew. Loads under way failed with it.
    fn restart(&mut self, report: &InstanceReport, fx: &mut Effects) -> Ticket {
        let before = self.boot.replace(report.boot);
        if before.is_none_or(|before| before == report.boot) {
            return Ticket::Keep;
        }
        fx.note(Note::Restarted {
            upstream: self.facts.id.clone(),
            instances: self.slots.len(),
        });
        self.slots.clear();
        let busy = std::mem::take(&mut self.ticketed);
        if busy { Ticket::Finish } else { Ticket::Keep }
    }

    /// Compares the slots with the report.
    fn confirm(
        &mut self,
        made: Time,
        report: &InstanceReport,
        settings: &Settings,
        fx: &mut Effects,
    ) {
        let lag = settings.report_lag;
        let mut served = Vec::new();
        self.slots.retain_mut(|slot| {
            let shown = report
                .instances
                .iter()
                .find(|u| u.instance == slot.instance);
            if let Some(shown) = shown {
                slot.idle = (shown.in_use == 0).then_some(made);
            }
            match (slot.state, shown.is_some()) {
                (SlotState::Unknown { after }, true) if made > after => {
                    slot.state = SlotState::Ready;
                    served.push(slot.instance.clone());
                    true
                }
                (SlotState::Unknown { after }, false) if made > after => false,
                (SlotState::Ready, false) => made <= slot.ready + lag,
                (SlotState::Foreign, false) => false,
                _ => true,
            }
        });
        for instance in served {
            let index = self.slots.iter().position(|s| s.instance == instance);
            if let Some(index) = index {
                self.serve(made, index, settings, fx);
            }
        }
    }

    /// Adds instances that this owner has not loaded.
    fn discover(&mut self, made: Time, report: &InstanceReport, settings: &Settings) {
        if made <= self.changed + settings.report_lag && self.changed > self.since {
            return;
        }
        for shown in &report.instances {
            if self.slots.iter().any(|s| s.instance == shown.instance) {
                continue;
            }
            let name = InstanceName::parse(&shown.instance);
            if let Some(name) = &name {
                self.fences.observe(name.fence);
            }
            let (claim, fence) = name.as_ref().map_or((0, 0), |n| (n.claim, n.fence));
            self.slots.push(Slot {
                model: name.as_ref().map(|name| name.model.clone()),
                path: None,
                instance: shown.instance.clone(),
                loader: name.map(|name| name.loader),
                claim,
                fence,
                state: SlotState::Foreign,
                leases: Vec::new(),
                idle: (shown.in_use == 0).then_some(made),
                ready: made,
                doomed: false,
                head_start: None,
            });
        }
    }

    /// Returns what the next owner has to know: instances ordered away, and popularity.
    pub fn bequest(&self, now: Time, settings: &Settings) -> (Vec<Instance>, Vec<Popularity>) {
        let doomed = self.slots.iter().filter(|slot| {
            matches!(
                slot.state,
                SlotState::Evicting { .. } | SlotState::Unknown { .. }
            )
        });
        let doomed = doomed.map(|slot| slot.instance.clone()).collect();
        let rate = |known: &Known| known.rate.long_term(now, settings.half_life);
        let mut popular: Vec<Popularity> = self
            .known
            .iter()
            .map(|(model, known)| Popularity {
                model: model.clone(),
                path: known.path.clone(),
                rate: rate(known),
            })
            .collect();
        popular.sort_by(|a, b| {
            b.rate
                .total_cmp(&a.rate)
                .then_with(|| a.model.cmp(&b.model))
        });
        popular.truncate(POPULAR);
        (doomed, popular)
    }
}
