//! Withdrawal of calls that were not sent.

use wire::{Request, Time};

use super::pending::{Outcome, Phase, Reason};
use super::{Action, Participant};
use crate::key::Key;
use crate::message::{Claim, Message};
use crate::witness_set::Member;

impl Participant {
    /// Withdraws a claim that has a quorum of votes. Once a quorum has recorded the void, no earlier
    /// attempt can run.
    pub(super) fn start_void(
        &mut self,
        now: Time,
        key: Key,
        reason: Reason,
        out: &mut Vec<Action>,
    ) {
        let Some(call) = self.pending.get_mut(&key) else {
            return;
        };
        call.phase = Phase::Voiding(reason);
        call.last_progress = now;
        call.restart_void_round(now);
        self.send_void(now, &key, out);
    }

    pub(super) fn send_void(&mut self, now: Time, key: &Key, out: &mut Vec<Action>) {
        let set_id = self.set_id;
        let Some(call) = self.pending.get_mut(key) else {
            return;
        };
        call.next_resend = now + self.config.resend_interval;
        let message = Message::RecordVoid {
            set_id,
            claim: call.claim.clone(),
            round: call.void_round,
            key: call.key,
            body: call.body,
        };
        self.send_all(&message, out);
    }

    pub(super) fn receive_void_ack(
        &mut self,
        now: Time,
        voter: Member,
        (claim, round): (&Claim, u32),
        key: Key,
        out: &mut Vec<Action>,
    ) {
        let quorum = self.set.quorum();
        let Some(call) = self.pending.get_mut(&key) else {
            return;
        };
        let Phase::Voiding(reason) = call.phase else {
            return;
        };
        if call.claim != *claim || call.void_round != round {
            return;
        }
        if now > call.void_started + self.config.void_timeout() {
            // The void no longer covers every request that started meanwhile. Record it again.
            call.restart_void_round(now);
            return self.send_void(now, &key, out);
        }
        if let Err(index) = call.void_acks.binary_search(&voter) {
            call.void_acks.insert(index, voter);
        }
        if call.void_acks.len() >= quorum {
            self.refuse_voided(now, key, reason, out);
        }
    }

    fn refuse_voided(&mut self, now: Time, key: Key, reason: Reason, out: &mut Vec<Action>) {
        let Some(call) = self.abandon_claim(now, &key, out) else {
            return;
        };
        for waiter in &call.waiters {
            out.push(Action::Refuse {
                request: waiter.request,
                outcome: Outcome::NotRun,
                reason,
                retry_after: Some(self.config.void_timeout() + self.config.resend_interval),
            });
        }
    }

    /// Abandons a call that was not sent.
    pub(super) fn abandon(&mut self, now: Time, request: Request, out: &mut Vec<Action>) {
        let Some(key) = self.requests.get(&request).copied() else {
            return;
        };
        let Some(call) = self.pending.get_mut(&key) else {
            return;
        };
        match call.phase {
            Phase::Granted(_) if call.executing == request => {
                self.start_void(now, key, Reason::Abandoned, out);
            }
            Phase::Claiming if call.waiters.len() == 1 => call.cancelled = true,
            _ => self.refuse_waiter(request, &key, out),
        }
    }
}
