//! Requests that crash the upstreams which run them.
//!
//! A request is known by the fingerprint of its work, so that its resends are known too. When an
//! upstream crashes, each node charges the requests that it had there. A fingerprint with a charge is a
//! **suspect**; one that finishes is cleared, on every node, and one with as many charges as
//! [`Config::convicted`] says is refused from then on.
//!
//! With [`Config::wards`], suspects run apart: each needs a seat on one of a few upstreams
//! of its pool (its wards), as the only suspect, with no new work beside it. The node that owns the upstream gives seats
//! out one at a time. A suspect that crashes its ward is convicted, and the requests beside it are not charged.
//!
//! A few nodes keep the charges of each fingerprint (by rendezvous). All nodes are
//! told of those that have [`Config::told`] charges.

mod charge;
mod fingerprint;
mod seat;
mod tell;
mod voucher;

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wire::{Incarnation, Machine, Request, Time, Upstream, View, Vm, rank};

use charge::Book;
pub use charge::{CrashReport, ReportId};
pub use fingerprint::{Fingerprint, fingerprint};
use seat::Seat;
use voucher::Vouchers;

/// Nodes that keep the charges of a fingerprint: one of them is left when two are lost at once.
const KEEPERS: usize = 3;

/// Time in which it has to be known whether an upstream that broke a request off has crashed.
const BROKEN: Duration = Duration::from_secs(2);

/// One in so many upstreams of a pool is a ward.
const WARD_SHARE: usize = 3;

/// Times of a [`PoisonDetector`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Time for which charges are kept after the last resend.
    pub keep: Duration,
    /// Time within which crashes of one upstream count as one.
    pub crash: Duration,
    /// Time between two askings for a seat, two renewals of one and two tellings of a charge.
    pub resend: Duration,
    /// Time without a seat after which a suspect is told to come back later.
    pub patience: Duration,
    /// Most charges kept.
    pub charges: usize,
    /// Crashes that convict a fingerprint.
    pub convicted: usize,
    /// Whether suspects run apart from other requests.
    pub wards: bool,
    /// Charges of a fingerprint from which every node is told of them.
    pub told: usize,
    /// Time for which a request that has finished vouches for those with its fingerprint.
    pub vouched: Duration,
    /// Most fingerprints that are vouched for.
    pub vouchers: usize,
}

impl Config {
    /// Returns the limits for upstreams whose requests are not to wait for a ward: suspects run
    /// like others and are convicted by the third crash.
    pub fn without_isolation() -> Self {
        Self {
            crash: Duration::from_secs(1),
            convicted: 3,
            wards: false,
            told: 2,
            vouched: Duration::from_secs(60),
            ..Self::default()
        }
    }
}

impl Default for Config {
    fn default() -> Self {
        Self {
            keep: Duration::from_secs(3_600),
            crash: Duration::from_secs(5),
            resend: Duration::from_millis(200),
            patience: Duration::from_secs(30),
            charges: 4_096,
            convicted: 2,
            wards: true,
            told: 1,
            vouched: Duration::ZERO,
            vouchers: 4_096,
        }
    }
}

/// What is believed of a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FingerprintStatus {
    /// Nothing is held against it.
    Clear,
    /// An upstream crashed while it ran there, among others.
    Suspect,
    /// It crashed as many upstreams as convict it.
    Convicted,
}

/// What a [`PoisonDetector`] is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// The nodes of the region.
    View(View),
    /// A request is about to be sent to an upstream.
    Dispatch {
        /// The request's number at this node.
        request: Request,
        /// Its fingerprint.
        fingerprint: Fingerprint,
        /// The upstream; [`PoisonDetector::isolation_upstream`] names it for a suspect.
        upstream: Upstream,
    },
    /// A request that may run has its whole answer.
    Finished {
        /// The request.
        request: Request,
    },
    /// A request is over otherwise, by no crash.
    Dropped {
        /// The request.
        request: Request,
    },
    /// An upstream broke a request off. Whether it has crashed is told within two seconds.
    ConnectionLost {
        /// The request.
        request: Request,
    },
    /// An upstream that broke requests off has not crashed.
    StillRunning {
        /// The upstream.
        upstream: Upstream,
    },
    /// An upstream crashed. The requests that it had from this node are over.
    Crashed {
        /// The upstream.
        upstream: Upstream,
    },
    /// A message from another node.
    Receive {
        /// Its sender.
        from: Incarnation,
        /// The message.
        message: Message,
    },
    /// The time of [`Machine::wake`] has come.
    Tick,
}

/// What a [`PoisonDetector`] wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// The request may go to the upstream now.
    Run {
        /// The request.
        request: Request,
        /// Whether it has a seat.
        seated: bool,
    },
    /// The upstream is a ward in use: the request goes to another one.
    Reroute {
        /// The request.
        request: Request,
    },
    /// The request crashes upstreams: it is refused for good.
    Refuse {
        /// The request.
        request: Request,
        /// Upstreams that it has cost.
        crashes: usize,
    },
    /// No seat came free in time: the caller may come back.
    Busy {
        /// The request.
        request: Request,
        /// After that time.
        retry_after: Duration,
    },
    /// Sends a message to another node.
    Send {
        /// The addressee.
        to: Vm,
        /// The message.
        message: Message,
    },
    /// A charge is news, for the log.
    CrashReported {
        /// The charge.
        report: CrashReport,
        /// Crashes that the fingerprint is held to have caused now.
        crashes: usize,
    },
    /// A fingerprint's standing changed, for the log.
    StatusChanged {
        /// The fingerprint.
        fingerprint: Fingerprint,
        /// What is believed of it now.
        status: FingerprintStatus,
    },
}

/// A message between the nodes of a region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A charge, first or again.
    Charge(CrashReport),
    /// Charges that are held against a request no more, since it finished.
    Clear {
        /// The charges.
        charges: Vec<ReportId>,
    },
    /// Asks for a seat.
    Ask {
        /// The ward.
        upstream: Upstream,
        /// The request at the asking node.
        request: Request,
    },
    /// Gives a seat.
    Seat {
        /// The ward.
        upstream: Upstream,
        /// The request at the asking node.
        request: Request,
    },
    /// Gives a seat back.
    Rise {
        /// The ward.
        upstream: Upstream,
        /// The request at the node that had it.
        request: Request,
    },
    /// A ward takes no other work for that time.
    Reserve {
        /// The ward.
        upstream: Upstream,
        /// The time; none where the ward is free again.
        left: Duration,
    },
}

#[derive(Clone, Debug)]
struct Run {
    request: Request,
    fingerprint: Fingerprint,
    upstream: Upstream,
    seated: bool,
    since: Time,
    broken: Option<Time>,
}

#[derive(Clone, Debug)]
struct Waiter {
    request: Request,
    fingerprint: Fingerprint,
    upstream: Upstream,
    since: Time,
    asked: Option<Time>,
}

/// Poison detection at one node. See the [module](self).
#[derive(Clone, Debug)]
pub struct PoisonDetector {
    config: Config,
    me: Incarnation,
    view: View,
    book: Book,
    vouchers: Vouchers,
    runs: Vec<Run>,
    waiters: Vec<Waiter>,
    seats: Vec<Seat>,
    reserved: Vec<(Upstream, Time)>,
    telling: Vec<(CrashReport, u8, Time)>,
    number: u64,
    renewal: Time,
}

impl PoisonDetector {
    /// Makes the detection of the node `me`.
    pub fn new(config: Config, me: Incarnation) -> Self {
        Self {
            book: Book::new(config.clone()),
            vouchers: Vouchers::new(&config),
            config,
            me,
            view: View::default(),
            runs: Vec::new(),
            waiters: Vec::new(),
            seats: Vec::new(),
            reserved: Vec::new(),
            telling: Vec::new(),
            number: 0,
            renewal: Time::ZERO,
        }
    }

    /// Returns what is believed of a fingerprint.
    pub fn status(&self, fingerprint: Fingerprint) -> FingerprintStatus {
        match self.book.count(fingerprint) {
            0 => FingerprintStatus::Clear,
            _ if self.vouchers.has(fingerprint) => FingerprintStatus::Clear,
            crashes if crashes < self.config.convicted => FingerprintStatus::Suspect,
            _ => FingerprintStatus::Convicted,
        }
    }

    /// Returns the upstream of `pool` on which a suspect runs.
    pub fn isolation_upstream<'a>(
        &self,
        fingerprint: Fingerprint,
        pool: &'a [Upstream],
    ) -> Option<&'a Upstream> {
        let count = pool.len().div_ceil(WARD_SHARE);
        let wards = rank::top(rank::hash("ward"), pool, count);
        let key = rank::hash(fingerprint.to_le_bytes());
        wards.into_iter().max_by_key(|ward| rank::weight(key, ward))
    }

    /// Tells whether an upstream takes no work but its seated suspect now.
    pub fn reserved(&self, now: Time, upstream: &str) -> bool {
        let holds = |(ward, until): &(Upstream, Time)| **ward == *upstream && now < *until;
        self.reserved.iter().any(holds)
    }

    fn arrive(&mut self, now: Time, waiter: Waiter, out: &mut Vec<Action>) {
        let request = waiter.request;
        self.book.touch(now, waiter.fingerprint);
        match self.status(waiter.fingerprint) {
            FingerprintStatus::Convicted => out.push(Action::Refuse {
                request,
                crashes: self.book.count(waiter.fingerprint),
            }),
            FingerprintStatus::Clear if self.reserved(now, &waiter.upstream) => {
                out.push(Action::Reroute { request });
            }
            FingerprintStatus::Clear => self.run(now, waiter, false, out),
            FingerprintStatus::Suspect if !self.config.wards => self.run(now, waiter, false, out),
            FingerprintStatus::Suspect => {
                self.waiters.push(waiter);
                self.ask_seats(now, out);
            }
        }
    }

    fn run(&mut self, now: Time, waiter: Waiter, seated: bool, out: &mut Vec<Action>) {
        let request = waiter.request;
        self.runs.push(Run {
            request,
            fingerprint: waiter.fingerprint,
            upstream: waiter.upstream,
            seated,
            since: now,
            broken: None,
        });
        out.push(Action::Run { request, seated });
    }

    /// Sends a message; one to this node itself is taken at once.
    fn send(&mut self, now: Time, to: Vm, message: Message, out: &mut Vec<Action>) {
        if to == self.me.vm {
            let from = self.me.clone();
            self.receive(now, &from, message, out);
        } else {
            out.push(Action::Send { to, message });
        }
    }

    fn broadcast(&self, message: &Message, out: &mut Vec<Action>) {
        let peers = self.view.peers().iter().map(|p| &p.incarnation.vm);
        for to in peers.filter(|vm| **vm != self.me.vm) {
            out.push(Action::Send {
                to: to.clone(),
                message: message.clone(),
            });
        }
    }

    fn receive(&mut self, now: Time, from: &Incarnation, message: Message, out: &mut Vec<Action>) {
        match message {
            Message::Charge(charge) => self.take_charge(now, charge, out),
            Message::Clear { charges } => self.book.clear(now, &charges),
            Message::Ask { upstream, request } => self.asked(now, from, upstream, request, out),
            Message::Seat { upstream, request } => self.seated(now, from, &upstream, request, out),
            Message::Rise { upstream, request } => self.risen(now, from, &upstream, request, out),
            Message::Reserve { upstream, left } => self.reserve(now, upstream, left),
        }
    }

    fn over(&mut self, now: Time, request: Request, whole: bool, out: &mut Vec<Action>) {
        self.waiters.retain(|waiter| waiter.request != request);
        let Some(index) = self.runs.iter().position(|r| r.request == request) else {
            return;
        };
        let run = self.runs.swap_remove(index);
        if whole {
            self.finished(now, run.fingerprint, out);
        }
        if run.seated {
            self.rise(now, run.upstream, request, out);
        }
    }

    fn finished(&mut self, now: Time, fingerprint: Fingerprint, out: &mut Vec<Action>) {
        self.vouchers.add(now, fingerprint);
        let charges = self.book.open(fingerprint);
        if charges.is_empty() {
            return;
        }
        let to = self.audience(fingerprint);
        self.book.clear(now, &charges);
        self.telling
            .retain(|(charge, _, _)| charge.fingerprint != fingerprint);
        let message = Message::Clear { charges };
        out.extend(to.into_iter().map(|to| Action::Send {
            to,
            message: message.clone(),
        }));
        let status = FingerprintStatus::Clear;
        out.push(Action::StatusChanged {
            fingerprint,
            status,
        });
    }

    fn broken(&mut self, now: Time, request: Request) {
        if let Some(run) = self.runs.iter_mut().find(|run| run.request == request) {
            run.broken = Some(now);
        }
    }

    fn lives(&mut self, now: Time, upstream: &Upstream, out: &mut Vec<Action>) {
        let there = |run: &&Run| run.upstream == *upstream && run.broken.is_some();
        let over: Vec<Request> = self.runs.iter().filter(there).map(|r| r.request).collect();
        for request in over {
            self.over(now, request, false, out);
        }
    }

    fn crashed(&mut self, now: Time, upstream: &Upstream, out: &mut Vec<Action>) {
        let at = |run: &&Run| run.upstream == *upstream;
        let broken = self
            .runs
            .iter()
            .filter(at)
            .filter_map(|run| run.broken)
            .min();
        // What was sent there since has met no process.
        let before = |run: &Run| broken.is_none_or(|broken| run.since <= broken);
        let there = |run: &Run| run.upstream == *upstream && before(run);
        let (there, rest): (Vec<Run>, Vec<Run>) = self.runs.drain(..).partition(there);
        self.runs = rest;
        for run in &there {
            self.number += 1;
            let charge = CrashReport {
                id: ReportId {
                    reporter: self.me.clone(),
                    number: self.number,
                },
                fingerprint: run.fingerprint,
                upstream: run.upstream.clone(),
                seated: run.seated,
                age: Duration::ZERO,
            };
            self.telling.push((charge.clone(), 1, now));
            self.charge(now, charge, out);
            self.tell(now, run.fingerprint, out);
        }
        for run in there.into_iter().filter(|run| run.seated) {
            self.rise(now, run.upstream, run.request, out);
        }
    }

    /// Takes a charge in. Returns whether it is news.
    fn charge(&mut self, now: Time, charge: CrashReport, out: &mut Vec<Action>) -> bool {
        let fingerprint = charge.fingerprint;
        let before = self.status(fingerprint);
        if !self.book.charge(now, charge.clone()) {
            return false;
        }
        let crashes = self.book.count(fingerprint);
        out.push(Action::CrashReported {
            report: charge,
            crashes,
        });
        let status = self.status(fingerprint);
        if status == before {
            return true;
        }
        out.push(Action::StatusChanged {
            fingerprint,
            status,
        });
        if status == FingerprintStatus::Convicted {
            self.refuse_waiting(fingerprint, out);
        }
        true
    }

    fn refuse_waiting(&mut self, fingerprint: Fingerprint, out: &mut Vec<Action>) {
        let crashes = self.book.count(fingerprint);
        let convicted = self.waiters.iter().filter(|w| w.fingerprint == fingerprint);
        out.extend(convicted.map(|w| Action::Refuse {
            request: w.request,
            crashes,
        }));
        self.waiters.retain(|w| w.fingerprint != fingerprint);
    }

    /// Lets go of the waiters that were cleared meanwhile or have waited too long.
    fn review(&mut self, now: Time, out: &mut Vec<Action>) {
        let waiters = std::mem::take(&mut self.waiters);
        for waiter in waiters {
            let request = waiter.request;
            if self.status(waiter.fingerprint) == FingerprintStatus::Clear {
                out.push(Action::Reroute { request });
            } else if now >= waiter.since + self.config.patience {
                let retry_after = self.config.patience / 4;
                out.push(Action::Busy {
                    request,
                    retry_after,
                });
            } else {
                self.waiters.push(waiter);
            }
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        self.book.expire(now);
        self.vouchers.expire(now);
        let known = |run: &Run| run.broken.is_none_or(|at| now < at + BROKEN);
        self.runs.retain(known);
        self.reserved.retain(|(_, until)| now < *until);
        self.review(now, out);
        self.tell_again(now, out);
        self.ask_seats(now, out);
        for index in 0..self.seats.len() {
            self.tick_seat(now, index, out);
        }
        self.seats
            .retain(|seat| seat.holder.is_some() || !seat.queue.is_empty());
    }
}

impl Machine for PoisonDetector {
    type Event = Event;
    type Action = Action;

    fn step(&mut self, now: Time, event: Event, out: &mut impl Extend<Action>) {
        let mut actions = Vec::new();
        match event {
            Event::View(view) => self.take_view(now, view, &mut actions),
            Event::Dispatch {
                request,
                fingerprint,
                upstream,
            } => {
                let waiter = Waiter {
                    request,
                    fingerprint,
                    upstream,
                    since: now,
                    asked: None,
                };
                self.arrive(now, waiter, &mut actions);
            }
            Event::Finished { request } => self.over(now, request, true, &mut actions),
            Event::Dropped { request } => self.over(now, request, false, &mut actions),
            Event::ConnectionLost { request } => self.broken(now, request),
            Event::StillRunning { upstream } => self.lives(now, &upstream, &mut actions),
            Event::Crashed { upstream } => self.crashed(now, &upstream, &mut actions),
            Event::Receive { from, message } => self.receive(now, &from, message, &mut actions),
            Event::Tick => self.tick(now, &mut actions),
        }
        out.extend(actions);
    }

    fn wake(&self) -> Option<Time> {
        let resend = self.config.resend;
        let waiters = self.waiters.iter().filter_map(|w| w.asked).min();
        let telling = self.telling.iter().map(|(_, _, at)| *at).min();
        let held = self.seats.iter().filter(|s| s.holder.is_some());
        let seats = held.map(|s| s.told).min();
        let seated = self.runs.iter().any(|run| run.seated);
        let seats = seats
            .into_iter()
            .chain(seated.then_some(self.renewal))
            .min();
        let repeat = waiters.into_iter().chain(telling).min();
        let timers = [repeat.map(|at| at + resend), seats, self.book.due()];
        timers.into_iter().flatten().min()
    }
}
