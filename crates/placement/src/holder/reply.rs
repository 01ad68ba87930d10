//! Handling of the owners' replies to this node's lease requests.

use std::time::Duration;

use wire::{Incarnation, Model, Upstream};

use super::model::HeldLease;
use super::{Context, DEFAULT_RETRY_AFTER, Holder};
use crate::action::Note;
use crate::message::{Denial, Grant, RequestNumber};

impl Holder {
    /// Handles a granted lease.
    ///
    /// The lease's time counts from the request that it answers. A lease that answers no pending
    /// request is therefore released, unless one on that upstream is stored already.
    pub fn receive_grant(&mut self, cx: &mut Context<'_>, from: &Incarnation, grant: Grant) {
        let Grant {
            upstream, model, ..
        } = &grant;
        let (upstream, model) = (upstream.clone(), model.clone());
        if let Some(load) = grant.engine_load {
            let made = cx.now.saturating_sub(load.age);
            cx.upstreams.update_load(&upstream, load.sequences, made);
            cx.upstreams
                .set_busy_instances(&upstream, load.busy_instances as usize);
        }
        let state = self.models.get(&model);
        let pending = state.and_then(|state| Some(&state.pending[state.pending_on(&upstream)?]));
        let Some(pending) = pending else {
            let used = state.is_some_and(|l| l.leases.iter().any(|h| h.upstream == upstream));
            if !used {
                self.release_lease(cx, &model, &upstream);
            }
            return;
        };
        let Some(sent) = pending.sent_at(grant.number) else {
            return;
        };
        let until = sent + cx.settings.lease;
        if until <= cx.now {
            return;
        }
        let lease = self.store_lease(from, &grant, until, &model);
        let head = grant
            .head_start
            .map(|head| (head.priority, cx.now + head.remaining));
        self.model_state(&model).leases[lease].head_start = head;
        self.start_waiting(cx, &model, &upstream, lease);
    }

    /// Starts the requests that wait for a lease, except those that must wait for the head start of
    /// more urgent ones.
    pub(super) fn start_waiting(
        &mut self,
        cx: &mut Context<'_>,
        model: &Model,
        upstream: &Upstream,
        lease: usize,
    ) {
        let Some(mut pending) = self.remove_pending(model, upstream) else {
            return;
        };
        let held = self.model_state(model).leases[lease].clone();
        let priority = |id: &u64| self.requests.get(id).map(|e| e.request.priority);
        let behind = |id: &u64| priority(id).is_some_and(|own| held.must_wait(cx.now, own));
        let (delayed, mut waiting): (Vec<u64>, Vec<u64>) =
            pending.waiting.drain(..).partition(behind);
        waiting.sort_by_key(priority);
        for id in waiting {
            self.grant_request(cx, id, lease);
        }
        if !delayed.is_empty() {
            pending.last_heard = cx.now;
            pending.start_at = held.head_start.map(|(_, until)| until);
            pending.waiting = delayed;
            self.restore_pending(model, pending);
        }
    }

    /// Stores or renews a granted lease, and ends leases on other instances of the model there.
    fn store_lease(
        &mut self,
        owner: &Incarnation,
        grant: &Grant,
        until: wire::Time,
        model: &Model,
    ) -> usize {
        let state = self.model_state(model);
        for held in &mut state.leases {
            if held.upstream == grant.upstream && held.instance != grant.instance {
                held.until = wire::Time::ZERO;
            }
        }
        let same =
            |held: &HeldLease| held.upstream == grant.upstream && held.instance == grant.instance;
        if let Some(index) = state.leases.iter().position(same) {
            let held = &mut state.leases[index];
            held.until = held.until.max(until);
            held.owner = owner.clone();
            held.lease = grant.lease;
            return index;
        }
        state.leases.push(HeldLease {
            upstream: grant.upstream.clone(),
            owner: owner.clone(),
            lease: grant.lease,
            instance: grant.instance.clone(),
            fence: grant.fence,
            until,
            in_use: 0,
            served: 0,
            head_start: None,
        });
        state.leases.len() - 1
    }

    /// Handles the message that the owner has queued a lease request.
    pub fn receive_queued(&mut self, cx: &mut Context<'_>, upstream: &Upstream, model: &Model) {
        if let Some(state) = self.models.get_mut(model)
            && let Some(index) = state.pending_on(upstream)
        {
            state.pending[index].last_heard = cx.now;
        }
    }

    /// Handles a denial: the requests move to other upstreams.
    ///
    /// If the sender no longer owns the upstream, waiting requests stay for the new owner, unless it
    /// would not load anything before they move away from an owner that does not answer.
    pub fn receive_denial(
        &mut self,
        cx: &mut Context<'_>,
        upstream: &Upstream,
        model: &Model,
        number: RequestNumber,
        denial: Denial,
        retry_after: Duration,
    ) {
        let state = self.models.get(model);
        let pending = state.and_then(|state| Some(&state.pending[state.pending_on(upstream)?]));
        let Some(pending) = pending.filter(|pending| pending.sent_at(number).is_some()) else {
            return;
        };
        let moved = denial == Denial::Moved && !pending.waiting.is_empty();
        if moved && cx.now + retry_after < pending.last_heard + cx.settings.silence {
            return;
        }
        cx.fx.note(Note::Denied {
            upstream: upstream.clone(),
            model: model.clone(),
            denial,
        });
        if moved {
            return self.leave_unowned(cx, model, upstream, retry_after);
        }
        self.try_other_upstreams(cx, model, upstream, Some(retry_after));
    }

    /// Places the requests that wait for a lease on other upstreams, since nobody can load their model
    /// here for `wait`. Those that have no other one go on waiting.
    fn leave_unowned(
        &mut self,
        cx: &mut Context<'_>,
        model: &Model,
        upstream: &Upstream,
        wait: Duration,
    ) {
        let Some(pending) = self.pending_mut(model, upstream) else {
            return;
        };
        pending.last_heard = cx.now;
        let waiting = pending.waiting.clone();
        for id in waiting {
            if !self.has_alternative(cx, id, upstream) {
                continue;
            }
            self.leave_pending(cx, model, upstream, id);
            if let Some(entry) = self.requests.get_mut(&id) {
                entry.tried.push(upstream.clone());
                entry.retry_after = wait.max(DEFAULT_RETRY_AFTER);
            }
            self.place(cx, id);
        }
    }
}
