//! The state machine of one node, which executes calls and is a witness for other executors.
//!
//! - This module defines the configuration, events, actions and queries of the state machine.
//! - `members` maintains the witness set: joining, removing members, recovery and founding.
//! - `witness` handles the requests of executors.
//! - `executor` collects votes and decides the outcome of requests.
//! - `void` withdraws calls that were not sent, and `delivery` completes those that were.
//! - `pending` is the state of one call at its executor.
//! - `lookup` reports the state of a key to operators.

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
use crate::witness_set::{Member, WitnessSet};
use members::{Absent, Peer, Recovery};
use pending::{Delivery, PendingCall};

pub use lookup::{CallState, Lookup};
pub use pending::{Outcome, Reason};

/// Limits and timeouts of a [`Participant`]. They must be the same on every VM of a region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Number of witnesses. A quorum is more than half of them.
    pub witness_count: u8,
    /// Time after a call's first attempt during which callers may retry its key.
    pub retry_window: Duration,
    /// Maximum time that a request may wait for its response.
    pub max_wait: Duration,
    /// Maximum time from the start of a request to the quorum of votes that permits its call.
    pub claim_timeout: Duration,
    /// Maximum time between the quorum of votes and the first byte sent to the upstream.
    pub permit_timeout: Duration,
    /// Maximum age of the last successful read of the VM list. Beyond it, a witness votes only for
    /// keys with a ticket.
    pub max_list_age: Duration,
    /// Time after a lineage is founded during which keys without its ticket are refused, because
    /// witnesses of an earlier lineage may have let them run. [`Config::full_quarantine`] is the safe
    /// value. A shorter one is safe only if no earlier lineage accepted calls within that time, for
    /// example when the system starts for the first time.
    pub quarantine: Duration,
    /// Interval between two [`Message::Hello`]s.
    pub hello_interval: Duration,
    /// Time after which a message without a reply is sent again.
    pub resend_interval: Duration,
    /// Time without progress after which a claim is abandoned.
    pub stall_timeout: Duration,
    /// Time that a VM must be missing from the view before its member is removed.
    pub removal_delay: Duration,
    /// Time without a quorum of voting members after which a lineage is abandoned, and the minimum
    /// age of a term that may found a new one.
    pub founding_delay: Duration,
    /// Maximum size of a response body that witnesses store, in bytes.
    pub max_stored_body: usize,
}

impl Default for Config {
    fn default() -> Self {
        let mut config = Self {
            witness_count: 7,
            retry_window: Duration::from_secs(600),
            max_wait: Duration::from_secs(60),
            claim_timeout: Duration::from_secs(10),
            permit_timeout: Duration::from_secs(5),
            max_list_age: Duration::from_secs(300),
            quarantine: Duration::ZERO,
            hello_interval: Duration::from_secs(1),
            resend_interval: Duration::from_millis(50),
            stall_timeout: Duration::from_secs(1),
            removal_delay: Duration::from_secs(2),
            founding_delay: Duration::from_secs(3),
            max_stored_body: 4096,
        };
        config.quarantine = config.full_quarantine();
        config
    }
}

impl Config {
    /// Returns the maximum time from requesting a void to reporting the call as not run.
    ///
    /// A void applies to every request that starts up to this long after it was recorded, and
    /// therefore to every request that started before the report.
    pub fn void_timeout(&self) -> Duration {
        self.resend_interval * 4
    }

    /// Returns the time for which a witness retains the entry of a key.
    ///
    /// A retry that starts at the end of the retry window may still collect votes and be permitted.
    /// An eighth is added for clocks that run at different rates.
    pub fn retention(&self) -> Duration {
        let span = self.retry_window + self.claim_timeout + self.permit_timeout;
        span + span / 8
    }

    /// Returns the time after which an executor drops a call that was sent and whose end was never
    /// reported.
    pub(super) fn sent_retention(&self) -> Duration {
        self.retention() + self.max_wait
    }

    /// Returns the quarantine after which no key within its retry window can have run under an
    /// earlier lineage, even if its witnesses continued in a network partition.
    pub fn full_quarantine(&self) -> Duration {
        let span = self.retention() + self.max_list_age;
        span + span / 8
    }
}

/// Input of a [`Participant`].
#[derive(Clone, Debug)]
pub enum Event {
    /// This node's current view of the region's nodes, sent on each change.
    View(View),
    /// The platform's VM list was read successfully. The driver sends this after each read, even if
    /// nothing changed. Without it, witnesses vote only for keys with a ticket.
    ListRead,
    /// A caller sends a call that must run at most once.
    Begin {
        /// The request's number, which this node has not used before.
        request: Request,
        /// Key of the call.
        key: Key,
        /// Digest of the request body.
        body: Digest,
        /// When the request must be answered.
        deadline: Time,
    },
    /// The call that was sent for `request` has ended.
    Finished {
        /// The request that was executed.
        request: Request,
        /// The result of the call.
        record: CallRecord,
    },
    /// The driver has not sent the call and will not.
    Abandon {
        /// The request.
        request: Request,
    },
    /// A message from another participant arrived.
    Receive {
        /// The authenticated sender.
        from: Incarnation,
        /// The message.
        message: Message,
    },
    /// The node is shutting down and hands over its role as a witness.
    Leave,
    /// The time returned by [`Machine::wake`] was reached.
    Tick,
}

/// Output of a [`Participant`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Sends a message to the participant on another VM.
    Send {
        /// The destination.
        to: Vm,
        /// The message.
        message: Message,
    },
    /// Sends the call to its upstream if [`Participant::permit`] allows it. Emitted at most once per
    /// claim.
    Execute {
        /// The request.
        request: Request,
    },
    /// Answers the request with the first result recorded for the call.
    Answer {
        /// The request.
        request: Request,
        /// The result.
        record: CallRecord,
    },
    /// Refuses the request.
    Refuse {
        /// The request.
        request: Request,
        /// What is known about the call.
        outcome: Outcome,
        /// Why the request is refused.
        reason: Reason,
        /// Delay after which a retry may succeed; `None` if it never will.
        retry_after: Option<Duration>,
    },
    /// Reports a change for the log.
    Note(Note),
}

/// A change that is logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    /// The node founded a lineage of witnesses.
    LineageFounded {
        /// The lineage.
        lineage: u64,
    },
    /// The node completed its recovery, or founded the lineage, and its votes count from now on.
    VotingStarted {
        /// The lineage.
        lineage: u64,
        /// Number of keys that it has an entry for.
        records: usize,
    },
    /// The node abandoned its lineage, and with it its term as a witness.
    LineageAbandoned {
        /// The lineage.
        lineage: u64,
    },
    /// The node removed a member whose process is gone.
    MemberRemoved {
        /// The removed member.
        member: Member,
    },
}

/// State machine for at-most-once execution on one node. See the [module](self) documentation.
#[derive(Clone, Debug)]
pub struct Participant {
    config: Config,
    me: Member,
    view: View,
    /// Time of the last successful read of the VM list.
    list_read_at: Option<Time>,
    leaving: bool,
    set: WitnessSet,
    set_id: u64,
    /// Whether this node added itself to the set, instead of having founded the lineage.
    added_self: bool,
    /// Whether this node's votes count.
    voting: bool,
    quarantine_until: Time,
    /// When the current term started or the lineage was entered, whichever is later.
    term_since: Time,
    /// Last time at which there was no reason to abandon the lineage, see
    /// `abandon_lineage_without_quorum`.
    last_quorum: Time,
    peers: Vec<Peer>,
    absent: Vec<Absent>,
    recovery: Option<Recovery>,
    next_hello: Time,
    ledger: Ledger,
    pending: BTreeMap<Key, PendingCall>,
    requests: BTreeMap<Request, Key>,
    deliveries: BTreeMap<Key, Delivery>,
    /// Claims that this process abandoned, with the time at which they may be forgotten.
    abandoned: VecDeque<(Time, Claim)>,
    last_claim_number: u64,
    /// Messages that this node sent to itself.
    loopback: VecDeque<Message>,
}

impl Participant {
    /// Creates the participant of `incarnation`, a process that has just started.
    pub fn new(config: Config, incarnation: Incarnation) -> Self {
        let me = Member {
            incarnation,
            term: 0,
        };
        let mut set = WitnessSet::new(config.witness_count);
        set.add(me.clone());
        Self {
            set_id: set.id(),
            config,
            me,
            view: View::default(),
            list_read_at: None,
            leaving: false,
            set,
            added_self: false,
            voting: false,
            quarantine_until: Time::ZERO,
            term_since: Time::ZERO,
            last_quorum: Time::ZERO,
            peers: Vec::new(),
            absent: Vec::new(),
            recovery: None,
            next_hello: Time::ZERO,
            ledger: Ledger::default(),
            pending: BTreeMap::new(),
            requests: BTreeMap::new(),
            deliveries: BTreeMap::new(),
            abandoned: VecDeque::new(),
            last_claim_number: 0,
            loopback: VecDeque::new(),
        }
    }

    /// Returns whether the first byte of `request`'s call may be written now, and if so, considers
    /// the call sent. The driver calls this immediately before it writes, so that a process that
    /// resumes after a long pause sends nothing. Returns `true` at most once per claim.
    pub fn permit(&mut self, now: Time, request: Request) -> bool {
        let timeout = self.config.permit_timeout;
        let Some(key) = self.requests.get(&request) else {
            return false;
        };
        self.pending
            .get_mut(key)
            .is_some_and(|call| call.permit(now, request, timeout))
    }

    /// Returns whether claims can be decided here: a lineage is known, and a quorum of its voting
    /// members was heard from recently.
    pub fn ready(&self, now: Time) -> bool {
        self.set.lineage() != 0 && self.voting_members(now) >= self.set.quorum()
    }

    /// Returns whether this node's votes count.
    pub fn is_voting(&self) -> bool {
        self.voting
    }

    /// Returns whether a node that received [`Event::Leave`] has handed over everything.
    pub fn is_drained(&self) -> bool {
        let calls = self.pending.is_empty() && self.deliveries.is_empty();
        self.leaving && calls && !self.set.contains(&self.me)
    }

    /// Returns the ticket that callers should put before new idempotency keys. Keys with the ticket
    /// of the current lineage are accepted even during its quarantine.
    pub fn ticket(&self) -> Option<String> {
        let lineage = self.set.lineage();
        (lineage != 0).then(|| key::format_ticket(lineage))
    }

    /// Returns the process that this participant belongs to.
    pub fn incarnation(&self) -> &Incarnation {
        &self.me.incarnation
    }

    /// Returns the witness set as known to this node.
    pub fn witness_set(&self) -> &WitnessSet {
        &self.set
    }

    /// Returns the number of keys with an entry in the ledger.
    pub fn known_keys(&self) -> usize {
        self.ledger.len()
    }

    fn send(&mut self, to: &Vm, message: Message, out: &mut Vec<Action>) {
        if *to == self.me.incarnation.vm {
            self.loopback.push_back(message);
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
            Message::Hello { .. } | Message::Sync { .. } | Message::Entries { .. } => {
                self.receive_membership(now, from, message, out);
            }
            Message::Vote { .. }
            | Message::Voided { .. }
            | Message::Stored { .. }
            | Message::QueryClaim { .. }
            | Message::ReportClaim { .. } => self.receive_executor(now, from, message, out),
            _ => self.receive_witness(now, from, message, out),
        }
    }

    fn process_loopback(&mut self, now: Time, out: &mut Vec<Action>) {
        let me = self.me.incarnation.clone();
        while let Some(message) = self.loopback.pop_front() {
            self.receive(now, &me, message, out);
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        self.ledger.expire(now);
        while self.abandoned.front().is_some_and(|(due, _)| *due <= now) {
            self.abandoned.pop_front();
        }
        self.tick_members(now, out);
        self.tick_pending(now, out);
    }
}

impl Machine for Participant {
    type Event = Event;
    type Action = Action;

    fn step(&mut self, now: Time, event: Event, out: &mut impl Extend<Action>) {
        let mut actions = Vec::new();
        match event {
            Event::View(view) => self.update_view(now, view, &mut actions),
            Event::ListRead => self.list_read_at = Some(now),
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
        self.process_loopback(now, &mut actions);
        out.extend(actions);
    }

    fn wake(&self) -> Option<Time> {
        let pending = self
            .pending
            .values()
            .map(|call| call.wake(&self.config))
            .min();
        let deliveries = self
            .deliveries
            .values()
            .map(|delivery| delivery.next_send)
            .min();
        let recovery = self.recovery_due();
        let timers = [
            Some(self.next_hello),
            pending,
            deliveries,
            self.ledger.next_expiry(),
            recovery,
        ];
        timers.into_iter().flatten().min()
    }
}
