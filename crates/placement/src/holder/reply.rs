//! Owners' replies to this node's asks.

use std::time::Duration;

use wire::{Incarnation, Model, Upstream};

use super::model::HeldLease;
use super::{Context, Holder};
use crate::action::Note;
use crate::message::{Denial, Grant, RequestNumber};

impl Holder {
    /// Takes a lease. One that answers no ask under way is given back, unless it is in use: its
    /// time cannot be known.
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
        let local = self.models.get(&model);
        let want = local.and_then(|local| Some(&local.pending[local.pending_on(&upstream)?]));
        let Some(want) = want else {
            let used = local.is_some_and(|l| l.leases.iter().any(|h| h.upstream == upstream));
            if !used {
                self.release_lease(cx, &model, &upstream);
            }
            return;
        };
        let Some(sent) = want.sent_at(grant.number) else {
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

    /// Starts what waits for a lease; requests that have to let more urgent ones go first wait on.
    pub(super) fn start_waiting(
        &mut self,
        cx: &mut Context<'_>,
        model: &Model,
        upstream: &Upstream,
        lease: usize,
    ) {
        let Some(mut want) = self.remove_pending(model, upstream) else {
            return;
        };
        let held = self.model_state(model).leases[lease].clone();
        let priority = |id: &u64| self.requests.get(id).map(|e| e.request.priority);
        let behind = |id: &u64| priority(id).is_some_and(|own| held.must_wait(cx.now, own));
        let (later, mut waiting): (Vec<u64>, Vec<u64>) = want.waiting.drain(..).partition(behind);
        waiting.sort_by_key(priority);
        for id in waiting {
            self.grant_request(cx, id, lease);
        }
        if !later.is_empty() {
            want.last_heard = cx.now;
            want.start_at = held.head_start.map(|(_, until)| until);
            want.waiting = later;
            self.restore_pending(model, want);
        }
    }

    fn store_lease(
        &mut self,
        owner: &Incarnation,
        grant: &Grant,
        until: wire::Time,
        model: &Model,
    ) -> usize {
        let local = self.model_state(model);
        for held in &mut local.leases {
            if held.upstream == grant.upstream && held.instance != grant.instance {
                held.until = wire::Time::ZERO;
            }
        }
        let same =
            |held: &HeldLease| held.upstream == grant.upstream && held.instance == grant.instance;
        if let Some(index) = local.leases.iter().position(same) {
            let held = &mut local.leases[index];
            held.until = held.until.max(until);
            held.owner = owner.clone();
            held.lease = grant.lease;
            return index;
        }
        local.leases.push(HeldLease {
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
        local.leases.len() - 1
    }

    /// Takes the news that an ask is queued.
    pub fn receive_queued(&mut self, cx: &mut Context<'_>, upstream: &Upstream, model: &Model) {
        if let Some(local) = self.models.get_mut(model)
            && let Some(index) = local.pending_on(upstream)
        {
            local.pending[index].last_heard = cx.now;
        }
    }

    /// Takes a denial: the requests go on to another upstream. One that says that the sender does
    /// not own the upstream any more leaves the ask to the next owner.
    pub fn receive_denial(
        &mut self,
        cx: &mut Context<'_>,
        upstream: &Upstream,
        model: &Model,
        number: RequestNumber,
        denial: Denial,
        after: Duration,
    ) {
        let local = self.models.get(model);
        let want = local.and_then(|local| Some(&local.pending[local.pending_on(upstream)?]));
        let Some(want) = want.filter(|want| want.sent_at(number).is_some()) else {
            return;
        };
        if denial == Denial::Moved && !want.waiting.is_empty() {
            return;
        }
        cx.fx.note(Note::Denied {
            upstream: upstream.clone(),
            model: model.clone(),
            denial,
        });
        self.try_other_upstreams(cx, model, upstream, Some(after));
    }
}
