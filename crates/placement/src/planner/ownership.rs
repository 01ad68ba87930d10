//! Acquiring and giving up upstreams.

use std::time::Duration;

use wire::{Fence, Incarnation, Time, Upstream, View, Vm};

use super::{ClaimOutcome, Planner};
use crate::action::Note;
use crate::message::Message;
use crate::owner::Owner;

/// Time that passes between news of another node's claim and the next claim of this node, so that
/// orders of the two do not alternate.
const RECLAIM_DELAY: Duration = Duration::from_secs(3);

/// A claim that has to be made again, because a peer has accepted a higher one.
#[derive(Clone, Debug)]
pub(super) struct Reclaim {
    upstream: Upstream,
    at: Time,
    /// Number that the new claim has to exceed.
    above: Fence,
}

impl Reclaim {
    /// Returns whether this is the claim on `upstream`.
    pub(super) fn is_for(&self, upstream: &str) -> bool {
        *self.upstream == *upstream
    }
}

impl Planner {
    /// Replaces the view and updates ownership and budgets accordingly.
    pub(super) fn update_view(&mut self, now: Time, view: View) {
        self.view = view;
        for budget in &mut self.budgets {
            budget.set_view(now, &self.view, &self.settings);
        }
        self.update_ownership(now);
        for owner in &mut self.owners {
            owner.adopt_instances(now, &self.view, &self.settings, &mut self.fx);
        }
    }

    /// Acquires and gives up upstreams according to the view and the list of upstreams.
    pub(super) fn update_ownership(&mut self, now: Time) {
        let facts: Vec<_> = self
            .upstreams
            .targets()
            .iter()
            .map(|t| t.facts.clone())
            .collect();
        let known = |id: &Upstream| facts.iter().any(|f| f.id == *id);
        let owned: Vec<Upstream> = self
            .owners
            .iter()
            .map(|o| o.upstream().id.clone())
            .collect();
        for upstream in owned {
            let mine = self.view.owner(&upstream) == Some(&self.me.vm);
            if !known(&upstream) || !mine {
                self.resign(now, &upstream, 0);
            }
        }
        self.former_owners
            .retain(|owner| known(&owner.upstream().id));
        let mut acquired = false;
        for facts in facts {
            if self.view.owner(&facts.id) != Some(&self.me.vm) {
                continue;
            }
            let owned = self.owners.iter_mut().find(|o| o.upstream().id == facts.id);
            if let Some(owner) = owned {
                owner.update_upstream(facts);
                continue;
            }
            if self.reclaims.iter().any(|r| r.upstream == facts.id) {
                continue;
            }
            acquired |= self.acquire(now, facts, 0);
        }
        if acquired {
            self.last_claims_sent = None;
            self.send_claims(now);
        }
        self.announce_given_up(now);
    }

    /// Takes over an upstream. Returns whether a claim has to be sent.
    fn acquire(&mut self, now: Time, facts: crate::event::Upstream, above: Fence) -> bool {
        let id = facts.id.clone();
        if let Some(index) = self
            .former_owners
            .iter()
            .position(|o| o.upstream().id == id)
        {
            let mut owner = self.former_owners.swap_remove(index);
            // No other node has claimed the upstream since, so the known state is still valid.
            let holds = self.promises.holds(&id, owner.claim(), &self.me);
            if above == 0 && holds && !owner.is_given_up() {
                owner.update_upstream(facts);
                self.insert_owner(owner);
                return true;
            }
        }
        let above = above.max(self.promises.highest_claim(&id));
        let owner = Owner::new(now, self.me.clone(), facts, above);
        let fence = owner.claim();
        self.promises.accept(&id, fence, &self.me);
        self.fx.note(Note::Claimed {
            upstream: id,
            fence,
        });
        self.insert_owner(owner);
        true
    }

    fn insert_owner(&mut self, owner: Owner) {
        let index = self
            .owners
            .partition_point(|o| o.upstream().id < owner.upstream().id);
        self.owners.insert(index, owner);
    }

    /// Ends the ownership of an upstream, by the claim `fence` of another node or, if it is zero, since
    /// the view names another owner. Its state is kept for the next owner's claim.
    pub(super) fn resign(&mut self, now: Time, upstream: &Upstream, fence: Fence) {
        let Some(index) = self
            .owners
            .iter()
            .position(|o| o.upstream().id == *upstream)
        else {
            return;
        };
        let mut owner = self.owners.remove(index);
        let wait = match fence {
            0 => remaining_delay(owner.quiet(now)),
            _ => Duration::ZERO,
        };
        owner.retire(now, wait, &mut self.fx);
        for budget in &mut self.budgets {
            budget.abandon(upstream, &mut self.fx);
        }
        self.fx.note(Note::Yielded {
            upstream: upstream.clone(),
            fence,
        });
        self.former_owners.retain(|o| o.upstream().id != *upstream);
        self.former_owners.push(owner);
    }

    /// Sends claims to the peers that have not acknowledged them, one message to each peer.
    pub(super) fn send_claims(&mut self, now: Time) {
        let interval = self.settings.resend * 2;
        if self
            .last_claims_sent
            .is_some_and(|sent| now < sent + interval)
        {
            return;
        }
        self.last_claims_sent = Some(now);
        let mut pending: Vec<(Vm, Vec<(Upstream, Fence)>)> = Vec::new();
        for owner in &self.owners {
            for peer in owner.unacknowledged(&self.view) {
                let claim = (owner.upstream().id.clone(), owner.claim());
                match pending.binary_search_by(|(vm, _)| vm.cmp(&peer.vm)) {
                    Ok(index) => pending[index].1.push(claim),
                    Err(index) => pending.insert(index, (peer.vm.clone(), vec![claim])),
                }
            }
        }
        for (vm, claims) in pending {
            self.fx.send(&vm, Message::Claim { claims });
        }
    }

    /// Handles the news that a peer has accepted the higher claim `claim`. This node orders nothing
    /// until it claims the upstream again, unless by then the view names another owner.
    pub(super) fn handle_superseded(&mut self, now: Time, upstream: &Upstream, claim: Fence) {
        let owner = self.owners.iter().find(|o| o.upstream().id == *upstream);
        if owner.is_some_and(|owner| owner.claim() <= claim) {
            self.schedule_reclaim(now, upstream, claim);
        }
    }

    /// Handles the news that the peer `from` has given the higher claim `claim` up and has ordered nothing
    /// for `quiet`, or at all. This node claims the upstream again as soon as that peer's orders are not
    /// recent, unless yet another one has made a higher claim.
    pub(super) fn handle_given_up(
        &mut self,
        now: Time,
        from: &Incarnation,
        upstream: &Upstream,
        claim: Fence,
        quiet: Option<Duration>,
    ) {
        self.handle_superseded(now, upstream, claim);
        if self.promises.exceed(upstream, claim, from) {
            return;
        }
        let at = now + remaining_delay(quiet);
        let reclaim = self.reclaims.iter_mut().find(|r| r.upstream == *upstream);
        if let Some(reclaim) = reclaim.filter(|reclaim| reclaim.above <= claim) {
            reclaim.at = reclaim.at.min(at);
        }
    }

    /// Tells the owners that the view names of the claims that this node has given up. They may wait
    /// until orders of this node are not recent any more.
    pub(super) fn announce_given_up(&mut self, now: Time) {
        let interval = self.settings.resend * 2;
        let mut due: Vec<(Vm, Upstream, Fence)> = Vec::new();
        for former in &self.former_owners {
            let (upstream, claim) = (&former.upstream().id, former.claim());
            let owner = self.view.owner(upstream).filter(|vm| **vm != self.me.vm);
            let Some(owner) = owner else { continue };
            let holds = self.promises.holds(upstream, claim, &self.me);
            if holds && former.must_announce(now, owner, interval, RECLAIM_DELAY) {
                due.push((owner.clone(), upstream.clone(), claim));
            }
        }
        for (owner, upstream, claim) in due {
            if let Some(message) = self.give_up(now, &owner, &upstream, claim) {
                self.fx.send(&owner, message);
            }
        }
    }

    /// Gives the claim up for good, if it is the promised one and was this node's. Returns the message
    /// that tells `peer` so.
    fn give_up(
        &mut self,
        now: Time,
        peer: &Vm,
        upstream: &Upstream,
        claim: Fence,
    ) -> Option<Message> {
        if !self.promises.holds(upstream, claim, &self.me) {
            return None;
        }
        let former = self.former_owners.iter_mut();
        let owner = { former }.find(|o| o.upstream().id == *upstream && o.claim() == claim)?;
        Some(Message::ClaimGivenUp {
            upstream: upstream.clone(),
            claim,
            quiet: owner.give_up(now, peer),
        })
    }

    /// Returns the answer to a claim of `peer` below `claim`.
    fn superseded(&mut self, now: Time, peer: &Vm, upstream: &Upstream, claim: Fence) -> Message {
        let given_up = self.give_up(now, peer, upstream, claim);
        given_up.unwrap_or_else(|| Message::ClaimSuperseded {
            upstream: upstream.clone(),
            claim,
        })
    }

    /// Returns whether this node waits before it claims an upstream again. Its own instances stay
    /// known, but it orders nothing.
    pub(super) fn awaits_reclaim(&self, upstream: &str) -> bool {
        self.reclaims.iter().any(|r| r.is_for(upstream))
    }

    /// Returns the time for which, as far as this node knows, nobody orders at an upstream, because a
    /// claim on it is given up and orders under that claim are recent.
    pub(super) fn time_until_claim(&self, now: Time, upstream: &Upstream) -> Duration {
        if let Some(reclaim) = self.reclaims.iter().find(|r| r.upstream == *upstream) {
            return reclaim.at.saturating_sub(now);
        }
        let former = self.former_owners.iter();
        let former = { former }.find(|o| o.upstream().id == *upstream);
        let given_up = |o: &&Owner| self.promises.holds(upstream, o.claim(), &self.me);
        let quiet = former.filter(given_up).and_then(|owner| owner.quiet(now));
        remaining_delay(quiet)
    }

    /// Records the highest fencing number that an engine has seen. The next order gets a higher one.
    ///
    /// If the number has risen without an order of this node, another node orders there, whether the view lists it or
    /// not. This node then orders nothing until the number has stood still for [`RECLAIM_DELAY`].
    pub(super) fn observe_fence(&mut self, now: Time, upstream: &Upstream, fence: Fence) {
        let owner = self
            .owners
            .iter_mut()
            .find(|o| o.upstream().id == *upstream);
        let Some(owner) = owner else {
            return;
        };
        let overtaken = owner.is_overtaken(fence);
        owner.observe_fence(fence);
        if !overtaken {
            return;
        }
        owner.deny_all(RECLAIM_DELAY, &mut self.fx);
        let waiting = self.reclaims.len();
        self.reclaims.retain(|reclaim| !reclaim.is_for(upstream));
        if self.reclaims.len() == waiting {
            let upstream = upstream.clone();
            self.fx.note(Note::Overtaken { upstream, fence });
        }
        self.schedule_reclaim(now, upstream, fence);
    }

    /// Schedules a new claim above `above`, once orders of the other node are not recent any more.
    pub(super) fn schedule_reclaim(&mut self, now: Time, upstream: &Upstream, above: Fence) {
        let at = now + RECLAIM_DELAY;
        if let Some(reclaim) = self.reclaims.iter_mut().find(|r| r.upstream == *upstream) {
            reclaim.above = reclaim.above.max(above);
            return;
        }
        self.reclaims.push(Reclaim {
            upstream: upstream.clone(),
            at,
            above,
        });
    }

    /// Makes the scheduled claims that are due, if the view still names this node as the owner.
    pub(super) fn reclaim_due(&mut self, now: Time) {
        let due = |reclaim: &Reclaim| now >= reclaim.at;
        if !self.reclaims.iter().any(due) {
            return;
        }
        let (due, later) = std::mem::take(&mut self.reclaims)
            .into_iter()
            .partition(due);
        self.reclaims = later;
        let due: Vec<Reclaim> = due;
        for Reclaim {
            upstream, above, ..
        } in due
        {
            let facts = self.upstreams.target(&upstream).map(|t| t.facts.clone());
            let mine = self.view.owner(&upstream) == Some(&self.me.vm);
            if !mine {
                continue;
            }
            self.last_claims_sent = None;
            if let Some(owner) = self.owners.iter_mut().find(|o| o.upstream().id == upstream) {
                let fence = owner.claim_above(above.max(self.promises.highest_claim(&upstream)));
                self.promises.accept(&upstream, fence, &self.me);
                self.fx.note(Note::Claimed { upstream, fence });
            } else if let Some(facts) = facts {
                self.acquire(now, facts, above);
            }
        }
    }

    /// Handles a peer's claim. Unless a higher claim was accepted before, this node stops acting as
    /// the upstream's owner, accepts no grants under lower claims from now on, and acknowledges the
    /// claim.
    pub(super) fn handle_claim(
        &mut self,
        now: Time,
        from: &Incarnation,
        upstream: &Upstream,
        claim: Fence,
    ) {
        match self.promises.accept(upstream, claim, from) {
            ClaimOutcome::Superseded(claim) => {
                let message = self.superseded(now, &from.vm, upstream, claim);
                return self.fx.send(&from.vm, message);
            }
            ClaimOutcome::Accepted => {
                let was_owner = self.owners.iter().any(|o| o.upstream().id == *upstream);
                self.resign(now, upstream, claim);
                if was_owner && self.view.owner(upstream) == Some(&self.me.vm) {
                    self.schedule_reclaim(now, upstream, claim);
                }
            }
            ClaimOutcome::AlreadyAccepted => {}
        }
        self.acknowledge_claim(now, from, upstream, claim);
        self.with_holder(now, |holder, cx| holder.owner_changed(cx, upstream));
    }

    fn acknowledge_claim(
        &mut self,
        now: Time,
        from: &Incarnation,
        upstream: &Upstream,
        claim: Fence,
    ) {
        let former = self
            .former_owners
            .iter()
            .find(|o| o.upstream().id == *upstream);
        let handover = former.map(|owner| owner.handover(now, &self.settings));
        let (unloading, popularity) = handover.unwrap_or_default();
        let ack = crate::message::ClaimAck {
            upstream: upstream.clone(),
            claim,
            unloading,
            popularity,
        };
        self.fx.send(&from.vm, Message::ClaimAck(ack));
    }
}

/// Returns what is left of [`RECLAIM_DELAY`] where a former owner has ordered nothing for `quiet`, or at
/// all.
fn remaining_delay(quiet: Option<Duration>) -> Duration {
    quiet.map_or(Duration::ZERO, |quiet| RECLAIM_DELAY.saturating_sub(quiet))
}
