//! Seats on wards: one suspect at a time runs there, and nothing new beside it.

use std::collections::VecDeque;
use std::time::Duration;

use wire::{Incarnation, Request, Time, Upstream};

use super::{Action, FingerprintStatus, Message, PoisonDetector, Waiter};

/// Times that a reservation is told before the seat is given.
const RESERVE_TELLINGS: u32 = 2;

/// Time for which a seat is kept without a renewal, in resend times.
const SEAT_RENEWALS: u32 = 8;

/// The request that a seat is for.
#[derive(Clone, Debug)]
pub(super) struct Holder {
    pub(super) who: Incarnation,
    pub(super) request: Request,
    /// When it may run; until then, news of the reservation spreads.
    pub(super) from: Time,
    pub(super) until: Time,
}

impl Holder {
    fn is(&self, who: &Incarnation, request: Request) -> bool {
        self.who == *who && self.request == request
    }
}

/// A ward's seat at the node that gives it out.
#[derive(Clone, Debug)]
pub(super) struct Seat {
    pub(super) upstream: Upstream,
    pub(super) holder: Option<Holder>,
    /// When the reservation is next told.
    pub(super) told: Time,
    pub(super) queue: VecDeque<(Incarnation, Request, Time)>,
}

impl PoisonDetector {
    pub(super) fn ask_seats(&mut self, now: Time, out: &mut Vec<Action>) {
        let mut asks = Vec::new();
        for waiter in &mut self.waiters {
            if waiter.asked.is_some_and(|at| now < at + self.config.resend) {
                continue;
            }
            waiter.asked = Some(now);
            asks.push((waiter.upstream.clone(), waiter.request));
        }
        if now >= self.renewal {
            self.renewal = now + self.config.resend;
            let seated = self.runs.iter().filter(|run| run.seated);
            asks.extend(seated.map(|run| (run.upstream.clone(), run.request)));
        }
        for (upstream, request) in asks {
            let owner = self.view.owner(&upstream).cloned();
            let to = owner.unwrap_or_else(|| self.me.vm.clone());
            self.send(now, to, Message::Ask { upstream, request }, out);
        }
    }

    pub(super) fn asked(
        &mut self,
        now: Time,
        from: &Incarnation,
        upstream: Upstream,
        request: Request,
        out: &mut Vec<Action>,
    ) {
        let index = match self.seats.binary_search_by(|s| s.upstream.cmp(&upstream)) {
            Ok(index) => index,
            Err(index) => {
                let seat = Seat {
                    upstream,
                    holder: None,
                    told: Time::ZERO,
                    queue: VecDeque::new(),
                };
                self.seats.insert(index, seat);
                index
            }
        };
        let seat = &mut self.seats[index];
        let same =
            |(who, which, _): &(Incarnation, Request, Time)| who == from && *which == request;
        let until = now + self.config.resend * SEAT_RENEWALS;
        if let Some(holder) = seat.holder.as_mut().filter(|h| h.is(from, request)) {
            holder.until = until.max(holder.until);
            // The reply was lost or is on its way.
            return self.give(now, index, out);
        }
        match seat.queue.iter_mut().find(|entry| same(entry)) {
            Some(entry) => entry.2 = now,
            None => seat.queue.push_back((from.clone(), request, now)),
        }
        self.seat_next(now, index, out);
    }

    /// Gives a free seat to the first in the queue that still asks for it.
    fn seat_next(&mut self, now: Time, index: usize, out: &mut Vec<Action>) {
        let stale = self.config.resend * 4;
        let seat = &mut self.seats[index];
        if seat.holder.as_ref().is_some_and(|h| now < h.until) {
            return;
        }
        seat.holder = None;
        seat.queue.retain(|(_, _, asked)| now <= *asked + stale);
        let Some((who, request, _)) = seat.queue.pop_front() else {
            return;
        };
        seat.holder = Some(Holder {
            who,
            request,
            from: now + self.config.resend * RESERVE_TELLINGS,
            until: now + self.config.resend * SEAT_RENEWALS,
        });
        self.tell_reserved(now, index, out);
    }

    /// Tells everybody that a ward is in use, for a short time, and again before it has passed.
    fn tell_reserved(&mut self, now: Time, index: usize, out: &mut Vec<Action>) {
        let resend = self.config.resend;
        let seat = &mut self.seats[index];
        seat.told = now + resend;
        let upstream = seat.upstream.clone();
        let left = resend * RESERVE_TELLINGS * 2;
        self.reserve(now, upstream.clone(), left);
        self.broadcast(&Message::Reserve { upstream, left }, out);
    }

    fn give(&mut self, now: Time, index: usize, out: &mut Vec<Action>) {
        let seat = &self.seats[index];
        let Some(holder) = seat.holder.clone().filter(|h| now >= h.from) else {
            return;
        };
        let upstream = seat.upstream.clone();
        let request = holder.request;
        let message = Message::Seat { upstream, request };
        self.send(now, holder.who.vm, message, out);
    }

    pub(super) fn seated(
        &mut self,
        now: Time,
        from: &Incarnation,
        upstream: &Upstream,
        request: Request,
        out: &mut Vec<Action>,
    ) {
        if self.runs.iter().any(|r| r.request == request && r.seated) {
            return;
        }
        let waits = |w: &Waiter| w.request == request && w.upstream == *upstream;
        let Some(index) = self.waiters.iter().position(waits) else {
            let upstream = upstream.clone();
            let rise = Message::Rise { upstream, request };
            return self.send(now, from.vm.clone(), rise, out);
        };
        let waiter = self.waiters.remove(index);
        if self.status(waiter.fingerprint) != FingerprintStatus::Convicted {
            return self.run(now, waiter, true, out);
        }
        let crashes = self.book.count(waiter.fingerprint);
        out.push(Action::Refuse { request, crashes });
        self.rise(now, upstream.clone(), request, out);
    }

    pub(super) fn rise(
        &mut self,
        now: Time,
        upstream: Upstream,
        request: Request,
        out: &mut Vec<Action>,
    ) {
        let owner = self.view.owner(&upstream).cloned();
        let to = owner.unwrap_or_else(|| self.me.vm.clone());
        self.send(now, to, Message::Rise { upstream, request }, out);
    }

    pub(super) fn risen(
        &mut self,
        now: Time,
        from: &Incarnation,
        upstream: &Upstream,
        request: Request,
        out: &mut Vec<Action>,
    ) {
        let Ok(index) = self.seats.binary_search_by(|s| s.upstream.cmp(upstream)) else {
            return;
        };
        let seat = &mut self.seats[index];
        if seat.holder.as_ref().is_none_or(|h| !h.is(from, request)) {
            return;
        }
        seat.holder = None;
        self.reserve(now, upstream.clone(), Duration::ZERO);
        self.seat_next(now, index, out);
        if self.seats[index].holder.is_none() {
            let left = Duration::ZERO;
            let upstream = upstream.clone();
            self.broadcast(&Message::Reserve { upstream, left }, out);
        }
    }

    pub(super) fn tick_seat(&mut self, now: Time, index: usize, out: &mut Vec<Action>) {
        self.seat_next(now, index, out);
        let seat = &self.seats[index];
        if seat.holder.is_some() && now >= seat.told {
            self.tell_reserved(now, index, out);
            self.give(now, index, out);
        }
    }

    pub(super) fn reserve(&mut self, now: Time, upstream: Upstream, left: Duration) {
        self.reserved
            .retain(|(ward, until)| *ward != upstream && now < *until);
        if left > Duration::ZERO {
            let left = left.min(self.config.resend * SEAT_RENEWALS);
            self.reserved.push((upstream, now + left));
        }
    }
}
