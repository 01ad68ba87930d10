//! Gaining and losing upstreams.

use wire::{Fence, Time, Upstream, View, Vm};

use super::{Planner, Taken};
use crate::action::Note;
use crate::message::Message;
use crate::owner::Owner;

/// A claim to be made anew, after a higher one was shown.
#[derive(Clone, Debug)]
pub(super) struct Reclaim {
    upstream: Upstream,
    at: Time,
    shown: Fence,
}

impl Planner {
    /// Takes a new view.
    pub(super) fn look(&mut self, now: Time, view: View) {
        self.view = view;
        for budget in &mut self.budgets {
            budget.set_view(now, &self.view, &self.settings);
        }
        self.assign(now);
        for owner in &mut self.owners {
            owner.adopt(now, &self.view, &self.settings, &mut self.fx);
        }
    }

    /// Begins and ends ownerships as the view and the list of upstreams say.
    pub(super) fn assign(&mut self, now: Time) {
        let facts: Vec<_> = self
            .choice
            .targets()
            .iter()
            .map(|t| t.facts.clone())
            .collect();
        let known = |id: &Upstream| facts.iter().any(|f| f.id == *id);
        let gone: Vec<Upstream> = self
            .owners
            .iter()
            .map(|o| o.upstream().id.clone())
            .collect();
        for upstream in gone {
            let mine = self.view.owner(&upstream) == Some(&self.me.vm);
            if !known(&upstream) || !mine {
                self.resign(&upstream, 0);
            }
        }
        self.former.retain(|owner| known(&owner.upstream().id));
        let mut began = false;
        for facts in facts {
            if self.view.owner(&facts.id) != Some(&self.me.vm) {
                continue;
            }
            let owned = self.owners.iter_mut().find(|o| o.upstream().id == facts.id);
            if let Some(owner) = owned {
                owner.update(facts);
                continue;
            }
            if self.reclaims.iter().any(|r| r.upstream == facts.id) {
                continue;
            }
            began |= self.begin_ownership(now, facts, 0);
        }
        if began {
            self.claimed = None;
            self.claim(now);
        }
    }

    /// Begins to own an upstream; returns whether a claim has to be made.
    fn begin_ownership(&mut self, now: Time, facts: crate::event::Upstream, shown: Fence) -> bool {
        let id = facts.id.clone();
        if let Some(at) = self.former.iter().position(|o| o.upstream().id == id) {
            let mut owner = self.former.swap_remove(at);
            // Nobody has claimed it since: what this node knows of it still holds.
            if shown == 0 && self.promises.holds(&id, owner.claim(), &self.me) {
                owner.update(facts);
                self.insert(owner);
                return true;
            }
        }
        let shown = shown.max(self.promises.shown(&id));
        let owner = Owner::new(now, self.me.clone(), facts, shown);
        let fence = owner.claim();
        self.promises.take(&id, fence, &self.me);
        self.fx.note(Note::Claimed {
            upstream: id,
            fence,
        });
        self.insert(owner);
        true
    }

    fn insert(&mut self, owner: Owner) {
        let at = self
            .owners
            .partition_point(|o| o.upstream().id < owner.upstream().id);
        self.owners.insert(at, owner);
    }

    /// Ends an ownership; what is known stays for the next owner's claim.
    pub(super) fn resign(&mut self, upstream: &Upstream, fence: Fence) {
        let Some(at) = self
            .owners
            .iter()
            .position(|o| o.upstream().id == *upstream)
        else {
            return;
        };
        let mut owner = self.owners.remove(at);
        owner.retire(&mut self.fx);
        for budget in &mut self.budgets {
            budget.abandon(upstream, &mut self.fx);
        }
        self.fx.note(Note::Yielded {
            upstream: upstream.clone(),
            fence,
        });
        self.former.retain(|o| o.upstream().id != *upstream);
        self.former.push(owner);
    }

    /// Sends claims to the peers that have not answered them, all that one peer owes in one
    /// message.
    pub(super) fn claim(&mut self, now: Time) {
        let pause = self.settings.resend * 2;
        if self.claimed.is_some_and(|at| now < at + pause) {
            return;
        }
        self.claimed = Some(now);
        let mut owed: Vec<(Vm, Vec<(Upstream, Fence)>)> = Vec::new();
        for owner in &self.owners {
            for peer in owner.unanswered(&self.view) {
                let claim = (owner.upstream().id.clone(), owner.claim());
                match owed.binary_search_by(|(vm, _)| vm.cmp(&peer.vm)) {
                    Ok(at) => owed[at].1.push(claim),
                    Err(at) => owed.insert(at, (peer.vm.clone(), vec![claim])),
                }
            }
        }
        for (vm, claims) in owed {
            self.fx.send(&vm, Message::Claim { claims });
        }
    }

    /// Takes the news that a peer has promised itself to a higher claim: this node claims anew,
    /// unless the view says by then that the upstream is another's.
    pub(super) fn outbid(&mut self, now: Time, upstream: &Upstream, shown: Fence) {
        let owner = self.owners.iter().find(|o| o.upstream().id == *upstream);
        if owner.is_some_and(|owner| owner.claim() <= shown) {
            self.schedule(now, upstream, shown);
        }
    }

    /// Takes an engine's refusal of an order, which it did not carry out; the next one has a number
    /// above what it has seen.
    pub(super) fn refused(&mut self, upstream: &Upstream, shown: Fence) {
        let owner = self
            .owners
            .iter_mut()
            .find(|o| o.upstream().id == *upstream);
        if let Some(owner) = owner {
            owner.raise(shown);
        }
    }

    /// Makes a claim anew after a pause, which lets views converge.
    pub(super) fn schedule(&mut self, now: Time, upstream: &Upstream, shown: Fence) {
        let at = now + self.settings.resend;
        if let Some(reclaim) = self.reclaims.iter_mut().find(|r| r.upstream == *upstream) {
            reclaim.shown = reclaim.shown.max(shown);
            return;
        }
        self.reclaims.push(Reclaim {
            upstream: upstream.clone(),
            at,
            shown,
        });
    }

    /// Makes the claims that are due, where the view still says that the upstream is this node's.
    pub(super) fn reclaim(&mut self, now: Time) {
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
            upstream, shown, ..
        } in due
        {
            let facts = self.choice.target(&upstream).map(|t| t.facts.clone());
            let mine = self.view.owner(&upstream) == Some(&self.me.vm);
            if !mine {
                continue;
            }
            self.claimed = None;
            if let Some(owner) = self.owners.iter_mut().find(|o| o.upstream().id == upstream) {
                let fence = owner.claim_above(shown.max(self.promises.shown(&upstream)));
                self.promises.take(&upstream, fence, &self.me);
                self.fx.note(Note::Claimed { upstream, fence });
            } else if let Some(facts) = facts {
                self.begin_ownership(now, facts, shown);
            }
        }
    }

    /// Takes a peer's claim: this node stops acting as the owner, takes no grants of a lower claim
    /// from now on, and answers.
    pub(super) fn claimed(
        &mut self,
        now: Time,
        from: &wire::Incarnation,
        upstream: &Upstream,
        claim: Fence,
    ) {
        match self.promises.take(upstream, claim, from) {
            Taken::Outbid(claim) => {
                let upstream = upstream.clone();
                return self
                    .fx
                    .send(&from.vm, Message::ClaimSuperseded { upstream, claim });
            }
            Taken::New => {
                let owned = self.owners.iter().any(|o| o.upstream().id == *upstream);
                self.resign(upstream, claim);
                if owned && self.view.owner(upstream) == Some(&self.me.vm) {
                    self.schedule(now, upstream, claim);
                }
            }
            Taken::Known => {}
        }
        self.answer(now, from, upstream, claim);
        self.with_holder(now, |holder, cx| holder.owner_changed(cx, upstream));
    }

    fn answer(&mut self, now: Time, from: &wire::Incarnation, upstream: &Upstream, claim: Fence) {
        let former = self.former.iter().find(|o| o.upstream().id == *upstream);
        let bequest = former.map(|owner| owner.bequest(now, &self.settings));
        let (unloading, popularity) = bequest.unwrap_or_default();
        let answer = crate::message::ClaimAck {
            upstream: upstream.clone(),
            claim,
            unloading,
            popularity,
        };
        self.fx.send(&from.vm, Message::ClaimAck(answer));
    }
}
