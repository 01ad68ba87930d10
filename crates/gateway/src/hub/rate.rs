//! Rates that upstreams announce: asks the nodes that coordinate them, and answers for those that are
//! coordinated here.

use std::sync::{MutexGuard, PoisonError};
use std::time::Duration;

use exchange::announced_rate::{self, Message, Rate, RateBuckets, RateDecision};
use log::info;
use node::journal::DECISION;
use wire::machine::millis;
use wire::{Time, Upstream, Vm};

use super::Hub;
use super::question::{self, Questions};
use crate::datagram;
use crate::dialect::Dialect;

/// The rates that this node counts, and its open questions.
#[derive(Default)]
pub(super) struct Rates {
    /// Those that it coordinates for all nodes.
    shared: RateBuckets,
    /// Its own fraction, which it uses where a coordinator does not answer.
    own: RateBuckets,
    questions: Questions<RateDecision>,
}

impl<D: Dialect> Hub<D> {
    /// Asks for a token of the rate that an upstream announces, which the request may wait for as long
    /// as `patience`.
    pub async fn acquire_token(
        &self,
        upstream: &Upstream,
        rate: Rate,
        urgent: bool,
        patience: Duration,
    ) -> RateDecision {
        let coordinator = announced_rate::coordinator(upstream, &self.peers.load().live).cloned();
        let decision = match coordinator {
            Some(vm) if vm != self.me.vm => {
                let answer = self.ask_coordinator(&vm, upstream, rate, patience).await;
                answer.unwrap_or_else(|| self.acquire_own(upstream, rate))
            }
            _ => self.acquire_shared(upstream, rate, patience),
        };
        if let RateDecision::Over(wait) = decision {
            let now = self.clock.now();
            let mut desk = self.desk();
            desk.fleet.rate_exhausted(now, upstream, urgent, wait);
        }
        decision
    }

    /// Returns the rate that an upstream announces, if any.
    pub fn announced_rate(&self, upstream: &str) -> Option<Rate> {
        self.desk().fleet.upstream(upstream)?.rate.rate()
    }

    /// Records what the answer to a request that was sent at `sent` says of its upstream's rate, and
    /// tells other nodes what is new.
    pub fn record_rate(&self, upstream: &Upstream, sent: Time, rate: Option<Rate>) {
        let now = self.clock.now();
        let born = {
            let mut desk = self.desk();
            if !desk.fleet.record_rate(now, upstream, sent, rate) {
                return;
            }
            let known = desk.fleet.upstream(upstream);
            known.and_then(|known| known.listing.born)
        };
        log_rate(upstream, rate, "answer");
        let news = Message::News {
            upstream: upstream.clone(),
            born,
            rate,
            age: millis(now.saturating_sub(sent)),
        };
        let peers = self.peers.load();
        let others = peers.live.iter().filter(|vm| **vm != self.me.vm);
        others.for_each(|vm| self.send_rate(vm, news.clone()));
    }

    /// Handles a message on rates.
    pub fn take_rate(&self, from: &Vm, message: Message) {
        match message {
            Message::Ask {
                ticket,
                upstream,
                rate,
                patience,
            } => {
                let patience = Duration::from_millis(patience.into());
                let decision = self.acquire_shared(&upstream, rate, patience);
                let (granted, wait) = match decision {
                    RateDecision::Granted(wait) => (true, wait),
                    RateDecision::Over(wait) => (false, wait),
                };
                let answer = Message::Answer {
                    ticket,
                    granted,
                    wait: millis(wait),
                };
                self.send_rate(from, answer);
            }
            Message::Answer {
                ticket,
                granted,
                wait,
            } => {
                let wait = Duration::from_millis(wait.into());
                let decision = if granted {
                    RateDecision::Granted(wait)
                } else {
                    RateDecision::Over(wait)
                };
                self.rates().questions.answer(ticket, decision);
            }
            Message::News {
                upstream,
                born,
                rate,
                age,
            } => self.take_rate_news(&upstream, born, rate, Duration::from_millis(age.into())),
        }
    }

    /// Takes over what another node was told, unless it was another process that said so.
    fn take_rate_news(
        &self,
        upstream: &Upstream,
        born: Option<u64>,
        rate: Option<Rate>,
        age: Duration,
    ) {
        let now = self.clock.now();
        let mut desk = self.desk();
        let known = desk.fleet.upstream(upstream);
        if known.is_some_and(|known| known.listing.born == born) {
            let sent = now.saturating_sub(age);
            if desk.fleet.record_rate(now, upstream, sent, rate) {
                log_rate(upstream, rate, "peer");
            }
        }
    }

    fn acquire_shared(&self, upstream: &Upstream, rate: Rate, patience: Duration) -> RateDecision {
        let (now, part) = (self.clock.now(), self.seen_part());
        let mut rates = self.rates();
        rates
            .shared
            .try_acquire(now, upstream, rate * part, patience)
    }

    fn acquire_own(&self, upstream: &Upstream, rate: Rate) -> RateDecision {
        let (now, part) = (self.clock.now(), 1.0 / self.nodes() as f64);
        let mut rates = self.rates();
        rates
            .own
            .try_acquire(now, upstream, rate * part, Duration::ZERO)
    }

    async fn ask_coordinator(
        &self,
        coordinator: &Vm,
        upstream: &Upstream,
        rate: Rate,
        patience: Duration,
    ) -> Option<RateDecision> {
        let (ticket, answer) = self.rates().questions.open();
        let ask = Message::Ask {
            ticket,
            upstream: upstream.clone(),
            rate,
            patience: millis(patience),
        };
        self.send_rate(coordinator, ask);
        question::wait(answer).await
    }

    fn send_rate(&self, to: &Vm, message: Message) {
        if let Some(record) = self.peers.load().record(to) {
            let message = datagram::Message::Rate(message);
            self.post.send(to, record.peers, &message);
        }
    }

    fn rates(&self) -> MutexGuard<'_, Rates> {
        self.rates.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn log_rate(upstream: &Upstream, rate: Option<Rate>, source: &'static str) {
    info!(target: DECISION, upstream:%, rate = rate.unwrap_or_default(), limited = rate.is_some(), source; "rate");
}
