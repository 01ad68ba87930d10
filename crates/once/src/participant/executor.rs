//! The role of an executor: collects votes for its claims and decides the outcome of requests.

use wire::{Incarnation, Request, Time};

use super::pending::{Decision, Delivery, Outcome, PendingCall, Phase, Reason, Waiter};
use super::{Action, Participant};
use crate::key::{Digest, Key};
use crate::ledger::{CallRecord, Ending};
use crate::message::{Claim, ClaimStatus, Message, Verdict};
use crate::witness_set::Member;

impl Participant {
    pub(super) fn begin(
        &mut self,
        now: Time,
        request: Request,
        key: Key,
        body: Digest,
        deadline: Time,
        out: &mut Vec<Action>,
    ) {
        let waiter = Waiter {
            request,
            deadline: deadline.min(now + self.config.max_wait),
        };
        if let Some((known, record)) = self.stored_result(&key) {
            let decision = if known == body {
                Decision::Finish(record)
            } else {
                Decision::Mismatch
            };
            return respond(&[waiter], &decision, &self.config, out);
        }
        if let Some(call) = self.pending.get_mut(&key) {
            if call.body != body {
                return respond(&[waiter], &Decision::Mismatch, &self.config, out);
            }
            call.waiters.push(waiter);
            self.requests.insert(request, key);
            return;
        }
        let call = PendingCall {
            key,
            body,
            claim: self.next_claim(),
            started: now,
            waiters: vec![waiter],
            executing: request,
            phase: Phase::Claiming,
            votes: Vec::new(),
            void_acks: Vec::new(),
            void_started: now,
            void_round: 0,
            abandoned: Vec::new(),
            queried: Vec::new(),
            blocker: None,
            yields: 0,
            next_resend: now,
            last_progress: now,
            cancelled: false,
        };
        self.requests.insert(request, key);
        self.pending.insert(key, call);
        self.request_votes(now, &key, out);
    }

    fn stored_result(&self, key: &Key) -> Option<(Digest, CallRecord)> {
        let entry = self.ledger.get(key)?;
        Some((entry.body, entry.record.clone()?))
    }

    fn next_claim(&mut self) -> Claim {
        self.last_claim_number += 1;
        Claim {
            executor: self.me.incarnation.clone(),
            number: self.last_claim_number,
        }
    }

    /// Requests the votes of the witnesses that have not granted the claim.
    fn request_votes(&mut self, now: Time, key: &Key, out: &mut Vec<Action>) {
        let set_id = self.set_id;
        let Some(call) = self.pending.get_mut(key) else {
            return;
        };
        call.next_resend = now + self.config.resend_interval;
        let message = Message::RequestVote {
            set_id,
            claim: call.claim.clone(),
            key: call.key,
            body: call.body,
            abandoned: call.abandoned.clone(),
        };
        let missing = |member: &&Member| !call.is_granted_by(member);
        let members = self.set.members().iter().filter(missing);
        let vms: Vec<_> = members.map(|m| m.incarnation.vm.clone()).collect();
        for vm in vms {
            self.send(&vm, message.clone(), out);
        }
    }

    /// Restarts open claims and voids after the witness set changed.
    pub(super) fn restart_claims(&mut self, now: Time, out: &mut Vec<Action>) {
        let keys: Vec<Key> = self.pending.keys().copied().collect();
        for key in keys {
            let Some(call) = self.pending.get_mut(&key) else {
                continue;
            };
            call.votes.clear();
            call.restart_void_round(now);
            match call.phase {
                Phase::Claiming => self.request_votes(now, &key, out),
                Phase::Voiding(_) => self.send_void(now, &key, out),
                Phase::Granted(_) | Phase::Sent(_) => {}
            }
        }
    }

    pub(super) fn receive_executor(
        &mut self,
        now: Time,
        from: &Incarnation,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        match message {
            Message::Vote {
                set_id,
                voter,
                claim,
                key,
                verdict,
            } if self.is_current_vote(set_id, &voter, from) => {
                self.receive_vote(now, voter, &claim, key, verdict, out);
            }
            Message::Voided {
                set_id,
                voter,
                claim,
                round,
                key,
            } if self.is_current_vote(set_id, &voter, from) => {
                self.receive_void_ack(now, voter, (&claim, round), key, out);
            }
            Message::Stored { claim, key } => self.receive_stored(from, &claim, key),
            Message::QueryClaim {
                claim,
                key,
                blocked,
            } if blocked.executor == *from => {
                self.report_claim(now, claim, key, &blocked, out);
            }
            Message::ReportClaim { claim, key, status } if claim.executor == *from => {
                self.receive_claim_status(now, claim, key, status, out);
            }
            _ => {}
        }
    }

    /// Returns whether the reply of a witness counts: it was given in exactly this set, by one of its
    /// members.
    fn is_current_vote(&self, set_id: u64, voter: &Member, from: &Incarnation) -> bool {
        set_id == self.set_id && voter.incarnation == *from && self.set.contains(voter)
    }

    fn receive_vote(
        &mut self,
        now: Time,
        voter: Member,
        claim: &Claim,
        key: Key,
        verdict: Verdict,
        out: &mut Vec<Action>,
    ) {
        let Some(call) = self.pending.get_mut(&key) else {
            return;
        };
        if call.claim != *claim || call.phase != Phase::Claiming {
            return;
        }
        call.record_vote(now, voter, verdict, self.config.void_timeout());
        self.act_on_votes(now, key, out);
    }

    /// Acts on the votes received so far.
    fn act_on_votes(&mut self, now: Time, key: Key, out: &mut Vec<Action>) {
        self.skip_own_abandoned(&key);
        let Some(call) = self.pending.get(&key) else {
            return;
        };
        match call.decide(&self.set, |claim| self.executor_gone(claim)) {
            Decision::Execute => self.execute(now, key, out),
            Decision::Void(reason) => self.start_void(now, key, reason, out),
            Decision::Query(claims) => self.query_claims(now, &key, claims, out),
            Decision::Wait => {}
            decision => self.end_unsent(now, key, &decision, out),
        }
    }

    /// Marks the claims that this process itself abandoned, so that they do not block the call.
    fn skip_own_abandoned(&mut self, key: &Key) {
        let Some(call) = self.pending.get_mut(key) else {
            return;
        };
        let abandoned = &self.abandoned;
        for vote in &call.votes {
            let Verdict::Held { claims, .. } = &vote.verdict else {
                continue;
            };
            for claim in claims {
                let own = abandoned.iter().any(|(_, old)| old == claim);
                if own && !call.abandoned.contains(claim) {
                    call.abandoned.push(claim.clone());
                }
            }
        }
    }

    /// Returns whether the executor of a claim can no longer be queried.
    fn executor_gone(&self, claim: &Claim) -> bool {
        let executor = &claim.executor;
        let shown = self.view.peer(&executor.vm);
        let superseded = shown.is_some_and(|peer| peer.incarnation.start > executor.start);
        let first_term = Member {
            incarnation: executor.clone(),
            term: 0,
        };
        *executor == self.me.incarnation || superseded || self.set.is_removed(&first_term)
    }

    fn execute(&mut self, now: Time, key: Key, out: &mut Vec<Action>) {
        let Some(call) = self.pending.get_mut(&key) else {
            return;
        };
        let Some(waiter) = call.waiters.first() else {
            return;
        };
        if now > call.started + self.config.claim_timeout {
            // Votes for a request this old may expire before its call is sent.
            return self.start_void(now, key, Reason::Voided, out);
        }
        call.executing = waiter.request;
        call.phase = Phase::Granted(now);
        out.push(Action::Execute {
            request: call.executing,
        });
    }

    /// Queries the executors of other claims, each at most once per resend interval.
    fn query_claims(&mut self, now: Time, key: &Key, claims: Vec<Claim>, out: &mut Vec<Action>) {
        let Some(call) = self.pending.get_mut(key) else {
            return;
        };
        let blocked = call.claim.clone();
        call.queried
            .retain(|(_, at)| now < *at + self.config.resend_interval);
        let recent = |claim: &Claim| call.queried.iter().any(|(queried, _)| queried == claim);
        let due: Vec<Claim> = claims.into_iter().filter(|claim| !recent(claim)).collect();
        call.queried
            .extend(due.iter().map(|claim| (claim.clone(), now)));
        for claim in due {
            let vm = claim.executor.vm.clone();
            let message = Message::QueryClaim {
                claim,
                key: *key,
                blocked: blocked.clone(),
            };
            self.send(&vm, message, out);
        }
    }

    /// Reports the status of one of this process's claims. Of two claims that are both collecting
    /// votes, the higher one yields, so that a split vote gets resolved.
    fn report_claim(
        &mut self,
        now: Time,
        claim: Claim,
        key: Key,
        blocked: &Claim,
        out: &mut Vec<Action>,
    ) {
        if claim.executor != self.me.incarnation {
            return;
        }
        let open = self.pending.get(&key).filter(|call| call.claim == claim);
        let yields = open.is_some_and(|call| call.phase == Phase::Claiming && *blocked < claim);
        let status = if yields {
            self.yield_to(now, &key, blocked, out);
            ClaimStatus::Abandoned
        } else if open.is_some() {
            ClaimStatus::Open
        } else if self.abandoned.iter().any(|(_, old)| *old == claim) {
            ClaimStatus::Abandoned
        } else {
            let result = self.stored_result(&key);
            result.map_or(ClaimStatus::Unknown, |(_, record)| {
                ClaimStatus::Ended(record)
            })
        };
        let vm = blocked.executor.vm.clone();
        self.send(&vm, Message::ReportClaim { claim, key, status }, out);
    }

    /// Abandons the current claim in favour of `other`, and waits until that one ends.
    fn yield_to(&mut self, now: Time, key: &Key, other: &Claim, out: &mut Vec<Action>) {
        let claim = self.next_claim();
        let Some(call) = self.pending.get_mut(key) else {
            return;
        };
        let old = std::mem::replace(&mut call.claim, claim);
        call.votes.clear();
        call.blocker = Some(other.clone());
        call.yields += 1;
        call.last_progress = now;
        call.next_resend = now + self.config.resend_interval * call.yields;
        let kept_until = now + self.config.retention() * 2;
        self.abandoned.push_back((kept_until, old.clone()));
        let message = Message::Release {
            claim: old,
            key: *key,
        };
        self.send_all(&message, out);
    }

    fn receive_claim_status(
        &mut self,
        now: Time,
        claim: Claim,
        key: Key,
        status: ClaimStatus,
        out: &mut Vec<Action>,
    ) {
        let Some(call) = self.pending.get_mut(&key) else {
            return;
        };
        if call.phase != Phase::Claiming {
            return;
        }
        match status {
            ClaimStatus::Open => {
                call.last_progress = now;
                call.blocker = Some(claim);
            }
            ClaimStatus::Abandoned => {
                call.last_progress = now;
                call.blocker.take_if(|blocker| *blocker == claim);
                if !call.abandoned.contains(&claim) {
                    call.abandoned.push(claim);
                    if call.yields == 0 {
                        self.request_votes(now, &key, out);
                    }
                }
            }
            ClaimStatus::Ended(record) => self.end_unsent(now, key, &Decision::Finish(record), out),
            ClaimStatus::Unknown => {
                let decision = Decision::Unknown(Reason::Gone, None);
                self.end_unsent(now, key, &decision, out);
            }
        }
    }

    /// Answers every waiter of a call that was not sent and abandons its claim.
    fn end_unsent(&mut self, now: Time, key: Key, decision: &Decision, out: &mut Vec<Action>) {
        if let Some(call) = self.abandon_claim(now, &key, out) {
            respond(&call.waiters, decision, &self.config, out);
        }
    }

    /// Removes a call that will not be sent, and releases its votes.
    pub(super) fn abandon_claim(
        &mut self,
        now: Time,
        key: &Key,
        out: &mut Vec<Action>,
    ) -> Option<PendingCall> {
        let call = self.pending.remove(key)?;
        for waiter in &call.waiters {
            self.requests.remove(&waiter.request);
        }
        let claim = call.claim.clone();
        self.abandoned
            .push_back((now + self.config.retention() * 2, claim.clone()));
        self.send_all(&Message::Release { claim, key: *key }, out);
        Some(call)
    }

    pub(super) fn refuse_waiter(&mut self, request: Request, key: &Key, out: &mut Vec<Action>) {
        self.requests.remove(&request);
        if let Some(call) = self.pending.get_mut(key) {
            call.waiters.retain(|waiter| waiter.request != request);
        }
        out.push(Action::Refuse {
            request,
            outcome: Outcome::Unknown,
            reason: Reason::Deadline,
            retry_after: Some(self.config.stall_timeout),
        });
    }

    pub(super) fn tick_pending(&mut self, now: Time, out: &mut Vec<Action>) {
        let due = |call: &&PendingCall| call.wake(&self.config) <= now;
        let keys: Vec<Key> = self
            .pending
            .values()
            .filter(due)
            .map(|call| call.key)
            .collect();
        for key in keys {
            self.expire_waiters(now, &key, out);
            self.tick_call(now, key, out);
        }
        let due = |(_, delivery): &(&Key, &Delivery)| delivery.next_send <= now;
        let keys: Vec<Key> = self
            .deliveries
            .iter()
            .filter(due)
            .map(|(key, _)| *key)
            .collect();
        for key in keys {
            self.send_result(now, key, out);
        }
    }

    /// Refuses the requests whose deadline has passed. If none is left and the call was not sent,
    /// `tick_call` ends or voids it.
    fn expire_waiters(&mut self, now: Time, key: &Key, out: &mut Vec<Action>) {
        let Some(call) = self.pending.get(key) else {
            return;
        };
        let late = |waiter: &&Waiter| waiter.deadline <= now;
        let late: Vec<Request> = call
            .waiters
            .iter()
            .filter(late)
            .map(|w| w.request)
            .collect();
        for request in late {
            self.refuse_waiter(request, key, out);
        }
    }

    fn tick_call(&mut self, now: Time, key: Key, out: &mut Vec<Action>) {
        let config = &self.config;
        let Some(call) = self.pending.get_mut(&key) else {
            return;
        };
        let stalled = now >= call.last_progress + config.stall_timeout;
        match call.phase {
            Phase::Claiming | Phase::Voiding(_) if call.waiters.is_empty() || stalled => {
                let decision = Decision::Unknown(Reason::Quorum, Some(config.stall_timeout));
                self.end_unsent(now, key, &decision, out);
            }
            Phase::Claiming
                if call.blocker.is_some()
                    && now < call.last_progress + config.stall_timeout / 2 =>
            {
                call.next_resend = now + config.resend_interval;
                let claims = call.blocker.iter().cloned().collect();
                self.query_claims(now, &key, claims, out);
            }
            Phase::Claiming => {
                call.blocker = None;
                self.request_votes(now, &key, out);
                self.act_on_votes(now, key, out);
            }
            Phase::Voiding(_) => self.send_void(now, &key, out),
            Phase::Granted(at) if now >= at + config.permit_timeout || call.waiters.is_empty() => {
                self.start_void(now, key, Reason::Abandoned, out);
            }
            Phase::Granted(_) => {}
            Phase::Sent(at) if now >= at + config.sent_retention() => {
                self.pending.remove(&key);
            }
            Phase::Sent(_) => {}
        }
    }
}

/// Answers or refuses each of the waiters.
pub(super) fn respond(
    waiters: &[Waiter],
    decision: &Decision,
    config: &super::Config,
    out: &mut Vec<Action>,
) {
    for waiter in waiters {
        let request = waiter.request;
        let refuse = |outcome, reason, retry_after| Action::Refuse {
            request,
            outcome,
            reason,
            retry_after,
        };
        out.push(match decision {
            Decision::Finish(record) if record.ending == Ending::Unknown => {
                refuse(Outcome::Unknown, Reason::Ended, None)
            }
            Decision::Finish(record) => Action::Answer {
                request,
                record: record.clone(),
            },
            Decision::Mismatch => refuse(Outcome::Mismatch, Reason::Body, None),
            Decision::Unknown(reason, retry_after) => {
                refuse(Outcome::Unknown, *reason, *retry_after)
            }
            _ => refuse(Outcome::Unknown, Reason::Quorum, Some(config.stall_timeout)),
        });
    }
}
