//! The membership machine.
//!
//! Failure detection and spread follow SWIM (Das, Gupta and Motivala, 2002): each node probes one
//! peer per [`PERIOD`] in a shuffled round, so that its cost does not grow with the region, and
//! news rides on heartbeats and their answers. A doubt is never taken over as a verdict: each node
//! gives the doubted one its own suspicion time to refute, so that a node which was cut off
//! cannot make others drop each other when it comes back.

mod gossip;
mod heartbeat;
mod join;
mod table;

use std::time::Duration;

use wire::{Incarnation, Machine, Revision, Time, Upstream, View, Vm, Zone};

use crate::message::Message;
use crate::note::Note;
use crate::notice::{Board, Change, Source};
use crate::probe::Probes;
use crate::random::Random;
use crate::rumor::{Rumor, Status};
use gossip::Queue;
use table::Table;

/// Time between two probes that a node begins.
pub const PERIOD: Duration = Duration::from_millis(500);

/// Gap between two steps from which a node counts itself as paused. It is less than the time in
/// which peers suspect a silent node.
pub const PAUSE_GAP: Duration = Duration::from_millis(1500);

/// Longest time between two ticks that the machine asks for.
pub const TICK_MAX: Duration = Duration::from_millis(250);

/// One VM of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// Its id.
    pub vm: Vm,
    /// Its availability zone.
    pub zone: Zone,
    /// Whether the list says that it leaves.
    pub leaving: bool,
}

/// What the machine is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The platform's list of this region's VMs, with its revision where it has one.
    List {
        /// The VMs; where this node is not among them, it owns nothing.
        members: Vec<Member>,
        /// Revision of the list; an older one than the last is dropped.
        revision: Option<u64>,
    },
    /// A message came from a peer.
    Receive {
        /// The sender, authenticated by the driver.
        from: Incarnation,
        /// The message.
        message: Message,
    },
    /// A graceful shutdown starts here.
    Leave,
    /// This node has seen the configuration revision.
    Revision(Revision),
    /// A first-hand sign that an upstream leaves.
    UpstreamLeaving {
        /// The upstream.
        upstream: Upstream,
        /// Where the sign came from.
        source: Source,
    },
    /// A first-hand sign, newer than all others, that an upstream takes work again.
    UpstreamReturned {
        /// The upstream.
        upstream: Upstream,
    },
    /// Time passed.
    Tick,
}

/// What the machine wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to a peer, best effort.
    Send {
        /// The addressee.
        to: Vm,
        /// The message.
        message: Message,
    },
    /// The view changed.
    View(View),
    /// The upstream gets no new work from now on.
    Leaving {
        /// The upstream.
        upstream: Upstream,
    },
    /// The upstream may get work again.
    Returned {
        /// The upstream.
        upstream: Upstream,
    },
    /// A peer has seen a configuration revision that it had not told of before.
    Heard {
        /// The peer.
        from: Incarnation,
        /// The revision.
        revision: Revision,
    },
    /// A decision to log.
    Note(Note),
}

/// Whether this node may own anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fitness {
    /// It has heard from peers since its start or last pause.
    Fit,
    /// It asks peers for their tables.
    Joining { since: Time, next: Time },
    /// Another process took its VM over.
    Superseded,
}

/// The membership machine of one node.
#[derive(Clone, Debug)]
pub struct Roster {
    me: Incarnation,
    zone: Zone,
    random: Random,
    last_step: Option<Time>,
    stamp_offset: u64,
    leaving: bool,
    revision: Revision,
    listed: bool,
    list_revision: Option<u64>,
    listed_leaving: bool,
    // Whether the list names other VMs but not this one.
    missing: bool,
    table: Table,
    probes: Probes,
    round: Vec<Vm>,
    next_probe: Time,
    fitness: Fitness,
    // Whether this process was ever fit, so that peers may have met it.
    established: bool,
    join: join::Join,
    board: Board,
    queue: Queue,
    next_sync: Time,
    shown: Option<View>,
}

impl Roster {
    /// Makes the machine of the process `me` in `zone`; `seed` should differ between nodes.
    pub fn new(me: Incarnation, zone: impl Into<Zone>, seed: u64) -> Self {
        Self {
            me,
            zone: zone.into(),
            random: Random::new(seed),
            last_step: None,
            stamp_offset: 0,
            leaving: false,
            revision: 0,
            listed: false,
            list_revision: None,
            listed_leaving: false,
            missing: false,
            table: Table::default(),
            probes: Probes::default(),
            round: Vec::new(),
            next_probe: Time::ZERO,
            fitness: Fitness::Joining {
                since: Time::ZERO,
                next: Time::ZERO,
            },
            established: false,
            join: join::Join::default(),
            board: Board::default(),
            queue: Queue::default(),
            next_sync: Time::ZERO,
            shown: None,
        }
    }

    /// Tells whether this node has heard from peers since its start or last pause, and is on the
    /// list. An unfit node shows itself as suspect in its view, so that it owns nothing.
    pub fn fit(&self) -> bool {
        self.fitness == Fitness::Fit && !self.missing
    }

    /// Returns the VMs of the list, sorted by id, whether they answer or not.
    pub fn listed(&self) -> impl Iterator<Item = &Member> {
        self.table.members()
    }

    /// Returns the upstreams that get no new work.
    pub fn leaving_upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.board.leaving()
    }

    /// Returns what this node says of itself.
    fn own(&self) -> Rumor {
        let status = if self.leaving {
            Status::Leaving
        } else {
            Status::Alive
        };
        Rumor {
            about: self.me.clone(),
            stamp_offset: self.stamp_offset,
            status,
        }
    }

    fn begin(&mut self, now: Time, out: &mut impl Extend<Action>) {
        match self.last_step.replace(now) {
            None => {
                self.start_join(now);
                self.queue.urgent_rumor(&self.me.vm);
            }
            Some(last) if now > last + PAUSE_GAP => self.resume(now, now - last, out),
            Some(_) => {}
        }
    }

    fn take(&mut self, now: Time, event: Event, out: &mut impl Extend<Action>) {
        match event {
            Event::List { members, revision } => self.list(members, revision, out),
            Event::Receive { from, message } => self.receive(now, from, message, out),
            Event::Leave => self.leave(out),
            Event::Revision(revision) => self.revision = self.revision.max(revision),
            Event::UpstreamLeaving { upstream, source } => self.sign(now, upstream, source, out),
            Event::UpstreamReturned { upstream } => self.retract(now, upstream, out),
            Event::Tick => {}
        }
    }

    /// Does what is due. Runs after every event, so that a late tick costs nothing.
    fn settle(&mut self, now: Time, out: &mut impl Extend<Action>) {
        self.suspect(now, out);
        for upstream in self.board.expire(now) {
            out.extend([
                Action::Note(Note::UpstreamBack(upstream.clone())),
                Action::Returned { upstream },
            ]);
        }
        self.join(now, out);
        self.probe(now, out);
        self.send_news(now, out);
        self.show(out);
    }

    fn list(&mut self, members: Vec<Member>, revision: Option<u64>, out: &mut impl Extend<Action>) {
        if let (Some(old), Some(new)) = (self.list_revision, revision)
            && new < old
        {
            return out.extend([Action::Note(Note::ListStale { revision: new })]);
        }
        if members.is_empty() {
            return out.extend([Action::Note(Note::ListEmpty)]);
        }
        self.list_revision = revision.or(self.list_revision);
        self.listed = true;
        self.listed_leaving = members.iter().any(|m| m.vm == self.me.vm && m.leaving);
        self.missing = members.iter().all(|m| m.vm != self.me.vm);
        let others = members.into_iter().filter(|m| m.vm != self.me.vm);
        let gone = self.table.list(others);
        self.round.retain(|vm| !gone.contains(vm));
        out.extend(gone.into_iter().map(|vm| Action::Note(Note::Delisted(vm))));
    }

    fn leave(&mut self, out: &mut impl Extend<Action>) {
        if !self.leaving {
            self.leaving = true;
            self.queue.urgent_rumor(&self.me.vm);
            out.extend([Action::Note(Note::Left(self.me.clone()))]);
        }
    }

    fn sign(
        &mut self,
        now: Time,
        upstream: Upstream,
        source: Source,
        out: &mut impl Extend<Action>,
    ) {
        let change = self.board.sign(now, &upstream, true);
        self.spread_notice(change, upstream, source, out);
    }

    fn retract(&mut self, now: Time, upstream: Upstream, out: &mut impl Extend<Action>) {
        let change = self.board.sign(now, &upstream, false);
        self.spread_notice(change, upstream, Source::Report, out);
    }

    fn spread_notice(
        &mut self,
        change: Change,
        upstream: Upstream,
        source: Source,
        out: &mut impl Extend<Action>,
    ) {
        match change {
            Change::Known => {}
            Change::Renewed => self.queue.notice(&upstream),
            Change::Leaving => {
                self.queue.urgent_notice(&upstream);
                let note = Note::UpstreamLeaving {
                    upstream: upstream.clone(),
                    source,
                };
                out.extend([Action::Leaving { upstream }, Action::Note(note)]);
            }
            Change::Back => {
                self.queue.urgent_notice(&upstream);
                let note = Note::UpstreamBack(upstream.clone());
                out.extend([Action::Returned { upstream }, Action::Note(note)]);
            }
        }
    }

    fn show(&mut self, out: &mut impl Extend<Action>) {
        if !self.table.take_dirty() && self.shown.as_ref().is_some_and(|view| self.shows(view)) {
            return;
        }
        let view = View::new(self.table.peers().chain([self.own_peer()]));
        if self.shown.as_ref() != Some(&view) {
            self.shown = Some(view.clone());
            out.extend([Action::View(view)]);
        }
    }

    /// Tells whether `view` shows this node as it is.
    fn shows(&self, view: &View) -> bool {
        view.peer(&self.me.vm) == Some(&self.own_peer())
    }

    fn own_peer(&self) -> wire::view::Peer {
        let state = match (self.leaving || self.listed_leaving, self.fit()) {
            (true, _) => wire::view::State::Leaving,
            (false, true) => wire::view::State::Live,
            (false, false) => wire::view::State::Suspect,
        };
        wire::view::Peer {
            incarnation: self.me.clone(),
            zone: self.zone.clone(),
            state,
        }
    }
}

impl Machine for Roster {
    type Event = Event;
    type Action = Action;

    fn step(&mut self, now: Time, event: Event, out: &mut impl Extend<Action>) {
        self.begin(now, out);
        self.take(now, event, out);
        self.settle(now, out);
    }

    fn wake(&self) -> Option<Time> {
        let Some(last) = self.last_step else {
            return Some(Time::ZERO);
        };
        let times = [
            Some(self.next_probe),
            self.probes.wake(),
            self.table.wake(),
            self.queue.wake(),
            self.board.wake(),
            self.join_wake(),
        ];
        let next = times.into_iter().flatten().min();
        // Also ticks when nothing is due, so that a pause shows as a gap.
        Some(next.map_or(last + TICK_MAX, |next| next.min(last + TICK_MAX)))
    }
}
