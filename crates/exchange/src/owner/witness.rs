//! Leases that this node grants to others as a witness of an engine.

use std::time::Duration;

use wire::machine::millis;
use wire::{Fence, Time, Upstream, Vm};

use super::lease::{DISAGREEMENT_DELAY, LeaseClaim, QUIET, Refusal, TERM, digest};
use super::{Action, Message, Owner};

/// Time after which a lease that is not renewed is forgotten.
const RETENTION: Duration = Duration::from_secs(10);

/// Whether a node acts as a witness.
enum Admission {
    Granted,
    /// Not before this time has passed.
    Postponed(Duration),
    /// The candidate knows other witnesses.
    Differs,
}

/// The last lease granted for one engine.
#[derive(Clone, Debug)]
struct Grant {
    engine: Upstream,
    holder: Vm,
    fence: Fence,
    /// Number of the request that was granted last.
    round: u64,
    until: Time,
    /// Whether the holder has given the lease back before it claimed the engine.
    unused: bool,
    /// The holder before, and until when it must not hold the lease again.
    former: Option<(Vm, Time)>,
}

/// Leases granted by this node.
#[derive(Clone, Debug, Default)]
pub(super) struct Witness {
    /// When this process began to take part; `None` before its first event.
    started: Option<Time>,
    /// Sorted by engine.
    grants: Vec<Grant>,
}

impl Witness {
    /// Records that the process runs at `now`.
    pub(super) fn start(&mut self, now: Time) {
        self.started.get_or_insert(now);
    }

    /// Drops leases that ended long ago.
    pub(super) fn prune(&mut self, now: Time) {
        self.grants.retain(|grant| now < grant.until + RETENTION);
    }

    /// Returns the time until all leases that an earlier process on this VM has granted have ended.
    pub(super) fn unready_for(&self, now: Time) -> Duration {
        let ready = self.started.unwrap_or(now) + TERM;
        ready.saturating_sub(now)
    }

    /// Grants the lease of `claim.engine` to `asker` for [`TERM`].
    ///
    /// A former holder waits for `turn` after the end of its lease before it may follow the next
    /// one.
    ///
    /// # Errors
    ///
    /// Returns the refusal if another node holds the lease or has held it since.
    pub(super) fn request(
        &mut self,
        now: Time,
        asker: &Vm,
        round: u64,
        claim: &LeaseClaim,
        turn: Duration,
    ) -> Result<(), Refusal> {
        let index = match self.find(&claim.engine) {
            Ok(index) => index,
            Err(index) => {
                let grant = Grant {
                    engine: claim.engine.clone(),
                    holder: asker.clone(),
                    fence: claim.fence,
                    round,
                    until: now + TERM,
                    unused: false,
                    former: None,
                };
                self.grants.insert(index, grant);
                return Ok(());
            }
        };
        let grant = &mut self.grants[index];
        if grant.holder != *asker {
            let lapsed_owner = claim.fence != 0 && !claim.is_renewal();
            let free_at = if lapsed_owner {
                grant.until + turn
            } else {
                grant.until
            };
            if now < free_at {
                return Err(grant.refusal(now, free_at));
            }
            if let Some((former, barred_until)) = &grant.former
                && former == asker
                && now < *barred_until
            {
                return Err(Refusal::unnamed(&claim.engine, *barred_until - now));
            }
            let ended = grant.until.min(now);
            let holder = std::mem::replace(&mut grant.holder, asker.clone());
            if !grant.unused {
                grant.former = Some((holder, ended + turn));
            }
            grant.fence = 0;
        }
        grant.fence = grant.fence.max(claim.fence);
        grant.round = round;
        grant.until = now + TERM;
        grant.unused = false;
        Ok(())
    }

    /// Ends a lease that its holder gives back, unless it was renewed by a later request.
    pub(super) fn give_back(&mut self, now: Time, holder: &Vm, round: u64, engine: &str) {
        if let Ok(index) = self.find(engine) {
            let grant = &mut self.grants[index];
            if grant.holder == *holder && grant.round <= round {
                grant.until = grant.until.min(now);
                grant.unused = grant.fence == 0;
            }
        }
    }

    fn find(&self, engine: &str) -> Result<usize, usize> {
        self.grants
            .binary_search_by(|grant| (*grant.engine).cmp(engine))
    }
}

impl Grant {
    fn refusal(&self, now: Time, free_at: Time) -> Refusal {
        Refusal {
            engine: self.engine.clone(),
            holder: Some(self.holder.clone()),
            fence: self.fence,
            wait: millis(free_at.saturating_sub(now)),
        }
    }
}

impl Owner {
    /// Answers a peer that asks for leases.
    pub(super) fn handle_lease_request(
        &mut self,
        now: Time,
        from: &Vm,
        round: u64,
        claims: &[LeaseClaim],
        out: &mut Vec<Action>,
    ) {
        let (higher, refused) = self.witness_claims(now, from, round, claims, out);
        out.push(Action::Send {
            to: from.clone(),
            message: Message::Leases {
                round,
                higher,
                refused,
            },
        });
    }

    /// Decides as a witness. Returns the fencing tokens above those of the claims, and the refusals.
    pub(super) fn witness_claims(
        &mut self,
        now: Time,
        asker: &Vm,
        round: u64,
        claims: &[LeaseClaim],
        out: &mut Vec<Action>,
    ) -> (Vec<(Upstream, Fence)>, Vec<Refusal>) {
        let (mut higher, mut refused) = (Vec::new(), Vec::new());
        for claim in claims {
            let engine = &claim.engine;
            let answer = match self.admission(now, asker, claim) {
                Admission::Granted => {
                    let turn = self.config.lease;
                    self.witness.request(now, asker, round, claim, turn)
                }
                Admission::Postponed(wait) => Err(Refusal::unnamed(engine, wait)),
                Admission::Differs => {
                    out.push(Action::Send {
                        to: asker.clone(),
                        message: self.witnesses_message(now, engine),
                    });
                    Err(Refusal::unnamed(engine, DISAGREEMENT_DELAY))
                }
            };
            match answer {
                Ok(()) => {
                    let index = self
                        .highest_fences
                        .binary_search_by(|(id, _)| id.cmp(engine));
                    let seen = index.map_or(0, |index| self.highest_fences[index].1);
                    if claim.fence < seen {
                        higher.push((engine.clone(), seen));
                    }
                }
                Err(refusal) => refused.push(refusal),
            }
        }
        (higher, refused)
    }

    /// Returns whether this node acts as a witness for `claim`, whoever holds the lease.
    fn admission(&self, now: Time, asker: &Vm, claim: &LeaseClaim) -> Admission {
        let me = &self.config.me;
        let (assigned, since) = self.witnesses(&claim.engine);
        if self.leaving {
            return Admission::Postponed(DISAGREEMENT_DELAY);
        }
        let known = digest(&assigned);
        if claim.electors.is_some_and(|electors| electors != known) {
            return Admission::Differs;
        }
        if !assigned.contains(me) {
            return Admission::Postponed(DISAGREEMENT_DELAY);
        }
        if claim.is_renewal() {
            return Admission::Granted;
        }
        if *asker == *me && self.knows_nobody() {
            return Admission::Granted;
        }
        // An earlier process on this VM may have granted the lease to another node.
        let unready = self.witness.unready_for(now);
        let quiet_at = since.map_or(Time::ZERO, |since| since + QUIET);
        let wait = unready.max(quiet_at.saturating_sub(now));
        if wait.is_zero() {
            Admission::Granted
        } else {
            Admission::Postponed(wait)
        }
    }
}
