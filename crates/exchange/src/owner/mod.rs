//! Ownership of engines: which node orders the loads and unloads of an engine.
//!
//! One node at a time owns an engine and is the only one that orders loads and unloads there.
//! Ownership lasts as long as the owner lives. An engine without an owner is claimed by the first
//! live node of its rendezvous order that gets the engine's lease from a majority of its witnesses
//! (module `lease`), and is given orders only while the lease lasts. There is no consensus: if two
//! nodes claim the same engine nevertheless, the higher fencing token wins, and an engine that
//! checks tokens refuses the lower one. For engines that do not check tokens, the `quorum` module
//! also stops an owner from giving orders once other nodes may have taken the engine over.
//!
//! Fencing tokens need no storage. A token is the wall clock in seconds, raised above every token
//! seen for that engine, followed by bits that are unique to the VM.

mod claim;
mod contention;
mod decline;
mod electorate;
mod event;
mod lease;
mod load_estimate;
mod local_requests;
mod message;
mod notify;
mod order_count;
mod owned_engine;
mod pending_load;
mod quorum;
mod replicas;
mod scheduling;
mod usage;
mod witness;

use std::time::Duration;

use wire::machine::millis;
use wire::{Fence, Time, Upstream, Vm};

use claim::{FenceRefusal, Unclaimed};
use contention::Contention;
use decline::Declines;
use electorate::Electorate;
pub use event::{Action, AdmissionRequest, Decision, Event, Grant, Grounds};
use lease::LeaseTable;
pub use lease::{LeaseClaim, Refusal};
use local_requests::LocalRequest;
pub use message::{Message, RelativePresence};
pub use notify::apply_to_fleet;
use notify::push_residency;
use owned_engine::OwnedEngine;
pub use owned_engine::{Answer, Order, REPLICA_RANK};
use pending_load::LoadSlowdown;
use quorum::QuorumTracker;
use usage::{ExpectedRun, RunSlowdown};
use witness::Witness;

use crate::demand::Target;
use crate::fleet::{Fleet, Presence};

/// Interval between two announcements of all claims.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time for which an engine must stay unclaimed before a node claims it, so that claims already on
/// their way arrive first.
pub const CLAIM_DELAY: Duration = Duration::from_millis(300);

/// Time for which an announcement shows that its sender is alive, whether or not the membership
/// view lists it yet: two announcement intervals.
const ANNOUNCE_TTL: Duration = Duration::from_millis(2_000);

/// Time without orders after this process was paused, and after a claim of an engine that does not
/// check tokens. It is longer than [`ANNOUNCE_INTERVAL`], so that every peer has announced what it
/// claimed meanwhile.
pub const ORDER_HOLDOFF: Duration = Duration::from_millis(1_200);

/// Settings of an [`Owner`].
#[derive(Clone, Debug)]
pub struct Config {
    /// The VM of this node.
    pub me: Vm,
    /// Low bits of the fencing tokens of this VM, unique to it and below 2^24.
    pub vm_bits: u64,
    /// Time after which no order of a former owner that fell silent can arrive any more.
    pub lease: Duration,
    /// Whether engines refuse orders with an outdated fencing token.
    pub engines_check_fences: bool,
    /// Time to load an adapter from the store.
    pub load_time: Duration,
    /// Time to load an adapter that the engine held recently.
    pub reload_time: Duration,
    /// Number of adapters that one engine may load at the same time.
    pub parallel_loads: usize,
    /// Length of the window over which loads of base models are counted and limited.
    pub base_load_window: Duration,
}

/// An engine claimed by another node.
#[derive(Clone, Debug)]
struct PeerClaim {
    engine: Upstream,
    holder: Vm,
    fence: Fence,
    /// When the holder last announced the claim; `None` once the membership view has dropped the
    /// holder since.
    last_announced: Option<Time>,
    /// Until when orders of the holder may still arrive if it has died or fallen silent.
    orders_end: Time,
    /// Whether the holder has stopped announcing the claim.
    withdrawn: bool,
    /// End of the holder's lease that a witness has stated.
    lease_until: Time,
}

/// The ownership state machine of one node. It does no I/O and reads no clock.
#[derive(Clone, Debug)]
pub struct Owner {
    config: Config,
    live: Vec<Vm>,
    electorate: Electorate,
    // Nodes that are shutting down. They still have requests running, so they need to know the new
    // owners of their engines.
    leaving_peers: Vec<Vm>,
    may_claim: bool,
    leaving: bool,
    no_orders_before: Time,
    // Claims of other nodes, sorted by engine.
    peer_claims: Vec<PeerClaim>,
    // Highest fencing token seen for each engine, sorted by engine.
    highest_fences: Vec<(Upstream, Fence)>,
    unclaimed: Vec<Unclaimed>,
    fence_refusals: Vec<FenceRefusal>,
    // Unclaimed engines whose leases this node asks for, sorted.
    candidacies: Vec<Upstream>,
    // Engines that this node has given up, and until when this node must not claim
    // them.
    backoffs: Vec<(Upstream, Time)>,
    contention: Contention,
    quorum: QuorumTracker,
    leases: LeaseTable,
    witness: Witness,
    declines: Declines,
    owned_engines: Vec<OwnedEngine>,
    local_requests: Vec<LocalRequest>,
    base_loads: Vec<Time>,
    load_slowdown: LoadSlowdown,
    run_slowdown: RunSlowdown,
    announced_at: Time,
    holdings_announced_at: Time,
    /// Number of the next announcements that are made at the short interval.
    prompt_announcements: u32,
    /// Latest time passed to [`Owner::step`].
    now: Time,
    /// Wall clock in seconds at the last tick.
    wall_seconds: u64,
}

impl Owner {
    /// Creates the state of a node that owns no engine.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            live: Vec::new(),
            electorate: Electorate::default(),
            leaving_peers: Vec::new(),
            may_claim: false,
            leaving: false,
            no_orders_before: Time::ZERO,
            peer_claims: Vec::new(),
            highest_fences: Vec::new(),
            unclaimed: Vec::new(),
            fence_refusals: Vec::new(),
            candidacies: Vec::new(),
            backoffs: Vec::new(),
            contention: Contention::default(),
            quorum: QuorumTracker::default(),
            leases: LeaseTable::default(),
            witness: Witness::default(),
            declines: Declines::default(),
            owned_engines: Vec::new(),
            local_requests: Vec::new(),
            base_loads: Vec::new(),
            load_slowdown: LoadSlowdown::default(),
            run_slowdown: RunSlowdown::default(),
            announced_at: Time::ZERO,
            holdings_announced_at: Time::ZERO,
            prompt_announcements: claim::PROMPT_ANNOUNCEMENTS,
            now: Time::ZERO,
            wall_seconds: 0,
        }
    }

    /// Returns the engines that this node owns, with its fencing tokens.
    pub fn owned(&self) -> impl Iterator<Item = (&Upstream, Fence)> {
        self.owned_engines
            .iter()
            .map(|owned| (&owned.engine, owned.fence))
    }

    fn own_claims(&self) -> Vec<(Upstream, Fence)> {
        self.owned()
            .map(|(id, fence)| (id.clone(), fence))
            .collect()
    }

    /// Returns the owner of `engine`, as far as this node knows.
    pub fn holder(&self, engine: &str) -> Option<&Vm> {
        if self.owned_engine(engine).is_some() {
            return Some(&self.config.me);
        }
        let index = self.peer_claim_index(engine).ok()?;
        let claim = &self.peer_claims[index];
        self.is_valid(claim).then_some(&claim.holder)
    }

    /// Returns whether an order with `fence` may still be sent. To be checked right before the
    /// order is written to the connection.
    pub fn permits(&self, now: Time, engine: &str, fence: Fence) -> bool {
        let claimed = self
            .owned_engine(engine)
            .is_some_and(|owned| owned.fence == fence);
        claimed && self.may_order(now) && self.leases.holds(now, engine)
    }

    fn may_order(&self, now: Time) -> bool {
        !self.leaving && now >= self.no_orders_before && self.claims_secure(now)
    }

    /// Returns whether this node's claims are safe to act on: either no other node can have taken
    /// them over unnoticed, or the engines would refuse outdated orders.
    fn claims_secure(&self, now: Time) -> bool {
        self.config.engines_check_fences || self.quorum.held_for(now, self.config.lease)
    }

    /// Admits a request to an engine that this node owns. Returns `None` if another node owns it.
    pub fn admit(
        &mut self,
        now: Time,
        fleet: &Fleet,
        engine: &str,
        request: &AdmissionRequest,
    ) -> Option<Grant> {
        let slowdown = self.run_slowdown;
        let known = fleet.upstream(engine)?;
        let backlog = self.load_backlog(now, self.owned_engine(engine)?);
        let owned = self.owned_engine_mut(engine)?;
        let presence = known.presence(&request.target).as_of(now);
        let mut grant = Grant {
            presence,
            wait: Duration::ZERO,
            prefill_backlog: owned.meter.backlog(now),
            backlog,
            running: 0,
        };
        if matches!(presence, Presence::Held(version) if fleet.is_newest(&request.target, version))
        {
            grant.wait = owned.meter.admit(now, request.prefill, request.rank);
            grant.prefill_backlog = owned.meter.backlog(now);
            let run =
                ExpectedRun::expected(now + grant.wait, request.prefill + request.decode, slowdown);
            owned.usage.record_start(now, &request.target, run);
        }
        grant.running = owned.usage.running(now);
        Some(grant)
    }

    /// Records that an admitted request has ended. Returns `false` if this node does not own the
    /// engine.
    pub fn release_admission(&mut self, now: Time, engine: &str, target: &Target) -> bool {
        let mine = self.owned_engine(engine).is_some();
        self.end_request(now, engine, target);
        mine
    }

    fn end_request(&mut self, now: Time, engine: &str, target: &Target) {
        let owned = self.owned_engine_mut(engine);
        if let Some(ratio) = owned.and_then(|owned| owned.usage.record_end(now, target)) {
            self.run_slowdown.learn(ratio);
        }
    }

    /// Handles an event and appends the resulting actions to `out`.
    ///
    /// Orders are not among them: [`Owner::issue_orders`] decides on those, once the actions have
    /// been applied to the fleet.
    pub fn step(&mut self, now: Time, fleet: &Fleet, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.witness.start(now);
        match event {
            Event::View { live, may_claim } => self.update_view(live, may_claim, out),
            Event::KnownNodes(nodes) => self.update_known(now, nodes),
            Event::LeavingNodes(nodes) => self.leaving_peers = nodes,
            Event::Isolated(isolated) => self.set_isolated(isolated),
            Event::Reach { engine, direct } => self.record_reach(now, engine, direct),
            Event::Receive { from, message } => self.receive(now, fleet, &from, message, out),
            Event::RequestLoad {
                engine,
                target,
                rank,
            } => self.forward_load_request(now, fleet, engine, target, rank, out),
            Event::CancelLoadRequest { engine, target } => {
                let me = self.config.me.clone();
                self.cancel_load_request(&me, engine, target, out);
            }
            Event::Answered {
                engine,
                fence,
                order,
                answer,
            } => self.handle_answer(now, fleet, &engine, fence, order, answer, out),
            Event::ReportFetched {
                engine,
                succeeded,
                orders,
            } => {
                if succeeded {
                    self.record_order_count(now, &engine, orders);
                }
                self.handle_report(now, fleet, &engine, succeeded, orders, out);
            }
            Event::Paused => self.handle_pause(now, out),
            Event::Leave => self.leave(now, out),
            // Only wakes the caller: `issue_orders` then gives the orders that are due.
            Event::TimerExpired => {}
            Event::Tick { wall_seconds } => {
                self.update_electorate(now);
                let Config { me, .. } = &self.config;
                let changed = self.quorum.update(now, me, &self.live, self.may_claim);
                let reported = changed.filter(|_| !self.config.engines_check_fences);
                out.extend(reported.map(|reached| Action::Log(Decision::QuorumChanged(reached))));
                self.decline_unreached(now, out);
                self.claim_unclaimed(now, fleet, wall_seconds, out);
                self.announce(now, fleet, out);
            }
        }
    }

    fn owned_engine(&self, engine: &str) -> Option<&OwnedEngine> {
        self.owned_engines
            .iter()
            .find(|owned| *owned.engine == *engine)
    }

    fn owned_engine_mut(&mut self, engine: &str) -> Option<&mut OwnedEngine> {
        self.owned_engines
            .iter_mut()
            .find(|owned| *owned.engine == *engine)
    }

    fn is_live(&self, vm: &Vm) -> bool {
        self.live.binary_search(vm).is_ok()
    }

    fn peer_claim_index(&self, engine: &str) -> Result<usize, usize> {
        self.peer_claims
            .binary_search_by(|claim| (*claim.engine).cmp(engine))
    }

    /// Returns whether the claim has not been withdrawn, and its holder is alive or has a lease.
    fn is_valid(&self, claim: &PeerClaim) -> bool {
        self.is_upheld(claim) || !claim.withdrawn && self.now < claim.lease_until
    }

    /// Returns whether a node is known that owns `engine`, its lease aside.
    fn is_claimed(&self, engine: &str) -> bool {
        let claim = self.peer_claim_index(engine).ok();
        self.owned_engine(engine).is_some()
            || claim.is_some_and(|index| self.is_upheld(&self.peer_claims[index]))
    }

    /// Returns whether the claim has not been withdrawn and its holder is alive.
    fn is_upheld(&self, claim: &PeerClaim) -> bool {
        let announced = claim
            .last_announced
            .is_some_and(|at| self.now < at + self.announcement_lifetime());
        !claim.withdrawn && (announced || self.is_live(&claim.holder))
    }

    fn update_view(&mut self, mut live: Vec<Vm>, may_claim: bool, out: &mut Vec<Action>) {
        live.sort_unstable();
        live.dedup();
        for claim in &mut self.peer_claims {
            let lived = self.live.binary_search(&claim.holder).is_ok();
            if lived && live.binary_search(&claim.holder).is_err() {
                claim.last_announced = None;
                claim.orders_end = self.now + self.config.lease;
            }
        }
        let is_new = |vm: &&Vm| **vm != self.config.me && self.live.binary_search(vm).is_err();
        let joined: Vec<Vm> = live.iter().filter(is_new).cloned().collect();
        self.live = live;
        self.reassign_witnesses();
        self.may_claim = may_claim;
        self.greet(&joined, out);
    }

    fn receive(
        &mut self,
        now: Time,
        fleet: &Fleet,
        from: &Vm,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        match message {
            Message::Claims(claims) => self.handle_claims(now, from, Some(claims), out),
            Message::NotClaiming => self.handle_claims(now, from, None, out),
            Message::Holdings { engine, holdings } => {
                if self.owned_engine(&engine).is_none() {
                    out.push(Action::Holdings { engine, holdings });
                }
            }
            Message::Release(claims) => self.handle_release(from, claims),
            Message::RequestLoad {
                engine,
                target,
                rank,
            } => self.handle_load_request(now, fleet, from, engine, target, rank, out),
            Message::CancelLoadRequest { engine, target } => {
                self.cancel_load_request(from, engine, target, out);
            }
            Message::Residency {
                engine,
                target,
                presence,
                backlog,
            } => {
                let backlog = Duration::from_millis(backlog.into());
                push_residency(&engine, &target, presence.resolve(now), backlog, out);
            }
            Message::RequestAdmission {
                ticket,
                engine,
                target,
                prefill,
                decode,
                rank,
            } => {
                let request = AdmissionRequest {
                    target,
                    prefill: Duration::from_millis(prefill.into()),
                    decode: Duration::from_millis(decode.into()),
                    rank,
                };
                if let Some(grant) = self.admit(now, fleet, &engine, &request) {
                    let slots = fleet.upstream(&engine).map(|known| known.listing.slots);
                    if slots.is_some_and(|slots| grant.running > slots) {
                        self.tell_replicas(now, fleet, from, &engine, &request.target, out);
                    }
                    self.spread(now, fleet, &engine, &request.target, out);
                    out.push(Action::Send {
                        to: from.clone(),
                        message: Message::Grant {
                            ticket,
                            presence: RelativePresence::new(now, grant.presence),
                            wait: millis(grant.wait),
                            prefill_backlog: millis(grant.prefill_backlog),
                            backlog: millis(grant.backlog),
                            running: grant.running,
                        },
                    });
                }
            }
            Message::Replicas { target, engines } => {
                Self::hear_of_replicas(fleet, &target, engines, out);
            }
            Message::RequestLeases { round, claims } => {
                self.handle_lease_request(now, from, round, &claims, out);
            }
            Message::Leases {
                round,
                higher,
                refused,
            } => {
                self.handle_lease_reply(now, from, round, higher, refused, out);
                self.claim_leased(now, out);
            }
            Message::ReturnLeases { round, engines } => {
                for engine in engines {
                    self.witness.give_back(now, from, round, &engine);
                }
            }
            Message::Witnesses { engine, nodes } => {
                self.handle_witnesses(now, from, &engine, nodes, out);
            }
            Message::Declines(engines) => self.handle_declines(now, from, engines),
            Message::HigherFences(numbers) => self.handle_higher_fences(numbers, out),
            Message::InUse { engine, targets } => self.record_usage(now, &engine, &targets),
            Message::RequestEnded { engine, target } => self.end_request(now, &engine, &target),
            Message::Grant {
                ticket,
                presence,
                wait,
                prefill_backlog,
                backlog,
                running,
            } => out.push(Action::Granted {
                ticket,
                grant: Grant {
                    presence: presence.resolve(now),
                    wait: Duration::from_millis(wait.into()),
                    prefill_backlog: Duration::from_millis(prefill_backlog.into()),
                    backlog: Duration::from_millis(backlog.into()),
                    running,
                },
            }),
        }
    }

    fn handle_pause(&mut self, now: Time, out: &mut Vec<Action>) {
        self.no_orders_before = now + ORDER_HOLDOFF;
        self.quorum.reset();
        self.void_leases();
        self.unclaimed.clear();
        // Peers reply with the claims that they made in the meantime.
        self.announced_at = now;
        self.broadcast_claims(out);
    }

    fn leave(&mut self, now: Time, out: &mut Vec<Action>) {
        self.leaving = true;
        self.return_leases(now, out);
        // An order in flight may still reach the engine after those of the next owner, so an engine
        // that does not check tokens is released only if it has none.
        let fenced = self.config.engines_check_fences;
        let settled =
            |owned: &&OwnedEngine| fenced || owned.state != owned_engine::OrderState::InFlight;
        let claims: Vec<(Upstream, Fence)> = self
            .owned_engines
            .iter()
            .filter(settled)
            .map(|owned| (owned.engine.clone(), owned.fence))
            .collect();
        self.owned_engines.clear();
        if !claims.is_empty() {
            self.broadcast(&Message::Release(claims), out);
        }
    }
}
