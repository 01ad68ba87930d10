//! Peers' messages.

use wire::{Incarnation, Time, Upstream};

use super::{Planner, Taken};
use crate::budget::{Budget, LoadDemand};
use crate::message::{Denial, Message};

impl Planner {
    /// Takes a message in. One from an incarnation that the view knows to be gone is dropped.
    pub(super) fn receive(&mut self, now: Time, from: &Incarnation, message: Message) {
        let peer = self.view.peer(&from.vm);
        if peer.is_some_and(|peer| peer.incarnation != *from) {
            return;
        }
        match message {
            Message::LeaseRequest(ask) => {
                let owner = self.owners.iter_mut();
                match { owner }.find(|o| o.upstream().id == ask.upstream) {
                    Some(owner) => owner.ask(now, from, ask, &self.settings, &mut self.fx),
                    None => self.fx.send(
                        &from.vm,
                        Message::Deny {
                            upstream: ask.upstream,
                            model: ask.model,
                            number: ask.number,
                            denial: Denial::Moved,
                            retry_after: std::time::Duration::ZERO,
                        },
                    ),
                }
            }
            Message::Grant(grant) => {
                if let Taken::Outbid(claim) = self.promises.take(&grant.upstream, grant.claim, from)
                {
                    let upstream = grant.upstream;
                    return self
                        .fx
                        .send(&from.vm, Message::ClaimSuperseded { upstream, claim });
                }
                self.with_holder(now, |holder, cx| holder.receive_grant(cx, from, grant));
            }
            Message::Queued { upstream, model } => {
                self.with_holder(now, |holder, cx| {
                    holder.receive_queued(cx, &upstream, &model);
                });
            }
            Message::Deny {
                upstream,
                model,
                number,
                denial,
                retry_after,
            } => {
                if denial == Denial::Moved {
                    self.moved_on(now, from, &upstream);
                }
                self.with_holder(now, |holder, cx| {
                    holder.receive_denial(cx, &upstream, &model, number, denial, retry_after);
                });
            }
            Message::Release {
                upstream,
                model,
                number,
            } => {
                let owner = self.owners.iter_mut().find(|o| o.upstream().id == upstream);
                if let Some(owner) = owner {
                    owner.release(from, &model, number);
                }
            }
            Message::Claim { claims } => {
                for (upstream, claim) in claims {
                    self.claimed(now, from, &upstream, claim);
                }
            }
            Message::ClaimAck(answer) => {
                let owner = self.owners.iter_mut();
                if let Some(owner) = { owner }.find(|o| o.upstream().id == answer.upstream) {
                    let (view, settings) = (&self.view, &self.settings);
                    owner.answer(now, from, answer, view, settings, &mut self.fx);
                }
            }
            Message::ClaimSuperseded { upstream, claim } => self.outbid(now, &upstream, claim),
            other => self.receive_budget(now, from, other),
        }
    }

    /// Takes the news that the owner this node is promised to has given the upstream up. The owner
    /// that the view names may hold a lower claim, which nobody has told it yet: it has to claim
    /// above the promise before this node can take its grants.
    fn moved_on(&mut self, now: Time, from: &Incarnation, upstream: &Upstream) {
        let claim = self.promises.shown(upstream);
        if !self.promises.holds(upstream, claim, from) {
            return;
        }
        match self.view.owner(upstream) {
            Some(vm) if *vm == self.me.vm => self.outbid(now, upstream, claim),
            Some(vm) if *vm != from.vm => {
                let (vm, upstream) = (vm.clone(), upstream.clone());
                self.fx
                    .send(&vm, Message::ClaimSuperseded { upstream, claim });
            }
            Some(_) | None => {}
        }
    }

    fn budget(&mut self, store: &str) -> Option<&mut Budget> {
        self.budgets.iter_mut().find(|b| *b.store().id == *store)
    }

    fn receive_budget(&mut self, now: Time, from: &Incarnation, message: Message) {
        let settings = self.settings.clone();
        match message {
            Message::TicketRequest {
                store,
                upstream,
                number,
                priority,
                waiting,
                age,
            } => {
                let want = LoadDemand {
                    priority,
                    waiting,
                    since: now.saturating_sub(age),
                };
                if let Some(budget) = self.budget(&store) {
                    budget.receive_ticket_request(now, &from.vm, upstream, number, want);
                }
            }
            Message::Ticket(leave) => {
                let budgets = self.budgets.iter_mut();
                let Some(budget) = { budgets }.find(|b| b.store().id == leave.store) else {
                    return;
                };
                let upstream = leave.upstream.clone();
                if budget.receive_ticket(now, &from.vm, leave, &settings, &mut self.fx) {
                    self.begin(now, &upstream);
                }
            }
            Message::TicketReturn {
                store,
                ticket,
                upstream,
            } => {
                if let Some(budget) = self.budget(&store) {
                    budget.receive_ticket_return(&from.vm, &upstream, ticket);
                }
            }
            Message::ShareRequest { store, number } => {
                let budgets = self.budgets.iter_mut();
                if let Some(budget) = { budgets }.find(|b| b.store().id == store) {
                    budget.receive_share_request(now, from, number, &settings, &mut self.fx);
                }
            }
            Message::Share {
                store,
                number,
                permits,
            } => {
                if let Some(budget) = self.budget(&store) {
                    budget.receive_share(now, from.clone(), number, permits, &settings);
                }
            }
            _ => {}
        }
    }
}
