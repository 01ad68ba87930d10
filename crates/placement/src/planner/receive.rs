//! Handling of messages from peers.

use wire::{Incarnation, Time, Upstream};

use super::{ClaimOutcome, Planner};
use crate::budget::{Budget, LoadDemand};
use crate::message::{Denial, LeaseRequest, Message};

impl Planner {
    /// Handles a message. It is dropped if the view lists another incarnation on the sender's VM.
    pub(super) fn receive(&mut self, now: Time, from: &Incarnation, message: Message) {
        let peer = self.view.peer(&from.vm);
        if peer.is_some_and(|peer| peer.incarnation != *from) {
            return;
        }
        match message {
            Message::LeaseRequest(request) => self.handle_lease_request(now, from, request),
            Message::Grant(grant) => {
                if let ClaimOutcome::Superseded(claim) =
                    self.promises.accept(&grant.upstream, grant.claim, from)
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
                    self.handle_owner_resigned(now, from, &upstream);
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
                    self.handle_claim(now, from, &upstream, claim);
                }
            }
            Message::ClaimAck(ack) => {
                let owner = self.owners.iter_mut();
                if let Some(owner) = { owner }.find(|o| o.upstream().id == ack.upstream) {
                    let (view, settings) = (&self.view, &self.settings);
                    owner.handle_claim_ack(now, from, ack, view, settings, &mut self.fx);
                }
            }
            Message::ClaimSuperseded { upstream, claim } => {
                self.handle_superseded(now, &upstream, claim);
            }
            Message::ClaimGivenUp {
                upstream,
                claim,
                quiet,
            } => self.handle_given_up(now, from, &upstream, claim, quiet),
            other => self.receive_budget_message(now, from, other),
        }
    }

    fn handle_lease_request(&mut self, now: Time, from: &Incarnation, request: LeaseRequest) {
        let wait = self.time_until_claim(now, &request.upstream);
        let owner = self.owners.iter_mut();
        let owner = { owner }.find(|o| o.upstream().id == request.upstream);
        // A load has to wait until this node may order again; what is loaded can be used.
        match owner.filter(|owner| wait.is_zero() || owner.is_ready(&request.model)) {
            Some(owner) => {
                owner.handle_lease_request(now, from, request, &self.settings, &mut self.fx);
            }
            None => self.fx.send(
                &from.vm,
                Message::Deny {
                    upstream: request.upstream,
                    model: request.model,
                    number: request.number,
                    denial: Denial::Moved,
                    retry_after: wait,
                },
            ),
        }
    }

    /// Handles the news that the promised owner has given the upstream up.
    ///
    /// The owner that the view names may hold a lower claim without knowing that it is superseded.
    /// It has to claim above the promise before this node can accept its grants, so this node tells
    /// it the promised claim.
    fn handle_owner_resigned(&mut self, now: Time, from: &Incarnation, upstream: &Upstream) {
        let claim = self.promises.highest_claim(upstream);
        if !self.promises.holds(upstream, claim, from) {
            return;
        }
        match self.view.owner(upstream) {
            Some(vm) if *vm == self.me.vm => self.handle_superseded(now, upstream, claim),
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

    fn receive_budget_message(&mut self, now: Time, from: &Incarnation, message: Message) {
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
            Message::Ticket(ticket) => {
                let budgets = self.budgets.iter_mut();
                let Some(budget) = { budgets }.find(|b| b.store().id == ticket.store) else {
                    return;
                };
                let upstream = ticket.upstream.clone();
                if budget.receive_ticket(now, &from.vm, ticket, &settings, &mut self.fx) {
                    self.start_load(now, &upstream);
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
