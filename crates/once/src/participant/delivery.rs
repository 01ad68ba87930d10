//! The end of a call, and its answer's way to the witnesses.

use std::time::Duration;

use wire::{Incarnation, Request, Time};

use super::executor::respond;
use super::pending::{Delivery, Next, Phase, Run};
use super::{Action, Participant};
use crate::key::Key;
use crate::ledger::CallRecord;
use crate::message::{Claim, Message};
use crate::set::Member;

/// Longest time between two deliveries of an answer to a witness that does not confirm it.
const DELIVERY_WAIT_MAX: Duration = Duration::from_secs(5);

impl Participant {
    /// Takes the end of a call that was sent.
    pub(super) fn finish(
        &mut self,
        now: Time,
        request: Request,
        mut record: CallRecord,
        out: &mut Vec<Action>,
    ) {
        let Some(key) = self.executed(request) else {
            return;
        };
        let Some(run) = self.runs.remove(&key) else {
            return;
        };
        let whole = record.clone();
        if record.bytes() > self.config.body {
            record.body = None;
        }
        let delivery = Delivery {
            claim: run.claim,
            body: run.body,
            record: record.clone(),
            confirmed: Vec::new(),
            next: now,
            wait: self.config.resend,
            until: now + self.config.keep(),
        };
        self.record_answer(now, key, run.body, record);
        self.deliveries.insert(key, delivery);
        self.deliver(now, key, out);
        for waiter in &run.waiters {
            self.requests.remove(&waiter.request);
        }
        respond(&run.waiters, &Next::Finish(whole), &self.config, out);
    }

    /// Returns the key whose call was sent for `request`, whose own wait may be over.
    fn executed(&self, request: Request) -> Option<Key> {
        let sent = |run: &&Run| run.runner == request && matches!(run.phase, Phase::Sent(_));
        match self.requests.get(&request) {
            Some(key) => self.runs.get(key).filter(sent).map(|run| run.key),
            None => self.runs.values().find(sent).map(|run| run.key),
        }
    }

    /// Hands an answer to the witnesses that have not confirmed it.
    pub(super) fn deliver(&mut self, now: Time, key: Key, out: &mut Vec<Action>) {
        let vms = self.member_vms();
        let me = self.me.incarnation.vm.clone();
        let Some(delivery) = self.deliveries.get_mut(&key) else {
            return;
        };
        let open = |vm: &wire::Vm| *vm != me && !delivery.confirmed.contains(vm);
        let missing: Vec<_> = vms.into_iter().filter(open).collect();
        if missing.is_empty() || now >= delivery.until {
            self.deliveries.remove(&key);
            return;
        }
        delivery.next = now + delivery.wait;
        delivery.wait = (delivery.wait * 2).min(DELIVERY_WAIT_MAX);
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

    pub(super) fn take_stored(&mut self, from: &Incarnation, claim: &Claim, key: Key) {
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
