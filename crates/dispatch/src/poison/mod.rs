//! Requests that crash the upstreams which run them.
//!
//! A request is known by the fingerprint of its work, so that its resends are known too. When an
//! upstream crashes, each node charges the requests that it had there, and tells its peers.
//!
//! - A fingerprint with one charge is a **suspect**. It runs only with a seat: on one of a few upstreams
//!   of its pool (its wards), as the only suspect, with no new work beside it. The node that owns the upstream gives seats
//!   out one at a time.
//! - A suspect that finishes is cleared, on every node.
//! - One that crashes its ward is convicted: it has cost two upstreams, and is refused from then
//!   on. The requests beside it are not charged.

mod charge;
mod print;
mod seat;

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wire::{Incarnation, Machine, Request, Time, Upstream, View, Vm, rank};

use charge::Book;
pub use charge::{Charge, Id};
pub use print::{Print, print};
use seat::Seat;

/// Crashes that convict.
const CONVICTED: usize = 2;

/// One in so many upstreams of a pool is a ward.
const WARD_SHARE: usize = 3;

/// Times that a charge is told to each peer.
const TELLINGS: u8 = 3;

/// Times of a [`Poison`].
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
}

impl Default for Config {
    fn default() -> Self {
        Self {
            keep: Duration::from_secs(3_600),
            crash: Duration::from_secs(5),
            resend: Duration::from_millis(200),
            patience: Duration::from_secs(30),
            charges: 4_096,
        }
    }
}

/// What is believed of a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing is held against it.
    Clear,
    /// An upstream crashed while it ran there, among others.
    Suspect,
    /// It crashed two upstreams.
    Convicted,
}

/// What a [`Poison`] is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// The nodes of the region.
    View(View),
    /// A request is about to be sent to an upstream.
    Arrive {
        /// The request's number at this node.
        request: Request,
        /// Its fingerprint.
        print: Print,
        /// The upstream; [`Poison::ward`] names it for a suspect.
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

/// What a [`Poison`] wants done.
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
    Elsewhere {
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
    /// A fingerprint's standing changed, for the log.
    Note {
        /// The fingerprint.
        print: Print,
        /// What is believed of it now.
        standing: Standing,
    },
}

/// A message between the nodes of a region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A charge, first or again.
    Charge(Charge),
    /// Charges that are held against a request no more, since it finished.
    Clear {
        /// The charges.
        charges: Vec<Id>,
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
    print: Print,
    upstream: Upstream,
    seated: bool,
}

#[derive(Clone, Debug)]
struct Waiter {
    request: Request,
    print: Print,
    upstream: Upstream,
    since: Time,
    asked: Option<Time>,
}

/// Poison detection at one node. See the [module](self).
#[derive(Clone, Debug)]
pub struct Poison {
    config: Config,
    me: Incarnation,
    view: View,
    book: Book,
    runs: Vec<Run>,
    waiters: Vec<Waiter>,
    seats: Vec<Seat>,
    reserved: Vec<(Upstream, Time)>,
    telling: Vec<(Charge, u8, Time)>,
    number: u64,
    renewal: Time,
}

impl Poison {
    /// Makes the detection of the node `me`.
    pub fn new(config: Config, me: Incarnation) -> Self {
        Self {
            book: Book::new(config.clone()),
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
    pub fn standing(&self, print: Print) -> Standing {
        match self.book.count(print) {
            0 => Standing::Clear,
            crashes if crashes < CONVICTED => Standing::Suspect,
            _ => Standing::Convicted,
        }
    }

    /// Returns the upstream of `pool` on which a suspect runs.
    pub fn ward<'a>(&self, print: Print, pool: &'a [Upstream]) -> Option<&'a Upstream> {
        let count = pool.len().div_ceil(WARD_SHARE);
        let wards = rank::top(rank::hash("ward"), pool, count);
        let key = rank::hash(print.to_le_bytes());
        wards.into_iter().max_by_key(|ward| rank::weight(key, ward))
    }

    /// Tells whether an upstream takes no work but its seated suspect now.
    pub fn reserved(&self, now: Time, upstream: &str) -> bool {
        let holds = |(ward, until): &(Upstream, Time)| **ward == *upstream && now < *until;
        self.reserved.iter().any(holds)
    }

    fn arrive(&mut self, now: Time, waiter: Waiter, out: &mut Vec<Action>) {
        let request = waiter.request;
        self.book.touch(now, waiter.print);
        match self.standing(waiter.print) {
            Standing::Convicted => out.push(Action::Refuse {
                request,
                crashes: self.book.count(waiter.print),
            }),
            Standing::Clear if self.reserved(now, &waiter.upstream) => {
                out.push(Action::Elsewhere { request });
            }
            Standing::Clear => self.run(waiter, false, out),
            Standing::Suspect => {
                self.waiters.push(waiter);
                self.ask_seats(now, out);
            }
        }
    }

    fn run(&mut self, waiter: Waiter, seated: bool, out: &mut Vec<Action>) {
        let request = waiter.request;
        self.runs.push(Run {
            request,
            print: waiter.print,
            upstream: waiter.upstream,
            seated,
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
            Message::Charge(charge) => self.charge(now, charge, out),
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
            self.finished(now, run.print, out);
        }
        if run.seated {
            self.rise(now, run.upstream, request, out);
        }
    }

    fn finished(&mut self, now: Time, print: Print, out: &mut Vec<Action>) {
        let charges = self.book.open(print);
        if charges.is_empty() {
            return;
        }
        self.book.clear(now, &charges);
        self.telling.retain(|(charge, _, _)| charge.print != print);
        self.broadcast(&Message::Clear { charges }, out);
        let standing = Standing::Clear;
        out.push(Action::Note { print, standing });
    }

    fn crashed(&mut self, now: Time, upstream: &Upstream, out: &mut Vec<Action>) {
        let there = |run: &Run| run.upstream == *upstream;
        let (there, rest): (Vec<Run>, Vec<Run>) = self.runs.drain(..).partition(there);
        self.runs = rest;
        for run in &there {
            self.number += 1;
            let charge = Charge {
                id: Id {
                    by: self.me.clone(),
                    number: self.number,
                },
                print: run.print,
                upstream: run.upstream.clone(),
                seated: run.seated,
                age: Duration::ZERO,
            };
            self.broadcast(&Message::Charge(charge.clone()), out);
            self.telling.push((charge.clone(), 1, now));
            self.charge(now, charge, out);
        }
        for run in there.into_iter().filter(|run| run.seated) {
            self.rise(now, run.upstream, run.request, out);
        }
    }

    fn charge(&mut self, now: Time, charge: Charge, out: &mut Vec<Action>) {
        let print = charge.print;
        let before = self.standing(print);
        self.book.charge(now, charge);
        let standing = self.standing(print);
        if standing == before {
            return;
        }
        out.push(Action::Note { print, standing });
        if standing == Standing::Convicted {
            self.refuse_waiting(print, out);
        }
    }

    fn refuse_waiting(&mut self, print: Print, out: &mut Vec<Action>) {
        let crashes = self.book.count(print);
        let convicted = self.waiters.iter().filter(|w| w.print == print);
        out.extend(convicted.map(|w| Action::Refuse {
            request: w.request,
            crashes,
        }));
        self.waiters.retain(|w| w.print != print);
    }

    /// Lets go of the waiters that were cleared meanwhile or have waited too long.
    fn review(&mut self, now: Time, out: &mut Vec<Action>) {
        let waiters = std::mem::take(&mut self.waiters);
        for waiter in waiters {
            let request = waiter.request;
            if self.standing(waiter.print) == Standing::Clear {
                out.push(Action::Elsewhere { request });
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

    fn tell_again(&mut self, now: Time, out: &mut Vec<Action>) {
        let resend = self.config.resend;
        let mut due = Vec::new();
        for (charge, times, at) in &mut self.telling {
            if now >= *at + resend {
                *times += 1;
                charge.age += now - *at;
                *at = now;
                due.push(Message::Charge(charge.clone()));
            }
        }
        self.telling.retain(|(_, times, _)| *times < TELLINGS);
        for message in due {
            self.broadcast(&message, out);
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        self.book.expire(now);
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

    /// Tells a node that is new what is held against whom.
    fn take_view(&mut self, now: Time, view: View, out: &mut Vec<Action>) {
        let peers = view.peers().iter().map(|p| &p.incarnation);
        let new = peers.filter(|i| **i != self.me && !self.view.knows(i));
        for incarnation in new {
            let charges = self.book.all(now);
            out.extend(charges.map(|charge| Action::Send {
                to: incarnation.vm.clone(),
                message: Message::Charge(charge),
            }));
        }
        self.view = view;
    }
}

impl Machine for Poison {
    type Event = Event;
    type Action = Action;

    fn step(&mut self, now: Time, event: Event, out: &mut impl Extend<Action>) {
        let mut actions = Vec::new();
        match event {
            Event::View(view) => self.take_view(now, view, &mut actions),
            Event::Arrive {
                request,
                print,
                upstream,
            } => {
                let waiter = Waiter {
                    request,
                    print,
                    upstream,
                    since: now,
                    asked: None,
                };
                self.arrive(now, waiter, &mut actions);
            }
            Event::Finished { request } => self.over(now, request, true, &mut actions),
            Event::Dropped { request } => self.over(now, request, false, &mut actions),
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
