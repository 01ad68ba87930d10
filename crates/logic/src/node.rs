//! The joined machine of one node.

use std::collections::VecDeque;
use std::sync::Arc;

use admission::Queue;
use confsync::Replicator;
use dispatch::{PoisonDetector, poison};
use once::Participant;
use placement::Planner;
use roster::Roster;
use wire::{Frame, Incarnation, Machine, Time, Upstream, View, Vm, Zone};

use crate::Channel;

/// What a node's machines are made from.
#[derive(Clone, Debug)]
pub struct Config {
    /// The process.
    pub me: Incarnation,
    /// Its availability zone.
    pub zone: Zone,
    /// Key of the configuration's manifest at the platform.
    pub manifest: Arc<str>,
    /// Seed of the machines' random choices.
    pub seed: u64,
    /// Settings of placement.
    pub placement: placement::settings::Settings,
    /// Limits of the at-most-once machine.
    pub once: once::participant::Config,
    /// Settings of admission.
    pub admission: admission::Config,
    /// Times of the search for requests that crash upstreams.
    pub poison: poison::Config,
}

/// What a node is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// An authenticated frame from a peer.
    Frame(Frame),
    /// The platform's list of VMs was read.
    List {
        /// The entry VMs of this region.
        members: Vec<roster::Member>,
        /// The list's revision, where it has one.
        revision: Option<u64>,
    },
    /// Something happened that concerns membership.
    Roster(roster::Event),
    /// Something happened that concerns the configuration.
    Config(confsync::Event),
    /// Something happened that concerns placement.
    Placement(placement::Event),
    /// Something happened that concerns calls that may not be repeated.
    Once(once::Event),
    /// Something happened that concerns admission.
    Admission(admission::Event),
    /// Something happened that concerns requests that crash upstreams.
    Poison(poison::Event),
    /// A graceful shutdown starts.
    Leave,
    /// The time given by `wake` has come.
    Tick,
}

/// What a node wants done. The machines' own sends leave as [`Action::Frame`].
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a frame, best effort.
    Frame(Frame),
    /// The node's view of its region changed.
    View(View),
    /// The upstream gets no new work from now on.
    Leaving(Upstream),
    /// The upstream may get work again.
    Returned(Upstream),
    /// A membership decision to log.
    Roster(roster::Note),
    /// An action of the configuration machine.
    Config(confsync::Action),
    /// An action of the placement machine.
    Placement(placement::Action),
    /// An action of the at-most-once machine.
    Once(once::Action),
    /// An action of the admission machine.
    Admission(admission::Action),
    /// An action of the machine that finds requests which crash upstreams.
    Poison(poison::Action),
}

/// Every decision maker of one node.
#[derive(Debug)]
pub struct Node {
    me: Incarnation,
    roster: Roster,
    config: Replicator,
    placement: Planner,
    once: Participant,
    admission: Queue,
    poison: PoisonDetector,
    queue: VecDeque<Event>,
}

impl Node {
    /// Makes the machines of a process that has just started.
    pub fn new(config: Config) -> Self {
        let Config {
            me,
            zone,
            manifest,
            seed,
            placement,
            once,
            admission,
            poison,
        } = config;
        Self {
            roster: Roster::new(me.clone(), zone.clone(), seed),
            config: Replicator::new(me.clone(), zone, manifest, seed),
            placement: Planner::new(me.clone(), placement),
            once: Participant::new(once, me.clone()),
            admission: Queue::new(admission),
            poison: PoisonDetector::new(poison, me.clone()),
            queue: VecDeque::new(),
            me,
        }
    }

    /// Returns the process that this node is.
    pub fn me(&self) -> &Incarnation {
        &self.me
    }

    /// Returns the membership machine, to look at.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Returns the configuration machine, to look at.
    pub fn config(&self) -> &Replicator {
        &self.config
    }

    /// Returns the placement machine, to look at.
    pub fn placement(&self) -> &Planner {
        &self.placement
    }

    /// Returns the at-most-once machine, to look at.
    pub fn once(&self) -> &Participant {
        &self.once
    }

    /// Returns the machine that finds requests which crash upstreams, to look at.
    pub fn poison(&self) -> &PoisonDetector {
        &self.poison
    }

    /// Tells whether an order to an engine may still be written; asked directly before the write.
    pub fn permit_order(&self, now: Time, upstream: &str, fence: wire::Fence) -> bool {
        self.placement.permit(now, upstream, fence)
    }

    /// Tells whether the first byte of a call may be written; asked directly before the write.
    pub fn permit_call(&mut self, now: Time, request: wire::Request) -> bool {
        self.once.permit(now, request)
    }

    fn take(&mut self, now: Time, event: Event, out: &mut impl Extend<Action>) {
        match event {
            Event::Frame(frame) => self.receive(now, &frame, out),
            Event::List { members, revision } => {
                self.step_once(now, once::Event::ListRead, out);
                self.step_roster(now, roster::Event::List { members, revision }, out);
            }
            Event::Roster(event) => self.step_roster(now, event, out),
            Event::Config(event) => self.step_config(now, event, out),
            Event::Placement(event) => self.step_placement(now, event, out),
            Event::Once(event) => self.step_once(now, event, out),
            Event::Admission(event) => self.step_admission(now, event, out),
            Event::Poison(event) => self.step_poison(now, event, out),
            Event::Leave => {
                self.step_roster(now, roster::Event::Leave, out);
                self.step_once(now, once::Event::Leave, out);
            }
            Event::Tick => self.tick(now, out),
        }
    }

    fn tick(&mut self, now: Time, out: &mut impl Extend<Action>) {
        self.step_roster(now, roster::Event::Tick, out);
        self.step_config(now, confsync::Event::Tick, out);
        self.step_placement(now, placement::Event::Tick, out);
        self.step_once(now, once::Event::Tick, out);
        self.step_admission(now, admission::Event::Tick, out);
        self.step_poison(now, poison::Event::Tick, out);
    }

    /// Takes a frame in; one that is for another VM or does not decode is dropped, as if lost.
    fn receive(&mut self, now: Time, frame: &Frame, out: &mut impl Extend<Action>) {
        if frame.to != self.me.vm {
            return;
        }
        let from = frame.from.clone();
        match Channel::from_number(frame.channel) {
            Some(Channel::Roster) => {
                if let Ok(message) = wire::frame::decode(&frame.body) {
                    self.step_roster(now, roster::Event::Receive { from, message }, out);
                }
            }
            Some(Channel::Config) => {
                if let Ok(message) = wire::frame::decode(&frame.body) {
                    self.step_config(now, confsync::Event::Receive { from, message }, out);
                }
            }
            Some(Channel::Placement) => {
                if let Ok(message) = wire::frame::decode(&frame.body) {
                    self.step_placement(now, placement::Event::Receive { from, message }, out);
                }
            }
            Some(Channel::Once) => {
                if let Ok(message) = wire::frame::decode(&frame.body) {
                    self.step_once(now, once::Event::Receive { from, message }, out);
                }
            }
            Some(Channel::Poison) => {
                if let Ok(message) = wire::frame::decode(&frame.body) {
                    self.step_poison(now, poison::Event::Receive { from, message }, out);
                }
            }
            None => {}
        }
    }

    fn step_roster(&mut self, now: Time, event: roster::Event, out: &mut impl Extend<Action>) {
        let mut actions = Vec::new();
        self.roster.step(now, event, &mut actions);
        for action in actions {
            match action {
                roster::Action::Send { to, message } => {
                    self.send(Channel::Roster, to, &message, out);
                }
                roster::Action::View(view) => self.spread_view(view, out),
                roster::Action::Leaving { upstream } => out.extend([Action::Leaving(upstream)]),
                roster::Action::Returned { upstream } => out.extend([Action::Returned(upstream)]),
                roster::Action::Heard { from, revision } => {
                    let heard = confsync::Event::Heard { from, revision };
                    self.queue.push_back(Event::Config(heard));
                }
                roster::Action::Note(note) => out.extend([Action::Roster(note)]),
            }
        }
    }

    fn spread_view(&mut self, view: View, out: &mut impl Extend<Action>) {
        self.queue
            .push_back(Event::Config(confsync::Event::View(view.clone())));
        self.queue
            .push_back(Event::Placement(placement::Event::View(view.clone())));
        self.queue
            .push_back(Event::Once(once::Event::View(view.clone())));
        self.queue
            .push_back(Event::Poison(poison::Event::View(view.clone())));
        out.extend([Action::View(view)]);
    }

    fn step_config(&mut self, now: Time, event: confsync::Event, out: &mut impl Extend<Action>) {
        let mut actions = Vec::new();
        self.config.step(now, event, &mut actions);
        for action in actions {
            match action {
                confsync::Action::Send { to, message } => {
                    self.send(Channel::Config, to, &message, out);
                }
                confsync::Action::Seen(revision) => {
                    self.queue
                        .push_back(Event::Roster(roster::Event::Revision(revision)));
                }
                other => out.extend([Action::Config(other)]),
            }
        }
    }

    fn step_placement(
        &mut self,
        now: Time,
        event: placement::Event,
        out: &mut impl Extend<Action>,
    ) {
        let mut actions = Vec::new();
        self.placement.step(now, event, &mut actions);
        for action in actions {
            match action {
                placement::Action::Send { to, message } => {
                    self.send(Channel::Placement, to, &message, out);
                }
                other => out.extend([Action::Placement(other)]),
            }
        }
    }

    fn step_once(&mut self, now: Time, event: once::Event, out: &mut impl Extend<Action>) {
        let mut actions = Vec::new();
        self.once.step(now, event, &mut actions);
        for action in actions {
            match action {
                once::Action::Send { to, message } => self.send(Channel::Once, to, &message, out),
                other => out.extend([Action::Once(other)]),
            }
        }
    }

    fn step_admission(
        &mut self,
        now: Time,
        event: admission::Event,
        out: &mut impl Extend<Action>,
    ) {
        let mut actions = Vec::new();
        self.admission.step(now, event, &mut actions);
        out.extend(actions.into_iter().map(Action::Admission));
    }

    fn step_poison(&mut self, now: Time, event: poison::Event, out: &mut impl Extend<Action>) {
        let mut actions = Vec::new();
        self.poison.step(now, event, &mut actions);
        for action in actions {
            match action {
                poison::Action::Send { to, message } => {
                    self.send(Channel::Poison, to, &message, out);
                }
                other => out.extend([Action::Poison(other)]),
            }
        }
    }

    fn send<M: serde::Serialize>(
        &self,
        channel: Channel,
        to: Vm,
        message: &M,
        out: &mut impl Extend<Action>,
    ) {
        // A message that does not encode counts as lost; no message type holds what cannot be.
        if let Ok(body) = wire::frame::encode(message) {
            let frame = Frame {
                from: self.me.clone(),
                to,
                channel: channel as u8,
                body,
            };
            out.extend([Action::Frame(frame)]);
        }
    }
}

impl Machine for Node {
    type Event = Event;
    type Action = Action;

    fn step(&mut self, now: Time, event: Event, out: &mut impl Extend<Action>) {
        self.take(now, event, out);
        while let Some(event) = self.queue.pop_front() {
            self.take(now, event, out);
        }
    }

    fn wake(&self) -> Option<Time> {
        let wakes = [
            self.roster.wake(),
            self.config.wake(),
            self.placement.wake(),
            self.once.wake(),
            self.admission.wake(),
            self.poison.wake(),
        ];
        wakes.into_iter().flatten().min()
    }
}
