//! The leases and requests of one node.

use wire::{Time, Upstream, Vm};

use super::{MARGIN, SETTLING, digest};

/// Number of requests to one witness whose answers are awaited.
const ROUNDS_MAX: usize = 3;

/// Number of witnesses from which on one may be missing while their set is new.
const SPARING_MIN: usize = 5;

/// What one witness has granted.
#[derive(Clone, Debug)]
pub(super) struct Vote {
    pub(super) witness: Vm,
    pub(super) until: Time,
    pub(super) ask_at: Time,
}

/// The leases of one engine that this node owns or is about to claim.
#[derive(Clone, Debug)]
pub(super) struct Lease {
    pub(super) engine: Upstream,
    /// One vote for each witness, in rendezvous order.
    pub(super) votes: Vec<Vote>,
    /// When the current attempt of a candidate began.
    pub(super) attempt_began: Time,
    pub(super) attempts: u32,
    /// Digest of the witnesses.
    pub(super) electors: u64,
    /// Whether this node is the only witness, so that nobody else can get the lease.
    pub(super) sole: bool,
    /// When the witnesses will have been the same for [`SETTLING`].
    pub(super) settled_at: Time,
    /// Until when this node holds a majority.
    pub(super) until: Time,
    /// Until when this node holds the leases of all witnesses, but for one of [`SPARING_MIN`] or more.
    pub(super) most_until: Time,
    /// Since when an owner may not order by its leases.
    pub(super) lost_since: Option<Time>,
}

/// A request to a witness that has not been answered.
#[derive(Clone, Debug)]
pub(super) struct Round {
    pub(super) witness: Vm,
    pub(super) number: u64,
    pub(super) sent: Time,
    pub(super) engines: Vec<Upstream>,
}

/// Leases that this node holds or asks for.
#[derive(Clone, Debug, Default)]
pub(in super::super) struct LeaseTable {
    /// Sorted by engine.
    pub(super) leases: Vec<Lease>,
    pub(super) rounds: Vec<Round>,
    pub(super) last_round: u64,
}

impl Lease {
    pub(super) fn new(
        now: Time,
        engine: Upstream,
        me: &Vm,
        assigned: Vec<Vm>,
        since: Option<Time>,
    ) -> Self {
        let mut lease = Self {
            votes: Vec::new(),
            attempt_began: now,
            attempts: 0,
            electors: 0,
            sole: false,
            settled_at: Time::ZERO,
            until: Time::ZERO,
            most_until: Time::ZERO,
            lost_since: None,
            engine,
        };
        lease.assign(me, assigned, since);
        lease
    }

    /// Replaces the witnesses, the last one of which was first heard of at `since`, keeping what the
    /// remaining ones have granted.
    pub(super) fn assign(&mut self, me: &Vm, assigned: Vec<Vm>, since: Option<Time>) {
        let mut before = std::mem::take(&mut self.votes);
        self.electors = digest(&assigned);
        self.settled_at = since.map_or(Time::ZERO, |since| since + SETTLING);
        for witness in assigned {
            let kept = before.iter().position(|vote| vote.witness == witness);
            self.votes.push(match kept {
                Some(index) => before.swap_remove(index),
                None => Vote {
                    witness,
                    until: Time::ZERO,
                    ask_at: Time::ZERO,
                },
            });
        }
        self.sole = self.votes.iter().all(|vote| vote.witness == *me);
        self.update();
    }

    /// Recomputes until when a majority is held. Of an even number of witnesses, half is enough if
    /// the first one is among them.
    pub(super) fn update(&mut self) {
        let mut ends: Vec<Time> = self.votes.iter().map(|vote| vote.until).collect();
        ends.sort_unstable_by(|a, b| b.cmp(a));
        let majority = ends.get(ends.len() / 2).copied().unwrap_or_default();
        let half = match (self.votes.first(), ends.len()) {
            (Some(first), count) if count.is_multiple_of(2) => first.until.min(ends[count / 2 - 1]),
            _ => Time::ZERO,
        };
        self.until = majority.max(half);
        let spared = usize::from(ends.len() >= SPARING_MIN);
        let most = ends.iter().rev().nth(spared);
        self.most_until = most.copied().unwrap_or_default();
        if self.sole && !self.until.is_zero() {
            self.until = Time::MAX;
        }
    }

    /// Returns whether enough leases are held for orders: those of a majority, or of all witnesses but
    /// one while their set is new and other nodes may know an older one.
    pub(super) fn holds(&self, now: Time) -> bool {
        now < self.most_until || now < self.until && now >= self.settled_at
    }

    pub(super) fn grant(&mut self, witness: &Vm, until: Time, renew_at: Time) {
        if let Some(vote) = self.votes.iter_mut().find(|vote| vote.witness == *witness) {
            vote.until = vote.until.max(until);
            vote.ask_at = renew_at;
        }
        self.update();
    }

    /// Forgets all votes. Returns the witnesses that may count them still.
    pub(super) fn forfeit(&mut self, now: Time, next: Time) -> Vec<Vm> {
        let mut granted = Vec::new();
        for vote in &mut self.votes {
            if now < vote.until + MARGIN {
                granted.push(vote.witness.clone());
            }
            vote.until = Time::ZERO;
            vote.ask_at = next;
        }
        self.until = Time::ZERO;
        self.most_until = Time::ZERO;
        granted
    }
}

impl LeaseTable {
    pub(super) fn find(&self, engine: &str) -> Result<usize, usize> {
        self.leases
            .binary_search_by(|lease| (*lease.engine).cmp(engine))
    }

    /// Returns whether orders to `engine` are allowed.
    pub(in super::super) fn holds(&self, now: Time, engine: &str) -> bool {
        let found = self.find(engine).ok();
        found.is_some_and(|index| self.leases[index].holds(now))
    }

    /// Returns how many witnesses have granted the lease of `engine`, and how many there are.
    pub(in super::super) fn granted(&self, now: Time, engine: &str) -> (usize, usize) {
        let Ok(index) = self.find(engine) else {
            return (0, 0);
        };
        let votes = &self.leases[index].votes;
        let granted = votes.iter().filter(|vote| now < vote.until).count();
        (granted, votes.len())
    }

    pub(super) fn next_round(&mut self, now: Time, witness: &Vm, engines: Vec<Upstream>) -> u64 {
        self.last_round += 1;
        let others = self.rounds.iter().filter(|r| r.witness == *witness).count();
        if others >= ROUNDS_MAX
            && let Some(oldest) = self.rounds.iter().position(|r| r.witness == *witness)
        {
            self.rounds.remove(oldest);
        }
        self.rounds.push(Round {
            witness: witness.clone(),
            number: self.last_round,
            sent: now,
            engines,
        });
        self.last_round
    }

    pub(super) fn take_round(&mut self, witness: &Vm, number: u64) -> Option<Round> {
        let index = self
            .rounds
            .iter()
            .position(|round| round.number == number && round.witness == *witness)?;
        Some(self.rounds.remove(index))
    }
}
