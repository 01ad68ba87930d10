//! Calls that are withdrawn before they were sent.

use wire::{Request, Time};

use super::pending::{Outcome, Phase, Reason};
use super::{Action, Participant};
use crate::key::Key;
use crate::message::{Claim, Message};
use crate::set::Member;

impl Participant {
    /// Withdraws a claim that holds a quorum: after a quorum has recorded the void, no attempt
    /// made before can run.
    pub(super) fn void(&mut self, now: Time, key: Key, reason: Reason, out: &mut Vec<Action>) {
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        run.phase = Phase::Voiding(reason);
        run.progress = now;
        run.renew_void(now);
        self.send_void(now, &key, out);
    }

    pub(super) fn send_void(&mut self, now: Time, key: &Key, out: &mut Vec<Action>) {
        let set = self.id;
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        run.resend = now + self.config.resend;
        let message = Message::Void {
            set,
            claim: run.claim.clone(),
            round: run.round,
            key: run.key,
            body: run.body,
        };
        self.send_all(&message, out);
    }

    pub(super) fn take_void(
        &mut self,
        now: Time,
        voter: Member,
        (claim, round): (&Claim, u32),
        key: Key,
        out: &mut Vec<Action>,
    ) {
        let quorum = self.set.quorum();
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        let Phase::Voiding(reason) = run.phase else {
            return;
        };
        if run.claim != *claim || run.round != round {
            return;
        }
        if now > run.voided + self.config.void_span() {
            // Too late to speak for all that began meanwhile: the voids are recorded anew.
            run.renew_void(now);
            return self.send_void(now, &key, out);
        }
        if let Err(index) = run.acks.binary_search(&voter) {
            run.acks.insert(index, voter);
        }
        if run.acks.len() >= quorum {
            self.refuse_not_run(now, key, reason, out);
        }
    }

    fn refuse_not_run(&mut self, now: Time, key: Key, reason: Reason, out: &mut Vec<Action>) {
        let Some(run) = self.close(now, &key, out) else {
            return;
        };
        for waiter in &run.waiters {
            out.push(Action::Refuse {
                request: waiter.request,
                outcome: Outcome::NotRun,
                reason,
                retry_after: Some(self.config.void_span() + self.config.resend),
            });
        }
    }

    /// Gives a call up that has not been sent.
    pub(super) fn abandon(&mut self, now: Time, request: Request, out: &mut Vec<Action>) {
        let Some(key) = self.requests.get(&request).copied() else {
            return;
        };
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        match run.phase {
            Phase::Granted(_) if run.runner == request => {
                self.void(now, key, Reason::Abandoned, out);
            }
            Phase::Claiming if run.waiters.len() == 1 => run.given_up = true,
            _ => self.drop_waiter(request, &key, out),
        }
    }
}
