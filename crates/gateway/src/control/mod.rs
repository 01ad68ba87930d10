//! Membership, ownership and orders: one actor and the tasks that it needs.

mod engines;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dispatch::culprit;
use exchange::owner;
use exchange::population::Population;
use log::info;
use node::decision;
use node::journal::DECISION;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use roster::seeds::{self, Record, Seeds};
use roster::{Note, Roster};
use wire::view::State as PeerState;
use wire::{Incarnation, Machine, Time, View, Vm, rank};

pub use engines::{inspect, order};

use crate::datagram::Message;
use crate::dialect::Dialect;
use crate::hub::{Hub, Peers, TURN};

/// Ticks between two pulses of a reader.
const PULSE_TICKS: u64 = 3;

/// Ticks between two looks at idle connections: what upstreams write there meanwhile fills no more
/// than the system's own buffers.
const SWEEP_TICKS: u64 = 5;

/// Time without a peer after which a node takes traffic alone.
const ALONE: Duration = Duration::from_millis(1_500);

/// Time after the first answer of a peer in which a node learns of the others and their claims.
const SETTLE: Duration = Duration::from_millis(500);

/// Time without a known peer after which a node that has seeds counts as isolated; nodes that start find each
/// other sooner.
const ISOLATION: Duration = Duration::from_secs(3);

/// Silence of the platform up to which a node that sees few peers may claim engines.
const STORE_SILENCE: Duration = Duration::from_secs(2);

/// What the actor is told.
#[derive(Debug)]
pub enum Input {
    /// A message came from another node.
    Receive(SocketAddr, Incarnation, Message),
    /// The settings name other seeds than before.
    Seeds(Vec<SocketAddr>),
    /// Time passed.
    Tick,
    /// The process leaves.
    Leave,
}

struct Control<D>(std::marker::PhantomData<D>);

/// What was published last.
#[derive(PartialEq, Eq)]
struct Shown {
    live: Vec<Vm>,
    leaving: Vec<Vm>,
    /// Records of all known nodes, sorted by VM.
    known: Vec<Record>,
    population: Population,
    fit: bool,
}

struct State<D> {
    hub: Arc<Hub<D>>,
    roster: Roster,
    seeds: Seeds,
    population: Population,
    view: View,
    shown: Option<Shown>,
    started: Time,
    /// Whether the settings have ever named another node.
    had_seeds: bool,
    /// Since when the present seeds are asked.
    asked_since: Time,
    /// Since when no other node is known, though the settings name some.
    alone_since: Option<Time>,
    isolated: bool,
    met_at: Option<Time>,
    ticks: u64,
}

/// Sends inputs to the actor.
#[derive(Clone)]
pub struct Handle(ActorRef<Input>);

impl Handle {
    /// Replaces the seeds.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.send(Input::Seeds(seeds));
    }

    /// Begins to leave: peers drop this node from their answers at once.
    pub fn leave(&self) {
        self.send(Input::Leave);
    }

    fn send(&self, input: Input) {
        // The actor ends only with the process.
        let _ = self.0.cast(input);
    }
}

/// Starts the actor and its sources.
///
/// # Errors
///
/// Returns the library's error where the actor does not start.
pub async fn start<D: Dialect>(hub: Arc<Hub<D>>) -> Result<Handle, ractor::SpawnErr> {
    let (actor, _) = Actor::spawn(None, Control(std::marker::PhantomData), hub.clone()).await?;
    let handle = Handle(actor);
    tokio::spawn(receive(hub.clone(), handle.clone()));
    tokio::spawn(tick(hub, handle.clone()));
    Ok(handle)
}

async fn receive<D: Dialect>(hub: Arc<Hub<D>>, handle: Handle) {
    loop {
        let (from, sender, message) = hub.post.receive().await;
        handle.send(Input::Receive(from, sender, message));
    }
}

async fn tick<D: Dialect>(hub: Arc<Hub<D>>, handle: Handle) {
    let mut ticks = tokio::time::interval(TURN);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        hub.record_turn();
        handle.send(Input::Tick);
    }
}

impl<D: Dialect> Actor for Control<D> {
    type Msg = Input;
    type State = State<D>;
    type Arguments = Arc<Hub<D>>;

    async fn pre_start(
        &self,
        _: ActorRef<Input>,
        hub: Arc<Hub<D>>,
    ) -> Result<State<D>, ActorProcessingErr> {
        let seed = rank::hash(hub.me.to_string());
        let settings = &hub.settings;
        let me = Record {
            vm: hub.me.vm.clone(),
            zone: settings.vm.zone.clone(),
            peers: hub.exchange.advertise.unwrap_or(settings.listen.peers),
            callers: settings.listen.callers,
        };
        let seeds = Seeds::new(me, hub.exchange.seeds.clone(), seed);
        Ok(State {
            roster: Roster::new(hub.me.clone(), settings.vm.zone.clone(), seed),
            population: Population::new(seeds.seeds()),
            had_seeds: seeds.seeds() > 0,
            seeds,
            view: View::default(),
            shown: None,
            started: hub.clock.now(),
            asked_since: hub.clock.now(),
            alone_since: None,
            isolated: false,
            met_at: None,
            ticks: 0,
            hub,
        })
    }

    async fn handle(
        &self,
        _: ActorRef<Input>,
        input: Input,
        state: &mut State<D>,
    ) -> Result<(), ActorProcessingErr> {
        match input {
            Input::Receive(from, sender, message) => state.receive(from, sender, message),
            Input::Seeds(seeds) => state.replace_seeds(seeds),
            Input::Tick => state.tick(),
            Input::Leave => {
                state.step_roster(roster::Event::Leave);
                state.hub.drive(owner::Event::Leave);
            }
        }
        Ok(())
    }
}

impl<D: Dialect> State<D> {
    fn receive(&mut self, from: SocketAddr, sender: Incarnation, message: Message) {
        self.step_seeds(seeds::Event::Alive(sender.vm.clone()));
        match message {
            Message::Seeds(message) => self.step_seeds(seeds::Event::Receive { from, message }),
            Message::Roster(message) => self.step_roster(roster::Event::Receive {
                from: sender,
                message,
            }),
            Message::Update(update) => self.hub.take_update(&sender.vm, update),
            Message::Config(message) => self.hub.take_transfer(&sender.vm, message),
            Message::Origin(message) => self.hub.take_origin(&sender.vm, message),
            Message::Retired => {}
            Message::Leaver(leaver) => self.hub.take_leaver(&leaver),
            Message::Quota(message) => self.hub.take_quota(&sender.vm, message),
            Message::Rate(message) => self.hub.take_rate(&sender.vm, message),
            Message::Permit(message) => self.hub.take_permit(&sender.vm, message),
            Message::Owner(message) => self.hub.drive(owner::Event::Receive {
                from: sender.vm,
                message,
            }),
            Message::Culprit(message) => {
                self.hub.track(culprit::Event::Receive {
                    from: sender,
                    message,
                });
            }
        }
    }

    fn tick(&mut self) {
        self.step_seeds(seeds::Event::Tick);
        self.step_roster(roster::Event::Tick);
        self.meet();
        self.note_isolation();
        self.show();
        let wall = self.hub.wall();
        self.hub.drive(owner::Event::Tick { wall_seconds: wall });
        for action in self.hub.track(culprit::Event::Tick) {
            if let culprit::Action::Inspect { upstream } = action {
                tokio::spawn(engines::identify(self.hub.clone(), upstream));
            }
        }
        self.hub.tick_transfer();
        self.hub.tick_origins();
        self.hub.tick_paths();
        self.hub.advance_permits();
        self.ticks += 1;
        if self.ticks.is_multiple_of(PULSE_TICKS) {
            self.hub.pulse(Vec::new());
        }
        if self.ticks.is_multiple_of(SWEEP_TICKS) {
            self.hub.sweep_links();
        }
    }

    fn replace_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.step_seeds(seeds::Event::Seeds(seeds));
        self.population.set_seeds(self.seeds.seeds());
        self.had_seeds |= self.seeds.seeds() > 0;
        self.asked_since = self.hub.clock.now();
    }

    /// Takes traffic once peers have answered, or nobody has for a while.
    fn meet(&mut self) {
        if self.hub.met() {
            return;
        }
        let alone = self.hub.clock.now() >= self.started + ALONE;
        let fit = self.roster.fit() && self.view.live().count() > 1;
        // The platform may have lost a configuration that peers serve by.
        if fit && !self.hub.has_newest_config() {
            self.hub.query_config();
        }
        if alone || (fit && self.hub.has_newest_config()) {
            info!(target: DECISION, peers = self.seeds.known(), alone; "met");
            self.hub.set_met();
            self.met_at = Some(self.hub.clock.now());
        }
    }

    fn step_seeds(&mut self, event: seeds::Event) {
        let mut actions = Vec::new();
        let now = self.hub.clock.now();
        self.seeds.step(now, event, &mut actions);
        for action in actions {
            match action {
                seeds::Action::Send { to, message } => {
                    let nobody: Vm = "".into();
                    self.hub.post.send(&nobody, to, &Message::Seeds(message));
                }
                seeds::Action::Members(members) => self.step_roster(roster::Event::List {
                    members,
                    revision: None,
                }),
            }
        }
    }

    fn step_roster(&mut self, event: roster::Event) {
        let mut actions = Vec::new();
        let now = self.hub.clock.now();
        self.roster.step(now, event, &mut actions);
        for action in actions {
            match action {
                roster::Action::Send { to, message } => {
                    if let Some(record) = self.seeds.record(&to) {
                        self.hub
                            .post
                            .send(&to, record.peers, &Message::Roster(message));
                    }
                }
                roster::Action::View(view) => {
                    self.view = view.clone();
                    self.hub.track(culprit::Event::View(view));
                }
                roster::Action::Note(note) => {
                    decision::roster(&note);
                    if let Note::Paused { .. } = note {
                        self.hub.drive(owner::Event::Paused);
                    }
                }
                roster::Action::Leaving { .. }
                | roster::Action::Returned { .. }
                | roster::Action::Heard { .. } => {}
            }
        }
    }

    /// Tells the owner whether nodes that this one does not know may claim engines.
    fn note_isolation(&mut self) {
        let now = self.hub.clock.now();
        let alone = self.had_seeds && self.seeds.known() == 0;
        self.alone_since = alone.then(|| self.alone_since.unwrap_or(now));
        let isolated = self.alone_since.is_some_and(|at| now >= at + ISOLATION);
        if isolated == std::mem::replace(&mut self.isolated, isolated) {
            return;
        }
        info!(target: DECISION, isolated, seeds = self.seeds.seeds(); "isolation");
        self.hub.drive(owner::Event::Isolated(isolated));
    }

    /// Publishes who lives, for answers to callers and for ownership.
    fn show(&mut self) {
        let mut live: Vec<Vm> = self
            .view
            .peers()
            .iter()
            .filter(|peer| peer.state == PeerState::Live || self.own(peer))
            .map(|peer| peer.incarnation.vm.clone())
            .collect();
        live.sort_unstable();
        let leaving = self.view.peers().iter();
        let leaving = leaving.filter(|peer| peer.state == PeerState::Leaving);
        let leaving: Vec<Vm> = leaving.map(|peer| peer.incarnation.vm.clone()).collect();
        // Nodes that leave order nothing any more.
        let others = self.seeds.known().saturating_sub(leaving.len());
        let enough = live.len() * 2 > others;
        let now = self.hub.clock.now();
        let settled = self.met_at.is_some_and(|at| now >= at + SETTLE);
        // Both parts of a split fleet may hear of the platform.
        let fenced = self.hub.exchange.fenced;
        let informed = fenced && self.hub.store_silence() < STORE_SILENCE;
        let fit = settled && self.found_others(now) && self.roster.fit() && (enough || informed);
        let mut known: Vec<Record> = self.seeds.records().cloned().collect();
        known.sort_unstable_by(|a, b| a.vm.cmp(&b.vm));
        let discovered: Vec<Vm> = known.iter().map(|record| record.vm.clone()).collect();
        self.population.update(now, &discovered, &leaving);
        let running = self.population.count();
        let shown = Shown {
            live: live.clone(),
            leaving: leaving.clone(),
            known: known.clone(),
            population: self.population.clone(),
            fit,
        };
        if self.shown.as_ref() == Some(&shown) {
            return;
        }
        let former = self.shown.replace(shown);
        let former = former.map(|shown| shown.live).unwrap_or_default();
        let staying = discovered.into_iter().filter(|vm| {
            let own = *vm == self.hub.me.vm;
            !(leaving.contains(vm) || own && self.hub.leaving())
        });
        let staying: Vec<Vm> = staying.collect();
        info!(target: DECISION, live = live.len(), known = known.len(), running, fit; "view");
        let peers = Arc::new(Peers {
            known,
            live: live.clone(),
            population: self.population.clone(),
        });
        self.hub.set_relays(&peers);
        self.hub.peers.store(peers.clone());
        let appeared = live.iter().filter(|vm| former.binary_search(vm).is_err());
        self.hub.greet_issuers(&peers, appeared);
        self.hub.desk().mirror.set_members(&self.hub.me.vm, &live);
        // A node that leaves is not one that discovery has forgotten.
        self.hub.drive(owner::Event::LeavingNodes(leaving));
        self.hub.drive(owner::Event::KnownNodes(staying));
        self.hub.drive(owner::Event::View {
            live,
            may_claim: fit,
        });
    }

    /// Tells whether this node knows who else claims engines: it has found others, never had seeds to
    /// find them by, or has asked its seeds in vain for as long as records of others are kept.
    fn found_others(&self, now: Time) -> bool {
        self.seeds.known() > 0
            || !self.had_seeds
            || now >= self.asked_since + seeds::RECORD_LIFETIME
    }

    /// Tells whether `peer` is this node, which counts as live until it leaves.
    fn own(&self, peer: &wire::view::Peer) -> bool {
        peer.incarnation == self.hub.me && !self.hub.leaving()
    }
}
