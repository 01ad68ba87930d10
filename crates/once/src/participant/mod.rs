//! The state machine of one node: executor of claims and witness of others' claims.
//!
//! - This module holds the events, the actions and the driver's queries.
//! - `members` keeps the witness set: joins, burials, recovery and founding.
//! - `witness` answers the questions of executors.
//! - `executor` collects votes and decides what becomes of a request.
//! - `void` withdraws calls that were not sent, and `delivery` ends those that were.
//! - `pending` is the state of one key at its executor.
//! - `lookup` tells operators what is known of a key.

mod delivery;
mod executor;
mod lookup;
mod members;
mod pending;
mod void;
mod witness;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use wire::{Incarnation, Machine, Request, Time, View, Vm};

use crate::key::{self, Digest, Key};
use crate::ledger::{CallRecord, Ledger};
use crate::message::{Claim, Message};
use crate::set::{Member, Set};
use members::{Absent, Peer, Recovery};
use pending::{Delivery, Run};

pub use lookup::{CallState, Lookup};
pub use pending::{Outcome, Reason};

/// Limits and times of a [`Participant`]; the same on every VM of a region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Number of witnesses; a quorum is more than half of it.
    pub witness_count: u8,
    /// Time after a call's first attempt in which its key may be sent again.
    pub retry_window: Duration,
    /// Longest time that a request may wait for its answer.
    pub max_wait: Duration,
    /// Longest time from a request's beginning to the quorum that lets it run.
    pub claim: Duration,
    /// Longest time between a quorum of votes and the first byte to the upstream.
    pub permit: Duration,
    /// Age of the last successful reading of the VM list beyond which a witness votes only for
    /// keys with a ticket.
    pub fence: Duration,
    /// Time after a founding in which keys without the new lineage's ticket are refused, since
    /// an earlier group may have run them. [`Config::full_quarantine`] is the safe length. A shorter
    /// one is only safe where it is known that no earlier group took calls in that time, as when a
    /// system is started for the first time.
    pub quarantine: Duration,
    /// Time between two greetings.
    pub beat: Duration,
    /// Time after which an unanswered message is sent again.
    pub resend: Duration,
    /// Time without progress after which a claim is given up.
    pub patience: Duration,
    /// Time for which a VM must be missing from the view before its term is buried.
    pub grace: Duration,
    /// Time without a quorum in reach after which a lineage is given up, and the least age of a
    /// term that founds another.
    pub settle: Duration,
    /// Largest answer body that witnesses keep, in bytes.
    pub body: usize,
}

impl Default for Config {
    fn default() -> Self {
        let mut config = Self {
            witness_count: 7,
            retry_window: Duration::from_secs(600),
            max_wait: Duration::from_secs(60),
            claim: Duration::from_secs(10),
            permit: Duration::from_secs(5),
            fence: Duration::from_secs(300),
            quarantine: Duration::ZERO,
            beat: Duration::from_secs(1),
            resend: Duration::from_millis(50),
            patience: Duration::from_secs(1),
            grace: Duration::from_secs(2),
            settle: Duration::from_secs(3),
            body: 4096,
        };
        config.quarantine = config.full_quarantine();
        config
    }
}

impl Config {
    /// Returns the longest time from the first asking for a void to the answer that says so.
    ///
    /// A void covers the requests that began up to this time after it was recorded, so that it
    /// covers all that began before the answer.
    pub fn void_span(&self) -> Duration {
        self.resend * 4
    }

    /// Returns the time for which a witness keeps what it knows of a key.
    ///
    /// A retry let in at the end of the window may still gather votes and be permitted; an eighth
    /// is added for clocks that run at different rates.
    pub fn keep(&self) -> Duration {
        let span = self.retry_window + self.claim + self.permit;
        span + span / 8
    }

    /// Returns the time after which a call that was sent and not reported as over is forgotten.
    pub(super) fn sent(&self) -> Duration {
        self.keep() + self.max_wait
    }

    /// Returns the length of a quarantine after which no key is left that a group which existed
    /// before, and may have run on while it was cut off, has run within the retry window.
    pub fn full_quarantine(&self) -> Duration {
        let span = self.keep() + self.fence;
        span + span / 8
    }
}

/// What a [`Participant`] is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// The nodes of the region as this node believes them to be, sent on each change.
    View(View),
    /// The platform's VM list was read successfully. The driver says so after each reading, also
    /// where nothing changed; without it witnesses vote only for keys with a ticket.
    ListRead,
    /// A caller sends a call that may not be repeated.
    Begin {
        /// The request's number at this node, not used before.
        request: Request,
        /// The call.
        key: Key,
        /// Digest of its body.
        body: Digest,
        /// When the request must have its answer.
        deadline: Time,
    },
    /// The call that was sent for `request` is over.
    Finished {
        /// The request that was told to execute.
        request: Request,
        /// The answer.
        record: CallRecord,
    },
    /// The driver will not send the call, and has not.
    Abandon {
        /// The request.
        request: Request,
    },
    /// A message from another guard.
    Receive {
        /// Its sender, as authenticated.
        from: Incarnation,
        /// The message.
        message: Message,
    },
    /// The node shuts down: it hands its duties over.
    Leave,
    /// The time of [`Machine::wake`] has come.
    Tick,
}

/// What a [`Participant`] wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Sends a message to the guard on another VM.
    Send {
        /// The addressee.
        to: Vm,
        /// The message.
        message: Message,
    },
    /// Sends the call to its upstream, after [`Participant::permit`]. Given once per claim.
    Execute {
        /// The request.
        request: Request,
    },
    /// Answers the request with the call's first answer.
    Answer {
        /// The request.
        request: Request,
        /// The answer.
        record: CallRecord,
    },
    /// Refuses the request.
    Refuse {
        /// The request.
        request: Request,
        /// What is known of the call.
        outcome: Outcome,
        /// Why.
        reason: Reason,
        /// When it is worth while to send the request again; `None` where it never is.
        retry_after: Option<Duration>,
    },
    /// Reports a change for the log.
    Note(Note),
}

/// A change worth a log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    /// The node founded a lineage of witnesses.
    LineageFounded {
        /// The lineage.
        lineage: u64,
    },
    /// The node's votes count from now on.
    VotingStarted {
        /// The lineage.
        lineage: u64,
        /// Records recovered.
        records: usize,
    },
    /// The node gave its term as a witness up.
    LineageAbandoned {
        /// The lineage.
        lineage: u64,
    },
    /// The node buried the term of a process that is gone.
    MemberRemoved {
        /// The term.
        member: Member,
    },
}

/// At-most-once execution at one node. See the [module](self) for its parts.
#[derive(Clone, Debug)]
pub struct Participant {
    config: Config,
    me: Member,
    view: View,
    listed: Option<Time>,
    leaving: bool,
    set: Set,
    id: u64,
    joined: bool,
    holder: bool,
    quarantine: Time,
    since: Time,
    supplied: Time,
    peers: Vec<Peer>,
    absent: Vec<Absent>,
    recovery: Option<Recovery>,
    beat: Time,
    ledger: Ledger,
    runs: BTreeMap<Key, Run>,
    requests: BTreeMap<Request, Key>,
    deliveries: BTreeMap<Key, Delivery>,
    abandoned: VecDeque<(Time, Claim)>,
    number: u64,
    local: VecDeque<Message>,
}

impl Participant {
    /// Makes the guard of `incarnation`, which has just started and remembers nothing.
    pub fn new(config: Config, incarnation: Incarnation) -> Self {
        let me = Member {
            incarnation,
            round: 0,
        };
        let mut set = Set::new(config.witness_count);
        set.add(me.clone());
        Self {
            id: set.id(),
            config,
            me,
            view: View::default(),
            listed: None,
            leaving: false,
            set,
            joined: false,
            holder: false,
            quarantine: Time::ZERO,
            since: Time::ZERO,
            supplied: Time::ZERO,
            peers: Vec::new(),
            absent: Vec::new(),
            recovery: None,
            beat: Time::ZERO,
            ledger: Ledger::default(),
            runs: BTreeMap::new(),
            requests: BTreeMap::new(),
            deliveries: BTreeMap::new(),
            abandoned: VecDeque::new(),
            number: 0,
            local: VecDeque::new(),
        }
    }

    /// Tells whether the first byte of `request`'s call may be written now, and counts it as
    /// written if so. The driver asks directly before it writes, and at most one `true` is given
    /// per claim, so that a process that wakes late sends nothing.
    pub fn permit(&mut self, now: Time, request: Request) -> bool {
        let window = self.config.permit;
        let Some(key) = self.requests.get(&request) else {
            return false;
        };
        self.runs
            .get_mut(key)
            .is_some_and(|run| run.permit(now, request, window))
    }

    /// Tells whether claims can be decided here: a lineage is known and a quorum of its holders
    /// has been heard of lately.
    pub fn ready(&self, now: Time) -> bool {
        self.set.lineage() != 0 && self.holders(now) >= self.set.quorum()
    }

    /// Tells whether this node's votes count.
    pub fn is_voting(&self) -> bool {
        self.holder
    }

    /// Tells, after [`Event::Leave`], whether nothing is left to hand over.
    pub fn is_drained(&self) -> bool {
        let calls = self.runs.is_empty() && self.deliveries.is_empty();
        self.leaving && calls && !self.set.contains(&self.me)
    }

    /// Returns the prefix that callers should put before the keys they make from now on: such
    /// keys are taken at once by a group of witnesses that has just been founded.
    pub fn ticket(&self) -> Option<String> {
        let lineage = self.set.lineage();
        (lineage != 0).then(|| key::ticket(lineage))
    }

    /// Returns the process that this is the guard of.
    pub fn incarnation(&self) -> &Incarnation {
        &self.me.incarnation
    }

    /// Returns the witness set that this node knows.
    pub fn witness_set(&self) -> &Set {
        &self.set
    }

    /// Returns the number of keys remembered.
    pub fn known_keys(&self) -> usize {
        self.ledger.len()
    }

    fn send(&mut self, to: &Vm, message: Message, out: &mut Vec<Action>) {
        if *to == self.me.incarnation.vm {
            self.local.push_back(message);
        } else {
            out.push(Action::Send {
                to: to.clone(),
                message,
            });
        }
    }

    fn send_all(&mut self, message: &Message, out: &mut Vec<Action>) {
        for vm in self.member_vms() {
            self.send(&vm, message.clone(), out);
        }
    }

    fn member_vms(&self) -> Vec<Vm> {
        let members = self.set.members().iter();
        let mut vms: Vec<Vm> = members.map(|m| m.incarnation.vm.clone()).collect();
        vms.dedup();
        vms
    }

    fn receive(&mut self, now: Time, from: &Incarnation, message: Message, out: &mut Vec<Action>) {
        match message {
            Message::Hello { .. } | Message::Sync { .. } | Message::Page { .. } => {
                self.receive_member(now, from, message, out);
            }
            Message::Vote { .. }
            | Message::Voided { .. }
            | Message::Stored { .. }
            | Message::Inquire { .. }
            | Message::Tell { .. } => self.receive_executor(now, from, message, out),
            _ => self.receive_witness(now, from, message, out),
        }
    }

    fn drain_local(&mut self, now: Time, out: &mut Vec<Action>) {
        let me = self.me.incarnation.clone();
        while let Some(message) = self.local.pop_front() {
            self.receive(now, &me, message, out);
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        self.ledger.expire(now);
        while self.abandoned.front().is_some_and(|(due, _)| *due <= now) {
            self.abandoned.pop_front();
        }
        self.tick_members(now, out);
        self.tick_runs(now, out);
    }
}

impl Machine for Participant {
    type Event = Event;
    type Action = Action;

    fn step(&mut self, now: Time, event: Event, out: &mut impl Extend<Action>) {
        let mut actions = Vec::new();
        match event {
            Event::View(view) => self.take_view(now, view, &mut actions),
            Event::ListRead => self.listed = Some(now),
            Event::Begin {
                request,
                key,
                body,
                deadline,
            } => self.begin(now, request, key, body, deadline, &mut actions),
            Event::Finished { request, record } => {
                self.finish(now, request, record, &mut actions);
            }
            Event::Abandon { request } => self.abandon(now, request, &mut actions),
            Event::Receive { from, message } => self.receive(now, &from, message, &mut actions),
            Event::Leave => {
                self.leaving = true;
                self.tick_members(now, &mut actions);
            }
            Event::Tick => self.tick(now, &mut actions),
        }
        self.drain_local(now, &mut actions);
        out.extend(actions);
    }

    fn wake(&self) -> Option<Time> {
        let runs = self.runs.values().map(|run| run.wake(&self.config)).min();
        let deliveries = self.deliveries.values().map(|delivery| delivery.next).min();
        let recovery = self.recovery_due();
        let timers = [
            Some(self.beat),
            runs,
            deliveries,
            self.ledger.due(),
            recovery,
        ];
        timers.into_iter().flatten().min()
    }
}
