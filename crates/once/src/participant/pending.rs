//! The state of one call at its executor.

use std::time::Duration;

use wire::{Request, Time, Vm};

use super::Config;
use crate::key::{Digest, Key};
use crate::ledger::CallRecord;
use crate::message::{Claim, Verdict};
use crate::witness_set::{Member, WitnessSet};

/// What is known about a call whose request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The call has not run, and no earlier attempt will run it.
    NotRun,
    /// The call may have run.
    Unknown,
    /// The key was used with another body. The call with this body has not run.
    Mismatch,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The driver abandoned the call, or the permit timed out.
    Abandoned,
    /// The key was voided for an earlier attempt.
    Voided,
    /// The key was used with another body. A new call needs a new key.
    Body,
    /// No quorum of witnesses replied.
    Quorum,
    /// The process that claimed the call is gone.
    Gone,
    /// The deadline passed: the call takes too long or its executor no longer responds.
    Deadline,
    /// The key may be older than the lineage. A new call can use a key with the current ticket.
    Quarantine,
    /// The witnesses' last successful read of the VM list is too old.
    Fenced,
    /// The call ended without a known result.
    Ended,
}

/// A request that waits for the result of the call.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiter {
    pub request: Request,
    pub deadline: Time,
}

/// Progress of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Collecting votes.
    Claiming,
    /// A quorum granted the claim at this time; the driver has not asked for the permit yet.
    Granted(Time),
    /// The driver was permitted to write the call at this time.
    Sent(Time),
    /// Collecting confirmations of a void.
    Voiding(Reason),
}

/// The latest reply of one witness.
#[derive(Clone, Debug)]
pub(super) struct Vote {
    pub voter: Member,
    pub verdict: Verdict,
    /// Whether the witness granted the claim but recorded a void of the key that may be later than
    /// the start of the request.
    pub void: bool,
}

/// The next step of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Decision {
    Execute,
    Void(Reason),
    Finish(CallRecord),
    Mismatch,
    /// Refuse the request since the call may have run. The duration is the delay after which a retry
    /// may succeed.
    Unknown(Reason, Option<Duration>),
    /// Query the executors of these claims, which block this one.
    Query(Vec<Claim>),
    Wait,
}

/// A call that was started on this node and has not ended yet.
#[derive(Clone, Debug)]
pub(super) struct PendingCall {
    pub key: Key,
    pub body: Digest,
    pub claim: Claim,
    pub started: Time,
    pub waiters: Vec<Waiter>,
    /// The request whose call is executed.
    pub executing: Request,
    pub phase: Phase,
    pub votes: Vec<Vote>,
    pub void_acks: Vec<Member>,
    /// When the current round of void requests started.
    pub void_started: Time,
    /// Number of the current round of void requests.
    pub void_round: u32,
    /// Claims of the key that their executors have abandoned.
    pub abandoned: Vec<Claim>,
    /// Claims whose executors were queried, and when.
    pub queried: Vec<(Claim, Time)>,
    /// The claim that blocks this one.
    pub blocker: Option<Claim>,
    /// How often this call has yielded to another claim.
    pub yields: u32,
    pub next_resend: Time,
    pub last_progress: Time,
    /// Whether the driver abandoned the call while it was collecting votes.
    pub cancelled: bool,
}

impl PendingCall {
    pub fn permit(&mut self, now: Time, request: Request, timeout: Duration) -> bool {
        let Phase::Granted(at) = self.phase else {
            return false;
        };
        let deadline = self.executing_deadline();
        let in_time = now <= at + timeout && deadline.is_some_and(|deadline| now < deadline);
        if self.executing != request || self.cancelled || !in_time {
            return false;
        }
        self.phase = Phase::Sent(now);
        true
    }

    pub fn executing_deadline(&self) -> Option<Time> {
        let executing = |waiter: &&Waiter| waiter.request == self.executing;
        self.waiters.iter().find(executing).map(|w| w.deadline)
    }

    /// Starts a new round of void requests. Confirmations of earlier rounds no longer count.
    pub fn restart_void_round(&mut self, now: Time) {
        self.void_acks.clear();
        self.void_started = now;
        self.void_round += 1;
    }

    /// Records the reply of a witness, replacing its previous one.
    pub fn record_vote(
        &mut self,
        now: Time,
        voter: Member,
        verdict: Verdict,
        void_timeout: Duration,
    ) {
        let age = now.saturating_sub(self.started) + void_timeout;
        let void =
            matches!(verdict, Verdict::Granted { void_age: Some(void_age) } if void_age < age);
        let vote = Vote {
            voter,
            verdict,
            void,
        };
        match self.votes.binary_search_by(|v| v.voter.cmp(&vote.voter)) {
            Ok(index) => self.votes[index] = vote,
            Err(index) => self.votes.insert(index, vote),
        }
    }

    /// Returns whether `member` granted the claim.
    pub fn is_granted_by(&self, member: &Member) -> bool {
        let granted = |v: &Vote| matches!(v.verdict, Verdict::Granted { .. });
        let index = self.votes.binary_search_by(|v| v.voter.cmp(member));
        index.is_ok_and(|index| granted(&self.votes[index]))
    }

    /// Decides the next step from the votes. `gone` returns whether the executor of a claim can no
    /// longer be queried.
    pub fn decide(&self, set: &WitnessSet, gone: impl Fn(&Claim) -> bool) -> Decision {
        let mut grants = 0;
        let mut void = false;
        let mut blocked = 0;
        let mut reason = Reason::Quorum;
        let mut retry_after = None;
        let mut blockers = Vec::new();
        for vote in &self.votes {
            match &vote.verdict {
                Verdict::Ended { record, body } if *body == self.body => {
                    return Decision::Finish(record.clone());
                }
                Verdict::Ended { .. } => return Decision::Mismatch,
                Verdict::Held { body, .. } if *body != self.body => return Decision::Mismatch,
                Verdict::Held { claims, .. } => {
                    let is_open = |c: &&Claim| **c != self.claim && !self.abandoned.contains(*c);
                    let open: Vec<Claim> = claims.iter().filter(is_open).cloned().collect();
                    if open.iter().any(&gone) {
                        blocked += 1;
                        reason = Reason::Gone;
                    }
                    blockers.extend(open);
                }
                Verdict::Granted { .. } => {
                    grants += 1;
                    void |= vote.void;
                }
                Verdict::Quarantined { remaining } => {
                    blocked += 1;
                    reason = Reason::Quarantine;
                    retry_after = retry_after.max(Some(*remaining));
                }
                Verdict::OtherLineage => {
                    blocked += 1;
                    reason = Reason::Quarantine;
                }
                Verdict::Fenced => {
                    blocked += 1;
                    reason = Reason::Fenced;
                }
                Verdict::NotRecovered => {}
            }
        }
        if grants >= set.quorum() {
            return self.decide_with_quorum(void);
        }
        if set.members().len() < set.quorum() + blocked {
            return Decision::Unknown(reason, retry_after);
        }
        blockers.sort_unstable();
        blockers.dedup();
        blockers.retain(|claim| !gone(claim));
        if blockers.is_empty() {
            Decision::Wait
        } else {
            Decision::Query(blockers)
        }
    }

    fn decide_with_quorum(&self, void: bool) -> Decision {
        if self.cancelled {
            Decision::Void(Reason::Abandoned)
        } else if void {
            Decision::Void(Reason::Voided)
        } else {
            Decision::Execute
        }
    }

    pub fn wake(&self, config: &Config) -> Time {
        let deadline = self.waiters.iter().map(|waiter| waiter.deadline).min();
        let phase = match self.phase {
            Phase::Claiming | Phase::Voiding(_) => self.next_resend,
            Phase::Granted(at) => at + config.permit_timeout,
            Phase::Sent(at) => at + config.sent_retention(),
        };
        deadline.map_or(phase, |deadline| deadline.min(phase))
    }
}

/// A call's result that is being delivered to the witnesses.
#[derive(Clone, Debug)]
pub(super) struct Delivery {
    pub claim: Claim,
    pub body: Digest,
    pub record: CallRecord,
    pub confirmed: Vec<Vm>,
    pub next_send: Time,
    pub backoff: Duration,
    pub give_up_at: Time,
}
