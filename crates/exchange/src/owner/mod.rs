//! Who orders what an engine holds.
//!
//! One node at a time claims an engine and alone orders loads and unloads there. A claim stands as
//! long as its holder lives; an unclaimed engine goes to the first live node of its rendezvous
//! order. Nothing is agreed on: where two nodes claim one engine, the higher fencing number wins,
//! and the engine refuses the lower one where it looks at the number. Where it does not, `contact`
//! keeps a holder from ordering that others may have given up.
//!
//! Fencing numbers need no storage. A number is the wall clock's second, raised above every number
//! seen for that engine, followed by bits that belong to the VM alone.

mod claim;
mod contact;
mod event;
mod flight;
mod load;
mod message;
mod seat;
mod stay;
mod tell;
mod usage;

use std::time::Duration;

use wire::machine::millis;
use wire::{Fence, Time, Upstream, Vm};

use contact::Contact;
pub use event::{Action, AdmissionRequest, Decision, Event, Grant};
use flight::Pace;
pub use message::{Message, RelativePresence};
use seat::Seat;
pub use seat::{Answer, Order};
use stay::Stay;
pub use tell::apply_to_fleet;
use tell::stock;
use usage::{Span, Speed};

use crate::demand::Target;
use crate::fleet::{Fleet, Presence};

/// Time between two announcements of all claims.
pub const ANNOUNCE: Duration = Duration::from_millis(1_000);

/// Time for which an engine has to stay unclaimed before a node claims it, so that claims under way arrive first.
pub const SETTLE: Duration = Duration::from_millis(300);

/// Time for which an announcement shows that its sender lives, whether the view has it yet or not:
/// two announcements.
const HEARD: Duration = Duration::from_millis(2_000);

/// Time without orders after a pause of this process, in which peers tell what they claimed
/// meanwhile: longer than [`ANNOUNCE`].
pub const RECOVERY: Duration = Duration::from_millis(1_200);

/// Limits of an [`Owner`].
#[derive(Clone, Debug)]
pub struct Config {
    /// This VM.
    pub me: Vm,
    /// Bits of fencing numbers that belong to this VM alone, below 2^24.
    pub vm_bits: u64,
    /// Time after which the orders of a former holder that fell silent have ended.
    pub lease: Duration,
    /// Whether engines refuse old fencing numbers.
    pub engines_check_fences: bool,
    /// Time of an adapter's load from the store.
    pub load_time: Duration,
    /// Time of an adapter's load that the engine held lately.
    pub reload_time: Duration,
    /// Loads of adapters at one engine at a time.
    pub parallel_loads: usize,
    /// Length of the window over which starts of base models are counted.
    pub base_load_window: Duration,
}

/// A claim of a peer.
#[derive(Clone, Debug)]
struct Claim {
    engine: Upstream,
    holder: Vm,
    fence: Fence,
    /// When its holder announced it last; none once the view has dropped the holder since.
    heard: Option<Time>,
    /// Until when orders of its holder may arrive, should it have died or fallen silent.
    until: Time,
    /// Whether its holder has stopped to announce it.
    given_up: bool,
}

/// The ownership machine of one node.
#[derive(Clone, Debug)]
pub struct Owner {
    config: Config,
    live: Vec<Vm>,
    // Nodes that finish what they have, and need to know whom to tell of its end.
    parting: Vec<Vm>,
    may_claim: bool,
    leaving: bool,
    quiet_until: Time,
    // Claims of peers, sorted by engine.
    claims: Vec<Claim>,
    // Highest fencing number seen for an engine.
    fences: Vec<(Upstream, Fence)>,
    // Engines without a claim, and since when this node would be the one to claim them.
    vacant: Vec<(Upstream, Time)>,
    // How often engines refused this node's numbers.
    refused: Vec<(Upstream, u32)>,
    // Engines that another node took over from this one, and until when they are left to others.
    barred: Vec<(Upstream, Time)>,
    contact: Contact,
    seats: Vec<Seat>,
    stays: Vec<Stay>,
    starts: Vec<Time>,
    pace: Pace,
    speed: Speed,
    announced: Time,
    told: usize,
    /// Time of the last step.
    now: Time,
}

impl Owner {
    /// Makes the machine of a node that claims nothing.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            live: Vec::new(),
            parting: Vec::new(),
            may_claim: false,
            leaving: false,
            quiet_until: Time::ZERO,
            claims: Vec::new(),
            fences: Vec::new(),
            vacant: Vec::new(),
            refused: Vec::new(),
            barred: Vec::new(),
            contact: Contact::default(),
            seats: Vec::new(),
            stays: Vec::new(),
            starts: Vec::new(),
            pace: Pace::default(),
            speed: Speed::default(),
            announced: Time::ZERO,
            told: 0,
            now: Time::ZERO,
        }
    }

    /// Returns the engines that this node orders at, with its fencing numbers.
    pub fn owned(&self) -> impl Iterator<Item = (&Upstream, Fence)> {
        self.seats.iter().map(|seat| (&seat.engine, seat.fence))
    }

    fn own_claims(&self) -> Vec<(Upstream, Fence)> {
        self.owned()
            .map(|(id, fence)| (id.clone(), fence))
            .collect()
    }

    /// Returns the node that orders at `engine`, as far as this one knows.
    pub fn holder(&self, engine: &str) -> Option<&Vm> {
        if self.seat(engine).is_some() {
            return Some(&self.config.me);
        }
        let index = self.claim_of(engine).ok()?;
        let claim = &self.claims[index];
        self.stands(claim).then_some(&claim.holder)
    }

    /// Tells whether an order under `fence` may still be given, to be asked right before it is
    /// written.
    pub fn permits(&self, now: Time, engine: &str, fence: Fence) -> bool {
        let claimed = self.seat(engine).is_some_and(|seat| seat.fence == fence);
        claimed && self.may_order(now)
    }

    fn may_order(&self, now: Time) -> bool {
        !self.leaving && now >= self.quiet_until && self.safe(now)
    }

    /// Tells whether no other node can have taken this one's claims over unnoticed, or engines
    /// would refuse its orders.
    fn safe(&self, now: Time) -> bool {
        self.config.engines_check_fences || self.contact.lasts(now, self.config.lease)
    }

    /// Lets a request in at an engine of this node; `None` where another node orders there.
    pub fn admit(
        &mut self,
        now: Time,
        fleet: &Fleet,
        engine: &str,
        visit: &AdmissionRequest,
    ) -> Option<Grant> {
        let load = self.pace.expect(self.config.load_time);
        let speed = self.speed;
        let known = fleet.upstream(engine)?;
        let seat = self.seat_mut(engine)?;
        let presence = known.presence(&visit.target).as_of(now);
        let mut grant = Grant {
            presence,
            wait: Duration::ZERO,
            prefill_backlog: seat.meter.backlog(now),
            backlog: seat.backlog(now, load),
            running: 0,
        };
        if matches!(presence, Presence::Held(version) if fleet.is_newest(&visit.target, version)) {
            grant.wait = seat.meter.admit(now, visit.prefill, visit.rank);
            grant.prefill_backlog = seat.meter.backlog(now);
            let span = Span::expected(now + grant.wait, visit.prefill + visit.decode, speed);
            seat.uses.count(now, &visit.target, span);
        }
        grant.running = seat.uses.running(now);
        Some(grant)
    }

    /// Notes that a request that was let in is over. Returns `false` where another node orders
    /// there.
    pub fn release_admission(&mut self, now: Time, engine: &str, target: &Target) -> bool {
        let mine = self.seat(engine).is_some();
        self.done(now, engine, target);
        mine
    }

    fn done(&mut self, now: Time, engine: &str, target: &Target) {
        let seat = self.seat_mut(engine);
        if let Some(ratio) = seat.and_then(|seat| seat.uses.release(now, target)) {
            self.speed.learn(ratio);
        }
    }

    /// Takes an event in and appends the actions that follow, but for orders: those follow from
    /// [`Owner::issue_orders`] once the fleet shows what the actions say.
    pub fn step(&mut self, now: Time, fleet: &Fleet, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::View { live, may_claim } => self.see(live, may_claim),
            Event::LeavingNodes(nodes) => self.parting = nodes,
            Event::Receive { from, message } => self.receive(now, fleet, &from, message, out),
            Event::RequestLoad {
                engine,
                target,
                rank,
            } => self.want(now, fleet, engine, target, rank, out),
            Event::CancelLoadRequest { engine, target } => {
                let me = self.config.me.clone();
                self.unwant(&me, engine, target, out);
            }
            Event::Answered {
                engine,
                fence,
                order,
                answer,
            } => self.answered(now, fleet, &engine, fence, order, answer, out),
            Event::ReportFetched { engine, succeeded } => {
                self.inspected(now, fleet, &engine, succeeded, out)
            }
            Event::Paused => self.pause(now, out),
            Event::Leave => self.leave(out),
            // The orders that are due follow from `issue_orders`.
            Event::TimerExpired => {}
            Event::Tick { wall_seconds } => {
                let Config { me, .. } = &self.config;
                let changed = self.contact.update(now, me, &self.live, self.may_claim);
                let noted = changed.filter(|_| !self.config.engines_check_fences);
                out.extend(noted.map(|reached| Action::Log(Decision::QuorumChanged(reached))));
                self.claim(now, fleet, wall_seconds, out);
                self.announce(now, fleet, out);
            }
        }
    }

    fn seat(&self, engine: &str) -> Option<&Seat> {
        self.seats.iter().find(|seat| *seat.engine == *engine)
    }

    fn seat_mut(&mut self, engine: &str) -> Option<&mut Seat> {
        self.seats.iter_mut().find(|seat| *seat.engine == *engine)
    }

    fn lives(&self, vm: &Vm) -> bool {
        self.live.binary_search(vm).is_ok()
    }

    fn claim_of(&self, engine: &str) -> Result<usize, usize> {
        self.claims
            .binary_search_by(|claim| (*claim.engine).cmp(engine))
    }

    /// Tells whether a claim's holder lives.
    fn stands(&self, claim: &Claim) -> bool {
        let heard = claim.heard.is_some_and(|heard| self.now < heard + HEARD);
        !claim.given_up && (heard || self.lives(&claim.holder))
    }

    fn see(&mut self, mut live: Vec<Vm>, may_claim: bool) {
        live.sort_unstable();
        live.dedup();
        for claim in &mut self.claims {
            let lived = self.live.binary_search(&claim.holder).is_ok();
            if lived && live.binary_search(&claim.holder).is_err() {
                claim.heard = None;
                claim.until = self.now + self.config.lease;
            }
        }
        self.live = live;
        self.may_claim = may_claim;
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
            Message::Claims(claims) => self.hear(now, from, Some(claims), out),
            Message::NotClaiming => self.hear(now, from, None, out),
            Message::Holdings { engine, holdings } => {
                if self.seat(&engine).is_none() {
                    out.push(Action::Holdings { engine, holdings });
                }
            }
            Message::Release(claims) => self.released(from, claims),
            Message::RequestLoad {
                engine,
                target,
                rank,
            } => self.asked(now, fleet, from, engine, target, rank, out),
            Message::CancelLoadRequest { engine, target } => self.unwant(from, engine, target, out),
            Message::Residency {
                engine,
                target,
                presence,
                backlog,
            } => {
                let backlog = Duration::from_millis(backlog.into());
                stock(&engine, &target, presence.presence(now), backlog, out);
            }
            Message::RequestAdmission {
                ticket,
                engine,
                target,
                prefill,
                decode,
                rank,
            } => {
                let visit = AdmissionRequest {
                    target,
                    prefill: Duration::from_millis(prefill.into()),
                    decode: Duration::from_millis(decode.into()),
                    rank,
                };
                if let Some(grant) = self.admit(now, fleet, &engine, &visit) {
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
            Message::HigherFences(numbers) => self.raise(numbers, out),
            Message::InUse { engine, targets } => self.count_uses(now, &engine, &targets),
            Message::RequestEnded { engine, target } => self.done(now, &engine, &target),
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
                    presence: presence.presence(now),
                    wait: Duration::from_millis(wait.into()),
                    prefill_backlog: Duration::from_millis(prefill_backlog.into()),
                    backlog: Duration::from_millis(backlog.into()),
                    running,
                },
            }),
        }
    }

    fn pause(&mut self, now: Time, out: &mut Vec<Action>) {
        self.quiet_until = now + RECOVERY;
        self.contact.reset();
        self.vacant.clear();
        // Peers answer with what they claimed meanwhile.
        self.announced = now;
        self.tell_claims(out);
    }

    fn leave(&mut self, out: &mut Vec<Action>) {
        self.leaving = true;
        // An order under way may still arrive, after those of whoever takes the engine over.
        let fenced = self.config.engines_check_fences;
        let ended = |seat: &&Seat| fenced || seat.stage != seat::Stage::Flying;
        let claims: Vec<(Upstream, Fence)> = self
            .seats
            .iter()
            .filter(ended)
            .map(|seat| (seat.engine.clone(), seat.fence))
            .collect();
        self.seats.clear();
        if !claims.is_empty() {
            self.tell(&Message::Release(claims), out);
        }
    }
}
