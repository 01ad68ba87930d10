//! The membership state machine.
//!
//! Failure detection and dissemination follow SWIM (Das, Gupta and Motivala, 2002): each node
//! probes one peer per [`PERIOD`] in shuffled order, so that its cost does not grow with the
//! region, and updates are piggybacked on heartbeats and their answers. A doubt received from a
//! peer does not make a node suspect at once: each receiver runs its own suspicion timeout during
//! which the node can refute, so that a node returning from a partition cannot make others drop
//! each other.

mod gossip;
mod heartbeat;
mod join;
mod table;

use std::time::Duration;

use wire::{Incarnation, Machine, Revision, Time, Upstream, View, Vm, Zone};

use crate::message::Message;
use crate::note::Note;
use crate::notice::{Change, NoticeTable, Source};
use crate::probe::Probes;
use crate::random::Random;
use crate::rumor::{Rumor, Status};
use gossip::Queue;
use table::Table;

/// Interval at which a node starts probes.
pub const PERIOD: Duration = Duration::from_millis(500);

/// Gap between two steps above which a node treats itself as paused. It is shorter than the time
/// after which peers suspect a node that does not answer.
pub const PAUSE_GAP: Duration = Duration::from_millis(1500);

/// Maximum interval between ticks requested by the state machine.
pub const TICK_MAX: Duration = Duration::from_millis(250);

/// A VM on the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// Its id.
    pub vm: Vm,
    /// Its availability zone.
    pub zone: Zone,
    /// Whether the list marks it as leaving.
    pub leaving: bool,
}

/// Input of the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The platform's list of this region's VMs, with its revision if it has one.
    List {
        /// The listed VMs; a node that is not listed owns nothing.
        members: Vec<Member>,
        /// Revision of the list; a list older than the last one is ignored.
        revision: Option<u64>,
    },
    /// A message from a peer arrived.
    Receive {
        /// The sender, authenticated by the driver.
        from: Incarnation,
        /// The message.
        message: Message,
    },
    /// A graceful shutdown of this node starts.
    Leave,
    /// This node has seen this configuration revision.
    Revision(Revision),
    /// A local observation that an upstream is leaving.
    UpstreamLeaving {
        /// The upstream.
        upstream: Upstream,
        /// Source of the observation.
        source: Source,
    },
    /// A local observation, newer than all others, that an upstream accepts work again.
    UpstreamReturned {
        /// The upstream.
        upstream: Upstream,
    },
    /// Time passed.
    Tick,
}

/// Output of the state machine, to be performed by the driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to a peer, best effort.
    Send {
        /// The recipient.
        to: Vm,
        /// The message.
        message: Message,
    },
    /// The view changed.
    View(View),
    /// The upstream gets no new work.
    Leaving {
        /// The upstream.
        upstream: Upstream,
    },
    /// The upstream may get work again.
    Returned {
        /// The upstream.
        upstream: Upstream,
    },
    /// A peer reported a newer configuration revision than before.
    Heard {
        /// The peer.
        from: Incarnation,
        /// The revision.
        revision: Revision,
    },
    /// A decision to log.
    Note(Note),
}

/// Whether this node may own upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fitness {
    /// Peers have answered since its start or last pause.
    Fit,
    /// It is requesting tables from peers.
    Joining { since: Time, next: Time },
    /// Another process on its VM replaced it.
    Superseded,
}

/// Membership state machine of one node.
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
    // Whether the list contains other VMs but not this one.
    missing: bool,
    table: Table,
    probes: Probes,
    round: Vec<Vm>,
    next_probe: Time,
    fitness: Fitness,
    // Whether this process was ever fit, so that peers may know it.
    established: bool,
    join: join::Join,
    notices: NoticeTable,
    queue: Queue,
    next_sync: Time,
    published: Option<View>,
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
            notices: NoticeTable::default(),
            queue: Queue::default(),
            next_sync: Time::ZERO,
            published: None,
        }
    }

    /// Returns whether peers have answered since the start or last pause and this node is on the
    /// list. An unfit node is suspect in its own view, so that it owns nothing.
    pub fn fit(&self) -> bool {
        self.fitness == Fitness::Fit && !self.missing
    }

    /// Returns the VMs of the list, sorted by id, whether they answer or not.
    pub fn listed(&self) -> impl Iterator<Item = &Member> {
        self.table.members()
    }

    /// Returns the upstreams that get no new work.
    pub fn leaving_upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.notices.leaving()
    }

    /// Returns this node's update about itself.
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

    fn before_event(&mut self, now: Time, out: &mut impl Extend<Action>) {
        match self.last_step.replace(now) {
            None => {
                self.start_join(now);
                self.queue.urgent_rumor(&self.me.vm);
            }
            Some(last) if now > last + PAUSE_GAP => self.resume(now, now - last, out),
            Some(_) => {}
        }
    }

    fn handle(&mut self, now: Time, event: Event, out: &mut impl Extend<Action>) {
        match event {
            Event::List { members, revision } => self.list(members, revision, out),
            Event::Receive { from, message } => self.receive(now, from, message, out),
            Event::Leave => self.leave(out),
            Event::Revision(revision) => self.revision = self.revision.max(revision),
            Event::UpstreamLeaving { upstream, source } => {
                self.observe_leaving(now, upstream, source, out);
            }
            Event::UpstreamReturned { upstream } => self.retract(now, upstream, out),
            Event::Tick => {}
        }
    }

    /// Performs all due work. Runs after every event, so that a late tick delays nothing.
    fn run_due(&mut self, now: Time, out: &mut impl Extend<Action>) {
        self.suspect(now, out);
        for upstream in self.notices.expire(now) {
            out.extend([
                Action::Note(Note::UpstreamBack(upstream.clone())),
                Action::Returned { upstream },
            ]);
        }
        self.join(now, out);
        self.probe(now, out);
        self.send_news(now, out);
        self.publish_view(out);
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

    fn observe_leaving(
        &mut self,
        now: Time,
        upstream: Upstream,
        source: Source,
        out: &mut impl Extend<Action>,
    ) {
        let change = self.notices.observe(now, &upstream, true);
        self.spread_notice(change, upstream, source, out);
    }

    fn retract(&mut self, now: Time, upstream: Upstream, out: &mut impl Extend<Action>) {
        let change = self.notices.observe(now, &upstream, false);
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

    fn publish_view(&mut self, out: &mut impl Extend<Action>) {
        if !self.table.take_dirty()
            && self
                .published
                .as_ref()
                .is_some_and(|view| self.is_current(view))
        {
            return;
        }
        let view = View::new(self.table.peers().chain([self.own_peer()]));
        if self.published.as_ref() != Some(&view) {
            self.published = Some(view.clone());
            out.extend([Action::View(view)]);
        }
    }

    /// Returns whether `view` has the current state of this node.
    fn is_current(&self, view: &View) -> bool {
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
        self.before_event(now, out);
        self.handle(now, event, out);
        self.run_due(now, out);
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
            self.notices.wake(),
            self.join_wake(),
        ];
        let next = times.into_iter().flatten().min();
        // Tick even when nothing is due, so that a pause is detectable as a gap.
        Some(next.map_or(last + TICK_MAX, |next| next.min(last + TICK_MAX)))
    }
}
