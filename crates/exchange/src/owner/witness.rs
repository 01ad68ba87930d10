//! Leases that this node grants to others as a witness of an engine.

use std::time::Duration;

use wire::machine::millis;
use wire::{Fence, Time, Upstream, Vm};

use super::lease::{LeaseClaim, Refusal, TERM};

/// Time after which a lease that is not renewed is forgotten.
const RETENTION: Duration = Duration::from_secs(10);

/// The last lease granted for one engine.
#[derive(Clone, Debug)]
struct Grant {
    engine: Upstream,
    holder: Vm,
    fence: Fence,
    /// Number of the request that was granted last.
    round: u64,
    until: Time,
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
            grant.former = Some((holder, ended + turn));
            grant.fence = 0;
        }
        grant.fence = grant.fence.max(claim.fence);
        grant.round = round;
        grant.until = now + TERM;
        Ok(())
    }

    /// Ends a lease that its holder gives back, unless it was renewed by a later request.
    pub(super) fn give_back(&mut self, now: Time, holder: &Vm, round: u64, engine: &str) {
        if let Ok(index) = self.find(engine) {
            let grant = &mut self.grants[index];
            if grant.holder == *holder && grant.round <= round {
                grant.until = grant.until.min(now);
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
