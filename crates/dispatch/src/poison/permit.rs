//! Permits for isolation upstreams. One suspect at a time runs there, with no new requests beside
//! it.

use std::collections::VecDeque;
use std::time::Duration;

use wire::{Incarnation, Request, Time, Upstream};

use super::{Action, FingerprintStatus, Message, PoisonDetector, Waiter};

/// How often a reservation is announced before the permit is valid.
const RESERVATION_ANNOUNCEMENTS: u32 = 2;

/// Number of resend intervals after which a permit expires unless it is renewed.
const PERMIT_TTL_INTERVALS: u32 = 8;

/// The request that holds a permit.
#[derive(Clone, Debug)]
pub(super) struct Holder {
    pub(super) node: Incarnation,
    pub(super) request: Request,
    /// When the request may run. Until then the reservation is announced to the other nodes.
    pub(super) valid_from: Time,
    pub(super) valid_until: Time,
}

impl Holder {
    fn is(&self, node: &Incarnation, request: Request) -> bool {
        self.node == *node && self.request == request
    }
}

/// The permit of an isolation upstream and its queue, kept by the node that grants it.
#[derive(Clone, Debug)]
pub(super) struct Permit {
    pub(super) upstream: Upstream,
    pub(super) holder: Option<Holder>,
    /// When the reservation is announced next.
    pub(super) next_announcement: Time,
    /// Requests that wait for the permit: their node, their number and when they last asked for it.
    pub(super) queue: VecDeque<(Incarnation, Request, Time)>,
}

impl PoisonDetector {
    /// Asks for the permits that local requests wait for, and renews those that they hold.
    pub(super) fn request_permits(&mut self, now: Time, out: &mut Vec<Action>) {
        let interval = self.config.resend_interval;
        let mut due = Vec::new();
        for waiter in &mut self.waiters {
            if waiter.requested_at.is_some_and(|at| now < at + interval) {
                continue;
            }
            waiter.requested_at = Some(now);
            due.push((waiter.upstream.clone(), waiter.request));
        }
        if now >= self.next_renewal {
            self.next_renewal = now + interval;
            let isolated = self.runs.iter().filter(|run| run.isolated);
            due.extend(isolated.map(|run| (run.upstream.clone(), run.request)));
        }
        for (upstream, request) in due {
            let owner = self.view.owner(&upstream).cloned();
            let to = owner.unwrap_or_else(|| self.me.vm.clone());
            self.send(now, to, Message::RequestPermit { upstream, request }, out);
        }
    }

    /// Handles a node's request for a permit, or its renewal of one.
    pub(super) fn permit_requested(
        &mut self,
        now: Time,
        from: &Incarnation,
        upstream: Upstream,
        request: Request,
        out: &mut Vec<Action>,
    ) {
        let index = match self.permits.binary_search_by(|p| p.upstream.cmp(&upstream)) {
            Ok(index) => index,
            Err(index) => {
                let permit = Permit {
                    upstream,
                    holder: None,
                    next_announcement: Time::ZERO,
                    queue: VecDeque::new(),
                };
                self.permits.insert(index, permit);
                index
            }
        };
        let permit = &mut self.permits[index];
        let same =
            |(node, queued, _): &(Incarnation, Request, Time)| node == from && *queued == request;
        let valid_until = now + self.config.resend_interval * PERMIT_TTL_INTERVALS;
        if let Some(holder) = permit.holder.as_mut().filter(|h| h.is(from, request)) {
            holder.valid_until = valid_until.max(holder.valid_until);
            // The reply was lost or has not arrived yet.
            return self.send_permit(now, index, out);
        }
        match permit.queue.iter_mut().find(|entry| same(entry)) {
            Some(entry) => entry.2 = now,
            None => permit.queue.push_back((from.clone(), request, now)),
        }
        self.grant_next(now, index, out);
    }

    /// Grants a free permit to the first request in the queue that still asks for it.
    fn grant_next(&mut self, now: Time, index: usize, out: &mut Vec<Action>) {
        let queue_timeout = self.config.resend_interval * 4;
        let permit = &mut self.permits[index];
        if permit.holder.as_ref().is_some_and(|h| now < h.valid_until) {
            return;
        }
        permit.holder = None;
        permit
            .queue
            .retain(|(_, _, requested_at)| now <= *requested_at + queue_timeout);
        let Some((node, request, _)) = permit.queue.pop_front() else {
            return;
        };
        permit.holder = Some(Holder {
            node,
            request,
            valid_from: now + self.config.resend_interval * RESERVATION_ANNOUNCEMENTS,
            valid_until: now + self.config.resend_interval * PERMIT_TTL_INTERVALS,
        });
        self.announce_reservation(now, index, out);
    }

    /// Announces to all nodes that an isolation upstream is in use. The reservation is short and is
    /// announced again before it expires.
    fn announce_reservation(&mut self, now: Time, index: usize, out: &mut Vec<Action>) {
        let interval = self.config.resend_interval;
        let permit = &mut self.permits[index];
        permit.next_announcement = now + interval;
        let upstream = permit.upstream.clone();
        let left = interval * RESERVATION_ANNOUNCEMENTS * 2;
        self.set_reservation(now, upstream.clone(), left);
        self.broadcast(&Message::Reserve { upstream, left }, out);
    }

    /// Sends the permit to its holder once it is valid.
    fn send_permit(&mut self, now: Time, index: usize, out: &mut Vec<Action>) {
        let permit = &self.permits[index];
        let Some(holder) = permit.holder.clone().filter(|h| now >= h.valid_from) else {
            return;
        };
        let upstream = permit.upstream.clone();
        let request = holder.request;
        let message = Message::GrantPermit { upstream, request };
        self.send(now, holder.node.vm, message, out);
    }

    /// Handles a permit that was granted to a local request.
    pub(super) fn permit_granted(
        &mut self,
        now: Time,
        from: &Incarnation,
        upstream: &Upstream,
        request: Request,
        out: &mut Vec<Action>,
    ) {
        if self.runs.iter().any(|r| r.request == request && r.isolated) {
            return;
        }
        let waits = |w: &Waiter| w.request == request && w.upstream == *upstream;
        let Some(index) = self.waiters.iter().position(waits) else {
            let upstream = upstream.clone();
            let release = Message::ReleasePermit { upstream, request };
            return self.send(now, from.vm.clone(), release, out);
        };
        let waiter = self.waiters.remove(index);
        if self.status(waiter.fingerprint) != FingerprintStatus::Convicted {
            return self.run(now, waiter, true, out);
        }
        let crashes = self.reports.crash_count(waiter.fingerprint);
        out.push(Action::Refuse { request, crashes });
        self.release_permit(now, upstream.clone(), request, out);
    }

    /// Returns the permit of a local request to the node that granted it.
    pub(super) fn release_permit(
        &mut self,
        now: Time,
        upstream: Upstream,
        request: Request,
        out: &mut Vec<Action>,
    ) {
        let owner = self.view.owner(&upstream).cloned();
        let to = owner.unwrap_or_else(|| self.me.vm.clone());
        self.send(now, to, Message::ReleasePermit { upstream, request }, out);
    }

    /// Handles a permit that a node returned.
    pub(super) fn permit_released(
        &mut self,
        now: Time,
        from: &Incarnation,
        upstream: &Upstream,
        request: Request,
        out: &mut Vec<Action>,
    ) {
        let Ok(index) = self.permits.binary_search_by(|p| p.upstream.cmp(upstream)) else {
            return;
        };
        let permit = &mut self.permits[index];
        if permit.holder.as_ref().is_none_or(|h| !h.is(from, request)) {
            return;
        }
        permit.holder = None;
        self.set_reservation(now, upstream.clone(), Duration::ZERO);
        self.grant_next(now, index, out);
        if self.permits[index].holder.is_none() {
            let left = Duration::ZERO;
            let upstream = upstream.clone();
            self.broadcast(&Message::Reserve { upstream, left }, out);
        }
    }

    pub(super) fn tick_permit(&mut self, now: Time, index: usize, out: &mut Vec<Action>) {
        self.grant_next(now, index, out);
        let permit = &self.permits[index];
        if permit.holder.is_some() && now >= permit.next_announcement {
            self.announce_reservation(now, index, out);
            self.send_permit(now, index, out);
        }
    }

    /// Records how long an upstream is reserved; zero ends its reservation.
    pub(super) fn set_reservation(&mut self, now: Time, upstream: Upstream, left: Duration) {
        self.reservations
            .retain(|(reserved, until)| *reserved != upstream && now < *until);
        if left > Duration::ZERO {
            let left = left.min(self.config.resend_interval * PERMIT_TTL_INTERVALS);
            self.reservations.push((upstream, now + left));
        }
    }
}
