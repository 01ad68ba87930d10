//! Claims: taking engines over, keeping them, giving them up.

use wire::{Fence, Time, Upstream, Vm, rank};

use super::{ANNOUNCE, Action, Claim, Config, Decision, Message, Owner, RECOVERY, SETTLE, Seat};
use crate::fleet::{Fleet, UpstreamState};

/// Peers up to which holdings are told with every announcement.
const HOLDINGS_PEERS: usize = 16;

/// Bits of a fencing number that belong to the VM.
const MARK_BITS: u32 = 24;

/// Seconds of the wall clock at which fencing numbers begin: 2025-01-01. Numbers stay below 2^53
/// for decades, which every reader of JSON takes.
const EPOCH: u64 = 1_735_689_600;

/// Seconds by which a number is raised that an engine refused: clocks that are kept differ by less.
const JUMP: u64 = 30;

/// Bits by which each further refusal raises that.
const JUMP_BITS: u32 = 4;

/// Refusals after which the raise stays the same: 30 s times 2^16 are three weeks.
const JUMPS_MAX: u32 = 4;

impl Owner {
    /// Claims what nobody else holds and this node is the first for.
    pub(super) fn claim(&mut self, now: Time, fleet: &Fleet, wall: u64, out: &mut Vec<Action>) {
        self.drop_gone(fleet, out);
        self.barred.retain(|(_, until)| now < *until);
        self.refused.retain(|(id, _)| fleet.upstream(id).is_some());
        if !self.may_claim || !self.may_order(now) || !self.informed() {
            self.vacant.clear();
            return;
        }
        let claimers = self.claimers();
        // While few may claim, more are about to, and the first ones would take all engines.
        let wait = if claimers.len() * 2 > self.live.len() {
            SETTLE
        } else {
            ANNOUNCE
        };
        for runner in fleet.upstreams() {
            let id = &runner.listing.id;
            let vacant = runner.listing.engine && runner.is_eligible() && self.holder(id).is_none();
            let first = || rank::first(rank::hash(id.as_bytes()), &claimers);
            if !vacant || first() != Some(&self.config.me) {
                self.vacant.retain(|(vacant, _)| vacant != id);
                continue;
            }
            if self.barred.iter().any(|(barred, _)| barred == id) {
                continue;
            }
            let since = self.vacant_since(now, id);
            if now >= self.free_from(id).max(since + wait) {
                self.take(now, id.clone(), wall, out);
            }
        }
    }

    /// Tells whether this node knows all claims, or engines would refuse its orders.
    fn informed(&self) -> bool {
        let Config {
            me,
            engines_check_fences,
            ..
        } = &self.config;
        *engines_check_fences || self.contact.complete(me, &self.live)
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
        self.contact.claimers(me, &self.live)
    }

    /// Returns when the last order of a former holder has ended. One that was not heard to release
    /// an engine may order there until it notices that it is alone, which only an engine that looks
    /// at the number refuses.
    fn free_from(&self, id: &Upstream) -> Time {
        let claim = self.claim_of(id).ok().map(|index| &self.claims[index]);
        match claim {
            Some(claim) if !self.config.engines_check_fences => claim.until,
            _ => Time::ZERO,
        }
    }

    fn vacant_since(&mut self, now: Time, id: &Upstream) -> Time {
        match self.vacant.iter().find(|(vacant, _)| vacant == id) {
            Some((_, since)) => *since,
            None => {
                self.vacant.push((id.clone(), now));
                now
            }
        }
    }

    fn take(&mut self, now: Time, engine: Upstream, wall: u64, out: &mut Vec<Action>) {
        let seen = self.seen(&engine).unwrap_or_default() >> MARK_BITS;
        let second = wall.saturating_sub(EPOCH).max(seen) + 1;
        let fence = second << MARK_BITS | self.config.vm_bits;
        self.saw(&engine, fence);
        self.vacant.retain(|(vacant, _)| *vacant != engine);
        self.claims.retain(|claim| claim.engine != engine);
        out.push(Action::Log(Decision::Claimed(engine.clone(), fence)));
        // Another node may claim it in the same moment; the two hear of each other before either
        // gives an order that an engine would take from both.
        let first = if self.config.engines_check_fences {
            now
        } else {
            now + RECOVERY
        };
        self.seats.push(Seat::new(first, engine.clone(), fence));
        self.count_own(now, &engine);
        self.tell_claims(out);
        self.announced = now;
    }

    /// Gives up engines that are gone or leave.
    fn drop_gone(&mut self, fleet: &Fleet, out: &mut Vec<Action>) {
        self.seats.retain(|seat| {
            let kept = fleet
                .upstream(&seat.engine)
                .is_some_and(UpstreamState::is_eligible);
            if !kept {
                out.push(Action::Log(Decision::Released(seat.engine.clone(), "gone")));
            }
            kept
        });
        let known = |id: &Upstream| fleet.upstream(id).is_some();
        self.claims.retain(|claim| known(&claim.engine));
        self.vacant.retain(|(id, _)| known(id));
    }

    /// Announces all claims when that is due.
    pub(super) fn announce(&mut self, now: Time, fleet: &Fleet, out: &mut Vec<Action>) {
        if now >= self.announced + ANNOUNCE {
            self.announced = now;
            self.tell_claims(out);
            self.told += 1;
            // In a large fleet holdings are told more rarely, to keep what a node takes in bounded.
            let every = self.live.len().div_ceil(HOLDINGS_PEERS).max(1);
            if self.told.is_multiple_of(every) {
                self.tell_holdings(now, fleet, out);
            }
        }
    }

    fn tell_holdings(&self, now: Time, fleet: &Fleet, out: &mut Vec<Action>) {
        for seat in self.seats.iter().filter(|seat| seat.raised) {
            if let Some(runner) = fleet.upstream(&seat.engine) {
                let message = Message::Holdings {
                    engine: seat.engine.clone(),
                    holdings: runner.holdings(now),
                };
                self.tell(&message, out);
            }
        }
    }

    pub(super) fn tell_claims(&self, out: &mut Vec<Action>) {
        self.tell(&self.announcement(), out);
    }

    fn announcement(&self) -> Message {
        if self.seats.is_empty() && !self.safe(self.now) {
            Message::NotClaiming
        } else {
            Message::Claims(self.own_claims())
        }
    }

    /// Takes a peer's claims in, none where it does not claim yet; the higher number wins.
    pub(super) fn hear(
        &mut self,
        now: Time,
        from: &Vm,
        claims: Option<Vec<(Upstream, Fence)>>,
        out: &mut Vec<Action>,
    ) {
        let before = self.contact.hear(now, from, claims.is_some());
        let claims = claims.unwrap_or_default();
        // A node that the view lacks is told what this one claims, since nobody else may do so.
        let recent = before.is_some_and(|before| now < before + ANNOUNCE);
        let mut contested = !recent && !self.lives(from) && !self.parting.contains(from);
        self.give_up(now, from, &claims);
        let mut used = Vec::new();
        for (engine, fence) in claims {
            self.saw(&engine, fence);
            let seen = self.seen(&engine).unwrap_or_default();
            if let Some(seat) = self.seat(&engine) {
                if fence < seat.fence {
                    contested = true;
                    continue;
                }
                self.yield_seat(&engine, "superseded", out);
                self.stand_back(now, &engine);
            } else if fence < seen {
                used.push((engine.clone(), seen));
            }
            let new = self.record(now, engine.clone(), from, fence);
            if new {
                self.tell_uses(now, &engine, out);
            }
        }
        if contested {
            out.push(Action::Send {
                to: from.clone(),
                message: self.announcement(),
            });
        }
        if !used.is_empty() {
            out.push(Action::Send {
                to: from.clone(),
                message: Message::HigherFences(used),
            });
        }
    }

    /// Gives up what is claimed by a lower number than one that was used before, of a holder that
    /// this node has never heard of. It is claimed again by a higher one.
    pub(super) fn raise(&mut self, numbers: Vec<(Upstream, Fence)>, out: &mut Vec<Action>) {
        for (engine, fence) in numbers {
            self.saw(&engine, fence);
            if self.seat(&engine).is_some_and(|seat| seat.fence < fence) {
                self.yield_seat(&engine, "number used before", out);
            }
        }
    }

    /// Notes what a peer no longer announces: it has given that up, but an order may be under way.
    fn give_up(&mut self, now: Time, holder: &Vm, claims: &[(Upstream, Fence)]) {
        let Config {
            engines_check_fences,
            lease,
            ..
        } = self.config;
        self.claims.retain_mut(|claim| {
            let announced = claims.iter().any(|(id, _)| *id == claim.engine);
            if claim.holder == *holder && !announced && !claim.given_up {
                claim.given_up = true;
                claim.until = now + lease;
            }
            !engines_check_fences || !claim.given_up
        });
    }

    /// Records a claim. Returns whether it is another one than before.
    fn record(&mut self, now: Time, engine: Upstream, holder: &Vm, fence: Fence) -> bool {
        let claim = Claim {
            engine,
            holder: holder.clone(),
            fence,
            heard: Some(now),
            until: now + self.config.lease,
            given_up: false,
        };
        let index = match self.claim_of(&claim.engine) {
            Ok(index) => index,
            Err(index) => {
                self.claims.insert(index, claim);
                return true;
            }
        };
        let known = &self.claims[index];
        let new = known.fence != fence || known.holder != *holder;
        let wins = known.fence <= fence || !self.stands(known);
        if wins {
            self.claims[index] = claim;
        }
        wins && new
    }

    pub(super) fn released(&mut self, from: &Vm, claims: Vec<(Upstream, Fence)>) {
        for (engine, fence) in claims {
            self.saw(&engine, fence);
            self.claims
                .retain(|claim| claim.engine != engine || claim.holder != *from);
        }
    }

    /// Stops ordering at `engine`.
    pub(super) fn yield_seat(&mut self, engine: &str, why: &'static str, out: &mut Vec<Action>) {
        if let Some(index) = self.seats.iter().position(|seat| *seat.engine == *engine) {
            let seat = self.seats.remove(index);
            out.push(Action::Log(Decision::Released(seat.engine, why)));
        }
    }

    fn seen(&self, engine: &str) -> Option<Fence> {
        let seen = self.fences.iter().find(|(id, _)| **id == *engine);
        seen.map(|(_, fence)| *fence)
    }

    /// Raises the highest number seen for `engine`.
    pub(super) fn saw(&mut self, engine: &Upstream, fence: Fence) {
        match self.fences.iter_mut().find(|(id, _)| id == engine) {
            Some((_, seen)) => *seen = (*seen).max(fence),
            None => self.fences.push((engine.clone(), fence)),
        }
    }

    /// Notes that a number of another node, higher than `fence`, is in force at `engine`. How much
    /// higher is not known: this VM's clock may be far behind, so each refusal raises it by more.
    pub(super) fn outbid(&mut self, now: Time, engine: &Upstream, fence: Fence) {
        let times = match self.refused.iter_mut().find(|(id, _)| id == engine) {
            Some((_, times)) => {
                *times += 1;
                *times
            }
            None => {
                self.refused.push((engine.clone(), 0));
                0
            }
        };
        let seconds = JUMP << (JUMP_BITS * times.min(JUMPS_MAX));
        self.saw(engine, fence + (seconds << MARK_BITS));
        self.stand_back(now, engine);
    }

    /// Claims an engine that another node took over only after the lease, so that the two do not
    /// order in turn. Whoever holds it announces that.
    fn stand_back(&mut self, now: Time, engine: &Upstream) {
        self.barred.retain(|(id, _)| id != engine);
        self.barred.push((engine.clone(), now + self.config.lease));
    }
}
