//! Claims: taking engines over, announcing them and releasing them.

use std::time::Duration;

use wire::{Fence, Time, Upstream, Vm, rank};

use super::lease::digest;
use super::{
    ANNOUNCE_INTERVAL, ANNOUNCE_TTL, Action, CLAIM_DELAY, Config, Decision, Grounds, Message,
    ORDER_HOLDOFF, OwnedEngine, Owner, PeerClaim,
};
use crate::fleet::{Fleet, UpstreamState};

/// Number of nodes up to which all claims are announced once in each [`ANNOUNCE_INTERVAL`]. Larger
/// fleets announce unchanged claims less often, since each announcement goes to every node.
const ANNOUNCE_NODES_MAX: usize = 12;

/// Longest time for which an announcement shows that its sender is alive. Witnesses name a holder
/// that lives on.
const UNLISTED_LIFETIME_MAX: Duration = Duration::from_secs(14);

/// Number of announcements after a change that are made without that delay, in case some are lost.
pub(super) const PROMPT_ANNOUNCEMENTS: u32 = 3;

/// Number of peers up to which every announcement also carries what the owned engines hold.
const HOLDINGS_PEERS_MAX: usize = 16;

/// Time between a claim of an engine that does not check tokens and the first order to it.
pub(super) const CLAIM_ORDER_DELAY: Duration = ORDER_HOLDOFF;

/// Number of low bits of a fencing token that identify the VM.
const VM_BITS: u32 = 24;

/// Unix time in seconds at which fencing tokens start: 2025-01-01. This keeps them below 2^53 until
/// 2042, so that every JSON parser reads them exactly.
const EPOCH: u64 = 1_735_689_600;

/// Seconds by which a refused token is raised. Synchronized clocks differ by less.
const FENCE_JUMP_SECONDS: u64 = 30;

/// Left shift of the raise for each further refusal.
const FENCE_JUMP_SHIFT: u32 = 4;

/// Number of refusals after which the raise stops growing: 30 s times 2^16 is three weeks.
const FENCE_JUMPS_MAX: u32 = 4;

/// An engine without an owner for which this node is first in line.
#[derive(Clone, Debug)]
pub(super) struct Unclaimed {
    engine: Upstream,
    /// Digest of its witnesses.
    electors: u64,
    since: Time,
    /// When its witnesses have been the same for long enough, after a change.
    settled_at: Time,
}

/// Fencing tokens of this node that an engine has refused.
#[derive(Clone, Debug)]
pub(super) struct FenceRefusal {
    engine: Upstream,
    /// Number of refusals after the first.
    repeats: u32,
    /// What the next token has to exceed. Nobody has used it, so it is not told to others.
    floor: Fence,
}

impl Owner {
    /// Claims the unowned engines for which this node is first in line.
    pub(super) fn claim_unclaimed(
        &mut self,
        now: Time,
        fleet: &Fleet,
        wall_seconds: u64,
        out: &mut Vec<Action>,
    ) {
        self.release_gone(now, fleet, out);
        self.backoffs.retain(|(_, until)| now < *until);
        self.prune_contention(now, fleet);
        self.fence_refusals
            .retain(|refusal| fleet.upstream(&refusal.engine).is_some());
        let wanted = self.wanted(now, fleet, out);
        self.maintain_leases(now, &wanted, out);
        self.candidacies = wanted;
        self.wall_seconds = wall_seconds;
        self.claim_leased(now, out);
    }

    /// Claims the engines whose leases a majority of their witnesses has granted.
    pub(super) fn claim_leased(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.leaving || !self.may_claim || now < self.no_orders_before {
            return;
        }
        let mut candidacies = std::mem::take(&mut self.candidacies);
        candidacies.retain(|engine| self.holder(engine).is_none());
        let (elected, pending) = candidacies
            .into_iter()
            .partition::<Vec<_>, _>(|engine| self.leases.holds(now, engine));
        self.candidacies = pending;
        if elected.is_empty() {
            return;
        }
        for engine in elected {
            self.take_over(now, engine, out);
        }
        self.broadcast_claims(out);
        self.announced_at = now;
    }

    /// Returns the unowned engines that this node is to claim, sorted.
    fn wanted(&mut self, now: Time, fleet: &Fleet, out: &mut Vec<Action>) -> Vec<Upstream> {
        if !self.may_watch_claims(now) {
            self.unclaimed.clear();
            return Vec::new();
        }
        let claimers = self.claimers();
        // While no more than half of the nodes may claim, others are about to; without a longer
        // wait the first ones would take all engines.
        let wait = if claimers.len() * 2 > self.live.len() {
            CLAIM_DELAY
        } else {
            ANNOUNCE_INTERVAL
        };
        let mut wanted = Vec::new();
        for runner in fleet.upstreams() {
            let id = &runner.listing.id;
            let unclaimed = runner.listing.engine && runner.is_eligible() && !self.is_claimed(id);
            let first = || {
                let claimers = claimers.iter().filter(|vm| self.accepts(now, vm, id));
                rank::first(rank::hash(id.as_bytes()), claimers)
            };
            if !unclaimed || first() != Some(&self.config.me) {
                self.unclaimed.retain(|unclaimed| unclaimed.engine != *id);
                continue;
            }
            let backed_off = self.backoffs.iter().any(|(backed_off, _)| backed_off == id);
            // A witness has named a holder that announces nothing.
            if backed_off || self.holder(id).is_some() {
                self.is_quiet(now, id, false, out);
                continue;
            }
            let allowed_at = self.takeover_allowed_at(id);
            let unclaimed = self.note_unclaimed(now, id);
            let due = allowed_at
                .max(unclaimed.since + wait)
                .max(unclaimed.settled_at);
            let due = self.may_claim && now >= due;
            if self.is_quiet(now, id, due, out) && due {
                wanted.push(id.clone());
            }
        }
        wanted.sort_unstable();
        wanted
    }

    /// Returns whether this node may look for engines without an owner.
    ///
    /// Where engines check tokens, it does so before it may claim, so that no time is lost after a
    /// start. Elsewhere it has to know the claims of all live nodes.
    fn may_watch_claims(&self, now: Time) -> bool {
        if self.leaving || now < self.no_orders_before {
            return false;
        }
        let Config {
            me,
            engines_check_fences,
            ..
        } = &self.config;
        *engines_check_fences
            || self.may_claim && self.claims_ready(now) && self.quorum.all_announced(me, &self.live)
    }

    /// Returns whether this node's contact with the others allows claims. The first order to an
    /// engine that does not check tokens follows a claim after [`CLAIM_ORDER_DELAY`], and no earlier
    /// than the end of a lease from the contact on.
    fn claims_ready(&self, now: Time) -> bool {
        self.config.engines_check_fences || self.quorum.held_for(now, self.claim_contact_time())
    }

    /// Returns how long contact has to last before a claim.
    pub(super) const fn claim_contact_time(&self) -> Duration {
        self.config.lease.saturating_sub(CLAIM_ORDER_DELAY)
    }

    /// Returns the nodes that may claim engines.
    fn claimers(&self) -> Vec<Vm> {
        let Config {
            me,
            engines_check_fences,
            ..
        } = &self.config;
        if *engines_check_fences {
            return self.live.clone();
        }
        self.quorum.claimers(me, &self.live)
    }

    /// Returns when the last order of the former owner can no longer arrive. A former owner that
    /// did not announce the release may give orders until it notices that it has lost contact, and
    /// only an engine that checks tokens would refuse them.
    fn takeover_allowed_at(&self, id: &Upstream) -> Time {
        let claim = self
            .peer_claim_index(id)
            .ok()
            .map(|index| &self.peer_claims[index]);
        match claim {
            Some(claim) if !self.config.engines_check_fences => claim.orders_end,
            _ => Time::ZERO,
        }
    }

    /// Records that an engine has no owner.
    fn note_unclaimed(&mut self, now: Time, id: &Upstream) -> &Unclaimed {
        let electors = digest(&self.witnesses(id).0);
        let found = self.unclaimed.iter().position(|known| known.engine == *id);
        let index = found.unwrap_or_else(|| {
            self.unclaimed.push(Unclaimed {
                engine: id.clone(),
                electors,
                since: now,
                settled_at: now,
            });
            self.unclaimed.len() - 1
        });
        let unclaimed = &mut self.unclaimed[index];
        if unclaimed.electors != electors {
            // This node is learning of the others, and others may know more of them.
            unclaimed.electors = electors;
            unclaimed.settled_at = now + ANNOUNCE_INTERVAL;
        }
        unclaimed
    }

    fn take_over(&mut self, now: Time, engine: Upstream, out: &mut Vec<Action>) {
        let refusal = self.fence_refusals.iter().find(|r| r.engine == engine);
        let refused = refusal.map_or(0, |refusal| refusal.floor);
        let seen = self.highest_fence(&engine).unwrap_or_default().max(refused) >> VM_BITS;
        let second = self.wall_seconds.saturating_sub(EPOCH).max(seen) + 1;
        let fence = second << VM_BITS | self.config.vm_bits;
        self.observe_fence(&engine, fence);
        self.unclaimed
            .retain(|unclaimed| unclaimed.engine != engine);
        self.peer_claims.retain(|claim| claim.engine != engine);
        let (granted, witnesses) = self.leases.granted(now, &engine);
        let grounds = Grounds {
            witnesses,
            granted,
            contended: self.is_contended(now, &engine),
        };
        let claimed = Decision::Claimed(engine.clone(), fence, grounds);
        out.push(Action::Log(claimed));
        // Another node may claim the engine at the same moment. If the engine does not check
        // tokens, the first order waits until both nodes have heard of each other, because the
        // engine would obey both.
        let first_order = if self.config.engines_check_fences {
            now
        } else {
            now + CLAIM_ORDER_DELAY
        };
        let orders = self.end_watch(&engine);
        let mut owned = OwnedEngine::new(first_order, engine.clone(), fence);
        if let Some(orders) = orders.filter(|_| grounds.contended) {
            owned.follow_count(now, orders, out);
        }
        self.owned_engines.push(owned);
        self.record_own_usage(now, &engine);
        self.claims_changed();
    }

    /// Announces the claims at short intervals for a while.
    pub(super) const fn claims_changed(&mut self) {
        self.prompt_announcements = PROMPT_ANNOUNCEMENTS;
    }

    /// Releases engines that are leaving, and those without an entry for a lease. Entries lapse and come back while their
    /// engines go on; whoever claims an engine after a lease follows no recent order.
    fn release_gone(&mut self, now: Time, fleet: &Fleet, out: &mut Vec<Action>) {
        let lease = self.config.lease;
        let mut gone = Vec::new();
        self.owned_engines.retain_mut(|owned| {
            let listed = fleet.upstream(&owned.engine);
            let missing_since = owned.note_listed(now, listed.is_some());
            let kept = listed.is_none_or(UpstreamState::is_eligible)
                && missing_since.is_none_or(|since| now < since + lease);
            if !kept {
                gone.push(owned.engine.clone());
            }
            kept
        });
        for engine in gone {
            self.claims_changed();
            self.drop_lease(now, &engine, true, out);
            out.push(Action::Log(Decision::Released(engine, "gone")));
        }
        let known = |id: &Upstream| fleet.upstream(id).is_some();
        let mut claims = std::mem::take(&mut self.peer_claims);
        claims.retain(|claim| known(&claim.engine) || self.is_upheld(claim));
        self.peer_claims = claims;
        self.unclaimed.retain(|unclaimed| known(&unclaimed.engine));
    }

    /// Announces all claims if the interval has passed.
    pub(super) fn announce(&mut self, now: Time, fleet: &Fleet, out: &mut Vec<Action>) {
        if now >= self.announced_at + self.announce_interval() {
            self.announced_at = now;
            self.prompt_announcements = self.prompt_announcements.saturating_sub(1);
            self.broadcast_claims(out);
            self.announce_declines(out);
        }
        // A large fleet announces holdings less often, which bounds what each node has to receive.
        let period = self.live.len().div_ceil(HOLDINGS_PEERS_MAX).max(1);
        let period = u32::try_from(period).unwrap_or(u32::MAX);
        if now >= self.holdings_announced_at + ANNOUNCE_INTERVAL * period {
            self.holdings_announced_at = now;
            self.broadcast_holdings(now, fleet, out);
        }
    }

    /// Returns the interval between two announcements of the claims. Engines that do not check
    /// tokens rest on contact with most nodes, which announcements keep up.
    fn announce_interval(&self) -> Duration {
        if self.prompt_announcements > 0 || !self.config.engines_check_fences {
            return ANNOUNCE_INTERVAL;
        }
        ANNOUNCE_INTERVAL * self.steady_announcement_factor()
    }

    /// Returns how many times longer a large fleet waits between announcements of unchanged claims.
    fn steady_announcement_factor(&self) -> u32 {
        let factor = self.live.len().div_ceil(ANNOUNCE_NODES_MAX).max(1);
        u32::try_from(factor).unwrap_or(u32::MAX)
    }

    /// Returns how long an announcement shows that its sender is alive.
    pub(super) fn announcement_lifetime(&self) -> Duration {
        if self.config.engines_check_fences {
            self.repetition_lifetime().min(UNLISTED_LIFETIME_MAX)
        } else {
            ANNOUNCE_TTL
        }
    }

    /// Returns how long something that is repeated with each announcement counts.
    pub(super) fn repetition_lifetime(&self) -> Duration {
        ANNOUNCE_TTL * self.steady_announcement_factor()
    }

    /// Sends the claims to nodes that the membership view did not list before.
    pub(super) fn greet(&self, joined: &[Vm], out: &mut Vec<Action>) {
        let message = self.announcement();
        out.extend(joined.iter().map(|vm| Action::Send {
            to: vm.clone(),
            message: message.clone(),
        }));
    }

    fn broadcast_holdings(&self, now: Time, fleet: &Fleet, out: &mut Vec<Action>) {
        for owned in self.owned_engines.iter().filter(|owned| owned.fence_seen) {
            if let Some(runner) = fleet.upstream(&owned.engine) {
                let message = Message::Holdings {
                    engine: owned.engine.clone(),
                    holdings: runner.holdings(now),
                };
                self.broadcast(&message, out);
            }
        }
    }

    pub(super) fn broadcast_claims(&self, out: &mut Vec<Action>) {
        self.broadcast(&self.announcement(), out);
    }

    /// Returns the message that announces this node's claims.
    fn announcement(&self) -> Message {
        let claims = self.may_claim && self.claims_ready(self.now);
        if self.owned_engines.is_empty() && !claims {
            Message::NotClaiming
        } else {
            Message::Claims(self.own_claims())
        }
    }

    /// Handles the claims announced by a peer, `None` if it does not claim engines yet. The higher
    /// fencing token wins.
    pub(super) fn handle_claims(
        &mut self,
        now: Time,
        from: &Vm,
        claims: Option<Vec<(Upstream, Fence)>>,
        out: &mut Vec<Action>,
    ) {
        let before = self.quorum.record_announcement(now, from, claims.is_some());
        // A process that has just started knows no claims and must not take engines over.
        let starting = claims.is_none() && self.config.engines_check_fences;
        let claims = claims.unwrap_or_default();
        // A node missing from the membership view is sent this node's claims directly, since it may
        // receive them from nobody else.
        let recent = before.is_some_and(|before| now < before + ANNOUNCE_INTERVAL);
        let unlisted = !self.is_live(from) && !self.leaving_peers.contains(from);
        let mut contested = starting && !self.owned_engines.is_empty() || !recent && unlisted;
        self.withdraw_missing(now, from, &claims);
        let mut higher = Vec::new();
        for (engine, fence) in claims {
            self.observe_fence(&engine, fence);
            let seen = self.highest_fence(&engine).unwrap_or_default();
            if let Some(owned) = self.owned_engine(&engine) {
                if fence < owned.fence {
                    contested = true;
                    continue;
                }
                self.release_engine(&engine, "superseded", out);
            } else if fence < seen {
                higher.push((engine.clone(), seen));
            }
            self.forget_unknown_owner(&engine);
            let new = self.record_claim(now, engine.clone(), from, fence);
            if new {
                self.send_local_usage(now, &engine, out);
            }
        }
        if contested {
            out.push(Action::Send {
                to: from.clone(),
                message: self.announcement(),
            });
        }
        if !higher.is_empty() {
            out.push(Action::Send {
                to: from.clone(),
                message: Message::HigherFences(higher),
            });
        }
    }

    /// Releases engines claimed with a token lower than one already used by an owner that this node
    /// has never heard of. They are claimed again with a higher token once no order of that owner
    /// can be recent.
    pub(super) fn handle_higher_fences(
        &mut self,
        numbers: Vec<(Upstream, Fence)>,
        out: &mut Vec<Action>,
    ) {
        for (engine, fence) in numbers {
            self.observe_fence(&engine, fence);
            if self
                .owned_engine(&engine)
                .is_some_and(|owned| owned.fence < fence)
            {
                self.release_engine(&engine, "number used before", out);
            }
        }
    }

    /// Marks the claims that a peer no longer announces as withdrawn. One of its orders may still
    /// be in flight.
    fn withdraw_missing(&mut self, now: Time, holder: &Vm, claims: &[(Upstream, Fence)]) {
        let Config {
            engines_check_fences,
            lease,
            ..
        } = self.config;
        self.peer_claims.retain_mut(|claim| {
            let announced = || claims.iter().any(|(id, _)| *id == claim.engine);
            if !claim.withdrawn && claim.holder == *holder && !announced() {
                claim.withdrawn = true;
                claim.orders_end = now + lease;
            }
            !engines_check_fences || !claim.withdrawn
        });
    }

    /// Records a claim. Returns whether it replaces a different one.
    fn record_claim(&mut self, now: Time, engine: Upstream, holder: &Vm, fence: Fence) -> bool {
        let claim = PeerClaim {
            engine,
            holder: holder.clone(),
            fence,
            last_announced: Some(now),
            orders_end: now + self.config.lease,
            withdrawn: false,
            lease_until: Time::ZERO,
        };
        let index = match self.peer_claim_index(&claim.engine) {
            Ok(index) => index,
            Err(index) => {
                self.peer_claims.insert(index, claim);
                return true;
            }
        };
        let known = &self.peer_claims[index];
        let new = known.fence != fence || known.holder != *holder;
        let wins = known.fence <= fence || !self.is_valid(known);
        if wins {
            self.peer_claims[index] = claim;
        }
        wins && new
    }

    /// Records a holder named by a witness, whose lease ends at `until`.
    pub(super) fn record_lease(
        &mut self,
        now: Time,
        engine: Upstream,
        holder: &Vm,
        fence: Fence,
        until: Time,
    ) {
        match self.peer_claim_index(&engine) {
            Ok(index) => {
                let known = &mut self.peer_claims[index];
                if known.fence <= fence {
                    known.holder = holder.clone();
                    known.fence = fence;
                    known.withdrawn = false;
                    known.lease_until = until;
                    known.orders_end = now + self.config.lease;
                }
            }
            Err(index) => self.peer_claims.insert(
                index,
                PeerClaim {
                    engine,
                    holder: holder.clone(),
                    fence,
                    last_announced: None,
                    orders_end: now + self.config.lease,
                    withdrawn: false,
                    lease_until: until,
                },
            ),
        }
    }

    pub(super) fn handle_release(&mut self, from: &Vm, claims: Vec<(Upstream, Fence)>) {
        for (engine, fence) in claims {
            self.observe_fence(&engine, fence);
            self.peer_claims
                .retain(|claim| claim.engine != engine || claim.holder != *from);
        }
    }

    /// Gives up ownership of `engine`. It is not claimed again before a lease has passed, so that
    /// this node and the next owner do not alternate.
    pub(super) fn release_engine(
        &mut self,
        engine: &str,
        reason: &'static str,
        out: &mut Vec<Action>,
    ) {
        if let Some(engine) = self.give_up(engine, reason, out) {
            self.back_off(self.now, &engine);
        }
    }

    /// Gives up ownership of `engine`, which this node may claim again as soon as it is first in line. Returns its
    /// ID, or `None` if this node did not own it.
    pub(super) fn give_up(
        &mut self,
        engine: &str,
        reason: &'static str,
        out: &mut Vec<Action>,
    ) -> Option<Upstream> {
        let owned = &self.owned_engines;
        let index = owned.iter().position(|owned| *owned.engine == *engine)?;
        let settled = self.is_settled(engine);
        self.drop_lease(self.now, engine, settled, out);
        let owned = self.owned_engines.remove(index);
        self.claims_changed();
        out.push(Action::Log(Decision::Released(
            owned.engine.clone(),
            reason,
        )));
        Some(owned.engine)
    }

    fn highest_fence(&self, engine: &str) -> Option<Fence> {
        let index = self.highest_fence_index(engine).ok()?;
        Some(self.highest_fences[index].1)
    }

    fn highest_fence_index(&self, engine: &str) -> Result<usize, usize> {
        self.highest_fences
            .binary_search_by(|(id, _)| (**id).cmp(engine))
    }

    /// Raises the highest token seen for `engine` to at least `fence`.
    pub(super) fn observe_fence(&mut self, engine: &Upstream, fence: Fence) {
        match self.highest_fence_index(engine) {
            Ok(index) => {
                let seen = &mut self.highest_fences[index].1;
                *seen = fence.max(*seen);
            }
            Err(index) => self.highest_fences.insert(index, (engine.clone(), fence)),
        }
    }

    /// Records that `engine` refused `fence` because it has seen a higher token. How much higher is
    /// unknown: this VM's clock may be far behind, so each further refusal raises the next token by
    /// more.
    pub(super) fn handle_fence_refusal(&mut self, now: Time, engine: &Upstream, fence: Fence) {
        let holder = self.peer_claim_index(engine).ok();
        let is_known = holder.is_some_and(|index| self.peer_claims[index].fence > fence);
        if !is_known {
            self.note_unknown_owner(now, engine);
        }
        let known = self.fence_refusals.iter().position(|r| r.engine == *engine);
        let index = known.unwrap_or_else(|| {
            self.fence_refusals.push(FenceRefusal {
                engine: engine.clone(),
                repeats: 0,
                floor: 0,
            });
            self.fence_refusals.len() - 1
        });
        let refusal = &mut self.fence_refusals[index];
        let jump = FENCE_JUMP_SECONDS << (FENCE_JUMP_SHIFT * refusal.repeats.min(FENCE_JUMPS_MAX));
        refusal.floor = refusal.floor.max(fence + (jump << VM_BITS));
        refusal.repeats += 1;
    }

    /// Keeps this node from claiming `engine` again before a lease has passed, so that it and the
    /// node that took over do not alternate. The owner announces itself meanwhile.
    fn back_off(&mut self, now: Time, engine: &Upstream) {
        self.backoffs.retain(|(id, _)| id != engine);
        self.backoffs
            .push((engine.clone(), now + self.config.lease));
    }
}
