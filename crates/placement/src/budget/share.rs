//! This node's share of the store: what it uses itself, lends and borrows.

use wire::{Incarnation, Time, View};

use super::{BorrowedShare, Budget, ticket_lifetime};
use crate::message::{Message, RequestNumber};
use crate::planner::Effects;
use crate::settings::Settings;

impl Budget {
    /// Adds the credit that each share has earned during the time in which this node may use it.
    /// Only one node accrues credit for a share at any moment, which bounds the sum over all nodes.
    pub(super) fn accrue_credit(&mut self, now: Time, settings: &Settings) {
        let from = self.credited_until;
        self.credited_until = now;
        let own = from
            .max(self.rate_lent_until)
            .max(self.started_at + settings.settle);
        let mut usable = now.saturating_sub(own);
        for lent in &self.borrowed {
            usable += lent.until.min(now).saturating_sub(from);
        }
        let share = self.store.rate / self.listed_vms.max(1) as f64;
        self.credit = (self.credit + share * usable.as_secs_f64()).min(1.0);
    }

    /// Drops shares, tickets and requests that have expired.
    pub(super) fn expire(&mut self, now: Time, settings: &Settings) {
        self.borrowed.retain(|lent| lent.until > now);
        self.issued.retain(|issued| issued.until > now);
        let ttl = settings.resend * 3;
        self.peer_demands
            .retain(|peer| now < peer.received_at + ttl);
        let ttl = settings.share;
        self.share_requests.retain(|(_, at)| now < *at + ttl);
    }

    /// Returns the permits of this node's own share.
    pub(super) fn own_permits(&self) -> u32 {
        let listed = self.listed_vms.max(1);
        let total = self.store.in_flight as usize;
        let permits = total / listed + usize::from(self.position < total % listed);
        u32::try_from(permits).unwrap_or(u32::MAX)
    }

    /// Returns the permits that this node may use now: its own, unless lent, and borrowed ones.
    pub(super) fn available_permits(&self, now: Time, settings: &Settings) -> u32 {
        let permits_free =
            now >= self.permits_lent_until && now >= self.started_at + settings.settle;
        let own = if permits_free { self.own_permits() } else { 0 };
        own + self.borrowed.iter().map(|lent| lent.permits).sum::<u32>()
    }

    /// Requests the share of each live peer, in time before the borrowed shares end.
    pub(super) fn request_shares(
        &mut self,
        now: Time,
        settings: &Settings,
        view: &View,
        fx: &mut Effects,
    ) {
        let renewal_interval = settings.share / 2;
        let last_sent = self.share_requests.last().map_or(Time::ZERO, |(_, at)| *at);
        let covered = view
            .live()
            .filter(|peer| peer.incarnation != self.me)
            .all(|peer| self.borrowed.iter().any(|lent| lent.by == peer.incarnation));
        let interval = if covered {
            renewal_interval
        } else {
            settings.resend.min(renewal_interval)
        };
        if !self.share_requests.is_empty() && now < last_sent + interval {
            return;
        }
        self.last_request += 1;
        self.share_requests.push((self.last_request, now));
        for peer in view.live().filter(|peer| peer.incarnation != self.me) {
            let message = Message::ShareRequest {
                store: self.store.id.clone(),
                number: self.last_request,
            };
            fx.send(&peer.incarnation.vm, message);
        }
    }

    /// Handles the holder's request for this node's share and lends it, if it is free.
    pub fn receive_share_request(
        &mut self,
        now: Time,
        from: &Incarnation,
        number: RequestNumber,
        settings: &Settings,
        fx: &mut Effects,
    ) {
        let renewal = self.lent_to.as_ref() == Some(from);
        let rate_free = now >= self.rate_lent_until && now >= self.started_at + settings.settle;
        if self.holder.as_ref() != Some(&from.vm) || !(renewal || rate_free) {
            return;
        }
        self.accrue_credit(now, settings);
        // Loads of the previous borrower may still be in flight under the permits.
        let permits_free =
            self.permits_lent_to.as_ref() == Some(from) || now >= self.permits_lent_until;
        let own = if permits_free { self.own_permits() } else { 0 };
        let permits = own.saturating_sub(u32::try_from(self.issued.len()).unwrap_or(u32::MAX));
        let lent_until = now + settings.share + settings.drift;
        self.rate_lent_until = lent_until;
        let lifetime = ticket_lifetime(settings) + settings.drift;
        if permits_free {
            self.permits_lent_until = self.permits_lent_until.max(lent_until + lifetime);
            self.permits_lent_to = Some(from.clone());
        }
        self.lent_to = Some(from.clone());
        let store = self.store.id.clone();
        let message = Message::Share {
            store,
            number,
            permits,
        };
        fx.send(&from.vm, message);
    }

    /// Handles a share that a peer lends.
    pub fn receive_share(
        &mut self,
        now: Time,
        from: Incarnation,
        number: RequestNumber,
        permits: u32,
        settings: &Settings,
    ) {
        let request = self.share_requests.iter().find(|(sent, _)| *sent == number);
        let Some(until) = request.map(|(_, at)| *at + settings.share) else {
            return;
        };
        if until <= now {
            return;
        }
        self.accrue_credit(now, settings);
        match self.borrowed.iter_mut().find(|lent| lent.by == from) {
            Some(lent) if lent.until >= until => {}
            Some(lent) => {
                lent.permits = permits;
                lent.until = until;
            }
            None => self.borrowed.push(BorrowedShare {
                by: from,
                permits,
                until,
            }),
        }
    }
}
