//! Leases that this node holds, and how it acquires, renews and gives them back.
//!
//! Each engine has a few witnesses among the nodes known to discovery, live or not. A node claims
//! an engine and gives orders there only while it holds the leases of a majority of them (Gray and
//! Cheriton, 1989). Two majorities share a witness, so a node that takes an engine over begins only
//! after the former owner has stopped, whatever the two know of each other.
//!
//! Majorities of sets that differ need not share one. While a set is new, the leases of all of its
//! witnesses but one are required, which share one with every majority of a set that differs by one
//! member; and a witness grants a new lease only if it has known the candidate's set for a while.

mod table;

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wire::machine::millis;
use wire::{Fence, Time, Upstream, Vm, rank};

use super::owned_engine::OrderState;
use super::{Action, Message, Owner};
use table::Lease;
pub(super) use table::LeaseTable;

/// Time for which a witness grants a lease. It is shorter than the time within which orders of two
/// nodes must not take turns.
pub const TERM: Duration = Duration::from_millis(1_800);

/// Time by which a holder ends a lease early, for orders in flight and clocks that drift.
const MARGIN: Duration = Duration::from_millis(200);

/// Age at which a lease is renewed.
const RENEWAL: Duration = Duration::from_millis(600);

/// Time after which a request without an answer is repeated.
const RETRY: Duration = Duration::from_millis(300);

/// Requests due within this time are sent with the earlier ones of the same witness.
const BATCH: Duration = Duration::from_millis(200);

/// Time within which news of a node reaches the nodes that do not know it yet. Until then a majority
/// of a set of witnesses that includes the node is not enough.
const SETTLING: Duration = Duration::from_secs(5);

/// Time for which a witness has to know the same witnesses before it grants the lease to a candidate:
/// nodes that start find each other in steps of a second.
pub(super) const QUIET: Duration = Duration::from_secs(2);

/// Number of witnesses of an engine.
const WITNESSES: usize = 5;

/// Time within which a candidate gets a majority, or gives back what it got.
const ATTEMPT: Duration = Duration::from_millis(600);

/// Shortest delay between two attempts of a candidate, and greatest addition to it that differs
/// between nodes, so that two candidates do not go on splitting the witnesses.
const ATTEMPT_DELAY: Duration = Duration::from_millis(300);
const ATTEMPT_SPREAD_MS: u64 = 500;

/// Delay of the next request to a witness that knows of other witnesses.
pub(super) const DISAGREEMENT_DELAY: Duration = Duration::from_millis(300);

/// A lease that a node asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseClaim {
    /// The engine.
    pub engine: Upstream,
    /// Fencing token of the sender's claim, 0 if it has not claimed the engine yet.
    pub fence: Fence,
    /// Digest of the engine's witnesses as the sender knows them, `None` if it may order by its leases
    /// at the moment, or owns the engine and holds those of a majority.
    pub electors: Option<u64>,
}

impl LeaseClaim {
    /// Returns whether the sender holds the lease already.
    pub(super) const fn is_renewal(&self) -> bool {
        self.electors.is_none()
    }
}

/// A lease that a witness does not grant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The engine.
    pub engine: Upstream,
    /// The node that holds the lease, if that is the reason.
    pub holder: Option<Vm>,
    /// Fencing token of the holder, 0 if it has not claimed the engine yet.
    pub fence: Fence,
    /// Milliseconds until the lease may be granted.
    pub wait: u32,
}

impl Refusal {
    /// Returns a refusal for another reason than a holder.
    pub(super) fn unnamed(engine: &Upstream, wait: Duration) -> Self {
        Self {
            engine: engine.clone(),
            holder: None,
            fence: 0,
            wait: millis(wait),
        }
    }
}

/// Returns the witnesses of `engine` among `known`, in rendezvous order.
pub(super) fn witnesses<'a>(engine: &str, known: impl IntoIterator<Item = &'a Vm>) -> Vec<Vm> {
    let key = rank::hash(engine.as_bytes());
    let top = rank::top(key, known, WITNESSES);
    top.into_iter().cloned().collect()
}

/// Returns a digest of `witnesses`.
pub(super) fn digest(witnesses: &[Vm]) -> u64 {
    let hashes = witnesses.iter().map(|vm| rank::hash(vm.as_bytes()));
    hashes.fold(0, |digest, hash| digest ^ hash)
}

impl Owner {
    /// Returns the time until a majority of the witnesses may grant leases, if they started when
    /// this node did.
    pub(super) fn witnesses_ready_in(&self, now: Time) -> Duration {
        if self.knows_nobody() {
            Duration::ZERO
        } else {
            self.witness.unready_for(now)
        }
    }

    /// Recomputes the witnesses of all engines of this node.
    pub(super) fn reassign_witnesses(&mut self) {
        for index in 0..self.leases.leases.len() {
            let (assigned, since) = self.witnesses(&self.leases.leases[index].engine);
            self.leases.leases[index].assign(&self.config.me, assigned, since);
        }
    }

    /// Asks for the leases of owned engines and of the `wanted` ones, which are sorted. Gives up
    /// engines whose leases were lost.
    pub(super) fn maintain_leases(
        &mut self,
        now: Time,
        wanted: &[Upstream],
        out: &mut Vec<Action>,
    ) {
        self.witness.prune(now);
        self.withdraw_candidacies(now, wanted, out);
        let owned: Vec<Upstream> = self.owned().map(|(engine, _)| engine.clone()).collect();
        for engine in owned.iter().chain(wanted) {
            if let Err(index) = self.leases.find(engine) {
                let (assigned, since) = self.witnesses(engine);
                let lease = Lease::new(now, engine.clone(), &self.config.me, assigned, since);
                self.leases.leases.insert(index, lease);
            }
        }
        self.request_leases(now, out);
        self.limit_attempts(now, wanted, out);
        self.release_lost(now, &owned, out);
    }

    fn release_lost(&mut self, now: Time, owned: &[Upstream], out: &mut Vec<Action>) {
        for engine in owned {
            let Ok(index) = self.leases.find(engine) else {
                continue;
            };
            let lease = &mut self.leases.leases[index];
            if lease.holds(now) {
                lease.lost_since = None;
            } else if now >= *lease.lost_since.get_or_insert(now) + self.config.lease {
                self.release_engine(engine, "lease lost", out);
            }
        }
    }

    /// Gives back the leases of candidates that have not got a majority in time.
    fn limit_attempts(&mut self, now: Time, wanted: &[Upstream], out: &mut Vec<Action>) {
        for engine in wanted {
            let Ok(index) = self.leases.find(engine) else {
                continue;
            };
            let lease = &mut self.leases.leases[index];
            if lease.votes.iter().all(|vote| vote.until.is_zero()) {
                lease.attempt_began = now;
            } else if !lease.holds(now) && now >= lease.attempt_began + ATTEMPT {
                self.retry_later(now, index, out);
            }
        }
    }

    /// Gives back what a candidate has got, and lets it try again later.
    fn retry_later(&mut self, now: Time, index: usize, out: &mut Vec<Action>) {
        let lease = &mut self.leases.leases[index];
        lease.attempts += 1;
        let spread = format!("{} {} {}", self.config.me, lease.engine, lease.attempts);
        let spread = rank::hash(spread) % ATTEMPT_SPREAD_MS;
        let next = now + ATTEMPT_DELAY + Duration::from_millis(spread);
        let granted = lease.forfeit(now, next);
        let engine = lease.engine.clone();
        self.give_back(now, &engine, granted, out);
    }

    /// Ends the candidacy for engines that are not in `wanted`, which is sorted.
    fn withdraw_candidacies(&mut self, now: Time, wanted: &[Upstream], out: &mut Vec<Action>) {
        let is_unwanted = |lease: &&Lease| {
            wanted.binary_search(&lease.engine).is_err()
                && self.owned_engine(&lease.engine).is_none()
        };
        let unwanted = self.leases.leases.iter().filter(is_unwanted);
        let unwanted: Vec<Upstream> = unwanted.map(|lease| lease.engine.clone()).collect();
        for engine in unwanted {
            self.drop_lease(now, &engine, true, out);
        }
    }

    /// Drops the lease of `engine`; `settled` is whether no order is in flight, so that the
    /// witnesses may grant it to others at once.
    pub(super) fn drop_lease(
        &mut self,
        now: Time,
        engine: &str,
        settled: bool,
        out: &mut Vec<Action>,
    ) {
        let Ok(index) = self.leases.find(engine) else {
            return;
        };
        let mut lease = self.leases.leases.remove(index);
        let granted = lease.forfeit(now, now);
        if settled {
            self.give_back(now, &lease.engine, granted, out);
        }
    }

    fn give_back(
        &mut self,
        now: Time,
        engine: &Upstream,
        witnesses: Vec<Vm>,
        out: &mut Vec<Action>,
    ) {
        let round = self.leases.last_round;
        let me = self.config.me.clone();
        for witness in witnesses {
            // An answer that is still to come would count a lease that has been given back.
            for open in &mut self.leases.rounds {
                if open.witness == witness {
                    open.engines.retain(|asked| asked != engine);
                }
            }
            if witness == me {
                self.witness.give_back(now, &me, round, engine);
                continue;
            }
            out.push(Action::Send {
                to: witness,
                message: Message::ReturnLeases {
                    round,
                    engines: vec![engine.clone()],
                },
            });
        }
    }

    /// Returns whether no order of this node to `engine` can arrive after one of the next owner.
    pub(super) fn is_settled(&self, engine: &str) -> bool {
        let owned = self.owned_engine(engine);
        let in_flight = owned.is_some_and(|owned| owned.state == OrderState::InFlight);
        self.config.engines_check_fences || !in_flight
    }

    /// Gives all leases back, except those of engines with an order in flight.
    pub(super) fn return_leases(&mut self, now: Time, out: &mut Vec<Action>) {
        let engines = self.leases.leases.iter().map(|lease| lease.engine.clone());
        for engine in engines.collect::<Vec<_>>() {
            let settled = self.is_settled(&engine);
            self.drop_lease(now, &engine, settled, out);
        }
    }

    /// Drops all votes after a pause of this process. Its claims stand if the witnesses renew them.
    pub(super) fn void_leases(&mut self) {
        for lease in &mut self.leases.leases {
            lease.forfeit(Time::ZERO, Time::ZERO);
        }
        self.leases.rounds.clear();
    }

    /// Sends the requests that are due, one message to each witness.
    fn request_leases(&mut self, now: Time, out: &mut Vec<Action>) {
        let mut due: Vec<Vm> = Vec::new();
        let votes = self.leases.leases.iter().flat_map(|lease| &lease.votes);
        for vote in votes.filter(|vote| vote.ask_at <= now) {
            if let Err(index) = due.binary_search(&vote.witness) {
                due.insert(index, vote.witness.clone());
            }
        }
        for witness in due {
            let claims = self.due_claims(now, &witness);
            let engines = claims.iter().map(|claim| claim.engine.clone()).collect();
            let round = self.leases.next_round(now, &witness, engines);
            if witness == self.config.me {
                let (higher, refused) = self.witness_claims(now, &witness, round, &claims, out);
                self.handle_lease_reply(now, &witness, round, higher, refused, out);
            } else {
                out.push(Action::Send {
                    to: witness,
                    message: Message::RequestLeases { round, claims },
                });
            }
        }
    }

    fn due_claims(&mut self, now: Time, witness: &Vm) -> Vec<LeaseClaim> {
        let mut claims = Vec::new();
        let owned_engines = &self.owned_engines;
        for lease in &mut self.leases.leases {
            let vote = lease
                .votes
                .iter_mut()
                .find(|vote| vote.witness == *witness && vote.ask_at <= now + BATCH);
            let Some(vote) = vote else { continue };
            vote.ask_at = now + RETRY;
            let owned = owned_engines
                .iter()
                .find(|owned| owned.engine == lease.engine);
            let renewed = lease.holds(now) || owned.is_some() && now < lease.until;
            claims.push(LeaseClaim {
                engine: lease.engine.clone(),
                fence: owned.map_or(0, |owned| owned.fence),
                electors: (!renewed).then_some(lease.electors),
            });
        }
        claims
    }

    /// Counts what a witness has granted and takes in who holds what it has not.
    pub(super) fn handle_lease_reply(
        &mut self,
        now: Time,
        witness: &Vm,
        round: u64,
        higher: Vec<(Upstream, Fence)>,
        refused: Vec<Refusal>,
        out: &mut Vec<Action>,
    ) {
        let Some(round) = self.leases.take_round(witness, round) else {
            return;
        };
        let mut unwanted = Vec::new();
        for engine in &round.engines {
            if refused.iter().any(|refusal| refusal.engine == *engine) {
                continue;
            }
            match self.leases.find(engine) {
                Ok(index) => {
                    let until = round.sent + TERM - MARGIN;
                    self.leases.leases[index].grant(witness, until, round.sent + RENEWAL);
                }
                Err(_) => unwanted.push(engine.clone()),
            }
        }
        for engine in unwanted {
            self.give_back(now, &engine, vec![witness.clone()], out);
        }
        for (engine, fence) in &higher {
            self.observe_fence(engine, *fence);
        }
        self.handle_higher_fences(higher, out);
        for refusal in refused {
            self.handle_refusal(now, witness, refusal, out);
        }
    }

    fn handle_refusal(&mut self, now: Time, witness: &Vm, refusal: Refusal, out: &mut Vec<Action>) {
        let Ok(index) = self.leases.find(&refusal.engine) else {
            return;
        };
        let wait = Duration::from_millis(refusal.wait.into());
        let owned = self.owned_engine(&refusal.engine).is_some();
        let lease = &mut self.leases.leases[index];
        if let Some(vote) = lease.votes.iter_mut().find(|vote| vote.witness == *witness) {
            vote.until = Time::ZERO;
            // An owner goes on asking: the lease may be given back any time.
            vote.ask_at = if owned {
                now + wait.min(RETRY)
            } else {
                now + wait.min(TERM)
            };
        }
        lease.update();
        let held = lease.holds(now);
        let Some(holder) = refusal.holder.filter(|holder| *holder != self.config.me) else {
            return;
        };
        if held {
            return;
        }
        if refusal.fence == 0 {
            // Another candidate has asked first.
            if !owned {
                self.retry_later(now, index, out);
            }
            return;
        }
        if owned {
            self.release_engine(&refusal.engine, "superseded", out);
        } else {
            self.drop_lease(now, &refusal.engine, true, out);
        }
        self.observe_fence(&refusal.engine, refusal.fence);
        self.record_lease(now, refusal.engine, &holder, refusal.fence, now + wait);
    }
}
