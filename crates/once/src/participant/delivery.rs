//! The end of a call that was sent, and the delivery of its result to the witnesses.

use std::time::Duration;

use wire::{Incarnation, Request, Time};

use super::executor::respond;
use super::pending::{Decision, Delivery, PendingCall, Phase};
use super::{Action, Participant};
use crate::key::Key;
use crate::ledger::CallRecord;
use crate::message::{Claim, Message};
use crate::witness_set::Member;

/// Maximum backoff between two deliveries of a result to a witness that does not confirm it.
const MAX_DELIVERY_BACKOFF: Duration = Duration::from_secs(5);

impl Participant {
    /// Handles the end of a call that was sent.
    pub(super) fn finish(
        &mut self,
        now: Time,
        request: Request,
        mut record: CallRecord,
        out: &mut Vec<Action>,
    ) {
        let Some(key) = self.executed_key(request) else {
            return;
        };
        let Some(call) = self.pending.remove(&key) else {
            return;
        };
        let full_record = record.clone();
        if record.byte_len() > self.config.max_stored_body {
            record.body = None;
        }
        let delivery = Delivery {
            claim: call.claim,
            body: call.body,
            record: record.clone(),
            confirmed: Vec::new(),
            next_send: now,
            backoff: self.config.resend_interval,
            give_up_at: now + self.config.retention(),
        };
        self.record_result(now, key, call.body, record);
        self.deliveries.insert(key, delivery);
        self.send_result(now, key, out);
        for waiter in &call.waiters {
            self.requests.remove(&waiter.request);
        }
        respond(
            &call.waiters,
            &Decision::Finish(full_record),
            &self.config,
            out,
        );
    }

    /// Returns the key of the call that was sent for `request`, even if that request was already
    /// refused because of its deadline.
    fn executed_key(&self, request: Request) -> Option<Key> {
        let sent =
            |call: &&PendingCall| call.executing == request && matches!(call.phase, Phase::Sent(_));
        match self.requests.get(&request) {
            Some(key) => self.pending.get(key).filter(sent).map(|call| call.key),
            None => self.pending.values().find(sent).map(|call| call.key),
        }
    }

    /// Sends a result to the witnesses that have not confirmed it.
    pub(super) fn send_result(&mut self, now: Time, key: Key, out: &mut Vec<Action>) {
        let vms = self.member_vms();
        let me = self.me.incarnation.vm.clone();
        let Some(delivery) = self.deliveries.get_mut(&key) else {
            return;
        };
        let unconfirmed = |vm: &wire::Vm| *vm != me && !delivery.confirmed.contains(vm);
        let missing: Vec<_> = vms.into_iter().filter(unconfirmed).collect();
        if missing.is_empty() || now >= delivery.give_up_at {
            self.deliveries.remove(&key);
            return;
        }
        delivery.next_send = now + delivery.backoff;
        delivery.backoff = (delivery.backoff * 2).min(MAX_DELIVERY_BACKOFF);
        let message = Message::Store {
            claim: delivery.claim.clone(),
            key,
            body: delivery.body,
            record: delivery.record.clone(),
        };
        for vm in missing {
            self.send(&vm, message.clone(), out);
        }
    }

    pub(super) fn receive_stored(&mut self, from: &Incarnation, claim: &Claim, key: Key) {
        let Some(delivery) = self.deliveries.get_mut(&key) else {
            return;
        };
        if delivery.claim == *claim && !delivery.confirmed.contains(&from.vm) {
            delivery.confirmed.push(from.vm.clone());
        }
        let me = &self.me.incarnation.vm;
        let done =
            |m: &Member| m.incarnation.vm == *me || delivery.confirmed.contains(&m.incarnation.vm);
        if self.set.members().iter().all(done) {
            self.deliveries.remove(&key);
        }
    }
}
