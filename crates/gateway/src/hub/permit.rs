//! Permits for requests at brittle upstreams: asks the nodes that issue them, and issues those that are
//! issued here.

use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;

use exchange::announced_rate::{RateBuckets, RateDecision};
use exchange::permit::issuer::View;
use exchange::permit::{
    self, Action, Ask, End, Issuers, Message, Reply, Report, Ticket, Tolerance,
};
use log::info;
use node::journal::DECISION;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use wire::machine::millis;
use wire::{Time, Upstream, Vm};

use super::question::ANSWER_TIMEOUT;
use super::{Hub, Peers};
use crate::datagram;
use crate::dialect::Dialect;

/// Pause between two looks at requests that wait for permits.
const QUEUE_TURN: Duration = Duration::from_millis(10);

/// Shortest and longest time for which an upstream is left alone that issues no permit.
const OVER_MIN: Duration = Duration::from_millis(20);
const UNISSUED_OVER_MAX: Duration = Duration::from_millis(500);

/// A permit of this node, or a question for one.
struct Open {
    ticket: Ticket,
    upstream: Upstream,
    /// When its request is over.
    until: Time,
    /// Whether its request counts at the upstream.
    sent: bool,
    replies: mpsc::UnboundedSender<Reply>,
}

/// The permits that this node issues, and those that it has.
#[derive(Default)]
pub(super) struct Permits {
    issuers: Issuers,
    /// What it sends without a permit where no issuer answers.
    unissued: RateBuckets,
    /// Sorted by ticket.
    open: Vec<Open>,
    last: Ticket,
    /// Whether a task looks after waiting requests.
    polled: bool,
}

impl Permits {
    /// Creates the state of a process whose tickets follow those of former processes.
    pub(super) fn starting_at(last: Ticket) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    fn position(&self, ticket: Ticket) -> Option<usize> {
        let found = self.open.binary_search_by_key(&ticket, |open| open.ticket);
        found.ok()
    }
}

/// What a request asks for.
#[derive(Clone, Copy, Debug)]
pub struct Wish {
    /// Refusals a second that the upstream survives.
    pub tolerance: Tolerance,
    /// Rank of the request; 0 goes first.
    pub rank: u8,
    /// Time that it may wait.
    pub patience: Duration,
    /// Time after which it is over, whatever happens.
    pub time: Duration,
}

/// Whether a request may be sent.
pub enum PermitDecision<D: Dialect> {
    /// It may, with a permit unless no issuer answers.
    Granted(Option<Permit<D>>),
    /// The node may ask again after this time.
    Over(Duration),
}

/// A permit, which is returned when it is dropped.
pub struct Permit<D: Dialect> {
    hub: Arc<Hub<D>>,
    upstream: Upstream,
    ticket: Ticket,
    end: End,
}

impl<D: Dialect> Permit<D> {
    /// Records that the request counts at the upstream from now on.
    pub fn set_sent(&mut self) {
        self.end = End::Dropped;
        let mut permits = self.hub.permits();
        if let Some(index) = permits.position(self.ticket) {
            permits.open[index].sent = true;
        }
    }

    /// Sets how the request has ended.
    pub const fn set_end(&mut self, end: End) {
        self.end = end;
    }
}

impl<D: Dialect> Drop for Permit<D> {
    fn drop(&mut self) {
        let hub = &self.hub;
        {
            let mut permits = hub.permits();
            if let Some(index) = permits.position(self.ticket) {
                permits.open.remove(index);
            }
        }
        let peers = hub.peers.load();
        let issuer = permit::issuer(&self.upstream, &peers.live);
        let message = Message::End {
            upstream: self.upstream.clone(),
            ticket: self.ticket,
            end: self.end,
        };
        hub.send_permit(issuer.unwrap_or(&hub.me.vm), message);
    }
}

impl<D: Dialect> Hub<D> {
    /// Returns the refusals a second that an upstream survives, if it is brittle.
    pub fn tolerance(&self, upstream: &str) -> Option<Tolerance> {
        self.desk()
            .fleet
            .upstream(upstream)?
            .brittleness
            .tolerance()
    }

    /// Asks for a permit, which the request may wait for.
    pub async fn acquire_permit(
        self: &Arc<Self>,
        upstream: &Upstream,
        wish: Wish,
    ) -> PermitDecision<D> {
        let decision = self.ask_issuer(upstream, wish).await;
        let result = match &decision {
            PermitDecision::Granted(Some(_)) => "granted",
            PermitDecision::Granted(None) => "unissued",
            PermitDecision::Over(_) => "over",
        };
        self.metrics.permits.with_label_values(&[result]).inc();
        let PermitDecision::Over(wait) = decision else {
            return decision;
        };
        let (now, wait) = (self.clock.now(), wait.max(OVER_MIN));
        let mut desk = self.desk();
        desk.fleet
            .permits_exhausted(now, upstream, wish.rank == 0, wait);
        PermitDecision::Over(wait)
    }

    async fn ask_issuer(self: &Arc<Self>, upstream: &Upstream, wish: Wish) -> PermitDecision<D> {
        let listed = self.listed(upstream, |listing| (listing.born, listing.slots));
        let Some((born, slots)) = listed else {
            return PermitDecision::Over(OVER_MIN);
        };
        let peers = self.peers.load_full();
        let issuer = permit::issuer(upstream, &peers.live).unwrap_or(&self.me.vm);
        if *issuer == self.me.vm && permit::room(slots, self.seen_part()) == 0 {
            return self.send_unissued(upstream, wish.tolerance);
        }
        let (permit, mut replies) = self.open_permit(upstream, wish.time);
        let ask = Ask {
            upstream: upstream.clone(),
            born,
            ticket: permit.ticket,
            slots,
            tolerance: wish.tolerance,
            rank: wish.rank,
            patience: millis(wish.patience),
            time: millis(wish.time),
        };
        let latest = self.clock.now() + wish.patience + ANSWER_TIMEOUT * 3;
        self.send_permit(issuer, Message::Ask(ask.clone()));
        let mut reply = timeout(ANSWER_TIMEOUT, replies.recv()).await;
        if reply.is_err() {
            // A message was lost, or the issuer is gone.
            self.send_permit(issuer, Message::Ask(ask));
            reply = timeout(ANSWER_TIMEOUT, replies.recv()).await;
        }
        if matches!(reply, Ok(Some(Reply::Queued))) {
            reply = timeout(wish.patience + ANSWER_TIMEOUT, replies.recv()).await;
            if reply.is_err() {
                return PermitDecision::Over(OVER_MIN);
            }
        }
        match reply {
            // After a standstill of this process, the issuer may have given it to another one.
            Ok(Some(Reply::Granted)) if self.clock.now() > latest => PermitDecision::Over(OVER_MIN),
            Ok(Some(Reply::Granted)) => PermitDecision::Granted(Some(permit)),
            Ok(Some(Reply::Over(wait))) => PermitDecision::Over(Duration::from_millis(wait.into())),
            Ok(Some(Reply::Queued)) => PermitDecision::Over(OVER_MIN),
            Ok(None) | Err(_) => self.send_unissued(upstream, wish.tolerance),
        }
    }

    /// Decides about a request for which no issuer answers. All nodes together send so little of this
    /// kind that the upstream survives if it turns all of it away.
    fn send_unissued(&self, upstream: &Upstream, tolerance: Tolerance) -> PermitDecision<D> {
        let rate = permit::unissued_rate(tolerance, self.nodes() as f64);
        let now = self.clock.now();
        let mut permits = self.permits();
        let own = &mut permits.unissued;
        match own.try_acquire(now, upstream, rate, Duration::ZERO) {
            RateDecision::Granted(_) => PermitDecision::Granted(None),
            RateDecision::Over(wait) => PermitDecision::Over(wait.min(UNISSUED_OVER_MAX)),
        }
    }

    fn open_permit(
        self: &Arc<Self>,
        upstream: &Upstream,
        time: Duration,
    ) -> (Permit<D>, mpsc::UnboundedReceiver<Reply>) {
        let (sender, replies) = mpsc::unbounded_channel();
        let until = self.clock.now() + time;
        let mut permits = self.permits();
        permits.last += 1;
        let ticket = permits.last;
        permits.open.push(Open {
            ticket,
            upstream: upstream.clone(),
            until,
            sent: false,
            replies: sender,
        });
        drop(permits);
        let permit = Permit {
            hub: self.clone(),
            upstream: upstream.clone(),
            ticket,
            end: End::Unsent,
        };
        (permit, replies)
    }

    /// Records what the answer to a request that was sent at `sent` says of its upstream's brittleness,
    /// and tells other nodes what is new.
    pub fn record_brittleness(
        &self,
        upstream: &Upstream,
        sent: Time,
        tolerance: Option<Tolerance>,
    ) {
        let now = self.clock.now();
        let (born, notice) = {
            let mut desk = self.desk();
            let fleet = &mut desk.fleet;
            if !fleet.record_brittleness(now, upstream, sent, tolerance) {
                return;
            }
            let known = fleet.upstream(upstream);
            known.map_or((None, Duration::ZERO), |known| {
                (known.listing.born, known.brittleness.notice(now))
            })
        };
        log_brittleness(upstream, tolerance, "answer");
        let news = Message::News {
            upstream: upstream.clone(),
            born,
            tolerance,
            age: millis(now.saturating_sub(sent)),
            notice: millis(notice),
        };
        let peers = self.peers.load();
        let others = peers.live.iter().filter(|vm| **vm != self.me.vm);
        others.for_each(|vm| self.send_permit_to(&peers, vm, news.clone()));
    }

    /// Handles a message on permits.
    pub fn take_permit(self: &Arc<Self>, from: &Vm, message: Message) {
        let (now, peers) = (self.clock.now(), self.peers.load_full());
        let view = View {
            live: &peers.live,
            part: self.seen_part(),
        };
        let mut out = Vec::new();
        match message {
            Message::Ask(ask) => {
                let notice = self.notice(&ask.upstream, ask.born);
                let mut permits = self.permits();
                let issuers = &mut permits.issuers;
                issuers.ask(now, view, from, (&ask, notice), &mut out);
            }
            Message::Reply { ticket, reply } => {
                let permits = self.permits();
                if let Some(index) = permits.position(ticket) {
                    // A request that is gone returns its permit.
                    let _ = permits.open[index].replies.send(reply);
                }
            }
            Message::End {
                upstream,
                ticket,
                end,
            } => {
                let mut permits = self.permits();
                let issuers = &mut permits.issuers;
                issuers.end(now, view, from, &upstream, (ticket, end), &mut out);
            }
            Message::Query {
                upstream,
                born,
                tolerance,
            } => out.extend(self.answer_query(from, upstream, born, tolerance)),
            Message::Report {
                upstream,
                born,
                report,
            } => {
                let mut permits = self.permits();
                let issuers = &mut permits.issuers;
                issuers.report(now, view, from, (&upstream, born), &report, &mut out);
            }
            Message::Hello => self.permits().issuers.greet(now, from, &mut out),
            Message::News {
                upstream,
                born,
                tolerance,
                age,
                notice,
            } => {
                let sent = now.saturating_sub(Duration::from_millis(age.into()));
                let notice = Duration::from_millis(notice.into());
                self.take_brittleness(&upstream, born, sent, (tolerance, notice));
            }
        }
        self.deliver_permits(&peers, out);
        self.poll_permits();
    }

    /// Asks nodes that are seen from now on which upstreams are brittle.
    pub fn greet_issuers<'a>(&self, peers: &Peers, nodes: impl IntoIterator<Item = &'a Vm>) {
        let others = nodes.into_iter().filter(|vm| **vm != self.me.vm);
        others.for_each(|vm| self.send_permit_to(peers, vm, Message::Hello));
    }

    /// Lets time pass for the permits that this node issues.
    pub fn advance_permits(self: &Arc<Self>) {
        let (now, peers) = (self.clock.now(), self.peers.load_full());
        let view = View {
            live: &peers.live,
            part: self.seen_part(),
        };
        let issues =
            |upstream: &Upstream| permit::issuer(upstream, &peers.live) == Some(&self.me.vm);
        let mut out = Vec::new();
        self.permits().issuers.advance(now, view, issues, &mut out);
        self.deliver_permits(&peers, out);
    }

    /// Looks after waiting requests as long as there are any.
    fn poll_permits(self: &Arc<Self>) {
        {
            let mut permits = self.permits();
            if permits.polled || !permits.issuers.has_queue() {
                return;
            }
            permits.polled = true;
        }
        let hub = self.clone();
        tokio::spawn(async move {
            loop {
                sleep(QUEUE_TURN).await;
                hub.advance_permits();
                let mut permits = hub.permits();
                if !permits.issuers.has_queue() {
                    permits.polled = false;
                    return;
                }
            }
        });
    }

    fn notice(&self, upstream: &str, born: Option<u64>) -> Duration {
        let now = self.clock.now();
        let desk = self.desk();
        let known = desk.fleet.upstream(upstream);
        let known = known.filter(|known| known.listing.born == born);
        known.map_or(Duration::ZERO, |known| known.brittleness.notice(now))
    }

    /// Answers what this node has under way at a process, if it knows that one.
    fn answer_query(
        &self,
        from: &Vm,
        upstream: Upstream,
        born: Option<u64>,
        tolerance: Tolerance,
    ) -> Option<Action> {
        let now = self.clock.now();
        let running = {
            let mut desk = self.desk();
            let known = desk.fleet.upstream(&upstream)?;
            if known.listing.born != born {
                return None;
            }
            let running = known.running;
            let brittleness = known.brittleness;
            if brittleness.tolerance().is_none() && brittleness.notice(now).is_zero() {
                let news = (Some(tolerance), Duration::ZERO);
                let fleet = &mut desk.fleet;
                if fleet.record_brittleness_news(now, &upstream, now, news) {
                    log_brittleness(&upstream, Some(tolerance), "peer");
                }
            }
            running
        };
        let permits = self.permits();
        let open = permits.open.iter().filter(|open| open.upstream == upstream);
        let held = open.clone().filter(|open| open.sent);
        let held = held.map(|open| (open.ticket, millis(open.until.saturating_sub(now))));
        let held: Vec<(Ticket, u32)> = held.collect();
        let asked = open.filter(|open| !open.sent).map(|open| open.ticket);
        let report = Report {
            others: running.saturating_sub(held.len() as u32),
            held,
            asked: asked.collect(),
            last: permits.last,
        };
        Some(Action {
            to: from.clone(),
            message: Message::Report {
                upstream,
                born,
                report,
            },
        })
    }

    /// Takes over what another node was told, unless it was another process that said so.
    fn take_brittleness(
        &self,
        upstream: &Upstream,
        born: Option<u64>,
        sent: Time,
        news: (Option<Tolerance>, Duration),
    ) {
        let now = self.clock.now();
        let mut desk = self.desk();
        let known = desk.fleet.upstream(upstream);
        if known.is_some_and(|known| known.listing.born == born) {
            let fleet = &mut desk.fleet;
            if fleet.record_brittleness_news(now, upstream, sent, news) {
                log_brittleness(upstream, news.0, "peer");
            }
        }
    }

    fn deliver_permits(self: &Arc<Self>, peers: &Peers, actions: Vec<Action>) {
        for Action { to, message } in actions {
            if to == self.me.vm {
                self.take_permit(&to, message);
            } else {
                self.send_permit_to(peers, &to, message);
            }
        }
    }

    fn send_permit(self: &Arc<Self>, to: &Vm, message: Message) {
        if *to == self.me.vm {
            self.take_permit(to, message);
        } else {
            self.send_permit_to(&self.peers.load(), to, message);
        }
    }

    fn send_permit_to(&self, peers: &Peers, to: &Vm, message: Message) {
        if let Some(record) = peers.record(to) {
            let message = datagram::Message::Permit(message);
            self.post.send(to, record.peers, &message);
        }
    }

    fn permits(&self) -> MutexGuard<'_, Permits> {
        self.permits.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn log_brittleness(upstream: &Upstream, tolerance: Option<Tolerance>, source: &'static str) {
    info!(
        target: DECISION,
        upstream:%, tolerance = tolerance.unwrap_or_default(), brittle = tolerance.is_some(), source;
        "brittle"
    );
}
