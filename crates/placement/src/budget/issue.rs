//! Tickets: which want is next, and the asks of those who do not hold the budget.

use wire::{Priority, Time};

use super::{Budget, Issued, RESERVE_FROM, Used, ticket_life, use_time};
use crate::message::{Message, Ticket};
use crate::planner::Effects;
use crate::settings::Settings;

/// A want that is next.
#[derive(Clone, Copy, Debug)]
pub(super) enum Next {
    Mine(usize),
    Theirs(usize),
}

impl Budget {
    /// Returns the want that may have the next ticket.
    pub(super) fn next(&self, now: Time, settings: &Settings) -> Option<Next> {
        if self.credit < 1.0 {
            return None;
        }
        let permits = self.permits(now, settings);
        let flying = u32::try_from(self.issued.len()).unwrap_or(u32::MAX);
        let mine = self.mine.iter().enumerate();
        let mine = mine.map(|(index, mine)| (mine.want, Next::Mine(index)));
        let theirs = self.asks.iter().enumerate();
        let theirs = theirs.map(|(index, ask)| (ask.want, Next::Theirs(index)));
        let best = mine.chain(theirs).min_by(|(a, _), (b, _)| {
            let (a, b) = (a.sort_key(now, settings), b.sort_key(now, settings));
            a.partial_cmp(&b).unwrap_or(std::cmp::Ordering::Equal)
        })?;
        let kept = match best.0.priority {
            Some(Priority::Urgent) => 0,
            _ if permits < RESERVE_FROM => 0,
            Some(_) => settings.reserve,
            None => permits / 2,
        };
        (flying + kept < permits).then_some(best.1)
    }

    pub(super) fn issue(
        &mut self,
        now: Time,
        settings: &Settings,
        next: Next,
        go: &mut Vec<wire::Upstream>,
        fx: &mut Effects,
    ) {
        self.credit -= 1.0;
        self.tickets = self.tickets.wrapping_add(1).max(1);
        let ticket = self.tickets;
        let upstream = match next {
            Next::Mine(index) => {
                let mine = self.mine.swap_remove(index);
                if !mine.sent.is_empty() {
                    self.give_back(&mine.upstream, 0, fx);
                }
                self.used.push(Used {
                    upstream: mine.upstream.clone(),
                    ticket,
                    issuer: self.me.vm.clone(),
                    until: now + use_time(settings),
                });
                go.push(mine.upstream.clone());
                mine.upstream
            }
            Next::Theirs(index) => {
                let ask = self.asks.swap_remove(index);
                let leave = Ticket {
                    store: self.store.id.clone(),
                    upstream: ask.upstream.clone(),
                    number: ask.number,
                    ticket,
                };
                fx.send(&ask.from, Message::Ticket(leave));
                ask.upstream
            }
        };
        let until = now + ticket_life(settings);
        self.issued.push(Issued {
            ticket,
            upstream,
            until,
        });
    }

    /// Tells the holder what this node wants, anew after each resend time.
    pub(super) fn ask(&mut self, now: Time, settings: &Settings, fx: &mut Effects) {
        let Some(holder) = &self.holder else { return };
        for mine in &mut self.mine {
            mine.sent.retain(|(_, at)| now < *at + use_time(settings));
            let asked = mine.sent.last();
            let soon = asked.is_some_and(|(_, at)| now < *at + settings.resend);
            if soon && !mine.changed {
                continue;
            }
            mine.changed = false;
            self.number += 1;
            mine.sent.push((self.number, now));
            let message = Message::TicketRequest {
                store: self.store.id.clone(),
                upstream: mine.upstream.clone(),
                number: self.number,
                priority: mine.want.priority,
                waiting: mine.want.waiting,
                age: now.saturating_sub(mine.want.since),
            };
            fx.send(holder, message);
        }
    }
}
