//! The executor: collects votes for its claims and decides what becomes of its requests.

use wire::{Incarnation, Request, Time};

use super::pending::{Delivery, Next, Outcome, Phase, Reason, Run, Waiter};
use super::{Action, Participant};
use crate::key::{Digest, Key};
use crate::ledger::{CallRecord, Ending};
use crate::message::{Claim, Message, Told, Verdict};
use crate::set::Member;

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
        if let Some((known, record)) = self.first_answer(&key) {
            let next = if known == body {
                Next::Finish(record)
            } else {
                Next::Mismatch
            };
            return respond(&[waiter], &next, &self.config, out);
        }
        if let Some(run) = self.runs.get_mut(&key) {
            if run.body != body {
                return respond(&[waiter], &Next::Mismatch, &self.config, out);
            }
            run.waiters.push(waiter);
            self.requests.insert(request, key);
            return;
        }
        let run = Run {
            key,
            body,
            claim: self.next_claim(),
            begun: now,
            waiters: vec![waiter],
            runner: request,
            phase: Phase::Claiming,
            votes: Vec::new(),
            acks: Vec::new(),
            voided: now,
            round: 0,
            over: Vec::new(),
            asked: Vec::new(),
            rival: None,
            yields: 0,
            resend: now,
            progress: now,
            given_up: false,
        };
        self.requests.insert(request, key);
        self.runs.insert(key, run);
        self.ask(now, &key, out);
    }

    fn first_answer(&self, key: &Key) -> Option<(Digest, CallRecord)> {
        let entry = self.ledger.get(key)?;
        Some((entry.body, entry.record.clone()?))
    }

    fn next_claim(&mut self) -> Claim {
        self.number += 1;
        Claim {
            executor: self.me.incarnation.clone(),
            number: self.number,
        }
    }

    /// Asks the witnesses whose vote is missing.
    fn ask(&mut self, now: Time, key: &Key, out: &mut Vec<Action>) {
        let set = self.id;
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        run.resend = now + self.config.resend;
        let message = Message::Ask {
            set,
            claim: run.claim.clone(),
            key: run.key,
            body: run.body,
            over: run.over.clone(),
        };
        let missing = |member: &&Member| !run.granted_by(member);
        let members = self.set.members().iter().filter(missing);
        let vms: Vec<_> = members.map(|m| m.incarnation.vm.clone()).collect();
        for vm in vms {
            self.send(&vm, message.clone(), out);
        }
    }

    /// Starts the open claims over at a new set.
    pub(super) fn restart_runs(&mut self, now: Time, out: &mut Vec<Action>) {
        let keys: Vec<Key> = self.runs.keys().copied().collect();
        for key in keys {
            let Some(run) = self.runs.get_mut(&key) else {
                continue;
            };
            run.votes.clear();
            run.renew_void(now);
            match run.phase {
                Phase::Claiming => self.ask(now, &key, out),
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
                set,
                voter,
                claim,
                key,
                verdict,
            } if self.counts(set, &voter, from) => {
                self.take_vote(now, voter, &claim, key, verdict, out);
            }
            Message::Voided {
                set,
                voter,
                claim,
                round,
                key,
            } if self.counts(set, &voter, from) => {
                self.take_void(now, voter, (&claim, round), key, out);
            }
            Message::Stored { claim, key } => self.take_stored(from, &claim, key),
            Message::Inquire { claim, key, by } if by.executor == *from => {
                self.tell(now, claim, key, &by, out);
            }
            Message::Tell { claim, key, told } if claim.executor == *from => {
                self.take_word(now, claim, key, told, out);
            }
            _ => {}
        }
    }

    /// Tells whether a witness's word counts: one of exactly this set, from a member of it.
    fn counts(&self, set: u64, voter: &Member, from: &Incarnation) -> bool {
        set == self.id && voter.incarnation == *from && self.set.contains(voter)
    }

    fn take_vote(
        &mut self,
        now: Time,
        voter: Member,
        claim: &Claim,
        key: Key,
        verdict: Verdict,
        out: &mut Vec<Action>,
    ) {
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        if run.claim != *claim || run.phase != Phase::Claiming {
            return;
        }
        run.vote(now, voter, verdict, self.config.void_span());
        self.proceed(now, key, out);
    }

    /// Acts on the votes that are in.
    fn proceed(&mut self, now: Time, key: Key, out: &mut Vec<Action>) {
        self.take_over(&key);
        let Some(run) = self.runs.get(&key) else {
            return;
        };
        match run.decide(&self.set, |claim| self.gone(claim)) {
            Next::Execute => self.execute(now, key, out),
            Next::Void(reason) => self.void(now, key, reason, out),
            Next::Inquire(claims) => self.inquire(now, &key, claims, out),
            Next::Wait => {}
            next => self.end(now, key, &next, out),
        }
    }

    /// Counts this process's own abandoned claims as over.
    fn take_over(&mut self, key: &Key) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        let abandoned = &self.abandoned;
        for vote in &run.votes {
            let Verdict::Held { claims, .. } = &vote.verdict else {
                continue;
            };
            for claim in claims {
                let own = abandoned.iter().any(|(_, given_up)| given_up == claim);
                if own && !run.over.contains(claim) {
                    run.over.push(claim.clone());
                }
            }
        }
    }

    /// Tells whether a claim's executor can no longer be asked.
    fn gone(&self, claim: &Claim) -> bool {
        let executor = &claim.executor;
        let shown = self.view.peer(&executor.vm);
        let superseded = shown.is_some_and(|peer| peer.incarnation.start > executor.start);
        let term = Member {
            incarnation: executor.clone(),
            round: 0,
        };
        *executor == self.me.incarnation || superseded || self.set.buried(&term)
    }

    fn execute(&mut self, now: Time, key: Key, out: &mut Vec<Action>) {
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        let Some(waiter) = run.waiters.first() else {
            return;
        };
        if now > run.begun + self.config.claim {
            // Votes for a retry of this age may be forgotten before it is sent.
            return self.void(now, key, Reason::Voided, out);
        }
        run.runner = waiter.request;
        run.phase = Phase::Granted(now);
        out.push(Action::Execute {
            request: run.runner,
        });
    }

    /// Asks the executors of other claims, each once in a while.
    fn inquire(&mut self, now: Time, key: &Key, claims: Vec<Claim>, out: &mut Vec<Action>) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        let by = run.claim.clone();
        run.asked.retain(|(_, at)| now < *at + self.config.resend);
        let recent = |claim: &Claim| run.asked.iter().any(|(asked, _)| asked == claim);
        let due: Vec<Claim> = claims.into_iter().filter(|claim| !recent(claim)).collect();
        run.asked
            .extend(due.iter().map(|claim| (claim.clone(), now)));
        for claim in due {
            let vm = claim.executor.vm.clone();
            let message = Message::Inquire {
                claim,
                key: *key,
                by: by.clone(),
            };
            self.send(&vm, message, out);
        }
    }

    /// Answers a question about one of this process's claims. Of two open claims the lower one
    /// goes on, so that divided votes end.
    fn tell(&mut self, now: Time, claim: Claim, key: Key, by: &Claim, out: &mut Vec<Action>) {
        if claim.executor != self.me.incarnation {
            return;
        }
        let open = self.runs.get(&key).filter(|run| run.claim == claim);
        let yields = open.is_some_and(|run| run.phase == Phase::Claiming && *by < claim);
        let told = if yields {
            self.reclaim(now, &key, by, out);
            Told::Abandoned
        } else if open.is_some() {
            Told::Open
        } else if self
            .abandoned
            .iter()
            .any(|(_, given_up)| *given_up == claim)
        {
            Told::Abandoned
        } else {
            let answer = self.first_answer(&key);
            answer.map_or(Told::Unknown, |(_, record)| Told::Ended(record))
        };
        let vm = by.executor.vm.clone();
        self.send(&vm, Message::Tell { claim, key, told }, out);
    }

    /// Gives the present claim up in favour of `by`, and waits for that one's end.
    fn reclaim(&mut self, now: Time, key: &Key, by: &Claim, out: &mut Vec<Action>) {
        let claim = self.next_claim();
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        let old = std::mem::replace(&mut run.claim, claim);
        run.votes.clear();
        run.rival = Some(by.clone());
        run.yields += 1;
        run.progress = now;
        run.resend = now + self.config.resend * run.yields;
        let kept = now + self.config.keep() * 2;
        self.abandoned.push_back((kept, old.clone()));
        let message = Message::Release {
            claim: old,
            key: *key,
        };
        self.send_all(&message, out);
    }

    fn take_word(&mut self, now: Time, claim: Claim, key: Key, told: Told, out: &mut Vec<Action>) {
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        if run.phase != Phase::Claiming {
            return;
        }
        match told {
            Told::Open => {
                run.progress = now;
                run.rival = Some(claim);
            }
            Told::Abandoned => {
                run.progress = now;
                run.rival.take_if(|rival| *rival == claim);
                if !run.over.contains(&claim) {
                    run.over.push(claim);
                    if run.yields == 0 {
                        self.ask(now, &key, out);
                    }
                }
            }
            Told::Ended(record) => self.end(now, key, &Next::Finish(record), out),
            Told::Unknown => {
                let next = Next::Unknown(Reason::Gone, None);
                self.end(now, key, &next, out);
            }
        }
    }

    /// Answers every waiter and gives the claim up.
    fn end(&mut self, now: Time, key: Key, next: &Next, out: &mut Vec<Action>) {
        if let Some(run) = self.close(now, &key, out) {
            respond(&run.waiters, next, &self.config, out);
        }
    }

    /// Removes a run that will not execute, and frees its votes.
    pub(super) fn close(&mut self, now: Time, key: &Key, out: &mut Vec<Action>) -> Option<Run> {
        let run = self.runs.remove(key)?;
        for waiter in &run.waiters {
            self.requests.remove(&waiter.request);
        }
        let claim = run.claim.clone();
        self.abandoned
            .push_back((now + self.config.keep() * 2, claim.clone()));
        self.send_all(&Message::Release { claim, key: *key }, out);
        Some(run)
    }

    pub(super) fn drop_waiter(&mut self, request: Request, key: &Key, out: &mut Vec<Action>) {
        self.requests.remove(&request);
        if let Some(run) = self.runs.get_mut(key) {
            run.waiters.retain(|waiter| waiter.request != request);
        }
        out.push(Action::Refuse {
            request,
            outcome: Outcome::Unknown,
            reason: Reason::Deadline,
            retry_after: Some(self.config.patience),
        });
    }

    pub(super) fn tick_runs(&mut self, now: Time, out: &mut Vec<Action>) {
        let due = |run: &&Run| run.wake(&self.config) <= now;
        let keys: Vec<Key> = self.runs.values().filter(due).map(|run| run.key).collect();
        for key in keys {
            self.tick_waiters(now, &key, out);
            self.tick_run(now, key, out);
        }
        let due = |(_, delivery): &(&Key, &Delivery)| delivery.next <= now;
        let keys: Vec<Key> = self
            .deliveries
            .iter()
            .filter(due)
            .map(|(key, _)| *key)
            .collect();
        for key in keys {
            self.deliver(now, key, out);
        }
    }

    /// Refuses the requests whose deadline has come. The last one's claim, if it has no quorum,
    /// goes with it.
    fn tick_waiters(&mut self, now: Time, key: &Key, out: &mut Vec<Action>) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let late = |waiter: &&Waiter| waiter.deadline <= now;
        let late: Vec<Request> = run.waiters.iter().filter(late).map(|w| w.request).collect();
        for request in late {
            self.drop_waiter(request, key, out);
        }
    }

    fn tick_run(&mut self, now: Time, key: Key, out: &mut Vec<Action>) {
        let config = &self.config;
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        let stale = now >= run.progress + config.patience;
        match run.phase {
            Phase::Claiming | Phase::Voiding(_) if run.waiters.is_empty() || stale => {
                let next = Next::Unknown(Reason::Quorum, Some(config.patience));
                self.end(now, key, &next, out);
            }
            Phase::Claiming if run.rival.is_some() && now < run.progress + config.patience / 2 => {
                run.resend = now + config.resend;
                let claims = run.rival.iter().cloned().collect();
                self.inquire(now, &key, claims, out);
            }
            Phase::Claiming => {
                run.rival = None;
                self.ask(now, &key, out);
                self.proceed(now, key, out);
            }
            Phase::Voiding(_) => self.send_void(now, &key, out),
            Phase::Granted(at) if now >= at + config.permit || run.waiters.is_empty() => {
                self.void(now, key, Reason::Abandoned, out);
            }
            Phase::Granted(_) => {}
            Phase::Sent(at) if now >= at + config.sent() => {
                self.runs.remove(&key);
            }
            Phase::Sent(_) => {}
        }
    }
}

/// Tells waiters how their call ended.
pub(super) fn respond(
    waiters: &[Waiter],
    next: &Next,
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
        out.push(match next {
            Next::Finish(record) if record.ending == Ending::Unknown => {
                refuse(Outcome::Unknown, Reason::Ended, None)
            }
            Next::Finish(record) => Action::Answer {
                request,
                record: record.clone(),
            },
            Next::Mismatch => refuse(Outcome::Mismatch, Reason::Body, None),
            Next::Unknown(reason, retry) => refuse(Outcome::Unknown, *reason, *retry),
            _ => refuse(Outcome::Unknown, Reason::Quorum, Some(config.patience)),
        });
    }
}
