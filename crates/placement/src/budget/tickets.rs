//! Tickets: selection of the next demand to serve, and requests of nodes that do not hold the
//! budget.

use wire::{Priority, Time};

use super::{
    Budget, IssuedTicket, MIN_PERMITS_FOR_RESERVE, UsedTicket, ticket_lifetime, ticket_use_time,
};
use crate::message::{Message, Ticket};
use crate::planner::Effects;
use crate::settings::Settings;

/// The demand to serve next, by its index.
#[derive(Clone, Copy, Debug)]
pub(super) enum NextDemand {
    Local(usize),
    Peer(usize),
}

impl Budget {
    /// Returns the demand that may get a ticket now.
    ///
    /// [`Settings::reserve`] permits are reserved for urgent loads, and prefetches use no more than
    /// half of the permits. Budgets below [`MIN_PERMITS_FOR_RESERVE`] reserve none.
    pub(super) fn next_demand(&self, now: Time, settings: &Settings) -> Option<NextDemand> {
        if self.credit < 1.0 {
            return None;
        }
        let permits = self.available_permits(now, settings);
        let in_flight = u32::try_from(self.issued.len()).unwrap_or(u32::MAX);
        let local = self.local_demands.iter().enumerate();
        let local = local.map(|(index, local)| (local.demand, NextDemand::Local(index)));
        let peers = self.peer_demands.iter().enumerate();
        let peers = peers.map(|(index, peer)| (peer.demand, NextDemand::Peer(index)));
        let best = local.chain(peers).min_by(|(a, _), (b, _)| {
            let (a, b) = (a.sort_key(now, settings), b.sort_key(now, settings));
            a.partial_cmp(&b).unwrap_or(std::cmp::Ordering::Equal)
        })?;
        let reserved = match best.0.priority {
            Some(Priority::Urgent) => 0,
            _ if permits < MIN_PERMITS_FOR_RESERVE => 0,
            Some(_) => settings.reserve,
            None => permits / 2,
        };
        (in_flight + reserved < permits).then_some(best.1)
    }

    /// Issues one ticket for `next`, as a message or directly to an upstream of this node.
    pub(super) fn issue_ticket(
        &mut self,
        now: Time,
        settings: &Settings,
        next: NextDemand,
        ready: &mut Vec<wire::Upstream>,
        fx: &mut Effects,
    ) {
        self.credit -= 1.0;
        self.last_ticket = self.last_ticket.wrapping_add(1).max(1);
        let ticket = self.last_ticket;
        let upstream = match next {
            NextDemand::Local(index) => {
                let local = self.local_demands.swap_remove(index);
                if !local.sent.is_empty() {
                    self.send_ticket_return(&local.upstream, 0, fx);
                }
                self.used_tickets.push(UsedTicket {
                    upstream: local.upstream.clone(),
                    ticket,
                    issuer: self.me.vm.clone(),
                    until: now + ticket_use_time(settings),
                });
                ready.push(local.upstream.clone());
                local.upstream
            }
            NextDemand::Peer(index) => {
                let peer = self.peer_demands.swap_remove(index);
                let message = Ticket {
                    store: self.store.id.clone(),
                    upstream: peer.upstream.clone(),
                    number: peer.number,
                    ticket,
                };
                fx.send(&peer.from, Message::Ticket(message));
                peer.upstream
            }
        };
        let until = now + ticket_lifetime(settings);
        self.issued.push(IssuedTicket {
            ticket,
            upstream,
            until,
        });
    }

    /// Requests tickets from the holder, again after each resend interval and at once when a
    /// priority has changed.
    pub(super) fn request_tickets(&mut self, now: Time, settings: &Settings, fx: &mut Effects) {
        let Some(holder) = &self.holder else { return };
        for local in &mut self.local_demands {
            local
                .sent
                .retain(|(_, at)| now < *at + ticket_use_time(settings));
            let last_request = local.sent.last();
            let recent = last_request.is_some_and(|(_, at)| now < *at + settings.resend);
            if recent && !local.priority_changed {
                continue;
            }
            local.priority_changed = false;
            self.last_request += 1;
            local.sent.push((self.last_request, now));
            let message = Message::TicketRequest {
                store: self.store.id.clone(),
                upstream: local.upstream.clone(),
                number: self.last_request,
                priority: local.demand.priority,
                waiting: local.demand.waiting,
                age: now.saturating_sub(local.demand.since),
            };
            fx.send(holder, message);
        }
    }
}
