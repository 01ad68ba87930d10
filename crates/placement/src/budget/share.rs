//! This node's share of the store: what it may count itself, and what it lends or borrows.

use wire::{Incarnation, Time, View};

use super::{Budget, Lent, ticket_life};
use crate::message::{Message, RequestNumber};
use crate::planner::Effects;
use crate::settings::Settings;

impl Budget {
    /// Adds the rate of each share over the time for which this node may use it. Every moment of
    /// a share is counted by one node only, which bounds the sum over all nodes.
    pub(super) fn count(&mut self, now: Time, settings: &Settings) {
        let from = self.counted;
        self.counted = now;
        let own = from.max(self.rate_free).max(self.born + settings.settle);
        let mut span = now.saturating_sub(own);
        for lent in &self.lent {
            span += lent.until.min(now).saturating_sub(from);
        }
        let share = self.store.rate / self.listed.max(1) as f64;
        self.credit = (self.credit + share * span.as_secs_f64()).min(1.0);
    }

    pub(super) fn expire(&mut self, now: Time, settings: &Settings) {
        self.lent.retain(|lent| lent.until > now);
        self.issued.retain(|issued| issued.until > now);
        let kept = settings.resend * 3;
        self.asks.retain(|ask| now < ask.at + kept);
        let kept = settings.share;
        self.shares_asked.retain(|(_, at)| now < *at + kept);
    }

    /// Loads in flight that are this node's own share.
    pub(super) fn own_permits(&self) -> u32 {
        let listed = self.listed.max(1);
        let all = self.store.in_flight as usize;
        let permits = all / listed + usize::from(self.place < all % listed);
        u32::try_from(permits).unwrap_or(u32::MAX)
    }

    pub(super) fn permits(&self, now: Time, settings: &Settings) -> u32 {
        let free = now >= self.permits_free && now >= self.born + settings.settle;
        let own = if free { self.own_permits() } else { 0 };
        own + self.lent.iter().map(|lent| lent.permits).sum::<u32>()
    }

    /// Asks each live peer for its share before the share lent now ends.
    pub(super) fn borrow(&mut self, now: Time, settings: &Settings, view: &View, fx: &mut Effects) {
        let due = settings.share / 2;
        let asked = self.shares_asked.last().map_or(Time::ZERO, |(_, at)| *at);
        let covered = view
            .live()
            .filter(|peer| peer.incarnation != self.me)
            .all(|peer| self.lent.iter().any(|lent| lent.by == peer.incarnation));
        let pause = if covered {
            due
        } else {
            settings.resend.min(due)
        };
        if !self.shares_asked.is_empty() && now < asked + pause {
            return;
        }
        self.number += 1;
        self.shares_asked.push((self.number, now));
        for peer in view.live().filter(|peer| peer.incarnation != self.me) {
            let message = Message::ShareRequest {
                store: self.store.id.clone(),
                number: self.number,
            };
            fx.send(&peer.incarnation.vm, message);
        }
    }

    /// Lends this node's share to the holder.
    pub fn receive_share_request(
        &mut self,
        now: Time,
        from: &Incarnation,
        number: RequestNumber,
        settings: &Settings,
        fx: &mut Effects,
    ) {
        let again = self.lent_to.as_ref() == Some(from);
        let free = now >= self.rate_free && now >= self.born + settings.settle;
        if self.holder.as_ref() != Some(&from.vm) || !(again || free) {
            return;
        }
        self.count(now, settings);
        // Another borrower's loads may still be in flight under the permits.
        let whole = self.permits_to.as_ref() == Some(from) || now >= self.permits_free;
        let own = if whole { self.own_permits() } else { 0 };
        let permits = own.saturating_sub(u32::try_from(self.issued.len()).unwrap_or(u32::MAX));
        let lent = now + settings.share + settings.drift;
        self.rate_free = lent;
        let life = ticket_life(settings) + settings.drift;
        if whole {
            self.permits_free = self.permits_free.max(lent + life);
            self.permits_to = Some(from.clone());
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

    /// Takes a lent share.
    pub fn receive_share(
        &mut self,
        now: Time,
        from: Incarnation,
        number: RequestNumber,
        permits: u32,
        settings: &Settings,
    ) {
        let asked = self.shares_asked.iter().find(|(sent, _)| *sent == number);
        let Some(until) = asked.map(|(_, at)| *at + settings.share) else {
            return;
        };
        if until <= now {
            return;
        }
        self.count(now, settings);
        match self.lent.iter_mut().find(|lent| lent.by == from) {
            Some(lent) if lent.until >= until => {}
            Some(lent) => {
                lent.permits = permits;
                lent.until = until;
            }
            None => self.lent.push(Lent {
                by: from,
                permits,
                until,
            }),
        }
    }
}
