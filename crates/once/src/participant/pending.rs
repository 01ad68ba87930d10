//! The state of one key at its executor.

use std::time::Duration;

use wire::{Request, Time, Vm};

use super::Config;
use crate::key::{Digest, Key};
use crate::ledger::CallRecord;
use crate::message::{Claim, Verdict};
use crate::set::{Member, Set};

/// What is known of a call whose request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It has not run, and no attempt made so far will run it.
    NotRun,
    /// It may have run.
    Unknown,
    /// The key belongs to a call with another body; this one has not run.
    Mismatch,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The driver gave the call up, or the permit time passed.
    Abandoned,
    /// An earlier attempt of the key was recorded as void.
    Voided,
    /// The key was used with another body; use a new key for a new call.
    Body,
    /// No quorum of witnesses answered.
    Quorum,
    /// The process that claimed the call is gone.
    Gone,
    /// The executing process answers no more, or the call takes longer than the deadline.
    Deadline,
    /// The key may be older than the witnesses; use a key with the present ticket for a new call.
    Quarantine,
    /// The witnesses have not read the VM list for too long.
    Fenced,
    /// The call ended without a known result.
    Ended,
}

/// A request that waits for the key's answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiter {
    pub request: Request,
    pub deadline: Time,
}

/// How far a key has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    Claiming,
    Granted(Time),
    Sent(Time),
    Voiding(Reason),
}

/// The last word of one witness.
#[derive(Clone, Debug)]
pub(super) struct Vote {
    pub voter: Member,
    pub verdict: Verdict,
    /// Whether the key was voided and the request is not provably younger.
    pub void: bool,
}

/// What a claim needs next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Next {
    Execute,
    Void(Reason),
    Finish(CallRecord),
    Mismatch,
    Unknown(Reason, Option<Duration>),
    Inquire(Vec<Claim>),
    Wait,
}

#[derive(Clone, Debug)]
pub(super) struct Run {
    pub key: Key,
    pub body: Digest,
    pub claim: Claim,
    pub begun: Time,
    pub waiters: Vec<Waiter>,
    pub runner: Request,
    pub phase: Phase,
    pub votes: Vec<Vote>,
    pub acks: Vec<Member>,
    /// When the present round of voids was first asked for.
    pub voided: Time,
    /// Number of that round.
    pub round: u32,
    pub over: Vec<Claim>,
    /// Claims asked about, and when.
    pub asked: Vec<(Claim, Time)>,
    /// The claim that this one waits for.
    pub rival: Option<Claim>,
    /// Number of times that this run has given way to another.
    pub yields: u32,
    pub resend: Time,
    pub progress: Time,
    pub given_up: bool,
}

impl Run {
    pub fn permit(&mut self, now: Time, request: Request, window: Duration) -> bool {
        let Phase::Granted(at) = self.phase else {
            return false;
        };
        let deadline = self.runner_deadline();
        let timely = now <= at + window && deadline.is_some_and(|deadline| now < deadline);
        if self.runner != request || self.given_up || !timely {
            return false;
        }
        self.phase = Phase::Sent(now);
        true
    }

    pub fn runner_deadline(&self) -> Option<Time> {
        let runner = |waiter: &&Waiter| waiter.request == self.runner;
        self.waiters.iter().find(runner).map(|w| w.deadline)
    }

    /// Starts another round of voids, in which no former confirmation counts.
    pub fn renew_void(&mut self, now: Time) {
        self.acks.clear();
        self.voided = now;
        self.round += 1;
    }

    /// Takes a witness's word in, in place of its former one.
    pub fn vote(&mut self, now: Time, voter: Member, verdict: Verdict, span: Duration) {
        let age = now.saturating_sub(self.begun) + span;
        let void = matches!(verdict, Verdict::Granted { void: Some(void) } if void < age);
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

    /// Tells whether `member`'s vote is in.
    pub fn granted_by(&self, member: &Member) -> bool {
        let granted = |v: &Vote| matches!(v.verdict, Verdict::Granted { .. });
        let index = self.votes.binary_search_by(|v| v.voter.cmp(member));
        index.is_ok_and(|index| granted(&self.votes[index]))
    }

    /// Decides from the votes, given which claims belong to processes that are gone.
    pub fn decide(&self, set: &Set, gone: impl Fn(&Claim) -> bool) -> Next {
        let mut grants = 0;
        let mut void = false;
        let mut stuck = 0;
        let mut why = Reason::Quorum;
        let mut left = None;
        let mut rivals = Vec::new();
        for vote in &self.votes {
            match &vote.verdict {
                Verdict::Ended { record, body } if *body == self.body => {
                    return Next::Finish(record.clone());
                }
                Verdict::Ended { .. } => return Next::Mismatch,
                Verdict::Held { body, .. } if *body != self.body => return Next::Mismatch,
                Verdict::Held { claims, .. } => {
                    let rival = |c: &&Claim| **c != self.claim && !self.over.contains(*c);
                    let open: Vec<Claim> = claims.iter().filter(rival).cloned().collect();
                    if open.iter().any(&gone) {
                        stuck += 1;
                        why = Reason::Gone;
                    }
                    rivals.extend(open);
                }
                Verdict::Granted { .. } => {
                    grants += 1;
                    void |= vote.void;
                }
                Verdict::Quarantined { left: time } => {
                    stuck += 1;
                    why = Reason::Quarantine;
                    left = left.max(Some(*time));
                }
                Verdict::Foreign => {
                    stuck += 1;
                    why = Reason::Quarantine;
                }
                Verdict::Fenced => {
                    stuck += 1;
                    why = Reason::Fenced;
                }
                Verdict::Fresh => {}
            }
        }
        if grants >= set.quorum() {
            return self.decide_granted(void);
        }
        if set.members().len() < set.quorum() + stuck {
            return Next::Unknown(why, left);
        }
        rivals.sort_unstable();
        rivals.dedup();
        rivals.retain(|claim| !gone(claim));
        if rivals.is_empty() {
            Next::Wait
        } else {
            Next::Inquire(rivals)
        }
    }

    fn decide_granted(&self, void: bool) -> Next {
        if self.given_up {
            Next::Void(Reason::Abandoned)
        } else if void {
            Next::Void(Reason::Voided)
        } else {
            Next::Execute
        }
    }

    pub fn wake(&self, config: &Config) -> Time {
        let deadline = self.waiters.iter().map(|waiter| waiter.deadline).min();
        let phase = match self.phase {
            Phase::Claiming | Phase::Voiding(_) => self.resend,
            Phase::Granted(at) => at + config.permit,
            Phase::Sent(at) => at + config.sent(),
        };
        deadline.map_or(phase, |deadline| deadline.min(phase))
    }
}

/// An answer on its way to the witnesses.
#[derive(Clone, Debug)]
pub(super) struct Delivery {
    pub claim: Claim,
    pub body: Digest,
    pub record: CallRecord,
    pub confirmed: Vec<Vm>,
    pub next: Time,
    pub wait: Duration,
    pub until: Time,
}
